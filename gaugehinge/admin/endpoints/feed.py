"""Endpoint of the feed that routers follow."""

from __future__ import annotations

from starlette.requests import Request
from starlette.responses import Response

from ...tenancy.feed import Feed, Report
from ..caller import Caller
from ..control_plane import ControlPlane
from ..http import NO_STORE, json_response, read_json
from ..route import Route


class FeedEndpoints:
    """The endpoint `/v1/feed`."""

    def __init__(self, control_plane: ControlPlane) -> None:
        self._feed = control_plane.feed

    def routes(self) -> list[Route]:
        """Its route."""
        return [Route("POST", "/v1/feed", "news for a router, and its report", Report, Feed, self.poll)]

    async def poll(self, request: Request, caller: Caller) -> Response:
        """POST /v1/feed: the response has hashes of secrets in it, so it is for routers alone."""
        caller.require_role("router")
        report, _ = await read_json(request, Report)
        return json_response(await self._feed.poll(report), headers=NO_STORE)
