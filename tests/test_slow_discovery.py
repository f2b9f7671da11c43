"""Discovery answers late, in turn, or on some connections not at all: changes are known in time."""

from __future__ import annotations

import random
from functools import partial

import pytest
import trio
import trio.testing

from gaugehinge.net import discovery as discovery_module
from gaugehinge.net.discovery import DiscoveryClient
from gaugehinge.net.endpoint_list import EndpointListUpdate
from gaugehinge.net.timer_queue import TimerQueue
from tests.late_discovery import NEW, OLD, SERVERS, Service, World, play

NOTIFIED_AFTER = 6.0  # seconds after which a change counts as notified
IN_TURN_ORDERS = 3  # in which a service may work through polls that come at the same time


def longest_delay(monkeypatch, seeds: int = 3, changes: int = 6, is_silent: bool = False, **options) -> float:
    """The longest time until a change is known. `is_silent`: open watches fall silent before each."""
    delays = []

    async def scene(world: World, service: Service) -> None:
        await trio.sleep(20.0 + random.Random(seed).uniform(0.0, 5.0))
        for number in range(changes):
            if is_silent:
                service.silent_at = trio.current_time()
            delays.append(await world.delay_of_change(service, OLD, 14.0 + 0.61 * number))

    for seed in range(seeds):
        play(monkeypatch, scene, seed, **options)
    return max(delays)


@pytest.mark.parametrize("answer_time", [0.0, 1.0, 1.4, 2.0, 2.5, 3.0, 3.5, 4.0, 4.5, 5.0])
def test_a_change_is_known_in_time_from_a_service_that_answers_late(monkeypatch, answer_time):
    """From 2.5 s on no list was ever taken: each poll was given up before its answer came."""
    assert longest_delay(monkeypatch, answer_time=lambda: answer_time) < NOTIFIED_AFTER


@pytest.mark.parametrize("answer_time", [1.0, 2.0, 3.0, 3.5])
@pytest.mark.parametrize("is_silent", [False, True], ids=["answered", "silent"])
def test_a_change_that_a_late_answer_or_a_silent_watch_misses_is_known_in_time(
    monkeypatch, answer_time, is_silent
):
    options = {"answer_time": lambda: answer_time, "reads_early": True, "is_silent": is_silent}
    assert longest_delay(monkeypatch, **options) < NOTIFIED_AFTER


@pytest.mark.parametrize("longest", [2.0, 3.0, 5.0])
def test_a_change_is_known_in_time_while_answer_times_change(monkeypatch, longest):
    draws = random.Random(4)
    assert longest_delay(monkeypatch, answer_time=lambda: draws.uniform(0.0, longest)) < NOTIFIED_AFTER
    assert longest_delay(monkeypatch, answer_time=lambda: draws.choice([0.0, longest])) < NOTIFIED_AFTER


@pytest.mark.parametrize("answer_time", [3.0, 5.0, 12.0])
def test_a_service_that_becomes_slow_and_fast_again_is_followed(monkeypatch, answer_time):
    """Slow for 30 s; behind that a silent watch is noticed as before."""
    delays = []

    async def scene(world: World, service: Service) -> None:
        for _ in range(3):
            await trio.sleep(10.3)
            service.answer_time = lambda: answer_time
            delays.append(await world.delay_of_change(service, OLD, 30.0))
            service.answer_time = lambda: 0.0
            await trio.sleep(15.0)
            service.silent_at = trio.current_time()
            assert await world.delay_of_change(service, OLD) < NOTIFIED_AFTER

    play(monkeypatch, scene)
    assert max(delays) < max(NOTIFIED_AFTER, answer_time + 0.5)


@pytest.mark.parametrize(
    ("routers", "work"),
    [(3, 1.0), (3, 1.6), (4, 1.25), (5, 1.0), (10, 0.2), (10, 0.35), (10, 0.5), (30, 0.05), (30, 0.15)],
)
def test_many_routers_whose_polls_are_answered_in_turn_know_a_change_in_time(monkeypatch, routers, work):
    """A poll that is given up still takes its turn, so that all later ones come later.

    The polls that routers had sent beside others kept the queue so long that a change took up to 6.8 s.
    """
    for order in range(IN_TURN_ORDERS):
        options = {"routers": routers, "work": work, "order": order}
        assert longest_delay(monkeypatch, 2, 4, **options) < NOTIFIED_AFTER


@pytest.mark.parametrize(("routers", "work"), [(3, 1.0), (3, 1.6), (10, 0.35), (10, 0.5), (30, 0.1)])
def test_a_change_soon_after_many_routers_started_is_known_in_time(monkeypatch, routers, work):
    """Their first polls tell the service's answer time too late, and a second one is sent beside each."""
    delays = []

    async def scene(world: World, service: Service) -> None:
        await trio.sleep(random.Random(seed).uniform(5.0, 16.0))
        delays.append(await world.delay_of_change(service, OLD, 20.0))

    for seed in range(4):
        play(monkeypatch, scene, seed, routers=routers, work=work)
    assert max(delays) < NOTIFIED_AFTER


@pytest.mark.parametrize(("routers", "work"), [(3, 1.0), (3, 1.6), (10, 0.35), (10, 0.5)])
def test_a_change_soon_after_a_fast_service_became_slow_is_known_in_time(monkeypatch, routers, work):
    """The polls that look overdue by the answers of before come all at once."""
    delays = []

    async def scene(pause: float, world: World, service: Service) -> None:
        await trio.sleep(10.0 + random.Random(seed).uniform(0.0, 3.0))
        service.work = work
        await trio.sleep(pause)
        delays.append(await world.delay_of_change(service, OLD, 25.0))

    for seed in range(3):
        for pause in (0.0, 3.0, 6.0, 12.0):
            play(monkeypatch, partial(scene, pause), seed, routers=routers)
    assert max(delays) < NOTIFIED_AFTER


