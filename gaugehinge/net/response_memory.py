"""What one HTTP connection remembers of its responses, to know late copies of them, whole or cut. No I/O.

Headers are left out of what is remembered: a copy may come with a date or a load report of its own.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

from .http_exchange import END_OF_HEAD, RESPONSE_START, HttpResponse
from .reply_doubts import DoubtCause
from .reply_memory import ReplyMemory

MAX_RESPONSES = 128  # with more the memory takes too many new responses for earlier ones: the connection ends
MAX_UNRECOGNISED_BYTES = (
    6  # bytes of another response's start that are not recognised as such: all but one of RESPONSE_START
)
RESPONSE_START_PREFIXES = (b"H", b"HT", b"HTT", b"HTTP", b"HTTP/", b"HTTP/1")  # of RESPONSE_START
STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})[^\r\n]*")
# A name, as RFC 9110 has it, and a value; or the rest of a folded line.
HEADER_LINE = re.compile(rb"(?:[!#$%&'*+.^`|~\w-]+:|[ \t])[^\n]*")
CUT_HEADER_LINE = re.compile(rb"[!#$%&'*+.^`|~\w-]*(?::[^\n]*)?|[ \t][^\n]*")
CUT_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3} [\t -~\x80-\xff]*")  # cut within its reason
LENGTH_LINE = re.compile(rb"(?i)\r?\ncontent-length:[ \t]*(\d+)")
PRINTABLE = re.compile(rb"[\t -~]*")


class _Shape(NamedTuple):
    """What a response says of itself before its body."""

    status: int
    length: int

    def key(self) -> bytes:
        return b"%d, %d" % self


class ResponseMemory:
    """The responses of one connection."""

    __slots__ = ("_count", "_remembered")

    def __init__(self) -> None:
        """None so far."""
        self._remembered = ReplyMemory()
        self._count = 0

    def add(self, response: HttpResponse) -> DoubtCause | None:
        """Remember a response; why it may not be the one to the last request, None: it is that one.

        A copy that lacks its end is completed by the next response's first bytes, and one that is sent within
        a response takes the place of that one's last bytes. Where these are too few to be recognised, what
        follows them may come at any later time: each body with such an ending is in doubt.
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
        """Whether a body has another response's head within it, and either is of an earlier response's shape.

        A stored value may have such a head, too. Where that is cut, or tells no length, it counts.
        """
        is_known = self._remembered.has(shape.key())
        return any(
            is_known or inner is None or self._remembered.has(inner.key()) for inner in _shapes_within(body)
        )


def _shapes_within(body: bytes) -> Iterator[_Shape | None]:
    """The shapes of the heads within a body; None for one that is cut, or tells no length."""
    start = body.find(RESPONSE_START)
    while start >= 0:
        end = END_OF_HEAD.search(body, start)
        head = body[start : end.start() if end else len(body)]
        if _is_head(head, is_whole=end is not None):
            status, length = STATUS_LINE.match(head), LENGTH_LINE.search(head)
            yield _Shape(int(status[1]), int(length[1])) if end and status and length else None
        start = body.find(RESPONSE_START, start + 1)


def _is_head(data: bytes, is_whole: bool) -> bool:
    """Whether bytes are a response's head, or the beginning of one where it is cut."""
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
    """Whether the last bytes of a body may be the first ones of another response."""
    return body.endswith(RESPONSE_START_PREFIXES)
