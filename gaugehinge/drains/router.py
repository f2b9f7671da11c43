"""The router's side of drains: reports its connections, follows its lease, and shuts down when told to."""

from __future__ import annotations

import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio
from loguru import logger

from ..hosted.control_plane_watch import ControlPlaneWatch
from ..hosted.errors import FeedError
from ..hosted.feed_parts import FeedPart
from ..net.lifecycle import Phase
from ..routing.types import EndpointState
from ..tenancy.feed import Feed
from ..tenancy.lease import EXPIRY_MARGIN, MAX_CLOCK_DRIFT
from .connection_budget import LeasedConnectionBudget
from .connection_counts import DEFAULT_SERVER, ORIGIN, ConnectionCounts
from .lease_holder import LeaseHolder
from .lease_types import ConnectionLease
from .load_meter import LoadMeter
from .messages import MAX_SERVERS, NAME, ControlPlaneReply, RouterReport, ServerReport
from .node_file import NodeFile
from .node_state_writer import NodeStateWriter

CHECK_INTERVAL = 0.1  # seconds between two checks of the open connections
DEFAULT_CLOSE_TIMEOUT = 15.0  # seconds, used until the control plane sends the configured close timeout
LONG_POLL_FRACTION = 0.25  # share of the lease duration that a long poll may stay open
EXIT_STEP_TIMEOUT = 1.0  # seconds to close all connections, and again to report that they are closed
EXIT_CHECK_INTERVAL = 0.01  # seconds
LOST_REPLY_PREFIXES = (b"-BUSY", b"-ERR failed")  # replies that count as a lost operation
# Added to the last known run number if the state file is too old. It is 2, not 1: with 1 this run would count
# as the direct successor of the last known run, but what runs in between left open is unknown.
RUN_NUMBER_STEP = 2


