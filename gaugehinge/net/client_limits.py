"""Limits on the connections, operations in flight and memory of the clients of one front."""

from __future__ import annotations

from .buffer_budget import BufferBudget
from .client_connection import PendingReply

# Share of the memory for the requests of operations in flight.
RESERVED_MEMORY_FRACTION = 0.1
RESERVED_BUDGET_FRACTION = 0.5  # of the budget for buffers at most: the replies to them need the rest
MEMORY_PER_OPERATION = 64 * 1024  # bytes of an operation in flight, with its tasks and share of the buffers
OPERATION_BYTES = 3 * 1024  # of an operation in flight, besides its request and the connection to its server
# The connection limit divided by this is accepted beyond the limit, so that requests there can be rejected.
SPARE_CONNECTIONS_DIVISOR = 4
MIN_SPARE_CONNECTIONS = 8


def connections_without_spare(count: int) -> int:
    """Return the limit on connections with which at most `count` are accepted, the spare ones included."""
    return max(
        min(
            count * SPARE_CONNECTIONS_DIVISOR // (SPARE_CONNECTIONS_DIVISOR + 1),
            count - MIN_SPARE_CONNECTIONS,
        ),
        1,
    )


class ClientLimits:
    """The limits of one front, and the memory that its requests and replies hold.

    Sizes are in bytes. The limits can change at run time; existing reservations are kept.
    """

    def __init__(
        self, max_in_flight: int, max_connections: int, memory: int, buffer_budget: BufferBudget
    ) -> None:
        """Set the limits.

        `max_in_flight`: the most operations in flight that the settings allow, whatever the memory.
        `buffer_budget` is shared by all fronts and the connections to servers.
        """
        self.buffer_budget = buffer_budget
        self._configured_in_flight = max_in_flight
        self.reserved_bytes = 0
        self.update(max_connections, memory)

    def update(self, max_connections: int, memory: int) -> None:
        """Set the limits from the connections and the memory (bytes) available to this front."""
        self.max_connections = max_connections
        self.spare_connections = max(max_connections // SPARE_CONNECTIONS_DIVISOR, MIN_SPARE_CONNECTIONS)
        max_in_budget = self.buffer_budget.capacity * RESERVED_BUDGET_FRACTION
        self.max_reserved_bytes = int(min(memory * RESERVED_MEMORY_FRACTION, max_in_budget))
        self.max_in_flight = min(self._configured_in_flight, memory // MEMORY_PER_OPERATION)

    @property
    def max_accepted(self) -> int:
        """Maximum number of accepted connections. Requests on those over `max_connections` are rejected."""
        return self.max_connections + self.spare_connections

    def has_room_for_request(self, size: int) -> bool:
        """Whether a request of `size` bytes may be accepted, beside the requests and replies in hand."""
        has_room = self.reserved_bytes + size <= self.max_reserved_bytes
        return has_room and not self.buffer_budget.is_exceeded

    def reserve_request(self, size: int) -> PendingReply:
        """Count an accepted request of `size` bytes; returns its place in the order of replies."""
        self.reserved_bytes += size
        self.buffer_budget.hold(size)
        return PendingReply(request_bytes=size)

    def set_reply(self, pending_reply: PendingReply, data: bytes) -> None:
        """Set the reply to a request, and count it in place of the request."""
        self.release(pending_reply)
        pending_reply.data = data
        pending_reply.reply_bytes = len(data)
        self.buffer_budget.hold(len(data))

    def count_reply(self, pending_reply: PendingReply, size: int) -> None:
        """Count `size` more bytes of a reply that waits to be written."""
        pending_reply.reply_bytes += size
        self.buffer_budget.hold(size)

    def release(self, pending_reply: PendingReply) -> None:
        """Release what a request or its reply holds, when the reply is written or the client has left.

        The reply itself is dropped: tasks and callbacks may refer to `pending_reply` until the garbage
        collector runs, which is rare.
        """
        pending_reply.data = b""  # not None: it stays answered
        self.reserved_bytes -= pending_reply.request_bytes
        self.buffer_budget.release(pending_reply.request_bytes + pending_reply.reply_bytes)
        pending_reply.request_bytes = pending_reply.reply_bytes = 0
