"""The hash ring: which keys move when the endpoint list changes, and the effect of weights."""

from helper import Bench, EndpointState, origin_row, row
from routing_cases import homes

from gaugehinge.routing.hash_ring import POINTS_PER_ENDPOINT


def test_a_removal_moves_only_the_keys_of_the_removed_endpoint():
    bench = Bench()
    before = homes(bench)
    bench.hear([row(3, EndpointState.GONE)], whole=False)
    after = homes(bench)
    moved = [k for k in before if before[k] != after[k]]
    assert moved and all(before[k] == 3 for k in moved)


def test_a_join_moves_keys_only_to_the_joined_endpoint():
    bench = Bench()
    before = homes(bench)
    bench.hear([row(20)], whole=False)
    after = homes(bench)
    moved = [k for k in before if before[k] != after[k]]
    assert 0 < len(moved) < 80 and all(after[k] == 20 for k in moved)


def test_incremental_updates_give_the_same_ring_as_a_full_rebuild():
    bench = Bench()
    bench.hear([row(3, EndpointState.DRAINING), row(20), row(4, started=bench.now)], whole=False)
    bench.hear([row(5, EndpointState.GONE)], whole=False)
    bench.hear([row(3), row(21)], whole=False)
    fresh = Bench(caches=0)
    fresh.hear([row(i) for i in (1, 2, 3, 4, 6, 7, 8, 20, 21)] + [origin_row()])
    ring = [(p, bench.router.ring.owners[p].ident) for p in bench.router.ring.points]
    assert ring == [(p, fresh.router.ring.owners[p].ident) for p in fresh.router.ring.points]
    assert bench.router.ring.owners[ring[0][0]] is bench.router.endpoints[ring[0][1]]


def key_counts(bench, keys=600):
    found = homes(bench, keys)
    return {ident: sum(1 for home in found.values() if home == ident) for ident in range(1, 9)}


def test_endpoints_get_keys_in_proportion_to_their_listed_weights():
    """Treated as equal to fast ones, slow cache servers were overloaded at half load."""
    bench = Bench(caches=0, has_endpoint_weights=True)
    bench.hear([row(i, weight=40.0 if i < 6 else 10.0) for i in range(1, 9)] + [origin_row()])
    found = key_counts(bench)
    small, large = [found[i] for i in (6, 7, 8)], [found[i] for i in range(1, 6)]
    assert max(small) < min(large) and 2.5 < sum(large) / 5 / (sum(small) / 3) < 6.0


def test_absent_equal_or_ignored_weights_do_not_move_keys():
    plain = homes(Bench())
    for weighted, weights in ((False, [1.0, 5.0]), (True, [0.0, 0.0]), (True, [7.0, 7.0])):
        bench = Bench(caches=0, has_endpoint_weights=weighted)
        bench.hear([row(i, weight=weights[i % 2]) for i in range(1, 9)] + [origin_row()])
        assert homes(bench) == plain


def test_a_restart_with_another_weight_leaves_no_stale_points():
    bench = Bench(caches=0, has_endpoint_weights=True)
    listed = [row(i, weight=1.0) for i in range(1, 9)] + [origin_row()]
    bench.hear(listed)
    bench.hear([row(3, weight=4.0, started=bench.now - 90)], whole=False)
    bench.hear([row(3, weight=0.5, started=bench.now - 60)], whole=False)
    assert len(bench.router.ring.points) == 7 * POINTS_PER_ENDPOINT + POINTS_PER_ENDPOINT // 2
    assert set(bench.router.ring.points) == bench.router.ring.owners.keys()
    assert all(cache.state is EndpointState.UP for cache in bench.router.ring.owners.values())
