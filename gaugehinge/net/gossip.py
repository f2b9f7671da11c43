"""Messages between routers: UDP datagrams between the addresses that the configuration lists."""

from __future__ import annotations

import socket
import zlib
from collections.abc import Callable

import trio
from loguru import logger

from .configuration import Address
from .sockets import family

MAX_MESSAGE_BYTES = 256  # by the protocol; a longer one must never be sent
STAMP_BYTES = 4
ERROR_PAUSE = 0.01  # seconds after an error of the socket: a lasting one must not take the whole core


class GossipChannel:
    """One socket for all peers.

    Each message begins with a stamp of the context in which its figures are to be read. A peer with other
    settings, or whose settings have just changed, sent of one tenant what counted here as another's.
    """

    def __init__(self, listen: Address, peers: tuple[Address, ...], context: bytes = b"") -> None:
        """Bind to an address. Raises OSError, with the address in its message, where that is not possible."""
        self.set_peers(peers)
        self.stamp = zlib.crc32(context).to_bytes(STAMP_BYTES, "big")
        self.sock = socket.socket(family(listen), socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        # The former process sends to its peers until its end, and may hold the address for as long: its
        # successor could not start. Messages go to the process that bound the address last.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(listen)
        except OSError as error:
            self.sock.close()
            listen_name = f"{listen[0]}:{listen[1]} (peers)"
            raise OSError(error.errno, f"{listen_name}: {error.strerror}") from error

    def set_peers(self, peers: tuple[Address, ...]) -> None:
        """The addresses of all peers; a peer's number is its place among them."""
        self.addresses = peers
        self.peer_numbers = {address: number for number, address in enumerate(peers)}

    def send(self, numbers: tuple[int, ...], payload: bytes) -> None:
        """Send a message to the peers of these numbers. It may be lost."""
        message = self.stamp + payload
        if len(message) > MAX_MESSAGE_BYTES:
            logger.error(
                "gossip message of {} bytes not sent: over the limit of {}", len(message), MAX_MESSAGE_BYTES
            )
            return
        for number in numbers:
            if number < len(self.addresses):
                try:
                    self.sock.sendto(message, self.addresses[number])
                except OSError:  # a peer that is down, a full buffer, or a closed socket
                    continue

    async def receive(self, on_message: Callable[[int, bytes], None]) -> None:
        """Pass on the peers' messages by number, until cancelled; everything else is dropped."""
        incoming = trio.socket.from_stdlib_socket(self.sock)
        while True:
            try:
                message, sender = await incoming.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:  # the refusal of an earlier datagram is reported here
                await trio.sleep(ERROR_PAUSE)
                continue
            number = self.peer_numbers.get(sender[:2])
            if number is None or len(message) > MAX_MESSAGE_BYTES or not message.startswith(self.stamp):
                continue
            try:
                on_message(number, message[STAMP_BYTES:])
            except Exception:
                logger.exception("failed to handle a gossip message from peer {}", number)
