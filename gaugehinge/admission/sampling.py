"""Which fraction of a tenant's reads is parsed in full while the tenant exceeds its share. No I/O.

An operation that waits in vain costs nearly as much as one that is served: it is parsed, queued, examined
again and answered. So while a tenant has a queue, reads are admitted only at the rate at which its reads are
forwarded, and a little more. The rest is rejected by peeking, the lowest priority first. Without a queue all
reads are admitted.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, inf
from zlib import crc32

RATE_DECAY_TIME = 0.5  # seconds; of the rates of arrival and forwarding
# Times the recent forwarding rate that is admitted: a queue that runs empty wastes its turn.
ADMIT_MARGIN = 1.3
# Reads per second that are always admitted of a tenant: if none were admitted, none would be forwarded.
MIN_READ_RATE = 20.0
# The same while the router as a whole is short of CPU: 20 each are too many with many tenants.
MIN_OVERLOADED_READ_RATE = 1.0
MIN_BACKLOG = 0.02  # seconds of a tenant's queue at its service rate; a shorter queue may grow


class ReadSampler:
    """Rates by tenant and traffic type, and the fraction admitted of each. Memory is fixed."""

    def __init__(self, tenants: int, priority_weights: Sequence[float], seed: int, now: float) -> None:
        rows = len(priority_weights)
        self.seed = seed
        self.arrival_rates = [[0.0] * rows for _ in range(tenants)]  # per second, smoothed
        self.forward_rates = [0.0] * tenants
        self.admit_fractions = [[1.0] * rows for _ in range(tenants)]
        self.limited = [False] * tenants
        self.any_limited = False
        self.log_messages: list[str] = []  # emptied by FairAdmissionControl
        self._rows_by_priority = sorted(range(rows), key=lambda row: -priority_weights[row])
        self._arrivals = [[0] * rows for _ in range(tenants)]
        self._forwarded = [0] * tenants
        self._sampled_at = now
        self._draws = 0

    def should_parse(self, tenant: int, row: int) -> bool:
        """Whether a read is parsed in full.

        One that is not counts as an arrival here; the caller reports the others by `record_arrival`.
        """
        admit_fraction = self.admit_fractions[tenant][row]
        if admit_fraction >= 1.0:
            return True
        self._draws += 1
        if crc32(b"%d %d" % (self.seed, self._draws)) < admit_fraction * 0x100000000:
            return True
        self._arrivals[tenant][row] += 1
        return False

    def record_arrival(self, tenant: int, row: int) -> None:
        """Count a read that was parsed in full."""
        self._arrivals[tenant][row] += 1

    def record_forwarded(self, tenant: int) -> None:
        """Count a read that was forwarded to the decision module."""
        self._forwarded[tenant] += 1

    def sample(self, backlogs: Sequence[float], max_rates: Sequence[float], now: float) -> None:
        """Update the rates and the admitted fractions.

        `backlogs` are the seconds that each tenant's queue takes at its service rate, 0 without one;
        `max_rates` the reads per second that may be admitted of it at all, `inf` if not bounded.
        """
        span = now - self._sampled_at
        if span <= 0.0:
            return
        self._sampled_at = now
        decay = exp(-span / RATE_DECAY_TIME)
        for tenant, backlog in enumerate(backlogs):
            arrival_rates, arrivals = self.arrival_rates[tenant], self._arrivals[tenant]
            for row, count in enumerate(arrivals):
                arrival_rates[row] = decay * arrival_rates[row] + (1.0 - decay) * count / span
                arrivals[row] = 0
            self.forward_rates[tenant] = (
                decay * self.forward_rates[tenant] + (1.0 - decay) * self._forwarded[tenant] / span
            )
            self._forwarded[tenant] = 0
            self._update_fractions(tenant, backlog, max_rates[tenant])

    def _update_fractions(self, tenant: int, backlog: float, max_rate: float) -> None:
        arrival_rates, admit_fractions = self.arrival_rates[tenant], self.admit_fractions[tenant]
        admit_rate = (
            max(ADMIT_MARGIN * self.forward_rates[tenant], MIN_READ_RATE) if backlog > MIN_BACKLOG else inf
        )
        admit_rate = min(admit_rate, max(max_rate, MIN_OVERLOADED_READ_RATE))
        limited = sum(arrival_rates) > admit_rate
        for row in self._rows_by_priority:
            admit_fractions[row] = (
                min(admit_rate / arrival_rates[row], 1.0) if limited and arrival_rates[row] > 0.0 else 1.0
            )
            admit_rate = max(admit_rate - arrival_rates[row], 0.0)
        if limited is not self.limited[tenant]:
            self.limited[tenant] = limited
            mode = "limited" if limited else "open"
            self.log_messages.append(
                f"read sampling of tenant {tenant} {mode}: {sum(arrival_rates):.0f}/s arrive,"
                f" {self.forward_rates[tenant]:.0f}/s forwarded,"
                f" {backlog:.3f} s queued"
            )
        self.any_limited = any(self.limited)
