"""The router's side of the subsystem, by the installation file."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..hosted.follower import Follower
from ..installation.form import Installation
from ..net.service import Service
from .node_file import NodeFile, NodeFileLockedError
from .router import DrainsAgent


def drains_extension(settings: Installation) -> Callable[[Service, trio.Nursery, Follower], DrainsAgent]:
    """What adds the part to a router's follower; this run is counted on its state file now.

    Raises NodeFileLockedError.
    """
    entry = settings.drains
    node_file = NodeFile(entry.file)

    def extend(service: Service, nursery: trio.Nursery, follower: Follower) -> DrainsAgent:
        agent = DrainsAgent(
            service, nursery, follower, node_file, settings.tier.zone, entry.build, entry.labels
        )
        follower.parts.append(agent)
        nursery.start_soon(agent.run)
        return agent

    return extend


__all__ = ["NodeFileLockedError", "drains_extension"]
