"""Codec for the origin: sends attempts as HTTP requests.

HTTP/1.1 responses carry no id, and the origin may send a second copy of a response at any later time.
`response_memory` detects responses that may be copies; they are not accepted as the response to the last
request. Only a 200 leaves the connection open, so that a copy of a failure is never received.
"""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import quote

from ..routing.types import Outcome
from .codec import DoubtfulReply, RequestPayload, ServerReply
from .connection import Connection
from .http_exchange import HttpExchange, HttpResponse
from .reply_doubts import DoubtCause, ReplyDoubts
from .resp import MAX_REPLY_BYTES, bulk
from .response_endings import ResponseEndings
from .response_memory import ResponseMemory

REJECTED_HEADER = b"x-turned-away"  # "1": the origin states that it did not run the request
REJECTING_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT)


class OriginConnectionState:
    """The codec's state of one connection."""

    __slots__ = ("exchange", "responses")

    def __init__(self) -> None:
        """Create the state of a new connection."""
        self.exchange = HttpExchange(MAX_REPLY_BYTES)
        self.responses = ResponseMemory()


class OriginCodec:
    """Encodes attempts for the origin and decodes its responses."""

    def __init__(self) -> None:
        """Create the codec for all connections of a router."""
        self.doubts = ReplyDoubts("the origin")
        self.endings = ResponseEndings()

    def new_state(self) -> OriginConnectionState:
        """Return the state of a new connection."""
        return OriginConnectionState()

    def encode(self, connection: Connection, payload: RequestPayload, remaining_time: float) -> bytes:
        """Return a GET for a read or a PUT for a write, with the operation's id and labels as headers."""
        host, port = connection.endpoint.address
        headers = [
            (b"Host", f"{host}:{port}".encode()),
            (b"X-Txn", payload.ident),
            (b"X-Labels", payload.labels_with(remaining_time)),
        ]
        method = "GET" if payload.value is None else "PUT"
        target = "/" + quote(payload.key, safe="")
        state: OriginConnectionState = connection.codec_state
        return state.exchange.request(method, target, headers, payload.value)

    def expected_bytes(self, connection: Connection) -> int:
        """Return the size of the response being received, as far as it is known."""
        state: OriginConnectionState = connection.codec_state
        return state.exchange.expected_bytes

    def decode(self, connection: Connection, data: bytes) -> ServerReply | None:
        """Return the reply once complete. Raises ConnectionLost or DoubtfulReply, see `Codec.decode`."""
        state: OriginConnectionState = connection.codec_state
        response = state.exchange.receive(data)
        if response is None:
            return None
        self.doubts.replies += 1
        cause = state.responses.add(response)
        self.endings.on_response(response.body, cause is DoubtCause.ENDING)
        if cause is not None:
            self.doubts.record(cause)
            is_repeated = cause is DoubtCause.REPEATED
            raise DoubtfulReply(cause, affects_all_connections=is_repeated or self.endings.are_ambiguous)
        if response.status != HTTPStatus.OK:
            return ServerReply(outcome_of(response), reusable=False)
        reusable = response.reusable and not (state.responses.is_full() or self.endings.are_ambiguous)
        return ServerReply(Outcome.SUCCEEDED, bulk(response.body), reusable, may_continue=True)


def outcome_of(response: HttpResponse) -> Outcome:
    """What a response means: the request may have run unless the origin says that it did not."""
    if response.status == HTTPStatus.OK:
        return Outcome.SUCCEEDED
    if response.status in REJECTING_STATUSES and response.headers.get(REJECTED_HEADER) == b"1":
        return Outcome.REJECTED
    return Outcome.SERVER_ERROR
