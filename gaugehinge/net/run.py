"""Runs one router in this process, from its configuration to its exit code."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable

import trio

from .client_server import ClientServer
from .configuration import Configuration
from .extensions import ExtensionBuilder
from .heap import HeapTrimmer, return_long_allocations
from .service import AdmissionControlBuilder, Service
from .signals import EarlyHangup

# Net allocations before the garbage collector runs. Collections that traverse long-lived objects delay
# replies.
YOUNG_GENERATION_THRESHOLD = 20_000
OLDER_GENERATION_THRESHOLD = 20  # collections of a younger generation for each one of the next older


def run(
    configuration: Configuration,
    reread: Callable[[], Configuration],
    build_admission_control: AdmissionControlBuilder | None = None,
    early_hangup: EarlyHangup | None = None,
    build_extensions: ExtensionBuilder | None = None,
    client_server_class: type[ClientServer] = ClientServer,
) -> int:
    """Serve until told to shut down; return 1 if the router cannot listen at an address, else 0.

    The parameters are those of `Service`.
    """
    return_long_allocations()
    gc.freeze()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD, OLDER_GENERATION_THRESHOLD, OLDER_GENERATION_THRESHOLD)
    service = Service(
        configuration, reread, build_admission_control, early_hangup, build_extensions, client_server_class
    )
    HeapTrimmer(service.timers).start()
    try:
        trio.run(service.run)
    except OSError as error:
        print(f"cannot listen at {error.strerror or error}", file=sys.stderr)
        return 1
    return 0
