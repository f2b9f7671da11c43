"""Incremental RESP2 parser without I/O. A message keeps its raw bytes, so that they can be forwarded."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import NamedTuple

MAX_VALUE_BYTES = 64 * 1024  # in a client's bulk string; set by the protocol
MAX_REPLY_BYTES = 1 << 20  # in a server's bulk string: some values are several times the clients' limit
MAX_LINE_BYTES = 1024  # in the line of a status, an error, a number or a length
MAX_ARRAY_ITEMS = 16  # no command or reply has as many
MAX_DEPTH = 3
MAX_OVERHEAD_BYTES = 16 * 1024  # in a message, besides one value
MAX_FRAMES = 64  # values in a message, the arrays included
MAX_LENGTH_DIGITS = 7
FRAME_BYTES = 200  # memory of a parsed value, besides the bytes of its message

NO_COMMAND = "a command is an array of bulk strings"
CRLF = b"\r\n"
CRLF_BYTES = 2
NULL_BODY = -1  # offset of the body of a null
INCOMPLETE = -1  # end of an array of which not all items have been parsed
ERROR, STATUS, NUMBER, BULK, ARRAY = b"-+:$*"  # the first byte of a value
ARRAY_HEAD = re.compile(rb"\*([1-9]|1[0-6])\r\n")  # up to MAX_ARRAY_ITEMS
BULK_HEAD = re.compile(rb"\$(0|[1-9][0-9]{0,4})\r\n")


class Malformed(Exception):
    """The bytes are not valid RESP2 or exceed the limits; the text says which. The connection is unusable."""


@dataclass(slots=True)
class Frame:
    """One RESP value and its position in the message, as byte offsets."""

    kind: int
    start: int
    end: int
    body_start: int  # of a value that is not an array; NULL_BODY for the null bulk string or array
    body_end: int
    message: _Received
    items: list[Frame] | None = None  # of an array

    @property
    def is_null(self) -> bool:
        """Whether the value is the null bulk string or array."""
        return self.items is None and self.body_start == NULL_BODY

    @property
    def body(self) -> bytes | list[Frame] | None:
        """The value: a copy of its bytes, the items of an array, or None for a null.

        It is copied on demand, since long values are usually forwarded with their type byte and length.
        """
        if self.items is not None:
            return self.items
        if self.is_null:
            return None
        return self.message.raw[self.body_start : self.body_end]


class _Received:
    """The raw bytes of a message, which its frames share; set once the message is complete."""

    __slots__ = ("raw",)
    raw: bytes


class Message(NamedTuple):
    """A complete top-level value: its raw bytes and its parsed parts."""

    raw: bytes
    top: Frame

    def part(self, frame: Frame) -> bytes:
        """Return the raw bytes of a part, including its type byte, length and terminator."""
        return self.raw[frame.start : frame.end]


class Parser:
    """Takes received bytes and returns complete messages. No byte of a message is parsed twice."""

    __slots__ = (
        "_buffer",
        "_frame_count",
        "_message",
        "_needed",
        "_open_arrays",
        "_position",
        "commands_only",
        "max_value_bytes",
    )

    def __init__(self, max_value_bytes: int = MAX_VALUE_BYTES, commands_only: bool = False) -> None:
        """Create a parser. A bulk string longer than `max_value_bytes` is malformed.

        `commands_only`: so is an array that holds anything but bulk strings, as soon as that begins. Many
        short values would take many times the memory of their bytes.
        """
        self.max_value_bytes = max_value_bytes
        self.commands_only = commands_only
        self._buffer = bytearray()
        self._begin_message()

    def _begin_message(self) -> None:
        self._message = _Received()
        self._position = 0  # of the first byte that is not parsed; the message begins at 0
        self._needed = 0  # with fewer bytes the next value cannot be complete
        self._open_arrays: list[tuple[Frame, int]] = []  # with the number of their items, innermost last
        self._frame_count = 0  # values that were parsed

    def __len__(self) -> int:
        """Number of bytes that are not part of a complete message yet."""
        return len(self._buffer)

    @property
    def held_bytes(self) -> int:
        """Memory that the unparsed bytes and the parsed values take."""
        return len(self._buffer) + FRAME_BYTES * self._frame_count

    @property
    def expected_bytes(self) -> int:
        """Length of the incomplete message as far as it is known: what arrived and the value announced."""
        return max(len(self._buffer), self._needed)

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def clear(self) -> None:
        """Discard what was received of the incomplete message and behind it."""
        self._buffer.clear()
        self._begin_message()

    def unparsed(self) -> bytes:
        """Return the bytes after the last complete message."""
        return bytes(self._buffer)

    def next(self) -> Message | None:
        """Return the next complete message, or None if more bytes are needed. Raises Malformed."""
        if len(self._buffer) < self._needed:
            return None
        while (frame := self._next_frame()) is not None:
            top = self._add_to_array(frame)
            if top is not None:
                return self._take_message(top)
        if len(self._buffer) > self.max_value_bytes + MAX_OVERHEAD_BYTES:
            raise Malformed("message too long")
        return None

    def discard(self, limit: int) -> int:
        """Discard up to `limit` complete messages; returns how many, 0 if the next one is incomplete.

        Commands are only measured, which takes less than half the time of parsing. Raises Malformed.
        """
        count = end = 0
        if self._position == 0:  # nothing of the next message is parsed
            while count < limit and (next_end := self._command_end(end)):
                end = next_end
                count += 1
        if count:
            del self._buffer[:end]
            self._begin_message()
            return count
        return 0 if self.next() is None else 1

    def _command_end(self, start: int) -> int:
        """Return the end of a complete array of bulk strings, or 0 for anything else."""
        head = ARRAY_HEAD.match(self._buffer, start)
        if head is None:
            return 0
        end = head.end()
        for _ in range(int(head[1])):
            item = BULK_HEAD.match(self._buffer, end)
            if item is None:
                return 0
            body_end = item.end() + int(item[1])
            end = body_end + CRLF_BYTES
            if self._buffer[body_end:end] != CRLF or int(item[1]) > self.max_value_bytes:
                return 0
        return 0 if end - start > self.max_value_bytes + MAX_OVERHEAD_BYTES else end

    def _take_message(self, top: Frame) -> Message:
        """Remove a complete message from the buffer."""
        if top.end == len(self._buffer):  # nearly always the case
            raw = bytes(self._buffer)
            self._buffer.clear()
        else:
            raw = bytes(self._buffer[: top.end])
            del self._buffer[: top.end]
        self._message.raw = raw
        self._begin_message()
        return Message(raw, top)

    def _add_to_array(self, frame: Frame) -> Frame | None:
        """Add a value to the innermost open array; returns the top-level value once it is complete."""
        if frame.end == INCOMPLETE:
            return None  # an array that was just opened
        while self._open_arrays:
            array, count = self._open_arrays[-1]
            assert array.items is not None  # only arrays with items are open
            array.items.append(frame)
            if len(array.items) < count:
                return None
            self._open_arrays.pop()
            array.end = frame.end
            frame = array
        return frame

    def _next_frame(self) -> Frame | None:
        """Parse the next value, or the head of an array; returns None while it is incomplete."""
        start = self._position
        if start >= len(self._buffer):
            return None
        kind = self._buffer[start]
        if self.commands_only and self._open_arrays and kind != BULK:
            raise Malformed(NO_COMMAND)
        if kind not in (ERROR, STATUS, NUMBER, BULK, ARRAY):
            raise Malformed(f"no RESP type {chr(kind)!r}")
        line_end = self._buffer.find(CRLF, start, start + MAX_LINE_BYTES)
        if line_end < 0:
            if len(self._buffer) - start >= MAX_LINE_BYTES:
                raise Malformed("line too long")
            return None
        line = bytes(self._buffer[start + 1 : line_end])
        if kind == BULK:
            return self._parse_bulk(start, line_end + CRLF_BYTES, line)
        if kind == ARRAY:
            return self._parse_array_head(start, line_end + CRLF_BYTES, line)
        if kind == NUMBER and not line.removeprefix(b"-").isdigit():
            raise Malformed("not a number")
        return self._frame(kind, start, line_end + CRLF_BYTES, start + 1, line_end)

    def _frame(self, kind: int, start: int, end: int, body_start: int, body_end: int) -> Frame:
        """Create the frame of a complete value; parsing goes on behind it."""
        self._position = end
        self._frame_count += 1
        if self._frame_count > MAX_FRAMES:
            raise Malformed("too many values")
        return Frame(kind, start, end, body_start, body_end, self._message)

    def _parse_bulk(self, start: int, body_start: int, line: bytes) -> Frame | None:
        if line == b"-1":
            return self._frame(BULK, start, body_start, NULL_BODY, NULL_BODY)
        body_end = body_start + _read_length(line, self.max_value_bytes, "value too long")
        end = body_end + CRLF_BYTES
        if end > self.max_value_bytes + MAX_OVERHEAD_BYTES:
            raise Malformed("message too long")
        if len(self._buffer) < end:
            self._needed = end
            return None
        if self._buffer[body_end:end] != CRLF:
            raise Malformed("value longer than told")
        return self._frame(BULK, start, end, body_start, body_end)

    def _parse_array_head(self, start: int, items_start: int, line: bytes) -> Frame:
        if line == b"-1":
            return self._frame(ARRAY, start, items_start, NULL_BODY, NULL_BODY)
        if len(self._open_arrays) + 1 >= MAX_DEPTH:
            raise Malformed("nested too deep")
        count = _read_length(line, MAX_ARRAY_ITEMS, "too many items")
        array = self._frame(ARRAY, start, items_start, NULL_BODY, NULL_BODY)
        array.items = []
        if count:
            array.end = INCOMPLETE
            self._open_arrays.append((array, count))
        return array


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
