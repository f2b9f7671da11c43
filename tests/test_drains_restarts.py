"""Decisions of the rolling restart planner, one difficult case at a time."""

import msgspec
import pytest

from gaugehinge.drains.error_budget import ErrorBudget
from gaugehinge.drains.restart_actions import cancel, roll_back
from gaugehinge.drains.restart_order import InvalidOrderError, NodeSelector, RestartOrder, select_nodes
from gaugehinge.drains.restart_planner import RestartPlanner
from gaugehinge.drains.restart_records import RestartStep, RollingRestart
from gaugehinge.drains.restart_types import NodeStatus, StepStage


def make_fleet(count=6, zones="ab", **status_fields):
    return {
        f"r{i}": NodeStatus(
            f"r{i}", "1", zones[i % len(zones)], True, ready_for=99.0, load=0.2, capacity=0.8, **status_fields
        )
        for i in range(count)
    }


def plan_once(nodes, planner=None, now=100.0, steps=None, restart=None, **order):
    """Plan once. Return the updated restart, its updated steps, and the plan."""
    restart_order = RestartOrder(NodeSelector(all=True), **{"max_unavailable": 2, **order})
    restart = restart or RollingRestart("roll-1", 1, restart_order)
    steps = steps or [
        RestartStep(name, i) for i, name in enumerate(select_nodes(restart_order, nodes.values()))
    ]
    plan = (planner or RestartPlanner()).plan(
        [restart], {restart.ident: steps}, {"routers": nodes, "servers": nodes}, now, now
    )
    changed = {step.node: step for step in plan.steps.get(restart.ident, [])}
    return plan.restarts.get(restart.ident, restart), [changed.get(step.node, step) for step in steps], plan


def notified(steps):
    return [step.node for step in steps if step.stage == StepStage.NOTIFIED]


def test_a_batch_is_of_one_zone_and_counts_all_unavailable_nodes():
    assert notified(plan_once(make_fleet())[1]) == ["r0", "r2"]
    assert notified(plan_once(make_fleet(), max_unavailable_in_zone=1)[1]) == ["r0"]
    assert notified(plan_once(make_fleet(connections=5), max_unavailable_connections=9)[1]) == ["r0"]
    nodes = make_fleet()
    nodes["r1"] = NodeStatus("r1", "1", "b", False)
    assert notified(plan_once(nodes)[1]) == ["r3"], "a node of zone b is down, so only zone b continues"
    nodes["r2"] = NodeStatus("r2", "1", "a", True, ready_for=99.0, draining=True)
    assert notified(plan_once(nodes, max_unavailable=9)[1]) == [], (
        "two zones have unavailable nodes, so no node is notified"
    )


def test_capacity_time_window_shards_and_successors_floors_limit_a_batch():
    nodes = {
        name: NodeStatus(name, "1", "a", True, ready_for=9.0, load=0.5, capacity=0.8)
        for name in ("x", "y", "z")
    }
    assert (
        notified(plan_once(nodes, headroom=0.0)[1]) == ["x"]
        and notified(plan_once(nodes, headroom=0.2)[1]) == []
    )
    assert (
        notified(plan_once(make_fleet(), not_before=200.0)[1]) == []
        and notified(plan_once(make_fleet(), not_after=50.0, not_before=0.0)[1]) == []
    )
    last = RestartPlanner(is_last_of_shard=lambda name, unavailable: name == "r0")
    assert notified(plan_once(make_fleet(), last)[1]) == ["r2", "r4"]
    plan = RestartPlanner().plan(
        [RollingRestart("roll-1", 1, RestartOrder(NodeSelector(all=True), max_unavailable=3))],
        {"roll-1": [RestartStep(n) for n in make_fleet()]},
        {"routers": make_fleet(), "servers": {}},
        1.0,
        1.0,
        lambda count: count <= 1,
    )
    assert len(plan.steps["roll-1"]) == 1, "the floors of one successor fit beside its predecessor"


@pytest.mark.parametrize(
    "on_timeout, stage, status",
    [("skip", "skipped", "running"), ("stop", "told", "stopped"), ("end", "told", "running")],
)
def test_a_node_over_its_deadline(on_timeout, stage, status):
    planner, nodes = RestartPlanner(), make_fleet()
    restart, steps, _ = plan_once(nodes, planner, on_timeout=on_timeout, max_unavailable=1, deadline=10.0)
    restart, steps, _ = plan_once(nodes, planner, 109.0, steps, restart)
    assert notified(steps) == ["r0"] and restart.status == "running"
    restart, steps, _ = plan_once(nodes, planner, 111.0, steps, restart)
    assert (steps[0].stage, restart.status) == (stage, status) and steps[0].immediate is (on_timeout == "end")
    if on_timeout == "end":
        restart, steps, _ = plan_once(nodes, planner, 122.0, steps, restart)
        assert restart.status == "stopped", "the immediate shutdown timed out too, so the restart stops"


