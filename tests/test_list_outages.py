"""An outage of discovery, however its calls failed: by when a change that it then has must be known.

What decides the waits is played whole, on a clock that jumps: the module's errand, the dispatch that asks
about it, and the watch; the calls themselves are a played service's.
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

from gaugehinge.net import discovery as module
from gaugehinge.net.discovery import DiscoveryClient
from gaugehinge.net.discovery_watch import PollError, PollTimeoutError
from gaugehinge.net.dispatcher import Dispatcher
from gaugehinge.net.endpoint_list import EndpointListUpdate
from gaugehinge.net.timer_queue import TimerQueue
from gaugehinge.settings import read_settings
from tests.helper import SETTINGS

TOLD_AFTER = 6.0  # seconds after discovery had a change and could be reached, whatever failed before
MARGIN = 0.5  # for the list's own way, of that
NOBODY = SimpleNamespace(on_endpoints_changed=lambda update: None, pending=())


class Outage:
    """A discovery of all routers that is down from one time to another, and fails calls in a stated way.

    `behind`: it comes back in the instant after so many calls of the outage went out, which is the worst one.
    """

    def __init__(self, start: float, end: float, mode: str, behind: int = 0, capacity: float = 0.0) -> None:
        self.start, self.end, self.mode, self.capacity = start, end, mode, capacity
        self.behind, self.failed = behind, 0
        self.rev, self.changed = 1, trio.Event()
        self.queue: deque[trio.Event] = deque()  # calls that wait for their turn, where capacity is limited
        self.calls: list[float] = []

    def down(self) -> bool:
        return self.start <= trio.current_time() < self.end

    async def change(self) -> None:
        """Amid the outage something changes."""
        await trio.sleep_until(self.start + 0.01)
        self.rev += 1
        self.changed.set()
        self.changed = trio.Event()

    async def turn(self) -> bool:
        """Wait for this call's turn, for a second at most; False: discovery is over capacity."""
        mine = trio.Event()
        self.queue.append(mine)
        with trio.move_on_after(1.0):
            await mine.wait()
            return True
        self.queue.remove(mine)
        return False

    async def work(self) -> None:
        """Take calls in turn, so many a second."""
        while True:
            await trio.sleep(1.0 / self.capacity)
            if self.queue:
                self.queue.popleft().set()


class Call:
    """What stands for one router's connection to it."""

    def __init__(self, service: Outage) -> None:
        self.service = service
        self.goes_on = -1.0  # until when a further call goes on with this watch: it costs little

    async def poll(self, target: str, time_limit: float) -> EndpointListUpdate:
        service, began = self.service, trio.current_time()
        wait = float(target.rpartition("wait=")[2]) / 1000 if "wait=" in target else 0.0
        since = int(target.partition("index=")[2].partition("&")[0]) if "index=" in target else 0
        new, self.goes_on = began > self.goes_on, -1.0
        if new:
            service.calls.append(began)
        if service.down():
            await self._fail(began + time_limit)
        with trio.move_on_at(began + time_limit):
            if service.capacity and new and not await service.turn():
                raise PollError
            with trio.move_on_after(min(wait, max(service.start - trio.current_time(), 0.0))):
                while service.rev == since:
                    await service.changed.wait()
            if not service.down():
                self.goes_on = trio.current_time() + 0.2
                return EndpointListUpdate(service.rev, False, ())
            if service.mode == "refused":
                raise PollError  # what stood open is reset
            await trio.sleep_forever()
        raise PollTimeoutError

    async def _fail(self, last: float) -> NoReturn:
        service = self.service
        service.failed += 1
        if service.failed == service.behind:
            service.end = trio.current_time() + 1e-6
        if service.mode == "silent":
            await trio.sleep_until(last)
            raise PollTimeoutError
        if service.mode == "503 after 1 s":
            await trio.sleep(1.0)
        raise PollError

    def close(self) -> None:
        pass


def play(service: Outage, routers: int, monkeypatch, ask_within: float, seed: int) -> list[float]:
    """When each of the routers heard of the change."""
    heard: dict[int, float] = {}
    all_heard = trio.Event()

    def start(nursery: trio.Nursery, number: int) -> None:
        told = read_settings(seed * 1000 + number, SETTINGS).deployment
        timers = TimerQueue(trio.current_time)
        dispatcher = Dispatcher(replace(told, must_poll=True, poll_deadline=ask_within), timers)

        def hear(update: EndpointListUpdate) -> None:
            dispatcher.on_endpoints_changed(update)
            if update.rev == 2:
                heard.setdefault(number, trio.current_time())
            if len(heard) == routers:
                all_heard.set()

        own = seed * 1000 + number
        discovery = DiscoveryClient(
            nursery, timers, ("127.0.0.1", 1), 0, hear, dispatcher.on_poll_failed, own
        )
        dispatcher.connect(NOBODY, discovery.start_watch, lambda *told: None)
        dispatcher.start_background_tasks()
        nursery.start_soon(timers.run)

    async def main() -> None:
        monkeypatch.setattr(module, "Watch", lambda where, timers: Call(service))
        async with trio.open_nursery() as nursery:
            if service.capacity:
                nursery.start_soon(service.work)
            nursery.start_soon(service.change)
            for number in range(routers):
                start(nursery, number)
            with trio.move_on_after(300.0):
                await all_heard.wait()
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(heard) == routers
    return [heard[number] - service.end for number in range(routers)]


@pytest.mark.parametrize("ask_within", [5.0, 10.0, 60.0])
@pytest.mark.parametrize("mode", ["refused", "silent", "503 after 1 s"])
def test_whatever_failed_before_a_change_is_known_before_it_counts_as_told(monkeypatch, mode, ask_within):
    for seed in range(60):
        outage = Outage(1.0 + 0.13 * seed, inf, mode, behind=1 + seed % 8)
        late = max(play(outage, 1, monkeypatch, ask_within, seed))
        assert late < TOLD_AFTER - MARGIN, (seed, late)


@pytest.mark.parametrize("mode", ["refused", "silent", "503 after 1 s"])
def test_two_hundred_that_come_back_together_all_hear_in_time_and_not_in_one_instant(monkeypatch, mode):
    outage = Outage(2.0, 8.0, mode, capacity=60.0)
    late = play(outage, 200, monkeypatch, 10.0, 1)
    assert max(late) < TOLD_AFTER  # one call for each takes discovery 3.3 s as it is
    back = sorted(at for at in outage.calls if at >= outage.end)
    assert max(sum(at <= each < at + 0.05 for each in back) for at in back[:400]) <= 60
