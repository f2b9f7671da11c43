"""A router's connections to one server, and the attempts that wait for one."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..net.connection import PendingAttempt


@dataclass(slots=True)
class UpstreamConnections:
    """Connections to one server. It leaves with the last one, once the server has left the endpoint list."""

    open: int = 0  # connecting, idle and in use
    closing: int = 0
    waiting: deque[PendingAttempt] = field(default_factory=deque)
    peak: int = 0  # in use and waited for, the most in this window
    previous_peak: int = 0  # and in the last one
    over_since: float = 0.0  # more are open than allowed; 0: they are not

    @property
    def counted(self) -> int:
        """All that the server may have."""
        return self.open + self.closing

    @property
    def demand(self) -> int:
        """The peak of the last one or two windows."""
        return max(self.peak, self.previous_peak)

    def note_demand(self, idle: int) -> None:
        """Raise the peak to what is in use and waited for now."""
        self.peak = max(self.peak, self.open - idle + len(self.waiting))

    def end_window(self) -> None:
        """Begin the next window."""
        self.previous_peak, self.peak = self.peak, len(self.waiting)
