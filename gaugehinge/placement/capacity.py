"""What regions can take beside the shards that are pinned there already."""

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
    """The capacity of the regions, as of the store and of the servers reported last."""

    def __init__(self, index: ShardIndex, servers: ServerAvailability, settings: PlacementConfig) -> None:
        """`settings`: the regions, and the rate that a server of weight 1 takes."""
        self.index = index
        self.servers = servers
        self.settings = settings
        self.overcommitted: set[str] = set()  # regions where more is reserved than they can take

    def regions(self, store: Store, without: str = "") -> RegionCapacity:
        """What a pin is checked against, the reservation of the shard record `without` left out.

        On the store's thread.
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
        # A tenant that was removed, and that no router has anything of in flight, reserves nothing any more.
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
        """Log once when a region can no longer take what is pinned there, and once when it can again.

        Pins stay as they are when servers are lost behind them. On the store's thread.
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
                "region {} bears {} what is pinned: {:.1f}/s with a zone or server lost, {:.1f}/s pinned",
                region,
                "less than" if exceeded else "again",
                available,
                reserved,
            )
            self.overcommitted ^= {region}
