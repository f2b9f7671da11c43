"""Rolling restarts as the store has them, and the changes that are due."""

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
    position: int = 0  # in the order of the restart
    stage: StepStage = StepStage.WAITING
    run: str = ""  # that was notified
    immediate: bool = False  # and told to end without waiting for what is in flight
    drain_ordered: bool = False  # the standing drain order is of this restart
    reason: str = ""


class RollingRestart(
    msgspec.Struct,
    frozen=True,
    rename={"reverting": "back", "reason": "why", "created_by": "who", "created_at": "at"},
):
    """A rolling restart. Its steps are records of their own."""

    ident: str
    number: int  # position in the queue
    order: RestartOrder
    status: RestartStatus = RestartStatus.QUEUED
    reverting: bool = False  # it takes back what it did
    reason: str = ""
    created_by: str = ""
    created_at: float = 0.0  # Unix time

    @property
    def token(self) -> str:
        """By what notified nodes know this restart; while reverting it is another one."""
        return f"{self.ident}.back" if self.reverting else self.ident


@dataclass(slots=True)
class RestartPlan:
    """What is to be written, all in one transaction."""

    steps: dict[str, list[RestartStep]] = field(default_factory=dict)  # by restart
    restarts: dict[str, RollingRestart] = field(default_factory=dict)
    servers_to_drain: list[str] = field(default_factory=list)
    servers_to_restore: list[str] = field(default_factory=list)
    log: list[str] = field(default_factory=list)  # lines for the log once this is written

    def __bool__(self) -> bool:
        """Whether any record changes."""
        return bool(self.steps or self.restarts)
