"""Tests the decisions of gaugehinge.recovery in virtual time, and its driver in a router with simulated
servers, clients and peers.

Some tests also switch a part off and check that the harm that it prevents then occurs.
"""

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
from gaugehinge.recovery.datagram import MESSAGE_BYTES, MessageCodec
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
from gaugehinge.recovery.snapshot import (
    MAX_SNAPSHOT_BYTES,
    ServerEntry,
    Snapshot,
    SnapshotFile,
    encode,
    snapshot_identity,
)
from gaugehinge.routing.types import DeduplicationScope
from gaugehinge.subsystems import Subsystems
from gaugehinge.tenancy.feed import Feed, TenantRow
from tests.helper import MARKED, ONCE, PLAIN, READ, SETTINGS, Cache, Web, fleet, free_port, origin_row, row

KEY = b"k" * 16


def in_trio(test):
    @wraps(test)
    def run(**arguments):
        trio.run(partial(test, **arguments))

    return run


# ---------------------------------------------------------------- snapshot


def stored_snapshot(**more) -> Snapshot:
    return Snapshot(snapshot_identity(KEY, "n0", 0), 7, 1000.0, 500.0, "boot-1", **more)


def test_a_corrupted_snapshot_is_set_aside(tmp_path):
    path = tmp_path / "snap"
    file = SnapshotFile(str(path), snapshot_identity(KEY, "n0", 0))
    assert file.load() == (None, "file does not exist")
    snapshot = stored_snapshot(
        runs=[7, 3], servers=[ServerEntry("s", "127.0.0.1:1", "a", "std", 0, "ready", 4.0)], list_rev=9
    )
    file.save(snapshot)
    assert file.load() == (snapshot, "")
    data = path.read_bytes()
    corrupted = [
        data[:-1],
        data[:20],
        b"",
        b"x" * 50,
        data[:-1] + bytes([data[-1] ^ 1]),
        encode(msgspec.structs.replace(snapshot, identity="another")),
        encode(msgspec.structs.replace(snapshot, version=2)),
    ]
    for number, body in enumerate(corrupted, 1):
        path.write_bytes(body)
        found, reason = file.load()
        assert found is None and f"aside-{number}" in reason and not path.exists()
        assert (tmp_path / f"snap.aside-{number}").read_bytes() == body


def test_an_oversized_snapshot_omits_the_list_and_keeps_the_run(tmp_path):
    one = ServerEntry("", "127.0.0.1:6379", "a", "std", 0, "ready", 1.0)
    servers = [msgspec.structs.replace(one, uid=f"server-{n:05d}" * 4) for n in range(20_000)]
    file = SnapshotFile(str(tmp_path / "snap"), snapshot_identity(KEY, "n0", 0))
    file.save(stored_snapshot(servers=servers, list_rev=4, epoch=3))
    found, _ = file.load()
    assert (found.run, found.epoch, found.servers, found.list_rev) == (7, 3, [], -1)
    assert (tmp_path / "snap").stat().st_size <= MAX_SNAPSHOT_BYTES
    with pytest.raises(ValueError):
        file.save(stored_snapshot(parts={"placement": b"x" * MAX_SNAPSHOT_BYTES}))
    assert file.load()[0] == found  # the previous file is still there


# ---------------------------------------------------------------- messages


def test_invalid_messages_are_dropped_and_counted_by_cause():
    codec = MessageCodec(KEY)
    good = codec.encode(PeerMessage(1, 2, 3, 4, 5, 6.0, survived=True, keys_lost_ago=2.0))
    assert len(good) == MESSAGE_BYTES <= 256 and codec.decode(good).survived
    assert MessageCodec(b"other" * 4).decode(good) is None
    assert codec.decode(good[:-1]) is None and codec.decode(good[:1] + b"\x09" + good[2:]) is None
    assert codec.decode(good[:40] + bytes([good[40] ^ 1]) + good[41:]) is None
    most = restart_scope.MAX_COUNTER
    greatest = PeerMessage(1, 2, most, most, 2**63, 5.0, receiver_run=most, epoch=most, list_rev=2**63 - 1)
    assert codec.decode(codec.encode(greatest)) == greatest
    flagged = PeerMessage(1, 2, 3, 4, 5, 6.0, clean_shutdown=True, zone_servers_survived=True)
    assert codec.decode(codec.encode(flagged)) == flagged
    infinite = codec.encode(PeerMessage(1, 2, 3, 4, 5, float("inf")))
    assert codec.decode(infinite) is None
    assert codec.dropped == {"form": 2, "version": 1, "mark": 1}
    rates = struct.pack("<34f", *[0.0] * 34)
    assert (
        not codec.matches(rates) and MESSAGE_BYTES % 4
    )  # the routing module's payloads are whole four-byte values


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_no_message(data):
    assert MessageCodec(KEY).decode(data) is None


# ---------------------------------------------------------------- trust and staleness


