"""Connection counts by upstream: the unit in which limits, floors and leases are stated.

An upstream is the origin or one cache server. A server without a figure of its own uses the figure that
stands for all servers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

ORIGIN = "origin"
DEFAULT_SERVER = "servers"  # each cache server that has no entry of its own

ConnectionCounts = dict[
    str, int
]  # by upstream: ORIGIN, DEFAULT_SERVER, or a server's name in the endpoint list


class UndersizedLimit(NamedTuple):
    """A limit that the floors of all nodes do not fit into."""

    upstream: str
    least: int  # the lowest value that would do


def count_for(counts: Mapping[str, int], upstream: str) -> int:
    """The entry of one upstream; a server without one has the entry of DEFAULT_SERVER."""
    count = counts.get(upstream)
    if count is not None:
        return count
    return 0 if upstream == ORIGIN else counts.get(DEFAULT_SERVER, 0)


def undersized_limit(
    limits: Mapping[str, int], floors: Mapping[str, int], max_nodes: int
) -> UndersizedLimit | None:
    """The first limit that is below the floors of `max_nodes` nodes; None where all are large enough."""
    for upstream, limit in limits.items():
        least = max_nodes * count_for(floors, upstream)
        if least > limit:
            return UndersizedLimit(upstream, least)
    return None


def maximum(*counts: Mapping[str, int]) -> ConnectionCounts:
    """The largest entry of each upstream that any of the arguments names."""
    upstreams = {upstream for each in counts for upstream in each}
    return {upstream: max(count_for(each, upstream) for each in counts) for upstream in sorted(upstreams)}


def total(one: Mapping[str, int], other: Mapping[str, int]) -> ConnectionCounts:
    """The sum of both entries of each upstream that either argument names."""
    upstreams = {*one, *other}
    return {upstream: count_for(one, upstream) + count_for(other, upstream) for upstream in sorted(upstreams)}
