"""Request IDs that are in flight or were until recently."""

from __future__ import annotations

import secrets
from collections.abc import Callable

from xxhash import xxh3_128_digest

RETENTION = 2.0  # seconds; an ID is remembered for at least this long after its reply, at most twice as long
# Seconds for which the ID of a write that may have run is remembered while there is room.
WRITE_RETENTION = 30.0
MAX_PLAIN_BYTES = 32  # a longer ID is remembered by its digest
DIGEST_MARK = b"\0"  # no request ID contains it
BYTES_PER_ID = 128  # memory of a remembered ID; one that is also in `written` counts twice
MEMORY_FRACTION = 0.04  # of the memory of a front
NEARLY_FULL_FRACTION = 0.8  # of the limit; the rest is left to clients without a queue of requests


class RecentRequestIds:
    """IDs that no new request may use at present.

    Two operations with one ID would be confused: a server's reply to one of them, or its effect, would be
    taken for that of the other. A second use may cross the reply to the first on the network, so an ID stays
    in use for a while after the reply.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty set. `clock` returns the time in seconds."""
        self._clock = clock
        self._seed = secrets.randbits(64)
        self.max_ids = 0  # 0: no limit
        self.open: set[bytes] = set()  # in flight
        # Recently answered or abandoned; moved to `closed_before` each RETENTION, and dropped at the next.
        self.closed: set[bytes] = set()
        self.closed_before: set[bytes] = set()
        # Writes that may have run, with the time until which they are remembered; pruned each RETENTION.
        self.written: dict[bytes, float] = {}
        self.next_rotation = 0.0

    def __contains__(self, request_id: bytes) -> bool:
        """Whether an ID is in use."""
        self._rotate(self._clock())
        token = self._token(request_id)
        return (
            token in self.open
            or token in self.closed
            or token in self.closed_before
            or self.written.get(token, 0.0) > self._clock()
        )

    def __len__(self) -> int:
        """Number of remembered IDs."""
        return len(self.open) + len(self.closed) + len(self.closed_before) + len(self.written)

    def set_memory(self, memory: int) -> None:
        """Set the limit from the memory of the front, in bytes."""
        self.max_ids = int(memory * MEMORY_FRACTION) // BYTES_PER_ID

    def is_full(self) -> bool:
        """Whether there is no room for a further ID. None is forgotten early: it could run a second time."""
        self._rotate(self._clock())  # while it is full, no ID is closed that would do so
        return 0 < self.max_ids <= len(self)

    def is_nearly_full(self) -> bool:
        """Whether the room that is left is for clients that send one request at a time."""
        return 0 < self.max_ids * NEARLY_FULL_FRACTION <= len(self)

    def add(self, request_id: bytes) -> bytes:
        """Record that a request with this ID is in flight; returns the short form of the ID."""
        token = self._token(request_id)
        self.open.add(token)
        return token

    def forget(self, request_id: bytes) -> None:
        """Record that the ID's request ended and was sent to no server: no reply to it can follow."""
        self.open.discard(self._token(request_id))

    def close(self, request_id: bytes) -> None:
        """Record that the ID's request was answered, or abandoned with no attempt in flight."""
        token = self._token(request_id)
        self.open.discard(token)
        self._rotate(self._clock())
        self.closed.add(token)

    def close_write(self, request_id: bytes, client_waits_until: float) -> None:
        """Close the ID of a write that may have run, and remember it for at least its client's wait.

        Its client may leave and send it again in that time, and it would run a second time.
        """
        self.close(request_id)
        until = client_waits_until
        if not self.max_ids or 2 * len(self) < self.max_ids:
            until = max(until, self._clock() + WRITE_RETENTION)
        self.written[self._token(request_id)] = until

    def _rotate(self, now: float) -> None:
        if now < self.next_rotation:
            return
        all_are_old = now >= self.next_rotation + RETENTION
        self.next_rotation = now + RETENTION
        self.closed_before, self.closed = set() if all_are_old else self.closed, set()
        self.written = {token: until for token, until in self.written.items() if until > now}

    def _token(self, request_id: bytes) -> bytes:
        """Return a short form of an ID. The seed makes it unpredictable which long ones share a digest."""
        if len(request_id) <= MAX_PLAIN_BYTES:
            return request_id
        return DIGEST_MARK + xxh3_128_digest(request_id, self._seed)
