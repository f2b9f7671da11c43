"""The queue at an endpoint that alone may serve a key."""

from helper import Action, Bench, EndpointState, Outcome, row
from routing_cases import ask_restricted, three_zone_bench

from gaugehinge.routing.endpoint_queue import QUEUE_RECHECK_INTERVAL


def test_operations_queue_for_capacity_at_the_only_server_of_their_key():
    bench = Bench(cache_aside=False)
    bench.settle("warm")
    results = [ask_restricted(bench, (1,), f"k{i}") for i in range(6)]
    attempts = [answer.attempt for _, answer in results if answer.attempt]
    assert [answer.action for _, answer in results] == [Action.SEND] * 2 + [Action.WAIT] * 4
    assert bench.router.time_until_recheck(results[2][0], bench.now) <= QUEUE_RECHECK_INTERVAL
    assert bench.router.route(results[3][0], bench.now).action is Action.WAIT  # a recheck changes nothing
    bench.router.cancel(results[4][0])  # its client disconnected
    steps = bench.end(attempts[0], Outcome.SUCCEEDED, 0.02)
    assert [(step[0], step[1].action) for step in steps] == [(results[2][0], Action.SEND)]
    bench.hear([row(1, EndpointState.DRAINING)], whole=False)
    assert bench.router.route(results[3][0], bench.now).action is Action.REJECT
    bench.now += 2.0
    assert bench.router.route(results[5][0], bench.now).action is Action.REJECT
    assert not bench.router.endpoints[1].queue


def test_a_queue_holds_only_operations_that_can_complete_in_time():
    bench = Bench(cache_aside=False)
    for _ in range(50):
        bench.settle("warm", 0.2)
    actions = [ask_restricted(bench, (1,), f"k{i}")[1].action for i in range(200)]
    assert 0 < actions.count(Action.WAIT) < 20 and actions[-1] is Action.REJECT


def test_release_routes_each_queued_operation_of_a_silent_zone_once():
    """While `release` looped until the queue was empty, operations that queued again kept it looping."""
    bench = three_zone_bench(cache_aside=False)
    results = [ask_restricted(bench, (4,), f"k{i}") for i in range(6)]
    for ident in (4, 7, 10):
        bench.router.endpoints[ident].zone_figures.failed.add(ident)
    attempts = [answer.attempt for _, answer in results if answer.attempt]
    steps = bench.end(attempts[0], Outcome.REJECTED, 0.01)
    bench.now += 0.3
    steps = bench.end(attempts[1], Outcome.CONNECTION_LOST, 0.01)
    assert all(answer.action in (Action.WAIT, Action.REJECT, Action.SEND) for _, answer in steps)
    assert len(bench.router.endpoints[4].queue) + sum(operation.finished for operation, _ in results) >= 3
