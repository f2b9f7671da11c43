"""Open-loop clients: each operation goes out at its time, whatever became of those before it.

Its row in the record, behind `op`: number, first try's number, try, tenant, traffic type, key, write,
planned, sent, ended (seconds from the start of the run), outcome, come-back time, wait, mark, own port,
router, lateness, fresh, hang, resent. `second`: bytes that no operation waited for.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

import trio
from loguru import logger

from ..emulator.form import Traffic
from ..net.resp import ARRAY, BULK, ERROR, MAX_REPLY_BYTES, Malformed, Message, Parser, bulk
from ..net.sockets import connect, receive, send_all, send_some, shut, silent, tcp
from ..net.timer_queue import Timer, TimerQueue
from .form import Job
from .plan import NEVER, Plan

LATE_LOOK = 0.3  # an answer after the abandon time is still looked for, so that it is seen how late it came
CONNECT_TIME = 1.0
IDLE_KEEP = 1.5  # a connection idle for longer is not used again: the router ends it
IDLE_AGAIN = 1.0  # until an idle connection that was closed is opened again
REPEAT_BITS = 48  # an operation's number is its place in the plan, and above that which try it is
MOST_DUE = 200  # operations sent in one go, before answers are read again
PING = b"*1\r\n$4\r\nPING\r\n"

SETTLED, BOUNCED, FORFEITED = "settled", "bounced", "forfeited"
UNANSWERED = "unanswered"  # its time was over
LOST = "lost"  # the connection ended without an answer
UNREACHED = "unreached"  # no connection came up
HUNG_UP = "hung up"  # the client left
WRONG = "wrong"  # an answer that was made for another operation
SPOILT = "spoilt"  # no RESP
UNSENT = "unsent"  # the driver's own limit
ANSWERED = (SETTLED, BOUNCED, FORFEITED, WRONG)


@dataclass(slots=True, eq=False)
class Try:
    """One try of an operation."""

    number: int
    first: int
    count: int  # 0: the first
    tenant: int
    kind: int
    key: int
    fresh: bool
    hang: float
    planned: float
    sent: float = 0.0
    mark: str = ""
    place: int = -1  # in the plan; of a repeat: none
    lateness: float = 0.0
    resent: float = NEVER  # when it was sent once more, after the end of its connection
    conn: Conn | None = None
    due: Timer | None = None

    @property
    def ident(self) -> bytes:
        return b"%016x" % self.number


@dataclass(slots=True, eq=False)
class Conn:
    """A client's connection; one operation at a time."""

    raw: socket.socket
    target: int
    parser: Parser = field(default_factory=lambda: Parser(MAX_REPLY_BYTES))
    current: Try | None = None
    last: bytes = b""  # the id answered last
    port: int = 0
    used: int = 0
    idle_since: float = 0.0
    tenant: int = -1  # of what it was used for
    closed: bool = False


