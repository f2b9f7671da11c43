"""A listening socket and the server for the clients that it accepts."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from .client_server import ClientServer

BACKLOG = 1024  # connections that the kernel queues until they are accepted


@dataclass(slots=True, frozen=True)
class Front:
    """A listening socket for clients, with the server for the protocol used on it."""

    clients: ClientServer
    listening: socket.socket
