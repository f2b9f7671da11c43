"""When a client that is turned away may return, and what repeats may take. No I/O."""

from __future__ import annotations

from zlib import crc32

RETRY_BUDGET_RATIO = 0.2  # of first tries that repeats may add while there is not room for all
MAX_RETRY_BUDGET = 10.0  # repeats in store at most
MIN_DELAY = 0.1  # nobody is sent away for less: the way back and forth is most of it
RETRY_DELAY_FACTOR = 2.0  # times as long for a repeat: it was told a time before, and there was no room then


class RetryAfter:
    """Times to return and budgets of repeats, a figure a tenant."""

    def __init__(self, max_delay: float, tenants: int, seed: int) -> None:
        self.max_delay = max_delay  # 0: clients are told no time
        self.seed = seed
        self._budget = [MAX_RETRY_BUDGET / 2.0] * (tenants + 1)
        self._draws = 0

    def allow(self, tenant: int, is_retry: bool) -> bool:
        """Whether a try may wait: a first one always, and earns; a repeat by what first ones earned."""
        if not is_retry:
            self._budget[tenant] = min(self._budget[tenant] + RETRY_BUDGET_RATIO, MAX_RETRY_BUDGET)
            return True
        if self._budget[tenant] < 1.0:
            return False
        self._budget[tenant] -= 1.0
        return True

    def delay(self, expected_wait: float, is_retry: bool) -> float:
        """How long to stay away: as long as the queue takes, spread to twice that lest all return at once."""
        if self.max_delay <= 0.0:
            return 0.0
        self._draws += 1
        jitter = crc32(b"%d %d" % (self.seed, self._draws)) / 0x100000000
        base = max(expected_wait, MIN_DELAY) * (RETRY_DELAY_FACTOR if is_retry else 1.0)
        # Cut to the longest before it is spread: many that were cut would all return at that one time.
        return min(base, self.max_delay / 2.0) * (1.0 + jitter)
