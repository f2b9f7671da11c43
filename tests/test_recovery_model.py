"""Model checking of the state machine in gaugehinge.recovery.restart_scope.

The search goes through all states of a small world: three routers in two zones and a control plane. Messages
are lost, late or duplicated, also across a loss; single routers or all of them fail. A second search adds
clean shutdowns, announced late or never, alongside the loss of one router or of a zone with its servers. Each
verdict is compared with what really happened, and the same searches have to detect faulty variants of the
state machine.
"""

from __future__ import annotations

from collections import deque
from functools import lru_cache
from typing import NamedTuple

import pytest

from gaugehinge.recovery import restart_scope
from gaugehinge.recovery.restart_scope import PeerMessage, TierView, Verdict

ROUTER_COUNT = 3
ZONES = (1, 1, 2)
DECISION_DEADLINE = 2.0  # ticks
SLACK = 2  # ticks: a peer is heard within one before the snapshot, which is written each tick


class StoredState(NamedTuple):
    run: int = 0
    known_runs: tuple[int, ...] = (0,) * ROUTER_COUNT
    recent_runs: tuple[int, ...] = (-1,) * ROUTER_COUNT
    epoch: int = 0
    control_plane: int = 0


class Router(NamedTuple):
    view: TierView | None  # None: the router is down
    stored: StoredState
    started: int = 0  # tick at which its present or last run started
    ended: int = -1  # tick at which its previous run ended; -1: there was none
    survivors: int = 0  # bit mask of the peers that were up from that end to its present start
    clean_shutdown: bool = False  # that end was a shutdown with nothing in flight
    crashed_at: int = -1  # tick at which it last ended otherwise


class World(NamedTuple):
    tick: int
    routers: tuple[Router, ...]
    late_messages: tuple[PeerMessage | None, ...]  # by receiver and sender: last message of a run that ended
    control_plane: int
    crashes_left: int  # crashes that may still happen, of one router or of all
    nonces_drawn: int
    shutdowns_left: int = 0  # routers that may still be told to shut down
    zone_losses_left: int = 0  # how often zone 1 may still lose power
    zone_lost_at: int = -1  # tick at which it last lost power
    clean_messages_only: bool = False  # only late messages of clean shutdowns are delivered


def replaced(row: tuple, index: int, value) -> tuple:
    return row[:index] + (value,) + row[index + 1 :]


def build_message(world: World, sender: int, receiver: int, echo=None) -> PeerMessage:
    router = world.routers[sender]
    return restart_scope.build_message(router.view, receiver, float(world.tick - router.started), echo)


def deliver(world: World, message: PeerMessage) -> tuple[World, tuple[int, float] | None]:
    router = world.routers[message.receiver]
    view, echo = restart_scope.receive_message(router.view, message, float(world.tick - router.started))
    return world._replace(routers=replaced(world.routers, message.receiver, router._replace(view=view))), echo


def start_router(world: World, number: int) -> World:
    router = world.routers[number]
    stored = router.stored._replace(run=router.stored.run + 1)
    view = restart_scope.initial_view(
        number,
        ZONES[number],
        stored.run,
        world.nonces_drawn + 1,
        stored.known_runs,
        stored.recent_runs,
        DECISION_DEADLINE,
        stored.epoch,
    )
    new = router._replace(
        view=view, stored=stored._replace(recent_runs=(-1,) * ROUTER_COUNT), started=world.tick
    )
    return world._replace(routers=replaced(world.routers, number, new), nonces_drawn=world.nonces_drawn + 1)


