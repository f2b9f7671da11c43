"""Concurrency limits: whether an endpoint may hold one more attempt of this router.

A queue shows in what is in flight against what comes back long before it shows in latencies.
"""

from __future__ import annotations

from .endpoint import Endpoint
from .gossip import Gossip
from .load_shedding import LoadShedder
from .seeded_random import SeededRandom
from .types import Deployment

# An endpoint holds no more attempts than it answers in this share of the shortest latency objective.
IN_FLIGHT_OBJECTIVE_SHARE = 0.3
# What is over a quota only goes to a home endpoint that answers within this share,
OVER_QUOTA_OBJECTIVE_SHARE = 0.15
# and whose attempts take less than this share of the objective.
OVER_QUOTA_MAX_LATENESS = 0.25
# An endpoint may hold so many attempts however few it answered: a sparse router learns by them.
MIN_CONCURRENCY = 2
# Many sparse routers crowd an endpoint with two each: one where it is known to be slow or crowded.
MIN_SLOW_CONCURRENCY = 1
SLOW_LATENCY_MULTIPLIER = 1.5  # of latency, relative to the fleet's: from here on an endpoint is slow
CONGESTED_LATENESS = 0.25  # an endpoint is crowded whose attempts take this share of the latency objective
MAX_LATENESS = 1.5  # of one attempt
CONGESTION_DECAY = 0.8  # kept of that measure, an attempt
# A crowded endpoint rests so many times its last attempt's time; else the minima alone keep it full.
CONGESTION_PAUSE_FACTOR = 1.0
# Seconds, about, for which an endpoint that rejected an attempt is passed: some of its queue drains.
REJECTION_PAUSE = 0.1


class ConcurrencyLimits:
    """Limits of the attempts in flight at each endpoint.

    State: none of its own; how crowded an endpoint is, and until when it is passed, stand in the endpoint.
    """

    def __init__(
        self, deployment: Deployment, gossip: Gossip, shedder: LoadShedder, random: SeededRandom
    ) -> None:
        self._gossip = gossip
        self._shedder = shedder
        self._random = random
        self._has_peers = deployment.router_count > 1
        self._objective = deployment.shortest_objective
        # A second attempt opens a connection, and its time-out costs that: endpoints were crowded with them.
        single_attempt = deployment.one_attempt_per_connection
        self._min_concurrency = MIN_SLOW_CONCURRENCY if single_attempt else MIN_CONCURRENCY

    def is_full(self, endpoint: Endpoint, now: float) -> bool:
        """Whether an endpoint holds all the attempts that it answers in time."""
        is_fast = (
            endpoint.latency_multiplier < SLOW_LATENCY_MULTIPLIER and endpoint.lateness < CONGESTED_LATENESS
        )
        min_concurrency = self._min_concurrency if is_fast else MIN_SLOW_CONCURRENCY
        if endpoint.in_flight < min_concurrency:
            return False
        rate = endpoint.completion_rate.value_at(now)
        return endpoint.in_flight >= rate * IN_FLIGHT_OBJECTIVE_SHARE * self._objective

    def admits_over_quota(self, endpoint: Endpoint, now: float) -> bool:
        """Whether what is over a tenant's quota may go to its home endpoint."""
        if self._has_peers and not self._gossip.has_rates():
            return True  # untold by peers, a run of one tenant's at a sparse router is no proof of too much
        rate = endpoint.completion_rate.value_at(now)
        limit = max(rate * OVER_QUOTA_OBJECTIVE_SHARE * self._objective, MIN_SLOW_CONCURRENCY)
        lateness = max(endpoint.lateness, self._shedder.current_lateness())
        return lateness <= OVER_QUOTA_MAX_LATENESS and endpoint.in_flight < limit

    @staticmethod
    def mark_congested(endpoint: Endpoint) -> None:
        """Give an endpoint that comes back one attempt, and more as it answers in time."""
        endpoint.lateness = CONGESTED_LATENESS

    def on_rejected(self, endpoint: Endpoint, now: float) -> None:
        """Pass an endpoint for a while that rejected an attempt.

        Sent on from endpoint to endpoint, rejected attempts were most of the work of a full fleet.
        """
        endpoint.full_until = now + REJECTION_PAUSE * (0.5 + self._random.fraction())

    def record_duration(self, endpoint: Endpoint, elapsed: float, now: float) -> None:
        """Learn from an attempt's time how crowded its endpoint is, and let a crowded one rest.

        Held at even one attempt from each of many routers, a crowded endpoint that slows down stays crowded.
        """
        lateness = min(elapsed / self._objective, MAX_LATENESS)
        endpoint.lateness += (1.0 - CONGESTION_DECAY) * (lateness - endpoint.lateness)
        if endpoint.lateness > CONGESTED_LATENESS:
            pause = CONGESTION_PAUSE_FACTOR * elapsed * self._random.fraction()
            endpoint.full_until = max(endpoint.full_until, now + pause)
