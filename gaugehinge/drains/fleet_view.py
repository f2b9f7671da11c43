"""The control plane's view of routers and cache servers, built from the routers' reports."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from ..admin.records import SERVER_ORDER_KIND
from ..store.store import Store
from ..tenancy.feed import Report
from .connection_counts import ORIGIN, ConnectionCounts, count_for
from .lease_table import LeaseTable
from .lease_types import NodeRecord
from .messages import RouterReport, ServerReport
from .operation_counter import OperationCounter
from .repository import Stored, load_limits, load_nodes, load_restarts
from .restart_order import NodeKind
from .restart_types import NodeStatus

SERVER_LIST_MAX_AGE = 2.0  # seconds after which routers are asked for the server list again
SERVER_LIST_SOURCES = 2  # number of routers that are asked for it
SERVER_FORGET_TIME = 60.0  # seconds after which a server that is in no list is forgotten


@dataclass(slots=True, frozen=True)
class LatestReport:
    """The last report of a node (a router's state file)."""

    report: RouterReport
    router: str
    run: str
    followed_revision: int  # revision of the store up to which the router follows it
    received_at: float  # monotonic time


@dataclass(slots=True)
class KnownServer:
    """A server as routers last listed it. Times are monotonic."""

    report: ServerReport
    start_seen_at: float  # when this control plane first saw the server's current start
    listed_at: float


class ShutdownOrder(NamedTuple):
    """An order to one run of a router to shut down."""

    restart_token: str
    run: str
    immediate: bool


class OriginUsage(NamedTuple):
    """Connections to the origin in use and operations per second, summed over all routers."""

    connections: float
    operation_rate: float


@dataclass(slots=True, eq=False)
class FleetView:
    """The latest reports of routers, and the servers that they list.

    A node is dropped once the lease table has dropped it.
    """

    leases: LeaseTable
    regions: dict[str, str]  # region by zone, for zones that belong to a named region
    router_capacity: float  # fraction of a CPU core that a router may use
    reports: dict[str, LatestReport] = field(default_factory=dict)  # by node
    servers: dict[str, KnownServer] = field(default_factory=dict)  # by uid
    servers_listed_at: float = float("-inf")
    shutdown_orders: dict[str, ShutdownOrder] = field(default_factory=dict)  # by router, as in the store
    operations: OperationCounter = field(default_factory=OperationCounter)
    # By node: the run that was told to shut down, until the node reports again.
    notified_runs: dict[str, str] = field(default_factory=dict)

    # -- reports

    def record(self, report: RouterReport, envelope: Report, now: float) -> None:
        """Record the report of a node."""
        self.notified_runs.pop(report.node, None)
        self.reports[report.node] = LatestReport(
            report, envelope.router, envelope.run, envelope.known_revision, now
        )
        self.operations.record(report, envelope.run)
        if report.servers:
            self._record_servers(report.servers, now)

    def _record_servers(self, servers: list[ServerReport], now: float) -> None:
        for server in servers:
            known = self.servers.get(server.uid)
            if known is None or known.report.started_at != server.started_at:
                self.servers[server.uid] = KnownServer(server, now, now)
            else:
                known.report, known.listed_at = server, now
        self.servers_listed_at = now
        expired = [uid for uid, known in self.servers.items() if now - known.listed_at > SERVER_FORGET_TIME]
        for uid in expired:
            del self.servers[uid]

    def forget_node(self, node: str) -> None:
        """Drop the report of a node."""
        self.reports.pop(node, None)

    def forget_unknown(self) -> None:
        """Drop all nodes that the lease table does not have any more."""
        for table in (self.reports, self.notified_runs):
            for node in [node for node in table if node not in self.leases.reports]:
                del table[node]
        self.operations.retain(self.leases.reports)

    def needs_servers_from(self, node: str, now: float) -> bool:
        """Whether the next report of this node should list the servers."""
        if now - self.servers_listed_at < SERVER_LIST_MAX_AGE:
            return False
        recent_nodes = sorted(name for name, latest in self.reports.items() if self._is_recent(latest, now))
        return node in recent_nodes[:SERVER_LIST_SOURCES]

    def _is_recent(self, latest: LatestReport, now: float) -> bool:
        return now - latest.received_at < self.leases.lease_duration

    def draining_nodes(self) -> frozenset[str]:
        """Return the nodes that are shutting down or are ordered to."""
        return frozenset(
            node
            for node, latest in self.reports.items()
            if latest.report.draining or self._is_ordered_to_shut_down(latest)
        )

    def _is_ordered_to_shut_down(self, latest: LatestReport) -> bool:
        order = self.shutdown_orders.get(latest.router)
        return order is not None and order.run == latest.run

    def origin_usage(self) -> OriginUsage:
        """Return the origin usage that all routers reported, in total."""
        return OriginUsage(
            sum(latest.report.origin_connections for latest in self.reports.values()),
            sum(latest.report.operation_rate for latest in self.reports.values()),
        )

    # -- status of each node

    def statuses(self, store: Store, now: float) -> dict[NodeKind, dict[str, NodeStatus]]:
        """Return the current status of each node, by kind and name. Must run on the store's thread."""
        nodes = load_nodes(store)
        return {
            "routers": self._router_statuses(nodes, now),
            "servers": self._server_statuses(store, nodes, now),
        }

    def _router_statuses(self, nodes: dict[str, Stored[NodeRecord]], now: float) -> dict[str, NodeStatus]:
        """Return statuses by router name. If nodes share a router name, the one that reported last counts."""
        statuses: dict[str, NodeStatus] = {}
        received_at: dict[str, float] = {}
        for node, stored in nodes.items():
            router = node.rpartition("@")[0]
            latest = self.reports.get(node)
            if latest is None or latest.run != stored.record.run:
                status, at = self._unreported_router_status(router, stored.record), float("-inf")
            else:
                status, at = (
                    self._reported_router_status(router, stored.record, latest, now),
                    latest.received_at,
                )
            if router not in statuses or received_at[router] < at:
                statuses[router], received_at[router] = status, at
        return statuses

    def _unreported_router_status(self, router: str, record: NodeRecord) -> NodeStatus:
        return NodeStatus(
            router,
            record.run,
            record.zone,
            up=False,
            region=self._region(record.zone),
            connections=record.worst_case(ORIGIN),
        )

    def _reported_router_status(
        self, router: str, record: NodeRecord, latest: LatestReport, now: float
    ) -> NodeStatus:
        report = latest.report
        up = self._is_recent(latest, now) and report.ready_for > 0.0 and bool(record.granted)
        # A router that was told to shut down does so, even if its restart is cancelled or continues without
        # it meanwhile. Only its next report shows whether it received the order.
        draining = report.draining or self.notified_runs.get(record.node) == latest.run
        return NodeStatus(
            router,
            latest.run,
            report.zone,
            up=up,
            region=self._region(report.zone),
            build=report.build,
            labels=frozenset(report.labels),
            ready_for=report.ready_for + now - latest.received_at,
            draining=draining,
            drained=report.closed,
            load=report.cpu_cores if up else 0.0,
            capacity=self.router_capacity if up else 0.0,
            connections=record.worst_case(ORIGIN),
            restart_token=report.restart_token,
        )

    def _server_statuses(
        self, store: Store, nodes: dict[str, Stored[NodeRecord]], now: float
    ) -> dict[str, NodeStatus]:
        limits = load_limits(store)
        drain_orders = {item.item_id: item.revision for item in store.items(SERVER_ORDER_KIND)}
        drained_by_restarts = _drained_by_restarts(store)
        load = self._load_of_each_server(now)
        statuses = {}
        for uid, known in self.servers.items():
            ordered = uid in drain_orders
            listed = self._is_listed(known)
            statuses[uid] = NodeStatus(
                uid,
                f"{known.report.started_at:.3f}",
                known.report.zone,
                up=listed,
                region=self._region(known.report.zone),
                build=known.report.kind,
                ready_for=now - known.start_seen_at,
                draining=not known.report.up or (ordered and uid not in drained_by_restarts),
                drained=ordered and self._is_drained(uid, drain_orders[uid], nodes, now),
                load=load if listed else 0.0,
                capacity=_server_capacity(limits, uid) if listed else 0.0,
            )
        return statuses

    def _load_of_each_server(self, now: float) -> float:
        listed = sum(self._is_listed(known) for known in self.servers.values())
        attempts = sum(
            latest.report.cache_attempts for latest in self.reports.values() if self._is_recent(latest, now)
        )
        return attempts / listed if listed else 0.0

    def _is_listed(self, known: KnownServer) -> bool:
        return known.listed_at >= self.servers_listed_at

    def _is_drained(
        self, uid: str, order_revision: int, nodes: dict[str, Stored[NodeRecord]], now: float
    ) -> bool:
        """Whether no router uses a server and none will.

        Every router that may still act has to follow the drain order.
        """
        return all(
            self._has_stopped_using(uid, order_revision, node, stored.record, now)
            for node, stored in nodes.items()
        )

    def _has_stopped_using(
        self, uid: str, order_revision: int, node: str, record: NodeRecord, now: float
    ) -> bool:
        latest = self.reports.get(node)
        if latest is None or latest.run != record.run or not self.leases.is_live(node, now):
            return self.leases.has_expired(node, now)
        if latest.report.closed:
            return True
        follows = latest.followed_revision >= order_revision
        return follows and latest.report.draining_servers.get(uid, 1) <= 0

    def _region(self, zone: str) -> str:
        return self.regions.get(zone, zone)


def _drained_by_restarts(store: Store) -> set[str]:
    """Return the servers whose drain orders were made by rolling restarts."""
    table = load_restarts(store, include_ended=False)
    return {step.node for steps in table.steps.values() for step in steps if step.drain_ordered}


def _server_capacity(limits: ConnectionCounts, uid: str) -> float:
    return float(count_for(limits, uid))
