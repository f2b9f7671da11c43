"""A watch on discovery's endpoint list: polls over one persistent HTTP connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
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
    """A poll failed: the connection was refused or reset, or the response was an error."""


class PollTimeoutError(PollError):
    """A poll got no answer within its time limit."""


class Watch:
    """One watch and its connection, which the first poll opens."""

    def __init__(self, address: Address, timers: TimerQueue) -> None:
        """Create a watch on the discovery service at `address`."""
        self.address = address
        self.timers = timers
        self._sock: socket.socket | None = None
        self._exchange = HttpExchange(MAX_LIST_BYTES)
        self._newest_version = NO_VERSION  # of the lists received on this connection
        # Called when a connection breaks or cannot be made.
        self.on_connection_lost: Callable[[], None] = lambda: None
        self.drops_late_copies = False  # set if one process answers, not any replica of a service

    async def poll(self, target: str, time_limit: float) -> EndpointListUpdate:
        """Return the list that a GET of `target` returns within `time_limit` seconds.

        Raises:
            PollError: the poll failed; the connection is closed.
            SettingsError: the answer is no endpoint list; the connection stays open.
        """
        update: EndpointListUpdate | None = None
        with self.timers.timeout_scope(time_limit) as scope:
            update = await self._get_list(target)
        if scope.cancelled_caught or update is None:
            self.close()
            raise PollTimeoutError(f"no answer within {time_limit} s")
        return update

    async def _get_list(self, target: str) -> EndpointListUpdate:
        """Return the list that a GET returns; repeat the GET on a new connection after a late copy.

        A single process only increases its version: a list with a lower version than an earlier one on the
        same connection is a late copy of an older list.
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
        """Make a GET; if the connection of an earlier poll fails, make it again on a new connection."""
        while True:
            new_connection = self._sock is None
            try:
                return await self._get(target)
            except (OSError, ConnectionLost, h11.LocalProtocolError) as error:
                self.on_connection_lost()
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
    """Decode a response body. Raises SettingsError if it is no endpoint list."""
    try:
        return read_endpoint_list(parse_json(body.decode()))
    except UnicodeDecodeError as error:
        raise SettingsError("the whole: not UTF-8") from error
