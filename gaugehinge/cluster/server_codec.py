"""Attempts to cluster-mode servers: the client's own command, and what the answers mean. No I/O.

A redirection, and every answer by which the server says that it did not take the command, means that it never
ran there. All else that is whole is the command's answer, errors of its own included: asked again it would
say the same.
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
FENCE_COMMAND = command(b"PING")  # behind a request on a reused connection; +OK would be like a SET's reply
FENCE_STATUS = b"PONG"
# Never run there: being loaded, without a map, amid a move, told to a replica, out of memory or of places.
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
    """What a connection to a server has to know: its reader, and answers that belong to no attempt."""

    __slots__ = ("reader", "preliminary_replies", "readonly_sent", "fence")

    def __init__(self) -> None:
        self.reader = Reader(SERVER_LIMITS)
        self.fence: ReplyFence[Message] = ReplyFence(FENCE_COMMAND, _is_fence_reply, _raw_bytes)
        self.preliminary_replies = 0  # answers to come before the attempt's own
        self.readonly_sent = False  # `READONLY` was said


def _is_fence_reply(message: Message) -> bool:
    return isinstance(message.value, Status) and message.value == FENCE_STATUS


def _raw_bytes(message: Message) -> bytes:
    return message.raw


class ClusterCodec:
    """The protocol of cluster-mode servers, RESP2."""

    def __init__(self, owners_only: bool = False) -> None:
        self.owners_only = owners_only  # no connection says READONLY: replicas are not read from

    def new_state(self) -> ConnectionState:
        """The state of a new connection."""
        return ConnectionState()

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        """The command as the client gave it; one of the platform's dialect as its plain like."""
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

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        """What came, or nothing at the end of the connection; the answer once it is whole."""
        if not data:
            raise ConnectionLost("ended")
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
                continue  # said unasked
            if state.preliminary_replies:
                state.preliminary_replies -= 1
                if not isinstance(message.value, Status):
                    raise MalformedReply("an answer to ASKING or READONLY that is no status")
                continue
            reply = state.fence.accept(message)
            if reply is not None:
                reusable = not (len(state.reader) or state.fence.is_armed)
                return interpret_reply(reply.value, reply.raw)._replace(reusable=reusable)


def plain_command(payload: RequestPayload) -> bytes:
    """An operation of the platform's dialect for servers that have only plain commands."""
    if payload.value is None:
        return command(b"GET", payload.key)
    return command(b"SET", payload.key, payload.value)


def interpret_reply(value: object, raw: bytes) -> ServerReply:
    """What a whole answer means."""
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
        logger.warning("a server answered {!r}", bytes(value[:80]))
    return ServerReply(Outcome.SUCCEEDED, raw)
