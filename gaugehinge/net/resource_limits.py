"""Divides the descriptors and memory of one router among its fronts and its connections to servers."""

from __future__ import annotations

from collections.abc import Sequence

from .configuration import Configuration
from .connection_pool import ConnectionPool
from .front import Front

CLIENT_SHARE = 0.4  # of the descriptors; a quarter of that in addition is for clients that are answered BUSY
SERVER_SHARE = 0.4  # of the descriptors; the rest is for listeners, discovery, peers and the interpreter
RESERVED_SOCKETS = 14  # minimum of that rest; with fewer, connections to servers and to discovery fail
MIN_SERVER_CONNECTIONS = 8


def divide_resources(configuration: Configuration, fronts: Sequence[Front], pool: ConnectionPool) -> None:
    """Divide client descriptors and memory equally among the fronts, and give the pool its share."""
    count, remaining = len(fronts), configuration.sockets - RESERVED_SOCKETS
    for front in fronts:
        clients = front.clients
        max_connections = int(configuration.sockets * CLIENT_SHARE) // count
        clients.set_limits(max_connections, configuration.memory // count)
        remaining -= clients.limits.max_accepted
    server_connections = min(int(configuration.sockets * SERVER_SHARE), remaining)
    pool.buffer_budget.update(configuration.memory)
    pool.set_limit(max(server_connections, MIN_SERVER_CONNECTIONS))
