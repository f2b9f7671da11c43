"""What part of a tenant's operations is looked at in full while it is beyond its turn. No I/O.

An operation that waits in vain costs nearly as much as one that is served: it is parsed, queued, looked at
again and answered. So while a tenant has a queue, it gets in only what it is being passed on, and a little
more; the rest is turned away at the first look, the lowest payoff first. With no queue all of it gets in.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp, inf
from zlib import crc32

MEMORY = 0.5  # seconds, for what came and what was passed on
SLACK = 1.3  # times what was passed on of late that is let in: a queue that runs dry wastes its turn
FLOOR = 20.0  # operations a second that each tenant is let in anyhow: let in none, none is passed on
LEAST_ROOM = 1.0  # the same where the router as a whole has no time: of many tenants 20 each are too many
DEEP = 0.02  # seconds that a tenant's queue takes at its pace; a shorter one is let grow


class Tap:
    """Rates by tenant and traffic type, and the part of each that is let in. A fixed number of figures."""

    def __init__(self, tenants: int, payoffs: Sequence[float], seed: int, now: float) -> None:
        rows = len(payoffs)
        self.seed = seed
        self.came = [[0.0] * rows for _ in range(tenants)]  # a second, decayed
        self.passed = [0.0] * tenants
        self.part = [[1.0] * rows for _ in range(tenants)]
        self.closed = [False] * tenants
        self.shut = False  # whether any is
        self.log: list[str] = []  # emptied by the door
        self._by_payoff = sorted(range(rows), key=lambda row: -payoffs[row])
        self._came = [[0] * rows for _ in range(tenants)]
        self._passed = [0] * tenants
        self._at = now
        self._count = 0

    def let_in(self, tenant: int, row: int) -> bool:
        """Whether this one is looked at in full. One that is not has come; the others are told by `come`."""
        part = self.part[tenant][row]
        if part >= 1.0:
            return True
        self._count += 1
        if crc32(b"%d %d" % (self.seed, self._count)) < part * 0x100000000:
            return True
        self._came[tenant][row] += 1
        return False

    def come(self, tenant: int, row: int) -> None:
        """One was looked at in full."""
        self._came[tenant][row] += 1

    def pass_on(self, tenant: int) -> None:
        """One was passed on to the decisions."""
        self._passed[tenant] += 1

    def sample(self, waits: Sequence[float], rooms: Sequence[float], now: float) -> None:
        """Set the parts anew. `waits`: seconds that each tenant's queue takes at its pace, 0 with none;
        `rooms`: operations a second that it may be let in at all, `inf` where nothing bounds them."""
        span = now - self._at
        if span <= 0.0:
            return
        self._at = now
        keep = exp(-span / MEMORY)
        for tenant, wait in enumerate(waits):
            came, counted = self.came[tenant], self._came[tenant]
            for row, count in enumerate(counted):
                came[row] = keep * came[row] + (1.0 - keep) * count / span
                counted[row] = 0
            self.passed[tenant] = keep * self.passed[tenant] + (1.0 - keep) * self._passed[tenant] / span
            self._passed[tenant] = 0
            self._set(tenant, wait, rooms[tenant])

    def _set(self, tenant: int, wait: float, most: float) -> None:
        came, part = self.came[tenant], self.part[tenant]
        room = max(SLACK * self.passed[tenant], FLOOR) if wait > DEEP else inf
        room = min(room, max(most, LEAST_ROOM))
        closed = sum(came) > room
        for row in self._by_payoff:
            part[row] = min(room / came[row], 1.0) if closed and came[row] > 0.0 else 1.0
            room = max(room - came[row], 0.0)
        if closed is not self.closed[tenant]:
            self.closed[tenant] = closed
            mode = "turned down" if closed else "open"
            self.log.append(
                f"tap of line {tenant} {mode}: {sum(came):.0f}/s come, {self.passed[tenant]:.0f}/s go,"
                f" {wait:.3f} s wait"
            )
        self.shut = any(self.closed)
