"""The two files' `[placement]` to what runs by it."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..admin.config import ControlPlaneConfig
from ..admin.control_plane import ControlPlane
from ..hosted.follower import Follower
from ..net.service import Service
from .keeper import Placement
from .router import placing

Extension = Callable[[Service, trio.Nursery], Follower]


def placed(follow: Extension) -> Extension:
    """A router that follows, and holds to what it is told of shards."""

    def extend(service: Service, nursery: trio.Nursery) -> Follower:
        follower = follow(service, nursery)
        placing(service, follower)
        return follower

    return extend


def keeping(told: ControlPlaneConfig) -> Callable[[ControlPlane], Placement]:
    """The keeper's part."""
    return lambda administration: Placement(administration, told.placement)
