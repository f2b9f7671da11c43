"""The played servers on loopback sockets: RESP2 and HTTP/1.1 in, the decisions' answers out, in
their order."""

from __future__ import annotations

import socket
import struct
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote_to_bytes, urlsplit

import h11
import trio
from loguru import logger

from ..net.resp import ARRAY, BULK, Malformed, Message, Parser
from ..net.sockets import receive, send_all, send_some, shut
from ..net.timer_queue import TimerQueue
from .cache import BUSY, Act, CacheServer, Command
from .directory import Directory
from .faults import Faults, Manner
from .machine import Job, Machine
from .origin import Origin, http_answer

BACKLOG = 256
SWEEP_EVERY = 0.5
LINGER_NONE = struct.pack("ii", 1, 0)  # a close resets the connection
GARBAGE = b"\x00no protocol of ours\r\n\r\n"
MOST_BODY = 1 << 20
AFTER_PAUSE = 0.1  # connections taken so soon after a pause waited through it


def parse_labels(told: bytes) -> dict[str, str]:
    """Names and values as they stand in a command."""
    return dict(part.partition("=")[::2] for part in told.decode("latin-1").split(","))


@dataclass(slots=True, eq=False)
class Ticket:
    """A command's place in the order of answers."""

    act: Act | None = None
    command: Command | None = None


@dataclass(slots=True, eq=False)
class Wire:
    """One connection to a played server."""

    raw: socket.socket
    router: int
    parser: object
    pending_replies: deque[Ticket] = field(default_factory=deque)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    used: bool = False
    stuck: bool = False  # an answer goes out by a task of its own
    idle_since: float = 0.0
    began: float = 0.0  # when the first byte came of the command that is being read; 0: none is

    def take_began(self, now: float) -> float:
        """When the command that is now whole began to come."""
        began, self.began = self.began or now, 0.0
        return began


