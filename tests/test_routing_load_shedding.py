"""Load shedding: what makes the router reject operations on arrival, and what does not."""

from helper import MARKED, Action, Bench, Outcome


def test_writes_that_go_straight_to_the_origin_are_not_shed():
    bench = Bench()
    bench.router.shedder.shed_probabilities, bench.router.control_interval.started_at = [1.0] * 6, 1e9
    assert bench.ask(traffic=MARKED)[1].action is Action.SEND
    assert bench.ask()[1].action is Action.REJECT


def max_shed_level(bench, seconds, silent_share):
    """Run reads for some seconds, a share of the endpoints being silent; return the highest shed level."""
    highest, end, count = 0.0, bench.now + seconds, 0
    while bench.now < end:
        count += 1
        bench.now += 0.02
        _, answer = bench.ask(f"key-{count}")
        if answer.attempt is None:
            continue
        silent = answer.attempt.endpoint.ident <= 8 * silent_share
        bench.end(answer.attempt, Outcome.TIMED_OUT if silent else Outcome.SUCCEEDED, 1.4 if silent else 0.05)
        highest = max(highest, bench.router.shedder.shed_level)
    return highest


def test_time_outs_at_a_few_silent_endpoints_shed_nothing():
    """Time-outs at a failed zone made all routers shed load that the other zones could have served."""
    assert max_shed_level(Bench(), 20.0, 0.375) == 0.0


def test_load_is_shed_when_all_endpoints_are_silent():
    assert max_shed_level(Bench(), 20.0, 1.0) > 0.3
