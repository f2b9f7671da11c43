"""Limits how many operations are in flight at once. No I/O.

Additive increase and multiplicative decrease on the measured lag of the event loop: lag is how a shortage of
CPU shows inside the process, whatever part of a core the platform grants, and it shows before operations
fail. Latency lowers the limit too, but only if it exceeds what clients were promised: slow cache servers are
the concern of the decision module.
"""

from __future__ import annotations

from collections import deque

TARGET_LAG = 0.02  # seconds; a wake-up this late still keeps latencies of a few tens of milliseconds
LAG_DECREASE_FACTOR = 0.75  # of the limit, where the lag exceeds the target
# The lowest lag of so many samples counts: on a time-sliced core the loop is late now and then.
LAG_SAMPLES = 6
HIGH_LAG = 0.1  # seconds; above this the limit is halved
# Seconds between two decreases: operations in flight before one must have ended before the next is judged.
DECREASE_INTERVAL = 0.15
INCREASE_FRACTION = 0.06  # of the limit, per sample in which it was in use
MIN_INCREASE = 1.0
IN_USE_FRACTION = 0.8  # of the limit; with fewer in flight nothing is learnt, and the limit stays
TARGET_LATENCY_RATIO = 0.7  # latency as a fraction of the objective, on average
MIN_LIMIT = 48  # with fewer, answers of 30 ms leave a router idle that has CPU to spare beside rejecting


class ConcurrencyLimiter:
    """The limit on operations in flight, and whether it is reduced."""

    def __init__(self, max_limit: int, now: float) -> None:
        self.max_limit = max_limit
        self.limit = float(max_limit)
        self.reduced = False
        self.log_messages: list[str] = []  # emptied by FairAdmissionControl
        self._next_decrease_at = now
        self._idle_samples = 0
        self._lags: deque[float] = deque(maxlen=LAG_SAMPLES)

    def set_max_limit(self, max_limit: int) -> None:
        """Set the bound given by memory and settings."""
        self.max_limit = max_limit
        self.limit = min(self.limit, float(max_limit))

    def sample(self, lag: float, in_flight: int, queued: int, latency_ratio: float, now: float) -> None:
        """Adjust the limit.

        `lag` is the lag of the event loop in seconds, `in_flight` and `queued` are numbers of operations,
        `latency_ratio` is the latency as a fraction of the objective.
        """
        # On a core that is time-sliced every few milliseconds the loop wakes up late while it has little to
        # do. When single samples lowered the limit, operations were rejected at half the load, and the
        # retries of those rejected overloaded the router.
        self._lags.append(lag)
        lag = min(self._lags) if len(self._lags) == LAG_SAMPLES else 0.0
        if lag > TARGET_LAG or latency_ratio > TARGET_LATENCY_RATIO:
            self._idle_samples = 0
            if now >= self._next_decrease_at:
                # From the operations in flight: a limit far above them would take many decreases to have an
                # effect.
                base = min(self.limit, max(float(in_flight), MIN_LIMIT))
                self.limit = max(base * (0.5 if lag > HIGH_LAG else LAG_DECREASE_FACTOR), MIN_LIMIT)
                self._next_decrease_at = now + DECREASE_INTERVAL + lag
                self._set_reduced(True, lag, latency_ratio)
        elif queued or in_flight >= IN_USE_FRACTION * self.limit:
            self.limit = min(
                self.limit + max(MIN_INCREASE, INCREASE_FRACTION * self.limit), float(self.max_limit)
            )
        else:
            self._idle_samples += 1
            # Five seconds with capacity to spare: the cause of the decrease is over.
            if self._idle_samples > 100:
                self.limit = min(self.limit * 1.1, float(self.max_limit))
        if self.reduced and self.limit >= self.max_limit:
            self._set_reduced(False, lag, latency_ratio)

    def _set_reduced(self, reduced: bool, lag: float, latency_ratio: float) -> None:
        if reduced != self.reduced:
            self.reduced = reduced
            mode = "narrow" if reduced else "wide"
            self.log_messages.append(
                f"admission limit {mode}: {self.limit:.0f} in flight, loop lag {lag:.3f} s,"
                f" latency {latency_ratio:.2f} of objective"
            )
