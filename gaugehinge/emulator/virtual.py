"""Time as the decisions of the emulator see it, and a clock that is moved by hand."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol


class Schedule(Protocol):
    """What falls due. `net.timer_queue.TimerQueue` on sockets, `VirtualTime` without."""

    @property
    def clock(self) -> Callable[[], float]:
        """Now, in seconds."""

    def call_at(self, when: float, action: Callable[..., Any], *given: Any) -> Any:
        """Do something at a time, never before this returns."""


class VirtualTime:
    """A clock that stands until it is moved; what falls due is done in order of time, then of asking."""

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._heap: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._count = 0

    def clock(self) -> float:
        return self.now

    def call_at(self, when: float, action: Callable[..., Any], *given: Any) -> None:
        self._count += 1
        heappush(self._heap, (max(when, self.now), self._count, action, given))

    def run(self, until: float) -> None:
        """Do all that is due up to then."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, given = heappop(self._heap)
            action(*given)
        self.now = max(self.now, until)
