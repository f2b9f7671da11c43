"""Reads complete requests from client connections, with a limit on the requests in flight on each."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import trio
from loguru import logger

from .client_connection import ClientConnection
from .connection_registry import ConnectionRegistry
from .dispatcher import BUSY_REPLY
from .reason_log import CloseReason, RejectReason
from .reply_writer import ReplyWriter
from .request_turns import RequestTurns
from .resp import Malformed
from .sockets import hung_up, receive

MAX_PIPELINED_REQUESTS = 32  # in flight on one connection; with this many, further ones wait
MAX_REQUESTS_PER_TURN = 16  # of one connection, handled in one step of the event loop
MAX_REJECTIONS_PER_TURN = 512  # requests that are only measured and rejected take far less time
MIN_JOINED_BYTES = 512  # of requests, from which their immediate replies are written together
MAX_READ_BYTES = 64 * 1024  # in one step of the event loop
MAX_UNCOUNTED_BYTES = 2 * 1024  # of a request; an incomplete one up to this size is never rejected
MAX_DISCARDED_BYTES = 256 * 1024  # discarded after an error or the last request; with more, reading stops
MAX_REJECTION_BYTES = 64 * 1024  # of replies not yet written; with more, the rest gets one error for all
TOO_MANY_REQUESTS_REPLY = b"-ERR protocol: too many requests at once\r\n"


class RequestReader:
    """Reads the connections of one front, with a task for each or by a shared reader that passes on bytes.

    Bytes are read even while requests wait for those in flight: the end of a stream lies behind them, and no
    attempt may begin for a client that has disconnected.
    """

    def __init__(
        self,
        registry: ConnectionRegistry,
        reply_writer: ReplyWriter,
        nursery: trio.Nursery,
        handle_command: Callable[[ClientConnection, Any], None],
        reason_to_reject: Callable[[ClientConnection, float], RejectReason | None],
    ) -> None:
        """Create the reader.

        `handle_command` gets each complete message and may raise Malformed. `reason_to_reject`
        says why all requests of a connection that have waited for so many seconds have to be rejected, if
        they have. `nursery` runs the tasks.
        """
        self.registry = registry
        self.reply_writer = reply_writer
        self.clock = registry.clock
        self.turns = RequestTurns(self.clock, self._take_turn, registry.close)
        self._nursery = nursery
        self._handle_command = handle_command
        self._reason_to_reject = reason_to_reject
        registry.on_reply_written = self.turns.add
        nursery.start_soon(self.turns.run)

    def start(self, client: ClientConnection) -> None:
        """Start to read a connection, until it is closed."""
        if self.registry.reader is None:
            self._nursery.start_soon(self._serve, client)
        else:
            self.registry.reader.watch(client)

    async def _serve(self, client: ClientConnection) -> None:
        try:
            with client.cancel_scope:
                await self._read(client)
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:  # a defect ends only this connection
            logger.exception("client connection failed")
        finally:
            self.registry.close(client)

    async def _read(self, client: ClientConnection) -> None:
        """Read until the client disconnects.

        Bytes after the last request are read and discarded: a connection that is closed with unread bytes is
        reset, and the last reply may be lost. Their number is limited, since reading all of a value of many
        megabytes takes as long as hundreds of operations.
        """
        while await self._read_once(client):
            while not self.may_read(client):
                client.may_read_again = trio.Event()
                await client.may_read_again.wait()

    async def _read_once(self, client: ClientConnection) -> bool:
        """Read once; returns False at the end of the stream.

        A method of its own, so that a task that waits keeps nothing of what it has read.
        """
        data = await receive(client.sock, partial(self.max_read_bytes, client))  # asked once there is data
        if data:
            self.data_received(client, data)
        return bool(data)

    def max_read_bytes(self, client: ClientConnection) -> int:
        """Return how many bytes may be read at once. What is discarded takes no memory."""
        is_short = self.registry.limits.buffer_budget.is_nearly_exceeded and not client.draining
        return MAX_UNCOUNTED_BYTES if is_short else MAX_READ_BYTES

    def may_read(self, client: ClientConnection) -> bool:
        """Whether more may be read from a connection now."""
        if client.draining:
            return client.discarded_bytes <= MAX_DISCARDED_BYTES or bool(client.pending_replies)
        return not client.paused or len(client.parser) <= self._max_read_ahead(client)

    def _max_read_ahead(self, client: ClientConnection) -> int:
        """Return how many bytes may be read while earlier requests are in flight."""
        budget = self.registry.limits.buffer_budget
        return MAX_UNCOUNTED_BYTES if budget.is_nearly_exceeded else budget.max_read_ahead

    def data_received(self, client: ClientConnection, data: bytes, arrived_at: float = 0.0) -> None:
        """Handle received bytes. `arrived_at`: when they arrived, in seconds; 0 if unknown."""
        arrived_at = client.unread_since or arrived_at
        if client.draining:
            client.discarded_bytes += len(data)
            return
        client.received_at = arrived_at or self.clock()
        if not len(client.parser):
            client.message_started_at = client.received_at
        client.parser.feed(data)
        if client.paused:
            client.unread_since = 0.0
            self._count_unparsed_bytes(client)
            return
        client.data_arrived_at = arrived_at
        self.resume(client, 1 if self.turns.is_behind else MAX_REQUESTS_PER_TURN)
        client.data_arrived_at = client.unread_since = 0.0
        client.is_held_back = False

    def reject_waiting(self, client: ClientConnection) -> None:
        """Reject the requests of a connection that were read and wait, before those of any other one."""
        client.rejects_requests = RejectReason.PLACE_NEEDED
        self.turns.hasten(client)

    def resume_if_paused(self, client: ClientConnection) -> bool:
        """Resume a connection if it is paused; returns whether a request was handled."""
        unparsed = len(client.parser)
        if client.paused:
            self.resume(client)
        return len(client.parser) < unparsed

    def _take_turn(self, client: ClientConnection, delay: float) -> None:
        """Handle some of the requests of a connection that waited for its turn, or for those in flight.

        `delay`: seconds for which it waited for its turn.
        """
        if not client.paused or client.authenticating or not self.registry.is_open(client):
            return
        if client.rejects_requests is None:
            client.rejects_requests = self._reason_to_reject(client, delay)
        if not client.pending_replies:
            client.data_arrived_at = client.paused_at  # it waited for its turn, and for no earlier reply
        self.resume(client)
        client.data_arrived_at = 0.0
        # While it waited, the rest of an incomplete request may have been left unread.
        client.message_started_at = self.clock()
        self._read_again(client)

    def _read_again(self, client: ClientConnection) -> None:
        if not self.registry.is_open(client) or not self.may_read(client):
            return
        client.may_read_again.set()
        if self.registry.reader is not None:
            self.registry.reader.watch(client)

    def resume(self, client: ClientConnection, max_requests: int = MAX_REQUESTS_PER_TURN) -> None:
        """Handle up to `max_requests` that were read completely, until too many are in flight.

        Some clients send hundreds of requests at once and disconnect. The end of the stream then follows
        bytes that are not read yet. Without the check for it here, the remaining requests were forwarded for
        a client that had disconnected, as fast as the ones before them ended.
        """
        if client.paused and hung_up(client.sock):
            self.registry.closes.record(CloseReason.CLIENT_LEFT)
            self.registry.close_soon(client)
            return
        client.paused = False
        if len(client.parser) > MIN_JOINED_BYTES:
            with self.reply_writer.joined_replies(client):
                self._handle_or_reject(client, max_requests)
        else:
            self._handle_or_reject(client, max_requests)
        if (client.unparsed_bytes or client.parser.held_bytes) and self.registry.is_open(client):
            self._count_unparsed_bytes(client)

    def _handle_or_reject(self, client: ClientConnection, max_requests: int) -> None:
        try:
            if client.rejects_requests is not None:
                self._reject_requests(client)
            else:
                self._handle_requests(client, max_requests)
        except Malformed as error:
            client.draining = True
            self.registry.closes.record(CloseReason.MALFORMED)
            self.reply_writer.reply(client, b"-ERR protocol: %b\r\n" % str(error).encode())

    def _handle_requests(self, client: ClientConnection, max_requests: int) -> None:
        for _ in range(max_requests):
            if client.draining:
                return
            if client.authenticating or len(client.pending_replies) >= MAX_PIPELINED_REQUESTS:
                self._pause(client)
                return
            message = client.parser.next()
            if message is None:
                return
            client.has_sent_request = True
            self._handle_command(client, message)
        if len(client.parser) and not client.draining:
            self._pause(client)
            self.turns.add(client)

    def _pause(self, client: ClientConnection) -> None:
        client.paused = True
        client.paused_at = client.message_started_at = self.clock()

    def _reject_requests(self, client: ClientConnection) -> None:
        """Reject requests without a look at what they hold. They have not run, so a retry is harmless."""
        assert client.rejects_requests is not None
        count = 0
        while count < MAX_REJECTIONS_PER_TURN:
            discarded = client.parser.discard(MAX_REJECTIONS_PER_TURN - count)
            if not discarded:
                client.rejects_requests = None
                return
            count += discarded
            client.has_sent_request = True
            self.registry.rejections.record(client.rejects_requests, count=discarded)
            self.reply_writer.reply(client, BUSY_REPLY * discarded)
        if client.queued_reply_bytes > MAX_REJECTION_BYTES:
            client.draining = True
            client.parser.clear()
            self.registry.closes.record(CloseReason.TOO_MANY_REQUESTS)
            self.reply_writer.reply(client, TOO_MANY_REQUESTS_REPLY)
            return
        self._pause(client)
        self.turns.add(client)

    def _count_unparsed_bytes(self, client: ClientConnection) -> None:
        """Count what a connection's parser holds; reject what memory has no room for.

        The requests have not run, so a retry is harmless.
        """
        budget = self.registry.limits.buffer_budget
        if client.draining:
            client.parser.clear()
        elif client.paused:
            if len(client.parser) > self._max_read_ahead(client) and not client.authenticating:
                client.rejects_requests = RejectReason.MEMORY
                self.turns.add(client)
        elif client.parser.held_bytes > MAX_UNCOUNTED_BYTES and budget.is_nearly_exceeded:
            client.draining = True
            client.parser.clear()
            self.registry.rejections.record(RejectReason.MEMORY)
            self.reply_writer.reply(client, BUSY_REPLY)
        size = client.parser.held_bytes
        if size != client.unparsed_bytes and self.registry.is_open(client):
            budget.hold(size - client.unparsed_bytes)
            client.unparsed_bytes = size
