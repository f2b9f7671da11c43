"""Peeking, read sampling, read order and the rate level in virtual time; then reading on real sockets."""

import math
import random
from collections import Counter
from dataclasses import dataclass

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from gaugehinge.admission.admission_control import FairAdmissionControl
from gaugehinge.admission.rate_level import RateLevel
from gaugehinge.admission.read_scheduler import OLDEST_FIRST_EVERY, OVERLOAD_AGE, ReadScheduler
from gaugehinge.admission.request_peek import MAX_PEEK_BYTES, PeekedRead, peek_read
from gaugehinge.admission.sampling import ADMIT_MARGIN, MIN_READ_RATE, ReadSampler
from gaugehinge.net.request_errors import RequestError
from gaugehinge.net.request_parser import parse_labels
from gaugehinge.net.request_reader import MAX_PIPELINED_REQUESTS
from gaugehinge.net.resp import BULK, Malformed, Parser, bulk
from tests.helper import Cache, fleet, run


def command(key=b"k", request_id=b"i1", labels=b"c=read,t=acme,d=400", word=b"KV.GET") -> bytes:
    return b"*4\r\n" + bulk(word) + bulk(key) + bulk(request_id) + bulk(labels)


def parse_whole_read(data: bytes) -> PeekedRead | None:
    """What the parser finds in exactly one whole, well-formed read."""
    parser = Parser()
    parser.feed(data)
    try:
        message = parser.next()
        if message is None or len(parser):
            return None
        parts = [part.body for part in message.top.body]
        assert all(part.kind == BULK for part in message.top.body)
        labels, _ = parse_labels(parts[3])
        return PeekedRead(labels["c"], labels.get("t", ""), int(labels["d"]) / 1000.0, labels.get("r") == "1")
    except (Malformed, RequestError, LookupError, ValueError, AssertionError, TypeError):
        return None


def test_peek_agrees_with_the_parser():
    crlf_key = command(b"\r\n$3\r\n", b"x" * 40)
    for data in (command(), crlf_key, command(labels=b"d=7,c=put,r=1"), command(b"k" * 900)):
        assert peek_read(data) == parse_whole_read(data) is not None


def test_peek_declines_anything_but_one_whole_read():
    whole = command()
    for data in (
        whole[:-1],
        whole + b"*",
        whole + whole,
        command(word=b"KV.SET"),
        command(word=b"kv.get"),
        command(labels=b"c=read"),
        command(labels=b"d=1,d=2,c=read"),
        command(labels=b"c=read,d=x"),
        whole.replace(b"$1\r\nk", b"$01\r\nk"),
        whole.replace(b"$1\r\nk", b"$2\r\nk"),
        whole.replace(b"*4", b"*5"),
        whole.replace(b"$2\r\ni1", b"$3\r\ni1"),
        command(labels=b"c=read,d=1,,"),
        command(request_id=b"a b"),
        command(b"k" * MAX_PEEK_BYTES),
    ):
        assert peek_read(data) is None, data


PIECES = [b"\r\n", b"$1\r\n", b"*4\r\n", b"k", b"c=read,d=1"]
BYTES = st.one_of(st.binary(max_size=8), st.sampled_from(PIECES))


@settings(max_examples=300, deadline=None)
@given(BYTES, BYTES, BYTES, st.integers(0, 60), BYTES)
@example(b"k", b"i", b"c=read,d=5", 30, b"")
def test_peek_never_accepts_what_the_parser_does_not(key, request_id, labels, index, corrupted):
    data = command(key, request_id, labels)
    data = data[:index] + corrupted + data[index + len(corrupted) :]
    seen = peek_read(data)
    assert seen is None or seen == parse_whole_read(data)


# -- read sampling


def run_sampler(
    sampler: ReadSampler,
    seconds: float,
    arrivals: dict,
    forwarded: dict,
    backlog: float,
    start: float = 0.0,
    max_rate: float = math.inf,
) -> Counter:
    """Count admitted reads, given arrivals per second by (tenant, row) and forwards per second by tenant."""
    admitted: Counter = Counter()
    now, owed = start, Counter()
    while now < start + seconds - 1e-9:
        now += 0.05
        for key, rate in arrivals.items():
            owed[key] += rate * 0.05
            while owed[key] >= 1.0:
                owed[key] -= 1.0
                if sampler.should_parse(*key):
                    sampler.record_arrival(*key)
                    admitted[key] += 1
        for tenant, rate in forwarded.items():
            owed[tenant] += rate * 0.05
            while owed[tenant] >= 1.0:
                owed[tenant] -= 1.0
                sampler.record_forwarded(tenant)
        sampler.sample([backlog] * len(sampler.limited), [max_rate] * len(sampler.limited), now)
    return admitted


