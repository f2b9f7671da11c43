"""Incremental RESP2 parser without I/O. A message keeps its raw bytes, so that they can be forwarded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

MAX_VALUE_BYTES = 64 * 1024  # in a client's bulk string; set by the protocol
MAX_REPLY_BYTES = 1 << 20  # in a server's bulk string: some values are several times the clients' limit
MAX_LINE_BYTES = 1024  # in the line of a status, an error, a number or a length
MAX_ARRAY_ITEMS = 16  # no command or reply has as many
MAX_DEPTH = 3
MAX_OVERHEAD_BYTES = 16 * 1024  # in a message, besides one value
MAX_LENGTH_DIGITS = 7

CRLF = b"\r\n"
CRLF_BYTES = 2
ERROR, STATUS, NUMBER, BULK, ARRAY = b"-+:$*"  # the first byte of a value


class Malformed(Exception):
    """The bytes are not valid RESP2 or exceed the limits; the text says which. The connection is unusable."""


@dataclass(slots=True)
class Frame:
    """One RESP value and its position in the message, as byte offsets."""

    kind: int
    start: int
    end: int
    body: bytes | list[Frame] | None  # None: the null bulk string or array


class Message(NamedTuple):
    """A complete top-level value: its raw bytes and its parsed parts."""

    raw: bytes
    top: Frame

    def part(self, frame: Frame) -> bytes:
        """Return the raw bytes of a part, including its type byte, length and terminator."""
        return self.raw[frame.start : frame.end]


class Parser:
    """Takes received bytes and returns complete messages."""

    def __init__(self, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        """Create a parser. A bulk string longer than `max_value_bytes` is malformed."""
        self.max_value_bytes = max_value_bytes
        self._buffer = bytearray()
        self._needed = 0  # with fewer bytes the message cannot be complete

    def __len__(self) -> int:
        """Number of bytes that are not parsed yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def unparsed(self) -> bytes:
        """Return the bytes after the last complete message."""
        return bytes(self._buffer)

    def next(self) -> Message | None:
        """Return the next complete message, or None if more bytes are needed. Raises Malformed."""
        if not self._buffer or len(self._buffer) < self._needed:
            return None
        self._needed = 0
        top = self._parse(0, 0)
        if top is None:
            if len(self._buffer) > self.max_value_bytes + MAX_OVERHEAD_BYTES:
                raise Malformed("message too long")
            return None
        if top.end == len(self._buffer):  # nearly always the case
            raw = bytes(self._buffer)
            self._buffer.clear()
        else:
            raw = bytes(self._buffer[: top.end])
            del self._buffer[: top.end]
        return Message(raw, top)

    def _parse(self, start: int, depth: int) -> Frame | None:
        """Parse the value that begins at `start`; returns None while it is incomplete."""
        if start >= len(self._buffer):
            return None
        kind = self._buffer[start]
        if kind not in (ERROR, STATUS, NUMBER, BULK, ARRAY):
            raise Malformed(f"no RESP type {chr(kind)!r}")
        line_end = self._buffer.find(CRLF, start, start + MAX_LINE_BYTES)
        if line_end < 0:
            if len(self._buffer) - start >= MAX_LINE_BYTES:
                raise Malformed("line too long")
            return None
        line = bytes(self._buffer[start + 1 : line_end])
        line_end += CRLF_BYTES
        if kind == BULK:
            return self._parse_bulk(start, line_end, line)
        if kind == ARRAY:
            return self._parse_array(start, line_end, line, depth)
        if kind == NUMBER and not line.removeprefix(b"-").isdigit():
            raise Malformed("not a number")
        return Frame(kind, start, line_end, line)

    def _parse_bulk(self, start: int, body_start: int, line: bytes) -> Frame | None:
        if line == b"-1":
            return Frame(BULK, start, body_start, None)
        body_end = body_start + _read_length(line, self.max_value_bytes, "value too long")
        end = body_end + CRLF_BYTES
        if len(self._buffer) < end:
            self._needed = end
            return None
        if self._buffer[body_end:end] != CRLF:
            raise Malformed("value longer than told")
        return Frame(BULK, start, end, bytes(self._buffer[body_start:body_end]))

    def _parse_array(self, start: int, item_start: int, line: bytes, depth: int) -> Frame | None:
        if line == b"-1":
            return Frame(ARRAY, start, item_start, None)
        if depth + 1 >= MAX_DEPTH:
            raise Malformed("nested too deep")
        items: list[Frame] = []
        for _ in range(_read_length(line, MAX_ARRAY_ITEMS, "too many items")):
            item = self._parse(item_start, depth + 1)
            if item is None:
                return None
            items.append(item)
            item_start = item.end
        return Frame(ARRAY, start, item_start, items)


def _read_length(line: bytes, limit: int, error: str) -> int:
    """Parse a length. Raises Malformed, with the text `error` if it is over the limit."""
    # Messages are forwarded unchanged: a length that other parsers may reject, such as 007, would cost a
    # connection to a server.
    if not line.isdigit() or (line.startswith(b"0") and line != b"0"):
        raise Malformed("not a length")
    if len(line) > MAX_LENGTH_DIGITS or int(line) > limit:
        raise Malformed(error)
    return int(line)


def bulk(body: bytes) -> bytes:
    """Encode a value as a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(body), body)
