"""Leases: permission for a router to act for a limited time, and when that time has certainly ended.

Does no I/O and reads no clock. A router counts a lease from when it *sent* the request that was answered with
the lease, by its own monotonic clock. The control plane counts it from when it *answered*, by its own
monotonic clock. The answer came after the request, and the rates of two clocks differ by no more than
`MAX_CLOCK_DRIFT`, so the router has always stopped before the control plane acts. Nothing here depends on the
time of day.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_CLOCK_DRIFT = 0.01  # maximum relative difference between the rates of two machines' monotonic clocks
EXPIRY_MARGIN = 0.25  # seconds before a lease's end at which a router stops starting actions under it
MAX_RUNS = 4096  # router runs in a lease table; a run beyond this limit is granted no lease


@dataclass(slots=True)
class HeldLease:
    """A router's view of its lease. One object for the life of the router."""

    expires_at: float = 0.0  # by the router's monotonic clock; 0: none was ever granted

    def renew(self, requested_at: float, duration: float) -> None:
        """Adopt a lease of `duration` seconds, granted in response to a request sent at `requested_at`.

        An answer to an older request never shortens what a newer one granted.
        """
        self.expires_at = max(self.expires_at, requested_at + duration * (1.0 - MAX_CLOCK_DRIFT))

    def is_valid(self, now: float) -> bool:
        """Whether an action that needs the lease may be started now.

        Call this before each such action with a fresh clock reading: a process that was stopped for a while
        must not act on an older reading.
        """
        return now < self.expires_at - EXPIRY_MARGIN


@dataclass(slots=True)
class GrantedLease:
    """The control plane's view of the last lease that it granted to one run of a router."""

    granted_at: float  # by the control plane's monotonic clock
    duration: float  # seconds
    revision: int  # of the store, which the router followed when it asked

    def has_expired(self, now: float) -> bool:
        """Whether the router has certainly stopped acting under the lease."""
        return now >= self.granted_at + self.duration * (1.0 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN


class RouterRun(NamedTuple):
    """One run of a router process."""

    router: str
    run: str


@dataclass(slots=True)
class LeaseTable:
    """The leases that one run of the control plane granted. `remove_expired` removes expired entries.

    A control plane that has just started does not know which leases its previous run granted: they may
    still be valid until `max_duration` seconds (plus clock drift) after its start.
    """

    started_at: float  # of this run of the control plane, by its monotonic clock
    max_duration: float  # seconds of the longest lease that any run on this store may have granted
    granted: dict[tuple[str, str], GrantedLease] = field(default_factory=dict)  # by `RouterRun`
    in_flight_grace: float = 0.0  # seconds for which an operation started under a lease may be in flight

    def grant(self, router: str, run: str, revision: int, duration: float, now: float) -> float:
        """Record a lease that is about to be sent; return its duration.

        The duration is 0.0 if the table has no room for the lease, and longer than requested if an earlier
        lease of this run ends later: a granted lease is never shortened.
        """
        router_run = RouterRun(router, run)
        if router_run not in self.granted and not self._has_room(now):
            return 0.0
        duration = min(duration, self.max_duration)
        previous = self.granted.get(router_run)
        if previous is not None:
            revision = max(revision, previous.revision)
            previous_end = previous.granted_at + previous.duration
            if previous_end > now + duration:
                duration = previous_end - now
        self.granted[router_run] = GrantedLease(now, duration, revision)
        return duration

    def _has_room(self, now: float) -> bool:
        if len(self.granted) >= MAX_RUNS:
            self.remove_expired(now)
        return len(self.granted) < MAX_RUNS

    def former_leases_expired(self, now: float) -> bool:
        """Whether all leases granted by previous runs of the control plane have expired."""
        longest = self.max_duration * (1.0 + MAX_CLOCK_DRIFT)
        return now >= self.started_at + longest + EXPIRY_MARGIN + self.in_flight_grace

    def active_before(self, revision: int, now: float) -> list[RouterRun]:
        """Return the router runs that may still act on a state older than `revision`.

        If it is empty and `former_leases_expired` holds, every router that acts follows that revision.
        """
        # Copied in one step, because another thread may use the table at the same time.
        granted = list(self.granted.items())
        return [
            RouterRun(*router_run)
            for router_run, lease in granted
            if lease.revision < revision and not lease.has_expired(now - self.in_flight_grace)
        ]

    def remove_expired(self, now: float) -> None:
        """Remove the expired leases from the table."""
        expired = [
            router_run
            for router_run, lease in self.granted.items()
            if lease.has_expired(now - self.in_flight_grace)
        ]
        for router_run in expired:
            del self.granted[router_run]
