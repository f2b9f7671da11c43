"""Carries out the decisions of this package's other modules in one router.

It writes the snapshot and exchanges messages with peers; while service is being restored it also acts on
endpoint lists, answers of the control plane and client requests. Once all operations are admitted it
intercepts none.
"""

from __future__ import annotations

import secrets
import time
import zlib
from collections.abc import Callable
from math import exp, inf

import msgspec
import trio
from loguru import logger
from xxhash import xxh64_intdigest

from ..hosted.control_plane_watch import ControlPlaneWatch
from ..hosted.errors import FeedError
from ..hosted.feed_parts import FeedPart
from ..installation.form import RecoveryEntry
from ..net.codec import RequestPayload
from ..net.configuration import address
from ..net.connection import Connection, PendingAttempt
from ..net.dispatcher import FAILED_REPLY, busy_reply
from ..net.endpoint_list import ENDPOINT_STATES, EndpointListUpdate, EndpointTarget
from ..net.extensions import ReplyCallback
from ..net.lifecycle import Phase
from ..net.service import Service
from ..routing.types import Effect, EndpointEntry, EndpointState, Operation
from ..tenancy.feed import Feed
from . import restart_scope, staleness_rules, startup_spreading
from .datagram import MessageCodec, digest
from .incarnations import IncarnationTracker
from .list_transformers import EstimatedStarts, ListGate
from .recovery_ramp import LoadLimits, RecoveryRamp, Stage, StageTimeouts, StartupProgress, StartupSequence
from .restart_scope import Verdict
from .retry_fencing import RetryFence
from .snapshot import LearntRates, ServerEntry, Snapshot, SnapshotFile, read_boot_id, snapshot_identity

CHECK_INTERVAL = 0.05  # seconds between periodic checks of what has arrived
CONNECTION_CHECK_INTERVAL = 0.5  # seconds between checks of the connections to servers
SHUTDOWN_NOTICES = 3  # sent to each peer at a clean shutdown: datagrams may be lost
SHUTDOWN_NOTICE_INTERVAL = 0.03  # seconds between them
# Time constants in seconds with which the rates of steady service are smoothed as they rise and fall. Falling
# is slow so that a pause in the traffic does not count as lower steady load.
RISE_TIME_CONSTANT, FALL_TIME_CONSTANT = 2.0, 60.0
MAX_REVISION = (1 << 63) - 1  # limit of list and store revisions in messages
PRESENCE_BY_STATE = {presence: state for state, presence in ENDPOINT_STATES.items()}


