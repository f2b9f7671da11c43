"""Builds the recovery subsystem of a service from the `[recovery]` section of the installation file."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import trio

from ..hosted.control_plane_watch import ControlPlaneWatch
from ..installation.form import Installation
from ..net.service import Service
from .driver import Recovery

MIN_KEY_BYTES = 16


class RecoveryKeyError(ValueError):
    """The key file cannot be used."""


def read_key(path: str) -> bytes:
    """The key, without leading and trailing white space. Raises RecoveryKeyError."""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as error:
        raise RecoveryKeyError(f"cannot read {path}: {type(error).__name__}") from error
    if len(key) < MIN_KEY_BYTES:
        raise RecoveryKeyError(f"{path}: key is shorter than {MIN_KEY_BYTES} bytes")
    return key


def recovery_builder(
    installation: Installation,
) -> Callable[[Service, trio.Nursery, ControlPlaneWatch | None], Recovery]:
    """A function that adds recovery to a service. Raises RecoveryKeyError.

    It has to be called after all other subsystems that follow the control plane are built.
    """
    key = read_key(installation.recovery.key_file)

    def build(service: Service, nursery: trio.Nursery, watch: ControlPlaneWatch | None) -> Recovery:
        recovery = Recovery(service, installation.recovery, key, watch)
        recovery.start(nursery)
        return recovery

    return build