def test_snapshot_age_and_confidence():
    snapshot = stored_snapshot()
    # the wall clock is not used
    assert staleness_rules.snapshot_age(snapshot, 99.0, 530.0, "boot-1") == staleness_rules.SnapshotAge(
        30.0, True
    )
    assert staleness_rules.snapshot_age(snapshot, 1060.0, 3.0, "boot-2") == staleness_rules.SnapshotAge(
        60.0, False
    )
    clock_went_back = staleness_rules.snapshot_age(snapshot, 900.0, 3.0, "boot-2")
    assert not clock_went_back.from_monotonic_clock and staleness_rules.confidence(
        "learnt", clock_went_back
    ) == 0.0 == staleness_rules.confidence("lately", clock_went_back)
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


def test_a_clock_an_hour_off_makes_no_cold_server_look_warm():
    started, began = 10_000.0, 10_003.0  # true times
    for offset in (3600.0, -3600.0):  # error of our own clock
        own_began = began + offset
        assert staleness_rules.clock_correction(began + offset, [began, began, began]) == -offset
        # No peer was heard yet, and the list reports a start time other than the known one.
        estimated = staleness_rules.estimated_start_time(started, 4.0, own_began, False, 0.0, own_began)
        assert own_began - estimated <= 0.0  # it counts as just started, whatever the clock shows
        assert (
            staleness_rules.estimated_start_time(started, 4.0, own_began, True, -offset, own_began)
            == started + offset
        )
    # Most routers' clocks are an hour behind the servers': a start is no later than when it was reported.
    for fleet_survived in (False, True):
        assert (
            staleness_rules.estimated_start_time(began + 3600.0, 4.0, began, fleet_survived, 0.0, began + 2.0)
            == began + 2.0
        )
    naive = started  # without the rule it would count as an hour old and get the budget of a warm server
    assert began + 3600.0 - naive > 3600.0
    assert (
        staleness_rules.clock_correction(0.0, [3600.0]) == 0.0
    )  # with one other clock nobody knows which is right


def test_outdated_lists_and_feeds_are_detected():
    known = {"a": 10.0, "b": 20.0}
    older, same = staleness_rules.AnswerStatus.OLDER, staleness_rules.AnswerStatus.CURRENT
    assert staleness_rules.classify_list(9, known, 4, {"a": 5.0, "b": 20.0}) is older
    assert staleness_rules.classify_list(9, known, 4, {"a": 10.0, "gone": 15.0}) is older
    # a lower revision alone: discovery counts from the start again
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


def peer_report(epoch, ready=False, verdict=Verdict.APART, revision=0, list_rev=0):
    return staleness_rules.PeerReport(epoch, 1, ready, verdict, list_rev, 0, 0, revision, -1.0)


def test_contradicting_reports_rank_by_epoch_then_survival():
    low, high = peer_report(1, True, revision=90), peer_report(2, revision=40)
    survivor = peer_report(2, verdict=Verdict.LONE, revision=30)
    assert (
        staleness_rules.most_authoritative([low, high]) is high
        and staleness_rules.most_authoritative([low, high, survivor]) is survivor
    )
    assert staleness_rules.most_authoritative([]) is None
    assert staleness_rules.heard_enough(
        [peer_report(1, True, Verdict.LONE)], 9
    ) and not staleness_rules.heard_enough([low, high], 9)


# ---------------------------------------------------------------- evidence about restarts


def test_a_router_with_an_outdated_snapshot_learns_its_run_and_proves_nothing():
    view = restart_scope.initial_view(0, 1, 3, 11, (3, 9), (-1, 9), 3.0, 0)
    peer = restart_scope.initial_view(1, 1, 10, 22, (57, 9), (56, -1), 3.0, 4)
    peer, echo = restart_scope.receive_message(peer, restart_scope.build_message(view, 1, 0.5), 2.0)
    assert echo == (11, 0.5)  # run number 3 was used before; the sender is told
    view, _ = restart_scope.receive_message(view, restart_scope.build_message(peer, 0, 2.0, echo), 0.6)
    assert view.run == 58 and view.epoch == 4 and set(view.runs_before_stop) == {-1}
    assert view.verdict is Verdict.DECIDING  # with its snapshot the peer would count as restarted
    assert restart_scope.check_deadline(view, 3.0).verdict is Verdict.APART


def test_silence_does_not_count_as_a_peer_restart():
    view = restart_scope.initial_view(0, 1, 3, 11, (3, 9, 9), (-1, 9, 9), 3.0, 0)
    for nonce, run in ((22, 10), (23, 11)):
        view, _ = restart_scope.receive_message(
            view, PeerMessage(1, 0, 1, run, nonce, 1.0, 11, 0.0), float(run)
        )
    assert (
        restart_scope.recent_peer_restarts(view, 12.0, 5.0) == 1
        and restart_scope.recent_peer_restarts(view, 60.0, 5.0) == 0
    )


def receive_all(view, *messages):
    for message, uptime in messages:
        view, _ = restart_scope.receive_message(view, message, uptime)
    return view


