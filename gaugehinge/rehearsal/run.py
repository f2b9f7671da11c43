"""One run of a script: processes up, the time line worked off, all ended, everything recorded in
one folder."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import trio
from loguru import logger

from ..emulator.fleet import Child, ChildFailed, Fleet
from ..forms import toml
from ..forms.record import Recorder
from ..load.crew import Crew
from .routers import RouterFailed, RouterProcess, router_addresses
from .script import Script, job_of
from .timeline import Deed, deeds

SAMPLE_EVERY = 0.5
SIGNALS = {"sigterm": signal.SIGTERM, "sighup": signal.SIGHUP, "sigkill": signal.SIGKILL}


class RunFailed(RuntimeError):
    """A run could not be carried through."""


class Facts(msgspec.Struct):
    """What a run's folder tells beside its records."""

    zero: float  # monotonic time of the start of the load
    zero_unix: float
    seed: int
    replayed: bool = False
    load_cpu: float = 0.0
    speed: float = 1.0


class Rehearsal:
    """One run, from its script to its records."""

    def __init__(
        self,
        script: Script,
        folder: Path,
        tell: Callable[[str], None] = lambda text: None,
        replay: tuple[str, ...] = (),
        speed: float = 1.0,
    ) -> None:
        self.script = script
        self.folder = folder
        self.tell = tell
        folder.mkdir(parents=True, exist_ok=True)
        toml.write(folder / "script.toml", script)
        self.record = Recorder(folder / "run.rec")
        self.fleet = Fleet(
            script.emulator, script.traffic, script.rules, script.routers.count, script.seed, folder
        )
        self.fleet.happened = tell
        self.routers: list[RouterProcess] = []
        self.front: Child | None = None
        self.crew: Crew | None = None
        self.replay = replay
        self.speed = speed
        self.facts = Facts(0.0, 0.0, script.seed, bool(replay), speed=speed)

    async def run(self) -> None:
        """Carry it through. Raises RunFailed."""
        try:
            await self._start()
            await self._play()
        except (ChildFailed, RouterFailed, OSError) as bad:
            raise RunFailed(str(bad)) from bad
        except BaseExceptionGroup as group:
            self._reraise(group)
        finally:
            with trio.CancelScope(shield=True):
                await self._end()

    @staticmethod
    def _reraise(group: BaseExceptionGroup) -> None:
        failed, rest = group.split((ChildFailed, RouterFailed, OSError))
        if rest is not None or failed is None:
            raise group
        while isinstance(failed, BaseExceptionGroup):
            failed = failed.exceptions[0]
        raise RunFailed(str(failed)) from group

    # -- up

    async def _start(self) -> None:
        script = self.script
        self.tell("starting the emulator")
        await self.fleet.start()
        self.tell(f"starting {script.routers.count} routers")
        addresses = router_addresses(script.routers.count)
        for number, discovery in enumerate(self.fleet.discovery):
            router = RouterProcess(script, number, self.folder, discovery, addresses, self.record.row)
            self.routers.append(router)
            router.start()
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                nursery.start_soon(router.ready)
        targets = tuple(addresses)
        if script.emulator.front.used:
            targets = (await self._start_front(addresses),)
        front = script.emulator.front.used
        job = job_of(script, targets, not front, self.replay, self.speed)
        self.crew = Crew(job, self.folder)
        await self.crew.start()

    async def _start_front(self, addresses: list[tuple[str, int]]) -> tuple[str, int]:
        form = self.script.emulator.front
        self.front = await Child.start("gaugehinge.emulator.front", "front")
        await self.front.tell(
            {
                "routers": addresses,
                "check_every": float(form.check_every),
                "notice": float(form.notice),
                "record": str(self.folder / "front.rec"),
            }
        )
        host, port = (await self.front.hear())["address"]
        return host, port

    # -- the time line

    async def _play(self) -> None:
        zero = await self.crew.begin()
        self.facts.zero = zero
        self.facts.zero_unix = time.time() + zero - time.monotonic()
        self.tell(
            f"load begins: {self.crew.planned} operations in {float(self.script.lasts) / self.speed:g} s"
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.fleet.follow)
            nursery.start_soon(self._sample)
            nursery.start_soon(self._work_off, zero)
            await self.crew.wait()
            nursery.cancel_scope.cancel()

    async def _work_off(self, zero: float) -> None:
        async with trio.open_nursery() as nursery:
            for deed in deeds(self.script):
                await trio.sleep(max(zero + deed.at / self.speed - time.monotonic(), 0.0))
                self.record.row("deed", time.monotonic(), deed.what, deed.who)
                self.tell(f"{deed.at:.1f} s: {deed.given.get('name', deed.what)} {deed.who}")
                await self._do(deed, nursery)

    async def _do(self, deed: Deed, nursery: trio.Nursery) -> None:
        if deed.what == "start_router":
            nursery.start_soon(self.routers[int(deed.who)].again)
        elif deed.what in SIGNALS:
            self.routers[int(deed.who)].signal(SIGNALS[deed.what])
        else:
            await self.do_to_fleet(self.fleet, deed)

    @staticmethod
    async def do_to_fleet(fleet: Fleet, deed: Deed) -> None:
        """A deed that concerns the played systems."""
        if deed.what == "fault":
            await fleet.fault(deed.who, **deed.given)
        elif deed.what == "back":
            await fleet.back(deed.who, **deed.given)
        else:
            await {"crash": fleet.crash, "drain": fleet.drain, "restore": fleet.restore}[deed.what](deed.who)

    async def _sample(self) -> None:
        """What the routers use; one that ended by itself is started again, as a platform would."""
        while True:
            now = time.monotonic()
            for router in self.routers:
                self.record.row("usage", router.number, now, *router.usage())
                if router.crashed():
                    await router.again()
            await trio.sleep(SAMPLE_EVERY)

    # -- the end

    async def _end(self) -> None:
        self.tell("ending")
        async with trio.open_nursery() as nursery:
            for router in self.routers:
                self.record.row("usage", router.number, time.monotonic(), *router.usage())
                nursery.start_soon(self._end_router, router)
        if self.crew is not None:
            self.facts.load_cpu = self.crew.cpu
            await self.crew.end()
        if self.front is not None:
            await self.front.end()
        await self.fleet.end()
        self.record.close()
        (self.folder / "facts.json").write_bytes(msgspec.json.encode(self.facts))

    @staticmethod
    async def _end_router(router: RouterProcess) -> None:
        try:
            await router.end()
        except Exception as bad:  # the other processes are still to be ended
            logger.warning("router {} did not end well: {}", router.number, bad)
