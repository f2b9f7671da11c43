"""The phases of a router, from its start to its exit, in one place."""

from __future__ import annotations

from enum import Enum, auto

from loguru import logger


class Phase(Enum):
    """Where a router is between its start and its exit."""

    STARTING = auto()  # no list yet: connections are taken, PING is not answered with PONG
    RECOVERING = auto()  # with gaugehinge.recovery: clients are rejected with a time to come back
    READY = auto()
    LEAVING = auto()  # ordered to end: it serves on, since clients use what is open for as long as it is
    CLOSING = auto()  # requests are still taken, idle connections are closed
    ENDED = auto()


class Lifecycle:
    """Holds the current phase."""

    def __init__(self) -> None:
        """Begin as STARTING."""
        self.phase = Phase.STARTING

    def enter(self, phase: Phase, in_flight: int) -> None:
        """Enter a phase and log it, with the number of operations in flight."""
        self.phase = phase
        logger.info("{}: {} operations in flight", phase.name.lower(), in_flight)
