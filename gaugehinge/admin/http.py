"""Requests of the administration API read and checked, and its responses made."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Generic, NamedTuple, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from .errors import (
    InvalidRequestError,
    MalformedJsonError,
    PayloadTooLargeError,
    PreconditionFailedError,
    PreconditionRequiredError,
    UnsupportedMediaTypeError,
)
from .openapi import JSON_TYPE, PROBLEM_TYPE
from .types import Problem

MAX_BODY_SIZE = 64 * 1024  # bytes
MAX_PAGE_SIZE = 500  # items of one response
MAX_DIGITS = 15  # of a number in a query or an entity tag
NO_STORE = {"Cache-Control": "no-store"}  # for responses with secrets or hashes in them

T = TypeVar("T")


class JsonBody(NamedTuple, Generic[T]):
    """The body of a request, decoded and as it came."""

    value: T
    raw: bytes


def json_response(
    value: Any, status: int = 200, etag: int = 0, headers: Mapping[str, str] | None = None
) -> Response:
    """A response with a JSON body; `etag` is the revision of the resource, 0 for none."""
    return Response(msgspec.json.encode(value), status, _with_etag(headers, etag), media_type=JSON_TYPE)


def problem_response(
    status: int,
    title: str,
    detail: str = "",
    field: str = "",
    etag: int = 0,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """A problem document (RFC 9457); it never has a traceback in it."""
    problem = Problem(f"urn:gaugehinge:{title.replace(' ', '-')}", title, status, detail, field)
    return Response(msgspec.json.encode(problem), status, _with_etag(headers, etag), media_type=PROBLEM_TYPE)


def _with_etag(headers: Mapping[str, str] | None, etag: int) -> dict[str, str]:
    tag = {"ETag": f'"{etag}"'} if etag else {}
    return {**(headers or {}), **tag}


async def read_body(request: Request) -> bytes:
    """The body of a request.

    Raises:
        PayloadTooLargeError: It is longer than `MAX_BODY_SIZE`; the rest is not read.
    """
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_SIZE:
            raise PayloadTooLargeError(f"over {MAX_BODY_SIZE} bytes")
    return bytes(body)


async def read_json(request: Request, body_type: type[T]) -> JsonBody[T]:
    """The body of a request, as a struct; an empty one counts as an empty object.

    Raises:
        PayloadTooLargeError: It is too long.
        UnsupportedMediaTypeError: It is not declared as JSON.
        MalformedJsonError: It is not JSON.
        InvalidRequestError: It does not fit the struct; the error names the field.
    """
    media_type = request.headers.get("content-type", JSON_TYPE).partition(";")[0].strip().lower()
    body = await read_body(request)
    if media_type != JSON_TYPE and body:
        raise UnsupportedMediaTypeError("bodies are application/json")
    try:
        return JsonBody(msgspec.json.decode(body or b"{}", type=body_type), body)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        raise InvalidRequestError(message, path.strip("`.")) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedJsonError(str(error)) from error


def if_match_revision(request: Request) -> int:
    """The revision that a change is made for, from the header If-Match.

    Raises:
        PreconditionRequiredError: The header is missing.
        PreconditionFailedError: It is not an entity tag of this API.
    """
    header = request.headers.get("if-match", "")
    if not header:
        raise PreconditionRequiredError("read it first, and send its ETag as If-Match")
    tag = header.strip().removeprefix("W/").strip('"')
    if not _is_number(tag):
        raise PreconditionFailedError("If-Match is no entity tag of ours")
    return int(tag)


def query_int(request: Request, name: str, default: int, maximum: int) -> int:
    """A number of the query, at most `maximum`; `default` if it is missing.

    Raises:
        InvalidRequestError: It is not a number.
    """
    text = request.query_params.get(name, "")
    if not text:
        return default
    if not _is_number(text):
        raise InvalidRequestError("not a number", name)
    return min(int(text), maximum)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
