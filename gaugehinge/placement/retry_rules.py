"""Which operations must not run a second time while their shard moves. No I/O, no clock."""

from __future__ import annotations

from ..routing.types import Effect, Operation
from .shard_table import KeyPlacement


def has_idempotency_key(operation: Operation) -> bool:
    """Whether servers deduplicate the operation, for as long as they remember its first run."""
    return operation.is_write and operation.traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY


def blocks_retry(placement: KeyPlacement, operation: Operation) -> bool:
    """Whether an operation is a client's retry that must not be sent until its shard has moved."""
    return placement.retries_blocked and operation.is_client_retry and has_idempotency_key(operation)


def may_have_run(operation: Operation) -> bool:
    """Whether an operation may already have run and is not idempotent."""
    return operation.may_have_run_on is not None and operation.traffic_type.effect is not Effect.IDEMPOTENT
