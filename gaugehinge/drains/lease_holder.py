"""The node's side of a connection lease: how many connections may be open and in use. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..tenancy.lease import HeldLease
from .connection_counts import ConnectionCounts, count_for
from .lease_types import ConnectionLease


@dataclass(slots=True, eq=False)
class LeaseHolder:
    """The connection lease of one router run. All times are seconds of the router's monotonic clock."""

    floors: ConnectionCounts
    floors_usable_at: float  # until then connections of an earlier run may be open
    admitted_by: str = ""  # incarnation of the store that admitted this node; empty if none did
    number: int = 0
    issuer: str = ""
    granted: ConnectionCounts = field(default_factory=dict)
    validity: HeldLease = field(default_factory=HeldLease)
    closed: bool = False  # no more connections are opened
    ignored_before: float = float("-inf")  # replies to reports sent before this time are ignored

    def granted_for_report(self, now: float) -> ConnectionCounts:
        """Return the grant to state in a report sent at `now`; empty once the lease has expired.

        Once a report has stated an expired lease, late replies to earlier reports can no longer renew it.
        """
        if self.validity.is_valid(now):
            return dict(self.granted)
        self.ignored_before = now
        return {}

    def accept(self, lease: ConnectionLease, requested_at: float) -> bool:
        """Adopt the lease in the reply to the report sent at `requested_at`; False if it is out of date.

        A lower lease number comes from a late reply or from a restored store.
        """
        if lease.number < self.number or self.closed or requested_at < self.ignored_before:
            return False
        if (lease.number, lease.issuer) != (self.number, self.issuer):
            self.number, self.issuer, self.granted = lease.number, lease.issuer, dict(lease.granted)
            # Validity does not carry over to another lease number: only this reply gives it.
            self.validity = HeldLease()
        if lease.predecessors_closed:
            self.floors_usable_at = float("-inf")
        self.validity.renew(requested_at, lease.duration)
        return True

    def allowed(self, upstream: str, now: float) -> int:
        """Return how many connections to an upstream may be open and in use at `now`."""
        if self.closed:
            return 0
        if self.validity.is_valid(now):
            return count_for(self.granted, upstream)
        floors_usable = self.admitted_by and now >= self.floors_usable_at
        return count_for(self.floors, upstream) if floors_usable else 0