def stop_router(world: World, number: int, clean: bool = False) -> World:
    """Stops a router. Its last message to each peer may still arrive, once or more, at any time."""
    router = world.routers[number]
    if clean:
        router = router._replace(view=restart_scope.begin_shutdown(router.view, 0))
        world = world._replace(routers=replaced(world.routers, number, router))
    crashed_at = router.crashed_at if clean else world.tick
    alive = sum(1 << n for n, each in enumerate(world.routers) if each.view is not None and n != number)
    late_messages = tuple(
        build_message(world, number, n // ROUTER_COUNT)
        if n % ROUTER_COUNT == number
        and n // ROUTER_COUNT != number
        and (clean or not world.clean_messages_only)
        else message
        for n, message in enumerate(world.late_messages)
    )
    routers = [
        each._replace(survivors=each.survivors & ~(1 << number)) if each.view is None else each
        for each in world.routers
    ]
    routers[number] = router._replace(
        view=None, ended=world.tick, survivors=alive, clean_shutdown=clean, crashed_at=crashed_at
    )
    return world._replace(routers=tuple(routers), late_messages=late_messages)


@lru_cache(300_000)  # the same exchange takes place in many worlds
def exchange(
    sender: Router, receiver: Router, tick: int, reply_arrives: bool, zone_lost_at: int
) -> tuple[Router, Router]:
    """Sends one message; the receiver answers immediately if an answer is due."""
    downtime, other_fields = restart_scope.downtime(sender.view, receiver.view.own_number), {}
    if downtime is not None and zone_lost_at < sender.started + downtime[0]:
        other_fields = {"zone_servers_survived": True}  # as the sender's connections to servers would prove
    message = restart_scope.build_message(
        sender.view, receiver.view.own_number, float(tick - sender.started), **other_fields
    )
    view, echo = restart_scope.receive_message(receiver.view, message, float(tick - receiver.started))
    receiver = receiver._replace(view=view)
    if echo is not None and reply_arrives:
        message = restart_scope.build_message(
            view, sender.view.own_number, float(tick - receiver.started), echo
        )
        sender = sender._replace(
            view=restart_scope.receive_message(sender.view, message, float(tick - sender.started))[0]
        )
    return sender, receiver


@lru_cache(300_000)
def after_tick(router: Router, tick: int, control_plane: int) -> Router:
    """Ends a tick: checks the deadline and writes the snapshot."""
    uptime = float(tick - router.started)
    view = restart_scope.check_deadline(router.view, uptime)
    known_runs = tuple(max(peer.run, peer.known_run) for peer in view.peers)
    recent_runs = restart_scope.recently_heard_runs(view, uptime, 0.0)
    return router._replace(
        view=view, stored=StoredState(view.run, known_runs, recent_runs, view.epoch, control_plane)
    )


def advance_tick(world: World, links: frozenset[tuple[int, int]]) -> World:
    """One tick: messages over the links that are up, then snapshots."""
    tick, routers = world.tick + 1, list(world.routers)
    for sender, receiver in sorted(links):
        if routers[sender].view is not None and routers[receiver].view is not None:
            reply_arrives = (receiver, sender) in links
            routers[sender], routers[receiver] = exchange(
                routers[sender], routers[receiver], tick, reply_arrives, world.zone_lost_at
            )
    for n, router in enumerate(routers):
        if router.view is not None:
            routers[n] = after_tick(router, tick, world.control_plane)
    return world._replace(tick=tick, routers=tuple(routers))


PAIRS = ((0, 1), (0, 2), (1, 2))
LINK_SETS = [
    frozenset(link for n, pair in enumerate(PAIRS) if mask >> n & 1 for link in (pair, pair[::-1]))
    for mask in range(8)
]
ALL_LINKS = LINK_SETS[-1]
# And all links except one direction of one pair.
LINK_SETS += [ALL_LINKS - {link} for link in sorted(ALL_LINKS)]


def successors(world: World, ticks: int, control_plane: bool, link_sets=LINK_SETS):
    """All worlds that may follow."""
    if world.tick < ticks:
        for links in link_sets:
            yield advance_tick(world, links)
    for message in world.late_messages:
        if message is not None and world.routers[message.receiver].view is not None:
            yield deliver(world, message)[0]
    for number, router in enumerate(world.routers):
        if router.view is None:
            yield start_router(world, number)
        elif world.crashes_left:
            yield stop_router(world._replace(crashes_left=world.crashes_left - 1), number)
        if control_plane and router.view is not None and router.stored.control_plane:
            view = restart_scope.receive_control_plane(
                router.view,
                router.stored.control_plane == world.control_plane,
                float(world.tick - router.started),
            )
            yield world._replace(routers=replaced(world.routers, number, router._replace(view=view)))
    for number, router in enumerate(world.routers):
        if world.shutdowns_left and router.view is not None and ZONES[number] == 1:
            remaining = world._replace(shutdowns_left=world.shutdowns_left - 1)
            yield stop_router(remaining, number, clean=True)
            busy_router = router._replace(view=restart_scope.begin_shutdown(router.view, 1))
            if busy_router != router:
                yield remaining._replace(routers=replaced(world.routers, number, busy_router))
    if world.zone_losses_left:
        after_loss = world._replace(zone_losses_left=world.zone_losses_left - 1, zone_lost_at=world.tick)
        for number, router in enumerate(world.routers):
            if router.view is not None and ZONES[number] == 1:
                after_loss = stop_router(after_loss, number)
        yield after_loss
    if world.crashes_left and sum(router.view is not None for router in world.routers) > 1:
        after_loss = world._replace(
            crashes_left=world.crashes_left - 1, control_plane=world.control_plane + control_plane
        )
        for number, router in enumerate(world.routers):
            if router.view is not None:
                after_loss = stop_router(after_loss, number)
        yield after_loss


def false_claim(world: World, previous_world: World) -> str:
    """Describes a new verdict that is not true; empty if there is none."""
    for number, router in enumerate(world.routers):
        view = router.view
        if view is None:
            continue
        if view.verdict is Verdict.DECIDING and world.tick - router.started >= DECISION_DEADLINE:
            return f"{number} has not decided in time"
        old = previous_world.routers[number].view
        if router.ended < 0 or (old is not None and old.verdict is view.verdict):
            continue
        survived = [
            other.view is not None and other.started < router.ended - SLACK for other in world.routers
        ]
        survived[number] = False
        if view.verdict.fleet_survived and not router.survivors:
            return f"{number} claims {view.verdict.name}, but nobody survived its end"
        if view.verdict is Verdict.ALL and any(survived):
            return f"{number} claims ALL, but another router survived"
        if view.verdict is Verdict.MOST and 2 * sum(survived) >= ROUTER_COUNT:
            return f"{number} claims MOST, but most survived"
        if view.verdict is Verdict.ZONE and any(
            survived[n] for n in range(ROUTER_COUNT) if n != number and ZONES[n] == ZONES[number]
        ):
            return f"{number} claims ZONE, but a router of its zone survived"
        zone_peers = [n for n in range(ROUTER_COUNT) if n != number and ZONES[n] == ZONES[number]]
        heard = all(view.peers[n].nonce for n in range(ROUTER_COUNT) if n != number)
        if (
            view.verdict is Verdict.LONE
            and zone_peers
            and heard
            and all(restart_scope.proved_restarted(view, n) for n in zone_peers)
        ):
            stopped, started = router.ended, router.started
            if not router.clean_shutdown or any(
                stopped <= world.routers[n].crashed_at < started for n in zone_peers
            ):
                return f"{number} claims LONE, but a router of its zone ended with operations in flight"
            if stopped <= world.zone_lost_at <= started:
                return f"{number} claims LONE, but its zone lost power"
    return ""


def initial_world(crashes_left: int, **fields: int) -> World:
    """All routers are up and have heard each other."""
    world = World(
        0,
        (Router(None, StoredState()),) * ROUTER_COUNT,
        (None,) * (ROUTER_COUNT * ROUTER_COUNT),
        1,
        crashes_left,
        0,
        **fields,
    )
    for number in range(ROUTER_COUNT):
        world = start_router(world, number)
    return advance_tick(advance_tick(world, ALL_LINKS), ALL_LINKS)._replace(tick=2)


def search(
    world: World, ticks: int, control_plane: bool = False, max_states: int = 1_000_000, link_sets=LINK_SETS
) -> tuple[int, int, str]:
    """Returns the numbers of states and transitions, and the first false claim."""
    visited, queue, transitions = {world}, deque([world]), 0
    while queue:
        current = queue.popleft()
        for successor in successors(current, ticks, control_plane, link_sets):
            transitions += 1
            if successor in visited:
                continue
            claim = false_claim(successor, current)
            if claim:
                return len(visited), transitions, claim
            visited.add(successor)
            if len(visited) >= max_states:
                return len(visited), transitions, ""
            queue.append(successor)
    return len(visited), transitions, ""


def world_after_partition(crashes_left: int) -> World:
    """Router 0 heard nobody for three ticks; meanwhile 1 and 2 restarted and hear each other."""
    world = stop_router(stop_router(initial_world(crashes_left), 1), 2)
    world = start_router(start_router(world, 1), 2)
    for _ in range(3):
        world = advance_tick(world, LINK_SETS[4])
    return world


def shut_down_cleanly(world: World, number: int) -> World:
    """A router shuts down cleanly, and router 2 hears of it."""
    world = stop_router(world, number, clean=True)
    return deliver(world, world.late_messages[2 * ROUTER_COUNT + number])[0]


def restart(world: World, number: int) -> World:
    """Starts the router again and lets the others hear it."""
    return advance_tick(advance_tick(start_router(world, number), ALL_LINKS), ALL_LINKS)


def clean_shutdown_worlds() -> dict[str, tuple[World, int]]:
    """Worlds to search from, each with the number of ticks. In one, messages of previous runs arrive late."""
    up = initial_world(0, clean_messages_only=True)
    half = shut_down_cleanly(up, 0)
    silent = {"late_messages": (None,) * (ROUTER_COUNT * ROUTER_COUNT)}
    rolled = shut_down_cleanly(half, 1)._replace(**silent)
    returned = shut_down_cleanly(restart(shut_down_cleanly(up, 1), 1), 0)
    half = half._replace(**silent)
    busy = half.routers[1]._replace(view=restart_scope.begin_shutdown(half.routers[1].view, 1))
    busy = advance_tick(half._replace(routers=replaced(half.routers, 1, busy)), ALL_LINKS)
    return {
        "both were rolled, and the zone": (rolled._replace(zone_losses_left=1), 3),
        "both were rolled": (rolled._replace(crashes_left=1), 3),
        "one was rolled and is back": (returned._replace(crashes_left=1), 3),
        "one fell while the other was away": (
            restart(stop_router(half, 1), 1)._replace(shutdowns_left=1, **silent),
            3,
        ),
        "one was rolled, one was told to end amid its work": (busy._replace(crashes_left=1), 3),
        "one was rolled, and the zone": (half._replace(shutdowns_left=1, zone_losses_left=1), 2),
        "one was rolled": (half._replace(crashes_left=1, shutdowns_left=1), 2),
    }


FEW_LINK_SETS = (ALL_LINKS, LINK_SETS[1])  # all links, or only those between routers 0 and 1
MAX_CLEAN_SHUTDOWN_STATES = 12_000  # per starting world


def test_rolling_restart_of_a_zone_is_not_reported_as_zone_loss():
    verdicts = {}
    for zone_lost_at in (-1, 2):
        world = clean_shutdown_worlds()["both were rolled"][0]
        # Both have announced their end by then, so the loss stops no router.
        world = world._replace(zone_lost_at=zone_lost_at)
        world = start_router(start_router(advance_tick(world, ALL_LINKS), 0), 1)
        for _ in range(4):
            world = advance_tick(world, ALL_LINKS)
        verdicts[zone_lost_at] = [router.view.verdict for router in world.routers[:2]]
    assert verdicts == {-1: [Verdict.LONE] * 2, 2: [Verdict.ZONE] * 2}


def test_loss_during_clean_shutdowns_is_never_reported_as_lone_restart():
    exchange.cache_clear(), after_tick.cache_clear()
    found = 0
    for name, (world, ticks) in clean_shutdown_worlds().items():
        states, _, claim = search(
            world, world.tick + ticks, max_states=MAX_CLEAN_SHUTDOWN_STATES, link_sets=FEW_LINK_SETS
        )
        assert not claim, (name, claim)
        found += states
    assert found > 40_000


def test_every_reachable_verdict_is_true():
    exchange.cache_clear(), after_tick.cache_clear()
    states, transitions, claim = search(initial_world(crashes_left=1), ticks=4)
    assert not claim
    assert states > 100_000 and transitions > 5 * states
    for world in (world_after_partition(crashes_left=1), initial_world(crashes_left=2)):
        states, _, claim = search(world, ticks=world.tick + 2, control_plane=True, max_states=10_000)
        assert not claim and states > 5_000


def echo_not_checked(monkeypatch):
    receive_message = restart_scope.receive_message
    monkeypatch.setattr(
        restart_scope,
        "receive_message",
        lambda view, message, uptime: receive_message(view, message._replace(echo_nonce=view.nonce), uptime),
    )


def all_known_runs_count_as_recent(monkeypatch):
    initial_view = restart_scope.initial_view

    def faulty_initial_view(own_number, zone, run, nonce, stored_runs, runs_before_stop, *rest):
        return initial_view(own_number, zone, run, nonce, stored_runs, stored_runs, *rest)

    monkeypatch.setattr(restart_scope, "initial_view", faulty_initial_view)


def silence_counts_as_restart(monkeypatch):
    proved_restarted = restart_scope.proved_restarted
    monkeypatch.setattr(
        restart_scope,
        "proved_restarted",
        lambda view, n: not view.peers[n].nonce or proved_restarted(view, n),
    )


def apart_reported_as_most(monkeypatch):
    evaluate = restart_scope._evaluate

    def faulty_evaluate(view, deadline_passed):
        verdict = evaluate(view, deadline_passed)
        return Verdict.MOST if verdict is Verdict.APART else verdict

    monkeypatch.setattr(restart_scope, "_evaluate", faulty_evaluate)


def longer_uptime_counts_as_survival(monkeypatch):
    receive_message = restart_scope.receive_message

    def faulty_receive(view, message, uptime):
        return receive_message(
            view, message._replace(survived=message.survived or message.uptime > uptime), uptime
        )

    monkeypatch.setattr(restart_scope, "receive_message", faulty_receive)


def never_decides(monkeypatch):
    monkeypatch.setattr(restart_scope, "check_deadline", lambda view, uptime: view)


def clean_shutdown_with_operations_in_flight(monkeypatch):
    monkeypatch.setattr(
        restart_scope, "begin_shutdown", lambda view, in_flight: view._replace(shutting_down_cleanly=True)
    )


def clean_shutdown_carried_over_to_later_runs(monkeypatch):
    apply_verified = restart_scope._apply_verified

    def faulty_apply(peer, message, uptime):
        updated = apply_verified(peer, message, uptime)
        return updated._replace(
            previous_clean_shutdown=peer.clean_shutdown
            or peer.previous_clean_shutdown
            or updated.previous_clean_shutdown
        )

    monkeypatch.setattr(restart_scope, "_apply_verified", faulty_apply)


def own_clean_shutdown_not_required(monkeypatch):
    monkeypatch.setattr(
        restart_scope,
        "zone_shut_down_cleanly",
        lambda view, zone_peers: (
            view.zone_servers_survived and all(view.peers[n].confirmed_clean_shutdown for n in zone_peers)
        ),
    )


def server_survival_not_required(monkeypatch):
    clean_check = restart_scope.zone_shut_down_cleanly
    monkeypatch.setattr(
        restart_scope,
        "zone_shut_down_cleanly",
        lambda view, zone_peers: clean_check(view._replace(zone_servers_survived=True), zone_peers),
    )


def any_number_of_restarts_since(monkeypatch):
    clean_check = restart_scope.zone_shut_down_cleanly
    many = (restart_scope.MAX_COUNTER,) * ROUTER_COUNT
    monkeypatch.setattr(
        restart_scope,
        "zone_shut_down_cleanly",
        lambda view, zone_peers: clean_check(view._replace(stored_runs=many), zone_peers),
    )


CLEAN_SHUTDOWN_MUTANTS = [
    clean_shutdown_with_operations_in_flight,
    clean_shutdown_carried_over_to_later_runs,
    own_clean_shutdown_not_required,
    server_survival_not_required,
    any_number_of_restarts_since,
]


@pytest.mark.parametrize("mutant", CLEAN_SHUTDOWN_MUTANTS, ids=lambda each: each.__name__)
def test_clean_shutdown_mutants_are_detected(mutant, monkeypatch):
    mutant(monkeypatch)
    exchange.cache_clear(), after_tick.cache_clear()
    found = (
        search(world, world.tick + ticks, max_states=MAX_CLEAN_SHUTDOWN_STATES, link_sets=FEW_LINK_SETS)[2]
        for world, ticks in clean_shutdown_worlds().values()
    )
    assert any("LONE" in claim for claim in found)
    exchange.cache_clear(), after_tick.cache_clear()


MUTANTS = [
    echo_not_checked,
    all_known_runs_count_as_recent,
    silence_counts_as_restart,
    apart_reported_as_most,
    longer_uptime_counts_as_survival,
    never_decides,
]


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda each: each.__name__)
def test_state_machine_mutants_are_detected(mutant, monkeypatch):
    mutant(monkeypatch)
    exchange.cache_clear(), after_tick.cache_clear()
    found = []
    for world in (initial_world(crashes_left=1), world_after_partition(crashes_left=1)):
        found.append(search(world, world.tick + 2, max_states=30_000)[2])
        if found[-1]:
            break
    exchange.cache_clear(), after_tick.cache_clear()
    assert found[-1]
