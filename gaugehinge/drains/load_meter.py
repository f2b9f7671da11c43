"""Measures a router's recent load for its reports."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

WINDOW = 5.0  # seconds
SMOOTHING = 0.05  # weight of a new sample in the moving average of connections in use


@dataclass(slots=True)
class LoadMeter:
    """Means over the last window, and an exponential moving average of connections to the origin."""

    window_started: float  # seconds, on the caller's clock
    window_operations: int = 0  # at the window's start: operations since the process started
    window_cpu: float = field(default_factory=time.process_time)  # at the window's start: CPU seconds
    operation_rate: float = 0.0  # operations per second
    cpu_cores: float = 0.0
    origin_connections: float = 0.0

    def add_origin_connections(self, in_use: int) -> None:
        """Add a sample of the number of connections in use to the origin."""
        self.origin_connections += SMOOTHING * (in_use - self.origin_connections)

    def end_window(self, now: float, operations: int) -> bool:
        """Compute the window's means and begin the next; False if the window is not over yet.

        `operations` counts since the process started.
        """
        span = now - self.window_started
        if span < WINDOW:
            return False
        cpu = time.process_time()
        self.operation_rate = (operations - self.window_operations) / span
        self.cpu_cores = (cpu - self.window_cpu) / span
        self.window_started, self.window_operations, self.window_cpu = now, operations, cpu
        return True
