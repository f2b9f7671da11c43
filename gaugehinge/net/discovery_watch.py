"""A watch on discovery's list of servers: HTTP calls on one connection."""

from __future__ import annotations

import socket

import h11

from ..settings import SettingsError, parse_json
from .codec import ConnectionLost
from .configuration import Address
from .endpoint_list import EndpointListUpdate, read_endpoint_list
from .http_exchange import HttpExchange, HttpResponse
from .sockets import connect, receive, send_all, shut, tcp
from .timer_queue import TimerQueue

PATH = "/discovery/hosts"
MOST_LIST = 4 << 20  # bytes of an answer


class Watch:
    """One watch and its connection."""

    def __init__(self, where: Address, timers: TimerQueue) -> None:
        self.where = where
        self.timers = timers
        self.silent = False  # whether the last call failed for want of an answer
        self.answered = False  # whether any was answered, since its owner said that none was
        self._raw: socket.socket | None = None
        self._talk = HttpExchange(MOST_LIST)

    async def call(self, target: str, most_time: float) -> EndpointListUpdate | None:
        """The list that a GET brings; None where the call fails. Raises SettingsError on a bad one."""
        body = None
        with self.timers.timeout_scope(most_time) as limit:
            body = await self._fetch(target)
        self.silent = limit.cancelled_caught
        if self.silent or body is None:
            self.hang_up()
            return None
        try:
            return read_endpoint_list(parse_json(body.decode()))
        except UnicodeDecodeError:
            raise SettingsError("the whole: not UTF-8") from None

    async def _fetch(self, target: str) -> bytes | None:
        while True:
            fresh = self._raw is None
            try:
                answer = await self._get(target)
            except (OSError, ConnectionLost, h11.LocalProtocolError):
                self.hang_up()
                if fresh:
                    return None
                continue  # it closed between two calls
            if not answer.reusable:
                self.hang_up()
            return answer.body if answer.status == 200 else None

    async def _get(self, target: str) -> HttpResponse:
        """A GET, on the connection of the last call if that is still there."""
        if self._raw is None:
            self._raw = tcp(self.where)
            self._talk = HttpExchange(MOST_LIST)
            await connect(self._raw, self.where)
        host = f"{self.where[0]}:{self.where[1]}".encode()
        await send_all(self._raw, self._talk.request("GET", target, [("Host", host)]))
        answer = None
        while answer is None:
            answer = self._talk.receive(await receive(self._raw))
        return answer

    def hang_up(self) -> None:
        if self._raw is not None:
            shut(self._raw)
        self._raw = None
