"""Clients: connections in, commands to operations, answers out in the order of their commands."""

from __future__ import annotations

import re
import socket
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from time import thread_time
from typing import Any, Protocol

import trio
from loguru import logger

from ..routing.types import Effect, Operation
from ..settings import Settings
from .connection_pool import RequestPayload
from .dispatcher import BUSY_REPLY, Dispatcher
from .handle_table import HandleTable
from .lifecycle import Lifecycle, Phase
from .resp import ARRAY, BULK, Malformed, Message, Parser
from .sockets import hung_up, receive, send_all, send_some, shut, silent, unsent
from .timer_queue import Timer

MAX_PIPELINED_REQUESTS = 32  # commands of one connection in hand; then it is not read on
MAX_CLIENT_WAIT = 3600.0  # a longer `d` is taken for this
RESERVED_MEMORY_FRACTION = (
    0.1  # of the memory that commands and answers in hand may fill; buffers and connections take more
)
MAX_LOOP_DELAY = 0.15  # the loop's lag over which nothing more is taken in hand
MEMORY_PER_OPERATION = 64 * 1024  # for an operation in hand, with its tasks and its part of the buffers
REPLY_MARGIN = 0.005  # kept before the deadline beside the loop's lag, for the answer's own way
MAX_REPLY_MARGIN_FRACTION = (
    0.25  # of the wait at most: after a long stall the short ones must not all be given up
)
WRITE_TIMEOUT = 10.0  # a client that does not take an answer for this long is cut off
LINGER_INTERVAL = 0.5  # after an error, for the client to read it before the connection is reset
IDLE_GRACE = 0.05  # a connection in use stands idle once it had nothing to do for this long
NEW_CONNECTION_GRACE = 0.3  # a new connection has this long to send something before it counts as idle
REQUEST_READ_TIMEOUT = (
    2.0  # a command has this long to come whole; the first one of a connection, from its start
)
IDLE_TIMEOUT = (
    2.0  # a connection on which nothing is open for this long ends: some ask once and stay for good
)
SWEEP_INTERVAL = 0.25  # how often those that overstayed are looked for
MAX_DISCARDED_BYTES = 256 * 1024  # bytes read and thrown away behind an error; whoever sends more is cut off
MIN_IDLE_SEARCH_INTERVAL = 0.01  # between two looks for what may be closed that found nothing
EVICTION_ORDER_LIFETIME = (
    0.05  # for so long the order in which connections yield is good: made for each newcomer, a full
)
# door of 500 connections spent half of its time on it
FULL_RETRY_INTERVAL = 0.1  # how often a full door looks for idle connections to close
REQUEST_ID_RETENTION = (
    2.0  # after its answer an id is known for this long, to twice that: a second use may cross it
)
PRINTABLE_ASCII = re.compile(rb"[!-~]+")  # what may go on in an HTTP header

NO_TENANT_YET = -2  # in place of a tenant

PONG = b"+PONG\r\n"
OK = b"+OK\r\n"


class AdmissionControl(Protocol):
    """What may stand between a command and the dispatch: `gaugehinge.door`, where it is switched on."""

    def submit(
        self,
        operation: Operation,
        payload: RequestPayload,
        answer: Callable[[bytes], None],
        client: bytes,
        size: int,
    ) -> Any:
        """Take an operation of a client; returns what `client_gone` wants."""

    def client_gone(self, handle: Any, freed: Callable[[], None]) -> None:
        """Nobody waits for the answer any more; `freed` is called once nothing of it is out."""

    def may_accept(self) -> bool:
        """Whether one more connection may be accepted now."""

    def on_accepted(self, cpu: float) -> None:
        """Connections were accepted, in so many seconds of CPU."""

    def order_of_eviction(self, connections: Iterable[ClientConnection]) -> list[ClientConnection]:
        """Connections in the order in which they should yield their places."""

    def exceeds_connection_quota(
        self, tenant: int, connections: Iterable[ClientConnection], most: int
    ) -> bool:
        """Whether a connection over the limit is one too many for its tenant."""

    def overload_reply(self, operation: Operation) -> bytes:
        """What an operation is told that finds no place, or no memory for it."""

    def reject_queued(self) -> None:
        """The router ends: what waits is answered."""

    def new_reader(self, clients: ClientServer) -> ConnectionReader:
        """What reads the connections, in place of a task each."""


