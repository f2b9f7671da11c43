"""Leases: what a router may do for a stated time after it asked, and when the keeper may count that as over.

No I/O, no clock of its own. A router counts from when it *sent* the question whose answer brought the lease,
by its own monotonic clock; the keeper counts from when it *gave* the answer, by its own. The answer was given
after the question was sent, and clocks run apart by no more than `DRIFT`: so the router has always stopped
before the keeper acts. Nothing here depends on what time it is anywhere.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DRIFT = 0.01  # by which the rates of two machines' monotonic clocks may differ
SLACK = 0.25  # seconds between a lease's end at a router and the last thing that it does under it
RUNS_KEPT = 4096  # runs of routers that a keeper remembers; a further one is given no lease


@dataclass(slots=True)
class Held:
    """A lease as its router has it. One object for the life of the router."""

    until: float = 0.0  # by the router's monotonic clock; 0: none was ever given

    def renew(self, asked_at: float, lease: float) -> None:
        """An answer came to the question that was sent at `asked_at` seconds, with `lease` seconds. An answer
        to an older question never shortens what a newer one brought."""
        self.until = max(self.until, asked_at + lease * (1.0 - DRIFT))

    def good(self, now: float) -> bool:
        """Whether something that is begun now may be begun. Asked before each such thing, by a clock that
        is read at that moment: a process that stood still must not act on an older reading."""
        return now < self.until - SLACK


@dataclass(slots=True)
class Given:
    """What a keeper gave to one run of a router."""

    at: float  # the last answer, by the keeper's monotonic clock
    lease: float  # seconds
    revision: int  # up to which the router said, in its last question, that it follows

    def over(self, now: float) -> bool:
        """Whether the router has certainly stopped acting by it."""
        return now >= self.at + self.lease * (1.0 + DRIFT) + SLACK


@dataclass(slots=True)
class Ledger:
    """The leases that one run of a keeper gave, by router and run.

    A keeper that has just started knows of none that the run before it gave: until `longest` seconds (with
    drift) after its start nothing counts as over. Entries leave when they are over (`sweep`).
    """

    began: float  # when this run of the keeper started, by its monotonic clock
    longest: float  # seconds of the longest lease that any run on this store may have given
    given: dict[tuple[str, str], Given] = field(default_factory=dict)
    grace: float = 0.0  # seconds more, in which what was begun under a lease may still arrive

    def give(self, router: str, run: str, revision: int, lease: float, now: float) -> float:
        """Note a lease that is about to be told; returns it, or 0.0 where there is no room to remember it."""
        lease = min(lease, self.longest)
        if (router, run) not in self.given and len(self.given) >= RUNS_KEPT:
            self.sweep(now)
            if len(self.given) >= RUNS_KEPT:
                return 0.0
        before = self.given.get((router, run))
        if before is not None and before.at + before.lease > now + lease:
            lease = before.at + before.lease - now  # a shorter one does not take back what was told
        self.given[router, run] = Given(now, lease, max(revision, before.revision if before else 0))
        return lease

    def settled(self, now: float) -> bool:
        """Whether all that a former run of the keeper gave is over."""
        return now >= self.began + self.longest * (1.0 + DRIFT) + SLACK + self.grace

    def acting_before(self, revision: int, now: float) -> list[tuple[str, str]]:
        """Runs that may still act by a state older than `revision`. With an empty list, and `settled`, every
        router that acts follows it."""
        return [
            who
            for who, held in list(self.given.items())  # in one step: another thread may be asking
            if held.revision < revision and not held.over(now - self.grace)
        ]

    def sweep(self, now: float) -> None:
        """Forget what is over."""
        for who in [who for who, held in self.given.items() if held.over(now - self.grace)]:
            del self.given[who]
