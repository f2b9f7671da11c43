"""When clients of rejected operations may retry, and the budget of retries. No I/O."""

from __future__ import annotations

from zlib import crc32

RETRY_BUDGET_RATIO = 0.2  # retries allowed per first attempt while there is not capacity for all
MAX_RETRY_BUDGET = 10.0  # stored retries at most
MIN_DELAY = 0.1  # seconds; with less, the round trip would be most of the delay
# Factor on the delay of a retry: it was told a delay before, and there was no capacity then.
RETRY_DELAY_FACTOR = 2.0


class RetryAfter:
    """Retry delays, and a retry budget for each tenant."""

    def __init__(self, max_delay: float, tenants: int, seed: int) -> None:
        self.max_delay = max_delay  # seconds; 0: clients are told no delay
        self.seed = seed
        self._budget = [MAX_RETRY_BUDGET / 2.0] * (tenants + 1)
        self._draws = 0

    def allow(self, tenant: int, is_retry: bool) -> bool:
        """Whether an operation may be queued.

        First attempts always may, and earn budget; retries spend what first attempts have earned.
        """
        if not is_retry:
            self._budget[tenant] = min(self._budget[tenant] + RETRY_BUDGET_RATIO, MAX_RETRY_BUDGET)
            return True
        if self._budget[tenant] < 1.0:
            return False
        self._budget[tenant] -= 1.0
        return True

    def delay(self, expected_wait: float, is_retry: bool) -> float:
        """Seconds until the client may retry: the expected wait.

        It is spread to up to twice that, so that not all clients return at once.
        """
        if self.max_delay <= 0.0:
            return 0.0
        self._draws += 1
        jitter = crc32(b"%d %d" % (self.seed, self._draws)) / 0x100000000
        base = max(expected_wait, MIN_DELAY) * (RETRY_DELAY_FACTOR if is_retry else 1.0)
        # Capped before the jitter: otherwise many capped delays would end at the same time.
        return min(base, self.max_delay / 2.0) * (1.0 + jitter)
