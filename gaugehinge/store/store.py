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

from .schema import APPLICATION, VERSION, steps_from

FIRST = b"\0" * 16  # in place of the digest before the first row
ANSWER_KEEP = 24 * 3600.0  # seconds that an answer to a call with a key is kept
BUSY_TIME = 2.0  # seconds that another connection's lock is waited for
OPEN_TIME = 15.0  # the same at the start: whoever copies a file that was just left behind locks all of it
MOST_BODY = 256 * 1024  # bytes of one thing
WRITES_FAILED = (  # all say that a write was not taken, none that anything that stands is wrong
    sqlite3.SQLITE_FULL,
    sqlite3.SQLITE_IOERR_WRITE,
    sqlite3.SQLITE_IOERR_FSYNC,
    sqlite3.SQLITE_IOERR_TRUNCATE,
    sqlite3.SQLITE_IOERR_SHMSIZE,
    sqlite3.SQLITE_IOERR_SHMOPEN,
)


class Damaged(Exception):
    """The file cannot be used as it is; the text says what is lost and what is the newest good snapshot."""


class InUse(Damaged):
    """Another process holds the file, or its disk is full. Nothing is known to be wrong with it, and nothing
    is to be restored."""


class Conflict(Exception):
    """The thing is not at the revision that the change was made for."""

    def __init__(self, now: int) -> None:
        super().__init__(f"it is at revision {now}")
        self.now = now  # 0: there is none


class Full(Exception):
    """The disk took no more: nothing of the change was kept."""


@dataclass(slots=True, frozen=True)
class Change:
    """One row of the log. `body` None: the thing was removed."""

    rev: int
    at: float  # Unix time, as the writer's clock had it; order is by `rev` alone
    who: str
    kind: str
    ident: str
    body: bytes | None


class Wanted(NamedTuple):
    """A change to make. `expect`: the revision that the thing must be at, 0 for none, None for any."""

    kind: str
    ident: str
    body: bytes | None
    expect: int | None = None


class Item(NamedTuple):
    """A thing as it is."""

    ident: str
    rev: int
    body: bytes


def digest(before: bytes, change: Change) -> bytes:
    """Of a row, chained to the one before it."""
    body = b"" if change.body is None else b"+" + change.body
    head = f"{change.rev}\0{change.at!r}\0{change.who}\0{change.kind}\0{change.ident}\0".encode()
    return xxh3_128_digest(before + head + body)


