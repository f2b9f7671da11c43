"""The door's decisions in virtual time, then a router with a door on real sockets."""

import random
from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace

import pytest
import trio

from gaugehinge.admission.retry_after import BUDGET_DEPTH, ComeBack
from gaugehinge.admission.costs import FIRST_EACH, Costs
from gaugehinge.admission.admission_control import FairAdmissionControl
from gaugehinge.admission.fairness import BUCKETS, LEAST_WEIGHT, FairQueue, Waiting
from gaugehinge.admission.heavy_hitters import Heavy
from gaugehinge.admission.limiter import FLOOR, LOOKS, Limiter
from gaugehinge.admission.connection_slots import ACCEPT_LEAST, ACCEPT_PART, BURST, NEVER_SPOKE, Pace, yielding
from gaugehinge.emulator.virtual import VirtualTime
from gaugehinge.routing.types import Operation
from gaugehinge.settings import read_settings
from tests.helper import SETTINGS, Cache, fleet


class Queue:
    """A fair queue and a server that works off one cost unit a second."""

    def __init__(self, shares, most=10_000) -> None:
        self.queue = FairQueue(shares, most, 7, 0.0)
        self.now = 0.0
        self.served: Counter = Counter()
        self.clients: Counter = Counter()

    def put(self, tenant, client=b"c", cost=1.0, payoff=1.0, leave=1e9) -> Waiting:
        bucket = self.queue.bucket(tenant, client, self.now)
        entry = Waiting((tenant, client), tenant, bucket, payoff, cost, self.now, leave)
        self.queue.put(entry)
        return entry

    def serve(self, count: int) -> None:
        for _ in range(count):
            entry = self.queue.take(self.now)
            self.served[entry.tenant] += entry.cost
            self.clients[entry.thing] += 1
            self.now += entry.cost / 1000.0


def test_tenants_are_served_by_their_weight_whatever_they_send():
    many = Queue([1.0, 2.0, 1.0])
    for _ in range(500):
        many.put(0, cost=1.0)
    for _ in range(300):
        many.put(1, cost=2.0)
    for _ in range(300):
        many.put(2, cost=0.5)
    many.serve(400)
    whole = sum(many.served.values())
    assert [round(many.served[i] / whole, 2) for i in range(3)] == pytest.approx([0.25, 0.5, 0.25], abs=0.02)


def test_clients_within_a_tenant_take_turns_beside_a_crowd_and_a_greedy_one():
    many = Queue([1.0])
    for i in range(300):
        many.put(0, b"greedy")
        many.put(0, b"tiny-%d" % i)
    many.serve(290)
    assert many.clients[0, b"greedy"] <= 6  # one of some 250 buckets, not half of all


def test_what_is_rare_is_served_next_though_its_weight_is_tiny():
    many = Queue([1000.0, 0.0])
    for _ in range(2000):
        many.put(0)
    many.serve(500)
    many.put(1)
    many.serve(2)
    assert many.served[1] == 1.0
    assert many.queue.lines[1].weight == LEAST_WEIGHT


def test_who_was_idle_saves_nothing_up_and_who_passed_by_is_counted():
    many = Queue([1.0, 1.0])
    bucket = many.queue.bucket(0, b"c", 0.0)
    for _ in range(200):
        many.queue.pass_by(0, bucket, 1.0)
    for _ in range(100):
        many.put(0)
        many.put(1)
    many.serve(100)
    assert many.served[0] == pytest.approx(many.served[1], abs=2)
    first = Queue([1.0, 1.0])
    first.queue.pass_by(1, first.queue.bucket(1, b"c", 0.0), 20.0)
    for _ in range(50):
        first.put(0)
        first.put(1)
    first.serve(20)
    assert first.served[0] == 20.0  # the other had just had as much


def test_two_that_collide_do_so_only_until_the_hash_changes():
    queue = FairQueue([1.0], 10, 7, 0.0)
    names = [b"%d" % i for i in range(3 * BUCKETS)]

    def collide(now: float) -> set:
        buckets = {}
        for name in names:
            buckets.setdefault(queue.bucket(0, name, now), []).append(name)
        return {tuple(group[:2]) for group in buckets.values() if len(group) > 1}

    assert len(collide(0.0) & collide(11.0)) < 0.05 * len(collide(0.0))


