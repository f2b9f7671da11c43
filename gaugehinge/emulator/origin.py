"""The origin: slow, of small capacity, and it stops for seconds when it is sent too much. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .cache import Act, Command, Tables, note_attempt, run_write, value_of
from .faults import Faults, Manner
from .form import OriginForm, Traffic
from .machine import Job, Machine, Strain, drawn_work
from .store import Marks
from .virtual import Schedule

UID = "origin"
LOOK_EVERY = 0.05  # between two looks whether it stops


class Copies(Protocol):
    """The cache servers, wherever they are played."""

    def fill(self, ident: bytes, key: bytes, version: int, size: int) -> None:
        """Store a value where this operation missed."""

    def drop(self, key: bytes) -> None:
        """Drop a key everywhere."""


class Origin:
    """The one place where writes run and from which values come."""

    def __init__(self, form: OriginForm, schedule: Schedule, tables: Tables, copies: Copies) -> None:
        self.form = form
        self.schedule = schedule
        self.clock = schedule.clock
        self.tables = tables
        self.copies = copies
        self.faults = Faults(tables.seed, UID)
        self.machine = Machine(schedule, form.cores, form.queue, lambda now: 1.0 / self.faults.slowness(now))
        self.marks = Marks()
        self.versions: dict[bytes, int] = {}  # of keys that were written, as many as there are keys
        self.reading: dict[bytes, list[Callable[[int | None], None]]] = {}  # shared reads, until done
        self.strain = Strain(float(form.overrun_time), self.clock())
        self.in_hand: set[Command] = set()
        self._next_look = 0.0

    def command(self, command: Command) -> None:
        """Take an attempt; the answer's data are status, headers and body by `http_answer`."""
        now = self.clock()
        command.traffic = self.tables.traffic.get(command.labels.get("c", ""))
        if command.traffic is None:
            self._end(command, "bad", False, Act(Manner.WHOLE, http_answer(400, b"no such class")))
            return
        self.in_hand.add(command)
        if self.faults.meets("deaf", command.router, now):
            self._end(command, "unheard", False, Act(Manner.NOTHING))
        elif self.faults.meets("errors", command.router, now):
            # An error says nothing of what was done: half of the writes ran all the same.
            ran = command.write and self.faults.draw.random() < 0.5 and self._run(command)[1]
            self._end(command, "error", ran, Act(Manner.WHOLE, http_answer(500, b"failed")))
        elif command.write:
            command.job = self._submit(command.traffic, command.ident, lambda: self._written(command))
            if command.job is None:
                self._turn_away(command)
        else:
            key, ident, traffic = command.key, command.ident, command.traffic
            command.job = self.read(key, ident, traffic, lambda version: self._read(command, version))

    def read(
        self, key: bytes, ident: bytes, traffic: Traffic, got: Callable[[int | None], None]
    ) -> Job | None:
        """Read a key's version; None is told where there is no room for it."""
        if self.form.shared and key in self.reading:
            self.reading[key].append(got)
            return None
        job = self._submit(traffic, ident, lambda: self._have(key, got))
        if job is None:
            got(None)
        elif self.form.shared:
            self.reading[key] = []
        return None if self.form.shared else job  # work that others share is not dropped with one of them

    def gone(self, command: Command) -> None:
        """Its line has ended: what has not begun is dropped, what runs goes on."""
        if not command.ended and command.job is not None and self.machine.drop(command.job):
            self._end(command, "dropped", False)

    def _submit(self, traffic: Traffic, ident: bytes, done: Callable[[], None]) -> Job | None:
        work = drawn_work(float(traffic.origin), traffic.spread, self.tables.seed, UID, ident)
        now = self.clock()
        self.strain.add(work, now)
        if now >= self._next_look:
            self._next_look = now + LOOK_EVERY
            if self.strain.over(self.form.cores, self.form.overrun_multiple, now):
                self.tables.note("fall", UID, now, True)
                self.stop(now + float(self.form.stop_time))
        job = Job(work, done)
        return job if self.machine.submit(job) else None

    def stop(self, until: float) -> None:
        """Nothing goes on before then."""
        self.machine.pause(until)
        self.strain = Strain(float(self.form.overrun_time), until)

    def _have(self, key: bytes, got: Callable[[int | None], None]) -> None:
        version = self.versions.get(key, 0)
        for each in [got, *self.reading.pop(key, [])]:
            each(version)

    def _read(self, command: Command, version: int | None) -> None:
        if command.ended:
            return
        if version is None:
            self._turn_away(command)
            return
        size = int(command.traffic.size)
        self.copies.fill(command.ident, command.key, version, size)
        self._answer(command, "fetch", False, value_of(command.key, command.ident, version, size))

    def _run(self, command: Command) -> tuple[bytes, bool]:
        receipt, ran = run_write(command, self.marks, self.clock())
        if ran:
            self.versions[command.key] = self.versions.get(command.key, 0) + 1
            self.copies.drop(command.key)
        return receipt, ran

    def _written(self, command: Command) -> None:
        receipt, ran = self._run(command)
        self._answer(command, "write" if ran else "repeat", ran, receipt)

    def _turn_away(self, command: Command) -> None:
        data = http_answer(503, b"queue full", b"X-Turned-Away: 1\r\n")
        self._end(command, "busy", False, Act(Manner.WHOLE, data))

    def _answer(self, command: Command, how: str, ran: bool, body: bytes) -> None:
        manner, fault = self.faults.manner(command.router, self.clock())
        report = b"X-Pressure: inflight=%d,queue=%d\r\n" % (len(self.machine.working), self.machine.waiting)
        self._end(
            command, how, ran, Act(manner, http_answer(200, body, report), fault.lasts if fault else 0.0)
        )

    def _end(self, command: Command, how: str, ran: bool, act: Act | None = None) -> None:
        if command.ended:
            return
        command.ended = True
        self.in_hand.discard(command)
        note_attempt(self.tables.note, UID, command, self.clock(), how, ran, False)
        if act is not None:
            command.answer(act)


REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


def http_answer(status: int, body: bytes, headers: bytes = b"") -> bytes:
    """One whole HTTP/1.1 answer. The emulator needs its bytes, to cut them in the middle."""
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASONS[status],
        len(body),
        headers,
        body,
    )
