"""Store files: verification, corruption, snapshots, locks, versions, full disks, crashes, CLI commands."""

import errno
import fcntl
import json
import os
import random
import sqlite3
import subprocess
import sys
import threading
from contextlib import closing

import pytest
from click.testing import CliRunner
from store_data import filled_store

from gaugehinge.cli.main import main
from gaugehinge.hosted.feed_snapshot import FeedSnapshot
from gaugehinge.recovery.snapshot import Snapshot, SnapshotFile
from gaugehinge.store import connection, schema
from gaugehinge.store.async_store import AsyncStore
from gaugehinge.store.atomic_file import AtomicFile
from gaugehinge.store.crash_test import kill_writer_once
from gaugehinge.store.errors import (
    DiskFullError,
    IncompatibleStoreError,
    StoreCorruptedError,
    StoreUnavailableError,
)
from gaugehinge.store.records import IdempotencyRecord, Mutation
from gaugehinge.store.snapshots import newest_snapshot, restore
from gaugehinge.store.store import Store
from gaugehinge.tenancy.feed import Feed


@pytest.mark.parametrize(
    "statement, problem",
    [
        ("DELETE FROM change WHERE rev=7", "broken at revision 8"),
        ("UPDATE change SET body=x'00' WHERE rev=3", "broken at revision 3"),
        ("UPDATE state SET body=x'00' WHERE ident='t1'", "tenant t1 does not match the log"),
        ("DELETE FROM state WHERE ident='t2'", "tenant t2 does not match the log"),
        ("INSERT INTO state VALUES ('tenant', 'x', 99, x'00')", "newer than the log"),
    ],
)
def test_verification_finds_missing_altered_and_extra_rows(tmp_path, statement, problem):
    store = filled_store(tmp_path / "s.db")
    store.connection.execute(statement)
    with pytest.raises(StoreCorruptedError, match=problem):
        store.verify()


def test_corrupted_file_is_refused_and_the_newest_intact_snapshot_is_named(tmp_path):
    path = tmp_path / "s.db"
    store = filled_store(path, 400)
    store.backup(tmp_path / "s.db.snapshot-000000000400")
    store.apply([Mutation("tenant", "after", b"1")], "root", 1.0)
    store.backup(tmp_path / "s.db.snapshot-000000000401")
    store.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    for name in ("s.db", "s.db.snapshot-000000000401"):  # the newest snapshot is corrupted as well
        data = bytearray((tmp_path / name).read_bytes())
        data[8192:12288] = random.Random(1).randbytes(4096)
        (tmp_path / name).write_bytes(data)
    with pytest.raises(StoreCorruptedError) as raised:
        AsyncStore(path)
    assert "snapshot-000000000400, revision 400" in str(raised.value) and "\n" not in str(raised.value)
    result = CliRunner().invoke(main, ["store", "verify", str(path)])
    assert result.exit_code == 2 and "revision 400" in result.output and result.output.count("\n") == 1
    assert restore(newest_snapshot(path).path, path) == 400
    restored = Store(path)
    restored.verify()
    assert restored.revision == 400 and (tmp_path / "s.db.replaced").exists()
    path.write_bytes(b"no database at all" * 100)
    with pytest.raises(StoreCorruptedError):
        Store(path)


def test_locked_file_is_waited_for_and_never_reported_as_corrupted(tmp_path, monkeypatch):
    path = tmp_path / "store.db"
    with closing(Store(path)) as store:
        store.apply([Mutation("thing", "a", b"1", 0)], "ann", 1.0)
    monkeypatch.setattr(connection, "BUSY_TIMEOUT", 0.05)
    with closing(sqlite3.connect(path, isolation_level=None, check_same_thread=False)) as other:
        other.execute("PRAGMA locking_mode=EXCLUSIVE")
        other.execute("BEGIN EXCLUSIVE")
        monkeypatch.setattr(connection, "OPEN_TIMEOUT", 0.2)
        with pytest.raises(StoreUnavailableError, match="in use by another process") as raised:
            Store(path).verify()
        assert "damaged" not in str(raised.value)
        monkeypatch.setattr(connection, "OPEN_TIMEOUT", 60.0)
        timer = threading.Timer(0.5, other.close)
        timer.start()
        with closing(Store(path)) as store:
            store.verify()
            assert store.get("thing", "a").body == b"1"
        timer.join()


def test_older_file_is_migrated_and_newer_and_foreign_ones_are_refused(tmp_path):
    path = tmp_path / "s.db"
    old = sqlite3.connect(path)
    for statement in schema.MIGRATIONS[1]:
        old.execute(statement)
    old.execute(f"PRAGMA application_id={schema.APPLICATION_ID}")
    old.execute("PRAGMA user_version=1")
    old.commit()
    old.close()
    store = Store(path)  # migrated
    recorded = IdempotencyRecord("k", b"", lambda changes: b"")
    store.apply([Mutation("tenant", "a", b"1")], "root", 1.0, recorded)
    store.connection.execute(f"PRAGMA user_version={schema.SCHEMA_VERSION + 1}")
    store.close()
    with pytest.raises(IncompatibleStoreError, match="use a newer build"):
        Store(path)
    other = sqlite3.connect(tmp_path / "o.db")
    other.execute("CREATE TABLE x (y)")
    other.close()
    with pytest.raises(IncompatibleStoreError, match="not a store"):
        Store(tmp_path / "o.db")


def test_full_disk_keeps_no_part_of_a_transaction(tmp_path):
    store = filled_store(tmp_path / "s.db", 5)
    pages = store.connection.execute("PRAGMA page_count").fetchone()[0]
    store.connection.execute(f"PRAGMA max_page_count={pages + 2}")
    with pytest.raises(DiskFullError):
        for number in range(100):
            store.apply([Mutation("tenant", f"big{number}", b"x" * 5000)], "root", 1.0)
    revision = store.revision
    store.verify()
    store.connection.execute("PRAGMA max_page_count=1000000")
    assert store.apply([Mutation("tenant", "a", b"1")], "root", 1.0)[0].revision == revision + 1
    store.verify()


