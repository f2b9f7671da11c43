"""What one play of one seed came to: the form that all plays give back, and its file.

A play is a module of this package, `{part}play.py`, with

    async def play(seed: int, folder: Path) -> Outcome

`plays.py` runs it by seed, in a process of its own each time. A play whose faults can be taken out one by one
offers two more, by which a broken seed is shrunk:

    def deeds(seed: int) -> list[faultplan.Deed]
    async def play(seed: int, folder: Path, faults: list[Deed] | None = None) -> Outcome
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ..histories.checks import Bounds, Break, check, looked_at, undecided
from ..histories.events import AnyEvent
from ..histories.reading import Reading

OUTCOME = "outcome.json"
SHOWN = "breaks.txt"


@dataclass(slots=True, frozen=True)
class Outcome:
    """One play."""

    breaks: list[Break]
    figures: dict[str, float] = field(default_factory=dict)  # by name, with its unit: `to_90.s`
    undecided: tuple[str, ...] = ()  # one line for each that a bounded search could not decide: no break
    looked_at: dict[str, int] = field(default_factory=dict)  # how many things each check had to look at


def judged(history: list[AnyEvent], bounds: Bounds, figures: dict[str, float] | None = None) -> Outcome:
    """All checks over a play's history, with the play's own figures."""
    reading = Reading.of(history)
    return Outcome(
        check(reading, bounds), figures or {}, tuple(undecided(reading, bounds)), looked_at(reading, bounds)
    )


def write(outcome: Outcome, folder: Path, zero: float = 0.0) -> None:
    """To a play's folder: for the machine, and the breaks for a person, in seconds since `zero`."""
    (folder / OUTCOME).write_bytes(msgspec.json.encode(outcome))
    if outcome.breaks:
        told = "\n\n".join(each.told(zero) for each in outcome.breaks)
        (folder / SHOWN).write_text(told + "\n")


def read(folder: Path) -> Outcome | None:
    """As it was written; None where the play wrote none."""
    path = folder / OUTCOME
    return msgspec.json.decode(path.read_bytes(), type=Outcome) if path.exists() else None
