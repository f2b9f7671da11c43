"""The decisions of admission control in virtual time, then a router with it on real sockets."""

import random
from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace

import pytest
import trio

from gaugehinge.admission.admission_control import FairAdmissionControl
from gaugehinge.admission.connection_slots import (
    ACCEPT_CPU_FRACTION,
    BURST_SECONDS,
    MIN_ACCEPT_CPU,
    NO_REQUEST_YET,
    AcceptLimiter,
    eviction_order,
)
from gaugehinge.admission.costs import INITIAL_OPERATION_COST, CostEstimator
from gaugehinge.admission.fairness import CLIENT_BUCKETS, MIN_WEIGHT, FairQueue, QueuedOperation
from gaugehinge.admission.heavy_hitters import HeavyHitters
from gaugehinge.admission.limiter import LAG_SAMPLES, MIN_LIMIT, ConcurrencyLimiter
from gaugehinge.admission.retry_after import MAX_RETRY_BUDGET, RetryAfter
from gaugehinge.emulator.virtual import VirtualTime
from gaugehinge.routing.types import Operation
from gaugehinge.settings import read_settings
from tests.helper import SETTINGS, Cache, fleet


class QueueServer:
    """A fair queue and a server that serves a thousand units of cost per second."""

    def __init__(self, shares, capacity=10_000) -> None:
        self.queue = FairQueue(shares, capacity, 7, 0.0)
        self.now = 0.0
        self.served: Counter = Counter()
        self.clients: Counter = Counter()

    def put(self, tenant, client=b"c", cost=1.0, priority_weight=1.0, expires_at=1e9) -> QueuedOperation:
        bucket = self.queue.bucket(tenant, client, self.now)
        entry = QueuedOperation((tenant, client), tenant, bucket, priority_weight, cost, self.now, expires_at)
        self.queue.enqueue(entry)
        return entry

    def serve(self, count: int) -> None:
        for _ in range(count):
            entry = self.queue.dequeue(self.now)
            self.served[entry.tenant] += entry.cost
            self.clients[entry.item] += 1
            self.now += entry.cost / 1000.0


def test_tenants_are_served_in_proportion_to_weight():
    server = QueueServer([1.0, 2.0, 1.0])
    for _ in range(500):
        server.put(0, cost=1.0)
    for _ in range(300):
        server.put(1, cost=2.0)
    for _ in range(300):
        server.put(2, cost=0.5)
    server.serve(400)
    whole = sum(server.served.values())
    assert [round(server.served[i] / whole, 2) for i in range(3)] == pytest.approx(
        [0.25, 0.5, 0.25], abs=0.02
    )


def test_clients_of_a_tenant_share_fairly_with_a_greedy_client():
    server = QueueServer([1.0])
    for i in range(300):
        server.put(0, b"greedy")
        server.put(0, b"tiny-%d" % i)
    server.serve(290)
    assert server.clients[0, b"greedy"] <= 6  # one of about 250 buckets, not half of all


def test_rare_operation_of_a_low_weight_tenant_is_served_next():
    server = QueueServer([1000.0, 0.0])
    for _ in range(2000):
        server.put(0)
    server.serve(500)
    server.put(1)
    server.serve(2)
    assert server.served[1] == 1.0
    assert server.queue.tenant_queues[1].weight == MIN_WEIGHT


def test_idle_tenants_accrue_no_credit_and_unqueued_operations_are_charged():
    server = QueueServer([1.0, 1.0])
    bucket = server.queue.bucket(0, b"c", 0.0)
    for _ in range(200):
        server.queue.charge_unqueued(0, bucket, 1.0)
    for _ in range(100):
        server.put(0)
        server.put(1)
    server.serve(100)
    assert server.served[0] == pytest.approx(server.served[1], abs=2)
    first = QueueServer([1.0, 1.0])
    first.queue.charge_unqueued(1, first.queue.bucket(1, b"c", 0.0), 20.0)
    for _ in range(50):
        first.put(0)
        first.put(1)
    first.serve(20)
    assert first.served[0] == 20.0  # tenant 1 had just been charged as much


