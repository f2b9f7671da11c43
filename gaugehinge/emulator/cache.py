"""A cache server: what it answers to a command, and when. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from .faults import Faults, Manner
from .form import Caches, Traffic
from .machine import Job, Machine, Strain, drawn_work
from .store import Lru, Marks, Misses, as_if_held
from .virtual import Schedule

MISS_PART = 0.3  # of the work of a hit, to find nothing
STRAIN_GRAIN = 0.05  # between two looks whether a server falls over


class Act(NamedTuple):
    """An answer and how it goes out."""

    manner: Manner
    data: bytes = b""
    lasts: float = 0.0  # of a pause amid it


Answer = Callable[[Act], None]
Note = Callable[..., None]

FAILED = Act(Manner.WHOLE, b"-ERR failed\r\n")
BUSY = Act(Manner.WHOLE, b"-BUSY\r\n")


class Tables(NamedTuple):
    """What all servers of a process share."""

    seed: int
    traffic: dict[str, Traffic]
    rules: Any  # installation.form.Rules
    misses: Misses
    marks: dict[object, Marks]  # by group of servers
    note: Note  # rows of the record
    through: Any = None  # the origin, where servers fetch by themselves


@dataclass(slots=True, eq=False)
class Command:
    """One attempt as the server sees it."""

    ident: bytes
    key: bytes
    labels: dict[str, str]
    write: bool
    router: int
    began: float
    fresh: bool  # the first one of its connection
    answer: Answer
    traffic: Traffic | None = None
    job: Job | None = None
    ended: bool = False


class CacheServer:
    """One cache server through its starts and falls."""

    def __init__(self, uid: str, form: Caches, schedule: Schedule, tables: Tables) -> None:
        self.uid = uid
        self.form = form
        self.schedule = schedule
        self.clock = schedule.clock
        self.tables = tables
        self.faults = Faults(tables.seed, uid)
        self.machine = Machine(schedule, form.cores, form.queue, self.pace)
        self.store = Lru(int(form.store))
        self.up = True
        self.started = 0.0  # 0: long ago
        self.first_life = True
        self.fell = 0  # how often
        self.in_hand: set[Command] = set()  # until answered, dropped or lost
        self.strain = Strain(float(tables.rules.fall_time), self.clock())
        self.on_fall: Callable[[CacheServer], None] = lambda server: None
        self._next_look = 0.0

    # -- speed

    def warmth(self, now: float) -> float:
        """Part of its full speed: from the stated part to all over the stated time."""
        rules = self.tables.rules
        if not self.started:
            return 1.0
        passed = (now - self.started) / float(rules.cold_time)
        return 1.0 if passed >= 1.0 else rules.cold_from + (1.0 - rules.cold_from) * max(passed, 0.0)

    def cold(self, now: float) -> bool:
        return self.warmth(now) < 1.0

    def pace(self, now: float) -> float:
        return self.form.speed * self.warmth(now) / self.faults.slowness(now)

    # -- life

    def start(self, cold: bool) -> None:
        """Up again with no connections; cold, or as warm as before."""
        now = self.clock()
        self.up = True
        if cold:
            self.started = now
            self.first_life = False
            self.store.clear()
        self.strain = Strain(float(self.tables.rules.fall_time), now)

    def stop(self) -> None:
        """Down at once: all in hand is lost; what ran, ran."""
        self.up = False
        self.machine.clear()
        for command in list(self.in_hand):
            self._end(command, "lost", False)

    def _fall(self, now: float) -> None:
        self.fell += 1
        self.tables.note("fall", self.uid, now, self.cold(now))
        self.stop()
        self.on_fall(self)

    def _strained(self, work: float, now: float) -> bool:
        """Count what was sent; whether a cold server falls over by it."""
        if not self.cold(now):
            return False
        self.strain.add(work, now)
        if now < self._next_look:
            return False
        self._next_look = now + STRAIN_GRAIN
        ability = self.form.cores * self.form.speed * self.warmth(now)
        if not self.strain.over(ability, self.tables.rules.fall_multiple, now):
            return False
        self._fall(now)
        return True

    # -- commands

    def command(self, command: Command) -> None:
        """Take an attempt; its `answer` is called at most once, perhaps at once."""
        now = self.clock()
        command.traffic = self.tables.traffic.get(command.labels.get("c", ""))
        if not self.up or self.faults.meets("deaf", command.router, now):
            self._end(command, "unheard", False, Act(Manner.NOTHING))
            return
        if command.traffic is None:
            self._end(command, "bad", False, Act(Manner.WHOLE, b"-SYNTAX no such class\r\n"))
            return
        self.in_hand.add(command)
        if self.faults.meets("errors", command.router, now):
            # An error says nothing of what was done: half of the writes ran all the same.
            half = command.write and self.tables.through is not None and self.faults.draw.random() < 0.5
            ran = half and run_write(command, self._marks(command.traffic), now)[1]
            self._end(command, "error", ran, FAILED)
            return
        version = None if command.write else self._lookup(command.key, command.traffic)
        kind = command.traffic
        work = drawn_work(float(kind.service), kind.spread, self.tables.seed, self.uid, command.ident)
        if version is None and not command.write:
            work *= MISS_PART
        if command.fresh:
            work += float(self.form.connect_work)
        if self._strained(work, now):
            return
        command.job = Job(work, lambda: self._worked(command, version))
        if not self.machine.submit(command.job):
            self._end(command, "busy", False, BUSY)

    def gone(self, command: Command) -> None:
        """Its line has ended: what has not begun is dropped, what runs goes on."""
        if not command.ended and command.job is not None and self.machine.drop(command.job):
            self._end(command, "dropped", False)

    def _lookup(self, key: bytes, traffic: Traffic) -> int | None:
        version = self.store.get(key)
        if (
            version is None
            and self.first_life
            and as_if_held(self.tables.seed, self.uid, key, self.form.filled)
        ):
            # Its first use: as if it had been stored long ago. Dropped later, it is gone for good.
            version = 0
            self.store.put(key, 0, int(traffic.size))
        return version

    def _worked(self, command: Command, version: int | None) -> None:
        if command.write:
            self._written(command)
        elif version is not None:
            self._end(command, "hit", False, self._value(command, b"hit", version))
        elif self.tables.through is not None:
            origin = self.tables.through
            origin.read(command.key, command.ident, command.traffic, lambda got: self._fetched(command, got))
        else:
            self.tables.misses.add(command.ident, self, self.clock())
            self._end(command, "miss", False, self._reply(command, None, b"miss"))

    def _fetched(self, command: Command, version: int | None) -> None:
        if command.ended:
            return
        if version is None:
            self._end(command, "error", False, FAILED)
            return
        self.store.put(command.key, version, int(command.traffic.size))
        self._end(command, "miss", False, self._value(command, b"miss", version))

    def _written(self, command: Command) -> None:
        """A write that this server runs itself (where the origin is behind the servers)."""
        receipt, ran = run_write(command, self._marks(command.traffic), self.clock())
        self.store.drop(command.key)
        data = b"*3\r\n$%d\r\n%b\r\n$2\r\nok\r\n%b" % (len(receipt), receipt, self._report())
        self._end(command, "write" if ran else "repeat", ran, self._mannered(command, data))

    def _marks(self, traffic: Traffic) -> Marks:
        group = {"all": "all", "zone": ("zone", self.form.zone), "cell": ("cell", self.form.cell)}[
            traffic.group
        ]
        return self.tables.marks.setdefault(group, Marks())

    # -- answers

    def _value(self, command: Command, how: bytes, version: int) -> Act:
        return self._reply(
            command, value_of(command.key, command.ident, version, int(command.traffic.size)), how
        )

    def _reply(self, command: Command, value: bytes | None, how: bytes) -> Act:
        first = b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)
        return self._mannered(command, b"*3\r\n%b$%d\r\n%b\r\n%b" % (first, len(how), how, self._report()))

    def _mannered(self, command: Command, data: bytes) -> Act:
        manner, fault = self.faults.manner(command.router, self.clock())
        return Act(manner, data, fault.lasts if fault is not None else 0.0)

    def _report(self) -> bytes:
        if not self.form.reports:
            return b"$-1\r\n"
        text = self.load_report()
        return b"$%d\r\n%b\r\n" % (len(text), text)

    def load_report(self) -> bytes:
        """The load, as answers and `INFO load` have it."""
        working = len(self.machine.working)
        return b"inflight=%d,queue=%d,util=%.2f" % (
            working + self.machine.waiting,
            self.machine.waiting,
            working / self.form.cores,
        )

    def _end(self, command: Command, how: str, ran: bool, act: Act | None = None) -> None:
        if command.ended:
            return
        command.ended = True
        self.in_hand.discard(command)
        now = self.clock()
        note_attempt(self.tables.note, self.uid, command, now, how, ran, self.cold(now))
        if act is not None:
            command.answer(act)


def run_write(command: Command, marks: Marks, now: float) -> tuple[bytes, bool]:
    """Run a write, unless its mark says that it ran before; the receipt, and whether it ran now."""
    mark = command.labels.get("k", "").encode()
    deduplicated = command.traffic.effect == "deduplicated" and mark
    ran = not deduplicated or marks.first(mark, float(command.traffic.memory), now)
    return b"receipt " + command.ident, ran


def value_of(key: bytes, ident: bytes, version: int, size: int) -> bytes:
    """A value made for one operation: whoever gets it can tell for whom it was made."""
    head = b"%b %b %d " % (key, ident, version)
    return head + b"." * (size - len(head))


def note_attempt(note: Note, uid: str, command: Command, now: float, how: str, ran: bool, cold: bool) -> None:
    """An attempt's row in the record."""
    note(
        "leg",
        uid,
        command.router,
        command.ident,
        command.began,
        now,
        how,
        ran,
        command.labels.get("k", ""),
        cold,
        command.labels.get("c", ""),
    )
