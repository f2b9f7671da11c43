"""Endpoint that shows the routers."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response

from ..caller import Caller
from ..control_plane import ControlPlane
from ..http import json_response
from ..route import Route
from ..types import RouterPage


class RouterEndpoints:
    """The endpoint `/v1/routers`."""

    def __init__(self, control_plane: ControlPlane) -> None:
        self._routers = control_plane.routers

    def routes(self) -> list[Route]:
        """Its route."""
        return [Route("GET", "/v1/routers", "routers and what they hold", None, RouterPage, self.list_all)]

    async def list_all(self, request: Request, caller: Caller) -> Response:
        """GET /v1/routers."""
        caller.require_role("reader")
        return json_response(RouterPage(await self._routers.list_all()))
