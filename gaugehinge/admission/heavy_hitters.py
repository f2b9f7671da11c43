"""The heaviest clients in bounded memory: space-saving (Metwally, Agrawal, El Abbadi, 2005).

Any client with more than 1/size of the total weight is in the summary; a counted weight is too high by at
most the weight of the entry that it replaced.
"""

from __future__ import annotations


class HeavyHitters:
    """At most `size` names with their weights and possible excess, halved at regular intervals."""

    def __init__(self, size: int, halving_interval: float, now: float) -> None:
        self.size = size
        self.halving_interval = halving_interval
        self._next_halving = now + halving_interval
        self._weights: dict[bytes, list[float]] = {}  # weight, excess at most
        self.total = 0.0

    def __len__(self) -> int:
        return len(self._weights)

    def add(self, name: bytes, weight: float, now: float) -> None:
        """Add weight to a name."""
        if now >= self._next_halving:
            self._halve(now)
        self.total += weight
        entry = self._weights.get(name)
        if entry is not None:
            entry[0] += weight
            return
        if len(self._weights) < self.size:
            self._weights[name] = [weight, 0.0]
            return
        lightest = min(self._weights, key=lambda each: self._weights[each][0])
        lightest_weight = self._weights.pop(lightest)[0]
        self._weights[name] = [lightest_weight + weight, lightest_weight]

    def fraction(self, name: bytes) -> float:
        """The fraction of the total weight that a name has at least."""
        entry = self._weights.get(name)
        return max(entry[0] - entry[1], 0.0) / self.total if entry is not None and self.total else 0.0

    def _halve(self, now: float) -> None:
        """Halve all weights, so that older ones count less, and drop negligible entries."""
        self._next_halving = now + self.halving_interval
        self.total /= 2.0
        for name in list(self._weights):
            entry = self._weights[name]
            entry[0] /= 2.0
            entry[1] /= 2.0
            if entry[0] < 1e-9:
                del self._weights[name]
