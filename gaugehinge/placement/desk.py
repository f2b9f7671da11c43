"""All shards as the store has them, brought up to date from its log. On the store's thread alone."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

from ..store.store import Store
from .forms import Pinned
from .life import REST, Life, Stage
from .shards import Row

SHARD = "shard"
REMOVED_KEPT = 4096  # removals that a router may be behind; one further behind gets the whole
CHANGES_MOST = 5000  # rows of the log read at a time


def life_of(row: Pinned) -> Life:
    """Its life, as the decisions want it."""
    return Life(Stage(row.stage), row.now, row.then, row.at, row.end, row.held, row.known, row.far, row.left)


def living(row: Pinned, life: Life, now: float) -> Pinned:
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


def restless(row: Pinned) -> bool:
    """Whether the keeper has something to do for it by itself."""
    return (
        Stage(row.stage) not in (*REST, Stage.HELD)
        or bool(row.at)
        or (row.held and row.stage != Stage.HELD.value)
    )


@dataclass(slots=True)
class Desk:
    """Rows by ident, and what was removed of late."""

    rev: int = 0
    rows: dict[str, tuple[Pinned, int]] = field(default_factory=dict)  # what changed last stands last
    restless: set[str] = field(default_factory=set)
    removed: deque[tuple[int, str]] = field(default_factory=lambda: deque(maxlen=REMOVED_KEPT))
    whole_below: int = 0  # a table older than this cannot be brought up to date by changes
    newest: int = 0  # revision of the row changed last

    def refresh(self, store: Store) -> None:
        """Follow the store."""
        if not self.rev or store.oldest_revision > self.rev + 1:
            self._load(store)
            return
        while changes := store.changes(self.rev, CHANGES_MOST):
            for change in changes:
                if change.kind == SHARD:
                    self._take(change.item_id, change.revision, change.body)
            self.rev = changes[-1].revision

    def _load(self, store: Store) -> None:
        self.rows.clear()
        self.restless.clear()
        self.removed.clear()
        after, found = "", []
        while items := store.items(SHARD, after):
            found += items
            after = items[-1].item_id
        for item in sorted(found, key=lambda each: each.revision):
            self._take(item.item_id, item.revision, item.body)
        self.rev = self.whole_below = store.revision

    def _take(self, ident: str, rev: int, body: bytes | None) -> None:
        self.newest = max(self.newest, rev)
        self.restless.discard(ident)
        before = self.rows.pop(ident, None)
        if body is None:
            if before is not None:
                if len(self.removed) == REMOVED_KEPT:
                    self.whole_below = self.removed[0][0]
                self.removed.append((rev, ident))
            return
        row = msgspec.json.decode(body, type=Pinned)
        self.rows[ident] = row, rev
        if restless(row):
            self.restless.add(ident)

    def of(self, incarnation: int) -> list[tuple[Pinned, int]]:
        """The shards of one incarnation."""
        head = f"{incarnation}/"
        return [row for ident, row in self.rows.items() if ident.startswith(head)]

    def told(self, since: int) -> tuple[bool, list[Row], list[tuple[int, str]]]:
        """Whether it is the whole, the rows and what is gone, for a router whose table is of a revision."""
        whole = not since or since < self.whole_below
        if not whole and since >= self.newest:
            return False, [], []
        rows, gone = [], []
        for row, rev in reversed(self.rows.values()):
            if not whole and rev <= since:
                break
            if row.stage == Stage.ASKED.value:
                gone.append((row.incarnation, row.shard))  # told once, it may have been taken back
            else:
                rows.append(Row(row.incarnation, row.shard, row.prefixes, row.now, row.held, rev))
        if not whole:
            for rev, ident in self.removed:
                number, _, shard = ident.partition("/")
                if rev > since and ident not in self.rows:
                    gone.append((int(number), shard))
        return whole, rows, gone
