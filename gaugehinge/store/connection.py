"""SQLite connections to a store file: opening with retries, ownership and version checks, transactions."""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from .errors import DiskFullError, IncompatibleStoreError, IntegrityCheckError
from .schema import APPLICATION_ID, SCHEMA_VERSION, migrations_from
from .sqlite_errors import is_disk_full, is_temporary, unavailable_error

BUSY_TIMEOUT = 2.0  # seconds to wait for another connection's lock
OPEN_TIMEOUT = 15.0  # seconds to retry opening: copying a file that a crash left behind locks the whole file
RETRY_DELAY = 0.05  # seconds between two attempts to open


def open_connection(path: Path, read_only: bool = False) -> sqlite3.Connection:
    """Open a store file and migrate it to the current schema version.

    A file that is locked, or whose disk is full, is retried for `OPEN_TIMEOUT` seconds. A read-only
    connection migrates nothing.

    Raises:
        IncompatibleStoreError: the file is not a store, or of a newer version.
        StoreUnavailableError: the file stayed locked, or the disk full.
        IntegrityCheckError: SQLite cannot read the file.

    """
    deadline = time.monotonic() + OPEN_TIMEOUT
    while True:
        try:
            return _open_once(path, read_only)
        except sqlite3.DatabaseError as error:
            # SQLite writes when it opens a file, which fails on a full disk. If that were reported as
            # corruption, an operator would replace an intact file with an older copy.
            if not is_temporary(error):
                raise IntegrityCheckError(str(error)) from error
            if time.monotonic() > deadline:
                raise unavailable_error(path, error) from error
        time.sleep(RETRY_DELAY)


def _open_once(path: Path, read_only: bool) -> sqlite3.Connection:
    uri = f"{path.absolute().as_uri()}?mode={'ro' if read_only else 'rwc'}"
    connection = sqlite3.connect(
        uri, uri=True, timeout=BUSY_TIMEOUT, isolation_level=None, check_same_thread=False
    )
    try:
        version = _check_compatibility(connection, path)
        if not read_only:
            _configure(connection)
            _migrate(connection, version)
    except BaseException:
        connection.close()
        raise
    return connection


def _check_compatibility(connection: sqlite3.Connection, path: Path) -> int:
    """Return the file's schema version; raise IncompatibleStoreError if it cannot be used."""
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    application_id = connection.execute("PRAGMA application_id").fetchone()[0]
    table_count = connection.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
    if table_count and application_id != APPLICATION_ID:
        raise IncompatibleStoreError(path, "not a store of this program")
    if version > SCHEMA_VERSION:
        reason = f"schema version {version}, this build supports up to {SCHEMA_VERSION}: use a newer build"
        raise IncompatibleStoreError(path, reason)
    return version


def _configure(connection: sqlite3.Connection) -> None:
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute("PRAGMA trusted_schema=OFF")


def _migrate(connection: sqlite3.Connection, version: int) -> None:
    for migration in migrations_from(version):
        with transaction(connection):
            for statement in migration.statements:
                connection.execute(statement)
            connection.execute(f"PRAGMA application_id={APPLICATION_ID}")
            connection.execute(f"PRAGMA user_version={migration.version}")


@contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """Run a block in a write transaction, rolled back if the block raises.

    Raises DiskFullError if the disk accepts no more data.
    """
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
        connection.execute("COMMIT")
    except BaseException as error:
        # In some cases SQLite has already rolled back the transaction itself because the disk was full.
        with suppress(sqlite3.OperationalError):
            connection.execute("ROLLBACK")
        if isinstance(error, sqlite3.OperationalError) and is_disk_full(error):
            raise DiskFullError(str(error)) from error
        raise
