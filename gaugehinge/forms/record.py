"""Records of a run: rows of msgpack arrays in one file a process, each written with one call.

A row is a list that begins with its kind. Files are append-only; one cut off in its last row is
read up to there.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

HEAD = struct.Struct("<I")
MAGIC = b"gaugehinge record 1\n"
FLUSH_BYTES = 256 * 1024  # gathered before a write: a process must not wait for its disk with each row
MOST_ROW = 1 << 20


class BadRecord(ValueError):
    """The file is no record, or spoilt before its end."""


class Recorder:
    """Writes rows. What it holds is bounded by FLUSH_BYTES."""

    def __init__(self, path: str | Path) -> None:
        self._file: BinaryIO = open(path, "wb")  # noqa: SIM115 - it lives as long as the run
        self._file.write(MAGIC)
        self._buffer = bytearray()
        self._encode = msgspec.msgpack.Encoder().encode

    def row(self, *parts: Any) -> None:
        """Add a row: its kind, then its figures."""
        data = self._encode(parts)
        self._buffer += HEAD.pack(len(data))
        self._buffer += data
        if len(self._buffer) >= FLUSH_BYTES:
            self.flush()

    def flush(self) -> None:
        self._file.write(self._buffer)
        self._file.flush()
        self._buffer.clear()

    def close(self) -> None:
        if not self._file.closed:
            self.flush()
            self._file.close()


def rows(path: str | Path) -> Iterator[list[Any]]:
    """The rows of a file. Raises BadRecord on a file that is no record."""
    decode = msgspec.msgpack.Decoder().decode
    with open(path, "rb") as file:
        if file.read(len(MAGIC)) != MAGIC:
            raise BadRecord(f"{path}: no record")
        while len(head := file.read(HEAD.size)) == HEAD.size:
            length = HEAD.unpack(head)[0]
            if length > MOST_ROW:
                raise BadRecord(f"{path}: a row of {length} bytes")
            data = file.read(length)
            if len(data) < length:
                return  # its process was killed within this row
            try:
                row = decode(data)
            except msgspec.DecodeError as bad:
                raise BadRecord(f"{path}: {bad}") from None
            if not isinstance(row, list) or not row:
                raise BadRecord(f"{path}: a row that is no list")
            yield row


def all_rows(paths: Iterable[Path]) -> Iterator[list[Any]]:
    """The rows of several files, file after file."""
    for path in paths:
        yield from rows(path)
