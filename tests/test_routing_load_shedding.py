"""Load shedding: what makes the router reject on arrival, and what it spares."""

from helper import MARKED, Action, Bench, Outcome


def test_what_goes_to_the_origin_anyway_is_not_shed():
    bench = Bench()
    bench.router.shedder.shed_probabilities, bench.router.control_interval.started_at = [1.0] * 6, 1e9
    assert bench.ask(traffic=MARKED)[1].action is Action.SEND
    assert bench.ask()[1].action is Action.REJECT


def silent_fleet(bench, seconds, part):
    """Reads for some seconds, of which a part meets caches that answer nothing; the highest shed level."""
    deepest, end, count = 0.0, bench.now + seconds, 0
    while bench.now < end:
        count += 1
        bench.now += 0.02
        _, answer = bench.ask(f"key-{count}")
        if answer.attempt is None:
            continue
        dead = answer.attempt.endpoint.ident <= 8 * part
        bench.end(answer.attempt, Outcome.TIMED_OUT if dead else Outcome.SUCCEEDED, 1.4 if dead else 0.05)
        deepest = max(deepest, bench.router.shedder.shed_level)
    return deepest


def test_time_outs_at_a_few_silent_endpoints_shed_nothing():
    """A lost zone's time-outs made all routers shed load that the other zones could bear."""
    assert silent_fleet(Bench(), 20.0, 0.375) == 0.0


def test_where_most_endpoints_fall_silent_load_is_shed():
    assert silent_fleet(Bench(), 20.0, 1.0) > 0.3
