"""A listener and the server of the clients that it accepts."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from .client_server import ClientServer

BACKLOG = 512  # connections that the machine keeps until they are accepted


@dataclass(slots=True, frozen=True)
class Front:
    """One place at which clients come, with the protocol that is spoken there."""

    clients: ClientServer
    listening: socket.socket
