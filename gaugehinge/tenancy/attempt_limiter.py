"""Limits on checks of secrets: by source, by name and in total. Does no I/O; memory use is fixed.

Only failures count against a source and a name, so that a client which opens many connections is not locked
out. Every check counts against the total.
"""

from __future__ import annotations

from xxhash import xxh64_intdigest

COUNTER_COUNT = 4096  # shared by all sources and names, so that memory use does not grow with their number
FAILURE_BURST = 10.0  # failures allowed in a row
FAILURE_REFILL_RATE = 0.1  # failures a second allowed after the burst
CHECK_BURST = 100.0  # checks in a row allowed for all sources together: each occupies a thread
CHECK_REFILL_RATE = 20.0  # checks a second allowed after the burst


class _LeakyCounters:
    """Counters that decrease over time. Setting the clock back does not decrease them."""

    def __init__(self, size: int, leak_rate: float, now: float) -> None:
        self._leak_rate = leak_rate  # a second
        self._counts = [0.0] * size
        self._updated_at = [now] * size

    def value(self, index: int, now: float) -> float:
        """Return the count of a counter at the time `now` in seconds."""
        elapsed = max(now - self._updated_at[index], 0.0)
        self._counts[index] = max(self._counts[index] - self._leak_rate * elapsed, 0.0)
        self._updated_at[index] = max(now, self._updated_at[index])
        return self._counts[index]

    def add_one(self, index: int, now: float) -> None:
        """Count one event."""
        self._counts[index] = self.value(index, now) + 1.0


class AttemptLimiter:
    """Decides whether a secret may be checked."""

    def __init__(self, seed: int, now: float) -> None:
        """Start with no failures counted. The seed makes it unpredictable which names share a counter."""
        self.seed = seed
        self._failures = _LeakyCounters(COUNTER_COUNT, FAILURE_REFILL_RATE, now)
        self._checks = _LeakyCounters(1, CHECK_REFILL_RATE, now)

    def _counter_indexes(self, source: str, name: str) -> tuple[int, int]:
        return self._counter_index("source", source), self._counter_index("name", name)

    def _counter_index(self, category: str, value: str) -> int:
        return xxh64_intdigest(f"{category} {value}".encode(), self.seed) % COUNTER_COUNT

    def acquire(self, source: str, name: str, now: float) -> float:
        """Count a check and return 0.0 if it is allowed now, else return the seconds until it may be."""
        wait = self.failure_wait(source, name, now)
        if wait:
            return wait
        checks = self._checks.value(0, now)
        if checks + 1.0 > CHECK_BURST:
            return (checks + 1.0 - CHECK_BURST) / CHECK_REFILL_RATE
        self._checks.add_one(0, now)
        return 0.0

    def failure_wait(self, source: str, name: str, now: float) -> float:
        """Return the seconds for which earlier failures block a source or a name; 0.0: not blocked."""
        failures = max(self._failures.value(index, now) for index in self._counter_indexes(source, name))
        return max(failures + 1.0 - FAILURE_BURST, 0.0) / FAILURE_REFILL_RATE

    def record_failure(self, source: str, name: str, now: float) -> None:
        """Count a check that found a wrong secret."""
        for index in self._counter_indexes(source, name):
            self._failures.add_one(index, now)
