"""Client side of HTTP/1.1 based on h11, for the origin's codec and for discovery. No I/O."""

from __future__ import annotations

import re
from typing import NamedTuple

import h11

from .codec import ConnectionLost, MalformedReply

MAX_HEAD_BYTES = 32 * 1024
END_OF_HEAD = re.compile(rb"\n\r?\n")
RESPONSE_START = b"HTTP/1."
LOAD_REPORT_HEADER = re.compile(rb"(?i)\nx-pressure:[^\n]*")  # not used by this router


class HttpResponse(NamedTuple):
    """A complete HTTP response.

    `is_mixed`: its head contains another head, or it is followed by bytes that do not start another response.
    """

    status: int
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes
    reusable: bool  # whether the connection can carry another request
    is_mixed: bool = False


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

    def request(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes | None = None,
    ) -> bytes:
        """Return the bytes of a request. Raises h11.LocalProtocolError if none can be sent now."""
        if body is not None:
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        data = self._state.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += self._state.send(h11.Data(data=body))
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
        self._incomplete_head += data
        end_of_head = END_OF_HEAD.search(self._incomplete_head)
        if end_of_head is None and len(self._incomplete_head) < MAX_HEAD_BYTES:
            return None
        end = end_of_head.end() if end_of_head else len(self._incomplete_head)
        head, rest = bytes(self._incomplete_head[:end]), bytes(self._incomplete_head[end:])
        self._incomplete_head.clear()
        self._is_head_mixed = head.find(RESPONSE_START, 1) >= 0
        response = self._parse(LOAD_REPORT_HEADER.sub(b"", head))
        if response is None:
            return self.receive(rest) if rest else None
        if not rest:
            return response
        return response._replace(reusable=False, is_mixed=response.is_mixed or not _starts_response(rest))

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
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self.max_body_bytes:
                    raise MalformedReply("response body is too long")
            elif isinstance(event, h11.EndOfMessage):
                return self._complete()
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionLost("end of stream")

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
        is_mixed = self._is_head_mixed or not _starts_response(trailing)
        return HttpResponse(head.status_code, dict(head.headers), body, reusable, is_mixed)


def _starts_response(data: bytes) -> bool:
    """Whether the bytes after a response are the start of another one, as far as they were received."""
    return data.startswith(RESPONSE_START[: len(data)])
