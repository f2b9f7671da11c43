"""Places for connections: who yields at a full door, and how fast new ones are let in. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Protocol, TypeVar

NO_REQUEST_YET = -2  # in place of a tenant

ACCEPT_CPU_FRACTION = 0.12  # of the CPU that this process gets that accepting may take,
MIN_ACCEPT_CPU = 0.04  # but this part of a core at least: a quiet router must take a crowd as it comes
BURST_SECONDS = 2.0  # seconds' worth that may be accepted at once
CPU_DECAY = 0.9  # of the measure of that CPU, a sample


class SlotHolder(Protocol):
    """A connection, as far as it matters here."""

    tenant: int  # of its last operation
    source: str  # the address it came from
    idle_since: float


SlotHolderT = TypeVar("SlotHolderT", bound=SlotHolder)


def eviction_order(connections: Iterable[SlotHolderT]) -> list[SlotHolderT]:
    """Connections in the order in which they yield their places.

    First what never spoke, the longest silent one before the others. Then of the tenant that holds most
    places, and within it of the source that does: whoever opens ever more takes them from itself.
    """
    all_connections = list(connections)
    tenant_counts = Counter(connection.tenant for connection in all_connections)
    source_counts = Counter((connection.tenant, connection.source) for connection in all_connections)

    def rank(connection: SlotHolderT) -> tuple[int, int, int, float]:
        if connection.tenant == NO_REQUEST_YET:
            return 0, 0, 0, connection.idle_since
        return (
            1,
            -tenant_counts[connection.tenant],
            -source_counts[connection.tenant, connection.source],
            connection.idle_since,
        )

    return sorted(all_connections, key=rank)


class AcceptLimiter:
    """Whether one more connection may be accepted now: within a part of the CPU that there is.

    Paced by the loop's lag, down to some fifty a second, the door made its own storm: what was not accepted
    got no answer, and its clients came again on further connections, thousands a second.
    """

    def __init__(self, now: float) -> None:
        self.accept_cpu = MIN_ACCEPT_CPU  # seconds of CPU a second
        self._available_cpu = 0.0
        self._tokens = MIN_ACCEPT_CPU * BURST_SECONDS
        self._refilled_at = now

    def sample(self, cpu: float, span: float) -> None:
        """This process got so much CPU in a span of time."""
        if span > 0.0:
            self._available_cpu = CPU_DECAY * self._available_cpu + (1.0 - CPU_DECAY) * cpu / span
            self.accept_cpu = max(ACCEPT_CPU_FRACTION * self._available_cpu, MIN_ACCEPT_CPU)

    def may_accept(self, now: float) -> bool:
        """Whether one more may be accepted."""
        self._tokens = min(
            self._tokens + (now - self._refilled_at) * self.accept_cpu, self.accept_cpu * BURST_SECONDS
        )
        self._refilled_at = now
        return self._tokens > 0.0

    def charge(self, cpu: float) -> None:
        """What was accepted since took so many seconds of CPU."""
        self._tokens -= cpu
