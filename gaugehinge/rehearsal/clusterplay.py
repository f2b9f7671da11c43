"""A played cluster, discovery and routers of a tier in one process, to test and measure the dialect.

The servers redirect by the specification, slots move under load, servers drain, end and come back. What
took effect and what was sent after a drain is judged from the servers' own record.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from ..cluster.build import cluster_extension_builder, slot_routing_of
from ..emulator.directory import Directory, Entry
from ..emulator.doors import DirectoryDoor
from ..emulator.ports import Ports
from ..emulator.shard_door import ShardDoor
from ..emulator.shards import Shards
from ..forms.units import Seconds, Size
from ..installation.build import configuration_of
from ..installation.form import (
    ClusterEntry,
    CommandEntry,
    DiscoveryAt,
    Installation,
    Limits,
    Listen,
    Rules,
    Tier,
    TrafficEntry,
)
from ..net.service import Service
from ..net.timer_queue import Clock, TimerQueue

GRACE = 0.25  # an attempt may reach a server so long after all routers were told of its drain
HOST = "127.0.0.1"
READ = TrafficEntry("read", "idempotent", Seconds(0.5), abandon_time=Seconds(2.0), late_payoff=0.2)
PUT = TrafficEntry("put", "idempotent", Seconds(0.5), abandon_time=Seconds(2.0), late_payoff=0.2)
BOOK = TrafficEntry("book", "unrepeatable", Seconds(0.5), abandon_time=Seconds(2.0), late_payoff=0.2)
COMMANDS = (
    CommandEntry("GET", "read"),
    CommandEntry("MGET", "read", keys="all", joined="list", most=64),
    CommandEntry("EXISTS", "read", keys="all", joined="sum", most=64),
    CommandEntry("TTL", "read"),
    CommandEntry("LRANGE", "read", least=3, most=3),
    CommandEntry("SET", "put", write=True, least=2, most=4),
    CommandEntry("MSET", "put", write=True, keys="pairs", joined="ok", least=2, most=64),
    CommandEntry("DEL", "put", write=True, keys="all", joined="sum", most=64),
    CommandEntry("EXPIRE", "put", write=True, least=2, most=2),
    CommandEntry("INCR", "book", write=True),
    CommandEntry("INCRBY", "book", write=True, least=2, most=2),
    CommandEntry("RPUSH", "book", write=True, least=2, most=64),
    CommandEntry("APPEND", "book", write=True, least=2, most=2),
)
RULES = Rules(asks_origin=False, cold_time=Seconds(0.5), cold_from=0.5)


@dataclass(slots=True)
class Told:
    """A server that drains: when the word was given, and when it ends."""

    name: str
    rev: int


@dataclass(slots=True, eq=False)
class Play:
    """All that plays."""

    nursery: trio.Nursery
    timers: TimerQueue
    shards: Shards
    doors: dict[str, ShardDoor]
    directory: Directory
    services: list[Service] = field(default_factory=list)
    files: list[Installation] = field(default_factory=list)  # by router
    clients: list[tuple[str, int]] = field(default_factory=list)  # of the cluster front, by router
    plain: list[tuple[str, int]] = field(default_factory=list)  # of the platform's dialect
    commands: list[tuple[str, float, bytes]] = field(default_factory=list)  # server, time, word
    changes: list[tuple[int, str, str, float]] = field(default_factory=list)  # rev, server, state, time
    told: list[tuple[int, int, float]] = field(default_factory=list)  # router, rev, time
    ends: list[trio.CancelScope] = field(default_factory=list)

    # -- what happens to servers

    def drain(self, name: str) -> None:
        """Discovery says that it drains."""
        self.directory.change(name, state="draining")

    async def leave(self, name: str) -> None:
        """A server's slots go to its replica, if one is up; then it drains."""
        if any(each.up for each in self.shards.replicas(name)):
            self.shards.fail_over(name)
        self.drain(name)

    def stop(self, name: str) -> None:
        """Gone at once: connections are reset, new ones refused."""
        self.doors[name].close()
        self.shards.stop(name)
        self.directory.change(name, state="gone")

    def start(self, name: str, cold: bool = True) -> None:
        """Back at its address."""
        self.shards.start(name)
        self.doors[name].open()
        boot = int(self.timers.clock() * 1000) if cold else 0
        self.directory.change(name, state="ready", boot_ms=boot)

    # -- judged

    def doubles(self) -> list[bytes]:
        """Tokens of unrepeatable writes that took effect more than once."""
        counts = Counter(
            token
            for each in self.shards.ran
            if each.words[0].upper() in (b"RPUSH", b"APPEND")
            for token in each.words[2:]
        )
        return [token for token, count in counts.items() if count > 1]

    def effects(self) -> set[bytes]:
        """Tokens of unrepeatable writes that took effect."""
        return {
            token
            for each in self.shards.ran
            if each.words[0].upper() in (b"RPUSH", b"APPEND")
            for token in each.words[2:]
        }

    def late_attempts(self) -> list[tuple[str, float]]:
        """Operations that reached a server over GRACE after every router had been told of its drain."""
        found = []
        for rev, name, state, _ in self.changes:
            if state != "draining":
                continue
            ends = [at for r, n, s, at in self.changes if n == name and r > rev and s in ("ready", "gone")]
            heard = [
                min((at for router, r, at in self.told if router == number and r >= rev), default=None)
                for number in range(len(self.services))
            ]
            if None in heard:
                continue
            start, end = max(heard) + GRACE, min(ends, default=float("inf"))
            found += [
                (name, at - start) for server, at, _ in self.commands if server == name and start < at < end
            ]
        return found