def test_memory_stays_as_it_was_with_a_million_clients():
    many = Queue([1.0] * 5, most=100)
    draw = random.Random(1)
    for i in range(20_000):  # each one new; a million in benchmarks/door.py
        if len(many.queue) >= 100:
            many.serve(50)
        many.put(draw.randrange(5), b"client-%d" % i)
    assert sum(len(line.flows) for line in many.queue.lines) <= len(many.queue) <= 100
    assert sum(len(line.order) for line in many.queue.lines) <= 300 and len(many.queue._leaving) < 1000
    while len(many.queue):
        many.serve(1)
    assert not any(line.flows or line.live for line in many.queue.lines)


def test_what_leaves_is_not_served_and_counts_nothing():
    many = Queue([1.0, 1.0])
    entries = [many.put(0, b"%d" % i) for i in range(10)]
    for entry in entries[:9]:
        many.queue.leave(entry, "gone")
        many.queue.leave(entry, "gone")  # a second time does nothing
    many.put(1)
    many.serve(2)
    assert many.served == {0: 1.0, 1: 1.0} and len(many.queue) == 0
    assert many.queue.lines[0].refused == {"gone": 9} and many.queue.take(1.0) is None


def test_those_whose_time_is_up_are_due_in_their_order():
    many = Queue([1.0])
    entries = [many.put(0, leave=float(10 - i)) for i in range(5)]
    assert many.queue.next_due() == 6.0
    due = list(many.queue.due(8.0))
    assert due == [entries[4], entries[3], entries[2]]


def test_a_long_overload_of_a_tenant_is_served_newest_first_until_it_is_over():
    many = Queue([1.0, 1.0])
    for _ in range(50):
        many.put(0)
    for step in range(12):  # one a tenth of a second: those left wait ever longer
        many.now = 0.2 + step * 0.1
        many.serve(1)
    assert many.queue.lines[0].newest_first and not many.queue.lines[1].newest_first
    many.put(0, cost=7.0)
    assert many.queue.take(many.now).cost == 7.0
    while len(many.queue):
        many.serve(1)
    for _ in range(3):
        many.now += 0.6
        many.put(0)
        many.serve(1)
    assert not many.queue.lines[0].newest_first
    assert [text.split(":")[0] for text in many.queue.log] == [
        "door line 0 newest first",
        "door line 0 oldest first",
    ]


def test_the_tenant_furthest_beyond_its_weight_yields_its_least_payoff():
    many = Queue([1.0, 4.0])
    for _ in range(30):
        many.put(0, payoff=3.0)
    cheap = many.put(0, payoff=0.5)
    for _ in range(60):
        many.put(1, payoff=0.1)
    assert many.queue.victim(0.0) is cheap


def test_shares_may_change_while_the_queue_is_full():
    many = Queue([1.0, 1.0])
    for _ in range(600):
        many.put(0)
        many.put(1)
    many.serve(100)
    many.queue.share([3.0, 1.0])
    many.served.clear()
    many.serve(400)
    assert many.served[0] / many.served[1] == pytest.approx(3.0, rel=0.1)


# -- costs, heavy ones, limit, come-back times, places


def test_costs_tell_operations_and_bytes_apart():
    costs, draw = Costs(2), random.Random(3)
    for _ in range(400):
        small, huge = draw.randrange(50), draw.randrange(10)
        for _ in range(small):
            costs.ended(0, 500)
        for _ in range(huge):
            costs.ended(1, 400_000)
        costs.sample(small * 0.0003 + huge * (0.0003 + 400_000 * 5e-9))
    assert costs.each == pytest.approx(0.0003, rel=0.15)
    assert costs.byte == pytest.approx(5e-9, rel=0.15)
    assert costs.cost(1, 0) > 5 * costs.cost(0, 0)
    fresh = Costs(1)
    fresh.sample(0.01)  # nothing ended: nothing is learnt
    assert fresh.each == FIRST_EACH


def test_the_summary_finds_the_heavy_ones_in_a_crowd():
    heavy, draw = Heavy(64, 5.0, 0.0), random.Random(2)
    for i in range(20_000):
        heavy.add(b"big" if draw.random() < 0.1 else b"%d" % i, 1.0, i / 10_000.0)
    assert heavy.part(b"big") > 0.05 and len(heavy) <= 64
    assert max(heavy.part(name) for name in list(heavy._weights) if name != b"big") < 0.02
    for step in range(200):
        heavy.add(b"x", 1e-6, 10.0 + 6.0 * step)
    assert heavy.part(b"big") == 0.0


