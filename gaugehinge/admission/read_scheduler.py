"""In which order connections with something to read are read, and how many in one pass. No I/O.

Reading takes CPU before anything is known of what is read. Tenants take turns by what reading them took
against their share, the longest-standing connection first within each; and now and then the one that stood
longest of all goes first, whoever it is of: its client waits. What is over in a pass stands until the next
one, and is not looked at again before its turn: sorted anew in each pass, a crowd of some hundred
connections took the loop more time than its operations did.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from math import exp
from typing import Generic, Protocol, TypeVar

MAX_PASS_TIME = 0.004  # seconds of one pass: what else waits for the loop waits no longer
USAGE_DECAY_TIME = 1.0  # seconds for which time spent on a tenant counts
OLDEST_FIRST_EVERY = 3  # of so many readings one is of the connection that stood longest of all
OVERLOAD_AGE = 0.5  # seconds; where the first of a line stood for longer, its newest is read first


class ReadyConnection(Protocol):
    """A connection with something to read."""

    tenant: int  # of its last operation; negative: none yet
    ready_since: float  # 0: nothing stands there


ConnectionT = TypeVar("ConnectionT", bound=ReadyConnection)


class ReadScheduler(Generic[ConnectionT]):
    """Time spent on each tenant against its share; a figure a tenant, and an entry or two a connection that
    stands: they leave with its turn."""

    def __init__(self, shares: Sequence[float], now: float) -> None:
        queue_count = len(shares) + 1  # the last one: of those of whom nothing is known
        self.time_spent = [0.0] * queue_count
        self.weights: list[float] = []
        self.set_shares(shares)
        self.ready_count = 0
        self._queues: list[deque[tuple[float, ConnectionT]]] = [deque() for _ in range(queue_count)]
        self._active_queues: set[int] = set()  # lines with something in them
        self._queue_by_age: deque[tuple[float, ConnectionT]] = deque()
        self._decayed_at = now
        self._picks = 0

    def set_shares(self, shares: Sequence[float]) -> None:
        """The tenants' shares, at the start and when they change."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        self.weights = [max(share / mean, 0.01) for share in [*shares, mean]]

    def _queue_index(self, tenant: int) -> int:
        return tenant if 0 <= tenant < len(self.time_spent) - 1 else len(self.time_spent) - 1

    def decay(self, now: float) -> None:
        """What was spent long ago counts less; once a pass."""
        factor = exp((self._decayed_at - now) / USAGE_DECAY_TIME)
        self._decayed_at = now
        self.time_spent = [spent * factor for spent in self.time_spent]

    def add_ready(self, connection: ConnectionT, now: float) -> None:
        """Something came on a connection on which nothing stood."""
        connection.ready_since = now
        index = self._queue_index(connection.tenant)
        self._queues[index].append((now, connection))
        self._active_queues.add(index)
        self._queue_by_age.append((now, connection))
        self.ready_count += 1

    def remove(self, connection: ConnectionT) -> None:
        """A connection has ended, or is not to be read for now."""
        if connection.ready_since:
            connection.ready_since = 0.0
            self.ready_count -= 1

    def next(self, now: float) -> tuple[ConnectionT, float, int] | None:
        """The connection whose turn it is, since when it stood, and whose turn that is; it stands no more."""
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
        # Each that stands is in a line; what is left behind there has had its turn by age.
        self._queue_by_age.clear()
        return None

    def _weighted_time(self, index: int) -> tuple[float, int]:
        return self.time_spent[index] / self.weights[index], index

    @staticmethod
    def _is_overdue(queue: deque[tuple[float, ConnectionT]], now: float) -> bool:
        """Whether those in front stood for so long that an answer comes too late for most of them.

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
            return None  # it had its turn in the other line, or has ended
        connection.ready_since = 0.0
        self.ready_count -= 1
        if len(self._queue_by_age) > 2 * self.ready_count + 64:
            self._compact()
        return connection, since, self._queue_index(connection.tenant)

    def _compact(self) -> None:
        """Those that had their turn in a line stay behind in the other one."""
        for queue in (self._queue_by_age, *self._queues):
            kept = [entry for entry in queue if entry[1].ready_since == entry[0]]
            queue.clear()
            queue.extend(kept)

    def add_time(self, index: int, seconds: float) -> None:
        """Reading took so many seconds; `place` as told by `next`.

        Counted for the tenant that it turned out to be of, what came on new connections cost the turn of
        those that nothing is known of nothing: a crowd that opened ever more went before all others.
        """
        self.time_spent[index] += seconds
