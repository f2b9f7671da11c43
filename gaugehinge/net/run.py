"""One router in this process, from a configuration that was read to its exit code."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable

import trio

from .berth import Berth
from .service import Service

YOUNG = 20_000  # objects until the collector looks: passes over what lives long cost answers their time


def run(berth: Berth, reread: Callable[[], Berth]) -> int:
    """Serve until told to leave; the exit code."""
    gc.freeze()
    gc.set_threshold(YOUNG, 20, 20)
    try:
        trio.run(Service(berth, reread).run)
    except OSError as bad:
        print(f"cannot serve at {berth.listen[0]}:{berth.listen[1]}: {bad}", file=sys.stderr)
        return 1
    return 0
