"""All that falls due, in one heap: attempt time-outs, waits, deadlines, errands. Measures the loop's lag."""

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

LAG_SAMPLE_INTERVAL = 0.05  # how often the lag is looked at, even with nothing due
LAG_DECAY = 0.99  # a sample: a long lag is remembered for some seconds
MAX_LAG = 0.6  # a stall longer than this is no measure of the next one
MIN_CANCELLED_TO_COMPACT = 64  # a heap this small is not worth cleaning


class Clock:
    """Unix time set once at the start and monotonic from there: `boot_ms` compares, and no step is felt."""

    def __init__(self) -> None:
        self._base = time.time() - time.monotonic()

    def __call__(self) -> float:
        return self._base + time.monotonic()


@dataclass(slots=True, eq=False)
class Timer:
    """Something to do at a time."""

    action: Callable[..., Any] | None
    args: tuple[Any, ...]


class TimerQueue:
    """The heap; entries leave it when due, or when most of it is dropped ones."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.current_lag = 0.0  # how late the last sample was
        self.lag = 0.0  # the same, remembered
        self._heap: list[tuple[float, int, Timer]] = []
        self._counter = 0
        self._cancelled = 0
        self._earlier_timer = trio.Event()

    def __len__(self) -> int:
        return len(self._heap)

    def call_at(self, when: float, action: Callable[..., Any], *args: Any) -> Timer:
        timer = Timer(action, args)
        self._counter += 1
        if not self._heap or when < self._heap[0][0]:
            self._earlier_timer.set()
        heappush(self._heap, (when, self._counter, timer))
        return due

    @contextmanager
    def timeout_scope(self, wait: float) -> Iterator[trio.CancelScope]:
        """A scope that is cancelled after a wait."""
        with trio.CancelScope() as scope:
            timer = self.call_at(self.clock() + wait, scope.cancel) if wait < inf else None
            try:
                yield scope
            finally:
                if due is not None:
                    self.cancel(timer)

    def cancel(self, timer: Timer) -> None:
        """Not wanted any more. Most time-outs never fall due: left in, they would outnumber the others."""
        if timer.action is None:
            return
        timer.action, timer.args = None, ()
        self._cancelled += 1
        if self._cancelled > MIN_CANCELLED_TO_COMPACT and 2 * self._cancelled > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].action is not None]
            heapify(self._heap)
            self._cancelled = 0

    async def run(self) -> None:
        """Do what falls due, until cancelled."""
        sample = self.clock() + LAG_SAMPLE_INTERVAL
        while True:
            self._earlier_timer = trio.Event()
            until = min(self._heap[0][0], sample) if self._heap else sample
            with trio.move_on_after(max(until - self.clock(), 0.0)):
                await self._earlier_timer.wait()
            now = self.clock()
            if now >= sample:
                self.current_lag = now - sample
                self.lag = max(min(self.current_lag, MAX_LAG), self.lag * LAG_DECAY)
                sample = now + LAG_SAMPLE_INTERVAL
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
            except Exception:  # one thing that fails must not take the others' deadlines with it
                logger.exception("a deadline's action failed")
