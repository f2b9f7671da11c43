"""Bounds the memory of incomplete requests, and of replies until they are written. No I/O.

A reply of more than a few kilobytes reserves its size before the rest of it is read. Where there is no room,
it waits for other replies to be released, and the kernel buffers what arrives meanwhile. As a reply reserves
all of its size at once, those that have begun can always be completed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from math import inf

# Of the memory that the program and its state take with no long reply in hand. In bytes.
RESIDENT_BYTES = 24 << 20
BUFFER_FRACTION = 0.5  # of the rest; copies made in one step and gaps of the heap need the other part
MIN_CAPACITY = 1 << 20  # bytes
# Longer replies may take only a part of the capacity, so that shorter ones do not wait for them. In bytes.
MAX_SHORT_REPLY_BYTES = 128 * 1024
LONG_REPLY_FRACTION = 0.8
# A reply that was received is copied once or twice in one step. The largest reply may take this share of the
# memory beside the resident part.
LARGEST_REPLY_DIVISOR = 8
# A connection may read ahead this share of the capacity while its earlier requests are in flight.
READ_AHEAD_DIVISOR = 8
MAX_READ_AHEAD_BYTES = 1 << 20


class Reservation:
    """A request for bytes that waits for room."""

    __slots__ = ("on_granted", "size")

    def __init__(self, size: int, on_granted: Callable[[], None]) -> None:
        """`size` is in bytes; `on_granted` is called, once, when they are reserved."""
        self.size = size
        self.on_granted = on_granted


class BufferBudget:
    """The bytes that replies may hold, those that they do hold, and the reservations that wait.

    Reservations are granted in order, long ones and short ones apart. Bytes that are already there, such as
    those of a short reply, are counted without a reservation, even beyond the capacity.
    """

    def __init__(self) -> None:
        """Create a budget without limits; `update` sets them."""
        self.capacity: float = inf
        self.largest_reservation: float = inf
        self.max_read_ahead = MAX_READ_AHEAD_BYTES  # bytes
        self.held_bytes = 0
        self._short: deque[Reservation] = deque()
        self._long: deque[Reservation] = deque()

    def update(self, memory: int) -> None:
        """Set the limits from the memory, in bytes, that the process may use."""
        available = max(memory - RESIDENT_BYTES, 0)
        self.capacity = max(available * BUFFER_FRACTION, MIN_CAPACITY)
        self.largest_reservation = min(
            max(available // LARGEST_REPLY_DIVISOR, MAX_SHORT_REPLY_BYTES),
            self.capacity * LONG_REPLY_FRACTION,
        )
        self.max_read_ahead = min(int(self.capacity) // READ_AHEAD_DIVISOR, MAX_READ_AHEAD_BYTES)
        self._grant()

    @property
    def is_exceeded(self) -> bool:
        """Whether the held bytes exceed the capacity."""
        return self.held_bytes > self.capacity

    @property
    def is_nearly_exceeded(self) -> bool:
        """Whether the held bytes exceed what long replies may take."""
        return self.held_bytes > self.capacity * LONG_REPLY_FRACTION

    @property
    def waiting_count(self) -> int:
        """Number of reservations that wait for room."""
        return len(self._short) + len(self._long)

    def hold(self, size: int) -> None:
        """Count bytes that are already there; with a negative size, some that are there no longer."""
        self.held_bytes += size
        if size < 0:
            self._grant()

    def release(self, size: int) -> None:
        """Release held or reserved bytes, and grant the reservations for which there is room now."""
        if size:
            self.hold(-size)

    def reserve(self, size: int, on_granted: Callable[[], None]) -> Reservation | None:
        """Reserve bytes: at once, which returns None, or when there is room, which calls `on_granted`."""
        queue = self._long if size > MAX_SHORT_REPLY_BYTES else self._short
        if not queue and self._has_room(size):
            self.held_bytes += size
            return None
        reservation = Reservation(size, on_granted)
        queue.append(reservation)
        return reservation

    def withdraw(self, reservation: Reservation) -> None:
        """Remove a reservation that waits."""
        queue = self._long if reservation in self._long else self._short
        queue.remove(reservation)
        self._grant()

    def _has_room(self, size: int) -> bool:
        is_long = size > MAX_SHORT_REPLY_BYTES
        limit = self.capacity * LONG_REPLY_FRACTION if is_long else self.capacity
        return self.held_bytes + size <= limit or self.held_bytes <= 0

    def _grant(self) -> None:
        for queue in (self._short, self._long):
            while queue and self._has_room(queue[0].size):
                reservation = queue.popleft()
                self.held_bytes += reservation.size
                reservation.on_granted()
