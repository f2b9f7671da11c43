"""Timers of one router in one heap: timeouts of attempts, waits, deadlines, periodic tasks.

The queue also measures the lag of the event loop: how late it gets to what is due.
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

LAG_SAMPLE_INTERVAL = 0.05  # seconds between two measures of the lag, also with nothing due
MIN_LATENESS = 0.02  # seconds; with less the loop counts as punctual
LAG_DECAY = 0.99  # for each sample: a long lag is remembered for some seconds
MAX_LAG = 0.6  # seconds; a longer stall is no measure of the next one
MIN_CANCELLED_TO_COMPACT = 64  # with fewer cancelled timers the heap is not worth compacting


class Clock:
    """Unix time, read once at the start and monotonic from there.

    Times can be compared with those of other processes, such as a server's `boot_ms`, and steps of the
    system's clock are not felt.
    """

    def __init__(self) -> None:
        """Start from the system's clock."""
        self._base = time.time() - time.monotonic()

    def __call__(self) -> float:
        """The time in seconds."""
        return self._base + time.monotonic()


@dataclass(slots=True, eq=False)
class Timer:
    """A call at some time."""

    action: Callable[..., Any] | None  # None: it was called or cancelled
    args: tuple[Any, ...]


class TimerQueue:
    """A heap of timers. A timer leaves it when due, or once half of the heap is cancelled ones."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` gives the time in seconds."""
        self.clock = clock
        self.current_lag = 0.0  # seconds, by the last sample
        self.lag = 0.0  # seconds, the longest of late, decaying
        self._heap: list[tuple[float, int, Timer]] = []
        self._counter = 0  # keeps timers of the same time in order
        self._cancelled = 0  # timers of the heap
        self._next_sample_at = inf  # by the clock
        self._earlier_timer = trio.Event()

    def __len__(self) -> int:
        """How many timers the heap holds, cancelled ones among them."""
        return len(self._heap)

    def call_at(self, when: float, action: Callable[..., Any], *args: Any) -> Timer:
        """Call `action` at a time by the clock, at the earliest in the next turn of `run`."""
        timer = Timer(action, args)
        self._counter += 1
        if not self._heap or when < self._heap[0][0]:
            self._earlier_timer.set()
        heappush(self._heap, (when, self._counter, timer))
        return timer

    @contextmanager
    def timeout_scope(self, wait: float) -> Iterator[trio.CancelScope]:
        """A scope that is cancelled after `wait` seconds."""
        with trio.CancelScope() as scope:
            timer = self.call_at(self.clock() + wait, scope.cancel) if wait < inf else None
            try:
                yield scope
            finally:
                if timer is not None:
                    self.cancel(timer)

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer, if it was not called yet.

        Most timeouts never fall due. Left in the heap, cancelled ones would outnumber the others.
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
        """Seconds by which the loop is late, or was at the last sample."""
        return max(self.current_lag, now - self._next_sample_at)

    def punctual_at(self, now: float) -> float:
        """The last time at which the loop is known to have been punctual."""
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
            except Exception:  # a callback that fails must not take the other timers with it
                logger.exception("a timer's callback failed")
