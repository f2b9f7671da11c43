"""What one play of one seed came to: the form that all plays give back. No I/O.

A play is a module of this package with `async def play(seed: int, folder: Path) -> Outcome`; `plays.py` runs
them by seed in processes of their own.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ..histories.checks import Break


@dataclass(slots=True, frozen=True)
class Outcome:
    """One play."""

    breaks: list[Break]
    figures: dict[str, float] = field(default_factory=dict)  # by name, with its unit: `to_90.s`
    undecided: tuple[str, ...] = ()  # one line for each that a bounded search could not decide: no break
