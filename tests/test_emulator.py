"""The played systems: their decisions under a clock moved by hand, then the ugly manners on real sockets."""

from collections import Counter
from dataclasses import dataclass, field

import pytest
import trio

from gaugehinge.emulator.cache import CacheServer, Command, Tables
from gaugehinge.emulator.directory import Directory, Entry
from gaugehinge.emulator.doors import CacheDoor
from gaugehinge.emulator.faults import Fault, Faults, Manner, chosen
from gaugehinge.emulator.form import Caches, OriginForm, Traffic, part_of, servers
from gaugehinge.emulator.front import Dealer
from gaugehinge.emulator.machine import Job, Machine, Strain
from gaugehinge.emulator.origin import Origin
from gaugehinge.emulator.ports import Ports
from gaugehinge.emulator.store import Lru, Marks, Misses, as_if_held
from gaugehinge.emulator.virtual import VirtualTime
from gaugehinge.forms.units import Seconds, Size
from gaugehinge.installation.form import Rules
from gaugehinge.net.timer_queue import TimerQueue

READ = Traffic("read", "idempotent", Seconds(1.0), service=Seconds(0.01), origin=Seconds(0.1), spread=0.0)
MOVE = Traffic(
    "move", "deduplicated", Seconds(1.0), memory=Seconds(5.0), write=True, spread=0.0, origin=Seconds(0.1)
)
BOOK = Traffic("book", "unrepeatable", Seconds(1.0), write=True, spread=0.0, origin=Seconds(0.1))
RULES = Rules(cold_from=0.5, cold_time=Seconds(4.0), fall_multiple=2.0, fall_time=Seconds(1.0))


@dataclass
class Stage:
    """Servers under a hand-moved clock, what they noted, and answers in their order."""

    time: VirtualTime = field(default_factory=VirtualTime)
    notes: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    filled: list = field(default_factory=list)
    count: int = 0

    def __post_init__(self) -> None:
        self.time.now = 100.0
        traffic = {entry.name: entry for entry in (READ, MOVE, BOOK)}
        self.tables = Tables(7, traffic, RULES, Misses(), {}, lambda *row: self.notes.append(row))

    def cache(self, **changes) -> CacheServer:
        form = {
            "cores": 2,
            "queue": 2,
            "filled": 1.0,
            "connect_work": Seconds(0.0),
            "store": Size(1 << 20),
            **changes,
        }
        return CacheServer("c-0", Caches(**form), self.time, self.tables)

    def origin(self, **changes) -> Origin:
        return Origin(OriginForm(**{"cores": 1, "queue": 1, **changes}), self.time, self.tables, self)

    def fill(self, ident, key, version, size) -> None:
        self.filled.append((ident, key))

    def drop(self, key) -> None:
        self.filled.append(("dropped", key))

    def ask(self, server, kind="read", key=b"k", mark="") -> Command:
        self.count += 1
        ident = b"%016x" % self.count
        labels = {"c": kind, "k": mark}
        command = Command(
            ident,
            key,
            labels,
            kind != "read",
            0,
            self.time.now,
            False,
            lambda act: self.answers.append((ident, act)),
        )
        server.command(command)
        return command

    def hows(self) -> Counter:
        return Counter(row[6] for row in self.notes if row[0] == "leg")


def test_a_machine_works_in_turn_and_refuses_beyond_its_queue():
    time, done = VirtualTime(), []
    machine = Machine(time, 1, 2, lambda now: 2.0)
    jobs = [Job(1.0, lambda i=i: done.append((i, time.now))) for i in range(4)]
    assert [machine.submit(job) for job in jobs] == [True, True, True, False]
    assert machine.drop(jobs[1]) and not machine.drop(jobs[0])
    time.run(10.0)
    assert done == [(0, 0.5), (2, 1.0)]


def test_a_pause_holds_what_is_in_work_until_it_is_over():
    time, done = VirtualTime(), []
    machine = Machine(time, 2, 2, lambda now: 1.0)
    machine.submit(Job(1.0, lambda: done.append(time.now)))
    time.run(0.5)
    machine.pause(3.0)
    machine.submit(Job(1.0, lambda: done.append(time.now)))
    time.run(10.0)
    assert done == [3.0, 4.0]


def test_strain_is_measured_over_its_span_and_forgotten_after_it():
    strain = Strain(1.0, 10.0)
    for i in range(20):
        strain.add(0.2, 10.0 + i * 0.05)
    assert not strain.over(1.0, 2.0, 10.95)  # not measured for a whole span yet
    strain.add(0.2, 11.0)
    assert strain.over(1.0, 2.0, 11.0)
    assert not strain.over(1.0, 2.0, 13.0)


