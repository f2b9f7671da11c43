"""The decisions of gaugehinge.recovery in virtual time, and its driver in a router between stand-ins.

Parts are also switched off, and must then show the harm that they exist against."""

import random
import struct
from dataclasses import replace
from functools import partial, wraps

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from gaugehinge.forms.toml import BadFile, parse
from gaugehinge.hosted.errors import FeedError
from gaugehinge.installation.form import Installation, RecoveryEntry
from gaugehinge.net.endpoint_list import read_endpoint_list
from gaugehinge.net.resp import bulk
from gaugehinge.recovery import restart_scope, staleness_rules, startup_spreading
from gaugehinge.recovery.build import RecoveryKeyError, read_key
from gaugehinge.recovery.datagram import LENGTH, Wire
from gaugehinge.recovery.driver import Recovery
from gaugehinge.recovery.incarnations import IncarnationTracker, ServerIncarnations
from gaugehinge.recovery.recovery_ramp import (
    LoadLimits,
    RecoveryRamp,
    Stage,
    StageTimeouts,
    StartupProgress,
    StartupSequence,
    divide_by_shares,
)
from gaugehinge.recovery.restart_scope import PeerMessage, Verdict
from gaugehinge.recovery.retry_fencing import MAX_FRESH_KEYS, RetryFence
from gaugehinge.recovery.snapshot import MOST_BYTES, Entry, Kept, SnapshotFile, encode, identity_of
from gaugehinge.routing.types import DeduplicationScope
from gaugehinge.subsystems import Subsystems
from gaugehinge.tenancy.feed import Feed, TenantRow
from tests.helper import MARKED, ONCE, PLAIN, READ, SETTINGS, Cache, Web, fleet, free_port, origin_row, row

KEY = b"k" * 16


def in_trio(test):
    @wraps(test)
    def run(**given):
        trio.run(partial(test, **given))

    return run


# ---------------------------------------------------------------- the snapshot


def kept(**more) -> Kept:
    return Kept(identity_of(KEY, "n0", 0), 7, 1000.0, 500.0, "boot-1", **more)


def test_a_snapshot_is_whole_or_set_aside(tmp_path):
    path = tmp_path / "snap"
    file = SnapshotFile(str(path), identity_of(KEY, "n0", 0))
    assert file.load() == (None, "none there")
    told = kept(runs=[7, 3], servers=[Entry("s", "127.0.0.1:1", "a", "std", 0, "ready", 4.0)], list_rev=9)
    file.save(told)
    assert file.load() == (told, "")
    data = path.read_bytes()
    spoilt = [
        data[:-1],
        data[:20],
        b"",
        b"x" * 50,
        data[:-1] + bytes([data[-1] ^ 1]),
        encode(msgspec.structs.replace(told, identity="another")),
        encode(msgspec.structs.replace(told, version=2)),
    ]
    for number, body in enumerate(spoilt, 1):
        path.write_bytes(body)
        found, why = file.load()
        assert found is None and f"aside-{number}" in why and not path.exists()
        assert (tmp_path / f"snap.aside-{number}").read_bytes() == body


def test_a_snapshot_stays_within_its_size_and_loses_the_list_before_the_run(tmp_path):
    one = Entry("", "127.0.0.1:6379", "a", "std", 0, "ready", 1.0)
    servers = [msgspec.structs.replace(one, uid=f"server-{n:05d}" * 4) for n in range(20_000)]
    file = SnapshotFile(str(tmp_path / "snap"), identity_of(KEY, "n0", 0))
    file.save(kept(servers=servers, list_rev=4, epoch=3))
    found, _ = file.load()
    assert (found.run, found.epoch, found.servers, found.list_rev) == (7, 3, [], -1)
    assert (tmp_path / "snap").stat().st_size <= MOST_BYTES
    with pytest.raises(ValueError):
        file.save(kept(parts={"placement": b"x" * MOST_BYTES}))
    assert file.load()[0] == found  # what was there is there still


# ---------------------------------------------------------------- messages


def test_what_cannot_be_read_is_dropped_and_counted_by_cause():
    wire = Wire(KEY)
    good = wire.write(PeerMessage(1, 2, 3, 4, 5, 6.0, survived=True, keys_lost_ago=2.0))
    assert len(good) == LENGTH <= 256 and wire.read(good).survived
    assert Wire(b"other" * 4).read(good) is None
    assert wire.read(good[:-1]) is None and wire.read(good[:1] + b"\x09" + good[2:]) is None
    assert wire.read(good[:40] + bytes([good[40] ^ 1]) + good[41:]) is None
    most = restart_scope.MAX_COUNTER
    greatest = PeerMessage(1, 2, most, most, 2**63, 5.0, receiver_run=most, epoch=most, list_rev=2**63 - 1)
    assert wire.read(wire.write(greatest)) == greatest
    words = PeerMessage(1, 2, 3, 4, 5, 6.0, clean_shutdown=True, zone_servers_survived=True)
    assert wire.read(wire.write(words)) == words
    endless = wire.write(PeerMessage(1, 2, 3, 4, 5, float("inf")))
    assert wire.read(endless) is None
    assert wire.dropped == {"form": 2, "version": 1, "mark": 1}
    rates = struct.pack("<34f", *[0.0] * 34)
    assert not wire.mine(rates) and LENGTH % 4  # the module's are whole figures of four bytes


