"""Places for connections: who yields at a full door, and how fast new ones are let in. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Protocol, TypeVar

NEVER_SPOKE = -2  # in place of a tenant

ACCEPT_PART = 0.12  # of the CPU that this process gets that accepting may take,
ACCEPT_LEAST = 0.04  # but this part of a core at least: a quiet router must take a crowd as it comes
BURST = 2.0  # seconds' worth that may be accepted at once
GETS_KEEP = 0.9  # of the measure of that CPU, a sample


class Holder(Protocol):
    """A connection, as far as it matters here."""

    tenant: int  # of its last operation
    source: str  # the address it came from
    idle_since: float


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
            return 0, 0, 0, each.idle_since
        return 1, -tenants[each.tenant], -sources[each.tenant, each.source], each.idle_since

    return sorted(all_of_them, key=rank)


class Pace:
    """Whether one more connection may be accepted now: within a part of the CPU that there is.

    Paced by the loop's lag, down to some fifty a second, the door made its own storm: what was not accepted
    got no answer, and its clients came again on further connections, thousands a second.
    """

    def __init__(self, now: float) -> None:
        self.part = ACCEPT_LEAST  # seconds of CPU a second
        self._gets = 0.0
        self._tokens = ACCEPT_LEAST * BURST
        self._at = now

    def sample(self, cpu: float, span: float) -> None:
        """This process got so much CPU in a span of time."""
        if span > 0.0:
            self._gets = GETS_KEEP * self._gets + (1.0 - GETS_KEEP) * cpu / span
            self.part = max(ACCEPT_PART * self._gets, ACCEPT_LEAST)

    def accept(self, now: float) -> bool:
        """Whether one more may be accepted."""
        self._tokens = min(self._tokens + (now - self._at) * self.part, self.part * BURST)
        self._at = now
        return self._tokens > 0.0

    def took(self, cpu: float) -> None:
        """What was accepted since took so many seconds of CPU."""
        self._tokens -= cpu
