"""The clock by which leases expire."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return seconds of a clock that is never set and keeps running while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
