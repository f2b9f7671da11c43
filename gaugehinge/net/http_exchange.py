"""The client's side of HTTP over h11, shared by the origin's codec and discovery. No I/O."""

from __future__ import annotations

import re
from typing import NamedTuple

import h11

from .codec import ConnectionLost, MalformedReply

MAX_HEAD_BYTES = 32 * 1024
END_OF_HEAD = re.compile(rb"\n\r?\n")  # ends a head
LOAD_REPORT_HEADER = re.compile(rb"(?i)\nx-pressure:[^\n]*")  # the load report, which is not used here


class HttpResponse(NamedTuple):
    """A whole HTTP answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    reusable: bool  # whether the connection goes on


class HttpExchange:
    """The client's side of one HTTP connection, with no I/O."""

    def __init__(self, max_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self._state = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: h11.Response | None = None
        self._body = bytearray()
        self._early = bytearray()  # of a head that is not whole yet

    def request(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, bytes]],
        body: bytes | None = None,
    ) -> bytes:
        """The bytes of one request."""
        if body is not None:
            headers = [*headers, ("Content-Length", b"%d" % len(body))]
        data = self._state.send(h11.Request(method=method, target=target, headers=headers))
        if body:
            data += self._state.send(h11.Data(data=body))
        return data + self._state.send(h11.EndOfMessage())

    def receive(self, data: bytes) -> HttpResponse | None:
        """What came, or nothing at the end; the answer once it is whole. Raises ConnectionLost otherwise.

        A head goes on whole and without its load report: one that cannot be read would spoil a good answer.
        """
        if self._head is not None or not data:
            return self._take(data)
        self._early += data
        blank = END_OF_HEAD.search(self._early)
        if blank is None and len(self._early) < MAX_HEAD_BYTES:
            return None
        end = blank.end() if blank else len(self._early)
        head, rest = bytes(self._early[:end]), bytes(self._early[end:])
        self._early.clear()
        got = self._take(LOAD_REPORT_HEADER.sub(b"", head))
        if got is not None:
            return got._replace(reusable=got.reusable and not rest)
        return self.receive(rest) if rest else None

    def _take(self, data: bytes) -> HttpResponse | None:
        try:
            self._state.receive_data(data)
            while True:
                event = self._state.next_event()
                if event is h11.NEED_DATA:
                    return None
                if isinstance(event, h11.Response):
                    self._head = event
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > self.max_body_bytes:
                        raise MalformedReply("answer too long")
                elif isinstance(event, h11.EndOfMessage):
                    return self._whole()
                elif isinstance(event, h11.ConnectionClosed):
                    raise ConnectionLost("ended")
        except h11.RemoteProtocolError as bad:
            raise (MalformedReply if data else ConnectionLost)(str(bad)) from None

    def _whole(self) -> HttpResponse:
        head, body = self._head, bytes(self._body)
        self._head = None
        self._body.clear()
        keep = self._state.our_state is h11.DONE and self._state.their_state is h11.DONE
        keep = keep and self._state.trailing_data == (b"", False)  # nothing behind it, not the end either
        if keep:
            self._state.start_next_cycle()
        return HttpResponse(head.status_code, dict(head.headers), body, keep)
