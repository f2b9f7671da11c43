"""Which routers may still act by an older placement, as the control plane counts it.

A router counts as following a revision once it reported that none of its attempts in flight is placed by an
older one. A router that does not report is waited for until its lease is over (`tenancy/lease.py`). Where it
may serve without a lease, it is waited for until its isolation limit is over.

No I/O; the clock is given.
"""

from __future__ import annotations

from collections.abc import Callable

from ..admin.config import PlacementConfig
from ..tenancy.lease import LeaseTable
from .lifecycle import Stage
from .records import ShardRecord

PREVIOUS_RUN = "a former run of the keeper"  # stands for routers that this run has not heard of


class LeaseTracker:
    """The leases and isolation limits that this run of the control plane gave to routers."""

    def __init__(self, lease: float, settings: PlacementConfig, clock: Callable[[], float]) -> None:
        """`lease`: seconds that each answer to a router gives it; `clock`: monotonic seconds."""
        self.lease = lease
        self.isolation_limit = float(settings.alone)
        self.clock = clock
        self.history_lost = False  # a router acts by a history that this copy of the store does not have
        started_at, grace = clock(), float(settings.flight)
        self.leases = LeaseTable(started_at, lease, in_flight_grace=grace)
        self.isolation_leases = LeaseTable(started_at, self.isolation_limit, in_flight_grace=grace)

    def renew(self, router: str, run: str, revision: int) -> None:
        """Note that a run of a router reported now, and up to which revision it follows."""
        now = self.clock()
        self.leases.grant(router, run, revision, self.lease, now)
        self.isolation_leases.grant(router, run, revision, self.isolation_limit, now)

    def is_tracked(self, router: str, run: str) -> bool:
        """Whether a run of a router is remembered: only then may a lease be promised to it."""
        return (router, run) in self.leases.granted and (router, run) in self.isolation_leases.granted

    def routers_behind(self, revision: int, without_lease: bool) -> list[str]:
        """Routers that may still act by a state older than a revision, in the order of their names.

        `without_lease`: count also those that may serve on after their lease is over.
        """
        lease_table, now = self.isolation_leases if without_lease else self.leases, self.clock()
        previous_run = [] if lease_table.former_leases_expired(now) else [PREVIOUS_RUN]
        return previous_run + sorted({router for router, _ in lease_table.active_before(revision, now)})

    def is_confined(self, record: ShardRecord) -> bool:
        """Whether a shard may be called confined now.

        After a start of the control plane its store may be an older copy: routers then act by placements that
        it does not know, for as long as the leases of the previous run last. Where one was seen to, also
        those count that serve without a lease.
        """
        lease_table = self.isolation_leases if self.history_lost else self.leases
        return record.stage is Stage.CONFINED and lease_table.former_leases_expired(self.clock())

    def forget_expired(self) -> None:
        """Drop the entries of routers whose leases are over."""
        self.leases.remove_expired(self.clock())
        self.isolation_leases.remove_expired(self.clock())
