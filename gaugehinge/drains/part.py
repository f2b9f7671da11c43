"""The control plane's side of drains: an extension that is created from the settings."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from ..admin.config import ControlPlaneConfig, DrainsConfig
from ..admin.control_plane import ControlPlane
from ..admin.route import Route
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
    """An `admin.extension.Extension`: a controller and its API."""

    controller: DrainsController
    name: str = NAME

    def on_report(self, report: Report, now: float) -> None:
        """Handle a router's report. Raises ApiError if its drains part is malformed."""
        self.controller.on_report(report, now)

    def feed_section(self, store: Store, report: Report) -> bytes | None:
        """Return this part of the reply, in JSON. Runs on the store's thread."""
        return self.controller.reply(store, report)

    def routes(self) -> list[Route]:
        """Return the routes that drains adds to the administration API."""
        return DrainsApi(self.controller).routes()

    async def run(self) -> None:
        """Run the controller until cancelled."""
        await self.controller.run()


def control_plane_part(settings: ControlPlaneConfig) -> Callable[[ControlPlane], DrainsPart]:
    """Return a factory for the control plane's part, configured by its settings file."""
    zones_by_region = getattr(settings.placement, "regions", {})
    regions = {zone: region for region, zones in zones_by_region.items() for zone in zones}
    return lambda control_plane: create_part(control_plane, settings.drains, regions)


def create_part(
    control_plane: ControlPlane, settings: DrainsConfig, regions: dict[str, str] | None = None
) -> DrainsPart:
    """Create the part for one control plane run. `regions` maps zones to regions, if configured."""
    manager = LeaseManager(
        time.monotonic(),
        control_plane.leases.duration,
        float(settings.closing),
        settings.most_nodes,
        {ORIGIN: settings.floor_origin, DEFAULT_SERVER: settings.floor_servers},
        settings.reserve,
        control_plane.run_id,
        control_plane.store_id,
        DurableState(),
    )
    store_path = control_plane.store_writer.path
    leases = LeaseService(
        control_plane,
        settings,
        time.monotonic,
        manager,
        FleetView(manager, regions or {}, settings.most_busy),
        AdmissionRecord(store_path),
        HighWaterMarkFile.for_store(store_path),
    )
    return DrainsPart(DrainsController(leases, RestartService(leases)))
