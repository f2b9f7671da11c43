"""A limit on the calls of each caller: a token bucket each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

CALLS_PER_SECOND = 50.0  # of one caller
BURST = 100.0  # calls in a row
MAX_CALLERS = 1024  # whose buckets are kept; the one that called longest ago goes first


@dataclass(slots=True, frozen=True)
class _Bucket:
    tokens: float
    updated_at: float  # seconds, by the limiter's clock


class CallerRateLimiter:
    """The buckets of all callers."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: the time in seconds."""
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}  # by caller, the one that called last at the end

    def acquire(self, caller: str) -> float:
        """Take a token: 0 if the caller had one, else the seconds until it has."""
        now = self._clock()
        bucket = self._buckets.pop(caller, _Bucket(BURST, now))
        tokens = min(bucket.tokens + CALLS_PER_SECOND * max(now - bucket.updated_at, 0.0), BURST)
        allowed = tokens >= 1.0
        self._buckets[caller] = _Bucket(tokens - allowed, now)
        while len(self._buckets) > MAX_CALLERS:
            del self._buckets[next(iter(self._buckets))]
        return 0.0 if allowed else (1.0 - tokens) / CALLS_PER_SECOND
