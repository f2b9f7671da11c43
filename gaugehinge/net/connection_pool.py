"""A pool of connections to servers. Each connection carries one attempt at a time.

The outcome of an attempt depends on how much of it was written when it ended: before its last byte was
written it cannot have run, afterwards it may have. The pool retries nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import trio
from loguru import logger

from ..routing.types import Attempt, EndpointState, Outcome
from .buffer_budget import BufferBudget
from .codec import Codec, ConnectionLost, DoubtfulReply, MalformedReply, RequestPayload
from .connection import Connection, PendingAttempt, ServerPool
from .connection_reuse import may_keep, may_reuse, on_doubtful_reply
from .endpoint_list import EndpointListUpdate
from .extensions import Extensions
from .http_exchange import RESPONSE_START, is_excess
from .receive_buffers import ReceiveBuffers
from .reply_doubts import DoubtCause
from .sockets import (
    acknowledgement_age,
    connect,
    input_age,
    is_connected,
    receive,
    receive_now,
    send_some,
    shut,
    silent,
    tcp,
    unread,
    wait_writable,
)
from .timer_queue import MIN_LATENESS, TimerQueue

# The pool closes an idle connection after this fraction of the time after which the server would close it. A
# request written just as the server closes the connection may be lost.
IDLE_TIMEOUT_FRACTION = 0.7
# Seconds for which a connection is not reused after a reply: the end of the stream, or a second copy of the
# reply, may follow.
REUSE_DELAY = 0.01
# Seconds allowed for an attempt's last byte to reach its server before the retry deadline.
RETRY_DEADLINE_MARGIN = 0.05
SWEEP_INTERVAL = 0.5  # seconds between two checks for connections that have been idle too long


class ConnectionBudget(Protocol):
    """Limits the open connections to each server where this router does not set that limit alone."""

    def may_open(self, endpoint: ServerPool) -> bool:
        """Whether one more connection may be opened now."""

    def may_use(self, connection: Connection) -> bool:
        """Whether an idle connection may carry an attempt now; if not, the pool closes it."""

    def wait(self, endpoint: ServerPool, pending: PendingAttempt) -> bool:
        """Queue an attempt for which no connection may be opened; False if it was not queued."""

    def opened(self, connection: Connection) -> None:
        """Called when a connection is about to be opened."""

    def became_idle(self, connection: Connection) -> None:
        """Called when a connection's attempt has ended and the connection is idle."""

    def closed(self, connection: Connection) -> None:
        """Called when the pool is about to close a connection's socket."""


