"""Discovery falls silent: a missed change arrives in time, on a simulated clock and on sockets."""

from __future__ import annotations

import json
from functools import partial

import pytest
import trio
import trio.testing

from gaugehinge.net import discovery as discovery_module
from gaugehinge.net import discovery_schedule
from gaugehinge.net.discovery import DiscoveryClient
from gaugehinge.net.discovery_schedule import AGENT_RETRY_DELAY, MAX_RECONNECTS
from gaugehinge.net.discovery_watch import PollError, PollTimeoutError
from gaugehinge.net.endpoint_list import EndpointListUpdate
from gaugehinge.net.lifecycle import Phase
from gaugehinge.net.timer_queue import TimerQueue
from gaugehinge.settings import read_settings
from tests.helper import SETTINGS, fleet

NOTIFIED_AFTER, NOTIFIED_AFTER_WAIT = (
    6.0,
    2.0,
)  # seconds until a change missed by a silent watch counts as notified


class FakeDiscovery:
    """A simulated discovery, whose whole list has version `rev`.

    From `silent_from` on, `silent_calls` polls that arrive or are open get no answer. While `refused` is set,
    polls fail at once.
    """

    def __init__(self, clock) -> None:
        self.clock = clock
        self.rev, self.changed = 1, trio.Event()
        self.calls: list[tuple[float, float]] = []  # time, and requested wait
        self.silent_from, self.silent_calls, self.refused = float("inf"), 0, False

    def change(self) -> None:
        self.rev += 1
        self.changed.set()
        self.changed = trio.Event()

    async def poll(self, target: str, time_limit: float) -> EndpointListUpdate:
        wait = float(target.rpartition("wait=")[2]) / 1000 if "wait=" in target else 0.0
        since = int(target.partition("index=")[2].partition("&")[0]) if "index=" in target else 0
        self.calls.append((self.clock(), wait))
        if self.refused:
            raise PollError
        silent = self.silent_calls > 0 and self.clock() >= self.silent_from
        if not silent:
            with trio.move_on_after(min(wait, max(self.silent_from - self.clock(), 0.0))) as limit:
                while self.rev == since:
                    await self.changed.wait()
            silent = limit.cancelled_caught and self.clock() >= self.silent_from and self.silent_calls > 0
        if silent:
            self.silent_calls -= 1
            await trio.sleep_until(self.calls[-1][0] + time_limit)
            raise PollTimeoutError
        return EndpointListUpdate(self.rev, False, ())

    def close(self) -> None:
        pass


def run_scenario(scenario, monkeypatch, seed: int = 1, local_agent: bool = False):
    """Run a client that has its first list against a simulated service, on a clock that jumps."""

    async def main():
        service = FakeDiscovery(trio.current_time)
        monkeypatch.setattr(discovery_module, "Watch", lambda address, timers: service)
        received, failures = [], []
        async with trio.open_nursery() as nursery:
            client = DiscoveryClient(
                nursery,
                TimerQueue(trio.current_time),
                ("127.0.0.1", 1),
                0,
                lambda update: received.append((trio.current_time(), update.rev)),
                lambda: failures.append(trio.current_time()),
                seed,
                local_agent,
            )
            client.start_watch()
            await scenario(service, received, failures)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("times", [1, 2])
def test_a_change_missed_during_a_silence_arrives_before_it_counts_as_notified(monkeypatch, times):
    for seed in range(40):

        async def scenario(service, received, failures, seed=seed):
            await trio.sleep(5.0 + seed * 0.13)
            last, wait = service.calls[-1]
            # Falls silent now, within the open poll, or when its wait ends: a change after that is missed.
            service.silent_from = silent_from = [trio.current_time(), last + wait][seed % 2]
            service.silent_calls = times
            await trio.sleep_until(silent_from + 0.001)
            service.change()
            deadline = max(silent_from + NOTIFIED_AFTER, sum(service.calls[-1]) + NOTIFIED_AFTER_WAIT)
            await trio.sleep(12.0)
            arrived = next(at for at, rev in received if rev == service.rev)
            assert arrived < deadline - 0.5, (seed, arrived - silent_from)
            assert not failures

        run_scenario(scenario, monkeypatch, seed)


