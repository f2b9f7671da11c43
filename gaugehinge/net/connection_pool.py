"""Connections to servers, and attempts on them: one attempt a connection at a time, in a dialect.

An attempt's outcome follows from where it stood when it ended: before its last byte was written it never ran,
after that it may have. Nothing is sent again from here.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

import trio
from loguru import logger

from ..routing.types import Attempt, EndpointState, Outcome
from .configuration import Address
from .endpoint_list import EndpointListUpdate
from .extensions import Extensions
from .resp import ARRAY, BULK, ERROR, MOST_ANSWER, Malformed, Message, Parser
from .sockets import connect, receive, send_some, shut, silent, tcp
from .timer_queue import Timer, TimerQueue

IDLE_PART = 0.7  # of the time after which a server closes an idle connection: one written to then may be lost
REST_TIME = 0.01  # an answered connection is not used before this: its end or a second copy may follow.
# Second copies were seen 2.7 to 3.8 ms behind the first: used after 3 ms, a connection gave one to the next
# attempt.
WAY = 0.05  # of an attempt's last byte to its server, kept before the time by which it has to be there
SWEEP_EVERY = 0.5
ANSWER_PARTS = 3  # the value, how it went, the load report


@dataclass(slots=True, frozen=True)
class RequestPayload:
    """What an operation carries to servers: the bytes that came, with a gap for the wait that is left."""

    ident: bytes
    key: bytes
    labels: tuple[bytes, bytes]  # before and behind the figure of `d`
    told: bytes  # the labels as they came
    before: bytes  # the command up to its labels
    behind: bytes  # and what follows them
    value: bytes | None  # of a write
    words: bytes = b""  # the command as it goes on where servers take it as it came
    wanted: Callable[[], bool] = lambda: True  # whether its client is still there


class ServerReply(NamedTuple):
    """What came back."""

    outcome: Outcome
    value: bytes | None = None  # as the client gets it; of a redirection: its words
    keep: bool = True  # whether the connection is good for another attempt
    told: bytes = b""  # the load report, or what stands for it


class Codec(Protocol):
    """How to speak to one kind of server, with no I/O."""

    def parser(self) -> Any:
        """The state of a new connection."""

    def command(self, connection: Connection, payload: RequestPayload, left: float) -> bytes:
        """All the bytes of an attempt."""

    def answer(self, connection: Connection, data: bytes) -> ServerReply | None:
        """What came, or nothing at the end of the connection; the answer once it is whole."""


class ConnectionLost(Exception):
    """The other side ended the connection."""


class MalformedReply(ConnectionLost):
    """The other side answered with what makes no sense. It is up, and the attempt has run there."""


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to a server, with a task that reads it."""

    raw: socket.socket
    endpoint: ServerPool
    parser: Any
    pending: PendingAttempt | None  # the attempt that it carries
    idle_since: float = 0.0
    written: bool = False  # whether the attempt's last byte is out
    closed: bool = False


@dataclass(slots=True, eq=False)
class ServerPool:
    """A server as the pool knows it. It leaves when the list says that it is gone."""

    ident: int
    uid: str
    address: Address
    started: float
    idle: list[Connection] = field(default_factory=list)  # oldest first; swept


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt on its way."""

    attempt: Attempt
    payload: RequestPayload
    dialect: Codec
    due: float
    time_out: Timer | None = None
    connection: Connection | None = None


class ConnectionBudget(Protocol):
    """Who says how many connections may be open to each server, where that is not this router's alone to
    say."""

    def may_open(self, endpoint: ServerPool) -> bool:
        """Whether one more may be opened now."""

    def may_use(self, connection: Connection) -> bool:
        """Whether a connection that stood idle may carry an attempt now; else it is closed."""

    def wait(self, endpoint: ServerPool, pending: PendingAttempt) -> bool:
        """Keep an attempt for which no connection may be opened; False: it is not kept."""

    def opened(self, connection: Connection) -> None:
        """A connection is about to be opened."""

    def rested(self, connection: Connection) -> None:
        """A connection's attempt ended, and it is idle."""

    def closed(self, connection: Connection) -> None:
        """The pool has done with a connection: its socket is the budget's to close."""


