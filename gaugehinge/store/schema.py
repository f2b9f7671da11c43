"""The file's tables, by version, and how a file of an older version becomes one of this. No I/O of its own.

A file of a newer version is refused: what it holds that this build does not know would be lost on the next
change.
"""

from __future__ import annotations

APPLICATION_ID = 0x67617567  # `PRAGMA application_id`: whose file it is
SCHEMA_VERSION = 2

# Each step takes a file from the version before it; run in one transaction with the new version.
MIGRATIONS: dict[int, tuple[str, ...]] = {
    1: (
        # The log: never changed, never shortened but by `compact` below a snapshot's revision.
        """CREATE TABLE change (
            rev INTEGER PRIMARY KEY,
            at REAL NOT NULL,
            who TEXT NOT NULL,
            kind TEXT NOT NULL,
            ident TEXT NOT NULL,
            body BLOB,
            digest BLOB NOT NULL
        ) STRICT""",
        # What the log adds up to: the newest body of each thing. A removed one has no row.
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
        # Answers to calls that carried a key of their own, so that a repeat gets the same one.
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


def migrations_from(version: int) -> list[tuple[int, tuple[str, ...]]]:
    """The steps that a file of that version lacks, in order."""
    return [(number, MIGRATIONS[number]) for number in range(version + 1, SCHEMA_VERSION + 1)]
