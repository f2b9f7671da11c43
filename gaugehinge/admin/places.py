"""Places (indexes) of tenants in the routers' tenant tables.

A tenant's place is the same at all routers, and is freed when its tombstone is deleted.
"""

from __future__ import annotations

import msgspec
from loguru import logger

from ..store.records import Mutation, encode
from ..store.store import Store
from ..tenancy.feed import MAX_TENANTS
from .errors import ResourceConflictError
from .records import TENANT_KIND, TOMBSTONE_KIND, UNPLACED, all_tenant_records, decode_tenant


def allocate_place(store: Store) -> int:
    """Return the lowest free place.

    Raises:
        ResourceConflictError: All places are taken.
    """
    taken = _taken_places(store)
    if len(taken) >= MAX_TENANTS:
        raise ResourceConflictError(f"{MAX_TENANTS} tenants stand, those that leave among them")
    return _lowest_free(taken)


def plan_missing_places(store: Store, now: float) -> list[Mutation]:
    """Return mutations that give a place of its own to each tenant and tombstone that lacks one.

    Older versions stored tenants without a place. Where they read only part of the tenants, they assigned
    some places twice: the first holder found keeps the place, others get a new one.
    """
    mutations, displaced = [], []
    taken: set[int] = set()
    for kind in (TENANT_KIND, TOMBSTONE_KIND):
        for item in store.items(kind):
            place = decode_tenant(item).place
            if place == UNPLACED or place in taken:
                displaced.append(item)
            else:
                taken.add(place)
    free = (place for place in range(MAX_TENANTS) if place not in taken)
    for item in displaced:
        record = decode_tenant(item)
        place = next(free, UNPLACED)
        if place != record.place:
            record = msgspec.structs.replace(record, place=place)
            mutations.append(Mutation(item.kind, item.item_id, encode(record), item.revision))
    unplaced_count = len(displaced) + len(taken) - MAX_TENANTS
    if unplaced_count > 0:
        logger.error(
            "{} tenants have no place and are not served: routers have {} places",
            unplaced_count,
            MAX_TENANTS,
        )
    return mutations


def _taken_places(store: Store) -> set[int]:
    """Return the places in use, including those of tombstones, whose operations routers may still hold."""
    return {record.place for record in all_tenant_records(store)} - {UNPLACED}


def _lowest_free(taken: set[int]) -> int:
    return next(place for place in range(len(taken) + 1) if place not in taken)
