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

PASS_TIME = 0.004  # seconds of one pass: what else waits for the loop waits no longer
MEMORY = 1.0  # seconds for which time spent on a tenant counts
OLDEST_EACH = 3  # of so many readings one is of the connection that stood longest of all
LONG = 0.5  # seconds; where the first of a line stood for longer, its newest is read first


class Standing(Protocol):
    """A connection with something to read."""

    tenant: int  # of its last operation; negative: none yet
    ready_since: float  # 0: nothing stands there


S = TypeVar("S", bound=Standing)


class Turns(Generic[S]):
    """Time spent on each tenant against its share; a figure a tenant, and an entry or two a connection that
    stands: they leave with its turn."""

    def __init__(self, shares: Sequence[float], now: float) -> None:
        places = len(shares) + 1  # the last one: of those of whom nothing is known
        self.spent = [0.0] * places
        self.weights: list[float] = []
        self.share(shares)
        self.standing = 0
        self._lines: list[deque[tuple[float, S]]] = [deque() for _ in range(places)]
        self._active: set[int] = set()  # lines with something in them
        self._by_age: deque[tuple[float, S]] = deque()
        self._at = now
        self._count = 0

    def share(self, shares: Sequence[float]) -> None:
        """The tenants' shares, at the start and when they change."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        self.weights = [max(share / mean, 0.01) for share in [*shares, mean]]

    def _place(self, tenant: int) -> int:
        return tenant if 0 <= tenant < len(self.spent) - 1 else len(self.spent) - 1

    def fade(self, now: float) -> None:
        """What was spent long ago counts less; once a pass."""
        keep = exp((self._at - now) / MEMORY)
        self._at = now
        self.spent = [spent * keep for spent in self.spent]

    def stand(self, connection: S, now: float) -> None:
        """Something came on a connection on which nothing stood."""
        connection.ready_since = now
        place = self._place(connection.tenant)
        self._lines[place].append((now, connection))
        self._active.add(place)
        self._by_age.append((now, connection))
        self.standing += 1

    def leave(self, connection: S) -> None:
        """A connection has ended, or is not to be read for now."""
        if connection.ready_since:
            connection.ready_since = 0.0
            self.standing -= 1

    def next(self, now: float) -> tuple[S, float, int] | None:
        """The connection whose turn it is, since when it stood, and whose turn that is; it stands no more."""
        self._count += 1
        if self._count % OLDEST_EACH == 0 and not self._is_long(self._by_age, now):
            found = self._pop(self._by_age)
            if found is not None:
                return found
        while self._active:
            place = min(self._active, key=self._turn)
            line = self._lines[place]
            found = self._pop(line, newest=self._is_long(line, now))
            if found is not None:
                return found
            self._active.discard(place)
        # Each that stands is in a line; what is left behind there has had its turn by age.
        self._by_age.clear()
        return None

    def _turn(self, place: int) -> tuple[float, int]:
        return self.spent[place] / self.weights[place], place

    @staticmethod
    def _is_long(line: deque[tuple[float, S]], now: float) -> bool:
        """Whether those in front stood for so long that an answer comes too late for most of them.

        In order, each would be read just when its client gives up: all of the work, and nobody served.
        """
        while line and line[0][1].ready_since != line[0][0]:
            line.popleft()
        return bool(line) and now - line[0][0] > LONG

    def _pop(self, line: deque[tuple[float, S]], newest: bool = False) -> tuple[S, float, int] | None:
        while line:
            found = self._take(*(line.pop() if newest else line.popleft()))
            if found is not None:
                return found
        return None

    def _take(self, since: float, connection: S) -> tuple[S, float, int] | None:
        if connection.ready_since != since:
            return None  # it had its turn in the other line, or has ended
        connection.ready_since = 0.0
        self.standing -= 1
        if len(self._by_age) > 2 * self.standing + 64:
            self._clean()
        return connection, since, self._place(connection.tenant)

    def _clean(self) -> None:
        """Those that had their turn in a line stay behind in the other one."""
        for line in (self._by_age, *self._lines):
            kept = [entry for entry in line if entry[1].ready_since == entry[0]]
            line.clear()
            line.extend(kept)

    def count(self, place: int, took: float) -> None:
        """Reading took so many seconds; `place` as told by `next`.

        Counted for the tenant that it turned out to be of, what came on new connections cost the turn of
        those that nothing is known of nothing: a crowd that opened ever more went before all others.
        """
        self.spent[place] += took