@pytest.mark.parametrize(("routers", "work"), [(3, 0.3), (3, 1.0), (10, 0.2)])
def test_a_silent_watch_of_a_service_that_answers_in_turn_is_noticed_in_time(monkeypatch, routers, work):
    options = {"routers": routers, "work": work, "is_silent": True}
    assert longest_delay(monkeypatch, 2, 4, **options) < NOTIFIED_AFTER


@pytest.mark.parametrize("answer_time", [0.0, 0.3, 1.4])
@pytest.mark.parametrize("duration", [3.0, 6.0, 30.0])
def test_a_change_is_known_in_time_behind_a_silence_of_the_whole_service(monkeypatch, answer_time, duration):
    """Polls are sent less and less often while none is answered, and the last of them may be lost as well."""
    delays = []

    async def scene(world: World, service: Service) -> None:
        await trio.sleep(10.0)
        service.answer_time = lambda: 1e9
        await trio.sleep(duration + random.Random(seed).uniform(0.0, 6.0))
        service.silent_at, service.answer_time = trio.current_time(), lambda: answer_time
        delays.append(await world.delay_of_change(service, OLD, 40.0))

    for seed in range(5):
        play(monkeypatch, scene, seed)
    assert max(delays) < NOTIFIED_AFTER


@pytest.mark.parametrize("answer_time", [0.0, 1.4, 3.0, 5.0, 20.0, 45.0])
def test_a_router_without_a_list_gets_one_at_any_answer_time(monkeypatch, answer_time):
    async def scene(world: World, service: Service) -> None:
        await trio.sleep(60.0)
        assert world.routers[0].known_at(OLD, 1) < answer_time + 0.5

    play(monkeypatch, scene, version=None, answer_time=lambda: answer_time)


@pytest.mark.parametrize(("routers", "work"), [(3, 1.0), (10, 0.5), (30, 0.1)])
def test_many_routers_without_a_list_get_one_by_their_first_polls(monkeypatch, routers, work):
    async def scene(world: World, service: Service) -> None:
        await trio.sleep(20.0)
        assert world.delay_until_known(OLD, 1, 0.0) < routers * work + 0.5

    play(monkeypatch, scene, routers=routers, version=None, work=work)


@pytest.mark.parametrize("answer_time", [1.4, 5.0, 9.0])
def test_a_router_whose_polls_were_all_lost_is_not_locked_out(monkeypatch, answer_time):
    """The service says nothing for 30 s and answers late from then on, on new connections alone."""

    async def scene(world: World, service: Service) -> None:
        await trio.sleep(10.0)
        service.answer_time = lambda: 1e9
        await trio.sleep(30.0)
        service.silent_at, service.answer_time = trio.current_time(), lambda: answer_time
        assert await world.delay_of_change(service, OLD, 40.0) < 4.5 + 2 * answer_time

    play(monkeypatch, scene)


@pytest.mark.parametrize("answer_time", [0.0, 1.0, 2.0])
def test_a_restarted_service_whose_versions_begin_anew_is_followed_in_time(monkeypatch, answer_time):
    """An older whole list has to come twice; it is polled for the second time before it came once."""

    async def scene(world: World, service: Service) -> None:
        await trio.sleep(20.0)
        service.stop()
        service.version, service.is_down = 3, False
        restarted_at = trio.current_time()
        await trio.sleep(10.0)
        [router] = world.routers
        first = next(at for at, _, known in router.accepted if at >= restarted_at and known == 3)
        assert first - restarted_at < NOTIFIED_AFTER
        assert await world.delay_of_change(service, OLD) < NOTIFIED_AFTER

    for seed in range(5):
        play(monkeypatch, scene, seed, version=40, answer_time=lambda: answer_time)


def test_polls_that_are_no_longer_needed_are_closed(monkeypatch):
    async def scene(world: World, service: Service) -> None:
        await trio.sleep(10.0)
        for _ in range(3):
            service.silent_at = trio.current_time()
            await trio.sleep(8.0)
            assert service.in_flight <= 1
        world.routers[0].client.move(NEW)
        world.serve(NEW)
        await trio.sleep(0.1)
        assert service.in_flight == 0

    play(monkeypatch, scene)


def test_changes_since_a_version_of_before_the_numbers_began_anew_are_not_taken(monkeypatch):
    """An agent that restarted sent the whole list late, and then nothing since 40, though at version 5."""
    targets: list[str] = []

    class RestartedAgent:
        async def poll(self, target: str, time_limit: float) -> EndpointListUpdate:
            targets.append(target.partition("&")[0])
            if "index" not in target:
                await trio.sleep(3.0)
                return EndpointListUpdate(3, True, SERVERS)
            await trio.sleep(3.0)
            return EndpointListUpdate(5, False, ())

        def close(self) -> None:
            pass

    async def main() -> None:
        monkeypatch.setattr(discovery_module, "Watch", lambda address, timers: RestartedAgent())
        async with trio.open_nursery() as nursery:
            timers = TimerQueue(trio.current_time)
            client = DiscoveryClient(nursery, timers, OLD, 40, lambda update: None, lambda: None, 1, True)
            monkeypatch.setattr(client, "_may_be_restarted", True)
            client._schedule.schedule_restart_check(-10.0)
            client.start_watch()
            await trio.sleep(6.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert targets[:2] == ["/discovery/hosts", "/discovery/hosts?index=40"]
    assert "/discovery/hosts?index=3" in targets
