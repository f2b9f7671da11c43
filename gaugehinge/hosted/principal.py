"""The identity behind a connection: one incarnation of a tenant, as the router knows it."""

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
    """One incarnation of a tenant. Connections refer to it, so it is updated in place, not replaced."""

    name: str
    incarnation: int
    tenant_index: int  # index in the routers' tables, the same at all routers
    stage: TenantStage
    quota: float
    rate_limit: float  # operations per second over all routers
    credentials: dict[str, Credential]
    key_prefix: bytes  # prepended to each key, as cache servers and origin see it
    id_prefix: bytes  # prepended to each idempotency key and request ID
    row: TenantRow
    removed: bool = False

    def traffic_type(self, own_name: str) -> str | None:
        """Map the tenant's name of a traffic type to the installation's; None if it has no such type."""
        return self.row.traffic_types.get(own_name) if self.row.traffic_types else own_name

    def rejection_reason(self, credential: str, now: float) -> str:
        """Return why operations of a connection with this credential are refused; empty if they are not.

        `now`: Unix time, by which credentials expire.
        """
        known = self.credentials.get(credential)
        if self.removed or known is None or (known.expires_at is not None and now >= known.expires_at):
            return UNAUTHENTICATED
        if self.stage is not TenantStage.ACTIVE:
            return f"tenant {self.stage.value}"
        return ""

    def update(self, newer: Principal) -> None:
        """Copy everything that can change within one incarnation."""
        self.stage, self.tenant_index, self.row = newer.stage, newer.tenant_index, newer.row
        self.quota, self.rate_limit = newer.quota, newer.rate_limit
        self.credentials = newer.credentials


def read_principal(row: TenantRow) -> Principal:
    """Create a principal from a row of the feed. Raises FeedError for an invalid value."""
    if not 0 <= row.slot < MAX_TENANTS or row.incarnation < 1 or not row.name:
        raise FeedError(f"tenant {row.name!r}: tenant index, incarnation or name is invalid")
    if not (isfinite(row.quota) and isfinite(row.rate_limit)) or min(row.quota, row.rate_limit) < 0.0:
        raise FeedError(f"tenant {row.name!r}: quota or rate limit is negative or not finite")
    try:
        stage = TenantStage(row.stage)
    except ValueError as error:
        raise FeedError(f"tenant {row.name!r}: unknown stage {row.stage!r}") from error
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
