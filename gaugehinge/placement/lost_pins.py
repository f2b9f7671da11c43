"""Pins that a router acted by, and that the control plane's store, an older copy, does not have."""

from __future__ import annotations

from collections.abc import Collection

from loguru import logger
from msgspec.structs import replace

from .affinity import NOWHERE
from .messages import MAX_LOST_PINS, ControlPlaneUpdate, LostPin
from .shard_table import ShardAssignment, ShardKey, ShardTable


class LostPins:
    """Shards that are served nowhere until their tenants have asked anew."""

    def __init__(self) -> None:
        """None is lost at first."""
        self.assignments: dict[ShardKey, ShardAssignment] = {}  # as the table has them: served nowhere
        self.store_revision = 0  # of the older copy, when it was heard of

    def compare(self, table: ShardTable, update: ControlPlaneUpdate, incarnations: Collection[int]) -> None:
        """Find the required pins of this router's table that the store lacks, or has otherwise.

        `incarnations`: of the tenants that exist.
        """
        stored = {assignment.key: assignment for assignment in update.assignments}
        for key, assignment in table.assignments.items():
            affinity = assignment.affinity
            if affinity is None or not affinity.required or key.incarnation not in incarnations:
                continue
            other = stored.get(key)
            if other is None or other.affinity != affinity:
                self.assignments[key] = replace(assignment, affinity=NOWHERE, retries_blocked=True)
        self.store_revision = update.revision
        logger.warning(
            "placement: the control plane's store is an older copy, {} pins lost", len(self.assignments)
        )

    def clear(self) -> None:
        """Forget all: the router follows another store."""
        self.assignments.clear()

    def keep_only(self, incarnations: Collection[int]) -> None:
        """Forget those of tenants that do not exist any more."""
        self.assignments = {
            key: assignment for key, assignment in self.assignments.items() if key.incarnation in incarnations
        }

    def accepts(self, assignment: ShardAssignment) -> bool:
        """Whether an assignment counts: one that is newer than the loss of its shard's pin ends that."""
        if assignment.key not in self.assignments:
            return True
        if assignment.revision <= self.store_revision:
            return False
        del self.assignments[assignment.key]
        return True

    def report(self) -> tuple[LostPin, ...]:
        """What the control plane is told; the rest follows with later reports."""
        return tuple(
            LostPin(assignment.incarnation, assignment.shard, assignment.prefixes, self.store_revision)
            for assignment in list(self.assignments.values())[:MAX_LOST_PINS]
        )