def test_the_store_drops_what_was_used_longest_ago():
    store = Lru(300)
    for key in (b"a", b"b", b"c"):
        store.put(key, 1, 100)
    assert store.get(b"a") == 1
    store.put(b"d", 1, 100)
    assert store.get(b"b") is None and store.get(b"a") == 1 and store.held == 300


def test_marks_are_remembered_for_their_time_and_leave_the_table():
    marks = Marks()
    assert marks.first(b"m", 5.0, 0.0) and not marks.first(b"m", 5.0, 4.9)
    assert marks.first(b"m", 5.0, 5.1)
    for i in range(1000):
        marks.first(b"%d" % i, 1.0, 10.0 + i)
    assert len(marks) < 5


def test_a_full_server_turns_away_and_a_cold_one_is_slow():
    stage = Stage()
    server = stage.cache()
    for i in range(5):
        stage.ask(server, key=b"%d" % i)
    assert stage.answers[-1][1].data == b"-BUSY\r\n"
    stage.time.run(101.0)
    assert stage.hows() == {"hit": 4, "busy": 1}
    server.stop()
    server.start(cold=True)
    assert server.warmth(101.0) == 0.5 and server.warmth(103.0) == 0.75 and server.warmth(106.0) == 1.0
    stage.ask(server)
    stage.time.run(102.0)
    assert stage.hows()["miss"] == 1  # what it held is gone


def test_a_cold_server_that_is_sent_too_much_falls_over_and_a_warm_one_does_not():
    for cold, falls in ((True, 1), (False, 0)):
        stage = Stage()
        server = stage.cache()
        if cold:
            server.start(cold=True)
        for step in range(400):
            if server.up:
                for _ in range(8):  # 8 reads in 5 ms: 8 times what it can do when warm, were they hits
                    stage.ask(server, key=b"%d" % step)
            stage.time.run(100.0 + step * 0.005)
        assert server.fell == falls
        assert sum(row[0] == "fall" for row in stage.notes) == falls


def test_a_marked_write_runs_once_while_its_mark_is_remembered():
    stage = Stage()
    origin = stage.origin(queue=5)
    stage.ask(origin, "move", mark="m1")
    stage.ask(origin, "move", mark="m1")
    stage.ask(origin, "book")
    stage.time.run(101.0)
    assert [row[7] for row in stage.notes] == [True, False, True]
    assert stage.hows() == {"write": 2, "repeat": 1}
    assert all(act.data.endswith(b"receipt " + ident) for ident, act in stage.answers)


def test_the_origin_turns_away_shares_reads_and_stops_when_overrun():
    stage = Stage()
    origin = stage.origin(cores=1, queue=1)
    for _ in range(3):
        stage.ask(origin)
    assert b"X-Turned-Away: 1" in stage.answers[-1][1].data
    stage.time.run(102.0)
    assert stage.hows() == {"fetch": 2, "busy": 1} and len(stage.filled) == 2

    shared = Stage()
    origin = shared.origin(cores=1, queue=1, shared=True)
    for _ in range(3):
        shared.ask(origin)
    shared.time.run(100.15)
    assert shared.hows() == {"fetch": 3}  # in the time of one

    overrun = Stage()
    origin = overrun.origin(overrun_time=Seconds(1.0), stop_time=Seconds(2.0))
    for step in range(60):
        overrun.ask(origin)
        overrun.time.run(100.0 + step * 0.03)
    assert [row[:2] for row in overrun.notes if row[0] == "fall"] == [("fall", "origin")]
    assert origin.machine.paused_until > overrun.time.now


def test_work_that_has_not_begun_is_dropped_with_its_line():
    stage = Stage()
    server = stage.cache(cores=1)
    stage.ask(server)
    waiting = stage.ask(server)
    server.gone(waiting)
    stage.time.run(101.0)
    assert stage.hows() == {"hit": 1, "dropped": 1}


def test_misses_wait_for_their_fetch_and_are_forgotten_after_a_time():
    misses = Misses()
    misses.add(b"1", "a", 0.0)
    misses.add(b"1", "b", 0.1)
    assert misses.take(b"1") == ["a", "b"] and misses.take(b"1") == []
    for i in range(100):
        misses.add(b"%d" % i, "a", float(i))
    assert sum(len(misses.take(b"%d" % i)) for i in range(100)) <= 12


