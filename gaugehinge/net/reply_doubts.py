"""Counts and logs the replies that may be late copies of earlier ones, by cause. No other I/O."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from loguru import logger


class DoubtCause(Enum):
    """Why a reply may not be the whole one to the last request."""

    REPEATED = "repeated"  # an earlier reply on the connection had the same content
    SUSPECT = "behind a suspect"  # the reply before may have been a copy
    MIXED = "mixed"  # it contains part of another reply
    EXCESS = "longer than stated"  # bytes follow it that may be the rest of its value
    ENDING = "ending"  # it ends like the start of a reply, perhaps with the first bytes of another one


class ReplyDoubts:
    """The number of replies from one kind of server, and how many of them were doubtful."""

    __slots__ = ("_counts", "_next_log_at", "_servers", "replies")

    def __init__(self, servers: str) -> None:
        """`servers` is the kind of server as named in the log."""
        self.replies = 0
        self._servers = servers
        self._counts: Counter[DoubtCause] = Counter()
        self._next_log_at = 1

    def record(self, cause: DoubtCause) -> None:
        """Count a doubtful reply, and log the count each time it has doubled."""
        self._counts[cause] += 1
        total = self._counts.total()
        if total < self._next_log_at:
            return
        self._next_log_at *= 2
        causes = ", ".join(f"{cause.value} {count}" for cause, count in self._counts.items())
        logger.info("replies of {} in doubt: {} of {} ({})", self._servers, total, self.replies, causes)

    def count(self, cause: DoubtCause) -> int:
        """Return how many replies were doubtful for this cause."""
        return self._counts[cause]
