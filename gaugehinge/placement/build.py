"""Builds placement for a router and for the control plane, as `[placement]` in their files configures it."""

from __future__ import annotations

from collections.abc import Callable

from ..admin.config import ControlPlaneConfig
from ..admin.control_plane import ControlPlane
from ..hosted.control_plane_watch import ControlPlaneWatch
from ..net.service import Service
from .control_plane import PlacementControlPlane
from .router import RouterPlacement


def build_placement(service: Service, watch: ControlPlaneWatch) -> RouterPlacement:
    """Build a router's placement and add it to the feed parts that `watch` handles."""
    placement = RouterPlacement(service, watch)
    watch.add_part(placement)
    return placement


def control_plane_factory(settings: ControlPlaneConfig) -> Callable[[ControlPlane], PlacementControlPlane]:
    """A factory for the control plane's placement extension, configured by its file."""
    return lambda administration: PlacementControlPlane(administration, settings.placement)
