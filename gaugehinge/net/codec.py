"""What a codec is: how an attempt becomes bytes for one kind of server, and bytes its reply. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from ..routing.types import Outcome

if TYPE_CHECKING:
    from .connection import Connection


@dataclass(slots=True, frozen=True)
class RequestPayload:
    """What an operation carries to servers: the bytes that came, with a gap for the wait that is left."""

    ident: bytes
    key: bytes
    label_parts: tuple[bytes, bytes]  # before and behind the figure of `d`
    labels: bytes  # the labels as they came
    command_head: bytes  # the command up to its labels
    command_tail: bytes  # and what follows them
    value: bytes | None  # of a write
    verbatim_command: bytes = b""  # the command as it goes on where servers take it as it came
    client_is_waiting: Callable[[], bool] = lambda: True  # whether its client is still there


class ServerReply(NamedTuple):
    """What came back."""

    outcome: Outcome
    value: bytes | None = None  # as the client gets it; of a redirection: its words
    reusable: bool = True  # whether the connection is good for another attempt
    reported_load: bytes = b""  # the load report, or what stands for it


class Codec(Protocol):
    """How to speak to one kind of server, with no I/O."""

    def new_state(self) -> Any:
        """The state of a new connection."""

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        """All the bytes of an attempt."""

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        """What came, or nothing at the end of the connection; the answer once it is whole."""


class ConnectionLost(Exception):
    """The other side ended the connection."""


class MalformedReply(ConnectionLost):
    """The other side answered with what makes no sense. It is up, and the attempt has run there."""
