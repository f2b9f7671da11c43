"""The durable store: every change is a row of an append-only log and the new state, in one transaction.

sqlite3 in WAL mode with `synchronous=FULL`: a change that was acknowledged is on the disk. Blocking, so it is
used from a thread (`keeper.py`), never on an event loop. Each row of the log carries a digest over itself
and the one before it: a log that lost, gained or changed a row is found at the next start.
"""

from __future__ import annotations

import shutil
import sqlite3
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import msgspec
from xxhash import xxh3_128_digest

from .schema import APPLICATION_ID, SCHEMA_VERSION, migrations_from

EMPTY_LOG_DIGEST = b"\0" * 16  # in place of the digest before the first row
RESPONSE_RETENTION = 24 * 3600.0  # seconds that an answer to a call with a key is kept
BUSY_TIMEOUT = 2.0  # seconds that another connection's lock is waited for
OPEN_TIMEOUT = 15.0  # the same at the start: whoever copies a file that was just left behind locks all of it
MAX_BODY_SIZE = 256 * 1024  # bytes of one thing
WRITE_REFUSED_CODES = (  # all say that a write was not taken, none that anything that stands is wrong
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_IOERR_WRITE,
    sqlite3.SQLITE_IOERR_FSYNC,
    sqlite3.SQLITE_IOERR_TRUNCATE,
    sqlite3.SQLITE_IOERR_SHMSIZE,
    sqlite3.SQLITE_IOERR_SHMOPEN,
)


class StoreUnusableError(Exception):
    """The file cannot be used as it is; the text says what is lost and what is the newest good snapshot."""


class StoreUnavailableError(StoreUnusableError):
    """Another process holds the file, or its disk is full. Nothing is known to be wrong with it, and nothing
    is to be restored."""


class RevisionConflictError(Exception):
    """The thing is not at the revision that the change was made for."""

    def __init__(self, current_revision: int) -> None:
        super().__init__(f"it is at revision {current_revision}")
        self.current_revision = current_revision  # 0: there is none


class DiskFullError(Exception):
    """The disk took no more: nothing of the change was kept."""


@dataclass(slots=True, frozen=True)
class Change:
    """One row of the log. `body` None: the thing was removed."""

    revision: int
    timestamp: float  # Unix time, as the writer's clock had it; order is by `revision` alone
    actor: str
    kind: str
    item_id: str
    body: bytes | None


class Mutation(NamedTuple):
    """A change to make. `expected_revision`: the revision that the thing must be at, 0 for none, None for
    any."""

    kind: str
    item_id: str
    body: bytes | None
    expected_revision: int | None = None


class Item(NamedTuple):
    """A thing as it is."""

    item_id: str
    revision: int
    body: bytes


def digest(before: bytes, change: Change) -> bytes:
    """Of a row, chained to the one before it."""
    body = b"" if change.body is None else b"+" + change.body
    head = (
        f"{change.revision}\0{change.timestamp!r}\0{change.actor}\0{change.kind}\0{change.item_id}\0".encode()
    )
    return xxh3_128_digest(before + head + body)


