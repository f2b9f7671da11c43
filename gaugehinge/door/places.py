"""Places for connections: who yields at a full door, and how fast new ones are let in. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Protocol, TypeVar

NEVER_SPOKE = -2  # in place of a tenant

LAG_AIM = 0.02  # of the loop; over it fewer connections are accepted
PACE_MOST = 5000.0  # accepted a second: more than a loop without other work takes
PACE_LEAST = 50.0
PACE_CUT = 0.7
PACE_RISE = 1.15
BURST = 0.05  # seconds' worth that may be accepted at once


class Holder(Protocol):
    """A connection, as far as it matters here."""

    tenant: int  # of its last operation
    source: str  # the address it came from
    quiet_since: float


H = TypeVar("H", bound=Holder)


def yielding(connections: Iterable[H]) -> list[H]:
    """Connections in the order in which they yield their places.

    First what never spoke, the longest silent one before the others. Then of the tenant that holds most
    places, and within it of the source that does: whoever opens ever more takes them from itself.
    """
    all_of_them = list(connections)
    tenants = Counter(each.tenant for each in all_of_them)
    sources = Counter((each.tenant, each.source) for each in all_of_them)

    def rank(each: H) -> tuple[int, int, int, float]:
        if each.tenant == NEVER_SPOKE:
            return 0, 0, 0, each.quiet_since
        return 1, -tenants[each.tenant], -sources[each.tenant, each.source], each.quiet_since

    return sorted(all_of_them, key=rank)


class Pace:
    """How many connections may be accepted now: each costs the loop what several operations do."""

    def __init__(self, now: float) -> None:
        self.rate = PACE_MOST
        self._tokens = PACE_MOST * BURST
        self._at = now

    def sample(self, lag: float) -> None:
        """Follow the loop's lag."""
        lower, higher = max(self.rate * PACE_CUT, PACE_LEAST), min(self.rate * PACE_RISE, PACE_MOST)
        self.rate = lower if lag > LAG_AIM else higher

    def accept(self, now: float) -> bool:
        """Whether one more may be accepted."""
        self._tokens = min(self._tokens + (now - self._at) * self.rate, max(self.rate * BURST, 1.0))
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
