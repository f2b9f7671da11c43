"""Ports on loopback, reserved for the servers that will listen there: under the range that outgoing
connections take theirs from."""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Iterator
from contextlib import suppress

FIRST, LAST = 20_000, 32_000
MOST_RESERVATIONS = 512  # sockets kept by one process; far more than it is about to listen at
NOBODY = ("127.0.0.1", 1)  # sends no datagrams
_reservations: deque[socket.socket] = deque()


def hosts(routers: int) -> list[str]:
    """The address at which each router sees the others: by it a server knows who asks."""
    return [f"127.0.{router + 1}.1" for router in range(routers)]


class Ports:
    """Hands out ports that are free at all addresses asked for, each reserved for its server."""

    def __init__(self, salt: int) -> None:
        # Beginning elsewhere in each process, two of them seldom try the same port at the same time.
        self._next = FIRST + (os.getpid() * 97 + salt * 389) % (LAST - FIRST)

    def _candidates(self) -> Iterator[int]:
        for _ in range(LAST - FIRST):
            self._next = FIRST + (self._next + 1 - FIRST) % (LAST - FIRST)
            yield self._next

    def free(self, addresses: list[str], kind: int = socket.SOCK_STREAM) -> int:
        """A port that is free at all of them, and reserved there. Raises OSError where there is none."""
        for port in self._candidates():
            with suppress(OSError):
                reserve(addresses, port, kind)
                return port
        raise OSError("no free port")


def reserve(addresses: list[str], port: int, kind: int = socket.SOCK_STREAM) -> None:
    """Keep a port at all of these addresses from everybody but a server that sets SO_REUSEADDR.

    A port that was only looked at could be taken by another process before its server had it. Raises OSError
    where it is in use or reserved, by this process too. The oldest reservations end where there are too many.
    """
    made: list[socket.socket] = []
    try:
        for address in addresses:
            made.append(socket.socket(socket.AF_INET, kind))
            _occupy(made[-1], address, port)
    except OSError:
        for sock in made:
            sock.close()
        raise
    _reservations.extend(made)
    while len(_reservations) > MOST_RESERVATIONS:
        _reservations.popleft().close()


def _occupy(sock: socket.socket, address: str, port: int) -> None:
    """Bind it beside no other socket; only then let a server that sets SO_REUSEADDR bind beside it."""
    sock.bind((address, port))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if sock.type == socket.SOCK_DGRAM:
        sock.connect(NOBODY)  # so datagrams go to the server, and are refused while there is none