def test_bucket_collisions_end_when_the_hash_is_reseeded():
    queue = FairQueue([1.0], 10, 7, 0.0)
    names = [b"%d" % i for i in range(3 * CLIENT_BUCKETS)]

    def collide(now: float) -> set:
        buckets = {}
        for name in names:
            buckets.setdefault(queue.bucket(0, name, now), []).append(name)
        return {tuple(group[:2]) for group in buckets.values() if len(group) > 1}

    assert len(collide(0.0) & collide(11.0)) < 0.05 * len(collide(0.0))


def test_memory_is_bounded_with_many_clients():
    server = QueueServer([1.0] * 5, capacity=100)
    draw = random.Random(1)
    for i in range(20_000):  # each client is new; up to a million in benchmarks/door.py
        if len(server.queue) >= 100:
            server.serve(50)
        server.put(draw.randrange(5), b"client-%d" % i)
    assert sum(len(queue.flows) for queue in server.queue.tenant_queues) <= len(server.queue) <= 100
    assert (
        sum(len(queue.flow_heap) for queue in server.queue.tenant_queues) <= 300
        and len(server.queue._expiry_heap) < 1000
    )
    while len(server.queue):
        server.serve(1)
    assert not any(queue.flows or queue.length for queue in server.queue.tenant_queues)


def test_removed_operations_are_neither_served_nor_charged():
    server = QueueServer([1.0, 1.0])
    entries = [server.put(0, b"%d" % i) for i in range(10)]
    for entry in entries[:9]:
        server.queue.remove(entry, "gone")
        server.queue.remove(entry, "gone")  # a second removal has no effect
    server.put(1)
    server.serve(2)
    assert server.served == {0: 1.0, 1: 1.0} and len(server.queue) == 0
    assert server.queue.tenant_queues[0].rejections == {"gone": 9} and server.queue.dequeue(1.0) is None


def test_expired_operations_are_returned_in_expiry_order():
    server = QueueServer([1.0])
    entries = [server.put(0, expires_at=float(10 - i)) for i in range(5)]
    assert server.queue.next_expiry() == 6.0
    due = list(server.queue.pop_expired(8.0))
    assert due == [entries[4], entries[3], entries[2]]


def test_newest_operations_are_served_first_during_a_long_overload():
    server = QueueServer([1.0, 1.0])
    for _ in range(50):
        server.put(0)
    for step in range(12):  # one every tenth of a second, so the rest wait ever longer
        server.now = 0.2 + step * 0.1
        server.serve(1)
    assert server.queue.tenant_queues[0].newest_first and not server.queue.tenant_queues[1].newest_first
    server.put(0, cost=7.0)
    assert server.queue.dequeue(server.now).cost == 7.0
    while len(server.queue):
        server.serve(1)
    for _ in range(3):
        server.now += 0.6
        server.put(0)
        server.serve(1)
    assert not server.queue.tenant_queues[0].newest_first
    assert [text.split(":")[0] for text in server.queue.log_messages] == [
        "admission queue of tenant 0 newest first",
        "admission queue of tenant 0 oldest first",
    ]


def test_victim_is_the_lowest_priority_operation_of_the_most_over_share_tenant():
    server = QueueServer([1.0, 4.0])
    for _ in range(30):
        server.put(0, priority_weight=3.0)
    cheap = server.put(0, priority_weight=0.5)
    for _ in range(60):
        server.put(1, priority_weight=0.1)
    assert server.queue.choose_victim(0.0) is cheap


def test_shares_may_change_while_the_queue_is_full():
    server = QueueServer([1.0, 1.0])
    for _ in range(600):
        server.put(0)
        server.put(1)
    server.serve(100)
    server.queue.set_shares([3.0, 1.0])
    server.served.clear()
    server.serve(400)
    assert server.served[0] / server.served[1] == pytest.approx(3.0, rel=0.1)


