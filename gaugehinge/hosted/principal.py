"""Whoever comes on a connection: one incarnation of a tenant, as its router knows it."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite

from ..tenancy.credentials import Credential
from ..tenancy.feed import MOST_TENANTS, TenantRow
from ..tenancy.life import Stage
from .errors import FeedError

UNAUTHENTICATED = "authentication required"


@dataclass(slots=True, eq=False)
class Principal:
    """One incarnation of a tenant. Connections refer to it: it is brought up to date, not replaced."""

    name: str
    incarnation: int
    tenant_index: int  # in the routers' tables, the same at all of them
    stage: Stage
    quota: float
    rate_limit: float  # operations a second over all routers
    credentials: dict[str, Credential]
    key_prefix: bytes  # before each key, as servers and origin see it
    id_prefix: bytes  # before each idempotency key and id
    row: TenantRow
    removed: bool = False

    def traffic_type(self, own_name: str) -> str | None:
        """The installation's name of one of its traffic types; None where it has none of that name."""
        return self.row.traffic.get(own_name) if self.row.traffic else own_name

    def rejection_reason(self, credential: str, now: float) -> str:
        """Why an operation of a connection is rejected that came in by a credential; empty where it is not.

        `now`: Unix time, by which credentials end.
        """
        known = self.credentials.get(credential)
        if self.removed or known is None or (known.ends is not None and now >= known.ends):
            return UNAUTHENTICATED
        if self.stage is not Stage.ACTIVE:
            return f"tenant {self.stage.value}"
        return ""

    def update(self, newer: Principal) -> None:
        """Take over all that can change of one incarnation."""
        self.stage, self.tenant_index, self.row = newer.stage, newer.tenant_index, newer.row
        self.quota, self.rate_limit = newer.quota, newer.rate_limit
        self.credentials = newer.credentials


def read_principal(row: TenantRow) -> Principal:
    """A principal from a row of the feed. Raises FeedError where a figure makes no sense."""
    if not 0 <= row.place < MOST_TENANTS or row.incarnation < 1 or not row.name:
        raise FeedError(f"tenant {row.name!r}: place or incarnation out of bounds")
    if not (isfinite(row.share) and isfinite(row.allowance)) or min(row.share, row.allowance) < 0.0:
        raise FeedError(f"tenant {row.name!r}: a figure that is no share")
    try:
        stage = Stage(row.stage)
    except ValueError as error:
        raise FeedError(f"tenant {row.name!r}: no such stage {row.stage!r}") from error
    return Principal(
        name=row.name,
        incarnation=row.incarnation,
        tenant_index=row.place,
        stage=stage,
        quota=row.share,
        rate_limit=row.allowance,
        credentials={credential.ident: credential for credential in row.credentials},
        key_prefix=b"%x/" % row.incarnation,
        id_prefix=b"%x." % row.incarnation,
        row=row,
    )
