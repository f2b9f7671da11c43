"""Reports the result of each attempt at an endpoint to the router's components in a fixed order. No state."""

from __future__ import annotations

from .concurrency_limits import ConcurrencyLimits
from .load_measurement import LoadMeasurement
from .load_shedding import LoadShedder
from .outcome_groups import CONNECTION_FAILURES, NO_LOAD_EVIDENCE, RESPONSES, SERVER_FAILURES
from .outlier_ejection import OutlierEjection
from .retries import RetryPolicy
from .types import Attempt, Outcome


class AttemptResults:
    """Reports each ended attempt to the components that learn from it."""

    def __init__(
        self,
        load: LoadMeasurement,
        limits: ConcurrencyLimits,
        ejection: OutlierEjection,
        retries: RetryPolicy,
        shedder: LoadShedder,
    ) -> None:
        self._load = load
        self._limits = limits
        self._ejection = ejection
        self._retries = retries
        self._shedder = shedder

    def record(
        self, attempt: Attempt, outcome: Outcome, elapsed: float, now: float, own_lag: float = 0.0
    ) -> None:
        """Record an attempt that ended.

        The order of the calls matters, since components draw from one sequence of random numbers. `own_lag`,
        in seconds, is the delay that the router itself added. It counts as lateness for load shedding, but
        not as latency of the endpoint.
        """
        endpoint = attempt.endpoint
        self._load.on_attempt_ended(endpoint, outcome, elapsed, now)
        self._ejection.record_reachability(attempt, outcome, now)
        if outcome in RESPONSES:
            self._load.record_response(endpoint, now)
        self._record_health(attempt, outcome, elapsed, now)
        self._limits.record_duration(endpoint, elapsed, now)
        if not self._retries.try_excuse_timeout(attempt, outcome) and outcome not in NO_LOAD_EVIDENCE:
            self._shedder.record_lateness(attempt, outcome, elapsed + own_lag)
        self._load.reassess(endpoint, now)

    def _record_health(self, attempt: Attempt, outcome: Outcome, elapsed: float, now: float) -> None:
        endpoint, operation = attempt.endpoint, attempt.operation
        if outcome is Outcome.SUCCEEDED:
            self._load.record_success(endpoint, operation.traffic_type.row, elapsed, now)
            self._retries.record_success()
            self._ejection.record_success(endpoint)
        elif outcome is Outcome.REJECTED:
            self._limits.on_rejected(endpoint, now)
            operation.rejections += 1
        elif outcome in CONNECTION_FAILURES:
            self._ejection.record_connection_failure(endpoint, elapsed, now)
        elif outcome is Outcome.TIMED_OUT and endpoint.has_answered_lately(attempt.sent_at, now):
            # The endpoint answers other attempts: it is loaded, not failing. Ejecting it would only move
            # its load to the next endpoint.
            self._load.record_latency(endpoint, self._load.relative_duration(elapsed), now)
        elif outcome in SERVER_FAILURES:
            self._ejection.record_server_failure(endpoint, elapsed, now)
