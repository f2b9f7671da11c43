"""Concurrency limits: whether this router may have one more attempt in flight at an endpoint.

The number of attempts in flight, compared with the completion rate, reveals a queue long before latencies do.
"""

from __future__ import annotations

from .endpoint import Endpoint
from .gossip import Gossip
from .load_shedding import LoadShedder
from .seeded_random import SeededRandom
from .types import Deployment

# An endpoint gets no more attempts in flight than it answers within this share of the shortest latency
# objective.
IN_FLIGHT_OBJECTIVE_SHARE = 0.3
# An operation over its tenant's quota is sent only to its home endpoint, and only while that endpoint answers
# its attempts in flight within this share of the shortest latency objective.
OVER_QUOTA_OBJECTIVE_SHARE = 0.15
# Such an operation is also held back while attempts take more than this share of the objective.
OVER_QUOTA_MAX_LATENESS = 0.25
# An endpoint may have this many attempts in flight however low its completion rate is: a router with little
# traffic learns the rate from them.
MIN_CONCURRENCY = 2
# The same for an endpoint known to be slow or congested: two attempts from each of many routers with little
# traffic overload it.
MIN_SLOW_CONCURRENCY = 1
SLOW_LATENCY_MULTIPLIER = 1.5  # latency relative to the fleet's from which on an endpoint is slow
CONGESTED_LATENESS = 0.25  # smoothed share of the latency objective from which on an endpoint is congested
MAX_LATENESS = 1.5  # share of the objective that one attempt counts as at most
CONGESTION_DECAY = 0.8  # part of the smoothed lateness kept with each attempt
# A congested endpoint is paused for up to this many times the duration of its last attempt; otherwise the
# minimum concurrency of each router alone would keep it full.
CONGESTION_PAUSE_FACTOR = 1.0
# Seconds, before jitter, for which an endpoint that rejected an attempt gets no more, so that some of its
# queue drains.
REJECTION_PAUSE = 0.1


class ConcurrencyLimits:
    """Limits the attempts in flight at each endpoint.

    State: none of its own; the lateness of an endpoint and the end of its pause are stored in the `Endpoint`.
    """

    def __init__(
        self, deployment: Deployment, gossip: Gossip, shedder: LoadShedder, random: SeededRandom
    ) -> None:
        self._gossip = gossip
        self._shedder = shedder
        self._random = random
        self._has_peers = deployment.router_count > 1
        self._objective = deployment.shortest_objective
        # With one attempt per connection, a second attempt opens a connection, which is lost if the attempt
        # times out: such attempts overloaded endpoints.
        single_attempt = deployment.one_attempt_per_connection
        self._min_concurrency = MIN_SLOW_CONCURRENCY if single_attempt else MIN_CONCURRENCY

    def is_full(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether an endpoint has as many attempts in flight as it can answer in time."""
        is_fast = (
            endpoint.latency_multiplier < SLOW_LATENCY_MULTIPLIER and endpoint.lateness < CONGESTED_LATENESS
        )
        min_concurrency = self._min_concurrency if is_fast else MIN_SLOW_CONCURRENCY
        if endpoint.in_flight < min_concurrency:
            return False
        rate = endpoint.completion_rate.value_at(now)
        return endpoint.in_flight >= rate * IN_FLIGHT_OBJECTIVE_SHARE * self._objective

    def admits_over_quota(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a home endpoint admits an operation that is over its tenant's quota."""
        if self._has_peers and not self._gossip.has_rates():
            # Without rates from peers, a burst of one tenant at a router with little traffic does not prove
            # that the tenant uses too much.
            return True
        rate = endpoint.completion_rate.value_at(now)
        limit = max(rate * OVER_QUOTA_OBJECTIVE_SHARE * self._objective, MIN_SLOW_CONCURRENCY)
        lateness = max(endpoint.lateness, self._shedder.current_lateness())
        return lateness <= OVER_QUOTA_MAX_LATENESS and endpoint.in_flight < limit

    @staticmethod
    def mark_congested(endpoint: Endpoint) -> None:
        """Mark a readmitted endpoint as congested: it gets one attempt, and more once it answers in time."""
        endpoint.lateness = CONGESTED_LATENESS

    def on_rejected(self, endpoint: Endpoint, now: float) -> None:
        """Send nothing for a while to an endpoint that rejected an attempt.

        Rejected attempts that were sent on from endpoint to endpoint were most of the work of a full fleet.
        """
        endpoint.full_until = now + REJECTION_PAUSE * (0.5 + self._random.fraction())

    def record_duration(self, endpoint: Endpoint, elapsed: float, now: float) -> None:
        """Update an endpoint's lateness from an attempt's duration, and pause a congested endpoint.

        Without a pause, even one attempt from each of many routers would keep a congested endpoint that slows
        down congested.
        """
        lateness = min(elapsed / self._objective, MAX_LATENESS)
        endpoint.lateness += (1.0 - CONGESTION_DECAY) * (lateness - endpoint.lateness)
        if endpoint.lateness > CONGESTED_LATENESS:
            pause = CONGESTION_PAUSE_FACTOR * elapsed * self._random.fraction()
            endpoint.full_until = max(endpoint.full_until, now + pause)
