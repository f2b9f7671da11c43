"""Messages between routers: UDP datagrams, to and from the addresses that the configuration lists."""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio
from loguru import logger

from .berth import Address
from .sockets import family

MOST_BYTES = 256  # by the protocol; a longer one must never leave here
REST = 0.01  # after an error, lest a lasting one take the whole core


class Peers:
    """One socket for all peers."""

    def __init__(self, listen: Address, addresses: tuple[Address, ...]) -> None:
        self.know(addresses)
        self.raw = socket.socket(family(listen), socket.SOCK_DGRAM)
        self.raw.setblocking(False)
        self.raw.bind(listen)

    def know(self, addresses: tuple[Address, ...]) -> None:
        self.addresses = addresses
        self.numbers = {address: number for number, address in enumerate(addresses)}

    def tell(self, numbers: tuple[int, ...], payload: bytes) -> None:
        if len(payload) > MOST_BYTES:
            logger.error("a message of {} bytes is not sent", len(payload))
            return
        for number in numbers:
            if number < len(self.addresses):
                try:
                    self.raw.sendto(payload, self.addresses[number])
                except OSError:  # a peer that is down or a full buffer: messages may be lost
                    continue

    async def hear(self, heard: Callable[[int, bytes], None]) -> None:
        """Pass on what listed peers send, until cancelled; everything else is dropped."""
        incoming = trio.socket.from_stdlib_socket(self.raw)
        while True:
            try:
                payload, sender = await incoming.recvfrom(MOST_BYTES + 1)
            except OSError:  # the refusal of an earlier datagram is reported here
                await trio.sleep(REST)
                continue
            number = self.numbers.get(sender[:2])
            if number is None or len(payload) > MOST_BYTES:
                continue
            try:
                heard(number, payload)
            except Exception:
                logger.exception("a message of peer {} failed", number)
