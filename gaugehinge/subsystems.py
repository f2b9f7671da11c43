"""The optional subsystems of an installed router, and the order in which their extensions are called.

This module alone defines that order for `gaugehinge serve`, for every combination of subsystems that an
installation file enables. It imports no subsystem, so that a disabled one costs nothing.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from .net.extensions import Extensions

if TYPE_CHECKING:
    from .cluster.slot_routing import SlotRouting
    from .drains.router import DrainsAgent
    from .hosted.control_plane_watch import ControlPlaneWatch
    from .placement.router import RouterPlacement
    from .recovery.driver import Recovery

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Subsystems:
    """The subsystems of one router; None stands for a disabled one."""

    slot_routing: SlotRouting | None = None
    watch: ControlPlaneWatch | None = None
    placement: RouterPlacement | None = None
    drains: DrainsAgent | None = None
    recovery: Recovery | None = None

    def extensions(self) -> Extensions:
        """Return the extensions of a router with these subsystems, each kind in the order of the calls.

        Endpoint list transformers: `list_gate` is first, so that nothing else sees a list that recovery holds
        back. `estimated_starts` is last: placement and the operators' drain orders use the start times that
        discovery stated, and only the routing decisions use those that recovery believes. The update that
        follows from a new drain order enters the chain behind `watch`, so only what comes after it sees it.
        """
        recovery = self.recovery
        return Extensions(
            request_interceptors=_present(recovery),
            routing_constraints=_present(self.slot_routing, self.placement),
            attempt_policies=_present(self.placement),
            redirect_observers=_present(self.slot_routing),
            reply_observers=_present(self.drains),
            endpoint_list_transformers=_present(
                recovery.list_gate if recovery is not None else None,
                self.placement,
                self.watch,
                recovery.estimated_starts if recovery is not None else None,
            ),
            gossip_listeners=_present(recovery),
            poll_policies=_present(recovery),
            connection_observers=_present(recovery),
            shutdown_hooks=_present(self.drains, recovery),
            connection_budget=self.drains,
            server_codec=self.slot_routing.codec if self.slot_routing is not None else None,
        )


def _present(*extensions: T | None) -> tuple[T, ...]:
    return tuple(extension for extension in extensions if extension is not None)