def test_faults_end_strike_in_part_and_only_the_router_named():
    faults = Faults(3, "c-0")
    faults.add(Fault("mute", until=10.0, part=0.5, router=1))
    met = [faults.manner(1, 5.0)[0] for _ in range(400)]
    assert 150 < met.count(Manner.NOTHING) < 250
    assert faults.manner(0, 5.0)[0] is Manner.WHOLE
    assert faults.manner(1, 10.0)[0] is Manner.WHOLE and not faults.active
    again = Faults(3, "c-0")
    again.add(Fault("mute", until=10.0, part=0.5, router=1))
    assert [again.manner(1, 5.0)[0] for _ in range(400)] == met  # the same seed, the same faults


def test_servers_by_pattern_or_as_a_part_drawn_by_the_seed():
    uids = [f"c-{i}" for i in range(50)]
    assert chosen("c-1,c-4?", uids, 1, "x") == ["c-1", *[f"c-4{i}" for i in range(10)]]
    some = chosen("98%", uids, 1, "x")
    assert len(some) == 49 and some == chosen("98%", uids, 1, "x") and some != chosen("98%", uids, 2, "x")
    held = sum(as_if_held(1, "c-1", b"%d" % i, 0.9) for i in range(2000))
    assert 1750 < held < 1850


def listed(directory: Directory, router=0, since=None) -> dict:
    import json

    return json.loads(directory.answer(router, since))


def test_discovery_is_late_stale_empty_and_tells_what_changed():
    time, notes = VirtualTime(), []
    directory = Directory(time, 0.5, lambda *row: notes.append(row))
    for i in range(3):
        directory.put(Entry(f"c-{i}", f"127.0.{{router}}.1:{7000 + i}", "std", "a", 0))
    assert [t["endpoint"] for t in listed(directory, 4)["targets"]][0] == "127.0.5.1:7000"
    directory.change("c-0", state="draining")
    time.run(0.4)
    assert directory.rev == 1
    time.run(0.6)
    assert [(t["uid"], t["state"]) for t in listed(directory, since=1)["targets"]] == [("c-0", "draining")]
    directory.freeze(5.0)
    directory.change("c-0", state="gone")
    directory.change("c-0.1", state="ready", like="c-0")
    time.run(4.0)
    assert directory.rev == 2 and len(listed(directory)["targets"]) == 3
    time.run(5.0)
    changed = {t["uid"]: t["state"] for t in listed(directory, since=2)["targets"]}
    assert changed == {"c-0": "gone", "c-0.1": "ready"}
    directory.empty_until = 6.0
    assert listed(directory)["targets"] == []
    assert [row[1:4] for row in notes] == [(2, "c-0", "draining"), (3, "c-0", "gone"), (4, "c-0.1", "ready")]


def test_the_front_notices_a_dead_router_late():
    dealer = Dealer(2, 2.0, 0.0)
    dealer.pong(0, 1.9)
    assert {dealer.deal(1.9) for _ in range(4)} == {0, 1}
    assert {dealer.deal(2.1) for _ in range(4)} == {0}
    assert {dealer.deal(9.0) for _ in range(4)} == {0, 1}  # none answers: better some than none


def test_servers_are_spread_over_the_processes():
    parts = [part_of(i, 3) for i in range(6)]
    assert parts == [1, 2, 1, 2, 1, 2] and part_of(5, 1) == 0
    from gaugehinge.emulator.form import Emulator

    assert [uid for uid, _ in servers(Emulator((Caches(name="a", count=2), Caches(name="b", count=1))))] == [
        "a-0",
        "a-1",
        "b-0",
    ]


# -- on sockets

GET = b"*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$16\r\n%016x\r\n$19\r\nc=read,t=acme,d=500\r\n"
VALUE = b"k %016x 0 "


@dataclass
class Played:
    """A cache server on sockets."""

    door: CacheDoor
    notes: list

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream(*self.door.addresses[0])


async def play(nursery: trio.Nursery, **changes) -> Played:
    import time

    notes: list = []
    timers = TimerQueue(time.monotonic)
    nursery.start_soon(timers.run)
    tables = Tables(7, {"read": READ}, RULES, Misses(), {}, lambda *row: notes.append(row))
    server = CacheServer("c-0", Caches(**{"filled": 1.0, **changes}), timers, tables)
    door = CacheDoor(nursery, timers, server)
    door.addresses = [("127.0.0.1", Ports(3).free(["127.0.0.1"]))]
    door.open()
    return Played(door, notes)


