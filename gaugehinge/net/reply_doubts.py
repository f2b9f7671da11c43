"""Counts the replies that may be late copies of earlier ones, by cause, for the log. No I/O but the log."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from loguru import logger


class DoubtCause(Enum):
    """Why a reply may not be the one to the last request."""

    REPEATED = "repeated"  # an earlier reply on its connection had the same content
    SUSPECT = "behind a suspect"  # the reply before it may have been a copy
    MIXED = "mixed"  # it has a part of another reply within it
    ENDING = "ending"  # it ends as another reply begins, which may be that one's first bytes


class ReplyDoubts:
    """How many replies of one kind of server came, and how many of them were in doubt."""

    __slots__ = ("_counts", "_next_log_at", "_servers", "replies")

    def __init__(self, servers: str) -> None:
        """`servers` names the kind of server in the log."""
        self.replies = 0
        self._servers = servers
        self._counts: Counter[DoubtCause] = Counter()
        self._next_log_at = 1

    def record(self, cause: DoubtCause) -> None:
        """Count a reply in doubt. Each time that the count has doubled, it is logged."""
        self._counts[cause] += 1
        total = self._counts.total()
        if total < self._next_log_at:
            return
        self._next_log_at *= 2
        causes = ", ".join(f"{cause.value} {count}" for cause, count in self._counts.items())
        logger.info("replies of {} in doubt: {} of {} ({})", self._servers, total, self.replies, causes)

    def count(self, cause: DoubtCause) -> int:
        """How many replies were in doubt for this cause."""
        return self._counts[cause]
