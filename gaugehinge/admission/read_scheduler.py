"""The order in which ready connections are read, and how many are read in one pass. No I/O.

Reading takes CPU before anything is known about the data. Tenants take turns by the time spent on reading
them relative to their share, and within a tenant the connection that has been ready longest is read first.
Now and then the connection that has been ready longest of all is read, whatever its tenant, because its
client is waiting. Connections left over in a pass stay queued for the next one and are not examined before
their turn: when they were sorted anew in each pass, some hundred connections took more of the loop's time
than their operations did.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import exp
from typing import Generic, Protocol, TypeVar

MAX_PASS_TIME = 0.004  # seconds of one pass; bounds how long other tasks wait for the loop
USAGE_DECAY_TIME = 1.0  # seconds; decay time of the time spent on a tenant
OLDEST_FIRST_EVERY = 3  # one in so many reads is of the connection that has been ready longest of all
# Seconds; if the first connection of a queue has been ready for longer, its newest is read first.
OVERLOAD_AGE = 0.5


class ReadyConnection(Protocol):
    """A connection with data to read."""

    tenant: int  # of its last operation; negative: none yet
    ready_since: float  # 0: not ready


ConnectionT = TypeVar("ConnectionT", bound=ReadyConnection)


class ReadScheduler(Generic[ConnectionT]):
    """The time spent on each tenant relative to its share, and the queues of ready connections.

    Memory is one number per tenant and one or two entries per ready connection, which go when it is read.
    """

    def __init__(self, shares: Sequence[float], now: float) -> None:
        queue_count = len(shares) + 1  # the last one is for connections of no known tenant
        self.time_spent = [0.0] * queue_count
        self.weights: list[float] = []
        self.set_shares(shares)
        self.ready_count = 0
        self._queues: list[deque[tuple[float, ConnectionT]]] = [deque() for _ in range(queue_count)]
        self._active_queues: set[int] = set()  # non-empty ones
        self._queue_by_age: deque[tuple[float, ConnectionT]] = deque()
        self._decayed_at = now
        self._picks = 0

    def set_shares(self, shares: Sequence[float]) -> None:
        """Set the tenants' shares, at the start and after a change."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        self.weights = [max(share / mean, 0.01) for share in [*shares, mean]]

    def _queue_index(self, tenant: int) -> int:
        return tenant if 0 <= tenant < len(self.time_spent) - 1 else len(self.time_spent) - 1

    def decay(self, now: float) -> None:
        """Decay the time spent on each tenant; called once per pass."""
        factor = exp((self._decayed_at - now) / USAGE_DECAY_TIME)
        self._decayed_at = now
        self.time_spent = [spent * factor for spent in self.time_spent]

    def add_ready(self, connection: ConnectionT, now: float) -> None:
        """Queue a connection that has become ready."""
        connection.ready_since = now
        index = self._queue_index(connection.tenant)
        self._queues[index].append((now, connection))
        self._active_queues.add(index)
        self._queue_by_age.append((now, connection))
        self.ready_count += 1

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection that has closed or is not to be read for now."""
        if connection.ready_since:
            connection.ready_since = 0.0
            self.ready_count -= 1

    def next(self, now: float) -> tuple[ConnectionT, float, int] | None:
        """The next connection to read, the time it became ready and the queue to charge.

        It is no longer ready afterwards.
        """
        self._picks += 1
        if self._picks % OLDEST_FIRST_EVERY == 0 and not self._is_overdue(self._queue_by_age, now):
            picked = self._pop(self._queue_by_age)
            if picked is not None:
                return picked
        while self._active_queues:
            index = min(self._active_queues, key=self._weighted_time)
            queue = self._queues[index]
            picked = self._pop(queue, newest=self._is_overdue(queue, now))
            if picked is not None:
                return picked
            self._active_queues.discard(index)
        # Every ready connection is in the queue of a tenant, so the entries left here have been read already.
        self._queue_by_age.clear()
        return None

    def _weighted_time(self, index: int) -> tuple[float, int]:
        return self.time_spent[index] / self.weights[index], index

    @staticmethod
    def _is_overdue(queue: deque[tuple[float, ConnectionT]], now: float) -> bool:
        """Whether the first ones have been ready for so long that an answer comes too late for most.

        In order, each would be read just when its client gives up: all of the work, and nobody served.
        """
        while queue and queue[0][1].ready_since != queue[0][0]:
            queue.popleft()
        return bool(queue) and now - queue[0][0] > OVERLOAD_AGE

    def _pop(
        self, queue: deque[tuple[float, ConnectionT]], newest: bool = False
    ) -> tuple[ConnectionT, float, int] | None:
        while queue:
            picked = self._claim(*(queue.pop() if newest else queue.popleft()))
            if picked is not None:
                return picked
        return None

    def _claim(self, since: float, connection: ConnectionT) -> tuple[ConnectionT, float, int] | None:
        if connection.ready_since != since:
            return None  # already picked from the other queue, or closed
        connection.ready_since = 0.0
        self.ready_count -= 1
        if len(self._queue_by_age) > 2 * self.ready_count + 64:
            self._compact()
        return connection, since, self._queue_index(connection.tenant)

    def _compact(self) -> None:
        """Drop stale entries: a connection picked from one queue remains in the other."""
        for queue in (self._queue_by_age, *self._queues):
            kept = [entry for entry in queue if entry[1].ready_since == entry[0]]
            queue.clear()
            queue.extend(kept)

    def add_time(self, index: int, seconds: float) -> None:
        """Charge seconds spent on reading to the queue that `next` returned as `index`.

        If they were charged to the tenant that the request turned out to belong to, reads on new connections
        would cost the queue of unknown tenants nothing: a client that kept opening connections went ahead of
        all others.
        """
        self.time_spent[index] += seconds
