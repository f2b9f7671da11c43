"""In-memory index of all shards in the store, updated from its log. For use on the store's thread only."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from ..store.store import Store
from .lifecycle import Stage
from .records import SHARD, ShardRecord, StoredShard, needs_work, shard_key
from .shard_table import ShardAssignment, ShardKey
from .store_reader import iter_items

MAX_REMEMBERED_REMOVALS = 4096  # a router that is further behind gets all shards
CHANGES_PER_READ = 5000  # entries of the log


class Removal(NamedTuple):
    """A shard that was removed."""

    revision: int
    record_id: str


@dataclass(slots=True, frozen=True)
class TableChanges:
    """The changes that a router's table lacks."""

    is_complete: bool  # assignments are all shards, not only those that changed
    assignments: list[ShardAssignment]
    removed: list[ShardKey]


@dataclass(slots=True)
class ShardIndex:
    """Shard records by id, and recent removals."""

    revision: int = 0
    shards: dict[str, StoredShard] = field(default_factory=dict)  # in the order of their last change
    needs_work: set[str] = field(default_factory=set)  # ids of records that the control plane has to advance
    removed: deque[Removal] = field(default_factory=lambda: deque(maxlen=MAX_REMEMBERED_REMOVALS))
    complete_below: int = 0  # a router's table of an older revision needs all shards
    newest_revision: int = 0  # of the latest change to a shard record

    def refresh(self, store: Store) -> None:
        """Apply the changes made to the store since the last refresh, or load all shards."""
        if not self.revision or store.oldest_revision > self.revision + 1:
            self._load(store)
            return
        while changes := store.changes(self.revision, CHANGES_PER_READ):
            for change in changes:
                if change.kind == SHARD:
                    self.apply(change.item_id, change.revision, change.body)
            self.revision = changes[-1].revision

    def _load(self, store: Store) -> None:
        self.shards.clear()
        self.needs_work.clear()
        self.removed.clear()
        for item in sorted(iter_items(store, SHARD), key=lambda item: item.revision):
            self.apply(item.item_id, item.revision, item.body)
        self.revision = self.complete_below = store.revision

    def apply(self, record_id: str, revision: int, body: bytes | None) -> None:
        """Apply one change of a shard record; `body` None: it was removed."""
        self.newest_revision = max(self.newest_revision, revision)
        self.needs_work.discard(record_id)
        before = self.shards.pop(record_id, None)
        if body is None:
            if before is not None:
                self._remember_removal(Removal(revision, record_id))
            return
        record = msgspec.json.decode(body, type=ShardRecord)
        self.shards[record_id] = StoredShard(record, revision)
        if needs_work(record):
            self.needs_work.add(record_id)

    def _remember_removal(self, removal: Removal) -> None:
        if len(self.removed) == MAX_REMEMBERED_REMOVALS:
            self.complete_below = self.removed[0].revision
        self.removed.append(removal)

    def for_incarnation(self, incarnation: int) -> list[StoredShard]:
        """Return the shards of one incarnation of a tenant."""
        prefix = f"{incarnation}/"
        return [stored for record_id, stored in self.shards.items() if record_id.startswith(prefix)]

    def changes_since(self, since: int) -> TableChanges:
        """Return what a router's table at revision `since` lacks; 0: the router has no table."""
        is_complete = not since or since < self.complete_below
        if not is_complete and since >= self.newest_revision:
            return TableChanges(False, [], [])
        assignments, removed = [], []
        for record, revision in reversed(self.shards.values()):
            if not is_complete and revision <= since:
                break
            if record.stage is Stage.SCHEDULED:
                removed.append(record.key)  # a router may have been told of it before it was withdrawn
            else:
                assignments.append(_assignment(record, revision))
        if not is_complete:
            removed += self._removed_since(since)
        return TableChanges(is_complete, assignments, removed)

    def _removed_since(self, since: int) -> list[ShardKey]:
        return [
            shard_key(removal.record_id)
            for removal in self.removed
            if removal.revision > since and removal.record_id not in self.shards
        ]


def _assignment(record: ShardRecord, revision: int) -> ShardAssignment:
    return ShardAssignment(
        record.incarnation, record.shard, record.prefixes, record.current, record.retries_blocked, revision
    )
