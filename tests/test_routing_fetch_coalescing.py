"""Request coalescing: reads that miss on a key while it is being fetched."""

from helper import ORIGIN, Action, Bench, Outcome


def test_a_miss_goes_to_the_origin_and_a_second_one_waits_for_that_fetch():
    bench = Bench()
    _, first = bench.ask("k")
    waiter, second = bench.ask("k")
    to_origin = bench.end(first.attempt, Outcome.CACHE_MISS)[0].decision
    assert to_origin.attempt.endpoint.ident == ORIGIN
    assert bench.end(second.attempt, Outcome.CACHE_MISS)[0].decision.action is Action.WAIT
    steps = bench.end(to_origin.attempt, Outcome.SUCCEEDED, 0.1)
    assert [(o, a.action) for o, a in steps] == [(waiter, Action.SEND)]
    assert steps[0].decision.attempt.endpoint is first.attempt.endpoint
    assert not bench.router.fetches.waiting


def test_a_failed_fetch_is_taken_over_by_one_waiter():
    bench = Bench()
    attempts = [bench.ask("k")[1].attempt for _ in range(3)]
    to_origin = bench.end(attempts[0], Outcome.CACHE_MISS)[0].decision
    for attempt in attempts[1:]:
        bench.end(attempt, Outcome.CACHE_MISS)
    steps = bench.end(to_origin.attempt, Outcome.REJECTED)
    sent = [a for _, a in steps if a.action is Action.SEND]
    assert len(sent) == 1 and sent[0].attempt.endpoint.ident == ORIGIN


def test_an_operation_waiting_for_a_fetch_rechecks_while_its_own_fetch_could_complete_in_time():
    bench = Bench()
    attempts = [bench.ask("k")[1].attempt for _ in range(2)]
    assert bench.end(attempts[0], Outcome.CACHE_MISS)[0].decision.action is Action.SEND
    operation, answer = bench.end(attempts[1], Outcome.CACHE_MISS)[0]
    assert answer.action is Action.WAIT
    bench.router.origin_limit.in_flight, bench.router.origin_limit.smoothed_latency = 99, 0.1
    bench.now += bench.router.time_until_recheck(operation, bench.now) + 0.001
    assert bench.now < operation.objective_at
    assert bench.router.route(operation, bench.now).action is Action.REJECT
