"""States of a rolling restart and of its nodes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_RESTARTS = 256  # kept, those that ended included


class StepStage(StrEnum):
    """Where a node stands in a rolling restart."""

    WAITING = "waiting"
    NOTIFIED = "told"  # to shut down, or ordered to drain
    DRAINED = "empty"  # no router uses the server any more: it may be restarted
    DOWN = "gone"  # its run is not heard any more
    WARMING_UP = "warming"  # the next run is up
    DONE = "done"
    SKIPPED = "skipped"


UNAVAILABLE_STAGES = (StepStage.NOTIFIED, StepStage.DRAINED, StepStage.DOWN, StepStage.WARMING_UP)
FINAL_STAGES = (StepStage.DONE, StepStage.SKIPPED)


class RestartStatus(StrEnum):
    """How a rolling restart stands."""

    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"  # by an operator: nodes that are out come back, no further one is notified
    STOPPED = "stopped"  # the same, by the planner
    CANCELLED = "cancelled"
    DONE = "done"


FINAL_STATUSES = (RestartStatus.CANCELLED, RestartStatus.DONE)


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """A node as it is known now. Load and capacity are in one unit for all nodes of a kind."""

    name: str
    run: str
    zone: str
    up: bool  # heard, and serving
    region: str = ""
    build: str = ""
    labels: frozenset[str] = frozenset()
    ready_for: float = 0.0  # seconds
    draining: bool = False  # by discovery, an operator or the node itself
    drained: bool = False  # a server: no router has a connection or an attempt there
    load: float = 0.0
    capacity: float = 0.0
    connections: int = 0  # to the origin
    restart_token: str = ""  # of the restart that notified it last