def test_the_limit_follows_the_lag_and_returns():
    limiter, now = Limiter(1000, 0.0), 0.0

    def look(times: int, lag: float, in_hand: int, waiting: int, step: float = 0.05) -> None:
        nonlocal now
        for _ in range(times):
            now += step
            limiter.sample(lag, min(in_hand, int(limiter.limit)), waiting, 0.1, now)

    look(100, 0.0, 10, 0)
    assert limiter.limit == 1000
    look(LOOKS, 0.3, 200, 50)
    assert limiter.limit == 100  # half of what was in hand, not of a limit that nobody felt
    look(1, 0.3, 200, 50)
    assert limiter.limit == 100  # what was in hand before has not left yet
    look(200, 0.05, 8, 50, step=1.0)
    assert limiter.limit == FLOOR
    look(2000, 0.001, 1000, 50)
    assert limiter.limit == 1000
    assert [text.split(":")[0] for text in limiter.log] == ["door narrow", "door wide"]


def test_a_core_in_slices_does_not_narrow_the_door():
    # Three other processes on its core: every other look is 25 ms late, with half of the CPU to spare.
    limiter, now = Limiter(500, 0.0), 0.0
    for step in range(200):
        now += 0.05
        limiter.sample(0.025 if step % 2 else 0.005, 60, 5, 0.1, now)
    assert limiter.limit == 500


def test_a_crowd_of_one_tenant_takes_no_places_from_the_others():
    hall = Hall()
    standing = [Connection(0, "a", 0.0) for _ in range(80)] + [Connection(1, "a", 0.0) for _ in range(20)]
    assert hall.door.exceeds_connection_quota(0, standing, 100)
    assert not hall.door.exceeds_connection_quota(1, standing, 100)


def test_stalls_of_300_ms_now_and_then_do_not_close_the_door():
    limiter, now = Limiter(500, 0.0), 0.0
    for step in range(400):  # a stall every two seconds
        now += 0.05
        limiter.sample(0.3 if step % 40 == 0 else 0.001, min(60, int(limiter.limit)), 5, 0.1, now)
        assert limiter.limit >= 25


def test_come_back_times_are_spread_cut_and_later_for_repeats():
    back = ComeBack(2.0, 1, 7)
    times = [back.time(0.3, False) for _ in range(200)]
    assert 0.3 <= min(times) < 0.35 and 0.55 < max(times) <= 0.6
    assert min(back.time(0.3, True) for _ in range(50)) >= 0.6
    long = [back.time(100.0, False) for _ in range(200)]
    assert max(long) <= 2.0 and max(long) - min(long) > 0.8
    assert ComeBack(0.0, 1, 7).time(0.3, False) == 0.0


def test_repeats_take_what_first_tries_earned():
    back = ComeBack(2.0, 2, 7)
    allowed = sum(back.allow(0, True) for _ in range(100))
    assert allowed <= BUDGET_DEPTH
    for _ in range(20):
        back.allow(0, False)
    assert sum(back.allow(0, True) for _ in range(100)) == 4
    assert back.allow(1, True)  # another tenant's budget is its own


@dataclass(eq=False)
class Connection:
    tenant: int
    source: str
    idle_since: float


def test_silent_connections_yield_first_then_whoever_holds_most():
    silent = [Connection(NEVER_SPOKE, "s", 2.0), Connection(NEVER_SPOKE, "s", 1.0)]
    crowd = [Connection(0, "a", i / 10.0) for i in range(5)] + [Connection(0, "b", 0.0)]
    few = [Connection(1, "a", 0.0)]
    order = yielding([*few, *crowd, *silent])
    assert order[:2] == [silent[1], silent[0]] and order[2:8] == [*crowd[:5], crowd[5]] and order[8:] == few


def test_accepting_takes_a_part_of_the_cpu_and_no_more():
    pace = Pace(0.0)
    assert pace.accept(0.0) and pace.part == ACCEPT_LEAST
    now, accepted = 0.0, 0
    for _ in range(10_000):  # a crowd at each look; each newcomer takes 0.1 ms
        now += 0.001
        while pace.accept(now):
            pace.took(1e-4)
            accepted += 1
    assert abs(accepted * 1e-4 - ACCEPT_LEAST * (10.0 + BURST)) < 0.01
    for _ in range(100):
        pace.sample(0.05, 0.05)  # a whole core
    assert abs(pace.part - ACCEPT_PART) < 0.01


# -- the door as a whole, under a clock moved by hand


