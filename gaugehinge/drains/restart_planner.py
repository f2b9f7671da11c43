"""Planner of rolling restarts: takes nodes out of service and back, batch by batch.

It is deterministic: it does no I/O and reads neither a clock nor a random source.

`RestartPlanner.plan` takes all restarts, the current status of every node and the nodes that are unavailable
for any reason, and returns the steps that are due. Each step is written to the store as a conditional change
before the node is notified, so a control plane that is restarted resumes from there. A step applies to one
run (process) of a node only: repeating its notification does not affect the following run.

A router is told to shut down, and its supervisor starts the next run. A server is ordered to drain; once no
router uses it, its step becomes DRAINED and waits for the server's supervisor to restart it. The restart
continues when the next run is warm.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from .error_budget import LONG_WINDOW, ErrorBudget
from .restart_batch import (
    Batch,
    LastOfShard,
    may_be_unavailable,
    unavailable_nodes,
    unavailable_steps_of_other_restarts,
)
from .restart_order import NodeKind
from .restart_progress import with_observed_stage
from .restart_records import RestartPlan, RestartStep, RollingRestart
from .restart_types import (
    FINAL_STAGES,
    FINAL_STATUSES,
    UNAVAILABLE_STAGES,
    NodeStatus,
    RestartStatus,
    StepStage,
)

ACTIVE_STATUSES = (RestartStatus.QUEUED, RestartStatus.RUNNING)
MIN_MISSING_TIME = 1.0  # minimum seconds to wait for a missing node, however short the deadline


class Observation(NamedTuple):
    """The stage in which a step was observed, and the monotonic time since when."""

    stage: StepStage
    since: float


@dataclass(slots=True)
class RestartPlanner:
    """Plans the steps of all rolling restarts for one run of the control plane.

    In addition to what the store has, it remembers in memory how long it has observed each step. Deadlines
    are therefore measured on the monotonic clock: setting the wall clock does not shorten them, and they
    start again when the control plane is restarted.
    """

    is_last_of_shard: LastOfShard = lambda name, unavailable: False
    observed: dict[tuple[str, str], Observation] = field(default_factory=dict)  # by restart ID and node name
    missing_since: dict[tuple[str, str], float] = field(default_factory=dict)  # likewise
    baselines: dict[str, float] = field(default_factory=dict)  # by restart ID: error ratio before it began
    error_budget: ErrorBudget = field(default_factory=ErrorBudget)

    def plan(
        self,
        restarts: Iterable[RollingRestart],
        steps: Mapping[str, list[RestartStep]],
        nodes_by_kind: Mapping[NodeKind, Mapping[str, NodeStatus]],
        now: float,
        wall_time: float,
        has_room_for: Callable[[int], bool] = lambda count: True,
    ) -> RestartPlan:
        """Return the changes that are due at `now` (monotonic time) and `wall_time` (Unix time).

        `has_room_for(count)` says whether `count` routers may be in a restart at once, that is, whether the
        connection floors of their successors fit in addition to the connections that they still have open.
        """
        plan = RestartPlan()
        unfinished = _by_queue_position(restarts)
        head = next((restart for restart in unfinished if restart.status in ACTIVE_STATUSES), None)
        for restart in unfinished:
            nodes = nodes_by_kind[restart.order.kind]
            own_steps = steps.get(restart.ident, [])
            updated_steps = {
                step.node: self._advance(restart, step, nodes.get(step.node), now, plan) for step in own_steps
            }
            if restart is head:
                restart = self._run_head(restart, updated_steps, nodes, now, wall_time, plan)
                if restart.status == RestartStatus.RUNNING and restart.order.is_open(wall_time):
                    other_steps = unavailable_steps_of_other_restarts(restart, unfinished, steps)
                    unavailable = unavailable_nodes(restart.order, nodes, updated_steps, other_steps)
                    batch = Batch(restart, updated_steps, nodes, unavailable)
                    self._notify(batch, now, plan, _notified_routers(unfinished, steps), has_room_for)
            self._record(restart, own_steps, updated_steps, plan)
        self._forget_finished({restart.ident for restart in unfinished})
        return plan

    def _forget_finished(self, unfinished: set[str]) -> None:
        self.observed = {
            key: observation for key, observation in self.observed.items() if key[0] in unfinished
        }
        self.missing_since = {key: at for key, at in self.missing_since.items() if key[0] in unfinished}
        self.baselines = {ident: ratio for ident, ratio in self.baselines.items() if ident in unfinished}

    # -- steps whose node is unavailable

    def _advance(
        self,
        restart: RollingRestart,
        step: RestartStep,
        node: NodeStatus | None,
        now: float,
        plan: RestartPlan,
    ) -> RestartStep:
        key = restart.ident, step.node
        observation = self.observed.get(key)
        waiting = step.stage == StepStage.WAITING
        if observation is None or (observation.stage == StepStage.WAITING) is not waiting:
            observation = self.observed[key] = Observation(step.stage, now)
        if step.stage not in UNAVAILABLE_STAGES:
            return step
        updated_step = with_observed_stage(restart, step, node)
        if updated_step.stage == StepStage.WARMING_UP and updated_step.drain_ordered:
            plan.servers_to_restore.append(step.node)
            updated_step = msgspec.structs.replace(updated_step, drain_ordered=False)
        moved = updated_step.stage != step.stage or updated_step.stage == StepStage.DONE
        elapsed = now - observation.since
        if moved or elapsed < restart.order.deadline:
            return updated_step
        return self._on_deadline(restart, updated_step, elapsed, now, plan)

    def _on_deadline(
        self, restart: RollingRestart, step: RestartStep, elapsed: float, now: float, plan: RestartPlan
    ) -> RestartStep:
        reason = f"{step.node} is {step.stage} for {elapsed:.0f} s"
        on_timeout = restart.order.on_timeout
        if on_timeout == "end" and not step.immediate and step.stage == StepStage.NOTIFIED:
            plan.log.append(f"rolling restart {restart.ident}: {reason}; ordering an immediate shutdown")
            self.observed[restart.ident, step.node] = Observation(step.stage, now)
            return msgspec.structs.replace(step, immediate=True, reason=reason)
        if on_timeout == "skip":
            plan.log.append(f"rolling restart {restart.ident}: {reason}; node skipped")
            return _skip(step, reason, plan)
        if restart.status in ACTIVE_STATUSES:
            _stop(restart, reason, plan)
        return step

    # -- the restart at the head of the queue

    def _run_head(
        self,
        restart: RollingRestart,
        updated_steps: dict[str, RestartStep],
        nodes: Mapping[str, NodeStatus],
        now: float,
        wall_time: float,
        plan: RestartPlan,
    ) -> RollingRestart:
        """Start the restart if it is due, or stop it if its burn rate is too high."""
        if restart.ident in plan.restarts:
            return plan.restarts[restart.ident]
        if restart.status == RestartStatus.QUEUED:
            if wall_time < restart.order.not_before:
                return restart
            self.baselines[restart.ident] = self.error_budget.error_ratio(now, 2 * LONG_WINDOW)
            plan.log.append(
                f"rolling restart {restart.ident} started: {len(updated_steps)} {restart.order.kind}"
            )
            restart = msgspec.structs.replace(restart, status=RestartStatus.RUNNING)
            plan.restarts[restart.ident] = restart
        baseline = self.baselines.setdefault(restart.ident, 0.0)
        burn_rate = self.error_budget.burn_rate(now, restart.order.objective, baseline)
        if burn_rate > restart.order.max_burn_rate:
            reason = f"service lost at {burn_rate:.1f} times what the objective leaves"
            return _stop(restart, reason, plan)
        self._skip_missing(restart, updated_steps, nodes, now, plan)
        return restart

    def _skip_missing(
        self,
        restart: RollingRestart,
        updated_steps: dict[str, RestartStep],
        nodes: Mapping[str, NodeStatus],
        now: float,
        plan: RestartPlan,
    ) -> None:
        """Skip waiting nodes that have been missing for too long: they may never come back."""
        max_missing_time = max(restart.order.deadline, MIN_MISSING_TIME)
        for name, step in updated_steps.items():
            node, key = nodes.get(name), (restart.ident, name)
            if step.stage != StepStage.WAITING or (node is not None and node.up):
                self.missing_since.pop(key, None)
            elif now - self.missing_since.setdefault(key, now) >= max_missing_time:
                updated_steps[name] = _skip(step, "not there", plan)

    def _notify(
        self,
        batch: Batch,
        now: float,
        plan: RestartPlan,
        notified_routers: int,
        has_room_for: Callable[[int], bool],
    ) -> None:
        """Notify as many waiting nodes as may be unavailable at the same time."""
        restart, order = batch.restart, batch.restart.order
        for name, step in batch.steps.items():
            node = batch.nodes.get(name)
            if step.stage != StepStage.WAITING or node is None or name in batch.unavailable:
                continue
            if node.restart_token == restart.token:
                # This restart has notified the node already, but the store is older than that notification.
                batch.steps[name] = msgspec.structs.replace(step, stage=StepStage.DONE, reason="told before")
                continue
            if len(batch.unavailable) >= order.max_unavailable:
                break
            if not may_be_unavailable(order, node, batch.unavailable, batch.nodes, self.is_last_of_shard):
                continue
            if order.kind == "routers":
                notified_routers += 1
                if not has_room_for(notified_routers):
                    break
            else:
                plan.servers_to_drain.append(name)
            batch.mark_notified(step, node)
            self.observed[restart.ident, name] = Observation(StepStage.NOTIFIED, now)

    # -- records to write

    @staticmethod
    def _record(
        restart: RollingRestart,
        steps: list[RestartStep],
        updated_steps: dict[str, RestartStep],
        plan: RestartPlan,
    ) -> None:
        changed = [updated_steps[step.node] for step in steps if updated_steps[step.node] != step]
        for step in changed:
            if step.stage in (StepStage.NOTIFIED, StepStage.DONE):
                plan.log.append(f"rolling restart {restart.ident}: {step.node} is {step.stage}")
        if changed:
            plan.steps[restart.ident] = changed
        is_complete = all(step.stage in FINAL_STAGES for step in updated_steps.values())
        if is_complete and restart.status == RestartStatus.RUNNING:
            skipped = sum(step.stage == StepStage.SKIPPED for step in updated_steps.values())
            plan.log.append(
                f"rolling restart {restart.ident} finished: "
                f"{len(updated_steps) - skipped} nodes done, {skipped} skipped"
            )
            plan.restarts[restart.ident] = msgspec.structs.replace(restart, status=RestartStatus.DONE)


def _by_queue_position(restarts: Iterable[RollingRestart]) -> list[RollingRestart]:
    unfinished = [restart for restart in restarts if restart.status not in FINAL_STATUSES]
    return sorted(unfinished, key=lambda restart: restart.number)


def _notified_routers(restarts: Iterable[RollingRestart], steps: Mapping[str, list[RestartStep]]) -> int:
    return sum(
        step.stage in UNAVAILABLE_STAGES
        for restart in restarts
        if restart.order.kind == "routers"
        for step in steps.get(restart.ident, ())
    )


def _skip(step: RestartStep, reason: str, plan: RestartPlan) -> RestartStep:
    if step.drain_ordered:
        plan.servers_to_restore.append(step.node)
    return msgspec.structs.replace(step, stage=StepStage.SKIPPED, drain_ordered=False, reason=reason)


def _stop(restart: RollingRestart, reason: str, plan: RestartPlan) -> RollingRestart:
    plan.log.append(f"rolling restart {restart.ident} stopped: {reason}")
    stopped = msgspec.structs.replace(restart, status=RestartStatus.STOPPED, reason=reason)
    plan.restarts[restart.ident] = stopped
    return stopped