# -- costs, heavy hitters, limits, retry delays, connection slots


def test_cost_fit_separates_operations_from_bytes():
    costs, draw = CostEstimator(2), random.Random(3)
    for _ in range(400):
        small, huge = draw.randrange(50), draw.randrange(10)
        for _ in range(small):
            costs.record(0, 500)
        for _ in range(huge):
            costs.record(1, 400_000)
        costs.sample(small * 0.0003 + huge * (0.0003 + 400_000 * 5e-9))
    assert costs.per_operation == pytest.approx(0.0003, rel=0.15)
    assert costs.per_byte == pytest.approx(5e-9, rel=0.15)
    assert costs.cost(1, 0) > 5 * costs.cost(0, 0)
    fresh = CostEstimator(1)
    fresh.sample(0.01)  # without finished operations nothing is learnt
    assert fresh.per_operation == INITIAL_OPERATION_COST


def test_heavy_hitters_are_found_among_many_clients():
    heavy, draw = HeavyHitters(64, 5.0, 0.0), random.Random(2)
    for i in range(20_000):
        heavy.add(b"big" if draw.random() < 0.1 else b"%d" % i, 1.0, i / 10_000.0)
    assert heavy.fraction(b"big") > 0.05 and len(heavy) <= 64
    assert max(heavy.fraction(name) for name in list(heavy._weights) if name != b"big") < 0.02
    for step in range(200):
        heavy.add(b"x", 1e-6, 10.0 + 6.0 * step)
    assert heavy.fraction(b"big") == 0.0


def test_limit_drops_with_lag_and_recovers():
    limiter, now = ConcurrencyLimiter(1000, 0.0), 0.0

    def look(times: int, lag: float, in_flight: int, queued: int, step: float = 0.05) -> None:
        nonlocal now
        for _ in range(times):
            now += step
            limiter.sample(lag, min(in_flight, int(limiter.limit)), queued, 0.1, now)

    look(100, 0.0, 10, 0)
    assert limiter.limit == 1000
    look(LAG_SAMPLES, 0.3, 200, 50)
    assert limiter.limit == 100  # half of the operations in flight, not of a limit that was never reached
    look(1, 0.3, 200, 50)
    assert limiter.limit == 100  # operations in flight before the decrease have not ended yet
    look(200, 0.05, 8, 50, step=1.0)
    assert limiter.limit == MIN_LIMIT
    look(2000, 0.001, 1000, 50)
    assert limiter.limit == 1000
    assert [text.split(":")[0] for text in limiter.log_messages] == [
        "admission limit narrow",
        "admission limit wide",
    ]


def test_lag_of_a_time_sliced_core_does_not_reduce_the_limit():
    # Three other processes share the core: every other sample is 25 ms late, with half of the CPU to spare.
    limiter, now = ConcurrencyLimiter(500, 0.0), 0.0
    for step in range(200):
        now += 0.05
        limiter.sample(0.025 if step % 2 else 0.005, 60, 5, 0.1, now)
    assert limiter.limit == 500


def test_connections_of_one_tenant_take_no_slots_from_others():
    harness = Harness()
    connections = [Connection(0, "a", 0.0) for _ in range(80)] + [Connection(1, "a", 0.0) for _ in range(20)]
    assert harness.admission.exceeds_connection_quota(0, connections, 100)
    assert not harness.admission.exceeds_connection_quota(1, connections, 100)


def test_occasional_stalls_of_300_ms_do_not_collapse_the_limit():
    limiter, now = ConcurrencyLimiter(500, 0.0), 0.0
    for step in range(400):  # a stall every two seconds
        now += 0.05
        limiter.sample(0.3 if step % 40 == 0 else 0.001, min(60, int(limiter.limit)), 5, 0.1, now)
        assert limiter.limit >= 25


