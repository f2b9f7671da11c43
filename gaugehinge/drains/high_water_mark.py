"""The store revision up to which leases were issued, kept in memory so that restoring files cannot revert it.

A control plane that restarts on its own store after a kill knows all connections that nodes may hold: each
ceiling was written to the store before the node was told. The store alone does not prove that it is current,
because it may have been restored from a backup together with all files beside it. So before anything is
issued, the store's revision and its digest are written to a file in memory (`tmpfs`). That file survives the
process but not a reboot of the machine, and it is never copied. A store that contains this revision with this
digest has everything that was issued on this machine. A control plane on another machine may have issued
leases from a copy of the store since; it raises no grant before the lease duration and the close timeout have
passed, so a mark is trusted only while it is younger than that. Without a mark, a start waits for these
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

SHARED_MEMORY = Path("/dev/shm")  # of the machine or the container
MOUNTS_FILE = Path("/proc/self/mounts")
MEMORY_FILESYSTEMS = ("tmpfs", "ramfs")
FILE_SIZE = 512  # bytes; the size is fixed so that a write in place needs no additional space
REFRESH_INTERVAL = 0.5  # seconds after which an unchanged mark is rewritten

DigestOf = Callable[[int], str]  # digest of a revision in the store's chain; empty if not in it


class HighWaterMark(
    msgspec.Struct,
    frozen=True,
    rename={"incarnation": "life", "digest": "mark", "may_raise": "good", "written_at": "at"},
):
    """The store revision up to which leases were issued."""

    incarnation: str  # of the store
    revision: int
    digest: str  # of that revision
    may_raise: bool  # the issuer could raise grants: it had waited, or its store was current
    written_at: float  # seconds, `boot_clock`

    def covers(self, incarnation: str, digest_of: DigestOf) -> bool:
        """Whether a store contains the marked revision, and the run that issued by it could raise grants."""
        if not self.may_raise or self.incarnation != incarnation:
            return False
        return bool(self.digest) and digest_of(self.revision) == self.digest


def in_memory(folder: Path, mounts: Path = MOUNTS_FILE) -> bool:
    """Whether a folder is the mount point of an in-memory file system."""
    try:
        lines = mounts.read_text().splitlines()
    except OSError:
        return False
    mounted = [fields for line in lines if len(fields := line.split()) > 2]
    return any(fields[1] == str(folder) and fields[2] in MEMORY_FILESYSTEMS for fields in mounted)


class HighWaterMarkFile:
    """The file that holds the high-water mark of one store."""

    def __init__(self, path: Path | None) -> None:
        """Keep the mark in the file at `path`; None if no in-memory folder is available."""
        self.path = path
        self._last: HighWaterMark | None = None  # as last written

    @classmethod
    def for_store(cls, store: Path, folder: Path = SHARED_MEMORY) -> HighWaterMarkFile:
        """Return the mark file of a store's path. It has no path itself if `folder` is not in memory."""
        if not in_memory(folder):
            return cls(None)
        name = xxh3_128_hexdigest(str(store.resolve()).encode())
        return cls(folder / f"gaugehinge-drains-{os.geteuid()}-{name}")

    def covers(self, incarnation: str, digest_of: DigestOf, now: float, max_age: float) -> bool:
        """Whether a mark less than `max_age` seconds old shows that a store has everything issued."""
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
        """Record that leases are issued from this store revision from now on.

        Return False if the mark could not be written and an older one remains; then nothing may be issued.
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
        """Remove a mark that can no longer be updated; return False if it cannot be removed.

        It must not outlast leases issued from now on: a store restored to its revision would be trusted.
        """
        self.path = None
        try:
            path.unlink(missing_ok=True)
        except OSError as unlink_error:
            self.path = path
            logger.error(
                "drains: no leases are issued because the old high-water mark {} cannot be removed: {}",
                path,
                unlink_error,
            )
            return False
        logger.warning(
            "drains: cannot write high-water mark {}, so the next start will wait before raising leases: {}",
            path,
            error,
        )
        return True


def _write_in_place(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_NOFOLLOW, 0o600)
    try:
        if os.pwrite(descriptor, data, 0) != len(data):
            raise OSError("short write of the high-water mark")
    finally:
        os.close(descriptor)
