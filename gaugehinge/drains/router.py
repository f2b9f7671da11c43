"""Drains at a router: connections are opened and used within its grant, closed connections counted until the
server has closed them, and an order to end is carried out as SIGTERM would be.

Clock: the one that goes on while the machine sleeps, read at each opening and each use of a connection.
"""

from __future__ import annotations

import signal
import socket
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio
from loguru import logger

from ..hosted.follower import Follower
from ..hosted.roster import BadFeed
from ..net.connection import Connection, PendingAttempt, ServerPool
from ..net.connection_pool import REUSE_DELAY
from ..net.lifecycle import Phase
from ..net.service import Service
from ..routing.types import EndpointState, Outcome
from ..tenancy.feed import Feed
from ..tenancy.lease import EXPIRY_MARGIN, MAX_CLOCK_DRIFT
from .files import NodeFile
from .forms import MOST_SERVERS, NAME, Said, ServerSaid, Told
from .grants import ORIGIN, SERVERS, Figures, Holding
from .lastword import sleepless

TICK = 0.1  # seconds between two looks at what is open
SPAN = 5.0  # seconds of a measure: need is the most of the last one or two of them
FIRST_CLOSING = 15.0  # seconds, until a keeper says how long stores take to close what a silent node left
MOST_WAITING = 256  # attempts that wait for a connection to one server
WAIT_PART = 0.5  # of an attempt's time to wait for a connection; then another server is tried, or none
LEASE_PART = 0.25  # of a lease that a call may stand open
FAREWELL = 1.0  # seconds for closing all and saying so
RESET_TIME = 1.0  # seconds for which a connection counts that was reset, or that never came up
FORCED = 0.5  # of the closing time after a lease: what is still busy over the floor is cut off


@dataclass(slots=True)
class Store:
    """Connections to one server. It leaves with its last connection, once the server has left the list."""

    open: int = 0  # connecting, idle and busy
    closing: int = 0
    waiting: deque[PendingAttempt] = field(default_factory=deque)
    peak: int = 0  # in use and waited for, the most in this span
    before: int = 0  # and in the last one
    over_since: float = 0.0  # connections are over what may be; 0: they are not

    @property
    def counted(self) -> int:
        return self.open + self.closing


