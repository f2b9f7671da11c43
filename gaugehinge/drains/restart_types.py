"""Status of a rolling restart and of its nodes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MAX_RESTARTS = 256  # restarts kept in the store, including those that have ended


class StepStage(StrEnum):
    """Stage of one node in a rolling restart."""

    WAITING = "waiting"
    NOTIFIED = "told"  # a router told to shut down, or a server ordered to drain
    DRAINED = "empty"  # no router uses the server any more, so it may be restarted
    DOWN = "gone"  # the run that was notified is no longer reporting or listed
    WARMING_UP = "warming"  # the next run is up, but not for long enough yet
    DONE = "done"
    SKIPPED = "skipped"


UNAVAILABLE_STAGES = (StepStage.NOTIFIED, StepStage.DRAINED, StepStage.DOWN, StepStage.WARMING_UP)
FINAL_STAGES = (StepStage.DONE, StepStage.SKIPPED)


class RestartStatus(StrEnum):
    """Status of a rolling restart."""

    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"  # by an operator; notified nodes come back, but no further node is notified
    STOPPED = "stopped"  # likewise, but by the planner
    CANCELLED = "cancelled"
    DONE = "done"


FINAL_STATUSES = (RestartStatus.CANCELLED, RestartStatus.DONE)


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """What is currently known of a node.

    Load and capacity have the same unit for all nodes of a kind.
    """

    name: str
    run: str
    zone: str
    up: bool  # it is reporting or listed, and serving
    region: str = ""
    build: str = ""
    labels: frozenset[str] = frozenset()
    ready_for: float = 0.0  # seconds for which it has been ready
    draining: bool = False  # requested by discovery, an operator or the node itself
    drained: bool = False  # a server: no router has a connection or attempt there; a router: all is closed
    load: float = 0.0
    capacity: float = 0.0
    connections: int = 0  # to the origin, at most
    restart_token: str = ""  # token of the restart that last notified it
