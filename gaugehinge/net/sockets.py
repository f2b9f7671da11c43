"""Plain non-blocking sockets under trio, by numeric address.

A send is tried at once and only waited for if it would block: a pass of the scheduler for every send was much
of what an operation cost. A receive is waited for first: what was there had been read before.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct

import trio

from .configuration import Address

SIOCOUTQNSD = 0x894B  # linux/sockios.h: of the send queue, what has not been sent
# Long values come in few passes with so much room; one space for all, since nothing waits while it is in use.
SPACE = memoryview(bytearray(256 * 1024))


def family(address: Address) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def tcp(address: Address) -> socket.socket:
    """An unconnected socket."""
    raw = socket.socket(family(address))
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return raw


def listener(address: Address, backlog: int) -> socket.socket:
    raw = socket.socket(family(address))
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    raw.setblocking(False)
    try:
        raw.bind(address)
        raw.listen(backlog)
    except OSError as bad:
        raw.close()
        raise OSError(bad.errno, f"{address[0]}:{address[1]}: {bad.strerror}") from None
    return raw


async def connect(raw: socket.socket, address: Address) -> None:
    await trio.socket.from_stdlib_socket(raw).connect(address)


async def receive(raw: socket.socket) -> bytes:
    """What comes next; nothing at the end."""
    while raw.fileno() >= 0:
        await trio.lowlevel.wait_readable(raw)
        try:
            return bytes(SPACE[: raw.recv_into(SPACE)])
        except BlockingIOError:
            continue
    raise trio.ClosedResourceError


def send_some(raw: socket.socket, data: bytes) -> int:
    """Write what goes at once; returns how much."""
    try:
        return raw.send(data)
    except BlockingIOError:
        return 0


async def send_all(raw: socket.socket, data: bytes) -> None:
    view = memoryview(data)
    while True:
        view = view[send_some(raw, view) :]
        if not view:
            return
        await trio.lowlevel.wait_writable(raw)


def shut(raw: socket.socket) -> None:
    """Close; a task that waits for the socket is woken with ClosedResourceError."""
    if raw.fileno() >= 0:
        trio.lowlevel.notify_closing(raw)
        raw.close()


def hung_up(raw: socket.socket) -> bool:
    """Whether the other side ended the connection, though bytes of it may still stand there unread."""
    look = select.poll()
    look.register(raw, select.POLLRDHUP)
    return bool(look.poll(0))


def unsent(raw: socket.socket) -> int:
    """Bytes written that the other side has not taken yet: a connection that is closed over them, and then
    written to, is reset, and they are gone. 0 where the system does not tell."""
    try:
        return struct.unpack("i", fcntl.ioctl(raw, SIOCOUTQNSD, b"\0\0\0\0"))[0]
    except OSError:
        return 0


def silent(raw: socket.socket) -> bool:
    """Whether the connection is up with nothing to read, as an idle one must be."""
    try:
        raw.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
