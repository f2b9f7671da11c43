"""Plain sockets under trio, by numeric address."""

from __future__ import annotations

import socket

import trio

from .berth import Address

Stream = trio.socket.SocketType


def family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def tcp(address: Address) -> socket.socket:
    """An unconnected socket; trio takes it over by `stream`."""
    raw = socket.socket(family(address))
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return raw


def stream(raw: socket.socket) -> Stream:
    return trio.socket.from_stdlib_socket(raw)


def listener(address: Address, backlog: int) -> socket.socket:
    raw = socket.socket(family(address))
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    raw.setblocking(False)
    raw.bind(address)
    raw.listen(backlog)
    return raw


async def send_all(to: Stream, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[await to.send(view):]


def silent(raw: socket.socket) -> bool:
    """Whether the connection is up with nothing to read, as an idle one must be."""
    try:
        raw.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
