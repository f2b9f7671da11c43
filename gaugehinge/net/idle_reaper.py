"""Closes connections that take a place and do nothing with it: idle, stalled and over the limit."""

from __future__ import annotations

from collections.abc import Iterator

from .admission_control import AdmissionControl
from .client_connection import ClientConnection
from .client_limits import ClientLimits
from .connection_registry import ConnectionRegistry
from .lifecycle import Lifecycle, Phase
from .reply_writer import ReplyWriter
from .sockets import hung_up

SWEEP_INTERVAL = 0.25  # seconds between two looks at all connections
# Seconds for a request to arrive whole; the first one of a connection has them from its start.
REQUEST_READ_TIMEOUT = 2.0
IDLE_TIMEOUT = 2.0  # seconds with nothing in flight: some clients ask once and stay connected for good
MIN_SEARCH_INTERVAL = 0.01  # seconds between two searches for an idle connection that found none
# Seconds for which an order of eviction is good. Made for each new connection, a full front of 500
# connections spent half of its time on it.
EVICTION_ORDER_LIFETIME = 0.05
REQUEST_TIMEOUT_REPLY = b"-ERR protocol: command not whole in time\r\n"


class IdleReaper:
    """Looks at all connections of one front now and then, and for one to close when a place is wanted."""

    def __init__(
        self,
        registry: ConnectionRegistry,
        limits: ClientLimits,
        lifecycle: Lifecycle,
        reply_writer: ReplyWriter,
        admission_control: AdmissionControl | None,
    ) -> None:
        """`admission_control`, where there is one, says who yields a place first."""
        self.registry = registry
        self.limits = limits
        self.lifecycle = lifecycle
        self.reply_writer = reply_writer
        self.admission_control = admission_control
        self.timers = registry.timers
        self.clock = registry.clock
        self.last_sweep = self.responsive_since = self.clock()
        self._next_search = 0.0
        self._eviction_order: Iterator[ClientConnection] = iter(())
        self._next_eviction_order = 0.0

    def sweep(self) -> None:
        """Close what overstays, also while there is capacity, and do so again after an interval.

        Silent and idle connections, and those whose request never comes whole, each hold a descriptor for as
        long as their clients like.
        """
        now = self.clock()
        # While the loop stood still nobody was idle: what came then is not read yet, or was held up with it.
        # By the clock alone, one that had stood for 2 s ended all connections, with requests on their way.
        if now > self.last_sweep + 2 * SWEEP_INTERVAL:
            self.responsive_since = now
        self.last_sweep = now
        leaving = self.lifecycle.phase is Phase.LEAVING  # then clients get no new connection for a closed one
        for client in self.registry.connections:
            self._check(client, now, leaving)
        # A limit that was lowered in service binds those that are here already, as they come to rest.
        while (
            not leaving
            and len(self.registry.connections) > self.limits.max_accepted
            and self.close_one_idle()
        ):
            pass
        self.timers.call_at(now + SWEEP_INTERVAL, self.sweep)

    def _check(self, client: ClientConnection, now: float, leaving: bool) -> None:
        """Close one connection that its client ended, that is idle, or whose request does not arrive."""
        if client.paused and hung_up(client.sock):
            self.registry.close_soon(client)
        if client.pending_replies or client.draining:
            return
        if len(client.parser):
            started_at = client.message_started_at if client.has_sent_request else client.accepted_at
            if max(started_at, self.responsive_since) < now - REQUEST_READ_TIMEOUT:
                client.draining = True
                self.reply_writer.reply(client, REQUEST_TIMEOUT_REPLY)
        elif leaving and client.has_sent_request:
            return
        elif max(client.idle_since, self.responsive_since) < now - IDLE_TIMEOUT:
            self.registry.close_if_idle(client)

    def close_one_idle(self) -> bool:
        """Close a connection that stands between requests; its client opens a new one at need.

        Returns whether one was found.
        """
        now = self.clock()
        if now < self._next_search:
            # A look at all of them for each new connection would be most of what a full front does.
            return False
        if any(self.registry.close_if_idle(client) for client in self._candidates(now)):
            return True
        without_order = self.admission_control is None
        self._next_search = now + MIN_SEARCH_INTERVAL if without_order else self._next_eviction_order
        return False

    def _candidates(self, now: float) -> Iterator[ClientConnection]:
        """Connections that may be closed; one that was looked at is not again until the next order."""
        if self.admission_control is None:
            return iter(self.registry.connections)
        if now >= self._next_eviction_order:
            self._eviction_order = iter(self.admission_control.order_of_eviction(self.registry.connections))
            self._next_eviction_order = now + EVICTION_ORDER_LIFETIME
        return self._eviction_order
