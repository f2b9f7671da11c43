"""One process of the emulator: `python -m gaugehinge.emulator.part`, steered by JSON lines on standard input.

First comes a `World`; the answer tells the addresses. The second line tells the addresses of the
other processes;
from there on come faults and changes of life. It ends with its standard input.
"""

from __future__ import annotations

import socket
import sys
import time
from typing import Any

import msgspec
import trio
from loguru import logger

from ..forms.record import Recorder
from ..forms.units import UNITS
from ..net.timer_queue import TimerQueue
from .cache import CacheServer, Tables
from .directory import Directory, Entry
from .doors import CacheDoor, DirectoryDoor, OriginDoor
from .faults import Fault
from .form import Caches, World, part_of, servers
from .lines import objects, run_child, say, standard_input
from .origin import UID as ORIGIN
from .origin import Origin
from .ports import Ports, hosts
from .store import Misses

GAUGE_EVERY = 0.25
FLUSH_EVERY = 0.5
MOST_DATAGRAM = 4096
OFTEN_FAILS = 20  # tries to listen again at a port whose last connections are still closing


def read_world(told: Any) -> World:
    """A World from plain values, its figures as numbers."""
    return msgspec.convert(told, World, dec_hook=lambda kind, value: kind(value) if kind in UNITS else value)


class Bus:
    """Tells the cache servers of all processes what the origin did: calls here, datagrams elsewhere.

    On loopback a datagram is lost only with a full buffer; then a copy is not stored, as it may happen
    to real ones.
    """

    def __init__(self, part: Part) -> None:
        self.part = part
        self.raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        self.raw.setblocking(False)
        self.raw.bind(("127.0.0.1", 0))
        self.others: list[tuple[str, int]] = []
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder().decode

    def _tell(self, *told: Any) -> None:
        data = self._encode(told)
        for address in self.others:
            try:
                self.raw.sendto(data, address)
            except OSError as bad:
                logger.warning("a message between the emulator's processes was lost: {}", bad)

    def fill(self, ident: bytes, key: bytes, version: int, size: int) -> None:
        self.part.fill(ident, key, version, size)
        self._tell("fill", ident, key, version, size)

    def drop(self, key: bytes) -> None:
        self.part.drop(key)
        self._tell("drop", key)

    async def hear(self) -> None:
        incoming = trio.socket.from_stdlib_socket(self.raw)
        while True:
            try:
                data, _ = await incoming.recvfrom(MOST_DATAGRAM)
            except OSError:
                continue
            name, *given = self._decode(data)
            (self.part.fill if name == "fill" else self.part.drop)(*given)