def test_retry_delays_are_jittered_capped_and_longer_for_retries():
    retry_after = RetryAfter(2.0, 1, 7)
    times = [retry_after.delay(0.3, False) for _ in range(200)]
    assert 0.3 <= min(times) < 0.35 and 0.55 < max(times) <= 0.6
    assert min(retry_after.delay(0.3, True) for _ in range(50)) >= 0.6
    long = [retry_after.delay(100.0, False) for _ in range(200)]
    assert max(long) <= 2.0 and max(long) - min(long) > 0.8
    assert RetryAfter(0.0, 1, 7).delay(0.3, False) == 0.0


def test_retries_spend_budget_earned_by_first_attempts():
    retry_after = RetryAfter(2.0, 2, 7)
    allowed = sum(retry_after.allow(0, True) for _ in range(100))
    assert allowed <= MAX_RETRY_BUDGET
    for _ in range(20):
        retry_after.allow(0, False)
    assert sum(retry_after.allow(0, True) for _ in range(100)) == 4
    assert retry_after.allow(1, True)  # budgets are per tenant


@dataclass(eq=False)
class Connection:
    tenant: int
    source: str
    idle_since: float


def test_eviction_starts_with_unused_connections_then_the_largest_holder():
    silent = [Connection(NO_REQUEST_YET, "s", 2.0), Connection(NO_REQUEST_YET, "s", 1.0)]
    many = [Connection(0, "a", i / 10.0) for i in range(5)] + [Connection(0, "b", 0.0)]
    few = [Connection(1, "a", 0.0)]
    order = eviction_order([*few, *many, *silent])
    assert order[:2] == [silent[1], silent[0]] and order[2:8] == [*many[:5], many[5]] and order[8:] == few


def test_accepting_is_limited_to_a_fraction_of_the_cpu():
    accept_limiter = AcceptLimiter(0.0)
    assert accept_limiter.may_accept(0.0) and accept_limiter.accept_cpu == MIN_ACCEPT_CPU
    now, accepted = 0.0, 0
    for _ in range(10_000):  # many connections at each check; accepting one takes 0.1 ms
        now += 0.001
        while accept_limiter.may_accept(now):
            accept_limiter.charge(1e-4)
            accepted += 1
    assert abs(accepted * 1e-4 - MIN_ACCEPT_CPU * (10.0 + BURST_SECONDS)) < 0.01
    for _ in range(100):
        accept_limiter.sample(0.05, 0.05)  # a whole core
    assert abs(accept_limiter.accept_cpu - ACCEPT_CPU_FRACTION) < 0.01


# -- admission control as a whole, in virtual time


class Harness:
    """Admission control in front of a dispatcher that answers after a fixed time."""

    def __init__(self, limit=4, service_time=0.05, shares=(1.0, 1.0)) -> None:
        self.time = VirtualTime(100.0)
        parties = [
            {"name": f"t{i}", "share": share, "allowancePerS": 100.0} for i, share in enumerate(shares)
        ]
        settings = read_settings(7, {**SETTINGS, "parties": parties})
        self.timers = SimpleNamespace(
            clock=self.time.clock, call_at=self.time.call_at, current_lag=0.0, lag=0.0
        )
        self.service_time = service_time
        self.sent: list = []
        self.answers: list = []
        dispatcher = SimpleNamespace(
            timers=self.timers, clock=self.time.clock, submit=self.submit, client_gone=self.sent.append
        )
        self.admission = FairAdmissionControl(settings, dispatcher, 64 << 20)
        self.admission.limiter.limit = self.admission.limiter.max_limit = limit
        self.types = settings.deployment.traffic_types

    def submit(self, operation, payload, answer) -> int:
        self.sent.append(operation.key)
        self.time.call_at(self.time.now + self.service_time, answer, b"$2\r\nok\r\n")
        return len(self.sent)

    def ask(self, key, tenant=0, row=0, wait=1.0, client=b"c", is_retry=False):
        now = self.time.now
        operation = Operation(0, self.types[row], key, tenant, row > 0, is_retry, now, now + wait)
        return self.admission.submit(
            operation, None, lambda reply: self.answers.append((key, reply, self.time.now)), client, 200
        )

    def replies(self, key) -> list:
        return [(reply, at) for name, reply, at in self.answers if name == key]


