"""The cache servers' protocol: attempts and their replies in RESP2."""

from __future__ import annotations

from loguru import logger

from ..routing.types import Outcome
from .codec import ConnectionLost, MalformedReply, RequestPayload, ServerReply
from .connection import Connection
from .resp import ARRAY, BULK, ERROR, MAX_REPLY_BYTES, Malformed, Message, Parser

REPLY_PARTS = 3  # the value, how it went, the load report


class RespCodec:
    """The cache servers' protocol."""

    def new_state(self) -> Parser:
        return Parser(MAX_REPLY_BYTES)

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        before, behind = payload.label_parts
        labels = b"%b%d%b" % (before, max(int(remaining_time * 1000), 1), behind)
        return b"%b$%d\r\n%b\r\n%b" % (payload.command_head, len(labels), labels, payload.command_tail)

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        if not data:
            raise ConnectionLost("ended")
        connection.codec_state.feed(data)
        try:
            message = connection.codec_state.next()
        except Malformed as bad:
            raise MalformedReply(str(bad)) from None
        if message is None:
            return None
        # What follows an answer unasked belongs to no attempt: the next one would take it for its own. And
        # where it is no second copy, the answer began with half of another's: no server gave such a value.
        rest = connection.codec_state.unparsed()
        if rest.strip() and not (message.raw.startswith(rest[:4]) or rest.startswith(message.raw[:4])):
            raise MalformedReply("an answer with bytes of another behind it")
        return read_reply(message)._replace(reusable=not len(connection.codec_state))


def read_reply(message: Message) -> ServerReply:
    """A cache server's answer, by the protocol's table."""
    top = message.top
    if top.kind == ERROR:
        word = top.body.split(b" ", 1)[0]
        if word == b"BUSY":
            return ServerReply(Outcome.REJECTED)
        if word != b"ERR":
            logger.warning("a cache server answered {!r}", top.body[:80])
        return ServerReply(Outcome.SERVER_ERROR, reported_load=top.body.rpartition(b" ")[2])
    if top.kind != ARRAY or top.body is None or len(top.body) != REPLY_PARTS:
        raise MalformedReply("an answer that is no array of three")
    value, how, report = top.body  # whatever stands for the load report spoils nothing
    reported_load = report.body if report.kind == BULK and report.body is not None else b""
    if value.kind != BULK or how.kind != BULK:
        raise MalformedReply("an answer that is no value with how it went")
    if value.body is None:
        return ServerReply(Outcome.CACHE_MISS, reported_load=reported_load)
    return ServerReply(Outcome.SUCCEEDED, message.part(value), reported_load=reported_load)
