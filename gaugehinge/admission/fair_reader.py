"""Reads all clients' connections in one task, in fair turns, in place of a task each.

A task for each connection costs a pass of the scheduler and two calls on the kernel for every command; a
crowd of connections then takes the loop before anything is known of what it wants. Here one epoll of our own
stands for all, is itself waited for, and is worked off in passes of bounded time.
"""

from __future__ import annotations

import select
from collections.abc import Callable
from contextlib import suppress
from time import perf_counter

import trio
from loguru import logger

from ..net.client_connection import ClientConnection
from ..net.client_server import ClientServer
from ..net.request_reader import MAX_DISCARDED_BYTES
from ..net.sockets import SPACE
from .request_peek import Glimpse, glance
from .sampling import Tap
from .read_scheduler import PASS_TIME, Turns

MOST_READY = 4096  # connections looked at in a pass
READ_MOST = 64 * 1024 + 1024  # bytes of one connection in a pass: of a flood of huge values one is enough
GAVE_UP = 0.25  # seconds; a connection that ends with a command unread for longer is not read at all
GONE = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
CLOSE_LOOKS = 8  # connections read between two looks at the time


class Turnstile:
    """The connections of one router."""

    def __init__(
        self,
        clients: ClientServer,
        turns: Turns,
        tap: Tap,
        refusal: Callable[[ClientConnection, Glimpse], bytes | None],
    ) -> None:
        """`refusal`: the answer to a read that is turned away at the first look, or None."""
        self.tap = tap
        self.clients = clients
        self.clock = clients.clock
        self.turns = turns
        self.refusal = refusal
        self._epoll = select.epoll()
        self._ending: set[int] = set()  # descriptors whose other side sends no more; left with them
        self._passes = self._left = 0  # since the last look, and those that left something
        self._refusing = 0.0  # seconds
        self._watched: dict[int, ClientConnection] = {}  # by descriptor; leaves with the connection
        self._space = SPACE[:READ_MOST]

    async def run(self) -> None:
        """Read until cancelled."""
        try:
            while True:
                await trio.lowlevel.wait_readable(self._epoll.fileno())
                while self._pass():
                    await trio.lowlevel.checkpoint()
        finally:
            self._epoll.close()

    def watch(self, client: ClientConnection) -> None:
        """Read this one from now on; one that was paused goes on with what it had sent already."""
        if client.paused:
            self.clients.dispatcher.timers.call_at(self.clock(), self._go_on, client)
            return
        number = client.sock.fileno()
        if number >= 0 and not self._epoll.closed and number not in self._watched:
            self._watched[number] = client
            # On edges: what stood unread in one pass is not told anew in each.
            self._epoll.register(number, select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET)

    def unwatch(self, client: ClientConnection) -> None:
        """Read it no more, or not for now."""
        number = client.sock.fileno()
        if self._watched.get(number) is client:
            del self._watched[number]
            self.turns.leave(client)
            self._ending.discard(number)
            with suppress(OSError, ValueError):
                self._epoll.unregister(number)

    def _go_on(self, client: ClientConnection) -> None:
        if client.paused and self.clients.connections.get(client.handle) is client:
            self.clients.request_reader.resume(client)
            if not client.paused:
                self.watch(client)

    def _pass(self) -> bool:
        """Read what stands there, as far as a pass goes; whether something is left."""
        now, turns = self.clock(), self.turns
        turns.fade(now)
        for number, what in self._epoll.poll(0, MOST_READY):
            client = self._watched.get(number)
            if client is None:
                continue  # ended by what came before it in this pass
            if what & GONE:
                if client.ready_since and now - client.ready_since > GAVE_UP:
                    self.clients.close(client)  # unread, it never ran; its client has gone
                    continue
                self._ending.add(number)
            if not client.ready_since:
                turns.stand(client, now)
        end = perf_counter() + PASS_TIME
        count = 0
        while (turn := turns.next(now)) is not None:
            count += 1
            self._read(*turn)
            if count % CLOSE_LOOKS == 0 and perf_counter() > end:
                break
        self._passes += 1
        self._left += turns.standing > 0
        return turns.standing > 0

    def looked(self) -> tuple[float, float]:
        """Since the last call: the part of passes that left something, and seconds spent on turning away."""
        left, refusing = self._left / max(self._passes, 1), self._refusing
        self._passes = self._left = 0
        self._refusing = 0.0
        return left, refusing

    def _read(self, client: ClientConnection, since: float, place: int) -> None:
        began, refused = perf_counter(), False
        try:
            refused = self._one(client, since)
        except BlockingIOError:
            pass
        except OSError:
            self.clients.close(client)
        except Exception:  # a defect fails this connection alone
            logger.exception("client connection failed")
            self.clients.close(client)
        took = perf_counter() - began
        self.turns.count(place, took)
        if refused:
            self._refusing += took

    def _one(self, client: ClientConnection, since: float) -> bool:
        """Read what stands on one; whether it was turned away, or was nothing."""
        number = client.sock.fileno()
        size = client.sock.recv_into(self._space)
        if not size:
            self.clients.close(client)
            return True
        # More may stand behind a full space, and the end behind all: neither comes with an edge of its own.
        if size == len(self._space) or number in self._ending:
            self.turns.stand(client, self.clock())
        data = bytes(self._space[:size])
        at_rest = not (client.pending_replies or client.draining or len(client.parser))
        if self.tap.shut and at_rest and not client.is_held_back:
            seen = glance(data)
            reply = self.refusal(client, seen) if seen is not None else None
            if reply is not None:
                client.has_sent_request = True
                self.clients.reply(client, reply)
                return True
        self.clients.request_reader.data_received(client, data, since)
        if client.paused or client.discarded_bytes > MAX_DISCARDED_BYTES:
            self.unwatch(client)
        return False
