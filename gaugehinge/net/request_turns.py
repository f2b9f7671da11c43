"""Lets connections with many requests take turns, a few in each step of the event loop."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import trio
from loguru import logger

from .client_connection import ClientConnection

MAX_STEP_TIME = 0.002  # seconds of turns in one step of the event loop


class RequestTurns:
    """Connections with requests that were read and wait to be handled, in the order of their turns.

    A connection stands in the queue at most once.
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
        self._waiting: deque[tuple[ClientConnection, float]] = deque()  # with the time since when
        self._added = trio.Event()

    def add(self, client: ClientConnection) -> None:
        """Queue a connection, unless it is queued already."""
        if not client.waits_for_turn:
            client.waits_for_turn = True
            self._waiting.append((client, self._clock()))
            self._added.set()

    async def run(self) -> None:
        """Give turns until cancelled."""
        while True:
            await self._added.wait()
            while self._waiting:
                self._give_turns()
                await trio.lowlevel.checkpoint()
            self._added = trio.Event()

    def _give_turns(self) -> None:
        end = self._clock() + MAX_STEP_TIME
        while self._waiting:
            self._give_turn(*self._waiting.popleft())
            if self._clock() >= end:
                return

    def _give_turn(self, client: ClientConnection, since: float) -> None:
        client.waits_for_turn = False
        try:
            self._take_turn(client, self._clock() - since)
        except Exception:  # a defect ends only this connection
            logger.exception("client connection failed")
            self._close(client)
