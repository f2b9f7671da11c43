"""How many operations may be in hand at once. No I/O.

Additive increase and multiplicative decrease on the loop's measured lag: lag is what shortage of CPU
looks like from inside, whatever part of a core a platform gives, and it shows before operations fail.
Answer times shrink the limit too, but only when they pass what clients were promised: slow servers are
the decision module's matter.
"""

from __future__ import annotations

from collections import deque

LAG_AIM = 0.02  # of the loop; a wake-up this late still keeps times of a few tens of milliseconds
LAG_CUT = 0.75  # of the limit, where the lag is over the aim
LOOKS = 6  # the least lag of so many samples counts: a core shared out in slices is late now and then
DEEP_LAG = 0.1  # over this the limit is halved
CUT_REST = 0.15  # between two cuts: what was in hand before a cut must have left before it is judged again
RISE = 0.06  # of the limit, a sample in which it was in use
RISE_LEAST = 1.0
USED = 0.8  # of the limit: under it nothing is learnt, and the limit stays
LATE_AIM = 0.7  # of the promised time that answers may take on the mean
FLOOR = 48  # with fewer, answers of 30 ms keep a router idle that has CPU left beside turning away


class Limiter:
    """The limit, and the mode it is in."""

    def __init__(self, most: int, now: float) -> None:
        self.most = most
        self.limit = float(most)
        self.cutting = False
        self.log: list[str] = []  # emptied by the door
        self._rest_until = now
        self._calm = 0
        self._lags: deque[float] = deque(maxlen=LOOKS)

    def set_most(self, most: int) -> None:
        """The bound that memory and settings set."""
        self.most = most
        self.limit = min(self.limit, float(most))

    def sample(self, lag: float, in_hand: int, waiting: int, lateness: float, now: float) -> None:
        """A look: the loop's lag, operations in hand and waiting, answer times as a part of the promised."""
        # A core shared out in slices of some milliseconds wakes the loop late while it has little to do.
        # Cut by single samples, the limit closed the door at half the load, and the repeats of those
        # turned away did the rest.
        self._lags.append(lag)
        lag = min(self._lags) if len(self._lags) == LOOKS else 0.0
        if lag > LAG_AIM or lateness > LATE_AIM:
            self._calm = 0
            if now >= self._rest_until:
                # From what is really in hand: a limit far above it would take many cuts to be felt.
                base = min(self.limit, max(float(in_hand), FLOOR))
                self.limit = max(base * (0.5 if lag > DEEP_LAG else LAG_CUT), FLOOR)
                self._rest_until = now + CUT_REST + lag
                self._enter(True, lag, lateness)
        elif waiting or in_hand >= USED * self.limit:
            self.limit = min(self.limit + max(RISE_LEAST, RISE * self.limit), float(self.most))
        else:
            self._calm += 1
            if self._calm > 100:  # five seconds with room to spare: what held it down is over
                self.limit = min(self.limit * 1.1, float(self.most))
        if self.cutting and self.limit >= self.most:
            self._enter(False, lag, lateness)

    def _enter(self, cutting: bool, lag: float, lateness: float) -> None:
        if cutting != self.cutting:
            self.cutting = cutting
            word = "narrow" if cutting else "wide"
            self.log.append(
                f"door {word}: limit {self.limit:.0f}, lag {lag:.3f} s, answers {lateness:.2f} of promised"
            )
