"""All shards as the store has them, brought up to date from its log. On the store's thread alone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from ..store.store import Store
from .lifecycle import Stage
from .records import SHARD, ShardRecord, needs_work
from .shard_table import ShardAssignment

MAX_REMEMBERED_REMOVALS = 4096  # removals that a router may be behind; one further behind gets the whole
CHANGES_PER_READ = 5000  # rows of the log read at a time


@dataclass(slots=True)
class ShardIndex:
    """Rows by ident, and what was removed of late."""

    revision: int = 0
    shards: dict[str, tuple[ShardRecord, int]] = field(default_factory=dict)  # what changed last stands last
    needs_work: set[str] = field(default_factory=set)
    removed: deque[tuple[int, str]] = field(default_factory=lambda: deque(maxlen=MAX_REMEMBERED_REMOVALS))
    complete_below: int = 0  # a table older than this cannot be brought up to date by changes
    newest_revision: int = 0  # revision of the row changed last

    def refresh(self, store: Store) -> None:
        """Follow the store."""
        if not self.revision or store.oldest > self.revision + 1:
            self._load(store)
            return
        while changes := store.changes(self.revision, CHANGES_PER_READ):
            for change in changes:
                if change.kind == SHARD:
                    self._apply(change.ident, change.rev, change.body)
            self.revision = changes[-1].rev

    def _load(self, store: Store) -> None:
        self.shards.clear()
        self.needs_work.clear()
        self.removed.clear()
        after, found = "", []
        while items := store.items(SHARD, after):
            found += items
            after = items[-1].ident
        for item in sorted(found, key=lambda each: each.rev):
            self._apply(item.ident, item.rev, item.body)
        self.revision = self.complete_below = store.rev

    def _apply(self, ident: str, rev: int, body: bytes | None) -> None:
        self.newest_revision = max(self.newest_revision, rev)
        self.needs_work.discard(ident)
        before = self.shards.pop(ident, None)
        if body is None:
            if before is not None:
                if len(self.removed) == MAX_REMEMBERED_REMOVALS:
                    self.complete_below = self.removed[0][0]
                self.removed.append((rev, ident))
            return
        row = msgspec.json.decode(body, type=ShardRecord)
        self.shards[ident] = row, rev
        if needs_work(row):
            self.needs_work.add(ident)

    def for_incarnation(self, incarnation: int) -> list[tuple[ShardRecord, int]]:
        """The shards of one incarnation."""
        head = f"{incarnation}/"
        return [row for ident, row in self.shards.items() if ident.startswith(head)]

    def changes_since(self, since: int) -> tuple[bool, list[ShardAssignment], list[tuple[int, str]]]:
        """Whether it is the whole, the rows and what is gone, for a router whose table is of a revision."""
        whole = not since or since < self.complete_below
        if not whole and since >= self.newest_revision:
            return False, [], []
        rows, gone = [], []
        for row, rev in reversed(self.shards.values()):
            if not whole and rev <= since:
                break
            if row.stage == Stage.SCHEDULED.value:
                gone.append((row.incarnation, row.shard))  # told once, it may have been taken back
            else:
                rows.append(
                    ShardAssignment(
                        row.incarnation, row.shard, row.prefixes, row.current, row.retries_blocked, rev
                    )
                )
        if not whole:
            for rev, ident in self.removed:
                number, _, shard = ident.partition("/")
                if rev > since and ident not in self.shards:
                    gone.append((int(number), shard))
        return whole, rows, gone
