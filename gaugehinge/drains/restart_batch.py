"""Decides which nodes of a rolling restart may be unavailable at the same time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import msgspec

from .restart_order import RestartOrder
from .restart_records import RestartStep, RollingRestart
from .restart_types import UNAVAILABLE_STAGES, NodeStatus, StepStage

LastOfShard = Callable[[str, frozenset[str]], bool]  # arguments: server, unavailable servers


@dataclass(slots=True, frozen=True)
class Batch:
    """The nodes and steps of one restart, from which the next nodes to notify are chosen."""

    restart: RollingRestart
    steps: dict[str, RestartStep]  # by node; updated in place
    nodes: Mapping[str, NodeStatus]
    unavailable: dict[str, NodeStatus]  # by name; nodes are added as they are notified

    def mark_notified(self, step: RestartStep, node: NodeStatus) -> None:
        """Move the step of a node to NOTIFIED and count the node as unavailable."""
        is_server = self.restart.order.kind == "servers"
        self.steps[step.node] = msgspec.structs.replace(
            step, stage=StepStage.NOTIFIED, run=node.run, drain_ordered=is_server, reason=""
        )
        self.unavailable[step.node] = node


def unavailable_steps_of_other_restarts(
    restart: RollingRestart, restarts: Iterable[RollingRestart], steps: Mapping[str, list[RestartStep]]
) -> list[RestartStep]:
    """Return the steps of other restarts of the same kind of node whose nodes are unavailable."""
    return [
        step
        for other in restarts
        if other.ident != restart.ident and other.order.kind == restart.order.kind
        for step in steps.get(other.ident, ())
        if step.stage in UNAVAILABLE_STAGES
    ]


def unavailable_nodes(
    order: RestartOrder,
    nodes: Mapping[str, NodeStatus],
    own_steps: Mapping[str, RestartStep],
    other_steps: Iterable[RestartStep],
) -> dict[str, NodeStatus]:
    """Return all nodes that count as unavailable for any reason, by name."""
    unavailable = {
        node.name: node
        for node in nodes.values()
        if not node.up or node.draining or node.ready_for < order.warm_up
    }
    for name, step in own_steps.items():
        if step.stage in UNAVAILABLE_STAGES and name in nodes:
            unavailable[name] = nodes[name]
    for step in other_steps:
        # A node notified by a restart that has since been paused or stopped may not have received the
        # notification yet, and so look up. If a later run of the node reports, its own status says whether
        # it is up, whatever the other restart is waiting for.
        node = nodes.get(step.node)
        if node is not None and node.run == step.run:
            unavailable[step.node] = node
    return unavailable


def may_be_unavailable(
    order: RestartOrder,
    node: NodeStatus,
    unavailable: Mapping[str, NodeStatus],
    nodes: Mapping[str, NodeStatus],
    is_last_of_shard: LastOfShard,
) -> bool:
    """Whether a node may be taken out of service in addition to the nodes that are unavailable already."""
    if any(other.zone != node.zone for other in unavailable.values()):
        return False  # never take nodes out in two zones at once
    if not _within_limits(order, node, unavailable):
        return False
    remaining = [other for other in nodes.values() if other.name not in unavailable and other is not node]
    load = sum(other.load for other in nodes.values()) * (1.0 + order.headroom)
    if not remaining or load > sum(other.capacity for other in remaining):
        return False
    return not is_last_of_shard(node.name, frozenset(unavailable) | {node.name})


def _within_limits(order: RestartOrder, node: NodeStatus, unavailable: Mapping[str, NodeStatus]) -> bool:
    in_zone = sum(other.zone == node.zone for other in unavailable.values()) + 1
    if order.max_unavailable_in_zone and in_zone > order.max_unavailable_in_zone:
        return False
    in_region = sum(other.region == node.region for other in unavailable.values()) + 1
    if order.max_unavailable_in_region and in_region > order.max_unavailable_in_region:
        return False
    connections = sum(other.connections for other in unavailable.values()) + node.connections
    return not order.max_unavailable_connections or connections <= order.max_unavailable_connections
