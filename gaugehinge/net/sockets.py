"""Plain non-blocking sockets under trio, addressed by number.

A send is tried at once and waits only if it would block: a pass of the scheduler for every send was a large
part of the cost of an operation. A receive waits first, since what had arrived before has been read already.
"""

from __future__ import annotations

import fcntl
import select
import socket
import struct
from collections.abc import Callable
from typing import NamedTuple

import trio

from .configuration import Address

TCP_INFO_SIZE = 160  # bytes of struct tcp_info (linux/tcp.h) up to and including its segment counts
BACKLOG_LENGTH_OFFSET = 24  # in the tcp_info of a listener: connections not accepted yet
LAST_ACKNOWLEDGED_OFFSET = 56  # in tcp_info: milliseconds since the last acknowledgement arrived
LAST_DATA_RECEIVED_OFFSET = 52  # in tcp_info: milliseconds since the last data arrived
DATA_SEGMENTS_OFFSET = 152  # in tcp_info: segments with data that arrived
MILLISECONDS = 1000.0  # in a second
SIOCOUTQNSD = 0x894B  # linux/sockios.h: ioctl for the number of bytes in the send queue that are not sent yet
# A buffer of this size receives long values in few calls. All sockets share it: no task waits while using it.
RECEIVE_BUFFER = memoryview(bytearray(256 * 1024))
WHOLE_BUFFER = 0  # for `recv_into`: as many bytes as the buffer has


def family(address: Address) -> socket.AddressFamily:
    """Return the address family of a numeric address."""
    return socket.AF_INET6 if ":" in address[0] else socket.AF_INET


def tcp(address: Address) -> socket.socket:
    """Create a TCP socket for a connection to an address, not connected yet. Raises OSError."""
    sock = socket.socket(family(address))
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def listener(address: Address, backlog: int) -> socket.socket:
    """Create a listening TCP socket. Raises OSError, with the address in its message."""
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
    """Connect a socket that `tcp` created. Raises OSError."""
    await trio.socket.from_stdlib_socket(sock).connect(address)


async def receive(sock: socket.socket, max_bytes: int | Callable[[], int] = WHOLE_BUFFER) -> bytes:
    """Wait for data and return up to `max_bytes` of it; b"" at the end of the stream.

    A function for `max_bytes` is called once there is data.

    Raises OSError, or trio.ClosedResourceError if the socket was closed on this side.
    """
    while not is_closed(sock):
        await trio.lowlevel.wait_readable(sock)
        try:
            return receive_now(sock, max_bytes if isinstance(max_bytes, int) else max_bytes())
        except BlockingIOError:
            continue
    raise trio.ClosedResourceError


def receive_now(sock: socket.socket, max_bytes: int = WHOLE_BUFFER) -> bytes:
    """Return up to `max_bytes` of unread data; b"" at the end of the stream.

    Raises OSError; BlockingIOError if there is no data.
    """
    return bytes(RECEIVE_BUFFER[: sock.recv_into(RECEIVE_BUFFER, max_bytes)])


def send_some(sock: socket.socket, data: bytes | memoryview) -> int:
    """Write what can be written without blocking and return the number of bytes. Raises OSError."""
    try:
        return sock.send(data)
    except BlockingIOError:
        return 0


async def send_all(sock: socket.socket, data: bytes) -> None:
    """Write all of the data. Raises OSError, or trio.ClosedResourceError if closed on this side."""
    rest = memoryview(data)
    while True:
        rest = rest[send_some(sock, rest) :]
        if not rest:
            return
        await wait_writable(sock)


def enlarge_send_buffer(sock: socket.socket, size: int) -> None:
    """Enlarge the kernel's send buffer by `size` bytes, up to the system's limit (net.core.wmem_max).

    The kernel delivers what is in the buffer even after the process has ended. Raises OSError.
    """
    current = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, current + size)


async def wait_writable(sock: socket.socket) -> None:
    """Wait until more can be written. Raises trio.ClosedResourceError, even if already closed."""
    if is_closed(sock):
        raise trio.ClosedResourceError
    await trio.lowlevel.wait_writable(sock)


def is_closed(sock: socket.socket) -> bool:
    """Whether a socket was closed on this side; most system calls on it then raise ValueError."""
    return sock.fileno() < 0


def shut(sock: socket.socket) -> None:
    """Close a socket, if it is open; tasks that wait on it get trio.ClosedResourceError."""
    if not is_closed(sock):
        trio.lowlevel.notify_closing(sock)
        sock.close()


def hung_up(sock: socket.socket) -> bool:
    """Whether the peer or this side has ended the connection; bytes from the peer may still be unread.

    A closed socket is allowed: a task scheduled before its connection was closed calls this afterwards.
    """
    if is_closed(sock):
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def is_connected(sock: socket.socket) -> bool:
    """Whether a connection is established, even if its task has not run since."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def unsent(sock: socket.socket) -> int:
    """Count the written bytes that the peer has not taken yet; 0 if not reported by the system, or closed.

    If the connection is closed while there are some, and the peer then writes, it is reset and they are lost.
    """
    if is_closed(sock):
        return 0
    try:
        return struct.unpack("i", fcntl.ioctl(sock, SIOCOUTQNSD, b"\0\0\0\0"))[0]
    except OSError:
        return 0


class UnreadInput(NamedTuple):
    """What the system reports about unread bytes."""

    age: float  # seconds since the last of them arrived; 0 if there are none or it is not reported
    came_at_once: bool  # in one segment; otherwise the first of them may have arrived earlier


def unread_input(sock: socket.socket) -> UnreadInput:
    """Describe the unread bytes of a connection from which nothing was read yet."""
    if silent(sock):
        return UnreadInput(0.0, came_at_once=True)
    info = _tcp_info(sock)
    return UnreadInput(_input_age(info), _field(info, DATA_SEGMENTS_OFFSET) <= 1)


def input_age(sock: socket.socket) -> float:
    """Seconds since the last bytes arrived, read or not; 0 if the system does not report it."""
    return _input_age(_tcp_info(sock))


def acknowledgement_age(sock: socket.socket) -> float:
    """Seconds since the peer's last acknowledgement, at first since the connection began; 0: not reported."""
    return _field(_tcp_info(sock), LAST_ACKNOWLEDGED_OFFSET) / MILLISECONDS


def backlog_length(listening: socket.socket) -> int:
    """Count the connections a listener has not accepted yet; 0 if the system does not report it."""
    return _field(_tcp_info(listening), BACKLOG_LENGTH_OFFSET)


def _tcp_info(sock: socket.socket) -> bytes:
    """Return the system's struct tcp_info of a socket; empty if it is not available."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return b""


def _input_age(info: bytes) -> float:
    return _field(info, LAST_DATA_RECEIVED_OFFSET) / MILLISECONDS


def _field(info: bytes, offset: int) -> int:
    """Return a 32-bit field; 0 if the system's structure is too short to contain it."""
    if len(info) < offset + 4:
        return 0
    return struct.unpack_from("I", info, offset)[0]


def unread(sock: socket.socket, max_bytes: int) -> bytes:
    """Return the first unread bytes of a connection, which stay unread; b"" if there are none."""
    try:
        return sock.recv(max_bytes, socket.MSG_PEEK)
    except OSError:
        return b""


def silent(sock: socket.socket) -> bool:
    """Whether a connection is open with nothing to read, as an idle one must be."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