@given(st.binary(max_size=300))
def test_no_bytes_are_a_message(data):
    assert Wire(KEY).read(data) is None


# ---------------------------------------------------------------- what is believed


def test_ages_and_beliefs():
    old = kept()
    # the wall clock is not asked
    assert staleness_rules.snapshot_age(old, 99.0, 530.0, "boot-1") == staleness_rules.SnapshotAge(30.0, True)
    assert staleness_rules.snapshot_age(old, 1060.0, 3.0, "boot-2") == staleness_rules.SnapshotAge(
        60.0, False
    )
    back = staleness_rules.snapshot_age(old, 900.0, 3.0, "boot-2")
    assert not back.from_monotonic_clock and staleness_rules.confidence(
        "learnt", back
    ) == 0.0 == staleness_rules.confidence("lately", back)
    fresh, month = staleness_rules.SnapshotAge(10.0, True), staleness_rules.SnapshotAge(30 * 86400.0, False)
    assert (
        staleness_rules.confidence("learnt", fresh) > 0.99
        and staleness_rules.confidence("learnt", month) < 1e-6
    )
    assert (
        staleness_rules.confidence("lately", fresh) == 1.0
        and staleness_rules.confidence("lately", month) == 0.0
    )
    assert staleness_rules.confidence("run", fresh) == 1.0
    assert not any(staleness_rules.confidence(name, fresh) for name in ("list", "leases", "grants", "marks"))


def test_a_clock_an_hour_off_takes_no_cold_server_for_a_warm_one():
    started, began = 10_000.0, 10_003.0  # true times
    for off in (3600.0, -3600.0):  # of our own clock
        own_began = began + off
        assert staleness_rules.clock_correction(began + off, [began, began, began]) == -off
        # No peer has spoken yet, and the list tells a start that is not the one that was known.
        believed = staleness_rules.estimated_start_time(started, 4.0, own_began, False, 0.0, own_began)
        assert own_began - believed <= 0.0  # it counts as just started, whatever the clock says
        assert (
            staleness_rules.estimated_start_time(started, 4.0, own_began, True, -off, own_began)
            == started + off
        )
    # Most of the fleet goes an hour behind the servers' clock: a start is no later than it was told of.
    for lived in (False, True):
        assert (
            staleness_rules.estimated_start_time(began + 3600.0, 4.0, began, lived, 0.0, began + 2.0)
            == began + 2.0
        )
    naive = started  # without the rule: an hour of age, and a budget of a warm server
    assert began + 3600.0 - naive > 3600.0
    assert staleness_rules.clock_correction(0.0, [3600.0]) == 0.0  # one other says nothing of who is right


def test_lists_and_keepers_from_before_are_seen():
    known = {"a": 10.0, "b": 20.0}
    older, same = staleness_rules.AnswerStatus.OLDER, staleness_rules.AnswerStatus.CURRENT
    assert staleness_rules.classify_list(9, known, 4, {"a": 5.0, "b": 20.0}) is older
    assert staleness_rules.classify_list(9, known, 4, {"a": 10.0, "gone": 15.0}) is older
    # it counts anew
    assert staleness_rules.classify_list(9, known, 1, {"a": 30.0, "b": 31.0, "new": 32.0}) is same
    assert staleness_rules.classify_list(9, known, 10, {"a": 5.0}) is same
    store = staleness_rules.KnownStore("s1", 20, {"1": "acme", "2": "bolt"})
    assert staleness_rules.classify_feed(store, "s1", 12, True) is older
    assert staleness_rules.classify_feed(store, "s1", 20, False) is same
    assert staleness_rules.classify_feed(store, "s2", 3, True) is staleness_rules.AnswerStatus.OTHER_STORE
    assert staleness_rules.reassigned_incarnations(store, [(1, "acme"), (2, "coda"), (3, "dune")]) == [2]
    after = staleness_rules.remember_incarnations(
        store, [(n, f"t{n}") for n in range(3, 3 + staleness_rules.MAX_INCARNATIONS)]
    )
    assert len(after.incarnations) == staleness_rules.MAX_INCARNATIONS and after.incarnation_floor == 2
    assert staleness_rules.reassigned_incarnations(after, [(1, "acme"), (9, "t9")]) == [1]


def said(epoch, ready=False, verdict=Verdict.APART, revision=0, list_rev=0):
    return staleness_rules.PeerReport(epoch, 1, ready, verdict, list_rev, 0, 0, revision, -1.0)


def test_of_answers_that_contradict_the_epoch_counts_then_who_lived_on():
    low, high = said(1, True, revision=90), said(2, revision=40)
    lived = said(2, verdict=Verdict.LONE, revision=30)
    assert (
        staleness_rules.most_authoritative([low, high]) is high
        and staleness_rules.most_authoritative([low, high, lived]) is lived
    )
    assert staleness_rules.most_authoritative([]) is None
    assert staleness_rules.heard_enough(
        [said(1, True, Verdict.LONE)], 9
    ) and not staleness_rules.heard_enough([low, high], 9)


# ---------------------------------------------------------------- evidence


