"""Who is asked for what, and when, by a router that has just started. No I/O, no clock of its own.

Power returns to all at once: what each router does first, hundreds do in the same second. Each has a place of
its own in a window, by its number in the tier.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil

DISCOVERY_EACH = 100.0  # calls a second that discovery is asked at most by routers that start at once
KEEPER_EACH = 100.0
TOLD_EACH = 64.0  # messages a second of one router to peers until it has heard enough
TOLD_LATER = 6.0  # and afterwards: of hundreds a sample, of a few routers all, several times
ROUND = 0.25  # seconds between two rounds of messages
GOLDEN = 0.6180339887498949  # of a unit: any run of numbers lies evenly in it


@dataclass(slots=True, frozen=True)
class Places:
    """When a router first asks, in seconds after its start."""

    discovery: float
    keeper: float
    messages: float


def window(routers: int, each: float) -> float:
    """Seconds over which so many routers spread their first call."""
    return (routers - 1) / each


def places(me: int, routers: int) -> Places:
    """The places of one router. By number they lie evenly: of routers that start in one instant no more come
    together than the rate says."""
    step = (me * GOLDEN) % 1.0
    return Places(
        window(routers, DISCOVERY_EACH) * step,
        window(routers, KEEPER_EACH) * ((step + 0.5) % 1.0),  # not both of one router in one instant
        ROUND * step,
    )


def most_at_once(routers: int, each: float, span: float, starting: float) -> int:
    """The most calls that can fall into any `span` seconds where all start within `starting` seconds, in the
    worst order of starts that there is: all those whose places lie within both together."""
    over = window(routers, each)
    if over <= 0.0:
        return routers
    return min(routers, ceil(routers * min(1.0, (span + starting) / over)) + 2)  # 2: how even the places lie


def round_of(me: int, routers: int, turn: int, enough: bool) -> list[int]:
    """Peers told in this round, one after the other from the own number on; fewer once enough was heard."""
    others = routers - 1
    if others <= 0:
        return []
    count = min(others, max(int((TOLD_LATER if enough else TOLD_EACH) * ROUND), 1))
    return [(me + 1 + (turn * count + place) % others) % routers for place in range(count)]


def told_each(routers: int) -> float:
    """Peers that a router tells a second once enough was heard."""
    return len(round_of(0, routers, 0, True)) / ROUND
