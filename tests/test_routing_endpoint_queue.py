"""The queue before an endpoint that alone serves a key."""

from helper import Action, Bench, EndpointState, Outcome, row
from routing_cases import ask_among, two_zones

from gaugehinge.routing.endpoint_queue import QUEUE_RECHECK_INTERVAL


def test_before_the_only_server_of_a_key_operations_wait_in_turn_for_capacity():
    bench = Bench(cache_aside=False)
    bench.settle("warm")
    out = [ask_among(bench, (1,), f"k{i}") for i in range(6)]
    attempts = [answer.attempt for _, answer in out if answer.attempt]
    assert [answer.action for _, answer in out] == [Action.SEND] * 2 + [Action.WAIT] * 4
    assert bench.router.time_until_recheck(out[2][0], bench.now) <= QUEUE_RECHECK_INTERVAL
    assert bench.router.route(out[3][0], bench.now).action is Action.WAIT  # a look changes nothing
    bench.router.cancel(out[4][0])  # its client left
    steps = bench.end(attempts[0], Outcome.SUCCEEDED, 0.02)
    assert [(step[0], step[1].action) for step in steps] == [(out[2][0], Action.SEND)]
    bench.hear([row(1, EndpointState.DRAINING)], whole=False)
    assert bench.router.route(out[3][0], bench.now).action is Action.REJECT
    bench.now += 2.0
    assert bench.router.route(out[5][0], bench.now).action is Action.REJECT
    assert not bench.router.endpoints[1].queue


def test_a_queue_is_no_longer_than_it_can_end_in_time():
    bench = Bench(cache_aside=False)
    for _ in range(50):
        bench.settle("warm", 0.2)
    verdicts = [ask_among(bench, (1,), f"k{i}")[1].action for i in range(200)]
    assert 0 < verdicts.count(Action.WAIT) < 20 and verdicts[-1] is Action.REJECT


def test_a_queue_before_a_server_of_a_silent_zone_is_looked_at_once_each_time():
    """Released in a loop until it was empty, those that lined up anew kept the router in it for good."""
    bench = two_zones(cache_aside=False)
    out = [ask_among(bench, (4,), f"k{i}") for i in range(6)]
    for ident in (4, 7, 10):
        bench.router.endpoints[ident].zone_figures.failed.add(ident)
    attempts = [answer.attempt for _, answer in out if answer.attempt]
    steps = bench.end(attempts[0], Outcome.REJECTED, 0.01)
    bench.now += 0.3
    steps = bench.end(attempts[1], Outcome.CONNECTION_LOST, 0.01)
    assert all(answer.action in (Action.WAIT, Action.REJECT, Action.SEND) for _, answer in steps)
    assert len(bench.router.endpoints[4].queue) + sum(operation.finished for operation, _ in out) >= 3
