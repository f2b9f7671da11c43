"""The clock by which leases run out."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Seconds of a clock that is never set and that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
