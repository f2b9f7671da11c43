"""Quotas of one tenant: rate, number of shards, and changes per hour. No I/O, no clock of its own."""

from __future__ import annotations

import msgspec

from .admission import RATE_TOLERANCE, AdmissionError

SECONDS_PER_HOUR = 3600.0


class ChangeBudget(msgspec.Struct, frozen=True, array_like=True):
    """Number of changes that a tenant may still make: a token bucket that refills within an hour.

    Stored by itself, beside the tenant's record; encoded as an array.
    """

    remaining: float
    updated_at: float  # Unix seconds

    def take(self, per_hour: int, now: float) -> ChangeBudget:
        """Return the budget after one change at `now` (Unix seconds).

        Raises AdmissionError if no change is left.
        """
        refilled = max(now - self.updated_at, 0.0) * per_hour / SECONDS_PER_HOUR
        remaining = min(self.remaining + refilled, float(per_hour))
        if remaining < 1.0:
            wait = (1.0 - remaining) * SECONDS_PER_HOUR / per_hour
            detail = f"{per_hour} an hour; accepted again in {wait:.0f} s"
            raise AdmissionError(429, "too many changes", detail, "")
        return ChangeBudget(remaining - 1.0, max(now, self.updated_at))


def check_shard_count(existing: int, limit: int) -> None:
    """Raise AdmissionError if a tenant with `existing` shards may not create another one."""
    if existing >= limit:
        raise AdmissionError(409, "too many shards", f"{existing} stand; accepted: {limit} at most", "")


def allocate_rate(allowance: float, others: float, requested: float) -> float:
    """Return the part of its tenant's allowance that a shard gets. All rates are in operations per second.

    `others`: total rate of the tenant's other shards; `requested`: rate to allocate, 0 for all that remains.
    Raises AdmissionError if less than requested remains.
    """
    available = max(allowance - others, 0.0)
    if requested > available + RATE_TOLERANCE:
        detail = f"of {allowance:.1f} the other shards have {others:.1f}; accepted: up to {available:.1f}"
        raise AdmissionError(409, "beyond the tenant's allowance", detail, "allowance")
    return requested or available
