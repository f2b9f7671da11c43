"""What clients may take up at one front: connections, operations in flight, and memory."""

from __future__ import annotations

RESERVED_MEMORY_FRACTION = 0.1  # that requests and replies may fill; buffers and connections take more
MEMORY_PER_OPERATION = 64 * 1024  # bytes of one in flight, with its tasks and its part of the buffers
SPARE_CONNECTIONS_DIVISOR = 4  # of the connection limit that is accepted beyond it, to reject requests from
MIN_SPARE_CONNECTIONS = 8


class ClientLimits:
    """The limits of one front, and the memory that its requests and replies have reserved.

    Sizes are in bytes. The limits change in service; what is reserved stays reserved then.
    """

    def __init__(self, max_in_flight: int, max_connections: int, memory: int) -> None:
        """`max_in_flight`: operations that the settings allow at once, whatever the memory."""
        self._configured_in_flight = max_in_flight
        self.reserved_bytes = 0
        self.update(max_connections, memory)

    def update(self, max_connections: int, memory: int) -> None:
        """Set the limits from the number of connections and the memory that this front may have."""
        self.max_connections = max_connections
        self.spare_connections = max(max_connections // SPARE_CONNECTIONS_DIVISOR, MIN_SPARE_CONNECTIONS)
        self.max_reserved_bytes = int(memory * RESERVED_MEMORY_FRACTION)
        self.max_in_flight = min(self._configured_in_flight, memory // MEMORY_PER_OPERATION)

    @property
    def max_accepted(self) -> int:
        """Connections that are accepted at most. Requests on those over `max_connections` are rejected."""
        return self.max_connections + self.spare_connections