def test_sampler_admits_all_reads_without_a_backlog():
    sampler = ReadSampler(2, [1.0, 2.0], 3, 0.0)
    assert (
        run_sampler(sampler, 2.0, {(0, 0): 1000.0}, {0: 100.0}, 0.0)[0, 0] >= 1990 and not sampler.any_limited
    )


def test_sampler_admits_slightly_more_than_the_forward_rate_by_priority():
    sampler = ReadSampler(3, [1.0, 2.0], 3, 0.0)
    arrivals = {(0, 0): 800.0, (0, 1): 60.0, (1, 0): 90.0}
    run_sampler(sampler, 3.0, arrivals, {0: 100.0, 1: 90.0}, 0.1)
    found = run_sampler(sampler, 5.0, arrivals, {0: 100.0, 1: 90.0}, 0.1, 3.0)
    assert sampler.limited == [True, False, False]
    assert found[0, 1] >= 5 * 59 and found[1, 0] >= 5 * 89
    whole = (found[0, 0] + found[0, 1]) / 5.0
    assert 0.9 * ADMIT_MARGIN * 100.0 < whole < 1.1 * ADMIT_MARGIN * 100.0


def test_tenant_without_forwarded_reads_keeps_the_minimum_rate_and_recovers():
    sampler = ReadSampler(1, [1.0], 3, 0.0)
    run_sampler(sampler, 3.0, {(0, 0): 500.0}, {}, 1.0)
    found = run_sampler(sampler, 10.0, {(0, 0): 500.0}, {}, 1.0, 3.0)[0, 0] / 10.0
    assert 0.7 * MIN_READ_RATE < found < 1.3 * MIN_READ_RATE and sampler.log_messages.pop().startswith(
        "read sampling of tenant 0 limited"
    )
    run_sampler(sampler, 0.1, {(0, 0): 500.0}, {}, 0.0, 13.0)
    assert not sampler.any_limited and "open" in sampler.log_messages[-1]


def test_max_rate_bounds_a_tenant_without_a_backlog():
    sampler = ReadSampler(2, [1.0, 2.0], 3, 0.0)
    run_sampler(sampler, 3.0, {(0, 0): 300.0, (0, 1): 100.0}, {0: 150.0}, 0.0, 0.0, max_rate=150.0)
    assert sampler.limited == [True, False] and sampler.admit_fractions[0][1] == 1.0
    assert 40.0 < 300.0 * sampler.admit_fractions[0][0] < 60.0
    run_sampler(sampler, 0.2, {(0, 0): 300.0}, {0: 300.0}, 0.0, 3.0)
    assert not sampler.any_limited


# -- read order


@dataclass(eq=False)
class Connection:
    tenant: int
    ready_since: float = 0.0


def run_pass(
    scheduler: ReadScheduler, now: float, max_reads: int, read: Counter, cost: float = 0.0004
) -> None:
    """One pass that reads at most `max_reads` connections."""
    scheduler.decay(now)
    for _ in range(max_reads):
        pick = scheduler.next(now)
        if pick is None:
            return
        read[pick[0].tenant] += 1
        scheduler.add_time(pick[2], cost)


def test_many_connections_of_one_tenant_do_not_delay_other_tenants():
    scheduler = ReadScheduler([1.0, 1.0, 1.0], 0.0)
    read: Counter = Counter()
    now = 0.0
    for step in range(400):
        now += 0.005
        for tenant, count in ((0, 8), (1, 1), (2, 1), (-2, 1)):
            for _ in range(count):
                scheduler.add_ready(Connection(tenant), now)
        run_pass(scheduler, now, 6, read)
        # All requests of the other tenants have been read by now, except those that arrived in this pass.
        assert all(read[tenant] >= step - 1 for tenant in (1, 2, -2))
    assert read[0] >= 6 * 400 - sum(read[tenant] for tenant in (1, 2, -2))


