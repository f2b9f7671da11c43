"""Tracks for the control plane which routers may still act on an older placement.

A router counts as following a revision once it has reported that none of its attempts in flight was placed by
an older one. The control plane waits for a router that does not report until its lease has expired
(`tenancy/lease.py`), or, if the router may serve without a lease, until its isolation limit has passed.

No I/O; the clock is passed in.
"""

from __future__ import annotations

from collections.abc import Callable

from ..admin.config import PlacementConfig
from ..tenancy.lease import LeaseTable
from .lifecycle import Stage
from .records import ShardRecord

PREVIOUS_RUN = "a former run of the keeper"  # placeholder for routers that this run has not heard of


class LeaseTracker:
    """The leases and isolation limits that this run of the control plane granted to routers."""

    def __init__(self, lease: float, settings: PlacementConfig, clock: Callable[[], float]) -> None:
        """`lease`: seconds granted with each answer to a router; `clock`: monotonic seconds."""
        self.lease = lease
        self.isolation_limit = float(settings.alone)
        self.clock = clock
        self.history_lost = False  # a router acts on changes that this copy of the store does not have
        started_at, grace = clock(), float(settings.flight)
        self.leases = LeaseTable(started_at, lease, in_flight_grace=grace)
        self.isolation_leases = LeaseTable(started_at, self.isolation_limit, in_flight_grace=grace)

    def renew(self, router: str, run: str, revision: int) -> None:
        """Record that a run of a router has just reported, and up to which revision it follows."""
        now = self.clock()
        self.leases.grant(router, run, revision, self.lease, now)
        self.isolation_leases.grant(router, run, revision, self.isolation_limit, now)

    def is_tracked(self, router: str, run: str) -> bool:
        """Whether a run of a router is recorded. Only then may it be given a lease."""
        return (router, run) in self.leases.granted and (router, run) in self.isolation_leases.granted

    def routers_behind(self, revision: int, without_lease: bool) -> list[str]:
        """Return the names of routers that may still act on a state older than a revision.

        PREVIOUS_RUN comes first, if there may be such routers, then the names in order. `without_lease`:
        include routers that may continue to serve after their lease has expired.
        """
        lease_table, now = self.isolation_leases if without_lease else self.leases, self.clock()
        previous_run = [] if lease_table.former_leases_expired(now) else [PREVIOUS_RUN]
        return previous_run + sorted({router for router, _ in lease_table.active_before(revision, now)})

    def is_confined(self, record: ShardRecord) -> bool:
        """Whether a shard may be reported as confined now.

        When the control plane starts, its store may be an older copy. Routers may then act on placements that
        it does not know, for as long as the leases of the previous run last. Once a router was seen to do so,
        routers that serve without a lease count too.
        """
        lease_table = self.isolation_leases if self.history_lost else self.leases
        return record.stage is Stage.CONFINED and lease_table.former_leases_expired(self.clock())

    def forget_expired(self) -> None:
        """Remove the entries of routers whose leases have expired."""
        self.leases.remove_expired(self.clock())
        self.isolation_leases.remove_expired(self.clock())
