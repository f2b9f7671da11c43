"""Statistics that forget: a decayed mean latency and a decayed rate of events.

Both decay by the time that passed, not by the count of events: a router may see one operation in two seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

from .time_buckets import BUCKET_TIME

MAX_LATENCY_MULTIPLIER = 5.0  # a latency counts as at most this many times the usual one
LATENCY_DECAY = 0.98  # kept each bucket: some seconds of attempts make a mean
# Each attempt leaves at least this: a sparse router sees an endpoint once in many seconds,
ATTEMPT_DECAY = 0.9
GROUP_ATTEMPT_DECAY = 0.95  # and the endpoints of one group somewhat more often.
# Kept each bucket, of labels and zones: by one second's uneven attempts, their key shares fluttered.
GROUP_LATENCY_DECAY = 0.997
PRIOR_ATTEMPTS = 2.0  # attempts at the group's mean that each mean is credited with: few attempts say little
RATE_WINDOW = 1.0  # seconds, for the rates of answered attempts


@dataclass(slots=True)
class DecayedLatency:
    """A decayed mean of latencies, each relative to the mean of its traffic type.

    It decays by time, but not faster than attempts come.
    """

    updated_at: float
    attempt_decay: float = ATTEMPT_DECAY
    decay: float = LATENCY_DECAY
    total: float = 0.0
    count: float = 0.0
    key_share: float = 1.0  # of a label: the share of their keys that its endpoints keep

    def add(self, latency: float, now: float) -> None:
        """Count an attempt's relative latency."""
        kept = max(self.decay ** ((now - self.updated_at) / BUCKET_TIME), self.attempt_decay)
        self.total = self.total * kept + min(latency, MAX_LATENCY_MULTIPLIER)
        self.count = self.count * kept + 1.0
        self.updated_at = now

    def with_prior(self, mean: float) -> float:
        """Return the mean together with a few attempts at another mean: few attempts say little."""
        return (self.total + PRIOR_ATTEMPTS * mean) / (self.count + PRIOR_ATTEMPTS)


def group_latency(now: float) -> DecayedLatency:
    """Return an empty mean latency for a label or a zone, which decays more slowly."""
    return DecayedLatency(now, GROUP_ATTEMPT_DECAY, GROUP_LATENCY_DECAY)


@dataclass(slots=True)
class EventRate:
    """Events a second, over about `RATE_WINDOW`."""

    updated_at: float
    value: float = 0.0

    def add(self, now: float) -> None:
        """Count an event."""
        self.value = self.value_at(now) + 1.0 / RATE_WINDOW
        self.updated_at = now

    def value_at(self, now: float) -> float:
        """Return the rate, decayed to this moment."""
        return self.value * exp((self.updated_at - now) / RATE_WINDOW)
