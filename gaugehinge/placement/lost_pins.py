"""Pins that a router acted on but that the control plane's store, restored from an older copy, lacks."""

from __future__ import annotations

from collections.abc import Collection

from loguru import logger
from msgspec.structs import replace

from .affinity import NOWHERE
from .messages import MAX_LOST_PINS, ControlPlaneUpdate, LostPin
from .shard_table import ShardAssignment, ShardKey, ShardTable


class LostPins:
    """Shards whose pins were lost: not served until their tenants request a placement again."""

    def __init__(self) -> None:
        """Start with no lost pins."""
        self.assignments: dict[ShardKey, ShardAssignment] = {}  # as the table gets them: served nowhere
        self.store_revision = 0  # of the older copy, when this router first heard of it

    def compare(self, table: ShardTable, update: ControlPlaneUpdate, incarnations: Collection[int]) -> None:
        """Find the required pins of this router's table that the store lacks or has with other regions.

        `incarnations`: those of the existing tenants.
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
            "placement: the control plane's store is an older copy; {} pins are lost", len(self.assignments)
        )

    def clear(self) -> None:
        """Forget all lost pins, as the router now follows another store."""
        self.assignments.clear()

    def keep_only(self, incarnations: Collection[int]) -> None:
        """Forget the lost pins of tenants that no longer exist."""
        self.assignments = {
            key: assignment for key, assignment in self.assignments.items() if key.incarnation in incarnations
        }

    def accepts(self, assignment: ShardAssignment) -> bool:
        """Whether to use an assignment.

        One that is newer than the loss of its shard's pin is used, and the pin is no longer counted as lost.
        """
        if assignment.key not in self.assignments:
            return True
        if assignment.revision <= self.store_revision:
            return False
        del self.assignments[assignment.key]
        return True

    def report(self) -> tuple[LostPin, ...]:
        """Return the lost pins for the next report; those beyond MAX_LOST_PINS follow in later reports."""
        return tuple(
            LostPin(assignment.incarnation, assignment.shard, assignment.prefixes, self.store_revision)
            for assignment in list(self.assignments.values())[:MAX_LOST_PINS]
        )
