"""The two files' `[placement]` to what runs by it."""

from __future__ import annotations

from collections.abc import Callable

from ..admin.config import ControlPlaneConfig
from ..admin.control_plane import ControlPlane
from ..hosted.control_plane_watch import ControlPlaneWatch
from ..net.service import Service
from .keeper import Placement
from .router import Placing


def build_placement(service: Service, follower: ControlPlaneWatch) -> Placing:
    """Placement at a router that follows a keeper, as a further part of the feed."""
    part = Placing(service, follower)
    follower.add_part(part)
    return part


def keeping(told: ControlPlaneConfig) -> Callable[[ControlPlane], Placement]:
    """The keeper's part."""
    return lambda administration: Placement(administration, told.placement)
