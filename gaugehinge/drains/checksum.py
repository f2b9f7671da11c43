"""Bodies of small files with a checksum before them, so that a torn write is noticed."""

from __future__ import annotations

from xxhash import xxh3_128_hexdigest


class ChecksumError(ValueError):
    """A file's body does not match its checksum."""


def seal(body: bytes) -> bytes:
    """The checksum in hexadecimal, a newline and the body."""
    return xxh3_128_hexdigest(body).encode() + b"\n" + body


def unseal(data: bytes) -> bytes:
    """The body of what `seal` made. Raises ChecksumError."""
    checksum, _, body = data.partition(b"\n")
    if checksum.decode("ascii", "replace") != xxh3_128_hexdigest(body):
        raise ChecksumError("not whole")
    return body
