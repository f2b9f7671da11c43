"""Incremental parser for RESP2 and RESP3, and an encoder for either version. No I/O.

Source: the public RESP specification. All its types are parsed except the streamed ones, which are rejected
with an error: their length is not known before their end, and no client or server here needs them.

Values are plain Python values: `bytes` for a bulk string, `int`, `float`, `bool`, `None` for either null,
`list` for an array, and the small classes below where Python has no built-in type.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from math import inf, isinf, isnan
from typing import Any, NamedTuple

from ..net.resp import Malformed

DOUBLE = re.compile(rb"[+-]?(\d+(\.\d*)?|\.\d+)([eE][+-]?\d+)?")
INTEGER = re.compile(rb"[+-]?\d{1,19}")
BIG_INTEGER = re.compile(rb"[+-]?\d+")
INT64_BOUND = 1 << 63
SPECIAL_FLOATS = {b"inf": inf, b"+inf": inf, b"-inf": -inf, b"nan": float("nan")}
ITEM_BYTES = 100  # memory of a parsed value, besides its bytes
MAX_FRAMING_BYTES = 64 * 1024  # for the type lines and terminators of one message, in addition to its values


class Status(bytes):
    """A simple string."""


class Error(bytes):
    """A simple or bulk error; its first word is the error code."""

    @property
    def code(self) -> bytes:
        """The error code: `MOVED` for `MOVED 3999 127.0.0.1:6381`."""
        return self.split(b" ", 1)[0]


class BigNumber(int):
    """A big number, which may exceed 64 bits."""


class Verbatim(NamedTuple):
    """A verbatim string: text with its format, a code of three bytes such as `txt`."""

    text_format: bytes
    text: bytes


class Pairs(list):
    """A map as a list of pairs, since keys may be of any type, even unhashable; keeps their order."""


class Set(list):
    """A set as a list of its elements in the order received."""


class Push(list):
    """A push message: sent by a server unasked, between replies, and not itself a reply."""


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits for one message. Each is checked before memory is allocated."""

    string_bytes: int = 64 * 1024  # of one string
    items: int = 4096  # in all aggregates of a message together
    depth: int = 7  # of nested aggregates
    line_bytes: int = 1024  # of a simple string, an error, a number or a length line
    message_bytes: int = 1 << 20  # of a whole message


CLIENT_LIMITS = Limits()
SERVER_LIMITS = Limits(string_bytes=1 << 20, items=100_000, depth=8, message_bytes=4 << 20)


class Message(NamedTuple):
    """A complete value and the bytes that it was parsed from."""

    value: Any
    raw: bytes


@dataclass(slots=True)
class _OpenAggregate:
    """An aggregate of which not all elements have been parsed."""

    kind: int
    remaining: int
    items: list[Any] = field(default_factory=list)


INCOMPLETE = object()  # more bytes or elements are needed
AGGREGATE_OPENED = object()  # the start of an aggregate was parsed
STATUS, ERROR, NUMBER, BULK, ARRAY = b"+-:$*"
NULL, FLOAT, BOOL, BLOB_ERROR, VERBATIM, BIG_NUMBER, MAP, SET, ATTRIBUTE, PUSH = b"_,#!=(%~|>"
STREAMED = b"$*~%!=>|"
TYPE_NAMES = {NUMBER: "number", NULL: "null", BOOL: "boolean", FLOAT: "double", BIG_NUMBER: "big number"}
VALUES_PER_ITEM = {ARRAY: 1, SET: 1, PUSH: 1, MAP: 2, ATTRIBUTE: 2}


