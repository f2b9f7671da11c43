"""Reads and writes items of connection leases and rolling restarts in the control plane's store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Generic, TypeVar

import msgspec

from ..admin.records import SERVER_ORDER_KIND
from ..store.records import Mutation, encode
from ..store.store import Store
from .connection_counts import ConnectionCounts
from .lease_types import DurableState, NodeRecord
from .restart_order import MAX_NODES
from .restart_records import RestartPlan, RestartStep, RollingRestart
from .restart_types import FINAL_STATUSES

# Item kinds, and the identifier of the only item of kind STATE.
LIMIT = "drains-limit"
NODE = "drains-node"
STATE = "drains-ground"
RESTART = "drains-roll"
STEP = "drains-step"
STATE_IDENT = "ground"


RecordT = TypeVar("RecordT")


class LimitRecord(msgspec.Struct, frozen=True, rename={"limit": "most"}):
    """Stored limit on the connections of an upstream."""

    limit: int


@dataclass(slots=True, frozen=True)
class Stored(Generic[RecordT]):
    """A record and the store revision of its item when it was read."""

    record: RecordT
    revision: int


@dataclass(slots=True)
class RestartTable:
    """Rolling restarts and their steps; each list of steps is in restart order."""

    restarts: dict[str, Stored[RollingRestart]] = field(default_factory=dict)
    steps: dict[str, list[RestartStep]] = field(default_factory=dict)
    step_revisions: dict[str, int] = field(default_factory=dict)  # by `step_ident`

    def changes(self, store: Store, plan: RestartPlan) -> list[Mutation]:
        """Return mutations for a plan, each conditional on the revision that the decision was based on."""
        rows = [
            Mutation(RESTART, ident, encode(restart), self._revision(ident))
            for ident, restart in plan.restarts.items()
        ]
        for ident, steps in plan.steps.items():
            for step in steps:
                name = step_ident(ident, step.node)
                rows.append(Mutation(STEP, name, encode(step), self.step_revisions.get(name, 0)))
        for uid in plan.servers_to_drain:
            if store.get(SERVER_ORDER_KIND, uid) is None:
                rows.append(Mutation(SERVER_ORDER_KIND, uid, encode("drain"), 0))
        for uid in plan.servers_to_restore:
            item = store.get(SERVER_ORDER_KIND, uid)
            if item is not None:
                rows.append(Mutation(SERVER_ORDER_KIND, uid, None, item.revision))
        return rows

    def _revision(self, ident: str) -> int:
        return self.restarts[ident].revision if ident in self.restarts else 0

    def removal(self, ident: str) -> list[Mutation]:
        """Return mutations that remove a restart and its steps."""
        names = [step_ident(ident, step.node) for step in self.steps[ident]]
        steps = [Mutation(STEP, name, None, self.step_revisions[name]) for name in names]
        return [Mutation(RESTART, ident, None, self._revision(ident)), *steps]

    def apply(self, plan: RestartPlan) -> None:
        """Update the records to their state after a plan is written. Revisions are not updated."""
        for ident, restart in plan.restarts.items():
            self.restarts[ident] = Stored(restart, self._revision(ident))
        for ident, changed in plan.steps.items():
            by_node = {step.node: step for step in changed}
            self.steps[ident] = [by_node.get(step.node, step) for step in self.steps[ident]]


def step_ident(restart: str, node: str) -> str:
    """Return the identifier of a step's item in the store."""
    return f"{restart}/{node}"


def load_nodes(store: Store) -> dict[str, Stored[NodeRecord]]:
    """Return the records of all nodes that may exist, by node."""
    return {
        item.item_id: Stored(msgspec.json.decode(item.body, type=NodeRecord), item.revision)
        for item in store.items(NODE)
    }


def node_changes(
    stored_nodes: dict[str, Stored[NodeRecord]], changed: dict[str, NodeRecord]
) -> list[Mutation]:
    """Return mutations for records that a plan changed."""
    return [
        Mutation(NODE, node, encode(record), stored_nodes[node].revision if node in stored_nodes else 0)
        for node, record in changed.items()
    ]


def load_limits(store: Store) -> ConnectionCounts:
    """Return the limit of each upstream that has its own."""
    return {ident: stored.record.limit for ident, stored in load_limit_records(store).items()}


def load_limit_records(store: Store) -> dict[str, Stored[LimitRecord]]:
    """Return the limit record and its revision for each upstream that has its own limit."""
    return {
        item.item_id: Stored(msgspec.json.decode(item.body, type=LimitRecord), item.revision)
        for item in store.items(LIMIT)
    }


def load_state(store: Store) -> Stored[DurableState] | None:
    """Return the state that earlier runs stored; None at the very first start."""
    item = store.get(STATE, STATE_IDENT)
    if item is None:
        return None
    return Stored(msgspec.json.decode(item.body, type=DurableState), item.revision)


def state_changes(store: Store, state: DurableState) -> list[Mutation]:
    """Return the mutation for a state; empty if the store already has that state."""
    item = store.get(STATE, STATE_IDENT)
    body = encode(state)
    if item is not None and item.body == body:
        return []
    return [Mutation(STATE, STATE_IDENT, body, item.revision if item is not None else 0)]


def load_restarts(store: Store, include_ended: bool = True) -> RestartTable:
    """Return the stored rolling restarts; without `include_ended` only those that have not ended."""
    table = RestartTable()
    for item in store.items(RESTART):
        restart = msgspec.json.decode(item.body, type=RollingRestart)
        if include_ended or restart.status not in FINAL_STATUSES:
            table.restarts[item.item_id] = Stored(restart, item.revision)
    for ident, stored in table.restarts.items():
        table.steps[ident] = _load_steps(store, table, stored.record)
    return table


def _load_steps(store: Store, table: RestartTable, restart: RollingRestart) -> list[RestartStep]:
    prefix = step_ident(restart.ident, "")
    steps = []
    for item in store.items(STEP, after=prefix, limit=MAX_NODES):
        if not item.item_id.startswith(prefix):
            break
        steps.append(msgspec.json.decode(item.body, type=RestartStep))
        table.step_revisions[item.item_id] = item.revision
    sign = -1 if restart.reverting else 1
    steps.sort(key=lambda step: sign * step.position)
    return steps
