"""The phases of a router, from its start to its exit."""

from __future__ import annotations

from enum import Enum, auto

from loguru import logger


class Phase(Enum):
    """Phase of a router between its start and its exit."""

    STARTING = auto()  # no endpoint list yet: accepts connections, does not answer PING with PONG
    RECOVERING = auto()  # with gaugehinge.recovery: rejects clients with a time after which to retry
    READY = auto()
    LEAVING = auto()  # told to shut down; keeps serving, since clients use connections while they are open
    CLOSING = auto()  # still accepts requests, closes idle connections
    ENDED = auto()


class Lifecycle:
    """The current phase of a router."""

    def __init__(self) -> None:
        """Start in the phase STARTING."""
        self.phase = Phase.STARTING

    def enter(self, phase: Phase, in_flight: int) -> None:
        """Enter a phase and log it with the number of operations in flight."""
        self.phase = phase
        logger.info("{}: {} operations in flight", phase.name.lower(), in_flight)
