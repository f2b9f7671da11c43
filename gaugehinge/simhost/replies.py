"""Formats the lines that an instance sends to the simulator: one function for each kind."""

from __future__ import annotations

from base64 import b64encode

from ..routing.types import Attempt, Operation
from .wire import to_microseconds


def send(instance: str, attempt: Attempt, timeout: float) -> str:
    """Send an attempt; `timeout` is in seconds."""
    return (
        f"hand_off\ti={instance}\tid={attempt.operation.ident}\tserver={attempt.endpoint.ident}"
        f"\tlimitUs={to_microseconds(timeout)}"
    )


def reject(instance: str, operation: Operation, retry_after: float) -> str:
    """Reject an operation.

    `retry_after` is the time in seconds after which its client may retry; 0 leaves it out.
    """
    hint = f"\tholdOffUs={to_microseconds(retry_after)}" if retry_after else ""
    return f"deny\ti={instance}\tid={operation.ident}{hint}"


def fail(instance: str, operation: Operation) -> str:
    """Fail an operation; its client may not retry."""
    return f"surrender\ti={instance}\tid={operation.ident}"


def cancel(instance: str, attempt: Attempt) -> str:
    """Cancel an attempt in flight."""
    return f"cancel\ti={instance}\tid={attempt.operation.ident}\ttrial={attempt.number}"


def set_timer(instance: str, timer_id: int, wait: float) -> str:
    """Set a timer that expires after `wait` seconds, but after at least one microsecond."""
    return f"schedule\ti={instance}\tinUs={max(to_microseconds(wait), 1)}\tname={timer_id}"


def poll(instance: str) -> str:
    """Request the endpoint list and its future changes."""
    return f"follow\ti={instance}\tactive=1"


def send_gossip(instance: str, peer: int, payload: bytes) -> str:
    """Send a gossip payload to a peer."""
    return f"tell\ti={instance}\tto={peer}\tcontent={b64encode(payload).decode()}"


def log(instance: str, text: str) -> str:
    """Write a line to the log of the instance."""
    return f"write_log\ti={instance}\tmsg={text}"


def fault(instance: str, error: Exception) -> str:
    """Report an error raised by the routing decisions."""
    return f"fault\ti={instance}\tmsg={type(error).__name__}: {error}"
