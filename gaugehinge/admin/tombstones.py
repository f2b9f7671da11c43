"""Tombstones of removed tenants, swept once no router holds anything of the tenant any more."""

from __future__ import annotations

import msgspec
import trio
from loguru import logger

from ..store.errors import DiskFullError, RevisionConflictError, StoreOverloadedError
from ..store.records import Item, Mutation, encode
from ..tenancy.lifecycle import ROUTER_TIMEOUT, TenantStage, finish_removal
from .control_plane import ControlPlane
from .records import TOMBSTONE_KIND, TenantRecord, decode_tenant

SWEEP_INTERVAL = 5.0  # seconds
SWEEP_ACTOR = "keeper"  # as the audit log of every installation names it


async def sweep_tombstones(control_plane: ControlPlane) -> int:
    """Advance each tombstone by the routers' reports, and delete those that are done; returns how many.

    Raises:
        StoreOverloadedError: Too many calls wait for the store.
        DiskFullError: The disk is full.
    """
    store_writer, deleted = control_plane.store_writer, 0
    store = store_writer.store
    for item in await store_writer.run_sync(lambda: store.items(TOMBSTONE_KIND)):
        before = decode_tenant(item)
        after = _advance(control_plane, item, before)
        if after == before:
            continue
        # Routers know that it leaves from the first row of its tombstone on; later ones only say `clear`.
        after = msgspec.structs.replace(after, left_at=before.left_at or item.revision)
        body = None if after.stage == TenantStage.GONE.value else encode(after)
        try:
            await store_writer.apply(
                [Mutation(TOMBSTONE_KIND, item.item_id, body, item.revision)], SWEEP_ACTOR
            )
        except RevisionConflictError:
            continue
        deleted += body is None
    return deleted


def _advance(control_plane: ControlPlane, item: Item, record: TenantRecord) -> TenantRecord:
    now = control_plane.store_writer.clock()
    reports = control_plane.routers.reports_on(record.incarnation, now)
    removed_at = record.left_at or item.revision
    return record.with_tenancy(finish_removal(record.tenancy, reports, removed_at, record.memory, now))


async def run_tombstone_sweeper(control_plane: ControlPlane) -> None:
    """Sweep tombstones until cancelled.

    The first sweep waits until every router that there may be has had the time to report: a control plane
    that has just started knows of none, and what a router holds would count as forgotten.
    """
    await trio.sleep(ROUTER_TIMEOUT)
    while True:
        await trio.sleep(SWEEP_INTERVAL)
        try:
            deleted = await sweep_tombstones(control_plane)
        except (StoreOverloadedError, DiskFullError) as error:
            logger.warning("tombstones not swept: {}", error)
            continue
        if deleted:
            logger.info("tombstones swept: {}", deleted)
