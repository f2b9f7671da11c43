"""Finds the heads of HTTP responses within a body, in time proportional to its length. No I/O.

A head ends at the first empty line, or is cut off by the end of the body. All heads that end at the same
place share their last lines, so these are read once, from the last line to the first.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

from .http_exchange import END_OF_HEAD, RESPONSE_START

STATUS = re.compile(rb"HTTP/1\.[01] (\d{3})")  # of a status line; a reason phrase may follow
STATUS_BYTES = 12  # that it matches
# A name as defined by RFC 9110 and a value, or the continuation of a folded line.
HEADER_LINE = re.compile(rb"(?:[!#$%&'*+.^`|~\w-]+:|[ \t])[^\n]*")
CUT_HEADER_LINE = re.compile(rb"[!#$%&'*+.^`|~\w-]*(?::[^\n]*)?|[ \t][^\n]*")
# A length with more digits counts as missing: no server sends a body that long.
LENGTH_LINE = re.compile(rb"(?i)content-length:[ \t]*(\d{1,20})(?!\d)")
PRINTABLE = re.compile(rb"[\t -~]*")
# The last byte of a line that rules out a printable line or a reason phrase, with what follows it.
NON_PRINTABLE_END = re.compile(rb"[^\t -~][\t -~]*\Z")
NON_REASON_PHRASE_END = re.compile(rb"[^\t -~\x80-\xff][\t -~\x80-\xff]*\Z")


class ResponseShape(NamedTuple):
    """Status and body length of a response."""

    status: int
    length: int

    def key(self) -> bytes:
        """Return the bytes by which a `ReplyMemory` remembers the shape."""
        return b"%d, %d" % self


class _HeadEnd(NamedTuple):
    """The place in a body where heads end."""

    position: int  # behind the last line of the heads, without its line break
    is_whole: bool  # whether an empty line follows; otherwise the body ends there
    next_position: int  # behind the empty line, or the end of the body


def shapes_within(body: bytes) -> set[ResponseShape | None]:
    """Return the shapes of the heads within a body; None for one that is truncated or has no length.

    The search ends with the first such head: nothing that follows can make the body less doubtful.
    """
    shapes: set[ResponseShape | None] = set()
    start = body.find(RESPONSE_START)
    while start >= 0 and None not in shapes:
        end = _find_head_end(body, start)
        _add_shapes_with_end(shapes, body, start, end)
        start = body.find(RESPONSE_START, end.next_position)
    return shapes


def _find_head_end(body: bytes, start: int) -> _HeadEnd:
    empty_line = END_OF_HEAD.search(body, start)
    if empty_line is None:
        return _HeadEnd(len(body), is_whole=False, next_position=len(body))
    return _HeadEnd(empty_line.start(), is_whole=True, next_position=empty_line.end())


def _add_shapes_with_end(shapes: set[ResponseShape | None], body: bytes, first: int, end: _HeadEnd) -> None:
    """Add the shapes of the heads that begin at `first` or later and end at `end`."""
    length: int | None = None  # as stated by the first of the lines read so far that states one
    line_end, is_cut = end.position, not end.is_whole
    while line_end >= first and None not in shapes:
        line_start = max(body.rfind(b"\n", first, line_end) + 1, first)
        line = body[line_start:line_end].removesuffix(b"\r")
        for status in _statuses(line, is_cut):
            is_complete = end.is_whole and status is not None and length is not None
            shapes.add(ResponseShape(status, length) if is_complete else None)  # type: ignore[arg-type]
        if not _is_header_line(line, is_cut):
            return
        stated = LENGTH_LINE.match(line)
        length = int(stated[1]) if stated else length
        line_end, is_cut = line_start - 1, False


def _statuses(line: bytes, is_cut: bool) -> Iterator[int | None]:
    """Yield the status of each status line that ends with this line; None for one that is truncated."""
    start = line.find(RESPONSE_START)
    if start < 0:
        return
    printable_from = _end_begins(NON_PRINTABLE_END, line, start) if is_cut else len(line)
    phrase_from = _end_begins(NON_REASON_PHRASE_END, line, start) if is_cut else line.rfind(b"\r", start) + 1
    while start >= 0:
        status = STATUS.match(line, start, start + STATUS_BYTES)
        if is_cut:
            has_phrase = status is not None and line.startswith(b" ", status.end())
            if start >= printable_from or (has_phrase and start >= phrase_from):
                yield None
        elif status is not None and start >= phrase_from:
            yield int(status[1])
        start = line.find(RESPONSE_START, start + 1)


def _end_begins(pattern: re.Pattern[bytes], line: bytes, start: int) -> int:
    """Return the position behind the byte that an end of the line follows; `start` without such a byte."""
    end = pattern.search(line, start)
    return end.start() + 1 if end else start


def _is_header_line(line: bytes, is_cut: bool) -> bool:
    """Whether a line belongs to a head, or, if it is cut off, may be the first part of one that does."""
    if is_cut:
        return bool(PRINTABLE.fullmatch(line) or CUT_HEADER_LINE.fullmatch(line))
    return HEADER_LINE.fullmatch(line) is not None
