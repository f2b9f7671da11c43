"""The OpenAPI description of the administration API, made from its routes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from .route import Route
from .types import Problem

SCHEMA_REFERENCE = "#/components/schemas/{name}"
JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"


def describe(routes: Sequence[Route]) -> dict[str, Any]:
    """The description of the routes, as a JSON object."""
    paths: dict[str, Any] = {}
    for route in routes:
        paths.setdefault(route.path, {})[route.method.lower()] = _operation(route)
    return {
        "openapi": "3.1.0",
        "info": {"title": "gaugehinge administration", "version": "1"},
        "components": {
            "schemas": _schemas(routes),
            "securitySchemes": {"secret": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"secret": []}],
        "paths": paths,
    }


def _schemas(routes: Sequence[Route]) -> dict[str, Any]:
    bodies = [
        body for route in routes for body in (route.request_type, route.response_type) if body is not None
    ]
    _, schemas = msgspec.json.schema_components([*bodies, Problem], ref_template=SCHEMA_REFERENCE)
    return schemas


def _operation(route: Route) -> dict[str, Any]:
    success = {"description": "done", **(_content(route.response_type) if route.response_type else {})}
    failure = {"description": "a problem", **_content(Problem, PROBLEM_TYPE)}
    operation: dict[str, Any] = {
        "summary": route.summary,
        "responses": {"2XX": success, "4XX": failure, "503": failure},
    }
    if route.request_type is not None:
        operation["requestBody"] = {"required": True, **_content(route.request_type)}
    operation["parameters"] = [
        {"name": part[1:-1], "in": "path", "required": True, "schema": {"type": "string"}}
        for part in route.path.split("/")
        if part.startswith("{")
    ]
    return operation


def _content(body: type[msgspec.Struct], media_type: str = JSON_TYPE) -> dict[str, Any]:
    return {"content": {media_type: {"schema": {"$ref": SCHEMA_REFERENCE.format(name=body.__name__)}}}}
