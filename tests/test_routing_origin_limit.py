"""The origin's concurrency limit: what is taken as a sign of a queue at the origin, and what is not."""

from helper import MARKED, ONCE, Action, Bench, EndpointState, Outcome, origin_row

from gaugehinge.routing.origin_limit import (
    MIN_ORIGIN_LIMIT,
    QUEUE_OBJECTIVE_SHARE,
    SHARED_ORIGIN_LIMIT,
    UNREACHABLE_ORIGIN_PAUSE,
    OriginConcurrencyLimit,
)
from gaugehinge.routing.seeded_random import SeededRandom


def test_without_an_origin_a_miss_is_rejected_at_once():
    bench = Bench()
    _, answer = bench.ask("k")
    bench.hear([origin_row(EndpointState.DRAINING)], whole=False)
    assert bench.end(answer.attempt, Outcome.CACHE_MISS)[0].decision.action is Action.REJECT


def test_misses_and_writes_are_rejected_at_once_when_the_origin_limit_is_reached():
    """Operations that queued for capacity were answered too late, so the client waited for nothing."""
    bench = Bench()
    attempts = [bench.ask(f"key-{i}")[1].attempt for i in range(3)]
    bench.router.origin_limit.in_flight = 99
    for attempt in attempts:
        assert bench.end(attempt, Outcome.CACHE_MISS)[0].decision.action is Action.REJECT
    assert bench.ask(traffic=MARKED)[1].action is Action.REJECT
    assert not bench.router.fetches.waiting


def test_uneven_latency_at_the_origin_is_not_taken_for_a_queue():
    origin_limit = OriginConcurrencyLimit(SeededRandom(7), [], queue_allowance=QUEUE_OBJECTIVE_SHARE)
    for i in range(200):
        origin_limit.adapt(0.05 if i % 5 else 0.6, False, True, 100.0 + i)
    assert origin_limit.limit > 2 * MIN_ORIGIN_LIMIT


def test_with_many_routers_the_limit_of_each_at_a_failing_origin_falls_below_one_attempt():
    """With four attempts each, fifty routers kept the origin busy with work that no client waited for."""
    bench = Bench(router_count=100)
    asked = sent = 0
    for i in range(200):
        bench.now += 0.05
        _, answer = bench.ask(f"key-{i}")
        for _, step in bench.end(answer.attempt, Outcome.CACHE_MISS, 0.001) if answer.attempt else ():
            asked += 1
            if step.attempt:
                sent += 1
                bench.end(step.attempt, Outcome.REJECTED, 0.1)
            else:
                assert step.action is Action.REJECT
    assert asked > 100 and 5 < sent < 60
    assert bench.router.origin_limit.limit >= SHARED_ORIGIN_LIMIT / 100
    for i in range(200):
        bench.now += 0.2
        _, answer = bench.ask(f"again-{i}")
        for _, step in bench.end(answer.attempt, Outcome.CACHE_MISS, 0.001) if answer.attempt else ():
            if step.attempt:
                bench.end(step.attempt, Outcome.SUCCEEDED, 0.1)
    assert bench.router.origin_limit.limit > 1.0


def test_connection_resets_at_the_origin_do_not_cut_the_limit():
    bench = Bench()
    bench.router.origin_limit.limit = 20.0
    for _ in range(20):
        _, answer = bench.ask("w", ONCE)
        bench.end(answer.attempt, Outcome.CONNECTION_LOST)
    assert bench.router.origin_limit.limit >= 20.0 and not bench.router.origin_limit.is_reduced


def test_a_timeout_at_an_origin_that_answers_others_does_not_cut_the_limit():
    bench = Bench()
    bench.router.origin_limit.limit = 20.0
    for _ in range(20):
        _, hung = bench.ask("w", ONCE)
        _, other = bench.ask("w", ONCE)
        bench.end(other.attempt, Outcome.SUCCEEDED)
        bench.end(hung.attempt, Outcome.TIMED_OUT, 1.0)
    assert bench.router.origin_limit.limit >= 20.0 and bench.router.origin_limit.smoothed_latency < 0.03
    _, hung = bench.ask("w", ONCE)
    # Nothing was answered since this attempt was sent, so its time-out cuts the limit.
    bench.end(hung.attempt, Outcome.TIMED_OUT, 1.0)
    assert bench.router.origin_limit.limit < 20.0


def test_an_origin_that_refuses_connections_gets_few_reads_and_the_others_are_rejected_at_once():
    """Sixteen routers sent a stopped origin four thousand attempts per second, five for each operation."""
    bench = Bench()
    bench.router.origin_limit.smoothed_latency = 0.05
    bench.now += 1.0
    sent = 0
    for i in range(200):
        _, answer = bench.ask(f"key-{i}")
        steps = bench.end(answer.attempt, Outcome.CACHE_MISS, 0.001)
        while steps[0].decision.action is Action.SEND:
            sent += 1
            steps = bench.end(steps[0].decision.attempt, Outcome.CONNECT_FAILED, 0.001)
        assert steps[0].decision.action is Action.REJECT
        bench.now += 0.005
    assert 4 <= sent <= 16 and bench.router.origin_limit.smoothed_latency >= 0.05  # sent in 1.2 s
    bench.now += 2 * UNREACHABLE_ORIGIN_PAUSE
    _, answer = bench.ask("k")
    [(_, answer)] = bench.end(answer.attempt, Outcome.CACHE_MISS)
    bench.end(answer.attempt, Outcome.SUCCEEDED)
    _, answer = bench.ask("l")
    assert bench.end(answer.attempt, Outcome.CACHE_MISS)[0].decision.action is Action.SEND
