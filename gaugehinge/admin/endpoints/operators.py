"""Endpoint that creates operators."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response

from ..caller import Caller
from ..control_plane import ControlPlane
from ..http import NO_STORE, json_response, read_json
from ..route import Route
from ..types import NewOperator, Secret


class OperatorEndpoints:
    """The endpoint `/v1/operators`."""

    def __init__(self, control_plane: ControlPlane) -> None:
        self._operators = control_plane.operators

    def routes(self) -> list[Route]:
        """Its route."""
        return [Route("POST", "/v1/operators", "a secret for the API", NewOperator, Secret, self.create)]

    async def create(self, request: Request, caller: Caller) -> Response:
        """POST /v1/operators."""
        caller.require_role("operator")
        new, _ = await read_json(request, NewOperator)
        secret = await self._operators.create(new.name, new.role, new.tenant, caller.name)
        return json_response(secret, 201, headers=NO_STORE)
