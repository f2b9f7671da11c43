"""What an instance sends to the simulator: one function for each line."""

from __future__ import annotations

from base64 import b64encode

from ..routing.types import Attempt, Operation
from .wire import to_microseconds


def send(instance: str, attempt: Attempt, timeout: float) -> str:
    """Send an attempt."""
    return (
        f"hand_off\ti={instance}\tid={attempt.operation.ident}\tserver={attempt.endpoint.ident}"
        f"\tlimitUs={to_microseconds(timeout)}"
    )


def reject(instance: str, operation: Operation, retry_after: float) -> str:
    """Reject an operation; its client may come back after a while, where a time is stated."""
    hint = f"\tholdOffUs={to_microseconds(retry_after)}" if retry_after else ""
    return f"deny\ti={instance}\tid={operation.ident}{hint}"


def fail(instance: str, operation: Operation) -> str:
    """Give an operation up for good."""
    return f"surrender\ti={instance}\tid={operation.ident}"


def cancel(instance: str, attempt: Attempt) -> str:
    """Cancel an attempt that is in flight."""
    return f"cancel\ti={instance}\tid={attempt.operation.ident}\ttrial={attempt.number}"


def set_timer(instance: str, timer_id: int, wait: float) -> str:
    """Set a timer, of a microsecond at least."""
    return f"schedule\ti={instance}\tinUs={max(to_microseconds(wait), 1)}\tname={timer_id}"


def poll(instance: str) -> str:
    """Ask for the endpoint list, and for its changes from now on."""
    return f"follow\ti={instance}\tactive=1"


def send_gossip(instance: str, peer: int, payload: bytes) -> str:
    """Send a payload to another router."""
    return f"tell\ti={instance}\tto={peer}\tcontent={b64encode(payload).decode()}"


def log(instance: str, text: str) -> str:
    """Write a line to the instance's log."""
    return f"write_log\ti={instance}\tmsg={text}"


def fault(instance: str, error: Exception) -> str:
    """Report a mistake in the decisions."""
    return f"fault\ti={instance}\tmsg={type(error).__name__}: {error}"
