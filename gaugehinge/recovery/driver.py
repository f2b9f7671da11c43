"""Carries out what the modules of this package decide, in one router: its snapshot, the messages to peers,
and what it does to endpoint lists, the keeper's answers and requests while service returns.

Nothing of it stands in an operation's way once all is open: it intercepts nothing then.
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
from .datagram import Wire, digest
from .incarnations import IncarnationTracker
from .list_transformers import EstimatedStarts, ListGate
from .recovery_ramp import LoadLimits, RecoveryRamp, Stage, StageTimeouts, StartupProgress, StartupSequence
from .restart_scope import Verdict
from .retry_fencing import RetryFence
from .snapshot import Entry, Kept, Learnt, SnapshotFile, boot_of, identity_of

LOOK = 0.05  # seconds between two looks at what has come
CONNECTIONS_LOOK = 0.5  # and at the connections to servers
WORDS = 3  # times that each peer is told of an ordered end: datagrams may be lost
WORDS_APART = 0.03  # seconds
RISE_TIME, FALL_TIME = 2.0, 60.0  # seconds over which steady service is smoothed: a pause is no less of it
MOST_FIGURE = (1 << 63) - 1  # of versions, as messages carry them
STATES = {presence: state for state, presence in ENDPOINT_STATES.items()}


class Recovery(FeedPart):
    """One router's recovery. A part of the feed, too, where a keeper is followed.

    It is a request interceptor, a gossip listener, a poll policy, a connection observer and a shutdown hook;
    `list_gate` and `believed_starts` are its transformers of endpoint lists.
    """

    name = "recovery"

    def __init__(
        self,
        service: Service,
        entry: RecoveryEntry,
        key: bytes,
        follower: ControlPlaneWatch | None = None,
        wall: Callable[[], float] = time.time,
        steady: Callable[[], float] = time.monotonic,
        boot: Callable[[], str] = boot_of,
    ) -> None:
        """`key`: of the tier's messages; the clocks and the machine's boot may be played by a test."""
        deployment = service.configuration.settings.deployment
        self.service, self.entry, self.follower = service, entry, follower
        self.dispatcher, self.clock = service.dispatcher, service.clock
        self.wall, self.steady, self.boot = wall, steady, boot
        self.me, self.routers = deployment.router_number, deployment.router_count
        self.deployment = deployment
        self.wire = Wire(key)
        self.file = SnapshotFile(entry.snapshot, identity_of(key, service.configuration.name, self.me))
        self.began = self.clock()
        self.former: Kept | None = None
        self.age = staleness_rules.SnapshotAge(inf, False)
        self.mind: restart_scope.TierView
        self.slack = restart_scope.restart_slack(
            self.routers, startup_spreading.steady_messages_per_second(self.routers)
        )
        self.said: dict[int, staleness_rules.PeerReport] = {}  # by peer, the last of each
        self.walls: dict[int, float] = {}  # by peer, how far its wall clock is from ours
        self.heard: dict[int, float] = {}  # by peer, when
        self.lived_lost: dict[int, float] = {}  # by peer that lived on, when it saw marks lost last
        self.effects = RetryFence(deployment, float(entry.repeats), self.began)
        self.opening = RecoveryRamp(deployment, secrets.randbits(32))
        self.order = StartupSequence(
            StageTimeouts(
                float(entry.keeper_wait) if follower is not None else 0.0,
                float(entry.list_wait),
                float(entry.keeper_wait) if follower is not None else 0.0,
                float(entry.decide),
            )
        )
        self.facts = StartupProgress(control_plane=follower is None, subsystems=follower is None)
        self.store = staleness_rules.KnownStore("", 0, {})
        self.older_until = 0.0  # a keeper from before what was heard is not followed until then; 0: none is
        self.keeper_run = ""
        self.servers: dict[str, EndpointTarget] = {}  # as discovery told them, follows the list
        self.list_rev = -1
        self.list_sum = 0
        self.known_rev, self.known_starts = -1, {}  # of the list that was followed last, kept ones too
        self.held_back: list[EndpointListUpdate] = []  # until it is decided; emptied then
        self.old_list_until = 0.0  # by an old list only what harms nobody is sent; 0: it is none
        self.starts: dict[str, tuple[float, float]] = {}  # as told and as believed, follows the list
        self.learnt = Learnt()
        self.saved_at = self.learnt_at = self.began
        self.turn = 0
        self.elsewhere = 0
        self.failed = False
        self.lives = IncarnationTracker()
        self.connections_at = self.began
        self.dirty = trio.Event()
        self.saving = trio.Lock()  # two at a time would write into one file
        self.intercepting = False  # whether `intercept` has anything to do
        self.list_gate = ListGate(self._gate_list)
        self.believed_starts = EstimatedStarts(self._with_believed_starts)

    # -- the start

    def begin(self, nursery: trio.Nursery) -> None:
        """Read what was kept, count the run before anybody is told of it, and intercept from now on."""
        self.former, why = self.file.load()
        kept = self.former
        if kept is None:
            logger.warning("recovery: no snapshot: {}", why)
        else:
            self.age = staleness_rules.snapshot_age(kept, self.wall(), self.steady(), self.boot())
            self._take(kept)
        run = min((kept.run if kept else 0) + 1, restart_scope.MAX_COUNTER)
        known = tuple(kept.runs[: self.routers]) if kept else ()
        lately = (
            tuple(kept.lately[: self.routers])
            if kept and staleness_rules.confidence("lately", self.age)
            else ()
        )
        self.mind = restart_scope.initial_view(
            self.me,
            digest(self.deployment.zone),
            run,
            secrets.randbits(63) | 1,
            (*known, *[0] * (self.routers - len(known))),
            (*lately, *[-1] * (self.routers - len(lately))),
            float(self.entry.decide),
            kept.epoch if kept else 0,
        )
        try:
            self.file.save(self._snapshot())
        except (OSError, ValueError) as bad:
            logger.warning("recovery: run {} could not be counted on the disk: {}", run, bad)
        sure = "" if self.age.from_monotonic_clock else "by wall clocks "
        old = "none" if kept is None else f"{sure}{self.age.seconds:.1f} s old"
        logger.info("recovery: run {}, epoch {}, snapshot {}", run, self.mind.epoch, old)
        self._join_feed()
        self.intercepting = True
        self.service.lifecycle.enter(Phase.RECOVERING, 0)
        for task in (self._look_on, self._tell_on, self._save_on):
            nursery.start_soon(task)

    def _take(self, kept: Kept) -> None:
        """What of the snapshot is believed at once."""
        self.store = staleness_rules.KnownStore(
            kept.store, kept.revision, dict(kept.incarnations), kept.floor
        )
        part = staleness_rules.confidence("learnt", self.age)
        self.known_rev = kept.list_rev
        self.known_starts = {each.uid: each.started for each in kept.servers}
        self.learnt = Learnt(kept.learnt.reads * part, kept.learnt.writes * part)

    def _join_feed(self) -> None:
        places = startup_spreading.startup_delays(self.me, self.routers)
        self.asks_at = self.began + places.discovery
        self.tells_from = places.messages
        if self.follower is not None:
            self.follower.delay_first_call(places.control_plane)
            self.follower.run_number = self.mind.run
            self.follower.add_part(self)

    def earliest_poll(self) -> float:
        """This router's place among all that have just started."""
        return self.asks_at

    def uptime(self) -> float:
        """Seconds since the start."""
        return self.clock() - self.began

    # -- requests

    def intercept(
        self, operation: Operation, payload: RequestPayload, reply_callback: ReplyCallback
    ) -> ReplyCallback | None:
        """Answer here what is not let in; see how the rest ends, for as long as that is asked."""
        if not self.intercepting:
            return reply_callback
        now = self.clock()
        traffic = operation.traffic_type
        row, write = traffic.row, operation.is_write
        if now < self.effects.fenced_until[row]:
            final = self.effects.must_fail(
                row, write, operation.is_client_retry, mark_of(payload.labels), now
            )
            if final and self.mind.verdict is not Verdict.DECIDING:
                self._answer(operation, reply_callback, FAILED_REPLY)
                return None
        if self.opening.fully_open and not self.old_list_until:
            return reply_callback
        away = self._away(row, operation.tenant, write, now)
        if away:
            retry_after = away if self.deployment.max_retry_after else 0.0
            self._answer(operation, reply_callback, busy_reply(retry_after))
            return None

        def on_reply(reply: bytes) -> None:
            settled = not reply.startswith(b"-")
            if settled or self._tells(operation, reply):
                at_origin = any(attempt.endpoint.origin for attempt in operation.attempts)
                self.opening.record_result(row, write, settled, at_origin)
            reply_callback(reply)

        return on_reply

    def _away(self, row: int, tenant: int, write: bool, now: float) -> float:
        """Seconds to stay away; 0: let in."""
        harmless = not write and self.deployment.traffic_types[row].effect is Effect.IDEMPOTENT
        if self.old_list_until and not harmless:
            return self.opening.retry_after(1.0)
        if self.order.stage not in (Stage.RAMPING, Stage.OPEN):
            return self.opening.retry_after(min(self.order.remaining(now - self.began), 1.0))
        return self.opening.admit(row, tenant, write, now)

    def _tells(self, operation: Operation, reply: bytes) -> bool:
        """Whether what was not settled says that too much was let in: not while leases or grants are awaited,
        and not where a read finds no room in its shard's own region."""
        if not self._parts_ready():
            return False
        pinned = bool(operation.regions) and operation.regions[-1] is not None
        return not (
            pinned and reply.startswith(b"-BUSY") and not (operation.is_write or operation.wants_origin)
        )

    def _parts_ready(self) -> bool:
        """Whether all parts that go by the keeper's word have what they need of it."""
        return all(part.ready() for part in self._parts())

    def _parts(self) -> tuple[FeedPart, ...]:
        return self.follower.parts if self.follower is not None else ()

    @staticmethod
    def _answer(operation: Operation, reply_callback: ReplyCallback, reply: bytes) -> None:
        operation.finished = True
        reply_callback(reply)

    # -- the list

    def _gate_list(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate | None:
        """Take note of discovery's list, or changes of it; held back until it is decided what to believe."""
        if update.complete:
            self._weigh_list(update)
            self.servers.clear()
        for target in update.targets:
            if target.entry.state is EndpointState.GONE:
                self.servers.pop(target.uid, None)
            else:
                self.servers[target.uid] = target
        self.list_rev = update.rev
        told = sorted((uid, target.entry.started) for uid, target in self.servers.items())
        self.list_sum = zlib.crc32(repr(told).encode())
        entries = [target.entry for target in update.targets]
        self.effects.on_endpoints_changed(entries, update.complete, self.clock())
        if self.effects.is_active(self.clock()):
            self.intercepting = True
        self.facts.endpoint_list = self.facts.endpoint_list or not cached
        self.dirty.set()
        if self.mind.verdict is not Verdict.DECIDING:
            return update
        # When servers started is believed by what is still to be decided; no client is let in before.
        self.held_back = [update] if update.complete else [*self.held_back, update]
        return None

    def _weigh_list(self, update: EndpointListUpdate) -> None:
        """Whether a whole list is one from before."""
        told = {target.uid: target.entry.started for target in update.targets}
        standing = staleness_rules.classify_list(self.known_rev, self.known_starts, update.rev, told)
        if standing is staleness_rules.AnswerStatus.OLDER:
            if self.old_list_until in (0.0, inf):
                self.old_list_until = self.clock() + float(self.entry.doubt)
                logger.warning(
                    "recovery: list {} is older than {} that was known: reads only, for {:.0f} s at most",
                    update.rev,
                    self.known_rev,
                    float(self.entry.doubt),
                )
                self.intercepting = True
            return
        if self.old_list_until:
            logger.info("recovery: list {} is followed", update.rev)
        self.old_list_until = 0.0
        self.known_rev, self.known_starts = update.rev, told

    def _pass_on(self, update: EndpointListUpdate, cached: bool) -> None:
        """To all that comes behind the gate."""
        self.dispatcher.on_endpoints_changed(update, cached, after=self.list_gate)

    def _with_believed_starts(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate:
        """The list with the times at which servers are believed to have started."""
        known = {each.uid: each.started for each in self.former.servers} if self.former else {}
        spread = startup_spreading.spread_window(self.routers, startup_spreading.DISCOVERY_CALLS_PER_SECOND)
        in_service = self.uptime() > self.order.timeouts.endpoint_list + spread
        off = staleness_rules.clock_correction(0.0, list(self.walls.values()))
        targets = []
        for target in update.targets:
            told = target.entry.started
            seen = self.starts.get(target.uid)
            if cached and self.old_list_until == inf:
                target = target._replace(entry=target.entry._replace(started=self.began))
                targets.append(target)
                continue
            if target.entry.state is EndpointState.GONE:
                self.starts.pop(target.uid, None)
            elif seen is None or seen[0] != told:
                lived = self.mind.verdict.fleet_survived or in_service
                before, now = known.get(target.uid), self.clock()
                believed = staleness_rules.estimated_start_time(told, before, self.began, lived, off, now)
                seen = self.starts[target.uid] = (told, believed)
            if seen is not None:
                target = target._replace(entry=target.entry._replace(started=seen[1]))
            targets.append(target)
        return EndpointListUpdate(update.rev, update.complete, tuple(targets))

    def _use_kept_list(self) -> None:
        """Discovery is not waited for any longer: what was kept serves reads, and every server is cold."""
        if self.former is None or not self.former.servers:
            return
        targets = []
        for each in self.former.servers:
            where = address(each.endpoint, "snapshot")
            ident = xxh64_intdigest(each.uid.encode())  # as net.list_update makes it
            listing = EndpointEntry(
                ident,
                each.zone,
                each.kind,
                each.cell,
                ENDPOINT_STATES.get(each.state, EndpointState.DRAINING),
                each.started,
                each.weight,
            )
            targets.append(EndpointTarget(listing, each.uid, where))
        logger.warning("recovery: no list: {} servers as kept, for reads only", len(targets))
        self.old_list_until = inf
        self._pass_on(EndpointListUpdate(self.former.list_rev, True, tuple(targets)), True)

    # -- connections to servers

    def on_connection_lost(self, connection: Connection, pending: PendingAttempt | None) -> None:
        """A connection was ended by its server, or did not come up: has that lost what it knew?"""
        endpoint = connection.endpoint
        failed = pending is not None and not (connection.request_sent or connection.idle_since)
        pool, now = self.service.pool, self.clock()
        leaving = self.service.lifecycle.phase in (Phase.CLOSING, Phase.ENDED)  # they end with this router
        if leaving or pool.endpoints.get(endpoint.ident) is not endpoint:
            return
        standing = bool(endpoint.idle) or any(
            each is not None and each.endpoint is endpoint and (each.request_sent or each.idle_since)
            for each in [other.connection for other in pool.pending.values()]
        )
        if failed:
            doubted = self.lives.connect_failed(
                endpoint.ident, standing, self.mind.verdict.fleet_survived, now
            )
        else:
            doubted = self.lives.connection_broke(endpoint.ident, pending is not None, standing, now)
        if doubted:
            self._doubt(endpoint.ident, endpoint.uid, now)

    def _doubt(self, ident: int, uid: str, now: float) -> None:
        rows = self.effects.suspect_server(ident, now)
        if not rows:
            return
        logger.info("recovery: {} may have begun anew: no line to it stands, and none comes up", uid)
        self.intercepting = True
        for pending in list(self.dispatcher.pending_operations):
            # It would be sent once more when the server is back, which remembers nothing of it.
            operation = pending.operation
            marked = operation.is_write and operation.traffic_type.row in rows
            if marked and operation.may_have_run_on is not None and not operation.finished:
                self.dispatcher.reject(operation, FAILED_REPLY)

    def _look_at_connections(self, now: float) -> None:
        """What connections that stand idle say of their servers' lives."""
        if now - self.connections_at < CONNECTIONS_LOOK:
            return
        self.connections_at = now
        pool = self.service.pool
        self.lives.retain(pool.endpoints)
        in_use: dict[int, set[Connection]] = {}
        for pending in pool.pending.values():
            if pending.connection is not None:
                in_use.setdefault(pending.connection.endpoint.ident, set()).add(pending.connection)
        for ident, endpoint in pool.endpoints.items():
            connections = [(connection, connection.idle_since) for connection in endpoint.idle]
            self.lives.record_connections(
                ident, connections, in_use.get(ident, set()).union(endpoint.idle), now
            )

    def _kept(self, number: int) -> bool:
        """Whether in that peer's zone a server of each cell is known to have lived while it was away."""
        away = restart_scope.downtime(self.mind, number)
        if (
            away is None
            or self.uptime() > away[1] + restart_scope.LATE_RESTART_FACTOR * self.mind.decision_deadline
        ):
            return False
        since, until = (self.began + at for at in away)
        zone, origin = self.mind.peers[number].zone, self.deployment.origin_kind
        cells: dict[int, bool] = {}
        for target in self.servers.values():
            each = target.entry
            if digest(each.zone) == zone and each.kind != origin:
                cells[each.cell] = cells.get(each.cell, False) or self.lives.was_alive(
                    each.ident, since, until
                )
        return bool(cells) and all(cells.values())

    # -- an ordered end

    async def before_exit(self) -> None:
        """Notify peers where nothing is in flight, and write the snapshot."""
        service = self.service
        in_hand = len(self.dispatcher.pending_operations) + len(service.pool.pending)
        in_hand += sum(front.clients.has_pending_replies() for front in service.fronts)
        self.mind = restart_scope.begin_shutdown(self.mind, in_hand)
        how = f"with {in_hand} in hand" if in_hand else "in order"
        logger.info("recovery: run {} ends {}", self.mind.run, how)
        if self.mind.shutting_down_cleanly and self.service.gossip is not None:
            for _ in range(WORDS):
                for number in range(self.routers):
                    if number != self.me:
                        self._tell(number)
                await trio.sleep(WORDS_APART)
        try:
            await self._save()
        except (OSError, ValueError) as bad:
            logger.warning("recovery: snapshot not written: {}", bad)

    # -- peers

    def on_gossip(self, peer: int, payload: bytes) -> bool:
        """Take the messages of recovery; all others are the routing decisions'."""
        if not self.wire.mine(payload):
            return False
        told = self.wire.read(payload)
        if told is not None and 0 <= told.sender < self.routers:
            self._hear_peer(told)
        return True

    def _hear_peer(self, told: restart_scope.PeerMessage) -> None:
        uptime, before = self.uptime(), self.mind
        self.mind, echo = restart_scope.receive_message(before, told, uptime)
        if echo is not None:
            self._tell(told.sender, echo)
        if told.echo_nonce != self.mind.nonce or told.nonce != self.mind.peers[told.sender].nonce:
            return
        self.heard[told.sender] = uptime
        self.walls[told.sender] = told.wall_clock - self.wall()
        self.said[told.sender] = staleness_rules.PeerReport(
            told.epoch,
            told.run,
            told.ready,
            Verdict(told.verdict),
            told.list_rev,
            told.list_checksum,
            told.store_digest,
            told.store_revision,
            told.keys_lost_ago,
        )
        if told.survived and told.keys_lost_ago >= 0.0:
            self.lived_lost[told.sender] = uptime - told.keys_lost_ago
        self._changed(before)

    def _changed(self, before: restart_scope.TierView) -> None:
        """What a change of mind brings."""
        mind = self.mind
        if mind.run != before.run:
            logger.warning("recovery: peers know run {} of this router: now {}", mind.run - 1, mind.run)
            self.dirty.set()
            if self.follower is not None:
                self.follower.run_number = mind.run
        if mind.verdict is not before.verdict:
            self._decided()
        if mind.epoch != before.epoch:
            self.dirty.set()

    def _decided(self) -> None:
        mind, now = self.mind, self.clock()
        anew = sum(restart_scope.proved_restarted(mind, number) for number in range(self.routers))
        lived = sum(peer.survived for peer in mind.peers)
        logger.info(
            "recovery: {} after {:.1f} s: of {} peers {} lived on, {} began anew; epoch {}",
            mind.verdict.name.lower(),
            self.uptime(),
            self.routers - 1,
            lived,
            anew,
            mind.epoch,
        )
        uptime = self.uptime()
        self.effects.apply_verdict(mind.verdict, [uptime - at for at in self.lived_lost.values()], now)
        waiting, self.held_back = self.held_back, []
        for update in waiting:
            self._pass_on(update, False)
        if mind.verdict is Verdict.LONE and self.order.stage is Stage.RAMPING:
            self.opening.fully_open = True
        self.dirty.set()

    async def _tell_on(self) -> None:
        """Messages to peers, round by round."""
        if self.routers == 1 or self.service.gossip is None:
            return
        await trio.sleep(self.tells_from)
        while True:
            enough = staleness_rules.heard_enough([said for said in self.said.values()], self.routers)
            settled = self.mind.verdict not in (Verdict.DECIDING, Verdict.APART)
            late = self.uptime() > restart_scope.LATE_RESTART_FACTOR * self.mind.decision_deadline
            for number in startup_spreading.peers_in_round(
                self.me, self.routers, self.turn, (enough and settled) or late
            ):
                self._tell(number)
            self.turn += 1
            await trio.sleep(startup_spreading.ROUND_INTERVAL)

    def _tell(self, number: int, echo: tuple[int, float] | None = None) -> None:
        now, effects = self.clock(), self.effects
        settled = self.mind.verdict is not Verdict.DECIDING
        told = restart_scope.build_message(
            self.mind,
            number,
            now - self.began,
            echo,
            ready=self.service.lifecycle.phase is Phase.READY,
            wall_clock=self.wall(),
            list_rev=min(max(self.list_rev, 0), MOST_FIGURE),
            list_checksum=self.list_sum,
            control_plane_run=digest(self.keeper_run) if self.keeper_run else 0,
            store_digest=digest(self.store.name) if self.store.name else 0,
            store_revision=min(self.store.revision, MOST_FIGURE),
            keys_lost_ago=now - effects.keys_lost_at if settled and effects.is_active(now) else -1.0,
            zone_servers_survived=self._kept(number),
        )
        self.service.gossip.send((number,), self.wire.write(told))

    # -- the keeper: a part of the follower's feed

    def hear(self, feed: Feed, asked_at: float) -> None:
        """A feed was followed."""
        before, same = (
            self.mind,
            bool(self.former and self.former.keeper_run)
            and (feed.control_plane_run == self.former.keeper_run),
        )
        self.mind = restart_scope.receive_control_plane(before, same, self.uptime())
        self.keeper_run = feed.control_plane_run
        self.facts.control_plane = True
        self._changed(before)

    def filter_feed(self, feed: Feed) -> Feed:
        """What of a feed is followed. Raises FeedError while it is from before what was heard."""
        now, known = self.clock(), self._known_store()
        standing = staleness_rules.classify_feed(known, feed.store_id, feed.revision, feed.complete)
        if standing is not staleness_rules.AnswerStatus.CURRENT:
            what = f"store {feed.store_id} revision {feed.revision}, heard was {known.name} {known.revision}"
            if not self.older_until:
                self.older_until = now + float(self.entry.doubt)
                logger.error("recovery: keeper is {}: {}", standing.value, what)
            if now < self.older_until:
                raise FeedError(f"keeper is {standing.value}: {what}")
            logger.error("recovery: keeper is followed though it is {}: {}", standing.value, what)
        elif self.older_until:
            logger.info("recovery: keeper is at revision {} again", feed.revision)
        rows = [(row.incarnation, row.name) for row in feed.tenants]
        refused = set(staleness_rules.reassigned_incarnations(known, rows))
        if refused:
            logger.error("recovery: numbers {} were other tenants': not served", sorted(refused))
            feed = msgspec.structs.replace(
                feed, tenants=[row for row in feed.tenants if row.incarnation not in refused]
            )
        self.older_until = 0.0
        named = [row for row in rows if row[0] not in refused]
        self.store = staleness_rules.remember_incarnations(
            known._replace(name=feed.store_id, revision=feed.revision), named
        )
        return feed

    def _known_store(self) -> staleness_rules.KnownStore:
        """What this router knows, and what the best of its peers does."""
        best = staleness_rules.most_authoritative(list(self.said.values()))
        if best is None or not self.store.name or best.store_digest != digest(self.store.name):
            return self.store
        if self.facts.control_plane:
            return self.store  # in service each is told by the keeper itself: peers may be ahead of us
        return self.store._replace(revision=max(self.store.revision, best.store_revision))

    # -- looks

    async def _look_on(self) -> None:
        """Everything that time alone brings."""
        for part in self._parts():
            if self.former is not None and part.name in self.former.parts:
                part.restore(self.former.parts[part.name])
        while True:
            try:
                self._look()
            except Exception:
                if not self.failed:  # once: it may fail at each look
                    logger.exception("recovery failed: all is let in")
                self.failed = True
                self._give_way()
            await trio.sleep(LOOK)

    def _give_way(self) -> None:
        """A mistake here must not keep the router shut: as a start without recovery, but for repeats."""
        self.opening.fully_open, self.order.stage, self.old_list_until = True, Stage.OPEN, 0.0
        waiting, self.held_back = self.held_back, []
        # Starts are believed as told where that is this package's matter alone, and no keeper's.
        gate = self.list_gate if self.follower is not None else self.believed_starts
        for update in waiting:
            self.dispatcher.on_endpoints_changed(update, after=gate)
        if self.service.lifecycle.phase is Phase.RECOVERING:
            self.service.lifecycle.enter(Phase.READY, len(self.dispatcher.pending_operations))

    def _look(self) -> None:
        before, now = self.mind, self.clock()
        uptime = now - self.began
        self.mind = restart_scope.check_deadline(before, uptime)
        self._changed(before)
        self.facts.verdict = self.mind.verdict
        self.facts.subsystems = self.facts.subsystems or (self.facts.control_plane and self._parts_ready())
        stage = self.order.stage
        if stage not in (Stage.RAMPING, Stage.OPEN):
            after = self.order.advance(self.facts, uptime)
            if after is Stage.RAMPING:
                self._let_in(now)
        if self.old_list_until and now >= self.old_list_until:
            self.old_list_until = 0.0
            logger.warning("recovery: the list is followed though it may be old")
        self.opening.set_shares([tenant.quota for tenant in self.dispatcher.router.tenants])
        self.opening.step(self._warmth(now), now)
        if self.opening.fully_open and self.order.stage is Stage.RAMPING:
            self.order.stage = Stage.OPEN
        if self.order.stage is Stage.OPEN and not self.old_list_until and not self.effects.is_active(now):
            self.intercepting = False
        self._learn(now)
        self._look_at_connections(now)
        anew = restart_scope.recent_peer_restarts(self.mind, uptime, self.slack)
        if anew > self.elsewhere:
            told = f"{anew} of {self.routers - 1} peers began anew within {self.slack:.0f} s"
            logger.info("recovery: a loss elsewhere: {}", told)
        self.elsewhere = anew
        self._flush_log()

    def _let_in(self, now: float) -> None:
        """Clients are let in from now on."""
        if not self.facts.endpoint_list:
            self._use_kept_list()
        for waiting in self.held_back:
            self._pass_on(waiting, False)
        self.held_back = []
        router = self.dispatcher.router
        learnt, entry = self.learnt, self.entry
        bearing = LoadLimits(
            self.routers,
            len(router.endpoints),
            float(entry.origin),
            float(entry.cold_reads),
            learnt.reads,
            learnt.writes,
        )
        if self.mind.verdict is Verdict.LONE:
            self.opening.fully_open = True
        else:
            self.opening.start(bearing, [tenant.quota for tenant in router.tenants], now)
        logger.info(
            "recovery: ready after {:.1f} s, {}: {} servers, {:.1f} reads and {:.1f} writes a second before",
            now - self.began,
            "open" if self.opening.fully_open else "in steps",
            len(router.endpoints),
            learnt.reads,
            learnt.writes,
        )
        if self.service.lifecycle.phase is Phase.RECOVERING:
            self.service.lifecycle.enter(Phase.READY, len(self.dispatcher.pending_operations))

    def _warmth(self, now: float) -> float:
        caches, cold_time = self.dispatcher.router.endpoints, self.deployment.warm_up_time
        if not caches or not cold_time:
            return 1.0
        ages = [max(now - cache.started, 0.0) if cache.started else inf for cache in caches.values()]
        return sum(min(age / cold_time, 1.0) for age in ages) / len(ages)

    def _learn(self, now: float) -> None:
        """Steady service, by what the decisions measure anyhow."""
        span = now - self.learnt_at
        if span < 1.0 or self.order.stage is not Stage.OPEN:
            return
        self.learnt_at = now
        router, old = self.dispatcher.router, self.learnt
        reads = router.responses_per_second(now)
        writes = max(router.operations_per_second() - reads, 0.0)
        self.learnt = Learnt(_towards(old.reads, reads, span), _towards(old.writes, writes, span))

    def _flush_log(self) -> None:
        for log in (self.order.log_lines, self.opening.log_lines, self.effects.log_lines):
            for text in log:
                logger.info("recovery: {}", text)
            log.clear()

    # -- the snapshot

    def _snapshot(self) -> Kept:
        mind, store = self.mind, self.store
        parts = {}
        for part in self._parts():
            state = part.state_to_keep()
            if state is not None:
                parts[part.name] = state
        return Kept(
            self.file.identity,
            mind.run,
            self.wall(),
            self.steady(),
            self.boot(),
            epoch=mind.epoch,
            runs=[max(peer.run, peer.known_run) for peer in mind.peers],
            lately=list(restart_scope.recently_heard_runs(mind, self.uptime(), self.slack)),
            list_rev=self.list_rev if self.servers else self.former.list_rev if self.former else -1,
            servers=self._entries(),
            learnt=self.learnt,
            keeper_run=self.keeper_run or (self.former.keeper_run if self.former else ""),
            store=store.name,
            revision=store.revision,
            incarnations=dict(store.incarnations),
            floor=store.incarnation_floor,
            parts=parts,
        )

    def _entries(self) -> list[Entry]:
        if not self.servers:
            return self.former.servers if self.former else []
        return [
            Entry(
                target.uid,
                f"{target.address[0]}:{target.address[1]}",
                target.entry.zone,
                target.entry.kind,
                target.entry.cell,
                STATES[target.entry.state],
                target.entry.started,
                target.entry.weight,
            )
            for target in self.servers.values()
            if target.address is not None
        ]

    async def _save(self) -> None:
        """Raises OSError, ValueError."""
        async with self.saving:
            await trio.to_thread.run_sync(self.file.save, self._snapshot())

    async def _save_on(self) -> None:
        """Write the snapshot now and then, and soon after something in it changed."""
        failed = False
        while True:
            with trio.move_on_after(float(self.entry.every)):
                await self.dirty.wait()
            self.dirty = trio.Event()
            try:
                await self._save()
                if failed:
                    logger.info("recovery: snapshot written again")
                failed = False
            except (OSError, ValueError) as bad:
                if not failed:
                    logger.warning("recovery: snapshot not written: {}", bad)
                failed = True
            await trio.sleep(min(float(self.entry.every), 0.1))


def _towards(old: float, now: float, span: float) -> float:
    """A smoothed figure, `span` seconds later."""
    return now + (old - now) * exp(-span / (RISE_TIME if now > old else FALL_TIME))


def mark_of(told: bytes) -> bytes:
    """The mark in an operation's labels, empty where there is none."""
    for part in told.split(b","):
        if part.startswith(b"k="):
            return part[2:]
    return b""
