"""Spreads the first calls of routers that start together. No I/O and no clock of its own.

Power returns to all routers at once: whatever each does first, hundreds do in the same second. Each router
therefore gets its own position in a time window, by its number in the tier.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

DISCOVERY_CALLS_PER_SECOND = 100.0  # limit for all routers together when they start at the same time
CONTROL_PLANE_CALLS_PER_SECOND = 100.0
STARTUP_MESSAGES_PER_SECOND = 64.0  # from one router to its peers until it has heard enough
# The same afterwards: reaches a sample of hundreds of routers, or all of a few several times.
STEADY_MESSAGES_PER_SECOND = 6.0
ROUND_INTERVAL = 0.25  # seconds between rounds of messages
GOLDEN_RATIO = 0.6180339887498949  # its multiples modulo 1 spread consecutive numbers evenly


@dataclass(slots=True, frozen=True)
class StartupDelays:
    """When a router makes its first calls, in seconds after its start."""

    discovery: float
    control_plane: float
    messages: float


def spread_window(routers: int, calls_per_second: float) -> float:
    """Seconds over which `routers` routers spread their first call."""
    return (routers - 1) / calls_per_second


def startup_delays(own_number: int, routers: int) -> StartupDelays:
    """The delays of one router.

    They are spread evenly by router number, so that routers that start at the same instant keep to the rates.
    """
    position = (own_number * GOLDEN_RATIO) % 1.0
    return StartupDelays(
        spread_window(routers, DISCOVERY_CALLS_PER_SECOND) * position,
        # Half a window apart, so that no router makes both calls at the same time.
        spread_window(routers, CONTROL_PLANE_CALLS_PER_SECOND) * ((position + 0.5) % 1.0),
        ROUND_INTERVAL * position,
    )


def max_calls_within(routers: int, calls_per_second: float, span: float, start_spread: float) -> int:
    """The most calls that can fall into any `span` seconds if all starts lie within `start_spread` seconds.

    Assumes the worst order of starts: every router whose delay lies within `span + start_spread` calls then.
    """
    window = spread_window(routers, calls_per_second)
    if window <= 0.0:
        return routers
    # 2: unevenness of the positions.
    return min(routers, ceil(routers * min(1.0, (span + start_spread) / window)) + 2)


def peers_in_round(own_number: int, routers: int, round_number: int, heard_enough: bool) -> list[int]:
    """Peers to message in this round, in turn from the own number on; fewer once enough was heard."""
    others = routers - 1
    if others <= 0:
        return []
    count = min(
        others,
        max(
            int(
                (STEADY_MESSAGES_PER_SECOND if heard_enough else STARTUP_MESSAGES_PER_SECOND) * ROUND_INTERVAL
            ),
            1,
        ),
    )
    return [(own_number + 1 + (round_number * count + offset) % others) % routers for offset in range(count)]


def steady_messages_per_second(routers: int) -> float:
    """Messages that a router sends to its peers per second once it has heard enough."""
    return len(peers_in_round(0, routers, 0, True)) / ROUND_INTERVAL
