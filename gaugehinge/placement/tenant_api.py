"""The HTTP calls by which tenants pin their shards."""

from __future__ import annotations

from typing import Any

from starlette.requests import Request
from starlette.responses import Response

from ..admin.app import answer, if_match, once, read
from ..admin.service import Administration, Caller, Wrong
from ..store.store import Store
from .api_types import ShardPage, ShardShown, ShardWanted
from .shard_changes import ShardChanges
from .shard_view import ShardPresenter


class TenantApi:
    """Handlers below `/v1/tenants/{name}/shards`."""

    def __init__(
        self, administration: Administration, changes: ShardChanges, presenter: ShardPresenter
    ) -> None:
        """`changes`: carries out what is asked for; `presenter`: makes the answers."""
        self.administration = administration
        self.keeper = administration.keeper
        self.changes = changes
        self.presenter = presenter

    def routes(self) -> list[tuple[str, str, str, Any, Any, Any]]:
        """Rows of the API's table."""
        path = "/v1/tenants/{name}/shards"
        return [
            ("GET", path, "a tenant's shards", None, ShardPage, self.list_shards),
            ("GET", path + "/{shard}", "one shard", None, ShardShown, self.get_shard),
            ("PUT", path + "/{shard}", "pin it to regions", ShardWanted, ShardShown, self.put_shard),
            ("DELETE", path + "/{shard}", "let its pin end", None, None, self.delete_shard),
        ]

    async def list_shards(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}/shards. Raises Wrong where there is no such tenant."""
        tenant = request.path_params["name"]
        caller.need("reader", tenant)
        return answer(ShardPage(await self.keeper.run_sync(self._view_all, self.keeper.store, tenant)))

    def _view_all(self, store: Store, tenant: str) -> list[ShardShown]:
        shards = self.changes.tenant_shards(store, tenant).shards
        return [self.presenter.view(store, record, revision) for record, revision in shards.values()]

    async def get_shard(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}/shards/{shard}. Raises Wrong where there is none."""
        tenant, shard = request.path_params["name"], request.path_params["shard"]
        caller.need("reader", tenant)
        found = await self.keeper.run_sync(self._view_one, self.keeper.store, tenant, shard)
        return answer(found, etag=found.revision)

    def _view_one(self, store: Store, tenant: str, shard: str) -> ShardShown:
        shards = self.changes.tenant_shards(store, tenant).shards
        if shard not in shards:
            raise Wrong(404, "not found", f"no shard {shard}")
        record, revision = shards[shard]
        if record.is_ending:
            raise Wrong(404, "not found", f"no shard {shard}")
        return self.presenter.view(store, record, revision)

    async def put_shard(self, request: Request, caller: Caller) -> Response:
        """PUT /v1/tenants/{name}/shards/{shard}: If-Match with the tag of what exists, none for a new one.

        Raises Wrong where it is refused.
        """
        tenant, shard = request.path_params["name"], request.path_params["shard"]
        caller.need("operator", tenant)
        wanted, body = await read(request, ShardWanted)
        expected = if_match(request) if request.headers.get("if-match") else None

        async def make(**idempotency: Any) -> Response:
            made = await self.changes.put(tenant, shard, wanted, expected, caller.name, **idempotency)
            return answer(made, 200, made.revision)

        return await once(self.administration, request, caller, body, make)

    async def delete_shard(self, request: Request, caller: Caller) -> Response:
        """DELETE /v1/tenants/{name}/shards/{shard}. Raises Wrong where it is refused."""
        tenant, shard = request.path_params["name"], request.path_params["shard"]
        caller.need("operator", tenant)
        await self.changes.remove(tenant, shard, if_match(request), caller.name)
        return Response(status_code=204)
