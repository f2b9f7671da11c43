"""The phases of a router, from its start to its exit, as states of one object."""

from __future__ import annotations

from enum import Enum, auto

from loguru import logger


class Phase(Enum):
    """Where a router is in its life."""

    STARTING = auto()  # no list yet: connections are taken, PING is not answered with PONG
    RECOVERING = auto()  # of gaugehinge.recovery: clients are answered, and told when to come back
    READY = auto()
    LEAVING = auto()  # told to end: served on, since clients have what is open for as long as it is
    CLOSING = auto()  # what comes is still taken, what is idle is closed
    ENDED = auto()


class Lifecycle:
    """The one place where the phase stands."""

    def __init__(self) -> None:
        self.phase = Phase.STARTING

    def enter(self, phase: Phase, in_hand: int) -> None:
        self.phase = phase
        logger.info("{}: {} operations in hand", phase.name.lower(), in_hand)
