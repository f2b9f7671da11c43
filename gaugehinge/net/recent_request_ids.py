"""Request IDs that are in flight or were until recently."""

from __future__ import annotations

from collections.abc import Callable

RETENTION = 2.0  # seconds; an ID is remembered for at least this long after its reply, at most twice as long


class RecentRequestIds:
    """IDs that no new request may use at present.

    Two operations with one ID would be confused: a server's reply to one of them, or its effect, would be
    taken for that of the other. A second use may cross the reply to the first on the network, so an ID stays
    in use for a while after the reply.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty set. `clock` returns the time in seconds."""
        self._clock = clock
        self.open: set[bytes] = set()  # in flight
        # Recently answered or abandoned; moved to `closed_before` each RETENTION, and dropped at the next.
        self.closed: set[bytes] = set()
        self.closed_before: set[bytes] = set()
        self.next_rotation = 0.0

    def __contains__(self, request_id: bytes) -> bool:
        """Whether an ID is in use."""
        return request_id in self.open or request_id in self.closed or request_id in self.closed_before

    def add(self, request_id: bytes) -> None:
        """Record that a request with this ID is in flight."""
        self.open.add(request_id)

    def close(self, request_id: bytes) -> None:
        """Record that the ID's request was answered, or abandoned with no attempt in flight."""
        self.open.discard(request_id)
        now = self._clock()
        if now >= self.next_rotation:
            self.next_rotation = now + RETENTION
            self.closed_before, self.closed = self.closed, set()
        self.closed.add(request_id)
