"""Starts the emulator's processes and steers them: faults, crashes and returns, and what discovery
hears of it."""

from __future__ import annotations

import subprocess
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
import trio
from loguru import logger

from ..installation.form import Rules
from .form import Emulator, Traffic, World, part_of, servers
from .lines import line, objects
from .origin import UID as ORIGIN

START_TIME = 20.0
END_TIME = 5.0


class ChildFailed(RuntimeError):
    """A process of ours ended too early or said nothing."""


class Child:
    """A process that speaks JSON lines."""

    def __init__(self, process: trio.Process, name: str) -> None:
        self.process = process
        self.name = name
        self.heard = objects(process.stdout)

    @classmethod
    async def start(cls, module: str, name: str, *words: str) -> Child:
        command = [sys.executable, "-m", module, *words]
        process = await trio.lowlevel.open_process(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        return cls(process, name)

    async def tell(self, told: dict[str, Any]) -> None:
        try:
            await self.process.stdin.send_all(line(told))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise ChildFailed(f"{self.name} ended") from None

    async def hear(self) -> dict[str, Any]:
        """What it says next. Raises ChildFailed where it ends or says nothing for long."""
        with trio.move_on_after(START_TIME):
            try:
                return await anext(self.heard)
            except StopAsyncIteration:
                raise ChildFailed(f"{self.name} ended") from None
        raise ChildFailed(f"{self.name} says nothing")

    async def end(self) -> None:
        """By the end of its input; killed where that is not enough."""
        await self.process.stdin.aclose()
        with trio.move_on_after(END_TIME):
            await self.process.wait()
            return
        logger.warning("{} had to be killed", self.name)
        self.process.kill()
        await self.process.wait()


def plain(told: Any) -> Any:
    """A struct as plain values, figures as numbers."""
    return msgspec.to_builtins(told, enc_hook=lambda value: value.plain())


class Fleet:
    """The played systems of one run."""

    def __init__(
        self,
        emulator: Emulator,
        traffic: Iterable[Traffic],
        rules: Rules,
        routers: int,
        seed: int,
        folder: Path,
    ) -> None:
        self.emulator = emulator
        self.traffic = tuple(traffic)
        self.rules = rules
        self.routers = routers
        self.seed = seed
        self.folder = folder
        self.parts: list[Child] = []
        self.slots = {uid: number for number, (uid, _) in enumerate(servers(emulator))}
        self.uids = {uid: uid for uid in self.slots}  # of the servers that stand in the slots now
        self.lives = dict.fromkeys(self.slots, 0)
        self.discovery: list[tuple[str, int]] = []  # as each router sees it
        self.addresses: dict[str, int] = {}  # ports by slot
        self.falls = 0
        self.happened: Callable[[str], None] = lambda text: None

    async def start(self) -> None:
        """Start all processes and wait until they listen."""
        for part in range(self.emulator.processes):
            child = await Child.start("gaugehinge.emulator.part", f"emulator {part}")
            self.parts.append(child)
            world = World(
                self.seed,
                self.routers,
                self.emulator,
                self.traffic,
                self.rules,
                part,
                str(self.folder / f"emulator-{part}.rec"),
            )
            await child.tell(plain(world))
        told = [await child.hear() for child in self.parts]
        for each in told:
            self.addresses |= each["caches"]
        self.discovery = [tuple(address) for address in told[0]["discovery"]]
        for child in self.parts:
            await child.tell(
                {
                    "buses": [each["bus"] for each in told],
                    "caches": self.addresses,
                    "origin": told[0]["origin"],
                }
            )
        for child in self.parts:
            await child.hear()

    async def follow(self) -> None:
        """Hear what the processes say, until cancelled. Raises ChildFailed where one ends."""
        async with trio.open_nursery() as nursery:
            for child in self.parts:
                nursery.start_soon(self._follow, child)

    async def _follow(self, child: Child) -> None:
        async for told in child.heard:
            if told["event"] == "fell":
                self.falls += 1
                self.happened(f"{told['uid']} fell over")
                await self._list(told["uid"], state="gone")
            elif told["event"] == "back":
                await self._list(told["uid"], state="ready", boot_ms=unix_ms())
        raise ChildFailed(f"{child.name} ended")

    async def end(self) -> None:
        for child in self.parts:
            await child.end()

    # -- orders

    async def _order(self, slot: str, **told: Any) -> None:
        """One line to the process that plays this slot."""
        number = self.slots.get(slot)
        part = 0 if number is None else part_of(number, self.emulator.processes)
        told["slot"] = slot
        await self.parts[part].tell(told)

    async def _list(self, uid: str, **fields: Any) -> None:
        await self.parts[0].tell({"do": "list", "uid": uid, "fields": fields})

    async def fault(
        self, slot: str, name: str, lasts: float, part: float = 1.0, factor: float = 1.0, router: int = -1
    ) -> None:
        """Something goes wrong with a cache server, `origin` or `discovery`."""
        await self._order(slot, do="fault", name=name, lasts=lasts, part=part, factor=factor, router=router)

    async def drain(self, slot: str) -> None:
        """Discovery will say that it drains."""
        await self._list(self.uids[slot], state="draining")

    async def restore(self, slot: str) -> None:
        """Discovery will say that it is ready."""
        await self._list(self.uids[slot], state="ready")

    async def crash(self, slot: str) -> None:
        """It dies at once."""
        await self._order(slot, do="crash")
        await self._list(self.uids[slot], state="gone")

    async def back(self, slot: str, cold: bool, renew: bool) -> None:
        """It is up again at its address; `renew`: under a new id."""
        old = self.uids[slot]
        if renew:
            self.lives[slot] += 1
            self.uids[slot] = f"{slot}.{self.lives[slot]}"
        await self._order(slot, do="start", cold=cold, uid=self.uids[slot])
        boot = {"boot_ms": unix_ms()} if cold else {}
        await self._list(self.uids[slot], state="ready", like=old, **boot)


def unix_ms() -> int:
    """As discovery tells starts."""
    return int(time.time() * 1000)


__all__ = ["ORIGIN", "Child", "ChildFailed", "Fleet", "plain", "unix_ms"]
