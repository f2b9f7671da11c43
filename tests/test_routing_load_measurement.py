"""Load measurement: latencies of a label, rates by elapsed time, key shares of slow labels."""

from helper import Bench, Outcome, Tenant, origin_row, row
from routing_cases import homes


def test_an_endpoint_without_attempts_takes_the_latency_of_its_label():
    bench = Bench(caches=0)
    bench.hear([row(i, kind="old" if i < 5 else "new") for i in range(1, 9)] + [origin_row()])
    unseen = bench.router.endpoints[1]
    for i in range(400):
        bench.now += 0.02
        _, answer = bench.ask(f"key-{i}")
        if answer.attempt and answer.attempt.endpoint is not unseen:
            elapsed = 0.1 if answer.attempt.endpoint.ident < 5 else 0.02
            bench.router.on_attempt_finished(answer.attempt, Outcome.SUCCEEDED, elapsed, True, bench.now)
    assert unseen.latency_multiplier > 1.3


def test_a_router_with_little_traffic_measures_rates_by_elapsed_time():
    """Measured by events, one operation in two seconds counted as ten per second, also in budget refills."""
    bench = Bench(tenants=(Tenant(1.0, 50.0),))
    for i in range(40):
        bench.now += 2.0
        operation, answer = bench.ask(f"key-{i}", tenant=0)
        bench.end(answer.attempt, Outcome.SUCCEEDED, 0.02)
    assert 0.2 < bench.router.quotas.usage[0] < 0.8
    bench.now += 1.0
    assert 0.0 < bench.router.load.completion_rate.value_at(bench.now) < 1.0
    assert abs(bench.router.table.total_load - sum(c.load for c in bench.router.table.ready)) < 1e-9
    bench.now += 1.0
    bench.ask("last", tenant=0)
    assert len(bench.router.load.active) == 1


def test_endpoints_of_a_slow_label_give_up_keys_before_each_was_measured():
    bench = Bench(caches=0)
    bench.hear([row(i, kind="old" if i % 2 else "new") for i in range(1, 41)] + [origin_row()])
    for i in range(60):
        bench.now += 0.2
        _, answer = bench.ask(f"key-{i}")
        bench.end(answer.attempt, Outcome.SUCCEEDED, 0.12 if answer.attempt.endpoint.ident % 2 else 0.03)
    old = sum(home % 2 for home in homes(bench, 200).values())
    assert 20 < old < 85  # of 200; at equal key shares about 100
    assert [c.label_figures.key_share for c in bench.router.table.ready[1::2]] == [1.0] * 20


def test_with_listed_weights_the_key_share_of_a_slow_label_is_the_latency_ratio_and_stable():
    """With latencies averaged over one second, attempts of uneven work made the key share swing.

    It went from 0.5 to 1.0 at each router, and keys left their home endpoints.
    """
    bench = Bench(caches=0, has_endpoint_weights=True)
    listed = [row(i, kind="old" if i % 2 else "new", weight=1.0) for i in range(1, 41)]
    bench.hear([*listed, origin_row()])
    found = []
    for i in range(900):
        bench.now += 0.02
        _, answer = bench.ask(f"key-{i}")
        base = 0.04 if answer.attempt.endpoint.ident % 2 else 0.02
        bench.end(answer.attempt, Outcome.SUCCEEDED, (0.1 if i % 10 else 9.1) * base)  # uneven work
        if i > 600:
            found.append(bench.router.table.labels["old"].key_share)
    assert min(found) > 0.45 and max(found) - min(found) < 0.45  # squared, the ratio would be 0.25