class Driver:
    """All clients of one worker."""

    def __init__(
        self, job: Job, plan: Plan, timers: TimerQueue, nursery: trio.Nursery, note: Callable[..., None]
    ) -> None:
        self.job = job
        self.plan = plan
        self.timers = timers
        self.clock = timers.clock
        self.nursery = nursery
        self.note = note
        self.zero = 0.0
        # By tenant, oldest first: no two tenants share a client, and whoever reads connections in turns by
        # tenant would find none to tell apart.
        self.idle: list[list[Conn]] = [[] for _ in job.senders]
        self.connections = 0
        self.most = max(job.load.connections // job.load.workers, 1)
        self.silent: dict[int, Conn] = {}  # opened ahead, by place in the plan, until their operation comes
        self.open: set[Try] = set()
        self.repeats_due = 0
        self.count = 0
        self.outcomes: dict[str, int] = {}
        self._commands = [self._command_parts(entry) for entry in job.traffic]
        self._turn = job.worker

    def _command_parts(self, entry: Traffic) -> tuple[bytes, int, bytes]:
        wait = int(float(entry.abandon_time) * self.job.load.wait * 1000)
        value = bulk(b"v" * int(entry.size)) if entry.write else b""
        return b"KV.SET" if entry.write else b"KV.GET", wait, value

    # -- the schedule

    async def run(self, zero: float) -> None:
        """Send all by its time, then wait until the last one has ended."""
        self.zero = zero
        plan, job = self.plan, self.job
        mine = range(job.worker, len(plan), job.load.workers)
        at, tenant, kind, key = plan.at.tolist(), plan.tenant.tolist(), plan.kind.tolist(), plan.key.tolist()
        fresh, hang = plan.fresh.tolist(), plan.hang.tolist()
        sent_in_a_row = 0
        if job.load.ahead:
            self.nursery.start_soon(self._open_ahead, [(at[i], i) for i in mine if fresh[i]])
        for i in mine:
            wait = zero + at[i] - self.clock()
            if wait > 0:
                await trio.sleep(wait)
                sent_in_a_row = 0
            elif (sent_in_a_row := sent_in_a_row + 1) >= MOST_DUE:
                await trio.lowlevel.checkpoint()
                sent_in_a_row = 0
            number = i + 1
            entry = job.traffic[kind[i]]
            mark = f"m{number:x}" if entry.effect == "deduplicated" else ""
            one = Try(number, number, 0, tenant[i], kind[i], key[i], fresh[i], hang[i], at[i], mark=mark)
            one.place = i
            self._begin(one)
        while self.open or self.repeats_due:
            await trio.sleep(0.05)

    async def _open_ahead(self, due: list[tuple[float, int]]) -> None:
        """Open the connections that stand silent before their operation comes."""
        ahead = float(self.job.load.ahead)
        for at, place in due:
            await trio.sleep(max(self.zero + at - ahead - self.clock(), 0.0))
            if self.connections < self.most:
                self.silent[place] = self._open()

    # -- tries

    def _begin(self, one: Try) -> None:
        now = self.clock()
        one.lateness = now - self.zero - one.planned
        one.sent = now
        self.open.add(one)
        self._send(one)

    def _send(self, one: Try) -> None:
        again = one.resent != NEVER  # on a new connection, since any other may have ended as well
        conn = None if one.fresh or again else self._warm(one.tenant)
        stood = self.silent.pop(one.place, None)
        if stood is not None and not again:
            if stood.port and not stood.closed and silent(stood.raw):
                conn = stood
            else:
                self._close(stood)
        if conn is not None:
            self._write(conn, one)
        elif self.connections >= self.most:
            self._end(one, UNSENT)
        else:
            conn = self._open()
            conn.current, one.conn = one, conn

    def _open(self) -> Conn:
        """A new connection; it writes what is current once it is up."""
        self._turn += 1
        target = self._turn % len(self.job.targets)
        conn = Conn(tcp(self.job.targets[target]), target)
        self.connections += 1
        self.nursery.start_soon(self._run_conn, conn)
        return conn

    def _warm(self, tenant: int) -> Conn | None:
        oldest = self.clock() - IDLE_KEEP
        while self.idle[tenant]:
            conn = self.idle[tenant].pop()
            if conn.idle_since > oldest and silent(conn.raw):
                return conn
            self._close(conn)
        return None

    def _write(self, conn: Conn, one: Try) -> None:
        word, wait, value = self._commands[one.kind]
        sender = self.job.senders[one.tenant].name
        labels = f"c={self.job.traffic[one.kind].name},t={sender},d={wait}"
        if one.mark:
            labels += f",k={one.mark}"
        if one.count and self.job.load.repeats.mark:
            labels += ",r=1"
        data = b"*%d\r\n%b%b%b%b%b" % (
            5 if value else 4,
            bulk(word),
            bulk(b"k%d" % one.key),
            bulk(one.ident),
            bulk(labels.encode()),
            value,
        )
        conn.current, one.conn = one, conn
        conn.used += 1
        if one.resent == NEVER:
            one.sent = self.clock()
        if one.due is None:
            hang = one.hang if one.hang != NEVER else wait / 1000.0 + LATE_LOOK
            one.due = self.timers.call_at(self.clock() + hang, self._over, one)
        try:
            sent = send_some(conn.raw, data)
        except OSError:
            self.nursery.start_soon(self._broken, conn)
            return
        if sent < len(data):
            self.nursery.start_soon(self._push, conn, data[sent:])

    async def _broken(self, conn: Conn) -> None:
        """Nothing of it could be written: the other side had ended the connection before."""
        self._ended(conn, clean=True)

    async def _push(self, conn: Conn, rest: bytes) -> None:
        try:
            await send_all(conn.raw, rest)
        except (OSError, trio.ClosedResourceError):
            self._ended(conn)

    def _over(self, one: Try) -> None:
        """The client waits no longer."""
        one.due = None
        conn = one.conn
        if conn is not None:
            conn.current = None
            self._close(conn)
        self._end(one, HUNG_UP if one.hang != NEVER else UNANSWERED)

    def _end(self, one: Try, outcome: str, come_back: float = 0.0) -> None:
        if one not in self.open:
            return
        self.open.discard(one)
        if one.due is not None:
            self.timers.cancel(one.due)
        conn, now = one.conn, self.clock()
        self.count += 1
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        entry = self.job.traffic[one.kind]
        self.note(
            "op",
            one.number,
            one.first,
            one.count,
            one.tenant,
            one.kind,
            one.key,
            entry.write,
            one.planned,
            one.sent - self.zero,
            now - self.zero,
            outcome,
            come_back,
            self._commands[one.kind][1] / 1000.0,
            one.mark,
            conn.port if conn else 0,
            conn.target if conn and self.job.routers else -1,
            one.lateness,
            one.fresh,
            one.hang,
            one.resent,
        )
        self._repeat(one, outcome, come_back, now)

    def _repeat(self, one: Try, outcome: str, come_back: float, now: float) -> None:
        """A client tries again where that does no harm, after a wait."""
        repeats = self.job.load.repeats
        harmless = outcome in (BOUNCED, UNREACHED)
        again = harmless or (
            outcome in (FORFEITED, UNANSWERED, LOST, SPOILT)
            and self.job.traffic[one.kind].effect != "unrepeatable"
        )
        if not again or one.count >= repeats.most:
            return
        wait = float(repeats.wait) * 2**one.count
        if come_back and repeats.heed:
            wait = come_back
        wait *= 1.0 + 0.5 * crc32(b"%d %d" % (one.first, one.count)) / 0x100000000
        self.repeats_due += 1
        self.timers.call_at(now + wait, self._again, one, now + wait - self.zero)

    def _again(self, one: Try, planned: float) -> None:
        self.repeats_due -= 1
        self._begin(
            Try(
                one.first | (one.count + 1) << REPEAT_BITS,
                one.first,
                one.count + 1,
                one.tenant,
                one.kind,
                one.key,
                one.fresh,
                NEVER,
                planned,
                mark=one.mark,
            )
        )

    # -- connections

    async def _run_conn(self, conn: Conn) -> None:
        """A connection's task: up, then read until it ends."""
        up = clean = False
        try:
            with trio.move_on_after(CONNECT_TIME):
                await connect(conn.raw, self.job.targets[conn.target])
                up = True
            if up and not conn.closed:
                conn.port = conn.raw.getsockname()[1]
                if conn.current is not None:
                    self._write(conn, conn.current)
                while not conn.closed and (data := await receive(conn.raw)):
                    self._incoming(conn, data)
                clean = True
        except (OSError, trio.ClosedResourceError):
            pass
        except Malformed:
            if conn.current is not None:
                self._end(conn.current, SPOILT)
                conn.current = None
        except Exception:
            logger.exception("a client's connection failed")
        finally:
            self._ended(conn, up, clean)

    def _ended(self, conn: Conn, up: bool = True, clean: bool = False) -> None:
        """The connection is over; so is what waits on it, but for what the router cannot have read."""
        if conn.tenant >= 0 and conn in self.idle[conn.tenant]:
            self.idle[conn.tenant].remove(conn)
        self._close(conn)
        one, conn.current = conn.current, None
        if one is None or one not in self.open:
            return
        crossed = up and clean and one.resent == NEVER and not len(conn.parser)
        if crossed:
            # The router may end a connection between two operations: one that crossed this goes again, once.
            one.resent, one.conn = self.clock() - self.zero, None
            self._send(one)
            return
        self._end(one, LOST if up else UNREACHED)

    def _close(self, conn: Conn) -> None:
        if not conn.closed:
            conn.closed = True
            self.connections -= 1
            shut(conn.raw)

    def _incoming(self, conn: Conn, data: bytes) -> None:
        conn.parser.feed(data)
        while (message := conn.parser.next()) is not None:
            one = conn.current
            if one is None:
                self.note("second", conn.last.decode(), self.clock() - self.zero, message.raw[:60])
                self._close(conn)
                return
            conn.current, conn.last = None, one.ident
            outcome, come_back = read_answer(
                message, b"k%d" % one.key, one.ident, bool(self._commands[one.kind][2])
            )
            self._end(one, outcome, come_back)
            if conn.current is None and not conn.closed:
                self._rest(conn, one)

    def _rest(self, conn: Conn, one: Try) -> None:
        if len(conn.parser):
            return  # what follows is looked at first: it is a second answer
        if one.fresh:
            self._close(conn)
            return
        conn.idle_since, conn.tenant = self.clock(), one.tenant
        self.idle[one.tenant].append(conn)

    async def stand_idle(self, target: int) -> None:
        """One connection of the wide fan-in: open, asked once, then idle until closed; again and again."""
        while True:
            raw = tcp(self.job.targets[target])
            try:
                with trio.fail_after(CONNECT_TIME):
                    await connect(raw, self.job.targets[target])
                    await send_all(raw, PING)
                while await receive(raw):
                    pass
            except (OSError, trio.TooSlowError):
                pass
            finally:
                shut(raw)
            await trio.sleep(IDLE_AGAIN)


def read_answer(message: Message, key: bytes, ident: bytes, write: bool) -> tuple[str, float]:
    """Outcome and come-back time. A value must have been made for this operation."""
    top = message.top
    if top.kind == ERROR:
        word, _, rest = top.body.partition(b" ")
        if word != b"BUSY":
            return FORFEITED, 0.0
        return BOUNCED, int(rest) / 1000.0 if rest.isdigit() else 0.0
    value = top.body[0] if top.kind == ARRAY and top.body else top
    if value.kind != BULK or value.body is None:
        return FORFEITED, 0.0
    made_for = b"receipt " + ident if write else key + b" " + ident + b" "
    return (SETTLED if value.body.startswith(made_for) else WRONG), 0.0