class RespCodec:
    """The cache servers' protocol."""

    def parser(self) -> Parser:
        return Parser(MOST_ANSWER)

    def command(self, connection: Connection, payload: RequestPayload, left: float) -> bytes:
        before, behind = payload.labels
        labels = b"%b%d%b" % (before, max(int(left * 1000), 1), behind)
        return b"%b$%d\r\n%b\r\n%b" % (payload.before, len(labels), labels, payload.behind)

    def answer(self, connection: Connection, data: bytes) -> ServerReply | None:
        if not data:
            raise ConnectionLost("ended")
        connection.parser.feed(data)
        try:
            message = connection.parser.next()
        except Malformed as bad:
            raise MalformedReply(str(bad)) from None
        if message is None:
            return None
        # What follows an answer unasked belongs to no attempt: the next one would take it for its own. And
        # where it is no second copy, the answer began with half of another's: no server gave such a value.
        rest = connection.parser.rest()
        if rest.strip() and not (message.raw.startswith(rest[:4]) or rest.startswith(message.raw[:4])):
            raise MalformedReply("an answer with bytes of another behind it")
        return read_reply(message)._replace(keep=not len(connection.parser))


def read_reply(message: Message) -> ServerReply:
    """A cache server's answer, by the protocol's table."""
    top = message.top
    if top.kind == ERROR:
        word = top.body.split(b" ", 1)[0]
        if word == b"BUSY":
            return ServerReply(Outcome.REJECTED)
        if word != b"ERR":
            logger.warning("a cache server answered {!r}", top.body[:80])
        return ServerReply(Outcome.SERVER_ERROR, told=top.body.rpartition(b" ")[2])
    if top.kind != ARRAY or top.body is None or len(top.body) != ANSWER_PARTS:
        raise MalformedReply("an answer that is no array of three")
    value, how, report = top.body  # whatever stands for the load report spoils nothing
    told = report.body if report.kind == BULK and report.body is not None else b""
    if value.kind != BULK or how.kind != BULK:
        raise MalformedReply("an answer that is no value with how it went")
    if value.body is None:
        return ServerReply(Outcome.CACHE_MISS, told=told)
    return ServerReply(Outcome.SUCCEEDED, message.part(value), told=told)


