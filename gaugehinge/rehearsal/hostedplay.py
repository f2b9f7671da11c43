"""A keeper, routers that follow it, discovery and servers in one process, to test the hosted service."""

from __future__ import annotations

import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import httpx
import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from ..admin.app import Api
from ..admin.control_plane import ControlPlane
from ..cluster.build import build_cluster
from ..emulator.directory import Directory, Entry
from ..emulator.doors import DirectoryDoor
from ..emulator.ports import Ports
from ..emulator.shelf import Shelves
from ..forms.units import Seconds
from ..hosted.build import control_plane_watch_builder, tenant_of_connection
from ..hosted.control_plane_watch import ControlPlaneWatch
from ..hosted.front import HostedClientServer
from ..installation.build import configuration_of
from ..installation.form import DiscoveryAt, FollowEntry, Installation, Listen, Rules, Tier, TrafficEntry
from ..net.extensions import Extensions
from ..net.resp import Parser, bulk
from ..net.service import Service
from ..net.sockets import shut
from ..net.timer_queue import Clock, TimerQueue
from ..placement.build import build_placement
from ..store.async_store import AsyncStore
from ..subsystems import Subsystems
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import SecretHasher

HOST = "127.0.0.1"
CHEAP = SecretHasher(time_cost=1, memory_kib=64)  # a rehearsal is no place to spend CPU on hashes
TRAFFIC = (
    TrafficEntry("read", "idempotent", Seconds(0.5), abandon_time=Seconds(2.0), late_payoff=0.2),
    TrafficEntry("put", "idempotent", Seconds(0.5), abandon_time=Seconds(2.0), late_payoff=0.2),
    TrafficEntry(
        "move",
        "deduplicated",
        Seconds(0.5),
        abandon_time=Seconds(2.0),
        group="all",
        memory=Seconds(9.0),
        late_payoff=0.2,
    ),
    TrafficEntry("book", "unrepeatable", Seconds(0.5), abandon_time=Seconds(2.0), late_payoff=0.2),
)


class Client:
    """A tenant's client: commands as lists of words, answers as raw bytes."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.parser = Parser(1 << 20)

    async def ask(self, *words: str | bytes, wait: float = 5.0) -> bytes | None:
        """One command and its answer; None where the connection ended or nothing came in time."""
        bodies = [word.encode() if isinstance(word, str) else word for word in words]
        await self.stream.send_all(b"*%d\r\n" % len(bodies) + b"".join(map(bulk, bodies)))
        return await self.answer(wait)

    async def answer(self, wait: float = 5.0) -> bytes | None:
        """The next answer."""
        with trio.move_on_after(wait):
            while (message := self.parser.next()) is None:
                data = await self.stream.receive_some()
                if not data:
                    return None
                self.parser.feed(data)
            return message.raw
        return None


@dataclass(slots=True, eq=False)
class Hosted:
    """All that plays."""

    nursery: trio.Nursery
    folder: Path
    ports: Ports
    shelves: Shelves
    directory: Directory
    api: str = ""
    root: str = ""  # the first operator's secret
    routers_secret: str = ""
    keeper: AsyncStore | None = None
    administration: ControlPlane | None = None
    keeping: trio.CancelScope = field(default_factory=trio.CancelScope)
    files: list[Installation] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    followers: list[ControlPlaneWatch] = field(default_factory=list)
    scopes: list[trio.CancelScope] = field(default_factory=list)
    lease: float = 0.0  # seconds that the keeper gives routers; 0: none
    parts: tuple[Callable[[ControlPlane], Any], ...] = ()  # at the keeper

    # -- the keeper

    async def keep(self) -> None:
        """Start the keeper, at the place that it had before if it had one."""
        keeper = self.keeper = AsyncStore(self.folder / "store.db")
        desk = self.administration = ControlPlane(keeper, CHEAP, AttemptLimiter(1, keeper.clock()))
        await desk.prepare()
        if self.lease:
            desk.leases.enable(self.lease)
        desk.extensions += [part(desk) for part in self.parts]
        self.root = await desk.operators.create_first() or self.root
        if not self.routers_secret:
            made = await desk.operators.create("tier", "router", "", "play")
            self.routers_secret = made.secret
            (self.folder / "secret").write_text(made.secret)
        config = Config()
        config.bind = [self.api.removeprefix("http://")]
        config.accesslog = config.errorlog = None
        config.graceful_timeout = 0.1
        self.keeping = trio.CancelScope()
        await self.nursery.start(self._serve, Api(desk).app(), config, desk)

    async def _serve(self, app: Any, config: Config, desk: ControlPlane, task_status: Any) -> None:
        with self.keeping:
            async with trio.open_nursery() as nursery:
                for part in desk.extensions:
                    nursery.start_soon(part.run)
                await nursery.start(partial(serve, app, config, shutdown_trigger=trio.sleep_forever))
                task_status.started()

    async def stop_keeping(self) -> None:
        """The keeper is away."""
        self.keeping.cancel()
        await trio.sleep(0.05)
        self.keeper.close()

    def desk(self) -> httpx.AsyncClient:
        """The API as `root` calls it."""
        return httpx.AsyncClient(base_url=self.api, headers={"Authorization": f"Bearer {self.root}"})

    async def tenant(self, name: str, **figures: Any) -> str:
        """An active tenant; its secret."""
        async with self.desk() as desk:
            made = await desk.post("/v1/tenants", json={"name": name, **figures})
            made.raise_for_status()
            etag = made.headers["etag"]
            (await desk.post(f"/v1/tenants/{name}/activate", headers={"If-Match": etag})).raise_for_status()
            got = await desk.post(f"/v1/tenants/{name}/credentials", json={})
            return got.json()["secret"]

    # -- routers

    def place(self, number: int) -> tuple[str, int]:
        """Where a router's clients come."""
        host, _, port = self.files[number].listen.clients.rpartition(":")
        return host, int(port)

    def start_router(self, number: int, new_door: Any = None) -> None:
        """Start one, or start it again after a crash: with nothing but its files."""
        told = self.files[number]
        configuration = configuration_of(told)
        build_watch = control_plane_watch_builder(told, CHEAP)
        scope = trio.CancelScope()

        def build(service: Service, nursery: trio.Nursery) -> Extensions:
            fleet = build_cluster(service, nursery, told)
            follower = self.followers[number] = build_watch(service, nursery)
            placement = build_placement(service, follower) if told.placement.on else None
            return Subsystems(fleet, follower, placement).extensions()

        service = Service(
            configuration,
            lambda: configuration,
            partial(new_door, tenant_of=tenant_of_connection) if new_door is not None else None,
            build_extensions=build,
            client_server_class=HostedClientServer,
        )
        self.services[number], self.scopes[number] = service, scope
        self.nursery.start_soon(self._run, service, scope)

    @staticmethod
    async def _run(service: Service, scope: trio.CancelScope) -> None:
        with scope:
            await service.run()

    def crash_router(self, number: int) -> None:
        """It is gone at once, with all that it had in hand."""
        self.scopes[number].cancel()
        service = self.services[number]
        for front in service.fronts:
            shut(front.listening)
            for client in front.clients.connections:
                shut(client.sock)

    async def client(self, number: int, *secret: str, source: str = HOST) -> Client:
        """A client at a router; with a secret (and a name before it), let in by that."""
        with trio.fail_after(10):
            while True:
                try:
                    stream = await trio.open_tcp_stream(*self.place(number), local_address=source)
                    client = Client(stream)
                    break
                except OSError:
                    await trio.sleep(0.01)
        if secret:
            reply = await client.ask("AUTH", *secret)
            assert reply == b"+OK\r\n", reply
        return client

    async def settle(self, wait: float = 10.0) -> None:
        """Until all routers that run follow the keeper's last revision, and know servers."""
        with trio.fail_after(wait):
            while not all(
                follower is not None
                and follower.registry.revision >= self.keeper.revision
                and service.dispatcher.router.endpoints
                for follower, service, scope in zip(self.followers, self.services, self.scopes, strict=True)
                if not scope.cancel_called
            ):
                await trio.sleep(0.005)


