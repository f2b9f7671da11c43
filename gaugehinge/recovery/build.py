"""The installation file's `recovery` to a running service that recovers."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import trio

from ..hosted.follower import Follower
from ..installation.form import Installation
from ..net.service import Service
from .driver import Recovery

LEAST_KEY = 16  # bytes


class BadKey(ValueError):
    """The file with the key cannot be used."""


def read_key(path: str) -> bytes:
    """The key, without the line's end. Raises BadKey."""
    try:
        key = Path(path).read_bytes().strip()
    except OSError as bad:
        raise BadKey(f"cannot read {path}: {type(bad).__name__}") from None
    if len(key) < LEAST_KEY:
        raise BadKey(f"{path}: under {LEAST_KEY} bytes")
    return key


def recovering(
    told: Installation, follower: Callable[[], Follower | None] = lambda: None
) -> Callable[[Service, trio.Nursery], Recovery]:
    """What makes a service recover; `follower`: of the keeper, asked for when the service is made. It comes
    behind all that follows a keeper. Raises BadKey."""
    key = read_key(told.recovery.key_file)

    def extend(service: Service, nursery: trio.Nursery) -> Recovery:
        made = Recovery(service, told.recovery, key, follower())
        made.begin(nursery)
        return made

    return extend
