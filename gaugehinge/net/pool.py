"""Connections to servers, and legs on them: one leg a connection at a time, in a dialect.

A leg's outcome follows from where it stood when it ended: before its last byte was written it never ran,
after that it may have. Nothing is sent again from here.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

import trio
from loguru import logger

from ..terms import Leg, Outcome, Presence
from .berth import Address
from .bulletin import Bulletin
from .deadlines import Deadlines, Due
from .resp import ARRAY, BULK, ERROR, Malformed, Message, Parser
from .sockets import Stream, send_all, silent, stream, tcp

CHUNK = 32 * 1024
IDLE_PART = 0.7  # of the time after which a server closes an idle line: one written to then may be lost
SWEEP_EVERY = 0.5


@dataclass(slots=True, frozen=True)
class Cargo:
    """What an operation carries to servers: the bytes that came, with a gap for the wait that is left."""

    ident: bytes
    key: bytes
    labels: tuple[bytes, bytes]  # before and behind the figure of `d`
    told: bytes  # the labels as they came
    before: bytes  # the command up to its labels
    behind: bytes  # and what follows them
    value: bytes | None  # of a write


class Reply(NamedTuple):
    """What came back."""

    outcome: Outcome
    value: bytes | None = None  # as the client gets it
    keep: bool = True  # whether the line is good for another leg


class Dialect(Protocol):
    """How to speak to one kind of server."""

    def parser(self) -> Any:
        """The state of a new line."""

    def command(self, line: Line, cargo: Cargo, left: float) -> bytes:
        """All the bytes of a leg."""

    async def answer(self, line: Line) -> Reply:
        """Read one answer."""


class Broken(Exception):
    """The other side ended the line, or sent what makes no sense."""


@dataclass(slots=True, eq=False)
class Line:
    """One connection to a server."""

    raw: socket.socket
    stream: Stream
    place: Place
    parser: Any
    idle_since: float = 0.0
    written: bool = False  # whether the leg's last byte is out


@dataclass(slots=True, eq=False)
class Place:
    """A server as the pool knows it. It leaves when the list says that it is gone."""

    ident: int
    uid: str
    endpoint: Address
    started: float
    idle: list[Line] = field(default_factory=list)  # oldest first; swept


@dataclass(slots=True, eq=False)
class Travel:
    """A leg on its way."""

    leg: Leg
    cargo: Cargo
    due: float
    scope: trio.CancelScope
    line: Line | None = None
    called_off: bool = False


class RespDialect:
    """The cache servers' protocol."""

    def parser(self) -> Parser:
        return Parser()

    def command(self, line: Line, cargo: Cargo, left: float) -> bytes:
        before, behind = cargo.labels
        labels = b"%b%d%b" % (before, max(int(left * 1000), 1), behind)
        return b"%b$%d\r\n%b\r\n%b" % (cargo.before, len(labels), labels, cargo.behind)

    async def answer(self, line: Line) -> Reply:
        message = None
        while message is None:
            data = await line.stream.recv(CHUNK)
            if not data:
                raise Broken("ended")
            line.parser.feed(data)
            try:
                message = line.parser.next()
            except Malformed as bad:
                raise Broken(str(bad)) from None
        # What follows an answer unasked belongs to no leg: the next one would take it for its own.
        return read_reply(message)._replace(keep=not len(line.parser))


def read_reply(message: Message) -> Reply:
    """A cache server's answer, by the protocol's table."""
    top = message.top
    if top.kind == ERROR:
        word = top.body.split(b" ", 1)[0]
        if word == b"BUSY":
            return Reply(Outcome.TURNED_AWAY)
        if word != b"ERR":
            logger.warning("a cache server answered {!r}", top.body[:80])
        return Reply(Outcome.ERRORED)
    if top.kind != ARRAY or not top.body or top.body[0].kind != BULK:
        raise Broken("an answer that is no array with a value")
    value = top.body[0]
    if value.body is None:
        return Reply(Outcome.MISSED)
    return Reply(Outcome.SETTLED, message.part(value))


