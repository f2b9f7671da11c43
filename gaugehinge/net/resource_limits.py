"""How descriptors and memory of one router are divided among its fronts and its connections to servers."""

from __future__ import annotations

from collections.abc import Sequence

from .configuration import Configuration
from .connection_pool import ConnectionPool
from .front import Front

CLIENT_SHARE = 0.4  # of the descriptors, with a quarter of that again to answer BUSY from
SERVER_SHARE = 0.4  # to servers; the rest is for listeners, discovery, peers and the interpreter,
RESERVED_SOCKETS = 14  # this many at least: short of them, connections to servers and to discovery fail
MIN_SERVER_CONNECTIONS = 8


def divide_resources(configuration: Configuration, fronts: Sequence[Front], pool: ConnectionPool) -> None:
    """Give each front its part of descriptors and memory, and the pool its part of what is left."""
    count, remaining = len(fronts), configuration.sockets - RESERVED_SOCKETS
    for front in fronts:
        clients = front.clients
        max_connections = int(configuration.sockets * CLIENT_SHARE) // count
        clients.set_limits(max_connections, configuration.memory // count)
        remaining -= clients.limits.max_accepted
    server_connections = min(int(configuration.sockets * SERVER_SHARE), remaining)
    pool.set_limit(max(server_connections, MIN_SERVER_CONNECTIONS))
