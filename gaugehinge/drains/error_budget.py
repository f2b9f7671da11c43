"""How fast lost operations use up what an availability objective leaves."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

SHORT_WINDOW, LONG_WINDOW = 5.0, 30.0  # seconds; the budget has to burn over both
MIN_OPERATIONS = 50  # in a window; fewer say nothing


class Sample(NamedTuple):
    """Operations that ended since the sample before."""

    at: float
    succeeded: int
    lost: int


@dataclass(slots=True)
class ErrorBudget:
    """Operations that succeeded and were lost within the last two long windows."""

    samples: deque[Sample] = field(default_factory=deque)

    def record(self, now: float, succeeded: int, lost: int) -> None:
        """Add what ended since the last call."""
        self.samples.append(Sample(now, succeeded, lost))
        while self.samples[0].at < now - 2 * LONG_WINDOW:
            self.samples.popleft()

    def error_ratio(self, now: float, window: float) -> float:
        """The part that was lost within the last `window` seconds; 0 where too few operations ended."""
        succeeded = lost = 0
        for sample in self.samples:
            if now - window < sample.at <= now:
                succeeded, lost = succeeded + sample.succeeded, lost + sample.lost
        return lost / (succeeded + lost) if succeeded + lost >= MIN_OPERATIONS else 0.0

    def burn_rate(self, now: float, objective: float, baseline: float = 0.0) -> float:
        """By how many times more is lost than the objective leaves, above a baseline error ratio."""
        ratio = min(self.error_ratio(now, SHORT_WINDOW), self.error_ratio(now, LONG_WINDOW))
        return max(ratio - baseline, 0.0) / (1.0 - objective)
