"""The durable store: conflicts, chains, torn files, full disks, kills at any moment."""

import json
import random
import shutil
import sqlite3
import subprocess
import sys
import threading
from contextlib import closing
from pathlib import Path

import pytest
import trio
from click.testing import CliRunner
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, initialize, invariant, rule

from gaugehinge.cli.main import main
from gaugehinge.store import schema
from gaugehinge.store import store as of_store
from gaugehinge.store.async_store import MAX_QUEUED_CALLS, AsyncStore, StoreOverloadedError
from gaugehinge.store.crash_test import kill_writer_once
from gaugehinge.store.store import (
    DiskFullError,
    Mutation,
    RevisionConflictError,
    Store,
    StoreUnavailableError,
    StoreUnusableError,
    encode,
    newest_snapshot,
    restore,
)


def filled(path: Path, count: int = 20) -> Store:
    store = Store(path)
    for i in range(count):
        store.apply([Mutation("tenant", f"t{i % 7}", encode({"n": i}))], "root", 1000.0 + i)
    return store


def test_a_change_is_made_for_the_revision_that_was_read_or_not_at_all(tmp_path):
    store = Store(tmp_path / "s.db")
    [first] = store.apply([Mutation("tenant", "acme", b"1", expected_revision=0)], "ann", 5.0)
    assert store.get("tenant", "acme").revision == first.revision == store.revision == 1
    with pytest.raises(RevisionConflictError) as told:
        store.apply(
            [Mutation("tenant", "birch", b"x"), Mutation("tenant", "acme", b"2", expected_revision=0)],
            "bob",
            6.0,
        )
    assert told.value.current_revision == 1 and store.get("tenant", "birch") is None and store.revision == 1
    store.apply([Mutation("tenant", "acme", None, expected_revision=1)], "ann", 7.0)
    assert store.get("tenant", "acme") is None and store.revision == 2
    with pytest.raises(RevisionConflictError) as told:
        store.apply([Mutation("tenant", "acme", b"3", expected_revision=1)], "bob", 8.0)
    assert told.value.current_revision == 0
    assert [change.body for change in store.history("tenant", "acme")] == [None, b"1"]
    with pytest.raises(ValueError):
        store.apply([Mutation("tenant", "acme", b"x" * (1 << 20))], "ann", 9.0)


def test_two_of_a_call_with_a_key_find_one_answer_for_a_day(tmp_path):
    store = Store(tmp_path / "s.db")
    store.apply(
        [Mutation("tenant", "a", b"1")], "ann", 0.0, idempotency_key="k", request=b"r", response=b"made"
    )
    assert (
        store.recorded_response("ann", "k") == (b"r", b"made") and store.recorded_response("bob", "k") is None
    )
    with pytest.raises(sqlite3.IntegrityError):
        store.apply(
            [Mutation("tenant", "b", b"1")], "ann", 1.0, idempotency_key="k", request=b"r", response=b"again"
        )
    assert store.get("tenant", "b") is None, "the change and its answer are one"
    store.apply(
        [Mutation("tenant", "c", b"1")], "ann", 90_000.0, idempotency_key="k2", request=b"r", response=b"made"
    )
    assert store.recorded_response("ann", "k") is None


def test_the_log_tells_all_from_any_revision_on_and_a_clock_set_back_changes_no_order(tmp_path):
    store = filled(tmp_path / "s.db")
    store.apply([Mutation("tenant", "late", b"1")], "root", 3.0)  # the clock was set back
    assert [change.revision for change in store.changes(5)] == list(range(6, 22))
    assert store.changes(20)[0].item_id == "late" and store.changes(21) == []
    state = {}
    for change in store.changes(0):
        state[change.kind, change.item_id] = change.body
    rev, things = store.read_all()
    assert rev == 21 and {(kind, item.item_id): item.body for kind, item in things} == state
    store.verify()


def test_a_compacted_log_goes_on_and_is_still_verified(tmp_path):
    store = filled(tmp_path / "s.db")
    assert store.compact(11) == 10 and store.oldest_revision == 11 and store.compact(11) == 0
    store.verify()
    store.apply([Mutation("tenant", "t0", b"new")], "root", 1.0)
    store.verify()
    with pytest.raises(ValueError):
        store.compact(99)
    store.connection.execute("UPDATE change SET who='other' WHERE rev=15")
    with pytest.raises(StoreUnusableError, match="revision 15"):
        store.verify()


