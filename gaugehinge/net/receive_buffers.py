"""Reserves memory for the replies that connections to servers are receiving. No I/O."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .buffer_budget import BufferBudget
from .codec import MalformedReply
from .connection import Connection

UNRESERVED_BYTES = 16 * 1024  # of a reply; up to this size it needs no reservation
MAX_READ_BYTES = 64 * 1024  # in one step of the event loop: decoding them takes up to 0.15 s
# A buffer that grows by pieces takes up to this much more than its content.
GROWTH_DIVISOR = 8


class ReceiveBuffers:
    """The reservations of all connections of a pool."""

    def __init__(self, budget: BufferBudget, clock: Callable[[], float]) -> None:
        """`clock` returns the time in seconds."""
        self.budget = budget
        self._clock = clock

    def read_limit(self, connection: Connection) -> int:
        """Return how many bytes may be read from a connection at once."""
        return MAX_READ_BYTES if connection.reserved_bytes else UNRESERVED_BYTES

    def reserve(self, connection: Connection, expected_bytes: int) -> bool:
        """Reserve the size of the reply being received; False if nothing more of it may be read now.

        Raises MalformedReply if the reply exceeds what the memory limit allows for a single one.
        """
        if expected_bytes <= max(UNRESERVED_BYTES, connection.expected_bytes):
            return True
        if expected_bytes > self.budget.largest_reservation:
            raise MalformedReply("reply exceeds the memory limit")
        connection.expected_bytes = expected_bytes
        size = expected_bytes + expected_bytes // GROWTH_DIVISOR - connection.reserved_bytes
        requested_at = self._clock()

        def grant() -> None:
            connection.memory_reservation = None
            connection.reserved_bytes += size
            if connection.pending is not None:
                connection.pending.memory_wait += self._clock() - requested_at
            connection.memory_granted.set()

        connection.memory_reservation = self.budget.reserve(size, grant)
        if connection.memory_reservation is None:
            connection.reserved_bytes += size
            return True
        connection.memory_granted = trio.Event()
        return False

    async def wait(self, connection: Connection) -> None:
        """Wait until more may be read from a connection, or it is closed."""
        if connection.memory_reservation is not None:
            await connection.memory_granted.wait()

    def detach(self, connection: Connection) -> int:
        """End a connection's reservation; returns the reserved bytes, which the caller has to release."""
        if connection.memory_reservation is not None:
            self.budget.withdraw(connection.memory_reservation)
            connection.memory_reservation = None
            connection.memory_granted.set()
        size, connection.reserved_bytes, connection.expected_bytes = connection.reserved_bytes, 0, 0
        return size

    def release(self, connection: Connection) -> None:
        """End a connection's reservation and release its bytes."""
        size = self.detach(connection)
        if size:
            self.budget.release(size)
