"""Operations of all routers between two looks, from the totals that each run reports."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from .messages import RouterReport


class RunTotals(NamedTuple):
    """Operations of one run since its start."""

    run: str
    succeeded: int
    lost: int


class OperationCounts(NamedTuple):
    """Operations that ended."""

    succeeded: int
    lost: int


@dataclass(slots=True)
class OperationCounter:
    """Differences of reported totals, summed over all nodes."""

    totals: dict[str, RunTotals] = field(default_factory=dict)  # by node
    succeeded: int = 0
    lost: int = 0

    def record(self, report: RouterReport, run: str) -> None:
        """Add what ended since the report before; the first one of a run counts for nothing."""
        previous = self.totals.get(report.node)
        if previous is not None and previous.run == run:
            self.succeeded += max(report.succeeded - previous.succeeded, 0)
            self.lost += max(report.lost - previous.lost, 0)
        self.totals[report.node] = RunTotals(run, report.succeeded, report.lost)

    def take(self) -> OperationCounts:
        """What was counted since the last call."""
        counts = OperationCounts(self.succeeded, self.lost)
        self.succeeded = self.lost = 0
        return counts

    def retain(self, nodes: Container[str]) -> None:
        """Drop the totals of all other nodes."""
        for node in [node for node in self.totals if node not in nodes]:
            del self.totals[node]