class Reader:
    """Takes bytes as they are received and returns complete messages.

    Nothing is parsed twice: an aggregate of thousands of items costs as much in small pieces as in one.
    """

    def __init__(self, limits: Limits = CLIENT_LIMITS) -> None:
        self.limits = limits
        self.clear()

    def clear(self) -> None:
        """Discard what was received of the incomplete message and behind it."""
        self._buffer = bytearray()
        self._position = 0  # of the next unparsed byte; the current message begins at 0
        self._bytes_needed = 0  # buffer length without which the next frame cannot be parsed
        self._stack: list[_OpenAggregate] = []
        self._item_count = 0
        self._parsed_count = 0  # values of the current message

    def __len__(self) -> int:
        return len(self._buffer)

    @property
    def held_bytes(self) -> int:
        """Memory that the unparsed bytes and the parsed values take; strings are there a second time."""
        return len(self._buffer) + self._position + ITEM_BYTES * self._parsed_count

    @property
    def expected_bytes(self) -> int:
        """Length of the incomplete message as far as it is known: what arrived and the string announced."""
        return max(len(self._buffer), self._bytes_needed)

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next(self) -> Message | None:
        """The next complete message, or None if more bytes are needed.

        Raises:
            Malformed: the input is invalid or exceeds a limit. The reader cannot be used any further.
        """
        while True:
            if len(self._buffer) < self._bytes_needed or self._position >= len(self._buffer):
                self._check_message_size()
                return None
            value = self._read_frame()
            self._parsed_count += value is not INCOMPLETE
            if value is INCOMPLETE:
                self._check_message_size()
                return None
            if value is AGGREGATE_OPENED:
                continue
            value = self._add_to_aggregate(value)
            if value is not INCOMPLETE:
                break
        raw = bytes(self._buffer[: self._position])
        del self._buffer[: self._position]
        self._position = self._bytes_needed = self._item_count = self._parsed_count = 0
        return Message(value, raw)

    def _check_message_size(self) -> None:
        if len(self._buffer) > self.limits.message_bytes + MAX_FRAMING_BYTES:
            raise Malformed("message too long")

    def _add_to_aggregate(self, value: Any) -> Any:
        """Add a complete value to the innermost open aggregate; returns the message's value once complete."""
        while self._stack:
            top = self._stack[-1]
            top.items.append(value)
            top.remaining -= 1
            if top.remaining:
                return INCOMPLETE
            self._stack.pop()
            if top.kind == ATTRIBUTE:
                return INCOMPLETE  # precedes a value and is dropped
            value = _build_aggregate(top.kind, top.items)
        return value

    def _read_frame(self) -> Any:
        """Parse one frame; returns a value, AGGREGATE_OPENED or INCOMPLETE."""
        buffer, position = self._buffer, self._position
        kind = buffer[position]
        line_end = buffer.find(b"\r\n", position, position + self.limits.line_bytes)
        if line_end < 0:
            if len(buffer) - position >= self.limits.line_bytes:
                raise Malformed("line too long")
            return INCOMPLETE
        line = bytes(buffer[position + 1 : line_end])
        if kind in VALUES_PER_ITEM:
            return self._open_aggregate(kind, line, line_end + 2)
        if kind in (BULK, VERBATIM, BLOB_ERROR):
            return self._read_string(kind, line, line_end + 2)
        value = _parse_scalar(kind, line)
        self._position = line_end + 2
        return value

    def _open_aggregate(self, kind: int, line: bytes, start: int) -> Any:
        if kind == ARRAY and line == b"-1":
            self._position = start
            return None
        if len(self._stack) + 1 > self.limits.depth:
            raise Malformed("nested too deep")
        count = _parse_length(kind, line, self.limits.items, "too many items") * VALUES_PER_ITEM[kind]
        self._item_count += count
        if self._item_count > self.limits.items:
            raise Malformed("too many items")
        self._position = start
        if count:
            self._stack.append(_OpenAggregate(kind, count))
            return AGGREGATE_OPENED
        return AGGREGATE_OPENED if kind == ATTRIBUTE else _build_aggregate(kind, [])

    def _read_string(self, kind: int, line: bytes, start: int) -> Any:
        if kind == BULK and line == b"-1":
            self._position = start
            return None
        end = start + _parse_length(kind, line, self.limits.string_bytes, "value too long")
        if end + 2 > self.limits.message_bytes + MAX_FRAMING_BYTES:
            raise Malformed("message too long")
        if len(self._buffer) < end + 2:
            self._bytes_needed = end + 2
            return INCOMPLETE
        if self._buffer[end : end + 2] != b"\r\n":
            raise Malformed("value longer than told")
        self._position, self._bytes_needed = end + 2, 0
        text = bytes(self._buffer[start:end])
        if kind == BULK:
            return text
        if kind == BLOB_ERROR:
            return Error(text)
        if len(text) < 4 or text[3:4] != b":":
            raise Malformed("verbatim text with no format")
        return Verbatim(text[:3], text[4:])


