"""The first look, who is let in and who is read first, in virtual time; then a flood on real sockets."""

import math
import random
from collections import Counter
from dataclasses import dataclass

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from gaugehinge.admission.admission_control import FairAdmissionControl
from gaugehinge.admission.request_peek import LONGEST, Glimpse, glance
from gaugehinge.admission.rate_level import Level
from gaugehinge.admission.sampling import FLOOR, SLACK, Tap
from gaugehinge.admission.read_scheduler import LONG, OLDEST_EACH, Turns
from gaugehinge.net.request_errors import RequestError
from gaugehinge.net.request_parser import parse_labels
from gaugehinge.net.request_reader import MAX_PIPELINED_REQUESTS
from gaugehinge.net.resp import BULK, Malformed, Parser, bulk
from tests.helper import Cache, fleet, run


def command(key=b"k", ident=b"i1", told=b"c=read,t=acme,d=400", word=b"KV.GET") -> bytes:
    return b"*4\r\n" + bulk(word) + bulk(key) + bulk(ident) + bulk(told)


def by_the_parser(data: bytes) -> Glimpse | None:
    """What the long way finds in exactly one whole read that is well formed."""
    parser = Parser()
    parser.feed(data)
    try:
        message = parser.next()
        if message is None or len(parser):
            return None
        parts = [part.body for part in message.top.body]
        assert all(part.kind == BULK for part in message.top.body)
        labels, _ = parse_labels(parts[3])
        return Glimpse(labels["c"], labels.get("t", ""), int(labels["d"]) / 1000.0, labels.get("r") == "1")
    except (Malformed, RequestError, LookupError, ValueError, AssertionError, TypeError):
        return None


def test_the_first_look_finds_what_the_parser_finds():
    odd = command(b"\r\n$3\r\n", b"x" * 40)
    for data in (command(), odd, command(told=b"d=7,c=put,r=1"), command(b"k" * 900)):
        assert glance(data) == by_the_parser(data) is not None


def test_what_is_not_exactly_one_whole_read_is_the_parsers():
    whole = command()
    for data in (
        whole[:-1],
        whole + b"*",
        whole + whole,
        command(word=b"KV.SET"),
        command(word=b"kv.get"),
        command(told=b"c=read"),
        command(told=b"d=1,d=2,c=read"),
        command(told=b"c=read,d=x"),
        whole.replace(b"$1\r\nk", b"$01\r\nk"),
        whole.replace(b"$1\r\nk", b"$2\r\nk"),
        whole.replace(b"*4", b"*5"),
        whole.replace(b"$2\r\ni1", b"$3\r\ni1"),
        command(told=b"c=read,d=1,,"),
        command(ident=b"a b"),
        command(b"k" * LONGEST),
    ):
        assert glance(data) is None, data


PIECES = [b"\r\n", b"$1\r\n", b"*4\r\n", b"k", b"c=read,d=1"]
BYTES = st.one_of(st.binary(max_size=8), st.sampled_from(PIECES))


@settings(max_examples=300, deadline=None)
@given(BYTES, BYTES, BYTES, st.integers(0, 60), BYTES)
@example(b"k", b"i", b"c=read,d=5", 30, b"")
def test_whatever_comes_the_first_look_never_sees_what_the_parser_does_not(key, ident, told, place, spoilt):
    data = command(key, ident, told)
    data = data[:place] + spoilt + data[place + len(spoilt) :]
    seen = glance(data)
    assert seen is None or seen == by_the_parser(data)


# -- who is let in


def run_tap(
    tap: Tap, seconds: float, came: dict, gone: dict, wait: float, start: float = 0.0, most: float = math.inf
) -> Counter:
    """So many a second by (tenant, row) and passed on by tenant; those let in."""
    let_in: Counter = Counter()
    now, owed = start, Counter()
    while now < start + seconds - 1e-9:
        now += 0.05
        for key, rate in came.items():
            owed[key] += rate * 0.05
            while owed[key] >= 1.0:
                owed[key] -= 1.0
                if tap.let_in(*key):
                    tap.come(*key)
                    let_in[key] += 1
        for tenant, rate in gone.items():
            owed[tenant] += rate * 0.05
            while owed[tenant] >= 1.0:
                owed[tenant] -= 1.0
                tap.pass_on(tenant)
        tap.sample([wait] * len(tap.closed), [most] * len(tap.closed), now)
    return let_in


def test_with_no_queue_all_get_in():
    tap = Tap(2, [1.0, 2.0], 3, 0.0)
    assert run_tap(tap, 2.0, {(0, 0): 1000.0}, {0: 100.0}, 0.0)[0, 0] >= 1990 and not tap.shut


def test_a_tenant_gets_in_what_it_is_passed_on_and_a_little_more_best_paid_first():
    tap = Tap(3, [1.0, 2.0], 3, 0.0)
    came = {(0, 0): 800.0, (0, 1): 60.0, (1, 0): 90.0}
    run_tap(tap, 3.0, came, {0: 100.0, 1: 90.0}, 0.1)
    found = run_tap(tap, 5.0, came, {0: 100.0, 1: 90.0}, 0.1, 3.0)
    assert tap.closed == [True, False, False]
    assert found[0, 1] >= 5 * 59 and found[1, 0] >= 5 * 89
    whole = (found[0, 0] + found[0, 1]) / 5.0
    assert 0.9 * SLACK * 100.0 < whole < 1.1 * SLACK * 100.0


