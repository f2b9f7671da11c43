"""A relay between two named parties, whose state is changed while a play runs. TCP and UDP on loopback.

The interface that plays are written against; the relay is below it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """What a link does with what comes. Connections made in one state feel the next one, too."""

    UP = "up"
    REFUSED = "refused"  # new connections are refused, open ones are reset
    SILENT = "silent"  # nothing passes either way, nothing is closed; new connections come up and stay silent
    SILENT_THERE = "silent there"  # only what goes from one to other is held
    SILENT_BACK = "silent back"  # only what comes from other to one is held
    RESET = "reset"  # each connection is reset after `Fault.after` bytes from one to other
    SLOW = "slow"  # `Fault.rate` bytes a second, each way
    LATE = "late"  # each piece `Fault.delay` seconds later
    LOSSY = "lossy"  # datagrams: `Fault.part` of them lost, as many told twice, as many out of order


@dataclass(slots=True, frozen=True)
class Fault:
    """A state and its figures."""

    state: State = State.UP
    after: int = 0  # bytes
    rate: float = 0.0  # bytes a second
    delay: float = 0.0  # seconds
    part: float = 0.0  # 0 to 1
