"""Stores the feed that a router applied last in a file: a digest, then the feed.

The methods block, so they are called from a thread.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
from xxhash import xxh3_128_hexdigest

from ..store.atomic_file import AtomicFile
from ..tenancy.feed import Feed
from .errors import FeedError


class FeedSnapshot:
    """A snapshot file that is replaced atomically."""

    def __init__(self, path: str) -> None:
        """`path`: the file; temporary files are written beside it."""
        self.path = Path(path)
        self._file = AtomicFile(path)

    def save(self, feed: Feed) -> None:
        """Replace the file. Raises OSError."""
        body = msgspec.json.encode(feed)
        self._file.replace(xxh3_128_hexdigest(body).encode() + b"\n" + body)

    def load(self) -> Feed | None:
        """Read the file; None if there is none. Raises FeedError if it is unreadable or corrupt."""
        self._file.remove_abandoned_partial_files()
        try:
            digest, _, body = self.path.read_bytes().partition(b"\n")
            if digest.decode() != xxh3_128_hexdigest(body):
                raise FeedError("snapshot: digest does not match")
            return msgspec.json.decode(body, type=Feed)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            raise FeedError(f"snapshot: {error}") from error
