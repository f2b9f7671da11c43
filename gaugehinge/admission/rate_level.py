"""What each tenant is let in a second while the loop cannot read all that comes. No I/O.

Short of CPU, what waits is what stands unread in the kernel: neither the queue nor the operations in hand
grow, and the loop's lag shows little where a core is shared out in slices. What shows is that passes over
the connections end with some left. Then one level for all tenants, in seconds of CPU a second by weight,
bounds what is let in, and the rest is turned away at the first look. A tenant under the level is not touched.

Turning away takes time too, and no level makes less of it come. So the level is not lowered until the
backlog is gone: it is held where turning away gets its part of the loop's time and serving the rest. A first
build lowered it while the loop was full; at eight times the load that left nothing for serving.

Source of the form: max-min fair shares by one level, as in I. Stoica, S. Shenker, H. Zhang, "Core-Stateless
Fair Queueing" (1998).
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, inf

MEMORY = 0.15  # seconds, for the parts of the loop's time
BACKLOG = 0.5  # part of the passes that end with something left: over it the loop does not keep up
LEAST_PART = 0.12  # of its time that turning away gets then: with less, operations stand unread until lost
ENOUGH_PART = 0.2
CUT = 0.88  # of the level,
CUT_REST = 0.25  # and so long until the next one: a backlog takes its time to go once less is let in
RISE = 1.015  # while there is a backlog, and turning away has its part,
RISE_FREE = 1.04  # and without one
FIRST_CUT = 0.8  # of what the tenant that uses most does, at first
FADE = 0.5  # seconds, for what each tenant uses
OPEN_AFTER = 3.0  # seconds in which the level touched nobody: what made it necessary is over
TOUCH = 1.1  # a tenant that uses less than the level over this is not touched
LEAST = 1e-4  # seconds of CPU a second by weight: the level's floor


class Level:
    """The level, and what each tenant uses; two figures a tenant."""

    def __init__(self, shares: Sequence[float], now: float) -> None:
        self.level = inf
        self.backlog = 0.0
        self.part = 0.0
        self.used = [0.0] * (len(shares) + 1)  # CPU a second, smoothed; the last one: of no known tenant
        self.weights: list[float] = []
        self.share(shares)
        self.log: list[str] = []  # emptied by the door
        self._spent = [0.0] * (len(shares) + 1)
        self._at = now
        self._touched_at = now
        self._rest_until = now

    def share(self, shares: Sequence[float]) -> None:
        """The tenants' shares, at the start and when they change."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        self.weights = [max(share / mean, 0.01) for share in [*shares, mean]]

    def spend(self, tenant: int, cost: float) -> None:
        """An operation of a tenant was let in; `cost` in seconds of CPU."""
        self._spent[tenant] += cost

    def sample(self, left: float, refusing: float, now: float) -> None:
        """A look. `left`: part of the passes since the last one that left something; `refusing`: part of the
        time that turning away at the first look took."""
        span = now - self._at
        if span <= 0.0:
            return
        self._at = now
        learn = 1.0 - exp(-span / MEMORY)
        self.backlog += learn * (left - self.backlog)
        self.part += learn * (refusing - self.part)
        keep = exp(-span / FADE)
        for place, spent in enumerate(self._spent):
            self.used[place] = keep * self.used[place] + (1.0 - keep) * spent / span
            self._spent[place] = 0.0
        highest = max(used / weight for used, weight in zip(self.used, self.weights, strict=True))
        behind = self.backlog > BACKLOG
        if self.level == inf:
            if behind and highest > 0.0:
                self._rest_until = now + CUT_REST
                self._set(FIRST_CUT * highest, now)
            return
        if highest * TOUCH >= self.level:
            self._touched_at = now
        if behind and self.part < LEAST_PART:
            if now >= self._rest_until:
                self._rest_until = now + CUT_REST
                self.level = max(self.level * CUT, LEAST)
        elif not behind:
            self.level *= RISE_FREE
        elif self.part > ENOUGH_PART:
            self.level *= RISE
        if now - self._touched_at > OPEN_AFTER:
            self._set(inf, now)

    def _set(self, level: float, now: float) -> None:
        word = f"{level:.4f} s of CPU a second by weight" if level < inf else "none"
        self.log.append(f"door level {word}: {self.backlog:.2f} of the passes leave something")
        self.level, self._touched_at = level, now

    def room(self, tenant: int) -> float:
        """Seconds of CPU a second that a tenant's operations may use; `inf` while all is let in."""
        return self.level * self.weights[tenant]
