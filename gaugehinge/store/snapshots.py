"""Copies of a store file: snapshots beside it, online backups, and restoring from a copy."""

from __future__ import annotations

import shutil
import sqlite3
from contextlib import closing, suppress
from pathlib import Path
from typing import NamedTuple

from .connection import open_connection
from .errors import DiskFullError, IntegrityCheckError, StoreCorruptedError, StoreError
from .sqlite_errors import is_disk_full
from .verification import verify_connection

PARTIAL_SUFFIX = ".part"  # of a copy that is still being written
REPLACED_SUFFIX = ".replaced"  # of a file that was replaced by a restored snapshot
SQLITE_FILE_SUFFIXES = ("", "-wal", "-shm")  # the files that make up one SQLite database
BACKUP_PAGES_PER_STEP = 256  # other connections can write between two steps


class IntactSnapshot(NamedTuple):
    """A verified snapshot."""

    path: Path
    revision: int


def snapshot_path(store_path: Path, revision: int) -> Path:
    """Return the path of a store's snapshot; the zero-padded revision makes names sort by age."""
    return store_path.with_name(f"{store_path.name}.snapshot-{revision:012d}")


def list_snapshots(store_path: Path) -> list[Path]:
    """Return the snapshots beside a store, newest first by name. Partially written ones are included."""
    return sorted(store_path.parent.glob(f"{store_path.name}.snapshot-*"), reverse=True)


def remove_old_snapshots(store_path: Path, keep: int) -> None:
    """Remove all snapshots beside a store except the `keep` newest."""
    for path in list_snapshots(store_path)[keep:]:
        path.unlink(missing_ok=True)


def newest_snapshot(store_path: Path) -> IntactSnapshot | None:
    """Return the newest snapshot that passes verification, None if there is none."""
    for path in list_snapshots(store_path):
        if path.name.endswith(PARTIAL_SUFFIX):
            continue
        with suppress(StoreError, sqlite3.DatabaseError):
            return IntactSnapshot(path, _verified_revision(path))
    return None


def corrupted_error(path: Path, error: IntegrityCheckError) -> StoreCorruptedError:
    """Describe the damage, and which snapshot beside the file an operator can restore."""
    newest = newest_snapshot(path)
    if newest is None:
        remedy = "there is no snapshot"
    else:
        remedy = f"the newest intact snapshot is {newest.path}, revision {newest.revision}"
    return StoreCorruptedError(path, f"damaged ({error}); {remedy}")


def read_revision(connection: sqlite3.Connection) -> int:
    """Return the newest revision in the log, 0 before the first change."""
    return connection.execute("SELECT coalesce(max(rev), 0) FROM change").fetchone()[0]


def _verified_revision(path: Path) -> int:
    """Verify a file without changing it and return its revision."""
    with closing(open_connection(path, read_only=True)) as connection:
        verify_connection(connection, path)
        return read_revision(connection)


def write_backup(source: sqlite3.Connection, target: Path) -> int:
    """Copy a store while it is in use; return the revision of the copy.

    The copy appears under its name only once it is complete. Raises DiskFullError.
    """
    partial = target.with_name(target.name + PARTIAL_SUFFIX)
    partial.unlink(missing_ok=True)
    try:
        with closing(sqlite3.connect(partial)) as copy:
            source.backup(copy, pages=BACKUP_PAGES_PER_STEP)
            copy.execute("PRAGMA journal_mode=DELETE")
            revision = read_revision(copy)
    except sqlite3.OperationalError as error:
        # Reported like any other failed write, so that a service keeps running if its hourly snapshot
        # finds the disk full.
        if not is_disk_full(error):
            raise
        partial.unlink(missing_ok=True)
        raise DiskFullError(str(error)) from error
    partial.replace(target)
    return revision


def restore(snapshot: str | Path, target: str | Path) -> int:
    """Replace a store that no process uses with a snapshot; return its revision.

    The replaced file is kept with the suffix `.replaced`. Raises StoreUnusableError if the snapshot
    fails verification.
    """
    snapshot, target = Path(snapshot), Path(target)
    try:
        revision = _verified_revision(snapshot)
    except IntegrityCheckError as error:
        raise corrupted_error(snapshot, error) from error
    partial = target.with_name(target.name + PARTIAL_SUFFIX)
    shutil.copyfile(snapshot, partial)
    _set_aside(target)
    partial.replace(target)
    return revision


def _set_aside(store_path: Path) -> None:
    for suffix in SQLITE_FILE_SUFFIXES:
        old = store_path.with_name(store_path.name + suffix)
        if old.exists():
            old.replace(store_path.with_name(store_path.name + REPLACED_SUFFIX + suffix))
