"""The grid of short time buckets on which load is measured. No state."""

from __future__ import annotations

BUCKET_TIME = 0.03  # seconds
BUCKET_COUNT = 5  # the occupancy window is this many buckets
WINDOW_TIME = BUCKET_TIME * BUCKET_COUNT


def bucket_at(now: float) -> int:
    """Return the number of the bucket in which a moment lies, counted from the clock's zero."""
    return int(now / BUCKET_TIME)


def bucket_end(bucket: int) -> float:
    """Return the moment at which a bucket is over."""
    return (bucket + 1) * BUCKET_TIME
