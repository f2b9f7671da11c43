"""The installation file's `drains` to a part of a router that follows. The keeper's is made in keeper.py."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..hosted.control_plane_watch import ControlPlaneWatch
from ..installation.form import Installation
from ..net.service import Service
from .files import NodeFile, Taken
from .router import RouterDrains


def drains_builder(
    installation: Installation,
) -> Callable[[Service, trio.Nursery, ControlPlaneWatch], RouterDrains]:
    """What adds drains to a router that follows a keeper, as a further part of the feed.

    This run is counted on its file now. Raises Taken.
    """
    entry, zone = installation.drains, installation.tier.zone
    files = NodeFile(entry.file)

    def build(service: Service, nursery: trio.Nursery, follower: ControlPlaneWatch) -> RouterDrains:
        part = RouterDrains(service, follower, files, nursery, zone, entry.build, entry.labels)
        follower.add_part(part)
        nursery.start_soon(part.run)
        return part

    return build


__all__ = ["Taken", "drains_builder"]
