"""State of all nodes as known to one control plane run: reports, issued leases and worst cases.

Performs no I/O and reads no clock: `now` is always the caller's monotonic clock, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from ..tenancy.lease import EXPIRY_MARGIN, MAX_CLOCK_DRIFT, GrantedLease
from .connection_counts import ConnectionCounts, count_for, maximum
from .lease_types import DurableState, NodeRecord, NodeReport

REPORTS_PER_NODE = 4  # reports are kept for at most this many times `max_nodes` nodes


@dataclass(slots=True, eq=False)
class LeaseTable:
    """Reports and issued leases by node. The node records themselves are kept in the store."""

    started_at: float
    lease_duration: float  # seconds
    close_timeout: float  # seconds within which an upstream closes connections that a silent node left open
    max_nodes: int
    floors: ConnectionCounts
    reserve: float  # fraction of each limit that is not granted for demand alone
    issuer: str  # identity of this control plane run
    incarnation: str  # of the store
    state: DurableState
    reports: dict[str, NodeReport] = field(default_factory=dict)  # latest report of each node
    last_heard: dict[str, float] = field(default_factory=dict)
    issued: dict[str, GrantedLease] = field(default_factory=dict)
    lingering_until: dict[str, float] = field(default_factory=dict)  # when connections of earlier runs end
    misreporting: set[str] = field(default_factory=set)  # reported connections after reporting all closed
    rejected: dict[str, str] = field(default_factory=dict)  # reason by node that was not admitted
    unprocessed: set[str] = field(default_factory=set)  # nodes that reported since the last plan
    last_rebalance: float = float("-inf")
    recorded_admissions: int = 0  # admissions that the file beside the store records too
    configured_floors: ConnectionCounts = field(default_factory=dict)  # take effect once they fit the limits
    store_is_current: bool = False  # proved to hold all leases that the previous run issued

    # -- time bounds

    @property
    def close_timeout_bound(self) -> float:
        """Seconds by this clock that cover the longest close timeout as measured by any clock."""
        return (
            max(self.close_timeout, self.state.longest_close_timeout) * (1.0 + MAX_CLOCK_DRIFT)
            + EXPIRY_MARGIN
        )

    @property
    def former_leases_end(self) -> float:
        """When no node unheard by this run can still hold connections under an earlier run's lease."""
        longest = max(self.lease_duration, self.state.longest_lease)
        return self.started_at + longest * (1.0 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN + self.close_timeout_bound

    @property
    def startup_hold(self) -> float:
        """Seconds, by any clock, during which a control plane on a copy of this store raises no grant."""
        return (self.lease_duration + self.close_timeout) * (1.0 - MAX_CLOCK_DRIFT)

    def may_raise(self, now: float) -> bool:
        """Whether the stored worst cases cover all that nodes may hold, so that the rest can be granted."""
        return self.store_is_current or now >= self.former_leases_end

    # -- floors

    def adopt_floors(self, records: Iterable[NodeRecord]) -> None:
        """Start with the floors that known nodes already have.

        Higher floors in the settings wait until they fit the limits: otherwise a node that is cut off could
        fall back to more connections than it is counted with.
        """
        self.configured_floors = dict(self.floors)
        self.floors = {
            upstream: min([floor, *(count_for(record.floors, upstream) for record in records)])
            for upstream, floor in self.configured_floors.items()
        }

    def _raise_floors(self, records: Mapping[str, NodeRecord], limits: Mapping[str, int]) -> None:
        """Put the configured floors into effect if all worst cases then stay within the limits."""
        previous_floors, self.floors = self.floors, self.configured_floors
        raised = [
            msgspec.structs.replace(record, floors=maximum(record.floors, self.floors))
            for record in records.values()
        ]
        if any(self.total_worst_case(raised, upstream) > limit for upstream, limit in limits.items()):
            self.floors = previous_floors

    # -- reports

    def on_report(self, report: NodeReport, now: float) -> bool:
        """Record a report. Return False if it is out of date or the table is full."""
        known = self.reports.get(report.node)
        if known is not None and not _is_older(known, report):
            return False
        if known is None and not self._has_room(now):
            return False
        if known is None or known.run != report.run:
            self.issued.pop(report.node, None)  # of the previous run, which `_apply_new_run` accounts for
        self.reports[report.node], self.last_heard[report.node] = report, now
        self.unprocessed.add(report.node)
        return True

    def _has_room(self, now: float) -> bool:
        capacity = REPORTS_PER_NODE * self.max_nodes
        if len(self.reports) >= capacity:
            self._forget_silent_rejected(now)
        return len(self.reports) < capacity

    def _forget_silent_rejected(self, now: float) -> None:
        silent = [n for n in self.rejected if now - self.last_heard.get(n, now) > self.lease_duration]
        for node in silent:
            self._discard_report(node)
            del self.rejected[node]

    def _discard_report(self, node: str) -> None:
        self.reports.pop(node, None)
        self.last_heard.pop(node, None)
        self.issued.pop(node, None)
        self.unprocessed.discard(node)

    def forget_node(self, node: str) -> None:
        """Drop everything known about a node that an operator declared gone."""
        self._discard_report(node)
        self.lingering_until.pop(node, None)
        self.rejected.pop(node, None)
        self.misreporting.discard(node)

    # -- liveness

    def is_live(self, node: str, now: float) -> bool:
        """Whether the node reported within the last lease duration."""
        return now - self.last_heard.get(node, float("-inf")) < self.lease_duration

    def has_expired(self, node: str, now: float) -> bool:
        """Whether the node certainly has no more connections open than its floors."""
        if self.is_live(node, now):
            return False
        lease = self.issued.get(node)
        if lease is None:
            return now >= self.former_leases_end
        return lease.has_expired(now - self.close_timeout_bound)

    # -- worst case

    def total_worst_case(self, records: Iterable[NodeRecord], upstream: str) -> int:
        """Sum the worst cases of all nodes that may exist; each node not yet admitted counts its floor."""
        held, count = 0, 0
        for record in records:
            held += record.worst_case(upstream)
            count += 1
        return held + max(self.max_nodes - count, 0) * count_for(self.floors, upstream)

    def limit_enforced(self, records: Iterable[NodeRecord], upstream: str, limit: int, now: float) -> bool:
        """Whether the limit is certainly kept. A lowered limit takes effect only after grants are lowered."""
        return self.may_raise(now) and self.total_worst_case(records, upstream) <= limit


def _is_older(known: NodeReport, report: NodeReport) -> bool:
    """Whether the known report was sent before `report`, in an earlier run or earlier in the same run."""
    if known.run != report.run:
        return report.run_number > known.run_number
    return report.sequence > known.sequence