def test_older_files_are_told_their_number_and_prove_nothing():
    mind = restart_scope.initial_view(0, 1, 3, 11, (3, 9), (-1, 9), 3.0, 0)
    peer = restart_scope.initial_view(1, 1, 10, 22, (57, 9), (56, -1), 3.0, 4)
    peer, echo = restart_scope.receive_message(peer, restart_scope.build_message(mind, 1, 0.5), 2.0)
    assert echo == (11, 0.5)  # run 3 is of the past, and its sender is told so
    mind, _ = restart_scope.receive_message(mind, restart_scope.build_message(peer, 0, 2.0, echo), 0.6)
    assert mind.run == 58 and mind.epoch == 4 and set(mind.runs_before_stop) == {-1}
    assert mind.verdict is Verdict.DECIDING  # its snapshot would have proved that the peer began anew
    assert restart_scope.check_deadline(mind, 3.0).verdict is Verdict.APART


def test_silence_is_no_loss_elsewhere():
    mind = restart_scope.initial_view(0, 1, 3, 11, (3, 9, 9), (-1, 9, 9), 3.0, 0)
    for mark, run in ((22, 10), (23, 11)):
        mind, _ = restart_scope.receive_message(
            mind, PeerMessage(1, 0, 1, run, mark, 1.0, 11, 0.0), float(run)
        )
    assert (
        restart_scope.recent_peer_restarts(mind, 12.0, 5.0) == 1
        and restart_scope.recent_peer_restarts(mind, 60.0, 5.0) == 0
    )


def heard(mind, *words):
    for told, uptime in words:
        mind, _ = restart_scope.receive_message(mind, told, uptime)
    return mind


def test_of_a_message_that_comes_late_or_again_nobody_lives_longer():
    mind = restart_scope.initial_view(0, 1, 3, 11, (3, 9, 9), (-1, 9, 9), 3.0, 0)
    last = PeerMessage(1, 0, 1, 10, 22, 4.0, 11, 4.0, clean_shutdown=True)
    mind = heard(mind, (last, 4.1), (last, 9.0), (PeerMessage(1, 0, 1, 11, 23, 1.0, 11, 9.5), 9.6))
    assert restart_scope.downtime(mind, 1) == (4.0, 9.6)  # and not from 9.0 on
    assert (
        restart_scope.build_message(mind, 1, 9.7).receiver_clean_shutdown
        and not restart_scope.build_message(mind, 2, 9.7).receiver_clean_shutdown
    )
    mind = heard(mind, (PeerMessage(1, 0, 1, 13, 24, 1.0, 11, 11.0), 11.2))
    # run 12 was never heard: nobody knows how it ended
    assert not restart_scope.build_message(mind, 1, 11.3).receiver_clean_shutdown


# ---------------------------------------------------------------- servers' lives


def test_answers_that_overlap_are_one_life():
    life = ServerIncarnations()
    for line, answered in (("a", 1.0), ("b", 3.0), ("a", 4.0), ("b", 9.0), ("c", 12.0), ("c", 15.0)):
        life.record_answer(line, answered)
    assert life.was_alive(1.0, 9.0) and life.was_alive(13.0, 15.0)
    assert not life.was_alive(8.0, 13.0) and not life.was_alive(1.0, 9.1)  # connection c came up in a gap
    life.prune({"c"}, 130.0)
    assert life.spans == [(12.0, 15.0)] and set(life.connection_spans) == {"c"}


def test_a_lone_reset_raises_no_doubt_and_a_server_that_is_down_raises_one():
    lives = IncarnationTracker()
    assert not lives.connect_failed(1, False, False, 1.0)  # it was never up: no loss of this run's
    assert not lives.connection_broke(1, True, False, 2.0)
    assert not lives.connect_failed(1, True, True, 9.0)  # the other is long ago, and a connection stands
    assert lives.connect_failed(1, False, True, 10.0)
    assert not lives.connect_failed(1, False, True, 11.0)  # it is down still, and loses nothing more
    # both were idle
    assert not lives.connection_broke(1, False, True, 20.0) and not lives.connection_broke(
        1, False, False, 20.01
    )
    assert lives.connection_broke(1, True, False, 20.02)
    assert lives.connect_failed(2, False, True, 1.0)  # where the fleet lived on it may have been up before


# ---------------------------------------------------------------- who is asked when


def calls(routers: int, starts: list[float], spread=True) -> list[float]:
    return sorted(
        at + (startup_spreading.startup_delays(n, routers).discovery if spread else 0.0)
        for n, at in enumerate(starts)
    )


def most_within(times: list[float], span: float) -> int:
    return max(sum(at <= other < at + span for other in times) for at in times)


@pytest.mark.parametrize("routers", [2, 10, 200, 1000])
def test_routers_that_start_together_do_not_herd(routers):
    at_once = most_within(calls(routers, [0.0] * routers), 0.1)
    assert (
        at_once
        <= startup_spreading.max_calls_within(routers, startup_spreading.DISCOVERY_CALLS_PER_SECOND, 0.1, 0.0)
        <= 13
    )
    worst = startup_spreading.max_calls_within(
        routers, startup_spreading.DISCOVERY_CALLS_PER_SECOND, 0.1, 1.0
    )
    draw = random.Random(4)
    for _ in range(20 if routers <= 200 else 2):
        starts = [draw.random() for _ in range(routers)]
        assert most_within(calls(routers, starts), 0.1) <= min(worst, 40)
    spiteful = [
        1.0 - min(startup_spreading.startup_delays(n, routers).discovery, 1.0) for n in range(routers)
    ]
    assert most_within(calls(routers, spiteful), 0.1) <= worst
    if routers == 200:  # without the places all come in one instant
        assert most_within(calls(routers, [0.0] * routers, spread=False), 0.1) == 200


