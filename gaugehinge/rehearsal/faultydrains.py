"""The shipped command with one fault of drains in it, by which plays are tried:
`python -m gaugehinge.rehearsal.faultydrains MODE serve FILE`, or `... MODE keep FILE`.
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Iterable, Mapping
from typing import Any

from ..drains.connection_counts import count_for
from ..drains.lease_holder import LeaseHolder
from ..drains.lease_manager import LeaseManager
from ..drains.restart_planner import RestartPlanner
from ..drains.restart_records import RestartPlan, RestartStep, RollingRestart
from ..drains.router import DrainsAgent


def trusts() -> None:
    """A router that holds its grant for ever: what a lease is for is gone."""
    LeaseHolder.allowed = lambda self, upstream, now: count_for(self.granted or self.floors, upstream)


def lingers() -> None:
    """A router that hears that it is to end and goes on, until it is told to end at once. No fault of the
    keeper's: it has to deal with it."""
    right = DrainsAgent.__post_init__

    def begin(self: DrainsAgent) -> None:
        right(self)
        self.shut_down = lambda: None

    DrainsAgent.__post_init__ = begin


def hasty() -> None:
    """A keeper that says of a lowered limit at once that it is reached."""
    LeaseManager.limit_enforced = lambda self, records, upstream, limit, now: True


def patient() -> None:
    """A keeper that waits for ever for a node that hangs."""
    RestartPlanner._on_deadline = lambda self, restart, step, span, now, plan: step


def apart() -> None:
    """A keeper that plans each roll as if it were alone, with a view of its own of who is out."""
    right = RestartPlanner.plan

    def plan(
        self: RestartPlanner,
        rolls: Iterable[RollingRestart],
        steps: Mapping[str, list[RestartStep]],
        facts: Mapping[str, Mapping[str, Any]],
        *more: Any,
    ) -> RestartPlan:
        due = RestartPlan()
        for roll in rolls:
            view = VIEWS.setdefault(roll.ident, RestartPlanner())
            view.error_budget = self.error_budget
            mine = right(view, [roll], {roll.ident: steps.get(roll.ident, [])}, facts, *more)
            due.restarts |= mine.restarts
            due.steps |= mine.steps
            due.servers_to_drain += mine.servers_to_drain
            due.servers_to_restore += mine.servers_to_restore
            due.log += mine.log
        return due

    RestartPlanner.plan = plan


VIEWS: dict[str, RestartPlanner] = {}
ROUTERS = {each.__name__: each for each in (trusts, lingers)}
KEEPERS = {each.__name__: each for each in (hasty, patient, apart)}


if __name__ == "__main__":
    {**ROUTERS, **KEEPERS}[sys.argv.pop(1)]()
    runpy.run_module("gaugehinge.cli", run_name="__main__", alter_sys=True)
