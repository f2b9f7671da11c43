"""The control plane's part, as the administration calls it, and how it is made from settings."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..admin.keep import KeepDrains, KeepFile
from ..admin.service import Administration
from ..store.store import Store
from ..tenancy.feed import Report
from .admission_record import AdmissionRecord
from .api import DrainsApi
from .connection_counts import DEFAULT_SERVER, ORIGIN
from .controller import DrainsController
from .fleet_view import FleetView
from .high_water_mark import HighWaterMarkFile
from .lease_manager import LeaseManager
from .lease_service import LeaseService
from .lease_types import DurableState
from .messages import NAME
from .restart_service import RestartService


@dataclass(slots=True, eq=False)
class DrainsPart:
    """`admin.service.Part`: a controller and its API."""

    controller: DrainsController
    name: str = NAME

    def hear(self, report: Report, now: float) -> None:
        """Take a router's report. Raises Wrong where its part is malformed."""
        self.controller.on_report(report, now)

    def feed(self, store: Store, report: Report) -> bytes | None:
        """On the store's thread: the part of the answer, in JSON."""
        return self.controller.reply(store, report)

    def routes(self) -> list[tuple[str, str, str, Any, Any, Any]]:
        """Rows for the table of `admin.app.Api`."""
        return DrainsApi(self.controller).routes()

    async def run(self) -> None:
        """Plan until cancelled."""
        await self.controller.run()


def control_plane_part(settings: KeepFile) -> Callable[[Administration], DrainsPart]:
    """What makes the control plane's part, by its settings file."""
    zones_by_region = getattr(settings.placement, "regions", {})
    regions = {zone: region for region, zones in zones_by_region.items() for zone in zones}
    return lambda administration: create_part(administration, settings.drains, regions)


def create_part(
    administration: Administration, settings: KeepDrains, regions: dict[str, str] | None = None
) -> DrainsPart:
    """The part of one control plane run; `regions`: by zone, where they are named."""
    manager = LeaseManager(
        time.monotonic(),
        administration.lease,
        float(settings.closing),
        settings.most_nodes,
        {ORIGIN: settings.floor_origin, DEFAULT_SERVER: settings.floor_servers},
        settings.reserve,
        administration.run_mark,
        administration.life,
        DurableState(),
    )
    store_path = administration.keeper.path
    leases = LeaseService(
        administration,
        settings,
        time.monotonic,
        manager,
        FleetView(manager, regions or {}, settings.most_busy),
        AdmissionRecord(store_path),
        HighWaterMarkFile.beside(store_path),
    )
    return DrainsPart(DrainsController(leases, RestartService(leases)))
