"""Switches placement on at a router and at the control plane, as the files' `[placement]` say."""

from __future__ import annotations

from collections.abc import Callable

from ..admin.config import ControlPlaneConfig
from ..admin.control_plane import ControlPlane
from ..hosted.control_plane_watch import ControlPlaneWatch
from ..net.service import Service
from .control_plane import PlacementControlPlane
from .router import RouterPlacement


def build_placement(service: Service, watch: ControlPlaneWatch) -> RouterPlacement:
    """Placement at a router that follows a control plane, as a further part of the feed."""
    placement = RouterPlacement(service, watch)
    watch.add_part(placement)
    return placement


def control_plane_factory(settings: ControlPlaneConfig) -> Callable[[ControlPlane], PlacementControlPlane]:
    """What makes the control plane's part, by its file."""
    return lambda administration: PlacementControlPlane(administration, settings.placement)
