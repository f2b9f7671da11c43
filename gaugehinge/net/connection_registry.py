"""The open connections of one front, and the ways in which one of them is closed."""

from __future__ import annotations

from collections.abc import Callable

from .admission_control import ConnectionReader
from .client_connection import ClientConnection, PendingReply
from .client_limits import ClientLimits
from .handle_table import HandleTable
from .sockets import shut, silent, unsent
from .timer_queue import TimerQueue

IDLE_GRACE = 0.05  # seconds with nothing to do after which a connection in use counts as idle
NEW_CONNECTION_GRACE = 0.3  # seconds that a new connection has to send something before it counts as idle
MIN_RECHECK_INTERVAL = 0.01  # seconds between two looks at a connection over the limit


class ConnectionRegistry:
    """Owns the connections until they are closed."""

    def __init__(
        self, timers: TimerQueue, limits: ClientLimits, abandon_reply: Callable[[PendingReply], None]
    ) -> None:
        """`abandon_reply` gives an operation up whose client has gone."""
        self.timers = timers
        self.clock = timers.clock
        self.limits = limits
        self.connections: HandleTable[ClientConnection] = HandleTable()
        self.reader: ConnectionReader | None = None  # None: each connection has a task that reads it
        self.idle_grace = IDLE_GRACE
        self._abandon_reply = abandon_reply

    def is_open(self, client: ClientConnection) -> bool:
        """Whether a connection is not closed yet."""
        return self.connections.get(client.handle) is client

    def close(self, client: ClientConnection) -> None:
        """Close a connection and give up all that it asked for. A second call does nothing."""
        if self.connections.remove(client.handle) is None:
            return
        if self.reader is not None:
            self.reader.unwatch(client)
        for pending_reply in client.pending_replies:
            self.limits.reserved_bytes -= pending_reply.reserved_bytes
            if pending_reply.operation_handle is not None:
                self._abandon_reply(pending_reply)
        client.pending_replies.clear()
        shut(client.sock)

    def close_soon(self, client: ClientConnection) -> None:
        """Close a connection, though not from within what found that it has to be closed."""
        if self.reader is None:
            client.cancel_scope.cancel()  # its task closes it
        else:
            self.timers.call_at(self.clock(), self.close, client)

    def shut_down(self, client: ClientConnection) -> None:
        """Tell the client that no reply follows, and close the connection in the same step."""
        client.half_close()
        client.draining = True
        client.cancel_scope.cancel()
        self.close(client)

    def close_if_idle(self, client: ClientConnection) -> bool:
        """Close a connection that stands between requests; whether it did.

        A client that has just been answered may write its next request at this moment: so not at once.
        And nothing may stand between the look and the end: a request that came there would be lost.
        """
        if client.pending_replies or client.draining or client.ready_since or len(client.parser):
            return False
        grace = self.idle_grace if client.has_sent_request else NEW_CONNECTION_GRACE
        if self.clock() - client.idle_since < grace:
            return False
        if not silent(client.sock) or unsent(client.sock):
            return False  # or the rest of a long reply would go with its next request, behind the end
        self.shut_down(client)
        return True

    def is_over_limit(self, client: ClientConnection) -> bool:
        """Whether a connection is over the limit, and was all the time since it was accepted."""
        client.over_limit = client.over_limit and len(self.connections) > self.limits.max_connections
        return client.over_limit

    def close_over_limit_when_idle(self, client: ClientConnection) -> None:
        """Look again, until a connection over the limit is idle and can be closed."""
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
