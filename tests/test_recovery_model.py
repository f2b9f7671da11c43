"""The state machine of gaugehinge.recovery.restart_scope, searched whole in a small world: three routers in two
zones, a keeper, messages that are lost, late and told twice also over a loss, single ends and losses of all;
then ordered ends, whose words come late or never, beside losses of one and of a zone with its servers.
What each router claims is held against what truly was. Mutants of the machine are found by the same search.
"""

from __future__ import annotations

from collections import deque
from functools import lru_cache
from typing import NamedTuple

import pytest

from gaugehinge.recovery import restart_scope
from gaugehinge.recovery.restart_scope import PeerMessage, TierView, Verdict

N = 3
ZONES = (1, 1, 2)
BOUND = 2.0  # ticks
SLACK = 2  # ticks: heard within one before the snapshot, which is written each tick


class Disk(NamedTuple):
    run: int = 0
    known: tuple[int, ...] = (0,) * N
    lately: tuple[int, ...] = (-1,) * N
    epoch: int = 0
    keeper: int = 0


class Router(NamedTuple):
    mind: TierView | None  # None: it is down
    disk: Disk
    started: int = 0  # tick of the present or last run's start
    ended: int = -1  # of the former run; -1: there was none
    witnesses: int = 0  # mask of peers that lived from that end to our present start
    order: bool = False  # that end was in order: nothing was in hand
    forced: int = -1  # when it ended otherwise last


class World(NamedTuple):
    tick: int
    routers: tuple[Router, ...]
    late: tuple[PeerMessage | None, ...]  # by receiver and sender: the last word of a run that ended
    keeper: int
    ends: int  # so many ends may still come
    marks: int  # drawn so far
    orders: int = 0  # so many routers may still be told to end
    losses: int = 0  # so many times may zone 1 still lose power,
    lost: int = -1  # and when it did last
    words: bool = False  # of late words, only those of ordered ends come


def put(row: tuple, place: int, value) -> tuple:
    return row[:place] + (value,) + row[place + 1 :]


def say(world: World, one: int, other: int, echo=None) -> PeerMessage:
    router = world.routers[one]
    return restart_scope.build_message(router.mind, other, float(world.tick - router.started), echo)


def hear(world: World, told: PeerMessage) -> tuple[World, tuple[int, float] | None]:
    router = world.routers[told.receiver]
    mind, echo = restart_scope.receive_message(router.mind, told, float(world.tick - router.started))
    return world._replace(routers=put(world.routers, told.receiver, router._replace(mind=mind))), echo


def start(world: World, one: int) -> World:
    router = world.routers[one]
    disk = router.disk._replace(run=router.disk.run + 1)
    mind = restart_scope.initial_view(
        one, ZONES[one], disk.run, world.marks + 1, disk.known, disk.lately, BOUND, disk.epoch
    )
    new = router._replace(mind=mind, disk=disk._replace(lately=(-1,) * N), started=world.tick)
    return world._replace(routers=put(world.routers, one, new), marks=world.marks + 1)


