"""A router's recent load, as its reports state it."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

WINDOW = 5.0  # seconds
SMOOTHING = 0.05  # weight of a new sample in the mean of connections in use


@dataclass(slots=True)
class LoadMeter:
    """Means over the last window; connections to the origin as an exponential moving average."""

    window_started: float  # seconds of the caller's clock
    window_operations: int = 0  # since the start of the process, at the window's start
    window_cpu: float = field(default_factory=time.process_time)
    operation_rate: float = 0.0  # operations a second
    cpu_cores: float = 0.0
    origin_connections: float = 0.0

    def add_origin_connections(self, in_use: int) -> None:
        """Add a sample of connections in use."""
        self.origin_connections += SMOOTHING * (in_use - self.origin_connections)

    def end_window(self, now: float, operations: int) -> bool:
        """Take the means over the window once it is over; False: it is not over yet.

        `operations`: since the start of the process.
        """
        span = now - self.window_started
        if span < WINDOW:
            return False
        cpu = time.process_time()
        self.operation_rate = (operations - self.window_operations) / span
        self.cpu_cores = (cpu - self.window_cpu) / span
        self.window_started, self.window_operations, self.window_cpu = now, operations, cpu
        return True
