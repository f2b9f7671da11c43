"""What servers hold: values by key, oldest use first out, and marks against repeats. No I/O."""

from __future__ import annotations

from collections import OrderedDict, deque
from zlib import crc32

MISS_KEEP = 5.0  # a miss waits for its fetch for so long, to twice that


class Lru:
    """Versions of values by key, within a size in bytes."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held = 0
        self._values: OrderedDict[bytes, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._values)

    def get(self, key: bytes) -> int | None:
        """The version held, now the one used last."""
        found = self._values.get(key)
        if found is None:
            return None
        self._values.move_to_end(key)
        return found[0]

    def put(self, key: bytes, version: int, size: int) -> None:
        self.drop(key)
        self._values[key] = version, size
        self.held += size
        while self.held > self.most:
            _, (_, gone) = self._values.popitem(last=False)
            self.held -= gone

    def drop(self, key: bytes) -> None:
        found = self._values.pop(key, None)
        if found is not None:
            self.held -= found[1]

    def clear(self) -> None:
        self._values.clear()
        self.held = 0


class Marks:
    """Marks of deduplicated writes that ran; each leaves when its time is over."""

    def __init__(self) -> None:
        self._until: dict[bytes, float] = {}
        self._order: deque[tuple[float, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._until)

    def first(self, mark: bytes, memory: float, now: float) -> bool:
        """Whether a mark is new; it is remembered from here on."""
        while self._order and self._order[0][0] <= now:
            _, old = self._order.popleft()
            if self._until.get(old, now + 1.0) <= now:
                del self._until[old]
        if self._until.get(mark, now) > now:
            return False
        self._until[mark] = now + memory
        self._order.append((now + memory, mark))
        return True


class Misses:
    """Ids that missed, until the origin answered them: it stores the value where they missed."""

    def __init__(self) -> None:
        self._young: dict[bytes, list] = {}
        self._old: dict[bytes, list] = {}
        self._next = 0.0

    def add(self, ident: bytes, server: object, now: float) -> None:
        if now >= self._next:
            self._old, self._young, self._next = self._young, {}, now + MISS_KEEP
        self._young.setdefault(ident, []).append(server)

    def take(self, ident: bytes) -> list:
        return [*self._young.pop(ident, []), *self._old.pop(ident, [])]


def as_if_held(seed: int, uid: str, key: bytes, part: float) -> bool:
    """Whether a server that has served for long holds a key: a fixed draw by server and key."""
    return part > 0 and crc32(key, crc32(uid.encode(), seed & 0xFFFFFFFF)) < part * 0x100000000
