"""What is wrong with a server at the moment, by script or by seed. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from fnmatch import fnmatchcase
from zlib import crc32

from numpy.random import Generator, default_rng


class Manner(Enum):
    """How an answer goes out."""

    WHOLE = auto()
    NOTHING = auto()  # the line stays open and silent
    HALF = auto()  # half of it, then the end of the line
    SPOILT = auto()  # bytes that are no answer
    TWICE = auto()  # a second copy right behind
    RESET = auto()
    PAUSED = auto()  # half of it, the rest after the server's pause


MANNERS = {
    "mute": Manner.NOTHING,
    "half": Manner.HALF,
    "spoilt": Manner.SPOILT,
    "twice": Manner.TWICE,
    "reset": Manner.RESET,
    "pause_answer": Manner.PAUSED,
}


@dataclass(slots=True, frozen=True)
class Fault:
    """One thing that is wrong."""

    name: str
    until: float
    part: float = 1.0  # of the commands that meet it
    factor: float = 1.0  # of `slow`: how many times slower
    lasts: float = 0.0  # of `pause_answer`: the pause
    router: int = -1  # the only one that meets it, or all


class Faults:
    """The faults of one server; each leaves when its time is over."""

    def __init__(self, seed: int, uid: str) -> None:
        self.draw: Generator = default_rng([seed & 0xFFFFFFFF, crc32(uid.encode())])
        self.active: list[Fault] = []

    def add(self, fault: Fault) -> None:
        self.active.append(fault)

    def clear(self) -> None:
        self.active.clear()

    def _now(self, now: float) -> list[Fault]:
        if any(fault.until <= now for fault in self.active):
            self.active = [fault for fault in self.active if fault.until > now]
        return self.active

    def slowness(self, now: float) -> float:
        """How many times slower it works."""
        slow = 1.0
        for fault in self._now(now):
            if fault.name == "slow":
                slow *= fault.factor
        return slow

    def meets(self, name: str, router: int, now: float) -> Fault | None:
        """The fault of that name that a command of a router meets, if it does."""
        if not self.active:
            return None
        for fault in self._now(now):
            if (
                fault.name == name
                and fault.router in (-1, router)
                and (fault.part >= 1.0 or self.draw.random() < fault.part)
            ):
                return fault
        return None

    def manner(self, router: int, now: float) -> tuple[Manner, Fault | None]:
        """How an answer goes out."""
        if self.active:
            for name, manner in MANNERS.items():
                fault = self.meets(name, router, now)
                if fault is not None:
                    return manner, fault
        return Manner.WHOLE, None


def chosen(who: str, uids: list[str], seed: int, salt: str) -> list[str]:
    """Servers by a pattern (`c-1*`) or as a part of all (`98%`), drawn by the seed; in their order."""
    if who.endswith("%"):
        count = round(float(who[:-1]) / 100.0 * len(uids))
        draw = default_rng([seed & 0xFFFFFFFF, crc32(salt.encode())])
        picked = set(draw.permutation(len(uids))[:count].tolist())
        return [uid for i, uid in enumerate(uids) if i in picked]
    return [uid for uid in uids if any(fnmatchcase(uid, each.strip()) for each in who.split(","))]
