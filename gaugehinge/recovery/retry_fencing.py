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

from ..routing.traffic_types import DeduplicationScope, Deployment, Effect, EndpointEntry, EndpointState
from .restart_scope import Verdict

MAX_FRESH_KEYS = 4096  # marks whose first try came here after the loss; the oldest goes first


class RetryFence:
    """The windows in which repeats get their final answer. As large as the table of traffic types, and
    MOST_BORN marks while one is open."""

    def __init__(self, deployment: Deployment, non_idempotent_window: float, now: float) -> None:
        """`unrepeatable`: seconds after a loss in which repeats of unrepeatable ones come. At the start
        nothing is known: all windows are open."""
        self.traffic_types = deployment.traffic_types
        self.cache_aside = deployment.cache_aside
        self.origin_kind = deployment.origin_kind
        self.retention = [
            traffic_type.deduplication_window
            if traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY
            else non_idempotent_window
            if traffic_type.effect is Effect.NON_IDEMPOTENT
            else 0.0
            for traffic_type in self.traffic_types
        ]
        self.fenced_until = [now + retention if retention else -inf for retention in self.retention]
        self.keys_lost_at = now  # when marks were lost last, as far as is known
        self.fresh_keys: OrderedDict[bytes, None] = OrderedDict()
        self.servers: dict[int, tuple[EndpointEntry, float]] = {}  # follows the list
        self.rejected = 0
        self.log_lines: list[str] = []  # emptied by the driver

    # -- what is learnt

    def apply_verdict(self, verdict: Verdict, keys_lost_ago: Iterable[float], now: float) -> None:
        """The verdict is out. `lost_ago`: by each peer that lived on, seconds since it saw marks lost last,
        under 0: never. Where the fleet lived on, marks were kept but for what they saw."""
        if not verdict.fleet_survived:
            return
        reported = [ago for ago in keys_lost_ago if ago >= 0.0]
        for row, retention in enumerate(self.retention):
            traffic_type = self.traffic_types[row]
            keys_kept = verdict is Verdict.LONE or (
                traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY
                and traffic_type.deduplication_scope is DeduplicationScope.ALL
            )
            if not retention or not keys_kept:
                continue  # our zone's own marks are gone with it
            remaining = retention - min(reported) if reported else -inf
            self.fenced_until[row] = min(self.fenced_until[row], now + remaining)
        self._drop_expired(now)

    def on_endpoints_changed(self, entries: Sequence[EndpointEntry], complete: bool, now: float) -> None:
        """The list or its changes: where all servers of a group began anew, its marks are gone."""
        if not entries:
            return  # of a list that is empty for once nothing follows
        first_list, listed = not self.servers, {entry.ident for entry in entries}
        if complete:
            self.servers = {ident: server for ident, server in self.servers.items() if ident in listed}
        for entry in entries:
            previous = self.servers.get(entry.ident)
            if entry.state is EndpointState.GONE:
                self.servers.pop(entry.ident, None)
            elif first_list or (previous is not None and entry.started <= previous[0].started):
                self.servers[entry.ident] = (entry, previous[1] if previous else -inf)
            else:
                self.servers[entry.ident] = (entry, now)
        for row, traffic_type in enumerate(self.traffic_types):
            if traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY:
                self._extend(row, self._group_lost_at(traffic_type.deduplication_scope, now - self.retention[row]), now)

    def suspect_server(self, ident: int, now: float) -> list[int]:
        """What a server remembers is not known to be there any more, whatever the list says by now. Returns
        the rows of traffic types whose marks may be gone with it. Until the list told of the new start a
        repeat of what had run there ran again."""
        previous = self.servers.get(ident)
        if previous is None:
            return []
        self.servers[ident] = (previous[0], now)
        rows = []
        for row, traffic_type in enumerate(self.traffic_types):
            if traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY:
                keys_lost_at = self._group_lost_at(traffic_type.deduplication_scope, now - self.retention[row])
                self._extend(row, keys_lost_at, now)
                if keys_lost_at == now:
                    rows.append(row)
        return rows

    def _group_lost_at(self, scope: DeduplicationScope, earliest: float) -> float:
        """When the last group lost the last member that remembered what ran since then; -inf: none did."""
        restarts_by_group: dict[object, list[float]] = {}
        for entry, restarted_at in self.servers.values():
            if self.cache_aside and entry.kind != self.origin_kind:
                continue  # they are never written to
            group = (
                0
                if scope is DeduplicationScope.ALL
                else entry.zone
                if scope is DeduplicationScope.ZONE
                else entry.cell
            )
            restarts_by_group.setdefault(group, []).append(restarted_at)
        return max((max(times) for times in restarts_by_group.values() if min(times) > earliest), default=-inf)

    def _extend(self, row: int, keys_lost_at: float, now: float) -> None:
        fenced_until = keys_lost_at + self.retention[row]
        if fenced_until <= self.fenced_until[row]:
            return
        if self.fenced_until[row] < now:
            self.log_lines.append(f"marks lost: repeats of type {row} forfeited for {fenced_until - now:.1f} s")
        if keys_lost_at > self.keys_lost_at:
            self.keys_lost_at = keys_lost_at
            self.fresh_keys.clear()
        self.fenced_until[row] = fenced_until

    # -- operations

    def is_active(self, now: float) -> bool:
        """Whether any window is."""
        return any(now < fenced_until for fenced_until in self.fenced_until)

    def must_reject(self, row: int, is_write: bool, is_retry: bool, key: bytes, now: float) -> bool:
        """Whether an operation that comes now gets its final answer without an attempt."""
        if now >= self.fenced_until[row]:
            return False
        if not is_write and self.traffic_types[row].effect is Effect.WITH_IDEMPOTENCY_KEY:
            return False
        if not is_retry:
            if key:
                # Its first try came after the loss: what runs of it from now on is remembered.
                self.fresh_keys[key] = None
                if len(self.fresh_keys) > MAX_FRESH_KEYS:
                    self.fresh_keys.popitem(last=False)
            return False
        if key and key in self.fresh_keys:
            return False
        self.rejected += 1
        return True

    def _drop_expired(self, now: float) -> None:
        if not self.is_active(now):
            self.fresh_keys.clear()
