"""The administration API as an ASGI application: all routes, each within the limits of load and time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from loguru import logger
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route as StarletteRoute

from ..store.errors import DiskFullError, StoreOverloadedError
from .control_plane import ControlPlane
from .endpoints.audit import MAX_WAIT, AuditEndpoints
from .endpoints.feed import FeedEndpoints
from .endpoints.operators import OperatorEndpoints
from .endpoints.routers import RouterEndpoints
from .endpoints.servers import ServerEndpoints
from .endpoints.tenants import TenantEndpoints
from .errors import ApiError, UnauthorizedError
from .http import json_response, problem_response
from .openapi import describe
from .rate_limit import CallerRateLimiter
from .request_id import RequestIdMiddleware
from .route import Handler, Route

MAX_OPEN_CALLS = 256  # more are shed before anything is read of them
MAX_CALL_TIME = 10.0  # seconds of a call, its wait for changes not counted
OVERLOAD_RETRY_AFTER = "1"  # seconds
TIMEOUT_RETRY_AFTER = "5"


class Api:
    """The API of one control plane."""

    def __init__(self, control_plane: ControlPlane) -> None:
        self._control_plane = control_plane
        self._rate_limiter = CallerRateLimiter(control_plane.store_writer.clock)
        self._open_calls = 0
        self.routes = _routes(control_plane)
        self._description = describe(self.routes)

    def app(self) -> Starlette:
        """The ASGI application."""
        routes = [
            StarletteRoute(route.path, self._guarded(route.handler), methods=[route.method])
            for route in self.routes
        ]
        routes.append(StarletteRoute("/v1/openapi.json", self._openapi, methods=["GET"]))
        routes.append(StarletteRoute("/healthz", self._health, methods=["GET"]))
        return Starlette(
            routes=routes,
            middleware=[Middleware(RequestIdMiddleware)],
            exception_handlers={404: self._no_route, 405: self._no_route},
        )

    async def _no_route(self, request: Request, error: Exception) -> Response:
        status = getattr(error, "status_code", 404)
        return problem_response(status, "not found" if status == 404 else "method not allowed")

    async def _openapi(self, request: Request) -> Response:
        return json_response(self._description)

    async def _health(self, request: Request) -> Response:
        return json_response({"revision": self._control_plane.store_writer.revision})

    def _guarded(self, handler: Handler) -> Callable[[Request], Awaitable[Response]]:
        """A handler within the limit of open calls."""

        async def guarded(request: Request) -> Response:
            if self._open_calls >= MAX_OPEN_CALLS:
                return _overloaded()
            self._open_calls += 1
            try:
                return await self._call(handler, request)
            finally:
                self._open_calls -= 1

        return guarded

    async def _call(self, handler: Handler, request: Request) -> Response:
        """The response of a handler; whatever goes wrong is a problem document."""
        try:
            with trio.move_on_after(MAX_CALL_TIME + MAX_WAIT):
                return await self._call_authenticated(handler, request)
            return problem_response(
                503,
                "too slow",
                "the store did not answer in time",
                headers={"Retry-After": TIMEOUT_RETRY_AFTER},
            )
        except ApiError as error:
            headers = {"WWW-Authenticate": "Bearer"} if isinstance(error, UnauthorizedError) else {}
            return problem_response(error.status, error.title, error.detail, error.field, error.etag, headers)
        except StoreOverloadedError:
            return _overloaded()
        except DiskFullError:
            return problem_response(507, "storage full", "nothing was changed")
        except Exception:
            logger.exception("a call of the API failed")
            return problem_response(500, "internal error")

    async def _call_authenticated(self, handler: Handler, request: Request) -> Response:
        scheme, _, secret = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not secret:
            raise UnauthorizedError
        source = request.client.host if request.client else ""
        caller = await self._control_plane.authenticator.authenticate(secret.strip(), source)
        # Routers share a secret, and their calls stand open until there is news for all of them at once.
        wait = 0.0 if caller.role == "router" else self._rate_limiter.acquire(caller.name)
        if wait:
            return problem_response(429, "too many calls", headers={"Retry-After": f"{wait:.0f}"})
        return await handler(request, caller)


def _routes(control_plane: ControlPlane) -> list[Route]:
    """All routes, in the order of the OpenAPI description."""
    return [
        *TenantEndpoints(control_plane).routes(),
        *ServerEndpoints(control_plane).routes(),
        *RouterEndpoints(control_plane).routes(),
        *OperatorEndpoints(control_plane).routes(),
        *FeedEndpoints(control_plane).routes(),
        *AuditEndpoints(control_plane).routes(),
        *(route for extension in control_plane.extensions for route in extension.routes()),
    ]


def _overloaded() -> Response:
    return problem_response(503, "overloaded", headers={"Retry-After": OVERLOAD_RETRY_AFTER})
