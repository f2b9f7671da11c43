"""Table of items by handle.

A handle consists of a slot and the slot's generation, so that a stale handle finds nothing.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

SLOT_BITS = 20  # a million slots, far more than any limit of a router allows
SLOT_MASK = (1 << SLOT_BITS) - 1


class HandleTable(Generic[T]):
    """A table as large as its maximum number of items so far. Free slots are reused, last freed first."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        """Number of items in the table."""
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """Iterate over a snapshot of the items, so the table may change during the iteration."""
        return iter([item for item in self._items if item is not None])

    def add(self, item: T) -> int:
        """Add an item; returns its handle."""
        if self._free:
            slot = self._free.pop()
            self._items[slot] = item
        else:
            slot = len(self._items)
            self._items.append(item)
            self._generations.append(0)
        return self._generations[slot] << SLOT_BITS | slot

    def get(self, handle: int) -> T | None:
        """Return the item, or None if it was removed."""
        slot = handle & SLOT_MASK
        if slot >= len(self._items) or self._generations[slot] != handle >> SLOT_BITS:
            return None
        return self._items[slot]

    def remove(self, handle: int) -> T | None:
        """Remove and return an item; with a stale handle, do nothing and return None."""
        item = self.get(handle)
        if item is not None:
            slot = handle & SLOT_MASK
            self._items[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
        return item
