"""Client side of HTTP/1.1 based on h11, for the origin's codec and for discovery. No I/O."""

from __future__ import annotations

import re
from typing import NamedTuple, cast

import h11

from .codec import ConnectionLost, MalformedReply

MAX_HEAD_BYTES = 32 * 1024
MAX_HEAD_LINES = 256  # a parsed header takes many times the memory of a short line
USUAL_BODY_BYTES = 16 * 1024  # of a response
END_OF_HEAD = re.compile(rb"\n\r?\n")
MAX_END_OF_HEAD_BYTES = 3
MAX_INTERIM_RESPONSES = 100  # 1xx, before one final response
RESPONSE_START = b"HTTP/1."
LOAD_REPORT_HEADER = re.compile(rb"(?i)\nx-pressure:[^\n]*")  # not used by this router


class HttpResponse(NamedTuple):
    """A complete HTTP response.

    `is_head_mixed`: its head contains another head. `has_excess`: it is followed by bytes that do not start
    another response, so the length that it states may be too small for its body.
    """

    status: int
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes
    reusable: bool  # whether the connection can carry another request
    is_head_mixed: bool = False
    has_excess: bool = False


class HttpExchange:
    """The requests and responses of one HTTP connection, one exchange after the other. No I/O."""

    def __init__(self, max_body_bytes: int) -> None:
        """A response with a body longer than `max_body_bytes` counts as malformed."""
        self.max_body_bytes = max_body_bytes
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._incomplete_head = bytearray()
        self._is_head_mixed = False
        self._interim_count = 0

    @property
    def expected_bytes(self) -> int:
        """Length of the incomplete response as far as it is known.

        A body that states no length is taken for the longest one, once it is longer than most.
        """
        if self._head is None:
            return len(self._incomplete_head)
        stated = _stated_length(self._head)
        if stated is not None:
            return stated
        return len(self._body) if len(self._body) <= USUAL_BODY_BYTES else self.max_body_bytes

    def request(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes | memoryview | None = None,
    ) -> bytes:
        """Return the bytes of a request. Raises h11.LocalProtocolError if none can be sent now."""
        if body is not None:
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        data = self._state.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += self._state.send(h11.Data(data=cast(bytes, body)))  # h11 takes any buffer
        return data + self._state.send(h11.EndOfMessage())

    def receive(self, data: bytes) -> HttpResponse | None:
        """Take received bytes, or b"" at the end of the stream; return the response once it is complete.

        Each head is passed to h11 complete and without its load report, because a report that h11 cannot
        parse would make a good response unusable.

        Raises:
            ConnectionLost: the stream ended before the response was complete.
            MalformedReply: the received bytes are not an HTTP response, or it is too long.
        """
        if self._head is not None or not data:
            return self._parse(data)
        # The end of the head may have begun in the last bytes that were searched before.
        searched = max(len(self._incomplete_head) - MAX_END_OF_HEAD_BYTES + 1, 0)
        self._incomplete_head += data
        response, end = self._parse_heads(searched)
        rest = bytes(self._incomplete_head[end:])
        if self._head is None and response is None:
            del self._incomplete_head[:end]
            return None
        self._incomplete_head.clear()
        if response is None:
            return self._parse(rest) if rest else None
        if not rest:
            return response
        return response._replace(reusable=False, has_excess=is_excess(rest))

    def _parse_heads(self, searched: int) -> tuple[HttpResponse | None, int]:
        """Parse complete heads up to that of the final response, which interim responses may precede.

        `searched`: number of bytes that hold no end of a head. Returns the response, if it has no body, and
        the number of bytes parsed.
        """
        start, response = 0, None
        while self._head is None and response is None:
            end_of_head = END_OF_HEAD.search(self._incomplete_head, max(start, searched))
            if end_of_head is None and len(self._incomplete_head) - start < MAX_HEAD_BYTES:
                break
            end = end_of_head.end() if end_of_head else len(self._incomplete_head)
            head = bytes(self._incomplete_head[start:end])
            if head.count(b"\n") > MAX_HEAD_LINES:
                raise MalformedReply("too many header lines")
            self._is_head_mixed = head.find(RESPONSE_START, 1) >= 0
            response = self._parse(LOAD_REPORT_HEADER.sub(b"", head))
            start = end
        return response, start

    def _parse(self, data: bytes) -> HttpResponse | None:
        try:
            self._state.receive_data(data)
            return self._next_response()
        except h11.RemoteProtocolError as error:
            kind = MalformedReply if data else ConnectionLost
            raise kind(str(error)) from error

    def _next_response(self) -> HttpResponse | None:
        """Process the events that h11 has parsed, up to the end of a response."""
        while True:
            event = self._state.next_event()
            if event is h11.NEED_DATA:
                return None
            if isinstance(event, h11.InformationalResponse):
                self._count_interim_response()
            elif isinstance(event, h11.Response):
                self._head = event
                self._interim_count = 0
                if (_stated_length(event) or 0) > self.max_body_bytes:
                    raise MalformedReply("response body is too long")
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self.max_body_bytes:
                    raise MalformedReply("response body is too long")
            elif isinstance(event, h11.EndOfMessage):
                return self._complete()
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionLost("end of stream")

    def _count_interim_response(self) -> None:
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES:
            raise MalformedReply("too many interim responses")

    def _complete(self) -> HttpResponse:
        """Return the response that just ended, and prepare for the next request if it is reusable."""
        head, body = self._head, bytes(self._body)
        assert head is not None  # h11 reports no end of a message without its head
        self._head = None
        self._body.clear()
        reusable = self._state.our_state is h11.DONE and self._state.their_state is h11.DONE
        # Neither bytes nor the end of the stream may follow the response.
        trailing, _ = trailing_data = self._state.trailing_data
        reusable = reusable and trailing_data == (b"", False)
        if reusable:
            self._state.start_next_cycle()
        has_excess = is_excess(trailing)
        return HttpResponse(
            head.status_code, dict(head.headers), body, reusable, self._is_head_mixed, has_excess
        )


def is_excess(rest: bytes) -> bool:
    """Whether the bytes behind a response start no other one, and so may be the rest of its body."""
    return bool(rest) and not rest.startswith(RESPONSE_START)


def _stated_length(head: h11.Response) -> int | None:
    """Return the length that a head states for its body; None if it states none or the body is chunked."""
    headers = dict(head.headers)
    if b"transfer-encoding" in headers or b"content-length" not in headers:
        return None
    return int(headers[b"content-length"])
