"""Bloom filter over the hashes of one connection's replies. Does no I/O.

A Bloom filter has no false negatives, so a duplicate is recognised however late it arrives. A false positive,
a new reply that is taken for an earlier one, costs a fence to establish which request it belongs to. At most
1 in 400 replies is one, a rate reached as the connection nears its maximum number of replies.
"""

from __future__ import annotations

from xxhash import xxh64

FILTER_BITS = 1 << 15  # 4 KiB
INDEX_MASK = FILTER_BITS - 1
INDEX_SHIFTS = (0, 16, 32, 48)  # offsets in bits of the parts of a hash, each an index into the filter
MAX_REPLIES = 2048  # the connection is closed then: with more replies there are too many false positives


class ReplyMemory:
    """Remembers the replies of one connection."""

    __slots__ = ("_bits", "count")

    def __init__(self) -> None:
        """Create an empty memory."""
        self._bits = bytearray()  # allocated with the first reply: many connections carry none
        self.count = 0

    def add(self, *parts: bytes) -> bool:
        """Remember a reply, given in parts; returns whether it may equal an earlier one. False is certain.

        Parts need no copy of a long reply in one piece.
        """
        bits = self._bits
        if not bits:
            bits = self._bits = bytearray(FILTER_BITS // 8)
        self.count += 1
        digest = _digest(parts)
        may_be_known = True
        for shift in INDEX_SHIFTS:
            index = digest >> shift & INDEX_MASK
            bit = 1 << (index & 7)
            if not bits[index >> 3] & bit:
                bits[index >> 3] |= bit
                may_be_known = False
        return may_be_known

    def has(self, reply: bytes) -> bool:
        """Whether a reply may equal an earlier one. False is certain."""
        bits, digest = self._bits, _digest((reply,))
        if not bits:
            return False
        indexes = [digest >> shift & INDEX_MASK for shift in INDEX_SHIFTS]
        return all(bits[index >> 3] & 1 << (index & 7) for index in indexes)

    def is_full(self) -> bool:
        """Whether no further reply should be remembered."""
        return self.count >= MAX_REPLIES


def _digest(parts: tuple[bytes, ...]) -> int:
    state = xxh64()
    for part in parts:
        state.update(part)
    return state.intdigest()
