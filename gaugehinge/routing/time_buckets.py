"""The short, fixed time buckets in which load is measured. No state."""

from __future__ import annotations

BUCKET_TIME = 0.03  # seconds
BUCKET_COUNT = 5  # buckets in the window over which occupancy is measured
WINDOW_TIME = BUCKET_TIME * BUCKET_COUNT  # seconds


def bucket_at(now: float) -> int:
    """Return the number of the bucket that contains the time `now`, counted from the zero of the clock."""
    return int(now / BUCKET_TIME)


def bucket_end(bucket: int) -> float:
    """Return the time at which a bucket ends."""
    return (bucket + 1) * BUCKET_TIME
