"""Full verification of a store file: pages, digests of the log, and the state against the log."""

from __future__ import annotations

import sqlite3
from pathlib import Path
from typing import NamedTuple

from .errors import IntegrityCheckError
from .log_chain import chain_digest, read_base_digest
from .records import Change
from .sqlite_errors import is_temporary, unavailable_error

MAX_REPORTED_PROBLEMS = 5  # limit passed to `PRAGMA integrity_check`


class _LogSummary(NamedTuple):
    last_revision: int  # 0: the log is empty
    newest_changes: list[Change]  # the last one of each item


def verify_connection(connection: sqlite3.Connection, path: Path) -> None:
    """Check every page, row and digest.

    Raises:
        IntegrityCheckError: the contents are damaged.
        StoreUnavailableError: the file at `path` is locked, or its disk is full.

    """
    try:
        _check_pages(connection)
        summary = _check_log(connection)
        _check_state(connection, summary)
    except sqlite3.DatabaseError as error:
        if is_temporary(error):
            raise unavailable_error(path, error) from error
        raise IntegrityCheckError(str(error)) from error


def _check_pages(connection: sqlite3.Connection) -> None:
    rows = connection.execute(f"PRAGMA integrity_check({MAX_REPORTED_PROBLEMS})")
    problems = [row[0] for row in rows]
    if problems != ["ok"]:
        raise IntegrityCheckError("; ".join(problems))


def _check_log(connection: sqlite3.Connection) -> _LogSummary:
    """Check the chain of digests and that no revision is missing."""
    previous_digest = read_base_digest(connection)
    last_revision = None
    newest: dict[tuple[str, str], Change] = {}
    for *fields, stored_digest in connection.execute("SELECT * FROM change ORDER BY rev"):
        change = Change(*fields)
        digest = chain_digest(previous_digest, change)
        has_gap = last_revision is not None and change.revision != last_revision + 1
        if stored_digest != digest or has_gap:
            problem = f"the log is broken at revision {change.revision}"
            raise IntegrityCheckError(problem)
        previous_digest = digest
        last_revision = change.revision
        newest[change.kind, change.item_id] = change
    return _LogSummary(last_revision or 0, list(newest.values()))


def _check_state(connection: sqlite3.Connection, log: _LogSummary) -> None:
    """Check that the state matches the result of the log, as far back as the log goes."""
    for change in log.newest_changes:
        row = connection.execute(
            "SELECT rev, body FROM state WHERE kind=? AND ident=?", (change.kind, change.item_id)
        ).fetchone()
        expected = None if change.body is None else (change.revision, change.body)
        if row != expected:
            problem = f"{change.kind} {change.item_id} does not match the log"
            raise IntegrityCheckError(problem)
    newer_count = connection.execute(
        "SELECT count(*) FROM state WHERE rev>?", (log.last_revision,)
    ).fetchone()[0]
    if newer_count:
        problem = f"{newer_count} items are newer than the log"
        raise IntegrityCheckError(problem)
