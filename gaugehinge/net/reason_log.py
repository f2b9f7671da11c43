"""Counts why connections are closed, requests rejected and attempts failed, and logs the counts."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from loguru import logger

MAX_LOGGED_ID_BYTES = 64


class CloseReason(Enum):
    """Why this router closed a client's connection."""

    IDLE = "idle"
    STALLED = "stalled within a request while places were short"
    REQUEST_TIMEOUT = "request not whole in time"
    MALFORMED = "malformed request"
    TOO_MANY_REQUESTS = "too many requests at once"
    REPLY_NOT_READ = "reply not read in time"
    CLIENT_LEFT = "client has left"
    HELD_BACK = "its wait was over when it was accepted"


class RejectReason(Enum):
    """Why a request was rejected unforwarded."""

    CONNECTIONS = "connection over the limit"
    PLACE_NEEDED = "another client waited for the place"
    MEMORY = "no room in memory"
    REQUEST_IDS = "too many recent request ids"
    IN_FLIGHT = "too many operations in flight"
    OVERLOAD = "event loop late"
    HELD_BACK = "its wait was over when it was read"
    DECISION = "routing decision"


class ReasonLog:
    """The number of events of one kind by reason; logged each time that their total has doubled."""

    __slots__ = ("_counts", "_next_log_at", "_what")

    def __init__(self, what: str) -> None:
        """`what` names the events in the log, in the plural."""
        self._what = what
        self._counts: Counter[str] = Counter()
        self._next_log_at = 1

    def record(self, reason: Enum | str, request_id: bytes = b"", count: int = 1) -> None:
        """Count events; `request_id` is that of the last one, where it has one."""
        self._counts[str(reason.value) if isinstance(reason, Enum) else reason] += count
        total = self._counts.total()
        if total < self._next_log_at:
            return
        while self._next_log_at <= total:
            self._next_log_at *= 2
        reasons = ", ".join(f"{reason} {count}" for reason, count in self._counts.items())
        shown = request_id[:MAX_LOGGED_ID_BYTES].decode("ascii", "replace")
        last = f"; last id {shown}" if shown else ""
        logger.info("{}: {} ({}){}", self._what, total, reasons, last)

    def count_of(self, reason: Enum) -> int:
        """Return the number of events so far with a reason."""
        return self._counts[str(reason.value)]
