"""The data of connections to servers: a connection, its server's idle list, the attempt that it carries."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from typing import Any

from ..routing.types import Attempt
from .codec import Codec, RequestPayload
from .configuration import Address
from .timer_queue import Timer


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to a server. A task of the pool owns it and reads it until it ends."""

    sock: socket.socket
    endpoint: ServerPool
    codec_state: Any  # belongs to the codec
    pending: PendingAttempt | None  # the attempt that it carries; None while it is idle
    idle_since: float = 0.0  # by the pool's clock; 0 until it has been idle once
    trailing_bytes: int = 0  # of what the codec encoded last, behind the request's own bytes
    unsent_fence: bytes = b""  # what the codec wants written behind the request, before it takes the reply
    request_sent: bool = False  # whether the last byte of the request has been written
    connect_started: bool = False  # whether its task has asked the system to connect it
    is_up: bool = False  # whether it was connected, as its task found
    closed: bool = False


@dataclass(slots=True, eq=False)
class ServerPool:
    """One process of a server with its idle connections, for as long as discovery lists it."""

    ident: int
    uid: str
    address: Address
    started: float  # Unix time; a process that was started later is another ServerPool
    idle: list[Connection] = field(default_factory=list)  # in the order of `idle_since`
    repeats_replies: bool = False  # whether two of its replies on one connection had the same content
    has_ambiguous_write_replies: bool = False  # whether one to a write was in doubt for how it ends
    doubted_until: float = 0.0  # by the pool's clock, behind a reply that was in doubt; 0: none was


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt that has not ended yet."""

    attempt: Attempt
    payload: RequestPayload
    codec: Codec
    deadline: float  # by the pool's clock; then the attempt has timed out
    own_lag: float  # seconds of what it takes that are this router's own doing
    timer: Timer = field(init=False)  # of the deadline; set as the pool starts the attempt
    connection: Connection | None = None  # None before it has one, and after it gave it up