def installation(
    number: int, routers: int, fronts: list[str], plain: str, discovery: str, **changes: Any
) -> Installation:
    """One router's file."""
    cluster = ClusterEntry(listen=fronts[number], routers=tuple(fronts), servers=True, command=COMMANDS)
    cluster = msgspec.structs.replace(cluster, **changes.pop("cluster", {}))
    told = Installation(
        Listen(plain),
        DiscoveryAt(discovery),
        (READ, PUT, BOOK),
        name=f"router-{number}",
        seed=100 + number,
        tier=Tier(me=number, routers=routers),
        limits=Limits(memory=Size(192 << 20), connect_time=Seconds(0.25)),
        rules=RULES,
        cluster=cluster,
    )
    return msgspec.structs.replace(told, **changes)


@asynccontextmanager
async def playing(
    owners: int = 4,
    replicas: int = 1,
    routers: int = 1,
    work: float = 0.0,
    seed: int = 1,
    inside: bool = True,
    new_door: Any = None,
    **changes: Any,
) -> AsyncIterator[Play]:
    """Servers, discovery and routers, up and with a map; ended with the block.

    Not `inside`: the routers are only told of, in `files`, to be started as processes of their own.
    """
    ports = Ports(seed)
    clock = Clock()
    timers = TimerQueue(clock)
    shards = Shards(clock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timers.run)
        made = Play(nursery, timers, shards, {}, None)

        def note(what: str, *told: Any) -> None:
            if what == "change":
                rev, uid, state, at = told
                made.changes.append((rev, uid, state, at))
            elif what == "told":
                made.told.append(told)

        directory = made.directory = Directory(timers, 0.01, note)
        _servers(made, owners, replicas, work, ports)
        discovery = DirectoryDoor(nursery, timers, directory, seed, 2000.0, 60.0)
        discovery.addresses = [(HOST, ports.free([HOST])) for _ in range(routers)]
        discovery.open()
        made.clients = [(HOST, ports.free([HOST])) for _ in range(routers)]
        made.plain = [(HOST, ports.free([HOST])) for _ in range(routers)]
        fronts = [f"{host}:{port}" for host, port in made.clients]
        for number in range(routers):
            told = installation(
                number,
                routers,
                fronts,
                f"{HOST}:{made.plain[number][1]}",
                f"{HOST}:{discovery.addresses[number][1]}",
                **dict(changes),
            )
            made.files.append(told)
            if not inside:
                continue
            configuration = configuration_of(told)
            service = Service(
                configuration,
                lambda same=configuration: same,
                new_door,
                build_extensions=cluster_extension_builder(told),
            )
            made.services.append(service)
            nursery.start_soon(service.run)
        if inside:
            await _ready(made)
        try:
            yield made
        finally:
            nursery.cancel_scope.cancel()


def _servers(made: Play, owners: int, replicas: int, work: float, ports: Ports) -> None:
    names = [f"c-{i}" for i in range(owners)]
    copies = [f"r-{i}-{k}" for i in range(owners) for k in range(replicas)]
    for name in [*names, *copies]:
        address = (HOST, ports.free([HOST]))
        of = f"c-{name.split('-')[1]}" if name.startswith("r-") else ""
        shard = made.shards.add(name, address, of)
        door = made.doors[name] = ShardDoor(
            made.nursery,
            made.shards,
            shard,
            [address],
            work,
            lambda router, server, words, at: (
                made.commands.append((server, at, words[0]))
                if words[0] not in (b"CLUSTER", b"PING")
                else None
            ),
        )
        door.open()
        made.directory.put(Entry(name, f"{HOST}:{address[1]}", "std", "a", 0))
    made.shards.deal(names)


async def _ready(made: Play) -> None:
    """Until every router has its list and its map."""
    with trio.fail_after(20):
        while True:
            routings = [
                routing for service in made.services if (routing := slot_routing_of(service)) is not None
            ]
            maps = [routing.map_tracker.map for routing in routings]
            if len(maps) == len(made.services) and all(maps):
                return
            await trio.sleep(0.01)
