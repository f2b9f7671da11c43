"""The subsystems of an installed router, and the order in which their extensions act.

This is the one place where that order is written down for `gaugehinge serve`, in whatever combination the
installation file switches them on. It imports no subsystem; what is switched off costs nothing.
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
    """What is switched on; None: it is not."""

    slot_routing: SlotRouting | None = None
    watch: ControlPlaneWatch | None = None
    placement: RouterPlacement | None = None
    drains: DrainsAgent | None = None
    recovery: Recovery | None = None

    def extensions(self) -> Extensions:
        """The extensions of a router with these subsystems, each kind in the order in which they act.

        Endpoint lists: nobody sees one that recovery still holds back; placement and the operators' orders
        go by the starts that discovery told; the decisions alone go by the starts that recovery believes. An
        order of operators begins behind `watch`, and reaches what comes after that.
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
                recovery.believed_starts if recovery is not None else None,
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
