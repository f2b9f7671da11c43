"""API handlers for rolling restarts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from starlette.requests import Request
from starlette.responses import Response

from ..admin.caller import Caller
from ..admin.errors import InvalidRequestError, NotFoundError, ResourceConflictError
from ..admin.http import json_response, read_json
from ..admin.idempotency import run_once
from ..admin.transactions import IdempotencyKey
from ..store.records import Mutation, encode
from ..store.store import Store
from .api_types import RestartPage, RestartView, StepView
from .controller import DrainsController
from .repository import RESTART, STEP, RestartTable, load_restarts, step_ident
from .restart_actions import RestartChange, cancel, pause, resume, roll_back
from .restart_order import InvalidOrderError, RestartOrder, select_nodes
from .restart_records import RestartPlan, RestartStep, RollingRestart
from .restart_types import FINAL_STATUSES, MAX_RESTARTS, UNAVAILABLE_STAGES, StepStage

Action = Callable[[RollingRestart, list[RestartStep]], RestartChange]
RUN_ID_PREFIX_LENGTH = 4  # characters of the control plane's run ID in a restart's ID


@dataclass(slots=True)
class _CreatedRestart:
    """The ID of the restart that a call creates, set once its change is planned."""

    ident: str = ""


class RestartsApi:
    """Handlers of `/v1/rolls`."""

    def __init__(self, controller: DrainsController) -> None:
        """Serve the restarts of `controller`."""
        self.controller = controller
        self.control_plane = controller.leases.control_plane

    # -- reads

    async def list_restarts(self, request: Request, caller: Caller) -> Response:
        """GET /v1/rolls."""
        caller.require_role("reader")
        store_writer = self.control_plane.store_writer
        table = await store_writer.run_sync(load_restarts, store_writer.store)
        idents = sorted(table.restarts, key=lambda ident: table.restarts[ident].record.number)
        return json_response(RestartPage([_view(table, ident) for ident in idents]))

    async def get_restart(self, request: Request, caller: Caller) -> Response:
        """GET /v1/rolls/{id}."""
        caller.require_role("reader")
        return await self._restart_response(request.path_params["id"])

    async def _restart_response(self, ident: str) -> Response:
        view = await self._read_view(ident)
        return json_response(view, etag=view.revision)

    async def _read_view(self, ident: str) -> RestartView:
        store_writer = self.control_plane.store_writer
        return _view(
            _require_restart(await store_writer.run_sync(load_restarts, store_writer.store), ident),
            ident,
            with_steps=True,
        )

    # -- creation

    async def create(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls."""
        caller.require_role("operator")
        order, body = await read_json(request, RestartOrder)
        created = _CreatedRestart()

        def plan(store: Store, now: float) -> list[Mutation]:
            return self._plan_creation(store, order, caller, now, created)

        async def create_restart(idempotency: IdempotencyKey | None) -> Response:
            await self.control_plane.commit(
                plan, caller.name, idempotency, lambda rows: created.ident.encode()
            )
            self.controller.request_plan()
            view = await self._read_view(created.ident)
            return json_response(view, 201, view.revision, {"Location": f"/v1/rolls/{view.id}"})

        async def replay(stored: bytes) -> Response:
            return await self._restart_response(stored.decode())

        return await run_once(self.control_plane.store_writer, request, caller, body, create_restart, replay)

    def _plan_creation(
        self, store: Store, order: RestartOrder, caller: Caller, now: float, created: _CreatedRestart
    ) -> list[Mutation]:
        leases = self.controller.leases
        with leases.lock:
            nodes = leases.fleet.statuses(store, leases.clock())[order.kind]
        try:
            names = select_nodes(order, nodes.values())
        except InvalidOrderError as error:
            raise InvalidRequestError(str(error), error.field) from None
        table = load_restarts(store)
        number = max((stored.record.number for stored in table.restarts.values()), default=0) + 1
        # With the prefix of the run ID, no restart ID of a lost store is used again.
        created.ident = f"roll-{number:06d}-{self.control_plane.run_id[:RUN_ID_PREFIX_LENGTH]}"
        restart = RollingRestart(created.ident, number, order, created_by=caller.name, created_at=now)
        steps = [
            Mutation(STEP, step_ident(created.ident, name), encode(RestartStep(name, position)), 0)
            for position, name in enumerate(names)
        ]
        return [Mutation(RESTART, created.ident, encode(restart), 0), *steps, *_evictions(table)]

    # -- actions

    async def pause(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls/{id}/pause."""
        return await self._apply_action(request, caller, pause)

    async def resume(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls/{id}/resume."""
        return await self._apply_action(request, caller, resume)

    async def cancel(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls/{id}/cancel."""
        return await self._apply_action(request, caller, cancel)

    async def roll_back(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls/{id}/back."""
        return await self._apply_action(request, caller, roll_back)

    async def _apply_action(self, request: Request, caller: Caller, action: Action) -> Response:
        caller.require_role("operator")
        ident = request.path_params["id"]

        def plan(store: Store, now: float) -> list[Mutation]:
            table = _require_restart(load_restarts(store), ident)
            before = table.restarts[ident].record
            try:
                change = action(before, table.steps[ident])
            except InvalidOrderError as error:
                raise ResourceConflictError(str(error), error.field) from None
            restarts = {ident: change.restart} if change.restart != before else {}
            changes = RestartPlan({ident: change.steps}, restarts, [], change.servers_to_restore)
            return table.changes(store, changes)

        await self.control_plane.commit(plan, caller.name)
        self.controller.request_plan()
        return await self._restart_response(ident)


def _require_restart(table: RestartTable, ident: str) -> RestartTable:
    """Return the table if it has the restart. Raises NotFoundError otherwise."""
    if ident not in table.restarts:
        raise NotFoundError(f"no roll {ident}")
    return table


def _evictions(table: RestartTable) -> list[Mutation]:
    """Return mutations that remove the oldest ended restarts to make room for one more.

    Raises ResourceConflictError if too few restarts have ended.
    """
    ended = sorted(
        (stored.record.number, ident)
        for ident, stored in table.restarts.items()
        if stored.record.status in FINAL_STATUSES
    )
    excess = max(len(table.restarts) + 1 - MAX_RESTARTS, 0)
    if excess > len(ended):
        raise ResourceConflictError(f"{MAX_RESTARTS} rolls stand")
    return [mutation for _, ident in ended[:excess] for mutation in table.removal(ident)]


def _view(table: RestartTable, ident: str, with_steps: bool = False) -> RestartView:
    restart, steps = table.restarts[ident].record, table.steps[ident]
    stages = [step.stage for step in steps]
    return RestartView(
        restart.ident,
        restart.status,
        restart.order,
        nodes=len(steps),
        waiting=stages.count(StepStage.WAITING),
        unavailable=sum(stage in UNAVAILABLE_STAGES for stage in stages),
        done=stages.count(StepStage.DONE),
        skipped=stages.count(StepStage.SKIPPED),
        reverting=restart.reverting,
        reason=restart.reason,
        created_by=restart.created_by,
        created_at=restart.created_at,
        revision=table.restarts[ident].revision,
        steps=[StepView(step.node, step.stage, step.reason) for step in steps] if with_steps else [],
    )
