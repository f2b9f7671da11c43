"""Changes of the store on behalf of the API: planned from its current state, retried on conflicts."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from dataclasses import dataclass

from ..store.async_store import AsyncStore
from ..store.errors import RevisionConflictError
from ..store.records import Change, IdempotencyRecord, Mutation
from ..store.store import Store
from .errors import BusyError, ResourceConflictError

MAX_ATTEMPTS = 5  # of a change that conflicts with other writers, if its caller named no revision

Plan = Callable[[Store, float], list[Mutation]]
"""Returns the mutations to make, given the store and the wall-clock time in seconds.

Runs on the store's thread.
"""

ResponseEncoder = Callable[[list[Change]], bytes]
"""Encodes the response to store for a call with an idempotency key, from the changes that it made."""


@dataclass(slots=True, frozen=True)
class IdempotencyKey:
    """The idempotency key of a call, and a digest of the call's request."""

    key: str
    request_digest: bytes


def no_response(changes: list[Change]) -> bytes:
    """Encode no response: a repeat of the call is then answered with a conflict."""
    return b""


async def commit(
    store_writer: AsyncStore,
    plan: Plan,
    actor: str,
    idempotency: IdempotencyKey | None = None,
    encode_response: ResponseEncoder = no_response,
) -> list[Change]:
    """Apply the mutations of a plan atomically, together with their audit log entries.

    Args:
        store_writer: The store.
        plan: Returns the mutations; called again on each attempt.
        actor: Who makes the changes, as the audit log shows it.
        idempotency: Set if the call carried an idempotency key; its response is stored with the changes.
        encode_response: Encodes the response to store.

    Raises:
        ResourceConflictError: Another call with the same idempotency key is in progress.
        BusyError: All `MAX_ATTEMPTS` attempts conflicted with other writers.
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
