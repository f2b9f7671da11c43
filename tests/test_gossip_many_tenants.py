"""Quotas with more tenants than fit one gossip datagram.

From 64 tenants on, a message with all rates exceeded the size of a datagram and was dropped with an error in
the log (`gossip message of 260 bytes not sent`). No router knew the rates of the others, so each one alone
admitted as much of a tenant as all together should. The table is therefore sent in parts. The tests run six
routers in virtual time, with tenants that demand twice their limit, evenly or unevenly over the routers.
"""

import struct

import pytest
from helper import Bench, Tenant

from gaugehinge.net.gossip import MAX_MESSAGE_BYTES, STAMP_BYTES
from gaugehinge.routing.gossip import (
    MAX_PAYLOAD_BYTES,
    MAX_UNDIVIDED_TENANTS,
    PART_TENANTS,
    PEER_EXPIRY,
)

ROUTERS = 6
LIMIT = 20.0  # operations per second of a tenant, over all routers
TICK_SECONDS = 0.1
DEMAND = 2.0  # multiple of the limit


def test_the_longest_payload_leaves_room_for_the_stamp():
    assert MAX_PAYLOAD_BYTES + STAMP_BYTES == MAX_MESSAGE_BYTES


class RouterGroup:
    """Routers on one virtual clock that deliver their gossip to each other."""

    def __init__(self, tenants: int) -> None:
        table = tuple(Tenant(1.0 / tenants, LIMIT) for _ in range(tenants))
        self.benches = [
            Bench(2, tenants=table, router_count=ROUTERS, router_number=number, may_gossip=True, seed=number)
            for number in range(ROUTERS)
        ]
        self.now = 100.0
        self.longest_payload = 0

    def tick(self) -> None:
        self.now += TICK_SECONDS
        for number, bench in enumerate(self.benches):
            task = bench.router.background_tasks[-1]
            bench.router.quotas.refill(TICK_SECONDS)
            while task.due <= self.now:
                decision = bench.router.gossip.send(task, bench.router.quotas.usage_by_tenant(), self.now)
                self.longest_payload = max(self.longest_payload, len(decision.payload))
                for peer in decision.peers:
                    self.benches[peer].router.on_gossip(number, decision.payload, self.now)


@pytest.mark.parametrize("even", [True, False], ids=["evenly", "unevenly"])
@pytest.mark.parametrize("tenants", [2, 63, 64, 200, 1000])
def test_each_tenant_gets_its_rate_over_all_routers(tenants, even):
    """The rate is within a tenth of the limit; if uneven, two routers get nine tenths of the operations."""
    group = RouterGroup(tenants)
    active_tenants = range(0, tenants, max(tenants // 40, 1))  # from all parts of the table
    pending = {(router, tenant): 0.0 for router in range(ROUTERS) for tenant in active_tenants}
    admitted = dict.fromkeys(active_tenants, 0)
    measured_from, end = group.now + 25.0, group.now + 55.0
    while group.now < end:
        group.tick()
        for router, tenant in pending:
            share = 1.0 / ROUTERS
            if not even:
                share = 0.45 if (router - tenant) % ROUTERS < 2 else 0.1 / (ROUTERS - 2)
            pending[router, tenant] += DEMAND * LIMIT * share * TICK_SECONDS
            while pending[router, tenant] >= 1.0:
                pending[router, tenant] -= 1.0
                over_quota = group.benches[router].router.quotas.is_over_quota(tenant)
                admitted[tenant] += not over_quota and group.now >= measured_from
    rates = {tenant: count / (end - measured_from) for tenant, count in admitted.items()}
    assert group.longest_payload <= MAX_PAYLOAD_BYTES
    assert min(rates.values()) >= 0.9 * LIMIT and max(rates.values()) <= 1.1 * LIMIT, rates


def test_only_parts_without_a_recent_message_have_no_rates_of_peers():
    bench = Bench(tenants=(Tenant(0.01, 5.0),) * 100, router_count=3, router_number=0, may_gossip=True)
    gossip, task = bench.router.gossip, bench.router.background_tasks[-1]
    second_part = struct.pack("<H", 1) + struct.pack(f"<{100 - PART_TENANTS}f", *[4.0] * (100 - PART_TENANTS))
    bench.router.on_gossip(1, second_part, bench.now)
    gossip.send(task, bench.router.quotas.usage_by_tenant(), bench.now)
    assert gossip.rate_elsewhere(0) is None and gossip.rate_elsewhere(PART_TENANTS) == 8.0
    bench.now += 3 * PEER_EXPIRY
    gossip.send(task, bench.router.quotas.usage_by_tenant(), bench.now)
    assert gossip.rate_elsewhere(PART_TENANTS) is None and not gossip.has_rates()


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\0",
        struct.pack("<H", 0) + b"\0" * 4 * (PART_TENANTS - 1),
        struct.pack("<H", 2) + b"\0" * 4,
        struct.pack("<H", 9),
        struct.pack("<H62f", 0, *[float("nan")] * 62),
        b"\0" * 4 * 100,
    ],
)
def test_a_message_that_is_no_valid_part_of_the_table_is_ignored(payload):
    bench = Bench(tenants=(Tenant(0.01, 5.0),) * 100, router_count=3, router_number=0, may_gossip=True)
    bench.router.on_gossip(1, payload, bench.now)
    assert not bench.router.gossip.peers


def test_a_table_that_fits_one_datagram_is_sent_undivided():
    count = MAX_UNDIVIDED_TENANTS
    bench = Bench(tenants=(Tenant(0.01, 5.0),) * count, router_count=3, router_number=0, may_gossip=True)
    task = bench.router.background_tasks[-1]
    decision = bench.router.gossip.send(task, [1.5] * count, bench.now)
    assert decision.payload == struct.pack(f"<{count}f", *[1.5] * count)
    assert task.due - bench.now > 0.5
