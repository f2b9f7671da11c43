"""Connections to servers, and attempts on them: one attempt a connection at a time, in a dialect.

An attempt's outcome follows from where it stood when it ended: before its last byte was written it never ran,
after that it may have. Nothing is sent again from here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio
from loguru import logger

from ..routing.types import Attempt, EndpointState, Outcome
from .codec import Codec, ConnectionLost, MalformedReply, RequestPayload
from .connection import Connection, PendingAttempt, ServerPool
from .endpoint_list import EndpointListUpdate
from .sockets import connect, receive, send_some, shut, silent, tcp
from .timer_queue import TimerQueue

IDLE_TIMEOUT_FRACTION = 0.7  # of the time after which a server closes an idle connection: one written to then may be lost
REUSE_DELAY = 0.01  # an answered connection is not used before this: its end or a second copy may follow.
# Second copies were seen 2.7 to 3.8 ms behind the first: used after 3 ms, a connection gave one to the next
# attempt.
RETRY_DEADLINE_MARGIN = 0.05  # of an attempt's last byte to its server, kept before the time by which it has to be there
SWEEP_INTERVAL = 0.5


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
        """The pool has done with a connection: its socket is the warden's to close."""


class ConnectionPool:
    """Connections to all servers, within a limit, and the attempts that are out."""

    def __init__(
        self,
        nursery: trio.Nursery,
        timers: TimerQueue,
        max_connections: int,
        connect_timeout: float,
        server_idle_timeout: float,
        on_attempt_ended: Callable[[Attempt, Outcome, float, bytes | None, bytes], None],
    ) -> None:
        self.nursery = nursery
        self.timers = timers
        self.clock = timers.clock
        self.max_connections = max_connections
        self.connect_timeout = connect_timeout
        self.max_idle_time = IDLE_TIMEOUT_FRACTION * server_idle_timeout
        self.on_attempt_ended = on_attempt_ended
        self.endpoints: dict[int, ServerPool] = {}  # follows the list
        self.pending: dict[Attempt, PendingAttempt] = {}  # until the attempt ended
        self.open_connections = 0
        self.exhausted = False
        self.guard: Callable[[Attempt], bool] | None = None  # where one stands: asked before each byte
        self.warden: ConnectionBudget | None = None
        self.lost: Callable[[Connection, PendingAttempt | None], None] | None = None  # servers ended these
        self._sweep()

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

    def send(self, attempt: Attempt, payload: RequestPayload, timeout: float, codec: Codec) -> None:
        """Start an attempt; its outcome is told to `on_attempt_ended`, never before this returns."""
        pending = PendingAttempt(attempt, payload, codec, self.clock() + timeout)
        self.pending[attempt] = pending
        pending.timer = self.timers.call_at(pending.deadline, self._on_timeout, pending)
        endpoint = self.endpoints.get(attempt.endpoint.ident)
        connection = self.take_idle(endpoint) if endpoint is not None else None
        if connection is not None:
            self._start(connection, pending)
        elif endpoint is not None and self.warden is not None and not self.warden.may_open(endpoint):
            if not self.warden.wait(endpoint, pending):
                self._end_soon(pending, Outcome.NOT_SENT)
        elif endpoint is None or not payload.client_is_waiting() or not self._make_room():
            self._end_soon(pending, Outcome.NOT_SENT)
        else:
            self._open(endpoint, pending)

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up: its connection closes."""
        pending = self.pending.get(attempt)
        if pending is not None:
            written = self._abandon(pending)
            self._end_soon(pending, Outcome.CANCELLED if written else Outcome.NOT_SENT)

    def _on_timeout(self, pending: PendingAttempt) -> None:
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
        return connection.request_sent

    def _start(self, connection: Connection, pending: PendingAttempt) -> None:
        """Write an attempt on a connection that is up."""
        attempt = pending.attempt
        # The list may have changed while the connection came up: a drain is kept from the first byte.
        # The server may be reached elsewhere by now, and what stands at its old address be somebody else's.
        # And its client may have gone, with that still unread: nothing may begin for one that left.
        over = attempt.operation.finished or attempt.endpoint.state is not EndpointState.UP
        over = over or self.endpoints.get(connection.endpoint.ident) is not connection.endpoint
        if over or not self._may_send(attempt) or not pending.payload.client_is_waiting():
            # No longer its own: called off behind this, it closed the connection under the next attempt.
            pending.connection = None
            self._release(connection)
            self._end_soon(pending, Outcome.NOT_SENT)
            return
        connection.pending, pending.connection, connection.request_sent = pending, connection, False
        try:
            data = pending.codec.encode(connection, pending.payload, pending.deadline - self.clock())
            sent = send_some(connection.sock, data)
        except Exception as bad:
            if not isinstance(bad, OSError):  # a defect fails this attempt alone
                logger.exception("an attempt of {} could not be written", pending.payload.ident)
            self._abandon(pending)
            self._end_soon(pending, Outcome.CONNECT_FAILED)
            return
        connection.request_sent = sent == len(data)
        if not connection.request_sent:
            self.nursery.start_soon(self._send_rest, connection, pending, data[sent:])

    def _may_send(self, attempt: Attempt) -> bool:
        """Whether the next byte of an attempt may go out: with the last one its server acts.

        A connection that came up late, or a server that read slowly, held a repeat up until its first try
        was forgotten: it took effect a second time.
        """
        if self.clock() > attempt.operation.retry_deadline - RETRY_DEADLINE_MARGIN:
            return False
        return self.guard is None or self.guard(attempt)

    async def _send_rest(self, connection: Connection, pending: PendingAttempt, rest: bytes) -> None:
        """Write what did not go at once. A connection that breaks is noticed by its reader."""
        try:
            while rest:
                if not connection.closed:  # by its reader or a time-out, before this began
                    await trio.lowlevel.wait_writable(connection.sock)
                if connection.pending is not pending:
                    return
                if not self._may_send(pending.attempt):
                    self._abandon(pending)
                    self._end_soon(pending, Outcome.NOT_SENT)
                    return
                rest = rest[send_some(connection.sock, rest) :]
            connection.request_sent = True
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:  # a defect fails this attempt alone
            logger.exception("a connection to {} could not be written", connection.endpoint.uid)

    def _end_soon(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """Not from within the call that started or gave up the attempt: its caller is not done with it."""
        self.timers.cancel(pending.timer)
        self.timers.call_at(self.clock(), self._end, pending, outcome)

    def _end(
        self,
        pending: PendingAttempt,
        outcome: Outcome,
        value: bytes | None = None,
        reported_load: bytes = b"",
    ) -> None:
        if self.pending.pop(pending.attempt, None) is None:
            return
        self.timers.cancel(pending.timer)
        try:
            self.on_attempt_ended(pending.attempt, outcome, self.clock() - pending.attempt.sent_at, value, reported_load)
        except Exception:  # a defect fails this attempt alone
            logger.exception("the end of an attempt of {} failed", pending.payload.ident)

    # -- connections

    def take_idle(self, endpoint: ServerPool) -> Connection | None:
        """The connection used last, if it had its rest and the server did not close it meanwhile.

        Used at once, what still came behind one attempt's answer was taken for that of the next.
        """
        now = self.clock()
        rested = sum(connection.idle_since <= now - REUSE_DELAY for connection in endpoint.idle)
        while rested:
            rested -= 1
            connection = endpoint.idle.pop(rested)
            if (
                connection.idle_since > now - self.max_idle_time
                and silent(connection.sock)
                and (self.warden is None or self.warden.may_use(connection))
            ):
                return connection
            self._close(connection)
        return None

    def set_limit(self, max_connections: int) -> None:
        """How many connections may be open, from now on. Idle ones over it are closed at once."""
        self.max_connections = max_connections
        while self.open_connections > max_connections and self._close_longest_idle():
            pass

    def _make_room(self) -> bool:
        """Whether one more connection fits; the longest idle ones go if need be."""
        # Not only one: with more open than a lowered limit lets be, one for one would keep it so for good.
        while self.open_connections >= self.max_connections:
            found = self._close_longest_idle()
            if found is self.exhausted:
                self.exhausted = not found
                state = "easy" if found else "used up"
                logger.warning("connections to servers {}: {} out", state, self.open_connections)
            if not found:
                return False
        return True

    def _close_longest_idle(self) -> bool:
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
            sock = tcp(endpoint.address)
        except OSError as bad:
            logger.warning("no socket to be had: {}", bad)
            self._end_soon(pending, Outcome.NOT_SENT)
            return
        self.open_connections += 1
        pending.connection = Connection(sock, endpoint, pending.codec.new_state(), pending)
        if self.warden is not None:
            self.warden.opened(pending.connection)
        self.nursery.start_soon(self._run, pending.connection)

    async def _run(self, connection: Connection) -> None:
        """A connection's task: connect, write the attempt that it was opened for, read until it ends."""
        malformed = False
        try:
            with self.timers.timeout_scope(self.connect_timeout) as limit:
                await connect(connection.sock, connection.endpoint.address)
            if not limit.cancelled_caught and not connection.closed:
                self._start(connection, connection.pending)
                while not connection.closed:
                    data = await receive(connection.sock)
                    self._on_data(connection, data)
                    if not data:
                        break
        except MalformedReply:
            malformed = True
        except (OSError, ConnectionLost, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("a connection to {} failed", connection.endpoint.uid)
        finally:
            self._on_connection_ended(connection, malformed)

    def _on_data(self, connection: Connection, data: bytes) -> None:
        pending = connection.pending
        if pending is None:
            raise ConnectionLost("the end, or bytes that nobody asked for")
        if data and not connection.request_sent:
            # Not of this one, which has not gone out whole: a late copy of the receipt before called it done.
            raise ConnectionLost("an answer before the request was out")
        reply = pending.codec.decode(connection, data)
        if reply is None:
            return
        connection.pending = pending.connection = None
        if reply.reusable and data:
            self._release(connection)
        else:
            self._close(connection)
        self._end(pending, reply.outcome, reply.value, reply.reported_load)

    def _on_connection_ended(self, connection: Connection, malformed: bool) -> None:
        """A connection has ended: so has the attempt on it, by where that stood.

        What answers nonsense now and then is up: taken for lost connections, two such answers in a row set
        a sound server aside, and the others drowned.
        """
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
        there = not (connection.closed or malformed)
        self._close(connection)
        pending, connection.pending = connection.pending, None
        if pending is not None:
            pending.connection = None
            may_have_run = Outcome.MALFORMED_RESPONSE if malformed else Outcome.CONNECTION_LOST
            self._end(pending, may_have_run if connection.request_sent else Outcome.CONNECT_FAILED)
        if there and self.lost is not None:
            self.lost(connection, pending)

    def _release(self, connection: Connection) -> None:
        connection.pending = None
        if self.endpoints.get(connection.endpoint.ident) is not connection.endpoint:
            self._close(connection)
            return
        connection.idle_since = self.clock()
        connection.endpoint.idle.append(connection)
        if self.warden is not None:
            self.warden.rested(connection)

    def _close(self, connection: Connection) -> None:
        if not connection.closed:
            connection.closed = True
            self.open_connections -= 1
            if self.warden is not None:
                self.warden.closed(connection)
            shut(connection.sock)

    def _sweep(self) -> None:
        """Close idle connections before their servers do."""
        oldest = self.clock() - self.max_idle_time
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since <= oldest:
                self._close(endpoint.idle.pop(0))
        self.timers.call_at(self.clock() + SWEEP_INTERVAL, self._sweep)
