"""The feed that a router followed last, in a file: a digest, then the feed. Blocking; used from a thread."""

from __future__ import annotations

from pathlib import Path

import msgspec
from xxhash import xxh3_128_hexdigest

from ..store.atomic_file import AtomicFile
from ..tenancy.feed import Feed
from .errors import FeedError


class FeedSnapshot:
    """One file, written whole or not at all."""

    def __init__(self, path: str) -> None:
        """`path`: the file; parts of it are written beside it."""
        self.path = Path(path)
        self._file = AtomicFile(path)

    def save(self, feed: Feed) -> None:
        """Replace the file. Raises OSError."""
        body = msgspec.json.encode(feed)
        self._file.replace(xxh3_128_hexdigest(body).encode() + b"\n" + body)

    def load(self) -> Feed | None:
        """Read the file; None where there is none. Raises FeedError where it is not whole."""
        self._file.remove_abandoned_partial_files()
        try:
            digest, _, body = self.path.read_bytes().partition(b"\n")
            if digest.decode() != xxh3_128_hexdigest(body):
                raise FeedError("snapshot: not whole")
            return msgspec.json.decode(body, type=Feed)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            raise FeedError(f"snapshot: {error}") from error
