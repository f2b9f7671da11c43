"""Outlier ejection: failing endpoints and silent zones."""

from helper import ORIGIN, Action, Bench, Decision, Outcome
from routing_cases import ask_restricted, three_zone_bench

from gaugehinge.routing.endpoint import SILENCE_THRESHOLD
from gaugehinge.routing.origin_limit import MIN_ORIGIN_LIMIT
from gaugehinge.routing.outlier_ejection import EJECTION_JITTER, EJECTION_TIME, FAILURE_STEP
from gaugehinge.routing.types import Attempt


def test_fast_errors_eject_an_endpoint_and_it_is_readmitted_with_one_attempt():
    bench = Bench()
    home = bench.settle("k")
    for _ in range(6):
        _, answer = bench.ask("k")
        if answer.attempt.endpoint.ident != home:
            break
        bench.end(answer.attempt, Outcome.SERVER_ERROR, 0.001)
    assert bench.settle("k") != home
    bench.now += EJECTION_TIME + EJECTION_JITTER + 0.1
    first, second = bench.ask("k")[1].attempt, bench.ask("k")[1].attempt
    assert first.endpoint.ident == home and second.endpoint.ident != home


def test_the_whole_fleet_is_never_ejected():
    bench = Bench()
    for i in range(200):
        bench.now += 0.01
        _, answer = bench.ask(f"key-{i}")
        if answer.action is Action.SEND and answer.attempt.endpoint.ident != ORIGIN:
            bench.end(answer.attempt, Outcome.CONNECT_FAILED, 0.001)
    assert len(bench.router.table.ready) >= 5


def test_an_endpoint_that_answers_other_attempts_is_not_ejected_for_timeouts():
    bench = Bench()
    home = bench.settle("k")
    for i in range(10):
        _, answer = bench.ask("k")
        if answer.attempt.endpoint.ident != home:
            break
        bench.now += 0.01
        bench.router.endpoints[home].last_answer_at = bench.now if i < 5 else 0.0
        bench.end(answer.attempt, Outcome.TIMED_OUT, 0.3)
        assert bool(bench.router.endpoints[home].ejected_until) == (i > 6)


def test_a_lost_zone_is_ejected_though_it_is_over_a_third_of_the_fleet():
    bench = Bench()
    dead, fewest = set(range(1, 6)), 8
    for i in range(400):
        bench.now += 0.01
        _, answer = bench.ask(f"key-{i}")
        while answer.attempt:
            lost = answer.attempt.endpoint.ident in dead
            steps = bench.end(answer.attempt, Outcome.CONNECT_FAILED if lost else Outcome.SUCCEEDED, 0.001)
            answer = steps[0].decision if steps else Decision(Action.NONE)
        fewest = min(fewest, len(bench.router.table.ready))
    assert fewest == 3


def test_occasional_malformed_responses_eject_nothing_and_do_not_reduce_the_origin_limit():
    bench = Bench()
    for i in range(60):
        bench.now += 0.05
        _, answer = bench.ask(f"k{i}")
        malformed = i % 10 in (0, 1)
        [(_, further)] = bench.end(
            answer.attempt, Outcome.MALFORMED_RESPONSE if malformed else Outcome.CACHE_MISS
        )
        assert further.action is Action.SEND  # a read may be retried
        if not malformed:
            [(_, further)] = bench.end(further.attempt, Outcome.MALFORMED_RESPONSE)
        bench.end(further.attempt, Outcome.SUCCEEDED)
    assert not any(cache.ejected_until for cache in bench.router.endpoints.values())
    assert bench.router.origin_limit.limit >= MIN_ORIGIN_LIMIT and not bench.router.origin_limit.is_reduced
    last = bench.router.table.ready[0]
    for _ in range(4):
        bench.router.ejection.record_failure(last, FAILURE_STEP, 0.01, bench.now)
    assert last.ejected_until  # one that only sends malformed responses is still ejected