def test_a_restart_stops_on_its_burn_rate_and_rolls_back_on_request():
    planner, nodes = RestartPlanner(), make_fleet()
    for second in range(60):
        planner.error_budget.record(40.0 + second, 99, 1)
    restart, steps, _ = plan_once(nodes, planner, max_unavailable=1, max_burn_rate=5.0)
    assert restart.status == "running", "operations lost before the restart began do not count against it"
    for second in range(40):
        planner.error_budget.record(101.0 + second, 80, 20)
    restart, steps, plan = plan_once(nodes, planner, 141.0, steps, restart)
    assert restart.status == "stopped" and "service lost" in restart.reason and plan.log
    done = [*(msgspec.structs.replace(s, stage=StepStage.DONE) for s in steps[:2]), *steps[2:]]
    back, changed, _ = roll_back(restart, done)
    assert back.reverting and [s.node for s in changed if s.stage == "waiting"] == ["r0", "r2"]
    assert ErrorBudget().error_ratio(0.0, 5.0) == 0.0
    ended, changed, restore = cancel(
        restart, [RestartStep("s", drain_ordered=True, stage=StepStage.NOTIFIED)]
    )
    assert ended.status == "cancelled" and restore == ["s"] and changed[0].stage == "skipped"
    with pytest.raises(InvalidOrderError, match="no node"):
        select_nodes(RestartOrder(NodeSelector(names=["nobody"])), nodes.values())


def test_a_server_is_drained_restarted_and_restored_before_the_next():
    planner, nodes = RestartPlanner(), make_fleet(4)
    restart, steps, plan = plan_once(nodes, planner, kind="servers", max_unavailable=1, warm_up=5.0)
    assert plan.servers_to_drain == ["r0"] and steps[0].drain_ordered
    nodes["r0"] = NodeStatus("r0", "1", "a", True, ready_for=99.0, drained=True, capacity=0.8)
    restart, steps, _ = plan_once(nodes, planner, 101.0, steps, restart)
    assert steps[0].stage == "empty"
    nodes["r0"] = NodeStatus("r0", "2", "a", True, ready_for=1.0, capacity=0.8)
    restart, steps, plan = plan_once(nodes, planner, 102.0, steps, restart)
    assert steps[0].stage == "warming" and plan.servers_to_restore == ["r0"] and len(notified(steps)) == 0
    nodes["r0"] = NodeStatus("r0", "2", "a", True, ready_for=6.0, capacity=0.8)
    restart, steps, _ = plan_once(nodes, planner, 107.0, steps, restart)
    assert steps[0].stage == "done" and notified(steps) == ["r2"]
    # A restarted control plane does not notify a node twice.
    assert notified(plan_once(nodes, RestartPlanner(), 108.0, steps, restart)[1]) == ["r2"]


def test_restarts_are_queued_and_nodes_of_a_paused_one_count_for_the_next():
    order = RestartOrder(NodeSelector(all=True), max_unavailable=2, warm_up=1.0)
    restarts = [RollingRestart(f"roll-{i}", i, order) for i in (1, 2, 3)]
    steps = {
        restart.ident: [RestartStep(name, i) for i, name in enumerate(make_fleet())] for restart in restarts
    }
    steps["roll-1"][0] = RestartStep("r0", 0, StepStage.NOTIFIED, "1")
    restarts[0] = msgspec.structs.replace(restarts[0], status="paused")
    nodes = make_fleet()
    nodes["r0"] = NodeStatus("r0", "1", "a", True, ready_for=99.0, load=0.2, capacity=0.8, draining=True)
    plan = RestartPlanner().plan(restarts, steps, {"routers": nodes, "servers": {}}, 1.0, 1.0)
    assert {ident: notified(each) for ident, each in plan.steps.items()} == {"roll-2": ["r2"]}
    assert plan.restarts["roll-2"].status == "running" and "roll-3" not in plan.restarts


def test_a_node_notified_by_a_paused_restart_counts_before_it_has_received_that():
    order = RestartOrder(NodeSelector(all=True), max_unavailable=1, warm_up=1.0)
    restarts = [RollingRestart("roll-1", 1, order, status="paused"), RollingRestart("roll-2", 2, order)]
    steps = {
        restart.ident: [RestartStep(name, i) for i, name in enumerate(make_fleet())] for restart in restarts
    }
    steps["roll-1"][0] = RestartStep("r0", 0, StepStage.NOTIFIED, "1")
    plan = RestartPlanner().plan(restarts, steps, {"routers": make_fleet(), "servers": {}}, 1.0, 1.0)
    assert not plan.steps, "r0 is about to shut down"
    # The next run of r0 is up, but on another build than intended.
    steps["roll-1"][0] = RestartStep("r0", 0, "told", "0")
    plan = RestartPlanner().plan(restarts, steps, {"routers": make_fleet(), "servers": {}}, 1.0, 1.0)
    assert notified(plan.steps["roll-2"]) == ["r0"]


def test_a_node_with_this_restarts_token_is_not_notified_again():
    nodes = make_fleet(restart_token="roll-1")
    restart, steps, _ = plan_once(nodes)
    assert {step.stage for step in steps} == {"done"} and restart.status == "done"
    again = msgspec.structs.replace(restart, reverting=True, status="queued")
    waiting = [msgspec.structs.replace(step, stage=StepStage.WAITING) for step in steps]
    assert notified(plan_once(nodes, steps=waiting, restart=again)[1]) == ["r0", "r2"], (
        "a rollback has a token of its own"
    )
