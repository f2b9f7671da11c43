"""Shards as shown by the administration API."""

from __future__ import annotations

from collections.abc import Callable

from ..admin.config import PlacementConfig
from ..store.store import Store
from .affinity import RegionAffinity
from .api_types import Copy, ShardShown, TermsShown
from .lease_tracker import PREVIOUS_RUN, LeaseTracker
from .lifecycle import Stage
from .records import ShardRecord, lifecycle_of
from .server_inventory import ServerInventory
from .server_snapshots import stale_copies

MAX_SHOWN_ROUTERS = 20  # routers that a shard waits for, in one view


class ShardPresenter:
    """Builds the API's view of shard records."""

    def __init__(
        self,
        leases: LeaseTracker,
        inventory: ServerInventory,
        settings: PlacementConfig,
        wall_clock: Callable[[], float],
    ) -> None:
        """`settings`: has how long servers retain values; `wall_clock`: Unix seconds."""
        self.leases = leases
        self.inventory = inventory
        self.settings = settings
        self.wall_clock = wall_clock

    def view(self, store: Store | None, record: ShardRecord, revision: int) -> ShardShown:
        """Return the view of a record at a revision. Without a store, copies are left out."""
        stage, waits_for = self._progress(record, revision)
        copies_until = record.confined_at + float(self.settings.retention) if self.settings.retention else 0.0
        return ShardShown(
            record.tenant,
            record.incarnation,
            record.shard,
            record.prefixes,
            record.requested_regions,
            record.requested_mode,
            record.requested_rate,
            record.requested_start,
            record.reserved_rate,
            stage,
            record.stage_since,
            record.version,
            _affinity_view(record.current),
            _affinity_view(record.target),
            record.retries_blocked,
            waits_for[:MAX_SHOWN_ROUTERS],
            self._copies(store, record, copies_until),
            copies_until,
        )

    def _progress(self, record: ShardRecord, revision: int) -> tuple[str, list[str]]:
        """Return the stage to show, and the routers that a shard in progress waits for."""
        lifecycle = lifecycle_of(record)
        if lifecycle.stage is Stage.CONFINED and not self.leases.is_confined(record):
            return Stage.MIGRATING.value, [PREVIOUS_RUN]
        in_progress = lifecycle.stage in (Stage.PREPARING, Stage.MIGRATING, Stage.REMOVING)
        if not in_progress or lifecycle.removal_acknowledged:
            return record.stage.value, []
        without_lease = lifecycle.may_serve_without_lease and lifecycle.stage is not Stage.PREPARING
        return record.stage.value, self.leases.routers_behind(revision, without_lease)

    def _copies(self, store: Store | None, record: ShardRecord, copies_until: float) -> list[Copy]:
        if store is None or not record.server_snapshot:
            return []
        if copies_until and self.wall_clock() >= copies_until:
            return []
        return stale_copies(store, record, self.inventory)


def _affinity_view(affinity: RegionAffinity | None) -> TermsShown | None:
    if affinity is None:
        return None
    zones = tuple(zone for region in affinity.zones for zone in region)  # in the order of regions
    return TermsShown("only" if affinity.required else "prefer", affinity.regions, zones)
