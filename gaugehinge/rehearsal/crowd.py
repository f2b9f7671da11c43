"""Clients of a company: a schedule drawn by seed, sent whatever becomes of it, every operation on record."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from ..histories.events import Gone, OpBegan, OpEnded, Recorder
from ..net.resp import BULK, ERROR, Malformed, Parser, bulk
from ..net.sockets import connect, receive, send_all, shut, silent, tcp

IDLE_MOST = 1.0  # seconds: routers close what stands idle for two
CONNECT_TIME = 1.0  # seconds for a connection to come up and be let in
AWAY_TIME = 0.5  # seconds for which a client keeps off a router that was gone
LATE = 1.0  # seconds beyond the abandon time for which a late answer is looked for
MEMORY_ROOM = 0.5  # seconds before the end of a mark's memory in which no repeat is begun
REST_MOST = 60.0  # seconds that a client rests at most
MOST_CROSSED = 3  # times in a row that an operation is sent once more
UNKNOWN = b"-ERR authentication required"
RETRY = 0.2  # seconds, where a bounce tells no time; up to twice that


@dataclass(slots=True, frozen=True)
class Kind:
    """A traffic type as clients use it."""

    traffic: str
    effect: str
    write: bool


KINDS = (
    Kind("read", "idempotent", False),
    Kind("put", "idempotent", True),
    Kind("move", "deduplicated", True),
    Kind("book", "unrepeatable", True),
)


@dataclass(slots=True, frozen=True)
class Shape:
    """What a load is like."""

    clients: int = 0  # parties; 0: one for each tenant at each router
    mix: tuple[tuple[str, float], ...] = (("read", 0.6), ("put", 0.15), ("move", 0.15), ("book", 0.1))
    keys: int = 200  # under each prefix
    prefixes: tuple[str, ...] = ("",)
    wait: float = 2.0  # seconds that a client waits
    tries: int = 3  # of one operation, the first one included
    memory: float = 9.0  # seconds for which marks are remembered: no repeat after that
    leaves: float = 0.0  # part of the operations whose client closes its connection before the answer
    leaves_after: tuple[float, float] = (0.05, 0.5)  # seconds
    crosses: bool = False  # what a connection ended under, with no byte of an answer, is sent once more


@dataclass(slots=True, eq=False)
class Line:
    """A client's connection, let in, with no operation on it."""

    raw: object
    parser: Parser
    idle_since: float
    last: str = ""  # the operation that was answered on it
    ended: bool = False  # by the router, with no byte of an answer


@dataclass(slots=True, eq=False)
class Party:
    """One client: of a tenant, at a router of its own while that is there."""

    name: str
    tenant: str
    home: int
    recorder: Recorder
    lines: dict[int, list[Line]] = field(default_factory=dict)
    away: dict[int, float] = field(default_factory=dict)  # routers that were gone: kept off until then


@dataclass(slots=True)
class Tally:
    """What a load came to, as its clients saw it."""

    sent: int = 0
    settled: int = 0
    bounced: int = 0
    forfeited: int = 0
    lost: int = 0
    left: int = 0  # their clients closed first
    crossed: int = 0  # with the end of their connection
    no_router: int = 0  # operations that found none to be sent to


