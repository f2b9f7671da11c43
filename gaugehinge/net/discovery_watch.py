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

ENDPOINTS_PATH = "/discovery/hosts"
MAX_LIST_BYTES = 4 << 20  # bytes of an answer


class Watch:
    """One watch and its connection."""

    def __init__(self, address: Address, timers: TimerQueue) -> None:
        self.address = address
        self.timers = timers
        self.timed_out = False  # whether the last call failed for want of an answer
        self.answered = False  # whether any was answered, since its owner said that none was
        self._sock: socket.socket | None = None
        self._exchange = HttpExchange(MAX_LIST_BYTES)

    async def poll(self, target: str, time_limit: float) -> EndpointListUpdate | None:
        """The list that a GET brings; None where the call fails. Raises SettingsError on a bad one."""
        body = None
        with self.timers.timeout_scope(time_limit) as limit:
            body = await self._fetch(target)
        self.timed_out = limit.cancelled_caught
        if self.timed_out or body is None:
            self.close()
            return None
        try:
            return read_endpoint_list(parse_json(body.decode()))
        except UnicodeDecodeError:
            raise SettingsError("the whole: not UTF-8") from None

    async def _fetch(self, target: str) -> bytes | None:
        while True:
            fresh = self._sock is None
            try:
                answer = await self._get(target)
            except (OSError, ConnectionLost, h11.LocalProtocolError):
                self.close()
                if fresh:
                    return None
                continue  # it closed between two calls
            if not answer.reusable:
                self.close()
            return answer.body if answer.status == 200 else None

    async def _get(self, target: str) -> HttpResponse:
        """A GET, on the connection of the last call if that is still there."""
        if self._sock is None:
            self._sock = tcp(self.address)
            self._exchange = HttpExchange(MAX_LIST_BYTES)
            await connect(self._sock, self.address)
        host = f"{self.address[0]}:{self.address[1]}".encode()
        await send_all(self._sock, self._exchange.request("GET", target, [("Host", host)]))
        answer = None
        while answer is None:
            answer = self._exchange.receive(await receive(self._sock))
        return answer

    def close(self) -> None:
        if self._sock is not None:
            shut(self._sock)
        self._sock = None
