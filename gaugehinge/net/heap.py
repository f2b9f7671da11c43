"""Makes the C library's heap give back memory that is free."""

from __future__ import annotations

import ctypes

from .timer_queue import TimerQueue

M_MMAP_THRESHOLD = -3  # malloc.h: the parameter of `mallopt`
MMAP_THRESHOLD_BYTES = 128 * 1024  # the default of the GNU C library before it adapts
TRIM_INTERVAL = 0.1  # seconds


def return_long_allocations() -> None:
    """Make the C library return the memory of each long reply to the system as soon as it is freed.

    By default it raises the threshold to the size of the first long allocation that is freed. Later ones then
    come from a heap that fragments and stays as large as it once was. Does nothing where the C library has no
    `mallopt`.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


class HeapTrimmer:
    """Gives free pages between allocations back to the system periodically.

    Buffers that grow piece by piece leave gaps. Of its own accord the C library only gives back what is free
    at the end of the heap.
    """

    def __init__(self, timers: TimerQueue) -> None:
        """Create the trimmer. It does nothing where the C library has no `malloc_trim`."""
        self._timers = timers
        self._malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)

    def start(self) -> None:
        """Trim the heap each TRIM_INTERVAL from now on."""
        if self._malloc_trim is not None:
            self._timers.call_at(self._timers.clock() + TRIM_INTERVAL, self._trim)

    def _trim(self) -> None:
        assert self._malloc_trim is not None
        self._malloc_trim(0)
        self.start()
