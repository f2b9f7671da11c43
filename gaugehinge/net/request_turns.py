"""Lets connections with many requests take turns, a few in each step of the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import trio
from loguru import logger

from .client_connection import ClientConnection

MAX_STEP_TIME = 0.002  # seconds of turns in one step of the event loop
LONG_STEP_TIME = 0.02  # seconds from one step to the next, from which requests that arrive wait for turns too


class RequestTurns:
    """Connections with requests that were read and wait to be handled, in the order of their turns.

    A connection has one turn at most, which `hasten` puts before those of all others.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        take_turn: Callable[[ClientConnection, float], None],
        close: Callable[[ClientConnection], None],
    ) -> None:
        """`clock` returns the time in seconds.

        `take_turn` gets a connection and for how long it has waited. It handles some of its requests, and may
        add it again. `close` closes a connection whose turn has failed.
        """
        self._close = close
        self._clock = clock
        self._take_turn = take_turn
        # Each with the time since when it waits. A connection that was hastened stands in both.
        self._waiting: deque[tuple[ClientConnection, float]] = deque()
        self._hastened: deque[tuple[ClientConnection, float]] = deque()
        self._added = trio.Event()
        self._step_long_at = 0.0  # when the current step will have taken long

    @property
    def is_behind(self) -> bool:
        """Whether connections wait and the current step of the event loop has taken long."""
        return bool(self._waiting) and self._clock() >= self._step_long_at

    def add(self, client: ClientConnection) -> None:
        """Queue a connection, unless it is queued already."""
        if client.waits_for_turn:
            return
        now = self._clock()
        if not self._waiting:
            self._step_long_at = now + LONG_STEP_TIME
        client.waits_for_turn = True
        self._waiting.append((client, now))
        self._added.set()

    def hasten(self, client: ClientConnection) -> None:
        """Give a connection the next turn, whether it is queued already or not."""
        client.waits_for_turn = True
        self._hastened.append((client, self._clock()))
        self._added.set()

    async def run(self) -> None:
        """Give turns until cancelled."""
        while True:
            await self._added.wait()
            while self._waiting or self._hastened:
                self._give_turns()
                await trio.lowlevel.checkpoint()
            self._added = trio.Event()

    def _give_turns(self) -> None:
        end = self._clock() + MAX_STEP_TIME
        while queue := self._hastened or self._waiting:
            self._give_turn(*queue.popleft())
            if self._clock() >= end:
                break
        self._step_long_at = self._clock() + LONG_STEP_TIME

    def _give_turn(self, client: ClientConnection, since: float) -> None:
        if not client.waits_for_turn:  # it has had this turn already
            return
        client.waits_for_turn = False
        try:
            self._take_turn(client, self._clock() - since)
        except Exception:  # a defect ends only this connection
            logger.exception("client connection failed")
            self._close(client)
