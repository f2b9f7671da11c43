"""Reads all items of a kind from the store. To be called on the store's thread only."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TypeVar

import msgspec

from ..admin.records import TENANT_KIND, TOMBSTONE_KIND, TenantRecord
from ..store.records import Item
from ..store.store import Store

T = TypeVar("T")

PAGE_SIZE = 1000  # items read at a time


def iter_items(store: Store, kind: str) -> Iterator[Item]:
    """Iterate over all items of a kind, sorted by id; they are read page by page."""
    after = ""
    while items := store.items(kind, after, PAGE_SIZE):
        yield from items
        after = items[-1].item_id


def iter_decoded(store: Store, kind: str, body_type: type[T]) -> Iterator[T]:
    """Iterate over the decoded bodies of all items of a kind."""
    for item in iter_items(store, kind):
        yield msgspec.json.decode(item.body, type=body_type)


def tenant_names(store: Store) -> dict[int, str]:
    """Names of all tenants by incarnation, including tenants that are being removed."""
    return {
        tenant.incarnation: tenant.name
        for kind in (TENANT_KIND, TOMBSTONE_KIND)
        for tenant in iter_decoded(store, kind, TenantRecord)
    }
