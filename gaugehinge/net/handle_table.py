"""Tables of numbered slots. A handle names a slot and its generation, so one kept too long finds nothing."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

SLOT_BITS = 20  # a million slots, far over what any limit of ours lets in


class HandleTable(Generic[T]):
    """A table as large as the most items it held at once; slots are used again, newest first."""

    def __init__(self) -> None:
        self._items: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[T]:
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
        """The item, or None where it left its slot."""
        slot = handle & ((1 << SLOT_BITS) - 1)
        if slot >= len(self._items) or self._generations[slot] != handle >> SLOT_BITS:
            return None
        return self._items[slot]

    def remove(self, handle: int) -> T | None:
        """Empty the slot, once: a second removal, or a stale one, does nothing."""
        item = self.get(handle)
        if item is not None:
            slot = handle & ((1 << SLOT_BITS) - 1)
            self._items[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
        return item
