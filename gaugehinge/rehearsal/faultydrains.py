"""The shipped command with one fault of drains in it, by which plays are tried:
`python -m gaugehinge.rehearsal.faultydrains MODE serve FILE`, or `... MODE keep FILE`.
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Iterable, Mapping
from typing import Any

from ..drains.grants import Grants, Holding, figure
from ..drains.rolls import Due, Roll, Rolls, Step
from ..drains.router import RouterDrains


def trusts() -> None:
    """A router that holds its grant for ever: what a lease is for is gone."""
    Holding.most = lambda self, store, now: figure(self.values or self.floors, store)


def lingers() -> None:
    """A router that hears that it is to end and goes on, until it is told to end at once. No fault of the
    keeper's: it has to deal with it."""
    right = RouterDrains.__post_init__

    def begin(self: RouterDrains) -> None:
        right(self)
        self.end = lambda: None

    RouterDrains.__post_init__ = begin


def hasty() -> None:
    """A keeper that says of a lowered limit at once that it is reached."""
    Grants.reached = lambda self, slots, store, most, now: True


def patient() -> None:
    """A keeper that waits for ever for a node that hangs."""
    Rolls._hung = lambda self, roll, step, span, now, due: step


def apart() -> None:
    """A keeper that plans each roll as if it were alone, with a view of its own of who is out."""
    right = Rolls.plan

    def plan(
        self: Rolls,
        rolls: Iterable[Roll],
        steps: Mapping[str, list[Step]],
        facts: Mapping[str, Mapping[str, Any]],
        *more: Any,
    ) -> Due:
        due = Due()
        for roll in rolls:
            view = VIEWS.setdefault(roll.ident, Rolls())
            view.burn = self.burn
            mine = right(view, [roll], {roll.ident: steps.get(roll.ident, [])}, facts, *more)
            due.rolls |= mine.rolls
            due.steps |= mine.steps
            due.drain += mine.drain
            due.restore += mine.restore
            due.log += mine.log
        return due

    Rolls.plan = plan


VIEWS: dict[str, Rolls] = {}
ROUTERS = {each.__name__: each for each in (trusts, lingers)}
KEEPERS = {each.__name__: each for each in (hasty, patient, apart)}


if __name__ == "__main__":
    {**ROUTERS, **KEEPERS}[sys.argv.pop(1)]()
    runpy.run_module("gaugehinge.cli", run_name="__main__", alter_sys=True)
