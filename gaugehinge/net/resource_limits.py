"""Divides the descriptors and memory of one router among its fronts and its connections to servers."""

from __future__ import annotations

from collections.abc import Sequence

from .client_limits import connections_without_spare
from .configuration import Configuration
from .connection_pool import ConnectionPool
from .front import Front

CLIENT_SHARE = 0.4  # of the descriptors; a quarter of that in addition is for clients that are answered BUSY
SERVER_SHARE = 0.4  # of the descriptors; the rest is for listeners, discovery, peers and the interpreter
RESERVED_SOCKETS = 14  # minimum of that rest; with fewer, connections to servers and to discovery fail
MIN_SERVER_CONNECTIONS = 8
PROGRAM_BYTES = 22 << 20  # memory of the program and its state, with no connections
# Of the memory beside that; the rest is for buffers, operations and the gaps of the heap.
CLIENT_MEMORY_SHARE = 0.3
SERVER_MEMORY_SHARE = 0.2
CLIENT_CONNECTION_BYTES = 7 * 1024  # memory of an idle connection, with its task
SERVER_CONNECTION_BYTES = 12 * 1024  # with its task and what it remembers of its replies


def divide_resources(configuration: Configuration, fronts: Sequence[Front], pool: ConnectionPool) -> None:
    """Divide client descriptors and memory equally among the fronts, and give the pool its share."""
    count, remaining = len(fronts), configuration.sockets - RESERVED_SOCKETS
    available = max(configuration.memory - PROGRAM_BYTES, 0)
    pool.buffer_budget.update(configuration.memory)
    for front in fronts:
        clients = front.clients
        in_memory = int(available * CLIENT_MEMORY_SHARE) // (CLIENT_CONNECTION_BYTES * count)
        max_connections = min(
            int(configuration.sockets * CLIENT_SHARE) // count, connections_without_spare(in_memory)
        )
        clients.set_limits(max_connections, configuration.memory // count)
        remaining -= clients.limits.max_accepted
    in_memory = int(available * SERVER_MEMORY_SHARE) // SERVER_CONNECTION_BYTES
    server_connections = min(int(configuration.sockets * SERVER_SHARE), remaining, in_memory)
    pool.set_limit(max(server_connections, MIN_SERVER_CONNECTIONS))