class Recovery(FeedPart):
    """Recovery in one router. Also a part of the feed if the router follows a control plane.

    It is a request interceptor, a gossip listener, a poll policy, a connection observer and a shutdown hook;
    `list_gate` and `estimated_starts` are its endpoint list transformers.
    """

    name = "recovery"

    def __init__(
        self,
        service: Service,
        entry: RecoveryEntry,
        key: bytes,
        watch: ControlPlaneWatch | None = None,
        wall_clock: Callable[[], float] = time.time,
        monotonic: Callable[[], float] = time.monotonic,
        boot_id: Callable[[], str] = read_boot_id,
    ) -> None:
        """`key`: authenticates the messages between routers. Tests may replace the clocks and the boot id."""
        deployment = service.configuration.settings.deployment
        self.service, self.entry, self.watch = service, entry, watch
        self.dispatcher, self.clock = service.dispatcher, service.clock
        self.wall_clock, self.monotonic, self.boot_id = wall_clock, monotonic, boot_id
        self.own_number, self.router_count = deployment.router_number, deployment.router_count
        self.deployment = deployment
        self.codec = MessageCodec(key)
        self.snapshot_file = SnapshotFile(
            entry.snapshot, snapshot_identity(key, service.configuration.name, self.own_number)
        )
        self.started_at = self.clock()
        self.previous: Snapshot | None = None
        self.snapshot_age = staleness_rules.SnapshotAge(inf, False)
        self.view: restart_scope.TierView
        self.slack = restart_scope.restart_slack(
            self.router_count, startup_spreading.steady_messages_per_second(self.router_count)
        )
        self.peer_reports: dict[int, staleness_rules.PeerReport] = {}  # by peer, the latest report
        self.peer_clock_offsets: dict[int, float] = {}  # by peer, its wall clock minus ours in seconds
        self.last_heard: dict[int, float] = {}  # by peer, our uptime in seconds
        # By peer that survived, our uptime in seconds when it last saw servers lose keys.
        self.keys_lost_at: dict[int, float] = {}
        self.retry_fence = RetryFence(deployment, float(entry.repeats), self.started_at)
        self.ramp = RecoveryRamp(deployment, secrets.randbits(32))
        self.sequence = StartupSequence(
            StageTimeouts(
                float(entry.keeper_wait) if watch is not None else 0.0,
                float(entry.list_wait),
                float(entry.keeper_wait) if watch is not None else 0.0,
                float(entry.decide),
            )
        )
        self.progress = StartupProgress(control_plane=watch is None, subsystems=watch is None)
        self.known_store = staleness_rules.KnownStore("", 0, {})
        # A feed older than what is known, or of another store, is rejected until then; 0: there was none.
        self.outdated_feed_until = 0.0
        self.control_plane_run = ""
        self.servers: dict[str, EndpointTarget] = {}  # as reported by discovery; bounded by the list
        self.list_rev = -1
        self.list_checksum = 0
        self.known_rev, self.known_starts = -1, {}  # of the last accepted list, or of the snapshot's
        self.held_updates: list[EndpointListUpdate] = []  # held back until the verdict is reached
        # Only idempotent reads are sent while an outdated list is in use. 0: the list is not outdated; inf:
        # it is that of the snapshot, used until discovery answers.
        self.outdated_list_until = 0.0
        self.start_times: dict[str, tuple[float, float]] = {}  # by uid: reported, estimated
        self.learnt = LearntRates()
        self.saved_at = self.learnt_at = self.started_at
        self.round_number = 0
        self.peer_restarts = 0
        self.check_failed = False
        self.incarnations = IncarnationTracker()
        self.connections_checked_at = self.started_at
        self.dirty = trio.Event()
        self.save_lock = trio.Lock()  # two concurrent saves would write to the same file
        self.intercepting = False  # whether `intercept` may have to act on an operation
        self.list_gate = ListGate(self._gate_list)
        self.estimated_starts = EstimatedStarts(self._estimate_starts)

    # -- startup

    def start(self, nursery: trio.Nursery) -> None:
        """Load the snapshot, store the new run number before anybody is told it, and start to intercept."""
        self.previous, reason = self.snapshot_file.load()
        stored = self.previous
        if stored is None:
            logger.warning("recovery: no snapshot: {}", reason)
        else:
            self.snapshot_age = staleness_rules.snapshot_age(
                stored, self.wall_clock(), self.monotonic(), self.boot_id()
            )
            self._apply_snapshot(stored)
        run = min((stored.run if stored else 0) + 1, restart_scope.MAX_COUNTER)
        known_runs = tuple(stored.runs[: self.router_count]) if stored else ()
        recent_runs = (
            tuple(stored.recent_runs[: self.router_count])
            if stored and staleness_rules.confidence("lately", self.snapshot_age)
            else ()
        )
        self.view = restart_scope.initial_view(
            self.own_number,
            digest(self.deployment.zone),
            run,
            secrets.randbits(63) | 1,
            (*known_runs, *[0] * (self.router_count - len(known_runs))),
            (*recent_runs, *[-1] * (self.router_count - len(recent_runs))),
            float(self.entry.decide),
            stored.epoch if stored else 0,
        )
        try:
            self.snapshot_file.save(self._build_snapshot())
        except (OSError, ValueError) as error:
            logger.warning("recovery: run {} could not be written to the snapshot: {}", run, error)
        clock_note = "" if self.snapshot_age.from_monotonic_clock else "by wall clocks "
        age_text = "none" if stored is None else f"{clock_note}{self.snapshot_age.seconds:.1f} s old"
        logger.info("recovery: run {}, epoch {}, snapshot {}", run, self.view.epoch, age_text)
        self._schedule_first_calls()
        self.intercepting = True
        self.service.lifecycle.enter(Phase.RECOVERING, 0)
        for task in (self._check_loop, self._message_loop, self._save_loop):
            nursery.start_soon(task)

    def _apply_snapshot(self, stored: Snapshot) -> None:
        """Adopt the items of the snapshot that are trusted at once."""
        self.known_store = staleness_rules.KnownStore(
            stored.store_name, stored.revision, dict(stored.incarnations), stored.incarnation_floor
        )
        confidence = staleness_rules.confidence("learnt", self.snapshot_age)
        self.known_rev = stored.list_rev
        self.known_starts = {entry.uid: entry.started for entry in stored.servers}
        self.learnt = LearntRates(stored.learnt.reads * confidence, stored.learnt.writes * confidence)

    def _schedule_first_calls(self) -> None:
        delays = startup_spreading.startup_delays(self.own_number, self.router_count)
        self.first_poll_at = self.started_at + delays.discovery
        self.first_message_delay = delays.messages
        if self.watch is not None:
            self.watch.delay_first_call(delays.control_plane)
            self.watch.run_number = self.view.run
            self.watch.add_part(self)

    def earliest_poll(self) -> float:
        """When discovery may be polled first: routers that start together spread their polls."""
        return self.first_poll_at

    def uptime(self) -> float:
        """Seconds since the start."""
        return self.clock() - self.started_at

    # -- requests

    def intercept(
        self, operation: Operation, payload: RequestPayload, reply_callback: ReplyCallback
    ) -> ReplyCallback | None:
        """Fail fenced retries, reject what is not admitted, and record results until all is admitted."""
        if not self.intercepting:
            return reply_callback
        now = self.clock()
        traffic = operation.traffic_type
        row, write = traffic.row, operation.is_write
        if now < self.retry_fence.fenced_until[row]:
            must_fail = self.retry_fence.must_fail(
                row, write, operation.is_client_retry, idempotency_key_of(payload.labels), now
            )
            if must_fail and self.view.verdict is not Verdict.DECIDING:
                self._reply(operation, reply_callback, FAILED_REPLY)
                return None
        if self.ramp.fully_open and not self.outdated_list_until:
            return reply_callback
        wait = self._retry_after(row, operation.tenant, write, now)
        if wait:
            retry_after = wait if self.deployment.max_retry_after else 0.0
            self._reply(operation, reply_callback, busy_reply(retry_after))
            return None

        def on_reply(reply: bytes) -> None:
            succeeded = not reply.startswith(b"-")
            if succeeded or self._indicates_overload(operation, reply):
                at_origin = any(attempt.endpoint.origin for attempt in operation.attempts)
                self.ramp.record_result(row, write, succeeded, at_origin)
            reply_callback(reply)

        return on_reply

    def _retry_after(self, row: int, tenant: int, write: bool, now: float) -> float:
        """Seconds after which the client may retry; 0: admitted."""
        idempotent_read = not write and self.deployment.traffic_types[row].effect is Effect.IDEMPOTENT
        if self.outdated_list_until and not idempotent_read:
            return self.ramp.retry_after(1.0)
        if self.sequence.stage not in (Stage.RAMPING, Stage.OPEN):
            return self.ramp.retry_after(min(self.sequence.remaining(now - self.started_at), 1.0))
        return self.ramp.admit(row, tenant, write, now)

    def _indicates_overload(self, operation: Operation, reply: bytes) -> bool:
        """Whether an unsuccessful reply indicates that too much load was admitted.

        It does not while leases or grants are awaited, nor if a read that is confined to its shard's region
        is rejected for lack of room there.
        """
        if not self._feed_parts_ready():
            return False
        pinned = bool(operation.regions) and operation.regions[-1] is not None
        return not (
            pinned and reply.startswith(b"-BUSY") and not (operation.is_write or operation.wants_origin)
        )

    def _feed_parts_ready(self) -> bool:
        """Whether all parts that depend on the control plane have what they need from it."""
        return all(part.ready() for part in self._feed_parts())

    def _feed_parts(self) -> tuple[FeedPart, ...]:
        return self.watch.parts if self.watch is not None else ()

    @staticmethod
    def _reply(operation: Operation, reply_callback: ReplyCallback, reply: bytes) -> None:
        operation.finished = True
        reply_callback(reply)

    # -- endpoint lists

    def _gate_list(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate | None:
        """Record a list from discovery, or its changes; held back (None) until the verdict is reached."""
        if update.complete:
            self._classify_list(update)
            self.servers.clear()
        for target in update.targets:
            if target.entry.state is EndpointState.GONE:
                self.servers.pop(target.uid, None)
            else:
                self.servers[target.uid] = target
        self.list_rev = update.rev
        start_times = sorted((uid, target.entry.started) for uid, target in self.servers.items())
        self.list_checksum = zlib.crc32(repr(start_times).encode())
        entries = [target.entry for target in update.targets]
        self.retry_fence.on_endpoints_changed(entries, update.complete, self.clock())
        if self.retry_fence.is_active(self.clock()):
            self.intercepting = True
        self.progress.endpoint_list = self.progress.endpoint_list or not cached
        self.dirty.set()
        if self.view.verdict is not Verdict.DECIDING:
            return update
        # The estimated start times depend on the verdict. No client is admitted before it is reached.
        self.held_updates = [update] if update.complete else [*self.held_updates, update]
        return None

    def _classify_list(self, update: EndpointListUpdate) -> None:
        """Check whether a complete list is older than the known one."""
        start_times = {target.uid: target.entry.started for target in update.targets}
        status = staleness_rules.classify_list(self.known_rev, self.known_starts, update.rev, start_times)
        if status is staleness_rules.AnswerStatus.OLDER:
            if self.outdated_list_until in (0.0, inf):
                self.outdated_list_until = self.clock() + float(self.entry.doubt)
                logger.warning(
                    "recovery: list {} is older than the known list {}: reads only, for {:.0f} s at most",
                    update.rev,
                    self.known_rev,
                    float(self.entry.doubt),
                )
                self.intercepting = True
            return
        if self.outdated_list_until:
            logger.info("recovery: list {} is accepted", update.rev)
        self.outdated_list_until = 0.0
        self.known_rev, self.known_starts = update.rev, start_times

    def _forward_list(self, update: EndpointListUpdate, cached: bool) -> None:
        """Send the update through the transformers that come after the gate."""
        self.dispatcher.on_endpoints_changed(update, cached, after=self.list_gate)

    def _estimate_starts(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate:
        """The list with the estimated start times of the servers."""
        stored_starts = {entry.uid: entry.started for entry in self.previous.servers} if self.previous else {}
        poll_window = startup_spreading.spread_window(
            self.router_count, startup_spreading.DISCOVERY_CALLS_PER_SECOND
        )
        startup_over = self.uptime() > self.sequence.timeouts.endpoint_list + poll_window
        correction = staleness_rules.clock_correction(0.0, list(self.peer_clock_offsets.values()))
        targets = []
        for target in update.targets:
            reported = target.entry.started
            start_time = self.start_times.get(target.uid)
            if cached and self.outdated_list_until == inf:
                target = target._replace(entry=target.entry._replace(started=self.started_at))
                targets.append(target)
                continue
            if target.entry.state is EndpointState.GONE:
                self.start_times.pop(target.uid, None)
            elif start_time is None or start_time[0] != reported:
                fleet_survived = self.view.verdict.fleet_survived or startup_over
                stored_start, now = stored_starts.get(target.uid), self.clock()
                estimated = staleness_rules.estimated_start_time(
                    reported, stored_start, self.started_at, fleet_survived, correction, now
                )
                start_time = self.start_times[target.uid] = (reported, estimated)
            if start_time is not None:
                target = target._replace(entry=target.entry._replace(started=start_time[1]))
            targets.append(target)
        return EndpointListUpdate(update.rev, update.complete, tuple(targets))

    def _use_stored_list(self) -> None:
        """Use the snapshot's list for reads if discovery has not answered; all servers count as cold."""
        if self.previous is None or not self.previous.servers:
            return
        targets = []
        for stored in self.previous.servers:
            endpoint_address = address(stored.endpoint, "snapshot")
            ident = xxh64_intdigest(stored.uid.encode())  # as in net.list_update
            entry = EndpointEntry(
                ident,
                stored.zone,
                stored.kind,
                stored.cell,
                ENDPOINT_STATES.get(stored.state, EndpointState.DRAINING),
                stored.started,
                stored.weight,
            )
            targets.append(EndpointTarget(entry, stored.uid, endpoint_address))
        logger.warning(
            "recovery: no list from discovery: using {} servers from the snapshot, for reads only",
            len(targets),
        )
        self.outdated_list_until = inf
        self._forward_list(EndpointListUpdate(self.previous.list_rev, True, tuple(targets)), True)

    # -- connections to servers

    def on_connection_lost(self, connection: Connection, pending: PendingAttempt | None) -> None:
        """Decide whether a lost or failed connection suggests that its server restarted and lost its keys."""
        endpoint = connection.endpoint
        connect_failed = pending is not None and not (connection.request_sent or connection.idle_since)
        pool, now = self.service.pool, self.clock()
        shutting_down = self.service.lifecycle.phase in (
            Phase.CLOSING,
            Phase.ENDED,
        )  # then this router itself closes the connections
        if shutting_down or pool.endpoints.get(endpoint.ident) is not endpoint:
            return
        other_connection_up = bool(endpoint.idle) or any(
            candidate is not None
            and candidate.endpoint is endpoint
            and (candidate.request_sent or candidate.idle_since)
            for candidate in [attempt.connection for attempt in pool.pending.values()]
        )
        if connect_failed:
            restart_suspected = self.incarnations.connect_failed(
                endpoint.ident, other_connection_up, self.view.verdict.fleet_survived, now
            )
        else:
            restart_suspected = self.incarnations.connection_broke(
                endpoint.ident, pending is not None, other_connection_up, now
            )
        if restart_suspected:
            self._suspect_restart(endpoint.ident, endpoint.uid, now)

    def _suspect_restart(self, ident: int, uid: str, now: float) -> None:
        rows = self.retry_fence.suspect_server(ident, now)
        if not rows:
            return
        logger.info("recovery: {} may have restarted: connections broke or failed, and none is open", uid)
        self.intercepting = True
        for pending in list(self.dispatcher.pending_operations):
            # Otherwise it would be sent again once the server is back, which may have lost its key.
            operation = pending.operation
            is_affected = operation.is_write and operation.traffic_type.row in rows
            if is_affected and operation.may_have_run_on is not None and not operation.finished:
                self.dispatcher.reject(operation, FAILED_REPLY)

    def _check_connections(self, now: float) -> None:
        """Record idle connections as evidence that their servers are alive."""
        if now - self.connections_checked_at < CONNECTION_CHECK_INTERVAL:
            return
        self.connections_checked_at = now
        pool = self.service.pool
        self.incarnations.retain(pool.endpoints)
        in_use: dict[int, set[Connection]] = {}
        for pending in pool.pending.values():
            if pending.connection is not None:
                in_use.setdefault(pending.connection.endpoint.ident, set()).add(pending.connection)
        for ident, endpoint in pool.endpoints.items():
            connections = [(connection, connection.idle_since) for connection in endpoint.idle]
            self.incarnations.record_connections(
                ident, connections, in_use.get(ident, set()).union(endpoint.idle), now
            )

    def _zone_servers_survived(self, number: int) -> bool:
        """Whether in each cell of that peer's zone a server is known to have survived the peer's downtime."""
        downtime = restart_scope.downtime(self.view, number)
        if (
            downtime is None
            or self.uptime() > downtime[1] + restart_scope.LATE_RESTART_FACTOR * self.view.decision_deadline
        ):
            return False
        since, until = (self.started_at + at for at in downtime)
        zone, origin = self.view.peers[number].zone, self.deployment.origin_kind
        cells: dict[int, bool] = {}
        for target in self.servers.values():
            entry = target.entry
            if digest(entry.zone) == zone and entry.kind != origin:
                cells[entry.cell] = cells.get(entry.cell, False) or self.incarnations.was_alive(
                    entry.ident, since, until
                )
        return bool(cells) and all(cells.values())

    # -- shutdown

    async def before_exit(self) -> None:
        """Notify peers of a clean shutdown if nothing is in flight, and write the snapshot."""
        service = self.service
        in_flight = len(self.dispatcher.pending_operations) + len(service.pool.pending)
        in_flight += sum(front.clients.has_pending_replies() for front in service.fronts)
        self.view = restart_scope.begin_shutdown(self.view, in_flight)
        manner = f"with {in_flight} in flight" if in_flight else "cleanly"
        logger.info("recovery: run {} shuts down {}", self.view.run, manner)
        if self.view.shutting_down_cleanly and self.service.gossip is not None:
            for _ in range(SHUTDOWN_NOTICES):
                for number in range(self.router_count):
                    if number != self.own_number:
                        self._send_message(number)
                await trio.sleep(SHUTDOWN_NOTICE_INTERVAL)
        try:
            await self._save()
        except (OSError, ValueError) as error:
            logger.warning("recovery: snapshot not written: {}", error)

    # -- peers

    def on_gossip(self, peer: int, payload: bytes) -> bool:
        """Receive recovery messages; returns False for all others, which belong to the routing module."""
        if not self.codec.matches(payload):
            return False
        message = self.codec.decode(payload)
        if message is not None and 0 <= message.sender < self.router_count:
            self._receive_message(message)
        return True

    def _receive_message(self, message: restart_scope.PeerMessage) -> None:
        uptime, previous_view = self.uptime(), self.view
        self.view, echo = restart_scope.receive_message(previous_view, message, uptime)
        if echo is not None:
            self._send_message(message.sender, echo)
        if message.echo_nonce != self.view.nonce or message.nonce != self.view.peers[message.sender].nonce:
            return
        self.last_heard[message.sender] = uptime
        self.peer_clock_offsets[message.sender] = message.wall_clock - self.wall_clock()
        self.peer_reports[message.sender] = staleness_rules.PeerReport(
            message.epoch,
            message.run,
            message.ready,
            Verdict(message.verdict),
            message.list_rev,
            message.list_checksum,
            message.store_digest,
            message.store_revision,
            message.keys_lost_ago,
        )
        if message.survived and message.keys_lost_ago >= 0.0:
            self.keys_lost_at[message.sender] = uptime - message.keys_lost_ago
        self._on_view_changed(previous_view)

    def _on_view_changed(self, previous_view: restart_scope.TierView) -> None:
        """Act on changes of the run, verdict and epoch."""
        view = self.view
        if view.run != previous_view.run:
            logger.warning(
                "recovery: peers already know run {} of this router: continuing as run {}",
                view.run - 1,
                view.run,
            )
            self.dirty.set()
            if self.watch is not None:
                self.watch.run_number = view.run
        if view.verdict is not previous_view.verdict:
            self._on_verdict()
        if view.epoch != previous_view.epoch:
            self.dirty.set()

    def _on_verdict(self) -> None:
        view, now = self.view, self.clock()
        restarted = sum(restart_scope.proved_restarted(view, number) for number in range(self.router_count))
        survived = sum(peer.survived for peer in view.peers)
        logger.info(
            "recovery: {} after {:.1f} s: of {} peers {} survived, {} restarted; epoch {}",
            view.verdict.name.lower(),
            self.uptime(),
            self.router_count - 1,
            survived,
            restarted,
            view.epoch,
        )
        uptime = self.uptime()
        self.retry_fence.apply_verdict(view.verdict, [uptime - at for at in self.keys_lost_at.values()], now)
        held, self.held_updates = self.held_updates, []
        for update in held:
            self._forward_list(update, False)
        if view.verdict is Verdict.LONE and self.sequence.stage is Stage.RAMPING:
            self.ramp.fully_open = True
        self.dirty.set()

    async def _message_loop(self) -> None:
        """Send messages to peers in rounds."""
        if self.router_count == 1 or self.service.gossip is None:
            return
        await trio.sleep(self.first_message_delay)
        while True:
            heard_enough = staleness_rules.heard_enough(
                [report for report in self.peer_reports.values()], self.router_count
            )
            decided = self.view.verdict not in (Verdict.DECIDING, Verdict.APART)
            startup_over = self.uptime() > restart_scope.LATE_RESTART_FACTOR * self.view.decision_deadline
            for number in startup_spreading.peers_in_round(
                self.own_number,
                self.router_count,
                self.round_number,
                (heard_enough and decided) or startup_over,
            ):
                self._send_message(number)
            self.round_number += 1
            await trio.sleep(startup_spreading.ROUND_INTERVAL)

    def _send_message(self, number: int, echo: tuple[int, float] | None = None) -> None:
        now, fence = self.clock(), self.retry_fence
        decided = self.view.verdict is not Verdict.DECIDING
        message = restart_scope.build_message(
            self.view,
            number,
            now - self.started_at,
            echo,
            ready=self.service.lifecycle.phase is Phase.READY,
            wall_clock=self.wall_clock(),
            list_rev=min(max(self.list_rev, 0), MAX_REVISION),
            list_checksum=self.list_checksum,
            control_plane_run=digest(self.control_plane_run) if self.control_plane_run else 0,
            store_digest=digest(self.known_store.name) if self.known_store.name else 0,
            store_revision=min(self.known_store.revision, MAX_REVISION),
            keys_lost_ago=now - fence.keys_lost_at if decided and fence.is_active(now) else -1.0,
            zone_servers_survived=self._zone_servers_survived(number),
        )
        self.service.gossip.send((number,), self.codec.encode(message))

    # -- the control plane's feed

    def hear(self, feed: Feed, asked_at: float) -> None:
        """Record that a feed of the control plane was applied."""
        previous_view, same_run = (
            self.view,
            bool(self.previous and self.previous.control_plane_run)
            and (feed.control_plane_run == self.previous.control_plane_run),
        )
        self.view = restart_scope.receive_control_plane(previous_view, same_run, self.uptime())
        self.control_plane_run = feed.control_plane_run
        self.progress.control_plane = True
        self._on_view_changed(previous_view)

    def filter_feed(self, feed: Feed) -> Feed:
        """The part of a feed that is applied, without tenants whose number belonged to another one.

        Raises FeedError, for a limited time (`doubt`), if the feed is older than what is known or of another
        store.
        """
        now, known = self.clock(), self._best_known_store()
        status = staleness_rules.classify_feed(known, feed.store_id, feed.revision, feed.complete)
        if status is not staleness_rules.AnswerStatus.CURRENT:
            comparison = (
                f"store {feed.store_id} revision {feed.revision}, known was {known.name} {known.revision}"
            )
            if not self.outdated_feed_until:
                self.outdated_feed_until = now + float(self.entry.doubt)
                logger.error("recovery: control plane is {}: {}", status.value, comparison)
            if now < self.outdated_feed_until:
                raise FeedError(f"control plane is {status.value}: {comparison}")
            logger.error(
                "recovery: control plane is followed although it is {}: {}", status.value, comparison
            )
        elif self.outdated_feed_until:
            logger.info("recovery: control plane is at revision {} again", feed.revision)
        rows = [(row.incarnation, row.name) for row in feed.tenants]
        reassigned = set(staleness_rules.reassigned_incarnations(known, rows))
        if reassigned:
            logger.error(
                "recovery: incarnations {} belonged to other tenants before: not served", sorted(reassigned)
            )
            feed = msgspec.structs.replace(
                feed, tenants=[row for row in feed.tenants if row.incarnation not in reassigned]
            )
        self.outdated_feed_until = 0.0
        accepted = [row for row in rows if row[0] not in reassigned]
        self.known_store = staleness_rules.remember_incarnations(
            known._replace(name=feed.store_id, revision=feed.revision), accepted
        )
        return feed

    def _best_known_store(self) -> staleness_rules.KnownStore:
        """What this router knows of the store, or its most authoritative peer if that is ahead."""
        report = staleness_rules.most_authoritative(list(self.peer_reports.values()))
        if (
            report is None
            or not self.known_store.name
            or report.store_digest != digest(self.known_store.name)
        ):
            return self.known_store
        if self.progress.control_plane:
            # Once in service, each router is told by the control plane itself: peers may be ahead of us.
            return self.known_store
        return self.known_store._replace(revision=max(self.known_store.revision, report.store_revision))

    # -- periodic checks

    async def _check_loop(self) -> None:
        """Restore the state of the feed's parts, then run the periodic checks."""
        for part in self._feed_parts():
            if self.previous is not None and part.name in self.previous.parts:
                part.restore(self.previous.parts[part.name])
        while True:
            try:
                self._check()
            except Exception:
                if not self.check_failed:  # logged once: each check may fail
                    logger.exception("recovery failed: all operations are admitted")
                self.check_failed = True
                self._open_after_failure()
            await trio.sleep(CHECK_INTERVAL)

    def _open_after_failure(self) -> None:
        """Admit all operations after an internal error, which must not keep the router closed.

        The router then behaves as if started without recovery, except that the retry fence stays in force.
        """
        self.ramp.fully_open, self.sequence.stage, self.outdated_list_until = True, Stage.OPEN, 0.0
        held, self.held_updates = self.held_updates, []
        # Without a control plane only this package uses the start times: they are then used as reported.
        gate = self.list_gate if self.watch is not None else self.estimated_starts
        for update in held:
            self.dispatcher.on_endpoints_changed(update, after=gate)
        if self.service.lifecycle.phase is Phase.RECOVERING:
            self.service.lifecycle.enter(Phase.READY, len(self.dispatcher.pending_operations))

    def _check(self) -> None:
        previous_view, now = self.view, self.clock()
        uptime = now - self.started_at
        self.view = restart_scope.check_deadline(previous_view, uptime)
        self._on_view_changed(previous_view)
        self.progress.verdict = self.view.verdict
        self.progress.subsystems = self.progress.subsystems or (
            self.progress.control_plane and self._feed_parts_ready()
        )
        stage = self.sequence.stage
        if stage not in (Stage.RAMPING, Stage.OPEN):
            new_stage = self.sequence.advance(self.progress, uptime)
            if new_stage is Stage.RAMPING:
                self._admit_clients(now)
        if self.outdated_list_until and now >= self.outdated_list_until:
            self.outdated_list_until = 0.0
            logger.warning("recovery: list is accepted although it may be outdated")
        self.ramp.set_shares([tenant.quota for tenant in self.dispatcher.router.tenants])
        self.ramp.step(self._warmth(now), now)
        if self.ramp.fully_open and self.sequence.stage is Stage.RAMPING:
            self.sequence.stage = Stage.OPEN
        if (
            self.sequence.stage is Stage.OPEN
            and not self.outdated_list_until
            and not self.retry_fence.is_active(now)
        ):
            self.intercepting = False
        self._update_learnt_rates(now)
        self._check_connections(now)
        restarted = restart_scope.recent_peer_restarts(self.view, uptime, self.slack)
        if restarted > self.peer_restarts:
            summary = f"{restarted} of {self.router_count - 1} peers restarted within {self.slack:.0f} s"
            logger.info("recovery: loss elsewhere in the tier: {}", summary)
        self.peer_restarts = restarted
        self._flush_log()

    def _admit_clients(self, now: float) -> None:
        """Start to admit clients."""
        if not self.progress.endpoint_list:
            self._use_stored_list()
        for update in self.held_updates:
            self._forward_list(update, False)
        self.held_updates = []
        router = self.dispatcher.router
        learnt, entry = self.learnt, self.entry
        limits = LoadLimits(
            self.router_count,
            len(router.endpoints),
            float(entry.origin),
            float(entry.cold_reads),
            learnt.reads,
            learnt.writes,
        )
        if self.view.verdict is Verdict.LONE:
            self.ramp.fully_open = True
        else:
            self.ramp.start(limits, [tenant.quota for tenant in router.tenants], now)
        logger.info(
            "recovery: ready after {:.1f} s, {}: {} servers; before: {:.1f} reads/s, {:.1f} writes/s",
            now - self.started_at,
            "fully open" if self.ramp.fully_open else "ramping",
            len(router.endpoints),
            learnt.reads,
            learnt.writes,
        )
        if self.service.lifecycle.phase is Phase.RECOVERING:
            self.service.lifecycle.enter(Phase.READY, len(self.dispatcher.pending_operations))

    def _warmth(self, now: float) -> float:
        caches, warm_up_time = self.dispatcher.router.endpoints, self.deployment.warm_up_time
        if not caches or not warm_up_time:
            return 1.0
        ages = [max(now - cache.started, 0.0) if cache.started else inf for cache in caches.values()]
        return sum(min(age / warm_up_time, 1.0) for age in ages) / len(ages)

    def _update_learnt_rates(self, now: float) -> None:
        """Update the rates of steady service from what the routing decisions measure anyway."""
        elapsed = now - self.learnt_at
        if elapsed < 1.0 or self.sequence.stage is not Stage.OPEN:
            return
        self.learnt_at = now
        router, learnt = self.dispatcher.router, self.learnt
        reads = router.responses_per_second(now)
        writes = max(router.operations_per_second() - reads, 0.0)
        self.learnt = LearntRates(
            _smooth(learnt.reads, reads, elapsed), _smooth(learnt.writes, writes, elapsed)
        )

    def _flush_log(self) -> None:
        for log in (self.sequence.log_lines, self.ramp.log_lines, self.retry_fence.log_lines):
            for text in log:
                logger.info("recovery: {}", text)
            log.clear()

    # -- the snapshot

    def _build_snapshot(self) -> Snapshot:
        view, store = self.view, self.known_store
        parts = {}
        for part in self._feed_parts():
            state = part.state_to_keep()
            if state is not None:
                parts[part.name] = state
        return Snapshot(
            self.snapshot_file.identity,
            view.run,
            self.wall_clock(),
            self.monotonic(),
            self.boot_id(),
            epoch=view.epoch,
            runs=[max(peer.run, peer.known_run) for peer in view.peers],
            recent_runs=list(restart_scope.recently_heard_runs(view, self.uptime(), self.slack)),
            list_rev=self.list_rev if self.servers else self.previous.list_rev if self.previous else -1,
            servers=self._server_entries(),
            learnt=self.learnt,
            control_plane_run=self.control_plane_run
            or (self.previous.control_plane_run if self.previous else ""),
            store_name=store.name,
            revision=store.revision,
            incarnations=dict(store.incarnations),
            incarnation_floor=store.incarnation_floor,
            parts=parts,
        )

    def _server_entries(self) -> list[ServerEntry]:
        if not self.servers:
            return self.previous.servers if self.previous else []
        return [
            ServerEntry(
                target.uid,
                f"{target.address[0]}:{target.address[1]}",
                target.entry.zone,
                target.entry.kind,
                target.entry.cell,
                PRESENCE_BY_STATE[target.entry.state],
                target.entry.started,
                target.entry.weight,
            )
            for target in self.servers.values()
            if target.address is not None
        ]

    async def _save(self) -> None:
        """Raises OSError, ValueError."""
        async with self.save_lock:
            await trio.to_thread.run_sync(self.snapshot_file.save, self._build_snapshot())

    async def _save_loop(self) -> None:
        """Write the snapshot periodically, and soon after something in it changed."""
        failed = False
        while True:
            with trio.move_on_after(float(self.entry.every)):
                await self.dirty.wait()
            self.dirty = trio.Event()
            try:
                await self._save()
                if failed:
                    logger.info("recovery: snapshot can be written again")
                failed = False
            except (OSError, ValueError) as error:
                if not failed:
                    logger.warning("recovery: snapshot not written: {}", error)
                failed = True
            await trio.sleep(min(float(self.entry.every), 0.1))


def _smooth(old: float, current: float, elapsed: float) -> float:
    """The exponentially smoothed value, `elapsed` seconds after `old`."""
    return current + (old - current) * exp(
        -elapsed / (RISE_TIME_CONSTANT if current > old else FALL_TIME_CONSTANT)
    )


def idempotency_key_of(labels: bytes) -> bytes:
    """The idempotency key in an operation's labels; empty if there is none."""
    for part in labels.split(b","):
        if part.startswith(b"k="):
            return part[2:]
    return b""
