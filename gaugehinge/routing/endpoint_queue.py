"""Short queues at endpoints, for operations that only one server may serve and that lack only capacity."""

from __future__ import annotations

from .concurrency_limits import ConcurrencyLimits
from .deadlines import end_of_waiting
from .endpoint import Endpoint
from .endpoint_table import EndpointTable
from .load_measurement import LoadMeasurement
from .types import EndpointState, Operation, Route, Step

MAX_QUEUE_LENGTH = 64  # operations waiting for capacity at the only server of their key
QUEUE_RECHECK_INTERVAL = 0.05  # seconds between checks of whether a queued operation should keep waiting
# Usual attempt durations that an operation needs to wait for capacity and to run, on top of the time for the
# operations queued before it.
WAIT_AND_RUN_DURATIONS = 2.0


class EndpointQueues:
    """Manages the queues of operations waiting for capacity at endpoints.

    State: each endpoint's queue, stored in its `Endpoint`. An operation leaves the queue when there is
    capacity, when it is given up or cancelled, or when a recheck finds that waiting is no longer useful.
    """

    def __init__(
        self,
        table: EndpointTable,
        load: LoadMeasurement,
        limits: ConcurrencyLimits,
        clock_granularity: float,
    ) -> None:
        self._table = table
        self._load = load
        self._limits = limits
        self._clock_granularity = clock_granularity

    def try_enqueue(self, operation: Operation, now: float) -> bool:
        """Queue an operation at the first of its allowed endpoints if it lacks only capacity there.

        Returns whether it was queued.
        """
        if not operation.allowed_endpoints:
            return False
        endpoint = self._table.get(operation.allowed_endpoints[0])
        if endpoint is None or not self._may_queue(endpoint, operation) or not endpoint.in_flight:
            return False
        # The recent completion rate says little about an endpoint with little traffic. So the time is
        # estimated from the usual attempt duration and the number of attempts in flight at once.
        durations = WAIT_AND_RUN_DURATIONS + len(endpoint.queue) / endpoint.in_flight
        expected_time = durations * self._load.usual_duration(operation.traffic_type)
        if len(endpoint.queue) >= MAX_QUEUE_LENGTH or now + expected_time > end_of_waiting(operation):
            return False
        endpoint.queue.append(operation)
        operation.queued_at = endpoint
        return True

    @staticmethod
    def _may_queue(endpoint: Endpoint, operation: Operation) -> bool:
        is_available = endpoint.state is EndpointState.UP and not endpoint.ejected_until
        # Operations do not wait for the budget of an endpoint in slow start.
        has_budget = endpoint.warm_up_share >= 1.0 or endpoint.warm_up_budget >= 1.0
        is_eligible = not operation.over_quota and endpoint not in operation.tried_endpoints
        return is_available and has_budget and is_eligible

    def may_keep_waiting(self, operation: Operation, now: float) -> bool:
        """Return whether a queued operation should keep waiting.

        The endpoint may have become unavailable through the endpoint list or a failure.
        """
        endpoint = operation.queued_at
        if endpoint is None or now >= end_of_waiting(operation):
            return False
        return self._may_queue(endpoint, operation)

    def time_until_recheck(self, operation: Operation, now: float) -> float:
        """Return the seconds until a queued operation is to be rechecked."""
        return max(min(QUEUE_RECHECK_INTERVAL, operation.objective_at - now), self._clock_granularity)

    @staticmethod
    def leave(operation: Operation) -> None:
        """Remove an operation from its queue, if it is in one."""
        if operation.queued_at is not None:
            operation.queued_at.queue.remove(operation)
            operation.queued_at = None

    def release(self, endpoint: Endpoint, steps: list[Step], now: float, route: Route) -> None:
        """Route queued operations while the endpoint has capacity, and append the resulting steps."""
        # A copy, so that each is routed once: one that cannot be sent for another reason queues again.
        for operation in list(endpoint.queue):
            if endpoint.full_until > now or self._limits.is_full(endpoint, now):
                return
            self.leave(operation)
            steps.append(Step(operation, route(operation, now)))
