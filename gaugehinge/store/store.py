"""The durable store: each change is appended to a log and applied to the state in one transaction.

SQLite runs in WAL mode with `synchronous=FULL`, so an acknowledged change is on the disk. All methods block;
code on an event loop uses `async_store.AsyncStore` instead.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

from .connection import open_connection, transaction
from .errors import CompactionError, IntegrityCheckError, ItemTooLargeError, RevisionConflictError
from .log_chain import chain_digest, read_last_digest, write_base_digest
from .records import Change, IdempotencyRecord, Item, Mutation, RecordedResponse, StoreContents
from .snapshots import corrupted_error, read_revision, write_backup
from .verification import verify_connection

MAX_BODY_SIZE = 256 * 1024  # bytes; limit for the body of one item
UNLIMITED = -1  # SQLite reads a negative LIMIT as no limit
RESPONSE_RETENTION = 24 * 3600.0  # seconds for which responses to calls with an idempotency key are kept


class Store:
    """An open store file. Not safe for concurrent threads; other processes may read while one writes."""

    def __init__(self, path: str | Path, read_only: bool = False) -> None:
        """Open the file and migrate it to the current version; retry if it is locked or its disk is full.

        Raises StoreUnusableError, or one of its subclasses.
        """
        self.path = Path(path)
        try:
            self.connection = open_connection(self.path, read_only)
        except IntegrityCheckError as error:
            raise corrupted_error(self.path, error) from error

    def close(self) -> None:
        """Close the file. Every acknowledged change has already been written to it."""
        self.connection.close()

    # Reading

    @property
    def revision(self) -> int:
        """The newest revision, 0 before the first change."""
        return read_revision(self.connection)

    @property
    def oldest_revision(self) -> int:
        """The first revision still in the log; of earlier ones only their effect on the state remains."""
        return self.connection.execute("SELECT coalesce(min(rev), 1) FROM change").fetchone()[0]

    def revision_digest(self, revision: int) -> str:
        """Return the hexadecimal digest of a log row, empty if the log has no such row.

        The digest distinguishes revisions of the same number in different histories: a store restored from
        an older copy continues counting from that copy's revision.
        """
        row = self.connection.execute("SELECT digest FROM change WHERE rev=?", (revision,)).fetchone()
        return row[0].hex() if row else ""

    def get(self, kind: str, item_id: str) -> Item | None:
        """Return one item, or None."""
        row = self.connection.execute(
            "SELECT kind, ident, rev, body FROM state WHERE kind=? AND ident=?", (kind, item_id)
        ).fetchone()
        return Item(*row) if row else None

    def items(self, kind: str, after: str = "", limit: int = UNLIMITED) -> list[Item]:
        """Return items of a kind in the order of their ids, starting after the given id.

        Without a limit all of them are returned: a default limit used to truncate the state silently.
        """
        rows = self.connection.execute(
            "SELECT kind, ident, rev, body FROM state WHERE kind=? AND ident>? ORDER BY ident LIMIT ?",
            (kind, after, limit),
        )
        return [Item(*row) for row in rows]

    def changes(self, after_revision: int, limit: int = UNLIMITED) -> list[Change]:
        """Return the changes after a revision, in order."""
        rows = self.connection.execute(
            "SELECT rev, at, who, kind, ident, body FROM change WHERE rev>? ORDER BY rev LIMIT ?",
            (after_revision, limit),
        )
        return [Change(*row) for row in rows]

    def history(self, kind: str, item_id: str, limit: int = UNLIMITED) -> list[Change]:
        """Return the changes of one item, newest first."""
        rows = self.connection.execute(
            "SELECT rev, at, who, kind, ident, body FROM change WHERE kind=? AND ident=? "
            "ORDER BY rev DESC LIMIT ?",
            (kind, item_id, limit),
        )
        return [Change(*row) for row in rows]

    def read_all(self) -> StoreContents:
        """Return all items as of one revision."""
        self.connection.execute("BEGIN")
        try:
            rows = self.connection.execute(
                "SELECT kind, ident, rev, body FROM state ORDER BY kind, ident"
            ).fetchall()
            return StoreContents(self.revision, [Item(*row) for row in rows])
        finally:
            self.connection.execute("COMMIT")

    def recorded_response(self, actor: str, idempotency_key: str) -> RecordedResponse | None:
        """Return the recorded request and response of the actor's earlier call with this key, or None."""
        row = self.connection.execute(
            "SELECT request, answer FROM answered WHERE who=? AND key=?", (actor, idempotency_key)
        ).fetchone()
        return RecordedResponse(*row) if row else None

    # Writing

    def apply(
        self,
        mutations: Iterable[Mutation],
        actor: str,
        timestamp: float,
        idempotency: IdempotencyRecord | None = None,
    ) -> list[Change]:
        """Apply all mutations or none, and record the response in the same transaction.

        Raises:
            RevisionConflictError: an item is not at its expected revision.
            ItemTooLargeError: a body is larger than `MAX_BODY_SIZE`.
            DiskFullError: the disk accepted no more data.
            sqlite3.IntegrityError: a response is already recorded for this actor and key.

        """
        with transaction(self.connection):
            changes = self._append(mutations, actor, timestamp)
            if idempotency is not None:
                self._record_response(idempotency, changes, actor, timestamp)
        return changes

    def _append(self, mutations: Iterable[Mutation], actor: str, timestamp: float) -> list[Change]:
        changes: list[Change] = []
        revision = self.revision
        digest = read_last_digest(self.connection)
        for mutation in mutations:
            self._check_mutation(mutation)
            revision += 1
            change = Change(revision, timestamp, actor, mutation.kind, mutation.item_id, mutation.body)
            digest = chain_digest(digest, change)
            self._write_change(change, digest)
            changes.append(change)
        return changes

    def _check_mutation(self, mutation: Mutation) -> None:
        if mutation.expected_revision is not None:
            item = self.get(mutation.kind, mutation.item_id)
            current_revision = item.revision if item else 0
            if current_revision != mutation.expected_revision:
                raise RevisionConflictError(current_revision)
        if mutation.body is not None and len(mutation.body) > MAX_BODY_SIZE:
            raise ItemTooLargeError(mutation.kind, mutation.item_id, MAX_BODY_SIZE)

    def _write_change(self, change: Change, digest: bytes) -> None:
        self.connection.execute(
            "INSERT INTO change VALUES (?, ?, ?, ?, ?, ?, ?)",
            (
                change.revision,
                change.timestamp,
                change.actor,
                change.kind,
                change.item_id,
                change.body,
                digest,
            ),
        )
        if change.body is None:
            self.connection.execute(
                "DELETE FROM state WHERE kind=? AND ident=?", (change.kind, change.item_id)
            )
            return
        self.connection.execute(
            "INSERT INTO state VALUES (?, ?, ?, ?) "
            "ON CONFLICT (kind, ident) DO UPDATE SET rev=excluded.rev, body=excluded.body",
            (change.kind, change.item_id, change.revision, change.body),
        )

    def _record_response(
        self, record: IdempotencyRecord, changes: list[Change], actor: str, timestamp: float
    ) -> None:
        self.connection.execute("DELETE FROM answered WHERE at<?", (timestamp - RESPONSE_RETENTION,))
        response = record.build_response(changes)
        self.connection.execute(
            "INSERT INTO answered VALUES (?, ?, ?, ?, ?)",
            (actor, record.key, record.request, response, timestamp),
        )

    def compact(self, first_kept_revision: int) -> int:
        """Remove the log rows before a revision, but not their effect on the state; return how many.

        Raises CompactionError if no row would be left: the last row defines the newest revision.
        """
        with transaction(self.connection):
            row = self.connection.execute(
                "SELECT digest FROM change WHERE rev<? ORDER BY rev DESC LIMIT 1", (first_kept_revision,)
            ).fetchone()
            if row is None:
                return 0
            if first_kept_revision > self.revision:
                raise CompactionError
            write_base_digest(self.connection, row[0])
            return self.connection.execute("DELETE FROM change WHERE rev<?", (first_kept_revision,)).rowcount

    # Operations on the whole file

    def verify(self) -> None:
        """Check every page, row and digest.

        Raises StoreCorruptedError if the contents are damaged, StoreUnavailableError if the file cannot be
        checked now.
        """
        try:
            verify_connection(self.connection, self.path)
        except IntegrityCheckError as error:
            raise corrupted_error(self.path, error) from error

    def backup(self, target: str | Path) -> int:
        """Copy the store while it is in use; see `snapshots.write_backup`."""
        return write_backup(self.connection, Path(target))
