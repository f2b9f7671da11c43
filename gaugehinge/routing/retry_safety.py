"""Whether sending an operation once more could let it take effect twice. No state."""

from __future__ import annotations

from .endpoint import Endpoint
from .types import Attempt, DeduplicationScope, Effect, Operation, Outcome

RETRY_TRANSIT_TIME = 0.5  # seconds that a retry may take to its server


def record_possible_run(attempt: Attempt, outcome: Outcome) -> None:
    """Note the first attempt that may have run, and until when a retry is still recognised as one."""
    operation = attempt.operation
    if outcome.may_have_run and operation.may_have_run_on is None:
        operation.may_have_run_on = attempt.endpoint
        operation.retry_deadline = attempt.sent_at + operation.traffic_type.retry_window


def may_retry(operation: Operation, now: float) -> bool:
    """Whether a retry sent now arrives while the first attempt is remembered."""
    return now + RETRY_TRANSIT_TIME < operation.retry_deadline


def may_be_sent_to(endpoint: Endpoint, operation: Operation) -> bool:
    """Whether an attempt at this endpoint takes no effect a second time."""
    return operation.may_have_run_on is None or is_retry_harmless(endpoint, operation)


def is_retry_harmless(endpoint: Endpoint, operation: Operation) -> bool:
    """Whether an operation that may have run takes no effect a second time at this endpoint."""
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
    """Whether its client may send it once more then: with its key forgotten it would take effect again."""
    if operation.may_have_run_on is None:
        return True
    traffic_type = operation.traffic_type
    is_scoped = (
        traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY
        and traffic_type.deduplication_scope is not DeduplicationScope.ALL
    )
    return not is_scoped and retry_at + RETRY_TRANSIT_TIME <= operation.retry_deadline
