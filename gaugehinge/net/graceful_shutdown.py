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
ACCEPT_GRACE = 0.5  # new connections go on coming for less than this after the signal
# A platform kills a router no sooner than the longest wait of a client and this after the signal.
KILL_SLACK = 0.7
MAX_COUNTED_WAIT = 3.0  # of the longest wait, the platform counts no more than this
CLOSING_TIME = 0.9  # the last part of the time before the kill, in which connections are closed
FINAL_ANSWER_TIME = 0.35  # the last part of the closing time, by the begin of which all is answered
CHECK_INTERVAL = 0.02
FINAL_CHECK_INTERVAL = 0.001  # while answers are still owed in the last part


class GracefulShutdown:
    """One service's way from READY, or whichever phase it is in, to all connections closed."""

    def __init__(self, service: Service) -> None:
        """Its end is counted from now."""
        self.service = service
        self.clock = service.clock
        self.started_at = self.clock()
        longest_wait = service.configuration.settings.max_client_wait
        self.deadline = self.started_at + min(longest_wait, MAX_COUNTED_WAIT) + KILL_SLACK

    async def run(self, accept_scope: trio.CancelScope) -> None:
        """Serve on, then answer and close. `accept_scope`: cancelled once no more connections are taken."""
        self.service.enter(Phase.LEAVING)
        await self._keep_serving()
        self.service.enter(Phase.CLOSING)
        await self._stop_accepting(accept_scope)
        await self._close_connections()
        self._close_remaining()

    async def _keep_serving(self) -> None:
        closing_at = max(self.deadline - CLOSING_TIME, self.started_at + ACCEPT_GRACE)
        # A poll on purpose: connections end in many places, and an event for the last one would say no more.
        while self.clock() < closing_at and (  # noqa: ASYNC110
            self._connections() or self.clock() < self.started_at + ACCEPT_GRACE
        ):
            await trio.sleep(CHECK_INTERVAL)

    async def _stop_accepting(self, accept_scope: trio.CancelScope) -> None:
        accept_scope.cancel()
        await trio.lowlevel.checkpoint()
        for front in self.service.fronts:
            front.clients.accept_pending(front.listening)  # what the machine has taken already
            shut(front.listening)

    async def _close_connections(self) -> None:
        while self._connections():
            if self.clock() > self.deadline - FINAL_ANSWER_TIME:
                self._answer_all()
                for front in self.service.fronts:
                    front.clients.enlarge_buffers()
            owed = any(front.clients.has_pending_replies() for front in self.service.fronts)
            if self.clock() > self.deadline:
                return  # what is left stands within a command that never comes whole, or is not read
            for front in self.service.fronts:
                front.clients.close_idle(0.0)
            # A client that does not read its answers at once makes room for further ones as it does.
            await trio.sleep(
                FINAL_CHECK_INTERVAL
                if owed and self.clock() > self.deadline - FINAL_ANSWER_TIME
                else CHECK_INTERVAL
            )

    def _answer_all(self) -> None:
        """Answer whatever was read, also what stands behind those in flight of its connection.

        In one step: some at a time, a router that got no processor time for a while was past its end after
        the first of them, and closed connections with hundreds of requests unanswered.
        """
        self._answer_pending()
        while any([front.clients.resume_paused() for front in self.service.fronts]):
            self._answer_pending()

    def _answer_pending(self) -> None:
        for front in self.service.fronts:
            if front.clients.admission_control is not None:
                front.clients.admission_control.reject_queued()
        self.service.dispatcher.fail_rest()

    def _close_remaining(self) -> None:
        for front in self.service.fronts:
            front.clients.close_before_exit()

    def _connections(self) -> int:
        return sum(len(front.clients.connections) for front in self.service.fronts)
