"""Accepts client connections within the limits."""

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

MIN_BACKLOG_WAIT = 0.05  # seconds; a shorter wait is ignored, as the reply's margin covers it
FULL_RETRY_INTERVAL = 0.1  # seconds between two attempts to accept while a limit is reached
MAKING_ROOM_INTERVAL = 0.03  # the same while clients give up their places
MAKING_ROOM_TIME = 1.0  # seconds after the last of them


class ConnectionAcceptor:
    """Accepts the connections of one front. Those over the limits wait in the listener's backlog."""

    def __init__(
        self,
        registry: ConnectionRegistry,
        limits: ClientLimits,
        idle_reaper: IdleReaper,
        admission_control: AdmissionControl | None,
        new_connection: Callable[[socket.socket, float, str], ClientConnection],
        start_reading: Callable[[ClientConnection], None],
    ) -> None:
        """Create the acceptor. `new_connection` takes the socket, the time and the remote address."""
        self.registry = registry
        self.limits = limits
        self.idle_reaper = idle_reaper
        self.admission_control = admission_control
        self._new_connection = new_connection
        self._start_reading = start_reading
        self._is_full = False  # accepting stopped because the connection limit was reached
        self._full_until = -inf  # when that last ended
        self._waiting = 0  # last observed number of connections in the backlog
        self._backlog_times = BacklogTimes()

    async def accept(self, listening: socket.socket) -> None:
        """Accept connections until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(listening)
            if not self.accept_pending(listening):
                if self._is_full:
                    self.idle_reaper.reject_longest_queues(self._waiting)
                await trio.sleep(self._retry_interval())
                self._observe_backlog(listening)

    def _retry_interval(self) -> float:
        is_making_room = self.registry.clock() - self.registry.made_room_at < MAKING_ROOM_TIME
        return MAKING_ROOM_INTERVAL if is_making_room else FULL_RETRY_INTERVAL

    def accept_pending(self, listening: socket.socket) -> bool:
        """Accept the connections in the backlog; returns False if a limit left some of them there."""
        if self.admission_control is None:
            return self._accept_and_observe(listening)
        began = thread_time()
        try:
            return self._accept_and_observe(listening)
        finally:
            self.admission_control.on_accepted(thread_time() - began)

    def _accept_and_observe(self, listening: socket.socket) -> bool:
        """Accept what the limits allow, and record the length of the backlog before and after that."""
        if self._waiting:
            self._observe_backlog(listening)
        else:  # the first waiting connection arrived after the loop was last punctual
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
                return False  # the others wait: each new connection costs as much as several operations
            try:
                sock, sender = listening.accept()
            except BlockingIOError:
                return True
            except OSError as error:  # out of file descriptors, or the client disconnected before the accept
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
    """The earliest time at which the unread bytes of a connection may have arrived.

    `absent_at` is the last time at which the connection is known not to have arrived yet. The kernel reports
    only when the last bytes arrived. Where there are several requests, or one in pieces, the first bytes may
    have arrived as early as the connection.
    """
    unread = unread_input(sock)
    last_came_at = now - unread.age
    if unread.came_at_once or absent_at == -inf:
        return last_came_at
    return min(absent_at, last_came_at)
