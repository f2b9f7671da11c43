"""Who is asked for what, and when, by a router that has just started. No I/O, no clock of its own.

Power returns to all at once: what each router does first, hundreds do in the same second. Each has a place of
its own in a window, by its number in the tier.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

DISCOVERY_CALLS_PER_SECOND = 100.0  # calls a second that discovery is asked at most by routers that start at once
CONTROL_PLANE_CALLS_PER_SECOND = 100.0
STARTUP_MESSAGES_PER_SECOND = 64.0  # messages a second of one router to peers until it has heard enough
STEADY_MESSAGES_PER_SECOND = 6.0  # and afterwards: of hundreds a sample, of a few routers all, several times
ROUND_INTERVAL = 0.25  # seconds between two rounds of messages
GOLDEN_RATIO = 0.6180339887498949  # of a unit: any run of numbers lies evenly in it


@dataclass(slots=True, frozen=True)
class StartupDelays:
    """When a router first asks, in seconds after its start."""

    discovery: float
    control_plane: float
    messages: float


def spread_window(routers: int, calls_per_second: float) -> float:
    """Seconds over which so many routers spread their first call."""
    return (routers - 1) / calls_per_second


def startup_delays(own_number: int, routers: int) -> StartupDelays:
    """The places of one router. By number they lie evenly: of routers that start in one instant no more come
    together than the rate says."""
    position = (own_number * GOLDEN_RATIO) % 1.0
    return StartupDelays(
        spread_window(routers, DISCOVERY_CALLS_PER_SECOND) * position,
        spread_window(routers, CONTROL_PLANE_CALLS_PER_SECOND) * ((position + 0.5) % 1.0),  # not both of one router in one instant
        ROUND_INTERVAL * position,
    )


def max_calls_within(routers: int, calls_per_second: float, span: float, start_spread: float) -> int:
    """The most calls that can fall into any `span` seconds where all start within `starting` seconds, in the
    worst order of starts that there is: all those whose places lie within both together."""
    window = spread_window(routers, calls_per_second)
    if window <= 0.0:
        return routers
    return min(routers, ceil(routers * min(1.0, (span + start_spread) / window)) + 2)  # 2: how even the places lie


def peers_in_round(own_number: int, routers: int, round_number: int, heard_enough: bool) -> list[int]:
    """Peers told in this round, one after the other from the own number on; fewer once enough was heard."""
    others = routers - 1
    if others <= 0:
        return []
    count = min(others, max(int((STEADY_MESSAGES_PER_SECOND if heard_enough else STARTUP_MESSAGES_PER_SECOND) * ROUND_INTERVAL), 1))
    return [(own_number + 1 + (round_number * count + offset) % others) % routers for offset in range(count)]


def steady_messages_per_second(routers: int) -> float:
    """Peers that a router tells a second once enough was heard."""
    return len(peers_in_round(0, routers, 0, True)) / ROUND_INTERVAL
