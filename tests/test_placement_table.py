"""The shard table, by which a router finds the shard of a key."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gaugehinge.placement.affinity import RegionAffinity
from gaugehinge.placement.shard_table import PrefixConflict, ShardAssignment, ShardTable

EU, US = RegionAffinity(True, ("eu",), (("a",),)), RegionAffinity(True, ("us",), (("b",),))
NEAR_EU = RegionAffinity(False, ("eu", "us"), (("a",), ("b",)))


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.text("ab/", max_size=4), st.sampled_from([EU, US, NEAR_EU, None])), max_size=12),
    st.lists(st.text("ab/c", max_size=6), max_size=12),
)
def test_longest_prefix_wins_regardless_of_update_order(rules, keys):
    by_prefix = dict(rules)
    assignments = [
        ShardAssignment(7, f"s{i}", (prefix,), affinity, False, i)
        for i, (prefix, affinity) in enumerate(by_prefix.items())
    ]
    table = ShardTable()
    for assignment in assignments:
        table.update([assignment], [])
    rebuilt = ShardTable()
    rebuilt.update(reversed(assignments), [], is_complete=True)
    for key in keys:
        matching = sorted((prefix for prefix in by_prefix if key.startswith(prefix)), key=len, reverse=True)
        affinity = next((by_prefix[prefix] for prefix in matching if by_prefix[prefix] is not None), None)
        for candidate in (table, rebuilt):
            found = candidate.find(b"7/" + key.encode())
            assert (found is None) is (not matching)
            if found is not None:
                assert found.regions == (affinity.search_order() if affinity else (None,))
                assert found.required is bool(affinity and affinity.required)
        assert table.find(b"8/" + key.encode()) is None
    table.update([], [assignment.key for assignment in assignments])
    assert not table.rules and not table.assignments


def test_conflicting_prefix_belongs_to_earlier_shard_and_other_prefixes_still_apply():
    """Guards against a TypeError (`'<' not supported between instances of 'ShardAssignment'`) when a router
    sorted two assignments with the same prefix: it applied neither that update nor any later one."""
    assignments = [
        ShardAssignment(7, "late", ("a/", "only-late/"), US, False, 5),
        ShardAssignment(7, "early", ("a/",), EU, False, 3),
        ShardAssignment(7, "sound", ("b/",), NEAR_EU, False, 4),
        ShardAssignment(8, "other", ("a/",), US, False, 9),
    ]
    for order in (assignments, assignments[::-1]):
        table = ShardTable()
        table.update(order, [])
        found = {key: table.find(key).shard for key in (b"7/a/1", b"7/only-late/1", b"7/b/1", b"8/a/1")}
        assert found == {b"7/a/1": "early", b"7/only-late/1": "late", b"7/b/1": "sound", b"8/a/1": "other"}
        assert table.conflicts() == [PrefixConflict(7, "a/", "early", "late")]
    table.update([], [assignments[1].key])
    assert table.find(b"7/a/1").shard == "late" and not table.conflicts()


def test_two_default_shards_conflict():
    table = ShardTable()
    assignments = [ShardAssignment(7, name, (), EU, False, 3) for name in ("b", "a")]
    table.update(assignments, [], is_complete=True)
    assert table.find(b"7/any").shard == "a"
    assert table.conflicts() == [PrefixConflict(7, "", "a", "b")]
