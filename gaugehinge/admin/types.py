"""Requests and responses of the API, as msgspec structs.

The OpenAPI description is made from them: names, docstrings and field descriptions are published, and part of
the API. Fields are named as the API names them.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import UNSET, Meta, UnsetType

from .caller import Role
from .records import TenantRecord

Name = Annotated[str, Meta(pattern="^[a-z][a-z0-9-]{0,62}$", description="lower case, digits and dashes")]
Share = Annotated[float, Meta(ge=0, le=1e6, description="its weight against the others")]
Allowance = Annotated[
    float, Meta(ge=0, le=1e9, description="operations a second over all routers that are inside its share")
]
Memory = Annotated[
    float,
    Meta(ge=0, le=7 * 86400, description="seconds that marks of its deduplicated writes are remembered"),
]
Traffic = Annotated[
    dict[
        Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")],
        Annotated[str, Meta(min_length=1, max_length=200)],
    ],
    Meta(max_length=64, description="its own names of traffic types and the installation's; empty: those"),
]
Wait = Annotated[float, Meta(ge=0, le=3600, description="seconds that its clients may wait; 0: not bounded")]
Value = Annotated[int, Meta(ge=0, le=65536, description="bytes of a value it may write; 0: not bounded")]


class NewTenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A tenant to be made."""

    name: Name
    share: Share = 1.0
    allowance: Allowance = 0.0
    memory: Memory = 0.0
    traffic: Traffic = {}
    longest_wait: Wait = 0.0
    most_value: Value = 0


class TenantChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What of a tenant is to change; what is left out stays."""

    share: Share | UnsetType = UNSET
    allowance: Allowance | UnsetType = UNSET
    memory: Memory | UnsetType = UNSET
    traffic: Traffic | UnsetType = UNSET
    longest_wait: Wait | UnsetType = UNSET
    most_value: Value | UnsetType = UNSET


class ShownCredential(msgspec.Struct, frozen=True):
    """A credential as it is shown: never its hash."""

    ident: str
    made: float
    ends: float | None


class Tenant(msgspec.Struct, frozen=True):
    """A tenant as it is shown."""

    name: str
    incarnation: int
    stage: str
    since: float
    share: float
    allowance: float
    memory: float
    credentials: list[ShownCredential]
    revision: int
    traffic: dict[str, str] = {}
    longest_wait: float = 0.0
    most_value: int = 0


class Page(msgspec.Struct, frozen=True):
    """Some tenants in the order of their names."""

    tenants: list[Tenant]
    next: str | None = None  # ask with `after=` this for what follows


class Secret(msgspec.Struct, frozen=True):
    """A new secret. It is shown this once."""

    ident: str
    secret: str


class Rotation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the new credential takes the old one's place."""

    overlap: Annotated[
        float, Meta(ge=0, le=30 * 86400, description="seconds that the one in use goes on")
    ] = 86400.0


class NewOperator(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One more who may use the API."""

    name: Name
    role: Role
    tenant: str = ""  # of role `tenant`: the only one that it sees

    def __post_init__(self) -> None:
        """Check that a tenant is named for the role `tenant`, and only for it; raises ValueError."""
        if (self.role == "tenant") is not bool(self.tenant):
            raise ValueError("tenant goes with the role tenant, and only with it")


class ServerOrder(msgspec.Struct, frozen=True):
    """What operators ordered of a cache server; discovery's own word counts beside it."""

    server: str
    order: str
    revision: int


class ServerPage(msgspec.Struct, frozen=True):
    """All orders that stand."""

    servers: list[ServerOrder]


class RouterShown(msgspec.Struct, frozen=True):
    """A router that follows this store."""

    name: str
    heard: float  # seconds ago
    revision: int
    behind: int  # changes that it has not heard yet
    in_hand: dict[str, int]  # operations by tenant


class RouterPage(msgspec.Struct, frozen=True):
    """All routers that were heard of lately."""

    routers: list[RouterShown]


class AuditEntry(msgspec.Struct, frozen=True):
    """One change, as the audit log shows it."""

    revision: int
    at: float
    who: str
    kind: str
    ident: str
    removed: bool
    body: Any = None  # without hashes


class AuditPage(msgspec.Struct, frozen=True):
    """Some changes in order."""

    changes: list[AuditEntry]
    revision: int


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """What went wrong (RFC 9457)."""

    type: str
    title: str
    status: int
    detail: str = ""
    field: str = ""


def tenant_resource(record: TenantRecord, revision: int) -> Tenant:
    """A stored tenant as the API shows it."""
    return Tenant(
        name=record.name,
        incarnation=record.incarnation,
        stage=record.stage,
        since=record.since,
        share=record.share,
        allowance=record.allowance,
        memory=record.memory,
        credentials=[
            ShownCredential(each.credential_id, each.created_at, each.expires_at)
            for each in record.credentials
        ],
        revision=revision,
        traffic=record.traffic,
        longest_wait=record.longest_wait,
        most_value=record.most_value,
    )


def redact_hashes(body: bytes | None) -> Any:
    """A stored body, decoded, as the audit log may show it; None stays None."""
    if body is None:
        return None
    value = msgspec.json.decode(body)
    if isinstance(value, dict):
        for credential in value.get("credentials", ()):
            credential.pop("hashed", None)
    return value
