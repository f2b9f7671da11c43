"""Codec for cache servers: commands with labels and replies with a load report, in RESP2."""

from __future__ import annotations

import re

from loguru import logger

from ..routing.types import Outcome
from .codec import ConnectionLost, MalformedReply, RequestPayload, ServerReply
from .connection import Connection
from .reply_doubts import DoubtCause, ReplyDoubts
from .reply_fence import ReplyFence
from .reply_memory import ReplyMemory
from .resp import ARRAY, BULK, CRLF, ERROR, MAX_REPLY_BYTES, STATUS, Frame, Malformed, Message, Parser

REPLY_PARTS = 3  # the value, whether it was a hit, the load report
COMPARED_BYTES = 4  # of the bytes after a reply; enough to recognise a second copy of it
MAX_LOGGED_BYTES = 80
# SELECT of this database is answered with +OK in every deployment. PING would count as a health check in
# deployments that count those.
DATABASE = 0
FENCE_COMMAND = b"*2\r\n$6\r\nSELECT\r\n$1\r\n%d\r\n" % DATABASE
FENCE_STATUS = b"OK"
REPLY_HEAD = b"*3\r\n"  # of every reply except errors
EMBEDDED_REPLY_START = re.compile(rb"-[A-Z]|\*3")  # in a line made of a truncated reply and the next one
# The status and the load report that end a reply, and the head of the next one.
REPLY_END_AND_HEAD = re.compile(
    rb"\r\n\$(?:-1|\d+\r\n[^\r\n]*)\r\n(?::-?\d+|\$(?:-1|\d+\r\n[^\r\n]*))\r\n\*3\r\n"
)
NON_LOAD_REPORT_KINDS = (ARRAY, ERROR, STATUS)


class RespConnectionState:
    """The codec's state of one connection."""

    __slots__ = ("fence", "is_reused", "is_suspect", "is_write", "parser", "replies")

    def __init__(self) -> None:
        """Create the state of a new connection."""
        self.parser = Parser(MAX_REPLY_BYTES)
        self.fence: ReplyFence[Message] = ReplyFence(FENCE_COMMAND, _is_fence_reply, _raw_bytes)
        self.replies = ReplyMemory()
        self.is_reused = False  # whether another request was written before the current one
        self.is_write = False  # whether the current request is a write
        self.is_suspect = False  # whether a possible copy was accepted since the last fence

    def doubt(self, message: Message) -> DoubtCause | None:
        """Remember a reply; return why it may be a copy of an earlier one, or None to accept it.

        A possible copy is accepted if it does no harm: a copied miss, error or rejection of a read gives no
        value, and the read goes to another server. But the read's own reply may still arrive, as the first
        one after the next request, so the connection is marked as suspect.
        """
        may_be_copy = self.replies.add(message.raw)
        if not (may_be_copy or self.is_suspect):
            return None
        outcome = read_reply(message).outcome
        if outcome is Outcome.SUCCEEDED or (self.is_write and outcome is not Outcome.SERVER_ERROR):
            return DoubtCause.REPEATED if may_be_copy else DoubtCause.SUSPECT
        self.is_suspect = True
        return None


def _is_fence_reply(message: Message) -> bool:
    return message.top.kind == STATUS and message.top.body == FENCE_STATUS


def _raw_bytes(message: Message) -> bytes:
    return message.raw


class RespCodec:
    """Encodes attempts for cache servers and decodes their replies."""

    def __init__(self) -> None:
        """Create the codec for all connections of a router."""
        self.doubts = ReplyDoubts("cache servers")

    def new_state(self) -> RespConnectionState:
        """Return the state of a new connection."""
        return RespConnectionState()

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        """Return the client's command, with `remaining_time` (seconds) written into its labels."""
        state: RespConnectionState = connection.codec_state
        state.is_reused = state.replies.count > 0
        state.is_write = payload.value is not None
        labels = payload.labels_with(remaining_time)
        return b"%b$%d\r\n%b\r\n%b" % (payload.command_head, len(labels), labels, payload.command_tail)

    def expected_bytes(self, connection: Connection) -> int:
        """Return the size of the reply being received, as far as it is known."""
        state: RespConnectionState = connection.codec_state
        return state.parser.expected_bytes

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        """Return the reply once it is complete. Raises ConnectionLost or MalformedReply, see `Codec.decode`.

        A reply that is identical to the byte with an earlier one on the connection is held back, and the
        fence has to be written: if it is a copy, the request's own reply arrives before the fence's.
        """
        if not data:
            raise ConnectionLost("end of stream")
        state: RespConnectionState = connection.codec_state
        parser = state.parser
        parser.feed(data)
        try:
            while (message := parser.next()) is not None:
                if not state.fence.is_armed and (cause := state.doubt(message)) is not None:
                    self.doubts.record(cause)
                    if len(parser):
                        raise MalformedReply(
                            "possible copy of an earlier reply, followed by bytes of another one"
                        )
                    connection.unsent_fence = state.fence.hold(message)
                    return None
                has_fence = state.fence.is_armed
                reply = state.fence.accept(message)
                if reply is not None:
                    self.doubts.replies += 1
                    state.is_suspect = state.is_suspect and not has_fence
                    return _finish(state, reply)
        except Malformed as error:
            raise MalformedReply(str(error)) from error
        return None


