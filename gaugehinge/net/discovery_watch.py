"""A watch on discovery's endpoint list: polls over HTTP, on one connection for as long as that lasts."""

from __future__ import annotations

import socket
from http import HTTPStatus

import h11

from ..settings import SettingsError, parse_json
from .codec import ConnectionLost
from .configuration import Address
from .endpoint_list import EndpointListUpdate, read_endpoint_list
from .http_exchange import HttpExchange, HttpResponse
from .sockets import connect, receive, send_all, shut, tcp
from .timer_queue import TimerQueue

ENDPOINTS_PATH = "/discovery/hosts"
MAX_LIST_BYTES = 4 << 20
NO_VERSION = -1  # below all versions


class PollError(Exception):
    """A poll failed: it was refused or reset, or answered with an error."""


class PollTimeoutError(PollError):
    """A poll got no answer within its time."""


class Watch:
    """One watch and its connection, which is opened by the first poll."""

    def __init__(self, address: Address, timers: TimerQueue) -> None:
        """A watch on the discovery service at `address`."""
        self.address = address
        self.timers = timers
        self._sock: socket.socket | None = None
        self._exchange = HttpExchange(MAX_LIST_BYTES)
        self._newest_version = NO_VERSION  # of the lists that came on this connection
        self.drops_late_copies = False  # where one process answers, and not any replica of a service

    async def poll(self, target: str, time_limit: float) -> EndpointListUpdate:
        """The list that a GET of `target` brings within `time_limit` seconds.

        Raises:
            PollError: the poll failed; the connection is closed.
            SettingsError: the answer is no endpoint list; the connection stays.
        """
        update: EndpointListUpdate | None = None
        with self.timers.timeout_scope(time_limit) as scope:
            update = await self._get_list(target)
        if scope.cancelled_caught or update is None:
            self.close()
            raise PollTimeoutError(f"no answer within {time_limit} s")
        return update

    async def _get_list(self, target: str) -> EndpointListUpdate:
        """The list that a GET brings; made again on a new connection where it is a late copy of an older one.

        One process counts its versions up: a lower one than came before on a connection is a copy.
        """
        while True:
            body = await self._get_body(target)
            update = _read_list(body)
            if not self.drops_late_copies or update.rev >= self._newest_version:
                self._newest_version = update.rev
                return update
            self.close()

    async def _get_body(self, target: str) -> bytes:
        response = await self._get_with_retry(target)
        if response.status != HTTPStatus.OK:
            self.close()
            raise PollError(f"status {response.status}")
        if not response.reusable:
            self.close()
        return response.body

    async def _get_with_retry(self, target: str) -> HttpResponse:
        """A GET, once more on a new connection if the one of the last poll has been closed since then."""
        while True:
            new_connection = self._sock is None
            try:
                return await self._get(target)
            except (OSError, ConnectionLost, h11.LocalProtocolError) as error:
                self.close()
                if new_connection:
                    raise PollError(str(error)) from error

    async def _get(self, target: str) -> HttpResponse:
        if self._sock is None:
            self._sock = tcp(self.address)
            self._exchange = HttpExchange(MAX_LIST_BYTES)
            self._newest_version = NO_VERSION
            await connect(self._sock, self.address)
        host = f"{self.address[0]}:{self.address[1]}".encode()
        await send_all(self._sock, self._exchange.request("GET", target, [(b"Host", host)]))
        response = None
        while response is None:
            response = self._exchange.receive(await receive(self._sock))
        return response

    def close(self) -> None:
        """Close the connection; the next poll opens a new one."""
        if self._sock is not None:
            shut(self._sock)
        self._sock = None


def _read_list(body: bytes) -> EndpointListUpdate:
    """Raises SettingsError."""
    try:
        return read_endpoint_list(parse_json(body.decode()))
    except UnicodeDecodeError as error:
        raise SettingsError("the whole: not UTF-8") from error
