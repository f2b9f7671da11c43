"""Endpoint selection: the walk with bounded loads, where it starts, and load reports."""

from helper import Action, Bench, EndpointState, Outcome, origin_row, row
from routing_cases import ask_restricted, homes

from gaugehinge.routing import endpoint_selection
from gaugehinge.routing.endpoint_selection import START_CANDIDATES
from gaugehinge.routing.load_measurement import REPORT_LIFETIME
from gaugehinge.routing.origin_limit import PRESSURE_TIME


def test_a_hot_key_spills_past_the_load_bound_and_returns_home():
    bench = Bench()
    home = bench.settle("hot")
    bench.now += 1
    attempts = [bench.ask("hot")[1].attempt for _ in range(12)]
    assert attempts[0].endpoint.ident == home
    assert len({attempt.endpoint.ident for attempt in attempts}) > 2
    for attempt in attempts:
        bench.end(attempt, Outcome.SUCCEEDED, 0.001)
    bench.now += 1
    assert bench.settle("hot") == home


def test_two_attempts_in_flight_stay_at_the_home_endpoint():
    bench = Bench()
    first, second = (bench.ask("k")[1].attempt for _ in range(2))
    assert first.endpoint is second.endpoint


def test_at_the_hop_limit_the_least_loaded_visited_endpoint_is_selected(monkeypatch):
    monkeypatch.setattr(endpoint_selection, "MAX_HOPS", 3)
    bench = Bench()
    attempts = [bench.ask("k")[1].attempt for _ in range(6)]
    assert len({attempt.endpoint.ident for attempt in attempts}) == 3


def test_a_stuck_endpoint_is_skipped_but_an_idle_one_is_not():
    bench = Bench()
    home = bench.settle("k")
    for i in range(20):
        bench.settle(f"key-{i}")
    bench.now += 2.0
    assert bench.settle("k") == home
    bench.ask("k")
    bench.now += 1.0
    assert bench.settle("k") != home


def settle_with_report(bench, key, reported_load):
    _, answer = bench.ask(key)
    bench.now += 0.02
    bench.router.on_attempt_finished(answer.attempt, Outcome.SUCCEEDED, 0.02, True, bench.now, reported_load)
    return answer.attempt.endpoint.ident


def test_an_endpoint_that_reports_high_load_is_skipped_by_some_of_the_routers():
    """Hundreds of routers with little traffic overloaded a hot key's home: none saw it over the bound
    from its own attempts alone."""
    stayed = 0
    for seed in range(40):
        bench = Bench(seed=seed)
        home = bench.settle("hot")
        for i in range(60):
            bench.now += 0.2
            settle_with_report(bench, f"key-{i}", 2.0)
        for _ in range(12):
            if settle_with_report(bench, "hot", 12.0) != home:
                break
        stayed += bench.settle("hot") == home
        bench.now += 6 * REPORT_LIFETIME  # an old report soon loses its effect
        assert bench.settle("hot") == home
    assert 4 <= stayed <= 30


def test_with_a_connection_price_the_walk_starts_at_an_idle_connection():
    bench = Bench(one_attempt_per_connection=True, connection_price=0.1)
    used = {bench.settle("k") for _ in range(20)}
    assert len(used) == 1
    found = set()
    for seed in range(30):
        other = Bench(one_attempt_per_connection=True, connection_price=0.1, seed=seed)
        found.add(other.settle("k"))
    assert 2 <= len(found) <= START_CANDIDATES
    assert {Bench(seed=seed).settle("k") for seed in range(9)} <= found  # the home is one of the candidates


def test_while_the_origin_is_under_pressure_all_walks_for_a_key_start_at_its_home():
    found = set()
    for seed in range(20):
        bench = Bench(one_attempt_per_connection=True, connection_price=0.1, seed=seed)
        bench.router.origin_limit.pressed_until = bench.now + PRESSURE_TIME
        found.add(bench.settle("k"))
    assert found == {Bench().settle("k")}


def two_zone_bench(**changes):
    bench = Bench(caches=0, zone="a", cross_zone_price=0.2, **changes)
    bench.hear([row(i, zone="ab"[i % 2]) for i in range(1, 9)] + [origin_row()])
    return bench


def test_the_walk_does_not_start_in_an_own_zone_without_endpoints():
    bench = two_zone_bench(one_attempt_per_connection=True, connection_price=0.1)
    bench.hear([row(i, zone="b") for i in range(1, 9, 2)] + [origin_row()])
    assert bench.ask()[1].attempt.endpoint.zone == "b"


def test_with_a_high_cross_zone_price_the_walk_starts_in_the_own_zone_and_continues_outside():
    bench = two_zone_bench()
    assert all(home % 2 == 0 for home in homes(bench, 60).values())
    attempts = [bench.ask("hot")[1].attempt for _ in range(12)]
    assert {attempt.endpoint.zone for attempt in attempts} == {"a", "b"}
    cheap = Bench(caches=0, zone="a", cross_zone_price=0.01)
    cheap.hear([row(i, zone="ab"[i % 2]) for i in range(1, 9)] + [origin_row()])
    assert homes(cheap) == homes(Bench())


def test_a_slow_own_zone_gives_up_a_stable_set_of_keys():
    bench = two_zone_bench()
    for i in range(60):
        attempts = [bench.ask(f"key-{i}")[1].attempt for _ in range(10)]
        for attempt in filter(None, attempts):
            bench.end(attempt, Outcome.SUCCEEDED, 0.06 if attempt.endpoint.zone == "a" else 0.02)
        bench.now += 0.5
    assert bench.router.table.own_zone.key_share < 0.8
    found = []
    for _ in range(2):
        bench = two_zone_bench()
        found.append(set())
        for key in map(str, range(200)):
            bench.router.table.own_zone.key_share = 0.5
            if bench.settle(key) % 2:
                found[-1].add(key)
    assert found[0] == found[1] and 25 < len(found[0]) < 80  # of 100 given up, those whose home is in zone b


def test_a_key_with_allowed_endpoints_goes_to_its_owner_and_then_to_its_replicas():
    bench = Bench(cache_aside=False)
    found = []
    for _ in range(4):
        _, answer = ask_restricted(bench, (3, 5))
        found.append(answer.attempt.endpoint.ident)
    assert found == [3, 3, 5, 5]
    bench.hear([row(3, EndpointState.DRAINING)], whole=False)
    assert ask_restricted(Bench(cache_aside=False), ())[1].action is Action.REJECT
    assert ask_restricted(bench, (3,))[1].action is Action.REJECT
