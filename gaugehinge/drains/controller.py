"""Connection leases and rolling restarts at the control plane: router reports, replies and the plan loop."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
import trio
from loguru import logger

from ..admin.errors import InvalidRequestError
from ..store.errors import DiskFullError, RevisionConflictError, StoreOverloadedError
from ..store.store import Store
from ..tenancy.feed import Report
from .connection_counts import ORIGIN, count_for
from .lease_service import LeaseService
from .lease_types import ConnectionLease, NodeRecord, NodeReport
from .messages import NAME, ControlPlaneReply, RouterReport
from .repository import NODE
from .restart_service import RestartService

PLAN_INTERVAL = 1.0  # seconds between two plans if nothing requests one earlier
MIN_PLAN_INTERVAL = 0.1  # minimum seconds between two plans
START_RETRY_INTERVAL = 1.0  # seconds


@dataclass(slots=True, eq=False)
class DrainsController:
    """The control plane's side of connection leases and rolling restarts, for one run of it."""

    leases: LeaseService
    restarts: RestartService
    ready: bool = False  # started, so leases may be issued
    plan_requested: trio.Event = field(default_factory=trio.Event)  # set to plan before PLAN_INTERVAL is over

    # -- reports

    def on_report(self, report: Report, now: float) -> None:
        """Record a router's report.

        Raises InvalidRequestError if its part is malformed or is that of another router.
        """
        raw = report.parts.get(NAME)
        if raw is None:
            return
        router_report = _decode_report(raw, report.router)
        leases = self.leases
        with leases.lock:
            known_report = leases.manager.reports.get(router_report.node)
            if not leases.manager.on_report(router_report.node_report(report.run), now):
                return
            leases.fleet.record(router_report, report, now)
            if _is_urgent(known_report, router_report, report.run):
                self.request_plan()

    def request_plan(self) -> None:
        """Plan without waiting for the interval. Must run on the event loop."""
        self.plan_requested.set()

    # -- replies

    def reply(self, store: Store, report: Report) -> bytes | None:
        """Return this part's reply to a report as JSON, or None if nothing may be issued.

        Must run on the store's thread.
        """
        raw = report.parts.get(NAME)
        if raw is None or not self.ready:
            return None
        router_report = msgspec.json.decode(raw, type=RouterReport)
        if not self.leases.advance_mark(store):
            return None
        item = store.get(NODE, router_report.node)
        record = msgspec.json.decode(item.body, type=NodeRecord) if item is not None else None
        return msgspec.json.encode(self._reply(record, router_report, report))

    def _reply(
        self, record: NodeRecord | None, router_report: RouterReport, report: Report
    ) -> ControlPlaneReply:
        incarnation, manager = self.leases.control_plane.store_id, self.leases.manager
        with self.leases.lock:
            now = self.leases.clock()
            known_report = manager.reports.get(router_report.node)
            if record is not None and _is_outdated(record, router_report, report.run):
                return ControlPlaneReply(incarnation, run_number_above=record.run_number)
            if known_report is None or known_report.run != report.run:
                return ControlPlaneReply(incarnation)
            lease = manager.issue(record, known_report, now) if record is not None else None
            reply = self._reply_without_lease(router_report, report, now)
        return reply if lease is None else _with_lease(reply, lease)

    def _reply_without_lease(
        self, router_report: RouterReport, report: Report, now: float
    ) -> ControlPlaneReply:
        """Return a reply without a lease: the orders and requests for the router."""
        fleet, manager = self.leases.fleet, self.leases.manager
        order = fleet.shutdown_orders.get(report.router)
        if order is not None and order.run != report.run:
            order = None
        if order is not None:
            fleet.notified_runs[router_report.node] = report.run
        return ControlPlaneReply(
            self.leases.control_plane.store_id,
            close_timeout=manager.close_timeout,
            restart_token=order.restart_token if order is not None else "",
            immediate=order is not None and order.immediate,
            wants_servers=fleet.needs_servers_from(router_report.node, now),
            rejection=manager.rejected.get(router_report.node, ""),
        )

    # -- the plan loop

    async def run(self) -> None:
        """Plan until cancelled."""
        await self._start()
        while True:
            with trio.move_on_after(PLAN_INTERVAL):
                await self.plan_requested.wait()
            self.plan_requested = trio.Event()
            try:
                await self.leases.plan()
                await self.restarts.plan()
            except (RevisionConflictError, DiskFullError, StoreOverloadedError) as error:
                logger.warning("could not plan connection leases and rolling restarts: {}", error)
            await trio.sleep(MIN_PLAN_INTERVAL)

    async def _start(self) -> None:
        while not self.ready:
            try:
                await self.leases.start()
                self.ready = True
            except (RevisionConflictError, DiskFullError, StoreOverloadedError, OSError) as error:
                # This happens if the control plane starts on a full disk. If it ended here, the leases of all
                # routers would be lost, and service with them.
                logger.warning(
                    "could not start connection leases and rolling restarts; will retry: {}", error
                )
                await trio.sleep(START_RETRY_INTERVAL)


def _decode_report(raw: msgspec.Raw | bytes, router: str) -> RouterReport:
    try:
        report = msgspec.json.decode(raw, type=RouterReport)
    except msgspec.MsgspecError as error:
        raise InvalidRequestError(str(error), f"parts.{NAME}") from None
    if report.node.rpartition("@")[0] != router:
        raise InvalidRequestError("not this router's", f"parts.{NAME}.node")
    return report


def _is_urgent(known_report: NodeReport | None, report: RouterReport, run: str) -> bool:
    """Whether a report changes so much that the next plan should not wait for its interval."""
    if (
        known_report is None
        or known_report.run != run
        or known_report.number != report.number
        or report.closed
    ):
        return True
    if report.open_connections.get(ORIGIN, 0) < known_report.open_connections.get(ORIGIN, 0):
        return True
    return count_for(report.demand, ORIGIN) > count_for(known_report.granted, ORIGIN)


def _is_outdated(record: NodeRecord, report: RouterReport, run: str) -> bool:
    """Whether a report is based on a state file that is older than the node's last known run."""
    return record.run != run and report.run_number <= record.run_number


def _with_lease(reply: ControlPlaneReply, lease: ConnectionLease) -> ControlPlaneReply:
    return msgspec.structs.replace(
        reply,
        number=lease.number,
        issuer=lease.issuer,
        granted=lease.granted,
        floors=lease.floors,
        lease_duration=lease.duration,
        predecessors_closed=lease.predecessors_closed,
    )