def test_resets_do_not_eject_an_answering_endpoint_but_eject_a_silent_one_quickly():
    bench = Bench(4)
    for i in range(200):  # two consecutive attempts in ten are reset
        bench.now += 0.01
        _, answer = bench.ask("k")
        bench.end(answer.attempt, Outcome.CONNECTION_LOST if i % 10 in (5, 6) else Outcome.SUCCEEDED, 0.005)
    assert not any(cache.ejected_until for cache in bench.router.endpoints.values())
    bench.now += SILENCE_THRESHOLD + 0.1
    cache = bench.router.table.ready[0]
    for _ in range(2):
        attempt = Attempt(bench.ask("k")[0], cache, 0, bench.now)
        bench.router.results.record(attempt, Outcome.CONNECT_FAILED, 0.0, bench.now)
    assert cache.ejected_until


def test_a_timeout_shorter_than_the_silence_threshold_is_not_a_failure():
    """At five attempts a second, no answer within 0.2 s happens by chance: healthy endpoints were ejected."""
    bench = Bench(caches=4)
    for i in range(30):
        _, answer = bench.ask(f"key-{i}")
        bench.end(answer.attempt, Outcome.SUCCEEDED, 0.02)
    for _ in range(8):
        _, answer = bench.ask("k")
        bench.router.retries.retry_budget = 0.0
        attempt = answer.attempt
        bench.end(attempt, Outcome.TIMED_OUT, 0.2)
        bench.router.retries.excused_timeouts = 0.0
        _, answer = bench.ask("k")
        if answer.attempt is not None:
            bench.end(answer.attempt, Outcome.SUCCEEDED, 0.02)
        assert not attempt.endpoint.ejected_until


def simulate_zone_loss(bench, zone, seconds, outcome=Outcome.TIMED_OUT):
    """Route ten reads a second; each attempt to the zone ends with `outcome` after one second.

    Returns the maximum of attempts in flight to the zone at once, and how many were sent there.
    """
    pending, max_in_flight, sent, count, end = [], 0, 0, 0, bench.now + seconds
    while bench.now < end:
        count += 1
        bench.now += 0.1
        while pending and pending[0][0] <= bench.now:
            bench.router.on_attempt_finished(pending.pop(0)[1], outcome, 1.0, True, bench.now)
        _, answer = bench.ask(f"key-{count}", left=5.0)
        if answer.attempt is not None and answer.attempt.endpoint.zone == zone:
            pending.append((bench.now + 1.0, answer.attempt))
            max_in_flight, sent = max(max_in_flight, len(pending)), sent + 1
        elif answer.attempt is not None:
            bench.router.on_attempt_finished(answer.attempt, Outcome.SUCCEEDED, 0.01, True, bench.now)
    for ends_at, attempt in pending:
        bench.now = max(bench.now, ends_at)
        bench.router.on_attempt_finished(attempt, outcome, 1.0, True, bench.now)
    return max_in_flight, sent


def test_a_silent_zone_gets_one_attempt_at_a_time():
    """Detected endpoint by endpoint, a lost zone cost each of many routers two time-outs per endpoint."""
    bench = three_zone_bench()
    simulate_zone_loss(bench, "b", 3.0)
    max_in_flight, sent = simulate_zone_loss(bench, "b", 10.0)
    assert max_in_flight <= 1 and 0 < sent <= 12


def test_an_answer_clears_zone_suspicion_and_a_single_zone_is_never_suspected():
    bench = three_zone_bench()
    for ident in (4, 7, 10):  # of zone b
        bench.router.endpoints[ident].zone_figures.failed.add(ident)
    _, answer = ask_restricted(bench, (13,))
    assert ask_restricted(bench, (4,))[1].action is not Action.SEND
    bench.end(answer.attempt, Outcome.CACHE_MISS, 0.01)
    assert not bench.router.table.zones["b"].failed and ask_restricted(bench, (4,))[1].action is Action.SEND
    alone = Bench()
    for ident in range(1, 9):
        alone.router.endpoints[ident].zone_figures.failed.add(ident)
    assert [alone.ask("k")[1].action for _ in range(3)] == [Action.SEND] * 3
