"""Calls with an idempotency key: carried out once, their repeats answered from the stored response."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable

from starlette.requests import Request
from starlette.responses import Response

from ..store.async_store import AsyncStore
from .caller import Caller
from .errors import InvalidRequestError, ResourceConflictError
from .openapi import JSON_TYPE
from .transactions import IdempotencyKey

KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 200  # characters

Operation = Callable[[IdempotencyKey | None], Awaitable[Response]]
"""Carries a call out, and stores its response with its changes if it is given a key."""

Replay = Callable[[bytes], Awaitable[Response]]
"""Makes the response of a repeat from what was stored."""


async def replay_response(stored: bytes) -> Response:
    """Answer a repeat with the body that the first call was answered with.

    Raises:
        ResourceConflictError: No body was stored, since it had a secret in it.
    """
    if not stored:
        raise ResourceConflictError("it was made, and its secret is shown once")
    return Response(stored, 201, {"Idempotent-Replayed": "true"}, media_type=JSON_TYPE)


async def run_once(
    store_writer: AsyncStore,
    request: Request,
    caller: Caller,
    body: bytes,
    operation: Operation,
    replay: Replay = replay_response,
) -> Response:
    """Carry a call out, or answer it as a repeat.

    Args:
        store_writer: Where responses are stored.
        request: The call; without a key it is always carried out.
        caller: Whose key it is: keys of different callers are different.
        body: The body of the request as it came.
        operation: Carries the call out.
        replay: Answers a repeat.

    Raises:
        InvalidRequestError: The key is too long, or another request had it.
        ResourceConflictError: It is a repeat, and `replay` has nothing to answer it with.
    """
    key = request.headers.get(KEY_HEADER.lower(), "")
    if len(key) > MAX_KEY_LENGTH:
        raise InvalidRequestError(f"over {MAX_KEY_LENGTH} characters", KEY_HEADER)
    if not key:
        return await operation(None)
    digest = hashlib.sha256(f"{request.method} {request.url.path}\n".encode() + body).digest()
    recorded = await store_writer.run_sync(store_writer.store.recorded_response, caller.name, key)
    if recorded is None:
        return await operation(IdempotencyKey(key, digest))
    if recorded.request != digest:
        raise InvalidRequestError("another call had this key", KEY_HEADER)
    return await replay(recorded.response)