def test_a_late_or_duplicate_message_does_not_extend_a_peers_life():
    view = restart_scope.initial_view(0, 1, 3, 11, (3, 9, 9), (-1, 9, 9), 3.0, 0)
    last = PeerMessage(1, 0, 1, 10, 22, 4.0, 11, 4.0, clean_shutdown=True)
    view = receive_all(view, (last, 4.1), (last, 9.0), (PeerMessage(1, 0, 1, 11, 23, 1.0, 11, 9.5), 9.6))
    assert restart_scope.downtime(view, 1) == (4.0, 9.6)  # the duplicate at 9.0 does not count
    assert (
        restart_scope.build_message(view, 1, 9.7).receiver_clean_shutdown
        and not restart_scope.build_message(view, 2, 9.7).receiver_clean_shutdown
    )
    view = receive_all(view, (PeerMessage(1, 0, 1, 13, 24, 1.0, 11, 11.0), 11.2))
    # run 12 was never heard, so how it ended is unknown
    assert not restart_scope.build_message(view, 1, 11.3).receiver_clean_shutdown


# ---------------------------------------------------------------- server incarnations


def test_overlapping_answer_spans_are_one_incarnation():
    incarnations = ServerIncarnations()
    for connection, answered in (("a", 1.0), ("b", 3.0), ("a", 4.0), ("b", 9.0), ("c", 12.0), ("c", 15.0)):
        incarnations.record_answer(connection, answered)
    assert incarnations.was_alive(1.0, 9.0) and incarnations.was_alive(13.0, 15.0)
    # connection c came up in a gap between the spans
    assert not incarnations.was_alive(8.0, 13.0) and not incarnations.was_alive(1.0, 9.1)
    incarnations.prune({"c"}, 130.0)
    assert incarnations.spans == [(12.0, 15.0)] and set(incarnations.connection_spans) == {"c"}


def test_a_single_reset_raises_no_suspicion_and_a_server_that_is_down_raises_one():
    tracker = IncarnationTracker()
    assert not tracker.connect_failed(
        1, False, False, 1.0
    )  # it was never up during this run, so it lost nothing in it
    assert not tracker.connection_broke(1, True, False, 2.0)
    assert not tracker.connect_failed(
        1, True, True, 9.0
    )  # the other sign is too old, and a connection is open
    assert tracker.connect_failed(1, False, True, 10.0)
    assert not tracker.connect_failed(1, False, True, 11.0)  # it is still down and loses nothing more
    # both connections were idle
    assert not tracker.connection_broke(1, False, True, 20.0) and not tracker.connection_broke(
        1, False, False, 20.01
    )
    assert tracker.connection_broke(1, True, False, 20.02)
    assert tracker.connect_failed(2, False, True, 1.0)  # if the fleet survived, it may have been up before


# ---------------------------------------------------------------- startup spreading


def call_times(routers: int, starts: list[float], spread=True) -> list[float]:
    return sorted(
        at + (startup_spreading.startup_delays(n, routers).discovery if spread else 0.0)
        for n, at in enumerate(starts)
    )


def most_calls_within(times: list[float], span: float) -> int:
    return max(sum(at <= other < at + span for other in times) for at in times)


@pytest.mark.parametrize("routers", [2, 10, 200, 1000])
def test_routers_that_start_together_spread_their_calls(routers):
    at_once = most_calls_within(call_times(routers, [0.0] * routers), 0.1)
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
        assert most_calls_within(call_times(routers, starts), 0.1) <= min(worst, 40)
    worst_starts = [
        1.0 - min(startup_spreading.startup_delays(n, routers).discovery, 1.0) for n in range(routers)
    ]
    assert most_calls_within(call_times(routers, worst_starts), 0.1) <= worst
    if routers == 200:  # without the spreading all calls come at the same instant
        assert most_calls_within(call_times(routers, [0.0] * routers, spread=False), 0.1) == 200


def test_every_peer_is_messaged_in_turn_and_fewer_per_round_once_enough_was_heard():
    messaged = [n for turn in range(13) for n in startup_spreading.peers_in_round(5, 200, turn, False)]
    assert set(messaged) == set(range(200)) - {5} and len(messaged) == 13 * 16
    assert (
        len(startup_spreading.peers_in_round(5, 200, 0, True)) == 1
        and startup_spreading.peers_in_round(0, 1, 0, False) == []
    )
    cycle = [n for turn in range(9) for n in startup_spreading.peers_in_round(0, 10, turn, True)]
    assert set(cycle) == set(range(1, 10))


# ---------------------------------------------------------------- retry fencing


def new_retry_fence(**changes) -> RetryFence:
    kinds = (READ, replace(MARKED, deduplication_window=9.0), ONCE)
    return RetryFence(replace(PLAIN, traffic_types=kinds, **changes), 5.0, 100.0)


