"""A connection to a server, the attempt that it carries, and the server's idle ones."""

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
    """One connection to a server, with a task that reads it."""

    sock: socket.socket
    endpoint: ServerPool
    codec_state: Any
    pending: PendingAttempt | None  # the attempt that it carries
    idle_since: float = 0.0
    request_sent: bool = False  # whether the attempt's last byte is out
    closed: bool = False


@dataclass(slots=True, eq=False)
class ServerPool:
    """A server as the pool knows it. It leaves when the list says that it is gone."""

    ident: int
    uid: str
    address: Address
    started: float
    idle: list[Connection] = field(default_factory=list)  # oldest first; swept


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt on its way."""

    attempt: Attempt
    payload: RequestPayload
    codec: Codec
    deadline: float
    timer: Timer | None = None
    connection: Connection | None = None
