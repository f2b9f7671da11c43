"""Tombstones of removed tenants, deleted once no router holds any state of the tenant."""

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
SWEEP_ACTOR = "keeper"  # stored in the audit logs of existing installations


async def sweep_tombstones(control_plane: ControlPlane) -> int:
    """Advance each tombstone by the routers' reports; delete and count those whose removal is complete.

    Raises:
        StoreOverloadedError: Too many calls are waiting for the store.
        DiskFullError: The disk is full.
    """
    store_writer, deleted = control_plane.store_writer, 0
    store = store_writer.store
    for item in await store_writer.run_sync(lambda: store.items(TOMBSTONE_KIND)):
        before = decode_tenant(item)
        after = _advance(control_plane, item, before)
        if after == before:
            continue
        # Routers learn of the removal from the tombstone's first row, whose revision is kept in `left_at`;
        # later rows only update `clear`.
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

    The first sweep waits until every running router has had time to report. A control plane that has just
    started knows of no routers, and without the wait it would treat whatever a router still holds of a tenant
    as gone.
    """
    await trio.sleep(ROUTER_TIMEOUT)
    while True:
        await trio.sleep(SWEEP_INTERVAL)
        try:
            deleted = await sweep_tombstones(control_plane)
        except (StoreOverloadedError, DiskFullError) as error:
            logger.warning("tombstone sweep failed; retrying at the next interval: {}", error)
            continue
        if deleted:
            logger.info("tombstones deleted: {}", deleted)
