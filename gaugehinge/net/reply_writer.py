"""Writes replies in the order of their requests, as fast as each client reads them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import trio
from loguru import logger

from .client_connection import ClientConnection, PendingReply
from .client_limits import ClientLimits
from .connection_registry import ConnectionRegistry
from .lifecycle import Lifecycle, Phase
from .reason_log import CloseReason
from .sockets import enlarge_send_buffer, send_some, silent, unsent, wait_writable

WRITE_TIMEOUT = 10.0  # seconds; a client that has not read a reply by then is disconnected
MAX_JOINED_REPLY_BYTES = 4 * 1024  # replies that are given at once are joined up to this size
LINGER_INTERVAL = 0.5  # seconds after the last reply, for the client to read it before the close


class ReplyWriter:
    """Writes the replies of all connections of one front."""

    def __init__(
        self,
        registry: ConnectionRegistry,
        limits: ClientLimits,
        lifecycle: Lifecycle,
        nursery: trio.Nursery,
    ) -> None:
        """Create the writer. `nursery` runs the tasks that write what a socket did not take immediately."""
        self.registry = registry
        self.limits = limits
        self.lifecycle = lifecycle
        self.nursery = nursery
        self.timers = registry.timers
        self.clock = registry.clock

    def reply(self, client: ClientConnection, data: bytes) -> None:
        """Answer a request immediately; the reply is written after those of earlier requests."""
        last = self._joinable_reply(client)
        if last is None:
            last = PendingReply(data=b"", is_immediate=True)
            client.pending_replies.append(last)
        last.data = (last.data or b"") + data
        self.limits.count_reply(last, len(data))
        client.queued_reply_bytes += len(data)
        if not client.joins_replies:
            self.flush(client)

    @staticmethod
    def _joinable_reply(client: ClientConnection) -> PendingReply | None:
        """Return the last pending reply if another one may be joined to it."""
        last = client.pending_replies[-1] if client.pending_replies else None
        if last is None or not last.is_immediate or last.reply_bytes >= MAX_JOINED_REPLY_BYTES:
            return None
        is_being_written = len(client.pending_replies) == 1 and client.write_blocked
        return None if is_being_written else last

    @contextmanager
    def joined_replies(self, client: ClientConnection) -> Iterator[None]:
        """Within the block, replies that are given at once are written together, at its end."""
        client.joins_replies = True
        try:
            yield
        finally:
            client.joins_replies = False
            if client.pending_replies and self.registry.is_open(client):
                self.flush(client)

    def defer_reply(self, client: ClientConnection) -> Callable[[bytes], None]:
        """Reserve the next place in the order of replies; returns a function that sets the reply.

        Reading from the connection is suspended until that function is called.
        """
        pending_reply = PendingReply()
        client.pending_replies.append(pending_reply)
        client.authenticating = client.paused = True

        def answer(data: bytes) -> None:
            client.authenticating = False
            pending_reply.data = data
            if self.registry.is_open(client):
                self.flush(client)

        return answer

    def flush(self, client: ClientConnection) -> None:
        """Write the replies that are known, in the order of their requests; then close if that is due."""
        pending_replies = client.pending_replies
        while pending_replies and (data := pending_replies[0].data) is not None and not client.write_blocked:
            try:
                sent = self._write(client, data)
            except OSError:
                self.registry.close_soon(client)  # the client has disconnected
                return
            if sent < len(data):
                client.unwritten = memoryview(data)[sent:]
                self.nursery.start_soon(self._write_rest, client)
                return
            self._finish_reply(client)
        if pending_replies:
            return
        if client.closing_after_reply and self.registry.reader is None:
            self.registry.shut_down(client)
        elif client.draining:
            client.half_close()
            self._linger(client, self.clock() + WRITE_TIMEOUT)
        else:
            self.registry.close_over_limit_when_idle(client)

    def enlarge_buffer(self, client: ClientConnection) -> None:
        """Enlarge the send buffer so that the kernel takes all unwritten replies before the process exits.

        The kernel goes on delivering them to a client that reads slowly or has not started to read.
        """
        if not client.write_blocked:
            return
        size = sum(len(reply.data) for reply in client.pending_replies if reply.data is not None)
        with suppress(OSError):  # the client has disconnected
            enlarge_send_buffer(client.sock, size)

    def write_before_exit(self, client: ClientConnection) -> None:
        """Write as much as the kernel takes immediately; the connection is closed in the same step.

        The task that waits to write may not have run since the buffer had room: a router that was without CPU
        time for a while may find, once it runs again, its shutdown deadline past and the buffers empty.
        """
        self.enlarge_buffer(client)
        with suppress(OSError):  # the client has disconnected
            while client.write_blocked:
                self._write_unwritten(client)
                if client.write_blocked:
                    return
                self._finish_reply(client)
                following = client.pending_replies[0].data if client.pending_replies else None
                client.unwritten = following or b""

    def _write(self, client: ClientConnection, data: bytes) -> int:
        """Write as much of a reply as the socket takes immediately; returns the number of bytes written.

        In the closing phase, a reply with nothing outstanding behind it closes its connection in the same
        step: a busy client is never found idle, and all that it sends afterwards would be lost with the
        process. Bytes that arrive after that close must not be read, not even to discard them: a client may
        safely resend what was never read.
        """
        is_last = (
            self.lifecycle.phase is Phase.CLOSING and len(client.pending_replies) == 1 and not client.draining
        )
        is_last = is_last and not len(client.parser) and silent(client.sock)
        sent = send_some(client.sock, data)
        client.closing_after_reply = is_last and sent == len(data) and not unsent(client.sock)
        client.draining = client.draining or client.closing_after_reply
        return sent

    def _finish_reply(self, client: ClientConnection) -> None:
        """Remove the first pending reply, which is written, and resume a connection that was paused."""
        written = client.pending_replies.popleft()
        if written.is_immediate:
            client.queued_reply_bytes -= written.reply_bytes
        self.limits.release(written)
        client.unwritten = b""  # an empty view would keep the whole reply in memory
        client.idle_since = self.clock()
        if client.paused and not client.authenticating:
            self.registry.on_reply_written(client)

    async def _write_rest(self, client: ClientConnection) -> None:
        """Write the rest of a reply that the socket did not take immediately.

        The client may have disconnected before this starts, and its pending replies are gone then. No error
        may leave this task: it would end the router with all its operations in flight.
        """
        try:
            with self.timers.timeout_scope(WRITE_TIMEOUT) as scope:
                while client.write_blocked:
                    await wait_writable(client.sock)
                    self._write_unwritten(client)
        except Exception as error:
            if not isinstance(error, (OSError, trio.ClosedResourceError)):
                logger.exception("writing a reply to a client failed")
            self.registry.close_soon(client)
            return
        if scope.cancelled_caught:
            self.registry.closes.record(CloseReason.REPLY_NOT_READ)
            self.registry.close_soon(client)
            return
        if client.pending_replies:
            self._finish_reply(client)
            self.flush(client)

    def _write_unwritten(self, client: ClientConnection) -> None:
        sent = send_some(client.sock, client.unwritten)
        client.unwritten = client.unwritten[sent:]

    def _linger(self, client: ClientConnection, latest: float) -> None:
        """Close the connection once the client has received the last reply, or when `latest` has passed."""
        self.timers.call_at(self.clock() + LINGER_INTERVAL, self._end_linger, client, latest)

    def _end_linger(self, client: ClientConnection, latest: float) -> None:
        if not self.registry.is_open(client):
            return
        if unsent(client.sock) and self.clock() < latest:
            self._linger(client, latest)
        else:
            self.registry.close_soon(client)
