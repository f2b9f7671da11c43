"""Helpers shared by the tests of the routing decisions."""

from helper import READ, Bench, origin_row, row

from gaugehinge.routing.types import Operation


# Returns the endpoint that serves each of a number of keys while nothing else is in flight.
def homes(bench, keys=300):
    found = {}
    for i in range(keys):
        bench.now += 0.2
        found[i] = bench.settle(f"key-{i}")
    return found


def three_zone_bench(**changes):
    """Return a bench with twelve cache servers in three zones, and the origin."""
    bench = Bench(1, **changes)
    bench.hear([row(i, zone="abc"[i % 3]) for i in range(2, 14)] + [origin_row()])
    return bench


# Routes an operation that only the given endpoints may serve; returns it and the decision.
def ask_restricted(bench, allowed, key="k", traffic=READ):
    write, end = traffic is not READ, bench.now + 1.5
    operation = Operation("x", traffic, key.encode(), -1, write, False, bench.now, end)
    operation.allowed_endpoints = allowed
    return operation, bench.router.route(operation, bench.now)
