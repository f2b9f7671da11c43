"""Endpoint selection with regions: it stays within a shard's regions, in their order."""

from helper import MARKED, READ, Action, Bench, Outcome, origin_row, row
from test_random import Rules

from gaugehinge.routing.hash_ring import HashRing


def fleet(zones="abc", servers_per_zone=4, **changes) -> Bench:
    bench = Bench(caches=0, cache_aside=False, **changes)
    bench.hear(
        [row(i, zone=zones[i % len(zones)]) for i in range(1, servers_per_zone * len(zones) + 1)]
        + [origin_row()]
    )
    return bench


def route_within(bench, key, regions, traffic=READ):
    operation, _ = bench.ask(key, traffic)  # routed without regions first, to get a valid operation
    for attempt in operation.attempts:
        bench.end(attempt, Outcome.NOT_SENT, 0.0)
    operation.attempts.clear()
    operation.tried_endpoints.clear()
    operation.finished, operation.regions, operation.admitted = False, regions, False
    return operation, bench.router.route(operation, bench.now)


def test_selection_leaves_a_region_only_when_no_server_there_is_eligible():
    bench = fleet()
    a, b = frozenset("a"), frozenset("b")
    endpoints_used = set()
    for i in range(200):
        bench.now += 0.2
        _, answer = route_within(bench, f"k{i}", (a, b))
        assert answer.attempt.endpoint.zone == "a"
        endpoints_used.add(answer.attempt.endpoint.ident)
        bench.end(answer.attempt, Outcome.SUCCEEDED)
    assert len(endpoints_used) == 4, "all servers of the region share its keys"
    for cache in bench.router.endpoints.values():
        if cache.zone == "a":
            cache.full_until = bench.now + 1.0
    _, answer = route_within(bench, "k1", (a, b))
    assert answer.attempt.endpoint.zone == "b"
    bench.end(answer.attempt, Outcome.SUCCEEDED)
    assert route_within(bench, "k1", (a,))[1].action is Action.REJECT
    _, answer = route_within(bench, "k1", (a, None))
    assert answer.attempt.endpoint.zone in "bc"


def test_load_bound_uses_the_regions_mean_and_a_region_may_become_empty():
    bench = fleet(servers_per_zone=3)
    a = frozenset("a")
    attempts = [route_within(bench, "hot", (a,))[1].attempt for _ in range(6)]
    endpoints = {attempt.endpoint.ident for attempt in attempts}
    assert len(endpoints) == 3, "a hot key spreads by load over its region only"
    rows = [row(i, zone="abc"[i % 3]) for i in range(1, 10)]
    bench.hear([each for each in rows if each.zone != "a"] + [origin_row()])
    assert route_within(bench, "hot", (a,))[1].action is Action.REJECT
    assert route_within(bench, "hot", (a, None))[1].action is Action.SEND


def test_retry_stays_in_the_region():
    bench = fleet()
    operation, answer = route_within(bench, "k", (frozenset("c"),), MARKED)
    for _ in range(2):
        first = answer.attempt
        ((_, answer),) = bench.end(first, Outcome.CONNECTION_LOST)
        assert answer.action is Action.SEND and answer.attempt.endpoint.zone == "c"
        assert answer.attempt.endpoint is not first.endpoint


def test_selection_without_regions_uses_no_region_rings(monkeypatch):
    def unexpected_call(*args):
        raise AssertionError("region rings were used")

    monkeypatch.setattr(HashRing, "rings_within", unexpected_call)
    for seed in range(3):
        Rules(seed).run(800)
