"""What one tenant may ask for: its rate, how many shards, and how often. No I/O, no clock of its own."""

from __future__ import annotations

from dataclasses import dataclass

from .admission import AdmissionError

RATE_TOLERANCE = 1e-9  # operations a second that a sum of rates may be off by rounding


@dataclass(slots=True, frozen=True)
class ChangeBudget:
    """Changes that a tenant may still make: a bucket that fills again over an hour."""

    remaining: float
    updated_at: float  # Unix seconds

    def take(self, most: int, now: float) -> ChangeBudget:
        """One change less. Raises AdmissionError where none is left."""
        left = min(self.remaining + max(now - self.updated_at, 0.0) * most / 3600.0, float(most))
        if left < 1.0:
            wait = (1.0 - left) * 3600.0 / most
            raise AdmissionError(
                429, "too many changes", f"{most} an hour; accepted again in {wait:.0f} s", ""
            )
        return ChangeBudget(left - 1.0, max(now, self.updated_at))


def check_shard_count(standing: int, most: int) -> None:
    """One more shard of a tenant. Raises AdmissionError."""
    if standing >= most:
        raise AdmissionError(409, "too many shards", f"{standing} stand; accepted: {most} at most", "")


def allocate_rate(allowance: float, others: float, requested: float) -> float:
    """The part of its tenant's allowance that a shard gets, in operations a second.

    `others`: what the tenant's other shards have; `requested`: 0 for all that they leave. Raises
    AdmissionError where less is left.
    """
    available = max(allowance - others, 0.0)
    if requested > available + RATE_TOLERANCE:
        detail = f"of {allowance:.1f} the other shards have {others:.1f}; accepted: up to {available:.1f}"
        raise AdmissionError(409, "beyond the tenant's allowance", detail, "allowance")
    return requested or available
