"""Records of rolling restarts as the store keeps them, and the changes to write."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from .restart_order import RestartOrder
from .restart_types import RestartStatus, StepStage


class RestartStep(
    msgspec.Struct,
    frozen=True,
    rename={"position": "place", "immediate": "hard", "drain_ordered": "ordered", "reason": "why"},
):
    """One node of a rolling restart."""

    node: str
    position: int = 0  # in the order in which nodes are restarted
    stage: StepStage = StepStage.WAITING
    run: str = ""  # the run that was notified
    immediate: bool = False  # it was told to shut down without waiting for operations in flight
    drain_ordered: bool = False  # the server's current drain order was made by this restart
    reason: str = ""


class RollingRestart(
    msgspec.Struct,
    frozen=True,
    rename={"reverting": "back", "reason": "why", "created_by": "who", "created_at": "at"},
):
    """A rolling restart. Its steps are stored as separate records."""

    ident: str
    number: int  # position in the queue
    order: RestartOrder
    status: RestartStatus = RestartStatus.QUEUED
    reverting: bool = False  # it is being rolled back
    reason: str = ""
    created_by: str = ""
    created_at: float = 0.0  # Unix time

    @property
    def token(self) -> str:
        """The identifier that notified nodes report back; a rollback has one of its own."""
        return f"{self.ident}.back" if self.reverting else self.ident


@dataclass(slots=True)
class RestartPlan:
    """The changes to write, all in one transaction."""

    steps: dict[str, list[RestartStep]] = field(default_factory=dict)  # by restart ID
    restarts: dict[str, RollingRestart] = field(default_factory=dict)
    servers_to_drain: list[str] = field(default_factory=list)
    servers_to_restore: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)  # lines to log once the changes are written

    def __bool__(self) -> bool:
        """Whether any record changes."""
        return bool(self.steps or self.restarts)
