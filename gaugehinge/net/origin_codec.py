"""The origin's protocol: attempts as HTTP requests."""

from __future__ import annotations

from urllib.parse import quote

from ..routing.types import Outcome
from .codec import RequestPayload, ServerReply
from .connection import Connection
from .http_exchange import HttpExchange, HttpResponse
from .resp import MOST_ANSWER, bulk


class OriginCodec:
    """The origin's protocol."""

    def parser(self) -> HttpExchange:
        return HttpExchange(MOST_ANSWER)

    def command(self, connection: Connection, payload: RequestPayload, left: float) -> bytes:
        host, port = connection.endpoint.address
        # `d` as the client told it would let the origin work on for nobody: a miss has used up part of it.
        before, behind = payload.labels
        labels = b"%b%d%b" % (before, max(int(left * 1000), 1), behind)
        headers = [
            ("Host", f"{host}:{port}".encode()),
            ("X-Txn", payload.ident),
            ("X-Labels", labels),
        ]
        method = "GET" if payload.value is None else "PUT"
        return connection.parser.request(method, "/" + quote(payload.key, safe=""), headers, payload.value)

    def answer(self, connection: Connection, data: bytes) -> ServerReply | None:
        got = connection.parser.answer(data)
        if got is None:
            return None
        return ServerReply(read_status(got), bulk(got.body) if got.status == 200 else None, got.keep)


def read_status(got: HttpResponse) -> Outcome:
    """An origin's answer, by the protocol's words: whatever is not told as never run may have."""
    if got.status == 200:
        return Outcome.SUCCEEDED
    if got.status in (503, 504) and got.headers.get(b"x-turned-away") == b"1":
        return Outcome.REJECTED
    return Outcome.SERVER_ERROR