class ConnectionPool:
    """Keeps connections to all servers within a limit, and the attempts that have not ended."""

    def __init__(
        self,
        nursery: trio.Nursery,
        timers: TimerQueue,
        max_connections: int,
        connect_timeout: float,
        server_idle_timeout: float,
        on_attempt_ended: Callable[[Attempt, Outcome, float, bytes | None, bytes, float], None],
    ) -> None:
        """Times are in seconds. Servers close connections that were idle for `server_idle_timeout`.

        `on_attempt_ended` is called once for each attempt, with its outcome, its duration in seconds, the
        value, the server's load report, and the seconds, not in the duration, by which this router itself
        delayed it, for instance by leaving its reply unread while the event loop was late.
        """
        self.nursery = nursery
        self.timers = timers
        self.clock = timers.clock
        self.max_connections = max_connections
        self.buffer_budget = BufferBudget()
        self.receive_buffers = ReceiveBuffers(self.buffer_budget, self.clock)
        self.connect_timeout = connect_timeout
        self.max_idle_time = IDLE_TIMEOUT_FRACTION * server_idle_timeout
        self.on_attempt_ended = on_attempt_ended
        self.endpoints: dict[int, ServerPool] = {}  # by endpoint number, as discovery lists them
        self.pending: dict[Attempt, PendingAttempt] = {}  # until the attempt has ended
        self.open_connections = 0
        self.memory_timeouts = 0  # attempts whose replies found no room in memory
        self._next_memory_log_at = 1  # such attempts
        self.exhausted = False  # whether no connection was available within the limit, as last logged
        self.install(Extensions())
        self._sweep()

    def install(self, extensions: Extensions) -> None:
        """Install the extensions for attempts and connections. Called before the first attempt."""
        self.attempt_policies = extensions.attempt_policies
        self.connection_observers = extensions.connection_observers
        self.connection_budget = extensions.connection_budget

    # -- the servers

    def on_endpoints_changed(self, update: EndpointListUpdate) -> None:
        """Apply an endpoint list. A server that restarted or moved gets a new pool of connections."""
        for entry, uid, address in update.targets:
            ident = entry.ident
            endpoint = self.endpoints.get(ident)
            if address is None:
                self._remove_endpoint(ident)
            elif endpoint is not None and entry.started < endpoint.started:
                continue  # an entry of its former process, whose address may be another server's now
            elif endpoint is None or (endpoint.address, endpoint.started) != (address, entry.started):
                self._remove_endpoint(ident)
                self.endpoints[ident] = ServerPool(ident, uid, address, entry.started)
                logger.info("server {} at {}:{} is endpoint {}", uid, *address, ident)
        if update.complete:
            listed = {target.entry.ident for target in update.targets}
            for ident in [ident for ident in self.endpoints if ident not in listed]:
                self._remove_endpoint(ident)

    def _remove_endpoint(self, ident: int) -> None:
        endpoint = self.endpoints.pop(ident, None)
        if endpoint is not None:
            logger.info("server {} removed, restarted or moved", endpoint.uid)
            self._close_idle(endpoint)

    # -- attempts

    def send(self, attempt: Attempt, payload: RequestPayload, timeout: float, codec: Codec) -> None:
        """Start an attempt that may take `timeout` seconds. It never ends before this method returns.

        It ends no later than its operation's deadline, since the decision for it may have been made some
        time ago.
        """
        now = self.clock()
        deadline = min(now + timeout, attempt.operation.deadline)
        pending = PendingAttempt(attempt, payload, codec, deadline, own_lag=now - attempt.sent_at)
        self.pending[attempt] = pending
        pending.timer = self.timers.call_at(pending.deadline, self._on_timeout, pending)
        endpoint = self.endpoints.get(attempt.endpoint.ident)
        connection = self.take_idle(endpoint, attempt) if endpoint is not None else None
        budget = self.connection_budget
        if connection is not None:
            self._start(connection, pending)
        elif endpoint is not None and budget is not None and not budget.may_open(endpoint):
            if not budget.wait(endpoint, pending):
                self._end_soon(pending, Outcome.NOT_SENT)
        elif endpoint is None or not payload.client_is_waiting() or not self._make_room():
            self._end_soon(pending, Outcome.NOT_SENT)
        else:
            self._open(endpoint, pending)

    def cancel(self, attempt: Attempt) -> None:
        """Abandon an attempt that has not ended and close its connection."""
        pending = self.pending.get(attempt)
        if pending is not None:
            sent = self._abandon(pending)
            self._end_soon(pending, Outcome.CANCELLED if sent else Outcome.NOT_SENT)

    def _on_timeout(self, pending: PendingAttempt) -> None:
        """End an attempt at its deadline, without blaming its server for this router's own lag.

        After a stall of the event loop, timers run before the tasks that read. Replies that had arrived in
        time were discarded, and healthy servers were ejected.
        """
        connection = pending.connection
        while connection is not None and _has_unread_reply(connection) and not _waits_for_memory(connection):
            self._receive_now(connection)
            connection = pending.connection
        if pending.attempt not in self.pending:
            return
        if connection is not None and _waits_for_memory(connection):
            if self.clock() >= pending.deadline:  # else the wait began just now and has moved the deadline
                self._on_memory_timeout(pending)
            return
        not_sent = Outcome.NOT_SENT if _connect_not_observed(connection) else Outcome.CONNECT_FAILED
        sent = self._abandon(pending)
        self._end(pending, Outcome.TIMED_OUT if sent else not_sent)

    def _reserve_memory(self, connection: Connection, pending: PendingAttempt) -> None:
        """Reserve memory for the reply being received. Raises MalformedReply if the reply is too long.

        While the reply waits for room, the attempt keeps all of its operation's time: the server has replied,
        and another attempt's reply would wait as well.
        """
        expected_bytes = pending.codec.expected_bytes(connection)
        if self.receive_buffers.reserve(connection, expected_bytes):
            return
        self.timers.cancel(pending.timer)
        pending.deadline = pending.attempt.operation.deadline
        pending.timer = self.timers.call_at(pending.deadline, self._on_timeout, pending)

    def _on_memory_timeout(self, pending: PendingAttempt) -> None:
        """End an attempt whose reply found no room in memory in its operation's time.

        The server is not at fault, and it may have run the attempt.
        """
        self._abandon(pending)
        self.memory_timeouts += 1
        if self.memory_timeouts >= self._next_memory_log_at:
            self._next_memory_log_at *= 2
            logger.warning("replies given up for lack of memory: {}", self.memory_timeouts)
        self._end(pending, Outcome.CANCELLED)

    def _abandon(self, pending: PendingAttempt) -> bool:
        """Close an attempt's connection; returns whether the attempt had been sent.

        If the connection stayed open, the late reply would be given to the next attempt.
        """
        connection, pending.connection = pending.connection, None
        if connection is None:
            return False
        connection.pending = None
        self._close(connection)
        return connection.request_sent

    def _start(self, connection: Connection, pending: PendingAttempt) -> None:
        """Write an attempt to a connection that is established."""
        if not self._may_start(connection, pending):
            # The attempt must give up the connection: when it was cancelled after this point, it closed the
            # connection while the next attempt was using it.
            pending.connection = None
            self._release(connection)
            self._end_soon(pending, Outcome.NOT_SENT)
            return
        connection.pending, pending.connection, connection.request_sent = pending, connection, False
        try:
            data = pending.codec.encode(connection, pending.payload, pending.deadline - self.clock())
            sent = send_some(connection.sock, data)
        except Exception as error:
            if not isinstance(error, OSError):  # a defect fails this attempt only
                logger.exception("failed to send an attempt of operation {}", pending.payload.ident)
            self._abandon(pending)
            self._end_soon(pending, Outcome.CONNECT_FAILED)
            return
        connection.request_sent = sent >= len(data) - connection.trailing_bytes
        if sent < len(data):
            self.nursery.start_soon(self._send_rest, connection, pending, memoryview(data)[sent:])

    def _may_start(self, connection: Connection, pending: PendingAttempt) -> bool:
        """Whether an attempt may still start on a connection that is now established.

        In the meantime its operation may have finished, its deadline may have passed, and the endpoint list
        may have changed. A draining server must not get the first byte, and a different server may listen at
        a server's former address. The client may have disconnected without this having been read yet; no
        attempt may start for a client that left.
        """
        attempt, endpoint = pending.attempt, connection.endpoint
        if attempt.operation.finished or attempt.endpoint.state is not EndpointState.UP:
            return False
        if self.endpoints.get(endpoint.ident) is not endpoint:
            return False
        return self._may_send(pending) and pending.payload.client_is_waiting()

    def _may_send(self, pending: PendingAttempt) -> bool:
        """Whether the next byte of an attempt may be written. The server acts on the last byte.

        A connection that was established late, or a server that read slowly, delayed a retry until its
        server had forgotten the first attempt, and the operation took effect a second time.
        """
        attempt, now = pending.attempt, self.clock()
        if now >= pending.deadline or now > attempt.operation.retry_deadline - RETRY_DEADLINE_MARGIN:
            return False
        for policy in self.attempt_policies:  # noqa: SIM110 - a generator is slower, and this is a hot path
            if not policy.may_send(attempt):
                return False
        return True

    async def _send_rest(self, connection: Connection, pending: PendingAttempt, rest: memoryview) -> None:
        """Write the bytes that did not fit at once. The connection's reader notices when it ends."""
        size = len(rest)
        self.buffer_budget.hold(size)
        try:
            while rest:
                if not connection.closed:  # its reader or a timeout may have closed it before this task ran
                    await wait_writable(connection.sock)
                if connection.pending is not pending:
                    return
                if not connection.request_sent and not self._may_send(pending):
                    self._abandon(pending)
                    self._end_soon(pending, Outcome.NOT_SENT)
                    return
                rest = rest[send_some(connection.sock, rest) :]
                connection.request_sent = len(rest) <= connection.trailing_bytes
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:  # a defect fails this attempt only
            logger.exception("failed to write to server {}", connection.endpoint.uid)
        finally:
            self.buffer_budget.release(size)

    def _end_soon(self, pending: PendingAttempt, outcome: Outcome) -> None:
        """End an attempt from a timer, by its deadline, after the caller of `send` or `cancel` is done.

        Called from within `send` or `cancel`, `on_attempt_ended` would see the caller's state half changed.
        """
        self.timers.cancel(pending.timer)
        self.timers.call_at(min(self.clock(), pending.deadline), self._end, pending, outcome)

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
        delay = pending.own_lag + pending.memory_wait  # not the server's
        elapsed = max(self.clock() - pending.attempt.sent_at - delay, 0.0)
        try:
            self.on_attempt_ended(pending.attempt, outcome, elapsed, value, reported_load, pending.own_lag)
        except Exception:  # a defect fails this attempt only
            ident = pending.payload.ident
            logger.exception("failed to handle the outcome of an attempt of operation {}", ident)

    # -- connections

    def take_idle(self, endpoint: ServerPool, attempt: Attempt) -> Connection | None:
        """Take the most recently used connection that may be reused and that the server has not closed.

        Connections are not reused before REUSE_DELAY has passed: reused at once, one delivered bytes that
        followed one attempt's reply to the next attempt.
        """
        if not may_reuse(endpoint, attempt, self.clock()):
            if endpoint.idle:  # the connection opened instead could exceed the limit
                self._close(endpoint.idle.pop(0))
            return None
        now = self.clock()
        settled = sum(connection.idle_since <= now - REUSE_DELAY for connection in endpoint.idle)
        while settled:
            settled -= 1
            connection = endpoint.idle.pop(settled)
            if (
                connection.idle_since > now - self.max_idle_time
                and silent(connection.sock)
                and (self.connection_budget is None or self.connection_budget.may_use(connection))
            ):
                return connection
            self._close(connection)
        return None

    def set_limit(self, max_connections: int) -> None:
        """Change how many connections may be open. Idle ones above the limit are closed at once."""
        self.max_connections = max_connections
        while self.open_connections > max_connections and self._close_longest_idle():
            pass

    def _make_room(self) -> bool:
        """Whether one more connection may be opened; closes those idle for longest if necessary."""
        # Closes as many as needed, not just one: after the limit was lowered, closing one connection for each
        # one opened would leave the number above the limit.
        while self.open_connections >= self.max_connections:
            found = self._close_longest_idle()
            if found is self.exhausted:
                self.exhausted = not found
                state = "available again" if found else "exhausted"
                logger.warning("connections to servers {}: {} open", state, self.open_connections)
            if not found:
                return False
        return True

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; False if none is idle."""
        idle = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if not idle:
            return False
        connection = min(idle, key=lambda each: each.idle_since)
        connection.endpoint.idle.remove(connection)
        self._close(connection)
        return True

    def _open(self, endpoint: ServerPool, pending: PendingAttempt) -> None:
        """Open a connection for an attempt, which is written once the connection is established."""
        try:
            sock = tcp(endpoint.address)
        except OSError as error:
            logger.warning("cannot create a socket: {}", error)
            self._end_soon(pending, Outcome.NOT_SENT)
            return
        self.open_connections += 1
        pending.connection = Connection(sock, endpoint, pending.codec.new_state(), pending)
        if self.connection_budget is not None:
            self.connection_budget.opened(pending.connection)
        self.nursery.start_soon(self._run, pending.connection)

    async def _run(self, connection: Connection) -> None:
        """Task of a connection: connect, write the attempt that it was opened for, read until it ends."""
        try:
            await self._connect(connection)
            if connection.is_up and connection.pending is not None:  # a local would keep the attempt alive
                if self._is_loop_late():
                    connection.pending.own_lag += acknowledgement_age(connection.sock)
                self._start(connection, connection.pending)
                await self._read(connection)
        except Exception as error:
            self._on_connection_ended(connection, error)
        finally:
            self._on_connection_ended(connection, None)

    async def _connect(self, connection: Connection) -> None:
        """Wait until a connection is established or the connect timeout is over. Raises OSError."""
        with trio.CancelScope() as scope:
            due = self.clock() + self.connect_timeout
            timer = self.timers.call_at(due, self._on_connect_timeout, connection, scope)
            connection.connect_started = True
            if connection.pending is not None:  # the server used none of the time so far
                connection.pending.own_lag = self.clock() - connection.pending.attempt.sent_at
            try:
                await connect(connection.sock, connection.endpoint.address)
            finally:
                self.timers.cancel(timer)
        connection.is_up = not scope.cancelled_caught and not connection.closed

    def _on_connect_timeout(self, connection: Connection, scope: trio.CancelScope) -> None:
        if not is_connected(connection.sock):  # else it is established and its task has yet to run
            scope.cancel()

    async def _read(self, connection: Connection) -> None:
        while not connection.closed and await self._read_once(connection):
            await self.receive_buffers.wait(connection)

    async def _read_once(self, connection: Connection) -> bool:
        """Read once; returns False at the end of the stream.

        A method of its own, so that a task that waits keeps nothing of what it has read.
        """
        data = await receive(connection.sock, self.receive_buffers.read_limit(connection))
        self._on_data(connection, data)
        return bool(data)

    def _receive_now(self, connection: Connection) -> None:
        """Read what has arrived on a connection, without waiting for its task to run."""
        try:
            data = receive_now(connection.sock, self.receive_buffers.read_limit(connection))
            self._on_data(connection, data)
        except Exception as error:
            self._on_connection_ended(connection, error)

    def _on_data(self, connection: Connection, data: bytes) -> None:
        """Handle received bytes, or b"" at the end of the stream.

        Raises ConnectionLost, or DoubtfulReply if more of a reply was received than its stated length.
        """
        pending = connection.pending
        if pending is None:
            raise ConnectionLost("end of stream or unsolicited bytes on an idle connection")
        if data and not connection.request_sent:
            # The request has not been written completely, so this is not its reply but a late copy of the
            # previous one. Accepting it would report the request as done.
            raise ConnectionLost("reply received before the request was sent")
        reply = pending.codec.decode(connection, data)
        if reply is None:
            _send_fence(connection)
            self._reserve_memory(connection, pending)
            return
        if reply.may_continue and is_excess(unread(connection.sock, len(RESPONSE_START))):
            raise DoubtfulReply(DoubtCause.EXCESS, affects_all_connections=False)
        if self._is_loop_late():
            pending.own_lag += input_age(connection.sock)
        connection.pending = pending.connection = None
        reserved_bytes = self.receive_buffers.detach(connection)
        if reply.reusable and data:
            self._release(connection)
        else:
            self._close(connection)
        self._end(pending, reply.outcome, reply.value, reply.reported_load)
        self.buffer_budget.release(reserved_bytes)  # from now on the client's connection holds the reply

    def _is_loop_late(self) -> bool:
        """Whether the event loop is so late that the kernel is asked how long data waited to be read.

        Counted as server latency, that time made a healthy server look slow, and attempts after a stall
        waited longer.
        """
        return self.timers.lateness(self.clock()) >= MIN_LATENESS

    def _on_connection_ended(self, connection: Connection, failure: Exception | None) -> None:
        """End the attempt on a connection that ended; its outcome depends on how much was written.

        A server that sends an occasional malformed reply is up. When malformed replies counted as lost
        connections, two in a row ejected a healthy server and the others were overloaded. A second call does
        nothing.
        """
        if isinstance(failure, DoubtfulReply):
            attempt = connection.pending.attempt if connection.pending is not None else None
            on_doubtful_reply(connection.endpoint, attempt, failure.cause, self.clock())
            if failure.affects_all_connections:
                self._close_idle(connection.endpoint)
        elif failure is not None and not _is_expected(failure):
            logger.opt(exception=failure).error("connection to server {} failed", connection.endpoint.uid)
        malformed = isinstance(failure, MalformedReply)
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
        ended_by_server = not (connection.closed or malformed)
        self._close(connection)
        pending, connection.pending = connection.pending, None
        if pending is not None:
            pending.connection = None
            may_have_run = Outcome.MALFORMED_RESPONSE if malformed else Outcome.CONNECTION_LOST
            self._end(pending, may_have_run if connection.request_sent else Outcome.CONNECT_FAILED)
        if ended_by_server:
            for observer in self.connection_observers:
                observer.on_connection_lost(connection, pending)

    def _release(self, connection: Connection) -> None:
        """Make a connection idle, or close it if it must not be reused."""
        connection.pending = None
        now, endpoint = self.clock(), connection.endpoint
        if not may_keep(endpoint, now) or self.endpoints.get(endpoint.ident) is not endpoint:
            self._close(connection)
            return
        connection.idle_since = now
        connection.endpoint.idle.append(connection)
        if self.connection_budget is not None:
            self.connection_budget.became_idle(connection)

    def _close_idle(self, endpoint: ServerPool) -> None:
        while endpoint.idle:
            self._close(endpoint.idle.pop())

    def _close(self, connection: Connection) -> None:
        if not connection.closed:
            connection.closed = True
            connection.codec_state = None  # with what was received of a reply
            self.open_connections -= 1
            self.receive_buffers.release(connection)
            if self.connection_budget is not None:
                self.connection_budget.closed(connection)
            shut(connection.sock)

    def _sweep(self) -> None:
        """Close idle connections before their servers do; runs every SWEEP_INTERVAL seconds."""
        oldest = self.clock() - self.max_idle_time
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].idle_since <= oldest:
                self._close(endpoint.idle.pop(0))
        self.timers.call_at(self.clock() + SWEEP_INTERVAL, self._sweep)


def _is_expected(failure: Exception) -> bool:
    """Whether a connection may end with this error although the router has no defect."""
    return isinstance(failure, (OSError, ConnectionLost, MalformedReply, trio.ClosedResourceError))


def _has_unread_reply(connection: Connection) -> bool:
    """Whether bytes, or the end of the stream, are unread after a request that was written."""
    return connection.request_sent and not connection.closed and not silent(connection.sock)


def _waits_for_memory(connection: Connection) -> bool:
    """Whether a reply is not read any further until there is room for it in memory."""
    return connection.memory_reservation is not None


def _connect_not_observed(connection: Connection | None) -> bool:
    """Whether connecting has not started, or has succeeded, and the task has not run since."""
    if connection is None or connection.is_up:
        return False
    return not connection.connect_started or is_connected(connection.sock)


def _send_fence(connection: Connection) -> None:
    """Write the fence that the codec asked for. Raises OSError, or ConnectionLost if it does not fit."""
    fence, connection.unsent_fence = connection.unsent_fence, b""
    if fence and send_some(connection.sock, fence) < len(fence):
        raise ConnectionLost("fence command does not fit into the send buffer")
