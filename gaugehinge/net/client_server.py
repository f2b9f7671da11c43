"""Serves the clients of one front: wires its components together and submits requests as operations."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from typing import Any

import trio

from ..settings import Settings
from .admission_control import AdmissionControl
from .client_connection import ClientConnection, PendingReply
from .client_limits import OPERATION_BYTES, ClientLimits
from .connection_acceptor import ConnectionAcceptor
from .connection_registry import ConnectionRegistry
from .dispatcher import BUSY_REPLY, Dispatcher
from .idle_reaper import IdleReaper
from .lifecycle import Lifecycle, Phase
from .reason_log import CloseReason, RejectReason
from .recent_request_ids import RecentRequestIds
from .reply_writer import ReplyWriter
from .request_errors import MalformedCommandError, RequestError
from .request_parser import ParsedRequest, RequestParser
from .request_reader import RequestReader
from .resp import ARRAY, BULK, Message
from .sockets import hung_up

MAX_REPLY_LATENESS = 0.4  # seconds after its client's wait for which a reply may still count as given
MAX_LOOP_DELAY = 0.15  # seconds; with a larger event loop lag, all operations are rejected

GET, SET = b"KV.GET", b"KV.SET"
PONG = b"+PONG\r\n"
OK = b"+OK\r\n"
UNKNOWN_COMMAND = b"-ERR unknown command\r\n"

# Returns the reply, or None if it follows later.
CommandHandler = Callable[[ClientConnection, Message], bytes | None]


class ClientServer:
    """Serves all client connections of one front, within its limits.

    Each component has one responsibility: `registry` owns the connections, `acceptor` accepts new ones,
    `idle_reaper` closes idle ones, `request_reader` reads complete requests, `request_parser` turns them into
    operations, and `reply_writer` writes the replies in the order of their requests.
    """

    def __init__(
        self,
        settings: Settings,
        lifecycle: Lifecycle,
        dispatcher: Dispatcher,
        max_connections: int,
        memory: int,
        nursery: trio.Nursery,
        admission_control: AdmissionControl | None = None,
    ) -> None:
        """Create the components. `memory`: bytes that this front may use; `nursery` runs its tasks."""
        self.settings = settings
        self.admission_control = admission_control
        self.lifecycle = lifecycle
        self.dispatcher = dispatcher
        self.timers = dispatcher.timers
        self.clock = dispatcher.clock
        self.nursery = nursery
        self.limits = ClientLimits(
            settings.max_in_flight, max_connections, memory, dispatcher.pool.buffer_budget
        )
        self.request_ids = RecentRequestIds(self.clock)
        self.request_parser = self.new_request_parser()
        self.registry = ConnectionRegistry(self.timers, self.limits, self.abandon_reply)
        self.connections = self.registry.connections
        self.reply_writer = ReplyWriter(self.registry, self.limits, lifecycle, nursery)
        self.request_reader = RequestReader(
            self.registry, self.reply_writer, nursery, self._handle_command, self.reason_to_reject_waiting
        )
        self.idle_reaper = IdleReaper(
            self.registry,
            self.limits,
            lifecycle,
            self.reply_writer,
            self.request_reader.reject_waiting,
            admission_control,
        )
        self.acceptor = ConnectionAcceptor(
            self.registry,
            self.limits,
            self.idle_reaper,
            admission_control,
            self.new_connection,
            self.request_reader.start,
        )
        if admission_control is not None:
            self.registry.reader = admission_control.new_reader(self)
            nursery.start_soon(self.registry.reader.run)
        self.idle_reaper.sweep()
        self.commands: dict[bytes, CommandHandler] = {
            b"PING": self._ping,
            b"CLIENT": lambda client, message: OK,
            b"SELECT": lambda client, message: OK,
            b"QUIT": self._quit,
        }

    def new_connection(self, sock: socket.socket, now: float, source: str) -> ClientConnection:
        """Create the state of a connection that was just accepted."""
        return ClientConnection(sock, now, idle_since=now, source=source)

    def new_request_parser(self) -> RequestParser:
        """Create the parser that turns the requests of this front into operations."""
        return RequestParser(self.settings, self.timers, self.request_ids, self.settings.tenant_indexes)

    # -- called by the service

    def set_limits(self, max_connections: int, memory: int) -> None:
        """Change the limits at run time; `memory` in bytes."""
        self.limits.update(max_connections, memory)
        self.request_ids.set_memory(memory)

    async def accept(self, listening: socket.socket) -> None:
        """Accept connections until cancelled. At the connection limit, further ones wait in the backlog."""
        await self.acceptor.accept(listening)

    def accept_pending(self, listening: socket.socket) -> bool:
        """Accept the connections in the backlog; returns False if a limit left some of them there."""
        return self.acceptor.accept_pending(listening)

    def close_idle(self, idle_grace: float) -> None:
        """Close connections idle for `idle_grace` seconds. The caller repeats this until all are closed."""
        self.registry.idle_grace = idle_grace
        for client in self.connections:
            self.registry.close_if_idle(client)

    def has_pending_replies(self) -> bool:
        """Whether any reply is still outstanding or unwritten, or any request that was read is unhandled."""
        return any(client.pending_replies or client.paused for client in self.connections)

    def resume_paused(self) -> bool:
        """Handle requests that were read and wait behind those in flight; returns whether there were any.

        Used at shutdown: the tasks that normally do this may not run before their connections are closed.
        """
        resumed = [self.request_reader.resume_if_paused(client) for client in self.connections]
        return any(resumed)

    def close(self, client: ClientConnection) -> None:
        """Close a connection and abandon its pending requests."""
        self.registry.close(client)

    def enlarge_buffers(self) -> None:
        """Enlarge the send buffers so that the kernel takes all unwritten replies before the router exits."""
        for client in self.connections:
            self.reply_writer.enlarge_buffer(client)

    def close_before_exit(self) -> None:
        """Write as much of the pending replies as the kernel takes at once, then close all connections."""
        for client in self.connections:
            self.reply_writer.write_before_exit(client)
            self.registry.close(client)

    # -- requests

    def reply(self, client: ClientConnection, data: bytes) -> None:
        """Answer a request immediately; the reply is written after those of earlier requests."""
        self.reply_writer.reply(client, data)

    def _handle_command(self, client: ClientConnection, message: Message) -> None:
        parts: Any = message.top.body
        if message.top.kind != ARRAY or not parts or any(p.kind != BULK or p.body is None for p in parts):
            raise MalformedCommandError
        name = parts[0].body
        if name in (GET, SET):  # matched case-sensitively, since the bytes are forwarded unchanged
            self._handle_operation(client, message, name == SET)
            return
        handler = self.commands.get(name.upper())
        reply = handler(client, message) if handler else UNKNOWN_COMMAND
        if reply is not None:
            self.reply(client, reply)

    def _ping(self, client: ClientConnection, message: Message) -> bytes:
        phase = self.lifecycle.phase
        return PONG if phase is Phase.READY else b"-ERR %b\r\n" % phase.name.lower().encode()

    def _quit(self, client: ClientConnection, message: Message) -> bytes:
        client.draining = True
        return OK

    def _handle_operation(self, client: ClientConnection, message: Message, is_write: bool) -> None:
        try:
            request = self.parse_request(client, message, is_write, client.data_arrived_at or self.clock())
        except RequestError as error:
            self.reply(client, b"-ERR %b\r\n" % str(error).encode())
            return
        if client.is_held_back and request.client_waits_until <= self.clock():
            self._end_held_back(client, request)
            return
        operation, payload = request.operation, request.payload
        client.tenant = operation.tenant
        # A write is there a second time while it is written to a server.
        size = payload.held_bytes * (2 if is_write else 1) + OPERATION_BYTES
        if (reason := self._reject_reason(client, size)) is not None:
            self.registry.rejections.record(reason, payload.ident)
            # Not executed, so it is answered as rejected and a retry is harmless.
            admission_control = self.admission_control
            self.reply(
                client,
                BUSY_REPLY if admission_control is None else admission_control.overload_reply(operation),
            )
            return
        self._submit(client, request, size)

    def parse_request(
        self, client: ClientConnection, message: Message, is_write: bool, arrived_at: float
    ) -> ParsedRequest:
        """Turn a client's request into an operation. Raises RequestError."""
        is_waiting = partial(self.is_client_present, client)
        return self.request_parser.parse(message, is_write, arrived_at, is_waiting)

    def _end_held_back(self, client: ClientConnection, request: ParsedRequest) -> None:
        """Reject a request whose client has waited in vain for a place, or close its connection.

        While idle clients take all places, such a connection may be closed; not while others do.
        """
        late = self.clock() - request.client_waits_until
        if late < MAX_REPLY_LATENESS and self.registry.made_room_at >= client.data_arrived_at:
            self.registry.rejections.record(RejectReason.HELD_BACK, request.payload.ident)
            self.reply(client, BUSY_REPLY)
        else:
            self._close_unanswered(client)

    def _close_unanswered(self, client: ClientConnection) -> None:
        """Close a connection after its pending replies; the request being handled gets no reply."""
        client.draining = True
        self.registry.closes.record(CloseReason.HELD_BACK)
        if not client.pending_replies:
            self.registry.close_soon(client)

    def _reject_reason(self, client: ClientConnection, size: int) -> RejectReason | None:
        """Return why an operation of `size` bytes has to be rejected for lack of capacity, or None."""
        limits = self.limits
        if self.registry.is_over_limit(client) and self.admission_control is not None:
            client.over_limit = self.admission_control.exceeds_connection_quota(
                client.tenant, self.connections, limits.max_connections
            )
        if client.over_limit:
            return RejectReason.CONNECTIONS
        if not limits.has_room_for_request(size):
            return RejectReason.MEMORY
        if self.request_ids.is_full():
            return RejectReason.REQUEST_IDS
        if len(self.dispatcher.pending_operations) >= limits.max_in_flight:
            return RejectReason.IN_FLIGHT
        return RejectReason.OVERLOAD if self.is_overloaded() else None

    def is_overloaded(self) -> bool:
        """Whether the event loop lags for lack of CPU and no admission control sheds load.

        More operations in flight would then delay all of them, so new ones are rejected while that is cheap.
        """
        return self.admission_control is None and self.timers.current_lag > MAX_LOOP_DELAY

    def reason_to_reject_waiting(self, client: ClientConnection, delay: float) -> RejectReason | None:
        """Return why all requests of a connection that waited `delay` seconds are rejected, or None.

        Admission control, where there is one, decides on each request instead.
        """
        if self.admission_control is not None:
            return None
        if self.registry.is_over_limit(client):
            return RejectReason.CONNECTIONS
        if self.request_ids.is_nearly_full():
            return RejectReason.REQUEST_IDS
        return RejectReason.OVERLOAD if delay > MAX_LOOP_DELAY else None

    def _submit(self, client: ClientConnection, request: ParsedRequest, size: int) -> None:
        operation, payload, limits = request.operation, request.payload, self.limits
        pending_reply = limits.reserve_request(size)
        pending_reply.request_id = self.request_ids.add(payload.ident)
        pending_reply.request = request
        client.pending_replies.append(pending_reply)

        def answer(data: bytes) -> None:
            self._close_request_id(pending_reply, _may_have_been_sent(pending_reply))
            pending_reply.operation_handle = pending_reply.request = None
            limits.set_reply(pending_reply, data)
            self.reply_writer.flush(client)

        if self.admission_control is None:
            handle = self.dispatcher.submit(operation, payload, answer)
        else:
            handle = self.admission_control.submit(operation, payload, answer, client.client_id, size)
        if pending_reply.data is None:
            pending_reply.operation_handle = handle

    def abandon_reply(self, pending_reply: PendingReply) -> None:
        """Abandon an operation whose client disconnected before the reply.

        Its ID stays in use while an attempt is in flight: when a client resent a non-repeatable operation in
        that time, it was executed a second time alongside the attempt. Its memory is counted as long.
        """
        was_sent = _may_have_been_sent(pending_reply)

        def release() -> None:
            self._close_request_id(pending_reply, was_sent)
            self.limits.release(pending_reply)

        (self.admission_control or self.dispatcher).client_gone(pending_reply.operation_handle, release)

    def _close_request_id(self, pending_reply: PendingReply, was_sent: bool) -> None:
        request, request_id = pending_reply.request, pending_reply.request_id
        if not was_sent:
            self.request_ids.forget(request_id)
        elif request.operation.is_write:
            self.request_ids.close_write(request_id, request.client_waits_until)
        else:
            self.request_ids.close(request_id)

    def is_client_present(self, client: ClientConnection) -> bool:
        """Whether a client is still connected; checked before each attempt for it starts.

        The end of its stream may be unread: behind requests that are not handled yet, or because the event
        loop lags. When only the sweep detected it, up to a quarter of a second later, waiting requests were
        still forwarded for a client that had disconnected.
        """
        if not hung_up(client.sock):
            return True
        self.registry.closes.record(CloseReason.CLIENT_LEFT)
        self.registry.close_soon(client)
        return False


def _may_have_been_sent(pending_reply: PendingReply) -> bool:
    """Whether a server may know of the request of an operation in flight."""
    operation = pending_reply.request.operation
    return bool(operation.attempts) or operation.may_have_run_on is not None
