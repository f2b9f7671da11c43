"""The tables of the store file by schema version, and the migrations between versions. Does no I/O.

A file of a newer version is refused: the next change would lose data that this version does not know.
"""

from __future__ import annotations

from typing import NamedTuple

APPLICATION_ID = 0x67617567  # `PRAGMA application_id`: identifies the file as a store of this program
SCHEMA_VERSION = 2  # `PRAGMA user_version`

# By target version: the statements that migrate a file from the previous version.
MIGRATIONS: dict[int, tuple[str, ...]] = {
    1: (
        # The log: rows are never changed, and removed only by compaction.
        """CREATE TABLE change (
            rev INTEGER PRIMARY KEY,
            at REAL NOT NULL,
            who TEXT NOT NULL,
            kind TEXT NOT NULL,
            ident TEXT NOT NULL,
            body BLOB,
            digest BLOB NOT NULL
        ) STRICT""",
        # The current state: the newest body of each item. A removed item has no row.
        """CREATE TABLE state (
            kind TEXT NOT NULL,
            ident TEXT NOT NULL,
            rev INTEGER NOT NULL,
            body BLOB NOT NULL,
            PRIMARY KEY (kind, ident)
        ) STRICT, WITHOUT ROWID""",
        "CREATE TABLE mark (name TEXT PRIMARY KEY, value BLOB NOT NULL) STRICT, WITHOUT ROWID",
    ),
    2: (
        # Responses to calls with an idempotency key, so that a retry gets the same one.
        """CREATE TABLE answered (
            who TEXT NOT NULL,
            key TEXT NOT NULL,
            request BLOB NOT NULL,
            answer BLOB NOT NULL,
            at REAL NOT NULL,
            PRIMARY KEY (who, key)
        ) STRICT, WITHOUT ROWID""",
        "CREATE INDEX answered_at ON answered (at)",
        "CREATE INDEX change_of ON change (kind, ident, rev)",
    ),
}


class Migration(NamedTuple):
    """The step to one schema version, to be run in one transaction together with the new version number."""

    version: int
    statements: tuple[str, ...]


def migrations_from(version: int) -> list[Migration]:
    """Return the migrations that a file of the given version still needs, in order."""
    return [Migration(number, MIGRATIONS[number]) for number in range(version + 1, SCHEMA_VERSION + 1)]
