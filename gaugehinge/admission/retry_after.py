"""When a client that is turned away may return, and what repeats may take. No I/O."""

from __future__ import annotations

from zlib import crc32

BUDGET_PART = 0.2  # of first tries that repeats may add while there is not room for all
BUDGET_DEPTH = 10.0  # repeats in store at most
LEAST_TIME = 0.1  # nobody is sent away for less: the way back and forth is most of it
LATER = 2.0  # times as long for a repeat: it was told a time before, and there was no room then


class ComeBack:
    """Times to return and budgets of repeats, a figure a tenant."""

    def __init__(self, longest: float, tenants: int, seed: int) -> None:
        self.longest = longest  # 0: clients are told no time
        self.seed = seed
        self._budget = [BUDGET_DEPTH / 2.0] * (tenants + 1)
        self._count = 0

    def allow(self, tenant: int, repeat: bool) -> bool:
        """Whether a try may wait: a first one always, and earns; a repeat by what first ones earned."""
        if not repeat:
            self._budget[tenant] = min(self._budget[tenant] + BUDGET_PART, BUDGET_DEPTH)
            return True
        if self._budget[tenant] < 1.0:
            return False
        self._budget[tenant] -= 1.0
        return True

    def time(self, wait: float, repeat: bool) -> float:
        """How long to stay away: as long as the queue takes, spread to twice that lest all return at once."""
        if self.longest <= 0.0:
            return 0.0
        self._count += 1
        chance = crc32(b"%d %d" % (self.seed, self._count)) / 0x100000000
        base = max(wait, LEAST_TIME) * (LATER if repeat else 1.0)
        # Cut to the longest before it is spread: many that were cut would all return at that one time.
        return min(base, self.longest / 2.0) * (1.0 + chance)
