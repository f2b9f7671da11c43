"""Accepts connections of clients, as far as the limits go."""

from __future__ import annotations

import socket
from collections.abc import Callable
from math import inf
from time import thread_time

import trio
from loguru import logger

from .admission_control import AdmissionControl
from .backlog_times import BacklogTimes
from .client_connection import ClientConnection
from .client_limits import ClientLimits
from .connection_registry import ConnectionRegistry
from .idle_reaper import IdleReaper
from .sockets import backlog_length, unread_input

MIN_BACKLOG_WAIT = 0.05  # seconds; a shorter one is left to the margin of the reply
FULL_RETRY_INTERVAL = 0.1  # seconds between two attempts to accept while there is no place


class ConnectionAcceptor:
    """Accepts the connections of one front. Those with no place wait in the listener's backlog."""

    def __init__(
        self,
        registry: ConnectionRegistry,
        limits: ClientLimits,
        idle_reaper: IdleReaper,
        admission_control: AdmissionControl | None,
        new_connection: Callable[[socket.socket, float, str], ClientConnection],
        start_reading: Callable[[ClientConnection], None],
    ) -> None:
        """`new_connection` makes one from a socket, the time and the address it came from."""
        self.registry = registry
        self.limits = limits
        self.idle_reaper = idle_reaper
        self.admission_control = admission_control
        self._new_connection = new_connection
        self._start_reading = start_reading
        self._is_full = False  # connections are left waiting for a place
        self._full_until = -inf  # when that was last over
        self._waiting = 0  # connections in the backlog, as last seen
        self._backlog_times = BacklogTimes()

    async def accept(self, listening: socket.socket) -> None:
        """Accept connections until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(listening)
            if not self.accept_pending(listening):
                await trio.sleep(FULL_RETRY_INTERVAL)
                self._observe_backlog(listening)

    def accept_pending(self, listening: socket.socket) -> bool:
        """Accept what has come; False where a limit is in the way."""
        if self.admission_control is None:
            return self._accept_and_observe(listening)
        began = thread_time()
        try:
            return self._accept_and_observe(listening)
        finally:
            self.admission_control.on_accepted(thread_time() - began)

    def _accept_and_observe(self, listening: socket.socket) -> bool:
        """Accept what may be accepted, and note how many wait before that and behind it."""
        if self._waiting:
            self._observe_backlog(listening)
        else:  # the first one came since the loop was punctual
            self._backlog_times.observe(self.registry.timers.punctual_at(self.registry.clock()), 0)
        is_empty = self._accept_all(listening)
        if is_empty:
            self._waiting = 0
        else:
            self._observe_backlog(listening)
        return is_empty

    def _observe_backlog(self, listening: socket.socket) -> None:
        self._waiting = backlog_length(listening)
        self._backlog_times.observe(self.registry.clock(), self._waiting)

    def _accept_all(self, listening: socket.socket) -> bool:
        connections, limits = self.registry.connections, self.limits
        if self._is_full:
            self._is_full = False
            self._full_until = self.registry.clock()
        while len(connections) < limits.max_accepted or self.idle_reaper.close_one_idle():
            if self.admission_control is not None and not self.admission_control.may_accept():
                return False  # the others wait: each new connection costs what several operations do
            try:
                sock, sender = listening.accept()
            except BlockingIOError:
                return True
            except OSError as error:  # out of descriptors, or gone before it was accepted
                logger.warning("accept failed: {}", error)
                return False
            absent_at = self._backlog_times.on_accepted()
            try:
                self._register(sock, sender[0], absent_at)
            except OSError as error:
                logger.warning("connection lost on accept: {}", error)
                sock.close()
        self._is_full = True
        return False

    def _register(self, sock: socket.socket, source: str, absent_at: float) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = self.registry.clock()
        client = self._new_connection(sock, now, source)
        unread_since = _unread_since(sock, now, absent_at)
        if now - unread_since >= MIN_BACKLOG_WAIT:
            client.unread_since = unread_since
            client.is_held_back = self._full_until >= unread_since
        connections = self.registry.connections
        client.over_limit = (
            len(connections) >= self.limits.max_connections and not self.idle_reaper.close_one_idle()
        )
        client.handle = connections.add(client)
        client.client_id = b"%d" % client.handle
        self._start_reading(client)


def _unread_since(sock: socket.socket, now: float, absent_at: float) -> float:
    """When what stands unread on a connection came, at the earliest; `absent_at`: that had not come yet.

    The system tells when the last bytes came. Where there are several requests, or one in pieces, the first
    may have come as early as the connection.
    """
    unread = unread_input(sock)
    last_came_at = now - unread.age
    if unread.came_at_once or absent_at == -inf:
        return last_came_at
    return min(absent_at, last_came_at)
