"""Tombstones of removed tenants, swept once no router holds anything of the tenant any more."""

from __future__ import annotations

import msgspec
import trio
from loguru import logger

from ..store.keeper import Overloaded
from ..store.store import Conflict, Full, Item, Wanted, encode
from ..tenancy.life import UNHEARD, Stage, pass_away
from .control_plane import ControlPlane
from .records import TOMBSTONE_KIND, TenantRecord, decode_tenant

SWEEP_INTERVAL = 5.0  # seconds
SWEEP_ACTOR = "keeper"  # as the audit log of every installation names it


async def sweep_tombstones(control_plane: ControlPlane) -> int:
    """Bring each tombstone on by what routers reported, and delete those that are done; how many those were.

    Raises:
        Overloaded: Too many calls wait for the store.
        Full: The disk is full.
    """
    store_writer, deleted = control_plane.store_writer, 0
    store = store_writer.store
    for item in await store_writer.call(lambda: store.items(TOMBSTONE_KIND)):
        before = decode_tenant(item)
        after = _advance(control_plane, item, before)
        if after == before:
            continue
        # Routers know that it leaves from the first row of its tombstone on; later ones only say `clear`.
        after = msgspec.structs.replace(after, left_at=before.left_at or item.rev)
        body = None if after.stage == Stage.GONE.value else encode(after)
        try:
            await store_writer.apply([Wanted(TOMBSTONE_KIND, item.ident, body, item.rev)], SWEEP_ACTOR)
        except Conflict:
            continue
        deleted += body is None
    return deleted


def _advance(control_plane: ControlPlane, item: Item, record: TenantRecord) -> TenantRecord:
    now = control_plane.store_writer.clock()
    reports = control_plane.routers.tenancy_reports(record.incarnation, now)
    removed_at = record.left_at or item.rev
    return record.with_tenancy(pass_away(record.tenancy, reports, removed_at, record.memory, now))


async def run_tombstone_sweeper(control_plane: ControlPlane) -> None:
    """Sweep tombstones until cancelled.

    The first sweep waits until every router that there may be has had the time to report: a control plane
    that has just started knows of none, and what a router holds would count as forgotten.
    """
    await trio.sleep(UNHEARD)
    while True:
        await trio.sleep(SWEEP_INTERVAL)
        try:
            deleted = await sweep_tombstones(control_plane)
        except (Overloaded, Full) as error:
            logger.warning("tombstones not swept: {}", error)
            continue
        if deleted:
            logger.info("tombstones swept: {}", deleted)
