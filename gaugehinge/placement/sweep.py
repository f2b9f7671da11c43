"""Removes from the store what no shard or tenant needs any more."""

from __future__ import annotations

from ..store.records import Item, Mutation
from ..store.store import Store
from .records import CHANGE_BUDGET, SERVER_SNAPSHOT, SHARD
from .shard_index import ShardIndex
from .store_reader import tenant_names


def sweep_changes(store: Store, index: ShardIndex) -> list[Mutation]:
    """Return changes that remove items of deleted tenants and snapshots that no shard refers to.

    Runs on the store's thread, after the index was refreshed.
    """
    tenants = tenant_names(store)
    used = {record.server_snapshot for record, _ in index.shards.values()}
    shards = [
        Mutation(SHARD, record_id, None, revision)
        for record_id, (record, revision) in index.shards.items()
        if record.incarnation not in tenants
    ]
    budgets = [item for item in store.items(CHANGE_BUDGET) if int(item.item_id) not in tenants]
    snapshots = [item for item in store.items(SERVER_SNAPSHOT) if item.item_id not in used]
    return shards + _removals(CHANGE_BUDGET, budgets) + _removals(SERVER_SNAPSHOT, snapshots)


def _removals(kind: str, items: list[Item]) -> list[Mutation]:
    return [Mutation(kind, item.item_id, None, item.revision) for item in items]
