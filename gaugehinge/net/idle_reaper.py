"""Closes connections that occupy capacity without using it: idle, stalled and over the limit."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import nlargest

from .admission_control import AdmissionControl
from .client_connection import ClientConnection
from .client_limits import ClientLimits
from .connection_registry import ConnectionRegistry
from .lifecycle import Lifecycle, Phase
from .reason_log import CloseReason
from .reply_writer import ReplyWriter
from .sockets import hung_up

SWEEP_INTERVAL = 0.25  # seconds between two checks of all connections
# Seconds for a request to arrive completely; for a connection's first request they start at the accept at the
# latest.
REQUEST_READ_TIMEOUT = 2.0
IDLE_TIMEOUT = 2.0  # seconds with nothing in flight: some clients send one request and never disconnect
MIN_SEARCH_INTERVAL = 0.01  # seconds between two searches for an idle connection that found none
# Seconds for which an eviction order is reused. Computed anew for each new connection, it took half the time
# of a full front of 500 connections.
EVICTION_ORDER_LIFETIME = 0.05
REQUEST_TIMEOUT_REPLY = b"-ERR protocol: command not whole in time\r\n"


class IdleReaper:
    """Checks all connections of one front periodically, and finds one to close when a new one needs room."""

    def __init__(
        self,
        registry: ConnectionRegistry,
        limits: ClientLimits,
        lifecycle: Lifecycle,
        reply_writer: ReplyWriter,
        reject_waiting: Callable[[ClientConnection], None],
        admission_control: AdmissionControl | None,
    ) -> None:
        """Create the reaper.

        `reject_waiting` rejects the requests of a connection that were read and wait. `admission_control`, if
        present, decides the order of eviction.
        """
        self.registry = registry
        self.limits = limits
        self.lifecycle = lifecycle
        self.reply_writer = reply_writer
        self._reject_waiting = reject_waiting
        self.admission_control = admission_control
        self.timers = registry.timers
        self.clock = registry.clock
        self.last_sweep = self.responsive_since = self.clock()
        self._next_search = 0.0
        self._eviction_order: Iterator[ClientConnection] = iter(())
        self._next_eviction_order = 0.0
        self._stalled_order: Iterator[ClientConnection] = iter(())
        self._next_stalled_order = 0.0

    def sweep(self) -> None:
        """Close connections past their timeouts, even with capacity left, and schedule the next sweep.

        Otherwise silent and idle connections, and those whose request never arrives completely, would each
        hold a file descriptor for as long as their clients keep them open.
        """
        now = self.clock()
        # Time during which the event loop stalled does not count as idle: bytes that arrived then are not
        # read yet, or were delayed as well. Measured by the clock alone, a stall of 2 s made the router close
        # all connections, with requests on their way.
        if now > self.last_sweep + 2 * SWEEP_INTERVAL:
            self.responsive_since = now
        self.last_sweep = now
        leaving = self.lifecycle.phase is Phase.LEAVING  # clients cannot open a new connection then
        for client in self.registry.connections:
            self._check(client, now, leaving)
        # A limit that was lowered at run time also applies to existing connections, once they are idle.
        while (
            not leaving
            and len(self.registry.connections) > self.limits.max_accepted
            and self.close_one_idle()
        ):
            pass
        self.timers.call_at(now + SWEEP_INTERVAL, self.sweep)

    def _check(self, client: ClientConnection, now: float, leaving: bool) -> None:
        """Close a connection if its client disconnected, if it is idle, or if its request timed out."""
        if client.paused and hung_up(client.sock):
            self.registry.closes.record(CloseReason.CLIENT_LEFT)
            self.registry.close_soon(client)
        if client.pending_replies or client.draining or client.paused:
            return
        if len(client.parser):
            started_at = client.message_started_at
            if not client.has_sent_request:  # it may have come while the connection waited to be accepted
                started_at = min(started_at, client.accepted_at)
            if max(started_at, self.responsive_since) < now - REQUEST_READ_TIMEOUT:
                client.draining = True
                self.registry.closes.record(CloseReason.REQUEST_TIMEOUT)
                self.reply_writer.reply(client, REQUEST_TIMEOUT_REPLY)
        elif leaving and client.has_sent_request:
            return
        elif max(client.idle_since, self.responsive_since) < now - IDLE_TIMEOUT:
            self.registry.close_if_idle(client)

    def close_one_idle(self) -> bool:
        """Close a connection that is idle between requests; its client opens a new one when it needs it.

        Returns whether one was closed.
        """
        now = self.clock()
        if now < self._next_search:
            # Checking all connections for each new one would take most of the time of a full front.
            return False
        if any(self.registry.close_if_idle(client) for client in self._candidates(now)):
            return True
        if any(self.registry.evict_stalled(client) for client in self._longest_stalled(now)):
            return True
        without_order = self.admission_control is None
        self._next_search = now + MIN_SEARCH_INTERVAL if without_order else self._next_eviction_order
        return False

    def reject_longest_queues(self, count: int) -> None:
        """Make up to `count` connections with many requests idle, for other clients that wait for a place.

        The requests that wait are rejected, of those connections first that have most of them. With admission
        control nothing is done: it bounds what each tenant may have waiting.
        """
        if self.admission_control is not None:
            return
        connections = self.registry.connections
        count -= sum(client.has_sent_request and client.is_quiet for client in connections)
        queues = (client for client in connections if client.paused and not client.draining)
        longest = nlargest(
            max(count, 0), queues, key=lambda client: (bool(client.rejects_requests), len(client.parser))
        )
        for client in longest:
            self._reject_waiting(client)
            self.registry.made_room_at = self.clock()

    def _longest_stalled(self, now: float) -> Iterator[ClientConnection]:
        """Connections that have sent a part of a request, the one first that has sent nothing for longest."""
        if now >= self._next_stalled_order:
            within_request = [client for client in self.registry.connections if len(client.parser)]
            self._stalled_order = iter(sorted(within_request, key=lambda client: client.received_at))
            self._next_stalled_order = now + MIN_SEARCH_INTERVAL
        return self._stalled_order

    def _candidates(self, now: float) -> Iterator[ClientConnection]:
        """Connections to check for closing.

        With admission control, one that was checked is not checked again until the next eviction order.
        """
        if self.admission_control is None:
            return iter(self.registry.connections)
        if now >= self._next_eviction_order:
            self._eviction_order = iter(self.admission_control.order_of_eviction(self.registry.connections))
            self._next_eviction_order = now + EVICTION_ORDER_LIFETIME
        return self._eviction_order