@dataclass(slots=True, eq=False)
class RouterDrains:
    """`hosted.follower.Part` and `net.connection_pool.ConnectionBudget`."""

    service: Service
    follower: Follower
    files: NodeFile
    nursery: trio.Nursery
    zone: str = ""
    build: str = ""
    labels: tuple[str, ...] = ()
    end: Callable[[], None] = lambda: signal.raise_signal(signal.SIGTERM)
    clock: Callable[[], float] = sleepless
    name: str = NAME
    holding: Holding = field(init=False)
    stores: dict[str, Store] = field(default_factory=dict)  # by the list's names; `origin`
    names: dict[str, str] = field(default_factory=dict)  # of stores, by the list's; emptied with them
    closing: float = FIRST_CLOSING
    turn: int = 0
    asked: float = 0.0
    ready_since: float = 0.0
    settled: int = 0
    lost: int = 0
    left: str = ""  # the roll that told this run to end
    said_refused: str = ""
    asks_list: bool = False
    was_good: bool = False
    span_at: float = 0.0
    span_ops: int = 0
    span_cpu: float = 0.0
    rate: float = 0.0
    busy: float = 0.0
    used: float = 0.0
    saving: bool = False
    unsaved: dict[str, Any] = field(default_factory=dict)  # of its file

    def __post_init__(self) -> None:
        now = self.clock()
        kept = self.files.kept
        self.closing = kept.closing or FIRST_CLOSING
        from_ = now + self.closing * (1.0 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN
        self.holding = Holding(dict(kept.floors), from_, kept.admitted)
        self.span_at, self.span_cpu = now, time.process_time()
        self.service.pool.warden = self
        self.service.dispatcher.noted = self._noted
        self.service.farewells.append(self.farewell)

    # -- which store

    def store_name(self, endpoint: ServerPool) -> str:
        """The same for as long as a connection to it counts: the origin leaves the list before its
        connections do."""
        name = self.names.get(endpoint.uid)
        if name is None:
            origin = self.service.dispatcher.router.origin
            name = ORIGIN if origin is not None and origin.ident == endpoint.ident else endpoint.uid
            self.names[endpoint.uid] = name
        return name

    def _store(self, endpoint: ServerPool) -> Store:
        name = self.store_name(endpoint)
        found = self.stores.get(name)
        if found is None:
            found = self.stores[name] = Store()
        return found

    # -- net.connection_pool.ConnectionBudget

    def may_open(self, endpoint: ServerPool) -> bool:
        """Closing connections count: the server may hold them still."""
        return self._store(endpoint).counted < self.holding.most(self.store_name(endpoint), self.clock())

    def may_use(self, connection: Connection) -> bool:
        """A connection over what may be open now carries nothing more: else it would outlive its closing
        time."""
        store = self._store(connection.endpoint)
        store.peak = max(store.peak, store.open - len(connection.endpoint.idle) + len(store.waiting))
        return store.open <= self.holding.most(self.store_name(connection.endpoint), self.clock())

    def opened(self, connection: Connection) -> None:
        store = self._store(connection.endpoint)
        store.open += 1
        store.peak = max(store.peak, store.open - len(connection.endpoint.idle) + len(store.waiting))

    def rested(self, connection: Connection) -> None:
        store = self._store(connection.endpoint)
        if store.open > self.holding.most(self.store_name(connection.endpoint), self.clock()):
            connection.endpoint.idle.remove(connection)
            self.service.pool._close(connection)
        elif store.waiting:
            pool = self.service.pool
            pool.timers.call_at(pool.clock() + 1.1 * REUSE_DELAY, self._serve, connection.endpoint)

    def closed(self, connection: Connection) -> None:
        """Say that no more comes, and count the connection until the server has closed it, too."""
        store = self._store(connection.endpoint)
        store.open -= 1
        store.closing += 1
        half = None
        with suppress(OSError):  # it never came up, or was reset
            half = connection.sock.dup()
        self.nursery.start_soon(self._see_out, half, store, connection.endpoint)

    async def _see_out(self, half: socket.socket | None, store: Store, endpoint: ServerPool) -> None:
        """Until the server has closed it; the router's own end is the nursery's."""
        try:
            if half is None or not await self._closes(half):
                await trio.sleep(RESET_TIME)
        finally:
            if half is not None:
                half.close()
            store.closing -= 1
        self._serve(endpoint)

    async def _closes(self, half: socket.socket) -> bool:
        """Whether the server closed it, or the time is over in which it certainly has; False: it was reset,
        and the server's process may not know yet."""
        try:
            half.setblocking(False)
            half.shutdown(socket.SHUT_WR)
            with trio.move_on_after(self.closing):
                while True:
                    await trio.lowlevel.wait_readable(half)
                    if not half.recv(65536):
                        break
        except OSError:
            return False
        return True

    # -- attempts that wait for a connection

    def wait(self, endpoint: ServerPool, pending: PendingAttempt) -> bool:
        store = self._store(endpoint)
        if len(store.waiting) >= MOST_WAITING or self.holding.closed:
            return False
        pool = self.service.pool
        pool.timers.cancel(pending.timer)
        now = pool.clock()
        pending.timer = pool.timers.call_at(
            now + WAIT_PART * max(pending.deadline - now, 0.0), self._waited_out, store, pending
        )
        store.waiting.append(pending)
        if endpoint.idle:  # one that has not had its rest
            pool.timers.call_at(now + 1.1 * REUSE_DELAY, self._serve, endpoint)
        store.peak = max(store.peak, store.open - len(endpoint.idle) + len(store.waiting))
        return True

    def _waited_out(self, store: Store, pending: PendingAttempt) -> None:
        if pending in store.waiting:
            store.waiting.remove(pending)
            self.service.pool._end_soon(pending, Outcome.NOT_SENT)

    def _serve(self, endpoint: ServerPool) -> None:
        """Connections that are free, and openings that are, to the attempts that wait longest."""
        store, pool = self._store(endpoint), self.service.pool
        while store.waiting:
            pending = store.waiting[0]
            if pool.pending.get(pending.attempt) is not pending or pending.attempt.operation.finished:
                store.waiting.popleft()
                continue
            if pool.endpoints.get(endpoint.ident) is not endpoint:
                store.waiting.popleft()
                pool._end_soon(pending, Outcome.NOT_SENT)
                continue
            connection = pool.take_idle(endpoint)
            if connection is None and not (self.may_open(endpoint) and pool._make_room()):
                return
            store.waiting.popleft()
            pool.timers.cancel(pending.timer)
            pending.timer = pool.timers.call_at(pending.deadline, pool._on_timeout, pending)
            if connection is not None:
                pool._start(connection, pending)
            else:
                pool._open(endpoint, pending)

    # -- what is over goes

    def shed(self) -> None:
        """Idle connections over what may be open are closed at once; busy ones when their attempt ends, at
        the latest in half of the closing time."""
        now, pool = self.clock(), self.service.pool
        endpoints = {self.store_name(endpoint): endpoint for endpoint in pool.endpoints.values()}
        for name, store in list(self.stores.items()):
            most = self.holding.most(name, now)
            endpoint = endpoints.get(name)
            while endpoint is not None and endpoint.idle and store.open > most:
                pool._close(endpoint.idle.pop(0))
            if store.open <= most:
                store.over_since = 0.0
            elif not store.over_since:
                store.over_since = now
            elif now - store.over_since > FORCED * self.closing:
                self._cut(name, store.open - most)
            if endpoint is not None and store.waiting:
                self._serve(endpoint)
            if endpoint is None and not store.counted and not store.waiting:
                del self.stores[name]
                self.names = {uid: each for uid, each in self.names.items() if each != name}

    def _cut(self, name: str, count: int) -> None:
        pool = self.service.pool
        for pending in list(pool.pending.values()):
            connection = pending.connection
            if count and connection is not None and self.store_name(connection.endpoint) == name:
                pool._close(connection)  # its reader wakes, and its attempt ends as broken
                count -= 1

    def _close_drained(self) -> None:
        """Nothing more goes to a server that drains: what is idle there is closed before its time."""
        drained = self.follower.overlay.drained
        for endpoint in self.service.pool.endpoints.values() if drained else ():
            while endpoint.uid in drained and endpoint.idle:
                self.service.pool._close(endpoint.idle.pop(0))

    async def run(self) -> None:
        """Look at what is open, until cancelled."""
        while True:
            await trio.sleep(TICK)
            now = self.clock()
            if self.service.lifecycle.phase is Phase.READY and not self.ready_since:
                self.ready_since = now
            good = self.holding.held.is_valid(now)
            if good is not self.was_good:
                self.was_good = good
                state = f"granted {self.holding.values}" if good else f"at its floor {self.holding.floors}"
                logger.info("connections {}: number {}", state, self.holding.number)
            self.shed()
            self._close_drained()
            self._measure(now)

    def _measure(self, now: float) -> None:
        origin = self.stores.get(ORIGIN)
        if origin is not None:
            endpoints = self.service.pool.endpoints.values()
            endpoint = next((each for each in endpoints if self.store_name(each) == ORIGIN), None)
            in_use = origin.open - (len(endpoint.idle) if endpoint is not None else 0)
            self.used += 0.05 * (in_use - self.used)
        span = now - self.span_at
        if span < SPAN:
            return
        ops, cpu = self.settled + self.lost, time.process_time()
        self.rate, self.busy = (ops - self.span_ops) / span, (cpu - self.span_cpu) / span
        self.span_at, self.span_ops, self.span_cpu = now, ops, cpu
        for store in self.stores.values():
            store.before, store.peak = store.peak, len(store.waiting)

    def _noted(self, reply: bytes) -> None:
        if reply.startswith((b"-BUSY", b"-ERR failed")):
            self.lost += 1
        else:
            self.settled += 1

    # -- hosted.follower.Part

    def report(self) -> bytes | None:
        self.turn += 1
        now = self.asked = self.clock()
        kept, holding = self.files.kept, self.holding
        named = {*holding.values, *holding.floors} - {ORIGIN, SERVERS}
        counted = self._figures(named, lambda store: store.counted)
        need = self._figures(named, lambda store: max(store.peak, store.before))
        floors = {
            name: max(holding.floors.get(name, 0), kept.floors.get(name, 0))
            for name in {*holding.floors, *kept.floors}
        }
        phase = self.service.lifecycle.phase
        drained = self.follower.overlay.drained
        said = Said(
            f"{self.service.configuration.name}@{kept.ident}",
            kept.run_number,
            self.turn,
            holding.number,
            holding.mark,
            holding.holds(now),
            counted,
            need,
            floors if kept.admitted else {},
            kept.admitted,
            holding.closed,
            self.zone,
            self.build,
            list(self.labels),
            now - self.ready_since if self.ready_since else 0.0,
            bool(self.left) or phase in (Phase.LEAVING, Phase.CLOSING),
            self._in_hand(),
            self.settled,
            self.lost,
            self.busy,
            max(self.used, 0.0),
            self.rate,
            {uid: self._out(uid) for uid in sorted(drained)[:MOST_SERVERS]},
            self._attempts(),
            self._listed() if self.asks_list else [],
            kept.rolled,
        )
        return msgspec.json.encode(said)

    def _figures(self, named: set[str], of: Callable[[Store], int]) -> Figures:
        found = {ORIGIN: 0, SERVERS: 0} | dict.fromkeys(named, 0)
        for name, store in self.stores.items():
            key = name if name in found else SERVERS
            found[key] = max(found[key], of(store))
        return found

    def _out(self, uid: str) -> int:
        store = self.stores.get(uid)
        return store.counted + len(store.waiting) if store is not None else 0

    def _attempts(self) -> int:
        return sum(not pending.attempt.endpoint.origin for pending in self.service.pool.pending.values())

    def _listed(self) -> list[ServerSaid]:
        origin = self.service.dispatcher.router.origin
        return [
            ServerSaid(
                target.uid,
                target.entry.zone,
                target.entry.kind,
                target.entry.state is EndpointState.UP,
                target.entry.started,
            )
            for target in self.follower.overlay.told
            if origin is None or target.entry.ident != origin.ident
        ][:MOST_SERVERS]

    def hear(self, feed: Feed, asked_at: float) -> None:
        raw = feed.parts.get(NAME)
        if raw is None:
            return
        try:
            told = msgspec.json.decode(raw, type=Told)
        except msgspec.MsgspecError as bad:
            raise BadFeed(f"drains: {bad}") from None
        if told.again >= self.files.kept.run_number:
            # Two more, not one: of runs after the last known one nobody knows what they left open.
            number = told.again + 2
            logger.warning("drains: the file is of before run {}: this is run {}", told.again, number)
            kept = msgspec.structs.replace(self.files.kept, run_number=number)
            if not self.files.save(kept):
                self.files.kept = kept
            return
        if told.closing:
            self.closing = told.closing
        if told.refused != self.said_refused:
            self.said_refused = told.refused
            if told.refused:
                logger.warning("connections: not admitted by the keeper: {}", told.refused)
        self.asks_list = told.servers
        grant = told.grant()
        if grant is not None and self.holding.hear(grant, self.asked):
            self.holding.floors, self.holding.admitted = dict(grant.floors), told.life
            kept = self.files.kept
            if (kept.admitted, kept.floors, kept.closing) != (told.life, grant.floors, self.closing):
                self._save(admitted=told.life, floors=dict(grant.floors), closing=self.closing)
            self.follower.wait = min(self.follower.wait, LEASE_PART * grant.lease)
            self.shed()
        if told.leave and not self.left:
            self.left = told.leave
            self._save(rolled=told.leave)
            logger.info("told to end by {}: {} operations in hand", told.leave, self._in_hand())
            self.end()
        elif told.hard and self.left:
            logger.warning("told to end at once by {}: {} in hand", told.leave, self._in_hand())
            self.service.dispatcher.fail_rest()
            self.nursery.cancel_scope.cancel()

    def _in_hand(self) -> int:
        return len(self.service.dispatcher.pending_operations)

    def _save(self, **figures: Any) -> None:
        """One writing at a time; what comes meanwhile is written with the next."""
        self.unsaved |= figures
        if not self.saving:
            self.saving = True
            self.nursery.start_soon(self._saves)

    async def _saves(self) -> None:
        try:
            while self.unsaved:
                kept = msgspec.structs.replace(self.files.kept, **self.unsaved)
                self.unsaved = {}
                await trio.to_thread.run_sync(self.files.save, kept)
        finally:
            self.saving = False

    def away(self) -> None:
        """The clock alone says when the lease is over."""

    def ready(self) -> bool:
        """Whether connections may be opened, by a grant or at the floor. For `recovery`."""
        now = self.clock()
        return any(self.holding.most(store, now) for store in (ORIGIN, SERVERS))

    # -- the end

    async def farewell(self) -> None:
        """All is answered: close all connections, and say so when the servers have closed them, too."""
        self.holding.closed = True
        pool = self.service.pool
        for pending in list(pool.pending.values()):
            pool.cancel(pending.attempt)
        for endpoint in pool.endpoints.values():
            while endpoint.idle:
                pool._close(endpoint.idle.pop())
        with trio.move_on_after(FAREWELL):
            while any(store.counted for store in self.stores.values()):
                await trio.sleep(0.01)
        left = sum(store.counted for store in self.stores.values())
        with trio.move_on_after(FAREWELL):
            self.follower.wait = 0.0
            try:
                await self.follower._call()
            except Exception as bad:  # the keeper finds out by the lease, later
                logger.info("the keeper was not told that all is closed: {}", type(bad).__name__)
        logger.info("connections closed: {} left, run {}", left, self.files.kept.run_number)
