"""Limits on the connections, operations in flight and memory of the clients of one front."""

from __future__ import annotations

# Share of the memory for requests and replies; buffers and connections need more than these.
RESERVED_MEMORY_FRACTION = 0.1
MEMORY_PER_OPERATION = 64 * 1024  # bytes of an operation in flight, with its tasks and share of the buffers
# The connection limit divided by this is accepted beyond the limit, so that requests there can be rejected.
SPARE_CONNECTIONS_DIVISOR = 4
MIN_SPARE_CONNECTIONS = 8


class ClientLimits:
    """The limits of one front, and the memory reserved by its requests and replies.

    Sizes are in bytes. The limits can change at run time; existing reservations are kept.
    """

    def __init__(self, max_in_flight: int, max_connections: int, memory: int) -> None:
        """Set the limits.

        `max_in_flight`: the most operations in flight that the settings allow, whatever the memory.
        """
        self._configured_in_flight = max_in_flight
        self.reserved_bytes = 0
        self.update(max_connections, memory)

    def update(self, max_connections: int, memory: int) -> None:
        """Set the limits from the connections and the memory (bytes) available to this front."""
        self.max_connections = max_connections
        self.spare_connections = max(max_connections // SPARE_CONNECTIONS_DIVISOR, MIN_SPARE_CONNECTIONS)
        self.max_reserved_bytes = int(memory * RESERVED_MEMORY_FRACTION)
        self.max_in_flight = min(self._configured_in_flight, memory // MEMORY_PER_OPERATION)

    @property
    def max_accepted(self) -> int:
        """Maximum number of accepted connections. Requests on those over `max_connections` are rejected."""
        return self.max_connections + self.spare_connections