def test_retries_fail_within_the_window_and_first_attempts_do_not():
    fence = new_retry_fence()
    assert fence.must_fail(1, True, True, b"m1", 100.1) and fence.must_fail(2, True, True, b"", 100.1)
    assert not fence.must_fail(0, False, True, b"", 100.1) and not fence.must_fail(
        1, True, False, b"m2", 100.1
    )
    assert not fence.must_fail(1, True, True, b"m2", 100.5)  # its first attempt came after the loss
    assert not fence.must_fail(2, True, True, b"", 105.0) and fence.must_fail(1, True, True, b"m1", 108.9)
    assert not fence.must_fail(1, True, True, b"m1", 109.0) and fence.failed == 3
    for n in range(MAX_FRESH_KEYS + 5):
        fence.fenced_until[1] = 200.0
        fence.must_fail(1, True, False, b"%d" % n, 110.0)
    assert len(fence.fresh_keys) == MAX_FRESH_KEYS


def test_keys_count_as_kept_where_the_fleet_survived():
    for verdict, active in (
        (Verdict.LONE, False),
        (Verdict.ALL, True),
        (Verdict.MOST, True),
        (Verdict.APART, True),
    ):
        fence = new_retry_fence()
        fence.apply_verdict(verdict, [], 101.0)
        assert fence.must_fail(1, True, True, b"m", 101.0) is active is fence.is_active(101.0)
    zone = new_retry_fence()
    zone.apply_verdict(Verdict.ZONE, [], 101.0)
    assert not zone.must_fail(1, True, True, b"m", 101.0)  # its group is all servers, some of which survived
    assert zone.must_fail(2, True, True, b"", 101.0)
    lone = new_retry_fence()
    lone.apply_verdict(Verdict.LONE, [6.0, 2.5], 101.0)  # peers saw keys lost 6 and 2.5 s ago
    assert lone.must_fail(1, True, True, b"m", 107.4) and not lone.must_fail(1, True, True, b"m", 107.6)


