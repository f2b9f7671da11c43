"""The state of one client connection and of the replies that it waits for. No I/O but the half-close."""

from __future__ import annotations

import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import trio

from .resp import Parser
from .timer_queue import Timer

NO_TENANT_YET = -2  # in place of a tenant's index, until the first operation


@dataclass(slots=True, eq=False)
class PendingReply:
    """A request's place in the order of replies."""

    operation_handle: Any = None  # of its operation, while that is in flight
    request_id: bytes = b""
    data: bytes | None = None  # None until the reply is known
    reserved_bytes: int = 0  # counted against the memory limit


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One connection of a client. Times are in seconds of the router's clock."""

    sock: socket.socket
    accepted_at: float
    handle: int = -1  # in the table of connections
    parser: Parser = field(default_factory=Parser)
    pending_replies: deque[PendingReply] = field(default_factory=deque)  # in the order of their requests
    reply_written: trio.Event = field(default_factory=trio.Event)  # set when a paused connection may go on
    cancel_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    has_sent_request: bool = False
    unwritten: bytes | memoryview = b""  # the rest of the first reply, which a task of its own is writing
    data_arrived_at: float = 0.0  # of the bytes being handled, where their reader knows that; else 0
    unread_since: float = 0.0  # when its first bytes came, while they stood in the listener's backlog; else 0
    is_held_back: bool = False  # they stood there since no place was free
    paused: bool = False  # not read on: too many of its requests are in flight, or it is authenticating
    authenticating: bool = False  # credentials of it are being checked
    recheck_timer: Timer | None = None  # when it is looked at again, over the connection limit
    draining: bool = False  # no further request is handled; it ends when all replies are written
    closing_after_reply: bool = False  # and at once, with nothing more read
    discarded_bytes: int = 0  # that arrived while draining
    idle_since: float = 0.0
    message_started_at: float = 0.0  # when the first byte arrived of what the parser holds
    over_limit: bool = False  # its requests are rejected, and it is closed once it is idle
    client_id: bytes = b""  # by which admission control tells clients apart
    source: str = ""  # the address that it came from
    tenant: int = NO_TENANT_YET  # index of the tenant of its last operation
    ready_since: float = 0.0  # when a shared reader first saw unread bytes there; 0: nothing unread

    @property
    def write_blocked(self) -> bool:
        """Whether the rest of a reply waits for the client to take what was written before."""
        return len(self.unwritten) > 0

    def half_close(self) -> None:
        """Tell the client that no reply follows. One that has gone already is left as it is."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
