"""Seeded orders of events against one real router on loopback, and the rules that each play is held to.

A play brings requests to stated steps, where stand-ins or the client itself hold them, and fires its events
there. What servers and clients saw is checked afterwards. `python -m tests.crossings FIRST COUNT` plays many.
"""

from __future__ import annotations

import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from collections import deque
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from functools import partial
from math import inf
from pathlib import Path
from unittest.mock import patch

import trio
import trio.testing
from loguru import logger

from gaugehinge.net import client_server, connection_pool, idle_reaper, sockets
from gaugehinge.net.client_connection import ClientConnection
from gaugehinge.net.graceful_shutdown import KILL_SLACK
from gaugehinge.net.resp import MAX_REPLY_BYTES, Malformed, Parser, bulk
from gaugehinge.net.service import Service
from tests.helper import SETTINGS, fleet

LONGEST = 0.6  # the longest wait of the settings
ANSWER_GRACE = 0.05  # behind a request's deadline
DRAIN_GRACE = 0.5 + 0.05  # behind the writing of the list; where the order is forced, there is none
CLOSE_GRACE = 0.1  # behind a client's close
END_GRACE = 0.1  # behind the latest end after SIGTERM: the router's own look at the clock, and a task's way
SAMPLE = 0.01  # how often the loop's standing still is measured
PAD = 60_000  # bytes of a request that does not fit the buffers on its way to a server
BIG = 900_000  # bytes of an answer that does not fit those to its client
NEVER = 1e9
IN_USE = b"-ERR id in use\r\n"

ANSWER, EFFECT, DRAIN, CLOSE, END, DEFECT = "answer", "effect", "drain", "close", "end", "defect"

# The steps of a request's life, in their order.
HALF_SENT, SENT, CONNECTING, HALF_WRITTEN, WRITTEN, HALF_READ, ORIGIN, JOINED, UNREAD = STEPS = (
    "half sent",
    "sent whole",
    "connection coming up",
    "attempt half written",
    "attempt written",
    "answer half read",
    "origin being asked",
    "joined another's fetch",
    "answered, not read",
)
FREE = 4  # seeds without a meeting, behind one of each
LISTS = ("drain", "gone", "anew", "mixed")
WATCHES = ("watch reset", "watch 503", "moved")
CLIENTS = ("fin", "rst", "half close", "quit")
OUTCOMES = {  # what a held server may do, by step
    CONNECTING: ("answer", "refuse"),
    HALF_WRITTEN: ("answer", "close", "reset"),
    WRITTEN: ("answer", "close", "reset", "half", "copy", "busy", "error"),
    HALF_READ: ("answer", "close", "reset"),
    ORIGIN: ("answer", "close", "reset", "half", "copy", "busy", "error"),
    JOINED: ("answer", "close", "reset", "half", "busy", "error"),
}


GOES, FAILS = ("fin", "rst", "half close"), ("close", "reset", "half", "error")
# Events that meet in one request, drawn in turn: kinds, and by event its step, names, whether it is awaited,
# and the pause behind it. None: the window of the settings is to pass.
MEETINGS = (
    (("read", "once", "mark"), ((CONNECTING, LISTS, True, 0.0), (CONNECTING, ("answer",), False, 0.0))),
    (("read", "once", "mark"), ((HALF_WRITTEN, LISTS, True, 0.0), (HALF_WRITTEN, FAILS[:2], False, 0.0))),
    (("read", "mark"), ((WRITTEN, GOES, True, 0.0), (WRITTEN, FAILS, False, 0.0))),
    (("read", "mark"), ((WRITTEN, GOES, False, 0.13), (WRITTEN, FAILS, False, 0.0))),
    (("read",), ((ORIGIN, GOES, True, 0.13), (ORIGIN, FAILS, False, 0.0))),
    (("read",), ((JOINED, GOES, True, 0.13), (JOINED, FAILS, False, 0.0))),
    (("read", "once", "mark"), ((CONNECTING, GOES, True, 0.0), (CONNECTING, ("answer",), False, 0.0))),
    (("read",), ((WRITTEN, ("copy",), True, 0.015), (WRITTEN, ("repeat",), True, 0.0))),  # past REUSE_DELAY
    (("mark",), ((WRITTEN, ("repeat", *WATCHES), False, None), (WRITTEN, FAILS, False, 0.0))),
    (("once", "mark"), ((WRITTEN, ("repeat", *LISTS), False, 0.0), (WRITTEN, FAILS, False, 0.0))),
    (("once", "mark"), ((WRITTEN, ("sigterm",), False, 0.0),)),
    (("read",), ((ORIGIN, ("sigterm",), False, 0.0),)),
    (("read",), ((UNREAD, ("sigterm",), False, 0.0),)),
    (("read", "once", "mark"), ((SENT, ("idle crossing",), False, 0.0),)),
    (("read", "once", "mark"), ((WRITTEN, ("quit",), True, 0.0), (WRITTEN, ("answer", *FAILS), False, 0.0))),
    (("read", "once", "mark"), ((HALF_SENT, ("idle", *GOES), True, 0.0), (WRITTEN, ("idle",), False, 0.0))),
)


FENCE = b"*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n"  # behind a request on a connection that carried one before
FENCE_REPLY = b"+OK\r\n"


@dataclass(slots=True)
class Subject:
    """A request that events are aimed at."""

    kind: str
    wait: int  # milliseconds
    behind: int  # reads pipelined behind it
    steps: list[str]


@dataclass(slots=True)
class Event:
    """What happens, and when."""

    name: str
    subject: int
    step: str
    pick: int  # which server, where that is open
    awaited: bool  # whether its effect on the router is awaited before the play goes on
    pause: float  # before the next event, where a limit in time is to be passed

    def __str__(self) -> str:
        more = " awaited" * self.awaited + f" +{self.pause:g}s" * bool(self.pause)
        return f"{self.name} at request {self.subject} {self.step} (server {self.pick}{more})"


