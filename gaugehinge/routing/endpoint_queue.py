"""The brief queue before an endpoint that alone may serve a key, for operations that lack only capacity."""

from __future__ import annotations

from .concurrency_limits import ConcurrencyLimits
from .deadlines import end_of_waiting
from .endpoint import Endpoint
from .endpoint_table import EndpointTable
from .load_measurement import LoadMeasurement
from .types import EndpointState, Operation, Route, Step

MAX_QUEUE_LENGTH = 64  # operations that wait for capacity at the only server of their key
QUEUE_RECHECK_INTERVAL = 0.05  # seconds after which each looks whether waiting still makes sense
# Attempts' times that an operation waits and runs for, beyond those queued before it.
WAIT_AND_RUN_DURATIONS = 2.0


class EndpointQueues:
    """The queues before endpoints.

    State: each endpoint's queue, which stands in the endpoint. An operation leaves it when there is capacity,
    when it is given up or cancelled, or when a look at it finds that waiting makes no sense any more.
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
        """Let an operation wait before the first endpoint that may serve it, where it lacks only capacity."""
        if not operation.allowed_endpoints:
            return False
        endpoint = self._table.get(operation.allowed_endpoints[0])
        if endpoint is None or not self._may_queue(endpoint, operation) or not endpoint.in_flight:
            return False
        # Its completion rate of late says little of a quiet one: by an attempt's time, and how
        # many go at a time.
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
        # The budget of an endpoint that warms up is not waited for.
        has_budget = endpoint.warm_up_share >= 1.0 or endpoint.warm_up_budget >= 1.0
        is_eligible = not operation.over_quota and endpoint not in operation.tried_endpoints
        return is_available and has_budget and is_eligible

    def may_keep_waiting(self, operation: Operation, now: float) -> bool:
        """Whether waiting still makes sense: the list or a failure may have taken the endpoint away."""
        endpoint = operation.queued_at
        if endpoint is None or now >= end_of_waiting(operation):
            return False
        return self._may_queue(endpoint, operation)

    def time_until_recheck(self, operation: Operation, now: float) -> float:
        """Return the time until a queued operation is to be looked at again."""
        return max(min(QUEUE_RECHECK_INTERVAL, operation.objective_at - now), self._clock_granularity)

    @staticmethod
    def leave(operation: Operation) -> None:
        """Take an operation out of its queue, where it is in one."""
        if operation.queued_at is not None:
            operation.queued_at.queue.remove(operation)
            operation.queued_at = None

    def release(self, endpoint: Endpoint, steps: list[Step], now: float, route: Route) -> None:
        """Route operations that waited, as far as there is capacity now, and add the steps that follow."""
        for operation in list(endpoint.queue):  # once each: one that cannot go for another reason queues anew
            if endpoint.full_until > now or self._limits.is_full(endpoint, now):
                return
            self.leave(operation)
            steps.append(Step(operation, route(operation, now)))
