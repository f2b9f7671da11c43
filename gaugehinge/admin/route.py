"""A route of the administration API, as the control plane and its extensions declare them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from .caller import Caller

Handler = Callable[[Request, Caller], Awaitable[Response]]


@dataclass(slots=True, frozen=True)
class Route:
    """One operation of the API: what it is called by, what its description says, and what carries it out."""

    method: str
    path: str  # with `{name}` for each path parameter
    summary: str  # as the OpenAPI description has it
    request_type: type[msgspec.Struct] | None  # of the body; None: it has none
    response_type: type[msgspec.Struct] | None
    handler: Handler
