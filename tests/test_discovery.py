"""Silence of discovery: by when what it missed has to be known, on a played clock and on sockets."""

from __future__ import annotations

import json
from functools import partial

import pytest
import trio
import trio.testing

from gaugehinge.net import discovery as module
from gaugehinge.net import discovery_schedule
from gaugehinge.net.discovery import DiscoveryClient
from gaugehinge.net.discovery_schedule import AGENT_RETRY_DELAY, MAX_RECONNECTS
from gaugehinge.net.discovery_watch import PollError, PollTimeoutError
from gaugehinge.net.endpoint_list import EndpointListUpdate
from gaugehinge.net.lifecycle import Phase
from gaugehinge.net.timer_queue import TimerQueue
from gaugehinge.settings import read_settings
from tests.helper import SETTINGS, fleet

TOLD_AFTER, TOLD_BEHIND_WAIT = 6.0, 2.0  # the operators' clock for silence


class Service:
    """A played discovery: the whole list has version `rev`; `silent(at)` says whether a call that comes then
    (or stands open then) ever gets an answer, `refused(at)` whether it fails at once."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.rev, self.news = 1, trio.Event()
        self.calls: list[tuple[float, float]] = []  # when, and the wait that was asked for
        self.silent_from, self.silent_calls, self.refused = float("inf"), 0, False

    def tell(self) -> None:
        self.rev += 1
        self.news.set()
        self.news = trio.Event()

    async def poll(self, target: str, time_limit: float) -> EndpointListUpdate:
        wait = float(target.rpartition("wait=")[2]) / 1000 if "wait=" in target else 0.0
        since = int(target.partition("index=")[2].partition("&")[0]) if "index=" in target else 0
        self.calls.append((self.clock(), wait))
        if self.refused:
            raise PollError
        mute = self.silent_calls > 0 and self.clock() >= self.silent_from
        if not mute:
            with trio.move_on_after(min(wait, max(self.silent_from - self.clock(), 0.0))) as limit:
                while self.rev == since:
                    await self.news.wait()
            mute = limit.cancelled_caught and self.clock() >= self.silent_from and self.silent_calls > 0
        if mute:
            self.silent_calls -= 1
            await trio.sleep_until(self.calls[-1][0] + time_limit)
            raise PollTimeoutError
        return EndpointListUpdate(self.rev, False, ())

    def close(self) -> None:
        pass


def play(scene, monkeypatch, seed: int = 1, near: bool = False):
    """A discovery that heard its first list, before a played service, on a clock that jumps."""

    async def main():
        service = Service(trio.current_time)
        monkeypatch.setattr(module, "Watch", lambda where, timers: service)
        heard, failed = [], []
        async with trio.open_nursery() as nursery:
            made = DiscoveryClient(
                nursery,
                TimerQueue(trio.current_time),
                ("127.0.0.1", 1),
                0,
                lambda update: heard.append((trio.current_time(), update.rev)),
                lambda: failed.append(trio.current_time()),
                seed,
                near,
            )
            made.start_watch()
            await scene(service, heard, failed)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("times", [1, 2])
def test_news_behind_a_silence_arrives_before_it_counts_as_told(monkeypatch, times):
    for seed in range(40):

        async def scene(service, heard, failed, seed=seed):
            await trio.sleep(5.0 + seed * 0.13)
            last, wait = service.calls[-1]
            # Falls silent now, with its next call, or amid this one: news of then is missed.
            service.silent_from = began = [trio.current_time(), last + wait][seed % 2]
            service.silent_calls = times
            await trio.sleep_until(began + 0.001)
            service.tell()
            told = max(began + TOLD_AFTER, sum(service.calls[-1]) + TOLD_BEHIND_WAIT)
            await trio.sleep(12.0)
            arrived = next(at for at, rev in heard if rev == service.rev)
            assert arrived < told - 0.5, (seed, arrived - began)
            assert not failed

        play(scene, monkeypatch, seed)


def test_many_that_fall_silent_in_one_instant_do_not_come_back_in_one(monkeypatch):
    back = []
    for seed in range(200):

        async def scene(service, heard, failed):
            await trio.sleep(1.0)
            service.tell()  # wakes all of a fleet: from here on their calls go out together
            service.silent_from, service.silent_calls = trio.current_time() + 0.1, 1
            before = len(service.calls) + 1
            await trio.sleep(8.0)
            back.append(service.calls[before][0])

        play(scene, monkeypatch, seed)
    most = max(sum(at <= each < at + 0.05 for each in back) for at in back)
    assert most <= 60  # of 200, in any 50 ms
    assert max(back) - min(back) > 0.4


def test_a_refusal_and_too_many_silences_are_left_to_the_module(monkeypatch):
    async def refused(service, heard, failed):
        await trio.sleep(1.0)
        service.refused = True
        await trio.sleep(30.0)
        assert len(failed) == 1
        assert service.calls[-1][0] <= failed[0]

    async def silent(service, heard, failed):
        await trio.sleep(1.0)
        service.silent_from, service.silent_calls = trio.current_time(), 10**6
        before = len(service.calls)
        await trio.sleep(60.0)
        assert len(failed) == 1
        assert len(service.calls) <= before + 1 + MAX_RECONNECTS

    play(refused, monkeypatch)
    play(silent, monkeypatch)


def test_an_agent_at_hand_is_asked_again_at_once_after_an_outage(monkeypatch):
    async def scene(service, heard, failed):
        await trio.sleep(1.0)
        service.refused = True
        await trio.sleep(20.0)
        service.tell()
        service.refused, back = False, trio.current_time()
        await trio.sleep(1.0)
        arrived = next(at for at, rev in heard if rev == service.rev)
        assert arrived <= back + AGENT_RETRY_DELAY
        assert not failed

    play(scene, monkeypatch, near=True)


def test_a_silence_on_sockets_at_connect_after_the_request_and_amid_the_body(tmp_path, monkeypatch):
    """Each call of a kind is silent in its way once, then the list comes, indented and in pieces."""
    monkeypatch.setattr(discovery_schedule, "INITIAL_GRACE", 0.3)
    monkeypatch.setattr(discovery_schedule, "RECONNECT_GRACE", 0.3)
    told = {
        "rev": 5,
        "all": True,
        "targets": [
            {
                "uid": "s-9",
                "endpoint": "127.0.0.1:9",
                "az": "a",
                "model": "std",
                "pod_group": 0,
                "state": "ready",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
        ],
    }
    body = json.dumps(told, indent=4).encode()
    calls = []

    async def silent_at_first(stream) -> None:
        calls.append(await stream.receive_some() if len(calls) else b"")
        number = len(calls)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        if number <= 2:
            await trio.sleep_forever()
        await stream.send_all(head + body[:40])
        if number == 3:
            await trio.sleep_forever()
        for i in range(40, len(body), 100):
            await trio.sleep(0.002)
            await stream.send_all(body[i : i + 100])
        await trio.sleep_forever()

    async def main():
        heard, failed = [], []
        async with trio.open_nursery() as nursery:
            timers = TimerQueue(trio.current_time)
            nursery.start_soon(timers.run)
            [listener] = await nursery.start(partial(trio.serve_tcp, silent_at_first, 0, host="127.0.0.1"))
            made = DiscoveryClient(
                nursery,
                timers,
                listener.socket.getsockname(),
                1,
                heard.append,
                lambda: (failed.append(1), made.start_watch()),
            )
            made.start_watch()
            with trio.fail_after(60):
                while not heard:
                    await trio.sleep(0.01)
            assert len(failed) == 1  # after as many silences in a row as are not the module's matter
            assert heard[0].rev == 5
            assert heard[0].targets[0].uid == "s-9"
            assert len(calls) == 4
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_where_lists_are_pushed_a_new_router_first_asks_the_agent(tmp_path):
    told = {**SETTINGS, "discovery": "pushed"}
    assert read_settings(1, told).endpoints_pushed
    assert not read_settings(1, SETTINGS).endpoints_pushed
    asked = []

    def agent(method, target, headers, body):
        asked.append(target)
        if "index" in target:
            return "stall"
        entry = {
            "uid": "s-0",
            "state": "draining",
            "endpoint": "127.0.0.1:9",
            "az": "a",
            "model": "std",
            "pod_group": 0,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        return 200, "", json.dumps({"rev": 9, "all": True, "targets": [entry]}).encode()

    async def main():
        async with fleet(tmp_path, discovery=agent, settings=told) as made:
            client = await made.client()
            answer = await client.get()
            while made.service.lifecycle.phase is not Phase.READY:
                await trio.sleep(0.01)
            # The list kept from before has it ready: by that one, the drain would have been broken.
            assert answer.startswith(b"-BUSY")
            assert not made.caches[0].commands
            assert (await client.get("k2", "j2")).startswith(b"-BUSY")
            assert not made.caches[0].commands
            assert asked[0] == "/discovery/hosts"

    trio.run(main)


def test_without_a_word_of_the_agent_the_list_kept_before_serves(tmp_path, monkeypatch):
    from gaugehinge.net import startup

    monkeypatch.setattr(startup, "STARTUP_TIMEOUT", 0.2)

    async def main():
        async with fleet(tmp_path, settings={**SETTINGS, "discovery": "pushed"}) as made:
            client = await made.client()
            assert (await client.get()).startswith(b"-BUSY")
            while made.service.lifecycle.phase is not Phase.READY:
                await trio.sleep(0.01)
            assert (await client.get("k2", "j2")).startswith(b"$")

    trio.run(main)
