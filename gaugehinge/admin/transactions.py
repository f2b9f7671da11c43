"""Changes of the store on behalf of the API: planned from what stands, and retried on conflicts."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass

from ..store.async_store import AsyncStore
from ..store.errors import RevisionConflictError
from ..store.records import Change, IdempotencyRecord, Mutation
from ..store.store import Store
from .errors import BusyError, ResourceConflictError

MAX_ATTEMPTS = 5  # of a change whose preconditions another writer changed, if the caller named no revision

Plan = Callable[[Store, float], list[Mutation]]
"""Decides on the store's thread, from the store and the wall-clock time in seconds, what to change."""

ResponseEncoder = Callable[[list[Change]], bytes]
"""Makes the stored response of a call with an idempotency key from the changes that it made."""


@dataclass(slots=True, frozen=True)
class IdempotencyKey:
    """The idempotency key of a call, and a digest of the request that it stands for."""

    key: str
    request_digest: bytes


def no_response(changes: list[Change]) -> bytes:
    """Store no response: a repeat of the call is answered with a conflict."""
    return b""


async def commit(
    store_writer: AsyncStore,
    plan: Plan,
    actor: str,
    idempotency: IdempotencyKey | None = None,
    encode_response: ResponseEncoder = no_response,
) -> list[Change]:
    """Make the changes that a plan decides on, all or none, with their rows of the audit log.

    Args:
        store_writer: The store.
        plan: What to change; called again on each attempt.
        actor: Who makes the changes, as the audit log shows it.
        idempotency: Given if the call carried an idempotency key: its response is stored with the changes.
        encode_response: The response to store.

    Raises:
        ResourceConflictError: Another call with the same idempotency key is under way.
        BusyError: Other writers came first on every attempt.
    """
    record = None
    if idempotency is not None:
        record = IdempotencyRecord(idempotency.key, idempotency.request_digest, encode_response)
    for _ in range(MAX_ATTEMPTS):
        try:
            return await store_writer.apply_planned(plan, actor, idempotency=record)
        except RevisionConflictError:
            continue
        except sqlite3.IntegrityError as error:
            raise ResourceConflictError("a call with this key is under way") from error
    raise BusyError("others change the same thing")
