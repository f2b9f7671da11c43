"""Quarantine of shards whose pins were lost when the store was restored from an older copy."""

from __future__ import annotations

from collections.abc import Mapping

from loguru import logger
from msgspec.structs import replace

from ..store.records import Mutation, encode
from ..store.store import Store
from .lifecycle import Event, Stage, transition
from .messages import LostPin
from .records import SHARD, ShardRecord, lifecycle_of, record_id, with_lifecycle
from .shard_index import ShardIndex
from .shard_table import ShardKey
from .store_reader import tenant_names


def quarantine_changes(
    store: Store, index: ShardIndex, lost_pins: Mapping[ShardKey, LostPin], now: float
) -> list[Mutation]:
    """Return the changes that quarantine each shard of which a router reported that a newer pin was lost.

    A quarantined shard is not served until its tenant requests a placement again. Skipped are pins of tenants
    that do not exist, shards that were changed after the router first heard of the older copy, and shards
    that are quarantined already. `now`: Unix seconds. Runs on the store's thread.
    """
    names = tenant_names(store)
    changes = []
    for (incarnation, shard), lost in lost_pins.items():
        found, revision = index.shards.get(record_id(incarnation, shard), (None, 0))
        if incarnation not in names or (found is not None and _is_already_handled(found, revision, lost)):
            continue
        record = found or _quarantined_record(store, names[incarnation], lost, now)
        lifecycle = transition(lifecycle_of(found) if found else None, Event.PIN_LOST)
        after = replace(with_lifecycle(record, lifecycle, now), version=store.revision + 1)
        logger.warning(
            "shard {} of tenant {} is quarantined: a newer pin of it was lost", shard, names[incarnation]
        )
        changes.append(Mutation(SHARD, record_id(incarnation, shard), encode(after), revision))
    return changes


def _is_already_handled(record: ShardRecord, revision: int, lost: LostPin) -> bool:
    return revision > lost.store_revision or record.stage is Stage.QUARANTINED


def _quarantined_record(store: Store, tenant: str, lost: LostPin, now: float) -> ShardRecord:
    """Return a quarantined record for a shard that this copy of the store never had."""
    stage, version = Stage.QUARANTINED, store.revision + 1
    return ShardRecord(lost.incarnation, tenant, lost.shard, lost.prefixes, 0.0, version, stage, now)