def test_every_peer_is_told_in_turn_and_enough_means_fewer():
    told = [n for turn in range(13) for n in startup_spreading.peers_in_round(5, 200, turn, False)]
    assert set(told) == set(range(200)) - {5} and len(told) == 13 * 16
    assert (
        len(startup_spreading.peers_in_round(5, 200, 0, True)) == 1
        and startup_spreading.peers_in_round(0, 1, 0, False) == []
    )
    cycle = [n for turn in range(9) for n in startup_spreading.peers_in_round(0, 10, turn, True)]
    assert set(cycle) == set(range(1, 10))


# ---------------------------------------------------------------- effects


def effects(**changes) -> RetryFence:
    kinds = (READ, replace(MARKED, deduplication_window=9.0), ONCE)
    return RetryFence(replace(PLAIN, traffic_types=kinds, **changes), 5.0, 100.0)


def test_repeats_get_a_final_answer_for_the_memory_and_first_tries_do_not():
    made = effects()
    assert made.must_fail(1, True, True, b"m1", 100.1) and made.must_fail(2, True, True, b"", 100.1)
    assert not made.must_fail(0, False, True, b"", 100.1) and not made.must_fail(1, True, False, b"m2", 100.1)
    assert not made.must_fail(1, True, True, b"m2", 100.5)  # its first try came after the loss
    assert not made.must_fail(2, True, True, b"", 105.0) and made.must_fail(1, True, True, b"m1", 108.9)
    assert not made.must_fail(1, True, True, b"m1", 109.0) and made.failed == 3
    for n in range(MAX_FRESH_KEYS + 5):
        made.fenced_until[1] = 200.0
        made.must_fail(1, True, False, b"%d" % n, 110.0)
    assert len(made.fresh_keys) == MAX_FRESH_KEYS


def test_where_the_fleet_lived_on_marks_are_known_to_be_kept():
    for verdict, open_ in (
        (Verdict.LONE, False),
        (Verdict.ALL, True),
        (Verdict.MOST, True),
        (Verdict.APART, True),
    ):
        made = effects()
        made.apply_verdict(verdict, [], 101.0)
        assert made.must_fail(1, True, True, b"m", 101.0) is open_ is made.is_active(101.0)
    zone = effects()
    zone.apply_verdict(Verdict.ZONE, [], 101.0)
    assert not zone.must_fail(1, True, True, b"m", 101.0)  # its group is all servers: some lived
    assert zone.must_fail(2, True, True, b"", 101.0)
    lone = effects()
    lone.apply_verdict(Verdict.LONE, [6.0, 2.5], 101.0)  # peers saw marks lost 6 and 2.5 s ago
    assert lone.must_fail(1, True, True, b"m", 107.4) and not lone.must_fail(1, True, True, b"m", 107.6)


