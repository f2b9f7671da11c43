"""Shards that may be served in certain zones only: their last server there is not taken out."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ..admin.control_plane import ControlPlane
from .restart_batch import LastOfShard
from .restart_types import NodeStatus


def pinned_zones(control_plane: ControlPlane) -> Iterable[frozenset[str]]:
    """The zones of each shard that may be served nowhere else, as placement has them."""
    placement: Any = next((part for part in control_plane.extensions if part.name == "placement"), None)
    rows = placement.index.shards.values() if placement is not None else ()
    return {
        frozenset(zone for region in terms.zones for zone in region)
        for row, _ in rows
        for terms in (row.current, row.target)
        if terms and terms.required
    }


def last_of_shard(pinned_zones: Iterable[frozenset[str]], servers: dict[str, NodeStatus]) -> LastOfShard:
    """A test whether a server is the last one up for a shard pinned to zones, others being unavailable."""
    pinned = set(pinned_zones)

    def serves(uid: str, zones: frozenset[str], unavailable: frozenset[str]) -> bool:
        status = servers[uid]
        return status.up and not status.draining and status.zone in zones and uid not in unavailable

    def is_last(name: str, unavailable: frozenset[str]) -> bool:
        if name not in servers:
            return False  # a router
        return any(
            servers[name].zone in zones
            and not any(serves(uid, zones, unavailable) for uid in servers if uid != name)
            for zones in pinned
        )

    return is_last
