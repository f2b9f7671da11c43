"""The only source of randomness of the decisions: a seed and a counter, so that every run can be replayed.

Draws that must come out alike each time for the same key or server do not come from here in turn but from the
`stable_*` functions, which spread a hash.
"""

from __future__ import annotations

import zlib

CRC_RANGE = 4294967296.0  # CRC-32 values lie below this
HASH_RANGE = float(1 << 64)  # 64-bit hashes lie below this
HASH_MASK = (1 << 64) - 1
MIX_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio: spreads hashes that differ in few bits


class SeededRandom:
    """Random fractions in a fixed order for a seed.

    State: the count of draws. It only grows; all parts of one router share one instance, since the order of
    the draws is part of what a seed replays.
    """

    __slots__ = ("_seed", "drawn")

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self.drawn = 0

    def fraction(self) -> float:
        """Draw a number of at least 0 and below 1."""
        self.drawn += 1
        return zlib.crc32(b"%d:%d" % (self._seed, self.drawn)) / CRC_RANGE


def stable_fraction(hashed: int) -> float:
    """Map a 64-bit hash to a number of at least 0 and below 1, always the same one."""
    return ((hashed * MIX_MULTIPLIER) & HASH_MASK) / HASH_RANGE


def stable_number(hashed: int) -> int:
    """Map a 64-bit hash to a 32-bit number, always the same one."""
    return ((hashed * MIX_MULTIPLIER) & HASH_MASK) >> 32
