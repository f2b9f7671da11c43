"""Slow start: what is sent to a cache server that just started."""

from helper import Action, Bench, EndpointState, Outcome, origin_row, row

from gaugehinge.routing.slow_start import MIN_WARM_UP_RATE, WARM_UP_EXPONENT


def test_the_key_share_of_a_joining_endpoint_rises_along_the_warm_up_curve():
    bench = Bench()
    bench.hear([row(20, started=bench.now)], whole=False)
    shares = []
    for _ in range(40):
        bench.now += 1.0
        bench.settle("any")
        shares.append(bench.router.endpoints[20].warm_up_share)
    assert shares == sorted(shares) and shares[0] < 0.1 and shares[-1] == 1.0
    assert abs(shares[14] - (15 / 20.0) ** WARM_UP_EXPONENT) < 0.05


def test_a_restarted_router_learns_from_the_kept_list_which_endpoints_are_cold():
    bench = Bench()
    bench.hear([row(20, started=bench.now - 1.0)], held=True)
    assert bench.router.endpoints[20].warm_up_share < 0.5


def test_an_entirely_cold_fleet_is_not_sent_the_load_of_a_warm_one():
    bench = Bench(caches=4)
    bench.hear([row(i, started=bench.now) for i in range(11, 15)] + [origin_row()])
    sent = 0
    for i in range(400):
        bench.now += 0.005
        _, answer = bench.ask(f"key-{i}")
        if answer.action is Action.SEND:
            sent += 1
            bench.end(answer.attempt, Outcome.SUCCEEDED, 0.0)
    assert 0 < sent < 200


def test_rejected_attempts_do_not_raise_the_budget_of_cold_endpoints():
    bench = Bench()
    for i in range(100):
        bench.now += 0.01
        _, answer = bench.ask(f"key-{i}")
        if answer.attempt:
            bench.end(answer.attempt, Outcome.REJECTED, 0.001)
    assert bench.router.load.completion_rate.value == 0.0


def test_hundreds_of_routers_together_stay_near_the_minimum_warm_up_rate_of_a_cold_endpoint():
    """With a whole first attempt each, 300 routers sent 300 attempts at once and overloaded the server."""
    sent = 0
    for seed in range(300):
        bench = Bench(caches=4, seed=seed, router_count=300)
        bench.hear([row(i, started=bench.now) for i in range(11, 51)], whole=False)
        bench.hear([row(i, EndpointState.GONE) for i in range(1, 5)], whole=False)
        for i in range(3):
            bench.now += 0.4
            _, answer = bench.ask(f"key-{seed}-{i}")
            sent += answer.action is Action.SEND
    assert sent < 40 * 1.2 * MIN_WARM_UP_RATE
