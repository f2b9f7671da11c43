"""Request IDs that are in flight or were a moment ago."""

from __future__ import annotations

from collections.abc import Callable

RETENTION = 2.0  # seconds after its reply that an ID is remembered at least, and twice that at most


class RecentRequestIds:
    """IDs that no other request may bear now.

    Two operations of one ID would be confused: what a server answers to the one, or has done for it, is taken
    for both. A second use may cross the reply to the first, so an ID stays in use for a while after that.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` tells the time in seconds."""
        self._clock = clock
        self.open: set[bytes] = set()  # in flight
        self.closed: set[bytes] = set()  # of late; moved on, then dropped, each RETENTION
        self.closed_before: set[bytes] = set()
        self.next_rotation = 0.0

    def __contains__(self, request_id: bytes) -> bool:
        """Whether an ID is in use."""
        return request_id in self.open or request_id in self.closed or request_id in self.closed_before

    def add(self, request_id: bytes) -> None:
        """A request of this ID is in flight from now on."""
        self.open.add(request_id)

    def close(self, request_id: bytes) -> None:
        """Its request is answered, or was given up with no attempt in flight."""
        self.open.discard(request_id)
        now = self._clock()
        if now >= self.next_rotation:
            self.next_rotation = now + RETENTION
            self.closed_before, self.closed = self.closed, set()
        self.closed.add(request_id)
