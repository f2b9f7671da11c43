"""The installation file's `drains` to a part of a router that follows. The keeper's is made in keeper.py."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..hosted.follower import Follower
from ..installation.form import Installation
from ..net.service import Service
from .node_file import NodeFile, NodeFileLockedError
from .router import DrainsAgent


def drains_extension(told: Installation) -> Callable[[Service, trio.Nursery, Follower], DrainsAgent]:
    """What adds the part to a follower; this run is counted on its file now. Raises NodeFileLockedError."""
    entry = told.drains
    files = NodeFile(entry.file)

    def extend(service: Service, nursery: trio.Nursery, follower: Follower) -> DrainsAgent:
        part = DrainsAgent(service, follower, files, nursery, told.tier.zone, entry.build, entry.labels)
        follower.parts.append(part)
        nursery.start_soon(part.run)
        return part

    return extend


__all__ = ["NodeFileLockedError", "drains_extension"]
