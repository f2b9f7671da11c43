"""The origin's protocol: attempts as HTTP requests."""

from __future__ import annotations

from urllib.parse import quote

from ..routing.types import Outcome
from .codec import RequestPayload, ServerReply
from .connection import Connection
from .http_exchange import HttpExchange, HttpResponse
from .resp import MAX_REPLY_BYTES, bulk


class OriginCodec:
    """The origin's protocol."""

    def new_state(self) -> HttpExchange:
        return HttpExchange(MAX_REPLY_BYTES)

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        host, port = connection.endpoint.address
        # `d` as the client told it would let the origin work on for nobody: a miss has used up part of it.
        before, behind = payload.label_parts
        labels = b"%b%d%b" % (before, max(int(remaining_time * 1000), 1), behind)
        headers = [
            ("Host", f"{host}:{port}".encode()),
            ("X-Txn", payload.ident),
            ("X-Labels", labels),
        ]
        method = "GET" if payload.value is None else "PUT"
        return connection.codec_state.request(method, "/" + quote(payload.key, safe=""), headers, payload.value)

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        got = connection.codec_state.receive(data)
        if got is None:
            return None
        return ServerReply(outcome_of(got), bulk(got.body) if got.status == 200 else None, got.reusable)


def outcome_of(got: HttpResponse) -> Outcome:
    """An origin's answer, by the protocol's words: whatever is not told as never run may have."""
    if got.status == 200:
        return Outcome.SUCCEEDED
    if got.status in (503, 504) and got.headers.get(b"x-turned-away") == b"1":
        return Outcome.REJECTED
    return Outcome.SERVER_ERROR