def test_operations_bypass_the_queue_below_the_limit():
    harness = Harness()
    for i in range(4):
        harness.ask(b"%d" % i)
    assert len(harness.sent) == 4
    harness.time.run(101.0)
    assert [reply for _, reply, _ in harness.answers] == [
        b"$2\r\nok\r\n"
    ] * 4 and harness.admission.in_flight == 0


def test_every_operation_gets_exactly_one_answer():
    harness, draw = Harness(limit=3, service_time=0.1), random.Random(5)
    entries = {}
    for i in range(2000):
        key = b"%d" % i
        entries[key] = harness.ask(
            key,
            draw.randrange(2),
            draw.randrange(3),
            draw.choice([0.05, 0.2, 1.0]),
            b"%d" % draw.randrange(20),
            draw.random() < 0.2,
        )
        if draw.random() < 0.05:
            harness.admission.client_gone(entries[key])
        harness.time.run(harness.time.now + draw.random() * 0.02)
    harness.time.run(harness.time.now + 5.0)
    counts = Counter(key for key, _, _ in harness.answers)
    assert all(counts[key] == 1 for key, entry in entries.items() if not entry.client_left)
    assert (
        max(counts.values()) == 1 and harness.admission.in_flight == 0 and not harness.admission.queue.length
    )
    assert sum(reply.startswith(b"$") for _, reply, _ in harness.answers) > 100


def test_operation_that_would_expire_in_the_queue_is_rejected_at_once():
    harness = Harness(limit=1, service_time=0.05)
    for i in range(40):
        harness.ask(b"%d" % i, client=b"%d" % i, wait=30.0)
    harness.time.run(100.45)
    harness.ask(b"hurried", wait=0.5)
    [(reply, at)] = harness.replies(b"hurried")
    assert reply.startswith(b"-BUSY ") and at == harness.time.now


def test_queued_non_idempotent_write_is_rejected_before_its_deadline():
    harness = Harness(limit=1, service_time=2.0)
    harness.ask(b"long", wait=5.0)
    harness.ask(b"book", row=2, wait=0.4)
    harness.time.run(105.0)
    [(reply, at)] = harness.replies(b"book")
    assert reply.startswith(b"-BUSY") and at < 100.4 - 0.004 and b"book" not in harness.sent


def test_operation_of_a_disconnected_client_leaves_the_queue_at_once():
    harness = Harness(limit=1)
    harness.ask(b"first")
    queued = harness.ask(b"second")
    harness.admission.client_gone(queued)
    assert not harness.admission.queue.length
    harness.time.run(101.0)
    assert harness.sent == [b"first"] and not harness.replies(b"second")


def test_early_retries_are_limited_and_get_longer_delays():
    harness = Harness(limit=1, service_time=0.5)
    for i in range(200):
        harness.ask(b"%d" % i, is_retry=True, client=b"%d" % i)
    bounced = [int(reply.split()[1]) for _, reply, _ in harness.answers if reply.startswith(b"-BUSY ")]
    assert len(bounced) >= 190 and min(bounced) >= 200 and len(set(bounced)) > 50
    assert harness.admission.queue.tenant_queues[0].rejections["repeats"] >= 190


