"""State of a router's connections to one upstream, and the attempts that wait for a connection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from ..net.connection import PendingAttempt


@dataclass(slots=True)
class UpstreamConnections:
    """Connections to one upstream.

    It is removed once the upstream has left the endpoint list and no connection or waiting attempt remains.
    """

    open: int = 0  # connecting, idle and in use
    closing: int = 0
    waiting: deque[PendingAttempt] = field(default_factory=deque)
    peak: int = 0  # highest number of connections in use plus waiting attempts in this window
    previous_peak: int = 0  # the same for the window before
    over_since: float = 0.0  # seconds, when more were first open than allowed; 0: not more than allowed

    @property
    def counted(self) -> int:
        """All connections that the server may still hold open."""
        return self.open + self.closing

    @property
    def demand(self) -> int:
        """The higher peak of this window and the one before."""
        return max(self.peak, self.previous_peak)

    def note_demand(self, idle: int) -> None:
        """Raise the peak to the current number of connections in use plus waiting attempts, if higher."""
        self.peak = max(self.peak, self.open - idle + len(self.waiting))

    def end_window(self) -> None:
        """End the current window and begin the next."""
        self.previous_peak, self.peak = self.peak, len(self.waiting)
