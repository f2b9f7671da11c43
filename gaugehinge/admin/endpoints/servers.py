"""Endpoints of orders over cache servers."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response

from ..caller import Caller
from ..control_plane import ControlPlane
from ..http import json_response
from ..route import Route
from ..types import ServerOrder, ServerPage

ONE_SERVER = "/v1/servers/{name}"


class ServerEndpoints:
    """The endpoints under `/v1/servers`."""

    def __init__(self, control_plane: ControlPlane) -> None:
        self._servers = control_plane.servers

    def routes(self) -> list[Route]:
        """Their routes."""
        return [
            Route("GET", "/v1/servers", "orders that stand", None, ServerPage, self.list_all),
            Route("POST", f"{ONE_SERVER}/drain", "nothing new to a server", None, ServerOrder, self.drain),
            Route("POST", f"{ONE_SERVER}/restore", "as discovery says", None, ServerOrder, self.restore),
        ]

    async def list_all(self, request: Request, caller: Caller) -> Response:
        """GET /v1/servers."""
        caller.require_role("reader")
        return json_response(ServerPage(await self._servers.list_all()))

    async def drain(self, request: Request, caller: Caller) -> Response:
        """POST /v1/servers/{name}/drain."""
        return await self._set_draining(request, caller, draining=True)

    async def restore(self, request: Request, caller: Caller) -> Response:
        """POST /v1/servers/{name}/restore."""
        return await self._set_draining(request, caller, draining=False)

    async def _set_draining(self, request: Request, caller: Caller, *, draining: bool) -> Response:
        caller.require_role("operator")
        name = request.path_params["name"]
        return json_response(await self._servers.set_draining(name, draining, caller.name))
