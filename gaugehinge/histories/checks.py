"""Checks over a whole history, after the fact. No I/O.

Each is a function of the events in the order of their times and of `Bounds`, and returns breaks; `ALL` names
them. A break says which operation, which parties, when, and the lines that show it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .events import AnyEvent


@dataclass(slots=True, frozen=True)
class Bounds:
    """What the checks allow; wide enough for a busy machine where time is in it."""

    slack: float = 1.0  # seconds after the abandon time in which an answer still counts as in time
    drain: float = 1.0  # seconds after a drain was told in which a new leg is no break
    limits: dict[str, int] | None = None  # connections that each limited store bears
    memory: float = 9.0  # seconds for which a mark is remembered


@dataclass(slots=True, frozen=True)
class Break:
    """One rule that was broken."""

    rule: str  # the check's name
    ident: str  # operation, shard, store or change
    parties: tuple[str, ...]
    began: float
    ended: float
    why: str  # one sentence with figures
    lines: tuple[AnyEvent, ...] = ()


def check(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """Every check of `ALL` over one play."""
    return [found for each in ALL.values() for found in each(history, bounds)]


ALL: dict[str, object] = {}
