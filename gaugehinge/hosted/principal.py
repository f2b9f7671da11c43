"""Whoever comes on a connection: one incarnation of a tenant, as its router knows it."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite

from ..tenancy.credentials import Credential
from ..tenancy.feed import MAX_TENANTS, TenantRow
from ..tenancy.lifecycle import TenantStage
from .errors import FeedError

UNAUTHENTICATED = "authentication required"


@dataclass(slots=True, eq=False)
class Principal:
    """One incarnation of a tenant. Connections refer to it: it is brought up to date, not replaced."""

    name: str
    incarnation: int
    tenant_index: int  # in the routers' tables, the same at all of them
    stage: TenantStage
    quota: float
    rate_limit: float  # operations a second over all routers
    credentials: dict[str, Credential]
    key_prefix: bytes  # before each key, as servers and origin see it
    id_prefix: bytes  # before each idempotency key and id
    row: TenantRow
    removed: bool = False

    def traffic_type(self, own_name: str) -> str | None:
        """The installation's name of one of its traffic types; None where it has none of that name."""
        return self.row.traffic_types.get(own_name) if self.row.traffic_types else own_name

    def rejection_reason(self, credential: str, now: float) -> str:
        """Why an operation of a connection is rejected that came in by a credential; empty where it is not.

        `now`: Unix time, by which credentials end.
        """
        known = self.credentials.get(credential)
        if self.removed or known is None or (known.expires_at is not None and now >= known.expires_at):
            return UNAUTHENTICATED
        if self.stage is not TenantStage.ACTIVE:
            return f"tenant {self.stage.value}"
        return ""

    def update(self, newer: Principal) -> None:
        """Take over all that can change of one incarnation."""
        self.stage, self.tenant_index, self.row = newer.stage, newer.tenant_index, newer.row
        self.quota, self.rate_limit = newer.quota, newer.rate_limit
        self.credentials = newer.credentials


def read_principal(row: TenantRow) -> Principal:
    """A principal from a row of the feed. Raises FeedError where a figure makes no sense."""
    if not 0 <= row.slot < MAX_TENANTS or row.incarnation < 1 or not row.name:
        raise FeedError(f"tenant {row.name!r}: place or incarnation out of bounds")
    if not (isfinite(row.quota) and isfinite(row.rate_limit)) or min(row.quota, row.rate_limit) < 0.0:
        raise FeedError(f"tenant {row.name!r}: a figure that is no share")
    try:
        stage = TenantStage(row.stage)
    except ValueError as error:
        raise FeedError(f"tenant {row.name!r}: no such stage {row.stage!r}") from error
    return Principal(
        name=row.name,
        incarnation=row.incarnation,
        tenant_index=row.slot,
        stage=stage,
        quota=row.quota,
        rate_limit=row.rate_limit,
        credentials={credential.credential_id: credential for credential in row.credentials},
        key_prefix=b"%x/" % row.incarnation,
        id_prefix=b"%x." % row.incarnation,
        row=row,
    )
