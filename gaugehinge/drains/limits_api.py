"""API calls for the connection limits of upstreams."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response

from ..admin.caller import Caller
from ..admin.errors import InvalidRequestError, NotFoundError, PreconditionFailedError, ResourceConflictError
from ..admin.http import if_match_revision, json_response, read_json
from ..store.records import Mutation, encode
from ..store.store import Store
from .api_types import LimitPage, LimitUpdate, LimitView
from .connection_counts import count_for, undersized_limit
from .controller import DrainsController
from .repository import LIMIT, load_limit_records, load_nodes

MAX_UPSTREAM_NAME = 200  # characters
MAX_LIMITS = 64


class LimitsApi:
    """Handlers of `/v1/limits`."""

    def __init__(self, controller: DrainsController) -> None:
        """Serve and change the limits of `controller`."""
        self.controller = controller
        self.control_plane = controller.leases.control_plane

    async def list_limits(self, request: Request, caller: Caller) -> Response:
        """GET /v1/limits."""
        caller.require_role("reader")
        return json_response(LimitPage(await self._views()))

    async def get_limit(self, request: Request, caller: Caller) -> Response:
        """GET /v1/limits/{store}."""
        caller.require_role("reader")
        return await self._limit_response(request.path_params["store"])

    async def put_limit(self, request: Request, caller: Caller) -> Response:
        """PUT /v1/limits/{store}: set a limit, conditional on its revision; 0 creates a server's limit."""
        caller.require_role("operator")
        upstream = request.path_params["store"]
        update, _ = await read_json(request, LimitUpdate)
        expected = if_match_revision(request)
        self._validate(upstream, update)

        def plan(store: Store, now: float) -> list[Mutation]:
            item = store.get(LIMIT, upstream)
            revision = item.revision if item else 0
            if revision != expected:
                raise PreconditionFailedError(f"it is at revision {revision}", etag=revision)
            if item is None and len(store.items(LIMIT)) >= MAX_LIMITS:
                raise ResourceConflictError(f"{MAX_LIMITS} limits are named", "store")
            return [Mutation(LIMIT, upstream, encode(update), revision)]

        await self.control_plane.commit(plan, caller.name)
        self.controller.request_plan()
        return await self._limit_response(upstream)

    def _validate(self, upstream: str, update: LimitUpdate) -> None:
        """Raise an ApiError if the name is empty or too long, or if the floors of all nodes do not fit."""
        if not 0 < len(upstream) <= MAX_UPSTREAM_NAME:
            raise InvalidRequestError(f"1 to {MAX_UPSTREAM_NAME} characters", "store")
        manager = self.controller.leases.manager
        undersized = undersized_limit({upstream: update.limit}, manager.floors, manager.max_nodes)
        if undersized is not None:
            detail = f"{update.limit} is under {undersized.least}, the floors of {manager.max_nodes} nodes"
            raise InvalidRequestError(detail, "most")

    async def _limit_response(self, upstream: str) -> Response:
        view = next((each for each in await self._views() if each.upstream == upstream), None)
        if view is None:
            raise NotFoundError(f"no limit for {upstream}")
        return json_response(view, etag=view.revision)

    async def _views(self) -> list[LimitView]:
        store_writer = self.control_plane.store_writer
        return await store_writer.run_sync(self._read_views, store_writer.store)

    def _read_views(self, store: Store) -> list[LimitView]:
        leases = self.controller.leases
        leases.advance_mark(store)
        with leases.lock:
            manager, now = leases.manager, leases.clock()
            records = [stored.record for stored in load_nodes(store).values()]
            return [
                LimitView(
                    upstream,
                    stored.record.limit,
                    held=manager.total_worst_case(records, upstream),
                    least=max(manager.max_nodes * count_for(manager.floors, upstream), 1),
                    enforced=manager.limit_enforced(records, upstream, stored.record.limit, now),
                    revision=stored.revision,
                )
                for upstream, stored in load_limit_records(store).items()
            ]
