"""Operator actions on a rolling restart: pause, resume, cancel and roll back."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .restart_order import InvalidOrderError
from .restart_records import RestartStep, RollingRestart
from .restart_types import FINAL_STAGES, FINAL_STATUSES, RestartStatus, StepStage


class RestartChange(NamedTuple):
    """The updated restart, the steps that change, and the servers whose drain orders are withdrawn."""

    restart: RollingRestart
    steps: list[RestartStep]
    servers_to_restore: list[str]


def pause(restart: RollingRestart, steps: list[RestartStep]) -> RestartChange:
    """Notify no further nodes. Raises InvalidOrderError if the restart has ended."""
    _require_unfinished(restart)
    paused = msgspec.structs.replace(restart, status=RestartStatus.PAUSED, reason="")
    return RestartChange(paused, [], [])


def resume(restart: RollingRestart, steps: list[RestartStep]) -> RestartChange:
    """Put a paused or stopped restart back in the queue. Raises InvalidOrderError if it has ended."""
    _require_unfinished(restart)
    if restart.status not in (RestartStatus.QUEUED, RestartStatus.RUNNING):
        restart = msgspec.structs.replace(restart, status=RestartStatus.QUEUED, reason="")
    return RestartChange(restart, [], [])


def cancel(restart: RollingRestart, steps: list[RestartStep]) -> RestartChange:
    """Cancel the restart: skip its unfinished nodes and withdraw its drain orders.

    Nodes that are out of service come back by themselves. Raises InvalidOrderError if the restart is done.
    """
    if restart.status == RestartStatus.DONE:
        raise InvalidOrderError("the roll is done", "status")
    unfinished = [step for step in steps if step.stage not in FINAL_STAGES]
    cancelled = msgspec.structs.replace(restart, status=RestartStatus.CANCELLED)
    return _with_steps_skipped(cancelled, unfinished, "cancelled")


def roll_back(restart: RollingRestart, steps: list[RestartStep]) -> RestartChange:
    """Restart the nodes that are done once more, and leave those that have not been restarted as they are.

    Waiting nodes are skipped, and so are servers that were ordered to drain but are not drained yet. A
    restart that is being rolled back already does not change. Raises InvalidOrderError if the restart is
    cancelled.
    """
    if restart.reverting:
        return RestartChange(restart, [], [])
    if restart.status == RestartStatus.CANCELLED:
        raise InvalidOrderError("the roll is cancelled", "status")
    reverting = msgspec.structs.replace(restart, status=RestartStatus.QUEUED, reverting=True, reason="")
    changed_steps, servers_to_restore = [], []
    for step in steps:
        if step.stage == StepStage.DONE:
            changed_steps.append(
                msgspec.structs.replace(step, stage=StepStage.WAITING, run="", immediate=False)
            )
        elif step.stage == StepStage.WAITING or (step.drain_ordered and step.stage == StepStage.NOTIFIED):
            if step.drain_ordered:
                servers_to_restore.append(step.node)
            changed_steps.append(_skipped(step, "not begun"))
    return RestartChange(reverting, changed_steps, servers_to_restore)


def _require_unfinished(restart: RollingRestart) -> None:
    if restart.status in FINAL_STATUSES:
        raise InvalidOrderError(f"the roll is {restart.status}", "status")


def _with_steps_skipped(restart: RollingRestart, steps: list[RestartStep], reason: str) -> RestartChange:
    servers_to_restore = [step.node for step in steps if step.drain_ordered]
    return RestartChange(restart, [_skipped(step, reason) for step in steps], servers_to_restore)


def _skipped(step: RestartStep, reason: str) -> RestartStep:
    return msgspec.structs.replace(step, stage=StepStage.SKIPPED, drain_ordered=False, reason=reason)
