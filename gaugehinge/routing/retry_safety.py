"""Whether sending an operation again could make it take effect twice. No state."""

from __future__ import annotations

from .endpoint import Endpoint
from .types import Attempt, DeduplicationScope, Effect, Operation, Outcome

RETRY_TRANSIT_TIME = 0.5  # seconds that a retry may take to reach its server


def record_possible_run(attempt: Attempt, outcome: Outcome) -> None:
    """Record the first attempt that may have run, and until when servers recognise a retry as a duplicate."""
    operation = attempt.operation
    if outcome.may_have_run and operation.may_have_run_on is None:
        operation.may_have_run_on = attempt.endpoint
        operation.retry_deadline = attempt.sent_at + operation.traffic_type.retry_window


def may_retry(operation: Operation, now: float) -> bool:
    """Return whether a retry sent now arrives while the servers still remember the first attempt."""
    return now + RETRY_TRANSIT_TIME < operation.retry_deadline


def may_be_sent_to(endpoint: Endpoint, operation: Operation) -> bool:
    """Return whether an attempt at this endpoint cannot make the operation take effect twice."""
    return operation.may_have_run_on is None or is_retry_harmless(endpoint, operation)


def is_retry_harmless(endpoint: Endpoint, operation: Operation) -> bool:
    """Return whether an operation that may have run cannot take effect again at this endpoint."""
    traffic_type = operation.traffic_type
    if traffic_type.effect is not Effect.WITH_IDEMPOTENCY_KEY:
        return traffic_type.effect is Effect.IDEMPOTENT
    first = operation.may_have_run_on
    if first is None:
        return True
    if traffic_type.deduplication_scope is DeduplicationScope.ZONE:
        return endpoint.zone == first.zone
    return traffic_type.deduplication_scope is DeduplicationScope.ALL or endpoint.cell == first.cell


def may_client_retry(operation: Operation, retry_at: float) -> bool:
    """Return whether the client may send an operation again at `retry_at`.

    Once the servers have forgotten its idempotency key, it would take effect a second time.
    """
    if operation.may_have_run_on is None:
        return True
    traffic_type = operation.traffic_type
    is_scoped = (
        traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY
        and traffic_type.deduplication_scope is not DeduplicationScope.ALL
    )
    return not is_scoped and retry_at + RETRY_TRANSIT_TIME <= operation.retry_deadline
