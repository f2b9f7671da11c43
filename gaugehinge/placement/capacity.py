"""Capacity of regions that remains beside the shards that are already pinned there."""

from __future__ import annotations

from loguru import logger

from ..admin.config import PlacementConfig
from ..admin.records import TOMBSTONE_KIND, TenantRecord
from ..store.store import Store
from .admission import RegionCapacity
from .server_availability import ServerAvailability
from .shard_index import ShardIndex
from .store_reader import iter_decoded


class CapacityPlanner:
    """Computes the capacity of regions from the store and the servers reported last."""

    def __init__(self, index: ShardIndex, servers: ServerAvailability, settings: PlacementConfig) -> None:
        """`settings`: the regions, and the rate that a server of weight 1 can take."""
        self.index = index
        self.servers = servers
        self.settings = settings
        self.overcommitted: set[str] = set()  # regions where more is reserved than they can take

    def regions(self, store: Store, without: str = "") -> RegionCapacity:
        """Return the capacity that a pin is checked against.

        `without`: id of a shard record whose own reservation is left out. Runs on the store's thread.
        """
        reserved = self._reserved(store, without)
        self.servers.refresh(store)
        return RegionCapacity(
            self.settings.regions,
            self.servers.servers(),
            float(self.settings.bears),
            reserved,
            bool(self.servers.inventory.digest),
        )

    def _reserved(self, store: Store, without: str) -> dict[str, float]:
        # A removed tenant of which no router has operations in flight no longer reserves capacity.
        cleared = {
            tenant.incarnation for tenant in iter_decoded(store, TOMBSTONE_KIND, TenantRecord) if tenant.clear
        }
        reserved: dict[str, float] = {}
        for record_id, (record, _) in self.index.shards.items():
            if record_id != without and record.incarnation not in cleared:
                for region, rate in record.rate_by_region.items():
                    reserved[region] = reserved.get(region, 0.0) + rate
        return reserved

    def warn_overcommitted(self, store: Store) -> None:
        """Log once when the rate pinned to a region exceeds its capacity, and once when it fits again.

        Existing pins are kept when servers are lost. Runs on the store's thread.
        """
        if not self.servers.inventory.digest:
            return
        capacity = self.regions(store)
        for region in self.settings.regions:
            available, reserved = capacity.capacity(region), capacity.reserved.get(region, 0.0)
            exceeded = reserved > available
            if exceeded is (region in self.overcommitted):
                continue
            logger.log(
                "WARNING" if exceeded else "INFO",
                "capacity of region {} is {} the rate pinned there: "
                "{:.1f}/s with a zone or server lost, {:.1f}/s pinned",
                region,
                "less than" if exceeded else "again at least",
                available,
                reserved,
            )
            self.overcommitted ^= {region}
