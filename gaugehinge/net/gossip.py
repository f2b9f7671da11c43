"""Messages between routers: UDP datagrams, to and from the addresses that the configuration lists."""

from __future__ import annotations

import socket
import zlib
from collections.abc import Callable

import trio
from loguru import logger

from .configuration import Address
from .sockets import family

MAX_MESSAGE_BYTES = 256  # by the protocol; a longer one must never leave here
STAMP_BYTES = 4
ERROR_PAUSE = 0.01  # after an error, lest a lasting one take the whole core


class GossipChannel:
    """One socket for all peers.

    Each message begins with a stamp of what its figures stand for: a peer that has other settings, or had
    them until a moment ago, told of one tenant what counted here as another's.
    """

    def __init__(self, listen: Address, addresses: tuple[Address, ...], context: bytes = b"") -> None:
        self.set_peers(addresses)
        self.stamp = zlib.crc32(context).to_bytes(STAMP_BYTES, "big")
        self.sock = socket.socket(family(listen), socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        # The process before tells its peers of its end to the last, and may hold the address until then: the
        # next one could not start. What comes goes to who bound it last.
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(listen)
        except OSError as bad:
            self.sock.close()
            raise OSError(bad.errno, f"{listen[0]}:{listen[1]} (peers): {bad.strerror}") from None

    def set_peers(self, addresses: tuple[Address, ...]) -> None:
        self.addresses = addresses
        self.numbers = {address: number for number, address in enumerate(addresses)}

    def send(self, numbers: tuple[int, ...], payload: bytes) -> None:
        payload = self.stamp + payload
        if len(payload) > MAX_MESSAGE_BYTES:
            logger.error("a message of {} bytes is not sent", len(payload))
            return
        for number in numbers:
            if number < len(self.addresses):
                try:
                    self.sock.sendto(payload, self.addresses[number])
                except OSError:  # a peer that is down, a full buffer, or closed: messages may be lost
                    continue

    async def receive(self, on_message: Callable[[int, bytes], None]) -> None:
        """Pass on what listed peers send, until cancelled; everything else is dropped."""
        incoming = trio.socket.from_stdlib_socket(self.sock)
        while True:
            try:
                payload, sender = await incoming.recvfrom(MAX_MESSAGE_BYTES + 1)
            except OSError:  # the refusal of an earlier datagram is reported here
                await trio.sleep(ERROR_PAUSE)
                continue
            number = self.numbers.get(sender[:2])
            if number is None or len(payload) > MAX_MESSAGE_BYTES or not payload.startswith(self.stamp):
                continue
            try:
                on_message(number, payload[STAMP_BYTES:])
            except Exception:
                logger.exception("a message of peer {} failed", number)
