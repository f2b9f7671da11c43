"""Reads complete requests from client connections, with a limit on the requests in flight on each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import trio
from loguru import logger

from .client_connection import ClientConnection
from .connection_registry import ConnectionRegistry
from .dispatcher import BUSY_REPLY
from .reply_writer import ReplyWriter
from .resp import Malformed
from .sockets import hung_up, receive

MAX_PIPELINED_REQUESTS = 32  # in flight on one connection; with this many, reading from it is suspended
MAX_READ_BYTES = 64 * 1024  # in one step of the event loop
MAX_UNCOUNTED_BYTES = 4 * 1024  # of a request; an incomplete one up to this size is never rejected
MAX_DISCARDED_BYTES = 256 * 1024  # discarded after an error or the last request; with more, reading stops


class RequestReader:
    """Reads the connections of one front, with a task for each or by a shared reader that passes on bytes."""

    def __init__(
        self,
        registry: ConnectionRegistry,
        reply_writer: ReplyWriter,
        nursery: trio.Nursery,
        handle_command: Callable[[ClientConnection, Any], None],
    ) -> None:
        """Create the reader.

        `handle_command` gets each complete message and may raise Malformed. `nursery` runs the tasks.
        """
        self.registry = registry
        self.reply_writer = reply_writer
        self.clock = registry.clock
        self._nursery = nursery
        self._handle_command = handle_command

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
        while data := await receive(client.sock, MAX_READ_BYTES):
            self.data_received(client, data)
            if client.discarded_bytes > MAX_DISCARDED_BYTES:
                await trio.sleep_forever()  # until pending replies are written and the linger time is over
            while client.paused:
                client.reply_written = trio.Event()
                await client.reply_written.wait()
                self.resume(client)

    def data_received(self, client: ClientConnection, data: bytes, arrived_at: float = 0.0) -> None:
        """Handle received bytes. `arrived_at`: when they arrived, in seconds; 0 if unknown."""
        arrived_at = client.unread_since or arrived_at
        if client.draining:
            client.discarded_bytes += len(data)
            return
        if not len(client.parser):
            client.message_started_at = arrived_at or self.clock()
        client.parser.feed(data)
        client.data_arrived_at = arrived_at
        self.resume(client)
        client.data_arrived_at = client.unread_since = 0.0
        client.is_held_back = False

    def resume_if_paused(self, client: ClientConnection) -> bool:
        """Resume a connection if it is paused; returns whether a request was handled."""
        unparsed = len(client.parser)
        if client.paused:
            self.resume(client)
        return len(client.parser) < unparsed

    def resume(self, client: ClientConnection) -> None:
        """Handle the complete requests that were read, until too many are in flight.

        Some clients send hundreds of requests at once and disconnect. The end of the stream then follows
        bytes that are not read yet. Without the check for it here, the remaining requests were forwarded for
        a client that had disconnected, as fast as the ones before them ended.
        """
        if client.paused and hung_up(client.sock):
            self.registry.close_soon(client)
            return
        client.paused = False
        self._handle_requests(client)
        if self.registry.is_open(client):
            self._count_unparsed_bytes(client)

    def _handle_requests(self, client: ClientConnection) -> None:
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
        except Malformed as error:
            client.draining = True
            self.reply_writer.reply(client, b"-ERR protocol: %b\r\n" % str(error).encode())

    def _count_unparsed_bytes(self, client: ClientConnection) -> None:
        """Count what a connection's parser holds; reject its incomplete request if memory is short.

        The request has not run, so a retry is harmless.
        """
        budget, size = self.registry.limits.buffer_budget, len(client.parser)
        if (
            size > MAX_UNCOUNTED_BYTES
            and not client.paused
            and not client.draining
            and budget.is_nearly_exceeded
        ):
            client.draining = True
            client.parser.clear()
            size = 0
            self.reply_writer.reply(client, BUSY_REPLY)
        if size != client.unparsed_bytes:
            budget.hold(size - client.unparsed_bytes)
            client.unparsed_bytes = size
