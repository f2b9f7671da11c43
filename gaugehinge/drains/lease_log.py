"""Log messages for changes of a node's lease mode."""

from __future__ import annotations

from dataclasses import dataclass, field

from loguru import logger

from .lease_table import LeaseTable
from .lease_types import NodeRecord


@dataclass(slots=True)
class LeaseLog:
    """The mode last logged for each node. Entries are removed when nodes leave the lease table."""

    modes: dict[str, str] = field(default_factory=dict)  # by node
    misreporting: set[str] = field(default_factory=set)

    def log_changes(self, changed: dict[str, NodeRecord], leases: LeaseTable) -> None:
        """Log each node whose mode changed, and each that newly misreports closed connections."""
        for node, record in changed.items():
            mode = _mode(record)
            if self.modes.get(node) != mode:
                self.modes[node] = mode
                counts = record.granted or record.floors
                logger.info("node {} {}: lease number {}, connections {}", node, mode, record.number, counts)
        for node in leases.misreporting - self.misreporting:
            logger.warning("node {} reported all connections closed but has connections open", node)
        self.misreporting = set(leases.misreporting)
        for node in [node for node in self.modes if node not in leases.reports and node not in changed]:
            del self.modes[node]


def _mode(record: NodeRecord) -> str:
    if record.closed:
        return "closed"
    return "granted" if record.granted else "at its floor"