def fault(played: Played, name: str, lasts=60.0) -> None:
    played.door.faults.add(Fault(name, played.door.clock() + 60.0, lasts=lasts))


async def read_all(stream: trio.SocketStream, until: bytes = b"") -> bytes:
    """What comes, until it ends or holds something."""
    data = b""
    with trio.fail_after(20):
        try:
            while not until or until not in data:
                more = await stream.receive_some()
                if not more:
                    break
                data += more
        except trio.BrokenResourceError:
            data += b"<reset>"
    return data


@pytest.mark.parametrize(
    "name, seen",
    [
        ("half", lambda data: 0 < len(data) < 700 and data.startswith(b"*3")),
        ("reset", lambda data: data == b"<reset>"),
    ],
)
def test_a_manner_that_ends_the_line(name, seen):
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            played = await play(nursery)
            fault(played, name)
            stream = await played.connect()
            await stream.send_all(GET % 1)
            assert seen(await read_all(stream))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_answers_in_order_second_copies_and_silence():
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            played = await play(nursery)
            stream = await played.connect()
            await stream.send_all(GET % 1 + GET % 2 + b"*1\r\n$4\r\nPING\r\n")
            data = await read_all(stream, b"PONG")
            assert data.index(VALUE % 1) < data.index(VALUE % 2) < data.index(b"+PONG")
            fault(played, "twice")
            await stream.send_all(GET % 3)
            data = b""
            while data.count(VALUE % 3) < 2:
                data += await read_all(stream, VALUE % 3)
            played.door.faults.clear()
            fault(played, "mute")
            await stream.send_all(GET % 4)
            while not any(row[0] == "leg" and row[3] == b"%016x" % 4 for row in played.notes):
                await trio.sleep(0.01)
            with trio.move_on_after(0.2) as waited:
                await read_all(stream, VALUE % 4)
            assert waited.cancelled_caught  # it ran, and nothing came back
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_pause_amid_an_answer_goes_on_after_it():
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            played = await play(nursery)
            fault(played, "pause_answer", lasts=0.3)
            stream = await played.connect()
            began = trio.current_time()
            await stream.send_all(GET % 1)
            first = await stream.receive_some()
            played.door.faults.clear()
            data = first + await read_all(stream, b"util=")
            assert VALUE % 1 in data and trio.current_time() - began >= 0.29
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_what_came_during_a_pause_is_counted_from_its_arrival():
    # Counted from when it was read, an attempt that was sent before the pause looked as if sent after its
    # answer.
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            played = await play(nursery)
            stream = await played.connect()
            await stream.send_all(GET % 1)
            await read_all(stream, VALUE % 1)
            began = played.door.clock()
            played.door.machine.pause(began + 0.4)
            await stream.send_all(GET % 2)
            fresh = await played.connect()
            await fresh.send_all(GET % 3)
            await read_all(stream, VALUE % 2)
            await read_all(fresh, VALUE % 3)
            attempts = [row for row in played.notes if row[0] == "leg"]
            assert all(attempt[4] < began + 0.3 and attempt[5] >= began + 0.4 for attempt in attempts[1:])
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_refused_hanging_and_full_connects():
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            played = await play(nursery, connections=1)
            holding = await played.connect()
            await holding.send_all(b"*1\r\n$4\r\nPING\r\n")
            while not played.door.wires:
                await trio.sleep(0.01)
            assert await read_all(await played.connect()) == b"-BUSY\r\n"
            played.door.close_listeners()
            with pytest.raises(OSError):
                await played.connect()
            played.door.hang()
            with trio.move_on_after(0.5) as waited:
                await played.connect()
            assert waited.cancelled_caught
            played.door.open()
            assert await read_all(await played.connect()) == b"-BUSY\r\n"
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_crash_resets_all_lines_and_loses_what_was_in_work():
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            played = await play(nursery)
            stream = await played.connect()
            played.door.faults.add(Fault("slow", played.door.clock() + 60.0, factor=1000.0))
            await stream.send_all(GET % 1)
            while len(played.door.server.in_hand) < 1:
                await trio.sleep(0.01)
            played.door.server.stop()
            played.door.cut()
            assert (await read_all(stream)).endswith(b"<reset>")
            assert "lost" in {row[6] for row in played.notes if row[0] == "leg"}
            nursery.cancel_scope.cancel()

    trio.run(main)
