"""What a keeper told by last, where no restore of a store reaches: in the machine's memory.

A keeper that was killed and is back on its own store knows all that nodes may hold: each ceiling was in the
store before it was told. It cannot tell that by the store alone, which may have been put back to an older
one, with everything that lies beside it. So before anything is told the revision and its mark in the
store's chain are written to a file in memory (`tmpfs`): it outlives the process, not the machine, and
nobody keeps copies of it. A store that has this revision with this mark has all that was told, here: a
keeper on another machine may have told by a copy since. That one raises nothing before lease and closing
time are over; so the word is good for less than these. Where there is no such file, or no such memory, the
keeper waits as it always did.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
from loguru import logger
from xxhash import xxh3_128_hexdigest

MEMORY = Path("/dev/shm")  # of the machine, or of the container
MOUNTS = Path("/proc/self/mounts")
KINDS = ("tmpfs", "ramfs")
LENGTH = 512  # bytes of the file, always: a write in place needs no room
EACH = 0.5  # seconds after which it is written again with nothing new to say


def boot_clock() -> float:
    """Seconds of a clock that nobody sets and that goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HighWaterMark(msgspec.Struct, frozen=True):
    """Up to where was told."""

    life: str  # of the store
    revision: int
    mark: str  # of that revision in the store's chain
    good: bool  # whoever told it might raise grants, as it had waited or knew all itself
    at: float  # by the machine's clock that goes on while it sleeps


def in_memory(folder: Path, mounts: Path = MOUNTS) -> bool:
    """Whether a folder is a mount of the machine's memory."""
    try:
        lines = mounts.read_text().splitlines()
    except OSError:
        return False
    mounted = [words for line in lines if len(words := line.split()) > 2]
    return any(words[1] == str(folder) and words[2] in KINDS for words in mounted)


class HighWaterMarkFile:
    """The file of one store's keeper."""

    def __init__(self, path: Path | None) -> None:
        """None: there is no place for it."""
        self.path = path
        self.written: tuple[str, int, bool] | None = None
        self.written_at = 0.0

    @classmethod
    def beside(cls, store: Path, folder: Path = MEMORY) -> HighWaterMarkFile:
        """That of a store's path, in memory; none where there is no memory to be had."""
        if not in_memory(folder):
            return cls(None)
        name = xxh3_128_hexdigest(str(store.resolve()).encode())
        return cls(folder / f"gaugehinge-drains-{os.geteuid()}-{name}")

    def of(self, life: str, mark: Callable[[int], str], now: float, within: float) -> bool:
        """Whether this store has all that was told, by one that knew all, less than `within` seconds ago.
        `mark`: of a revision in its chain, empty where it has none."""
        if self.path is None:
            return False
        try:
            told, _, body = self.path.read_bytes().rstrip(b" ").partition(b"\n")
            if not body or told.decode("ascii", "replace") != xxh3_128_hexdigest(body):
                return False
            word = msgspec.json.decode(body, type=HighWaterMark)
        except (OSError, msgspec.MsgspecError):
            return False
        if not (word.good and word.life == life and 0.0 <= now - word.at < within):
            return False
        return bool(word.mark) and mark(word.revision) == word.mark

    def say(self, life: str, revision: int, mark: Callable[[int], str], good: bool, now: float) -> bool:
        """From now on is told by this revision. False: that stands nowhere, and an older word does: nothing
        may be told."""
        if self.path is None or (self.written == (life, revision, good) and now - self.written_at < EACH):
            return True
        body = msgspec.json.encode(HighWaterMark(life, revision, mark(revision), good, now))
        data = (xxh3_128_hexdigest(body).encode() + b"\n" + body).ljust(LENGTH)
        try:
            number = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_NOFOLLOW, 0o600)
            try:
                if os.pwrite(number, data, 0) != len(data):
                    raise OSError("not all was written")
            finally:
                os.close(number)
        except OSError as bad:
            return self._give_up(bad)
        self.written, self.written_at = (life, revision, good), now
        return True

    def forget(self) -> None:
        """As the machine does that loses its power."""
        if self.path is not None:
            self.path.unlink(missing_ok=True)

    def _give_up(self, bad: OSError) -> bool:
        """An old word must not stand beside what is told now: a store put back to it would be believed."""
        path, self.path = self.path, None
        try:
            path.unlink(missing_ok=True)
        except OSError as worse:
            self.path = path
            logger.error("drains: nothing is told: an old word in {} cannot be taken away: {}", path, worse)
            return False
        logger.warning("drains: the next start will wait, {} cannot be written: {}", path, bad)
        return True
