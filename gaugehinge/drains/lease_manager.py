"""Numbered connection leases, decided by one control plane run. No I/O, no clock, no randomness.

An upstream accepts a limited number of connections in total. A node's worst case is the highest number
of open connections that cannot be ruled out for it. The sum of all nodes' worst cases stays within the limit
at every instant; docs/drains.md has the proof. In short:

- Every node that was ever admitted keeps its floors, even while it is cut off; the floors of `max_nodes`
  nodes fit into each limit.
- Connections above the floors are granted by a lease with a number and a duration. They count as held until
  the node reports, under a later lease number, that it has fewer; or until the lease, with an allowance for
  clock drift, and then the longest close timeout are over.
- A kill does not prove that connections are closed. A new run on the same state file proves that the earlier
  process ended, not that the upstream closed its connections: those count for the longest close timeout from
  the new run's first report.
- Every decision is written to the store before a node is told of it. A control plane that starts raises no
  grant until the longest lease and close timeout have passed, whatever its store contains; connections that
  nodes report to hold are counted. It need not wait if its store is proved to be the one from which leases
  were last issued (`high_water_mark.py`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ..tenancy.lease import GrantedLease
from .connection_counts import ConnectionCounts, count_for, maximum, total
from .lease_allocation import LeaseAllocator
from .lease_table import LeaseTable
from .lease_types import ConnectionLease, NodeRecord, NodeReport

REBALANCE_INTERVAL = 10.0  # seconds between rebalancings that are not urgent


@dataclass(slots=True, eq=False)
class LeaseManager(LeaseTable):
    """Plans changes to the node records and issues the leases they contain."""

    def plan(
        self,
        records: Mapping[str, NodeRecord],
        limits: Mapping[str, int],
        now: float,
        draining: frozenset[str] = frozenset(),
        tenant_demand: Mapping[str, float] | None = None,
    ) -> dict[str, NodeRecord]:
        """Return the records to be changed, all in one transaction.

        Grants of `draining` nodes are not raised. `tenant_demand` is, by upstream, the total number of
        connections that tenants would use at their rate limits.
        """
        planned = dict(records)
        if self.configured_floors and self.floors != self.configured_floors and self.may_raise(now):
            self._raise_floors(planned, limits)
        for node, report in self.reports.items():
            self._apply_report(planned, node, report, now)
        self.unprocessed.clear()
        for node, record in planned.items():
            planned[node] = self._expire(record, now)
        if self.may_raise(now):
            self._rebalance(planned, limits, now, draining, tenant_demand or {})
        return {node: record for node, record in planned.items() if records.get(node) != record}

    def issue(self, record: NodeRecord, report: NodeReport, now: float) -> ConnectionLease | None:
        """Return the lease for a reply that is sent now and record it as issued; None if the node gets none.

        The caller has to ensure that no plan runs between the read of the record and this call.
        """
        if record.run != report.run or record.admission > self.recorded_admissions:
            return None
        if record.closed or not record.granted:
            return None
        if record.number < report.number or _same_number_of_other_issuer(record, report):
            return None  # the next plan continues from the reported number
        self.issued[record.node] = GrantedLease(now, self.lease_duration, record.number)
        floors = {
            upstream: min(floor, count_for(record.floors, upstream))
            for upstream, floor in self.floors.items()
        }
        return ConnectionLease(
            record.number,
            record.issuer,
            record.granted,
            floors,
            self.lease_duration,
            predecessors_closed=not record.lingering,
        )

    # -- changes by reports

    def _apply_report(
        self, records: dict[str, NodeRecord], node: str, report: NodeReport, now: float
    ) -> None:
        record = records.get(node)
        if record is None:
            record = self._admit(records, report, now)
            if record is None:
                return
        elif record.run != report.run:
            if report.run_number <= record.run_number:
                return  # the reply tells it which run number to exceed
            record = self._apply_new_run(record, report, now)
        record = self._reconcile_number(record, report)
        floors = self._floors_of(record, report)
        if floors != record.floors:
            record = msgspec.structs.replace(record, floors=floors)
        records[node] = self._apply_open_connections(record, report)

    def _reconcile_number(self, record: NodeRecord, report: NodeReport) -> NodeRecord:
        if report.number > record.number or _same_number_of_other_issuer(record, report):
            # The store was restored: continue from the later number, with all that either lease may allow.
            self._suspend_admissions(
                f"{record.node} follows number {report.number}, which this store does not know"
            )
            ceilings = maximum(record.ceilings, report.granted, report.open_connections)
            record = msgspec.structs.replace(record, number=report.number)
            return record.reissued(self.issuer, dict(report.granted), ceilings)
        if record.node in self.unprocessed and not report.granted and record.granted:
            # The lease expired: a store that has since been lost may already have granted it to others.
            return record.reissued(self.issuer, {}, {})
        return record

    def _suspend_admissions(self, reason: str) -> None:
        if not self.state.suspension_reason:
            self.state = msgspec.structs.replace(self.state, suspension_reason=reason)

    def _apply_open_connections(self, record: NodeRecord, report: NodeReport) -> NodeRecord:
        """Record whether the run has closed everything, and lower the ceilings to what it has confirmed."""
        was_closed = record.closed
        if report.closed and not was_closed:
            record = msgspec.structs.replace(record.reissued(self.issuer, {}, {}), closed=True)
        opened = {upstream: count for upstream, count in report.open_connections.items() if count > 0}
        if was_closed and any(
            count > count_for(record.ceilings, upstream) for upstream, count in opened.items()
        ):
            self.misreporting.add(record.node)
        follows = (report.number, report.issuer) == (record.number, record.issuer)
        if follows or record.closed:
            ceilings = maximum(record.granted, opened)
        else:
            ceilings = maximum(record.ceilings, opened, report.granted)
        return record if ceilings == record.ceilings else msgspec.structs.replace(record, ceilings=ceilings)

    def _floors_of(self, record: NodeRecord, report: NodeReport) -> ConnectionCounts:
        """Floors that a node may use: the stored ones, until it reports lower ones from its state file."""
        if record.run == report.run and report.admitted_by == self.incarnation:
            return maximum(report.floors, self.floors)  # `self.floors` is sent with every lease
        return maximum(record.floors, report.floors)

    def _admit(self, records: dict[str, NodeRecord], report: NodeReport, now: float) -> NodeRecord | None:
        if report.admitted_by:
            # It uses its floors whatever is decided here: the store lost its record, or it was declared gone.
            self._suspend_admissions(f"{report.node} was admitted, which this store does not know")
        else:
            reason = self._rejection_reason(len(records), now)
            if reason:
                self.rejected[report.node] = reason
                return None
        self.rejected.pop(report.node, None)
        admission = self.state.admissions + 1
        self.state = msgspec.structs.replace(self.state, admissions=admission)
        floors = maximum(self.floors, report.floors)
        lingering: ConnectionCounts = {}
        if report.admitted_by:
            lingering = floors  # of earlier runs, which this store does not know either
            self.lingering_until[report.node] = now + self.close_timeout_bound
        return NodeRecord(
            report.node,
            report.run,
            report.run_number,
            number=report.number + 1,
            issuer=self.issuer,
            granted=dict(report.granted),
            ceilings=maximum(report.granted, report.open_connections),
            lingering=lingering,
            floors=floors,
            admission=admission,
            zone=report.zone,
        )

    def _rejection_reason(self, known_nodes: int, now: float) -> str:
        """Why a new node is not admitted now; empty if it is admitted."""
        if self.state.suspension_reason:
            return self.state.suspension_reason
        if not self.may_raise(now):
            return "the keeper has just started"
        if known_nodes >= self.max_nodes:
            return f"{known_nodes} nodes may exist already"
        return ""

    def _apply_new_run(self, record: NodeRecord, report: NodeReport, now: float) -> NodeRecord:
        """Apply a later run on the same state file: the previous run ended, but its connections may be open.

        A run uses its floors without a lease only once the connections of the previous run are closed. So
        successive runs together never have more open than was counted, however many of them there are.
        """
        lingering = total(record.lingering, record.ceilings)
        if not record.closed or report.run_number != record.run_number + 1:
            lingering = maximum(lingering, record.floors)  # also covers a run in between that never reported
        if any(lingering.values()):
            self.lingering_until[record.node] = now + self.close_timeout_bound
        else:
            lingering = {}
        self.misreporting.discard(record.node)
        successor = msgspec.structs.replace(
            record,
            run=report.run,
            run_number=report.run_number,
            lingering=lingering,
            closed=False,
            zone=report.zone,
        )
        # If no connections of earlier runs remain, this run has its floors at once, whatever else is unknown.
        granted = {} if lingering or self.may_raise(now) else dict(record.floors)
        return successor.reissued(self.issuer, granted, granted)

    # -- changes by time and demand

    def _expire(self, record: NodeRecord, now: float) -> NodeRecord:
        node = record.node
        if record.lingering:
            until = self.lingering_until.setdefault(node, self.started_at + self.close_timeout_bound)
            if now >= until:
                record = msgspec.structs.replace(record, lingering={})
        if self.has_expired(node, now) and (record.granted or record.ceilings):
            record = record.reissued(self.issuer, {}, {})
            self._discard_report(node)  # its reported open connections are outdated
        return record

    def _rebalance(
        self,
        records: dict[str, NodeRecord],
        limits: Mapping[str, int],
        now: float,
        draining: frozenset[str],
        tenant_demand: Mapping[str, float],
    ) -> None:
        live = [node for node, record in records.items() if self._may_be_granted(record, now)]
        if not live:
            return
        recently_rebalanced = now - self.last_rebalance < REBALANCE_INTERVAL
        allocator = LeaseAllocator(
            records,
            live,
            self.reports,
            limits,
            draining,
            tenant_demand,
            self.reserve,
            self.floors,
            max(self.max_nodes - len(records), 0),
            self.issuer,
            recently_rebalanced,
        )
        if allocator.rebalance() and not recently_rebalanced:
            self.last_rebalance = now

    def _may_be_granted(self, record: NodeRecord, now: float) -> bool:
        report = self.reports.get(record.node)
        reports_now = self.is_live(record.node, now) and report is not None and report.run == record.run
        return reports_now and not record.closed


def _same_number_of_other_issuer(record: NodeRecord, report: NodeReport) -> bool:
    return record.number == report.number and record.issuer != report.issuer
