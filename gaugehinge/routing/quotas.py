"""Tenant quotas: one token bucket per tenant, refilled at this router's part of the tenant's rate limit."""

from __future__ import annotations

from collections.abc import Container, Sequence

from .control_interval import intervals_in
from .gossip import Gossip
from .types import Tenant

USAGE_DECAY = 0.95  # weight of a tenant's smoothed rate per control interval
# Operations; least burst of a tenant: at a router with little traffic its few operations come in random runs.
MIN_BURST = 6.0
# A tenant may use this multiple of its quota of this router's traffic while no peer reports tenant rates.
QUOTA_HEADROOM = 1.25
INITIAL_TOKENS = 1.0


class Quotas:
    """The usage and the remaining tokens of each tenant at this router.

    State: by the tenant's index in the table, its smoothed rate, its arrivals since the last refill and its
    tokens. All three are reset when the index is reassigned to another tenant, and removed with the index.
    """

    def __init__(self, tenants: tuple[Tenant, ...], gossip: Gossip) -> None:
        self._gossip = gossip
        self.tenants = tenants
        self.usage = [0.0] * len(tenants)  # operations per second, smoothed
        self.arrivals = [0] * len(tenants)
        self.tokens = [INITIAL_TOKENS] * len(tenants)

    def on_tenants_changed(self, tenants: tuple[Tenant, ...], reassigned: Container[int]) -> None:
        """Replace the tenants; reset the state of the indexes that now belong to another tenant."""
        kept = [index < len(self.tenants) and index not in reassigned for index in range(len(tenants))]
        self.tenants = tenants
        self._gossip.forget()
        self.usage = [self.usage[index] if is_kept else 0.0 for index, is_kept in enumerate(kept)]
        self.arrivals = [self.arrivals[index] if is_kept else 0 for index, is_kept in enumerate(kept)]
        self.tokens = [
            self.tokens[index] if is_kept else INITIAL_TOKENS for index, is_kept in enumerate(kept)
        ]

    def is_over_quota(self, tenant: int) -> bool:
        """Count an operation of a tenant and take a token for it; return whether there was none left."""
        if tenant < 0:
            return False
        self.arrivals[tenant] += 1
        if self.tokens[tenant] >= 1.0:
            self.tokens[tenant] -= 1.0
            return False
        return True

    def refill(self, span: float) -> None:
        """Update the tenants' rates and refill their tokens; `span` is the seconds since the last call."""
        for index, count in enumerate(self.arrivals):
            gain = 1.0 - USAGE_DECAY ** intervals_in(span)
            self.usage[index] += gain * (count / span - self.usage[index])
            self.arrivals[index] = 0
        for index, tenant in enumerate(self.tenants):
            rate = self._refill_rate(index, tenant)
            self.tokens[index] = min(self.tokens[index] + rate * span, max(MIN_BURST, rate))

    def _refill_rate(self, index: int, tenant: Tenant) -> float:
        rate_elsewhere = self._gossip.rate_elsewhere(index)
        if rate_elsewhere is not None:
            total_rate = self.usage[index] + rate_elsewhere
            return tenant.rate_limit * (self.usage[index] / total_rate if total_rate else 1.0)
        return QUOTA_HEADROOM * tenant.quota * sum(self.usage)

    def tenant_count(self) -> int:
        """Return the number of tenants in the table."""
        return len(self.tenants)

    def usage_by_tenant(self) -> Sequence[float]:
        """Return each tenant's operations per second at this router."""
        return self.usage

    def operations_per_second(self) -> float:
        """Return the operations per second of all tenants at this router."""
        return sum(self.usage)
