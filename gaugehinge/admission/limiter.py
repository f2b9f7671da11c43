"""How many operations may be in hand at once. No I/O.

Additive increase and multiplicative decrease on the loop's measured lag: lag is what shortage of CPU
looks like from inside, whatever part of a core a platform gives, and it shows before operations fail.
Answer times shrink the limit too, but only when they pass what clients were promised: slow servers are
the decision module's matter.
"""

from __future__ import annotations

from collections import deque

TARGET_LAG = 0.02  # of the loop; a wake-up this late still keeps times of a few tens of milliseconds
LAG_DECREASE_FACTOR = 0.75  # of the limit, where the lag is over the aim
LAG_SAMPLES = 6  # the least lag of so many samples counts: a core shared out in slices is late now and then
HIGH_LAG = 0.1  # over this the limit is halved
DECREASE_INTERVAL = (
    0.15  # between two cuts: what was in hand before a cut must have left before it is judged again
)
INCREASE_FRACTION = 0.06  # of the limit, a sample in which it was in use
MIN_INCREASE = 1.0
IN_USE_FRACTION = 0.8  # of the limit: under it nothing is learnt, and the limit stays
TARGET_LATENCY_RATIO = 0.7  # of the promised time that answers may take on the mean
MIN_LIMIT = 48  # with fewer, answers of 30 ms keep a router idle that has CPU left beside turning away


class ConcurrencyLimiter:
    """The limit, and the mode it is in."""

    def __init__(self, max_limit: int, now: float) -> None:
        self.max_limit = max_limit
        self.limit = float(max_limit)
        self.reduced = False
        self.log_messages: list[str] = []  # emptied by the door
        self._next_decrease_at = now
        self._idle_samples = 0
        self._lags: deque[float] = deque(maxlen=LAG_SAMPLES)

    def set_max_limit(self, max_limit: int) -> None:
        """The bound that memory and settings set."""
        self.max_limit = max_limit
        self.limit = min(self.limit, float(max_limit))

    def sample(self, lag: float, in_flight: int, queued: int, latency_ratio: float, now: float) -> None:
        """A look: the loop's lag, operations in hand and waiting, answer times as a part of the promised."""
        # A core shared out in slices of some milliseconds wakes the loop late while it has little to do.
        # Cut by single samples, the limit closed the door at half the load, and the repeats of those
        # turned away did the rest.
        self._lags.append(lag)
        lag = min(self._lags) if len(self._lags) == LAG_SAMPLES else 0.0
        if lag > TARGET_LAG or latency_ratio > TARGET_LATENCY_RATIO:
            self._idle_samples = 0
            if now >= self._next_decrease_at:
                # From what is really in hand: a limit far above it would take many cuts to be felt.
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
            if self._idle_samples > 100:  # five seconds with room to spare: what held it down is over
                self.limit = min(self.limit * 1.1, float(self.max_limit))
        if self.reduced and self.limit >= self.max_limit:
            self._set_reduced(False, lag, latency_ratio)

    def _set_reduced(self, reduced: bool, lag: float, latency_ratio: float) -> None:
        if reduced != self.reduced:
            self.reduced = reduced
            mode = "narrow" if reduced else "wide"
            self.log_messages.append(
                f"door {mode}: limit {self.limit:.0f}, lag {lag:.3f} s, answers {latency_ratio:.2f} of promised"
            )
