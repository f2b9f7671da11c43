"""What each tenant is let in a second while the loop cannot read all that comes. No I/O.

Short of CPU, what waits is what stands unread in the kernel: neither the queue nor the operations in hand
grow, and the loop's lag shows little where a core is shared out in slices. What shows is that passes over
the connections end with some left. Then one level for all tenants, in seconds of CPU a second by weight,
bounds what is let in, and the rest is turned away at the first look. A tenant under the level is not touched.

Turning away takes time too, and no level makes less of it come. So the level is not lowered until the
backlog is gone: it is held where turning away gets its part of the loop's time and serving the rest. A first
build lowered it while the loop was full; at eight times the load that left nothing for serving.

Source of the form: max-min fair shares by one level, as in I. Stoica, S. Shenker, H. Zhang, "Core-Stateless
Fair Queueing" (1998).
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, inf

SMOOTHING_TIME = 0.15  # seconds, for the parts of the loop's time
BACKLOG_THRESHOLD = 0.5  # part of the passes that end with something left: over it the loop does not keep up
MIN_REJECT_FRACTION = (
    0.12  # of its time that turning away gets then: with less, operations stand unread until lost
)
SUFFICIENT_REJECT_FRACTION = 0.2
DECREASE_FACTOR = 0.88  # of the level,
DECREASE_INTERVAL = 0.25  # and so long until the next one: a backlog takes its time to go once less is let in
BACKLOGGED_INCREASE_FACTOR = 1.015  # while there is a backlog, and turning away has its part,
INCREASE_FACTOR = 1.04  # and without one
INITIAL_LEVEL_FRACTION = 0.8  # of what the tenant that uses most does, at first
USAGE_DECAY_TIME = 0.5  # seconds, for what each tenant uses
RELEASE_AFTER = 3.0  # seconds in which the level touched nobody: what made it necessary is over
LIMITED_MARGIN = 1.1  # a tenant that uses less than the level over this is not touched
MIN_LEVEL = 1e-4  # seconds of CPU a second by weight: the level's floor


class RateLevel:
    """The level, and what each tenant uses; two figures a tenant."""

    def __init__(self, shares: Sequence[float], now: float) -> None:
        self.level = inf
        self.backlog_fraction = 0.0
        self.reject_fraction = 0.0
        self.usage = [0.0] * (len(shares) + 1)  # CPU a second, smoothed; the last one: of no known tenant
        self.weights: list[float] = []
        self.set_shares(shares)
        self.log_messages: list[str] = []  # emptied by the door
        self._recorded = [0.0] * (len(shares) + 1)
        self._sampled_at = now
        self._limited_at = now
        self._next_decrease_at = now

    def set_shares(self, shares: Sequence[float]) -> None:
        """The tenants' shares, at the start and when they change."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        self.weights = [max(share / mean, 0.01) for share in [*shares, mean]]

    def record(self, tenant: int, cost: float) -> None:
        """An operation of a tenant was let in; `cost` in seconds of CPU."""
        self._recorded[tenant] += cost

    def sample(self, unfinished: float, rejecting: float, now: float) -> None:
        """A look. `left`: part of the passes since the last one that left something; `refusing`: part of the
        time that turning away at the first look took."""
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
        level_text = f"{level:.4f} s of CPU a second by weight" if level < inf else "none"
        self.log_messages.append(
            f"door level {level_text}: {self.backlog_fraction:.2f} of the passes leave something"
        )
        self.level, self._limited_at = level, now

    def allowance(self, tenant: int) -> float:
        """Seconds of CPU a second that a tenant's operations may use; `inf` while all is let in."""
        return self.level * self.weights[tenant]
