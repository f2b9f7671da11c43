"""Endpoint of the audit log."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response

from ..caller import Caller
from ..control_plane import ControlPlane
from ..http import MAX_PAGE_SIZE, json_response, query_int
from ..route import Route
from ..types import AuditPage

DEFAULT_PAGE_SIZE = 100
MAX_WAIT = 30.0  # seconds that a watch may wait for a change
MAX_REVISION = 1 << 53  # up to which numbers of JSON are exact


class AuditEndpoints:
    """The endpoint `/v1/audit`."""

    def __init__(self, control_plane: ControlPlane) -> None:
        self._audit = control_plane.audit

    def routes(self) -> list[Route]:
        """Its route."""
        return [Route("GET", "/v1/audit", "changes behind a revision", None, AuditPage, self.read)]

    async def read(self, request: Request, caller: Caller) -> Response:
        """GET /v1/audit, with `since`, `limit`, and for a watch `wait` in seconds."""
        caller.require_role("reader")
        since = query_int(request, "since", 0, MAX_REVISION)
        limit = max(query_int(request, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE), 1)
        wait = float(query_int(request, "wait", 0, int(MAX_WAIT)))
        changes = await self._audit.read(since, limit, wait)
        return json_response(AuditPage(changes, changes[-1].revision if changes else since))