class ConnectionPool:
    """Connections to all servers, within a limit, and the attempts that are out."""

    def __init__(
        self,
        nursery: trio.Nursery,
        timers: TimerQueue,
        most: int,
        connect_time: float,
        idle_time: float,
        ended: Callable[[Attempt, Outcome, float, bytes | None, bytes], None],
    ) -> None:
        self.nursery = nursery
        self.timers = timers
        self.clock = timers.clock
        self.most = most
        self.connect_time = connect_time
        self.keep_time = IDLE_PART * idle_time
        self.ended = ended
        self.endpoints: dict[int, ServerPool] = {}  # follows the list
        self.pending: dict[Attempt, PendingAttempt] = {}  # until the attempt ended
        self.connections = 0
        self.full = False
        self.install(Extensions())
        self._sweep()

    def install(self, extensions: Extensions) -> None:
        """Take the extensions that attempts and connections concern, before the first attempt."""
        self.attempt_policies = extensions.attempt_policies
        self.connection_observers = extensions.connection_observers
        self.connection_budget = extensions.connection_budget

    # -- the list

    def on_endpoints_changed(self, update: EndpointListUpdate) -> None:
        """Follow the list. A server that started anew, or moved, took its connections with it."""
        for listing, uid, address in update.targets:
            ident = listing.ident
            endpoint = self.endpoints.get(ident)
            if address is None:
                self._drop_endpoint(ident)
            elif endpoint is not None and listing.started < endpoint.started:
                continue  # of its process before, and perhaps at an address that is another's now
            elif endpoint is None or (endpoint.address, endpoint.started) != (address, listing.started):
                self._drop_endpoint(ident)
                self.endpoints[ident] = ServerPool(ident, uid, address, listing.started)
                logger.info("server {} at {}:{} is cache {}", uid, *address, ident)
        if update.complete:
            named = {target.entry.ident for target in update.targets}
            for ident in [ident for ident in self.endpoints if ident not in named]:
                self._drop_endpoint(ident)

    def _drop_endpoint(self, ident: int) -> None:
        endpoint = self.endpoints.pop(ident, None)
        if endpoint is not None:
            logger.info("server {} left, or starts anew", endpoint.uid)
            while endpoint.idle:
                self._close(endpoint.idle.pop())

    # -- attempts

    def send(self, attempt: Attempt, payload: RequestPayload, time_out: float, dialect: Codec) -> None:
        """Start an attempt; its outcome is told to `ended`, never before this returns."""
        pending = PendingAttempt(attempt, payload, dialect, self.clock() + time_out)
        self.pending[attempt] = pending
        pending.time_out = self.timers.call_at(pending.due, self._late, pending)
        endpoint = self.endpoints.get(attempt.endpoint.ident)
        connection = self._warm(endpoint) if endpoint is not None else None
        budget = self.connection_budget
        if connection is not None:
            self._start(connection, pending)
        elif endpoint is not None and budget is not None and not budget.may_open(endpoint):
            if not budget.wait(endpoint, pending):
                self._end_soon(pending, Outcome.NOT_SENT)
        elif endpoint is None or not payload.wanted() or not self._make_room():
            self._end_soon(pending, Outcome.NOT_SENT)
        else:
            self._open(endpoint, pending)

    def call_off(self, attempt: Attempt) -> None:
        """Give an attempt up: its connection closes."""
        pending = self.pending.get(attempt)
        if pending is not None:
            written = self._abandon(pending)
            self._end_soon(pending, Outcome.CANCELLED if written else Outcome.NOT_SENT)

    def _late(self, pending: PendingAttempt) -> None:
        written = self._abandon(pending)
        self._end(pending, Outcome.TIMED_OUT if written else Outcome.CONNECT_FAILED)

    def _abandon(self, pending: PendingAttempt) -> bool:
        """Close an attempt's connection, lest its late answer be taken for that of the next; whether it was
        written."""
        connection, pending.connection = pending.connection, None
        if connection is None:
            return False
        connection.pending = None
        self._close(connection)
        return connection.written

    def _start(self, connection: Connection, pending: PendingAttempt) -> None:
        """Write an attempt on a connection that is up."""
        attempt = pending.attempt
        # The list may have changed while the connection came up: a drain is kept from the first byte.
        # The server may be reached elsewhere by now, and what stands at its old address be somebody else's.
        # And its client may have gone, with that still unread: nothing may begin for one that left.
        over = attempt.operation.finished or attempt.endpoint.state is not EndpointState.UP
        over = over or self.endpoints.get(connection.endpoint.ident) is not connection.endpoint
        if over or not self._may_go(attempt) or not pending.payload.wanted():
            # No longer its own: called off behind this, it closed the connection under the next attempt.
            pending.connection = None
            self._rest(connection)
            self._end_soon(pending, Outcome.NOT_SENT)
            return
        connection.pending, pending.connection, connection.written = pending, connection, False
        try:
            data = pending.dialect.command(connection, pending.payload, pending.due - self.clock())
            sent = send_some(connection.raw, data)
        except Exception as bad:
            if not isinstance(bad, OSError):  # a defect fails this attempt alone
                logger.exception("an attempt of {} could not be written", pending.payload.ident)
            self._abandon(pending)
            self._end_soon(pending, Outcome.CONNECT_FAILED)
            return
        connection.written = sent == len(data)
        if not connection.written:
            self.nursery.start_soon(self._push, connection, pending, data[sent:])

    def _may_go(self, attempt: Attempt) -> bool:
        """Whether the next byte of an attempt may go out: with the last one its server acts.

        A connection that came up late, or a server that read slowly, held a repeat up until its first try
        was forgotten: it took effect a second time.
        """
        if self.clock() > attempt.operation.retry_deadline - WAY:
            return False
        for policy in self.attempt_policies:  # noqa: SIM110 - a generator would cost each byte's way more
            if not policy.may_send(attempt):
                return False
        return True

    async def _push(self, connection: Connection, pending: PendingAttempt, rest: bytes) -> None:
        """Write what did not go at once. A connection that breaks is noticed by its reader."""
        try:
            while rest:
                if not connection.closed:  # by its reader or a time-out, before this began
                    await trio.lowlevel.wait_writable(connection.raw)
                if connection.pending is not pending:
                    return
                if not self._may_go(pending.attempt):
                    self._abandon(pending)
                    self._end_soon(pending, Outcome.NOT_SENT)
                    return
                rest = rest[send_some(connection.raw, rest) :]
            connection.written = True
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:  # a defect fails this attempt alone
            logger.exception("a connection to {} could not be written", connection.endpoint.uid)

    def _end_soon(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Not from within the call that started or gave up the attempt: its caller is not done with it."""
        self.timers.cancel(pending.time_out)
        self.timers.call_at(self.clock(), self._end, pending, outcome)

    def _end(
        self,
        pending: PendingAttempt,
        outcome: Outcome,
        value: bytes | None = None,
        told: bytes = b"",
    ) -> None:
        if self.pending.pop(pending.attempt, None) is None:
            return
        self.timers.cancel(pending.time_out)
        try:
            self.ended(pending.attempt, outcome, self.clock() - pending.attempt.sent_at, value, told)
        except Exception:  # a defect fails this attempt alone
            logger.exception("the end of an attempt of {} failed", pending.payload.ident)

    # -- connections

    def _warm(self, endpoint: ServerPool) -> Connection | None:
        """The connection used last, if it had its rest and the server did not close it meanwhile.

        Used at once, what still came behind one attempt's answer was taken for that of the next.
        """
        now = self.clock()
        rested = sum(connection.idle_since <= now - REST_TIME for connection in endpoint.idle)
        while rested:
            rested -= 1
            connection = endpoint.idle.pop(rested)
            if (
                connection.idle_since > now - self.keep_time
                and silent(connection.raw)
                and (self.connection_budget is None or self.connection_budget.may_use(connection))
            ):
                return connection
            self._close(connection)
        return None

    def limit(self, most: int) -> None:
        """How many connections may be open, from now on. Idle ones over it are closed at once."""
        self.most = most
        while self.connections > most and self._close_oldest():
            pass

    def _make_room(self) -> bool:
        """Whether one more connection fits; the longest idle ones go if need be."""
        # Not only one: with more open than a lowered limit lets be, one for one would keep it so for good.
        while self.connections >= self.most:
            found = self._close_oldest()
            if found is self.full:
                self.full = not found
                state = "easy" if found else "used up"
                logger.warning("connections to servers {}: {} out", state, self.connections)
            if not found:
                return False
        return True

    def _close_oldest(self) -> bool:
        """Close the connection that has been idle for longest, if one is idle."""
        idle = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not idle:
            return False
        connection = min(idle, key=lambda each: each.idle_since)
        connection.endpoint.idle.remove(connection)
        self._close(connection)
        return True

    def _open(self, endpoint: ServerPool, pending: PendingAttempt) -> None:
        try:
            raw = tcp(endpoint.address)
        except OSError as bad:
            logger.warning("no socket to be had: {}", bad)
            self._end_soon(pending, Outcome.NOT_SENT)
            return
        self.connections += 1
        pending.connection = Connection(raw, endpoint, pending.dialect.parser(), pending)
        if self.connection_budget is not None:
            self.connection_budget.opened(pending.connection)
        self.nursery.start_soon(self._run, pending.connection)

    async def _run(self, connection: Connection) -> None:
        """A connection's task: connect, write the attempt that it was opened for, read until it ends."""
        spoilt = False
        try:
            with self.timers.timeout_scope(self.connect_time) as limit:
                await connect(connection.raw, connection.endpoint.address)
            if not limit.cancelled_caught and not connection.closed:
                self._start(connection, connection.pending)
                while not connection.closed:
                    data = await receive(connection.raw)
                    self._incoming(connection, data)
                    if not data:
                        break
        except MalformedReply:
            spoilt = True
        except (OSError, ConnectionLost, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("a connection to {} failed", connection.endpoint.uid)
        finally:
            self._lose(connection, spoilt)

    def _incoming(self, connection: Connection, data: bytes) -> None:
        pending = connection.pending
        if pending is None:
            raise ConnectionLost("the end, or bytes that nobody asked for")
        if data and not connection.written:
            # Not of this one, which has not gone out whole: a late copy of the receipt before called it done.
            raise ConnectionLost("an answer before the request was out")
        reply = pending.dialect.answer(connection, data)
        if reply is None:
            return
        connection.pending = pending.connection = None
        if reply.keep and data:
            self._rest(connection)
        else:
            self._close(connection)
        self._end(pending, reply.outcome, reply.value, reply.told)

    def _lose(self, connection: Connection, spoilt: bool) -> None:
        """A connection has ended: so has the attempt on it, by where that stood.

        What answers nonsense now and then is up: taken for lost connections, two such answers in a row set
        a sound server aside, and the others drowned.
        """
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
        there = not (connection.closed or spoilt)
        self._close(connection)
        pending, connection.pending = connection.pending, None
        if pending is not None:
            pending.connection = None
            may_have_run = Outcome.MALFORMED_RESPONSE if spoilt else Outcome.CONNECTION_LOST
            self._end(pending, may_have_run if connection.written else Outcome.CONNECT_FAILED)
        if there:
            for observer in self.connection_observers:
                observer.on_connection_lost(connection, pending)

    def _rest(self, connection: Connection) -> None:
        connection.pending = None
        if self.endpoints.get(connection.endpoint.ident) is not connection.endpoint:
            self._close(connection)
            return
        connection.idle_since = self.clock()
        connection.endpoint.idle.append(connection)
        if self.connection_budget is not None:
            self.connection_budget.rested(connection)

    def _close(self, connection: Connection) -> None:
        if not connection.closed:
            connection.closed = True
            self.connections -= 1
            if self.connection_budget is not None:
                self.connection_budget.closed(connection)
            shut(connection.raw)

    def _sweep(self) -> None:
        """Close idle connections before their servers do."""
        oldest = self.clock() - self.keep_time
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since <= oldest:
                self._close(endpoint.idle.pop(0))
        self.timers.call_at(self.clock() + SWEEP_EVERY, self._sweep)
