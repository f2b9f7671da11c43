"""Computes when the latency objective of an operation ends, and when the operation is given up."""

from __future__ import annotations

from .types import Deployment, Operation

REPLY_RESERVE_TICKS = 3  # clock ticks before the deadline, reserved for the transmission of the reply
MIN_REPLY_RESERVE = 0.005  # seconds


class Deadlines:
    """Sets the times of each new operation.

    State: none.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._reply_reserve = max(REPLY_RESERVE_TICKS * deployment.clock_granularity, MIN_REPLY_RESERVE)

    def assign(self, operation: Operation) -> None:
        """Set `objective_at` and `give_up_at` of an operation from its arrival, deadline and traffic type.

        If a late reply is worth nothing, the operation is given up when its latency objective ends.
        """
        traffic_type = operation.traffic_type
        operation.objective_at = operation.arrived_at + traffic_type.latency_objective
        latest = operation.deadline - self._reply_reserve
        if traffic_type.late_weight:
            operation.give_up_at = latest
        else:
            operation.give_up_at = min(latest, operation.objective_at - self._reply_reserve)


def time_left(operation: Operation, now: float) -> float:
    """Return the time in seconds until an operation is given up."""
    return operation.give_up_at - now


def end_of_waiting(operation: Operation) -> float:
    """Return the time until which it makes sense to let an operation wait."""
    return min(operation.objective_at, operation.give_up_at)