@pytest.mark.parametrize("group", list(DeduplicationScope))
def test_a_group_that_began_anew_has_lost_its_marks(group):
    kinds = (READ, replace(MARKED, deduplication_window=9.0, deduplication_scope=group), ONCE)
    made = RetryFence(replace(PLAIN, traffic_types=kinds, cache_aside=False), 5.0, 0.0)
    rows = [row(n, zone="ab"[n % 2], cell=n // 2) for n in range(4)]
    made.on_endpoints_changed(rows, True, 50.0)
    made.on_endpoints_changed([rows[0]._replace(started=60.0)], False, 60.0)
    assert not made.is_active(60.0)  # another of its group remembers
    made.on_endpoints_changed([], True, 61.0)  # a list that is empty for once
    made.on_endpoints_changed([each._replace(started=62.0) for each in rows[1:]], False, 62.0)
    assert made.is_active(70.9) and not made.is_active(71.1) and "marks lost" in made.log_lines[0]


def test_an_origin_that_takes_writes_is_all_that_remembers():
    made = effects()
    made.on_endpoints_changed([row(1), origin_row()], True, 200.0)
    made.on_endpoints_changed([row(1, started=210.0)], False, 210.0)
    assert not made.is_active(210.0)
    made.on_endpoints_changed([origin_row()._replace(started=211.0)], False, 211.0)
    assert made.must_fail(1, True, True, b"m", 219.0) and not made.is_active(220.5)


# ---------------------------------------------------------------- order and opening


def test_stages_wait_for_their_own_bound_and_no_longer():
    order = StartupSequence(StageTimeouts(4.0, 6.0, 4.0, 3.0))
    facts = StartupProgress()
    assert order.advance(facts, 1.0) is Stage.CONTROL_PLANE and order.remaining(1.0) == 5.0
    facts.control_plane = True
    assert order.advance(facts, 1.5) is Stage.ENDPOINT_LIST
    facts.verdict = Verdict.ALL
    assert order.advance(facts, 5.9) is Stage.ENDPOINT_LIST  # discovery comes last
    assert order.advance(facts, 6.0) is Stage.RAMPING
    assert order.timed_out == ["list", "placement and grants"]


@given(st.lists(st.tuples(st.floats(0.01, 10), st.floats(0, 100)), min_size=1, max_size=8), st.floats(0, 200))
def test_a_portion_is_by_shares_and_wastes_nothing(rows, total):
    shares, wanted = [r[0] for r in rows], [r[1] for r in rows]
    got = divide_by_shares(total, shares, wanted)
    assert all(g <= w + 1e-6 for g, w in zip(got, wanted, strict=True))
    assert sum(got) == pytest.approx(min(total, sum(wanted)), rel=1e-6, abs=1e-6)


class ColdFleet:
    """Servers that are cold and an origin, in virtual time: what each is sent within a step against what it
    bears; over that, all of it fails. Keys that were read once are hits from then on."""

    def __init__(self, seed: int, on: bool, seconds: float = 25.0) -> None:
        draw = random.Random(seed)
        routers, servers, keys = 4, 6, 600
        cold, warm, origin, warm_up = 30.0, 300.0, 120.0, 8.0
        deployment = replace(
            PLAIN, router_count=routers, max_retry_after=2.0, warm_up_time=warm_up, cold_capacity=0.1
        )
        made = [RecoveryRamp(deployment, n) for n in range(routers)]
        for each in made:
            # 900 reads and 40 writes a second in all before; the origin bears 120 of anything.
            each.start(LoadLimits(routers, servers, origin, cold, 225.0, 10.0), [3.0, 1.0], 0.0)
            each.fully_open = not on
        stored: set[int] = set()
        waiting: list[tuple[float, int, int, int, float]] = []
        self.over_origin = self.over_cold = 0.0
        self.settled = [[0, 0] for _ in range(int(seconds))]
        now, tick = 0.0, 0.25
        while now < seconds:
            new = [
                (now, tenant, draw.randrange(keys), draw.randrange(routers), now)
                for tenant, rate in ((0, 500), (1, 500))
                for _ in range(int(rate * tick))
            ]
            due = [each for each in waiting if each[0] <= now] + new
            waiting = [each for each in waiting if each[0] > now]
            draw.shuffle(due)
            at_server, misses, taken = [0] * servers, 0, []
            for _, tenant, key, router, came in due:
                away = made[router].admit(0, tenant, False, now)
                if away:
                    if now - came < 4.0:
                        waiting.append((now + away, tenant, key, router, came))
                    continue
                at_server[key % servers] += 1
                misses += key not in stored
                taken.append((tenant, key, router))
            bears = cold + (warm - cold) * min(now / warm_up, 1.0)
            self.over_cold = max(self.over_cold, max(at_server) / (bears * tick))
            self.over_origin = max(self.over_origin, misses / (origin * tick))
            for tenant, key, router in taken:
                miss = key not in stored
                good = at_server[key % servers] <= 2.5 * bears * tick
                good = good and (not miss or misses <= 2.0 * origin * tick)
                made[router].record_result(0, False, good, miss)
                if good:
                    stored.add(key)
                    self.settled[int(now)][tenant] += 1
            now += tick
            for each in made:
                each.step(min(now / warm_up, 1.0), now)


@pytest.mark.parametrize("seed", range(3))
def test_cold_servers_and_the_origin_get_what_they_bear_and_no_flood(seed):
    on, off = ColdFleet(seed, True), ColdFleet(seed, False)
    assert on.over_origin <= 1.3 and on.over_cold <= 2.5
    assert off.over_origin > 4.0 and off.over_cold > 3.0  # the harm without it
    assert sum(on.settled[3]) > sum(off.settled[0])
    assert sum(on.settled[-1]) > 0.9 * 1000
    early = [sum(second[n] for second in on.settled[1:4]) for n in range(2)]
    assert 1.8 < early[0] / early[1] < 4.2  # shares of 3 to 1, both ask for more


def test_payoff_comes_first_and_failures_are_a_step_back():
    dear, cheap = replace(ONCE, priority_weight=5.0), replace(MARKED, priority_weight=1.0)
    opening = RecoveryRamp(replace(PLAIN, traffic_types=(READ, cheap, dear), max_retry_after=2.0), 1)
    opening.start(LoadLimits(1, 4, 40.0, 0.0), [1.0], 0.0)
    got, now = {1: 0, 2: 0}, 0.0
    for _ in range(40):
        for kind in (1, 2) * 20:  # 160 a second, where 20 to 40 are borne
            if not opening.admit(kind, 0, True, now):
                got[kind] += 1
                opening.record_result(kind, True, True, True)
        now += 0.25
        opening.step(0.0, now)
    assert got[2] > 5 * got[1] and got[2] + got[1] < 1.3 * 40.0 * 10.0
    before = opening.writes.rate
    for _ in range(8):
        opening.record_result(2, True, False, True)
    opening.step(0.0, now + 0.25)
    assert opening.writes.rate < before and any("step back of writes" in text for text in opening.log_lines)


def test_times_to_come_back_are_spread():
    opening = RecoveryRamp(replace(PLAIN, max_retry_after=2.0), 3)
    times = [opening.admit(0, 0, False, 0.0) for _ in range(200)]
    assert min(times) >= 0.2 and max(times) <= 2.0 and max(times) - min(times) > 0.15
    opening.start(LoadLimits(1, 4, 0.0, 0.0), [1.0], 0.0)
    later = [opening.admit(1, 0, True, 0.0) for _ in range(400)][-100:]
    assert max(later) > 1.5 and len({round(each, 2) for each in later}) > 50


# ---------------------------------------------------------------- the driver


class Played:
    """A recovery in a router whose peer is this test."""

    def __init__(self, tmp_path, **fields) -> None:
        (tmp_path / "key").write_bytes(KEY)
        figures = {"decide": 0.3, "list_wait": 0.4, "doubt": 2.0, "every": 0.05, "repeats": 5.0, **fields}
        self.entry = RecoveryEntry(True, str(tmp_path / "key"), str(tmp_path / "snap"), **figures)
        self.made: Recovery | None = None

    def build(self, service, nursery):
        self.made = Recovery(service, self.entry, KEY)
        self.made.begin(nursery)
        return Subsystems(recovery=self.made).extensions()


SAID = {"rev": 2, "all": True}


def told_list(made, **changes):
    targets = [{**each, **changes} for each in made.targets]
    return read_endpoint_list({**SAID, "targets": targets})


async def until(true, wait=20.0):
    with trio.fail_after(wait):
        while not true():
            await trio.sleep(0.01)


@in_trio
async def test_clients_wait_until_ready_and_nothing_stands_in_the_way_when_open(tmp_path):
    played = Played(tmp_path, list_wait=60.0)
    settings = {**SETTINGS, "replicasOfMe": 1}
    async with fleet(tmp_path, [Cache()], settings=settings, build_extensions=played.build) as made:
        played.made.effects.fenced_until = [0.0, 1e12, 0.0]  # as long as this test takes
        client = await made.client()
        assert await client.ask("PING") == b"-ERR recovering\r\n"
        reply = await client.get()
        assert reply.startswith(b"-BUSY ") and 200 <= int(reply[6:]) <= 2000
        recovery = played.made
        assert recovery.mind.verdict is Verdict.ALL and recovery.intercepting
        assert made.service.dispatcher.request_interceptors == (recovery,)
        made.service.dispatcher.on_endpoints_changed(told_list(made))
        await until(lambda: recovery.order.stage in (Stage.RAMPING, Stage.OPEN))
        assert await client.ask("PING") == b"+PONG\r\n"
        await until(lambda: recovery.order.stage is Stage.OPEN)
        assert (await client.get()).startswith(b"$")
        assert recovery.intercepting  # the memory of marks is not over
        recovery.effects.fenced_until = [0.0] * 3
        await until(lambda: not recovery.intercepting)

        def taken(reply):
            raise AssertionError("nobody is to be answered here")

        assert recovery.intercept(None, None, taken) is taken  # it looks at nothing of an operation
        await until(lambda: recovery.file.load()[0].servers != [])
    again = SnapshotFile(played.entry.snapshot, identity_of(KEY, "n0", 0)).load()[0]
    assert again.run == 1 and again.list_rev == 2


async def _repeat_after_a_loss(tmp_path, switched_off):
    """A marked write is answered by nobody, all ends, and its client repeats it: how often it ran."""
    ran = []

    def origin(method, target, headers, body):
        ran.append(target)
        return 200, "", b"done %d" % len(ran)  # like ones are in doubt on a used connection, and made again

    played, settings = Played(tmp_path), {**SETTINGS, "replicasOfMe": 1}
    async with fleet(tmp_path, [Cache()], origin, settings=settings, build_extensions=played.build) as made:
        assert played.made.effects.fenced_until[1:] > [played.made.clock()] * 2
        played.made.effects.fenced_until = [0.0, 1e12, 1e12]  # as long as this test takes
        made.service.dispatcher.on_endpoints_changed(told_list(made, boot_ms=5000))
        if switched_off:
            played.made.effects.must_fail = lambda *told: False
        client = await made.client()
        await until(lambda: played.made.order.stage is Stage.RAMPING)
        played.made.opening.fully_open = True
        labels = "c=mark,t=acme,d=4000,k=m1"
        repeat = await client.put(labels=f"{labels},r=1")
        first = await client.put(labels=labels.replace("m1", "m2"))
        once = await client.put(labels="c=once,t=acme,d=4000,r=1")
        return len(ran), repeat, first, once


@in_trio
async def test_a_repeat_of_before_the_loss_gets_its_final_answer_and_no_attempt(tmp_path):
    ran, repeat, first, once = await _repeat_after_a_loss(tmp_path, False)
    assert ran == 1 and first == bulk(b"done 1") and repeat == once == b"-ERR failed\r\n"


@in_trio
async def test_without_that_part_it_runs_a_second_time(tmp_path):
    ran, repeat, _, _ = await _repeat_after_a_loss(tmp_path, True)
    assert ran == 3 and repeat == bulk(b"done 1")


class Forgets:
    """An origin that drops repeats by their marks, and forgets them when it ends."""

    def __init__(self) -> None:
        self.port, self.ran, self.marks, self.how = free_port(), [], set(), None

    def reply(self, method, target, headers, body):
        mark = headers["x-labels"].partition("k=")[2].partition(",")[0]
        if mark not in self.marks:
            self.marks.add(mark)
            self.ran.append(mark)
        return self.how or (200, "", b"done")

    async def live(self, task_status=trio.TASK_STATUS_IGNORED):
        self.marks.clear()
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    partial(trio.serve_tcp, Web(self.reply).serve, self.port, host="127.0.0.1")
                )
                task_status.started(scope)
                await trio.sleep_forever()


async def _repeat_before_the_list_knows(tmp_path, switched_off):
    """The origin ends amid a marked write and is back at once; no list tells. How often that write ran."""
    played, origin, settings = Played(tmp_path), Forgets(), {**SETTINGS, "replicasOfMe": 1}
    async with (
        trio.open_nursery() as nursery,
        fleet(tmp_path, [Cache()], settings=settings, build_extensions=played.build) as made,
    ):
        recovery, told = played.made, []
        life = await nursery.start(origin.live)
        made.targets[-1]["endpoint"] = f"127.0.0.1:{origin.port}"
        made.service.dispatcher.on_endpoints_changed(told_list(made))
        await until(lambda: recovery.order.stage in (Stage.RAMPING, Stage.OPEN))
        recovery.effects.fenced_until, recovery.opening.fully_open = [0.0] * 3, True
        if switched_off:
            recovery.lives.connection_broke = recovery.lives.connect_failed = lambda *all_: False
        client, other = await made.client(), await made.client()
        assert (await client.put(labels="c=mark,t=acme,d=4000,k=m0")).startswith(b"$")
        origin.how = "stall"

        async def first_try():
            told.append(await client.put(labels="c=mark,t=acme,d=4000,k=m1"))

        nursery.start_soon(first_try)
        await until(lambda: "m1" in origin.ran)
        life.cancel()
        if not switched_off:
            await until(lambda: told)
        await trio.sleep(0.1)
        origin.how = None
        life = await nursery.start(origin.live)
        await until(lambda: told)
        labels, replies = "c=mark,t=acme,d=4000,k=m1,r=1", [b"-BUSY"]
        while replies[-1].startswith(b"-BUSY"):
            replies.append(await other.put(labels=labels))
            await trio.sleep(0.02)
        fresh = [b"-BUSY"]
        while not fresh[-1].startswith(b"$"):  # the origin may still be set aside
            fresh.append(await other.put(labels="c=mark,t=acme,d=4000,k=m2"))
            await trio.sleep(0.02)
        came = origin.ran.count("m1"), told[0], replies[-1]
        nursery.cancel_scope.cancel()
    return came


@in_trio
async def test_a_repeat_before_the_list_tells_of_a_new_start_gets_its_final_answer(tmp_path):
    ran, first, repeat = await _repeat_before_the_list_knows(tmp_path, False)
    assert (ran, first, repeat) == (1, b"-ERR failed\r\n", b"-ERR failed\r\n")


@in_trio
async def test_without_the_lines_word_it_runs_a_second_time(tmp_path):
    ran, _, _ = await _repeat_before_the_list_knows(tmp_path, True)
    assert ran == 2


@in_trio
async def test_an_ordered_end_is_said_with_nothing_in_hand_alone(tmp_path):
    played, cache = Played(tmp_path), Cache("stall")
    async with fleet(tmp_path, [cache], build_extensions=played.build) as made:
        recovery, dispatcher = played.made, made.service.dispatcher
        dispatcher.on_endpoints_changed(told_list(made))
        recovery._give_way()
        client = await made.client()
        await client.send("KV.GET", "k", "id-1", "c=read,t=acme,d=60000")
        await until(lambda: cache.commands)
        await recovery.before_exit()
        assert not restart_scope.build_message(recovery.mind, 1, 9.0).clean_shutdown
        dispatcher.fail_rest()
        await until(lambda: not dispatcher.pending_operations and not made.service.pool.pending)
        await recovery.before_exit()
        assert restart_scope.build_message(recovery.mind, 1, 9.0).clean_shutdown
    assert SnapshotFile(played.entry.snapshot, identity_of(KEY, "n0", 0)).load()[0].run == 1


def keep_snapshot(tmp_path, targets, **more):
    """A snapshot of this router's run before."""
    servers = [
        Entry(each["uid"], each["endpoint"], each["az"], each["model"], 0, "ready", 50.0) for each in targets
    ]
    told = kept(servers=servers, list_rev=40, **more)
    SnapshotFile(str(tmp_path / "snap"), told.identity).save(told)


@pytest.mark.parametrize("way", ["last", "older"])
@in_trio
async def test_a_list_kept_or_old_serves_reads_alone(tmp_path, way):
    played, settings = Played(tmp_path, doubt=1000.0), {**SETTINGS, "replicasOfMe": 1}

    def build(service, nursery):
        keep_snapshot(tmp_path, service.configuration.cached_list["targets"])
        return played.build(service, nursery)

    async with fleet(tmp_path, [Cache()], settings=settings, build_extensions=build) as made:
        recovery = played.made
        assert recovery.mind.run == 8
        if way == "older":
            made.service.dispatcher.on_endpoints_changed(
                told_list(made, boot_ms=20_000)
            )  # from before what was known
        await until(lambda: made.service.lifecycle.phase.name == "READY")
        assert recovery.old_list_until
        client, replies = await made.client(), [b""]
        with trio.fail_after(20):
            while not replies[-1].startswith(b"$"):  # the decisions have their own budget at cold servers
                assert not recovery.old_list_until or (await client.put()).startswith(b"-BUSY")
                replies.append(await client.get())
                await trio.sleep(0.02)
        if way == "last":
            made.service.dispatcher.on_endpoints_changed(told_list(made, boot_ms=90_000))
        else:
            recovery.old_list_until = recovery.clock()  # the doubt is over
        await until(lambda: not recovery.old_list_until)
        recovery.effects.fenced_until, recovery.opening.fully_open = [0.0] * 3, True
        assert (await client.put()).startswith(b"$")


def feed(name, revision, *rows):
    told = [TenantRow(title, number, number, "active", 1.0, 10.0) for number, title in rows]
    return Feed(name, revision, True, told)


@in_trio
async def test_a_keeper_from_before_is_not_followed_at_once_nor_ever_into_anothers_keys(tmp_path):
    played, settings = Played(tmp_path, doubt=5.0), {**SETTINGS, "replicasOfMe": 1}
    async with fleet(tmp_path, [Cache()], settings=settings, build_extensions=played.build):
        recovery = played.made
        whole = feed("s1", 20, (1, "acme"), (2, "bolt"))
        assert recovery.filter_feed(whole) is whole
        with pytest.raises(FeedError, match="older"):
            recovery.filter_feed(feed("s1", 11, (1, "acme")))
        assert recovery.filter_feed(feed("s1", 21, (1, "acme"), (2, "bolt"))).revision == 21
        with pytest.raises(FeedError, match="other"):
            recovery.filter_feed(feed("s2", 3, (1, "acme"), (2, "dune")))
        recovery.older_until = 1.0  # the doubt is over: the new store is followed, but not its number 2
        after = recovery.filter_feed(feed("s2", 4, (1, "acme"), (2, "dune")))
        assert [row.name for row in after.tenants] == ["acme"]
        assert recovery.filter_feed(feed("s2", 5, (3, "dune"))).tenants[0].name == "dune"


@in_trio
async def test_messages_of_peers_and_of_the_module_find_their_ways(tmp_path):
    played, told = Played(tmp_path, decide=1000.0), []
    async with fleet(tmp_path, [Cache()], build_extensions=played.build) as made:
        recovery, dispatcher = played.made, made.service.dispatcher
        recovery._tell = lambda number, echo=None: told.append(
            restart_scope.build_message(recovery.mind, number, recovery.uptime(), echo)
        )
        assert recovery.mind.verdict is Verdict.DECIDING
        peer = restart_scope.initial_view(1, recovery.mind.zone, 5, 77, (0, 5), (-1, -1), 3.0, 6)
        peer = restart_scope.receive_message(peer, restart_scope.build_message(recovery.mind, 1, 0.0), 40.0)[
            0
        ]
        assert "recovering" in repr(made.service.lifecycle.phase).lower()
        dispatcher.on_gossip(1, Wire(b"wrong key" * 2).write(restart_scope.build_message(peer, 0, 40.0)))
        assert recovery.wire.dropped["mark"] == 1 and recovery.mind.epoch == 0
        lived = restart_scope.build_message(peer, 0, 40.0, keys_lost_ago=3.0)._replace(survived=True)
        before = recovery.clock()
        dispatcher.on_gossip(1, recovery.wire.write(lived))
        after = recovery.clock()
        assert recovery.mind.verdict is Verdict.LONE and recovery.mind.epoch == 6
        assert recovery.effects.is_active(before + 5.9)  # it saw marks lost 3 s ago, of 9
        assert not recovery.effects.is_active(after + 6.1)
        dispatcher.on_gossip(1, struct.pack("<f", 4.0))
        assert dispatcher.router.gossip.peers[1][1] == (4.0,)


@in_trio
async def test_a_mistake_of_its_own_does_not_keep_the_router_shut(tmp_path):
    played = Played(tmp_path, list_wait=60.0)
    async with fleet(tmp_path, [Cache()], build_extensions=played.build) as made:
        client = await made.client()
        assert await client.ask("PING") == b"-ERR recovering\r\n"
        made.service.dispatcher.on_endpoints_changed(told_list(made))
        played.made.opening.set_shares = None
        await until(lambda: played.made.order.stage is Stage.OPEN)
        assert await client.ask("PING") == b"+PONG\r\n" and (await client.get()).startswith(b"$")


# ---------------------------------------------------------------- files

FILE = """
listen.clients = "127.0.0.1:7000"
discovery.address = "127.0.0.1:7300"
traffic = [{name = "read", effect = "idempotent", promised_time = "1s"}]
[recovery]
on = true
key_file = "key"
snapshot = "snap"
"""


@pytest.mark.parametrize(
    "change, field",
    [
        (('snapshot = "snap"', ""), "recovery.snapshot"),
        (('key_file = "key"', ""), "recovery.key_file"),
        (('snapshot = "snap"', 'snapshot = "snap"\ndecide = "0s"'), "recovery.decide"),
        (('snapshot = "snap"', 'snapshot = "snap"\norigin = "fast"'), "recovery.origin"),
        (('snapshot = "snap"', 'snapshot = "snap"\nhold = "1s"'), "recovery.hold"),
        (("[recovery]", "tier.routers = 2\n[recovery]"), "recovery.on"),
    ],
)
def test_a_wrong_field_is_named(change, field):
    assert parse(FILE.encode(), Installation).recovery.on
    with pytest.raises(BadFile, match=f"^file: {field}: "):
        parse(FILE.replace(*change).encode(), Installation)


def test_a_key_is_long_enough(tmp_path):
    (tmp_path / "key").write_bytes(b"short\n")
    for path in ("key", "none"):
        with pytest.raises(RecoveryKeyError):
            read_key(str(tmp_path / path))
