"""Since when the connections in a listener's backlog wait, as far as the system tells. No I/O."""

from __future__ import annotations

from collections import deque
from math import inf
from typing import NamedTuple


class _Observation(NamedTuple):
    """What was seen of the backlog at one moment."""

    time: float
    arrivals: int  # connections that had come by then, accepted ones among them


class BacklogTimes:
    """Looks at one backlog. Connections leave it in the order in which they came."""

    __slots__ = ("_absent_at", "_accepted", "_observations")

    def __init__(self) -> None:
        """Of a listener that has accepted nothing."""
        self._observations: deque[_Observation] = deque()
        self._accepted = 0
        self._absent_at = -inf

    def observe(self, now: float, waiting: int) -> None:
        """Note that so many connections wait now."""
        observation = _Observation(now, self._accepted + waiting)
        if self._observations and self._observations[-1].arrivals >= observation.arrivals:
            self._observations.pop()  # the later of two equal ones tells more
        self._observations.append(observation)

    def on_accepted(self) -> float:
        """Note that the next connection left; the last time at which it had not come yet, -inf: not known."""
        while self._observations and self._observations[0].arrivals <= self._accepted:
            self._absent_at = self._observations.popleft().time
        self._accepted += 1
        return self._absent_at
