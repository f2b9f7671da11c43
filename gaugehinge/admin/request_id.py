"""Responses of the administration API repeat the number of their request."""

from __future__ import annotations

from starlette.datastructures import Headers, MutableHeaders
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from ..tenancy.request_id import REQUEST_ID_HEADER, is_request_id


class RequestIdMiddleware:
    """Adds the header to each response of an application whose request has one."""

    def __init__(self, app: ASGIApp) -> None:
        """`app`: what answers."""
        self.app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        request_id = Headers(scope=scope).get(REQUEST_ID_HEADER, "") if scope["type"] == "http" else ""
        if not is_request_id(request_id):
            await self.app(scope, receive, send)
            return

        async def send_with_id(message: Message) -> None:
            if message["type"] == "http.response.start":
                MutableHeaders(scope=message)[REQUEST_ID_HEADER] = request_id
            await send(message)

        await self.app(scope, receive, send_with_id)
