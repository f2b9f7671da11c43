"""Places of tenants in the routers' tables: the same at all routers, free once a tombstone is deleted."""

from __future__ import annotations

import msgspec
from loguru import logger

from ..store.records import Mutation, encode
from ..store.store import Store
from ..tenancy.feed import MAX_TENANTS
from .errors import ResourceConflictError
from .records import TENANT_KIND, TOMBSTONE_KIND, UNPLACED, all_tenant_records, decode_tenant


def allocate_place(store: Store) -> int:
    """The lowest place that is free.

    Raises:
        ResourceConflictError: All places are taken.
    """
    taken = _taken_places(store)
    if len(taken) >= MAX_TENANTS:
        raise ResourceConflictError(f"{MAX_TENANTS} tenants stand, those that leave among them")
    return _lowest_free(taken)


def plan_missing_places(store: Store, now: float) -> list[Mutation]:
    """Give a place of its own to each tenant and tombstone that an older version stored without one.

    Where it read only part of the tenants, it gave places twice: the first of the two keeps it.
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
            "{} tenants have no place and are not served: routers have {}", unplaced_count, MAX_TENANTS
        )
    return mutations


def _taken_places(store: Store) -> set[int]:
    """Places that are taken, also those of tombstones: a router may still hold operations of them."""
    return {record.place for record in all_tenant_records(store)} - {UNPLACED}


def _lowest_free(taken: set[int]) -> int:
    return next(place for place in range(len(taken) + 1) if place not in taken)
