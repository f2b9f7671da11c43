"""Outlier ejection: failing endpoints get no attempts for a while, and silent zones one attempt at a time.

Each endpoint has a failure score, which failures raise and successes lower. An endpoint whose score reaches a
threshold is ejected, and readmitted after a short time with a single attempt.
"""

from __future__ import annotations

from math import inf

from .concurrency_limits import ConcurrencyLimits
from .decayed_statistics import DecayedLatency
from .endpoint import Endpoint, ZoneFigures
from .endpoint_table import EndpointTable
from .load_measurement import LoadMeasurement
from .outcome_groups import CONNECTION_FAILURES, REDIRECTS, RESPONSES
from .seeded_random import SeededRandom
from .types import Attempt, EndpointState, Outcome

# Each failure raises the endpoint's failure score by this share of the distance to 1.
FAILURE_STEP = 0.25
# The same for a connection failure at a silent endpoint: two in a row eject it.
CONNECTION_FAILURE_STEP = 0.45
# The same at an endpoint that answers other attempts: there the cause is mostly the network or a stale
# connection.
SPORADIC_FAILURE_STEP = 0.1
SUCCESS_DECAY = 0.85  # share of the score kept after a successful attempt
EJECTION_THRESHOLD = 0.5
READMISSION_SCORE = EJECTION_THRESHOLD / 2
EJECTION_TIME = 2.0  # seconds until an ejected endpoint is readmitted, plus a random part of the jitter
EJECTION_JITTER = 1.0
MAX_EJECTED_SHARE = 0.34  # of the fleet at once; with more ejected, the rest would be overloaded
# The same when the endpoint has answered nothing lately: a lost zone carries no load anyway.
MAX_SILENT_EJECTED_SHARE = 0.75
# After this many endpoints of a zone have failed and none has answered since, the zone gets one attempt at a
# time.
ZONE_FAILURE_THRESHOLD = 3


class OutlierEjection:
    """Ejects failing endpoints and readmits them.

    State: the time of the next readmission. Scores and ejection times are stored in the `Endpoint`s, the
    failed endpoints of a zone in its `ZoneFigures`; that set is cleared when an endpoint of the zone answers.
    """

    def __init__(
        self,
        table: EndpointTable,
        load: LoadMeasurement,
        limits: ConcurrencyLimits,
        random: SeededRandom,
        log: list[str],
    ) -> None:
        self._table = table
        self._load = load
        self._limits = limits
        self._random = random
        self._log = log
        self._next_readmission_at = inf

    def record_reachability(self, attempt: Attempt, outcome: Outcome, now: float) -> None:
        """Record whether the endpoint of an ended attempt answered or is silent."""
        endpoint = attempt.endpoint
        if outcome in CONNECTION_FAILURES or (
            outcome is Outcome.TIMED_OUT and endpoint.last_answer_at <= attempt.sent_at
        ):
            endpoint.zone_figures.failed.add(endpoint.ident)
        elif outcome in RESPONSES or outcome in REDIRECTS:
            endpoint.last_answer_at = now
            endpoint.zone_figures.failed.clear()

    def is_zone_suspected(self, zone: ZoneFigures) -> bool:
        """Return whether a zone may be lost: several endpoints failed, and none has answered since.

        If the loss of a zone were detected endpoint by endpoint, a router with little traffic would suffer
        the time-outs once for each endpoint of the zone.
        """
        return len(zone.failed) >= ZONE_FAILURE_THRESHOLD and self._table.has_several_zones()

    def record_success(self, endpoint: Endpoint) -> None:
        """Lower the score of an endpoint whose attempt succeeded."""
        endpoint.failure_score *= SUCCESS_DECAY

    def record_connection_failure(self, endpoint: Endpoint, elapsed: float, now: float) -> None:
        """Raise the score of an endpoint whose connection failed or was lost."""
        step = CONNECTION_FAILURE_STEP if endpoint.is_silent(now) else SPORADIC_FAILURE_STEP
        self.record_failure(endpoint, step, elapsed, now)

    def record_server_failure(self, endpoint: Endpoint, elapsed: float, now: float) -> None:
        """Raise the score of an endpoint that failed an attempt."""
        self.record_failure(endpoint, FAILURE_STEP, elapsed, now)

    def record_failure(self, endpoint: Endpoint, step: float, elapsed: float, now: float) -> None:
        """Raise a failure score by a step, and eject the endpoint when the score reaches the threshold.

        The attempt's duration counts as at least the mean: fast errors would otherwise make the endpoint look
        lightly loaded and attract more keys to it.
        """
        self._load.record_latency(endpoint, max(self._load.relative_duration(elapsed), 1.0), now)
        endpoint.failure_score += step * (1.0 - endpoint.failure_score)
        if endpoint.ejected_until or endpoint.failure_score < EJECTION_THRESHOLD:
            return
        ejected_count = len(self._table.ejected()) + 1
        if endpoint.state is EndpointState.UP and ejected_count <= self._max_ejected(endpoint, now):
            self._eject(endpoint, ejected_count, now)

    def _max_ejected(self, endpoint: Endpoint, now: float) -> float:
        """Return how many endpoints may be ejected at once.

        Never the whole fleet: a failure that occurs everywhere is not the fault of one endpoint.
        """
        # When a zone is lost, a low cap would leave dead endpoints in use, where attempts fail one by one.
        share = MAX_SILENT_EJECTED_SHARE if endpoint.is_silent(now) else MAX_EJECTED_SHARE
        return share * self._table.count()

    def _eject(self, endpoint: Endpoint, ejected_count: int, now: float) -> None:
        endpoint.ejected_until = now + EJECTION_TIME + EJECTION_JITTER * self._random.fraction()
        self._next_readmission_at = min(self._next_readmission_at, endpoint.ejected_until)
        score = f"failure score {endpoint.failure_score:.2f}"
        self._log.append(f"endpoint {endpoint.ident} ejected: {score}, {ejected_count} ejected")
        self._table.refresh_ready()

    def readmit_due(self, now: float) -> None:
        """Readmit the endpoints whose ejection time is over."""
        if now < self._next_readmission_at:
            return
        due = [endpoint for endpoint in self._table.ejected() if now >= endpoint.ejected_until]
        for endpoint in due:
            endpoint.ejected_until = 0.0
            endpoint.failure_score = READMISSION_SCORE
            self._limits.mark_congested(endpoint)
            endpoint.latency = DecayedLatency(now)
            self._log.append(f"endpoint {endpoint.ident} readmitted")
        still_ejected = (endpoint.ejected_until for endpoint in self._table.ejected())
        self._next_readmission_at = min(still_ejected, default=inf)
        if due:
            self._table.refresh_ready()
