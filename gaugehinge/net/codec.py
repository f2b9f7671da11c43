"""Codecs: encode attempts for one kind of server and decode its replies. No I/O.

`resp_codec` is for cache servers, `origin_codec` for the origin, `gaugehinge.cluster.server_codec` for
servers in cluster mode.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from ..routing.types import Outcome
from .reply_doubts import DoubtCause

if TYPE_CHECKING:
    from .connection import Connection

MIN_REMAINING_MS = 1  # a request with no time left is still sent with a valid number


class ConnectionLost(Exception):
    """The server ended the connection, or sent bytes that belong to no attempt."""


class MalformedReply(ConnectionLost):
    """The server's reply cannot be parsed. The server is up, and the attempt has run there."""


class DoubtfulReply(MalformedReply):
    """The reply may be a late copy of an earlier one on the connection; the attempt may have run or not."""

    def __init__(self, cause: DoubtCause, affects_all_connections: bool) -> None:
        """`affects_all_connections`: the server's next replies on reused connections are likely doubtful."""
        super().__init__(cause.value)
        self.cause = cause
        self.affects_all_connections = affects_all_connections


@dataclass(slots=True, frozen=True)
class RequestPayload:
    """What an operation sends to servers: the client's bytes, with a gap for the remaining time."""

    ident: bytes
    key: bytes
    label_parts: tuple[bytes, bytes]  # the labels before and after the value of `d`, the remaining time
    labels: bytes  # as the client sent them
    command_head: bytes  # the command up to its labels
    command_tail: bytes  # the command after its labels
    value: bytes | memoryview | None  # of a write, at times within `command_tail`; None for a read
    verbatim_command: bytes = b""  # the whole command, for servers that take it as the client sent it
    client_is_waiting: Callable[[], bool] = lambda: True  # asked before an attempt begins

    @property
    def held_bytes(self) -> int:
        """Memory of the byte strings of the payload."""
        before, after = self.label_parts
        command = len(self.command_head) + len(self.command_tail) + len(self.verbatim_command)
        labels = len(before) + len(after) + len(self.labels)
        value = len(self.value) if isinstance(self.value, bytes) else 0
        return command + labels + len(self.ident) + len(self.key) + value

    def labels_with(self, remaining_time: float) -> bytes:
        """The labels with the remaining time, in seconds, written into label `d` in milliseconds.

        With the value that the client sent, a server could keep working after the client has given up,
        since earlier attempts have used up part of that time.
        """
        before, after = self.label_parts
        return b"%b%d%b" % (before, max(int(remaining_time * 1000), MIN_REMAINING_MS), after)


class ServerReply(NamedTuple):
    """A server's complete reply to one attempt."""

    outcome: Outcome
    value: bytes | None = None  # as sent to the client; for a redirection, its words
    reusable: bool = True  # whether the connection can carry another attempt
    reported_load: bytes = b""  # the server's load report, or whatever the server sent in its place
    may_continue: bool = False  # whether unread bytes right behind it may be the rest of its value


class Codec(Protocol):
    """The protocol of one kind of server. Per-connection state is kept in `codec_state`."""

    def new_state(self) -> Any:
        """Return the state for a new connection."""

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        """Return all bytes of an attempt, which has `remaining_time` seconds left.

        Sets `connection.trailing_bytes` if bytes follow the request that the server does not need to run it.
        """

    def expected_bytes(self, connection: Connection) -> int:
        """Return the memory that the reply being received needs, as far as its first bytes tell."""

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        """Take received bytes, or b"" at the end of the stream; return the reply once it is complete.

        Sets `connection.unsent_fence` if a fence has to be written to find out which request a reply is for.

        Raises:
            ConnectionLost: the stream ended before the reply was complete.
            MalformedReply: the received bytes are not a reply of this protocol.
            DoubtfulReply: the reply may be a copy of an earlier one, and no fence can settle it.
        """