class Part:
    """The servers that this process plays."""

    def __init__(self, world: World, nursery: trio.Nursery) -> None:
        self.world = world
        self.nursery = nursery
        self.clock = time.monotonic  # the same in all processes of a machine
        self.timers = TimerQueue(self.clock)
        self.record = Recorder(world.record)
        self.bus = Bus(self)
        self.tables = Tables(
            world.seed,
            {entry.name: entry for entry in world.traffic},
            world.rules,
            Misses(),
            {},
            self.record.row,
        )
        self.hosts = hosts(world.routers)
        self.ports = Ports(world.part)
        self.origin: Origin | None = None
        self.directory: Directory | None = None
        self.directory_door: DirectoryDoor | None = None
        self.origin_door: OriginDoor | None = None
        if world.part == 0:
            self._found_origin()
            self._found_directory()
        self.doors: dict[str, CacheDoor] = {}  # by slot: the id at the start
        for number, (uid, form) in enumerate(servers(world.emulator)):
            if part_of(number, world.parts) == world.part:
                self._found_cache(uid, form)
        self._gauge()
        self._flush()

    def _place(self, door: Any) -> int:
        port = self.ports.free(self.hosts)
        door.addresses = [(host, port) for host in self.hosts]
        door.open()
        return port

    def _found_origin(self) -> None:
        self.origin = Origin(self.world.emulator.origin, self.timers, self.tables, self.bus)
        if not self.world.rules.asks_origin:
            self.tables = self.tables._replace(through=self.origin)
        self.origin_door = OriginDoor(self.nursery, self.timers, self.origin)
        self._place(self.origin_door)

    def _found_directory(self) -> None:
        form = self.world.emulator.discovery
        self.directory = Directory(self.timers, float(form.lateness), self.record.row)
        self.directory_door = DirectoryDoor(
            self.nursery,
            self.timers,
            self.directory,
            self.world.seed,
            float(form.capacity),
            float(form.longest_wait),
        )
        self._place(self.directory_door)

    def _found_cache(self, uid: str, form: Caches) -> None:
        server = CacheServer(uid, form, self.timers, self.tables)
        server.on_fall = self._fell
        self.doors[uid] = CacheDoor(self.nursery, self.timers, server)
        self._place(self.doors[uid])

    def addresses(self) -> dict[str, Any]:
        """What the process that started us has to know."""
        return {
            "bus": self.bus.raw.getsockname()[1],
            "caches": {uid: door.addresses[0][1] for uid, door in self.doors.items()},
            "origin": self.origin_door.addresses[0][1] if self.origin_door else None,
            "discovery": [list(a) for a in self.directory_door.addresses] if self.directory_door else None,
        }

    def connect(self, told: dict[str, Any]) -> None:
        """The other processes' addresses; the list is made of them."""
        self.bus.others = [
            ("127.0.0.1", port) for part, port in enumerate(told["buses"]) if part != self.world.part
        ]
        if self.directory is None:
            return
        for uid, form in servers(self.world.emulator):
            host = f"127.0.{{router}}.1:{told['caches'][uid]}"
            self.directory.put(Entry(uid, host, form.kind, form.zone, form.cell, capacity=form.speed))
        self.directory.put(
            Entry(ORIGIN, f"127.0.{{router}}.1:{told['origin']}", self.world.rules.origin_kind, "", -1)
        )

    # -- what the origin did

    def fill(self, ident: bytes, key: bytes, version: int, size: int) -> None:
        for server in self.tables.misses.take(ident):
            if server.up:
                server.store.put(key, version, size)

    def drop(self, key: bytes) -> None:
        for door in self.doors.values():
            door.server.store.drop(key)

    # -- orders

    def order(self, told: dict[str, Any]) -> None:
        """One line of the steering process."""
        name = told.pop("do")
        getattr(self, f"do_{name}")(**told)

    def do_fault(self, slot: str, name: str, lasts: float, part: float, factor: float, router: int) -> None:
        """Something goes wrong with a server for a time."""
        now = self.clock()
        fault = Fault(name, now + lasts, part, factor, lasts, router)
        if slot == "discovery":
            self._directory_fault(fault)
            return
        door = self.origin_door if slot == ORIGIN else self.doors[slot]
        if name in ("pause", "stop"):
            door.machine.pause(fault.until)
        elif name in ("refuse", "hang"):
            (door.close_listeners if name == "refuse" else door.hang)()
            self.timers.call_at(fault.until, self._listen_again, door)
        elif name == "pause_answer":
            # The next answer only: a server pauses once, not with each of its answers.
            door.faults.add(fault)
            self.timers.call_at(now + min(lasts, GAUGE_EVERY), self._no_more, door, fault)
        else:
            door.faults.add(fault)

    @staticmethod
    def _no_more(door: Any, fault: Fault) -> None:
        if fault in door.faults.active:
            door.faults.active.remove(fault)

    def _directory_fault(self, fault: Fault) -> None:
        directory = self.directory
        if fault.name == "outage":
            self.directory_door.outage(fault.until)
        elif fault.name == "stale":
            directory.freeze(fault.until)
        elif fault.name == "empty":
            directory.empty_until = fault.until
        elif fault.name == "late":
            directory.late_until, directory.late_by = fault.until, fault.factor
        elif fault.name in ("stop", "pause"):
            self.directory_door.machine.pause(fault.until)
        else:
            self.directory_door.faults.add(fault)

    def _listen_again(self, door: Any, tries: int = 0) -> None:
        """A server that is up listens; its port may be held a moment longer by what is just being closed."""
        if isinstance(door, CacheDoor) and not door.server.up:
            return
        try:
            door.open()
        except OSError as bad:
            if tries >= OFTEN_FAILS:
                logger.error("a played server cannot listen again: {}", bad)
                return
            self.timers.call_at(self.clock() + GAUGE_EVERY, self._listen_again, door, tries + 1)

    def do_crash(self, slot: str) -> None:
        """A server's process dies: its connections are reset, new ones refused."""
        door = self.doors[slot]
        if door.server.up:
            self.record.row("crash", door.server.uid, self.clock())
            door.server.stop()
        door.close_listeners()
        door.cut()

    def do_start(self, slot: str, cold: bool, uid: str) -> None:
        """It is back at its old address, perhaps under a new id."""
        door = self.doors[slot]
        door.server.uid = uid
        door.server.faults.clear()
        door.server.start(cold)
        self.record.row("start", uid, self.clock(), cold)
        self._listen_again(door)

    def do_list(self, uid: str, fields: dict[str, Any]) -> None:
        """Something is so now, as discovery will hear."""
        self.directory.change(uid, **fields)

    def _fell(self, server: CacheServer) -> None:
        """A cold server was sent too much: it is down, and comes back cold by itself."""
        for slot, door in self.doors.items():
            if door.server is server:
                # Not from within the call that brought the last straw: its connection is still being read.
                self.timers.call_at(self.clock(), self.do_crash, slot)
                say({"event": "fell", "slot": slot, "uid": server.uid})
                self.timers.call_at(self.clock() + float(server.form.down_time), self._back, slot)

    def _back(self, slot: str) -> None:
        server = self.doors[slot].server
        if not server.up:
            self.do_start(slot, True, server.uid)
            say({"event": "back", "slot": slot, "uid": server.uid})

    # -- the record

    def _gauge(self) -> None:
        now = self.clock()
        self.record.row("lag", self.world.part, now, round(self.timers.current_lag, 4))
        for door in self.doors.values():
            machine, server = door.machine, door.server
            self.record.row(
                "gauge",
                server.uid,
                now,
                len(machine.working),
                machine.waiting,
                round(server.warmth(now), 3) if server.up else -1.0,
                len(door.wires),
            )
        if self.origin is not None:
            machine = self.origin.machine
            paused = -1.0 if machine.paused_until > now else 1.0
            self.record.row(
                "gauge",
                ORIGIN,
                now,
                len(machine.working),
                machine.waiting,
                paused,
                len(self.origin_door.wires),
            )
        self.timers.call_at(now + GAUGE_EVERY, self._gauge)

    def _flush(self) -> None:
        self.record.flush()
        self.timers.call_at(self.clock() + FLUSH_EVERY, self._flush)


async def serve() -> None:
    """Until standard input ends."""
    told = objects(standard_input())
    async with trio.open_nursery() as nursery:
        part = Part(read_world(await anext(told)), nursery)
        say(part.addresses())
        part.connect(await anext(told))
        nursery.start_soon(part.timers.run)
        nursery.start_soon(part.bus.hear)
        say({"event": "ready"})
        async for order in told:
            part.order(order)
        part.record.close()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    sys.exit(run_child(serve))