class ConnectionReader(Protocol):
    """What may read connections for a door."""

    async def run(self) -> None:
        """Read until cancelled."""

    def watch(self, client: ClientConnection) -> None:
        """Read this one from now on."""

    def unwatch(self, client: ClientConnection) -> None:
        """Read it no more, or not for now."""


class RequestError(Exception):
    """A command that cannot be taken, in words for the client. The connection goes on."""


@dataclass(slots=True, eq=False)
class PendingReply:
    """A command's place in the order of answers."""

    operation_handle: Any = None  # while its operation is in flight
    request_id: bytes = b""
    data: bytes | None = None  # None until it is known
    reserved_bytes: int = 0  # counted against the memory limit


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One connection."""

    sock: socket.socket
    accepted_at: float
    handle: int = -1
    parser: Parser = field(default_factory=Parser)
    pending_replies: deque[PendingReply] = field(default_factory=deque)  # answers owed, in order
    reply_written: trio.Event = field(default_factory=trio.Event)
    cancel_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    has_sent_request: bool = False
    write_blocked: bool = False  # the rest of a reply is being written by a task of its own
    data_arrived_at: float = 0.0  # when what is being taken had come, where its reader knows that
    paused: bool = False  # too much of it is in hand; it is not read on
    authenticating: bool = False  # nor is it while it is asked who comes there
    recheck_timer: Timer | None = None  # when it is looked at again, over the limit
    draining: bool = False  # no further command is read; it ends when all is answered
    closing_after_reply: bool = False  # and at once, with nothing more read
    discarded_bytes: int = 0  # bytes that came after that
    idle_since: float = 0.0
    message_started_at: float = 0.0  # when the first byte came of what the parser holds
    over_limit: bool = False  # over the limit: what it asks is answered BUSY, and then it is closed
    client_id: bytes = b""  # by which a door tells clients apart
    source: str = ""  # the address it came from
    tenant: int = NO_TENANT_YET  # of its last operation
    ready_since: float = 0.0  # when a reader first saw that something stands there unread; 0: nothing


class ClientServer:
    """All connections, within the limits."""

    def __init__(
        self,
        settings: Settings,
        lifecycle: Lifecycle,
        dispatcher: Dispatcher,
        most_clients: int,
        memory: int,
        nursery: trio.Nursery,
        admission_control: AdmissionControl | None = None,
    ) -> None:
        self.settings = settings
        self.admission_control = admission_control
        self.lifecycle = lifecycle
        self.dispatcher = dispatcher
        self.clock = dispatcher.clock
        self.set_limits(most_clients, memory)
        self.nursery = nursery
        self.reserved_bytes = 0
        self.idle_grace = IDLE_GRACE
        self.connections: HandleTable[ClientConnection] = HandleTable()  # until closed
        self.open_request_ids: set[bytes] = set()  # until answered or gone
        self.recent_request_ids: set[bytes] = (
            set()
        )  # closed lately; moved on, then dropped, each REQUEST_ID_RETENTION
        self.older_request_ids: set[bytes] = set()
        self.next_rotation = 0.0
        self.next_idle_search = 0.0  # for idle connections, once a look found none
        self.eviction_order: Iterator[ClientConnection] = iter(())  # as a door ordered them
        self.next_eviction_order = 0.0
        self.reader = admission_control.new_reader(self) if admission_control is not None else None
        if self.reader is not None:
            nursery.start_soon(self.reader.run)
        self.last_sweep = self.responsive_since = self.clock()
        self._sweep()
        self.commands: dict[bytes, Callable[[ClientConnection, Message], bytes | None]] = {
            b"PING": self._ping,
            b"CLIENT": lambda client, message: OK,
            b"SELECT": lambda client, message: OK,
            b"QUIT": self._quit,
        }

    def set_limits(self, most_clients: int, memory: int) -> None:
        """The limits, at the start and when they change."""
        self.max_connections = most_clients
        self.spare_connections = max(most_clients // 4, 8)  # places beyond it, to say BUSY from
        self.max_reserved_bytes = int(memory * RESERVED_MEMORY_FRACTION)
        self.max_in_flight = min(self.settings.max_in_flight, memory // MEMORY_PER_OPERATION)

    # -- connections

    async def accept(self, listening: socket.socket) -> None:
        """Take connections until cancelled. With no place left the others wait outside."""
        while True:
            await trio.lowlevel.wait_readable(listening)
            if not self.accept_pending(listening):
                await trio.sleep(FULL_RETRY_INTERVAL)

    def accept_pending(self, listening: socket.socket) -> bool:
        """Take what has come; False where a limit is in the way."""
        if self.admission_control is None:
            return self._accept_all(listening)
        began = thread_time()
        try:
            return self._accept_all(listening)
        finally:
            self.admission_control.on_accepted(thread_time() - began)

    def _accept_all(self, listening: socket.socket) -> bool:
        while len(self.connections) < self.max_connections + self.spare_connections or self._close_one_idle():
            if self.admission_control is not None and not self.admission_control.may_accept():
                return False  # the others wait outside: each newcomer costs what several operations do
            try:
                raw, sender = listening.accept()
            except BlockingIOError:
                return True
            except OSError as bad:  # out of descriptors, or gone before it was taken
                logger.warning("accept failed: {}", bad)
                return False
            try:
                self._register(raw, sender[0])
            except OSError as bad:
                logger.warning("a connection was gone at once: {}", bad)
                raw.close()
        return False

    def _register(self, raw: socket.socket, source: str) -> None:
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = self.clock()
        client = self.new_connection(raw, now, source)
        client.over_limit = len(self.connections) >= self.max_connections and not self._close_one_idle()
        client.handle = self.connections.add(client)
        client.client_id = b"%d" % client.handle
        if self.reader is None:
            self.nursery.start_soon(self._serve, client)
        else:
            self.reader.watch(client)

    def new_connection(self, raw: socket.socket, now: float, source: str) -> ClientConnection:
        """A connection that was just accepted."""
        return ClientConnection(raw, now, idle_since=now, source=source)

    def _close_one_idle(self) -> bool:
        """Close a connection that stands between commands; its client opens a new one at need."""
        now = self.clock()
        if now < self.next_idle_search:
            return False  # a look at all of them for each newcomer would be most of what a full door does
        if self.admission_control is None:
            standing = iter(self.connections)
        else:
            if now >= self.next_eviction_order:
                self.eviction_order, self.next_eviction_order = (
                    iter(self.admission_control.order_of_eviction(self.connections)),
                    now + EVICTION_ORDER_LIFETIME,
                )
            standing = self.eviction_order  # what was looked at for one newcomer is not for the next
        if any(self._close_if_idle(client) for client in standing):
            return True
        self.next_idle_search = (
            now + MIN_IDLE_SEARCH_INTERVAL if self.admission_control is None else self.next_eviction_order
        )
        return False

    def _sweep(self) -> None:
        """End what overstays, also while there is room: silent and idle ones, commands that never come whole.

        Each holds a descriptor for as long as its client likes, and none of them has been taken.
        """
        now = self.clock()
        # While the loop stood still nobody was idle: what came then is not read yet, or was held up with it.
        # By the clock alone, one that had stood for 2 s ended all connections, with commands on their way.
        if now > self.last_sweep + 2 * SWEEP_INTERVAL:
            self.responsive_since = now
        self.last_sweep = now
        leaving = self.lifecycle.phase is Phase.LEAVING  # then clients get no new one for one that ends
        for client in self.connections:
            if client.paused and hung_up(client.sock):
                self._close_soon(client)
            if client.pending_replies or client.draining:
                continue
            if len(client.parser):
                if (
                    max(
                        client.message_started_at if client.has_sent_request else client.accepted_at,
                        self.responsive_since,
                    )
                    < now - REQUEST_READ_TIMEOUT
                ):
                    client.draining = True
                    self.reply(client, b"-ERR protocol: command not whole in time\r\n")
            elif leaving and client.has_sent_request:
                continue
            elif max(client.idle_since, self.responsive_since) < now - IDLE_TIMEOUT:
                self._close_if_idle(client)
        # A limit that was lowered in service binds those that are here already, as they come to rest.
        while (
            not leaving
            and len(self.connections) > self.max_connections + self.spare_connections
            and self._close_one_idle()
        ):
            pass
        self.dispatcher.timers.call_at(now + SWEEP_INTERVAL, self._sweep)

    def _close_if_idle(self, client: ClientConnection) -> bool:
        """Close an idle connection, if it is one.

        A client that has just been answered may write its next command at this moment: so not at once.
        And nothing may stand between the look and the end: a command that came there would be lost.
        """
        if client.pending_replies or client.draining or client.ready_since or len(client.parser):
            return False
        if self.clock() - client.idle_since < (
            self.idle_grace if client.has_sent_request else NEW_CONNECTION_GRACE
        ):
            return False
        if not silent(client.sock) or unsent(client.sock):
            return False  # or the rest of a long answer would go with its next command, behind the end
        self._end(client)
        return True

    def _end(self, client: ClientConnection) -> None:
        _half_close(client)
        client.draining = True
        client.cancel_scope.cancel()
        self.close(client)

    def _close_soon(self, client: ClientConnection) -> None:
        """End a connection, though not from within what found that it has to end."""
        if self.reader is None:
            client.cancel_scope.cancel()  # its task forgets it
        else:
            self.dispatcher.timers.call_at(self.clock(), self.close, client)

    async def _serve(self, client: ClientConnection) -> None:
        try:
            with client.cancel_scope:
                await self._read(client)
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:  # a defect fails this connection alone
            logger.exception("a client's connection failed")
        finally:
            self.close(client)

    def close(self, client: ClientConnection) -> None:
        """A connection has ended, and all that it asked for with it."""
        if self.connections.remove(client.handle) is None:
            return
        if self.reader is not None:
            self.reader.unwatch(client)
        for pending_reply in client.pending_replies:
            self.reserved_bytes -= pending_reply.reserved_bytes
            if pending_reply.operation_handle is not None:
                self.abandon_reply(pending_reply)
        client.pending_replies.clear()
        shut(client.sock)

    def abandon_reply(self, pending_reply: PendingReply) -> None:
        """Its client has gone before the answer. Its id stays in use for as long as an attempt is out: sent
        again, an operation that may not be repeated ran a second time beside that."""
        (self.admission_control or self.dispatcher).client_gone(
            pending_reply.operation_handle, partial(self._close_request_id, pending_reply.request_id)
        )

    # -- commands in

    async def _read(self, client: ClientConnection) -> None:
        """Until the client goes. What comes after the last command is read and thrown away: closed with
        bytes unread, the connection is reset and the last answer may be lost with it. But to read all of a
        value of many megabytes takes the time of hundreds of operations."""
        while data := await receive(client.sock):
            self.data_received(client, data)
            if client.discarded_bytes > MAX_DISCARDED_BYTES:
                await trio.sleep_forever()  # until what is owed is written and has lingered
            while client.paused:
                client.reply_written = trio.Event()
                await client.reply_written.wait()
                self.resume_reading(client)

    def data_received(self, client: ClientConnection, data: bytes, since: float = 0.0) -> None:
        """Bytes that came on a connection, and stood there since a time, where that is known."""
        if client.draining:
            client.discarded_bytes += len(data)
            return
        if not len(client.parser):
            client.message_started_at = since or self.clock()
        client.parser.feed(data)
        client.data_arrived_at = since
        self.resume_reading(client)
        client.data_arrived_at = 0.0

    def resume_reading(self, client: ClientConnection) -> None:
        """Take the commands that stand whole, until too many are in hand.

        Some send hundreds at once and go: their end stands behind bytes that are not read yet, and the rest
        was sent on for nobody, as fast as what went before it ended.
        """
        if client.paused and hung_up(client.sock):
            self._close_soon(client)
            return
        client.paused = False
        try:
            while not client.draining:
                if client.authenticating or len(client.pending_replies) >= MAX_PIPELINED_REQUESTS:
                    client.paused = True
                    return
                message = client.parser.next()
                if message is None:
                    return
                client.has_sent_request = True
                self._handle_command(client, message)
        except Malformed as bad:
            client.draining = True
            self.reply(client, b"-ERR protocol: %b\r\n" % str(bad).encode())

    def _handle_command(self, client: ClientConnection, message: Message) -> None:
        parts = message.top.body
        if message.top.kind != ARRAY or not parts or any(p.kind != BULK or p.body is None for p in parts):
            raise Malformed("a command is an array of bulk strings")
        word = parts[0].body
        if word in (b"KV.GET", b"KV.SET"):  # in this form alone, since they go on as they came
            self._handle_operation(client, message, word == b"KV.SET")
            return
        simple = self.commands.get(word.upper())
        reply = simple(client, message) if simple else b"-ERR unknown command\r\n"
        if reply is not None:  # else it follows
            self.reply(client, reply)

    def _ping(self, client: ClientConnection, message: Message) -> bytes:
        phase = self.lifecycle.phase
        return PONG if phase is Phase.READY else b"-ERR %b\r\n" % phase.name.lower().encode()

    def _quit(self, client: ClientConnection, message: Message) -> bytes:
        client.draining = True
        return OK

    def _handle_operation(self, client: ClientConnection, message: Message, write: bool) -> None:
        try:
            operation, payload = self.parse_request(
                client, message, write, client.data_arrived_at or self.clock()
            )
        except RequestError as bad:
            self.reply(client, b"-ERR %b\r\n" % str(bad).encode())
            return
        client.tenant = operation.tenant
        held = len(message.raw) * (2 if write else 1)  # its value stands alone, too, for the origin
        client.over_limit = client.over_limit and len(self.connections) > self.max_connections
        if client.over_limit and self.admission_control is not None:
            client.over_limit = self.admission_control.exceeds_connection_quota(
                client.tenant, self.connections, self.max_connections
            )
        full = (
            self.reserved_bytes + held > self.max_reserved_bytes
            or len(self.dispatcher.pending_operations) >= self.max_in_flight
        )
        if client.over_limit or full or self.is_overloaded():
            self.reply(
                client,
                BUSY_REPLY
                if self.admission_control is None
                else self.admission_control.overload_reply(operation),
            )  # it never ran
            return
        pending_reply = PendingReply(reserved_bytes=held, request_id=payload.ident)
        self.open_request_ids.add(payload.ident)
        self.reserved_bytes += held
        client.pending_replies.append(pending_reply)

        def answer(reply: bytes) -> None:
            self._close_request_id(payload.ident)
            pending_reply.operation_handle = None
            pending_reply.data = reply
            self.reserved_bytes += len(reply) - pending_reply.reserved_bytes
            pending_reply.reserved_bytes = len(reply)
            self.flush(client)

        if self.admission_control is None:
            handle = self.dispatcher.submit(operation, payload, answer)
        else:
            handle = self.admission_control.submit(operation, payload, answer, client.client_id, held)
        if pending_reply.data is None:
            pending_reply.operation_handle = handle

    def is_overloaded(self) -> bool:
        """Whether the loop is. Short of CPU, more in hand makes all of it late: what comes then is answered
        while that is cheap."""
        return self.admission_control is None and self.dispatcher.timers.behind > MAX_LOOP_DELAY

    def _close_request_id(self, ident: bytes) -> None:
        self.open_request_ids.discard(ident)
        now = self.clock()
        if now >= self.next_rotation:
            self.next_rotation = now + REQUEST_ID_RETENTION
            self.older_request_ids, self.recent_request_ids = self.recent_request_ids, set()
        self.recent_request_ids.add(ident)

    def parse_request(
        self,
        client: ClientConnection,
        message: Message,
        write: bool,
        now: float,
    ) -> tuple[Operation, RequestPayload]:
        parts = message.top.body
        if len(parts) != 4 + write:
            raise RequestError("wrong number of arguments")
        key, ident, told = parts[1].body, parts[2].body, parts[3].body
        if not PRINTABLE_ASCII.fullmatch(ident) or not PRINTABLE_ASCII.fullmatch(told):
            raise RequestError("id and labels must be plain text")
        labels, gap = parse_labels(told)
        tenant = self.tenant_index(labels.get("t", ""))
        row = self.settings.traffic_type_rows.get(labels.get("c", ""))
        if row is None:
            raise RequestError("label c: no such class")
        wait = labels.get("d", "")
        if not wait.isdigit() or len(wait) > 12:
            raise RequestError("label d: not a number of milliseconds")
        traffic = self.settings.deployment.traffic_types[row]
        if traffic.effect is Effect.WITH_IDEMPOTENCY_KEY and write and not labels.get("k"):
            # With no mark its repeats could not be recognised, and it may be repeated here.
            raise RequestError("label k: missing")
        if (
            ident in self.open_request_ids
            or ident in self.recent_request_ids
            or ident in self.older_request_ids
        ):
            # Two operations of one id: what a server answers the one, or has done for it, is taken for both.
            raise RequestError("id in use")
        left = min(int(wait) / 1000.0, MAX_CLIENT_WAIT)
        room = min(REPLY_MARGIN + self.dispatcher.timers.lag, MAX_REPLY_MARGIN_FRACTION * left)
        operation = Operation(
            0,
            traffic,
            key,
            tenant,
            write,
            labels.get("r") == "1",
            now,
            now + left - room,
        )
        payload = RequestPayload(
            ident,
            key,
            gap,
            told,
            message.raw[: parts[3].start],
            message.raw[parts[3].end :],
            parts[4].body if write else None,
            wanted=partial(self.is_client_present, client),
        )
        return operation, payload

    def tenant_index(self, name: str) -> int:
        """A tenant's place; -1 with no label, or where the settings name none. Raises Refused on the name of
        another: it would be served beside all shares."""
        tenants = self.settings.tenant_indexes
        if name and tenants and name not in tenants:
            raise RequestError("label t: no such tenant")
        return tenants.get(name, -1)

    def is_client_present(self, client: ClientConnection) -> bool:
        """Whether a client is still there, asked before each attempt for it begins.

        Its end may stand unread: behind commands that are not taken yet, or since the loop is late. Found by
        the sweep alone, up to a quarter of a second later, what waited was still sent on for nobody.
        """
        if client.sock.fileno() < 0:
            return False
        if not hung_up(client.sock):
            return True
        self._close_soon(client)
        return False

    def defer_reply(self, client: ClientConnection) -> Callable[[bytes], None]:
        """A place in the order of answers, filled by a call; until then the connection is not read on."""
        pending_reply = PendingReply()
        client.pending_replies.append(pending_reply)
        client.authenticating = client.paused = True

        def answer(reply: bytes) -> None:
            client.authenticating = False
            pending_reply.data = reply
            if self.connections.get(client.handle) is client:
                self.flush(client)

        return answer

    # -- answers out

    def reply(self, client: ClientConnection, answer: bytes) -> None:
        """Answer a command at once, behind those before it."""
        client.pending_replies.append(PendingReply(data=answer))
        self.flush(client)

    def flush(self, client: ClientConnection) -> None:
        """Write what is due, in the order of the commands; then the end where one is wanted."""
        while (
            client.pending_replies and client.pending_replies[0].data is not None and not client.write_blocked
        ):
            try:
                sent = self._write(client, client.pending_replies[0].data)
            except OSError:
                self._close_soon(client)  # the client has gone
                return
            if sent < len(client.pending_replies[0].data):
                client.write_blocked = True
                self.nursery.start_soon(self._write_rest, client, client.pending_replies[0].data[sent:])
                return
            self._reply_sent(client)
        if client.pending_replies:
            return
        if client.closing_after_reply and self.reader is None:
            self._end(client)
        elif client.draining:
            _half_close(client)
            self._linger(client, self.clock() + WRITE_TIMEOUT)
        else:
            self._schedule_recheck(client)

    def _linger(self, client: ClientConnection, latest: float) -> None:
        """Look again whether the last answer has been taken, and end the connection then."""
        self.dispatcher.timers.call_at(self.clock() + LINGER_INTERVAL, self._end_linger, client, latest)

    def _end_linger(self, client: ClientConnection, latest: float) -> None:
        if self.connections.get(client.handle) is not client:
            return
        if unsent(client.sock) and self.clock() < latest:
            self._linger(client, latest)
        else:
            self._close_soon(client)

    def _write(self, client: ClientConnection, answer: bytes) -> int:
        """Write an answer at once, as far as it goes.

        While closing, one that is the last thing in its connection ends that in the same step: a busy client
        is never found idle, and all that it sends after that would be lost with the process. What crosses
        that end must not be read, not even to throw it away: a client may send again what nobody read.
        """
        parting = (
            self.lifecycle.phase is Phase.CLOSING and len(client.pending_replies) == 1 and not client.draining
        )
        parting = parting and not len(client.parser) and silent(client.sock)
        sent = send_some(client.sock, answer)
        client.closing_after_reply = parting and sent == len(answer) and not unsent(client.sock)
        client.draining = client.draining or client.closing_after_reply
        return sent

    def _reply_sent(self, client: ClientConnection) -> None:
        self.reserved_bytes -= client.pending_replies.popleft().reserved_bytes
        client.idle_since = self.clock()
        if client.paused and not client.authenticating:
            client.reply_written.set()
            if self.reader is not None:
                self.reader.watch(client)

    async def _write_rest(self, client: ClientConnection, rest: bytes) -> None:
        """Write the rest of an answer that did not go at once.

        The client may have gone before this begins, and its tickets with it. What failed here would end the
        router with all that it has in hand.
        """
        try:
            with self.dispatcher.timers.timeout_scope(WRITE_TIMEOUT) as limit:
                await send_all(client.sock, rest)
        except Exception as bad:
            if not isinstance(bad, (OSError, trio.ClosedResourceError)):
                logger.exception("an answer could not be written")
            self._close_soon(client)
            return
        if limit.cancelled_caught:
            self._close_soon(client)
            return
        client.write_blocked = False
        if client.pending_replies:
            self._reply_sent(client)
            self.flush(client)

    def _recheck_over_limit(self, client: ClientConnection) -> None:
        """Close a connection over the limit once it has nothing to do."""
        client.recheck_timer = None
        if self.connections.get(client.handle) is client and not self._close_if_idle(client):
            self._schedule_recheck(client)

    def _schedule_recheck(self, client: ClientConnection) -> None:
        if (
            client.over_limit
            and not client.draining
            and not client.pending_replies
            and client.recheck_timer is None
        ):
            due = self.clock() + max(self.idle_grace, MIN_IDLE_SEARCH_INTERVAL)
            client.recheck_timer = self.dispatcher.timers.call_at(due, self._recheck_over_limit, client)

    # -- leaving

    def close_idle(self, idle_grace: float) -> None:
        """Close what stood between commands for so long; called again until all are gone."""
        self.idle_grace = idle_grace
        for client in self.connections:
            self._close_if_idle(client)

    def has_pending_replies(self) -> bool:
        """Whether an answer is still to be given or written."""
        return any(client.pending_replies or client.paused for client in self.connections)


def _half_close(client: ClientConnection) -> None:
    """Tell the client that no answer follows."""
    with suppress(OSError):
        client.sock.shutdown(socket.SHUT_WR)


def parse_labels(told: bytes) -> tuple[dict[str, str], tuple[bytes, bytes]]:
    """The list of names and values, and what stands before and behind the figure of `d`."""
    labels: dict[str, str] = {}
    gap = None
    place = 0
    for part in told.split(b","):
        name, mark, value = part.partition(b"=")
        if not mark or not name or name.decode() in labels:
            raise RequestError("labels are names and values")
        labels[name.decode()] = value.decode()
        end = place + len(part)
        if name == b"d":
            gap = told[: end - len(value)], told[end:]
        place = end + 1
    if gap is None:
        raise RequestError("label d: missing")
    return labels, gap
