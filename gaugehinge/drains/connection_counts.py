"""Connection counts by upstream, as used by limits, floors and leases.

An upstream is the origin or one cache server. A server without an entry of its own uses the entry of
DEFAULT_SERVER.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

ORIGIN = "origin"
DEFAULT_SERVER = "servers"  # applies to each cache server without an entry of its own

# By upstream: ORIGIN, DEFAULT_SERVER, or a server's uid in the endpoint list.
ConnectionCounts = dict[str, int]


class UndersizedLimit(NamedTuple):
    """A limit that is lower than the sum of the floors of all nodes."""

    upstream: str
    least: int  # the lowest sufficient limit


def count_for(counts: Mapping[str, int], upstream: str) -> int:
    """Return the entry of an upstream. A server without one uses the entry of DEFAULT_SERVER."""
    count = counts.get(upstream)
    if count is not None:
        return count
    return 0 if upstream == ORIGIN else counts.get(DEFAULT_SERVER, 0)


def undersized_limit(
    limits: Mapping[str, int], floors: Mapping[str, int], max_nodes: int
) -> UndersizedLimit | None:
    """Return the first limit below the floors of `max_nodes` nodes; None if all are large enough."""
    for upstream, limit in limits.items():
        least = max_nodes * count_for(floors, upstream)
        if least > limit:
            return UndersizedLimit(upstream, least)
    return None


def maximum(*counts: Mapping[str, int]) -> ConnectionCounts:
    """Return the largest entry of each upstream that any argument has an entry for."""
    upstreams = {upstream for each in counts for upstream in each}
    return {upstream: max(count_for(each, upstream) for each in counts) for upstream in sorted(upstreams)}


def total(one: Mapping[str, int], other: Mapping[str, int]) -> ConnectionCounts:
    """Return the sum of both entries of each upstream that either argument has an entry for."""
    upstreams = {*one, *other}
    return {upstream: count_for(one, upstream) + count_for(other, upstream) for upstream in sorted(upstreams)}