class Pool:
    """Lines to all servers, within a limit, and the legs that are out."""

    def __init__(
        self, nursery: trio.Nursery, deadlines: Deadlines, most: int, connect_time: float, idle_time: float,
        ended: Callable[[Leg, Outcome, float, bytes | None], None],
    ) -> None:
        self.nursery = nursery
        self.deadlines = deadlines
        self.clock = deadlines.clock
        self.most = most
        self.connect_time = connect_time
        self.keep_time = IDLE_PART * idle_time
        self.ended = ended
        self.places: dict[int, Place] = {}  # follows the list
        self.travels: dict[Leg, Travel] = {}  # until the leg ended
        self.lines = 0
        self.full = False
        self._sweep()

    # -- the list

    def hear_list(self, bulletin: Bulletin) -> None:
        """Follow the list. A server that started anew, or moved, took its connections with it."""
        for listing, uid, endpoint in bulletin.targets:
            ident = listing.ident
            place = self.places.get(ident)
            if endpoint is None:
                self._drop_place(ident)
            elif place is None or (place.endpoint, place.started) != (endpoint, listing.started):
                self._drop_place(ident)
                self.places[ident] = Place(ident, uid, endpoint, listing.started)
                logger.info("server {} at {}:{} is cache {}", uid, *endpoint, ident)
        if bulletin.whole:
            named = {target.listing.ident for target in bulletin.targets}
            for ident in [ident for ident in self.places if ident not in named]:
                self._drop_place(ident)

    def _drop_place(self, ident: int) -> None:
        place = self.places.pop(ident, None)
        if place is not None:
            logger.info("server {} left, or starts anew", place.uid)
            while place.idle:
                self._close(place.idle.pop())

    # -- legs

    def send(self, leg: Leg, cargo: Cargo, time_out: float, dialect: Dialect) -> None:
        """Start a leg; its outcome is told to `ended`."""
        travel = Travel(leg, cargo, self.clock() + time_out, trio.CancelScope())
        self.travels[leg] = travel
        self.nursery.start_soon(self._travel, travel, dialect)

    def call_off(self, leg: Leg) -> None:
        """Give a leg up: its connection closes."""
        travel = self.travels.get(leg)
        if travel is not None:
            travel.called_off = True
            travel.scope.cancel()

    async def _travel(self, travel: Travel, dialect: Dialect) -> None:
        due = self.deadlines.at(travel.due, travel.scope.cancel)
        reply = None
        try:
            with travel.scope:
                reply = await self._carry(travel, dialect)
        except (OSError, Broken):
            pass
        except Exception:  # a defect forfeits this leg alone
            logger.exception("leg {} of {} failed", travel.leg.number, travel.cargo.ident)
        self._put_back(travel, reply, due)
        outcome = reply.outcome if reply is not None else self._stopped(travel)
        elapsed = self.clock() - travel.leg.sent
        try:
            self.ended(travel.leg, outcome, elapsed, reply.value if reply is not None else None)
        except Exception:
            logger.exception("the end of a leg of {} failed", travel.cargo.ident)

    def _put_back(self, travel: Travel, reply: Reply | None, due: Due) -> None:
        self.deadlines.drop(due)
        del self.travels[travel.leg]
        line = travel.line
        if line is None:
            return
        place = line.place
        if reply is not None and reply.keep and self.places.get(place.ident) is place:
            line.idle_since = self.clock()
            place.idle.append(line)
        else:
            # A late answer on a line that goes on would be taken for that of the next leg.
            self._close(line)

    @staticmethod
    def _stopped(travel: Travel) -> Outcome:
        """The outcome of a leg without an answer, by where it stood."""
        written = travel.line is not None and travel.line.written
        if travel.called_off:
            return Outcome.CALLED_OFF if written else Outcome.NEVER_SENT
        if not written:
            return Outcome.NOT_CONNECTED
        return Outcome.TIMED_OUT if travel.scope.cancelled_caught else Outcome.BROKEN

    async def _carry(self, travel: Travel, dialect: Dialect) -> Reply:
        leg = travel.leg
        place = self.places.get(leg.server.ident)
        if place is None:
            return Reply(Outcome.NEVER_SENT)
        line = self._warm(place)
        if line is None:
            if not self._make_room():
                return Reply(Outcome.NEVER_SENT)
            line = await self._connect(place, dialect)
        travel.line = line
        # The list may have changed while the connection came up: a drain is kept from the first byte.
        if leg.operation.over or leg.server.presence is not Presence.UP:
            return Reply(Outcome.NEVER_SENT, keep=leg.server.presence is Presence.UP)
        line.written = False
        await send_all(line.stream, dialect.command(line, travel.cargo, travel.due - self.clock()))
        line.written = True
        return await dialect.answer(line)

    # -- lines

    def _warm(self, place: Place) -> Line | None:
        """The line used last, if the server did not close it meanwhile."""
        oldest = self.clock() - self.keep_time
        while place.idle:
            line = place.idle.pop()
            if line.idle_since > oldest and silent(line.raw):
                return line
            self._close(line)
        return None

    def _make_room(self) -> bool:
        """Whether one more line fits; the longest idle one goes if need be."""
        if self.lines < self.most:
            return True
        idle = [place.idle[0] for place in self.places.values() if place.idle]
        if bool(idle) is self.full:
            self.full = not idle
            logger.warning("connections to servers {}: {} out", "easy" if idle else "used up", self.lines)
        if not idle:
            return False
        line = min(idle, key=lambda each: each.idle_since)
        line.place.idle.remove(line)
        self._close(line)
        return True

    async def _connect(self, place: Place, dialect: Dialect) -> Line:
        raw = tcp(place.endpoint)
        self.lines += 1
        line = Line(raw, stream(raw), place, dialect.parser())
        try:
            with self.deadlines.within(self.connect_time) as limit:
                await line.stream.connect(place.endpoint)
            if limit.cancelled_caught:
                raise Broken("never came up")
        except BaseException:
            self._close(line)
            raise
        return line

    def _close(self, line: Line) -> None:
        self.lines -= 1
        line.stream.close()

    def _sweep(self) -> None:
        """Close idle lines before their servers do."""
        oldest = self.clock() - self.keep_time
        for place in self.places.values():
            while place.idle and place.idle[0].idle_since <= oldest:
                self._close(place.idle.pop(0))
        self.deadlines.at(self.clock() + SWEEP_EVERY, self._sweep)

