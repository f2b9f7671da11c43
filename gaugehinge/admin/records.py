"""What the control plane keeps in the durable store: the kinds of its items, and their bodies.

Kinds, identifiers and the names of the fields are on disk in every installation: they do not change.
"""

from __future__ import annotations

import msgspec

from ..store.records import Change, Item
from ..store.store import Store
from ..tenancy.credentials import Credential
from ..tenancy.lifecycle import TenantIncarnation, TenantStage
from .errors import NotFoundError, PreconditionFailedError

TENANT_KIND = "tenant"  # by name
TOMBSTONE_KIND = "tombstone"  # removed tenants, by name and incarnation
SERVER_ORDER_KIND = "server"  # by the server's name
OPERATOR_KIND = "operator"  # by name
COUNTER_KIND = "counter"

INCARNATION_COUNTER = "incarnation"  # the highest incarnation that was given to a tenant
STORE_ID_COUNTER = "life"  # the random name of the store

UNPLACED = -1  # the place of a tenant that has none yet


class OperatorRecord(msgspec.Struct, frozen=True):
    """A caller that the API knows."""

    name: str
    role: str  # a `caller.Role`; not checked here, so that a store of a newer version can be read
    tenant: str = ""  # of role `tenant`: the only one that it may see
    credentials: list[Credential] = []


class TenantRecord(msgspec.Struct, frozen=True):
    """A tenant, or the tombstone of one that was removed. Times are seconds by the store's wall clock."""

    name: str
    incarnation: int
    stage: str
    since: float
    marks_until: float
    clear: bool
    share: float
    allowance: float
    memory: float
    credentials: list[Credential] = []
    place: int = UNPLACED  # in the routers' tables; given when it is created, or at the next start
    traffic: dict[str, str] = {}
    longest_wait: float = 0.0
    most_value: int = 0
    left_at: int = 0  # the revision of its tombstone's first row, where that is not its last one

    @property
    def tenancy(self) -> TenantIncarnation:
        """Its lifecycle."""
        return TenantIncarnation(
            self.name, self.incarnation, TenantStage(self.stage), self.since, self.marks_until, self.clear
        )

    def with_tenancy(self, tenancy: TenantIncarnation) -> TenantRecord:
        """The same record at another point of its lifecycle."""
        return msgspec.structs.replace(
            self,
            stage=tenancy.stage.value,
            since=tenancy.stage_since,
            marks_until=tenancy.deduplication_until,
            clear=tenancy.drained,
        )


def decode_tenant(item: Item | Change) -> TenantRecord:
    """The body of a tenant or tombstone."""
    return msgspec.json.decode(item.body or b"", type=TenantRecord)


def tenant_item(store: Store, name: str, if_match: int | None = None) -> Item:
    """A tenant's item.

    Args:
        store: Where it is read from, on the store's thread.
        name: The tenant.
        if_match: The revision that the caller read; None: any will do.

    Raises:
        NotFoundError: There is no such tenant.
        PreconditionFailedError: It is at another revision.
    """
    item = store.get(TENANT_KIND, name)
    if item is None:
        raise NotFoundError(f"no tenant {name}")
    if if_match is not None and item.revision != if_match:
        raise PreconditionFailedError(f"it is at revision {item.revision}", etag=item.revision)
    return item


def all_tenant_records(store: Store) -> list[TenantRecord]:
    """All tenants, then all tombstones: a router may still hold operations of either."""
    return [decode_tenant(item) for kind in (TENANT_KIND, TOMBSTONE_KIND) for item in store.items(kind)]
