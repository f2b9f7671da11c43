"""Which connections are evicted at the connection limit, and how fast new ones are accepted. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Protocol, TypeVar

NO_REQUEST_YET = -2  # as the tenant of a connection

ACCEPT_CPU_FRACTION = 0.12  # fraction of the CPU this process gets that accepting may take
# In cores, the least that accepting may take: an idle router must accept many connections as they come.
MIN_ACCEPT_CPU = 0.04
BURST_SECONDS = 2.0  # seconds of that CPU time that may be used at once
CPU_DECAY = 0.9  # weight of the previous measurement of the available CPU in each sample


class SlotHolder(Protocol):
    """The parts of a connection that matter here."""

    tenant: int  # of its last operation
    source: str  # the client's address
    idle_since: float


SlotHolderT = TypeVar("SlotHolderT", bound=SlotHolder)


def eviction_order(connections: Iterable[SlotHolderT]) -> list[SlotHolderT]:
    """Connections in the order in which they are evicted.

    First those that have sent no request, the longest idle first. Then those of the tenant that holds most
    slots, and within it of the source that does: whoever keeps opening connections takes the slots from
    itself.
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
    """Limits accepting connections to a fraction of the available CPU.

    When it was limited by the loop's lag instead, down to some fifty connections a second, that caused a
    storm of its own: clients that were not accepted got no answer and came again on further connections,
    thousands a second.
    """

    def __init__(self, now: float) -> None:
        self.accept_cpu = MIN_ACCEPT_CPU  # CPU seconds per second
        self._available_cpu = 0.0
        self._tokens = MIN_ACCEPT_CPU * BURST_SECONDS
        self._refilled_at = now

    def sample(self, cpu: float, span: float) -> None:
        """Record the CPU seconds that this process got in `span` seconds."""
        if span > 0.0:
            self._available_cpu = CPU_DECAY * self._available_cpu + (1.0 - CPU_DECAY) * cpu / span
            self.accept_cpu = max(ACCEPT_CPU_FRACTION * self._available_cpu, MIN_ACCEPT_CPU)

    def may_accept(self, now: float) -> bool:
        """Whether one more connection may be accepted."""
        self._tokens = min(
            self._tokens + (now - self._refilled_at) * self.accept_cpu, self.accept_cpu * BURST_SECONDS
        )
        self._refilled_at = now
        return self._tokens > 0.0

    def charge(self, cpu: float) -> None:
        """Account for the CPU seconds that accepting took."""
        self._tokens -= cpu
