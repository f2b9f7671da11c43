"""Limits what is admitted of each tenant per second while the loop cannot read all that arrives. No I/O.

Under a shortage of CPU, requests wait unread in the kernel: neither the queue nor the number of operations in
flight grows, and the loop's lag shows little if the core is time-sliced. What shows is that passes over the
connections end with some left unread. Then a single level for all tenants, in CPU seconds per second and unit
of weight, bounds what is admitted, and the rest is rejected by peeking. A tenant below the level is not
affected.

Rejecting takes time too, and no level reduces what arrives. So the level is not lowered until the backlog is
gone: it is held where rejecting gets its part of the loop's time and serving gets the rest. The first
implementation lowered it as long as the loop was full; at eight times the load that left nothing for serving.

Source of the method: max-min fair shares by a single level, as in I. Stoica, S. Shenker, H. Zhang,
"Core-Stateless Fair Queueing" (1998).
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, inf

SMOOTHING_TIME = 0.15  # seconds; of the backlog and of the fraction of time spent on rejecting
# Fraction of passes that leave connections unread above which the loop does not keep up.
BACKLOG_THRESHOLD = 0.5
# Fraction of the loop's time that rejecting needs while there is a backlog: with less, operations stay unread
# until they are lost.
MIN_REJECT_FRACTION = 0.12
SUFFICIENT_REJECT_FRACTION = 0.2
DECREASE_FACTOR = 0.88  # of the level
DECREASE_INTERVAL = 0.25  # seconds between two decreases, since a backlog takes time to drain after one
# Per sample, while there is a backlog and rejecting gets more than enough time.
BACKLOGGED_INCREASE_FACTOR = 1.015
INCREASE_FACTOR = 1.04  # per sample, without a backlog
INITIAL_LEVEL_FRACTION = 0.8  # first level, as a fraction of the highest usage by weight
USAGE_DECAY_TIME = 0.5  # seconds; of each tenant's usage
# Seconds without a tenant limited by the level, after which its cause is over and it is removed.
RELEASE_AFTER = 3.0
LIMITED_MARGIN = 1.1  # a tenant whose usage is below the level divided by this is not limited
MIN_LEVEL = 1e-4  # CPU seconds per second and unit of weight


class RateLevel:
    """The level and the usage of each tenant; two numbers per tenant."""

    def __init__(self, shares: Sequence[float], now: float) -> None:
        self.level = inf
        self.backlog_fraction = 0.0
        self.reject_fraction = 0.0
        # CPU seconds per second, smoothed; the last one is of no known tenant.
        self.usage = [0.0] * (len(shares) + 1)
        self.weights: list[float] = []
        self.set_shares(shares)
        self.log_messages: list[str] = []  # emptied by FairAdmissionControl
        self._recorded = [0.0] * (len(shares) + 1)
        self._sampled_at = now
        self._limited_at = now
        self._next_decrease_at = now

    def set_shares(self, shares: Sequence[float]) -> None:
        """Set the tenants' shares, at the start and after a change."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        self.weights = [max(share / mean, 0.01) for share in [*shares, mean]]

    def record(self, tenant: int, cost: float) -> None:
        """Count an admitted operation of a tenant; `cost` in CPU seconds."""
        self._recorded[tenant] += cost

    def sample(self, unfinished: float, rejecting: float, now: float) -> None:
        """Update the usage and the level.

        `unfinished` is the fraction of passes since the last sample that left connections unread, `rejecting`
        the fraction of the time that rejecting peeked reads took.
        """
        span = now - self._sampled_at
        if span <= 0.0:
            return
        self._sampled_at = now
        smoothing = 1.0 - exp(-span / SMOOTHING_TIME)
        self.backlog_fraction += smoothing * (unfinished - self.backlog_fraction)
        self.reject_fraction += smoothing * (rejecting - self.reject_fraction)
        decay = exp(-span / USAGE_DECAY_TIME)
        for tenant, recorded in enumerate(self._recorded):
            self.usage[tenant] = decay * self.usage[tenant] + (1.0 - decay) * recorded / span
            self._recorded[tenant] = 0.0
        highest_usage = max(usage / weight for usage, weight in zip(self.usage, self.weights, strict=True))
        backlogged = self.backlog_fraction > BACKLOG_THRESHOLD
        if self.level == inf:
            if backlogged and highest_usage > 0.0:
                self._next_decrease_at = now + DECREASE_INTERVAL
                self._set_level(INITIAL_LEVEL_FRACTION * highest_usage, now)
            return
        if highest_usage * LIMITED_MARGIN >= self.level:
            self._limited_at = now
        if backlogged and self.reject_fraction < MIN_REJECT_FRACTION:
            if now >= self._next_decrease_at:
                self._next_decrease_at = now + DECREASE_INTERVAL
                self.level = max(self.level * DECREASE_FACTOR, MIN_LEVEL)
        elif not backlogged:
            self.level *= INCREASE_FACTOR
        elif self.reject_fraction > SUFFICIENT_REJECT_FRACTION:
            self.level *= BACKLOGGED_INCREASE_FACTOR
        if now - self._limited_at > RELEASE_AFTER:
            self._set_level(inf, now)

    def _set_level(self, level: float, now: float) -> None:
        level_text = f"{level:.4f} CPU s/s per unit of weight" if level < inf else "none"
        self.log_messages.append(
            f"admission rate level {level_text}: {self.backlog_fraction:.2f} of read passes leave data unread"
        )
        self.level, self._limited_at = level, now

    def allowance(self, tenant: int) -> float:
        """CPU seconds per second that a tenant's operations may use; `inf` while nothing is limited."""
        return self.level * self.weights[tenant]
