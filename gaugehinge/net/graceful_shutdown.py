"""Graceful shutdown: serve for as long as the platform allows, answer everything in flight, then close.

Some clients know no other router: if it closed early, all their requests would fail until the next one is up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from .lifecycle import Phase
from .sockets import shut

if TYPE_CHECKING:
    from .service import Service

# All in seconds.
ACCEPT_GRACE = 0.5  # new connections still arrive after the signal, for less than this
# The platform kills a router no earlier than the longest client wait plus this after the signal.
KILL_SLACK = 0.7
MAX_COUNTED_WAIT = 3.0  # the platform counts at most this much of the longest client wait
CLOSING_TIME = 0.9  # the last part of the time before the deadline, in which connections are closed
FINAL_ANSWER_TIME = 0.35  # the last part of the closing time; all requests are answered when it begins
CHECK_INTERVAL = 0.02
FINAL_CHECK_INTERVAL = 0.001  # in the last part, while replies are still pending


class GracefulShutdown:
    """Takes one service from READY, or whichever phase it is in, to all connections closed."""

    def __init__(self, service: Service) -> None:
        """Compute the deadline, counted from now."""
        self.service = service
        self.clock = service.clock
        self.started_at = self.clock()
        longest_wait = service.configuration.settings.max_client_wait
        self.deadline = self.started_at + min(longest_wait, MAX_COUNTED_WAIT) + KILL_SLACK

    async def run(self, accept_scope: trio.CancelScope) -> None:
        """Keep serving, then answer and close. Cancels `accept_scope` to stop accepting connections."""
        self.service.enter(Phase.LEAVING)
        await self._keep_serving()
        self.service.enter(Phase.CLOSING)
        await self._stop_accepting(accept_scope)
        await self._close_connections()
        self._close_remaining()

    async def _keep_serving(self) -> None:
        closing_at = max(self.deadline - CLOSING_TIME, self.started_at + ACCEPT_GRACE)
        # Polled on purpose: connections end in many places, and an event for the last one would tell no more.
        while self.clock() < closing_at and (  # noqa: ASYNC110
            self._connections() or self.clock() < self.started_at + ACCEPT_GRACE
        ):
            await trio.sleep(CHECK_INTERVAL)

    async def _stop_accepting(self, accept_scope: trio.CancelScope) -> None:
        accept_scope.cancel()
        await trio.lowlevel.checkpoint()
        for front in self.service.fronts:
            front.clients.accept_pending(front.listening)  # connections in the kernel's backlog
            shut(front.listening)

    async def _close_connections(self) -> None:
        while self._connections():
            if self.clock() > self.deadline - FINAL_ANSWER_TIME:
                self._answer_all()
                for front in self.service.fronts:
                    front.clients.enlarge_buffers()
            owed = any(front.clients.has_pending_replies() for front in self.service.fronts)
            if self.clock() > self.deadline:
                return  # the remaining clients have sent an incomplete command or do not read their replies
            for front in self.service.fronts:
                front.clients.close_idle(0.0)
            # A client that reads its replies slowly makes room for further ones as it reads.
            await trio.sleep(
                FINAL_CHECK_INTERVAL
                if owed and self.clock() > self.deadline - FINAL_ANSWER_TIME
                else CHECK_INTERVAL
            )

    def _answer_all(self) -> None:
        """Answer every request that was read, including those queued behind others of their connection.

        This happens in one step. When it was done in parts, a router that got no CPU time for a while was
        past its deadline after the first part, and closed connections with hundreds of requests unanswered.
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
