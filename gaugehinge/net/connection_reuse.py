"""Which attempts may go on a used connection, one that has carried another attempt. No I/O.

A reply that is in doubt on a used connection is in none on a new one.
"""

from __future__ import annotations

from ..routing.types import Attempt, Effect
from .connection import ServerPool
from .reply_doubts import DoubtCause

DOUBT_TIME = 1.0  # seconds for which a retry must not meet the same doubt on a used connection


def on_doubtful_reply(endpoint: ServerPool, cause: DoubtCause, now: float) -> bool:
    """Note a reply in doubt; whether idle connections would bring the same doubt, and are to be closed.

    Retries go on new connections for DOUBT_TIME, and all attempts where an endpoint's replies are alike.
    """
    endpoint.doubted_until = now + DOUBT_TIME
    if cause is DoubtCause.REPEATED:
        endpoint.repeats_replies = True
    elif cause is DoubtCause.ENDING:
        endpoint.has_ambiguous_endings = True
    else:
        return False
    return True


def may_reuse(endpoint: ServerPool, attempt: Attempt, now: float) -> bool:
    """Whether an attempt may go on a used connection.

    Where replies are in doubt for what they are, a write that may not be repeated could only be called
    failed, and a retry would meet the same doubt.
    """
    if not endpoint.doubted_until:
        return True
    is_once_only = attempt.operation.traffic_type.effect is Effect.NON_IDEMPOTENT
    if is_once_only and (endpoint.repeats_replies or endpoint.has_ambiguous_endings):
        return False
    is_in_doubt = now < endpoint.doubted_until
    if is_in_doubt and endpoint.repeats_replies:
        return False
    return not ((is_in_doubt or endpoint.has_ambiguous_endings) and _is_retry_at_endpoint(attempt))


def may_keep(endpoint: ServerPool, now: float) -> bool:
    """Whether a connection may be kept for another attempt."""
    return not (endpoint.repeats_replies and now < endpoint.doubted_until)


def _is_retry_at_endpoint(attempt: Attempt) -> bool:
    """Whether its operation has had another attempt at the same endpoint."""
    return any(
        earlier is not attempt and earlier.endpoint is attempt.endpoint
        for earlier in attempt.operation.attempts
    )