def test_read_order_follows_shares():
    scheduler = ReadScheduler([3.0, 1.0], 0.0)
    read: Counter = Counter()
    now = 0.0
    for _ in range(400):
        now += 0.005
        for tenant in (0, 1):
            for _ in range(max(20 - len(scheduler._queues[tenant]), 0)):
                scheduler.add_ready(Connection(tenant), now)
        run_pass(scheduler, now, 8, read)
    # One in three reads goes by age, whatever the tenant.
    assert 1.8 < read[0] / read[1] < 3.4


def test_reads_on_new_connections_are_charged_to_new_connections():
    scheduler = ReadScheduler([1.0, 1.0], 0.0)
    read: Counter = Counter()
    now = 0.0
    for _ in range(300):
        now += 0.005
        for _ in range(10):
            scheduler.add_ready(Connection(-2), now)
        scheduler.add_ready(Connection(1), now)
        scheduler.decay(now)
        for _ in range(4):
            connection, _, index = scheduler.next(now)
            read[connection.tenant] += 1
            connection.tenant = 0  # its first request has told the tenant
            scheduler.add_time(index, 0.0004)
    assert read[1] >= 299


def test_oldest_connection_is_read_periodically_except_in_overload():
    scheduler = ReadScheduler([1.0, 1.0], 0.0)
    scheduler.add_time(0, 5.0)
    old = Connection(0)
    scheduler.add_ready(old, 1.0)
    for _ in range(OLDEST_FIRST_EVERY):
        scheduler.add_ready(Connection(1), 1.1)
    found = [scheduler.next(1.2)[0] for _ in range(OLDEST_FIRST_EVERY)]
    assert found.index(old) == OLDEST_FIRST_EVERY - 1
    # In a long overload the newest connection of a queue is read first: the clients of the others are about
    # to give up.
    first, last = Connection(0), Connection(0)
    scheduler.add_ready(first, 2.0)
    scheduler.add_ready(last, 2.0 + OVERLOAD_AGE)
    taken = [scheduler.next(2.01 + OVERLOAD_AGE)[0] for _ in range(3)]
    assert taken.index(last) < taken.index(first)


def test_scheduler_loses_no_connection_and_retains_no_closed_ones():
    draw, scheduler = random.Random(4), ReadScheduler([1.0, 5.0], 0.0)
    ready: list[Connection] = []
    taken = 0
    now = 1.0
    for _ in range(3000):
        now += draw.random() * 0.02
        if draw.random() < 0.55:
            connection = Connection(draw.randrange(-2, 3))
            scheduler.add_ready(connection, now)
            ready.append(connection)
        elif draw.random() < 0.2 and ready:
            scheduler.remove(ready.pop(draw.randrange(len(ready))))
        else:
            pick = scheduler.next(now)
            assert (pick is None) == (not ready)
            if pick is not None:
                ready.remove(pick[0])
                taken += 1
        assert scheduler.ready_count == len(ready)
        assert len(scheduler._queue_by_age) <= 2 * scheduler.ready_count + 66
    assert taken > 500
    while (pick := scheduler.next(now)) is not None:
        ready.remove(pick[0])
    assert not ready


# -- the rate level


def run_rate_level(
    level: RateLevel, lasts: float, demand, capacity: float, reject_cost: float, now: float
) -> float:
    """Run tenants that demand CPU seconds per second on a loop with `capacity` of them; returns the time.

    Rejecting takes `reject_cost` of each CPU second that is rejected.
    """
    end = now + lasts
    while now < end:
        now += 0.05
        admitted = [min(want, level.allowance(tenant)) for tenant, want in enumerate(demand)]
        rejecting = reject_cost * sum(want - got for want, got in zip(demand, admitted, strict=True))
        for tenant, got in enumerate(admitted):
            level.record(tenant, 0.05 * got)
        # Rejecting gets what serving leaves, and at most what there is to reject.
        left = max(capacity - sum(admitted), 0.0)
        backlogged = sum(admitted) + rejecting > capacity
        level.sample(1.0 if backlogged else 0.0, min(rejecting, left) / capacity, now)
    return now


def test_rate_level_limits_only_the_flooding_tenant():
    level = RateLevel([1.0] * 5, 0.0)
    demand = [0.9, 0.17, 0.17, 0.17, 0.17, 0.0]
    now = run_rate_level(level, 10.0, demand, 1.0, 0.1, 0.0)
    assert 0.17 < level.level < 0.35 and level.log_messages.pop(0).startswith("admission rate level 0.")
    assert all(level.allowance(tenant) > 0.17 for tenant in range(5))
    # When the flood is over, the level is removed.
    run_rate_level(level, 10.0, [0.17] * 5 + [0.0], 1.0, 0.1, now)
    assert level.level == math.inf and "none" in level.log_messages[-1]


