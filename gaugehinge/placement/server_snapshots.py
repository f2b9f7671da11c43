"""Servers that were present when a shard was confined, and may still hold copies of its values."""

from __future__ import annotations

import msgspec
from xxhash import xxh3_128_hexdigest

from ..store.records import Mutation, encode
from ..store.store import Store
from .api_types import Copy
from .records import SERVER_SNAPSHOT, ShardRecord
from .server_inventory import ServerInventory, ServerPresence


def read_snapshot(store: Store, snapshot_id: str) -> list[ServerPresence]:
    """Name, zone and start time of each server in a snapshot; empty if there is no such snapshot."""
    item = store.get(SERVER_SNAPSHOT, snapshot_id) if snapshot_id else None
    return msgspec.json.decode(item.body, type=list[ServerPresence]) if item else []


def add_present_servers(
    store: Store, record: ShardRecord, inventory: ServerInventory, changes: list[Mutation], now: float
) -> ShardRecord:
    """A copy of a record whose snapshot also has the servers that are present at `now` (Unix seconds).

    The snapshot is appended to `changes` unless the store or `changes` has it already.
    """
    servers = set(read_snapshot(store, record.server_snapshot))
    body = encode(sorted(servers | set(inventory.snapshot())))
    snapshot_id = xxh3_128_hexdigest(body)
    is_new = store.get(SERVER_SNAPSHOT, snapshot_id) is None
    if is_new and all(change.item_id != snapshot_id for change in changes):
        changes.append(Mutation(SERVER_SNAPSHOT, snapshot_id, body, 0))
    return msgspec.structs.replace(record, server_snapshot=snapshot_id, confined_at=now)


def stale_copies(store: Store, record: ShardRecord, inventory: ServerInventory) -> list[Copy]:
    """Servers outside a required shard's zones that have not restarted since it was confined.

    They may still hold copies of its values.
    """
    if record.current is None or not record.current.required:
        return []
    inside = record.current.all_zones()
    started = {uid: server.started_at for uid, server in inventory.current.items()}
    return [
        Copy(server.uid, server.zone, server.started_at)
        for server in read_snapshot(store, record.server_snapshot)
        if server.zone not in inside and started.get(server.uid, server.started_at) == server.started_at
    ]