@dataclass(slots=True, eq=False)
class DrainsAgent(LeasedConnectionBudget, FeedPart):
    """A feed part that also is the router's connection budget, a reply observer and a shutdown hook."""

    follower: ControlPlaneWatch
    node_file: NodeFile
    zone: str = ""
    build: str = ""
    labels: tuple[str, ...] = ()
    shut_down: Callable[[], None] = lambda: signal.raise_signal(signal.SIGTERM)
    name: str = NAME
    state_writer: NodeStateWriter = field(init=False)
    load: LoadMeter = field(init=False)
    sequence: int = 0  # of the last report
    reported_at: float = 0.0  # seconds, when the last report was built
    ready_since: float = 0.0  # seconds; 0: not ready yet
    succeeded: int = 0  # operations of this run
    lost: int = 0  # operations of this run
    restart_token: str = ""  # of the rolling restart that told this run to shut down
    rejection: str = ""  # reason in the last reply, to log each reason once
    wants_servers: bool = False  # the control plane asked for the list of servers
    lease_was_valid: bool = False

    def __post_init__(self) -> None:
        """Start without a lease, at the floors from the state file."""
        now = self.clock()
        state = self.node_file.state
        self.close_timeout = state.close_timeout or DEFAULT_CLOSE_TIMEOUT
        floors_usable_at = now + self.close_timeout * (1.0 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN
        self.lease = LeaseHolder(dict(state.floors), floors_usable_at, state.admitted_by)
        self.state_writer = NodeStateWriter(self.node_file, self.nursery)
        self.load = LoadMeter(now)

    def on_reply(self, reply: bytes) -> None:
        """Count a final reply as a succeeded or a lost operation."""
        if reply.startswith(LOST_REPLY_PREFIXES):
            self.lost += 1
        else:
            self.succeeded += 1

    # -- background task

    async def run(self) -> None:
        """Keep connections within the lease until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL)
            now = self.clock()
            if self.service.lifecycle.phase is Phase.READY and not self.ready_since:
                self.ready_since = now
            self._log_lease_mode(now)
            self.enforce()
            self.close_idle(self.follower.overrides.drained)  # a draining server gets no new attempts
            self._measure(now)

    def _log_lease_mode(self, now: float) -> None:
        valid = self.lease.validity.is_valid(now)
        if valid is not self.lease_was_valid:
            self.lease_was_valid = valid
            mode = f"the grant {self.lease.granted}" if valid else f"the floors {self.lease.floors}"
            logger.info("connections limited to {}: lease number {}", mode, self.lease.number)

    def _measure(self, now: float) -> None:
        in_use = self.origin_connections_in_use()
        if in_use is not None:
            self.load.add_origin_connections(in_use)
        if self.load.end_window(now, self.succeeded + self.lost):
            for upstream in self.upstreams.values():
                upstream.end_window()

    # -- hosted.feed_parts.FeedPart

    def report(self) -> bytes | None:
        """Return the JSON report for the next call to the control plane."""
        self.sequence += 1
        now = self.reported_at = self.clock()
        state, lease = self.node_file.state, self.lease
        phase = self.service.lifecycle.phase
        drained = self.follower.overrides.drained
        report = RouterReport(
            node=f"{self.service.configuration.name}@{state.ident}",
            run_number=state.run_number,
            sequence=self.sequence,
            number=lease.number,
            issuer=lease.issuer,
            granted=lease.granted_for_report(now),
            open_connections=self.counts_of(lambda upstream: upstream.counted),
            demand=self.counts_of(lambda upstream: upstream.demand),
            floors=self._floors() if state.admitted_by else {},
            admitted_by=state.admitted_by,
            closed=lease.closed,
            zone=self.zone,
            build=self.build,
            labels=list(self.labels),
            ready_for=now - self.ready_since if self.ready_since else 0.0,
            draining=bool(self.restart_token) or phase in (Phase.LEAVING, Phase.CLOSING),
            in_flight=self._in_flight(),
            succeeded=self.succeeded,
            lost=self.lost,
            cpu_cores=self.load.cpu_cores,
            origin_connections=max(self.load.origin_connections, 0.0),
            operation_rate=self.load.operation_rate,
            draining_servers={uid: self._server_usage(uid) for uid in sorted(drained)[:MAX_SERVERS]},
            cache_attempts=self._cache_attempts(),
            servers=self._listed_servers() if self.wants_servers else [],
            restart_token=state.restart_token,
        )
        return msgspec.json.encode(report)

    def _floors(self) -> ConnectionCounts:
        """The higher of the floors in the lease and in the state file: the node may fall back to either."""
        lease, state = self.lease.floors, self.node_file.state.floors
        return {name: max(lease.get(name, 0), state.get(name, 0)) for name in {*lease, *state}}

    def _in_flight(self) -> int:
        return len(self.service.dispatcher.pending_operations)

    def _server_usage(self, uid: str) -> int:
        upstream = self.upstreams.get(uid)
        return upstream.counted + len(upstream.waiting) if upstream is not None else 0

    def _cache_attempts(self) -> int:
        servers: list[Any] = [pending.attempt.endpoint for pending in self.service.pool.pending.values()]
        return sum(not server.origin for server in servers)

    def _listed_servers(self) -> list[ServerReport]:
        origin = self.service.dispatcher.router.origin
        return [
            ServerReport(
                target.uid,
                target.entry.zone,
                target.entry.kind,
                target.entry.state is EndpointState.UP,
                target.entry.started,
            )
            for target in self.follower.overrides.discovered
            if origin is None or target.entry.ident != origin.ident
        ][:MAX_SERVERS]

    def hear(self, feed: Feed, asked_at: float) -> None:
        """Follow the control plane's reply to the last report. Raises FeedError if it is malformed."""
        raw = feed.parts.get(NAME)
        if raw is None:
            return
        try:
            reply = msgspec.json.decode(raw, type=ControlPlaneReply)
        except msgspec.MsgspecError as error:
            raise FeedError(f"drains: {error}") from None
        if reply.run_number_above >= self.node_file.state.run_number:
            self._exceed_run_number(reply.run_number_above)
            return
        if reply.close_timeout:
            self.close_timeout = reply.close_timeout
        self._log_rejection(reply.rejection)
        self.wants_servers = reply.wants_servers
        lease = reply.lease()
        if lease is not None and self.lease.accept(lease, self.reported_at):
            self._apply_lease(lease, reply.incarnation)
        if reply.restart_token and not self.restart_token:
            self._begin_shutdown(reply.restart_token)
        elif reply.immediate and self.restart_token:
            self._shut_down_immediately(reply.restart_token)

    def _exceed_run_number(self, known: int) -> None:
        """Take a run number above `known`: the state file is older than the node's last known run."""
        number = known + RUN_NUMBER_STEP
        logger.warning("drains: the state file is older than run {}; continuing as run {}", known, number)
        state = msgspec.structs.replace(self.node_file.state, run_number=number)
        if not self.node_file.save(state):
            self.node_file.state = state

    def _log_rejection(self, rejection: str) -> None:
        if rejection and rejection != self.rejection:
            logger.warning("connections: the control plane did not admit this node: {}", rejection)
        self.rejection = rejection

    def _apply_lease(self, lease: ConnectionLease, incarnation: str) -> None:
        floors = dict(lease.floors)
        self.lease.floors, self.lease.admitted_by = floors, incarnation
        state = self.node_file.state
        if (state.admitted_by, state.floors, state.close_timeout) != (
            incarnation,
            floors,
            self.close_timeout,
        ):
            self.state_writer.save(
                admitted_by=incarnation, floors=dict(floors), close_timeout=self.close_timeout
            )
        self.follower.limit_wait(LONG_POLL_FRACTION * lease.duration)
        self.enforce()

    def _begin_shutdown(self, restart_token: str) -> None:
        self.restart_token = restart_token
        self.state_writer.save(restart_token=restart_token)
        logger.info("told to shut down by {}: {} operations in flight", restart_token, self._in_flight())
        self.shut_down()

    def _shut_down_immediately(self, restart_token: str) -> None:
        logger.warning(
            "told to shut down immediately by {}: {} operations in flight", restart_token, self._in_flight()
        )
        self.service.dispatcher.fail_rest()
        self.nursery.cancel_scope.cancel()

    def away(self) -> None:
        """Ignore a failed call: the lease expires by the clock alone."""

    def ready(self) -> bool:
        """Whether the lease or the floors allow any connection. Used by `recovery`."""
        now = self.clock()
        return any(self.lease.allowed(upstream, now) for upstream in (ORIGIN, DEFAULT_SERVER))

    # -- shutdown

    async def before_exit(self) -> None:
        """Close all connections, wait until their servers have closed them, too, and report that.

        Called after all operations have been answered.
        """
        self.close_all()
        with trio.move_on_after(EXIT_STEP_TIMEOUT):
            while self.total_counted():  # noqa: ASYNC110 (an event per upstream would not say more)
                await trio.sleep(EXIT_CHECK_INTERVAL)
        remaining = self.total_counted()
        with trio.move_on_after(EXIT_STEP_TIMEOUT):
            try:
                await self.follower.report_now()
            except Exception as error:  # the control plane learns it later, when the lease expires
                logger.info(
                    "could not report the closed connections to the control plane: {}", type(error).__name__
                )
        logger.info("connections closed: {} remaining, run {}", remaining, self.node_file.state.run_number)
