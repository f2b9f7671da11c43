"""The only source of randomness of the routing decisions: a seed and a counter, so that runs can be replayed.

Values that must be the same each time for the same key or server are not drawn from this sequence: the
`stable_*` functions derive them from a hash.
"""

from __future__ import annotations

import zlib

CRC_RANGE = 4294967296.0  # CRC-32 values lie below this
HASH_RANGE = float(1 << 64)  # 64-bit hashes lie below this
HASH_MASK = (1 << 64) - 1
# 2**64 divided by the golden ratio, as in Fibonacci hashing: spreads hashes that differ in few bits.
MIX_MULTIPLIER = 0x9E3779B97F4A7C15


class SeededRandom:
    """A sequence of random fractions that is determined by the seed.

    State: the number of draws, which only grows. All parts of a router share one instance, because a replay
    depends on the order of the draws.
    """

    __slots__ = ("_seed", "drawn")

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self.drawn = 0

    def fraction(self) -> float:
        """Draw a number in [0, 1)."""
        self.drawn += 1
        return zlib.crc32(b"%d:%d" % (self._seed, self.drawn)) / CRC_RANGE


def stable_fraction(hashed: int) -> float:
    """Map a 64-bit hash to a number in [0, 1), the same one each time."""
    return ((hashed * MIX_MULTIPLIER) & HASH_MASK) / HASH_RANGE


def stable_number(hashed: int) -> int:
    """Map a 64-bit hash to a 32-bit number, the same one each time."""
    return ((hashed * MIX_MULTIPLIER) & HASH_MASK) >> 32