def test_one_that_is_passed_on_nothing_is_let_in_to_show_itself_and_opens_again():
    tap = Tap(1, [1.0], 3, 0.0)
    run_tap(tap, 3.0, {(0, 0): 500.0}, {}, 1.0)
    found = run_tap(tap, 10.0, {(0, 0): 500.0}, {}, 1.0, 3.0)[0, 0] / 10.0
    assert 0.7 * FLOOR < found < 1.3 * FLOOR and tap.log.pop().startswith("tap of line 0 turned down")
    run_tap(tap, 0.1, {(0, 0): 500.0}, {}, 0.0, 13.0)
    assert not tap.shut and "open" in tap.log[-1]


def test_where_the_router_has_no_time_a_tenant_gets_in_what_the_level_leaves():
    tap = Tap(2, [1.0, 2.0], 3, 0.0)
    run_tap(tap, 3.0, {(0, 0): 300.0, (0, 1): 100.0}, {0: 150.0}, 0.0, 0.0, most=150.0)
    assert tap.closed == [True, False] and tap.part[0][1] == 1.0
    assert 40.0 < 300.0 * tap.part[0][0] < 60.0
    run_tap(tap, 0.2, {(0, 0): 300.0}, {0: 300.0}, 0.0, 3.0)
    assert not tap.shut


# -- who is read first


@dataclass(eq=False)
class Stood:
    tenant: int
    ready_since: float = 0.0


def read_some(turns: Turns, now: float, most: int, read: Counter, cost: float = 0.0004) -> None:
    """One pass that reads so many."""
    turns.fade(now)
    for _ in range(most):
        turn = turns.next(now)
        if turn is None:
            return
        read[turn[0].tenant] += 1
        turns.count(turn[2], cost)


def test_a_crowd_of_one_tenant_is_read_behind_the_few_of_the_others():
    turns = Turns([1.0, 1.0, 1.0], 0.0)
    read: Counter = Counter()
    now = 0.0
    for step in range(400):
        now += 0.005
        for tenant, count in ((0, 8), (1, 1), (2, 1), (-2, 1)):
            for _ in range(count):
                turns.stand(Stood(tenant), now)
        read_some(turns, now, 6, read)
        # All that the few sent has been read by now, but for what came in this pass.
        assert all(read[tenant] >= step - 1 for tenant in (1, 2, -2))
    assert read[0] >= 6 * 400 - sum(read[tenant] for tenant in (1, 2, -2))


def test_turns_follow_the_shares():
    turns = Turns([3.0, 1.0], 0.0)
    read: Counter = Counter()
    now = 0.0
    for _ in range(400):
        now += 0.005
        for tenant in (0, 1):
            for _ in range(max(20 - len(turns._lines[tenant]), 0)):
                turns.stand(Stood(tenant), now)
        read_some(turns, now, 8, read)
    # One of three goes by age, whoever it is of.
    assert 1.8 < read[0] / read[1] < 3.4


def test_a_crowd_on_new_connections_takes_the_turns_of_new_connections():
    turns = Turns([1.0, 1.0], 0.0)
    read: Counter = Counter()
    now = 0.0
    for _ in range(300):
        now += 0.005
        for _ in range(10):
            turns.stand(Stood(-2), now)
        turns.stand(Stood(1), now)
        turns.fade(now)
        for _ in range(4):
            connection, _, place = turns.next(now)
            read[connection.tenant] += 1
            connection.tenant = 0  # now it is known whose it is
            turns.count(place, 0.0004)
    assert read[1] >= 299


def test_what_stood_longest_goes_first_now_and_then_until_it_is_too_late_for_that():
    turns = Turns([1.0, 1.0], 0.0)
    turns.count(0, 5.0)
    old = Stood(0)
    turns.stand(old, 1.0)
    for _ in range(OLDEST_EACH):
        turns.stand(Stood(1), 1.1)
    found = [turns.next(1.2)[0] for _ in range(OLDEST_EACH)]
    assert found.index(old) == OLDEST_EACH - 1
    # In a long overload the newest of a line goes first: the others' clients are about to give up.
    first, last = Stood(0), Stood(0)
    turns.stand(first, 2.0)
    turns.stand(last, 2.0 + LONG)
    taken = [turns.next(2.01 + LONG)[0] for _ in range(3)]
    assert taken.index(last) < taken.index(first)


