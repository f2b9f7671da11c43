"""Fails retries of operations that may have run before a loss, while servers may have forgotten their keys.

Clients mark their retries. Servers drop a retry of a deduplicated operation as long as they remember its
idempotency key (its mark); after a loss they remember none, and it would run again. For the deduplication
window such a retry therefore gets its final answer here (`-ERR`: it may have run), unless the keys are known
to have been kept or the first attempt is known to have come after the loss. The same holds for non-idempotent
operations, for a time set in the installation.

The cost: during that time a client that was cut off by the loss does not learn whether its operation ran.
First attempts are never affected. No I/O and no clock of its own.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from math import inf

from ..routing.types import DeduplicationScope, Deployment, Effect, EndpointEntry, EndpointState
from .restart_scope import Verdict

MAX_FRESH_KEYS = 4096  # keys first seen here after the loss; the oldest is dropped first


class RetryFence:
    """The time windows, by traffic type, in which retries fail.

    Its size grows with the table of traffic types, plus up to `MAX_FRESH_KEYS` keys while a window is active.
    """

    def __init__(self, deployment: Deployment, non_idempotent_window: float, now: float) -> None:
        """`non_idempotent_window`: seconds after a loss in which retries of non-idempotent operations arrive.

        At the start nothing is known, so all windows are active.
        """
        self.traffic_types = deployment.traffic_types
        self.cache_aside = deployment.cache_aside
        self.origin_kind = deployment.origin_kind
        # By traffic type, seconds for which its retries fail after a loss.
        self.retention = [
            traffic_type.deduplication_window
            if traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY
            else non_idempotent_window
            if traffic_type.effect is Effect.NON_IDEMPOTENT
            else 0.0
            for traffic_type in self.traffic_types
        ]
        self.fenced_until = [now + retention if retention else -inf for retention in self.retention]
        self.keys_lost_at = now  # when servers last lost keys, as far as is known
        self.fresh_keys: OrderedDict[bytes, None] = OrderedDict()
        # Entry and restart time of each listed server.
        self.servers: dict[int, tuple[EndpointEntry, float]] = {}
        self.failed = 0
        self.log_lines: list[str] = []  # written to the log and cleared by the driver

    # -- events

    def apply_verdict(self, verdict: Verdict, keys_lost_ago: Iterable[float], now: float) -> None:
        """Shortens the windows if the fleet survived: keys were then kept, except for losses that peers saw.

        `keys_lost_ago`: from each peer that survived, seconds since it last saw keys lost; negative: never.
        """
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
                continue  # keys kept within our zone were lost with it
            remaining = retention - min(reported) if reported else -inf
            self.fenced_until[row] = min(self.fenced_until[row], now + remaining)
        self._drop_expired(now)

    def on_endpoints_changed(self, entries: Sequence[EndpointEntry], complete: bool, now: float) -> None:
        """Takes in a list or its changes: if all servers of a group restarted, the group's keys are lost."""
        if not entries:
            return  # a temporarily empty list proves nothing
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
                self._extend(
                    row, self._group_lost_at(traffic_type.deduplication_scope, now - self.retention[row]), now
                )

    def suspect_server(self, ident: int, now: float) -> list[int]:
        """Records that a server may have lost its keys, whatever the list says so far.

        Returns the rows of the traffic types whose keys may be lost with it. Without this, a retry of an
        operation that had run on the server ran again until the list reported the server's new start.
        """
        previous = self.servers.get(ident)
        if previous is None:
            return []
        self.servers[ident] = (previous[0], now)
        rows = []
        for row, traffic_type in enumerate(self.traffic_types):
            if traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY:
                keys_lost_at = self._group_lost_at(
                    traffic_type.deduplication_scope, now - self.retention[row]
                )
                self._extend(row, keys_lost_at, now)
                if keys_lost_at == now:
                    rows.append(row)
        return rows

    def _group_lost_at(self, scope: DeduplicationScope, earliest: float) -> float:
        """The latest time by which all servers of some group had restarted since `earliest`; -inf: none."""
        restarts_by_group: dict[object, list[float]] = {}
        for entry, restarted_at in self.servers.values():
            if self.cache_aside and entry.kind != self.origin_kind:
                continue  # in cache-aside mode only the origin takes writes
            group = (
                0
                if scope is DeduplicationScope.ALL
                else entry.zone
                if scope is DeduplicationScope.ZONE
                else entry.cell
            )
            restarts_by_group.setdefault(group, []).append(restarted_at)
        return max(
            (max(times) for times in restarts_by_group.values() if min(times) > earliest), default=-inf
        )

    def _extend(self, row: int, keys_lost_at: float, now: float) -> None:
        fenced_until = keys_lost_at + self.retention[row]
        if fenced_until <= self.fenced_until[row]:
            return
        if self.fenced_until[row] < now:
            self.log_lines.append(
                f"marks lost: retries of traffic type {row} fail for {fenced_until - now:.1f} s"
            )
        if keys_lost_at > self.keys_lost_at:
            self.keys_lost_at = keys_lost_at
            self.fresh_keys.clear()
        self.fenced_until[row] = fenced_until

    # -- operations

    def is_active(self, now: float) -> bool:
        """Whether any window is active."""
        return any(now < fenced_until for fenced_until in self.fenced_until)

    def must_fail(self, row: int, is_write: bool, is_retry: bool, key: bytes, now: float) -> bool:
        """Whether an operation that arrives now gets its final answer without an attempt."""
        if now >= self.fenced_until[row]:
            return False
        if not is_write and self.traffic_types[row].effect is Effect.WITH_IDEMPOTENCY_KEY:
            return False
        if not is_retry:
            if key:
                # Its first attempt came after the loss: servers remember whatever runs of it from now on.
                self.fresh_keys[key] = None
                if len(self.fresh_keys) > MAX_FRESH_KEYS:
                    self.fresh_keys.popitem(last=False)
            return False
        if key and key in self.fresh_keys:
            return False
        self.failed += 1
        return True

    def _drop_expired(self, now: float) -> None:
        if not self.is_active(now):
            self.fresh_keys.clear()