class Door(ABC):
    """The listeners of one played server, one for each router, and its connections."""

    def __init__(
        self,
        nursery: trio.Nursery,
        timers: TimerQueue,
        faults: Faults,
        machine: Machine,
        idle_close: float,
        most: int,
    ) -> None:
        self.nursery = nursery
        self.timers = timers
        self.clock = timers.clock
        self.faults = faults
        self.machine = machine
        self.idle_close = idle_close
        self.most = most
        self.addresses: list[tuple[str, int]] = []
        self.listening: list[socket.socket] = []
        self.scope: trio.CancelScope | None = None  # of the tasks that accept
        self.fillers: list[socket.socket] = []  # take the backlog's places while connects hang
        self.wires: set[Wire] = set()  # until closed
        self.slept = 0.0, 0.0  # the last pause, as far as it kept something waiting
        self._sweep()

    # -- listening

    def open(self) -> None:
        """Listen at all addresses; a port that is still in use raises OSError."""
        self.close_listeners()
        self.listening = [_listener(address, BACKLOG) for address in self.addresses]
        self.scope = trio.CancelScope()
        self.nursery.start_soon(self._accept_all, self.scope, list(self.listening))

    def close_listeners(self) -> None:
        """New connections are refused from here on."""
        if self.scope is not None:
            self.scope.cancel()
            self.scope = None
        for raw in [*self.listening, *self.fillers]:
            shut(raw)
        self.listening, self.fillers = [], []

    def hang(self) -> None:
        """New connections never come up: the places of a tiny backlog are taken."""
        self.close_listeners()
        for address in self.addresses:
            listening = _listener(address, 0)
            self.listening.append(listening)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                with suppress(BlockingIOError):
                    filler.connect(address)
                self.fillers.append(filler)

    def cut(self) -> None:
        """All connections are reset, as by a process that dies."""
        for wire in list(self.wires):
            wire.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            self._forget(wire)
            wire.scope.cancel()

    async def _accept_all(self, scope: trio.CancelScope, listening: list[socket.socket]) -> None:
        with scope:
            async with trio.open_nursery() as nursery:
                for router, raw in enumerate(listening):
                    nursery.start_soon(self._accept, raw, router)

    async def _accept(self, listening: socket.socket, router: int) -> None:
        while True:
            try:
                await trio.lowlevel.wait_readable(listening)
                await self.awake()
                raw, _ = listening.accept()
            except BlockingIOError:
                continue
            except trio.ClosedResourceError:
                return
            except OSError as bad:
                if listening.fileno() < 0:
                    return  # closed while this task was about to accept
                logger.warning("accept failed: {}", bad)
                await trio.sleep(0.01)
                continue
            raw.setblocking(False)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if len(self.wires) >= self.most:
                self._send_away(raw)
                continue
            now = self.clock()
            wire = Wire(raw, router, self.new_parser(), idle_since=now)
            if now - self.slept[1] < AFTER_PAUSE:
                wire.began = self.slept[0]  # it came during the pause; when, nobody saw
            self.nursery.start_soon(self._serve, wire)

    def _send_away(self, raw: socket.socket) -> None:
        with suppress(OSError):
            raw.send(BUSY.data)
        raw.close()

    async def awake(self) -> None:
        """While the server is paused nothing is accepted or read."""
        began = self.clock()
        while (left := self.machine.paused_until - self.clock()) > 0:
            await trio.sleep(left)
            self.slept = began, self.clock()

    # -- connections

    async def _serve(self, wire: Wire) -> None:
        self.wires.add(wire)
        try:
            with wire.scope:
                while data := await receive(wire.raw):
                    # Counted from here: what came before a pause was sent before it, however late it is read.
                    wire.began = wire.began or self.clock()
                    await self.awake()
                    self.take(wire, data)
        except (OSError, trio.ClosedResourceError, Malformed, h11.RemoteProtocolError):
            pass
        except Exception:
            logger.exception("a connection to a played server failed")
        finally:
            self._forget(wire)

    def _forget(self, wire: Wire) -> None:
        self.wires.discard(wire)
        for ticket in wire.pending_replies:
            if ticket.command is not None:
                self.gone(ticket.command)
        wire.pending_replies.clear()
        shut(wire.raw)

    def _sweep(self) -> None:
        """Close what stood idle for too long."""
        oldest = self.clock() - self.idle_close
        for wire in [wire for wire in self.wires if not wire.pending_replies and wire.idle_since < oldest]:
            self._forget(wire)
            wire.scope.cancel()
        self.timers.call_at(self.clock() + SWEEP_EVERY, self._sweep)

    def answer_to(self, wire: Wire, ticket: Ticket) -> Callable[[Act], None]:
        """What puts an answer into its place."""

        def answer(act: Act) -> None:
            ticket.act, ticket.command = act, None
            self.flush(wire)

        return answer

    def put(self, wire: Wire, data: bytes) -> None:
        """An answer at once, in its place."""
        wire.pending_replies.append(Ticket(Act(Manner.WHOLE, data)))
        self.flush(wire)

    def flush(self, wire: Wire) -> None:
        """Write what is due, in the order of the commands."""
        while wire.pending_replies and wire.pending_replies[0].act is not None and not wire.stuck:
            act = wire.pending_replies[0].act
            if act.manner is Manner.NOTHING:
                wire.stuck = True  # for good: nothing goes out on this line any more
                return
            paused = self.machine.paused_until > self.clock()
            if act.manner is not Manner.WHOLE or paused:
                wire.stuck = True
                self.nursery.start_soon(self._oddly, wire, act)
                return
            try:
                sent = send_some(wire.raw, act.data)
            except OSError:
                wire.scope.cancel()
                return
            if sent < len(act.data):
                wire.stuck = True
                self.nursery.start_soon(self._oddly, wire, act._replace(data=act.data[sent:]))
                return
            wire.pending_replies.popleft()
            wire.idle_since = self.clock()

    async def _oddly(self, wire: Wire, act: Act) -> None:
        """An answer that does not go out whole and at once."""
        try:
            await self.awake()
            if await self._perform(wire, act):
                wire.stuck = False
                if wire.pending_replies:
                    wire.pending_replies.popleft()
                    wire.idle_since = self.clock()
                    self.flush(wire)
            else:
                wire.scope.cancel()
        except (OSError, trio.ClosedResourceError):
            wire.scope.cancel()
        except Exception:
            logger.exception("an answer of a played server failed")
            wire.scope.cancel()

    async def _perform(self, wire: Wire, act: Act) -> bool:
        """Do as the manner says; whether the connection goes on."""
        half = max(len(act.data) // 2, 1)
        if act.manner is Manner.HALF:
            await send_all(wire.raw, act.data[:half])
            return False
        elif act.manner is Manner.SPOILT:
            await send_all(wire.raw, GARBAGE)
        elif act.manner is Manner.TWICE:
            await send_all(wire.raw, act.data * 2)
        elif act.manner is Manner.RESET:
            wire.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            return False
        elif act.manner is Manner.PAUSED:
            await send_all(wire.raw, act.data[:half])
            self.machine.pause(self.clock() + act.lasts)
            await self.awake()
            await send_all(wire.raw, act.data[half:])
        else:
            await send_all(wire.raw, act.data)
        return True

    # -- what each kind of server does

    @abstractmethod
    def new_parser(self) -> object:
        """The state of a new connection."""

    @abstractmethod
    def take(self, wire: Wire, data: bytes) -> None:
        """Bytes that came."""

    @abstractmethod
    def gone(self, command: Command) -> None:
        """A command whose line ended."""


class CacheDoor(Door):
    """A cache server's door: RESP2."""

    def __init__(self, nursery: trio.Nursery, timers: TimerQueue, server: CacheServer) -> None:
        form = server.form
        super().__init__(
            nursery, timers, server.faults, server.machine, float(form.idle_close), form.connections
        )
        self.server = server

    def new_parser(self) -> Parser:
        return Parser()

    def gone(self, command: Command) -> None:
        self.server.gone(command)

    def take(self, wire: Wire, data: bytes) -> None:
        wire.parser.feed(data)
        while (message := wire.parser.next()) is not None:
            self._command(wire, message)

    def _command(self, wire: Wire, message: Message) -> None:
        top = message.top
        if top.kind != ARRAY or not top.body or any(part.kind != BULK for part in top.body):
            raise Malformed("a command is an array of bulk strings")
        words = [part.body for part in top.body]
        if words[0] not in (b"KV.GET", b"KV.SET") or len(words) != 4 + (words[0] == b"KV.SET"):
            self.put(wire, self._plain(words))
            return
        ticket = Ticket()
        wire.pending_replies.append(ticket)
        command = ticket.command = Command(
            words[2],
            words[1],
            parse_labels(words[3]),
            words[0] == b"KV.SET",
            wire.router,
            wire.take_began(self.clock()),
            not wire.used,
            self.answer_to(wire, ticket),
        )
        wire.used = True
        self.server.command(command)
        if command.ended:
            ticket.command = None

    def _plain(self, words: list[bytes]) -> bytes:
        word = words[0].upper()
        if word == b"PING":
            return b"+PONG\r\n"
        if word == b"INFO" and words[1:2] == [b"load"]:
            report = self.server.load_report()
            return b"$%d\r\n%b\r\n" % (len(report), report)
        return b"+OK\r\n" if word in (b"CLIENT", b"SELECT") else b"-ERR unknown command\r\n"


@dataclass(slots=True)
class Request:
    """An HTTP request as it comes together."""

    talk: h11.Connection
    head: h11.Request | None = None
    body: bytearray = field(default_factory=bytearray)


class HttpDoor(Door):
    """What origin and discovery share: HTTP/1.1, one request at a time on a connection."""

    def new_parser(self) -> Request:
        return Request(h11.Connection(h11.SERVER))

    def take(self, wire: Wire, data: bytes) -> None:
        request = wire.parser
        request.talk.receive_data(data)
        while True:
            event = request.talk.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                request.head = event
                request.body.clear()
            elif isinstance(event, h11.Data):
                request.body += event.data
                if len(request.body) > MOST_BODY:
                    raise Malformed("body too long")
            elif isinstance(event, h11.EndOfMessage):
                self._next_cycle(request)
                self.request(wire, request.head, bytes(request.body))

    @staticmethod
    def _next_cycle(request: Request) -> None:
        """h11 only reads here: answers are bytes of our own, since some are cut in the middle."""
        request.talk.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
        request.talk.send(h11.EndOfMessage())
        request.talk.start_next_cycle()

    def _send_away(self, raw: socket.socket) -> None:
        with suppress(OSError):
            raw.send(http_answer(503, b"too many connections", b"X-Turned-Away: 1\r\n"))
        raw.close()

    @abstractmethod
    def request(self, wire: Wire, head: h11.Request, body: bytes) -> None:
        """A whole request."""


class OriginDoor(HttpDoor):
    """The origin's door."""

    IDLE = 30.0
    MOST = 4096

    def __init__(self, nursery: trio.Nursery, timers: TimerQueue, origin: Origin) -> None:
        super().__init__(nursery, timers, origin.faults, origin.machine, self.IDLE, self.MOST)
        self.origin = origin

    def gone(self, command: Command) -> None:
        self.origin.gone(command)

    def request(self, wire: Wire, head: h11.Request, body: bytes) -> None:
        if head.target in (b"/alive", b"/metrics/load"):
            self.put(wire, http_answer(200, b"inflight=%d" % len(self.origin.machine.working)))
            return
        headers = dict(head.headers)
        ident, labels = headers.get(b"x-txn"), headers.get(b"x-labels")
        if ident is None or labels is None or head.method not in (b"GET", b"PUT"):
            self.put(wire, http_answer(400, b"no operation"))
            return
        ticket = Ticket()
        wire.pending_replies.append(ticket)
        command = ticket.command = Command(
            ident,
            unquote_to_bytes(head.target[1:]),
            parse_labels(labels),
            head.method == b"PUT",
            wire.router,
            wire.take_began(self.clock()),
            not wire.used,
            self.answer_to(wire, ticket),
        )
        wire.used = True
        self.origin.command(command)
        if command.ended:
            ticket.command = None


class DirectoryDoor(HttpDoor):
    """Discovery's door. Calls are worked through in turn; a watch waits without taking up work."""

    IDLE = 120.0
    MOST = 4096

    def __init__(
        self,
        nursery: trio.Nursery,
        timers: TimerQueue,
        directory: Directory,
        seed: int,
        capacity: float,
        longest_wait: float,
    ) -> None:
        machine = Machine(timers, 1, 1 << 20, lambda now: 1.0)
        super().__init__(nursery, timers, Faults(seed, "discovery"), machine, self.IDLE, self.MOST)
        self.directory = directory
        self.work = 1.0 / capacity
        self.longest_wait = longest_wait
        self.noted: Callable[..., None] = lambda what, *told: None  # hears of calls, their ends, silences
        self.routers = 0  # whose second addresses stand behind all of the first ones; 0: there are none
        self.retired = False  # whether the first addresses have gone, with no word of it
        self.mute: set[Wire] = set()  # nothing goes out on these any more; until closed
        self.calls = 0
        self.open_calls: dict[Wire, int] = {}  # by the connection that they stand open on
        self.held_until = 0.0  # down with no word of it: answers are held until then

    def gone(self, command: Command) -> None:
        return

    def number(self, wire: Wire) -> int:
        """Whose connection it is."""
        return wire.router % self.routers if self.routers else wire.router

    def outage(self, until: float, silent: bool = False) -> None:
        """Down until then: watches end, calls fail. `silent`: nothing is told, and calls stand until then."""
        if silent:
            self.held_until = until
            return
        self.directory.down_until = until
        self.cut()

    def hush(self, first: bool = False) -> None:
        """All connections that are open fall silent for good, and stay open; new ones are as ever. `first`:
        those at the first addresses, which have gone from here on."""
        self.retired = self.retired or first
        for wire in self.wires - self.mute:
            if not first or wire.router < self.routers:
                self.mute.add(wire)
                self.noted("hushed", self.number(wire), self.open_calls.get(wire, 0))

    def _forget(self, wire: Wire) -> None:
        super()._forget(wire)
        self.mute.discard(wire)
        self._over(wire)

    def _over(self, wire: Wire, rev: int = 0, status: int = 0) -> None:
        call = self.open_calls.pop(wire, 0)
        if call:
            self.noted("told", self.number(wire), call, rev, status)

    def request(self, wire: Wire, head: h11.Request, body: bytes) -> None:
        if self.retired and wire.router < self.routers:
            self.mute.add(wire)
        if wire in self.mute:
            return
        ticket = Ticket()
        wire.pending_replies.append(ticket)
        answer = self.answer_to(wire, ticket)
        url = urlsplit(head.target.decode("latin-1"))
        self.calls += 1
        self.open_calls[wire] = self.calls
        query = parse_qs(url.query)
        self.noted("asked", self.number(wire), self.calls, query.get("index"), query.get("wait"))
        if self.directory.down():
            self._over(wire, 0, 503)
            answer(Act(Manner.WHOLE, http_answer(503, b"down")))
        elif url.path != "/discovery/hosts" or head.method != b"GET":
            answer(Act(Manner.WHOLE, http_answer(404, b"no such thing")))
        else:
            self._watch(wire, answer, query)

    def _watch(self, wire: Wire, answer: Callable[[Act], None], query: dict[str, list[str]]) -> None:
        try:
            since = int(query["index"][0]) if "index" in query else None
            wait = min(int(query.get("wait", ["0"])[0]) / 1000.0, self.longest_wait)
        except ValueError:
            answer(Act(Manner.WHOLE, http_answer(400, b"no number")))
            return
        waiting = True

        def wake() -> None:
            nonlocal waiting
            if waiting:
                waiting = False
                self.directory.waiting.discard(wake)
                self.machine.submit(Job(self.work, lambda: self._tell(wire, answer, since)))

        if wait <= 0 or self.directory.news(since):
            wake()
        else:
            self.directory.waiting.add(wake)
            self.timers.call_at(self.clock() + wait, wake)

    def _tell(self, wire: Wire, answer: Callable[[Act], None], since: int | None) -> None:
        if wire not in self.wires or wire in self.mute:
            return  # its router went away, or hears nothing any more
        if self.held_until > self.clock():
            self.timers.call_at(self.held_until, self._tell, wire, answer, since)
            return
        if self.directory.down():
            self._over(wire, 0, 503)
            answer(Act(Manner.WHOLE, http_answer(503, b"down")))
            return
        self._over(wire, self.directory.rev, 200)
        answer(Act(Manner.WHOLE, http_answer(200, self.directory.answer(self.number(wire), since))))
        self.directory.told(self.number(wire))


def _listener(address: tuple[str, int], backlog: int) -> socket.socket:
    raw = socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    raw.setblocking(False)
    try:
        raw.bind(address)
        raw.listen(backlog)
    except OSError:
        raw.close()
        raise
    return raw
