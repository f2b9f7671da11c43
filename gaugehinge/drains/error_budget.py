"""Measures how fast lost operations use up the error budget of an availability objective."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

SHORT_WINDOW, LONG_WINDOW = 5.0, 30.0  # seconds; the burn rate has to be high over both
MIN_OPERATIONS = 50  # in a window; fewer are too few for an error ratio


class Sample(NamedTuple):
    """Operations that ended since the previous sample."""

    at: float
    succeeded: int
    lost: int


@dataclass(slots=True)
class ErrorBudget:
    """Counts of operations that succeeded or were lost within the last two long windows."""

    samples: deque[Sample] = field(default_factory=deque)

    def record(self, now: float, succeeded: int, lost: int) -> None:
        """Add the operations that ended since the last call, at monotonic time `now`."""
        self.samples.append(Sample(now, succeeded, lost))
        while self.samples[0].at < now - 2 * LONG_WINDOW:
            self.samples.popleft()

    def error_ratio(self, now: float, window: float) -> float:
        """Return the fraction of operations lost within the last `window` seconds; 0 if too few ended."""
        succeeded = lost = 0
        for sample in self.samples:
            if now - window < sample.at <= now:
                succeeded, lost = succeeded + sample.succeeded, lost + sample.lost
        return lost / (succeeded + lost) if succeeded + lost >= MIN_OPERATIONS else 0.0

    def burn_rate(self, now: float, objective: float, baseline: float = 0.0) -> float:
        """Return the error ratio above `baseline`, as a multiple of the ratio that the objective allows.

        The ratio is the lower one of the short and the long window.
        """
        ratio = min(self.error_ratio(now, SHORT_WINDOW), self.error_ratio(now, LONG_WINDOW))
        return max(ratio - baseline, 0.0) / (1.0 - objective)