@asynccontextmanager
async def hosting(
    routers: int = 1,
    servers: int = 3,
    seed: int = 1,
    work: float = 0.0,
    new_door: Any = None,
    folder: Path | None = None,
    inside: bool = True,
    zones: tuple[str, ...] = ("a",),
    lease: float = 0.0,
    parts: tuple[Any, ...] = (),
    **changes: Any,
) -> AsyncIterator[Hosted]:
    """A keeper with `root` and routers that follow it; ended with the block.

    Not `inside`: the routers are only told of, in `files`, to be started as processes of their own.
    """
    clock = Clock()
    timers = TimerQueue(clock)
    with tempfile.TemporaryDirectory() as made_folder:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            ports = Ports(seed)
            shelves = Shelves(clock, work)
            directory = Directory(timers, 0.01, lambda *told: None)
            made = Hosted(
                nursery,
                folder or Path(made_folder),
                ports,
                shelves,
                directory,
                lease=lease,
                parts=parts,
            )
            for number in range(servers):
                listeners = await nursery.start(
                    partial(trio.serve_tcp, partial(shelves.serve, f"c-{number}"), 0, host=HOST)
                )
                port = listeners[0].socket.getsockname()[1]
                zone = zones[number % len(zones)]
                directory.put(Entry(f"c-{number}", f"{HOST}:{port}", "std", zone, 0))
            discovery = DirectoryDoor(nursery, timers, directory, seed, 2000.0, 60.0)
            discovery.addresses = [(HOST, ports.free([HOST])) for _ in range(routers)]
            discovery.open()
            made.api = f"http://{HOST}:{ports.free([HOST])}"
            await made.keep()
            for number in range(routers):
                made.files.append(_file(made, number, routers, discovery.addresses[number][1], changes))
                made.services.append(None)
                made.followers.append(None)
                made.scopes.append(trio.CancelScope())
                if inside:
                    made.start_router(number, new_door)
            if inside:
                await made.settle()
            try:
                yield made
            finally:
                nursery.cancel_scope.cancel()
        made.keeper.close()


def _file(made: Hosted, number: int, routers: int, discovery: int, changes: dict[str, Any]) -> Installation:
    follow = FollowEntry(
        made.api.removeprefix("http://"),
        str(made.folder / "secret"),
        str(made.folder / f"router-{number}.snapshot"),
        1200,
    )
    told = Installation(
        Listen(f"{HOST}:{made.ports.free([HOST])}"),
        DiscoveryAt(f"{HOST}:{discovery}"),
        TRAFFIC,
        name=f"router-{number}",
        seed=100 + number,
        tier=Tier(me=number, routers=routers),
        rules=Rules(asks_origin=False),
        follow=follow,
    )
    return msgspec.structs.replace(told, **changes)
