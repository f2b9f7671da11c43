"""Exponentially decayed statistics: a mean latency and a rate of events.

Both decay with the time that has passed, not with the count of events, since a router may see as little as
one operation in two seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from .time_buckets import BUCKET_TIME

MAX_LATENCY_MULTIPLIER = 5.0  # a relative latency is capped at this multiple of the usual latency
LATENCY_DECAY = 0.98  # fraction retained per time bucket, so that a mean covers some seconds of attempts
# Least fraction retained from one attempt to the next. A router with little traffic sees an endpoint only
# once in many seconds, and the endpoints of a group somewhat more often.
ATTEMPT_DECAY = 0.9
GROUP_ATTEMPT_DECAY = 0.95
# Fraction retained per time bucket for labels and zones. With a faster decay, the uneven attempts of one
# second made their key shares fluctuate.
GROUP_LATENCY_DECAY = 0.997
# A mean counts as if this many more attempts had had the mean latency of the group: few attempts say little.
PRIOR_ATTEMPTS = 2.0
RATE_WINDOW = 1.0  # seconds; for the rates of answered attempts


@dataclass(slots=True)
class DecayedLatency:
    """A decayed mean of latencies, each relative to the mean of its traffic type.

    It decays with time, but from one attempt to the next it retains at least the fraction `attempt_decay`.
    """

    updated_at: float
    attempt_decay: float = ATTEMPT_DECAY
    decay: float = LATENCY_DECAY  # fraction retained per time bucket
    total: float = 0.0  # decayed sum of relative latencies
    count: float = 0.0  # decayed number of attempts
    key_share: float = 1.0  # for a label: the share of their keys that its endpoints keep

    def add(self, latency: float, now: float) -> None:
        """Add the relative latency of an attempt."""
        kept = max(self.decay ** ((now - self.updated_at) / BUCKET_TIME), self.attempt_decay)
        self.total = self.total * kept + min(latency, MAX_LATENCY_MULTIPLIER)
        self.count = self.count * kept + 1.0
        self.updated_at = now

    def with_prior(self, mean: float) -> float:
        """Return the mean, drawn towards the prior `mean` while there are few attempts."""
        return (self.total + PRIOR_ATTEMPTS * mean) / (self.count + PRIOR_ATTEMPTS)


def group_latency(now: float) -> DecayedLatency:
    """Return an empty statistic for a label or a zone, which decays more slowly than that of an endpoint."""
    return DecayedLatency(now, GROUP_ATTEMPT_DECAY, GROUP_LATENCY_DECAY)


@dataclass(slots=True)
class EventRate:
    """A decayed rate in events per second, over about `RATE_WINDOW`."""

    updated_at: float
    value: float = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        self.value = self.value_at(now) + 1.0 / RATE_WINDOW
        self.updated_at = now

    def value_at(self, now: float) -> float:
        """Return the rate, decayed to the time `now`."""
        return self.value * exp((self.updated_at - now) / RATE_WINDOW)