def _build_aggregate(kind: int, items: list[Any]) -> Any:
    if kind == ARRAY:
        return items
    if kind == SET:
        return Set(items)
    if kind == PUSH:
        return Push(items)
    return Pairs(zip(items[::2], items[1::2], strict=True))


def _parse_scalar(kind: int, line: bytes) -> Any:
    if kind == STATUS:
        return Status(line)
    if kind == ERROR:
        return Error(line)
    if kind == NUMBER and INTEGER.fullmatch(line) and -INT64_BOUND <= int(line) < INT64_BOUND:
        return int(line)
    if kind == NULL and not line:
        return None
    if kind == BOOL and line in (b"t", b"f"):
        return line == b"t"
    if kind == FLOAT and (line.lower() in SPECIAL_FLOATS or DOUBLE.fullmatch(line)):
        return SPECIAL_FLOATS[line.lower()] if line.lower() in SPECIAL_FLOATS else float(line)
    if kind == BIG_NUMBER and BIG_INTEGER.fullmatch(line):
        return BigNumber(line)
    if kind in TYPE_NAMES:
        raise Malformed(f"not a {TYPE_NAMES[kind]}")
    if kind in b";.":
        raise Malformed("streamed types are not taken")
    raise Malformed(f"no RESP type {chr(kind)!r}")


def _parse_length(kind: int, line: bytes, maximum: int, error_text: str) -> int:
    if line == b"?" and kind in STREAMED:
        raise Malformed("streamed types are not taken")
    if not line.isdigit() or (line.startswith(b"0") and line != b"0"):
        raise Malformed("not a length")
    if len(line) > 9 or int(line) > maximum:
        raise Malformed(error_text)
    return int(line)


# -- encoding


def encode(value: Any, version: int = 2) -> bytes:
    """Encode a value for RESP version 2 or 3.

    RESP2 lacks the newer types: as servers do, a map becomes a flat array and a boolean a number.

    Raises:
        TypeError: the value, or one within it, has no RESP type.
    """
    out: list[bytes] = []
    _encode(value, version >= 3, out)
    return b"".join(out)


def _encode(value: Any, is_resp3: bool, out: list[bytes]) -> None:
    if value is None:
        out.append(b"_\r\n" if is_resp3 else b"$-1\r\n")
    elif isinstance(value, bool):
        out.append((b"#t\r\n" if value else b"#f\r\n") if is_resp3 else b":%d\r\n" % value)
    elif isinstance(value, BigNumber):
        out.append(b"(%d\r\n" % value if is_resp3 else bulk(b"%d" % value))
    elif isinstance(value, int):
        out.append(b":%d\r\n" % value)
    elif isinstance(value, float):
        text = _float_text(value)
        out.append(b",%b\r\n" % text if is_resp3 else bulk(text))
    elif isinstance(value, Status):
        out.append(b"+%b\r\n" % bytes(value))
    elif isinstance(value, Error):
        out.append(b"-%b\r\n" % bytes(value))
    elif isinstance(value, bytes):
        out.append(bulk(value))
    elif isinstance(value, str):
        out.append(bulk(value.encode()))
    elif isinstance(value, Verbatim):
        text = b"%b:%b" % value
        out.append(b"=%d\r\n%b\r\n" % (len(text), text) if is_resp3 else bulk(value.text))
    elif isinstance(value, Pairs | dict):
        pairs = value.items() if isinstance(value, dict) else value
        out.append(b"%%%d\r\n" % len(value) if is_resp3 else b"*%d\r\n" % (2 * len(value)))
        for key, item in pairs:
            _encode(key, is_resp3, out)
            _encode(item, is_resp3, out)
    elif isinstance(value, list | tuple):
        type_mark = b"~" if isinstance(value, Set) else b">" if isinstance(value, Push) else b"*"
        out.append(b"%b%d\r\n" % (type_mark if is_resp3 else b"*", len(value)))
        for item in value:
            _encode(item, is_resp3, out)
    else:
        raise TypeError(f"value has no RESP type: {value!r}")


def _float_text(value: float) -> bytes:
    if isnan(value):
        return b"nan"
    if isinf(value):
        return b"inf" if value > 0 else b"-inf"
    return repr(value).encode()


def bulk(text: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(text), text)


def command(*words: bytes) -> bytes:
    """Encode a command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))
