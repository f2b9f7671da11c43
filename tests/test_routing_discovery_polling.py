"""Polling of the endpoint list, and servers that it lists as draining."""

from helper import Action, Bench, EndpointState, Outcome, row


def test_a_failed_poll_is_retried_well_before_the_poll_deadline():
    bench = Bench(must_poll=True, poll_deadline=5.0)
    for _ in range(200):
        bench.router.on_poll_failed(bench.now)
        assert 0.3 < bench.router.polling.task.due - bench.now < 0.8 * 5.0


def test_a_failed_poll_keeps_the_endpoints_and_is_retried():
    bench = Bench(must_poll=True)
    task = bench.router.background_tasks[0]
    bench.router.on_poll_failed(bench.now)
    assert bench.router.ring.points and bench.router.route(task, bench.now).action is Action.WAIT
    bench.now += bench.router.time_until_recheck(task, bench.now) + 8.0
    assert bench.router.route(task, bench.now).action is Action.POLL


def test_a_draining_endpoint_gets_no_new_attempt_not_even_a_retry():
    bench = Bench(caches=2)
    _, decision = bench.ask("k")
    other = 3 - decision.attempt.endpoint.ident
    bench.hear([row(other, EndpointState.DRAINING)], whole=False)
    assert bench.end(decision.attempt, Outcome.CONNECTION_LOST)[0].decision.action is Action.REJECT
