"""The routing decision with regions: the walk stays in a shard's regions, in their order."""

from helper import MARKED, READ, Action, Bench, Outcome, origin_row, row
from test_random import Rules

from gaugehinge.routing.hash_ring import HashRing


def fleet(zones="abc", each=4, **changes) -> Bench:
    bench = Bench(caches=0, cache_aside=False, **changes)
    bench.hear([row(i, zone=zones[i % len(zones)]) for i in range(1, each * len(zones) + 1)] + [origin_row()])
    return bench


def ask(bench, key, regions, traffic=READ):
    operation, _ = bench.ask(key, traffic)  # asked once without, to have one that is well made
    for attempt in operation.attempts:
        bench.end(attempt, Outcome.NOT_SENT, 0.0)
    operation.attempts.clear()
    operation.tried_endpoints.clear()
    operation.finished, operation.regions, operation.admitted = False, regions, False
    return operation, bench.router.route(operation, bench.now)


def test_a_walk_stays_in_its_region_and_goes_on_only_where_none_there_may_take_it():
    bench = fleet()
    a, b = frozenset("a"), frozenset("b")
    found = set()
    for i in range(200):
        bench.now += 0.2
        _, answer = ask(bench, f"k{i}", (a, b))
        assert answer.attempt.endpoint.zone == "a"
        found.add(answer.attempt.endpoint.ident)
        bench.end(answer.attempt, Outcome.SUCCEEDED)
    assert len(found) == 4, "all of the region share its keys"
    for cache in bench.router.endpoints.values():
        if cache.zone == "a":
            cache.full_until = bench.now + 1.0
    _, answer = ask(bench, "k1", (a, b))
    assert answer.attempt.endpoint.zone == "b"
    bench.end(answer.attempt, Outcome.SUCCEEDED)
    assert ask(bench, "k1", (a,))[1].action is Action.REJECT
    _, answer = ask(bench, "k1", (a, None))
    assert answer.attempt.endpoint.zone in "bc"


def test_the_bound_is_the_regions_own_mean_and_its_last_server_may_go():
    bench = fleet(each=3)
    a = frozenset("a")
    held = [ask(bench, "hot", (a,))[1].attempt for _ in range(6)]
    homes = {attempt.endpoint.ident for attempt in held}
    assert len(homes) == 3, "a hot key spreads over its region by load, and no further"
    rows = [row(i, zone="abc"[i % 3]) for i in range(1, 10)]
    bench.hear([each for each in rows if each.zone != "a"] + [origin_row()])
    assert ask(bench, "hot", (a,))[1].action is Action.REJECT
    assert ask(bench, "hot", (a, None))[1].action is Action.SEND


def test_a_repeat_stays_in_the_region_too():
    bench = fleet()
    operation, answer = ask(bench, "k", (frozenset("c"),), MARKED)
    for _ in range(2):
        first = answer.attempt
        ((_, answer),) = bench.end(first, Outcome.CONNECTION_LOST)
        assert answer.action is Action.SEND and answer.attempt.endpoint.zone == "c"
        assert answer.attempt.endpoint is not first.endpoint


def test_without_regions_the_walk_never_looks_at_any(monkeypatch):
    def within(*given):
        raise AssertionError("looked at a region")

    monkeypatch.setattr(HashRing, "rings_within", within)
    for seed in range(3):
        Rules(seed).run(800)
