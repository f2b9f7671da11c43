"""One router in this process, from a configuration that was read to its exit code."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from typing import Any

import trio

from .client_server import ClientServer
from .configuration import Configuration
from .early import EarlyHangup
from .service import Service

YOUNG = 20_000  # objects until the collector looks: passes over what lives long cost answers their time


def run(
    configuration: Configuration,
    reread: Callable[[], Configuration],
    new_door: Callable[..., Any] | None = None,
    early: EarlyHangup | None = None,
    extend: Callable[..., None] | None = None,
    kind: type[ClientServer] = ClientServer,
) -> int:
    """Serve until told to leave; the exit code. `new_door`: where a door is on; `early`: what came by now."""
    gc.freeze()
    gc.set_threshold(YOUNG, 20, 20)
    try:
        trio.run(Service(configuration, reread, new_door, early, extend, kind).run)
    except OSError as bad:
        print(f"cannot serve at {bad.strerror or bad}", file=sys.stderr)
        return 1
    return 0
