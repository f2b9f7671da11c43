"""The codec for cluster-mode servers: sends the client's own command and interprets the replies. No I/O.

A redirection, or any error by which the server says that it did not accept the command, means that the
command was not executed there. Every other complete reply is the command's result, including errors of the
command itself: a retry would return the same.
"""

from __future__ import annotations

from loguru import logger

from ..net.codec import ConnectionLost, MalformedReply, RequestPayload, ServerReply
from ..net.connection import Connection
from ..net.reply_fence import ReplyFence
from ..routing.types import Outcome
from .resp3 import SERVER_LIMITS, Error, Malformed, Message, Push, Reader, Status, command

ASKING = command(b"ASKING")
READONLY = command(b"READONLY")
FENCE_COMMAND = command(b"PING")  # follows a request on a reused connection; `+OK` could be a SET's reply
FENCE_STATUS = b"PONG"
BYTES_PER_RECEIVED_BYTE = 2  # a reply is kept raw and parsed
# Codes after which the command was not executed: the server is busy, loading, a replica or without a map, the
# slot is migrating, or memory, disk or replicas are short.
REJECTION_CODES = frozenset(
    [
        b"BUSY",
        b"TRYAGAIN",
        b"CLUSTERDOWN",
        b"LOADING",
        b"MASTERDOWN",
        b"READONLY",
        b"OOM",
        b"MISCONF",
        b"NOREPLICAS",
    ]
)
STALE_MAP_CODES = frozenset([b"CLUSTERDOWN", b"READONLY", b"MASTERDOWN"])
REDIRECT_OUTCOMES = {b"MOVED": Outcome.MOVED, b"ASK": Outcome.ASK_REDIRECT}


class ConnectionState:
    """Per-connection state: the reader, and which replies are not the attempt's own."""

    __slots__ = ("reader", "preliminary_replies", "readonly_sent", "fence")

    def __init__(self) -> None:
        self.reader = Reader(SERVER_LIMITS)
        self.fence: ReplyFence[Message] = ReplyFence(FENCE_COMMAND, _is_fence_reply, _raw_bytes)
        self.preliminary_replies = 0  # replies to ASKING and READONLY that are due before the attempt's own
        self.readonly_sent = False  # whether `READONLY` was sent on this connection


def _is_fence_reply(message: Message) -> bool:
    return isinstance(message.value, Status) and message.value == FENCE_STATUS


def _raw_bytes(message: Message) -> bytes:
    return message.raw


class ClusterCodec:
    """The protocol of cluster-mode servers over RESP2."""

    def __init__(self, owners_only: bool = False) -> None:
        self.owners_only = owners_only  # READONLY is never sent, as replicas are not read from

    def new_state(self) -> ConnectionState:
        """The state of a new connection."""
        return ConnectionState()

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        """The command as the client sent it; for the platform's dialect, the equivalent plain command."""
        state: ConnectionState = connection.codec_state
        request = payload.verbatim_command or plain_command(payload)
        operation = connection.pending.attempt.operation
        state.preliminary_replies = 0
        if operation.ask_redirect:
            operation.ask_redirect = False
            state.preliminary_replies += 1
            request = ASKING + request
        if not state.readonly_sent and not self.owners_only and not operation.is_write:
            state.readonly_sent = True
            state.preliminary_replies += 1
            request = READONLY + request
        fence = state.fence.arm()
        connection.trailing_bytes = len(fence)
        return request + fence

    def expected_bytes(self, connection: Connection) -> int:
        """Return the memory of the reply being received: its bytes, and the values parsed from them."""
        state: ConnectionState = connection.codec_state
        return BYTES_PER_RECEIVED_BYTE * state.reader.expected_bytes

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        """Take received bytes, or b"" at the end of the stream; returns the reply once it is complete.

        Raises:
            ConnectionLost: the stream ended.
            MalformedReply: what was received is not a valid reply.
        """
        if not data:
            raise ConnectionLost("end of stream")
        state: ConnectionState = connection.codec_state
        state.reader.feed(data)
        while True:
            try:
                message = state.reader.next()
            except Malformed as error:
                raise MalformedReply(str(error)) from None
            if message is None:
                return None
            if isinstance(message.value, Push):
                continue  # sent unasked, not a reply
            if state.preliminary_replies:
                state.preliminary_replies -= 1
                if not isinstance(message.value, Status):
                    raise MalformedReply("the reply to ASKING or READONLY is not a simple string")
                continue
            reply = state.fence.accept(message)
            if reply is not None:
                reusable = not (len(state.reader) or state.fence.is_armed)
                return interpret_reply(reply.value, reply.raw)._replace(reusable=reusable)


def plain_command(payload: RequestPayload) -> bytes:
    """The `GET` or `SET` for an operation of the platform's dialect, which these servers do not know."""
    if payload.value is None:
        return command(b"GET", payload.key)
    return command(b"SET", payload.key, payload.value)


def interpret_reply(value: object, raw: bytes) -> ServerReply:
    """The outcome and value of a complete reply."""
    if not isinstance(value, Error):
        return ServerReply(Outcome.SUCCEEDED, raw)
    code = value.code
    if code in REDIRECT_OUTCOMES:
        return ServerReply(REDIRECT_OUTCOMES[code], bytes(value))
    if code in REJECTION_CODES:
        if code in STALE_MAP_CODES:
            return ServerReply(Outcome.REJECTED, bytes(value))
        return ServerReply(Outcome.REJECTED)
    if code not in (b"ERR", b"WRONGTYPE"):
        logger.warning("a server replied with an unexpected error: {!r}", bytes(value[:80]))
    return ServerReply(Outcome.SUCCEEDED, raw)
