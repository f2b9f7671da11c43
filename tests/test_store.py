"""The store's log and state: revisions, conflicts, recorded responses, compaction, and a stateful test."""

import shutil
import sqlite3
import tempfile
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, initialize, invariant, rule
from store_data import filled_store

from gaugehinge.store.errors import (
    CompactionError,
    ItemTooLargeError,
    RevisionConflictError,
    StoreCorruptedError,
)
from gaugehinge.store.records import IdempotencyRecord, Mutation
from gaugehinge.store.snapshots import restore
from gaugehinge.store.store import Store


def recorded(key: str, response: bytes) -> IdempotencyRecord:
    return IdempotencyRecord(key, b"r", lambda changes: response)


def test_mutation_is_applied_at_its_expected_revision_or_not_at_all(tmp_path):
    store = Store(tmp_path / "s.db")
    [first] = store.apply([Mutation("tenant", "acme", b"1", expected_revision=0)], "ann", 5.0)
    assert store.get("tenant", "acme").revision == first.revision == store.revision == 1
    unconditional = Mutation("tenant", "birch", b"x")
    with pytest.raises(RevisionConflictError) as raised:
        store.apply([unconditional, Mutation("tenant", "acme", b"2", expected_revision=0)], "bob", 6.0)
    assert raised.value.current_revision == 1
    assert store.get("tenant", "birch") is None and store.revision == 1
    store.apply([Mutation("tenant", "acme", None, expected_revision=1)], "ann", 7.0)
    assert store.get("tenant", "acme") is None and store.revision == 2
    with pytest.raises(RevisionConflictError) as raised:
        store.apply([Mutation("tenant", "acme", b"3", expected_revision=1)], "bob", 8.0)
    assert raised.value.current_revision == 0
    assert [change.body for change in store.history("tenant", "acme")] == [None, b"1"]
    with pytest.raises(ItemTooLargeError):
        store.apply([Mutation("tenant", "acme", b"x" * (1 << 20))], "ann", 9.0)


def test_response_is_recorded_once_per_idempotency_key_and_kept_for_a_day(tmp_path):
    store = Store(tmp_path / "s.db")
    store.apply([Mutation("tenant", "a", b"1")], "ann", 0.0, recorded("k", b"made"))
    assert store.recorded_response("ann", "k") == (b"r", b"made")
    assert store.recorded_response("bob", "k") is None
    with pytest.raises(sqlite3.IntegrityError):
        store.apply([Mutation("tenant", "b", b"1")], "ann", 1.0, recorded("k", b"again"))
    assert store.get("tenant", "b") is None, "the change and its response are written in one transaction"
    store.apply([Mutation("tenant", "c", b"1")], "ann", 90_000.0, recorded("k2", b"made"))
    assert store.recorded_response("ann", "k") is None


def test_changes_are_ordered_by_revision_though_the_clock_is_set_back(tmp_path):
    store = filled_store(tmp_path / "s.db")
    store.apply([Mutation("tenant", "late", b"1")], "root", 3.0)  # the clock was set back
    assert [change.revision for change in store.changes(5)] == list(range(6, 22))
    assert store.changes(20)[0].item_id == "late" and store.changes(21) == []
    state = {}
    for change in store.changes(0):
        state[change.kind, change.item_id] = change.body
    contents = store.read_all()
    assert contents.revision == 21
    assert {(item.kind, item.item_id): item.body for item in contents.items} == state
    store.verify()


def test_compacted_log_is_continued_and_still_verified(tmp_path):
    store = filled_store(tmp_path / "s.db")
    assert store.compact(11) == 10 and store.oldest_revision == 11 and store.compact(11) == 0
    store.verify()
    store.apply([Mutation("tenant", "t0", b"new")], "root", 1.0)
    store.verify()
    with pytest.raises(CompactionError):
        store.compact(99)
    store.connection.execute("UPDATE change SET who='other' WHERE rev=15")
    with pytest.raises(StoreCorruptedError, match="revision 15"):
        store.verify()


class StoreComparison(RuleBasedStateMachine):
    """Compares the store with a dict as model of its state and a list as model of its log."""

    revisions = Bundle("revisions")

    @initialize()
    def open(self):
        self.folder = Path(tempfile.mkdtemp())
        self.path = self.folder / "s.db"
        self.store = Store(self.path)
        self.state: dict = {}
        self.log: list = []
        self.oldest_revision = 1

    def teardown(self):
        self.store.close()
        shutil.rmtree(self.folder)

    @rule(
        target=revisions,
        changes=st.lists(
            st.tuples(
                st.sampled_from("ab"), st.sampled_from("xyz"), st.one_of(st.none(), st.binary(max_size=9))
            ),
            min_size=1,
            max_size=3,
        ),
        expectation_holds=st.booleans(),
    )
    def apply(self, changes, expectation_holds):
        kind, item_id, _ = changes[0]
        current_revision = self.state.get((kind, item_id), (0, None))[0]
        expected_revision = current_revision if expectation_holds else current_revision + 1
        mutations = [Mutation(*changes[0], expected_revision), *(Mutation(*each) for each in changes[1:])]
        if not expectation_holds:
            with pytest.raises(RevisionConflictError):
                self.store.apply(mutations, "w", 1.0)
            return current_revision
        for requested, change in zip(changes, self.store.apply(mutations, "w", 1.0), strict=True):
            self.log.append((change.revision, *requested))
            if requested[2] is None:
                self.state.pop(requested[:2], None)
            else:
                self.state[requested[:2]] = change.revision, requested[2]
        return current_revision

    @rule(revision=consumes(revisions))
    def read_changes(self, revision):
        revision = max(revision, self.oldest_revision - 1)
        found = [(c.revision, c.kind, c.item_id, c.body) for c in self.store.changes(revision)]
        assert found == [row for row in self.log if row[0] > revision]

    @rule()
    def reopen(self):
        self.store.close()
        self.store = Store(self.path)

    @rule(rows_kept=st.integers(0, 3))
    def compact(self, rows_kept):
        if self.log:
            first_kept_revision = max(len(self.log) - rows_kept, 1)
            self.store.compact(first_kept_revision)
            self.oldest_revision = max(self.oldest_revision, first_kept_revision)

    @rule()
    def backup_and_restore(self):
        self.store.backup(self.folder / "b.db")
        self.store.close()
        restore(self.folder / "b.db", self.path)
        self.store = Store(self.path)

    @invariant()
    def state_and_log_agree(self):
        if hasattr(self, "store"):
            assert self.store.revision == len(self.log)
            items = self.store.read_all().items
            found = {(item.kind, item.item_id): (item.revision, item.body) for item in items}
            assert found == self.state
            self.store.verify()


StoreComparison.TestCase.settings = settings(
    max_examples=40, stateful_step_count=25, deadline=None, derandomize=True
)
TestStoreAgainstModel = StoreComparison.TestCase
