"""An outage of discovery: a change made during it must be known in time, however the polls failed.

All code that decides on waits runs for real, on a clock that jumps: the decision module's polling, the
dispatcher and the discovery client. Only the polls themselves are answered by a simulated service.
"""

from __future__ import annotations

from collections import deque
from dataclasses import replace
from math import inf
from types import SimpleNamespace
from typing import NoReturn

import pytest
import trio
import trio.testing

from gaugehinge.net import discovery as discovery_module
from gaugehinge.net.discovery import DiscoveryClient
from gaugehinge.net.discovery_watch import PollError, PollTimeoutError
from gaugehinge.net.dispatcher import Dispatcher
from gaugehinge.net.endpoint_list import EndpointListUpdate
from gaugehinge.net.timer_queue import TimerQueue
from gaugehinge.settings import read_settings
from tests.helper import SETTINGS

NOTIFIED_AFTER = 6.0  # seconds after discovery had a change and could be reached, whatever failed before
MARGIN = 0.5  # of that, for the transfer of the list
NO_POOL = SimpleNamespace(on_endpoints_changed=lambda update: None, pending=())


class Outage:
    """A discovery service that all routers use, down for a period; `mode` says how polls fail then.

    `ends_after_calls`: the outage ends right after this many polls were sent during it, which is the worst
    moment.
    """

    def __init__(
        self, start: float, end: float, mode: str, ends_after_calls: int = 0, capacity: float = 0.0
    ) -> None:
        self.start, self.end, self.mode, self.capacity = start, end, mode, capacity
        self.ends_after_calls, self.failed = ends_after_calls, 0
        self.rev, self.changed = 1, trio.Event()
        self.queue: deque[trio.Event] = deque()  # polls that wait for their turn if capacity is limited
        self.calls: list[float] = []

    def down(self) -> bool:
        return self.start <= trio.current_time() < self.end

    async def change(self) -> None:
        """Change the list during the outage."""
        await trio.sleep_until(self.start + 0.01)
        self.rev += 1
        self.changed.set()
        self.changed = trio.Event()

    async def wait_for_turn(self) -> bool:
        """Wait at most 1 s for this poll's turn; False: discovery is over capacity."""
        turn = trio.Event()
        self.queue.append(turn)
        with trio.move_on_after(1.0):
            await turn.wait()
            return True
        self.queue.remove(turn)
        return False

    async def serve_queue(self) -> None:
        """Serve the queued polls in order, `capacity` a second."""
        while True:
            await trio.sleep(1.0 / self.capacity)
            if self.queue:
                self.queue.popleft().set()


class FakeWatch:
    """Stands in for one router's connection to the service."""

    def __init__(self, service: Outage) -> None:
        self.service = service
        self.open_until = -1.0  # a poll until then continues this watch, at little cost

    async def poll(self, target: str, time_limit: float) -> EndpointListUpdate:
        service, began = self.service, trio.current_time()
        wait = float(target.rpartition("wait=")[2]) / 1000 if "wait=" in target else 0.0
        since = int(target.partition("index=")[2].partition("&")[0]) if "index=" in target else 0
        new, self.open_until = began > self.open_until, -1.0
        if new:
            service.calls.append(began)
        if service.down():
            await self._fail(began + time_limit)
        with trio.move_on_at(began + time_limit):
            if service.capacity and new and not await service.wait_for_turn():
                raise PollError
            with trio.move_on_after(min(wait, max(service.start - trio.current_time(), 0.0))):
                while service.rev == since:
                    await service.changed.wait()
            if not service.down():
                self.open_until = trio.current_time() + 0.2
                return EndpointListUpdate(service.rev, False, ())
            if service.mode == "refused":
                raise PollError  # the open poll is reset
            await trio.sleep_forever()
        raise PollTimeoutError

    async def _fail(self, last: float) -> NoReturn:
        service = self.service
        service.failed += 1
        if service.failed == service.ends_after_calls:
            service.end = trio.current_time() + 1e-6
        if service.mode == "silent":
            await trio.sleep_until(last)
            raise PollTimeoutError
        if service.mode == "503 after 1 s":
            await trio.sleep(1.0)
        raise PollError

    def close(self) -> None:
        pass


def run_outage(service: Outage, routers: int, monkeypatch, poll_deadline: float, seed: int) -> list[float]:
    """Return, for each router, how long after the outage it received the change, in seconds."""
    received_at: dict[int, float] = {}
    all_received = trio.Event()

    def start(nursery: trio.Nursery, number: int) -> None:
        deployment = read_settings(seed * 1000 + number, SETTINGS).deployment
        timers = TimerQueue(trio.current_time)
        dispatcher = Dispatcher(replace(deployment, must_poll=True, poll_deadline=poll_deadline), timers)

        def on_update(update: EndpointListUpdate) -> None:
            dispatcher.on_endpoints_changed(update)
            if update.rev == 2:
                received_at.setdefault(number, trio.current_time())
            if len(received_at) == routers:
                all_received.set()

        router_seed = seed * 1000 + number
        discovery = DiscoveryClient(
            nursery, timers, ("127.0.0.1", 1), 0, on_update, dispatcher.on_poll_failed, router_seed
        )
        dispatcher.connect(NO_POOL, discovery.start_watch, lambda *message: None)
        dispatcher.start_background_tasks()
        nursery.start_soon(timers.run)

    async def main() -> None:
        monkeypatch.setattr(discovery_module, "Watch", lambda address, timers: FakeWatch(service))
        async with trio.open_nursery() as nursery:
            if service.capacity:
                nursery.start_soon(service.serve_queue)
            nursery.start_soon(service.change)
            for number in range(routers):
                start(nursery, number)
            with trio.move_on_after(300.0):
                await all_received.wait()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(received_at) == routers
    return [received_at[number] - service.end for number in range(routers)]


@pytest.mark.parametrize("poll_deadline", [5.0, 10.0, 60.0])
@pytest.mark.parametrize("mode", ["refused", "silent", "503 after 1 s"])
def test_after_any_failure_a_change_is_known_before_it_counts_as_notified(monkeypatch, mode, poll_deadline):
    for seed in range(60):
        outage = Outage(1.0 + 0.13 * seed, inf, mode, ends_after_calls=1 + seed % 8)
        latest = max(run_outage(outage, 1, monkeypatch, poll_deadline, seed))
        assert latest < NOTIFIED_AFTER - MARGIN, (seed, latest)


@pytest.mark.parametrize("mode", ["refused", "silent", "503 after 1 s"])
def test_two_hundred_routers_reconnect_spread_out_and_all_receive_the_change_in_time(monkeypatch, mode):
    outage = Outage(2.0, 8.0, mode, capacity=60.0)
    delays = run_outage(outage, 200, monkeypatch, 10.0, 1)
    assert max(delays) < NOTIFIED_AFTER  # one poll of each router alone takes discovery 3.3 s
    reconnects = sorted(at for at in outage.calls if at >= outage.end)
    assert max(sum(at <= each < at + 0.05 for each in reconnects) for at in reconnects[:400]) <= 60
