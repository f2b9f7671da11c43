"""The codec of cache servers: commands with labels, and replies with a load report, in RESP2."""

from __future__ import annotations

from loguru import logger

from ..routing.types import Outcome
from .codec import ConnectionLost, MalformedReply, RequestPayload, ServerReply
from .connection import Connection
from .resp import BULK, ERROR, MAX_REPLY_BYTES, Frame, Malformed, Message, Parser

REPLY_PARTS = 3  # the value, whether it was a hit, the load report
COMPARED_BYTES = 4  # of what follows a reply, enough to recognise a second copy of that reply
MAX_LOGGED_BYTES = 80


class RespCodec:
    """Speaks to cache servers."""

    def new_state(self) -> Parser:
        """A parser for a new connection."""
        return Parser(MAX_REPLY_BYTES)

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        """The client's command with the remaining time, in seconds, in its labels."""
        labels = payload.labels_with(remaining_time)
        return b"%b$%d\r\n%b\r\n%b" % (payload.command_head, len(labels), labels, payload.command_tail)

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        """The reply once it is complete. Raises ConnectionLost or MalformedReply, see `Codec.decode`."""
        if not data:
            raise ConnectionLost("end of stream")
        parser: Parser = connection.codec_state
        parser.feed(data)
        try:
            message = parser.next()
        except Malformed as error:
            raise MalformedReply(str(error)) from error
        if message is None:
            return None
        _check_what_follows(message, parser.unparsed())
        return read_reply(message)._replace(reusable=not len(parser))


def _check_what_follows(message: Message, rest: bytes) -> None:
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
    """An error reply; the last word of all but BUSY may be the load report."""
    code = text.split(b" ", 1)[0]
    if code == b"BUSY":
        return ServerReply(Outcome.REJECTED)
    if code != b"ERR":
        logger.warning("unexpected error reply from a cache server: {!r}", text[:MAX_LOGGED_BYTES])
    return ServerReply(Outcome.SERVER_ERROR, reported_load=text.rpartition(b" ")[2])


def _read_load(frame: Frame) -> bytes:
    """The load report. One in an unknown form must not spoil a good reply: it counts as missing."""
    return frame.body if frame.kind == BULK and isinstance(frame.body, bytes) else b""
