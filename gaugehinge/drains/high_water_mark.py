"""The revision up to which leases were issued, kept in the machine's memory where no restore reaches it.

A control plane that was killed and is back on its own store knows all that nodes may hold: each ceiling was
in the store before the node was told. It cannot know by the store alone, which may have been restored to an
older one together with everything that lies beside it. So before anything is issued, the store's revision and
its digest are written to a file in memory (`tmpfs`): that outlives the process, not the machine, and is never
copied. A store that has this revision with this digest has all that was issued on this machine. A control
plane on another machine may have issued leases by a copy since; it raises nothing before lease and close
timeout are over, so the mark counts for less than that. Where there is no such file, a start waits for these
times.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import msgspec
from loguru import logger
from xxhash import xxh3_128_hexdigest

from .checksum import seal, unseal

SHARED_MEMORY = Path("/dev/shm")  # of the machine, or of the container
MOUNTS_FILE = Path("/proc/self/mounts")
MEMORY_FILESYSTEMS = ("tmpfs", "ramfs")
FILE_SIZE = 512  # bytes, always: a write in place needs no room
REFRESH_INTERVAL = 0.5  # seconds after which an unchanged mark is written again

DigestOf = Callable[[int], str]  # of a revision in the store's chain; empty where it has no such revision


class HighWaterMark(
    msgspec.Struct,
    frozen=True,
    rename={"incarnation": "life", "digest": "mark", "may_raise": "good", "written_at": "at"},
):
    """Up to where leases were issued."""

    incarnation: str  # of the store
    revision: int
    digest: str  # of that revision
    may_raise: bool  # the issuer might raise leases, as it had waited or had a current store itself
    written_at: float  # seconds, `boot_clock`

    def covers(self, incarnation: str, digest_of: DigestOf) -> bool:
        """Whether a store has this revision, issued by a run that might raise leases."""
        if not self.may_raise or self.incarnation != incarnation:
            return False
        return bool(self.digest) and digest_of(self.revision) == self.digest


def in_memory(folder: Path, mounts: Path = MOUNTS_FILE) -> bool:
    """Whether a folder is the mount point of a filesystem in memory."""
    try:
        lines = mounts.read_text().splitlines()
    except OSError:
        return False
    mounted = [fields for line in lines if len(fields := line.split()) > 2]
    return any(fields[1] == str(folder) and fields[2] in MEMORY_FILESYSTEMS for fields in mounted)


class HighWaterMarkFile:
    """The file of one store's control plane."""

    def __init__(self, path: Path | None) -> None:
        """None: there is no place for it."""
        self.path = path
        self._last: HighWaterMark | None = None  # as written last

    @classmethod
    def for_store(cls, store: Path, folder: Path = SHARED_MEMORY) -> HighWaterMarkFile:
        """The file that belongs to a store's path; without a place where the folder is not in memory."""
        if not in_memory(folder):
            return cls(None)
        name = xxh3_128_hexdigest(str(store.resolve()).encode())
        return cls(folder / f"gaugehinge-drains-{os.geteuid()}-{name}")

    def covers(self, incarnation: str, digest_of: DigestOf, now: float, max_age: float) -> bool:
        """Whether a store has all that was issued, by a mark that is less than `max_age` seconds old."""
        mark = self._read()
        if mark is None or not 0.0 <= now - mark.written_at < max_age:
            return False
        return mark.covers(incarnation, digest_of)

    def _read(self) -> HighWaterMark | None:
        if self.path is None:
            return None
        try:
            body = unseal(self.path.read_bytes().rstrip(b" "))
            return msgspec.json.decode(body, type=HighWaterMark)
        except (OSError, ValueError, msgspec.MsgspecError):
            return None

    def advance(
        self, incarnation: str, revision: int, digest_of: DigestOf, may_raise: bool, now: float
    ) -> bool:
        """Note that leases are issued by this revision from now on.

        False: that could not be written and an older mark stands; nothing may be issued.
        """
        if self.path is None or self._is_recent(incarnation, revision, may_raise, now):
            return True
        mark = HighWaterMark(incarnation, revision, digest_of(revision), may_raise, now)
        try:
            _write_in_place(self.path, seal(msgspec.json.encode(mark)).ljust(FILE_SIZE))
        except OSError as error:
            return self._stop_recording(self.path, error)
        self._last = mark
        return True

    def _is_recent(self, incarnation: str, revision: int, may_raise: bool, now: float) -> bool:
        last = self._last
        if last is None or now - last.written_at >= REFRESH_INTERVAL:
            return False
        return (last.incarnation, last.revision, last.may_raise) == (incarnation, revision, may_raise)

    def delete(self) -> None:
        """Remove the file, as a power loss would."""
        if self.path is not None:
            self.path.unlink(missing_ok=True)

    def _stop_recording(self, path: Path, error: OSError) -> bool:
        """An old mark must not outlive what is issued now: a store restored to it would be trusted."""
        self.path = None
        try:
            path.unlink(missing_ok=True)
        except OSError as unlink_error:
            self.path = path
            logger.error(
                "drains: no lease is issued: the old high-water mark {} cannot be removed: {}",
                path,
                unlink_error,
            )
            return False
        logger.warning("drains: the next start will wait, {} cannot be written: {}", path, error)
        return True


def _write_in_place(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_NOFOLLOW, 0o600)
    try:
        if os.pwrite(descriptor, data, 0) != len(data):
            raise OSError("not all was written")
    finally:
        os.close(descriptor)
