"""Changes to shards that follow when the zones of their regions or servers change.

The public functions run on the store's thread, after the index was refreshed from the store.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from loguru import logger

from ..store.records import Mutation, encode
from .affinity import RegionAffinity, affinity_to
from .lifecycle import Event, Lifecycle, Stage, transition
from .records import SHARD, lifecycle_of, with_lifecycle
from .shard_index import ShardIndex


def settings_changes(index: ShardIndex, regions: Mapping[str, Sequence[str]], now: float) -> list[Mutation]:
    """Changes that move shards to the zones that the settings now name for their regions.

    `regions`: region names to zones; `now`: Unix seconds.
    """
    changes = []
    for record_id, (record, revision) in index.shards.items():
        lifecycle = lifecycle_of(record)
        affinity = _outdated_affinity(lifecycle, regions)
        if affinity is None:
            continue
        event = Event.CHANGE_SCHEDULED if lifecycle.scheduled_at else Event.CHANGE_REQUESTED
        after = transition(lifecycle, event, affinity, lifecycle.scheduled_at)
        logger.info("shard {} of tenant {}: its regions have other zones now", record.shard, record.tenant)
        changes.append(Mutation(SHARD, record_id, encode(with_lifecycle(record, after, now)), revision))
    return changes


def _outdated_affinity(lifecycle: Lifecycle, regions: Mapping[str, Sequence[str]]) -> RegionAffinity | None:
    """The affinity to replace a shard's newest one with; None if that is up to date.

    Shards whose removal was requested, and shards pinned to a region that the settings no longer name, stay
    as they are.
    """
    newest = lifecycle.target if lifecycle.target is not None else lifecycle.current
    if newest is None or lifecycle.removal_requested or not newest.regions:
        return None
    if set(newest.regions) - set(regions):
        return None
    affinity = affinity_to(newest.regions, regions, required=newest.required)
    return None if affinity == newest else affinity


def relabelled_changes(index: ShardIndex, zones: set[str], now: float) -> list[Mutation]:
    """Changes that make shards wait for all routers again after servers changed zones without a restart.

    `zones`: the old and the new zones of such servers; shards in other zones do not change. `now`:
    Unix seconds.
    """
    changes = []
    for record_id, (record, revision) in index.shards.items():
        if record.stage not in (Stage.CONFINED, Stage.MIGRATING) or record.current is None:
            continue
        if zones.isdisjoint(record.current.all_zones()):
            continue
        after = with_lifecycle(record, transition(lifecycle_of(record), Event.ZONES_CHANGED), now)
        changes.append(Mutation(SHARD, record_id, encode(after), revision))
    return changes
