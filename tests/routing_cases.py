"""Shared by the tests of the routing decisions."""

from helper import READ, Bench, origin_row, row

from gaugehinge.routing.types import Operation


def homes(bench, keys=300):
    found = {}
    for i in range(keys):
        bench.now += 0.2
        found[i] = bench.settle(f"key-{i}")
    return found


def three_zone_bench(**changes):
    """Twelve caches in three zones, each asked once so that all have answered."""
    bench = Bench(1, **changes)
    bench.hear([row(i, zone="abc"[i % 3]) for i in range(2, 14)] + [origin_row()])
    return bench


def ask_restricted(bench, allowed, key="k", traffic=READ):
    write, end = traffic is not READ, bench.now + 1.5
    operation = Operation("x", traffic, key.encode(), -1, write, False, bench.now, end)
    operation.allowed_endpoints = allowed
    return operation, bench.router.route(operation, bench.now)