@dataclass(slots=True)
class Plan:
    """All that a play does, by its seed."""

    seed: int
    aside: bool
    group: str
    window: float
    caches: int
    warm: bool
    steady: bool
    idle: bool
    reads_late: bool  # whether a client that does not read does so at the end
    held: bool  # whether what is held at the end stays so
    subjects: list[Subject]
    events: list[Event]

    def __str__(self) -> str:
        subjects = "; ".join(f"{s.kind} d={s.wait} behind={s.behind}" for s in self.subjects)
        named = ("warm", "steady", "idle", "reads_late", "held")
        flags = "".join(f" {name}" for name in named if getattr(self, name))
        mode = "aside" if self.aside else f"through group={self.group}"
        events = ", ".join(map(str, self.events))
        return (
            f"{mode} window={self.window:g} caches={self.caches}{flags} | requests: {subjects} | "
            f"events: {events}"
        )


def draw(seed: int) -> Plan:
    """The plan of a seed."""
    chance = random.Random(seed)
    aside = chance.random() < 0.6
    window = chance.choice((0.2, 0.9, 9.0))
    kind, meeting = "", ()
    turn = seed % (len(MEETINGS) + FREE)
    if turn < len(MEETINGS):
        kinds, meeting = MEETINGS[turn]
        kind = chance.choice(kinds)
        aside = aside or any(step in (ORIGIN, JOINED) for step, *_ in meeting)
        window = 0.2 if any(pause is None for *_, pause in meeting) else window
    cold = any(step == CONNECTING for step, *_ in meeting)
    warm = not cold and (chance.random() < 0.5 or any("idle crossing" in names for _, names, *_ in meeting))
    count = chance.choice((2, 2, 3, 4) if meeting else (2, 2, 3, 3, 4))
    subjects, events = [], []
    requests = chance.choice((1, 1, 2)) if count > 2 else 1
    for n in range(requests):
        own, met = [], meeting if n == 0 else ()
        for step, names, awaited, pause in met:
            pause = window + 0.02 if pause is None else pause
            own.append(Event(chance.choice(names), n, step, 1 + chance.randrange(2), awaited, pause))
        kind = kind if met else chance.choice(("read", "read", "once", "mark"))
        for step in _steps(chance, kind, aside, warm, met, count - len(own) - requests + 1 if n == 0 else 1):
            own.insert(chance.randrange(len(own) + 1), _event(chance, n, step, warm))
        own.sort(key=lambda event: STEPS.index(event.step))
        behind = chance.choice((0, 0, 0, 1, 3, 40))
        subjects.append(Subject(kind, chance.choice((250, 400, 600)), behind, [e.step for e in own]))
        events.append(own)
    order: list[Event] = []
    while any(events):
        order.append(chance.choice([each for each in events if each]).pop(0))
    names = {event.name for event in order}
    held = chance.random() < 0.5
    if any("sigterm" in each for _, each, *_ in meeting) and chance.random() < 0.8:
        subjects[0].wait, held = 2500, True  # longer than the router has
    if any(pause is None for *_, pause in meeting):
        subjects[0].wait = 600
    if "copy" in names:
        held = False  # the copy follows what its client has
    return Plan(
        seed,
        aside,
        "all" if aside else chance.choice(("all", "cell")),
        window,
        chance.choice((2, 3)),
        warm,
        chance.random() < 0.3,
        "idle" in names,
        chance.random() < 0.5,
        held,
        subjects,
        order,
    )


def _steps(chance: random.Random, kind: str, aside: bool, warm: bool, met: tuple, count: int) -> list[str]:
    """Steps for further events at a request."""
    steps = [HALF_SENT, SENT, HALF_WRITTEN, WRITTEN, WRITTEN, HALF_READ]
    steps += [] if warm else [CONNECTING, CONNECTING]
    if kind == "read":
        steps += [UNREAD] + ([ORIGIN, ORIGIN, JOINED, JOINED] if aside else [])
    drawn = [chance.choice(steps) for _ in range(count)]
    named = {step for step, *_ in met}
    if named & {UNREAD, WRITTEN, CONNECTING}:  # of a request that is answered by its cache server
        drawn = [step if step not in (ORIGIN, JOINED) else WRITTEN for step in drawn]
    if JOINED in named or JOINED in drawn:
        drawn = [step if step in (HALF_SENT, SENT) else JOINED for step in drawn]
    return drawn


def _event(chance: random.Random, subject: int, step: str, warm: bool) -> Event:
    groups = [LISTS, LISTS, CLIENTS, ("repeat",), WATCHES, ("idle",) if chance.random() < 0.5 else LISTS]
    groups += [("sigterm",)] if chance.random() < 0.5 else []
    groups += 3 * [OUTCOMES[step]] if step in OUTCOMES else []
    groups += [("idle crossing",)] * 2 if step == SENT and warm else []
    name = chance.choice(chance.choice(groups))
    if step == HALF_SENT and name == "quit":
        name = "fin"
    pause = chance.choice((0.0, 0.0, 0.0, 0.13))
    return Event(name, subject, step, chance.randrange(3), chance.random() < 0.7, pause)


class Hold:
    """A place where a request waits for the play."""

    def __init__(self) -> None:
        self.reached, self.released, self.done = trio.Event(), trio.Event(), trio.Event()
        self.action = "answer"
        self.server: Server | None = None

    def let(self, action: str = "answer") -> None:
        """Let it go on, in a way."""
        if not self.released.is_set():
            self.action = action
            self.released.set()

    async def here(self, server: Server) -> str:
        """Wait for the play; what to do then."""
        self.server = server
        self.reached.set()
        await self.released.wait()
        return self.action


@dataclass(slots=True, eq=False)
class Request:
    """What a client asked, and what came of it."""

    ident: bytes
    key: bytes
    kind: str
    wait: float
    mark: bytes = b""
    repeat: bool = False
    pad: bool = False
    big: bool = False
    holds: dict[str, Hold] = field(default_factory=dict)
    sent: float = inf  # when its last byte was written
    answers: list[tuple[float, bytes]] = field(default_factory=list)
    customer: Customer | None = None
    excused: bool = False  # its client has gone
    lost: int = 0  # connections that the router ended under it,
    taken_and_lost: bool = False  # though it had taken it there
    finished: trio.Event = field(default_factory=trio.Event)

    def command(self) -> bytes:
        if self.kind == "quit":
            return b"*1\r\n$4\r\nQUIT\r\n"
        words = [b"KV.GET" if self.kind == "read" else b"KV.SET", self.key, self.ident, self.labels()]
        if self.kind != "read":
            words.append(b"new value" + b"x" * PAD * self.pad)
        return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))

    def labels(self) -> bytes:
        labels = b"c=%b,d=%d" % (self.kind.encode(), round(self.wait * 1000))
        return labels + (b",k=" + self.mark if self.mark else b"") + b",r=1" * self.repeat

    def value(self) -> bytes:
        return b"%b of %b" % (self.key[:40], self.ident) + b"v" * BIG * self.big

    def hold(self, step: str) -> Hold | None:
        """The hold at a step, for the first that comes there."""
        hold = self.holds.get(step)
        return hold if hold is not None and not hold.reached.is_set() and not hold.released.is_set() else None


