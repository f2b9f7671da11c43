"""The control interval, at which budgets are refilled and the shed level is updated."""

from __future__ import annotations

CONTROL_INTERVAL = 0.1  # seconds


class ControlInterval:
    """Tracks the control intervals of one router.

    State: the start of the current interval, which `start_next` advances.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now

    def is_over(self, now: float) -> bool:
        """Whether the current interval is over."""
        return now - self.started_at >= CONTROL_INTERVAL

    def start_next(self, now: float) -> float:
        """Start the next interval; return the length of the last one in seconds."""
        span = now - self.started_at
        self.started_at = now
        return span


def intervals_in(span: float) -> float:
    """Convert seconds to control intervals, so that decay depends on the time that passed."""
    return span / CONTROL_INTERVAL
