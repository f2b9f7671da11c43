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
from .extensions import ExtensionBuilder
from .service import Service

YOUNG = 20_000  # objects until the collector looks: passes over what lives long cost answers their time


def run(
    configuration: Configuration,
    reread: Callable[[], Configuration],
    build_admission_control: Callable[..., Any] | None = None,
    early_hangup: EarlyHangup | None = None,
    build_extensions: ExtensionBuilder | None = None,
    client_server_class: type[ClientServer] = ClientServer,
) -> int:
    """Serve until told to leave; the exit code. The parameters are those of `Service`."""
    gc.freeze()
    gc.set_threshold(YOUNG, 20, 20)
    try:
        trio.run(
            Service(
                configuration,
                reread,
                build_admission_control,
                early_hangup,
                build_extensions,
                client_server_class,
            ).run
        )
    except OSError as bad:
        print(f"cannot serve at {bad.strerror or bad}", file=sys.stderr)
        return 1
    return 0
