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
from .read_scheduler import MAX_PASS_TIME, ReadScheduler
from .request_peek import PeekedRead, peek_read
from .sampling import ReadSampler

MAX_READY_EVENTS = 4096  # connections looked at in a pass
MAX_READ_BYTES = (
    64 * 1024 + 1024
)  # bytes of one connection in a pass: of a flood of huge values one is enough
ABANDONED_AFTER = 0.25  # seconds; a connection that ends with a command unread for longer is not read at all
HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
READS_PER_CLOCK_CHECK = 8  # connections read between two looks at the time


class FairReader:
    """The connections of one router."""

    def __init__(
        self,
        clients: ClientServer,
        scheduler: ReadScheduler,
        sampler: ReadSampler,
        reject_peeked: Callable[[ClientConnection, PeekedRead], bytes | None],
    ) -> None:
        """`refusal`: the answer to a read that is turned away at the first look, or None."""
        self.sampler = sampler
        self.clients = clients
        self.clock = clients.clock
        self.scheduler = scheduler
        self.reject_peeked = reject_peeked
        self._epoll = select.epoll()
        self._half_closed: set[int] = set()  # descriptors whose other side sends no more; left with them
        self._passes = self._unfinished_passes = 0  # since the last look, and those that left something
        self._reject_time = 0.0  # seconds
        self._watched: dict[int, ClientConnection] = {}  # by descriptor; leaves with the connection
        self._buffer = SPACE[:MAX_READ_BYTES]

    async def run(self) -> None:
        """Read until cancelled."""
        try:
            while True:
                await trio.lowlevel.wait_readable(self._epoll.fileno())
                while self._run_pass():
                    await trio.lowlevel.checkpoint()
        finally:
            self._epoll.close()

    def watch(self, client: ClientConnection) -> None:
        """Read this one from now on; one that was paused goes on with what it had sent already."""
        if client.paused:
            self.clients.dispatcher.timers.call_at(self.clock(), self._resume, client)
            return
        descriptor = client.sock.fileno()
        if descriptor >= 0 and not self._epoll.closed and descriptor not in self._watched:
            self._watched[descriptor] = client
            # On edges: what stood unread in one pass is not told anew in each.
            self._epoll.register(descriptor, select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET)

    def unwatch(self, client: ClientConnection) -> None:
        """Read it no more, or not for now."""
        descriptor = client.sock.fileno()
        if self._watched.get(descriptor) is client:
            del self._watched[descriptor]
            self.scheduler.remove(client)
            self._half_closed.discard(descriptor)
            with suppress(OSError, ValueError):
                self._epoll.unregister(descriptor)

    def _resume(self, client: ClientConnection) -> None:
        if client.paused and self.clients.connections.get(client.handle) is client:
            self.clients.request_reader.resume(client)
            if not client.paused:
                self.watch(client)

    def _run_pass(self) -> bool:
        """Read what stands there, as far as a pass goes; whether something is left."""
        now, scheduler = self.clock(), self.scheduler
        scheduler.decay(now)
        for descriptor, events in self._epoll.poll(0, MAX_READY_EVENTS):
            client = self._watched.get(descriptor)
            if client is None:
                continue  # ended by what came before it in this pass
            if events & HANGUP_EVENTS:
                if client.ready_since and now - client.ready_since > ABANDONED_AFTER:
                    self.clients.close(client)  # unread, it never ran; its client has gone
                    continue
                self._half_closed.add(descriptor)
            if not client.ready_since:
                scheduler.add_ready(client, now)
        end = perf_counter() + MAX_PASS_TIME
        reads = 0
        while (pick := scheduler.next(now)) is not None:
            reads += 1
            self._read_connection(*pick)
            if reads % READS_PER_CLOCK_CHECK == 0 and perf_counter() > end:
                break
        self._passes += 1
        self._unfinished_passes += scheduler.ready_count > 0
        return scheduler.ready_count > 0

    def take_statistics(self) -> tuple[float, float]:
        """Since the last call: the part of passes that left something, and seconds spent on turning away."""
        unfinished, reject_time = self._unfinished_passes / max(self._passes, 1), self._reject_time
        self._passes = self._unfinished_passes = 0
        self._reject_time = 0.0
        return unfinished, reject_time

    def _read_connection(self, client: ClientConnection, since: float, index: int) -> None:
        began, rejected = perf_counter(), False
        try:
            rejected = self._receive(client, since)
        except BlockingIOError:
            pass
        except OSError:
            self.clients.close(client)
        except Exception:  # a defect fails this connection alone
            logger.exception("client connection failed")
            self.clients.close(client)
        elapsed = perf_counter() - began
        self.scheduler.add_time(index, elapsed)
        if rejected:
            self._reject_time += elapsed

    def _receive(self, client: ClientConnection, since: float) -> bool:
        """Read what stands on one; whether it was turned away, or was nothing."""
        descriptor = client.sock.fileno()
        size = client.sock.recv_into(self._buffer)
        if not size:
            self.clients.close(client)
            return True
        # More may stand behind a full space, and the end behind all: neither comes with an edge of its own.
        if size == len(self._buffer) or descriptor in self._half_closed:
            self.scheduler.add_ready(client, self.clock())
        data = bytes(self._buffer[:size])
        idle = not (client.pending_replies or client.draining or len(client.parser))
        if self.sampler.any_limited and idle and not client.is_held_back:
            peeked = peek_read(data)
            reply = self.reject_peeked(client, peeked) if peeked is not None else None
            if reply is not None:
                client.has_sent_request = True
                self.clients.reply(client, reply)
                return True
        self.clients.request_reader.data_received(client, data, since)
        if client.paused or client.discarded_bytes > MAX_DISCARDED_BYTES:
            self.unwatch(client)
        return False