class Store:
    """One file. Not for several threads at a time; several processes may read while one writes."""

    def __init__(self, path: str | Path, read_only: bool = False) -> None:
        """Open, and bring to this version; a file that is in use, or whose disk is full,
        is waited for. Raises StoreUnusableError, StoreUnavailableError."""
        self.path = Path(path)
        uri = f"{self.path.absolute().as_uri()}?mode={'ro' if read_only else 'rwc'}"
        end = time.monotonic() + OPEN_TIMEOUT
        while True:
            try:
                self.connection = sqlite3.connect(
                    uri, uri=True, timeout=BUSY_TIMEOUT, isolation_level=None, check_same_thread=False
                )
                self._open(read_only)
                return
            except sqlite3.DatabaseError as bad:
                # A disk that is full cannot take what is written to open a file: called damage, an operator
                # would put an older copy in the place of a file that is whole.
                if not (_is_busy(bad) or _is_write_refused(bad)):
                    raise StoreUnusableError(self._corruption_message(str(bad))) from None
                if time.monotonic() > end:
                    raise self._unavailable(bad) from None
            self.connection.close()
            time.sleep(BUSY_TIMEOUT / 40)

    def _open(self, read_only: bool) -> None:
        db = self.connection
        version = db.execute("PRAGMA user_version").fetchone()[0]
        owner = db.execute("PRAGMA application_id").fetchone()[0]
        tables = db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
        if tables and owner != APPLICATION_ID:
            raise StoreUnusableError(f"{self.path}: not a store of this program")
        if version > SCHEMA_VERSION:
            raise StoreUnusableError(
                f"{self.path}: of version {version}, this build knows {SCHEMA_VERSION}: take the newer build"
            )
        if read_only:
            return
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute("PRAGMA trusted_schema=OFF")
        for number, statements in migrations_from(version):
            with self._transaction():
                for statement in statements:
                    db.execute(statement)
                db.execute(f"PRAGMA application_id={APPLICATION_ID}")
                db.execute(f"PRAGMA user_version={number}")

    def close(self) -> None:
        """Close the file; what was acknowledged is in it."""
        self.connection.close()

    @contextmanager
    def _transaction(self) -> Iterator[sqlite3.Connection]:
        self.connection.execute("BEGIN IMMEDIATE")
        try:
            yield self.connection
            self.connection.execute("COMMIT")
        except BaseException as bad:
            # A full disk ends the transaction by itself, in part of the cases.
            with suppress(sqlite3.OperationalError):
                self.connection.execute("ROLLBACK")
            if isinstance(bad, sqlite3.OperationalError) and _is_full(bad):
                raise DiskFullError(str(bad)) from None
            raise

    # -- reading

    @property
    def revision(self) -> int:
        """The newest revision; 0 before the first change."""
        return self.connection.execute("SELECT coalesce(max(rev), 0) FROM change").fetchone()[0]

    @property
    def oldest_revision(self) -> int:
        """The first revision that the log still has; changes before it are in the state alone."""
        return self.connection.execute("SELECT coalesce(min(rev), 1) FROM change").fetchone()[0]

    def revision_digest(self, revision: int) -> str:
        """What tells a revision from one of the same number in another history: a store that was put back to
        an older copy counts on from there. Empty where the log has no such row."""
        row = self.connection.execute("SELECT digest FROM change WHERE rev=?", (revision,)).fetchone()
        return row[0].hex() if row else ""

    def get(self, kind: str, item_id: str) -> Item | None:
        """One thing, or None."""
        row = self.connection.execute(
            "SELECT ident, rev, body FROM state WHERE kind=? AND ident=?", (kind, item_id)
        ).fetchone()
        return Item(*row) if row else None

    def items(self, kind: str, after: str = "", limit: int = 1000) -> list[Item]:
        """Things of a kind in the order of their idents, behind one of them."""
        rows = self.connection.execute(
            "SELECT ident, rev, body FROM state WHERE kind=? AND ident>? ORDER BY ident LIMIT ?",
            (kind, after, limit),
        )
        return [Item(*row) for row in rows]

    def changes(self, since: int, limit: int = 1000) -> list[Change]:
        """The log behind a revision, in order."""
        rows = self.connection.execute(
            "SELECT rev, at, who, kind, ident, body FROM change WHERE rev>? ORDER BY rev LIMIT ?",
            (since, limit),
        )
        return [Change(*row) for row in rows]

    def history(self, kind: str, item_id: str, limit: int = 100) -> list[Change]:
        """The changes of one thing, newest first."""
        rows = self.connection.execute(
            "SELECT rev, at, who, kind, ident, body FROM change WHERE kind=? AND ident=? "
            "ORDER BY rev DESC LIMIT ?",
            (kind, item_id, limit),
        )
        return [Change(*row) for row in rows]

    def read_all(self) -> tuple[int, list[tuple[str, Item]]]:
        """Everything at one revision."""
        self.connection.execute("BEGIN")
        try:
            rows = self.connection.execute(
                "SELECT kind, ident, rev, body FROM state ORDER BY kind, ident"
            ).fetchall()
            return self.revision, [(kind, Item(ident, rev, body)) for kind, ident, rev, body in rows]
        finally:
            self.connection.execute("COMMIT")

    # -- changing

    def apply(
        self,
        mutations: Iterable[Mutation],
        actor: str,
        timestamp: float,
        idempotency_key: str = "",
        request: bytes = b"",
        response: bytes | Callable[[list[Change]], bytes] = b"",
    ) -> list[Change]:
        """Make changes, all or none. With an `idempotency_key` the response is kept in the same transaction.

        Raises RevisionConflictError where a thing is not as expected, DiskFullError where the disk is,
        ValueError on a long body.
        """
        made: list[Change] = []
        with self._transaction() as db:
            rev = self.revision
            last = db.execute("SELECT digest FROM change ORDER BY rev DESC LIMIT 1").fetchone()
            before = last[0] if last else self._base_digest()
            for each in mutations:
                self._check_expected_revision(each)
                if each.body is not None and len(each.body) > MAX_BODY_SIZE:
                    raise ValueError(f"{each.kind} {each.item_id}: over {MAX_BODY_SIZE} bytes")
                rev += 1
                change = Change(rev, timestamp, actor, each.kind, each.item_id, each.body)
                before = digest(before, change)
                self._write(change, before)
                made.append(change)
            if idempotency_key:
                db.execute("DELETE FROM answered WHERE at<?", (timestamp - RESPONSE_RETENTION,))
                told = response(made) if callable(response) else response
                db.execute(
                    "INSERT INTO answered VALUES (?, ?, ?, ?, ?)",
                    (actor, idempotency_key, request, told, timestamp),
                )
        return made

    def _base_digest(self) -> bytes:
        """The digest that the log goes on from: its own start, or the row that a compaction took out last."""
        row = self.connection.execute("SELECT value FROM mark WHERE name='base'").fetchone()
        return row[0] if row else EMPTY_LOG_DIGEST

    def _check_expected_revision(self, each: Mutation) -> None:
        if each.expected_revision is None:
            return
        held = self.get(each.kind, each.item_id)
        now = held.revision if held else 0
        if now != each.expected_revision:
            raise RevisionConflictError(now)

    def _write(self, change: Change, chained: bytes) -> None:
        db = self.connection
        db.execute(
            "INSERT INTO change VALUES (?, ?, ?, ?, ?, ?, ?)",
            (
                change.revision,
                change.timestamp,
                change.actor,
                change.kind,
                change.item_id,
                change.body,
                chained,
            ),
        )
        if change.body is None:
            db.execute("DELETE FROM state WHERE kind=? AND ident=?", (change.kind, change.item_id))
        else:
            db.execute(
                "INSERT INTO state VALUES (?, ?, ?, ?) "
                "ON CONFLICT (kind, ident) DO UPDATE SET rev=excluded.rev, body=excluded.body",
                (change.kind, change.item_id, change.revision, change.body),
            )

    def recorded_response(self, actor: str, idempotency_key: str) -> tuple[bytes, bytes] | None:
        """The request and answer of a call that carried this key."""
        row = self.connection.execute(
            "SELECT request, answer FROM answered WHERE who=? AND key=?", (actor, idempotency_key)
        ).fetchone()
        return (row[0], row[1]) if row else None

    def compact(self, keep_from: int) -> int:
        """Take the log's rows before a revision out; what they add up to stays. How many went."""
        with self._transaction() as db:
            row = db.execute(
                "SELECT digest FROM change WHERE rev<? ORDER BY rev DESC LIMIT 1", (keep_from,)
            ).fetchone()
            if row is None:
                return 0
            # The last row always stays: it says which revision is the newest.
            if keep_from > self.revision:
                raise ValueError("the newest row stays")
            db.execute(
                "INSERT INTO mark VALUES ('base', ?) ON CONFLICT (name) DO UPDATE SET value=excluded.value",
                row,
            )
            return db.execute("DELETE FROM change WHERE rev<?", (keep_from,)).rowcount

    # -- whole files

    def verify(self) -> None:
        """Look at every page, row and digest. Raises StoreUnusableError."""
        try:
            told = [row[0] for row in self.connection.execute("PRAGMA integrity_check(5)")]
            if told != ["ok"]:
                raise StoreUnusableError(self._corruption_message("; ".join(told)))
            self._verify_log()
        except sqlite3.DatabaseError as bad:
            if _is_busy(bad) or _is_write_refused(bad):
                raise self._unavailable(bad) from None
            raise StoreUnusableError(self._corruption_message(str(bad))) from None

    def _unavailable(self, bad: sqlite3.DatabaseError) -> StoreUnavailableError:
        why = "in use by another process" if _is_busy(bad) else "its disk takes nothing more"
        return StoreUnavailableError(f"{self.path}: {why} ({bad})")

    def _verify_log(self) -> None:
        """The chain of digests, and that the state is what the log adds up to as far as it goes back."""
        before, last = self._base_digest(), None
        newest: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        for *row, chained in self.connection.execute("SELECT * FROM change ORDER BY rev"):
            change = Change(*row)
            before = digest(before, change)
            if chained != before or (last is not None and change.revision != last + 1):
                raise StoreUnusableError(
                    self._corruption_message(f"the log is broken at revision {change.revision}")
                )
            last = change.revision
            newest[change.kind, change.item_id] = change.revision, change.body
        for (kind, ident), (rev, body) in newest.items():
            held = self.get(kind, ident)
            if (held is None) != (body is None) or (held and (held.revision, held.body) != (rev, body)):
                raise StoreUnusableError(self._corruption_message(f"{kind} {ident} is not what the log says"))
        extra = self.connection.execute("SELECT count(*) FROM state WHERE rev>?", (last or 0,)).fetchone()[0]
        if extra:
            raise StoreUnusableError(self._corruption_message(f"{extra} things are newer than the log"))

    def _corruption_message(self, why: str) -> str:
        newest = newest_snapshot(self.path)
        kept = (
            f"the newest good snapshot is {newest[0]}, revision {newest[1]}"
            if newest
            else "there is no snapshot"
        )
        return f"{self.path}: damaged ({why}); {kept}"

    def backup(self, target: str | Path) -> int:
        """A copy of the whole, taken while changes go on; its revision. It stands whole under its name or not
        at all. Raises DiskFullError."""
        target = Path(target)
        part = target.with_name(target.name + ".part")
        part.unlink(missing_ok=True)
        copy = sqlite3.connect(part)
        try:
            self.connection.backup(copy, pages=256)
            copy.execute("PRAGMA journal_mode=DELETE")
            rev = copy.execute("SELECT coalesce(max(rev), 0) FROM change").fetchone()[0]
        except sqlite3.OperationalError as bad:
            # As any other change: a keeper whose hourly copy finds no room has to go on without one.
            if not _is_full(bad):
                raise
            part.unlink(missing_ok=True)
            raise DiskFullError(str(bad)) from None
        finally:
            copy.close()
        part.replace(target)
        return rev


