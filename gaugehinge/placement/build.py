"""Switches placement on at a router and at the control plane, as the files' `[placement]` say."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..admin.keep import KeepFile
from ..admin.service import Administration
from ..hosted.follower import Follower
from ..net.service import Service
from .control_plane import PlacementControlPlane
from .router import attach_placement

Extension = Callable[[Service, trio.Nursery], Follower]


def with_placement(follow: Extension) -> Extension:
    """An extension that follows the control plane, and holds to what it is told of shards."""

    def extend(service: Service, nursery: trio.Nursery) -> Follower:
        follower = follow(service, nursery)
        attach_placement(service, follower)
        return follower

    return extend


def control_plane_factory(settings: KeepFile) -> Callable[[Administration], PlacementControlPlane]:
    """What makes the control plane's part, by its file."""
    return lambda administration: PlacementControlPlane(administration, settings.placement)
