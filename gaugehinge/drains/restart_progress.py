"""Derives the stage of a node that is out of service from its status."""

from __future__ import annotations

import msgspec

from .restart_records import RestartStep, RollingRestart
from .restart_types import NodeStatus, StepStage


def with_observed_stage(restart: RollingRestart, step: RestartStep, node: NodeStatus | None) -> RestartStep:
    """Return the step of a node that is out of service, with the stage that the node's status shows."""
    stage = step.stage
    if node is not None and node.up and node.run != step.run and _is_intended_build(restart, node):
        warm = step.stage == StepStage.WARMING_UP and node.ready_for >= restart.order.warm_up
        stage = StepStage.DONE if warm else StepStage.WARMING_UP
    elif step.stage == StepStage.WARMING_UP or (
        step.stage != StepStage.DOWN and (node is None or not node.up)
    ):
        stage = StepStage.DOWN
    elif step.stage == StepStage.NOTIFIED and restart.order.kind == "servers" and node and node.drained:
        stage = StepStage.DRAINED
    return msgspec.structs.replace(step, stage=stage)


def _is_intended_build(restart: RollingRestart, node: NodeStatus) -> bool:
    if not restart.order.build:
        return True
    return (node.build == restart.order.build) is not restart.reverting
