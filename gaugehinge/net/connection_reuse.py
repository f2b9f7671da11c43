"""Decides which attempts may use a connection that has carried another attempt. No I/O.

A reply that is doubtful on a reused connection would not be doubtful on a new one.
"""

from __future__ import annotations

from ..routing.types import Attempt, Effect
from .connection import ServerPool
from .reply_doubts import DoubtCause

DOUBT_TIME = 1.0  # seconds for which retries avoid reused connections, where they could meet the same doubt


def on_doubtful_reply(endpoint: ServerPool, attempt: Attempt | None, cause: DoubtCause, now: float) -> None:
    """Make retries use new connections for DOUBT_TIME, and all attempts if replies are identical."""
    endpoint.doubted_until = now + DOUBT_TIME
    endpoint.repeats_replies |= cause is DoubtCause.REPEATED
    if cause is DoubtCause.ENDING and attempt is not None:
        endpoint.has_ambiguous_write_replies |= attempt.operation.is_write


def may_reuse(endpoint: ServerPool, attempt: Attempt, now: float) -> bool:
    """Whether an attempt may use a connection that has carried another attempt.

    If a server's replies are identical, or its replies to writes end like the start of another reply, a
    write that must not be repeated could only be answered as failed.
    """
    if not endpoint.doubted_until:
        return True
    is_once_only = attempt.operation.traffic_type.effect is Effect.NON_IDEMPOTENT
    if is_once_only and (endpoint.repeats_replies or endpoint.has_ambiguous_write_replies):
        return False
    if now >= endpoint.doubted_until:
        return True
    return not endpoint.repeats_replies and not _is_retry_at_endpoint(attempt)


def may_keep(endpoint: ServerPool, now: float) -> bool:
    """Whether a connection may be kept for another attempt."""
    return not (endpoint.repeats_replies and now < endpoint.doubted_until)


def _is_retry_at_endpoint(attempt: Attempt) -> bool:
    """Whether its operation has had another attempt at the same endpoint."""
    return any(
        earlier is not attempt and earlier.endpoint is attempt.endpoint
        for earlier in attempt.operation.attempts
    )
