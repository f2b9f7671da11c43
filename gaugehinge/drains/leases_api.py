"""API calls for connection leases and the nodes that hold them."""

from __future__ import annotations

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..admin.caller import Caller
from ..admin.errors import NotFoundError, ResourceConflictError
from ..admin.http import json_response
from ..store.records import Mutation
from ..store.store import Store
from .api_types import ChangeResult, LeasePage, NodeStage, NodeView
from .connection_counts import ConnectionCounts
from .controller import DrainsController
from .lease_types import NodeRecord
from .repository import NODE, load_limits, load_nodes, state_changes


class LeasesApi:
    """Handlers of `/v1/grants` and `/v1/nodes`."""

    def __init__(self, controller: DrainsController) -> None:
        """Serve the leases of `controller`."""
        self.controller = controller
        self.leases = controller.leases
        self.control_plane = controller.leases.control_plane

    async def list_leases(self, request: Request, caller: Caller) -> Response:
        """GET /v1/grants."""
        caller.require_role("reader")
        store_writer = self.control_plane.store_writer
        return json_response(await store_writer.run_sync(self._lease_page, store_writer.store))

    async def remove_node(self, request: Request, caller: Caller) -> Response:
        """POST /v1/nodes/{node}/gone: remove a node whose machine and files are gone.

        Its lease has to be over, so that it certainly has no more connections open than its floors.
        """
        caller.require_role("operator")
        node = request.path_params["node"]
        leases = self.leases

        def plan(store: Store, now: float) -> list[Mutation]:
            item = store.get(NODE, node)
            if item is None:
                raise NotFoundError(f"no node {node}")
            with leases.lock:
                if not leases.manager.has_expired(node, leases.clock()):
                    detail = "it was heard of too lately: its connections may be open"
                    raise ResourceConflictError(detail, "node")
            return [Mutation(NODE, node, None, item.revision)]

        await self.control_plane.commit(plan, caller.name)
        with leases.lock:
            leases.manager.forget_node(node)
            leases.fleet.forget_node(node)
        self.controller.request_plan()
        return json_response(ChangeResult(f"{node} is no more: its floor is free"))

    async def confirm(self, request: Request, caller: Caller) -> Response:
        """POST /v1/nodes/confirm: confirm that every existing node is known, and resume admissions."""
        caller.require_role("operator")
        leases = self.leases

        def plan(store: Store, now: float) -> list[Mutation]:
            with leases.lock:
                manager = leases.manager
                if leases.clock() < manager.former_leases_end:
                    detail = "this keeper has just started: nodes may come that it does not know"
                    raise ResourceConflictError(detail)
                manager.state = msgspec.structs.replace(manager.state, suspension_reason="")
                return state_changes(store, manager.state)

        await self.control_plane.commit(plan, caller.name)
        self.controller.request_plan()
        return json_response(ChangeResult("new nodes are admitted"))

    def _lease_page(self, store: Store) -> LeasePage:
        leases = self.leases
        with leases.lock:
            manager, now = leases.manager, leases.clock()
            limits = load_limits(store)
            nodes = [
                self._node_view(node, stored.record, limits, now)
                for node, stored in sorted(load_nodes(store).items())
            ]
            raises_in = max(manager.former_leases_end - now, 0.0)
            if manager.may_raise(now) and not manager.state.suspension_reason:
                raises_in = 0.0
            return LeasePage(
                nodes,
                manager.max_nodes,
                dict(manager.rejected),
                manager.state.suspension_reason,
                round(raises_in, 3),
            )

    def _node_view(self, node: str, record: NodeRecord, limits: ConnectionCounts, now: float) -> NodeView:
        manager = self.leases.manager
        report, heard_at = manager.reports.get(node), manager.last_heard.get(node)
        return NodeView(
            node,
            record.run,
            record.number,
            record.granted,
            worst_case={upstream: record.worst_case(upstream) for upstream in limits},
            open_connections=report.open_connections if report else {},
            demand=report.demand if report else {},
            heard_ago=round(now - heard_at, 3) if heard_at is not None else -1.0,
            stage=self._stage(node, record, now),
        )

    def _stage(self, node: str, record: NodeRecord, now: float) -> NodeStage:
        manager, latest = self.leases.manager, self.leases.fleet.reports.get(node)
        if record.closed:
            return NodeStage.CLOSED
        if manager.has_expired(node, now):
            return NodeStage.LOST
        if not manager.is_live(node, now):
            return NodeStage.SILENT
        if latest is not None and latest.report.draining:
            return NodeStage.DRAINING
        return NodeStage.GRANTED
