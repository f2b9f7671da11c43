"""Tenant quotas, and the gossip of tenant rates between routers."""

import struct

from helper import Action, Bench, Tenant

from gaugehinge.routing.concurrency_limits import MIN_SLOW_CONCURRENCY, OVER_QUOTA_MAX_LATENESS
from gaugehinge.routing.gossip import GOSSIP_FANOUT, PEER_EXPIRY


def test_a_tenant_over_its_quota_is_rejected_at_a_busy_home_endpoint_and_others_are_not():
    bench = Bench(tenants=(Tenant(0.5, 5.0), Tenant(0.5, 5.0)), over_quota_weight=0.05, router_count=1)
    bench.router.quotas.tokens = [0.0, 9.0]
    attempts = [bench.ask("k", tenant=0)[1].attempt for _ in range(MIN_SLOW_CONCURRENCY)]
    assert all(attempts)
    assert bench.ask("k", tenant=0)[1].action is Action.REJECT
    assert bench.ask("k", tenant=1)[1].action is Action.SEND


def test_gossip_goes_to_a_few_peers_and_received_rates_are_scaled_up():
    bench = Bench(tenants=(Tenant(1.0, 50.0),), router_count=400, router_number=399, may_gossip=True)
    task = bench.router.background_tasks[-1]
    receivers = set()
    for number in range(40):
        bench.router.on_gossip(number, struct.pack("<f", 2.0), bench.now)
        bench.router.on_gossip(number, b"short", bench.now)
        bench.now = task.due
        answer = bench.router.route(task, bench.now)
        assert len(set(answer.peers)) == GOSSIP_FANOUT and set(answer.peers) < set(range(399))
        receivers.update(answer.peers)
    assert len(receivers) > 100 and abs(bench.router.gossip.rates_elsewhere[0] - 399 * 2.0) < 1e-6
    bench.now += 2 * PEER_EXPIRY
    bench.router.route(task, bench.now)
    assert not bench.router.gossip.rates_elsewhere and not bench.router.gossip.peers


def test_over_quota_operations_are_rejected_at_an_unmeasured_endpoint_while_attempts_are_late():
    """A router with little traffic has measured no endpoint.

    Hundreds of them together sent each endpoint operations over the quota, which nobody pays for.
    """
    bench = Bench(tenants=(Tenant(1.0, 0.0),), router_count=1)
    bench.router.quotas.tokens = [0.0]
    assert bench.ask("k", tenant=0)[1].action is Action.SEND
    bench.router.shedder.lateness = 2 * OVER_QUOTA_MAX_LATENESS
    assert bench.ask("other", tenant=0)[1].action is Action.REJECT
    assert bench.ask("third")[1].action is Action.SEND


def test_tenants_can_change_at_run_time_and_a_reassigned_index_starts_empty():
    bench = Bench(tenants=(Tenant(1.0, 10.0), Tenant(1.0, 10.0)), may_gossip=True)
    router = bench.router
    router.quotas.usage[:], router.quotas.arrivals[:], router.quotas.tokens[:] = (
        [5.0, 6.0],
        [3, 4],
        [0.0, 0.5],
    )
    router.on_gossip(1, struct.pack("<2f", 2.0, 3.0), bench.now)
    router.on_tenants_changed((Tenant(2.0, 20.0), Tenant(1.0, 5.0), Tenant(1.0, 1.0)), {1})
    assert (router.quotas.usage, router.quotas.arrivals, router.quotas.tokens) == (
        [5.0, 0.0, 0.0],
        [3, 0, 0],
        [0.0, 1.0, 1.0],
    )
    assert not router.gossip.peers, "a peer that follows another tenant list reports rates of other tenants"
    router.on_gossip(1, struct.pack("<2f", 2.0, 3.0), bench.now)  # the peer still has the old tenants
    bench.now += 0.3
    router._start_control_interval(bench.now)
    assert 0.0 < router.quotas.tokens[0] <= 6.0
    router.on_tenants_changed((Tenant(2.0, 20.0),), set())
    router._start_control_interval(bench.now + 0.1)
    assert len(router.quotas.usage) == 1


def test_without_rates_from_peers_a_burst_over_quota_is_not_limited_at_its_home_endpoint():
    bench = Bench(tenants=(Tenant(0.5, 5.0), Tenant(0.5, 5.0)), over_quota_weight=0.05, router_count=300)
    bench.router.quotas.tokens = [0.0, 9.0]
    assert all(bench.ask("k", tenant=0)[1].action is Action.SEND for _ in range(4))