class Crowd:
    """All clients of a play."""

    def __init__(
        self,
        nursery: trio.Nursery,
        seed: int,
        doors: list[tuple[str, int]],
        secrets: dict[str, str],
        recorder: Callable[[str], Recorder],
        source: str,
        head: str = "client",
    ) -> None:
        """`doors`: where routers are found; `recorder` makes a party's history; `source`: their address;
        `head`: before the numbers in their names. A tenant's name may have `#` and a number behind it, by
        which histories tell its incarnations apart."""
        self.head = head
        self.nursery = nursery
        self.draw = random.Random(f"{seed} crowd")
        self.doors, self.secrets, self.source = doors, secrets, source
        self.recorder = recorder
        self.parties: list[Party] = []
        self.told_to_wait: set[str] = set()  # tenants whose secrets are no more, and who have no new ones yet
        self.tally = Tally()
        self.open = 0  # operations and loads that are not over
        self.quiet = trio.Event()
        self.quiet.set()
        self.idle_most = IDLE_MOST
        self.closed: dict[int, float] = {}  # routers that new connections come to no more, from a time on
        self.leaving: set[int] = set()  # told to end: all that stays open there is used, in turn
        self.killed: set[int] = set()  # whose ends of connections are no ends, but resets
        self._number = 0

    # -- the load

    def load(self, rate: float, lasts: float, shape: Shape) -> None:
        """Begin one; several may go on side by side."""
        count = shape.clients or len(self.doors) * len(self.secrets)
        tenants = list(self.secrets)
        while len(self.parties) < count:
            number = len(self.parties)
            name = f"{self.head}-{number}"
            home = number // len(tenants) % len(self.doors)
            self.parties.append(Party(name, tenants[number % len(tenants)], home, self.recorder(name)))
        self._begin()
        self.nursery.start_soon(self._load, rate, lasts, shape, self.parties[:count])

    def _begin(self) -> None:
        if not self.open:
            self.quiet = trio.Event()
        self.open += 1

    def _end(self) -> None:
        self.open -= 1
        if not self.open:
            self.quiet.set()

    async def _load(self, rate: float, lasts: float, shape: Shape, parties: list[Party]) -> None:
        draw = random.Random(self.draw.random())
        kinds = {kind.traffic: kind for kind in KINDS}
        names, weights = zip(*shape.mix, strict=True)
        began = due = trio.current_time()
        try:
            while (due := due + draw.expovariate(rate)) < began + lasts:
                kind = kinds[draw.choices(names, weights)[0]]
                party = draw.choice(parties)
                key = draw.choice(shape.prefixes) + f"k{draw.randrange(shape.keys)}"
                chance = draw.random()
                await trio.sleep_until(due)
                self._begin()
                self.nursery.start_soon(self._operate, party, kind, key, shape, chance)
        finally:
            self._end()

    # -- one operation

    async def _operate(self, party: Party, kind: Kind, key: str, shape: Shape, chance: float) -> None:
        """An operation and its repeats, as its kind allows them."""
        try:
            first, began = "", trio.current_time()
            for number in range(shape.tries):
                mark = f"m{first}" if first else ""
                ident, outcome, away = await self._try(party, kind, key, shape, mark, first)
                if not ident:
                    return  # there is no router
                if outcome == "settled":
                    return
                if kind.effect == "unrepeatable":
                    if outcome != "bounced":
                        return  # it may have run
                else:
                    first = first or ident
                pause = away if away >= 0 else RETRY * (1.0 + chance)
                end = trio.current_time() + pause + shape.wait + MEMORY_ROOM
                if kind.effect == "deduplicated" and end > began + shape.memory or number + 1 == shape.tries:
                    return
                await trio.sleep(pause)
        finally:
            self._end()

    async def _try(
        self, party: Party, kind: Kind, key: str, shape: Shape, mark: str, first: str
    ) -> tuple[str, str, float]:
        """One operation, and once more what crossed with the end of its connection: the first one's id, the
        last one's outcome, and the seconds that a bounce told."""
        crossed = 0
        while True:
            found = await self._line(party, shape.wait)
            if found is None:
                self.tally.no_router += 1
                return "", "", -1.0
            ident, outcome, away = await self._exchange(party, *found, kind, key, shape, mark, first)
            crossed += 1
            if outcome != "crossed" or crossed > MOST_CROSSED:
                return first or ident, outcome, away
            first, mark = first or ident, mark or f"m{ident}"

    def _words(
        self, party: Party, router: int, kind: Kind, key: str, shape: Shape, mark: str, first: str
    ) -> tuple[str, list[str], OpBegan]:
        """A new operation's id, its command, and its begin for the history."""
        self._number += 1
        ident = f"{party.name}-{self._number}"
        labels = f"c={kind.traffic},d={int(shape.wait * 1000)}"
        if not self.secrets[party.tenant]:
            labels += f",t={party.tenant}"
        if kind.effect == "deduplicated":
            mark = mark or f"m{ident}"
            labels += f",k={mark}"
        else:
            mark = ""
        if first:
            labels += ",r=1"
        words = ["KV.SET" if kind.write else "KV.GET", key, ident, labels]
        if kind.write:
            words.append(f"{party.tenant}|{ident}")
        self.tally.sent += 1
        return (
            ident,
            words,
            OpBegan(
                party.recorder.now(),
                party.name,
                ident,
                f"router-{router}",
                party.tenant,
                kind.traffic,
                kind.effect,
                key,
                kind.write,
                shape.wait,
                mark,
                first,
            ),
        )

    async def _exchange(
        self,
        party: Party,
        router: int,
        line: Line,
        kind: Kind,
        key: str,
        shape: Shape,
        mark: str = "",
        first: str = "",
    ) -> tuple[str, str, float]:
        """An operation on a connection, and its answer."""
        ident, words, begin = self._words(party, router, kind, key, shape, mark, first)
        recorder = party.recorder
        recorder.put(begin)
        reply, time = None, shape.wait + LATE
        leaves = shape.leaves > 0 and self.draw.random() < shape.leaves
        if leaves:
            time = self.draw.uniform(*shape.leaves_after)
        with trio.move_on_after(time) as limit:
            reply = await self._ask(line, words)
        if leaves and limit.cancelled_caught:
            shut(line.raw)
            recorder.put(Gone(recorder.now(), party.name, f"router-{router}", [ident]))
            self.tally.left += 1
            return ident, "left", -1.0
        outcome, value, away = read_answer(reply)
        if outcome == "lost" and shape.crosses and line.ended and router not in self.killed:
            outcome = "crossed"
        setattr(self.tally, outcome, getattr(self.tally, outcome) + 1)
        recorder.put(OpEnded(recorder.now(), party.name, ident, outcome, value, away))
        if reply is None or reply.startswith(UNKNOWN):  # with a new secret, a new connection
            shut(line.raw)
        else:
            line.idle_since, line.last = trio.current_time(), ident
            party.lines.setdefault(router, []).append(line)
        return ident, outcome, away

    # -- clients of other manners

    def rest(self, router: int, count: int, shape: Shape, at: Callable[[int], float]) -> None:
        """So many clients that ask once at a router, and rest until it ends their connection, or until the
        time `at` of their number (0: none), and write in that very moment."""
        draw = random.Random(self.draw.random())
        for number in range(count):
            self._begin()
            party = draw.choice(self.parties)
            kind, chance = draw.choice(KINDS), draw.random()
            self.nursery.start_soon(self._rest, party, router, kind, shape, at(number), chance)

    async def _rest(
        self, party: Party, router: int, kind: Kind, shape: Shape, at: float, chance: float
    ) -> None:
        try:
            line = await self._open(party, router)
            if line is None:
                return
            read = KINDS[0]
            _, outcome, _ = await self._exchange(party, router, line, read, f"r{int(chance * 200)}", shape)
            if outcome not in ("settled", "bounced", "forfeited"):
                return
            party.lines[router].remove(line)
            with trio.move_on_at(at or trio.current_time() + REST_MOST):
                await trio.lowlevel.wait_readable(line.raw)
            key = f"r{int(chance * 1000)}"
            ident, outcome, _ = await self._exchange(party, router, line, kind, key, shape)
            if outcome == "crossed":
                await self._try(party, kind, key, shape, f"m{ident}", ident)
        finally:
            self._end()

    def burst(self, router: int, count: int, stays: float, shape: Shape) -> None:
        """A client that sends so many commands in one write, and closes so many seconds later."""
        self._begin()
        party = self.draw.choice(self.parties)
        self.nursery.start_soon(self._burst, party, router, count, stays, shape, self.draw.random())

    async def _burst(
        self, party: Party, router: int, count: int, stays: float, shape: Shape, chance: float
    ) -> None:
        draw = random.Random(chance)
        try:
            line = await self._open(party, router)
            if line is None:
                return
            told, idents = b"", []
            for _ in range(count):
                kind = draw.choice(KINDS[:2])
                ident, words, begin = self._words(party, router, kind, f"b{draw.random()}", shape, "", "")
                party.recorder.put(begin)
                told += b"*%d\r\n" % len(words) + b"".join(bulk(word.encode()) for word in words)
                idents.append(ident)
            try:
                await send_all(line.raw, told)
                await trio.sleep(stays)
            except (OSError, trio.ClosedResourceError):
                pass
            finally:
                shut(line.raw)
                party.recorder.put(Gone(party.recorder.now(), party.name, f"router-{router}", idents))
                self.tally.left += len(idents)
        finally:
            self._end()

    async def _ask(self, line: Line, words: list[str]) -> bytes | None:
        """A command and its answer; None where the connection ended."""
        try:
            told = b"".join(bulk(word.encode()) for word in words)
            await send_all(line.raw, b"*%d\r\n" % len(words) + told)
            while (message := line.parser.next()) is None:
                data = await receive(line.raw)
                if not data:
                    line.ended = not len(line.parser)
                    return None
                line.parser.feed(data)
        except (OSError, trio.ClosedResourceError):
            line.ended = not len(line.parser)
            return None
        except Malformed:
            return None
        return message.raw

    # -- connections

    async def _line(self, party: Party, wait: float) -> tuple[int, Line] | None:
        """A connection that is good: at its own router, or at the next that is there."""
        end, count = trio.current_time() + wait, len(self.doors)
        while True:
            for step in range(count):
                router = (party.home + step) % count
                if party.away.get(router, 0.0) > trio.current_time():
                    continue
                line = self._idle(party, router)
                if line is None and self.closed.get(router, math.inf) > trio.current_time():
                    line = await self._open(party, router)
                if line is not None:
                    return router, line
                party.away[router] = trio.current_time() + AWAY_TIME
            if trio.current_time() > end:
                return None
            await trio.sleep(AWAY_TIME / 4)

    def _idle(self, party: Party, router: int) -> Line | None:
        lines = party.lines.get(router, [])
        while lines:
            line = lines.pop(0 if router in self.leaving else -1)
            if not silent(line.raw):
                self._look(party, line)
            elif line.idle_since > trio.current_time() - self.idle_most:
                return line
            shut(line.raw)
        return None

    def _look(self, party: Party, line: Line) -> None:
        """Something stands on a connection that nothing was asked on: its end, or a second answer."""
        try:
            data = line.raw.recv(65536)
        except OSError:
            return
        if data:
            now = party.recorder.now()
            party.recorder.put(OpEnded(now, party.name, line.last, "settled", data.decode("latin-1")))

    async def _open(self, party: Party, router: int) -> Line | None:
        """A new one, let in. None: the router is gone, or does not let it in now."""
        if party.tenant in self.told_to_wait:
            return None
        raw = tcp(self.doors[router])
        line, good = Line(raw, Parser(1 << 20), 0.0), False
        try:
            with trio.move_on_after(CONNECT_TIME):
                raw.bind((self.source, 0))
                await connect(raw, self.doors[router])
                if not self.secrets[party.tenant]:  # a platform's router knows none
                    good = True
                    return line
                name = party.tenant.partition("#")[0]
                reply = await self._ask(line, ["AUTH", name, self.secrets[party.tenant]])
                good = reply == b"+OK\r\n"
        except OSError:
            return None
        finally:
            if not good:
                shut(raw)
        return line if good else None

    def close(self) -> None:
        """All connections; what stands on them unasked is on record."""
        for party in self.parties:
            for lines in party.lines.values():
                for line in lines:
                    if line.raw.fileno() >= 0:
                        self._look(party, line)
                        shut(line.raw)
            party.recorder.close()


def read_answer(reply: bytes | None) -> tuple[str, str, float]:
    """Outcome, value, and the seconds that a bounce told (-1: none)."""
    if reply is None:
        return "lost", "", -1.0
    if reply[0] == BULK:
        return "settled", reply.split(b"\r\n", 1)[1].removesuffix(b"\r\n").decode("latin-1"), -1.0
    if reply[0] == ERROR and reply.startswith(b"-BUSY"):
        told = reply[5:].strip()
        return "bounced", "", int(told) / 1000.0 if told.isdigit() else -1.0
    return "forfeited", reply.strip().decode("latin-1"), -1.0
