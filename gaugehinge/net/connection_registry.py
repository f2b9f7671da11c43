"""The open client connections of one front, and the ways to close them."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from .admission_control import ConnectionReader
from .client_connection import ClientConnection, PendingReply
from .client_limits import ClientLimits
from .dispatcher import BUSY_REPLY
from .handle_table import HandleTable
from .reason_log import CloseReason, ReasonLog
from .sockets import send_some, shut, silent, unsent
from .timer_queue import TimerQueue

IDLE_GRACE = 0.05  # seconds without a request after which a connection that has sent one counts as idle
NEW_CONNECTION_GRACE = 0.3  # seconds that a new connection has for its first request before it counts as idle
# Seconds without a byte after which a client that is within a request may be closed for another client.
STALL_GRACE = 0.3
MIN_RECHECK_INTERVAL = 0.01  # seconds between two checks of a connection over the limit


class ConnectionRegistry:
    """Owns the connections until they are closed."""

    def __init__(
        self, timers: TimerQueue, limits: ClientLimits, abandon_reply: Callable[[PendingReply], None]
    ) -> None:
        """Create an empty registry.

        `abandon_reply` abandons the operation of a disconnected client, and releases the reply in the end.
        """
        self.timers = timers
        self.clock = timers.clock
        self.limits = limits
        self.connections: HandleTable[ClientConnection] = HandleTable()
        self.reader: ConnectionReader | None = None  # None: each connection is read by its own task
        self.on_reply_written: Callable[[ClientConnection], None] = lambda client: None  # if it is paused
        self.idle_grace = IDLE_GRACE
        self._abandon_reply = abandon_reply
        self.made_room_at = 0.0  # when a busy or stalled connection last had to give way to another one
        self.closes = ReasonLog("client connections closed")
        self.rejections = ReasonLog("requests rejected")

    def is_open(self, client: ClientConnection) -> bool:
        """Whether a connection is still open."""
        return self.connections.get(client.handle) is client

    def close(self, client: ClientConnection) -> None:
        """Close a connection and abandon its pending requests. A second call does nothing."""
        if self.connections.remove(client.handle) is None:
            return
        if self.reader is not None:
            self.reader.unwatch(client)
        for pending_reply in client.pending_replies:
            if pending_reply.operation_handle is not None:
                self._abandon_reply(pending_reply)
            else:
                self.limits.release(pending_reply)
        client.pending_replies.clear()
        client.unwritten = b""
        client.parser.clear()
        self.limits.buffer_budget.release(client.unparsed_bytes)
        client.unparsed_bytes = 0
        shut(client.sock)

    def close_soon(self, client: ClientConnection) -> None:
        """Schedule the close of a connection, for callers that must not close it within their own call."""
        if self.reader is None:
            client.cancel_scope.cancel()  # its task closes it
        else:
            self.timers.call_at(self.clock(), self.close, client)

    def shut_down(self, client: ClientConnection) -> None:
        """Half-close a connection to tell the client that no reply follows, and close it in the same step."""
        client.half_close()
        client.draining = True
        client.cancel_scope.cancel()
        self.close(client)

    def close_if_idle(self, client: ClientConnection) -> bool:
        """Close a connection that is idle between requests; returns whether it was closed.

        A grace period applies, since a client that has just been answered may be writing its next request.
        Nothing may run between the check and the close: a request that arrived there would be lost.
        """
        if not client.is_quiet:
            return False
        grace = self.idle_grace if client.has_sent_request else NEW_CONNECTION_GRACE
        if self.clock() - client.idle_since < grace:
            return False
        if not silent(client.sock) or unsent(client.sock):
            # With unsent bytes, the client's next request would reset the closed connection, and the rest of
            # a long reply would be lost with it.
            return False
        self.closes.record(CloseReason.IDLE)
        self.shut_down(client)
        return True

    def evict_stalled(self, client: ClientConnection) -> bool:
        """Close a connection whose client has stopped within a request; returns whether it was closed.

        The request has not run. Its client is told so, as far as the kernel takes the reply at once.
        """
        is_within_request = len(client.parser) and not (client.paused or client.pending_replies)
        if client.draining or not is_within_request:
            return False
        if self.clock() - client.received_at < STALL_GRACE or not silent(client.sock):
            return False
        with suppress(OSError):  # the client has disconnected
            send_some(client.sock, BUSY_REPLY)
        self.closes.record(CloseReason.STALLED)
        self.made_room_at = self.clock()
        self.shut_down(client)
        return True

    def is_over_limit(self, client: ClientConnection) -> bool:
        """Whether a connection has been over the limit ever since it was accepted."""
        client.over_limit = client.over_limit and len(self.connections) > self.limits.max_connections
        return client.over_limit

    def close_over_limit_when_idle(self, client: ClientConnection) -> None:
        """Schedule checks of a connection over the limit until it is idle and can be closed."""
        if (
            client.over_limit
            and not client.draining
            and not client.pending_replies
            and client.recheck_timer is None
        ):
            due = self.clock() + max(self.idle_grace, MIN_RECHECK_INTERVAL)
            client.recheck_timer = self.timers.call_at(due, self._recheck_over_limit, client)

    def _recheck_over_limit(self, client: ClientConnection) -> None:
        client.recheck_timer = None
        if not self.is_open(client) or not self.is_over_limit(client):
            return
        if not self.close_if_idle(client):
            self.close_over_limit_when_idle(client)
