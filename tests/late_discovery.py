"""A simulated discovery that answers late, in turn, or not at all on some connections, and its routers.

The discovery client and the decision module's polling run for real, on a clock that jumps. A poll that a
router gives up goes on and costs the service its turn.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from math import inf
from types import SimpleNamespace

import trio
import trio.testing

from gaugehinge.net import discovery as discovery_module
from gaugehinge.net.configuration import Address
from gaugehinge.net.discovery import DiscoveryClient
from gaugehinge.net.discovery_watch import PollError, PollTimeoutError
from gaugehinge.net.dispatcher import Dispatcher
from gaugehinge.net.endpoint_list import EndpointListUpdate, EndpointTarget
from gaugehinge.net.timer_queue import TimerQueue
from gaugehinge.settings import read_settings
from tests.helper import SETTINGS, row

NO_POOL = SimpleNamespace(on_endpoints_changed=lambda update: None, pending=())
SERVERS = (EndpointTarget(row(1), "s-1", ("127.0.0.1", 1)),)
OLD, NEW, NEWEST = (("127.0.0.1", port) for port in (1, 2, 3))


@dataclass(eq=False)
class Service:
    """Answers polls `answer_time()` late, and in turn if each takes `work` seconds of it.

    From `silent_at` on, connections that were open then get no answer. What an answer has is read as it is
    sent, or with `reads_early` when it is due.
    """

    nursery: trio.Nursery
    version: int = 1
    answer_time: Callable[[], float] = lambda: 0.0
    work: float = 0.0
    reads_early: bool = False
    silent_at: float = -1.0
    free_at: float = 0.0
    is_down: bool = False
    in_flight: int = 0
    changed: trio.Event = field(default_factory=trio.Event)
    reset: trio.Event = field(default_factory=trio.Event)

    def change(self) -> None:
        self.version += 1
        self.changed.set()
        self.changed = trio.Event()

    def stop(self) -> None:
        self.is_down, self.free_at = True, 0.0
        self.reset.set()
        self.reset = trio.Event()

    async def answer(self, since: int | None, wait: float, connected_at: float) -> EndpointListUpdate:
        if since is not None:
            with trio.move_on_after(wait):
                while self.version <= since:
                    await self.changed.wait()
        version = self.version
        self.free_at = max(self.free_at, trio.current_time()) + self.work
        await trio.sleep_until(self.free_at + self.answer_time())
        if connected_at <= self.silent_at <= trio.current_time():
            await trio.sleep_forever()
        version = version if self.reads_early else self.version
        return EndpointListUpdate(version, since is None, SERVERS if since is None else ())


class FakeWatch:
    """One connection to a service."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.connected_at: float | None = None
        self.on_connection_lost: Callable[[], None] = lambda: None

    async def poll(self, target: str, time_limit: float) -> EndpointListUpdate:
        since = int(target.partition("index=")[2].partition("&")[0]) if "index=" in target else None
        wait = float(target.rpartition("wait=")[2]) / 1000 if "wait=" in target else 0.0
        if self.connected_at is None:
            self.connected_at = trio.current_time()
        connected_at, service, answers, ended = self.connected_at, self.service, [], trio.Event()

        async def answer() -> None:
            answers.append(await service.answer(since, wait, connected_at))
            ended.set()

        async def wait_for_reset(reset: trio.Event) -> None:
            await reset.wait()
            ended.set()

        if not service.is_down:
            service.nursery.start_soon(answer)
            service.nursery.start_soon(wait_for_reset, service.reset)
            service.in_flight += 1
            try:
                with trio.move_on_after(time_limit) as scope:
                    await ended.wait()
            finally:
                service.in_flight -= 1
            if scope.cancelled_caught:
                self.close()
                raise PollTimeoutError
        if not answers:
            self.on_connection_lost()
            self.close()
            raise PollError
        return answers[0]

    def close(self) -> None:
        self.connected_at = None


@dataclass(eq=False)
class Router:
    """A router's client of discovery, with what it has accepted: time, address and version."""

    client: DiscoveryClient
    dispatcher: Dispatcher
    accepted: list[tuple[float, Address, int]] = field(default_factory=list)

    def move(self, address: Address) -> None:
        self.client.move(address)
        self.dispatcher.on_discovery_changed()

    def known_at(self, address: Address, version: int, after: float = 0.0) -> float:
        found = (at for at, source, known in self.accepted if source == address and known >= version)
        return next((at for at in found if at >= after), inf)


@dataclass(eq=False)
class World:
    """The routers and the services that they may follow."""

    nursery: trio.Nursery
    services: dict[Address, Service] = field(default_factory=dict)
    routers: list[Router] = field(default_factory=list)

    def serve(self, address: Address, **options) -> Service:
        self.services[address] = Service(self.nursery, **options)
        return self.services[address]

    def start_router(self, number: int, router_count: int, version: int | None) -> None:
        deployment = read_settings(number, SETTINGS).deployment
        timers = TimerQueue(trio.current_time)
        dispatcher = Dispatcher(replace(deployment, must_poll=True), timers)

        def on_update(update: EndpointListUpdate) -> None:
            dispatcher.on_endpoints_changed(update)
            router.accepted.append((trio.current_time(), router.client.address, update.rev))

        failed = dispatcher.on_poll_failed
        options = {"seed": number, "drain_grace": 0.25, "router_count": router_count}
        client = DiscoveryClient(self.nursery, timers, OLD, version, on_update, failed, **options)
        router = Router(client, dispatcher)
        dispatcher.connect(NO_POOL, client.start_watch, lambda *message: None)
        dispatcher.start_background_tasks()
        self.nursery.start_soon(timers.run)
        self.routers.append(router)

    def delay_until_known(self, address: Address, version: int, since: float) -> float:
        return max(router.known_at(address, version, since) for router in self.routers) - since

    async def delay_of_change(self, service: Service, address: Address, duration: float = 12.0) -> float:
        """Change the list; return after how many seconds the last router knows, at most `duration`."""
        service.change()
        version, changed_at = service.version, trio.current_time()
        await trio.sleep(duration)
        return self.delay_until_known(address, version, changed_at)


def play(
    monkeypatch,
    scene: Callable[[World, Service], Awaitable[None]],
    seed: int = 1,
    routers: int = 1,
    version: int | None = 1,
    order: int = 0,
    **options,
) -> None:
    """Run a scene with routers that know a version of the list.

    `order` and `seed` settle the order of what happens at the same time, which trio draws otherwise.
    """
    monkeypatch.setattr(trio._core._run, "_r", random.Random(f"{seed} {order}"))
    monkeypatch.setattr(trio._core._run, "_ALLOW_DETERMINISTIC_SCHEDULING", True)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            world = World(nursery)
            watch = lambda address, timers: FakeWatch(world.services[address])  # noqa: E731
            monkeypatch.setattr(discovery_module, "Watch", watch)
            service = world.serve(OLD, version=version or 1, **options)
            for number in range(routers):
                world.start_router(1000 * seed + number, routers, version)
            await scene(world, service)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
