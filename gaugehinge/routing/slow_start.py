"""Slow start: an endpoint that just started is given its keys and attempts gradually.

An empty cache server has a fraction of the capacity of a warm one. Two mechanisms limit what it is sent: it
serves only a share of its keys, always the same ones, which grows with its age; and attempts are taken from a
budget that refills at the rate that it can handle.
"""

from __future__ import annotations

from .endpoint import Endpoint
from .seeded_random import SeededRandom
from .types import Deployment

WARM_UP_EXPONENT = 2.5  # the share of keys is the warm-up progress to this power
# Seconds after which an endpoint serves its full share, where the deployment states no warm-up time.
DEFAULT_WARM_UP_TIME = 30.0
# Attempts per second that all routers together send to an endpoint at least, however little they measured.
MIN_WARM_UP_RATE = 2.5
OVERLOAD_SAFETY_FACTOR = 0.5  # of the capacity multiple that is stated to overload a cold endpoint
BUDGET_TIME_FACTOR = 0.5  # of the stated overload time: the budget holds at most what refills in this


class SlowStart:
    """The endpoints that are warming up, their shares of keys and their budgets.

    State: the ready endpoints that are still warming up. One is removed when its share reaches 1; the list is
    rebuilt with each change of the ready endpoints. Shares and budgets are kept in the endpoints.
    """

    def __init__(self, deployment: Deployment, random: SeededRandom) -> None:
        self._deployment = deployment
        self._random = random
        self._warm_up_time = deployment.warm_up_time or DEFAULT_WARM_UP_TIME
        self._warming_up: list[Endpoint] = []

    def begin(self, endpoint: Endpoint, now: float) -> None:
        """Start the warm-up of an endpoint that was just listed, if its server started recently.

        The first budget is a random fraction of an attempt: a whole one from each of hundreds of routers
        would overload a cold endpoint.
        """
        if endpoint.started and now - endpoint.started < self._warm_up_time:
            endpoint.warm_up_share = 0.0
            endpoint.warm_up_budget = self._random.fraction()

    def set_ready(self, ready: list[Endpoint]) -> None:
        """Replace the ready endpoints."""
        self._warming_up = [endpoint for endpoint in ready if endpoint.warm_up_share < 1.0]

    def is_active(self) -> bool:
        """Whether any ready endpoint is warming up."""
        return bool(self._warming_up)

    def advance(self, fleet_rate: float, ready_weight: float, now: float, span: float) -> float:
        """Raise the shares and refill the budgets.

        `fleet_rate` is this router's rate of answered attempts per second, `ready_weight` the sum of the
        ready endpoints' weights, `span` the seconds since the last call. Returns the same sum with each
        weight multiplied by its warm-up share.
        """
        effective_weight = ready_weight - sum(endpoint.weight for endpoint in self._warming_up)
        fair_rate = fleet_rate / ready_weight
        for endpoint in self._warming_up:
            age = max(now - endpoint.started, 0.0)
            endpoint.warm_up_share = min(age / self._warm_up_time, 1.0) ** WARM_UP_EXPONENT
            effective_weight += endpoint.warm_up_share * endpoint.weight
            self._refill_budget(endpoint, fair_rate, age, span)
        self._warming_up = [endpoint for endpoint in self._warming_up if endpoint.warm_up_share < 1.0]
        return effective_weight

    def _refill_budget(self, endpoint: Endpoint, fair_rate: float, age: float, span: float) -> None:
        deployment = self._deployment
        progress = min(age / deployment.warm_up_time, 1.0) if deployment.warm_up_time else 1.0
        capacity = deployment.cold_capacity + (1.0 - deployment.cold_capacity) * progress
        # The minimum is divided among the routers: one for each of hundreds, or a whole first attempt from
        # each, would overload a cold endpoint.
        rate = max(fair_rate * endpoint.weight, MIN_WARM_UP_RATE / deployment.router_count) * capacity
        burst = fair_rate * endpoint.weight * capacity * deployment.overload_time * BUDGET_TIME_FACTOR
        refill = rate * OVERLOAD_SAFETY_FACTOR * deployment.overload_multiple * span
        endpoint.warm_up_budget = min(endpoint.warm_up_budget + refill, max(1.0, burst))
        # A saved attempt is dropped at random: hundreds of routers that each have one saved would overload a
        # cold endpoint that all of them turn to at once.
        overload_time = deployment.overload_time or 1.0
        if endpoint.warm_up_budget >= 1.0 and self._random.fraction() * overload_time < span:
            endpoint.warm_up_budget -= 1.0

    @staticmethod
    def spend(endpoint: Endpoint) -> None:
        """Take one attempt out of the budget of an endpoint that is warming up."""
        if endpoint.warm_up_share < 1.0:
            endpoint.warm_up_budget -= 1.0
