"""Slow start: an endpoint that just started gets its keys and its attempts little by little.

An empty cache server bears a part of what a warm one does. Two things hold it back: a share of its keys,
always the same ones, that rises with its age, and a budget of attempts that refills at what it can bear.
"""

from __future__ import annotations

from .endpoint import Endpoint
from .seeded_random import SeededRandom
from .types import Deployment

WARM_UP_EXPONENT = 2.5  # the share of keys rises along progress to this power
DEFAULT_WARM_UP_TIME = 30.0  # seconds where no warm-up time is stated; else that: by then it bears its share
MIN_WARM_UP_RATE = 2.5  # attempts a second that all routers together try, however little they see
OVERLOAD_SAFETY_FACTOR = 0.5  # of the multiple of its capacity that is stated to overload a cold endpoint
BUDGET_TIME_FACTOR = 0.5  # of the stated overload time: the budget holds what refills in that


class SlowStart:
    """The endpoints that warm up, their shares of keys and their budgets.

    State: the ready endpoints that still warm up. One leaves when its share reaches 1; the list is made anew
    with each change of the ready endpoints. Shares and budgets stand in the endpoints.
    """

    def __init__(self, deployment: Deployment, random: SeededRandom) -> None:
        self._deployment = deployment
        self._random = random
        self._warm_up_time = deployment.warm_up_time or DEFAULT_WARM_UP_TIME
        self._warming_up: list[Endpoint] = []

    def begin(self, endpoint: Endpoint, now: float) -> None:
        """Start to warm up an endpoint that was just listed, if its server started lately.

        The first budget is random: a whole attempt of each of hundreds of routers overloads a cold endpoint.
        """
        if endpoint.started and now - endpoint.started < self._warm_up_time:
            endpoint.warm_up_share = 0.0
            endpoint.warm_up_budget = self._random.fraction()

    def set_ready(self, ready: list[Endpoint]) -> None:
        """Take over the endpoints that are ready from now on."""
        self._warming_up = [endpoint for endpoint in ready if endpoint.warm_up_share < 1.0]

    def is_active(self) -> bool:
        """Whether any ready endpoint warms up."""
        return bool(self._warming_up)

    def advance(self, fleet_rate: float, ready_weight: float, now: float, span: float) -> float:
        """Raise the shares, refill the budgets; return the sum of the ready endpoints' weights by share.

        `fleet_rate` is the rate of answered attempts of this router, `span` the time since the last call.
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
        # A floor for each router, or a first whole attempt, overloads a cold endpoint where
        # routers are hundreds.
        rate = max(fair_rate * endpoint.weight, MIN_WARM_UP_RATE / deployment.router_count) * capacity
        burst = fair_rate * endpoint.weight * capacity * deployment.overload_time * BUDGET_TIME_FACTOR
        refill = rate * OVERLOAD_SAFETY_FACTOR * deployment.overload_multiple * span
        endpoint.warm_up_budget = min(endpoint.warm_up_budget + refill, max(1.0, burst))
        # What hundreds of routers saved up, an attempt each, overloads a cold endpoint that all
        # come to at once.
        overload_time = deployment.overload_time or 1.0
        if endpoint.warm_up_budget >= 1.0 and self._random.fraction() * overload_time < span:
            endpoint.warm_up_budget -= 1.0

    @staticmethod
    def spend(endpoint: Endpoint) -> None:
        """Take an attempt out of the budget of an endpoint that warms up."""
        if endpoint.warm_up_share < 1.0:
            endpoint.warm_up_budget -= 1.0