def _is_busy(bad: sqlite3.DatabaseError) -> bool:
    return getattr(bad, "sqlite_errorcode", 0) & 0xFF in (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED)


def _is_write_refused(bad: sqlite3.DatabaseError) -> bool:
    return getattr(bad, "sqlite_errorcode", 0) in WRITE_REFUSED_CODES


def _is_full(bad: sqlite3.OperationalError) -> bool:
    return getattr(bad, "sqlite_errorcode", 0) & 0xFF in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_IOERR)


def snapshots(path: Path) -> list[Path]:
    """The snapshots beside a store, newest first by name."""
    return sorted(path.parent.glob(f"{path.name}.snapshot-*"), reverse=True)


def newest_snapshot(path: Path) -> tuple[Path, int] | None:
    """The newest snapshot that is whole, and its revision."""
    for each in snapshots(path):
        if each.name.endswith(".part"):
            continue
        with suppress(StoreUnusableError, sqlite3.DatabaseError):
            copy = Store(each, read_only=True)
            try:
                copy.verify()
                return each, copy.revision
            finally:
                copy.close()
    return None


def restore(snapshot: str | Path, target: str | Path) -> int:
    """A snapshot to a store's place; the file that stands there is kept under another name. Its revision.

    Raises StoreUnusableError where the snapshot is not whole.
    """
    snapshot, target = Path(snapshot), Path(target)
    copy = Store(snapshot, read_only=True)
    try:
        copy.verify()
        rev = copy.revision
    finally:
        copy.close()
    part = target.with_name(target.name + ".part")
    shutil.copyfile(snapshot, part)
    for ending in ("", "-wal", "-shm"):
        old = target.with_name(target.name + ending)
        if old.exists():
            old.replace(target.with_name(target.name + ".replaced" + ending))
    part.replace(target)
    return rev


def encode(value: object) -> bytes:
    """A thing's body: JSON with its keys in order, so that the same thing is the same bytes."""
    return msgspec.json.encode(value, order="sorted")
