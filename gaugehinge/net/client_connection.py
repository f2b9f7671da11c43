"""State of one client connection and of its pending replies. Does no I/O except the half-close."""

from __future__ import annotations

import socket
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio

from .reason_log import RejectReason
from .resp import Parser
from .timer_queue import Timer

NO_TENANT_YET = -2  # used as the tenant index until the first operation


@dataclass(slots=True, eq=False)
class PendingReply:
    """The slot of one request in the ordered queue of replies."""

    operation_handle: Any = None  # handle of the request's operation while it is in flight
    request_id: bytes = b""
    request: Any = None  # the `ParsedRequest` of an operation in flight
    data: bytes | None = None  # None until the reply is known
    request_bytes: int = 0  # counted against the limit for requests, until the reply is known
    reply_bytes: int = 0  # counted against the budget for buffers, from then on
    is_immediate: bool = False  # given at once and waiting behind the replies of earlier requests


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One client connection. Times are in seconds of the router's clock."""

    sock: socket.socket
    accepted_at: float
    handle: int = -1  # in the connection table
    parser: Parser = field(default_factory=partial(Parser, commands_only=True))
    pending_replies: deque[PendingReply] = field(default_factory=deque)  # in the order of their requests
    may_read_again: trio.Event = field(default_factory=trio.Event)  # set when reading may go on
    cancel_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    has_sent_request: bool = False
    unwritten: bytes | memoryview = b""  # rest of the first reply, written by a separate task
    data_arrived_at: float = 0.0  # arrival time of the bytes being handled, if their reader knows it; else 0
    # Arrival time of its first bytes, if they arrived while it was in the listener's backlog; else 0.
    unread_since: float = 0.0
    is_held_back: bool = False  # it waited in the backlog because the connection limit was reached
    # Requests that were read wait: for its turn, for those in flight, or because it is authenticating.
    paused: bool = False
    paused_at: float = 0.0
    waits_for_turn: bool = False
    rejects_requests: RejectReason | None = None  # why the requests that wait are rejected
    authenticating: bool = False  # its credentials are being checked
    recheck_timer: Timer | None = None  # next idle check while the connection is over the connection limit
    draining: bool = False  # no further request is handled; it is closed when all replies are written
    closing_after_reply: bool = False  # like draining, but closed immediately, with nothing more read
    unparsed_bytes: int = 0  # that its parser holds, as counted against the budget for buffers
    discarded_bytes: int = 0  # bytes that arrived while draining
    joins_replies: bool = False  # replies that are given at once are written later, together
    queued_reply_bytes: int = (
        0  # of replies that were given at once and wait behind those of earlier requests
    )
    received_at: float = 0.0  # when the last bytes were read
    idle_since: float = 0.0
    message_started_at: float = 0.0  # arrival time of the first byte that the parser holds
    over_limit: bool = False  # its requests are rejected, and it is closed once idle
    client_id: bytes = b""  # identifies the client to admission control
    source: str = ""  # remote address
    tenant: int = NO_TENANT_YET  # index of the tenant of its last operation
    ready_since: float = 0.0  # when a shared reader first saw unread bytes on it; 0: none unread

    @property
    def write_blocked(self) -> bool:
        """Whether the rest of a reply waits until the client has read earlier bytes."""
        return len(self.unwritten) > 0

    @property
    def is_quiet(self) -> bool:
        """Whether nothing was read from it that is not answered yet."""
        return not (self.pending_replies or self.draining or self.ready_since or len(self.parser))

    def half_close(self) -> None:
        """Shut down the sending side: no reply follows. Does nothing if the client has disconnected."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
