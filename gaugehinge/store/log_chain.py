"""The chain of digests over the change log.

Each row carries a digest over itself and the digest of the row before it, so that lost, added or changed
rows are detected even if SQLite finds the file intact.
"""

from __future__ import annotations

import sqlite3

from xxhash import xxh3_128_digest

from .records import Change

EMPTY_LOG_DIGEST = b"\0" * 16  # the digest that the first row is chained to if nothing was compacted


def chain_digest(previous: bytes, change: Change) -> bytes:
    """Return the digest of a row, chained to the digest of the row before it."""
    body = b"" if change.body is None else b"+" + change.body
    head = f"{change.revision}\0{change.timestamp!r}\0{change.actor}\0{change.kind}\0{change.item_id}\0"
    return xxh3_128_digest(previous + head.encode() + body)


def read_base_digest(connection: sqlite3.Connection) -> bytes:
    """Return the digest that the first row is chained to: that of the last row removed by compaction."""
    row = connection.execute("SELECT value FROM mark WHERE name='base'").fetchone()
    return row[0] if row else EMPTY_LOG_DIGEST


def write_base_digest(connection: sqlite3.Connection, digest: bytes) -> None:
    """Record the digest of the last row that a compaction removes."""
    connection.execute(
        "INSERT INTO mark VALUES ('base', ?) ON CONFLICT (name) DO UPDATE SET value=excluded.value",
        (digest,),
    )


def read_last_digest(connection: sqlite3.Connection) -> bytes:
    """Return the digest that the next row is to be chained to."""
    row = connection.execute("SELECT digest FROM change ORDER BY rev DESC LIMIT 1").fetchone()
    return row[0] if row else read_base_digest(connection)
