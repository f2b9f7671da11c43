"""Tables of items by handle.

A handle names a slot and the slot's generation, so that a handle kept for too long finds nothing.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

SLOT_BITS = 20  # a million slots, far more than any limit of a router lets in
SLOT_MASK = (1 << SLOT_BITS) - 1


class HandleTable(Generic[T]):
    """A table as large as the most items that it held at once. Free slots are used again, newest first."""

    def __init__(self) -> None:
        """An empty table."""
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        """How many items the table holds."""
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """The items as they are now: the table may change meanwhile."""
        return iter([item for item in self._items if item is not None])

    def add(self, item: T) -> int:
        """Put an item in; returns its handle."""
        if self._free:
            slot = self._free.pop()
            self._items[slot] = item
        else:
            slot = len(self._items)
            self._items.append(item)
            self._generations.append(0)
        return self._generations[slot] << SLOT_BITS | slot

    def get(self, handle: int) -> T | None:
        """The item, or None where it was removed."""
        slot = handle & SLOT_MASK
        if slot >= len(self._items) or self._generations[slot] != handle >> SLOT_BITS:
            return None
        return self._items[slot]

    def remove(self, handle: int) -> T | None:
        """Take an item out and return it; with a stale handle nothing happens, and the result is None."""
        item = self.get(handle)
        if item is not None:
            slot = handle & SLOT_MASK
            self._items[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
        return item