@pytest.mark.parametrize(
    "spoil, why",
    [
        ("DELETE FROM change WHERE rev=7", "broken at revision 8"),
        ("UPDATE change SET body=x'00' WHERE rev=3", "broken at revision 3"),
        ("UPDATE state SET body=x'00' WHERE ident='t1'", "tenant t1 is not what the log says"),
        ("DELETE FROM state WHERE ident='t2'", "tenant t2 is not what the log says"),
        ("INSERT INTO state VALUES ('tenant', 'x', 99, x'00')", "newer than the log"),
    ],
)
def test_what_does_not_add_up_is_found(tmp_path, spoil, why):
    store = filled(tmp_path / "s.db")
    store.connection.execute(spoil)
    with pytest.raises(StoreUnusableError, match=why):
        store.verify()


def test_a_torn_file_is_refused_and_the_newest_good_snapshot_named(tmp_path):
    path = tmp_path / "s.db"
    store = filled(path, 400)
    store.backup(tmp_path / "s.db.snapshot-000000000400")
    store.apply([Mutation("tenant", "after", b"1")], "root", 1.0)
    store.backup(tmp_path / "s.db.snapshot-000000000401")
    store.connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    for name in ("s.db", "s.db.snapshot-000000000401"):  # the newest snapshot is torn as well
        data = bytearray((tmp_path / name).read_bytes())
        data[8192:12288] = random.Random(1).randbytes(4096)
        (tmp_path / name).write_bytes(data)
    with pytest.raises(StoreUnusableError) as told:
        AsyncStore(path)
    assert "snapshot-000000000400, revision 400" in str(told.value) and "\n" not in str(told.value)
    run = CliRunner().invoke(main, ["store", "verify", str(path)])
    assert run.exit_code == 2 and "revision 400" in run.output and run.output.count("\n") == 1
    assert restore(newest_snapshot(path)[0], path) == 400
    back = Store(path)
    back.verify()
    assert back.revision == 400 and (tmp_path / "s.db.replaced").exists()
    path.write_bytes(b"no database at all" * 100)
    with pytest.raises(StoreUnusableError):
        Store(path)


def test_a_file_that_another_process_holds_is_waited_for_and_never_called_damaged(tmp_path, monkeypatch):
    path = tmp_path / "store.db"
    with closing(Store(path)) as store:
        store.apply([Mutation("thing", "a", b"1", 0)], "ann", 1.0)
    monkeypatch.setattr(of_store, "BUSY_TIMEOUT", 0.05)
    with closing(sqlite3.connect(path, isolation_level=None, check_same_thread=False)) as other:
        other.execute("PRAGMA locking_mode=EXCLUSIVE")
        other.execute("BEGIN EXCLUSIVE")
        monkeypatch.setattr(of_store, "OPEN_TIMEOUT", 0.2)
        with pytest.raises(StoreUnavailableError, match="in use by another process") as told:
            Store(path).verify()
        assert "damaged" not in str(told.value)
        monkeypatch.setattr(of_store, "OPEN_TIMEOUT", 60.0)
        timer = threading.Timer(0.5, other.close)
        timer.start()
        with closing(Store(path)) as store:
            store.verify()
            assert store.get("thing", "a").body == b"1"
        timer.join()


def test_files_of_other_versions_and_programs(tmp_path):
    path = tmp_path / "s.db"
    old = sqlite3.connect(path)
    for statement in schema.MIGRATIONS[1]:
        old.execute(statement)
    old.execute(f"PRAGMA application_id={schema.APPLICATION_ID}")
    old.execute("PRAGMA user_version=1")
    old.commit()
    old.close()
    store = Store(path)  # brought forward
    store.apply([Mutation("tenant", "a", b"1")], "root", 1.0, idempotency_key="k", request=b"", response=b"")
    store.connection.execute(f"PRAGMA user_version={schema.SCHEMA_VERSION + 1}")
    store.close()
    with pytest.raises(StoreUnusableError, match="take the newer build"):
        Store(path)
    other = sqlite3.connect(tmp_path / "o.db")
    other.execute("CREATE TABLE x (y)")
    other.close()
    with pytest.raises(StoreUnusableError, match="not a store"):
        Store(tmp_path / "o.db")


