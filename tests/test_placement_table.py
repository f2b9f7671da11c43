"""The table by which a router finds the shard of a key."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gaugehinge.placement.affinity import RegionAffinity
from gaugehinge.placement.shard_table import ShardAssignment, ShardTable

EU, US = RegionAffinity(True, ("eu",), (("a",),)), RegionAffinity(True, ("us",), (("b",),))
NEAR_EU = RegionAffinity(False, ("eu", "us"), (("a",), ("b",)))


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.text("ab/", max_size=4), st.sampled_from([EU, US, NEAR_EU, None])), max_size=12),
    st.lists(st.text("ab/c", max_size=6), max_size=12),
)
def test_the_longest_prefix_wins_however_they_were_told(rules, keys):
    by_prefix = dict(rules)
    rows = [
        ShardAssignment(7, f"s{i}", (p,), terms, False, i) for i, (p, terms) in enumerate(by_prefix.items())
    ]
    table = ShardTable()
    for each in rows:
        table.update([each], [])
    anew = ShardTable()
    anew.update(reversed(rows), [], is_complete=True)
    for key in keys:
        fits = sorted((p for p in by_prefix if key.startswith(p)), key=len, reverse=True)
        terms = next((by_prefix[p] for p in fits if by_prefix[p] is not None), None)
        for each in (table, anew):
            found = each.find(b"7/" + key.encode())
            assert (found is None) is (not fits)
            if found is not None:
                assert found.regions == (terms.search_order() if terms else (None,))
                assert found.required is bool(terms and terms.required)
        assert table.find(b"8/" + key.encode()) is None
    table.update([], [each.key for each in rows])
    assert not table.rules and not table.assignments
