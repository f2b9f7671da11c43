"""All shards as the store has them, brought up to date from its log. On the store's thread alone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from ..store.store import Store
from .lifecycle import SETTLED_STAGES, Lifecycle, Stage
from .messages import ShardRecord
from .shard_table import ShardAssignment

SHARD = "shard"
REMOVED_KEPT = 4096  # removals that a router may be behind; one further behind gets the whole
CHANGES_MOST = 5000  # rows of the log read at a time


def lifecycle_of(row: ShardRecord) -> Lifecycle:
    """Its life, as the decisions want it."""
    return Lifecycle(
        Stage(row.stage), row.now, row.then, row.at, row.end, row.held, row.known, row.far, row.left
    )


def with_lifecycle(row: ShardRecord, life: Lifecycle, now: float) -> ShardRecord:
    """The same with another life, at `now` (Unix seconds)."""
    since = now if life.stage.value != row.stage else row.since
    return msgspec.structs.replace(
        row,
        stage=life.stage.value,
        since=since,
        now=life.now,
        then=life.then,
        at=life.at,
        end=life.end,
        held=life.held,
        known=life.known,
        far=life.far,
        left=life.left,
    )


def needs_work(row: ShardRecord) -> bool:
    """Whether the keeper has something to do for it by itself."""
    return (
        Stage(row.stage) not in (*SETTLED_STAGES, Stage.QUARANTINED)
        or bool(row.at)
        or (row.held and row.stage != Stage.QUARANTINED.value)
    )


@dataclass(slots=True)
class ShardIndex:
    """Rows by ident, and what was removed of late."""

    rev: int = 0
    rows: dict[str, tuple[ShardRecord, int]] = field(default_factory=dict)  # what changed last stands last
    needs_work: set[str] = field(default_factory=set)
    removed: deque[tuple[int, str]] = field(default_factory=lambda: deque(maxlen=REMOVED_KEPT))
    whole_below: int = 0  # a table older than this cannot be brought up to date by changes
    newest: int = 0  # revision of the row changed last

    def refresh(self, store: Store) -> None:
        """Follow the store."""
        if not self.rev or store.oldest > self.rev + 1:
            self._load(store)
            return
        while changes := store.changes(self.rev, CHANGES_MOST):
            for change in changes:
                if change.kind == SHARD:
                    self._take(change.ident, change.rev, change.body)
            self.rev = changes[-1].rev

    def _load(self, store: Store) -> None:
        self.rows.clear()
        self.needs_work.clear()
        self.removed.clear()
        after, found = "", []
        while items := store.items(SHARD, after):
            found += items
            after = items[-1].ident
        for item in sorted(found, key=lambda each: each.rev):
            self._take(item.ident, item.rev, item.body)
        self.rev = self.whole_below = store.rev

    def _take(self, ident: str, rev: int, body: bytes | None) -> None:
        self.newest = max(self.newest, rev)
        self.needs_work.discard(ident)
        before = self.rows.pop(ident, None)
        if body is None:
            if before is not None:
                if len(self.removed) == REMOVED_KEPT:
                    self.whole_below = self.removed[0][0]
                self.removed.append((rev, ident))
            return
        row = msgspec.json.decode(body, type=ShardRecord)
        self.rows[ident] = row, rev
        if needs_work(row):
            self.needs_work.add(ident)

    def of(self, incarnation: int) -> list[tuple[ShardRecord, int]]:
        """The shards of one incarnation."""
        head = f"{incarnation}/"
        return [row for ident, row in self.rows.items() if ident.startswith(head)]

    def told(self, since: int) -> tuple[bool, list[ShardAssignment], list[tuple[int, str]]]:
        """Whether it is the whole, the rows and what is gone, for a router whose table is of a revision."""
        whole = not since or since < self.whole_below
        if not whole and since >= self.newest:
            return False, [], []
        rows, gone = [], []
        for row, rev in reversed(self.rows.values()):
            if not whole and rev <= since:
                break
            if row.stage == Stage.SCHEDULED.value:
                gone.append((row.incarnation, row.shard))  # told once, it may have been taken back
            else:
                rows.append(ShardAssignment(row.incarnation, row.shard, row.prefixes, row.now, row.held, rev))
        if not whole:
            for rev, ident in self.removed:
                number, _, shard = ident.partition("/")
                if rev > since and ident not in self.rows:
                    gone.append((int(number), shard))
        return whole, rows, gone
