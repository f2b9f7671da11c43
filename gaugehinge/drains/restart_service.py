"""Plans rolling restarts, writes the plan to the control plane's store and issues shutdown orders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from ..store.records import Mutation
from ..store.store import Store
from .connection_counts import count_for
from .fleet_view import ShutdownOrder
from .lease_service import AUTHOR, LeaseService
from .repository import RestartTable, load_limits, load_nodes, load_restarts
from .restart_planner import RestartPlanner
from .restart_records import RestartPlan
from .restart_types import RestartStatus, StepStage
from .shard_pinning import last_of_shard, pinned_zones

HasRoomFor = Callable[[int], bool]


@dataclass(slots=True, eq=False)
class RestartService:
    """Connects the restart planner of one control plane run to its store and leases."""

    leases: LeaseService
    planner: RestartPlanner = field(default_factory=RestartPlanner)

    async def plan(self) -> None:
        """Plan the steps that are due and write them to the store.

        Raises RevisionConflictError, DiskFullError or StoreOverloadedError if the write fails.
        """
        now = self.leases.clock()
        self.planner.error_budget.record(now, *self.leases.fleet.operations.take())
        log_lines: list[str] = []
        orders: dict[str, ShutdownOrder] = {}
        fleet = self.leases.fleet

        def plan_mutations(store: Store, wall_time: float) -> list[Mutation]:
            table = load_restarts(store, include_ended=False)
            if not table.restarts:
                return []
            restart_plan = self._plan_due_steps(store, table, now, wall_time)
            changes = table.changes(store, restart_plan)
            table.apply(restart_plan)
            log_lines.extend(restart_plan.log)
            orders.update(_shutdown_orders(table))
            # Withdrawn orders are removed here, on the store's thread and before the write, so that no router
            # is told of them from here on. New orders are added after the write, below.
            current_orders = fleet.shutdown_orders.items()
            fleet.shutdown_orders = {
                name: order for name, order in current_orders if orders.get(name) == order
            }
            return changes

        await self.leases.control_plane.store_writer.apply_planned(plan_mutations, AUTHOR)
        fleet.shutdown_orders = orders  # new orders only count once they are in the store
        for line in log_lines:
            logger.info(line)

    def _plan_due_steps(self, store: Store, table: RestartTable, now: float, wall_time: float) -> RestartPlan:
        with self.leases.lock:
            statuses = self.leases.fleet.statuses(store, now)
            has_room_for = self._successor_room_check(store)
        self.planner.is_last_of_shard = last_of_shard(
            pinned_zones(self.leases.control_plane), statuses["servers"]
        )
        restarts = [stored.record for stored in table.restarts.values()]
        return self.planner.plan(restarts, table.steps, statuses, now, wall_time, has_room_for)

    def _successor_room_check(self, store: Store) -> HasRoomFor:
        """Return a check whether the connection floors of `count` successors fit within the limits.

        They have to fit in addition to the connections that all nodes may have open in the worst case.
        """
        manager = self.leases.manager
        records = [stored.record for stored in load_nodes(store).values()]
        limits = load_limits(store)
        free_connections = {
            name: limit - manager.total_worst_case(records, name) for name, limit in limits.items()
        }

        def has_room_for(count: int) -> bool:
            return all(free_connections[name] >= count * count_for(manager.floors, name) for name in limits)

        return has_room_for


def _shutdown_orders(table: RestartTable) -> dict[str, ShutdownOrder]:
    """Return the shutdown orders of notified routers, by router name."""
    return {
        step.node: ShutdownOrder(stored.record.token, step.run, step.immediate)
        for ident, stored in table.restarts.items()
        if stored.record.order.kind == "routers" and stored.record.status != RestartStatus.CANCELLED
        for step in table.steps[ident]
        if step.stage == StepStage.NOTIFIED
    }
