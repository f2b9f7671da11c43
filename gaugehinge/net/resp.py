"""RESP2, read piece by piece as it comes, with no I/O. What is not asked about stays the bytes that came."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

MAX_VALUE_BYTES = 64 * 1024  # bytes of a client's bulk string, by the protocol
MAX_REPLY_BYTES = 1 << 20  # of a server's: some give values of several times that, and they are whole
MAX_LINE_BYTES = 1024  # a status, an error, a number or a length
MAX_ARRAY_ITEMS = 16  # of an array: no command or answer has as many
MAX_DEPTH = 3
MAX_OVERHEAD_BYTES = 16 * 1024  # of a message beside one value
MAX_LENGTH_DIGITS = 7

ERROR, STATUS, NUMBER, BULK, ARRAY = b"-+:$*"


class Malformed(Exception):
    """The bytes are not RESP2, or past the limits; the text says how. The connection cannot go on."""


@dataclass(slots=True)
class Frame:
    """One RESP value and where it stands in its message."""

    kind: int
    start: int
    end: int
    body: bytes | list[Frame] | None  # None: the null bulk string or array


class Message(NamedTuple):
    """A whole value as it came, and its parts."""

    raw: bytes
    top: Frame

    def part(self, frame: Frame) -> bytes:
        """A part's own bytes, head and end included."""
        return self.raw[frame.start : frame.end]


class Parser:
    """Takes bytes as they come and gives whole messages."""

    def __init__(self, max_value_bytes: int = MAX_VALUE_BYTES) -> None:
        self.max_value_bytes = max_value_bytes
        self._buffer = bytearray()
        self._wanted = 0  # fewer bytes than this cannot be a whole message

    def __len__(self) -> int:
        return len(self._buffer)

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def unparsed(self) -> bytes:
        """What stands behind the last message."""
        return bytes(self._buffer)

    def next(self) -> Message | None:
        """The next whole message, or None until more has come."""
        if not self._buffer or len(self._buffer) < self._wanted:
            return None
        self._wanted = 0
        top = self._frame(0, 0)
        if top is None:
            if len(self._buffer) > self.max_value_bytes + MAX_OVERHEAD_BYTES:
                raise Malformed("message too long")
            return None
        if top.end == len(self._buffer):  # as nearly always
            raw = bytes(self._buffer)
            self._buffer.clear()
        else:
            raw = bytes(self._buffer[: top.end])
            del self._buffer[: top.end]
        return Message(raw, top)

    def _frame(self, start: int, depth: int) -> Frame | None:
        if start >= len(self._buffer):
            return None
        kind = self._buffer[start]
        if kind not in (ERROR, STATUS, NUMBER, BULK, ARRAY):
            raise Malformed(f"no RESP type {chr(kind)!r}")
        stop = self._buffer.find(b"\r\n", start, start + MAX_LINE_BYTES)
        if stop < 0:
            if len(self._buffer) - start >= MAX_LINE_BYTES:
                raise Malformed("line too long")
            return None
        line = bytes(self._buffer[start + 1 : stop])
        if kind == BULK:
            return self._bulk(start, stop + 2, line)
        if kind == ARRAY:
            return self._array(start, stop + 2, line, depth)
        if kind == NUMBER and not line.removeprefix(b"-").isdigit():
            raise Malformed("not a number")
        return Frame(kind, start, stop + 2, line)

    def _bulk(self, start: int, body: int, line: bytes) -> Frame | None:
        if line == b"-1":
            return Frame(BULK, start, body, None)
        length = _length(line, self.max_value_bytes, "value too long")
        end = body + length + 2
        if len(self._buffer) < end:
            self._wanted = end
            return None
        if self._buffer[end - 2 : end] != b"\r\n":
            raise Malformed("value longer than told")
        return Frame(BULK, start, end, bytes(self._buffer[body : end - 2]))

    def _array(self, start: int, place: int, line: bytes, depth: int) -> Frame | None:
        if line == b"-1":
            return Frame(ARRAY, start, place, None)
        if depth + 1 >= MAX_DEPTH:
            raise Malformed("nested too deep")
        items: list[Frame] = []
        for _ in range(_length(line, MAX_ARRAY_ITEMS, "too many items")):
            item = self._frame(place, depth + 1)
            if item is None:
                return None
            items.append(item)
            place = item.end
        return Frame(ARRAY, start, place, items)


def _length(line: bytes, most: int, complaint: str) -> int:
    # Sent on as it came, a length that others may not read (007) would end a connection to a server.
    if not line.isdigit() or (line.startswith(b"0") and line != b"0"):
        raise Malformed("not a length")
    if len(line) > MAX_LENGTH_DIGITS or int(line) > most:
        raise Malformed(complaint)
    return int(line)


def bulk(body: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(body), body)
