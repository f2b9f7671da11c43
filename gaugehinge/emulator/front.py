"""A front that deals the clients' connections to the routers in turn, as a process of its own.

`python -m gaugehinge.emulator.front`, steered like the other processes. It asks each router PING
and notices only
after some time that one has died or is leaving; until then it deals connections to it.
"""

from __future__ import annotations

import socket
import sys
import time
from contextlib import suppress

import trio
from loguru import logger

from ..forms.record import Recorder
from ..net.sockets import connect, receive, send_all, shut, tcp
from .lines import objects, run_child, say, standard_input
from .ports import Ports

BACKLOG = 1024
CONNECT_TIME = 1.0
PING = b"*1\r\n$4\r\nPING\r\n"


class Dealer:
    """Which router gets the next connection. No I/O."""

    def __init__(self, routers: int, notice: float, now: float) -> None:
        self.notice = notice
        self.heard = [now] * routers  # when each last answered PING with PONG
        self._turn = 0

    def pong(self, router: int, now: float) -> None:
        self.heard[router] = now

    def in_use(self, now: float) -> list[int]:
        """Routers that get connections; all of them when none answers, lest nobody is served at all."""
        alive = [i for i, heard in enumerate(self.heard) if now - heard < self.notice]
        return alive or list(range(len(self.heard)))

    def deal(self, now: float) -> int:
        """The router of the next connection, in turn."""
        alive = self.in_use(now)
        self._turn += 1
        return alive[self._turn % len(alive)]


class FrontDoor:
    """The listener and its connections."""

    def __init__(self, told: dict, nursery: trio.Nursery) -> None:
        self.routers = [tuple(address) for address in told["routers"]]
        self.check_every = told["check_every"]
        self.dealer = Dealer(len(self.routers), told["notice"], time.monotonic())
        self.record = Recorder(told["record"])
        self.nursery = nursery
        self.listening = socket.socket()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listening.setblocking(False)
        self.listening.bind(("127.0.0.1", Ports(7).free(["127.0.0.1"])))
        self.listening.listen(BACKLOG)

    async def accept(self) -> None:
        while True:
            await trio.lowlevel.wait_readable(self.listening)
            while True:
                try:
                    raw, sender = self.listening.accept()
                except BlockingIOError:
                    break
                except OSError as bad:
                    logger.warning("accept failed: {}", bad)
                    await trio.sleep(0.01)
                    break
                raw.setblocking(False)
                raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.nursery.start_soon(self._carry, raw, sender[1])

    async def _carry(self, raw: socket.socket, port: int) -> None:
        now = time.monotonic()
        router = self.dealer.deal(now)
        self.record.row("deal", port, router, now)
        other = tcp(self.routers[router])
        try:
            try:
                with trio.fail_after(CONNECT_TIME):
                    await connect(other, self.routers[router])
            except (OSError, trio.TooSlowError):
                self.record.row("refused", port, router, time.monotonic())
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, other, raw, nursery.cancel_scope)
                await self._pump(raw, other, nursery.cancel_scope)
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("a carried connection failed")
        finally:
            shut(raw)
            shut(other)

    @staticmethod
    async def _pump(source: socket.socket, sink: socket.socket, scope: trio.CancelScope) -> None:
        """Bytes one way; an end is passed on, an error ends both ways."""
        try:
            while data := await receive(source):
                await send_all(sink, data)
            with suppress(OSError):
                sink.shutdown(socket.SHUT_WR)
        except (OSError, trio.ClosedResourceError):
            scope.cancel()

    async def check(self, router: int) -> None:
        """Ask a router PING again and again, each time on a new connection."""
        while True:
            raw = tcp(self.routers[router])
            try:
                with trio.move_on_after(self.check_every):
                    await connect(raw, self.routers[router])
                    await send_all(raw, PING)
                    if (await receive(raw)).startswith(b"+PONG"):
                        self.dealer.pong(router, time.monotonic())
            except OSError:
                pass
            finally:
                shut(raw)
            await trio.sleep(self.check_every)


async def serve() -> None:
    """Until standard input ends."""
    told = objects(standard_input())
    async with trio.open_nursery() as nursery:
        front = FrontDoor(await anext(told), nursery)
        say({"address": list(front.listening.getsockname())})
        nursery.start_soon(front.accept)
        for router in range(len(front.routers)):
            nursery.start_soon(front.check, router)
        async for _ in told:
            pass
        front.record.close()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(run_child(serve))
