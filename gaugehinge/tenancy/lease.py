"""Leases: what a router may do for a stated time after it asked, and when the keeper may count that as over.

No I/O, no clock of its own. A router counts from when it *sent* the question whose answer brought the lease,
by its own monotonic clock; the keeper counts from when it *gave* the answer, by its own. The answer was given
after the question was sent, and clocks run apart by no more than `MAX_CLOCK_DRIFT`: so the router has always
stopped before the keeper acts. Nothing here depends on what time it is anywhere.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_CLOCK_DRIFT = 0.01  # by which the rates of two machines' monotonic clocks may differ
EXPIRY_MARGIN = 0.25  # seconds between a lease's end at a router and the last thing that it does under it
MAX_RUNS = 4096  # runs of routers that a keeper remembers; a further one is given no lease


@dataclass(slots=True)
class HeldLease:
    """A lease as its router has it. One object for the life of the router."""

    expires_at: float = 0.0  # by the router's monotonic clock; 0: none was ever given

    def renew(self, asked_at: float, lease: float) -> None:
        """An answer came to the question that was sent at `asked_at` seconds, with `lease` seconds. An answer
        to an older question never shortens what a newer one brought."""
        self.expires_at = max(self.expires_at, asked_at + lease * (1.0 - MAX_CLOCK_DRIFT))

    def is_valid(self, now: float) -> bool:
        """Whether something that is begun now may be begun. Asked before each such thing, by a clock that
        is read at that moment: a process that stood still must not act on an older reading."""
        return now < self.expires_at - EXPIRY_MARGIN


@dataclass(slots=True)
class GrantedLease:
    """What a keeper gave to one run of a router."""

    granted_at: float  # the last answer, by the keeper's monotonic clock
    duration: float  # seconds
    revision: int  # up to which the router said, in its last question, that it follows

    def has_expired(self, now: float) -> bool:
        """Whether the router has certainly stopped acting by it."""
        return now >= self.granted_at + self.duration * (1.0 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN


@dataclass(slots=True)
class LeaseTable:
    """The leases that one run of a keeper gave, by router and run.

    A keeper that has just started knows of none that the run before it gave: until `max_duration` seconds
    (with drift) after its start nothing counts as over. Entries leave when they are over (`remove_expired`).
    """

    started_at: float  # when this run of the keeper started, by its monotonic clock
    max_duration: float  # seconds of the longest lease that any run on this store may have given
    granted: dict[tuple[str, str], GrantedLease] = field(default_factory=dict)
    in_flight_grace: float = 0.0  # seconds more, in which what was begun under a lease may still arrive

    def grant(self, router: str, run: str, revision: int, lease: float, now: float) -> float:
        """Note a lease that is about to be told; returns it, or 0.0 where there is no room to remember it."""
        lease = min(lease, self.max_duration)
        if (router, run) not in self.granted and len(self.granted) >= MAX_RUNS:
            self.remove_expired(now)
            if len(self.granted) >= MAX_RUNS:
                return 0.0
        before = self.granted.get((router, run))
        if before is not None and before.granted_at + before.duration > now + lease:
            lease = (
                before.granted_at + before.duration - now
            )  # a shorter one does not take back what was told
        self.granted[router, run] = GrantedLease(now, lease, max(revision, before.revision if before else 0))
        return lease

    def former_leases_expired(self, now: float) -> bool:
        """Whether all that a former run of the keeper gave is over."""
        return (
            now
            >= self.started_at
            + self.max_duration * (1.0 + MAX_CLOCK_DRIFT)
            + EXPIRY_MARGIN
            + self.in_flight_grace
        )

    def active_before(self, revision: int, now: float) -> list[tuple[str, str]]:
        """Runs that may still act by a state older than `revision`. With an empty list, and
        `former_leases_expired`, every router that acts follows it."""
        return [
            who
            for who, held in list(self.granted.items())  # in one step: another thread may be asking
            if held.revision < revision and not held.has_expired(now - self.in_flight_grace)
        ]

    def remove_expired(self, now: float) -> None:
        """Forget what is over."""
        for who in [
            who for who, held in self.granted.items() if held.has_expired(now - self.in_flight_grace)
        ]:
            del self.granted[who]