def test_tenant_at_five_times_its_share_does_not_starve_another():
    harness = Harness(limit=2, service_time=0.01)  # 200 per second
    for step in range(1000):
        for i in range(5):
            harness.ask(b"flood-%d-%d" % (step, i), 0, client=b"%d" % i, wait=0.3)
        if step % 2 == 0:
            harness.ask(b"calm-%d" % step, 1, wait=0.3)
        harness.time.run(harness.time.now + 0.01)
    harness.time.run(harness.time.now + 1.0)
    calm = [reply.startswith(b"$") for key, reply, _ in harness.answers if key.startswith(b"calm")]
    flood = [reply.startswith(b"$") for key, reply, _ in harness.answers if key.startswith(b"flood")]
    assert sum(calm) / len(calm) > 0.95
    assert 1200 < sum(flood) < 1800  # the rest of the 2,000 in ten seconds, not more


def test_a_full_queue_makes_room_for_another_tenant():
    harness = Harness(limit=1, service_time=10.0)
    for i in range(harness.admission.queue.capacity + 1):
        harness.ask(b"flood-%d" % i, 0, wait=60.0)
    assert len(harness.admission.queue) == harness.admission.queue.capacity and not harness.answers
    harness.ask(b"other", 1, wait=60.0)
    assert len(harness.admission.queue) == harness.admission.queue.capacity
    [(key, reply, _)] = harness.answers
    assert key.startswith(b"flood") and reply.startswith(b"-BUSY")


def test_queued_operations_are_answered_on_shutdown():
    harness = Harness(limit=1, service_time=10.0)
    for i in range(5):
        harness.ask(b"%d" % i, wait=60.0)
    harness.admission.reject_queued()
    assert len(harness.answers) == 4 and all(reply.startswith(b"-BUSY") for _, reply, _ in harness.answers)


# -- on sockets


def test_router_with_admission_control_serves_rejects_and_releases_everything(tmp_path):
    async def main() -> None:
        cache = Cache("late")
        async with fleet(tmp_path, [cache], new_door=FairAdmissionControl) as made:
            admission = made.service.clients.admission_control
            admission.limiter.limit = admission.limiter.max_limit = 2
            clients = [await made.client() for _ in range(6)]
            answers: list = []

            async def ask(client) -> None:
                answers.append(await client.get())

            async with trio.open_nursery() as nursery:
                for client in clients:
                    nursery.start_soon(ask, client)
            # The decision module rejects what one slow cache server cannot take; all operations are answered.
            assert len(answers) == 6 and all(answer.startswith((b"$", b"-BUSY")) for answer in answers)
            assert any(answer.startswith(b"$") for answer in answers)
            assert not admission.in_flight and not admission.queue.length
            admission.in_flight = 2  # as if two were in flight, so new operations are queued
            held, other = await made.client(), await made.client()
            await held.send("KV.SET", "k", "waits", "c=once,t=acme,d=3000", "v")
            await other.send("KV.GET", "k", "waits-too", "c=read,t=acme,d=3000")
            with trio.fail_after(10):
                while admission.queue.length < 2:
                    await trio.sleep(0.01)
                await held.stream.aclose()
                while admission.queue.length > 1:
                    await trio.sleep(0.01)
                admission.in_flight = 0
                assert (await other.answer()).startswith((b"$", b"-BUSY"))
            assert made.origin.seen == [] and not made.service.clients.limits.reserved_bytes

    trio.run(main)


def test_queued_write_is_answered_while_the_only_cache_server_stalls(tmp_path):
    async def main() -> None:
        async with fleet(tmp_path, [Cache("stall")], new_door=FairAdmissionControl) as made:
            admission = made.service.clients.admission_control
            admission.limiter.limit = admission.limiter.max_limit = 1
            first, second = await made.client(), await made.client()
            await first.send("KV.GET", "k", "one", "c=read,t=acme,d=300")
            with trio.fail_after(10):
                while admission.in_flight < 1:
                    await trio.sleep(0.01)
            await second.send("KV.SET", "k", "two", "c=once,t=acme,d=300", "v")
            assert (await second.answer()).startswith(b"-BUSY")
            assert (await first.answer()).startswith(b"-")
            assert not admission.in_flight and not admission.queue.length and made.origin.seen == []

    trio.run(main)
