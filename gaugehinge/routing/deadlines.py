"""When an operation's latency objective ends, and when it is given up."""

from __future__ import annotations

from .types import Deployment, Operation

REPLY_RESERVE_TICKS = 3  # of the clock, kept free before the deadline for the reply's own way
MIN_REPLY_RESERVE = 0.005  # seconds


class Deadlines:
    """Sets the times of each operation that comes in.

    State: none.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._reply_reserve = max(REPLY_RESERVE_TICKS * deployment.clock_granularity, MIN_REPLY_RESERVE)

    def assign(self, operation: Operation) -> None:
        """Set the times of an operation by its arrival, its deadline and its traffic type."""
        traffic_type = operation.traffic_type
        operation.objective_at = operation.arrived_at + traffic_type.latency_objective
        latest = operation.deadline - self._reply_reserve
        if traffic_type.late_weight:
            operation.give_up_at = latest
        else:
            operation.give_up_at = min(latest, operation.objective_at - self._reply_reserve)


def time_left(operation: Operation, now: float) -> float:
    """Return the time until an operation is given up."""
    return operation.give_up_at - now


def end_of_waiting(operation: Operation) -> float:
    """Return the moment up to which it makes sense to let an operation wait."""
    return min(operation.objective_at, operation.give_up_at)
