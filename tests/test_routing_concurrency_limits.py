"""Concurrency limits: endpoints that are full, slow or congested."""

from helper import Action, Bench, Outcome


def test_a_congested_endpoint_is_paused_after_an_attempt():
    bench = Bench()
    home = bench.router.endpoints[bench.settle("k")]
    home.lateness = 0.9
    bench.end(bench.ask("k")[1].attempt, Outcome.SUCCEEDED, 0.8)
    assert home.full_until > bench.now
    bench.now += 0.9
    assert bench.settle("k") == home.ident


def test_an_endpoint_known_to_be_slow_gets_one_attempt_at_a_time():
    bench = Bench()
    home = bench.router.endpoints[bench.settle("k")]
    bench.router.load.next_bucket_at = 1e9
    home.latency_multiplier, home.load = 1.8, 0.0
    servers = [bench.ask("k")[1].attempt.endpoint for _ in range(2)]
    assert servers[0] is home and servers[1] is not home


def test_with_one_attempt_per_connection_an_endpoint_gets_one_attempt_until_its_rate_is_known():
    """Two attempts from each of many routers were more than an endpoint could answer in time, and each opened
    a connection."""
    bench = Bench(caches=1, one_attempt_per_connection=True)
    first, second = bench.ask("a"), bench.ask("b")
    assert first[1].action is Action.SEND and second[1].action is Action.REJECT
    multiplexed = Bench(caches=1)
    assert multiplexed.ask("a")[1].action is multiplexed.ask("b")[1].action is Action.SEND
