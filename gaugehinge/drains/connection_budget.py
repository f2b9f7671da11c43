"""A router's connections within its lease, counted until their servers have closed them, too."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import trio

from ..net.connection import Connection, PendingAttempt, ServerPool
from ..net.connection_pool import REUSE_DELAY
from ..net.service import Service
from ..routing.types import Outcome
from .clock import boot_clock
from .connection_counts import DEFAULT_SERVER, ORIGIN, ConnectionCounts
from .lease_holder import LeaseHolder
from .peer_close import wait_for_peer_close
from .upstream_connections import UpstreamConnections

MAX_WAITING = 256  # attempts that wait for a connection to one server
WAIT_FRACTION = 0.5  # of an attempt's time to wait for a connection; then another server is tried, or none
RESET_TIME = 1.0  # seconds for which a connection counts that was reset, or that never came up
FORCED_CLOSE_FRACTION = 0.5  # of the close timeout: what is in use above the floors is closed then
REST_MARGIN = 1.1  # by which a connection's rest is waited for


@dataclass(slots=True, eq=False)
class LeasedConnectionBudget:
    """`net.connection_pool.ConnectionBudget`: says what may be opened and used by the lease.

    Its clock goes on while the machine is suspended, and is read at each opening and each use.
    """

    service: Service
    nursery: trio.Nursery
    clock: Callable[[], float] = field(default=boot_clock, kw_only=True)
    lease: LeaseHolder = field(init=False)
    close_timeout: float = field(init=False, default=0.0)  # seconds
    upstreams: dict[str, UpstreamConnections] = field(init=False, default_factory=dict)  # by `upstream_name`
    upstream_names: dict[str, str] = field(init=False, default_factory=dict)  # by server; emptied with them

    # -- which upstream

    def upstream_name(self, endpoint: ServerPool) -> str:
        """ORIGIN, or the server's name in the endpoint list.

        It stays the same for as long as a connection counts: the origin leaves the list before the
        connections to it do.
        """
        name = self.upstream_names.get(endpoint.uid)
        if name is None:
            origin = self.service.dispatcher.router.origin
            name = ORIGIN if origin is not None and origin.ident == endpoint.ident else endpoint.uid
            self.upstream_names[endpoint.uid] = name
        return name

    def _upstream(self, endpoint: ServerPool) -> UpstreamConnections:
        name = self.upstream_name(endpoint)
        found = self.upstreams.get(name)
        if found is None:
            found = self.upstreams[name] = UpstreamConnections()
        return found

    def _allowed(self, endpoint: ServerPool) -> int:
        return self.lease.allowed(self.upstream_name(endpoint), self.clock())

    # -- net.connection_pool.ConnectionBudget

    def may_open(self, endpoint: ServerPool) -> bool:
        """Whether one more may be opened. Closing connections count: the server may hold them still."""
        return self._upstream(endpoint).counted < self._allowed(endpoint)

    def may_use(self, connection: Connection) -> bool:
        """Whether a connection may carry an attempt.

        One above what may be open now carries nothing more, or it would outlive its close timeout.
        """
        upstream = self._upstream(connection.endpoint)
        upstream.note_demand(len(connection.endpoint.idle))
        return upstream.open <= self._allowed(connection.endpoint)

    def opened(self, connection: Connection) -> None:
        """Count a connection that is about to be opened."""
        upstream = self._upstream(connection.endpoint)
        upstream.open += 1
        upstream.note_demand(len(connection.endpoint.idle))

    def became_idle(self, connection: Connection) -> None:
        """Close a connection that became idle where it is above what may be open."""
        endpoint = connection.endpoint
        upstream = self._upstream(endpoint)
        if upstream.open > self._allowed(endpoint):
            endpoint.idle.remove(connection)
            self.service.pool._close(connection)
        elif upstream.waiting:
            pool = self.service.pool
            pool.timers.call_at(pool.clock() + REST_MARGIN * REUSE_DELAY, self._serve_waiting, endpoint)

    def closed(self, connection: Connection) -> None:
        """Shut down the sending side, and count the connection until the server has closed it, too."""
        upstream = self._upstream(connection.endpoint)
        upstream.open -= 1
        upstream.closing += 1
        half_closed = None
        with suppress(OSError):  # it never came up, or was reset
            half_closed = connection.sock.dup()
        self.nursery.start_soon(self._await_close, half_closed, upstream, connection.endpoint)

    async def _await_close(
        self, half_closed: socket.socket | None, upstream: UpstreamConnections, endpoint: ServerPool
    ) -> None:
        try:
            if half_closed is None or not await wait_for_peer_close(half_closed, self.close_timeout):
                await trio.sleep(RESET_TIME)
        finally:
            if half_closed is not None:
                half_closed.close()
            upstream.closing -= 1
        self._serve_waiting(endpoint)

    # -- attempts that wait for a connection

    def wait(self, endpoint: ServerPool, pending: PendingAttempt) -> bool:
        """Keep an attempt for which no connection may be opened; False: it is not kept."""
        upstream = self._upstream(endpoint)
        if len(upstream.waiting) >= MAX_WAITING or self.lease.closed:
            return False
        pool = self.service.pool
        now = pool.clock()
        wait_until = now + WAIT_FRACTION * max(pending.deadline - now, 0.0)
        self._set_timer(pending, wait_until, self._wait_timed_out, upstream, pending)
        upstream.waiting.append(pending)
        if endpoint.idle:  # one that has not had its rest
            pool.timers.call_at(now + REST_MARGIN * REUSE_DELAY, self._serve_waiting, endpoint)
        upstream.note_demand(len(endpoint.idle))
        return True

    def _set_timer(
        self, pending: PendingAttempt, at: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        timers = self.service.pool.timers
        if pending.timer is not None:
            timers.cancel(pending.timer)
        pending.timer = timers.call_at(at, action, *arguments)

    def _wait_timed_out(self, upstream: UpstreamConnections, pending: PendingAttempt) -> None:
        if pending in upstream.waiting:
            upstream.waiting.remove(pending)
            self.service.pool._end_soon(pending, Outcome.NOT_SENT)

    def _serve_waiting(self, endpoint: ServerPool) -> None:
        """Give free connections, and openings that are allowed, to the attempts that wait longest."""
        upstream, pool = self._upstream(endpoint), self.service.pool
        while upstream.waiting:
            pending = upstream.waiting[0]
            if pool.pending.get(pending.attempt) is not pending or pending.attempt.operation.finished:
                upstream.waiting.popleft()
                continue
            if pool.endpoints.get(endpoint.ident) is not endpoint:
                upstream.waiting.popleft()
                pool._end_soon(pending, Outcome.NOT_SENT)
                continue
            connection = pool.take_idle(endpoint, pending.attempt)
            if connection is None and not (self.may_open(endpoint) and pool._make_room()):
                return
            upstream.waiting.popleft()
            self._set_timer(pending, pending.deadline, pool._on_timeout, pending)
            if connection is not None:
                pool._start(connection, pending)
            else:
                pool._open(endpoint, pending)

    # -- connections above what is allowed

    def enforce(self) -> None:
        """Close what is above the lease: idle connections at once, others when their attempt ends.

        What is still in use after half of the close timeout is closed, too.
        """
        now = self.clock()
        endpoints = {
            self.upstream_name(endpoint): endpoint for endpoint in self.service.pool.endpoints.values()
        }
        for name, upstream in list(self.upstreams.items()):
            endpoint = endpoints.get(name)
            self._close_excess(name, upstream, endpoint, now)
            if endpoint is not None and upstream.waiting:
                self._serve_waiting(endpoint)
            if endpoint is None and not upstream.counted and not upstream.waiting:
                self._forget_upstream(name)

    def _close_excess(
        self, name: str, upstream: UpstreamConnections, endpoint: ServerPool | None, now: float
    ) -> None:
        allowed = self.lease.allowed(name, now)
        while endpoint is not None and endpoint.idle and upstream.open > allowed:
            self.service.pool._close(endpoint.idle.pop(0))
        if upstream.open <= allowed:
            upstream.over_since = 0.0
        elif not upstream.over_since:
            upstream.over_since = now
        elif now - upstream.over_since > FORCED_CLOSE_FRACTION * self.close_timeout:
            self._close_in_use(name, upstream.open - allowed)

    def _close_in_use(self, name: str, count: int) -> None:
        pool = self.service.pool
        for pending in list(pool.pending.values()):
            connection = pending.connection
            if count and connection is not None and self.upstream_name(connection.endpoint) == name:
                pool._close(connection)  # its reader wakes, and its attempt ends with a lost connection
                count -= 1

    def _forget_upstream(self, name: str) -> None:
        del self.upstreams[name]
        self.upstream_names = {uid: each for uid, each in self.upstream_names.items() if each != name}

    def close_idle(self, uids: Iterable[str]) -> None:
        """Close the idle connections to these servers."""
        for endpoint in self.service.pool.endpoints.values() if uids else ():
            while endpoint.uid in uids and endpoint.idle:
                self.service.pool._close(endpoint.idle.pop(0))

    def close_all(self) -> None:
        """Open nothing more, cancel what is pending and close all idle connections."""
        self.lease.closed = True
        pool = self.service.pool
        for pending in list(pool.pending.values()):
            pool.cancel(pending.attempt)
        for endpoint in pool.endpoints.values():
            while endpoint.idle:
                pool._close(endpoint.idle.pop())

    # -- counts

    def total_counted(self) -> int:
        """Connections to all servers, those that are closing included."""
        return sum(upstream.counted for upstream in self.upstreams.values())

    def counts_of(self, count: Callable[[UpstreamConnections], int]) -> ConnectionCounts:
        """A count by upstream; of servers that the lease does not name the highest."""
        named = {*self.lease.granted, *self.lease.floors}
        counts = {ORIGIN: 0, DEFAULT_SERVER: 0, **dict.fromkeys(named, 0)}
        for name, upstream in self.upstreams.items():
            key = name if name in counts else DEFAULT_SERVER
            counts[key] = max(counts[key], count(upstream))
        return counts

    def origin_connections_in_use(self) -> int | None:
        """Connections to the origin that are not idle; None where there are none to it."""
        origin = self.upstreams.get(ORIGIN)
        if origin is None:
            return None
        endpoints = self.service.pool.endpoints.values()
        endpoint = next((each for each in endpoints if self.upstream_name(each) == ORIGIN), None)
        return origin.open - (len(endpoint.idle) if endpoint is not None else 0)
