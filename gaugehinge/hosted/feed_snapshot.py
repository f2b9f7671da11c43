"""The feed that a router followed last, in a file: a digest, then the feed. Blocking; used from a thread."""

from __future__ import annotations

import os
import secrets
from contextlib import suppress
from pathlib import Path

import msgspec
from xxhash import xxh3_128_hexdigest

from ..tenancy.feed import Feed
from .errors import FeedError

OWNER_ONLY = 0o600  # hashes of secrets are in it


class FeedSnapshot:
    """One file, written whole or not at all."""

    def __init__(self, path: str) -> None:
        """`path`: the file; parts of it are written beside it."""
        self.path = Path(path)
        # A name of its own: the process before may be amid the same, and both would write into one file.
        self.part = self.path.with_name(f"{self.path.name}.{secrets.token_hex(4)}.part")

    def save(self, feed: Feed) -> None:
        """Replace the file. Raises OSError."""
        body = msgspec.json.encode(feed)
        descriptor = os.open(self.part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, OWNER_ONLY)
        with os.fdopen(descriptor, "wb") as file:
            file.write(xxh3_128_hexdigest(body).encode() + b"\n" + body)
            file.flush()
            os.fsync(file.fileno())
        self.part.replace(self.path)

    def load(self) -> Feed | None:
        """Read the file; None where there is none. Raises FeedError where it is not whole."""
        for left in self.path.parent.glob(f"{self.path.name}.*.part"):
            with suppress(OSError):
                left.unlink()  # of a process that was killed amid it
        try:
            digest, _, body = self.path.read_bytes().partition(b"\n")
            if digest.decode() != xxh3_128_hexdigest(body):
                raise FeedError("snapshot: not whole")
            return msgspec.json.decode(body, type=Feed)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            raise FeedError(f"snapshot: {error}") from error
