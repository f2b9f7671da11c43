"""Shards pinned to zones: a restart must not take out the last server in those zones."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ..admin.control_plane import ControlPlane
from .restart_batch import LastOfShard
from .restart_types import NodeStatus


def pinned_zones(control_plane: ControlPlane) -> Iterable[frozenset[str]]:
    """Return the zone sets of the shards that placement allows in no other zones."""
    placement: Any = next((part for part in control_plane.extensions if part.name == "placement"), None)
    rows = placement.index.shards.values() if placement is not None else ()
    return {
        frozenset(zone for region in terms.zones for zone in region)
        for row, _ in rows
        for terms in (row.current, row.target)
        if terms and terms.required
    }


def last_of_shard(pinned_zones: Iterable[frozenset[str]], servers: dict[str, NodeStatus]) -> LastOfShard:
    """Return a predicate: is a server the last one up in the zones of a pinned shard?

    The predicate takes the server's name and the names of the nodes that count as unavailable.
    """
    pinned = set(pinned_zones)

    def serves(uid: str, zones: frozenset[str], unavailable: frozenset[str]) -> bool:
        status = servers[uid]
        return status.up and not status.draining and status.zone in zones and uid not in unavailable

    def is_last(name: str, unavailable: frozenset[str]) -> bool:
        if name not in servers:
            return False  # it is a router
        return any(
            servers[name].zone in zones
            and not any(serves(uid, zones, unavailable) for uid in servers if uid != name)
            for zones in pinned
        )

    return is_last
