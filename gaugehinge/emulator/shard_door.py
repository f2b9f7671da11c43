"""The played cluster on loopback sockets, and discovery beside it."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import Any

import trio

from ..cluster.resp3 import CLIENT_LIMITS, Malformed, Reader, encode
from ..net.sockets import receive, send_all, shut
from .shards import Shard, Shards, Wire

RESET = struct.pack("ii", 1, 0)
BACKLOG = 128


class ShardDoor:
    """One server's listeners, one for each router, and its connections."""

    def __init__(
        self,
        nursery: trio.Nursery,
        shards: Shards,
        shard: Shard,
        addresses: list[tuple[str, int]],
        work: float = 0.0,
        note: Callable[..., None] = lambda *told: None,
    ) -> None:
        """`work`: seconds that a command takes; `note` gets router, server, words, time for each command."""
        self.nursery = nursery
        self.shards = shards
        self.shard = shard
        self.addresses = addresses
        self.work = work
        self.note = note
        self.scope = trio.CancelScope()
        self.lines: set[socket.socket] = set()
        self.pushes = False  # say something unasked before each answer
        self.drops = 0  # so many answers are swallowed and their connections reset
        self.silent = 0  # so many commands are run and never answered
        self.commands = 0

    def open(self) -> None:
        """Listen; a port in use raises OSError."""
        self.scope = trio.CancelScope()
        for router, address in enumerate(self.addresses):
            raw = socket.socket()
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            raw.setblocking(False)
            raw.bind(address)
            raw.listen(BACKLOG)
            self.nursery.start_soon(self._accept, raw, router, self.scope)

    def close(self) -> None:
        """Gone: no listeners, all connections reset."""
        self.scope.cancel()
        for raw in list(self.lines):
            if raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            shut(raw)

    async def _accept(self, listening: socket.socket, router: int, scope: trio.CancelScope) -> None:
        with scope:
            try:
                while True:
                    await trio.lowlevel.wait_readable(listening)
                    try:
                        raw, _ = listening.accept()
                    except BlockingIOError:
                        continue
                    raw.setblocking(False)
                    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self.nursery.start_soon(self._serve, raw, router)
            finally:
                shut(listening)

    async def _serve(self, raw: socket.socket, router: int) -> None:
        self.lines.add(raw)
        reader, wire = Reader(CLIENT_LIMITS), Wire()
        try:
            while data := await receive(raw):
                reader.feed(data)
                while (message := reader.next()) is not None:
                    if not await self._command(raw, router, wire, message.value):
                        return
        except (OSError, trio.ClosedResourceError, Malformed):
            pass
        finally:
            self.lines.discard(raw)
            shut(raw)

    async def _command(self, raw: socket.socket, router: int, wire: Wire, words: Any) -> bool:
        """Answer one; whether the connection goes on."""
        self.commands += 1
        self.note(router, self.shard.name, words, self.shards.clock())
        if self.work:
            await trio.sleep(self.work)
        told = encode(self.shards.answer(self.shard, wire, words))
        if words[0] not in (b"ASKING", b"READONLY"):
            if self.silent:
                self.silent -= 1
                return True
            if self.drops:
                self.drops -= 1
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                return False
        if self.pushes:
            told = b">2\r\n+news\r\n:1\r\n" + told
        await send_all(raw, told)
        return True
