"""The codec of cache servers: commands with labels, and replies with a load report, in RESP2."""

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
COMPARED_BYTES = 4  # of what follows a reply, enough to recognise a second copy of that reply
MAX_LOGGED_BYTES = 80
# Answered with +OK on every deployment; PING is a health check where those are counted.
DATABASE = 0
FENCE_COMMAND = b"*2\r\n$6\r\nSELECT\r\n$1\r\n%d\r\n" % DATABASE
FENCE_STATUS = b"OK"
REPLY_HEAD = b"*3\r\n"  # of every reply that is no error
EMBEDDED_REPLY_START = re.compile(rb"-[A-Z]|\*3")  # within a line that is a cut reply and the next one
NON_LOAD_REPORT_KINDS = (ARRAY, ERROR, STATUS)


class RespConnectionState:
    """What the codec keeps of one connection."""

    __slots__ = ("fence", "is_reused", "is_suspect", "is_write", "parser", "replies")

    def __init__(self) -> None:
        """Of a new connection."""
        self.parser = Parser(MAX_REPLY_BYTES)
        self.fence: ReplyFence[Message] = ReplyFence(FENCE_COMMAND, _is_fence_reply, _raw_bytes)
        self.replies = ReplyMemory()
        self.is_reused = False  # whether a request before the last one was written
        self.is_write = False  # the last request
        self.is_suspect = False  # whether a reply that may be a copy was taken since the last fence

    def doubt(self, message: Message) -> DoubtCause | None:
        """Remember a reply; why it may be a copy of an earlier one, where it would do harm as that.

        A miss, an error, or a rejected read that is a copy has the read go elsewhere and gives no value: it
        is taken. But the read's own reply may still come then, and be the first one behind the next request.
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
    """Speaks to cache servers."""

    def __init__(self) -> None:
        """For all connections of a router."""
        self.doubts = ReplyDoubts("cache servers")

    def new_state(self) -> RespConnectionState:
        """The state of a new connection."""
        return RespConnectionState()

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        """The client's command with the remaining time, in seconds, in its labels."""
        state: RespConnectionState = connection.codec_state
        state.is_reused = state.replies.count > 0
        state.is_write = payload.value is not None
        labels = payload.labels_with(remaining_time)
        return b"%b$%d\r\n%b\r\n%b" % (payload.command_head, len(labels), labels, payload.command_tail)

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        """The reply once it is complete. Raises ConnectionLost or MalformedReply, see `Codec.decode`.

        A reply that is the same to the byte as an earlier one of the connection is held, and the fence is to
        be written: behind a copy the request's own reply comes before the fence's.
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
                        raise MalformedReply("a copy of an earlier reply, and bytes of another one")
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
    """Take a reply as the request's own."""
    has_more = len(state.parser) > 0
    if has_more:
        _check_trailing_bytes(message, state.parser.unparsed())
    if state.is_reused:
        _check_for_embedded_reply(message)
    reply = read_reply(message)
    if has_more or state.fence.is_armed or state.replies.is_full():
        return reply._replace(reusable=False)
    return reply


def _check_trailing_bytes(message: Message, rest: bytes) -> None:
    """Reject a reply that is followed by bytes of another one.

    Unrequested bytes after a reply belong to no attempt: the next one would take them for its own reply. And
    where they are no second copy of this reply, it began with half of another one: no server stored such a
    value.
    """
    if not rest.strip():
        return
    if message.raw.startswith(rest[:COMPARED_BYTES]) or rest.startswith(message.raw[:COMPARED_BYTES]):
        return
    raise MalformedReply("a reply followed by bytes of another one")


def _check_for_embedded_reply(message: Message) -> None:
    """Reject a reply on a reused connection that has another one, or its head, within it.

    It may be the cut half of an earlier reply, which the request's own reply completed to the byte. A stored
    value that has such bytes is read on a new connection instead, and its server is not at fault.
    """
    parts = message.top.body
    last = parts[-1].body if isinstance(parts, list) and parts else None
    ends_in_reply = isinstance(last, bytes) and EMBEDDED_REPLY_START.search(last)
    if ends_in_reply or message.raw.find(REPLY_HEAD, 1) >= 0:
        raise ConnectionLost("a reply within another one")


def read_reply(message: Message) -> ServerReply:
    """What a cache server's complete reply means. Raises MalformedReply on one of an unknown form."""
    top = message.top
    if isinstance(top.body, bytes) and top.kind == ERROR:
        return _read_error(top.body)
    if not isinstance(top.body, list) or len(top.body) != REPLY_PARTS:
        raise MalformedReply("a reply that is no array of three")
    value, status, load = top.body
    reported_load = _read_load(load)
    if value.kind != BULK or status.kind != BULK:
        raise MalformedReply("a reply without a value and its status")
    if value.body is None:
        return ServerReply(Outcome.CACHE_MISS, reported_load=reported_load)
    return ServerReply(Outcome.SUCCEEDED, message.part(value), reported_load=reported_load)


def _read_error(text: bytes) -> ServerReply:
    """An error reply; the last word of all but BUSY may be the load report.

    Raises:
        MalformedReply: another reply begins within the line. What stands before it is the cut half of
            another reply: by the code of that, a request that may have run would be told that it never did.
    """
    code, _, rest = text.partition(b" ")
    if code == b"BUSY":
        if EMBEDDED_REPLY_START.search(rest):
            raise MalformedReply("a reply within an error")
        return ServerReply(Outcome.REJECTED)
    if code != b"ERR":
        logger.warning("unexpected error reply from a cache server: {!r}", text[:MAX_LOGGED_BYTES])
    return ServerReply(Outcome.SERVER_ERROR, reported_load=text.rpartition(b" ")[2])


def _read_load(frame: Frame) -> bytes:
    """The load report. One in an unknown form must not spoil a good reply: it counts as missing.

    Raises:
        MalformedReply: another reply stands in its place, so that the value before it is of an earlier one.
    """
    if frame.kind in NON_LOAD_REPORT_KINDS or (isinstance(frame.body, bytes) and CRLF in frame.body):
        raise MalformedReply("a reply in place of a load report")
    return frame.body if frame.kind == BULK and isinstance(frame.body, bytes) else b""
