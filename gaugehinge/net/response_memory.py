"""Checks the responses of one HTTP connection for late copies and for lengths that do not fit. No I/O.

Headers are not remembered, because a copy may have a date or a load report of its own.
"""

from __future__ import annotations

from http import HTTPStatus

from . import response_heads
from .http_exchange import RESPONSE_START, HttpResponse
from .reply_doubts import DoubtCause
from .reply_memory import ReplyMemory
from .response_heads import ResponseShape

MAX_RESPONSES = 128  # with more, too many new responses match earlier ones; the connection is closed
# At most this many leading bytes of another response go unrecognised: all but one of RESPONSE_START.
MAX_UNRECOGNISED_BYTES = 6
RESPONSE_START_PREFIXES = (b"H", b"HT", b"HTT", b"HTTP", b"HTTP/", b"HTTP/1")


class ResponseMemory:
    """The remembered responses of one connection."""

    __slots__ = ("_count", "_remembered")

    def __init__(self) -> None:
        """Start with no responses."""
        self._remembered = ReplyMemory()
        self._count = 0

    def add(self, response: HttpResponse) -> DoubtCause | None:
        """Remember a response; return why it may not answer the last request, or None if it does.

        A copy that lacks its end is completed by the first bytes of the next response. A copy that is sent
        within a response takes the place of that response's last bytes. If so few bytes of the copy complete
        the body that they are not recognised, the bytes after them may arrive at any later time, so each body
        with such an ending is doubtful.
        The first response on a connection is no copy, but its body may be longer than the length it states.
        """
        is_reused = self._count > 0
        self._count += 1
        body, shape = response.body, ResponseShape(response.status, len(response.body))
        is_repeated = self._remembered.add(b"%d " % response.status, body)
        if is_reused:
            cause = self._doubt(response, shape, is_repeated)
        else:
            cause = self._doubt_of_length(response, shape)
        self._remembered.add(shape.key())
        return cause

    def _doubt(self, response: HttpResponse, shape: ResponseShape, is_repeated: bool) -> DoubtCause | None:
        """Return why a response on a reused connection may not answer the last request."""
        if response.is_head_mixed or self._contains_other_response(shape, response.body):
            return DoubtCause.MIXED
        if response.has_excess:
            return DoubtCause.EXCESS
        if is_repeated:
            return DoubtCause.REPEATED
        return DoubtCause.ENDING if ends_in_response_start(response.body) else None

    def _doubt_of_length(self, response: HttpResponse, shape: ResponseShape) -> DoubtCause | None:
        """Return why the body of a connection's first response may not be what its length says.

        A good response with noise right behind it cannot be told from one whose stated length is too small.
        If the length is too large, a second copy of the response may have completed the body. The body of a
        failure is not used.
        """
        if response.status != HTTPStatus.OK:
            return None
        if response.has_excess:
            return DoubtCause.EXCESS
        return DoubtCause.MIXED if _contains_copy(shape, response.body) else None

    def is_full(self) -> bool:
        """Whether no further response should be remembered."""
        return self._count >= MAX_RESPONSES

    def _contains_other_response(self, shape: ResponseShape, body: bytes) -> bool:
        """Whether a body contains another response's head, and either has the shape of an earlier response.

        A stored value may contain such a head, too. A head that is truncated, or states no length, counts as
        having the shape of an earlier response; one of the response's own shape is that of a copy.
        """
        if RESPONSE_START not in body:
            return False
        is_known = self._remembered.has(shape.key())
        return any(
            is_known or inner is None or inner == shape or self._remembered.has(inner.key())
            for inner in response_heads.shapes_within(body)
        )


def _contains_copy(shape: ResponseShape, body: bytes) -> bool:
    """Whether a body contains a response of the same shape, which a body of the stated length cannot."""
    return RESPONSE_START in body and shape in response_heads.shapes_within(body)


def ends_in_response_start(body: bytes) -> bool:
    """Whether the last bytes of a body may be the first bytes of another response."""
    return body.endswith(RESPONSE_START_PREFIXES)
