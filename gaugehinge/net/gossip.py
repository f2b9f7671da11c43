"""Gossip between routers: UDP datagrams between the addresses listed in the configuration."""

from __future__ import annotations

import socket
import zlib
from collections.abc import Callable

import trio
from loguru import logger

from .configuration import Address
from .sockets import family

MAX_MESSAGE_BYTES = 256  # limit of the protocol; a longer message must never be sent
STAMP_BYTES = 4
ERROR_PAUSE = 0.01  # seconds after a socket error: a persistent error must not use a whole core


class GossipChannel:
    """One UDP socket for all peers.

    Each message begins with a stamp: a checksum of the context in which its numbers are valid. Without it,
    figures that a peer with different or just changed settings sent for one tenant were counted here for
    another tenant.
    """

    def __init__(self, listen: Address, peers: tuple[Address, ...], context: bytes = b"") -> None:
        """Bind to an address. Raises OSError, with the address in its message, if that fails."""
        self.set_peers(peers)
        self.stamp = zlib.crc32(context).to_bytes(STAMP_BYTES, "big")
        self.sock = socket.socket(family(listen), socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        # During a handover the old process sends to its peers until it ends and may keep the address bound as
        # long; without this option its successor could not start. The kernel delivers messages to the process
        # that bound the address last.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(listen)
        except OSError as error:
            self.sock.close()
            listen_name = f"{listen[0]}:{listen[1]} (peers)"
            raise OSError(error.errno, f"{listen_name}: {error.strerror}") from error

    def set_peers(self, peers: tuple[Address, ...]) -> None:
        """Set the addresses of all peers; a peer's number is its index in them."""
        self.addresses = peers
        self.peer_numbers = {address: number for number, address in enumerate(peers)}

    def send(self, numbers: tuple[int, ...], payload: bytes) -> None:
        """Send a message to the peers with these numbers, without guarantee of delivery."""
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
                except OSError:  # the peer is down, the buffer is full or the socket is closed
                    continue

    async def receive(self, on_message: Callable[[int, bytes], None]) -> None:
        """Pass each peer's messages to `on_message` with its number until cancelled; drop all others."""
        incoming = trio.socket.from_stdlib_socket(self.sock)
        while True:
            try:
                message, sender = await incoming.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:  # also reports that an earlier datagram was refused
                await trio.sleep(ERROR_PAUSE)
                continue
            number = self.peer_numbers.get(sender[:2])
            if number is None or len(message) > MAX_MESSAGE_BYTES or not message.startswith(self.stamp):
                continue
            try:
                on_message(number, message[STAMP_BYTES:])
            except Exception:
                logger.exception("failed to handle a gossip message from peer {}", number)