class Store:
    """One file. Not for several threads at a time; several processes may read while one writes."""

    def __init__(self, path: str | Path, read_only: bool = False) -> None:
        """Open, and bring to this version; a file that is in use, or whose disk is full,
        is waited for. Raises Damaged, InUse."""
        self.path = Path(path)
        uri = f"{self.path.absolute().as_uri()}?mode={'ro' if read_only else 'rwc'}"
        end = time.monotonic() + OPEN_TIME
        while True:
            try:
                self.db = sqlite3.connect(
                    uri, uri=True, timeout=BUSY_TIME, isolation_level=None, check_same_thread=False
                )
                self._open(read_only)
                return
            except sqlite3.DatabaseError as bad:
                # A disk that is full cannot take what is written to open a file: called damage, an operator
                # would put an older copy in the place of a file that is whole.
                if not (_is_busy(bad) or _takes_nothing(bad)):
                    raise Damaged(self._lost(str(bad))) from None
                if time.monotonic() > end:
                    raise self._not_now(bad) from None
            self.db.close()
            time.sleep(BUSY_TIME / 40)

    def _open(self, read_only: bool) -> None:
        db = self.db
        version = db.execute("PRAGMA user_version").fetchone()[0]
        owner = db.execute("PRAGMA application_id").fetchone()[0]
        tables = db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]
        if tables and owner != APPLICATION:
            raise Damaged(f"{self.path}: not a store of this program")
        if version > VERSION:
            raise Damaged(
                f"{self.path}: of version {version}, this build knows {VERSION}: take the newer build"
            )
        if read_only:
            return
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute("PRAGMA trusted_schema=OFF")
        for number, statements in steps_from(version):
            with self._transaction():
                for statement in statements:
                    db.execute(statement)
                db.execute(f"PRAGMA application_id={APPLICATION}")
                db.execute(f"PRAGMA user_version={number}")

    def close(self) -> None:
        """Close the file; what was acknowledged is in it."""
        self.db.close()

    @contextmanager
    def _transaction(self) -> Iterator[sqlite3.Connection]:
        self.db.execute("BEGIN IMMEDIATE")
        try:
            yield self.db
            self.db.execute("COMMIT")
        except BaseException as bad:
            # A full disk ends the transaction by itself, in part of the cases.
            with suppress(sqlite3.OperationalError):
                self.db.execute("ROLLBACK")
            if isinstance(bad, sqlite3.OperationalError) and _is_full(bad):
                raise Full(str(bad)) from None
            raise

    # -- reading

    @property
    def rev(self) -> int:
        """The newest revision; 0 before the first change."""
        return self.db.execute("SELECT coalesce(max(rev), 0) FROM change").fetchone()[0]

    @property
    def oldest(self) -> int:
        """The first revision that the log still has; changes before it are in the state alone."""
        return self.db.execute("SELECT coalesce(min(rev), 1) FROM change").fetchone()[0]

    def mark(self, rev: int) -> str:
        """What tells a revision from one of the same number in another history: a store that was put back to
        an older copy counts on from there. Empty where the log has no such row."""
        row = self.db.execute("SELECT digest FROM change WHERE rev=?", (rev,)).fetchone()
        return row[0].hex() if row else ""

    def get(self, kind: str, ident: str) -> Item | None:
        """One thing, or None."""
        row = self.db.execute(
            "SELECT ident, rev, body FROM state WHERE kind=? AND ident=?", (kind, ident)
        ).fetchone()
        return Item(*row) if row else None

    def items(self, kind: str, after: str = "", most: int = 1000) -> list[Item]:
        """Things of a kind in the order of their idents, behind one of them."""
        rows = self.db.execute(
            "SELECT ident, rev, body FROM state WHERE kind=? AND ident>? ORDER BY ident LIMIT ?",
            (kind, after, most),
        )
        return [Item(*row) for row in rows]

    def changes(self, since: int, most: int = 1000) -> list[Change]:
        """The log behind a revision, in order."""
        rows = self.db.execute(
            "SELECT rev, at, who, kind, ident, body FROM change WHERE rev>? ORDER BY rev LIMIT ?",
            (since, most),
        )
        return [Change(*row) for row in rows]

    def history(self, kind: str, ident: str, most: int = 100) -> list[Change]:
        """The changes of one thing, newest first."""
        rows = self.db.execute(
            "SELECT rev, at, who, kind, ident, body FROM change WHERE kind=? AND ident=? "
            "ORDER BY rev DESC LIMIT ?",
            (kind, ident, most),
        )
        return [Change(*row) for row in rows]

    def whole(self) -> tuple[int, list[tuple[str, Item]]]:
        """Everything at one revision."""
        self.db.execute("BEGIN")
        try:
            rows = self.db.execute("SELECT kind, ident, rev, body FROM state ORDER BY kind, ident").fetchall()
            return self.rev, [(kind, Item(ident, rev, body)) for kind, ident, rev, body in rows]
        finally:
            self.db.execute("COMMIT")

    # -- changing

    def apply(
        self,
        wanted: Iterable[Wanted],
        who: str,
        at: float,
        key: str = "",
        request: bytes = b"",
        answer: bytes | Callable[[list[Change]], bytes] = b"",
    ) -> list[Change]:
        """Make changes, all or none. With a `key` the answer is kept in the same transaction.

        Raises Conflict where a thing is not as expected, Full where the disk is, ValueError on a long body.
        """
        made: list[Change] = []
        with self._transaction() as db:
            rev = self.rev
            last = db.execute("SELECT digest FROM change ORDER BY rev DESC LIMIT 1").fetchone()
            before = last[0] if last else self._base()
            for each in wanted:
                self._expect(each)
                if each.body is not None and len(each.body) > MOST_BODY:
                    raise ValueError(f"{each.kind} {each.ident}: over {MOST_BODY} bytes")
                rev += 1
                change = Change(rev, at, who, each.kind, each.ident, each.body)
                before = digest(before, change)
                self._write(change, before)
                made.append(change)
            if key:
                db.execute("DELETE FROM answered WHERE at<?", (at - ANSWER_KEEP,))
                told = answer(made) if callable(answer) else answer
                db.execute("INSERT INTO answered VALUES (?, ?, ?, ?, ?)", (who, key, request, told, at))
        return made

    def _base(self) -> bytes:
        """The digest that the log goes on from: its own start, or the row that a compaction took out last."""
        row = self.db.execute("SELECT value FROM mark WHERE name='base'").fetchone()
        return row[0] if row else FIRST

    def _expect(self, each: Wanted) -> None:
        if each.expect is None:
            return
        held = self.get(each.kind, each.ident)
        now = held.rev if held else 0
        if now != each.expect:
            raise Conflict(now)

    def _write(self, change: Change, chained: bytes) -> None:
        db = self.db
        db.execute(
            "INSERT INTO change VALUES (?, ?, ?, ?, ?, ?, ?)",
            (change.rev, change.at, change.who, change.kind, change.ident, change.body, chained),
        )
        if change.body is None:
            db.execute("DELETE FROM state WHERE kind=? AND ident=?", (change.kind, change.ident))
        else:
            db.execute(
                "INSERT INTO state VALUES (?, ?, ?, ?) "
                "ON CONFLICT (kind, ident) DO UPDATE SET rev=excluded.rev, body=excluded.body",
                (change.kind, change.ident, change.rev, change.body),
            )

    def answered(self, who: str, key: str) -> tuple[bytes, bytes] | None:
        """The request and answer of a call that carried this key."""
        row = self.db.execute(
            "SELECT request, answer FROM answered WHERE who=? AND key=?", (who, key)
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
            if keep_from > self.rev:
                raise ValueError("the newest row stays")
            db.execute(
                "INSERT INTO mark VALUES ('base', ?) ON CONFLICT (name) DO UPDATE SET value=excluded.value",
                row,
            )
            return db.execute("DELETE FROM change WHERE rev<?", (keep_from,)).rowcount

    # -- whole files

    def verify(self) -> None:
        """Look at every page, row and digest. Raises Damaged."""
        try:
            told = [row[0] for row in self.db.execute("PRAGMA integrity_check(5)")]
            if told != ["ok"]:
                raise Damaged(self._lost("; ".join(told)))
            self._verify_log()
        except sqlite3.DatabaseError as bad:
            if _is_busy(bad) or _takes_nothing(bad):
                raise self._not_now(bad) from None
            raise Damaged(self._lost(str(bad))) from None

    def _not_now(self, bad: sqlite3.DatabaseError) -> InUse:
        why = "in use by another process" if _is_busy(bad) else "its disk takes nothing more"
        return InUse(f"{self.path}: {why} ({bad})")

    def _verify_log(self) -> None:
        """The chain of digests, and that the state is what the log adds up to as far as it goes back."""
        before, last = self._base(), None
        newest: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        for *row, chained in self.db.execute("SELECT * FROM change ORDER BY rev"):
            change = Change(*row)
            before = digest(before, change)
            if chained != before or (last is not None and change.rev != last + 1):
                raise Damaged(self._lost(f"the log is broken at revision {change.rev}"))
            last = change.rev
            newest[change.kind, change.ident] = change.rev, change.body
        for (kind, ident), (rev, body) in newest.items():
            held = self.get(kind, ident)
            if (held is None) != (body is None) or (held and (held.rev, held.body) != (rev, body)):
                raise Damaged(self._lost(f"{kind} {ident} is not what the log says"))
        extra = self.db.execute("SELECT count(*) FROM state WHERE rev>?", (last or 0,)).fetchone()[0]
        if extra:
            raise Damaged(self._lost(f"{extra} things are newer than the log"))

    def _lost(self, why: str) -> str:
        newest = newest_snapshot(self.path)
        kept = (
            f"the newest good snapshot is {newest[0]}, revision {newest[1]}"
            if newest
            else "there is no snapshot"
        )
        return f"{self.path}: damaged ({why}); {kept}"

    def backup(self, target: str | Path) -> int:
        """A copy of the whole, taken while changes go on; its revision. It stands whole under its name or not
        at all. Raises Full."""
        target = Path(target)
        part = target.with_name(target.name + ".part")
        part.unlink(missing_ok=True)
        copy = sqlite3.connect(part)
        try:
            self.db.backup(copy, pages=256)
            copy.execute("PRAGMA journal_mode=DELETE")
            rev = copy.execute("SELECT coalesce(max(rev), 0) FROM change").fetchone()[0]
        except sqlite3.OperationalError as bad:
            # As any other change: a keeper whose hourly copy finds no room has to go on without one.
            if not _is_full(bad):
                raise
            part.unlink(missing_ok=True)
            raise Full(str(bad)) from None
        finally:
            copy.close()
        part.replace(target)
        return rev


def _is_busy(bad: sqlite3.DatabaseError) -> bool:
    return getattr(bad, "sqlite_errorcode", 0) & 0xFF in (sqlite3.SQLITE_BUSY, sqlite3.SQLITE_LOCKED)


def _takes_nothing(bad: sqlite3.DatabaseError) -> bool:
    return getattr(bad, "sqlite_errorcode", 0) in WRITES_FAILED


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
        with suppress(Damaged, sqlite3.DatabaseError):
            copy = Store(each, read_only=True)
            try:
                copy.verify()
                return each, copy.rev
            finally:
                copy.close()
    return None


def restore(snapshot: str | Path, target: str | Path) -> int:
    """A snapshot to a store's place; the file that stands there is kept under another name. Its revision.

    Raises Damaged where the snapshot is not whole.
    """
    snapshot, target = Path(snapshot), Path(target)
    copy = Store(snapshot, read_only=True)
    try:
        copy.verify()
        rev = copy.rev
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
