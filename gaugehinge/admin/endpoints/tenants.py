"""Endpoints of tenants and their credentials."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response

from ...tenancy.lifecycle import TenantAction
from ..caller import Caller
from ..control_plane import ControlPlane
from ..http import MAX_PAGE_SIZE, NO_STORE, if_match_revision, json_response, query_int, read_json
from ..idempotency import run_once
from ..route import Route
from ..transactions import IdempotencyKey
from ..types import NewTenant, Page, Rotation, Secret, Tenant, TenantChange

DEFAULT_PAGE_SIZE = 100
ONE_TENANT = "/v1/tenants/{name}"


class TenantEndpoints:
    """The endpoints under `/v1/tenants`."""

    def __init__(self, control_plane: ControlPlane) -> None:
        self._tenants = control_plane.tenants
        self._store_writer = control_plane.store_writer

    def routes(self) -> list[Route]:
        """Their routes."""
        credentials = f"{ONE_TENANT}/credentials"
        return [
            Route("GET", "/v1/tenants", "tenants in the order of their names", None, Page, self.list_page),
            Route("POST", "/v1/tenants", "make a tenant", NewTenant, Tenant, self.create),
            Route("GET", ONE_TENANT, "one tenant", None, Tenant, self.get),
            Route("PATCH", ONE_TENANT, "change its figures", TenantChange, Tenant, self.update),
            Route("DELETE", ONE_TENANT, "let it leave", None, None, self.remove),
            Route("POST", f"{ONE_TENANT}/activate", "take its operations", None, Tenant, self.activate),
            Route("POST", f"{ONE_TENANT}/suspend", "take none for now", None, Tenant, self.suspend),
            Route("POST", credentials, "a new secret", Rotation, Secret, self.add_credential),
            Route("DELETE", f"{credentials}/{{ident}}", "end a secret", None, None, self.revoke_credential),
        ]

    async def list_page(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants, with `limit` and `after`."""
        caller.require_role("reader")
        limit = max(query_int(request, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE), 1)
        return json_response(await self._tenants.list_page(request.query_params.get("after", ""), limit))

    async def create(self, request: Request, caller: Caller) -> Response:
        """POST /v1/tenants, with an idempotency key if there is one."""
        caller.require_role("operator")
        new, raw = await read_json(request, NewTenant)

        async def create(idempotency: IdempotencyKey | None) -> Response:
            tenant = await self._tenants.create(new, caller.name, idempotency)
            location = {"Location": f"/v1/tenants/{tenant.name}"}
            return json_response(tenant, 201, tenant.revision, location)

        return await run_once(self._store_writer, request, caller, raw, create)

    async def get(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}."""
        name = request.path_params["name"]
        caller.require_role("reader", name)
        return _tenant_response(await self._tenants.get(name))

    async def update(self, request: Request, caller: Caller) -> Response:
        """PATCH /v1/tenants/{name}, with If-Match."""
        caller.require_role("operator")
        change, _ = await read_json(request, TenantChange)
        name, revision = request.path_params["name"], if_match_revision(request)
        return _tenant_response(await self._tenants.update(name, change, revision, caller.name))

    async def remove(self, request: Request, caller: Caller) -> Response:
        """DELETE /v1/tenants/{name}, with If-Match."""
        caller.require_role("operator")
        await self._tenants.remove(request.path_params["name"], if_match_revision(request), caller.name)
        return Response(status_code=204)

    async def activate(self, request: Request, caller: Caller) -> Response:
        """POST /v1/tenants/{name}/activate, with If-Match."""
        return await self._transition(request, caller, TenantAction.ACTIVATE)

    async def suspend(self, request: Request, caller: Caller) -> Response:
        """POST /v1/tenants/{name}/suspend, with If-Match."""
        return await self._transition(request, caller, TenantAction.SUSPEND)

    async def _transition(self, request: Request, caller: Caller, action: TenantAction) -> Response:
        caller.require_role("operator")
        name, revision = request.path_params["name"], if_match_revision(request)
        return _tenant_response(await self._tenants.transition(name, action, revision, caller.name))

    async def add_credential(self, request: Request, caller: Caller) -> Response:
        """POST /v1/tenants/{name}/credentials, with an idempotency key if there is one."""
        name = request.path_params["name"]
        caller.require_role("operator", name)
        rotation, raw = await read_json(request, Rotation)

        async def create(idempotency: IdempotencyKey | None) -> Response:
            secret = await self._tenants.add_credential(name, rotation.overlap, caller.name, idempotency)
            return json_response(secret, 201, headers=NO_STORE)

        return await run_once(self._store_writer, request, caller, raw, create)

    async def revoke_credential(self, request: Request, caller: Caller) -> Response:
        """DELETE /v1/tenants/{name}/credentials/{ident}."""
        name = request.path_params["name"]
        caller.require_role("operator", name)
        await self._tenants.revoke_credential(name, request.path_params["ident"], caller.name)
        return Response(status_code=204)


def _tenant_response(tenant: Tenant) -> Response:
    return json_response(tenant, etag=tenant.revision)