FULL_DISK_PROCESS = """
import resource, sys, trio
from gaugehinge.store import async_store, connection, store
connection.OPEN_TIMEOUT = 0.2
path, after_opening = sys.argv[1], sys.argv[2] == "after"
opened = async_store.AsyncStore(path) if after_opening else None
resource.setrlimit(resource.RLIMIT_FSIZE, (0, -1))  # refuses every write, as a full disk does
try:
    if after_opening:
        async_store.SNAPSHOT_INTERVAL = 0.01
        async def maintain():
            with trio.move_on_after(0.2):
                await opened.run_maintenance()
        trio.run(maintain)
        opened.store.backup(path + ".copy")
    else:
        store.Store(path).verify()
except Exception as error:
    print(type(error).__name__, error)
"""


@pytest.mark.parametrize(
    "when, error_name", [("before", StoreUnavailableError.__name__), ("after", DiskFullError.__name__)]
)
def test_full_disk_is_not_reported_as_corruption_and_does_not_end_maintenance(tmp_path, when, error_name):
    path = tmp_path / "s.db"
    filled_store(path).close()
    result = subprocess.run(
        [sys.executable, "-B", "-c", FULL_DISK_PROCESS, path, when],
        capture_output=True,
        text=True,
        timeout=60,
    )
    output = result.stdout + result.stderr
    assert result.stdout.startswith(error_name) and "damaged" not in result.stdout, output
    with closing(Store(path)) as store:
        store.verify()


KILLS = 20


def test_acknowledged_changes_survive_kills_and_no_transaction_is_there_in_part(tmp_path):
    path, generator = tmp_path / "s.db", random.Random(3)
    results = [kill_writer_once(path, kill, generator.randint(1, 25)) for kill in range(KILLS)]
    assert results[-1].found_revision > 10 * KILLS
    for earlier, later in zip(results, results[1:], strict=False):
        assert earlier.found_revision <= later.acknowledged_revision


def test_backup_and_restore_from_the_command_line(tmp_path):
    path = tmp_path / "s.db"
    store = filled_store(path)
    result = CliRunner().invoke(main, ["store", "backup", str(path), str(tmp_path / "copy.db")])
    assert result.exit_code == 0 and "revision 20" in result.output
    store.apply([Mutation("tenant", "more", b"1")], "root", 1.0)
    store.close()
    assert "revision 21, 8 things" in CliRunner().invoke(main, ["store", "verify", str(path)]).output
    arguments = ["store", "restore", str(tmp_path / "copy.db"), str(path)]
    assert CliRunner().invoke(main, arguments, input="n\n").exit_code == 1
    assert CliRunner().invoke(main, [*arguments, "--yes"]).exit_code == 0
    assert "revision 20, 7 things" in CliRunner().invoke(main, ["store", "verify", str(path)]).output
    assert json.loads(Store(path).get("tenant", "t3").body) == {"n": 17}


@pytest.mark.parametrize("kind", ["feed", "recovery"])
@pytest.mark.parametrize("step", ["written, not synced", "opened, not locked"])
def test_reader_keeps_a_partial_snapshot_that_is_being_written(tmp_path, monkeypatch, kind, step):
    """A reader removed the partial file being written; no snapshot was saved until the next change."""
    path = str(tmp_path / "snapshot")
    if kind == "feed":
        writer, reader, content = FeedSnapshot(path), FeedSnapshot(path), Feed("s", 5, True, [], [])
    else:
        writer, reader, content = (
            SnapshotFile(path, "i"),
            SnapshotFile(path, "i"),
            Snapshot("i", 1, 1.0, 1.0, "b"),
        )
    module, name = (os, "fsync") if step == "written, not synced" else (fcntl, "flock")
    real = getattr(module, name)

    def read_first(*arguments):
        monkeypatch.undo()
        reader.load()
        return real(*arguments)

    monkeypatch.setattr(module, name, read_first)
    writer.save(content)
    assert reader.load() in (content, (content, ""))
    assert [file.name for file in tmp_path.iterdir()] == ["snapshot"]


def test_reader_that_waited_for_a_lock_keeps_the_next_partial_file_of_that_name(tmp_path, monkeypatch):
    """When the reader gets the lock, the writer has finished the first file and is writing the second."""
    writer, reader = AtomicFile(str(tmp_path / "file")), AtomicFile(str(tmp_path / "file"))
    part, real = writer._partial_path, fcntl.flock

    def write_next(*arguments):
        monkeypatch.undo()
        part.rename(tmp_path / "file")
        part.write_bytes(b"the second")
        real(*arguments)

    part.write_bytes(b"the first")
    monkeypatch.setattr(fcntl, "flock", write_next)
    reader.remove_abandoned_partial_files()
    assert part.read_bytes() == b"the second"


def test_file_is_replaced_on_a_file_system_without_locks(tmp_path, monkeypatch):
    def refuse(*arguments):
        raise OSError(errno.ENOLCK, "no locks")

    monkeypatch.setattr(fcntl, "flock", refuse)
    AtomicFile(str(tmp_path / "file")).replace(b"content")
    assert (tmp_path / "file").read_bytes() == b"content"


def test_partial_file_of_a_killed_writer_is_removed(tmp_path):
    part = tmp_path / "snapshot.0123abcd.part"
    part.write_bytes(b"half")
    assert FeedSnapshot(str(tmp_path / "snapshot")).load() is None
    assert not part.exists()
