"""The API over HTTP: routes, limits, problems. What is done stands in service.py."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
import trio
from loguru import logger
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..store.errors import DiskFullError, StoreOverloadedError
from ..tenancy.feed import Feed, Report
from ..tenancy.lifecycle import TenantAction
from .service import Administration, Caller, Wrong
from .types import (
    AuditPage,
    NewOperator,
    NewTenant,
    Page,
    Problem,
    Rotation,
    RouterPage,
    Secret,
    ServerOrder,
    ServerPage,
    Tenant,
    TenantChange,
    openapi,
)

MOST_BODY = 64 * 1024
MOST_TIME = 10.0  # seconds of a call, its wait for news not counted
MOST_WAIT = 30.0  # of a watch
MOST_PAGE = 500
MOST_KEY = 200  # characters of an idempotency key
RATE, BURST = 50.0, 100.0  # calls a second of one caller, and in a row
CALLERS = 1024  # whose rates are known; the longest quiet one goes first
MOST_OPEN = 256  # calls at once: more are shed before anything is read of them

T = TypeVar("T")
Handler = Callable[[Request, Caller], Awaitable[Response]]


class Rates:
    """Calls of each caller, by a bucket each."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self._left: dict[str, tuple[float, float]] = {}  # CALLERS of them

    def take(self, name: str) -> float:
        """0 and one call taken, or the seconds until one is free."""
        now = self.clock()
        left, at = self._left.pop(name, (BURST, now))
        left = min(left + RATE * max(now - at, 0.0), BURST)
        good = left >= 1.0
        self._left[name] = left - good, now
        while len(self._left) > CALLERS:
            del self._left[next(iter(self._left))]
        return 0.0 if good else (1.0 - left) / RATE


def answer(value: Any, status: int = 200, etag: int = 0, **headers: str) -> Response:
    """JSON, with the revision as its entity tag."""
    if etag:
        headers["ETag"] = f'"{etag}"'
    return Response(msgspec.json.encode(value), status, headers, media_type="application/json")


def problem(
    status: int, title: str, detail: str = "", field: str = "", etag: int = 0, **headers: str
) -> Response:
    """Problem details; never a trace."""
    told = Problem(f"urn:gaugehinge:{title.replace(' ', '-')}", title, status, detail, field)
    if etag:
        headers["ETag"] = f'"{etag}"'
    return Response(msgspec.json.encode(told), status, headers, media_type="application/problem+json")


async def read_body(request: Request) -> bytes:
    """The whole body, cut off where it is too long. Raises Wrong."""
    body = bytearray()
    async for part in request.stream():
        body += part
        if len(body) > MOST_BODY:
            raise Wrong(413, "too large", f"over {MOST_BODY} bytes")
    return bytes(body)


async def read(request: Request, form: type[T]) -> tuple[T, bytes]:
    """The body as a struct, and as it came. Raises Wrong with the field."""
    kind = request.headers.get("content-type", "application/json").partition(";")[0].strip().lower()
    body = await read_body(request)
    if kind != "application/json" and body:
        raise Wrong(415, "unsupported media type", "bodies are application/json")
    try:
        return msgspec.json.decode(body or b"{}", type=form), body
    except msgspec.ValidationError as bad:
        told, _, place = str(bad).partition(" - at `$")
        raise Wrong(422, "invalid", told, place.strip("`.")) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as bad:
        raise Wrong(400, "no JSON", str(bad)) from None


def if_match(request: Request) -> int:
    """The revision that a change is made for. Raises Wrong."""
    told = request.headers.get("if-match", "")
    if not told:
        raise Wrong(428, "precondition required", "read it first, and send its ETag as If-Match")
    number = told.strip().removeprefix("W/").strip('"')
    if not number.isascii() or not number.isdigit() or len(number) > 15:
        raise Wrong(412, "precondition failed", "If-Match is no entity tag of ours")
    return int(number)


def number(request: Request, name: str, default: int, most: int) -> int:
    """A figure of the query. Raises Wrong."""
    told = request.query_params.get(name, "")
    if not told:
        return default
    if not told.isascii() or not told.isdigit() or len(told) > 15:
        raise Wrong(422, "invalid", "not a number", name)
    return min(int(told), most)


async def once(
    administration: Administration,
    request: Request,
    caller: Caller,
    body: bytes,
    make: Callable[..., Awaitable[Response]],
) -> Response:
    """A call with an idempotency key is made once; its repeat gets the same answer. Raises Wrong."""
    key = request.headers.get("idempotency-key", "")
    if len(key) > MOST_KEY:
        raise Wrong(422, "invalid", f"over {MOST_KEY} characters", "Idempotency-Key")
    if not key:
        return await make()
    print_ = hashlib.sha256(f"{request.method} {request.url.path}\n".encode() + body).digest()
    keeper = administration.keeper
    held = await keeper.run_sync(keeper.store.recorded_response, caller.name, key)
    if held is None:
        return await make(key=key, request=print_)
    if held[0] != print_:
        raise Wrong(422, "invalid", "another call had this key", "Idempotency-Key")
    if not held[1]:
        raise Wrong(409, "conflict", "it was made, and its secret is shown once")
    return Response(held[1], 201, {"Idempotent-Replayed": "true"}, media_type="application/json")