@dataclass(slots=True, eq=False)
class Attempt:
    """What a server saw of one attempt."""

    server: Server
    began: float
    request: Request | None = None
    done: float = inf  # when its last byte had come
    turned: bool = False  # refused: it never ran

    def __str__(self) -> str:
        name = self.request.ident.decode() if self.request else "?"
        return f"{name} at {self.server.uid}, begun {self.began:.3f}, whole {self.done:.3f}"


class Customer:
    """One client connection: what it asked, in order, and what it was told."""

    def __init__(self, play: Play, small: bool = False) -> None:
        self.play = play
        self.raw = socket.socket()
        if small:
            self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.raw.connect(("127.0.0.1", play.made.port))
        self.raw.setblocking(False)
        self.raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.name = self.raw.getsockname()
        self.owed: deque[Request] = deque()
        self.closed_at = inf  # by the client, for one way at least
        self.over = trio.Event()  # the router ended it, or the client did
        self.quit = False
        self.reading = trio.Event()
        self.stalled = small  # whether it did not read for a while
        if not small:
            self.reading.set()
        play.customers.append(self)
        play.nursery.start_soon(self._read)

    def write(self, data: bytes) -> None:
        with suppress(OSError):
            sent = self.raw.send(data)
            assert sent == len(data), "a command that does not fit the buffers"

    def send(self, request: Request, data: bytes | None = None) -> None:
        """Write a request, or what is left of it, in one step."""
        request.sent = trio.current_time()
        if request.customer is not self:
            request.customer = self
            self.owed.append(request)
        self.write(request.command() if data is None else data)

    def half(self, request: Request) -> bytes:
        """Write the first half of a request; the rest."""
        data = request.command()
        request.customer = self
        self.owed.append(request)
        self.write(data[: len(data) // 2])
        return data[len(data) // 2 :]

    async def _read(self) -> None:
        parser = Parser(MAX_REPLY_BYTES)
        while not self.over.is_set():
            await self.reading.wait()
            if self.over.is_set():  # closed meanwhile
                return
            try:
                await trio.lowlevel.wait_readable(self.raw)
                data = self.raw.recv(1 << 20)
            except BlockingIOError:
                continue
            except (OSError, ValueError, trio.ClosedResourceError):
                data = b""
            if not data:
                if len(parser) and self.closed_at == inf:
                    owed = self.owed[0].ident if self.owed else "nobody's"
                    self.play.broke(ANSWER, f"half an answer, then the end: {owed}")
                self._ended()
                return
            parser.feed(data)
            try:
                while (message := parser.next()) is not None:
                    self._answered(message.raw)
            except Malformed as bad:
                self.play.broke(ANSWER, f"an answer that cannot be read: {bad}")
                self._ended()

    def _answered(self, data: bytes) -> None:
        if not self.owed:
            self.play.broke(ANSWER, f"unasked: {data[:60]!r}")
            return
        request = self.owed.popleft()
        if request.kind == "quit" and data != b"+OK\r\n":
            self.play.broke(ANSWER, f"QUIT answered {data[:60]!r}")
        request.answers.append((trio.current_time(), data))
        request.finished.set()

    def _ended(self) -> None:
        """No answer follows. What is still owed is sent again, once."""
        self.over.set()
        owed, self.owed = list(self.owed), deque()
        for request in owed:
            if self.closed_at < inf:
                request.excused = request.excused or not self.play.over
            elif request.kind != "quit" and request.sent < inf:
                request.lost += 1
                known = request.ident in self.play.taken
                request.taken_and_lost = request.taken_and_lost or known
                if request.lost == 1 and not known and not self.play.over:
                    with suppress(OSError):
                        type(self)(self.play).send(request)
                        continue
            request.finished.set()

    def _gone(self) -> None:
        if self.closed_at == inf:
            self.closed_at = trio.current_time()
        for request in self.owed if not self.play.over else ():
            request.excused = True
            request.finished.set()

    def close(self, reset: bool = False) -> None:
        self._gone()
        self.over.set()
        if self.raw.fileno() >= 0:
            if reset:
                self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            trio.lowlevel.notify_closing(self.raw)
            self.raw.close()

    def half_close(self) -> None:
        """The router cannot tell it from a close: nobody waits for what is owed."""
        self._gone()
        with suppress(OSError):
            self.raw.shutdown(socket.SHUT_WR)


class Server:
    """A stand-in for one process of a cache server or the origin."""

    def __init__(self, play: Play, uid: str, kind: str, cell: int = 0, boot: int = 0) -> None:
        self.play, self.uid, self.kind, self.cell, self.boot = play, uid, kind, cell, boot
        self.state = "ready"
        self.scope = trio.CancelScope()
        self.streams: set[trio.SocketStream] = set()
        self.idle: set[trio.SocketStream] = set()
        self.port = 0

    async def start(self) -> Server:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        if self.play.padded:
            listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.port = listener.socket.getsockname()[1]
        self.play.servers.append(self)
        self.play.nursery.start_soon(self._run, listener)
        return self

    async def _run(self, listener: trio.SocketListener) -> None:
        with self.scope:
            await trio.serve_listeners(self.serve, [listener])

    def entry(self) -> dict:
        """As the list has it."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "a",
            "model": self.kind,
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot,
        }

    async def serve(self, stream: trio.SocketStream) -> None:
        self.streams.add(stream)
        try:
            while await self._attempt(stream):
                pass
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.streams.discard(stream)
            self.idle.discard(stream)

    async def _attempt(self, stream: trio.SocketStream) -> bool:
        """Take one attempt and answer it; whether the connection goes on."""
        play = self.play
        self.idle.add(stream)
        data = b""
        with trio.move_on_after(0.2 if play.plan.idle else inf):
            data = await stream.receive_some(2048)
        self.idle.discard(stream)
        if not data:
            return False
        while data.startswith(FENCE[: len(data)]):  # the end of the request before
            data += await self._rest_of_fence(stream, data)
            await stream.send_all(FENCE_REPLY)
            data = data.removeprefix(FENCE)
            if not data:
                return True
        attempt = Attempt(self, trio.current_time())
        play.attempts.append(attempt)
        attempt.request = play.identify(data)
        hold = attempt.request.hold(HALF_WRITTEN) if attempt.request else None
        if hold is not None and not self._whole(data):
            action = await hold.here(self)
            if action != "answer":
                return await self._end(stream, action)
        while not self._whole(data):
            more = await stream.receive_some(65536)
            if not more:
                return False
            data += more
        attempt.done = trio.current_time()
        attempt.request = play.identify(data)  # by its id, where its beginning told the key alone
        fence = self._behind(data)
        going_on = await self._answer(stream, attempt)
        if going_on and fence:
            await self._rest_of_fence(stream, fence)
            await stream.send_all(FENCE_REPLY)
        return going_on

    async def _rest_of_fence(self, stream: trio.SocketStream, begun: bytes) -> bytes:
        """Read what is missing of a fence that has begun."""
        rest = b""
        while len(begun + rest) < len(FENCE):
            more = await stream.receive_some(len(FENCE) - len(begun + rest))
            if not more:
                raise trio.ClosedResourceError
            rest += more
        return rest

    def _behind(self, data: bytes) -> bytes:
        """What came behind a whole command."""
        if self.kind != "std":
            return b""
        parser = Parser(MAX_REPLY_BYTES)
        parser.feed(data)
        parser.next()
        return parser.unparsed()

    def _whole(self, data: bytes) -> bool:
        if self.kind == "std":
            parser = Parser(MAX_REPLY_BYTES)
            parser.feed(data)
            return parser.next() is not None
        head, blank, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)\r\ncontent-length: (\d+)", head)
        return bool(blank) and len(body) >= (int(length[1]) if length else 0)

    async def _answer(self, stream: trio.SocketStream, attempt: Attempt) -> bool:
        request = attempt.request
        fetch = self.kind == "origin" and request.kind == "read"
        hold = request.hold(ORIGIN if fetch else WRITTEN)
        action = await hold.here(self) if hold else "answer"
        if action in ("close", "reset"):
            return await self._end(stream, action)
        attempt.turned = action == "busy"
        reply = self._reply(request, action)
        half = request.hold(HALF_READ)
        if half is not None and action == "answer":
            await stream.send_all(reply[: len(reply) // 2])
            action = await half.here(self)
            if action != "answer":
                return await self._end(stream, action)
            reply = reply[len(reply) // 2 :]
        if action == "half":
            await stream.send_all(reply[: len(reply) // 2])
            return await self._end(stream, "close")
        await stream.send_all(reply)
        if action == "copy":
            with trio.move_on_after(LONGEST):
                await request.finished.wait()  # its client has the answer, so the router took it
            await stream.send_all(reply)
            hold.done.set()
        unread = request.hold(UNREAD)
        if unread is not None and request.key not in self.play.missing:
            unread.reached.set()
        return True

    def _reply(self, request: Request, action: str) -> bytes:
        if self.kind == "origin":
            if action == "busy":
                return b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nX-Turned-Away: 1\r\n\r\n"
            if action == "error":
                return b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
            self.play.missing.discard(request.key)
            return b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b" % (len(request.value()), request.value())
        if action in ("busy", "error"):
            return b"-BUSY\r\n" if action == "busy" else b"-ERR failed\r\n"
        if request.key in self.play.missing:
            self.play.missed.add(request.ident)
            return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
        return b"*3\r\n" + bulk(request.value()) + b"$3\r\nhit\r\n$-1\r\n"

    async def _end(self, stream: trio.SocketStream, action: str) -> bool:
        if action == "reset":
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await stream.aclose()
        return False


class Discovery:
    """A stand-in for discovery: holds watches open until the list changes."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.port = 0
        self.streams: set[trio.SocketStream] = set()
        self.refuses = False

    async def start(self) -> Discovery:
        [listener] = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        self.play.nursery.start_soon(trio.serve_listeners, self.serve, [listener])
        return self

    async def serve(self, stream: trio.SocketStream) -> None:
        self.streams.add(stream)
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = await stream.receive_some()
                    if not more:
                        return
                    data += more
                head, _, data = data.partition(b"\r\n\r\n")
                await self._reply(stream, head.split(b" ")[1])
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.streams.discard(stream)

    async def _reply(self, stream: trio.SocketStream, target: bytes) -> None:
        play = self.play
        asked = re.search(rb"index=(\d+)&wait=(\d+)", target)
        since = int(asked[1]) if asked else -1
        if asked and since == play.rev and not self.refuses:
            with trio.move_on_after(int(asked[2]) / 1000):
                while since == play.rev and not self.refuses:
                    await play.news.wait()
        if self.refuses:
            self.refuses = False
            await stream.send_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            return
        rows = play.rows() if since < 0 else play.changes(since)
        body = json.dumps({"rev": play.rev, "all": since < 0, "targets": rows}).encode()
        rev, began = play.rev, trio.current_time()
        if stream.socket.fileno() < 0 or sockets.hung_up(stream.socket._sock):
            raise trio.ClosedResourceError  # written there, the list would not be told to anybody
        await stream.send_all(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        play.told(rev, began)

    def reset(self) -> None:
        """End the watches that stand open."""
        for stream in self.streams:
            raw = stream.socket
            if raw.fileno() < 0:
                continue  # reset already, by an event of this very step
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raw.close()


class Play:
    """One play: the systems round one router, the script, and what all of them saw."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.breaks: list[tuple[str, str]] = []
        self.padded = any(HALF_WRITTEN in subject.steps for subject in plan.subjects)
        self.servers: list[Server] = []
        self.customers: list[Customer] = []
        self.requests: dict[bytes, Request] = {}
        self.attempts: list[Attempt] = []
        self.taken: set[bytes] = set()
        self.missing: set[bytes] = set()  # keys that no cache server holds yet
        self.missed: set[bytes] = set()  # requests that were told so
        self.rev, self.news = 1, trio.Event()
        self.log: list[tuple[int, dict]] = []  # changes of the list, by version
        self.leaving: list[tuple[int, Server]] = []  # who drains or is gone from a version on
        self.told_at: dict[int, float] = {}  # versions written to the router
        self.read_rev = 1
        self.read = trio.Event()
        self.strict_servers: list[tuple[float, Server]] = []  # from here on no attempt may begin there,
        self.strict_customers: list[tuple[float, Customer]] = []  # nor for this one
        self.late: list[tuple[float, float]] = []  # when the loop stood still, and for how long
        self.gates: deque[Hold] = deque()
        self.crossings = 0  # idle connections that are still to be closed under a request
        self.term_at = self.ended_at = inf
        self.steps_missed: list[str] = []
        self.places: dict[Request, Customer] = {}  # the subjects' own connections
        self.rest: dict[Request, bytes] = {}  # second halves that are not sent yet
        self.finishing = False
        self.over = False  # what is not answered now never is
        self.quits: list[Request] = []

    def broke(self, rule: str, text: str) -> None:
        self.breaks.append((rule, text))

    # -- what the stand-ins ask

    def identify(self, data: bytes) -> Request | None:
        """Whose attempt begins so."""
        found = re.search(rb"i\d+-\d+", data)
        request = self.requests.get(found[0]) if found else None
        if request is None and (found := re.search(rb"p(\d+)x", data)):
            request = next((r for r in self.requests.values() if r.key.startswith(found[0])), None)
        return request

    def rows(self) -> list[dict]:
        last: dict[str, dict] = {}
        for _, row in self.log:
            last[row["uid"]] = row
        return [row for row in last.values() if row["state"] != "gone"]

    def changes(self, since: int) -> list[dict]:
        last = {row["uid"]: row for rev, row in self.log if rev > since}
        return list(last.values())

    def tell(self, rows: list[dict], leaving: list[Server]) -> None:
        """A new version of the list."""
        self.rev += 1
        self.log += [(self.rev, row) for row in rows]
        self.leaving += [(self.rev, server) for server in leaving]
        self.wake()

    def wake(self) -> None:
        self.news.set()
        self.news = trio.Event()

    def told(self, rev: int, at: float) -> None:
        for each in range(2, rev + 1):
            self.told_at.setdefault(each, at)

    # -- patches for what loopback alone does not force

    async def connect(self, raw: socket.socket, address: tuple[str, int]) -> None:
        server = next((s for s in self.servers if s.port == address[1]), None)
        if self.gates and server is not None:
            hold = self.gates.popleft()
            if await hold.here(server) == "refuse":
                raise ConnectionRefusedError("by the play")
        await sockets.connect(raw, address)

    def silent(self, raw: socket.socket) -> bool:
        """The router's look at an idle connection, which the server may close in the next moment."""
        quiet = sockets.silent(raw)
        if quiet and self.crossings:
            mine = raw.getsockname()
            for server in self.servers:
                for stream in list(server.idle):
                    if stream.socket.getpeername() == mine:
                        self.crossings -= 1
                        stream.socket.close()
        return quiet

    def small(self, address: tuple[str, int]) -> socket.socket:
        raw = sockets.tcp(address)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return raw

    def patches(self) -> ExitStack:
        stack = ExitStack()
        serve = Service.run

        async def run(service: Service) -> None:
            try:
                await serve(service)
            except Exception as bad:
                self.broke(DEFECT, f"the router raised {bad!r}")
            self.ended_at = trio.current_time()

        replaced = [
            (Service, "run", run),
            (client_server, "MAX_LOOP_DELAY", NEVER),
            (connection_pool, "connect", self.connect),
        ]
        replaced += [(connection_pool, "silent", self.silent)]
        replaced += [(connection_pool, "tcp", self.small)] if self.padded else []
        if self.plan.idle:
            replaced += [(idle_reaper, "IDLE_TIMEOUT", 0.1), (idle_reaper, "REQUEST_READ_TIMEOUT", 0.12)]
            replaced += [(idle_reaper, "SWEEP_INTERVAL", 0.05), (connection_pool, "SWEEP_INTERVAL", 0.05)]
        for owner, name, value in replaced:
            stack.enter_context(patch.object(owner, name, value))
        return stack

    def settings(self) -> dict:
        plan = self.plan
        allowed = {
            **SETTINGS["allowed"],
            "connectTimeoutUs": 400_000,
            "connIdleUs": 200_000 if plan.idle else 10_000_000,
        }
        times = {"promisedTimeUs": int(LONGEST * 1e6), "abandonTimeUs": int(LONGEST * 1e6)}
        types = [{**each, **times} for each in SETTINGS["trafficTypes"]]
        types[1].update(group=plan.group, windowUs=int(plan.window * 1e6))
        mode = {"mode": "aside" if plan.aside else "through", "originKind": 1}
        return {**SETTINGS, "allowed": allowed, "trafficTypes": types, "domain": mode}

    # -- the script

    async def run(self, path: Path) -> None:
        with trio.move_on_after(20) as limit:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self._sample)
                self.agent = await Discovery(self).start()
                for n in range(self.plan.caches):
                    await Server(self, f"s-{n}", "std", n).start()
                await Server(self, "o-0", "origin").start()
                self.log = [(1, server.entry()) for server in self.servers]
                known = {"rev": 1, "all": True, "targets": self.rows()}
                given = {"discovery": f"127.0.0.1:{self.agent.port}", "known": known}
                async with fleet(path, peers=given, settings=self.settings()) as self.made:
                    self._observe()
                    if any(UNREAD in subject.steps for subject in self.plan.subjects):
                        # Connections inherit it; with the system's own size, all that is not read fits.
                        self.made.service.listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                    await self._script()
                    await self._finish()
                self.nursery.cancel_scope.cancel()
        if limit.cancelled_caught:
            self.broke(END, "the play did not come to its end")
        self.check()

    def _observe(self) -> None:
        """Note what the router takes, and which lists it reads."""
        service = self.made.service
        submit, heard = service.dispatcher.submit, service.discovery.on_update

        def note(operation, payload, answer):
            self.taken.add(payload.ident)
            return submit(operation, payload, answer)

        def hear(update):
            heard(update)
            self.read_rev = max(self.read_rev, update.rev)
            self.read.set()
            self.read = trio.Event()

        service.dispatcher.submit, service.discovery.on_update = note, hear

    async def _sample(self) -> None:
        while True:
            due = trio.current_time() + SAMPLE
            await trio.sleep_until(due)
            late = trio.current_time() - due
            if late > SAMPLE / 2:
                self.late.append((due, late))

    def stood(self, began: float, end: float) -> float:
        """For how long the loop stood still between two times, or just about them."""
        return sum(late for due, late in self.late if due + late >= began - 0.05 and due <= end + 0.05)

    async def settle(self) -> None:
        """Until all that was written on loopback is read, and nobody has more to do."""
        await trio.testing.wait_all_tasks_blocked(0.002)

    def request(self, kind: str, key: bytes, wait: float, **more) -> Request:
        ident = b"i%d-%d" % (self.plan.seed, len(self.requests))
        made = self.requests[ident] = Request(ident, key, kind, wait, **more)
        return made

    async def _script(self) -> None:
        plan = self.plan
        with trio.move_on_after(0.3):
            while not self.agent.streams:
                await trio.sleep(0.001)
        if plan.warm:
            await self._warm()
        self.subjects = [await self._prepare(n, subject) for n, subject in enumerate(plan.subjects)]
        if plan.steady:
            self.nursery.start_soon(self._steady)
        for event in plan.events:
            request = self.subjects[event.subject]
            if event.name == "idle crossing" and request.sent == inf:
                self.crossings = 1
            await self._reach(request, event.step, plan.subjects[event.subject])
            await self._fire(event, request)
            if event.name == "idle crossing":
                await self.settle()
                self.steps_missed += [SENT] * self.crossings
            if event.pause:
                await trio.sleep(event.pause)  # a limit in time is to be passed

    async def _warm(self) -> None:
        """Leave an idle connection to each server, by key, with its rest behind it."""
        customer = Customer(self)
        for n in range(3):
            customer.send(self.request("read", b"k%d" % n, LONGEST))
        if self.plan.aside:
            customer.send(self.request("once", b"w", LONGEST))
        for request in list(self.requests.values()):
            await request.finished.wait()
        await trio.sleep(1.5 * connection_pool.REUSE_DELAY)

    async def _prepare(self, n: int, subject: Subject) -> Request:
        """A request with its holds, not yet sent; where it is to join a fetch, that is out."""
        steps = subject.steps
        pad, fetched = HALF_WRITTEN in steps, JOINED in steps or ORIGIN in steps
        key = b"k%d" % n
        if fetched:
            key = b"m%d" % n
            self.missing.add(key)
        if pad and subject.kind == "read":
            key = b"p%dx" % n + b"x" * (PAD - 10)
            if ORIGIN in steps:
                self.missing.add(key)
        mark = b"mark%d" % n if subject.kind == "mark" else b""
        small = UNREAD in steps
        request = self.request(subject.kind, key, subject.wait / 1000, mark=mark, pad=pad, big=small)
        request.holds = {step: Hold() for step in steps if step not in (HALF_SENT, SENT)}
        if JOINED in steps:
            leader = self.request("read", key, LONGEST)
            leader.holds = {ORIGIN: request.holds[JOINED]}
            Customer(self).send(leader)
            with trio.move_on_after(0.3):
                await request.holds[JOINED].reached.wait()
        self.places[request] = Customer(self, small)
        await self.settle()
        return request

    async def _steady(self) -> None:
        """A client that asks on and on, for as long as the router takes connections."""
        with suppress(OSError):
            customer = Customer(self)
            for n in range(40):
                if self.finishing and self.term_at == inf:
                    return
                if customer.over.is_set():
                    customer = Customer(self)
                request = self.request("read", b"k%d" % (n % 3), 0.4)
                customer.send(request)
                await request.finished.wait()
                await trio.sleep(0.02)

    async def _reach(self, request: Request, step: str, subject: Subject) -> None:
        """Bring a request to a step."""
        customer = self.places[request]
        for earlier, hold in request.holds.items():
            if STEPS.index(earlier) < STEPS.index(step):
                hold.let()
        if customer.over.is_set() and request.sent == inf:
            return  # told that it came too late, or closed
        if step == HALF_SENT:
            if request.customer is None:
                self.rest[request] = customer.half(request)
                await self.settle()
            return
        if request.sent == inf and customer.closed_at == inf:
            self._send(request, customer, subject)
        if step == SENT:
            return
        if step == JOINED:
            with trio.move_on_after(0.3):
                while request.ident not in self.missed and not request.finished.is_set():
                    await trio.sleep(0.001)
            await self.settle()
            return
        hold = request.holds[step]
        with trio.move_on_after(0.3):
            while not hold.reached.is_set() and not request.finished.is_set():
                await trio.sleep(0.001)
        if not hold.reached.is_set():
            self.steps_missed.append(step)
        if step == UNREAD:
            await self.settle()

    def _send(self, request: Request, customer: Customer, subject: Subject) -> None:
        if CONNECTING in request.holds and not request.holds[CONNECTING].released.is_set():
            self.gates.append(request.holds[CONNECTING])
        customer.send(request, self.rest.pop(request, None))
        for n in range(subject.behind):
            customer.send(self.request("read", b"k%d" % (n % 3), request.wait))

    def _target(self, event: Event, request: Request) -> Server:
        """The server that holds the request, or another."""
        own = [h.server for h in request.holds.values() if h.reached.is_set() and h.server is not None]
        up = [server for server in self.servers if server.state == "ready"] or self.servers
        return own[-1] if own and event.pick else up[event.pick % len(up)]

    async def _fire(self, event: Event, request: Request) -> None:
        name, customer = event.name, request.customer or self.places[request]
        if name in LISTS:
            await self._list(event, self._target(event, request))
        elif name == "watch reset":
            self.agent.reset()
        elif name == "watch 503":
            self.agent.refuses = True
            self.wake()
        elif name == "moved":
            await self._move(event)
        elif name == "sigterm":
            if self.ended_at == inf:
                self.term_at = min(self.term_at, trio.current_time())
                os.kill(os.getpid(), signal.SIGTERM)
        elif name in CLIENTS:
            await self._leave(name, customer, event.awaited)
        elif name == "repeat":
            self._repeat(request)
        elif name == "idle":
            await trio.sleep(0.25)  # the limits of connections, past which each side closes idle ones
        elif name in OUTCOMES.get(event.step, ()):
            hold = request.holds[event.step]
            hold.let(name)
            if name == "copy" and hold.reached.is_set():
                with trio.move_on_after(LONGEST):
                    await hold.done.wait()
        if event.awaited:
            await self.settle()

    async def _list(self, event: Event, server: Server) -> None:
        rows, leaving = [], [server]
        if event.name == "drain":
            server.state = "draining"
        elif event.name == "gone":
            server.state = "gone"
        elif event.name == "anew":
            server.state = "gone"  # this process; its name goes on
            if event.pause:
                server.scope.cancel()
            boot = int(time.time() * 1000) if event.pick == 2 else 1000 * (self.rev + 1)
            rows.append((await Server(self, server.uid, server.kind, server.cell, boot).start()).entry())
        else:
            server.state = "draining"
            others = [s for s in self.servers if s.state == "ready" and s.kind == "std"]
            if len(others) > 1:
                others[0].state = "gone"
                leaving.append(others[0])
            fresh = await Server(self, f"s-{len(self.servers)}", "std", len(self.servers)).start()
            rows.append(fresh.entry())
        rows += [each.entry() for each in leaving if event.name != "anew"]
        self.tell(rows, leaving)
        if event.awaited:
            await self._await_list(leaving)

    async def _await_list(self, leaving: list[Server]) -> None:
        """Until the router has read the list, and what it had written before has come."""
        rev = self.rev
        with trio.move_on_after(0.3):
            while self.read_rev < rev and self.ended_at == inf:
                await self.read.wait()
        if self.read_rev >= rev:
            await self.settle()
            self.strict_servers += [(trio.current_time(), server) for server in leaving]

    async def _move(self, event: Event) -> None:
        self.agent = await Discovery(self).start()
        config = json.loads(self.made.path.read_text())
        config["discovery"] = f"127.0.0.1:{self.agent.port}"
        self.made.path.write_text(json.dumps(config))
        if self.term_at < inf or self.ended_at < inf:
            return
        if event.pick:
            os.kill(os.getpid(), signal.SIGHUP)
        else:
            self.made.service.reload()

    async def _leave(self, name: str, customer: Customer, awaited: bool) -> None:
        if name == "quit":
            if customer.closed_at == inf and not customer.over.is_set() and not customer.quit:
                customer.quit = True
                quit_ = Request(b"quit", b"", "quit", inf)
                self.quits.append(quit_)
                customer.send(quit_)
            return
        await self._swept(customer)
        side = self._side(customer)
        if name == "half close":
            customer.half_close()
        else:
            customer.close(reset=name == "rst")
        if awaited:
            with trio.move_on_after(CLOSE_GRACE + 0.05):
                while self._stands(side):
                    await trio.sleep(0.001)
            if side is not None and not self._stands(side):
                await self.settle()
                self.strict_customers.append((trio.current_time(), customer))

    async def _swept(self, customer: Customer) -> None:
        """Until just behind a sweep, where a connection is not read since too much of it is in hand: only the
        sweep looks whether that ended, and the verdict must not hang on when it does."""
        stands = self._side(customer)
        if stands is not None and stands.paused:
            reaper = self.made.service.clients.idle_reaper
            last = reaper.last_sweep
            with trio.move_on_after(0.3):
                while reaper.last_sweep == last:
                    await trio.sleep(0.001)

    def _side(self, customer: Customer) -> ClientConnection | None:
        """The router's side of a client's connection, while both stand."""
        for each in self.made.service.clients.connections:
            with suppress(OSError):
                if each.sock.getpeername() == customer.name:
                    return each
        return None

    def _stands(self, side: ClientConnection | None) -> bool:
        return any(each is side for each in self.made.service.clients.connections)

    def _repeat(self, request: Request) -> None:
        """The client's own repeat, by the same idempotency key, where that is remembered long enough."""
        if request.sent == inf or request.kind == "once" or self.plan.group != "all":
            return
        if request.pad and request.kind == "read":
            return  # by their beginnings its attempts could not be told apart
        if request.kind == "mark" and trio.current_time() + request.wait > request.sent + self.plan.window:
            return
        again = self.request(request.kind, request.key, request.wait, mark=request.mark, repeat=True)
        with suppress(OSError):
            Customer(self).send(again)

    async def _finish(self) -> None:
        """Let all go, hear all answers, ask a little more, and see the end."""
        self.finishing = True
        for request in list(self.requests.values()):
            for hold in request.holds.values() if not self.plan.held else ():
                hold.let()
            if request.customer and (self.plan.reads_late or not request.big):
                request.customer.reading.set()
        for request, rest in self.rest.items():
            if not request.customer.over.is_set() and request.customer.closed_at == inf:
                request.customer.send(request, rest)
        await self._all_finished()
        if self.term_at == inf:
            await trio.sleep(1.5 * connection_pool.REUSE_DELAY)  # so that connections are used again
            customer = Customer(self)
            for n in range(3):
                key = self.subjects[0].key[:40]
                customer.send(self.request("read", key if n < 2 and b"x" not in key else b"k1", LONGEST))
                await self._all_finished()
            await self.settle()  # what might follow the last answers is read
            self.over = True
            for each in self.customers:
                each.close()
            with trio.move_on_after(1.0):
                while len(self.made.service.dispatcher.pending_operations) or self.made.service.pool.pending:
                    await trio.sleep(0.005)
                return
            self.broke(DEFECT, "something is left in hand")
            return
        latest = self.term_at + LONGEST + KILL_SLACK
        while self.ended_at == inf and trio.current_time() < latest + END_GRACE + self.stood(
            self.term_at, latest
        ):
            await trio.sleep(0.005)
        end = min(self.ended_at, trio.current_time())
        if end >= latest + END_GRACE + self.stood(self.term_at, latest):
            self.broke(END, f"not ended {end - self.term_at:.3f} s after SIGTERM")
        await self.settle()  # what was written last is read
        self.over = True
        for each in self.customers:
            each.close()

    async def _all_finished(self) -> None:
        """Until each request has its answer, or its time is over."""
        for request in list(self.requests.values()):
            if request.sent == inf or not request.customer.reading.is_set():
                continue
            while not request.finished.is_set():
                due = request.sent + request.wait + ANSWER_GRACE
                if trio.current_time() > due + self.stood(request.sent, due) + 0.05:
                    break
                await trio.sleep(0.002)

    # -- the rules

    def check(self) -> None:
        for request in self.requests.values():
            self._check_answer(request)
        for request in self.quits:
            owed = not request.answers and not request.excused and request.customer.reading.is_set()
            if owed and self.term_at == inf and not self.plan.idle:
                self.broke(ANSWER, "QUIT not answered")
        self._check_effects()
        for attempt in self.attempts:
            self._check_drain(attempt)
            self._check_close(attempt)

    def _check_answer(self, request: Request) -> None:
        name = f"{request.kind} {request.ident.decode()}"
        if request.sent == inf or request.customer is None:
            return
        known = any(data == IN_USE for _, data in request.answers)
        if request.taken_and_lost or known:
            self.broke(ANSWER, f"{name}: taken, and its connection ended unanswered")
        elif not request.answers and not request.excused:
            read = request.customer.reading.is_set()
            if request.lost < 2 and self.term_at == inf and read:
                self.broke(ANSWER, f"{name}: no answer, sent at {request.sent:.3f}")
            elif not request.lost and read:
                self.broke(ANSWER, f"{name}: no answer over the router's end, sent at {request.sent:.3f}")
            elif request.lost > 1 and self.term_at == inf:
                self.broke(ANSWER, f"{name}: two connections ended under it")
        for at, data in request.answers[:1]:
            due = request.sent + request.wait + ANSWER_GRACE
            if at > due + self.stood(request.sent, at) and not request.customer.stalled:
                self.broke(ANSWER, f"{name}: answered {at - due:.3f} s too late: {data[:40]!r}")
            if data.startswith(b"$"):
                if data != bulk(request.value()):
                    self.broke(ANSWER, f"{name}: not its own answer: {data[:60]!r}")
            elif not data.startswith((b"-BUSY", b"-ERR failed")) and not (
                self.plan.idle and data.startswith(b"-ERR protocol: command not whole in time")
            ):
                self.broke(ANSWER, f"{name}: answered {data[:60]!r}")

    def _check_effects(self) -> None:
        ran = sorted((a for a in self.attempts if a.done < inf and not a.turned), key=lambda a: a.done)
        effects: dict[bytes, list[Attempt]] = {}
        known: dict[tuple, float] = {}  # when a mark took effect, by who remembers it
        for attempt in ran:
            request = attempt.request
            if request is None or request.kind == "read":
                continue
            place = (request.mark, attempt.server.cell if self.plan.group == "cell" else 0)
            if request.mark and attempt.done <= known.get(place, -inf) + self.plan.window:
                continue  # dropped as a repeat
            known[place] = attempt.done
            effects.setdefault(request.ident, []).append(attempt)
        for ident, each in effects.items():
            request = each[0].request
            if len(each) > 1:
                self.broke(EFFECT, f"{request.kind} {ident.decode()}: twice: {', '.join(map(str, each))}")
            harmful = request.kind == "once" or self.plan.group == "cell"
            if harmful and any(data.startswith(b"-BUSY") for _, data in request.answers):
                self.broke(EFFECT, f"{request.kind} {ident.decode()}: answered BUSY, and ran: {each[0]}")

    def _check_drain(self, attempt: Attempt) -> None:
        for rev, server in self.leaving:
            told = self.told_at.get(rev, inf)
            latest = told + DRAIN_GRACE + self.stood(told, attempt.began)
            if server is attempt.server and attempt.began > latest:
                self.broke(DRAIN, f"{attempt}: {attempt.began - told:.3f} s after its list")
        for at, server in self.strict_servers:
            if server is attempt.server and attempt.began > at:
                self.broke(DRAIN, f"{attempt}: {attempt.began - at:.3f} s after its list was read")

    def _check_close(self, attempt: Attempt) -> None:
        customer = attempt.request.customer if attempt.request else None
        if customer is None:
            return
        late = attempt.began - customer.closed_at
        if late > CLOSE_GRACE + self.stood(customer.closed_at, attempt.began):
            self.broke(CLOSE, f"{attempt}: {late:.3f} s after its client closed")
        for at, each in self.strict_customers:
            if each is customer and attempt.began > at:
                self.broke(CLOSE, f"{attempt}: {attempt.began - at:.3f} s after the router read the close")


def play(seed: int) -> Play:
    """Play a seed; `breaks` of it has what was broken."""
    made = Play(draw(seed))
    sink = logger.add(
        lambda text: made.broke(DEFECT, f"logged: {text.strip()[-300:]}"),
        level="ERROR",
        format="{message} {exception}",
    )
    try:
        with made.patches(), tempfile.TemporaryDirectory() as folder:
            trio.run(partial(made.run, Path(folder)))
    finally:
        logger.remove(sink)
    return made


def main() -> int:
    """Play seeds, a line for each that broke a rule."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    logger.remove()
    began, broken, events, missed = time.monotonic(), 0, 0, 0
    for seed in range(first, first + count):
        made = play(seed)
        events += len(made.plan.events)
        missed += len(made.steps_missed)
        if made.breaks:
            broken += 1
            told = " || ".join(f"{rule}: {text}" for rule, text in made.breaks[:4])
            print(f"seed {seed}: {len(made.breaks)} broken: {told} || plan: {made.plan}", flush=True)
    beside = f"{events} events, {missed} of them beside their step"
    print(f"{count} seeds from {first}: {broken} broken, {beside}, {time.monotonic() - began:.1f} s")
    return bool(broken)


if __name__ == "__main__":
    sys.exit(main())
