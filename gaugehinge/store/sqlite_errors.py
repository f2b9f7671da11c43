"""Classification of SQLite errors by their result code."""

from __future__ import annotations

import sqlite3
from pathlib import Path

from .errors import StoreUnavailableError

PRIMARY_CODE_MASK = 0xFF  # the low byte of an extended result code is the primary one
WRITE_REFUSED_CODES = (  # a write was refused; none of these means that stored data is damaged
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_IOERR_WRITE,
    sqlite3.SQLITE_IOERR_FSYNC,
    sqlite3.SQLITE_IOERR_TRUNCATE,
    sqlite3.SQLITE_IOERR_SHMSIZE,
    sqlite3.SQLITE_IOERR_SHMOPEN,
)


def _extended_code(error: sqlite3.Error) -> int:
    return getattr(error, "sqlite_errorcode", 0)


def _primary_code(error: sqlite3.Error) -> int:
    return _extended_code(error) & PRIMARY_CODE_MASK


def is_busy(error: sqlite3.Error) -> bool:
    """Whether another connection holds a lock on the file."""
    return _primary_code(error) in (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED)


def is_write_refused(error: sqlite3.Error) -> bool:
    """Whether the disk refused a write, which does not indicate damage to data already stored."""
    return _extended_code(error) in WRITE_REFUSED_CODES


def is_disk_full(error: sqlite3.Error) -> bool:
    """Whether a write failed for lack of space, or by any other I/O error of the disk."""
    return _primary_code(error) in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR)


def is_temporary(error: sqlite3.Error) -> bool:
    """Whether a later attempt may succeed with the same file."""
    return is_busy(error) or is_write_refused(error)


def unavailable_error(path: Path, error: sqlite3.Error) -> StoreUnavailableError:
    """Describe a temporary error (see `is_temporary`) that persisted until the retries ended."""
    reason = "in use by another process" if is_busy(error) else "its disk accepts no writes"
    return StoreUnavailableError(path, f"{reason} ({error})")