def end(world: World, one: int, order: bool = False) -> World:
    """One ends. What it said last to each may still come to them, once or more, at any time."""
    router = world.routers[one]
    if order:
        router = router._replace(mind=restart_scope.begin_shutdown(router.mind, 0))
        world = world._replace(routers=put(world.routers, one, router))
    forced = router.forced if order else world.tick
    alive = sum(1 << n for n, each in enumerate(world.routers) if each.mind is not None and n != one)
    late = tuple(
        say(world, one, n // N) if n % N == one and n // N != one and (order or not world.words) else told
        for n, told in enumerate(world.late)
    )
    routers = [
        each._replace(witnesses=each.witnesses & ~(1 << one)) if each.mind is None else each
        for each in world.routers
    ]
    routers[one] = router._replace(mind=None, ended=world.tick, witnesses=alive, order=order, forced=forced)
    return world._replace(routers=tuple(routers), late=late)


@lru_cache(300_000)  # the same talk takes place in many worlds
def talk(one: Router, other: Router, tick: int, back: bool, lost: int) -> tuple[Router, Router]:
    """One says its word to another, who answers at once where that is due."""
    away, more = restart_scope.downtime(one.mind, other.mind.own_number), {}
    if away is not None and lost < one.started + away[0]:
        more = {"zone_servers_survived": True}  # as its connections to servers prove it
    told = restart_scope.build_message(one.mind, other.mind.own_number, float(tick - one.started), **more)
    mind, echo = restart_scope.receive_message(other.mind, told, float(tick - other.started))
    other = other._replace(mind=mind)
    if echo is not None and back:
        told = restart_scope.build_message(mind, one.mind.own_number, float(tick - other.started), echo)
        one = one._replace(mind=restart_scope.receive_message(one.mind, told, float(tick - one.started))[0])
    return one, other


@lru_cache(300_000)
def written(router: Router, tick: int, keeper: int) -> Router:
    """The end of a tick: a look at the time, and the snapshot."""
    uptime = float(tick - router.started)
    mind = restart_scope.check_deadline(router.mind, uptime)
    known = tuple(max(peer.run, peer.known_run) for peer in mind.peers)
    lately = restart_scope.recently_heard_runs(mind, uptime, 0.0)
    return router._replace(mind=mind, disk=Disk(mind.run, known, lately, mind.epoch, keeper))


def pass_time(world: World, links: frozenset[tuple[int, int]]) -> World:
    """A tick: what passes by the links that are up, then snapshots."""
    tick, routers = world.tick + 1, list(world.routers)
    for one, other in sorted(links):
        if routers[one].mind is not None and routers[other].mind is not None:
            back = (other, one) in links
            routers[one], routers[other] = talk(routers[one], routers[other], tick, back, world.lost)
    for n, router in enumerate(routers):
        if router.mind is not None:
            routers[n] = written(router, tick, world.keeper)
    return world._replace(tick=tick, routers=tuple(routers))


PAIRS = ((0, 1), (0, 2), (1, 2))
CUTS = [
    frozenset(way for n, pair in enumerate(PAIRS) if mask >> n & 1 for way in (pair, pair[::-1]))
    for mask in range(8)
]
ALL_LINKS = CUTS[-1]
CUTS += [ALL_LINKS - {way} for way in sorted(ALL_LINKS)]  # and each one's messages one way only


def steps(world: World, ticks: int, keeper: bool, cuts=CUTS):
    """All that may happen next."""
    if world.tick < ticks:
        for links in cuts:
            yield pass_time(world, links)
    for told in world.late:
        if told is not None and world.routers[told.receiver].mind is not None:
            yield hear(world, told)[0]
    for one, router in enumerate(world.routers):
        if router.mind is None:
            yield start(world, one)
        elif world.ends:
            yield end(world._replace(ends=world.ends - 1), one)
        if keeper and router.mind is not None and router.disk.keeper:
            mind = restart_scope.receive_control_plane(
                router.mind, router.disk.keeper == world.keeper, float(world.tick - router.started)
            )
            yield world._replace(routers=put(world.routers, one, router._replace(mind=mind)))
    for one, router in enumerate(world.routers):
        if world.orders and router.mind is not None and ZONES[one] == 1:
            less = world._replace(orders=world.orders - 1)
            yield end(less, one, order=True)
            asked = router._replace(mind=restart_scope.begin_shutdown(router.mind, 1))
            if asked != router:
                yield less._replace(routers=put(world.routers, one, asked))
    if world.losses:
        lost = world._replace(losses=world.losses - 1, lost=world.tick)
        for one, router in enumerate(world.routers):
            if router.mind is not None and ZONES[one] == 1:
                lost = end(lost, one)
        yield lost
    if world.ends and sum(router.mind is not None for router in world.routers) > 1:
        lost = world._replace(ends=world.ends - 1, keeper=world.keeper + keeper)
        for one, router in enumerate(world.routers):
            if router.mind is not None:
                lost = end(lost, one)
        yield lost


def wrong(world: World, before: World) -> str:
    """A claim that is new and not true; empty where there is none."""
    for one, router in enumerate(world.routers):
        mind = router.mind
        if mind is None:
            continue
        if mind.verdict is Verdict.DECIDING and world.tick - router.started >= BOUND:
            return f"{one} has not decided in time"
        old = before.routers[one].mind
        if router.ended < 0 or (old is not None and old.verdict is mind.verdict):
            continue
        lived = [each.mind is not None and each.started < router.ended - SLACK for each in world.routers]
        lived[one] = False
        if mind.verdict.fleet_survived and not router.witnesses:
            return f"{one} claims {mind.verdict.name}, and nobody lived through its end"
        if mind.verdict is Verdict.ALL and any(lived):
            return f"{one} claims ALL, and another lived on"
        if mind.verdict is Verdict.MOST and 2 * sum(lived) >= N:
            return f"{one} claims MOST, and most lived on"
        if mind.verdict is Verdict.ZONE and any(
            lived[n] for n in range(N) if n != one and ZONES[n] == ZONES[one]
        ):
            return f"{one} claims ZONE, and a mate lived on"
        mates = [n for n in range(N) if n != one and ZONES[n] == ZONES[one]]
        heard = all(mind.peers[n].nonce for n in range(N) if n != one)
        if mind.verdict is Verdict.LONE and mates and heard and all(restart_scope.proved_restarted(mind, n) for n in mates):
            since, until = router.ended, router.started
            if not router.order or any(since <= world.routers[n].forced < until for n in mates):
                return f"{one} claims LONE, and one of its zone ended with something in hand"
            if since <= world.lost <= until:
                return f"{one} claims LONE, and its zone lost power"
    return ""


def first_world(ends: int, **more: int) -> World:
    """All are up, and know of each other."""
    world = World(0, (Router(None, Disk()),) * N, (None,) * (N * N), 1, ends, 0, **more)
    for one in range(N):
        world = start(world, one)
    return pass_time(pass_time(world, ALL_LINKS), ALL_LINKS)._replace(tick=2)


def search(
    world: World, ticks: int, keeper: bool = False, most: int = 1_000_000, cuts=CUTS
) -> tuple[int, int, str]:
    """States, transitions, and what was wrong first."""
    seen, waiting, moves = {world}, deque([world]), 0
    while waiting:
        now = waiting.popleft()
        for after in steps(now, ticks, keeper, cuts):
            moves += 1
            if after in seen:
                continue
            broken = wrong(after, now)
            if broken:
                return len(seen), moves, broken
            seen.add(after)
            if len(seen) >= most:
                return len(seen), moves, ""
            waiting.append(after)
    return len(seen), moves, ""


def after_a_cut(ends: int) -> World:
    """Router 0 heard nobody for three ticks; meanwhile 1 and 2 began anew, and hear each other."""
    world = end(end(first_world(ends), 1), 2)
    world = start(start(world, 1), 2)
    for _ in range(3):
        world = pass_time(world, CUTS[4])
    return world


def told_to_end(world: World, one: int) -> World:
    """One ends in order, and router 2 hears of it."""
    world = end(world, one, order=True)
    return hear(world, world.late[2 * N + one])[0]


def again(world: World, one: int) -> World:
    """It is back, and heard."""
    return pass_time(pass_time(start(world, one), ALL_LINKS), ALL_LINKS)


def beginnings() -> dict[str, tuple[World, int]]:
    """With what may come from there on, and for how many ticks. Words of former runs come late in one."""
    up = first_world(0, words=True)
    half = told_to_end(up, 0)
    silent = {"late": (None,) * (N * N)}
    rolled = told_to_end(half, 1)._replace(**silent)
    back = told_to_end(again(told_to_end(up, 1), 1), 0)
    half = half._replace(**silent)
    asked = half.routers[1]._replace(mind=restart_scope.begin_shutdown(half.routers[1].mind, 1))
    asked = pass_time(half._replace(routers=put(half.routers, 1, asked)), ALL_LINKS)
    return {
        "both were rolled, and the zone": (rolled._replace(losses=1), 3),
        "both were rolled": (rolled._replace(ends=1), 3),
        "one was rolled and is back": (back._replace(ends=1), 3),
        "one fell while the other was away": (again(end(half, 1), 1)._replace(orders=1, **silent), 3),
        "one was rolled, one was told to end amid its work": (asked._replace(ends=1), 3),
        "one was rolled, and the zone": (half._replace(orders=1, losses=1), 2),
        "one was rolled": (half._replace(ends=1, orders=1), 2),
    }


FEW = (ALL_LINKS, CUTS[1])  # and router 2 heard by nobody
MOST_ORDERLY = 12_000  # states of a beginning


def test_a_zone_that_was_rolled_is_no_loss_of_it():
    verdicts = {}
    for lost in (-1, 2):
        world = beginnings()["both were rolled"][0]
        world = world._replace(lost=lost)  # behind their words: nobody ends by it
        world = start(start(pass_time(world, ALL_LINKS), 0), 1)
        for _ in range(4):
            world = pass_time(world, ALL_LINKS)
        verdicts[lost] = [router.mind.verdict for router in world.routers[:2]]
    assert verdicts == {-1: [Verdict.LONE] * 2, 2: [Verdict.ZONE] * 2}


def test_no_loss_beside_ordered_ends_is_taken_for_a_lone_restart():
    talk.cache_clear(), written.cache_clear()
    found = 0
    for name, (world, ticks) in beginnings().items():
        states, _, broken = search(world, world.tick + ticks, most=MOST_ORDERLY, cuts=FEW)
        assert not broken, (name, broken)
        found += states
    assert found > 40_000


def test_every_state_within_bounds_claims_what_is_true():
    talk.cache_clear(), written.cache_clear()
    states, moves, broken = search(first_world(ends=1), ticks=4)
    assert not broken
    assert states > 100_000 and moves > 5 * states
    for world in (after_a_cut(ends=1), first_world(ends=2)):
        states, _, broken = search(world, ticks=world.tick + 2, keeper=True, most=10_000)
        assert not broken and states > 5_000


def no_echo(monkeypatch):
    hear = restart_scope.receive_message
    monkeypatch.setattr(
        restart_scope, "receive_message", lambda mind, told, uptime: hear(mind, told._replace(echo_nonce=mind.nonce), uptime)
    )


def old_runs_prove(monkeypatch):
    begin = restart_scope.initial_view

    def wrong_begin(me, zone, run, mark, known, before, *rest):
        return begin(me, zone, run, mark, known, known, *rest)

    monkeypatch.setattr(restart_scope, "initial_view", wrong_begin)


def silence_proves(monkeypatch):
    anew = restart_scope.proved_restarted
    monkeypatch.setattr(restart_scope, "proved_restarted", lambda mind, n: not mind.peers[n].nonce or anew(mind, n))


def apart_is_most(monkeypatch):
    judge = restart_scope._evaluate

    def wrong_judge(mind, bound_over):
        verdict = judge(mind, bound_over)
        return Verdict.MOST if verdict is Verdict.APART else verdict

    monkeypatch.setattr(restart_scope, "_evaluate", wrong_judge)


def who_is_up_for_longer_lived_on(monkeypatch):
    hear = restart_scope.receive_message

    def wrong_hear(mind, told, uptime):
        return hear(mind, told._replace(survived=told.survived or told.uptime > uptime), uptime)

    monkeypatch.setattr(restart_scope, "receive_message", wrong_hear)


def never_decides(monkeypatch):
    monkeypatch.setattr(restart_scope, "check_deadline", lambda mind, uptime: mind)


def said_with_something_in_hand(monkeypatch):
    monkeypatch.setattr(restart_scope, "begin_shutdown", lambda mind, in_hand: mind._replace(shutting_down_cleanly=True))


def one_runs_word_is_anothers(monkeypatch):
    prove = restart_scope._apply_verified

    def wrong_prove(peer, told, uptime):
        after = prove(peer, told, uptime)
        return after._replace(
            previous_clean_shutdown=peer.clean_shutdown or peer.previous_clean_shutdown or after.previous_clean_shutdown
        )

    monkeypatch.setattr(restart_scope, "_apply_verified", wrong_prove)


def mates_words_suffice(monkeypatch):
    monkeypatch.setattr(
        restart_scope,
        "zone_shut_down_cleanly",
        lambda mind, mates: mind.zone_servers_survived and all(mind.peers[n].confirmed_clean_shutdown for n in mates),
    )


def words_prove_servers_lives(monkeypatch):
    in_order = restart_scope.zone_shut_down_cleanly
    monkeypatch.setattr(restart_scope, "zone_shut_down_cleanly", lambda mind, mates: in_order(mind._replace(zone_servers_survived=True), mates))


def any_number_of_runs_since(monkeypatch):
    in_order = restart_scope.zone_shut_down_cleanly
    many = (restart_scope.MAX_COUNTER,) * N
    monkeypatch.setattr(restart_scope, "zone_shut_down_cleanly", lambda mind, mates: in_order(mind._replace(stored_runs=many), mates))


ORDERLY_MUTANTS = [
    said_with_something_in_hand,
    one_runs_word_is_anothers,
    mates_words_suffice,
    words_prove_servers_lives,
    any_number_of_runs_since,
]


@pytest.mark.parametrize("mutant", ORDERLY_MUTANTS, ids=lambda each: each.__name__)
def test_a_mutant_of_ordered_ends_is_found(mutant, monkeypatch):
    mutant(monkeypatch)
    talk.cache_clear(), written.cache_clear()
    found = (
        search(world, world.tick + ticks, most=MOST_ORDERLY, cuts=FEW)[2]
        for world, ticks in beginnings().values()
    )
    assert any("LONE" in broken for broken in found)
    talk.cache_clear(), written.cache_clear()


MUTANTS = [
    no_echo,
    old_runs_prove,
    silence_proves,
    apart_is_most,
    who_is_up_for_longer_lived_on,
    never_decides,
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda each: each.__name__)
def test_a_mutant_of_the_machine_is_found(mutant, monkeypatch):
    mutant(monkeypatch)
    talk.cache_clear(), written.cache_clear()
    found = []
    for world in (first_world(ends=1), after_a_cut(ends=1)):
        found.append(search(world, world.tick + 2, most=30_000)[2])
        if found[-1]:
            break
    talk.cache_clear(), written.cache_clear()
    assert found[-1]
