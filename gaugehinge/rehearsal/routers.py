"""The routers of a rehearsal as processes of their own, each started by an installation file."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import trio
from loguru import logger

from ..emulator.ports import Ports
from ..forms import toml
from ..installation.form import DiscoveryAt, Installation, Listen, TenantEntry, Tier, TrafficEntry
from ..net.sockets import connect, receive, send_all, shut, tcp
from .script import Script

READY_TIME = 15.0
ASK_EVERY = 0.05
PING = b"*1\r\n$4\r\nPING\r\n"
END_TIME = 6.0  # after SIGTERM; a router serves on for some seconds
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class RouterFailed(RuntimeError):
    """A router did not start, or ended by itself."""


def _only(form: type, entry: object) -> object:
    """The fields of a wider struct that a narrower one has."""
    return form(**{name: getattr(entry, name) for name in form.__struct_fields__})


class RouterProcess:
    """One router through its starts and ends."""

    def __init__(
        self,
        script: Script,
        number: int,
        folder: Path,
        discovery: tuple[str, int],
        addresses: list[tuple[str, int]],
        note: Callable[..., None],
    ) -> None:
        self.script = script
        self.number = number
        self.folder = folder
        self.address = address = addresses[number]
        self.note = note
        self.file = folder / f"router-{number}.toml"
        self.process: subprocess.Popen[bytes] | None = None
        self.told_to_end = False
        self.starts = 0
        self.cpu_before = 0.0  # of processes that ended
        self.cpu_now = 0.0  # of this one, as last seen
        installation = Installation(
            listen=Listen(f"{address[0]}:{address[1]}"),
            discovery=DiscoveryAt(f"{discovery[0]}:{discovery[1]}"),
            traffic=tuple(_only(TrafficEntry, entry) for entry in script.traffic),
            name=f"router-{number}",
            seed=script.seed * 1000 + number + 1,
            tenants=tuple(_only(TenantEntry, entry) for entry in script.tenants),
            tier=self._tier(addresses),
            limits=script.routers.limits,
            rules=script.rules,
            door=script.routers.door,
        )
        toml.write(self.file, installation)

    def _tier(self, addresses: list[tuple[str, int]]) -> Tier:
        """Its place among the routers; their datagrams use the same ports as their clients."""
        peers = tuple(f"{host}:{port}" for host, port in addresses)
        if not self.script.routers.messages or len(peers) < 2:
            return Tier(me=self.number, routers=len(peers))
        return Tier(me=self.number, routers=len(peers), listen=peers[self.number], peers=peers)

    def start(self) -> None:
        """Start the process; its log goes to a file of its own."""
        self.starts += 1
        self.told_to_end = False
        log = self.folder / f"router-{self.number}-{self.starts}.log"
        faulty = self.script.routers.faulty
        words = (
            ["gaugehinge.rehearsal.faulty", str(self.file), faulty]
            if faulty
            else ["gaugehinge.cli", "--log", "json", "serve", str(self.file)]
        )
        with open(log, "wb") as out:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *words], stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )
        if self.script.routers.cpus:
            os.sched_setaffinity(self.process.pid, self.script.routers.cpus)
        self.note("router", self.number, "started", time.monotonic())

    async def ready(self) -> None:
        """Until it answers PING. Raises RouterFailed."""
        end = trio.current_time() + READY_TIME
        while trio.current_time() < end:
            if self.process.poll() is not None:
                raise RouterFailed(f"router {self.number} ended with {self.process.returncode}")
            if await self._ping():
                self.note("router", self.number, "ready", time.monotonic())
                return
            await trio.sleep(ASK_EVERY)
        raise RouterFailed(f"router {self.number} is not ready after {READY_TIME:g} s")

    async def _ping(self) -> bool:
        raw = tcp(self.address)
        try:
            with trio.move_on_after(1.0):
                await connect(raw, self.address)
                await send_all(raw, PING)
                return (await receive(raw)).startswith(b"+PONG")
        except OSError:
            pass
        finally:
            shut(raw)
        return False

    def signal(self, number: signal.Signals) -> None:
        """SIGTERM, SIGHUP or SIGKILL."""
        if self.process is None or self.process.poll() is not None:
            return
        words = {signal.SIGTERM: "told to end", signal.SIGHUP: "told to read again", signal.SIGKILL: "killed"}
        self.told_to_end = self.told_to_end or number in (signal.SIGTERM, signal.SIGKILL)
        self.note("router", self.number, words[number], time.monotonic())
        self.process.send_signal(number)

    def crashed(self) -> bool:
        """Whether it ended without being told to; noted once."""
        if self.told_to_end or self.process is None or self.process.poll() is None:
            return False
        self.told_to_end = True
        self.note("router", self.number, "crashed", time.monotonic())
        logger.error("router {} ended with {}", self.number, self.process.returncode)
        return True

    async def end(self, most: float = END_TIME) -> None:
        """Told to end, and killed where that takes too long."""
        if self.process is None:
            return
        if self.process.poll() is None and not self.told_to_end:
            self.signal(signal.SIGTERM)
        end = trio.current_time() + most
        while self.process.poll() is None and trio.current_time() < end:
            await trio.sleep(ASK_EVERY)
        if self.process.poll() is None:
            logger.warning("router {} had to be killed", self.number)
            self.process.kill()
            self.process.wait()
        self.note("router", self.number, "ended", time.monotonic())

    async def again(self) -> None:
        """Started anew, once the old process has ended."""
        await self.end()
        self.cpu_before += self.cpu_now
        self.cpu_now = 0.0
        self.start()
        await self.ready()

    def usage(self) -> tuple[float, int]:
        """CPU seconds of all its processes so far, and resident bytes now."""
        try:
            text = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except (OSError, AttributeError):
            return self.cpu_before + self.cpu_now, 0
        self.cpu_now = (int(text[11]) + int(text[12])) / TICKS
        return self.cpu_before + self.cpu_now, int(text[21]) * PAGE


def router_addresses(count: int) -> list[tuple[str, int]]:
    """Where the routers listen."""
    ports = Ports(11)
    addresses = []
    for number in range(count):
        host = f"127.0.{number + 1}.2"
        addresses.append((host, ports.free([host])))
    return addresses
