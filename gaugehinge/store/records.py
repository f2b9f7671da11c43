"""Value types that are passed to and returned by the store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec


@dataclass(slots=True, frozen=True)
class Change:
    """One row of the change log."""

    revision: int
    timestamp: float  # Unix time by the writer's clock; only `revision` defines the order
    actor: str  # who made the change
    kind: str
    item_id: str
    body: bytes | None  # None: the item was removed


class Mutation(NamedTuple):
    """A requested change of one item: a new body, or its removal."""

    kind: str
    item_id: str
    body: bytes | None  # None: remove the item
    expected_revision: int | None = None  # 0: the item must not exist; None: any revision is accepted


class Item(NamedTuple):
    """The current state of one item."""

    kind: str
    item_id: str
    revision: int  # of its last change
    body: bytes


class StoreContents(NamedTuple):
    """All items as of one revision, ordered by kind and id."""

    revision: int
    items: list[Item]


@dataclass(slots=True, frozen=True)
class IdempotencyRecord:
    """What is stored about a call with an idempotency key, so that a retry gets the same response."""

    key: str
    request: bytes  # a digest that distinguishes a retry from a different call with the same key
    build_response: Callable[[list[Change]], bytes]  # called with the changes, before they are committed


class RecordedResponse(NamedTuple):
    """The request and response of an earlier call with an idempotency key."""

    request: bytes
    response: bytes


def encode(value: object) -> bytes:
    """Encode an item's body as JSON with sorted keys, so that equal values give equal bytes."""
    return msgspec.json.encode(value, order="sorted")
