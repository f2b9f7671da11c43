"""Timers of one router in one heap: timeouts of attempts, waits, deadlines, periodic tasks.

The queue also measures the lag of the event loop: how late it runs timers that are due.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from math import inf
from typing import Any

import trio
from loguru import logger

LAG_SAMPLE_INTERVAL = 0.05  # seconds between two samples of the lag, taken even if no timer is due
MIN_LATENESS = 0.02  # seconds; a loop that is less late counts as punctual
LAG_DECAY = 0.99  # factor per sample; a long lag is remembered for some seconds
MAX_LAG = 0.6  # seconds; a longer stall does not predict the next one
MIN_CANCELLED_TO_COMPACT = 64  # with fewer cancelled timers the heap is not worth compacting


class Clock:
    """Unix time, read once at the start and advanced by the monotonic clock.

    Times can be compared with those of other processes, such as a server's `boot_ms`; later steps of the
    system's clock have no effect.
    """

    def __init__(self) -> None:
        """Take the current time of the system's clock as the base."""
        self._base = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self._base + time.monotonic()


@dataclass(slots=True, eq=False)
class Timer:
    """One scheduled call."""

    action: Callable[..., Any] | None  # None once called or cancelled
    args: tuple[Any, ...]


class TimerQueue:
    """A heap of timers.

    A timer is removed when it is due. Cancelled timers are removed once they are more than half of the heap.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` gives the time in seconds."""
        self.clock = clock
        self.current_lag = 0.0  # seconds, at the last sample
        self.lag = 0.0  # seconds, the longest recent lag, decaying
        self._heap: list[tuple[float, int, Timer]] = []
        self._counter = 0  # keeps timers for the same time in the order of their creation
        self._cancelled = 0  # number of cancelled timers in the heap
        self._next_sample_at = inf  # a time of the clock
        self._earlier_timer = trio.Event()

    def __len__(self) -> int:
        """Count the timers in the heap, including cancelled ones."""
        return len(self._heap)

    def call_at(self, when: float, action: Callable[..., Any], *args: Any) -> Timer:
        """Call `action` at a time of the clock, at the earliest in the next iteration of `run`."""
        timer = Timer(action, args)
        self._counter += 1
        if not self._heap or when < self._heap[0][0]:
            self._earlier_timer.set()
        heappush(self._heap, (when, self._counter, timer))
        return timer

    @contextmanager
    def timeout_scope(self, wait: float) -> Iterator[trio.CancelScope]:
        """Open a scope that is cancelled after `wait` seconds."""
        with trio.CancelScope() as scope:
            timer = self.call_at(self.clock() + wait, scope.cancel) if wait < inf else None
            try:
                yield scope
            finally:
                if timer is not None:
                    self.cancel(timer)

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer, if it was not called yet.

        Most timeouts are cancelled before they are due. Left in the heap, they would outnumber the others.
        """
        if timer.action is None:
            return
        timer.action, timer.args = None, ()
        self._cancelled += 1
        if self._cancelled > MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].action is not None]
            heapify(self._heap)
            self._cancelled = 0

    def lateness(self, now: float) -> float:
        """Return by how many seconds the loop is late or was at the last sample, whichever is more."""
        return max(self.current_lag, now - self._next_sample_at)

    def punctual_at(self, now: float) -> float:
        """Return the last time at which the loop is known to have been punctual."""
        lateness = self.lateness(now)
        return now if lateness < MIN_LATENESS else now - lateness - LAG_SAMPLE_INTERVAL

    async def run(self) -> None:
        """Call timers as they fall due, until cancelled."""
        self._next_sample_at = self.clock() + LAG_SAMPLE_INTERVAL
        while True:
            self._earlier_timer = trio.Event()
            wake_at = min(self._heap[0][0], self._next_sample_at) if self._heap else self._next_sample_at
            with trio.move_on_after(max(wake_at - self.clock(), 0.0)):
                await self._earlier_timer.wait()
            now = self.clock()
            if now >= self._next_sample_at:
                self.current_lag = now - self._next_sample_at
                self.lag = max(min(self.current_lag, MAX_LAG), self.lag * LAG_DECAY)
                self._next_sample_at = now + LAG_SAMPLE_INTERVAL
            self._run_due(now)

    def _run_due(self, now: float) -> None:
        while self._heap and self._heap[0][0] <= now:
            timer = heappop(self._heap)[2]
            if timer.action is None:
                self._cancelled -= 1
                continue
            action, args = timer.action, timer.args
            timer.action, timer.args = None, ()
            try:
                action(*args)
            except Exception:  # a failing callback must not stop the other timers
                logger.exception("timer callback failed")
