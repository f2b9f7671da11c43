"""Data of connections to servers: a connection, its server's idle list, the attempt that it carries."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from typing import Any

import trio

from ..routing.types import Attempt
from .buffer_budget import Reservation
from .codec import Codec, RequestPayload
from .configuration import Address
from .timer_queue import Timer


@dataclass(slots=True, eq=False)
class Connection:
    """A connection to a server. A task of the pool owns it and reads from it until it ends."""

    sock: socket.socket
    endpoint: ServerPool
    codec_state: Any  # used by the codec only
    pending: PendingAttempt | None  # the attempt that it carries; None while it is idle
    idle_since: float = 0.0  # seconds of the pool's clock; 0 until it has been idle once
    trailing_bytes: int = 0  # number of bytes after the request in what the codec encoded last
    unsent_fence: bytes = b""  # to be written after the request, before the codec accepts the reply
    request_sent: bool = False  # whether the last byte of the request has been written
    connect_started: bool = False  # whether its task has started to connect it
    is_up: bool = False  # whether its task has seen it established
    closed: bool = False
    expected_bytes: int = 0  # of the reply being received, if memory was reserved for it
    reserved_bytes: int = 0  # of memory, for that reply
    memory_reservation: Reservation | None = None  # waits for room; nothing is read meanwhile
    memory_granted: trio.Event = field(default_factory=trio.Event)  # set when that wait ends


@dataclass(slots=True, eq=False)
class ServerPool:
    """One process of a server and its idle connections, kept as long as discovery lists it."""

    ident: int
    uid: str
    address: Address
    started: float  # Unix time; a process started later has another ServerPool
    idle: list[Connection] = field(default_factory=list)  # ordered by `idle_since`
    repeats_replies: bool = False  # whether two of its replies on one connection had the same content
    has_ambiguous_write_replies: bool = False  # whether a reply to a write was doubtful because of its ending
    doubted_until: float = 0.0  # seconds of the pool's clock, after a doubtful reply; 0 if there was none


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt that has not ended yet."""

    attempt: Attempt
    payload: RequestPayload
    codec: Codec
    deadline: float  # seconds of the pool's clock; the attempt times out then
    own_lag: float  # seconds of its duration that this router itself caused
    memory_wait: float = 0.0  # seconds for which its reply waited for room in memory
    timer: Timer = field(init=False)  # fires at the deadline; set when the pool starts the attempt
    connection: Connection | None = None  # None before it has one and after it gave it up
