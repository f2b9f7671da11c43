"""Contents of small files with a checksum in front, so that a torn write is detected."""

from __future__ import annotations

from xxhash import xxh3_128_hexdigest


class ChecksumError(ValueError):
    """A file's body does not match its checksum."""


def seal(body: bytes) -> bytes:
    """Return the hexadecimal checksum, a newline and the body."""
    return xxh3_128_hexdigest(body).encode() + b"\n" + body


def unseal(data: bytes) -> bytes:
    """Return the body of data made by `seal`. Raises ChecksumError."""
    checksum, _, body = data.partition(b"\n")
    if checksum.decode("ascii", "replace") != xxh3_128_hexdigest(body):
        raise ChecksumError("checksum mismatch")
    return body
