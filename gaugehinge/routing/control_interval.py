"""The control interval: how often budgets are refilled and the load shedder moves."""

from __future__ import annotations

CONTROL_INTERVAL = 0.1  # seconds


class ControlInterval:
    """When the last control interval began.

    State: that moment, moved on by `start_next`.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now

    def is_over(self, now: float) -> bool:
        """Whether it is time for the next interval."""
        return now - self.started_at >= CONTROL_INTERVAL

    def start_next(self, now: float) -> float:
        """Begin the next interval; return how long the last one was, in seconds."""
        span = now - self.started_at
        self.started_at = now
        return span


def intervals_in(span: float) -> float:
    """Return how many control intervals a span is: what decays does so by the time that passed."""
    return span / CONTROL_INTERVAL