def test_turns_lose_nobody_and_keep_nothing_of_what_ended():
    draw, turns = random.Random(4), Turns([1.0, 5.0], 0.0)
    standing: list[Stood] = []
    taken = 0
    now = 1.0
    for _ in range(3000):
        now += draw.random() * 0.02
        if draw.random() < 0.55:
            one = Stood(draw.randrange(-2, 3))
            turns.stand(one, now)
            standing.append(one)
        elif draw.random() < 0.2 and standing:
            turns.leave(standing.pop(draw.randrange(len(standing))))
        else:
            turn = turns.next(now)
            assert (turn is None) == (not standing)
            if turn is not None:
                standing.remove(turn[0])
                taken += 1
        assert turns.standing == len(standing)
        assert len(turns._by_age) <= 2 * turns.standing + 66
    assert taken > 500
    while (turn := turns.next(now)) is not None:
        standing.remove(turn[0])
    assert not standing


# -- the level


def run_level(level: Level, lasts: float, demand, capacity: float, refuse: float, now: float) -> float:
    """Tenants that want so many seconds of CPU a second, at a loop that has `capacity` of them; each second
    of CPU turned away takes `refuse` of it. Returns the time."""
    end = now + lasts
    while now < end:
        now += 0.05
        let_in = [min(want, level.room(tenant)) for tenant, want in enumerate(demand)]
        refusing = refuse * sum(want - got for want, got in zip(demand, let_in, strict=True))
        for tenant, got in enumerate(let_in):
            level.spend(tenant, 0.05 * got)
        # Turning away gets what serving leaves, at most what there is to turn away.
        left = max(capacity - sum(let_in), 0.0)
        behind = sum(let_in) + refusing > capacity
        level.sample(1.0 if behind else 0.0, min(refusing, left) / capacity, now)
    return now


def test_the_level_holds_the_one_that_floods_and_does_not_touch_the_others():
    level = Level([1.0] * 5, 0.0)
    demand = [0.9, 0.17, 0.17, 0.17, 0.17, 0.0]
    now = run_level(level, 10.0, demand, 1.0, 0.1, 0.0)
    assert 0.17 < level.level < 0.35 and level.log.pop(0).startswith("door level 0.")
    assert all(level.room(tenant) > 0.17 for tenant in range(5))
    # The flood is over, and so is the level.
    run_level(level, 10.0, [0.17] * 5 + [0.0], 1.0, 0.1, now)
    assert level.level == math.inf and "none" in level.log[-1]


def test_under_a_flood_by_all_serving_keeps_its_part_of_the_time():
    level = Level([1.0] * 4, 0.0)
    # Turning all of it away would take twice the loop: lowered until nothing was left, nothing was served.
    run_level(level, 30.0, [2.0] * 4 + [0.0], 1.0, 0.3, 0.0)
    assert 0.6 < 4 * level.level < 1.0


def test_levels_follow_shares_that_change():
    level = Level([1.0, 1.0], 0.0)
    level.spend(0, 0.05)
    for step in range(10):
        level.sample(1.0, 0.0, 0.05 * (step + 1))
    assert level.room(0) == level.room(1) < math.inf
    level.share([3.0, 1.0])
    assert math.isclose(level.room(0), 3.0 * level.room(1))


# -- on sockets


def test_a_tap_turned_down_answers_at_once_and_only_whole_reads(tmp_path):
    async def scene():
        async with fleet(tmp_path, [Cache(), Cache()], new_door=FairAdmissionControl) as made:
            door = made.service.clients.admission_control
            one, other = await made.client(), await made.client()
            assert await one.get(labels="c=read,t=acme,d=4000") == b"$5\r\nof k1\r\n"

            def seen() -> int:
                return sum(len(cache.commands) for cache in made.caches)

            before = seen()
            door.tap.shut = True
            door.tap.part = [[0.0] * len(row) for row in door.tap.part]
            door.tap.sample = lambda waits, rooms, now: None
            assert (await one.get(labels="c=read,t=acme,d=4000")).startswith(b"-BUSY")
            assert seen() == before
            # In two pieces, behind another, or a write: the long way, as without a tap.
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
            assert (await one.put(labels="c=once,t=acme,d=4000")).startswith(b"$")

    run(scene)


def test_more_commands_than_may_be_in_hand_are_all_answered_in_order(tmp_path):
    count = 5 * MAX_PIPELINED_REQUESTS

    async def scene():
        async with fleet(tmp_path, [Cache(), Cache()], new_door=FairAdmissionControl) as made:
            client = await made.client()
            await client.stream.send_all(
                b"".join(command(b"k%d" % i, b"i%d" % i, b"c=read,d=8000") for i in range(count))
            )
            found = [await client.answer() for _ in range(count)]
            # The decisions bounce some, at once: the start's few attempts a cache. Each stands in its own
            # place.
            values = [reply for reply in found if not reply.startswith(b"-BUSY")]
            assert values == [bulk(b"of k%d" % i) for i in range(count) if found[i].startswith(b"$")]
            assert len(found) == count and len(values) >= 4
            assert not any(each.paused for each in made.service.clients.connections)

    run(scene)


def test_the_time_of_what_stood_unread_counts(tmp_path):
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
            clients.request_reader.data_received(mine, command(told=b"c=read,d=500"), clients.clock() - 0.3)
            assert math.isclose(taken[0].deadline - taken[0].arrived_at, 0.5, abs_tol=0.2)
            assert taken[0].deadline < clients.clock() + 0.21
            with trio.fail_after(5):
                assert await client.answer() is not None

    run(scene)
