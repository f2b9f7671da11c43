"""Waits until the peer of a TCP connection has closed its side."""

from __future__ import annotations

import socket

import trio

READ_SIZE = 65536  # bytes


async def wait_for_peer_close(connection: socket.socket, max_wait: float) -> bool:
    """Shut down the sending side and read until the peer closes, for at most `max_wait` seconds.

    Returns False if the connection was reset: the peer's process may not have noticed that yet.
    """
    try:
        connection.setblocking(False)
        connection.shutdown(socket.SHUT_WR)
        with trio.move_on_after(max_wait):
            while True:
                await trio.lowlevel.wait_readable(connection)
                if not connection.recv(READ_SIZE):
                    break
    except OSError:
        return False
    return True
