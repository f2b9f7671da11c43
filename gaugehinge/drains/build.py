"""Creates the router's side of drains from the installation file."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..hosted.control_plane_watch import ControlPlaneWatch
from ..installation.form import Installation
from ..net.service import Service
from .node_file import NodeFile, NodeFileLockedError
from .router import DrainsAgent


def drains_builder(
    installation: Installation,
) -> Callable[[Service, trio.Nursery, ControlPlaneWatch], DrainsAgent]:
    """Return a function that adds drains to a router that follows a control plane.

    This call already locks the state file and increments its run number. Raises NodeFileLockedError.
    """
    entry = installation.drains
    node_file = NodeFile(entry.file)

    def build(service: Service, nursery: trio.Nursery, follower: ControlPlaneWatch) -> DrainsAgent:
        agent = DrainsAgent(
            service, nursery, follower, node_file, installation.tier.zone, entry.build, entry.labels
        )
        follower.add_part(agent)
        nursery.start_soon(agent.run)
        return agent

    return build


__all__ = ["NodeFileLockedError", "drains_builder"]
