"""Counts operations of all routers between two reads, from the running totals that each run reports."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field
from typing import NamedTuple

from .messages import RouterReport


class RunTotals(NamedTuple):
    """Operations of one run since it started."""

    run: str
    succeeded: int
    lost: int


class OperationCounts(NamedTuple):
    """Operations that ended between two calls of `OperationCounter.take`."""

    succeeded: int
    lost: int


@dataclass(slots=True)
class OperationCounter:
    """Sums the increases of the reported totals over all nodes."""

    totals: dict[str, RunTotals] = field(default_factory=dict)  # by node
    succeeded: int = 0
    lost: int = 0

    def record(self, report: RouterReport, run: str) -> None:
        """Add the operations that ended since the node's last report; a run's first report adds nothing."""
        previous = self.totals.get(report.node)
        if previous is not None and previous.run == run:
            self.succeeded += max(report.succeeded - previous.succeeded, 0)
            self.lost += max(report.lost - previous.lost, 0)
        self.totals[report.node] = RunTotals(run, report.succeeded, report.lost)

    def take(self) -> OperationCounts:
        """Return the counts since the last call, and reset them."""
        counts = OperationCounts(self.succeeded, self.lost)
        self.succeeded = self.lost = 0
        return counts

    def retain(self, nodes: Container[str]) -> None:
        """Drop the totals of all nodes that are not in `nodes`."""
        for node in [node for node in self.totals if node not in nodes]:
            del self.totals[node]