@pytest.mark.parametrize("group", list(DeduplicationScope))
def test_a_group_that_restarted_has_lost_its_keys(group):
    kinds = (READ, replace(MARKED, deduplication_window=9.0, deduplication_scope=group), ONCE)
    fence = RetryFence(replace(PLAIN, traffic_types=kinds, cache_aside=False), 5.0, 0.0)
    rows = [row(n, zone="ab"[n % 2], cell=n // 2) for n in range(4)]
    fence.on_endpoints_changed(rows, True, 50.0)
    fence.on_endpoints_changed([rows[0]._replace(started=60.0)], False, 60.0)
    assert not fence.is_active(60.0)  # another server of its group still has the keys
    fence.on_endpoints_changed([], True, 61.0)  # a single empty list in between
    fence.on_endpoints_changed([each._replace(started=62.0) for each in rows[1:]], False, 62.0)
    assert fence.is_active(70.9) and not fence.is_active(71.1) and "marks lost" in fence.log_lines[0]


def test_only_the_origin_keeps_keys_where_it_takes_the_writes():
    fence = new_retry_fence()
    fence.on_endpoints_changed([row(1), origin_row()], True, 200.0)
    fence.on_endpoints_changed([row(1, started=210.0)], False, 210.0)
    assert not fence.is_active(210.0)
    fence.on_endpoints_changed([origin_row()._replace(started=211.0)], False, 211.0)
    assert fence.must_fail(1, True, True, b"m", 219.0) and not fence.is_active(220.5)


# ---------------------------------------------------------------- startup sequence and ramp


def test_each_stage_waits_until_its_own_timeout_at_most():
    sequence = StartupSequence(StageTimeouts(4.0, 6.0, 4.0, 3.0))
    progress = StartupProgress()
    assert sequence.advance(progress, 1.0) is Stage.CONTROL_PLANE and sequence.remaining(1.0) == 5.0
    progress.control_plane = True
    assert sequence.advance(progress, 1.5) is Stage.ENDPOINT_LIST
    progress.verdict = Verdict.ALL
    assert sequence.advance(progress, 5.9) is Stage.ENDPOINT_LIST  # discovery has not answered yet
    assert sequence.advance(progress, 6.0) is Stage.RAMPING
    assert sequence.timed_out == ["list", "placement and grants"]


@given(st.lists(st.tuples(st.floats(0.01, 10), st.floats(0, 100)), min_size=1, max_size=8), st.floats(0, 200))
def test_division_by_shares_wastes_nothing(rows, total):
    shares, demands = [r[0] for r in rows], [r[1] for r in rows]
    allocated = divide_by_shares(total, shares, demands)
    assert all(g <= w + 1e-6 for g, w in zip(allocated, demands, strict=True))
    assert sum(allocated) == pytest.approx(min(total, sum(demands)), rel=1e-6, abs=1e-6)


class ColdFleet:
    """Simulates cold servers and an origin in virtual time, and records their load relative to capacity.

    Load far above capacity within a step fails: above 2.5 times for a server, 2 times for the origin. Keys
    that were read once are hits from then on.
    """

    def __init__(self, seed: int, on: bool, seconds: float = 25.0) -> None:
        draw = random.Random(seed)
        routers, servers, keys = 4, 6, 600
        cold, warm, origin, warm_up = 30.0, 300.0, 120.0, 8.0
        deployment = replace(
            PLAIN, router_count=routers, max_retry_after=2.0, warm_up_time=warm_up, cold_capacity=0.1
        )
        ramps = [RecoveryRamp(deployment, n) for n in range(routers)]
        for each in ramps:
            # All routers had 900 reads and 40 writes a second before; the origin can take 120 operations.
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
            at_server, misses, admitted = [0] * servers, 0, []
            for _, tenant, key, router, arrived in due:
                retry_after = ramps[router].admit(0, tenant, False, now)
                if retry_after:
                    if now - arrived < 4.0:
                        waiting.append((now + retry_after, tenant, key, router, arrived))
                    continue
                at_server[key % servers] += 1
                misses += key not in stored
                admitted.append((tenant, key, router))
            capacity = cold + (warm - cold) * min(now / warm_up, 1.0)
            self.over_cold = max(self.over_cold, max(at_server) / (capacity * tick))
            self.over_origin = max(self.over_origin, misses / (origin * tick))
            for tenant, key, router in admitted:
                miss = key not in stored
                succeeded = at_server[key % servers] <= 2.5 * capacity * tick
                succeeded = succeeded and (not miss or misses <= 2.0 * origin * tick)
                ramps[router].record_result(0, False, succeeded, miss)
                if succeeded:
                    stored.add(key)
                    self.settled[int(now)][tenant] += 1
            now += tick
            for each in ramps:
                each.step(min(now / warm_up, 1.0), now)


@pytest.mark.parametrize("seed", range(3))
def test_cold_servers_and_the_origin_are_not_overloaded(seed):
    on, off = ColdFleet(seed, True), ColdFleet(seed, False)
    assert on.over_origin <= 1.3 and on.over_cold <= 2.5
    assert off.over_origin > 4.0 and off.over_cold > 3.0  # the overload without the ramp
    assert sum(on.settled[3]) > sum(off.settled[0])
    assert sum(on.settled[-1]) > 0.9 * 1000
    early = [sum(second[n] for second in on.settled[1:4]) for n in range(2)]
    assert 1.8 < early[0] / early[1] < 4.2  # shares are 3 to 1, and both tenants demand more


def test_high_priority_is_admitted_first_and_failures_lower_the_rate():
    high, low = replace(ONCE, priority_weight=5.0), replace(MARKED, priority_weight=1.0)
    ramp = RecoveryRamp(replace(PLAIN, traffic_types=(READ, low, high), max_retry_after=2.0), 1)
    ramp.start(LoadLimits(1, 4, 40.0, 0.0), [1.0], 0.0)
    admitted, now = {1: 0, 2: 0}, 0.0
    for _ in range(40):
        for kind in (1, 2) * 20:  # 160 a second, with a capacity of 20 to 40
            if not ramp.admit(kind, 0, True, now):
                admitted[kind] += 1
                ramp.record_result(kind, True, True, True)
        now += 0.25
        ramp.step(0.0, now)
    assert admitted[2] > 5 * admitted[1] and admitted[2] + admitted[1] < 1.3 * 40.0 * 10.0
    before = ramp.writes.rate
    for _ in range(8):
        ramp.record_result(2, True, False, True)
    ramp.step(0.0, now + 0.25)
    assert ramp.writes.rate < before and any("step back of writes" in text for text in ramp.log_lines)


def test_retry_delays_are_spread():
    ramp = RecoveryRamp(replace(PLAIN, max_retry_after=2.0), 3)
    times = [ramp.admit(0, 0, False, 0.0) for _ in range(200)]
    assert min(times) >= 0.2 and max(times) <= 2.0 and max(times) - min(times) > 0.15
    ramp.start(LoadLimits(1, 4, 0.0, 0.0), [1.0], 0.0)
    later = [ramp.admit(1, 0, True, 0.0) for _ in range(400)][-100:]
    assert max(later) > 1.5 and len({round(each, 2) for each in later}) > 50


# ---------------------------------------------------------------- the driver


class RecoverySetup:
    """Builds the recovery of a router; the test acts as its peer."""

    def __init__(self, tmp_path, **fields) -> None:
        (tmp_path / "key").write_bytes(KEY)
        figures = {"decide": 0.3, "list_wait": 0.4, "doubt": 2.0, "every": 0.05, "repeats": 5.0, **fields}
        self.entry = RecoveryEntry(True, str(tmp_path / "key"), str(tmp_path / "snap"), **figures)
        self.recovery: Recovery | None = None

    def build(self, service, nursery):
        self.recovery = Recovery(service, self.entry, KEY)
        self.recovery.start(nursery)
        return Subsystems(recovery=self.recovery).extensions()


LIST_HEADER = {"rev": 2, "all": True}


def updated_list(env, **changes):
    targets = [{**each, **changes} for each in env.targets]
    return read_endpoint_list({**LIST_HEADER, "targets": targets})


async def wait_until(condition, timeout=20.0):
    with trio.fail_after(timeout):
        while not condition():
            await trio.sleep(0.01)


@in_trio
async def test_clients_wait_until_ready_and_nothing_is_intercepted_once_open(tmp_path):
    setup = RecoverySetup(tmp_path, list_wait=60.0)
    settings = {**SETTINGS, "replicasOfMe": 1}
    async with fleet(tmp_path, [Cache()], settings=settings, build_extensions=setup.build) as env:
        setup.recovery.retry_fence.fenced_until = [0.0, 1e12, 0.0]  # as long as this test takes
        client = await env.client()
        assert await client.ask("PING") == b"-ERR recovering\r\n"
        reply = await client.get()
        assert reply.startswith(b"-BUSY ") and 200 <= int(reply[6:]) <= 2000
        recovery = setup.recovery
        assert recovery.view.verdict is Verdict.ALL and recovery.intercepting
        assert env.service.dispatcher.request_interceptors == (recovery,)
        env.service.dispatcher.on_endpoints_changed(updated_list(env))
        await wait_until(lambda: recovery.sequence.stage in (Stage.RAMPING, Stage.OPEN))
        assert await client.ask("PING") == b"+PONG\r\n"
        await wait_until(lambda: recovery.sequence.stage is Stage.OPEN)
        assert (await client.get()).startswith(b"$")
        assert recovery.intercepting  # the retry fence is still active
        recovery.retry_fence.fenced_until = [0.0] * 3
        await wait_until(lambda: not recovery.intercepting)

        def on_reply(reply):
            raise AssertionError("intercept must not send a reply here")

        assert recovery.intercept(None, None, on_reply) is on_reply  # the operation is not examined
        await wait_until(lambda: recovery.snapshot_file.load()[0].servers != [])
    again = SnapshotFile(setup.entry.snapshot, snapshot_identity(KEY, "n0", 0)).load()[0]
    assert again.run == 1 and again.list_rev == 2


async def _retry_after_a_loss(tmp_path, switched_off):
    """Retries writes from before a loss: one with an idempotency key, and one non-idempotent.

    Returns how often the origin ran a write, and the replies.
    """
    ran = []

    def origin(method, target, headers, body):
        ran.append(target)
        return 200, "", b"done %d" % len(ran)  # an equal reply on a reused connection is doubtful: retried

    setup, settings = RecoverySetup(tmp_path), {**SETTINGS, "replicasOfMe": 1}
    async with fleet(tmp_path, [Cache()], origin, settings=settings, build_extensions=setup.build) as env:
        assert setup.recovery.retry_fence.fenced_until[1:] > [setup.recovery.clock()] * 2
        setup.recovery.retry_fence.fenced_until = [0.0, 1e12, 1e12]  # as long as this test takes
        env.service.dispatcher.on_endpoints_changed(updated_list(env, boot_ms=5000))
        if switched_off:
            setup.recovery.retry_fence.must_fail = lambda *arguments: False
        client = await env.client()
        await wait_until(lambda: setup.recovery.sequence.stage is Stage.RAMPING)
        setup.recovery.ramp.fully_open = True
        labels = "c=mark,t=acme,d=4000,k=m1"
        retry = await client.put(labels=f"{labels},r=1")
        first = await client.put(labels=labels.replace("m1", "m2"))
        once = await client.put(labels="c=once,t=acme,d=4000,r=1")
        return len(ran), retry, first, once


@in_trio
async def test_a_retry_from_before_the_loss_fails_without_an_attempt(tmp_path):
    ran, retry, first, once = await _retry_after_a_loss(tmp_path, False)
    assert ran == 1 and first == bulk(b"done 1") and retry == once == b"-ERR failed\r\n"


@in_trio
async def test_without_the_retry_fence_it_runs_twice(tmp_path):
    ran, retry, _, _ = await _retry_after_a_loss(tmp_path, True)
    assert ran == 3 and retry == bulk(b"done 1")


class ForgetfulOrigin:
    """An origin that deduplicates by idempotency key, and loses the keys when it stops."""

    def __init__(self) -> None:
        self.port, self.ran, self.keys, self.override = free_port(), [], set(), None

    def reply(self, method, target, headers, body):
        key = headers["x-labels"].partition("k=")[2].partition(",")[0]
        if key not in self.keys:
            self.keys.add(key)
            self.ran.append(key)
        return self.override or (200, "", b"done")

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        self.keys.clear()
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    partial(trio.serve_tcp, Web(self.reply).serve, self.port, host="127.0.0.1")
                )
                task_status.started(scope)
                await trio.sleep_forever()


async def _retry_before_the_list_changes(tmp_path, switched_off):
    """The origin restarts during a write with an idempotency key, and no list reports it.

    Returns how often the write ran, its first reply and the reply to its retry.
    """
    setup, origin, settings = RecoverySetup(tmp_path), ForgetfulOrigin(), {**SETTINGS, "replicasOfMe": 1}
    async with (
        trio.open_nursery() as nursery,
        fleet(tmp_path, [Cache()], settings=settings, build_extensions=setup.build) as env,
    ):
        recovery, first_replies = setup.recovery, []
        origin_scope = await nursery.start(origin.serve)
        env.targets[-1]["endpoint"] = f"127.0.0.1:{origin.port}"
        env.service.dispatcher.on_endpoints_changed(updated_list(env))
        await wait_until(lambda: recovery.sequence.stage in (Stage.RAMPING, Stage.OPEN))
        recovery.retry_fence.fenced_until, recovery.ramp.fully_open = [0.0] * 3, True
        if switched_off:
            recovery.incarnations.connection_broke = recovery.incarnations.connect_failed = (
                lambda *arguments: False
            )
        client, other = await env.client(), await env.client()
        assert (await client.put(labels="c=mark,t=acme,d=4000,k=m0")).startswith(b"$")
        origin.override = "stall"

        async def first_try():
            first_replies.append(await client.put(labels="c=mark,t=acme,d=4000,k=m1"))

        nursery.start_soon(first_try)
        await wait_until(lambda: "m1" in origin.ran)
        origin_scope.cancel()
        if not switched_off:
            await wait_until(lambda: first_replies)
        await trio.sleep(0.1)
        origin.override = None
        origin_scope = await nursery.start(origin.serve)
        await wait_until(lambda: first_replies)
        labels, replies = "c=mark,t=acme,d=4000,k=m1,r=1", [b"-BUSY"]
        while replies[-1].startswith(b"-BUSY"):
            replies.append(await other.put(labels=labels))
            await trio.sleep(0.02)
        fresh = [b"-BUSY"]
        while not fresh[-1].startswith(b"$"):  # the origin may still be ejected
            fresh.append(await other.put(labels="c=mark,t=acme,d=4000,k=m2"))
            await trio.sleep(0.02)
        outcome = origin.ran.count("m1"), first_replies[0], replies[-1]
        nursery.cancel_scope.cancel()
    return outcome


@in_trio
async def test_a_retry_before_the_list_reports_a_restart_fails(tmp_path):
    ran, first, retry = await _retry_before_the_list_changes(tmp_path, False)
    assert (ran, first, retry) == (1, b"-ERR failed\r\n", b"-ERR failed\r\n")


@in_trio
async def test_without_evidence_from_connections_it_runs_twice(tmp_path):
    ran, _, _ = await _retry_before_the_list_changes(tmp_path, True)
    assert ran == 2


@in_trio
async def test_a_clean_shutdown_is_announced_only_with_nothing_in_flight(tmp_path):
    setup, cache = RecoverySetup(tmp_path), Cache("stall")
    async with fleet(tmp_path, [cache], build_extensions=setup.build) as env:
        recovery, dispatcher = setup.recovery, env.service.dispatcher
        dispatcher.on_endpoints_changed(updated_list(env))
        recovery._open_after_failure()
        client = await env.client()
        await client.send("KV.GET", "k", "id-1", "c=read,t=acme,d=60000")
        await wait_until(lambda: cache.commands)
        await recovery.before_exit()
        assert not restart_scope.build_message(recovery.view, 1, 9.0).clean_shutdown
        dispatcher.fail_rest()
        await wait_until(lambda: not dispatcher.pending_operations and not env.service.pool.pending)
        await recovery.before_exit()
        assert restart_scope.build_message(recovery.view, 1, 9.0).clean_shutdown
    assert SnapshotFile(setup.entry.snapshot, snapshot_identity(KEY, "n0", 0)).load()[0].run == 1


def store_snapshot(tmp_path, targets, **more):
    """Writes a snapshot of the router's previous run."""
    servers = [
        ServerEntry(each["uid"], each["endpoint"], each["az"], each["model"], 0, "ready", 50.0)
        for each in targets
    ]
    snapshot = stored_snapshot(servers=servers, list_rev=40, **more)
    SnapshotFile(str(tmp_path / "snap"), snapshot.identity).save(snapshot)


@pytest.mark.parametrize("way", ["last", "older"])
@in_trio
async def test_a_stored_or_outdated_list_serves_only_reads(tmp_path, way):
    setup, settings = RecoverySetup(tmp_path, doubt=1000.0), {**SETTINGS, "replicasOfMe": 1}

    def build(service, nursery):
        store_snapshot(tmp_path, service.configuration.cached_list["targets"])
        return setup.build(service, nursery)

    async with fleet(tmp_path, [Cache()], settings=settings, build_extensions=build) as env:
        recovery = setup.recovery
        assert recovery.view.run == 8
        if way == "older":
            # older than the known list
            env.service.dispatcher.on_endpoints_changed(updated_list(env, boot_ms=20_000))
        await wait_until(lambda: env.service.lifecycle.phase.name == "READY")
        assert recovery.outdated_list_until
        client, replies = await env.client(), [b""]
        with trio.fail_after(20):
            while not replies[-1].startswith(b"$"):  # routing has its own budget for cold servers
                assert not recovery.outdated_list_until or (await client.put()).startswith(b"-BUSY")
                replies.append(await client.get())
                await trio.sleep(0.02)
        if way == "last":
            env.service.dispatcher.on_endpoints_changed(updated_list(env, boot_ms=90_000))
        else:
            recovery.outdated_list_until = recovery.clock()  # the `doubt` time is over
        await wait_until(lambda: not recovery.outdated_list_until)
        recovery.retry_fence.fenced_until, recovery.ramp.fully_open = [0.0] * 3, True
        assert (await client.put()).startswith(b"$")


def feed(name, revision, *rows):
    tenants = [TenantRow(tenant, number, number, "active", 1.0, 10.0) for number, tenant in rows]
    return Feed(name, revision, True, tenants)


@in_trio
async def test_an_outdated_feed_is_not_followed_at_once_and_never_into_another_tenants_keys(tmp_path):
    setup, settings = RecoverySetup(tmp_path, doubt=5.0), {**SETTINGS, "replicasOfMe": 1}
    async with fleet(tmp_path, [Cache()], settings=settings, build_extensions=setup.build):
        recovery = setup.recovery
        whole = feed("s1", 20, (1, "acme"), (2, "bolt"))
        assert recovery.filter_feed(whole) is whole
        with pytest.raises(FeedError, match="older"):
            recovery.filter_feed(feed("s1", 11, (1, "acme")))
        assert recovery.filter_feed(feed("s1", 21, (1, "acme"), (2, "bolt"))).revision == 21
        with pytest.raises(FeedError, match="other"):
            recovery.filter_feed(feed("s2", 3, (1, "acme"), (2, "dune")))
        # The `doubt` time is over: the new store is followed, but not its incarnation 2.
        recovery.outdated_feed_until = 1.0
        after = recovery.filter_feed(feed("s2", 4, (1, "acme"), (2, "dune")))
        assert [row.name for row in after.tenants] == ["acme"]
        assert recovery.filter_feed(feed("s2", 5, (3, "dune"))).tenants[0].name == "dune"


@in_trio
async def test_recovery_messages_and_routing_messages_are_told_apart(tmp_path):
    setup, sent = RecoverySetup(tmp_path, decide=1000.0), []
    async with fleet(tmp_path, [Cache()], build_extensions=setup.build) as env:
        recovery, dispatcher = setup.recovery, env.service.dispatcher
        recovery._send_message = lambda number, echo=None: sent.append(
            restart_scope.build_message(recovery.view, number, recovery.uptime(), echo)
        )
        assert recovery.view.verdict is Verdict.DECIDING
        peer = restart_scope.initial_view(1, recovery.view.zone, 5, 77, (0, 5), (-1, -1), 3.0, 6)
        peer = restart_scope.receive_message(peer, restart_scope.build_message(recovery.view, 1, 0.0), 40.0)[
            0
        ]
        assert "recovering" in repr(env.service.lifecycle.phase).lower()
        dispatcher.on_gossip(
            1, MessageCodec(b"wrong key" * 2).encode(restart_scope.build_message(peer, 0, 40.0))
        )
        assert recovery.codec.dropped["mark"] == 1 and recovery.view.epoch == 0
        from_survivor = restart_scope.build_message(peer, 0, 40.0, keys_lost_ago=3.0)._replace(survived=True)
        before = recovery.clock()
        dispatcher.on_gossip(1, recovery.codec.encode(from_survivor))
        after = recovery.clock()
        assert recovery.view.verdict is Verdict.LONE and recovery.view.epoch == 6
        assert recovery.retry_fence.is_active(before + 5.9)  # it saw keys lost 3 s ago; the window is 9 s
        assert not recovery.retry_fence.is_active(after + 6.1)
        dispatcher.on_gossip(1, struct.pack("<f", 4.0))
        assert dispatcher.router.gossip.peers[1][1] == (4.0,)


@in_trio
async def test_an_internal_error_does_not_keep_the_router_closed(tmp_path):
    setup = RecoverySetup(tmp_path, list_wait=60.0)
    async with fleet(tmp_path, [Cache()], build_extensions=setup.build) as env:
        client = await env.client()
        assert await client.ask("PING") == b"-ERR recovering\r\n"
        env.service.dispatcher.on_endpoints_changed(updated_list(env))
        setup.recovery.ramp.set_shares = None
        await wait_until(lambda: setup.recovery.sequence.stage is Stage.OPEN)
        assert await client.ask("PING") == b"+PONG\r\n" and (await client.get()).startswith(b"$")


# ---------------------------------------------------------------- installation and key file

INSTALLATION_FILE = """
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
def test_an_invalid_field_is_named(change, field):
    assert parse(INSTALLATION_FILE.encode(), Installation).recovery.on
    with pytest.raises(BadFile, match=f"^file: {field}: "):
        parse(INSTALLATION_FILE.replace(*change).encode(), Installation)


def test_a_short_or_missing_key_file_is_refused(tmp_path):
    (tmp_path / "key").write_bytes(b"short\n")
    for path in ("key", "none"):
        with pytest.raises(RecoveryKeyError):
            read_key(str(tmp_path / path))