def test_serving_keeps_cpu_time_when_all_tenants_flood():
    level = RateLevel([1.0] * 4, 0.0)
    # Rejecting all of it would take twice the loop's time. A level that was lowered until nothing was left
    # served nothing.
    run_rate_level(level, 30.0, [2.0] * 4 + [0.0], 1.0, 0.3, 0.0)
    assert 0.6 < 4 * level.level < 1.0


def test_rate_level_follows_changed_shares():
    level = RateLevel([1.0, 1.0], 0.0)
    level.record(0, 0.05)
    for step in range(10):
        level.sample(1.0, 0.0, 0.05 * (step + 1))
    assert level.allowance(0) == level.allowance(1) < math.inf
    level.set_shares([3.0, 1.0])
    assert math.isclose(level.allowance(0), 3.0 * level.allowance(1))


# -- on sockets


def test_limited_sampler_rejects_only_whole_reads_at_once(tmp_path):
    async def scene():
        async with fleet(tmp_path, [Cache(), Cache()], new_door=FairAdmissionControl) as made:
            admission = made.service.clients.admission_control
            first, other = await made.client(), await made.client()
            assert await first.get(labels="c=read,t=acme,d=4000") == b"$5\r\nof k1\r\n"

            def seen() -> int:
                return sum(len(cache.commands) for cache in made.caches)

            before = seen()
            admission.sampler.any_limited = True
            admission.sampler.admit_fractions = [
                [0.0] * len(row) for row in admission.sampler.admit_fractions
            ]
            admission.sampler.sample = lambda backlogs, max_rates, now: None
            assert (await first.get(labels="c=read,t=acme,d=4000")).startswith(b"-BUSY")
            assert seen() == before
            # Commands in two pieces, pipelined commands and writes are parsed in full, as without sampling.
            whole = command(b"k1", b"pieces", b"c=read,t=acme,d=4000")
            await other.stream.send_all(whole[:30])
            await trio.sleep(0.05)
            await other.stream.send_all(whole[30:])
            assert await other.answer() == b"$5\r\nof k1\r\n"
            await other.stream.send_all(
                b"".join(command(b"k1", b"behind-%d" % i, b"c=read,d=4000") for i in range(2))
            )
            assert [await other.answer() for _ in range(2)] == [b"$5\r\nof k1\r\n"] * 2
            assert (await other.get(labels="c=nonsense,d=4000")).startswith(b"-ERR label c")
            assert (await first.put(labels="c=once,t=acme,d=4000")).startswith(b"$")

    run(scene)


def test_commands_beyond_the_pipeline_limit_are_answered_in_order(tmp_path):
    count = 5 * MAX_PIPELINED_REQUESTS

    async def scene():
        async with fleet(tmp_path, [Cache(), Cache()], new_door=FairAdmissionControl) as made:
            client = await made.client()
            await client.stream.send_all(
                b"".join(command(b"k%d" % i, b"i%d" % i, b"c=read,d=8000") for i in range(count))
            )
            found = [await client.answer() for _ in range(count)]
            # The decision module rejects some at once, because few attempts per cache server are allowed at
            # the start. Each reply is in its own position.
            values = [reply for reply in found if not reply.startswith(b"-BUSY")]
            assert values == [bulk(b"of k%d" % i) for i in range(count) if found[i].startswith(b"$")]
            assert len(found) == count and len(values) >= 4
            assert not any(each.paused for each in made.service.clients.connections)

    run(scene)


def test_time_spent_unread_counts_towards_the_deadline(tmp_path):
    async def scene():
        async with fleet(tmp_path, [Cache("stall")], new_door=FairAdmissionControl) as made:
            clients = made.service.clients
            client = await made.client()
            assert await client.ask("PING") == b"+PONG\r\n"
            [mine] = clients.connections
            taken = []
            kept = clients.admission_control.submit
            clients.admission_control.submit = lambda operation, *rest: (
                taken.append(operation) or kept(operation, *rest)
            )
            clients.request_reader.data_received(mine, command(labels=b"c=read,d=500"), clients.clock() - 0.3)
            assert math.isclose(taken[0].deadline - taken[0].arrived_at, 0.5, abs_tol=0.2)
            assert taken[0].deadline < clients.clock() + 0.21
            with trio.fail_after(5):
                assert await client.answer() is not None

    run(scene)
