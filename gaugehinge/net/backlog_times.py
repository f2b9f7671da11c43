"""Estimates how long connections have waited in a listener's backlog, from its length. Does no I/O."""

from __future__ import annotations

from collections import deque
from math import inf
from typing import NamedTuple


class _Observation(NamedTuple):
    """The state of the backlog at one time."""

    time: float
    arrivals: int  # connections that had arrived by then, including the accepted ones


class BacklogTimes:
    """Records observations of one backlog. Connections leave it in the order of their arrival."""

    __slots__ = ("_absent_at", "_accepted", "_observations")

    def __init__(self) -> None:
        """Start for a listener that has accepted no connection yet."""
        self._observations: deque[_Observation] = deque()
        self._accepted = 0
        self._absent_at = -inf

    def observe(self, now: float, waiting: int) -> None:
        """Record that `waiting` connections are in the backlog at `now`, in seconds."""
        observation = _Observation(now, self._accepted + waiting)
        if self._observations and self._observations[-1].arrivals >= observation.arrivals:
            self._observations.pop()  # of two equal counts, the later is the more precise bound
        self._observations.append(observation)

    def on_accepted(self) -> float:
        """Record that the next connection was accepted.

        Returns the last time at which it is known not to have arrived yet, -inf if there is none.
        """
        while self._observations and self._observations[0].arrivals <= self._accepted:
            self._absent_at = self._observations.popleft().time
        self._accepted += 1
        return self._absent_at
