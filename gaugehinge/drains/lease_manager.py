"""Numbered leases of connections, decided by one run of the control plane. No I/O, clock or chance.

An upstream takes a limited number of connections in all. The sum of what every node may have open, by the
worst case that cannot be ruled out, is within that limit at every instant; docs/drains.md has the proof. In
short:

- Each node that was ever admitted keeps its floors, also while it is cut off; the floors of `max_nodes` nodes
  fit into each limit.
- What is above the floors is held under a lease number and a duration. It counts as held until the node
  reported, under a later number, that it is below; or until the lease, clock drift and the longest close
  timeout are over.
- A killed process proves nothing. A successor on the same state file proves that the process ended, not that
  the upstream closed its connections: those count for the longest close timeout from its first report.
- All decisions are in the store before a node is told of them. A run that starts anew raises nothing until
  the longest lease and close timeout are over, whatever its store has; what nodes report to hold counts. It
  need not wait where its store is proved to be the one that leases were last issued from
  (`high_water_mark.py`).
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

REBALANCE_INTERVAL = 10.0  # seconds between two rebalancings that no node is in need of


@dataclass(slots=True, eq=False)
class LeaseManager(LeaseTable):
    """Plans changes of the nodes' records, and issues the leases that those state."""

    def plan(
        self,
        records: Mapping[str, NodeRecord],
        limits: Mapping[str, int],
        now: float,
        draining: frozenset[str] = frozenset(),
        tenant_demand: Mapping[str, float] | None = None,
    ) -> dict[str, NodeRecord]:
        """Records to be changed, all in one transaction.

        `draining` nodes get nothing more; `tenant_demand` is the number of connections that tenants would use
        in all by their rate limits.
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
        """The lease for an answer that is sent now, and note that it runs; None: the node gets none.

        To be called where no plan can come between the read of the record and this call.
        """
        if record.run != report.run or record.admission > self.recorded_admissions:
            return None
        if record.closed or not record.granted:
            return None
        if record.number < report.number or _same_number_of_other_issuer(record, report):
            return None  # the next plan takes the reported number over
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

    # -- what reports change

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
                return  # it is told which number it has to exceed
            record = self._apply_new_run(record, report, now)
        record = self._reconcile_number(record, report)
        floors = self._floors_of(record, report)
        if floors != record.floors:
            record = msgspec.structs.replace(record, floors=floors)
        records[node] = self._apply_open_connections(record, report)

    def _reconcile_number(self, record: NodeRecord, report: NodeReport) -> NodeRecord:
        if report.number > record.number or _same_number_of_other_issuer(record, report):
            # The store was restored: go on from the later number, with all that either may allow.
            self._suspend_admissions(
                f"{record.node} follows number {report.number}, which this store does not know"
            )
            ceilings = maximum(record.ceilings, report.granted, report.open_connections)
            record = msgspec.structs.replace(record, number=report.number)
            return record.reissued(self.issuer, dict(report.granted), ceilings)
        if record.node in self.unprocessed and not report.granted and record.granted:
            # Its lease expired: in a store that was lost, this grant may long have been given to others.
            return record.reissued(self.issuer, {}, {})
        return record

    def _suspend_admissions(self, reason: str) -> None:
        if not self.state.suspension_reason:
            self.state = msgspec.structs.replace(self.state, suspension_reason=reason)

    def _apply_open_connections(self, record: NodeRecord, report: NodeReport) -> NodeRecord:
        """Take over whether the run has closed everything, and lower the ceilings to what it confirmed."""
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
        """What a node may fall back to: by the store, until it reports that its state file has less."""
        if record.run == report.run and report.admitted_by == self.incarnation:
            return maximum(report.floors, self.floors)  # these are told with every lease
        return maximum(record.floors, report.floors)

    def _admit(self, records: dict[str, NodeRecord], report: NodeReport, now: float) -> NodeRecord | None:
        if report.admitted_by:
            # It uses its floors whatever is decided here: the store lost it, or it was declared gone.
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
            lingering = floors  # of earlier runs that this store does not know of either
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
        """Why a new node is not admitted now; empty where it is."""
        if self.state.suspension_reason:
            return self.state.suspension_reason
        if not self.may_raise(now):
            return "the keeper has just started"
        if known_nodes >= self.max_nodes:
            return f"{known_nodes} nodes may exist already"
        return ""

    def _apply_new_run(self, record: NodeRecord, report: NodeReport, now: float) -> NodeRecord:
        """A later run on the same state file: the one before it has ended, its connections may have not.

        A run uses its floors without a lease only once the connections of the run before are closed, so what
        they may have open together is what they were counted for, however many runs follow each other.
        """
        lingering = total(record.lingering, record.ceilings)
        if not record.closed or report.run_number != record.run_number + 1:
            lingering = maximum(lingering, record.floors)  # of a run between them that was never heard, too
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
        # With nothing left of earlier runs the floors are this run's at once, whatever else is unknown.
        granted = {} if lingering or self.may_raise(now) else dict(record.floors)
        return successor.reissued(self.issuer, granted, granted)

    # -- what time and demand change

    def _expire(self, record: NodeRecord, now: float) -> NodeRecord:
        node = record.node
        if record.lingering:
            until = self.lingering_until.setdefault(node, self.started_at + self.close_timeout_bound)
            if now >= until:
                record = msgspec.structs.replace(record, lingering={})
        if self.has_expired(node, now) and (record.granted or record.ceilings):
            record = record.reissued(self.issuer, {}, {})
            self._discard_report(node)  # the open connections that it reported are outdated
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
