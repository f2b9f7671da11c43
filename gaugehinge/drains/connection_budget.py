"""Keeps a router's connections within its lease. A connection counts until its server has closed it, too."""

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

MAX_WAITING_ATTEMPTS = 256  # per server
# Share of an attempt's remaining time that it may wait for a connection. Then another server is tried, or
# none.
WAIT_FRACTION = 0.5
RESET_HOLD_TIME = 1.0  # seconds that a connection counts after a reset, or if it was never established
# Share of the close timeout after which connections above the allowed number (without a lease: above the
# floors) are closed even if they are in use.
FORCED_CLOSE_FRACTION = 0.5
REUSE_DELAY_MARGIN = 1.1  # factor on REUSE_DELAY when waiting for an idle connection to become reusable


@dataclass(slots=True, eq=False)
class LeasedConnectionBudget:
    """A `net.connection_pool.ConnectionBudget` that follows the router's connection lease.

    The clock keeps running while the machine is suspended. It is read each time a connection is opened or
    used, so that a lease that expired during a suspension is not used afterwards.
    """

    service: Service
    nursery: trio.Nursery
    clock: Callable[[], float] = field(default=boot_clock, kw_only=True)
    lease: LeaseHolder = field(init=False)
    close_timeout: float = field(init=False, default=0.0)  # seconds
    upstreams: dict[str, UpstreamConnections] = field(init=False, default_factory=dict)  # by upstream name
    # By server uid; an entry is removed together with its upstream.
    upstream_names: dict[str, str] = field(init=False, default_factory=dict)

    # -- upstream names

    def upstream_name(self, endpoint: ServerPool) -> str:
        """Return ORIGIN, or the server's uid from the endpoint list.

        The name is cached for as long as a connection counts: the origin leaves the endpoint list before its
        connections are closed.
        """
        name = self.upstream_names.get(endpoint.uid)
        if name is None:
            origin = self.service.dispatcher.router.origin
            name = ORIGIN if origin is not None and origin.ident == endpoint.ident else endpoint.uid
            self.upstream_names[endpoint.uid] = name
        return name

    def _upstream(self, endpoint: ServerPool) -> UpstreamConnections:
        name = self.upstream_name(endpoint)
        upstream = self.upstreams.get(name)
        if upstream is None:
            upstream = self.upstreams[name] = UpstreamConnections()
        return upstream

    def _allowed(self, endpoint: ServerPool) -> int:
        return self.lease.allowed(self.upstream_name(endpoint), self.clock())

    # -- net.connection_pool.ConnectionBudget

    def may_open(self, endpoint: ServerPool) -> bool:
        """Whether one more connection may be opened. Closing ones count: the server may still hold them."""
        return self._upstream(endpoint).counted < self._allowed(endpoint)

    def may_use(self, connection: Connection) -> bool:
        """Whether a connection may carry another attempt.

        While more are open than allowed, none takes a further attempt: it could outlive the close timeout.
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
        """Handle a connection that became idle: close it if more are open than allowed."""
        endpoint = connection.endpoint
        upstream = self._upstream(endpoint)
        if upstream.open > self._allowed(endpoint):
            endpoint.idle.remove(connection)
            self.service.pool._close(connection)
        elif upstream.waiting:
            pool = self.service.pool
            pool.timers.call_at(
                pool.clock() + REUSE_DELAY_MARGIN * REUSE_DELAY, self._serve_waiting, endpoint
            )

    def closed(self, connection: Connection) -> None:
        """Shut the sending side down. The connection counts as closing until the server closes it, too."""
        upstream = self._upstream(connection.endpoint)
        upstream.open -= 1
        upstream.closing += 1
        half_closed = None
        with suppress(OSError):  # it was never established, or was reset
            half_closed = connection.sock.dup()
        self.nursery.start_soon(self._await_close, half_closed, upstream, connection.endpoint)

    async def _await_close(
        self, half_closed: socket.socket | None, upstream: UpstreamConnections, endpoint: ServerPool
    ) -> None:
        try:
            if half_closed is None or not await wait_for_peer_close(half_closed, self.close_timeout):
                await trio.sleep(RESET_HOLD_TIME)
        finally:
            if half_closed is not None:
                half_closed.close()
            upstream.closing -= 1
        self._serve_waiting(endpoint)

    # -- attempts that wait for a connection

    def wait(self, endpoint: ServerPool, pending: PendingAttempt) -> bool:
        """Queue an attempt for which no connection may be opened; False: it was not queued."""
        upstream = self._upstream(endpoint)
        if len(upstream.waiting) >= MAX_WAITING_ATTEMPTS or self.lease.closed:
            return False
        pool = self.service.pool
        now = pool.clock()
        wait_until = now + WAIT_FRACTION * max(pending.deadline - now, 0.0)
        self._set_timer(pending, wait_until, self._wait_timed_out, upstream, pending)
        upstream.waiting.append(pending)
        if endpoint.idle:  # a connection whose reuse delay is not over
            pool.timers.call_at(now + REUSE_DELAY_MARGIN * REUSE_DELAY, self._serve_waiting, endpoint)
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
        """Start waiting attempts, oldest first, on idle connections or on new ones that are allowed."""
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

    # -- connections above the allowed number

    def enforce(self) -> None:
        """Close connections above the allowed number: idle ones at once, others when their attempt ends.

        Those still in use after half of the close timeout are closed, too.
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
                pool._close(connection)  # wakes its reader, which ends the attempt as CONNECTION_LOST
                count -= 1

    def _forget_upstream(self, name: str) -> None:
        del self.upstreams[name]
        self.upstream_names = {
            uid: other_name for uid, other_name in self.upstream_names.items() if other_name != name
        }

    def close_idle(self, uids: Iterable[str]) -> None:
        """Close the idle connections to these servers."""
        for endpoint in self.service.pool.endpoints.values() if uids else ():
            while endpoint.uid in uids and endpoint.idle:
                self.service.pool._close(endpoint.idle.pop(0))

    def close_all(self) -> None:
        """Stop opening connections, cancel pending attempts and close all idle connections."""
        self.lease.closed = True
        pool = self.service.pool
        for pending in list(pool.pending.values()):
            pool.cancel(pending.attempt)
        for endpoint in pool.endpoints.values():
            while endpoint.idle:
                pool._close(endpoint.idle.pop())

    # -- counts

    def total_counted(self) -> int:
        """Return the number of connections to all servers, closing ones included."""
        return sum(upstream.counted for upstream in self.upstreams.values())

    def counts_of(self, count: Callable[[UpstreamConnections], int]) -> ConnectionCounts:
        """Return a count by upstream.

        DEFAULT_SERVER has the highest count of the servers without an entry in the lease or its floors.
        """
        named = {*self.lease.granted, *self.lease.floors}
        counts = {ORIGIN: 0, DEFAULT_SERVER: 0, **dict.fromkeys(named, 0)}
        for name, upstream in self.upstreams.items():
            key = name if name in counts else DEFAULT_SERVER
            counts[key] = max(counts[key], count(upstream))
        return counts

    def origin_connections_in_use(self) -> int | None:
        """Return how many connections to the origin are not idle; None if none to it are tracked."""
        origin = self.upstreams.get(ORIGIN)
        if origin is None:
            return None
        endpoints = self.service.pool.endpoints.values()
        endpoint = next((each for each in endpoints if self.upstream_name(each) == ORIGIN), None)
        return origin.open - (len(endpoint.idle) if endpoint is not None else 0)
