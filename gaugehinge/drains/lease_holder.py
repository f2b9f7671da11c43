"""The node's side of a connection lease: how many connections may be open and used now. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..tenancy.lease import HeldLease
from .connection_counts import ConnectionCounts, count_for
from .lease_types import ConnectionLease


@dataclass(slots=True, eq=False)
class LeaseHolder:
    """The lease of one run of a router. All times are seconds of its own monotonic clock."""

    floors: ConnectionCounts
    floors_usable_at: float  # connections of an earlier run may be open until then
    admitted_by: str = ""  # incarnation of the store that admitted this node; empty: none did
    number: int = 0
    issuer: str = ""
    granted: ConnectionCounts = field(default_factory=dict)
    validity: HeldLease = field(default_factory=HeldLease)
    closed: bool = False  # nothing more is opened
    ignored_before: float = float("-inf")  # answers to reports sent earlier than this are too late

    def granted_for_report(self, now: float) -> ConnectionCounts:
        """The grant that a report sent at `now` states; empty once the lease has expired.

        An expired lease that was reported as such is not revived by the answer to an earlier report.
        """
        if self.validity.is_valid(now):
            return dict(self.granted)
        self.ignored_before = now
        return {}

    def accept(self, lease: ConnectionLease, requested_at: float) -> bool:
        """Follow a lease that answers the report sent at `requested_at`; False where it is out of date.

        A lower number is a late answer, or one of a restored store.
        """
        if lease.number < self.number or self.closed or requested_at < self.ignored_before:
            return False
        if (lease.number, lease.issuer) != (self.number, self.issuer):
            self.number, self.issuer, self.granted = lease.number, lease.issuer, dict(lease.granted)
            # The validity of one number says nothing of the next: only this answer's does.
            self.validity = HeldLease()
        if lease.predecessors_closed:
            self.floors_usable_at = float("-inf")
        self.validity.renew(requested_at, lease.duration)
        return True

    def allowed(self, upstream: str, now: float) -> int:
        """Connections to an upstream that may be open and used now."""
        if self.closed:
            return 0
        if self.validity.is_valid(now):
            return count_for(self.granted, upstream)
        floors_usable = self.admitted_by and now >= self.floors_usable_at
        return count_for(self.floors, upstream) if floors_usable else 0
