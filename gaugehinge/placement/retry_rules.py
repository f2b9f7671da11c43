"""Which operations of a moving shard must not run a second time. No I/O, no clock."""

from __future__ import annotations

from ..routing.types import Effect, Operation
from .shard_table import KeyPlacement


def has_idempotency_key(operation: Operation) -> bool:
    """Whether servers drop a second run of the operation, as long as they remember the first."""
    return operation.is_write and operation.traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY


def blocks_retry(placement: KeyPlacement, operation: Operation) -> bool:
    """Whether an operation is a client's retry that has to wait until its shard has moved."""
    return placement.retries_blocked and operation.is_client_retry and has_idempotency_key(operation)


def may_have_run(operation: Operation) -> bool:
    """Whether a second run would matter, and there may have been a first one."""
    return operation.may_have_run_on is not None and operation.traffic_type.effect is not Effect.IDEMPOTENT