def test_a_full_disk_takes_no_half_of_a_change(tmp_path):
    store = filled(tmp_path / "s.db", 5)
    pages = store.connection.execute("PRAGMA page_count").fetchone()[0]
    store.connection.execute(f"PRAGMA max_page_count={pages + 2}")
    with pytest.raises(DiskFullError):
        for i in range(100):
            store.apply([Mutation("tenant", f"big{i}", b"x" * 5000)], "root", 1.0)
    rev = store.revision
    store.verify()
    store.connection.execute("PRAGMA max_page_count=1000000")
    assert store.apply([Mutation("tenant", "a", b"1")], "root", 1.0)[0].revision == rev + 1
    store.verify()


FULL = """
import resource, sys, trio
from gaugehinge.store import async_store, store
store.OPEN_TIMEOUT = 0.2
path, after = sys.argv[1], sys.argv[2] == "after"
held = async_store.AsyncStore(path) if after else None
resource.setrlimit(resource.RLIMIT_FSIZE, (0, -1))  # each write is refused: as on a full disk
try:
    if after:
        async_store.SNAPSHOT_INTERVAL = 0.01
        async def care():
            with trio.move_on_after(0.2):
                await held.run_maintenance()
        trio.run(care)
        held.store.backup(path + ".copy")
    else:
        store.Store(path).verify()
except Exception as bad:
    print(type(bad).__name__, bad)
"""


@pytest.mark.parametrize("when, told", [("before", "StoreUnavailableError"), ("after", "DiskFullError")])
def test_a_full_disk_is_no_damage_and_ends_no_keeper(tmp_path, when, told):
    path = tmp_path / "s.db"
    filled(path).close()
    done = subprocess.run(
        [sys.executable, "-B", "-c", FULL, path, when], capture_output=True, text=True, timeout=60
    )
    assert done.stdout.startswith(told) and "damaged" not in done.stdout, done.stdout + done.stderr
    with closing(Store(path)) as store:
        store.verify()


KILLS = 20


def test_killed_at_any_moment_all_that_was_acknowledged_is_there_and_no_half(tmp_path):
    path, draw = tmp_path / "s.db", random.Random(3)
    found = [kill_writer_once(path, kill, draw.randint(1, 25)) for kill in range(KILLS)]
    assert found[-1][1] > 10 * KILLS and all(
        one[1] <= other[0] for one, other in zip(found, found[1:], strict=False)
    )


# -- against a plain model


class Model(RuleBasedStateMachine):
    """The store, a dict and a list, side by side."""

    seen = Bundle("seen")

    @initialize()
    def begin(self):
        self.folder = Path(__import__("tempfile").mkdtemp())
        self.path = self.folder / "s.db"
        self.store = Store(self.path)
        self.state: dict = {}
        self.log: list = []
        self.oldest = 1

    def teardown(self):
        self.store.close()
        shutil.rmtree(self.folder)

    @rule(
        target=seen,
        changes=st.lists(
            st.tuples(
                st.sampled_from("ab"), st.sampled_from("xyz"), st.one_of(st.none(), st.binary(max_size=9))
            ),
            min_size=1,
            max_size=3,
        ),
        right=st.booleans(),
    )
    def apply(self, changes, right):
        kind, ident, _ = changes[0]
        held = self.state.get((kind, ident), (0, None))[0]
        expect = held if right else held + 1
        wanted = [Mutation(*changes[0], expect), *(Mutation(*each) for each in changes[1:])]
        if not right:
            with pytest.raises(RevisionConflictError):
                self.store.apply(wanted, "w", 1.0)
            return held
        for each, made in zip(changes, self.store.apply(wanted, "w", 1.0), strict=True):
            self.log.append((made.revision, *each))
            if each[2] is None:
                self.state.pop(each[:2], None)
            else:
                self.state[each[:2]] = made.revision, each[2]
        return held

    @rule(since=consumes(seen))
    def follow(self, since):
        since = max(since, self.oldest - 1)
        found = [(c.revision, c.kind, c.item_id, c.body) for c in self.store.changes(since)]
        assert found == [row for row in self.log if row[0] > since]

    @rule()
    def reopen(self):
        self.store.close()
        self.store = Store(self.path)

    @rule(part=st.integers(0, 3))
    def compact(self, part):
        if self.log:
            keep = max(len(self.log) - part, 1)
            self.store.compact(keep)
            self.oldest = max(self.oldest, keep)

    @rule()
    def through_a_backup(self):
        self.store.backup(self.folder / "b.db")
        self.store.close()
        restore(self.folder / "b.db", self.path)
        self.store = Store(self.path)

    @invariant()
    def agree(self):
        if hasattr(self, "store"):
            assert self.store.revision == len(self.log)
            found = {
                (kind, item.item_id): (item.revision, item.body) for kind, item in self.store.read_all()[1]
            }
            assert found == self.state
            self.store.verify()


