"""Items that the control plane keeps in the durable store: their kinds and the records in their bodies.

Kinds, identifiers and field names are on disk in every installation and must not change.
"""

from __future__ import annotations

import msgspec

from ..store.records import Change, Item
from ..store.store import Store
from ..tenancy.credentials import Credential
from ..tenancy.lifecycle import TenantIncarnation, TenantStage
from .errors import NotFoundError, PreconditionFailedError

TENANT_KIND = "tenant"  # identified by name
TOMBSTONE_KIND = "tombstone"  # removed tenants; identified by `name#incarnation`
SERVER_ORDER_KIND = "server"  # orders to drain; identified by the cache server's name
OPERATOR_KIND = "operator"  # identified by name
COUNTER_KIND = "counter"

INCARNATION_COUNTER = "incarnation"  # the highest incarnation assigned to a tenant so far
STORE_ID_COUNTER = "life"  # the random identifier of the store

UNPLACED = -1  # `TenantRecord.place` of a tenant without a place


class OperatorRecord(msgspec.Struct, frozen=True):
    """A caller of the administration API."""

    name: str
    role: str  # a `caller.Role`; not validated here, so that a store written by a newer version can be read
    tenant: str = ""  # for role `tenant`: the only tenant that the caller may see
    credentials: list[Credential] = []


class TenantRecord(msgspec.Struct, frozen=True):
    """A tenant, or the tombstone of a removed one. Times are in seconds by the store's wall clock."""

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
    place: int = UNPLACED  # index in the routers' tables; assigned at creation, or else at the next start
    traffic: dict[str, str] = {}
    longest_wait: float = 0.0
    most_value: int = 0
    left_at: int = 0  # revision of the tombstone's first row; 0 while that row is also its last

    @property
    def tenancy(self) -> TenantIncarnation:
        """The lifecycle state of the tenant."""
        return TenantIncarnation(
            self.name, self.incarnation, TenantStage(self.stage), self.since, self.marks_until, self.clear
        )

    def with_tenancy(self, tenancy: TenantIncarnation) -> TenantRecord:
        """Return a copy of the record with another lifecycle state."""
        return msgspec.structs.replace(
            self,
            stage=tenancy.stage.value,
            since=tenancy.stage_since,
            marks_until=tenancy.deduplication_until,
            clear=tenancy.drained,
        )


def decode_tenant(item: Item | Change) -> TenantRecord:
    """Decode the body of a tenant's or tombstone's item."""
    return msgspec.json.decode(item.body or b"", type=TenantRecord)


def tenant_item(store: Store, name: str, if_match: int | None = None) -> Item:
    """Return a tenant's item.

    Args:
        store: The store to read from; called on the store's thread.
        name: The tenant.
        if_match: The revision that the item must have; None: any revision.

    Raises:
        NotFoundError: There is no such tenant.
        PreconditionFailedError: The item has another revision.
    """
    item = store.get(TENANT_KIND, name)
    if item is None:
        raise NotFoundError(f"no tenant {name}")
    if if_match is not None and item.revision != if_match:
        raise PreconditionFailedError(f"it is at revision {item.revision}", etag=item.revision)
    return item


def all_tenant_records(store: Store) -> list[TenantRecord]:
    """Return all tenants, then all tombstones: routers may still hold operations of either."""
    return [decode_tenant(item) for kind in (TENANT_KIND, TOMBSTONE_KIND) for item in store.items(kind)]