def _finish(state: RespConnectionState, message: Message) -> ServerReply:
    """Accept a reply as the one to the current request."""
    has_more = len(state.parser) > 0
    if has_more:
        _check_trailing_bytes(message, state.parser.unparsed())
    if state.is_reused:
        _check_for_embedded_reply(message)
    else:
        _check_for_embedded_end(message)
    reply = read_reply(message)
    if has_more or state.fence.is_armed or state.replies.is_full():
        return reply._replace(reusable=False)
    return reply


def _check_trailing_bytes(message: Message, rest: bytes) -> None:
    """Raise MalformedReply if a reply is followed by bytes of a different one.

    Unsolicited bytes after a reply belong to no attempt; the next attempt would take them for its own reply.
    If they are not a second copy of this reply, it began with half of another one, and no server stored such
    a value.
    """
    if not rest.strip():
        return
    if message.raw.startswith(rest[:COMPARED_BYTES]) or rest.startswith(message.raw[:COMPARED_BYTES]):
        return
    raise MalformedReply("reply followed by bytes of another one")


def _check_for_embedded_reply(message: Message) -> None:
    """Raise ConnectionLost if a reply on a reused connection contains another one, or its head.

    It may be the first part of an earlier reply, which the request's own reply completed to the byte. A
    stored value that contains such bytes is read on a new connection instead; its server is not at fault.
    """
    parts = message.top.body
    last = parts[-1].body if isinstance(parts, list) and parts else None
    ends_in_reply = isinstance(last, bytes) and EMBEDDED_REPLY_START.search(last)
    if ends_in_reply or message.raw.find(REPLY_HEAD, 1) >= 0:
        raise ConnectionLost("reply contains another one")


def _check_for_embedded_end(message: Message) -> None:
    """Raise MalformedReply if the first reply on a connection contains its end and the head of another one.

    The length of its value is then too large, and a second copy of the reply has completed it.
    """
    if message.raw.find(REPLY_HEAD, 1) >= 0 and REPLY_END_AND_HEAD.search(message.raw):
        raise MalformedReply("reply contains the end of a reply and another one")


def read_reply(message: Message) -> ServerReply:
    """Interpret a cache server's complete reply. Raises MalformedReply if its form is unknown."""
    top = message.top
    if isinstance(top.body, bytes) and top.kind == ERROR:
        return _read_error(top.body)
    if not isinstance(top.body, list) or len(top.body) != REPLY_PARTS:
        raise MalformedReply("reply is not an array of three elements")
    value, status, load = top.body
    reported_load = _read_load(load)
    if value.kind != BULK or status.kind != BULK:
        raise MalformedReply("reply lacks a value or its status")
    if value.is_null:  # its body would be a copy
        return ServerReply(Outcome.CACHE_MISS, reported_load=reported_load)
    return ServerReply(Outcome.SUCCEEDED, message.part(value), reported_load=reported_load)


def _read_error(text: bytes) -> ServerReply:
    """Interpret an error reply. Its last word may be the load report, except after BUSY.

    Raises:
        MalformedReply: another reply begins within a BUSY line, so the line begins with a truncated reply to
            another request. By its code, a request that may have run would be reported as rejected.
    """
    code, _, rest = text.partition(b" ")
    if code == b"BUSY":
        if EMBEDDED_REPLY_START.search(rest):
            raise MalformedReply("error reply contains another reply")
        return ServerReply(Outcome.REJECTED)
    if code != b"ERR":
        logger.warning("unexpected error reply from a cache server: {!r}", text[:MAX_LOGGED_BYTES])
    return ServerReply(Outcome.SERVER_ERROR, reported_load=text.rpartition(b" ")[2])


def _read_load(frame: Frame) -> bytes:
    """Return the load report. One in an unknown form counts as missing, so a good reply is still used.

    Raises:
        MalformedReply: another reply is in its place, so the value before it belongs to an earlier reply.
    """
    if frame.kind in NON_LOAD_REPORT_KINDS or (isinstance(frame.body, bytes) and CRLF in frame.body):
        raise MalformedReply("another reply in place of the load report")
    return frame.body if frame.kind == BULK and isinstance(frame.body, bytes) else b""