class Api:
    """The routes on one store."""

    def __init__(self, administration: Administration) -> None:
        self.administration = administration
        self.rates = Rates(administration.keeper.clock)
        self.open = 0
        self.table = [
            ("GET", "/v1/tenants", "tenants in the order of their names", None, Page, self.tenants),
            ("POST", "/v1/tenants", "make a tenant", NewTenant, Tenant, self.create),
            ("GET", "/v1/tenants/{name}", "one tenant", None, Tenant, self.tenant),
            ("PATCH", "/v1/tenants/{name}", "change its figures", TenantChange, Tenant, self.change),
            ("DELETE", "/v1/tenants/{name}", "let it leave", None, None, self.remove),
            ("POST", "/v1/tenants/{name}/activate", "take its operations", None, Tenant, self.activate),
            ("POST", "/v1/tenants/{name}/suspend", "take none for now", None, Tenant, self.suspend),
            ("POST", "/v1/tenants/{name}/credentials", "a new secret", Rotation, Secret, self.credential),
            ("DELETE", "/v1/tenants/{name}/credentials/{ident}", "end a secret", None, None, self.revoke),
            ("GET", "/v1/servers", "orders that stand", None, ServerPage, self.servers),
            ("POST", "/v1/servers/{name}/drain", "nothing new to a server", None, ServerOrder, self.drain),
            ("POST", "/v1/servers/{name}/restore", "as discovery says", None, ServerOrder, self.restore),
            ("GET", "/v1/routers", "routers and what they hold", None, RouterPage, self.routers),
            ("POST", "/v1/operators", "a secret for the API", NewOperator, Secret, self.operator),
            ("POST", "/v1/feed", "news for a router, and its report", Report, Feed, self.feed),
            ("GET", "/v1/audit", "changes behind a revision", None, AuditPage, self.audit),
        ]
        for part in administration.parts:
            self.table += part.routes()
        self.description = openapi([row[:5] for row in self.table])

    def app(self) -> Starlette:
        """The ASGI application."""
        routes = [
            Route(path, self._guarded(handler), methods=[method]) for method, path, *_, handler in self.table
        ]
        routes.append(Route("/v1/openapi.json", self._openapi, methods=["GET"]))
        routes.append(Route("/healthz", self._health, methods=["GET"]))
        unknown = {404: self._unknown, 405: self._unknown}
        return Starlette(routes=routes, exception_handlers=unknown)

    async def _unknown(self, request: Request, bad: Exception) -> Response:
        status = getattr(bad, "status_code", 404)
        return problem(status, "not found" if status == 404 else "method not allowed")

    async def _openapi(self, request: Request) -> Response:
        return answer(self.description)

    async def _health(self, request: Request) -> Response:
        return answer({"revision": self.administration.keeper.revision})

    def _guarded(self, handler: Handler) -> Callable[[Request], Awaitable[Response]]:
        """A handler within all limits; whatever goes wrong is a problem in the protocol."""

        async def guarded(request: Request) -> Response:
            if self.open >= MOST_OPEN:
                return problem(503, "overloaded", **{"Retry-After": "1"})
            self.open += 1
            try:
                with trio.move_on_after(MOST_TIME + MOST_WAIT):
                    return await self._called(handler, request)
                return problem(503, "too slow", "the store did not answer in time", **{"Retry-After": "5"})
            except Wrong as bad:
                headers = {"WWW-Authenticate": "Bearer"} if bad.status == 401 else {}
                return problem(bad.status, bad.what, bad.detail, bad.field, bad.etag, **headers)
            except StoreOverloadedError:
                return problem(503, "overloaded", **{"Retry-After": "1"})
            except DiskFullError:
                return problem(507, "storage full", "nothing was changed")
            except Exception:
                logger.exception("a call of the API failed")
                return problem(500, "internal error")
            finally:
                self.open -= 1

        return guarded

    async def _called(self, handler: Handler, request: Request) -> Response:
        form, _, secret = request.headers.get("authorization", "").partition(" ")
        if form.lower() != "bearer" or not secret:
            raise Wrong(401, "unauthorized", "no such secret")
        source = request.client.host if request.client else ""
        caller = await self.administration.caller(secret.strip(), source)
        # Routers share a secret, and their calls stand open until there is news for all of them at once.
        wait = 0.0 if caller.role == "router" else self.rates.take(caller.name)
        if wait:
            return problem(429, "too many calls", **{"Retry-After": f"{wait:.0f}"})
        return await handler(request, caller)

    async def _once(
        self, request: Request, caller: Caller, body: bytes, make: Callable[..., Awaitable[Response]]
    ) -> Response:
        return await once(self.administration, request, caller, body, make)

    # -- tenants

    async def tenants(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants."""
        caller.need("reader")
        most = max(number(request, "limit", 100, MOST_PAGE), 1)
        found, after = await self.administration.tenants(request.query_params.get("after", ""), most)
        return answer(Page(found, after))

    async def create(self, request: Request, caller: Caller) -> Response:
        """POST /v1/tenants."""
        caller.need("operator")
        new, body = await read(request, NewTenant)

        async def make(**key: Any) -> Response:
            made = await self.administration.create(new, caller.name, **key)
            return answer(made, 201, made.revision, Location=f"/v1/tenants/{made.name}")

        return await self._once(request, caller, body, make)

    async def tenant(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}."""
        name = request.path_params["name"]
        caller.need("reader", name)
        found = await self.administration.tenant(name)
        return answer(found, etag=found.revision)

    async def change(self, request: Request, caller: Caller) -> Response:
        """PATCH /v1/tenants/{name}."""
        caller.need("operator")
        told, _ = await read(request, TenantChange)
        name = request.path_params["name"]
        found = await self.administration.change(name, told, if_match(request), caller.name)
        return answer(found, etag=found.revision)

    async def remove(self, request: Request, caller: Caller) -> Response:
        """DELETE /v1/tenants/{name}."""
        caller.need("operator")
        await self.administration.remove(request.path_params["name"], if_match(request), caller.name)
        return Response(status_code=204)

    async def activate(self, request: Request, caller: Caller) -> Response:
        """POST /v1/tenants/{name}/activate."""
        return await self._tell(request, caller, TenantAction.ACTIVATE)

    async def suspend(self, request: Request, caller: Caller) -> Response:
        """POST /v1/tenants/{name}/suspend."""
        return await self._tell(request, caller, TenantAction.SUSPEND)

    async def _tell(self, request: Request, caller: Caller, wanted: TenantAction) -> Response:
        caller.need("operator")
        name = request.path_params["name"]
        found = await self.administration.tell(name, wanted, if_match(request), caller.name)
        return answer(found, etag=found.revision)

    async def credential(self, request: Request, caller: Caller) -> Response:
        """POST /v1/tenants/{name}/credentials."""
        name = request.path_params["name"]
        caller.need("operator", name)
        told, body = await read(request, Rotation)

        async def make(**key: Any) -> Response:
            made = await self.administration.new_credential(name, told.overlap, caller.name, **key)
            return answer(made, 201, **{"Cache-Control": "no-store"})

        return await self._once(request, caller, body, make)

    async def revoke(self, request: Request, caller: Caller) -> Response:
        """DELETE /v1/tenants/{name}/credentials/{ident}."""
        name = request.path_params["name"]
        caller.need("operator", name)
        await self.administration.drop_credential(name, request.path_params["ident"], caller.name)
        return Response(status_code=204)

    # -- servers, routers, operators

    async def servers(self, request: Request, caller: Caller) -> Response:
        """GET /v1/servers."""
        caller.need("reader")
        return answer(ServerPage(await self.administration.servers()))

    async def drain(self, request: Request, caller: Caller) -> Response:
        """POST /v1/servers/{name}/drain."""
        return await self._order(request, caller, True)

    async def restore(self, request: Request, caller: Caller) -> Response:
        """POST /v1/servers/{name}/restore."""
        return await self._order(request, caller, False)

    async def _order(self, request: Request, caller: Caller, drain: bool) -> Response:
        caller.need("operator")
        return answer(await self.administration.order_server(request.path_params["name"], drain, caller.name))

    async def routers(self, request: Request, caller: Caller) -> Response:
        """GET /v1/routers."""
        caller.need("reader")
        return answer(RouterPage(await self.administration.shown_routers()))

    async def operator(self, request: Request, caller: Caller) -> Response:
        """POST /v1/operators."""
        caller.need("operator")
        new, _ = await read(request, NewOperator)
        made = await self.administration.new_operator(new.name, new.role, new.tenant, caller.name)
        return answer(made, 201, **{"Cache-Control": "no-store"})

    async def feed(self, request: Request, caller: Caller) -> Response:
        """POST /v1/feed: hashes of secrets are in it, so it is for routers alone."""
        caller.need("router")
        report, _ = await read(request, Report)
        return answer(await self.administration.feed(report), **{"Cache-Control": "no-store"})

    # -- what happened

    async def audit(self, request: Request, caller: Caller) -> Response:
        """GET /v1/audit: `since`, `limit`, and `wait` in seconds for a watch."""
        caller.need("reader")
        since, most = number(request, "since", 0, 1 << 53), max(number(request, "limit", 100, MOST_PAGE), 1)
        wait = float(number(request, "wait", 0, int(MOST_WAIT)))
        changes = await self.administration.audit(since, most, wait)
        return answer(AuditPage(changes, changes[-1].revision if changes else since))
