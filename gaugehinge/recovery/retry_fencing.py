"""Repeats of what may have run before a loss, at servers whose memory is gone. No I/O, no clock of its own.

A client marks a repeat. Of a deduplicated one the servers drop it, as long as they remember its mark; after a
loss they remember nothing, and it would run again. So for the stated memory it gets its final answer here
(`-ERR`: it may have run), unless it is known that the marks were kept, or that the first try came after the
loss. The same for unrepeatable ones, for a time that the installation states.

The cost: for that time a client that was cut off by the loss learns nothing but that nobody knows. A first
try costs nothing at any time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from math import inf

from ..routing.types import DeduplicationScope, Deployment, Effect, EndpointEntry, EndpointState
from .restart_scope import Verdict

MOST_BORN = 4096  # marks whose first try came here after the loss; the oldest goes first


class Effects:
    """The windows in which repeats get their final answer. As large as the table of traffic types, and
    MOST_BORN marks while one is open."""

    def __init__(self, deployment: Deployment, unrepeatable: float, now: float) -> None:
        """`unrepeatable`: seconds after a loss in which repeats of unrepeatable ones come. At the start
        nothing is known: all windows are open."""
        self.types = deployment.traffic_types
        self.aside = deployment.cache_aside
        self.origin_kind = deployment.origin_kind
        self.memory = [
            each.deduplication_window
            if each.effect is Effect.WITH_IDEMPOTENCY_KEY
            else unrepeatable
            if each.effect is Effect.NON_IDEMPOTENT
            else 0.0
            for each in self.types
        ]
        self.until = [now + memory if memory else -inf for memory in self.memory]
        self.lost_at = now  # when marks were lost last, as far as is known
        self.born: OrderedDict[bytes, None] = OrderedDict()
        self.starts: dict[int, tuple[EndpointEntry, float]] = {}  # follows the list
        self.refused = 0
        self.log: list[str] = []  # emptied by the driver

    # -- what is learnt

    def decided(self, verdict: Verdict, lost_ago: Iterable[float], now: float) -> None:
        """The verdict is out. `lost_ago`: by each peer that lived on, seconds since it saw marks lost last,
        under 0: never. Where the fleet lived on, marks were kept but for what they saw."""
        if not verdict.lived:
            return
        told = [ago for ago in lost_ago if ago >= 0.0]
        for row, memory in enumerate(self.memory):
            kind = self.types[row]
            kept = verdict is Verdict.LONE or (
                kind.effect is Effect.WITH_IDEMPOTENCY_KEY
                and kind.deduplication_scope is DeduplicationScope.ALL
            )
            if not memory or not kept:
                continue  # our zone's own marks are gone with it
            left = memory - min(told) if told else -inf
            self.until[row] = min(self.until[row], now + left)
        self._tidy(now)

    def on_endpoints_changed(self, entries: Sequence[EndpointEntry], whole: bool, now: float) -> None:
        """The list or its changes: where all servers of a group began anew, its marks are gone."""
        if not entries:
            return  # of a list that is empty for once nothing follows
        first, named = not self.starts, {each.ident for each in entries}
        if whole:
            self.starts = {ident: kept for ident, kept in self.starts.items() if ident in named}
        for each in entries:
            known = self.starts.get(each.ident)
            if each.state is EndpointState.GONE:
                self.starts.pop(each.ident, None)
            elif first or (known is not None and each.started <= known[0].started):
                self.starts[each.ident] = (each, known[1] if known else -inf)
            else:
                self.starts[each.ident] = (each, now)
        for row, kind in enumerate(self.types):
            if kind.effect is Effect.WITH_IDEMPOTENCY_KEY:
                self._open(row, self._lost_at(kind.deduplication_scope, now - self.memory[row]), now)

    def doubt(self, ident: int, now: float) -> list[int]:
        """What a server remembers is not known to be there any more, whatever the list says by now. Returns
        the rows of traffic types whose marks may be gone with it. Until the list told of the new start a
        repeat of what had run there ran again."""
        known = self.starts.get(ident)
        if known is None:
            return []
        self.starts[ident] = (known[0], now)
        rows = []
        for row, kind in enumerate(self.types):
            if kind.effect is Effect.WITH_IDEMPOTENCY_KEY:
                lost_at = self._lost_at(kind.deduplication_scope, now - self.memory[row])
                self._open(row, lost_at, now)
                if lost_at == now:
                    rows.append(row)
        return rows

    def _lost_at(self, group: DeduplicationScope, since: float) -> float:
        """When the last group lost the last member that remembered what ran since then; -inf: none did."""
        groups: dict[object, list[float]] = {}
        for listing, anew_at in self.starts.values():
            if self.aside and listing.kind != self.origin_kind:
                continue  # they are never written to
            name = (
                0
                if group is DeduplicationScope.ALL
                else listing.zone
                if group is DeduplicationScope.ZONE
                else listing.cell
            )
            groups.setdefault(name, []).append(anew_at)
        return max((max(each) for each in groups.values() if min(each) > since), default=-inf)

    def _open(self, row: int, lost_at: float, now: float) -> None:
        until = lost_at + self.memory[row]
        if until <= self.until[row]:
            return
        if self.until[row] < now:
            self.log.append(f"marks lost: repeats of type {row} forfeited for {until - now:.1f} s")
        if lost_at > self.lost_at:
            self.lost_at = lost_at
            self.born.clear()
        self.until[row] = until

    # -- operations

    def open(self, now: float) -> bool:
        """Whether any window is."""
        return any(now < until for until in self.until)

    def final(self, row: int, write: bool, repeat: bool, mark: bytes, now: float) -> bool:
        """Whether an operation that comes now gets its final answer without an attempt."""
        if now >= self.until[row]:
            return False
        if not write and self.types[row].effect is Effect.WITH_IDEMPOTENCY_KEY:
            return False
        if not repeat:
            if mark:
                # Its first try came after the loss: what runs of it from now on is remembered.
                self.born[mark] = None
                if len(self.born) > MOST_BORN:
                    self.born.popitem(last=False)
            return False
        if mark and mark in self.born:
            return False
        self.refused += 1
        return True

    def _tidy(self, now: float) -> None:
        if not self.open(now):
            self.born.clear()
