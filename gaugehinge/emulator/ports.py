"""Ports on loopback that stay free while nobody listens: under the range that outgoing connections
take theirs from."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator

FIRST, LAST = 20_000, 32_000


def hosts(routers: int) -> list[str]:
    """The address at which each router sees the others: by it a server knows who asks."""
    return [f"127.0.{router + 1}.1" for router in range(routers)]


class Ports:
    """Hands out ports that are free at all addresses asked for."""

    def __init__(self, salt: int) -> None:
        # Beginning elsewhere in each process, two of them seldom try the same port at the same time.
        self._next = FIRST + (os.getpid() * 97 + salt * 389) % (LAST - FIRST)

    def _candidates(self) -> Iterator[int]:
        for _ in range(LAST - FIRST):
            self._next = FIRST + (self._next + 1 - FIRST) % (LAST - FIRST)
            yield self._next

    def free(self, addresses: list[str], kind: int = socket.SOCK_STREAM) -> int:
        """A port that is free at all of them. Raises OSError where there is none."""
        for port in self._candidates():
            if all(_is_free(address, port, kind) for address in addresses):
                return port
        raise OSError("no free port")


def _is_free(address: str, port: int, kind: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as raw:
        try:
            raw.bind((address, port))
        except OSError:
            return False
    return True
