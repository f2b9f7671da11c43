"""Remembers the responses of one HTTP connection to detect late copies, whole or truncated. No I/O.

Headers are not remembered, because a copy may have a date or a load report of its own.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

from .http_exchange import END_OF_HEAD, RESPONSE_START, HttpResponse
from .reply_doubts import DoubtCause
from .reply_memory import ReplyMemory

MAX_RESPONSES = 128  # with more, too many new responses match earlier ones; the connection is closed
# At most this many leading bytes of another response go unrecognised: all but one of RESPONSE_START.
MAX_UNRECOGNISED_BYTES = 6
RESPONSE_START_PREFIXES = (b"H", b"HT", b"HTT", b"HTTP", b"HTTP/", b"HTTP/1")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})[^\r\n]*")
# A name as defined by RFC 9110 and a value, or the continuation of a folded line.
HEADER_LINE = re.compile(rb"(?:[!#$%&'*+.^`|~\w-]+:|[ \t])[^\n]*")
CUT_HEADER_LINE = re.compile(rb"[!#$%&'*+.^`|~\w-]*(?::[^\n]*)?|[ \t][^\n]*")
CUT_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3} [\t -~\x80-\xff]*")  # truncated within its reason phrase
LENGTH_LINE = re.compile(rb"(?i)\r?\ncontent-length:[ \t]*(\d+)")
PRINTABLE = re.compile(rb"[\t -~]*")


class _Shape(NamedTuple):
    """Status and body length of a response."""

    status: int
    length: int

    def key(self) -> bytes:
        return b"%d, %d" % self


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
        """
        is_reused = self._count > 0
        self._count += 1
        body, shape = response.body, _Shape(response.status, len(response.body))
        is_repeated = self._remembered.add(b"%d %b" % (response.status, body))
        is_mixed = response.is_mixed or (
            RESPONSE_START in body and self._contains_other_response(shape, body)
        )
        self._remembered.add(shape.key())
        if not is_reused:
            return None
        if is_mixed:
            return DoubtCause.MIXED
        if is_repeated:
            return DoubtCause.REPEATED
        return DoubtCause.ENDING if ends_in_response_start(body) else None

    def is_full(self) -> bool:
        """Whether no further response should be remembered."""
        return self._count >= MAX_RESPONSES

    def _contains_other_response(self, shape: _Shape, body: bytes) -> bool:
        """Whether a body contains another response's head, and either has the shape of an earlier response.

        A stored value may contain such a head, too. A head that is truncated, or states no length, counts as
        having the shape of an earlier response.
        """
        is_known = self._remembered.has(shape.key())
        return any(
            is_known or inner is None or self._remembered.has(inner.key()) for inner in _shapes_within(body)
        )


def _shapes_within(body: bytes) -> Iterator[_Shape | None]:
    """Yield the shapes of the heads within a body; None for one that is truncated or has no length."""
    start = body.find(RESPONSE_START)
    while start >= 0:
        end = END_OF_HEAD.search(body, start)
        head = body[start : end.start() if end else len(body)]
        if _is_head(head, is_whole=end is not None):
            status, length = STATUS_LINE.match(head), LENGTH_LINE.search(head)
            yield _Shape(int(status[1]), int(length[1])) if end and status and length else None
        start = body.find(RESPONSE_START, start + 1)


def _is_head(data: bytes, is_whole: bool) -> bool:
    """Whether bytes are a response's head, or, if it is not whole, the beginning of one."""
    lines = [line.removesuffix(b"\r") for line in data.split(b"\n")]
    if not is_whole:
        cut_line = lines.pop()
        form = CUT_HEADER_LINE if lines else CUT_STATUS_LINE
        if not (PRINTABLE.fullmatch(cut_line) or form.fullmatch(cut_line)):
            return False
    if lines and STATUS_LINE.fullmatch(lines[0]) is None:
        return False
    return all(HEADER_LINE.fullmatch(line) for line in lines[1:])


def ends_in_response_start(body: bytes) -> bool:
    """Whether the last bytes of a body may be the first bytes of another response."""
    return body.endswith(RESPONSE_START_PREFIXES)