def test_many_watches_that_time_out_together_do_not_reconnect_together(monkeypatch):
    reconnects = []
    for seed in range(200):

        async def scenario(service, received, failures):
            await trio.sleep(1.0)
            service.change()  # wakes the whole fleet: from here on its polls are sent together
            service.silent_from, service.silent_calls = trio.current_time() + 0.1, 1
            before = len(service.calls) + 1
            await trio.sleep(8.0)
            reconnects.append(service.calls[before][0])

        run_scenario(scenario, monkeypatch, seed)
    most = max(sum(at <= each < at + 0.05 for each in reconnects) for at in reconnects)
    assert most <= 60  # of 200, in any 50 ms
    assert max(reconnects) - min(reconnects) > 0.4


def test_a_refusal_and_too_many_timeouts_are_left_to_the_decision_module(monkeypatch):
    async def refused(service, received, failures):
        await trio.sleep(1.0)
        service.refused = True
        await trio.sleep(30.0)
        assert len(failures) == 1
        assert service.calls[-1][0] <= failures[0]

    async def silent(service, received, failures):
        await trio.sleep(1.0)
        service.silent_from, service.silent_calls = trio.current_time(), 10**6
        before = len(service.calls)
        await trio.sleep(60.0)
        assert len(failures) == 1
        assert len(service.calls) <= before + 1 + MAX_RECONNECTS

    run_scenario(refused, monkeypatch)
    run_scenario(silent, monkeypatch)


def test_a_local_agent_is_polled_again_at_once_after_an_outage(monkeypatch):
    async def scenario(service, received, failures):
        await trio.sleep(1.0)
        service.refused = True
        await trio.sleep(20.0)
        service.change()
        service.refused, available_at = False, trio.current_time()
        await trio.sleep(1.0)
        arrived = next(at for at, rev in received if rev == service.rev)
        assert arrived <= available_at + AGENT_RETRY_DELAY
        assert not failures

    run_scenario(scenario, monkeypatch, local_agent=True)


def test_discovery_on_sockets_silent_at_connect_after_the_request_and_within_the_body(tmp_path, monkeypatch):
    """Discovery is silent once at each of these points; then the list comes, indented and in pieces."""
    monkeypatch.setattr(discovery_schedule, "INITIAL_GRACE", 0.3)
    monkeypatch.setattr(discovery_schedule, "RECONNECT_GRACE", 0.3)
    endpoint_list = {
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
    body = json.dumps(endpoint_list, indent=4).encode()
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
        received, failures = [], []
        async with trio.open_nursery() as nursery:
            timers = TimerQueue(trio.current_time)
            nursery.start_soon(timers.run)
            [listener] = await nursery.start(partial(trio.serve_tcp, silent_at_first, 0, host="127.0.0.1"))
            client = DiscoveryClient(
                nursery,
                timers,
                listener.socket.getsockname(),
                1,
                received.append,
                lambda: (failures.append(1), client.start_watch()),
            )
            client.start_watch()
            with trio.fail_after(60):
                while not received:
                    await trio.sleep(0.01)
            assert len(failures) == 1  # only after more timeouts in a row than the client reconnects for
            assert received[0].rev == 5
            assert received[0].targets[0].uid == "s-9"
            assert len(calls) == 4
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_where_lists_are_pushed_a_new_router_polls_the_agent_first(tmp_path):
    settings = {**SETTINGS, "discovery": "pushed"}
    assert read_settings(1, settings).endpoints_pushed
    assert not read_settings(1, SETTINGS).endpoints_pushed
    targets = []

    def agent(method, target, headers, body):
        targets.append(target)
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
        async with fleet(tmp_path, discovery=agent, settings=settings) as running:
            client = await running.client()
            reply = await client.get()
            while running.service.lifecycle.phase is not Phase.READY:
                await trio.sleep(0.01)
            # The cached list has the server as ready: using it would have violated the drain.
            assert reply.startswith(b"-BUSY")
            assert not running.caches[0].commands
            assert (await client.get("k2", "j2")).startswith(b"-BUSY")
            assert not running.caches[0].commands
            assert targets[0] == "/discovery/hosts"

    trio.run(main)


def test_without_an_answer_of_the_agent_the_cached_list_is_used(tmp_path, monkeypatch):
    from gaugehinge.net import startup

    monkeypatch.setattr(startup, "STARTUP_TIMEOUT", 0.2)

    async def main():
        async with fleet(tmp_path, settings={**SETTINGS, "discovery": "pushed"}) as running:
            client = await running.client()
            assert (await client.get()).startswith(b"-BUSY")
            while running.service.lifecycle.phase is not Phase.READY:
                await trio.sleep(0.01)
            assert (await client.get("k2", "j2")).startswith(b"$")

    trio.run(main)
