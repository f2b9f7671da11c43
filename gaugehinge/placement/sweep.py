"""Removal of what no shard or tenant needs any more from the store."""

from __future__ import annotations

from ..store.store import Item, Store, Wanted
from .records import CHANGE_BUDGET, SERVER_SNAPSHOT, SHARD
from .shard_index import ShardIndex
from .store_reader import tenant_names

SWEEP_LIMIT = 10_000  # items of a kind looked at in one sweep


def sweep_changes(store: Store, index: ShardIndex) -> list[Wanted]:
    """Changes that remove what belongs to tenants that are gone, and snapshots that no shard names.

    On the store's thread, after the index followed the store.
    """
    tenants = tenant_names(store)
    used = {record.server_snapshot for record, _ in index.shards.values()}
    shards = [
        Wanted(SHARD, record_id, None, revision)
        for record_id, (record, revision) in index.shards.items()
        if record.incarnation not in tenants
    ]
    budgets = [item for item in _items(store, CHANGE_BUDGET) if int(item.ident) not in tenants]
    snapshots = [item for item in _items(store, SERVER_SNAPSHOT) if item.ident not in used]
    return shards + _removals(CHANGE_BUDGET, budgets) + _removals(SERVER_SNAPSHOT, snapshots)


def _items(store: Store, kind: str) -> list[Item]:
    return store.items(kind, "", SWEEP_LIMIT)


def _removals(kind: str, items: list[Item]) -> list[Wanted]:
    return [Wanted(kind, item.ident, None, item.rev) for item in items]