Model.TestCase.settings = settings(max_examples=40, stateful_step_count=25, deadline=None, derandomize=True)
TestAgainstAModel = Model.TestCase


# -- the keeper


def test_watchers_get_every_change_in_order_and_are_told_when_they_fell_too_far_behind(tmp_path):
    async def follow(keeper, until, found, since=0):
        while since < until:
            changes = await keeper.changes(since, 7, 5.0)
            found += changes
            since = changes[-1].revision if changes else since

    async def scene():
        keeper = AsyncStore(tmp_path / "s.db")
        found = [[], [], []]
        async with trio.open_nursery() as nursery:
            for each in found:
                nursery.start_soon(follow, keeper, 60, each)
            for i in range(30):
                await keeper.apply([Mutation("t", f"{i}", b"1"), Mutation("t", f"{i % 3}", b"2")], "w")
        assert all([change.revision for change in each] == list(range(1, 61)) for each in found)
        assert await keeper.changes(60, 7, 0.0) == []
        assert await keeper.changes(99, 7, 0.0) is None  # of another life
        await keeper.run_sync(keeper.store.compact, 50)
        assert await keeper.changes(10, 7, 0.0) is None and len(await keeper.changes(49, 70, 0.0)) == 11
        target = await keeper.take_snapshot()
        assert newest_snapshot(keeper.path) == (target, 60) and await keeper.take_snapshot() is None
        keeper.close()

    trio.run(scene)


def test_a_stuck_disk_refuses_calls_and_holds_up_nothing_else(tmp_path):
    import threading

    async def scene():
        keeper = AsyncStore(tmp_path / "s.db")
        stuck = threading.Event()
        refused = []

        async def call():
            try:
                await keeper.apply([Mutation("t", "a", b"1")], "w")
            except StoreOverloadedError:
                refused.append(1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(keeper.run_sync, stuck.wait)
            await trio.testing.wait_all_tasks_blocked()
            while keeper._calls.qsize():
                await trio.sleep(0.001)
            for _ in range(MAX_QUEUED_CALLS + 10):
                nursery.start_soon(call)
            await trio.testing.wait_all_tasks_blocked()
            assert len(refused) == 10
            with trio.fail_after(1.0):
                await trio.sleep(0.01)  # the loop goes on
            stuck.set()
        assert keeper.revision == MAX_QUEUED_CALLS
        keeper.close()

    trio.run(scene)


def test_a_change_whose_caller_left_is_made_and_told_to_the_watchers(tmp_path):
    async def scene():
        keeper = AsyncStore(tmp_path / "s.db")
        with trio.CancelScope() as scope:
            scope.cancel()
            await keeper.apply([Mutation("t", "a", b"1")], "w")
        assert scope.cancelled_caught
        found = await keeper.changes(0, 10, 5.0)
        assert [change.item_id for change in found] == ["a"] and keeper.revision == 1
        keeper.close()

    trio.run(scene)


def test_backup_and_restore_from_the_command_line(tmp_path):
    path = tmp_path / "s.db"
    store = filled(path)
    told = CliRunner().invoke(main, ["store", "backup", str(path), str(tmp_path / "copy.db")])
    assert told.exit_code == 0 and "revision 20" in told.output
    store.apply([Mutation("tenant", "more", b"1")], "root", 1.0)
    store.close()
    assert "revision 21, 8 things" in CliRunner().invoke(main, ["store", "verify", str(path)]).output
    words = ["store", "restore", str(tmp_path / "copy.db"), str(path)]
    assert CliRunner().invoke(main, words, input="n\n").exit_code == 1
    assert CliRunner().invoke(main, [*words, "--yes"]).exit_code == 0
    assert "revision 20, 7 things" in CliRunner().invoke(main, ["store", "verify", str(path)]).output
    assert json.loads(Store(path).get("tenant", "t3").body) == {"n": 17}
