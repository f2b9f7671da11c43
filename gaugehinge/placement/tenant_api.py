"""The HTTP API through which tenants pin their shards."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response

from ..admin.caller import Caller
from ..admin.errors import NotFoundError
from ..admin.http import if_match_revision, json_response, read_json
from ..admin.idempotency import run_once
from ..admin.route import Route
from ..admin.transactions import IdempotencyKey
from ..store.async_store import AsyncStore
from ..store.store import Store
from .api_types import ShardPage, ShardShown, ShardWanted
from .shard_changes import ShardChanges
from .shard_view import ShardPresenter


class TenantApi:
    """Handlers below `/v1/tenants/{name}/shards`."""

    def __init__(self, store_writer: AsyncStore, changes: ShardChanges, presenter: ShardPresenter) -> None:
        """`changes`: applies requested changes; `presenter`: builds the responses."""
        self.store_writer = store_writer
        self.changes = changes
        self.presenter = presenter

    def routes(self) -> list[Route]:
        """The API routes for shards."""
        path = "/v1/tenants/{name}/shards"
        return [
            Route("GET", path, "a tenant's shards", None, ShardPage, self.list_shards),
            Route("GET", path + "/{shard}", "one shard", None, ShardShown, self.get_shard),
            Route("PUT", path + "/{shard}", "pin it to regions", ShardWanted, ShardShown, self.put_shard),
            Route("DELETE", path + "/{shard}", "let its pin end", None, None, self.delete_shard),
        ]

    async def list_shards(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}/shards. Raises ApiError if there is no such tenant."""
        tenant = request.path_params["name"]
        caller.require_role("reader", tenant)
        return json_response(
            ShardPage(await self.store_writer.run_sync(self._view_all, self.store_writer.store, tenant))
        )

    def _view_all(self, store: Store, tenant: str) -> list[ShardShown]:
        shards = self.changes.tenant_shards(store, tenant).shards
        return [self.presenter.view(store, record, revision) for record, revision in shards.values()]

    async def get_shard(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}/shards/{shard}. Raises ApiError if there is no such shard."""
        tenant, shard = request.path_params["name"], request.path_params["shard"]
        caller.require_role("reader", tenant)
        shown = await self.store_writer.run_sync(self._view_one, self.store_writer.store, tenant, shard)
        return json_response(shown, etag=shown.revision)

    def _view_one(self, store: Store, tenant: str, shard: str) -> ShardShown:
        shards = self.changes.tenant_shards(store, tenant).shards
        if shard not in shards:
            raise NotFoundError(f"no shard {shard}")
        record, revision = shards[shard]
        if record.is_ending:
            raise NotFoundError(f"no shard {shard}")
        return self.presenter.view(store, record, revision)

    async def put_shard(self, request: Request, caller: Caller) -> Response:
        """PUT /v1/tenants/{name}/shards/{shard}; If-Match has the entity tag of an existing shard.

        There is no If-Match for a new shard. Raises ApiError if the change is refused.
        """
        tenant, shard = request.path_params["name"], request.path_params["shard"]
        caller.require_role("operator", tenant)
        wanted, body = await read_json(request, ShardWanted)
        expected = if_match_revision(request) if request.headers.get("if-match") else None

        async def make(idempotency: IdempotencyKey | None) -> Response:
            shown = await self.changes.put(tenant, shard, wanted, expected, caller.name, idempotency)
            return json_response(shown, 200, shown.revision)

        return await run_once(self.store_writer, request, caller, body, make)

    async def delete_shard(self, request: Request, caller: Caller) -> Response:
        """DELETE /v1/tenants/{name}/shards/{shard}. Raises ApiError if the removal is refused."""
        tenant, shard = request.path_params["name"], request.path_params["shard"]
        caller.require_role("operator", tenant)
        await self.changes.remove(tenant, shard, if_match_revision(request), caller.name)
        return Response(status_code=204)
