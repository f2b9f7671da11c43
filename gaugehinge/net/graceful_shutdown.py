"""Graceful shutdown: serve on for as long as the platform lets us, answer all that is in flight, close.

Some clients know no other router: closed early, all that they ask until the next one is up fails.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from .lifecycle import Phase
from .sockets import shut

if TYPE_CHECKING:
    from .service import Service

# All in seconds.
STILL_COMING = 0.5  # new connections go on coming for less than this after the signal
KILL_SLACK = 0.7  # a platform kills a router no sooner than the longest wait and this after the signal,
MOST_WAITED = 3.0  # of which it counts no more than this
CLOSING_TIME = 0.9  # the last part of that, in which connections are closed,
LAST_PART = 0.35  # and the last of it, by when all is answered
LOOK_EVERY = 0.02
LAST_LOOK = 0.001  # in that last part


class GracefulShutdown:
    """One service's way from READY, or whichever phase it is in, to all connections closed."""

    def __init__(self, service: Service) -> None:
        """Its end is counted from now."""
        self.service = service
        self.clock = service.clock
        self.began = self.clock()
        longest_wait = service.configuration.settings.max_client_wait
        self.end = self.began + min(longest_wait, MOST_WAITED) + KILL_SLACK

    async def run(self, accepting: trio.CancelScope) -> None:
        """Serve on, then answer and close. `accepting`: cancelled once no more connections are taken."""
        self.service.enter(Phase.LEAVING)
        await self._serve_on()
        self.service.enter(Phase.CLOSING)
        await self._stop_accepting(accepting)
        await self._close_connections()
        self._forget_connections()

    async def _serve_on(self) -> None:
        closing = max(self.end - CLOSING_TIME, self.began + STILL_COMING)
        while self.clock() < closing and (self._connections() or self.clock() < self.began + STILL_COMING):
            await trio.sleep(LOOK_EVERY)

    async def _stop_accepting(self, accepting: trio.CancelScope) -> None:
        accepting.cancel()
        await trio.lowlevel.checkpoint()
        for front in self.service.fronts:
            front.clients.accept_pending(front.listening)  # what the machine has taken already
            shut(front.listening)

    async def _close_connections(self) -> None:
        while self._connections():
            if self.clock() > self.end - LAST_PART:
                self._answer_rest()
            owed = any(front.clients.has_pending_replies() for front in self.service.fronts)
            if self.clock() > self.end:
                return  # what is left stands within a command that never comes whole, or is not read
            for front in self.service.fronts:
                front.clients.close_idle(0.0)
            # A client may have sent hundreds of commands; what was read of them is given up some at a time.
            await trio.sleep(LAST_LOOK if owed and self.clock() > self.end - LAST_PART else LOOK_EVERY)

    def _answer_rest(self) -> None:
        for front in self.service.fronts:
            if front.clients.admission_control is not None:
                front.clients.admission_control.reject_queued()
        self.service.dispatcher.fail_rest()

    def _forget_connections(self) -> None:
        for front in self.service.fronts:
            for client in front.clients.connections:
                front.clients.close(client)

    def _connections(self) -> int:
        return sum(len(front.clients.connections) for front in self.service.fronts)
