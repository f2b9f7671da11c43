"""Reads the connections of all clients in one task, in fair order, in place of a task per connection.

A task per connection costs a scheduler pass and two system calls for every command; many connections then
occupy the event loop before anything is known about their requests. Here one epoll instance of this module's
own covers all connections. The task waits for that epoll and handles its events in passes of bounded time.
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
from ..net.sockets import RECEIVE_BUFFER
from .read_scheduler import MAX_PASS_TIME, ReadScheduler
from .request_peek import PeekedRead, peek_read
from .sampling import ReadSampler

MAX_READY_EVENTS = 4096  # connections whose events are fetched in a pass
# Bytes read from one connection in a pass: from a client that floods with huge values, one is enough.
MAX_READ_BYTES = 64 * 1024 + 1024
ABANDONED_AFTER = 0.25  # seconds; a closing connection with a command unread for longer is not read at all
HANGUP_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
READS_PER_CLOCK_CHECK = 8  # connections read between two checks of the clock


class FairReader:
    """Reads the connections of one router."""

    def __init__(
        self,
        clients: ClientServer,
        scheduler: ReadScheduler,
        sampler: ReadSampler,
        reject_peeked: Callable[[ClientConnection, PeekedRead], bytes | None],
    ) -> None:
        """`reject_peeked` returns the rejection of a peeked read, or None if it is not rejected."""
        self.sampler = sampler
        self.clients = clients
        self.clock = clients.clock
        self.scheduler = scheduler
        self.reject_peeked = reject_peeked
        self._epoll = select.epoll()
        # Descriptors whose peer has stopped sending; removed with the connection.
        self._half_closed: set[int] = set()
        # Since the last `take_statistics`; unfinished: left connections unread.
        self._passes = self._unfinished_passes = 0
        self._reject_time = 0.0  # seconds
        self._watched: dict[int, ClientConnection] = {}  # by descriptor; removed with the connection
        self._buffer = RECEIVE_BUFFER[:MAX_READ_BYTES]

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
        """Read this connection from now on."""
        descriptor = client.sock.fileno()
        if descriptor >= 0 and not self._epoll.closed and descriptor not in self._watched:
            self._watched[descriptor] = client
            # Edge-triggered, so that data left unread in one pass is not reported again in each.
            self._epoll.register(descriptor, select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET)

    def unwatch(self, client: ClientConnection) -> None:
        """Stop reading this connection, for good or for now."""
        descriptor = client.sock.fileno()
        if self._watched.get(descriptor) is client:
            del self._watched[descriptor]
            self.scheduler.remove(client)
            self._half_closed.discard(descriptor)
            with suppress(OSError, ValueError):
                self._epoll.unregister(descriptor)

    def _run_pass(self) -> bool:
        """Read ready connections within the time of one pass; returns whether some are left."""
        now, scheduler = self.clock(), self.scheduler
        scheduler.decay(now)
        for descriptor, events in self._epoll.poll(0, MAX_READY_EVENTS):
            client = self._watched.get(descriptor)
            if client is None:
                continue  # closed earlier in this pass
            if events & HANGUP_EVENTS:
                if client.ready_since and now - client.ready_since > ABANDONED_AFTER:
                    self.clients.close(client)  # never read, so it never ran, and its client has left
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
        """The fraction of unfinished passes and the seconds spent on rejecting, since the last call."""
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
        except Exception:  # a bug closes only this connection
            logger.exception("client connection failed")
            self.clients.close(client)
        elapsed = perf_counter() - began
        self.scheduler.add_time(index, elapsed)
        if rejected:
            self._reject_time += elapsed

    def _receive(self, client: ClientConnection, since: float) -> bool:
        """Read once from a connection; returns whether the data was rejected or the peer had closed it."""
        descriptor = client.sock.fileno()
        max_bytes = min(self.clients.request_reader.max_read_bytes(client), len(self._buffer))
        size = client.sock.recv_into(self._buffer, max_bytes)
        if not size:
            self.clients.close(client)
            return True
        # More data may follow a full buffer, and the end of the stream follows the last data; neither
        # triggers an edge of its own.
        if size == max_bytes or descriptor in self._half_closed:
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
        if not self.clients.request_reader.may_read(client):
            self.unwatch(client)
        return False