class Hall:
    """A door before a dispatch that answers after a time."""

    def __init__(self, limit=4, took=0.05, shares=(1.0, 1.0)) -> None:
        self.time = VirtualTime(100.0)
        parties = [
            {"name": f"t{i}", "share": share, "allowancePerS": 100.0} for i, share in enumerate(shares)
        ]
        told = read_settings(7, {**SETTINGS, "parties": parties})
        self.timers = SimpleNamespace(
            clock=self.time.clock, call_at=self.time.call_at, current_lag=0.0, lag=0.0
        )
        self.took = took
        self.sent: list = []
        self.answers: list = []
        dispatcher = SimpleNamespace(
            timers=self.timers, clock=self.time.clock, submit=self.submit, client_gone=self.sent.append
        )
        self.door = FairAdmissionControl(told, dispatcher, 64 << 20)
        self.door.limiter.limit = self.door.limiter.most = limit
        self.types = told.deployment.traffic_types

    def submit(self, operation, payload, answer) -> int:
        self.sent.append(operation.key)
        self.time.call_at(self.time.now + self.took, answer, b"$2\r\nok\r\n")
        return len(self.sent)

    def ask(self, key, tenant=0, kind=0, wait=1.0, client=b"c", repeat=False):
        now = self.time.now
        operation = Operation(0, self.types[kind], key, tenant, kind > 0, repeat, now, now + wait)
        return self.door.submit(
            operation, None, lambda reply: self.answers.append((key, reply, self.time.now)), client, 200
        )

    def replies(self, key) -> list:
        return [(reply, at) for name, reply, at in self.answers if name == key]


def test_while_there_is_room_all_pass_by_at_once():
    hall = Hall()
    for i in range(4):
        hall.ask(b"%d" % i)
    assert len(hall.sent) == 4
    hall.time.run(101.0)
    assert [reply for _, reply, _ in hall.answers] == [b"$2\r\nok\r\n"] * 4 and hall.door.in_hand == 0


def test_every_operation_gets_one_answer_whatever_happens_to_it():
    hall, draw = Hall(limit=3, took=0.1), random.Random(5)
    entries = {}
    for i in range(2000):
        key = b"%d" % i
        entries[key] = hall.ask(
            key,
            draw.randrange(2),
            draw.randrange(3),
            draw.choice([0.05, 0.2, 1.0]),
            b"%d" % draw.randrange(20),
            draw.random() < 0.2,
        )
        if draw.random() < 0.05:
            hall.door.client_gone(entries[key])
        hall.time.run(hall.time.now + draw.random() * 0.02)
    hall.time.run(hall.time.now + 5.0)
    counts = Counter(key for key, _, _ in hall.answers)
    assert all(counts[key] == 1 for key, entry in entries.items() if not entry.gone)
    assert max(counts.values()) == 1 and hall.door.in_hand == 0 and not hall.door.queue.live
    assert sum(reply.startswith(b"$") for _, reply, _ in hall.answers) > 100


def test_one_whose_time_cannot_cover_its_turn_is_bounced_at_once_and_never_held():
    hall = Hall(limit=1, took=0.05)
    for i in range(40):
        hall.ask(b"%d" % i, client=b"%d" % i, wait=30.0)
    hall.time.run(100.45)
    hall.ask(b"hurried", wait=0.5)
    [(reply, at)] = hall.replies(b"hurried")
    assert reply.startswith(b"-BUSY ") and at == hall.time.now


def test_an_unrepeatable_write_that_waits_hears_before_its_client_gives_up():
    hall = Hall(limit=1, took=2.0)
    hall.ask(b"long", wait=5.0)
    hall.ask(b"book", kind=2, wait=0.4)
    hall.time.run(105.0)
    [(reply, at)] = hall.replies(b"book")
    assert reply.startswith(b"-BUSY") and at < 100.4 - 0.004 and b"book" not in hall.sent


def test_a_client_that_hung_up_leaves_the_queue_at_once():
    hall = Hall(limit=1)
    hall.ask(b"first")
    waiting = hall.ask(b"second")
    hall.door.client_gone(waiting)
    assert not hall.door.queue.live
    hall.time.run(101.0)
    assert hall.sent == [b"first"] and not hall.replies(b"second")


def test_repeats_against_their_come_back_time_are_bounded_and_told_later_ones():
    hall = Hall(limit=1, took=0.5)
    for i in range(200):
        hall.ask(b"%d" % i, repeat=True, client=b"%d" % i)
    bounced = [int(reply.split()[1]) for _, reply, _ in hall.answers if reply.startswith(b"-BUSY ")]
    assert len(bounced) >= 190 and min(bounced) >= 200 and len(set(bounced)) > 50
    assert hall.door.queue.lines[0].refused["repeats"] >= 190


