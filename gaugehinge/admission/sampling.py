"""What part of a tenant's operations is looked at in full while it is beyond its turn. No I/O.

An operation that waits in vain costs nearly as much as one that is served: it is parsed, queued, looked at
again and answered. So while a tenant has a queue, it gets in only what it is being passed on, and a little
more; the rest is turned away at the first look, the lowest payoff first. With no queue all of it gets in.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, inf
from zlib import crc32

RATE_DECAY_TIME = 0.5  # seconds, for what came and what was passed on
ADMIT_MARGIN = 1.3  # times what was passed on of late that is let in: a queue that runs dry wastes its turn
MIN_READ_RATE = 20.0  # operations a second that each tenant is let in anyhow: let in none, none is passed on
MIN_OVERLOADED_READ_RATE = (
    1.0  # the same where the router as a whole has no time: of many tenants 20 each are too many
)
MIN_BACKLOG = 0.02  # seconds that a tenant's queue takes at its pace; a shorter one is let grow


class ReadSampler:
    """Rates by tenant and traffic type, and the part of each that is let in. A fixed number of figures."""

    def __init__(self, tenants: int, priority_weights: Sequence[float], seed: int, now: float) -> None:
        rows = len(priority_weights)
        self.seed = seed
        self.arrival_rates = [[0.0] * rows for _ in range(tenants)]  # a second, decayed
        self.forward_rates = [0.0] * tenants
        self.admit_fractions = [[1.0] * rows for _ in range(tenants)]
        self.limited = [False] * tenants
        self.any_limited = False  # whether any is
        self.log_messages: list[str] = []  # emptied by the door
        self._rows_by_priority = sorted(range(rows), key=lambda row: -priority_weights[row])
        self._arrivals = [[0] * rows for _ in range(tenants)]
        self._forwarded = [0] * tenants
        self._sampled_at = now
        self._draws = 0

    def should_parse(self, tenant: int, row: int) -> bool:
        """Whether this one is looked at in full. One that is not has come; the others are told by `come`."""
        admit_fraction = self.admit_fractions[tenant][row]
        if admit_fraction >= 1.0:
            return True
        self._draws += 1
        if crc32(b"%d %d" % (self.seed, self._draws)) < admit_fraction * 0x100000000:
            return True
        self._arrivals[tenant][row] += 1
        return False

    def record_arrival(self, tenant: int, row: int) -> None:
        """One was looked at in full."""
        self._arrivals[tenant][row] += 1

    def record_forwarded(self, tenant: int) -> None:
        """One was passed on to the decisions."""
        self._forwarded[tenant] += 1

    def sample(self, backlogs: Sequence[float], max_rates: Sequence[float], now: float) -> None:
        """Set the parts anew. `waits`: seconds that each tenant's queue takes at its pace, 0 with none;
        `rooms`: operations a second that it may be let in at all, `inf` where nothing bounds them."""
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
            mode = "turned down" if limited else "open"
            self.log_messages.append(
                f"tap of line {tenant} {mode}: {sum(arrival_rates):.0f}/s come, {self.forward_rates[tenant]:.0f}/s go,"
                f" {backlog:.3f} s wait"
            )
        self.any_limited = any(self.limited)
