"""Discovery moves (SIGHUP) and answers late: what it has is known in time, and so are all later changes."""

from __future__ import annotations

import random

import pytest
import trio

from tests.late_discovery import NEW, NEWEST, Service, World, play

NOTIFIED_AFTER = 6.0  # seconds after which a change counts as notified
NOTIFIED_AFTER_MOVE = 4.0  # seconds after the order to follow discovery at another address


def delays_of_moves(
    monkeypatch,
    orders: int,
    begins_anew: bool,
    answer_time: float = 0.0,
    was_fast: bool = False,
    pause: float = 1.2,
    seeds: int = 5,
    **options,
) -> tuple[float, float]:
    """The longest times until the last address's list is known, and until later changes are.

    `was_fast`: the first address answers at once. `pause`: seconds between the two orders, if there are two.
    """
    to_list, to_change = [], []
    version = 40 if begins_anew else 1
    later = {"version": 3 if begins_anew else 2, "answer_time": lambda: answer_time, **options}
    later.pop("routers", None)

    async def scene(world: World, service: Service) -> None:
        services = {address: world.serve(address, **later) for address in (NEW, NEWEST)}
        await trio.sleep(20.0 + random.Random(seed).uniform(0.0, 5.0))
        for address in (NEW, NEWEST)[:orders]:
            for router in world.routers:
                router.move(address)
            ordered_at = trio.current_time()
            await trio.sleep(pause)
        await trio.sleep(10.0)
        known_at = max(router.known_at(address, later["version"]) for router in world.routers)
        to_list.append(known_at - ordered_at)
        for number in range(3):
            to_change.append(await world.delay_of_change(services[address], address, 12.0 + 0.61 * number))

    first = {**options, "answer_time": lambda: 0.0 if was_fast else answer_time}
    for seed in range(seeds):
        play(monkeypatch, scene, seed, version=version, **first)
    return max(to_list), max(to_change)


@pytest.mark.parametrize("answer_time", [0.0, 1.0, 1.4, 1.8, 2.5, 3.0])
@pytest.mark.parametrize("orders", [1, 2])
@pytest.mark.parametrize("begins_anew", [False, True], ids=["continues", "anew"])
def test_the_list_of_a_late_service_at_another_address_is_known_in_time(
    monkeypatch, answer_time, orders, begins_anew
):
    """Behind one order no list that came 1.4 s late was ever taken: the first grace was cut for good."""
    to_list, to_change = delays_of_moves(monkeypatch, orders, begins_anew, answer_time)
    assert to_list < NOTIFIED_AFTER_MOVE
    assert to_change < NOTIFIED_AFTER


@pytest.mark.parametrize(
    ("answer_time", "begins_anew"), [(1.4, False), (1.4, True), (1.8, True), (3.0, False)]
)
def test_a_late_service_in_place_of_a_fast_one_is_known_in_time(monkeypatch, answer_time, begins_anew):
    to_list, to_change = delays_of_moves(monkeypatch, 1, begins_anew, answer_time, was_fast=True)
    assert to_list < NOTIFIED_AFTER_MOVE
    assert to_change < NOTIFIED_AFTER


@pytest.mark.parametrize("pause", [0.3, 2.5])
def test_an_order_soon_behind_another_is_known_in_time(monkeypatch, pause):
    to_list, to_change = delays_of_moves(monkeypatch, 2, False, 3.0, pause=pause)
    assert to_list < NOTIFIED_AFTER_MOVE
    assert to_change < NOTIFIED_AFTER


@pytest.mark.parametrize(
    ("routers", "work", "begins_anew"),
    [(3, 1.0, False), (3, 0.4, True), (10, 0.3, False), (10, 0.1, True), (30, 0.1, False), (30, 0.03, True)],
)
@pytest.mark.parametrize("orders", [1, 2])
def test_many_routers_that_are_answered_in_turn_know_the_list_in_time(
    monkeypatch, routers, work, begins_anew, orders
):
    options = {"routers": routers, "work": work, "seeds": 2}
    to_list, to_change = delays_of_moves(monkeypatch, orders, begins_anew, **options)
    assert to_list < NOTIFIED_AFTER_MOVE
    assert to_change < NOTIFIED_AFTER


@pytest.mark.parametrize("answer_time", [5.0, 8.0, 20.0])
@pytest.mark.parametrize("begins_anew", [False, True], ids=["continues", "anew"])
def test_no_answer_time_at_another_address_locks_a_router_out(monkeypatch, answer_time, begins_anew):
    """No list can be known in time then; each is as soon as it was answered for the second time."""

    async def scene(world: World, service: Service) -> None:
        later = world.serve(NEW, version=3 if begins_anew else 42, answer_time=lambda: answer_time)
        await trio.sleep(10.0)
        world.routers[0].move(NEW)
        ordered_at = trio.current_time()
        await trio.sleep(70.0)
        assert world.delay_until_known(NEW, 0, ordered_at) < 2 * answer_time + 2.0
        assert await world.delay_of_change(later, NEW, 70.0) < 2 * answer_time + 2.0

    play(monkeypatch, scene, version=41)
