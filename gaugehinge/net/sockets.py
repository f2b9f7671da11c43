"""Plain non-blocking sockets under trio, by numeric address.

A send is tried at once and only waited for if it would block: a pass of the scheduler for every send was much
of what an operation cost. A receive is waited for first: what was there had been read before.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
from typing import NamedTuple

import trio

from .configuration import Address

TCP_INFO_SIZE = 160  # bytes of struct tcp_info of linux/tcp.h up to its counts of segments
BACKLOG_LENGTH_OFFSET = 24  # in that of a listener: connections not accepted yet
LAST_ACKNOWLEDGED_OFFSET = 56  # in that: milliseconds since the last acknowledgement came
LAST_DATA_RECEIVED_OFFSET = 52  # in that: milliseconds since the last data came
DATA_SEGMENTS_OFFSET = 152  # in that: segments with data that came
MILLISECONDS = 1000.0
SIOCOUTQNSD = 0x894B  # linux/sockios.h: asks how much of the send queue has not been sent
# Long values come in few passes with so much room. One buffer serves all: nothing waits while it is in use.
RECEIVE_BUFFER = memoryview(bytearray(256 * 1024))


def family(address: Address) -> socket.AddressFamily:
    """The address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def tcp(address: Address) -> socket.socket:
    """A TCP socket for a connection to an address, not connected yet. Raises OSError."""
    sock = socket.socket(family(address))
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def listener(address: Address, backlog: int) -> socket.socket:
    """A listening TCP socket. Raises OSError, with the address in its message."""
    sock = socket.socket(family(address))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    try:
        sock.bind(address)
        sock.listen(backlog)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{address[0]}:{address[1]}: {error.strerror}") from error
    return sock


async def connect(sock: socket.socket, address: Address) -> None:
    """Connect a socket of `tcp`. Raises OSError."""
    await trio.socket.from_stdlib_socket(sock).connect(address)


async def receive(sock: socket.socket) -> bytes:
    """What comes next; b"" at the end of the stream.

    Raises OSError, or trio.ClosedResourceError where the socket was closed on this side.
    """
    while not is_closed(sock):
        await trio.lowlevel.wait_readable(sock)
        try:
            return receive_now(sock)
        except BlockingIOError:
            continue
    raise trio.ClosedResourceError


def receive_now(sock: socket.socket) -> bytes:
    """What stands unread; b"" at the end of the stream. Raises OSError: BlockingIOError with nothing."""
    return bytes(RECEIVE_BUFFER[: sock.recv_into(RECEIVE_BUFFER)])


def send_some(sock: socket.socket, data: bytes | memoryview) -> int:
    """Write what can be written at once; returns how many bytes. Raises OSError."""
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Write all of the data. Raises OSError, or trio.ClosedResourceError."""
    rest = memoryview(data)
    while True:
        rest = rest[send_some(sock, rest) :]
        if not rest:
            return
        await wait_writable(sock)


def enlarge_send_buffer(sock: socket.socket, size: int) -> None:
    """Let the system take `size` bytes more than it does, up to its limit (net.core.wmem_max).

    What it has taken it delivers also once the process has ended. Raises OSError.
    """
    current = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, current + size)


async def wait_writable(sock: socket.socket) -> None:
    """Wait until more can be written. Raises trio.ClosedResourceError, also where it is closed already."""
    if is_closed(sock):
        raise trio.ClosedResourceError
    await trio.lowlevel.wait_writable(sock)


def is_closed(sock: socket.socket) -> bool:
    """Whether a socket was closed on this side: most calls of the system on it raise ValueError then."""
    return sock.fileno() < 0


def shut(sock: socket.socket) -> None:
    """Close a socket, if it is open; tasks that wait for it get ClosedResourceError."""
    if not is_closed(sock):
        trio.lowlevel.notify_closing(sock)
        sock.close()


def hung_up(sock: socket.socket) -> bool:
    """Whether the peer has ended the connection, though bytes from it may still be unread, or this side has.

    A task that was scheduled before its connection was closed runs after that, and asks.
    """
    if is_closed(sock):
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def is_connected(sock: socket.socket) -> bool:
    """Whether a connection has come up, though its task may not have run since."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def unsent(sock: socket.socket) -> int:
    """How many written bytes the peer has not taken yet; 0 where the system does not tell, or it is closed.

    A connection that is closed over them, and then written to by the peer, is reset, and they are lost.
    """
    if is_closed(sock):
        return 0
    try:
        return struct.unpack("i", fcntl.ioctl(sock, SIOCOUTQNSD, b"\0\0\0\0"))[0]
    except OSError:
        return 0


class UnreadInput(NamedTuple):
    """What the system tells of bytes that stand unread."""

    age: float  # seconds since the last of them came; 0 with none, or where it does not tell
    came_at_once: bool  # in one segment; else the first of them may have come earlier


def unread_input(sock: socket.socket) -> UnreadInput:
    """What stands unread on a connection of which nothing was read."""
    if silent(sock):
        return UnreadInput(0.0, came_at_once=True)
    info = _tcp_info(sock)
    return UnreadInput(_input_age(info), _field(info, DATA_SEGMENTS_OFFSET) <= 1)


def input_age(sock: socket.socket) -> float:
    """Seconds since the last bytes came, read or not; 0 where the system does not tell."""
    return _input_age(_tcp_info(sock))


def acknowledgement_age(sock: socket.socket) -> float:
    """Seconds since the peer acknowledged something, on a new connection its beginning; 0: not told."""
    return _field(_tcp_info(sock), LAST_ACKNOWLEDGED_OFFSET) / MILLISECONDS


def backlog_length(listening: socket.socket) -> int:
    """How many connections a listener has not accepted yet; 0 where the system does not tell."""
    return _field(_tcp_info(listening), BACKLOG_LENGTH_OFFSET)


def _tcp_info(sock: socket.socket) -> bytes:
    """The system's struct tcp_info of a socket; empty where it does not tell."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return b""


def _input_age(info: bytes) -> float:
    return _field(info, LAST_DATA_RECEIVED_OFFSET) / MILLISECONDS


def _field(info: bytes, offset: int) -> int:
    """A field of 32 bits; 0 where the system's structure is too short for it."""
    if len(info) < offset + 4:
        return 0
    return struct.unpack_from("I", info, offset)[0]


def silent(sock: socket.socket) -> bool:
    """Whether a connection is up with nothing to read, as an idle one must be."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
