"""The control plane's side of placement: takes reports, sends shards to routers, serves the tenant API.

A router counts as following a revision once it has reported the revision with the digest that this run of the
control plane issued for it, and has no attempt in flight that was placed by an older one. The control plane
waits for a router that does not report until its lease has expired or, where the router may act without a
lease, until its isolation limit has (`lease_tracker.py`). Before the leases granted by a previous run have
expired, it claims nothing, such as that a shard is confined.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec
import trio
from loguru import logger

from ..admin.config import PlacementConfig
from ..admin.control_plane import ControlPlane
from ..admin.errors import InvalidRequestError
from ..admin.route import Route
from ..store.errors import DiskFullError, StoreOverloadedError
from ..store.records import Mutation
from ..store.store import Store
from ..tenancy.feed import Report
from .capacity import CapacityPlanner
from .lease_tracker import LeaseTracker
from .messages import ControlPlaneUpdate, RouterReport
from .reconciler import AUTHOR, IDLE_INTERVAL, RECONCILE_INTERVAL, Reconciler
from .records import ShardRecord
from .server_availability import ServerAvailability
from .server_inventory import ServerInventory
from .shard_changes import ShardChanges
from .shard_index import ShardIndex
from .shard_view import ShardPresenter
from .sweep import sweep_changes
from .tenant_api import TenantApi
from .zone_changes import settings_changes

SWEEP_INTERVAL = 10.0  # seconds
BATCH_DELAY = RECONCILE_INTERVAL / 4  # seconds; one pass handles all reports that arrive within it


class PlacementControlPlane:
    """The placement extension of the control plane (`admin.extension.Extension`)."""

    name = "placement"

    def __init__(
        self,
        administration: ControlPlane,
        settings: PlacementConfig,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`clock`: monotonic seconds; leases are timed by it."""
        self.administration = administration
        self.store_writer = administration.store_writer
        self.settings = settings
        self.clock = clock
        self.index = ShardIndex()
        self.inventory = ServerInventory()
        self.leases = LeaseTracker(administration.leases.duration, settings, clock)
        self.servers = ServerAvailability(self.inventory)
        self.capacity = CapacityPlanner(self.index, self.servers, settings)
        self.reconciler = Reconciler(
            self.store_writer, self.index, self.servers, self.leases, settings, clock
        )
        presenter = ShardPresenter(self.leases, self.inventory, settings, self.store_writer.clock)
        self.changes = ShardChanges(administration, self.index, self.capacity, presenter, settings, self.wake)
        self.api = TenantApi(self.store_writer, self.changes, presenter)
        self._wake = trio.Event()

    def routes(self) -> list[Route]:
        """The API routes for shards."""
        return self.api.routes()

    # -- routers

    def on_report(self, report: Report, now: float) -> None:
        """Take a router's report and renew its lease.

        The lease is counted from here, which is later than when the router sent its report: the router, which
        counts from then, stops first. Raises InvalidRequestError if the report cannot be decoded.
        """
        router_report = self._read_report(report)
        # A router without placement follows no revision and gets no lease.
        if self.name in report.parts:
            self.leases.renew(report.router, report.run, self._followed_revision(router_report))
        if router_report.server_chunk is not None:
            self.reconciler.relabelled_zones |= self.inventory.add_chunk(
                report.router, router_report.server_chunk
            )
        for lost in router_report.lost_pins:
            self.reconciler.report_lost_pin(lost)
        if self.reconciler.has_work:
            self.wake()

    def _read_report(self, report: Report) -> RouterReport:
        try:
            return msgspec.json.decode(report.parts.get(self.name, b"{}"), type=RouterReport)
        except msgspec.MsgspecError as error:
            raise InvalidRequestError(str(error), f"parts.{self.name}") from error

    def _followed_revision(self, router_report: RouterReport) -> int:
        """The newest revision that a router is known to follow; 0 if this run did not issue its table."""
        revision, digest = router_report.table_revision, router_report.revision_digest
        if not digest or not self.administration.feed.digests.was_issued(revision, digest):
            return 0
        return min(router_report.effective_revision, router_report.table_revision)

    def feed_section(self, store: Store, report: Report) -> bytes | None:
        """The JSON section of a router's feed; None for a router without placement.

        Called on the store's thread.
        """
        if self.name not in report.parts:
            return None
        router_report = msgspec.json.decode(report.parts[self.name], type=RouterReport)
        self.index.refresh(store)
        return msgspec.json.encode(self._update_for(store, report, router_report))

    def _update_for(self, store: Store, report: Report, router_report: RouterReport) -> ControlPlaneUpdate:
        digest = store.revision_digest(router_report.table_revision) if router_report.table_revision else ""
        is_known = bool(digest) and digest == router_report.revision_digest
        history_lost = self._is_history_lost(store, router_report, digest)
        if history_lost and not self.leases.history_lost:
            self.leases.history_lost = True
            logger.warning("placement: router {} follows history that this store lacks", report.router)
        changes = self.index.changes_since(router_report.table_revision if is_known else 0)
        is_tracked = self.leases.is_tracked(report.router, report.run)
        return ControlPlaneUpdate(
            self.index.revision,
            self.administration.feed.digests.issue(self.index.revision),
            changes.is_complete,
            changes.assignments,
            changes.removed,
            self.leases.lease if is_tracked else 0.0,
            self.leases.isolation_limit if is_tracked else 0.0,
            self.servers.stored_relabelled(store),
            self.inventory.digest,
            history_lost,
        )

    @staticmethod
    def _is_history_lost(store: Store, router_report: RouterReport, digest: str) -> bool:
        """Whether a router's table comes from history that this copy of the store does not contain."""
        if not router_report.table_revision or digest == router_report.revision_digest:
            return False
        return router_report.table_revision > store.revision or bool(digest)

    # -- other subsystems

    def is_confined(self, record: ShardRecord) -> bool:
        """Whether no router places a key of the shard outside its zones, as far as this run can know."""
        return self.leases.is_confined(record)

    def required_zone_sets(self) -> set[frozenset[str]]:
        """The zone sets of all required shards, for their current and their target placement.

        Code that takes servers out of service has to leave at least one server up in each of these sets.
        """
        records = [stored.record for stored in list(self.index.shards.values())]
        affinities = [affinity for record in records for affinity in (record.current, record.target)]
        return {
            affinity.all_zones()
            for affinity in affinities
            if affinity is not None and affinity.required and affinity.zones
        }

    # -- the control loop

    def wake(self) -> None:
        """Start the next pass without waiting for the interval to end."""
        self._wake.set()

    async def run(self) -> None:
        """Run reconcile passes and sweeps until cancelled."""
        zones_updated, next_sweep = False, 0.0
        while True:
            interval = IDLE_INTERVAL
            try:
                if not zones_updated:
                    await self.store_writer.apply_planned(self._settings_changes, AUTHOR)
                    zones_updated = True
                if self.clock() >= next_sweep:
                    await self._sweep()
                    next_sweep = self.clock() + SWEEP_INTERVAL
                interval = await self.reconciler.reconcile()
            except (StoreOverloadedError, DiskFullError) as error:
                logger.warning("placement: pass skipped: {}", error)
            self._wake = trio.Event()
            with trio.move_on_after(interval):
                await self._wake.wait()
                await trio.sleep(BATCH_DELAY)

    def _settings_changes(self, store: Store, now: float) -> list[Mutation]:
        self.index.refresh(store)
        return settings_changes(self.index, self.settings.regions, now)

    async def _sweep(self) -> None:
        await self.store_writer.apply_planned(self._sweep_changes, AUTHOR)
        self.leases.forget_expired()

    def _sweep_changes(self, store: Store, now: float) -> list[Mutation]:
        self.index.refresh(store)
        self.capacity.warn_overcommitted(store)
        return sweep_changes(store, self.index)