def test_one_tenant_at_five_times_its_share_leaves_the_other_what_it_sends():
    hall = Hall(limit=2, took=0.01)  # 200 a second
    for step in range(1000):
        for i in range(5):
            hall.ask(b"flood-%d-%d" % (step, i), 0, client=b"%d" % i, wait=0.3)
        if step % 2 == 0:
            hall.ask(b"calm-%d" % step, 1, wait=0.3)
        hall.time.run(hall.time.now + 0.01)
    hall.time.run(hall.time.now + 1.0)
    calm = [reply.startswith(b"$") for key, reply, _ in hall.answers if key.startswith(b"calm")]
    flood = [reply.startswith(b"$") for key, reply, _ in hall.answers if key.startswith(b"flood")]
    assert sum(calm) / len(calm) > 0.95
    assert 1200 < sum(flood) < 1800  # the rest of the 2,000 in ten seconds, not more


def test_a_full_queue_makes_room_for_another_tenant():
    hall = Hall(limit=1, took=10.0)
    for i in range(hall.door.queue.most + 1):
        hall.ask(b"flood-%d" % i, 0, wait=60.0)
    assert len(hall.door.queue) == hall.door.queue.most and not hall.answers
    hall.ask(b"other", 1, wait=60.0)
    assert len(hall.door.queue) == hall.door.queue.most
    [(key, reply, _)] = hall.answers
    assert key.startswith(b"flood") and reply.startswith(b"-BUSY")


def test_what_waits_at_the_end_is_answered():
    hall = Hall(limit=1, took=10.0)
    for i in range(5):
        hall.ask(b"%d" % i, wait=60.0)
    hall.door.reject_queued()
    assert len(hall.answers) == 4 and all(reply.startswith(b"-BUSY") for _, reply, _ in hall.answers)


# -- on sockets


def test_a_router_with_a_door_serves_bounces_and_leaves_nothing_behind(tmp_path):
    async def main() -> None:
        cache = Cache("late")
        async with fleet(tmp_path, [cache], new_door=FairAdmissionControl) as made:
            door = made.service.clients.admission_control
            door.limiter.limit = door.limiter.most = 2
            clients = [await made.client() for _ in range(6)]
            answers: list = []

            async def ask(client) -> None:
                answers.append(await client.get())

            async with trio.open_nursery() as nursery:
                for client in clients:
                    nursery.start_soon(ask, client)
            # The decisions behind the door bounce what one slow cache could not take; all are answered.
            assert len(answers) == 6 and all(answer.startswith((b"$", b"-BUSY")) for answer in answers)
            assert any(answer.startswith(b"$") for answer in answers)
            assert not door.in_hand and not door.queue.live
            door.in_hand = 2  # as if two were out: what comes now waits
            held, other = await made.client(), await made.client()
            await held.send("KV.SET", "k", "waits", "c=once,t=acme,d=3000", "v")
            await other.send("KV.GET", "k", "waits-too", "c=read,t=acme,d=3000")
            with trio.fail_after(10):
                while door.queue.live < 2:
                    await trio.sleep(0.01)
                await held.stream.aclose()
                while door.queue.live > 1:
                    await trio.sleep(0.01)
                door.in_hand = 0
                assert (await other.answer()).startswith((b"$", b"-BUSY"))
            assert made.origin.seen == [] and not made.service.clients.limits.reserved_bytes

    trio.run(main)


def test_operations_that_wait_are_answered_when_the_router_leaves(tmp_path):
    async def main() -> None:
        async with fleet(tmp_path, [Cache("stall")], new_door=FairAdmissionControl) as made:
            door = made.service.clients.admission_control
            door.limiter.limit = door.limiter.most = 1
            first, second = await made.client(), await made.client()
            await first.send("KV.GET", "k", "one", "c=read,t=acme,d=300")
            with trio.fail_after(10):
                while door.in_hand < 1:
                    await trio.sleep(0.01)
            await second.send("KV.SET", "k", "two", "c=once,t=acme,d=300", "v")
            assert (await second.answer()).startswith(b"-BUSY")
            assert (await first.answer()).startswith(b"-")
            assert not door.in_hand and not door.queue.live and made.origin.seen == []

    trio.run(main)
