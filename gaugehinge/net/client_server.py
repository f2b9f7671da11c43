"""Clients: connections in, commands to operations, answers out in the order of their commands."""

from __future__ import annotations

import re
import socket
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from time import thread_time
from typing import Any, Protocol

import trio
from loguru import logger

from ..routing.types import Effect, Operation
from ..settings import Settings
from .codec import RequestPayload
from .dispatcher import BUSY_REPLY, Dispatcher
from .handle_table import HandleTable
from .lifecycle import Lifecycle, Phase
from .resp import ARRAY, BULK, Malformed, Message, Parser
from .sockets import hung_up, receive, send_all, send_some, shut, silent, unsent
from .timer_queue import Timer

MOST_PIPELINED = 32  # commands of one connection in hand; then it is not read on
MOST_WAIT = 3600.0  # a longer `d` is taken for this
HELD_PART = 0.1  # of the memory that commands and answers in hand may fill; buffers and connections take more
MOST_BEHIND = 0.15  # the loop's lag over which nothing more is taken in hand
MEMORY_EACH = 64 * 1024  # for an operation in hand, with its tasks and its part of the buffers
ROOM = 0.005  # kept before the deadline beside the loop's lag, for the answer's own way
ROOM_PART = 0.25  # of the wait at most: after a long stall the short ones must not all be given up
WRITE_TIME = 10.0  # a client that does not take an answer for this long is cut off
LINGER = 0.5  # after an error, for the client to read it before the connection is reset
QUIET = 0.05  # a connection in use stands idle once it had nothing to do for this long
FIRST_WORD = 0.3  # a new connection has this long to send something before it counts as idle
WHOLE_TIME = 2.0  # a command has this long to come whole; the first one of a connection, from its start
IDLE_TIME = 2.0  # a connection on which nothing is open for this long ends: some ask once and stay for good
SWEEP_EVERY = 0.25  # how often those that overstayed are looked for
MOST_DRAINED = 256 * 1024  # bytes read and thrown away behind an error; whoever sends more is cut off
LEAST_LOOK = 0.01  # between two looks for what may be closed that found nothing
ORDER_KEEP = 0.05  # for so long the order in which connections yield is good: made for each newcomer, a full
# door of 500 connections spent half of its time on it
FULL_LOOK = 0.1  # how often a full door looks for idle connections to close
IDENT_KEEP = 2.0  # after its answer an id is known for this long, to twice that: a second use may cross it
PLAIN = re.compile(rb"[!-~]+")  # what may go on in an HTTP header

NEVER_SPOKE = -2  # in place of a tenant

PONG = b"+PONG\r\n"
OK = b"+OK\r\n"


class AdmissionControl(Protocol):
    """What may stand between a command and the dispatch: `gaugehinge.door`, where it is switched on."""

    def submit(
        self,
        operation: Operation,
        payload: RequestPayload,
        answer: Callable[[bytes], None],
        client: bytes,
        size: int,
    ) -> Any:
        """Take an operation of a client; returns what `client_gone` wants."""

    def client_gone(self, handle: Any, freed: Callable[[], None]) -> None:
        """Nobody waits for the answer any more; `freed` is called once nothing of it is out."""

    def more(self) -> bool:
        """Whether one more connection may be accepted now."""

    def accepted(self, cpu: float) -> None:
        """Connections were accepted, in so many seconds of CPU."""

    def crowded(self, connections: Iterable[ClientConnection]) -> list[ClientConnection]:
        """Connections in the order in which they should yield their places."""

    def crowds(self, tenant: int, connections: Iterable[ClientConnection], most: int) -> bool:
        """Whether a connection over the limit is one too many for its tenant."""

    def full(self, operation: Operation) -> bytes:
        """What an operation is told that finds no place, or no memory for it."""

    def fail_rest(self) -> None:
        """The router ends: what waits is answered."""

    def reader(self, clients: ClientServer) -> ConnectionReader:
        """What reads the connections, in place of a task each."""


class ConnectionReader(Protocol):
    """What may read connections for a door."""

    async def run(self) -> None:
        """Read until cancelled."""

    def watch(self, client: ClientConnection) -> None:
        """Read this one from now on."""

    def drop(self, client: ClientConnection) -> None:
        """Read it no more, or not for now."""


class RequestError(Exception):
    """A command that cannot be taken, in words for the client. The connection goes on."""


@dataclass(slots=True, eq=False)
class PendingReply:
    """A command's place in the order of answers."""

    handle: Any = None  # of its operation, while that is in hand
    ident: bytes = b""
    answer: bytes | None = None
    held: int = 0  # bytes that count against the memory


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One connection."""

    raw: socket.socket
    came: float
    slot: int = -1
    parser: Parser = field(default_factory=Parser)
    pending_replies: deque[PendingReply] = field(default_factory=deque)  # answers owed, in order
    room: trio.Event = field(default_factory=trio.Event)  # something was written
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    used: bool = False
    stuck: bool = False  # an answer is being written by a task of its own
    since: float = 0.0  # when what is being taken had come, where its reader knows that
    paused: bool = False  # too much of it is in hand; it is not read on
    asking: bool = False  # nor is it while it is asked who comes there
    check: Timer | None = None  # when it is looked at again, over the limit
    last: bool = False  # no further command is read; it ends when all is answered
    parting: bool = False  # and at once, with nothing more read
    drained: int = 0  # bytes that came after that
    quiet_since: float = 0.0
    began: float = 0.0  # when the first byte came of what the parser holds
    crowding: bool = False  # over the limit: what it asks is answered BUSY, and then it is closed
    name: bytes = b""  # by which a door tells clients apart
    source: str = ""  # the address it came from
    tenant: int = NEVER_SPOKE  # of its last operation
    ready_since: float = 0.0  # when a reader first saw that something stands there unread; 0: nothing


class ClientServer:
    """All connections, within the limits."""

    def __init__(
        self,
        settings: Settings,
        lifecycle: Lifecycle,
        dispatcher: Dispatcher,
        most_clients: int,
        memory: int,
        nursery: trio.Nursery,
        door: AdmissionControl | None = None,
    ) -> None:
        self.settings = settings
        self.door = door
        self.lifecycle = lifecycle
        self.dispatcher = dispatcher
        self.clock = dispatcher.clock
        self.limit(most_clients, memory)
        self.nursery = nursery
        self.held = 0
        self.quiet = QUIET
        self.connections: HandleTable[ClientConnection] = HandleTable()  # until closed
        self.idents_open: set[bytes] = set()  # until answered or gone
        self.idents: set[bytes] = set()  # closed lately; moved on, then dropped, each IDENT_KEEP
        self.idents_before: set[bytes] = set()
        self.next_idents = 0.0
        self.next_look = 0.0  # for idle connections, once a look found none
        self.yielding: Iterator[ClientConnection] = iter(())  # as a door ordered them
        self.next_order = 0.0
        self.reader = door.reader(self) if door is not None else None
        if self.reader is not None:
            nursery.start_soon(self.reader.run)
        self.swept_at = self.awake_since = self.clock()
        self._sweep()
        self.commands: dict[bytes, Callable[[ClientConnection, Message], bytes | None]] = {
            b"PING": self._ping,
            b"CLIENT": lambda client, message: OK,
            b"SELECT": lambda client, message: OK,
            b"QUIT": self._quit,
        }

    def limit(self, most_clients: int, memory: int) -> None:
        """The limits, at the start and when they change."""
        self.most = most_clients
        self.spare = max(most_clients // 4, 8)  # places beyond it, to say BUSY from
        self.most_held = int(memory * HELD_PART)
        self.most_in_hand = min(self.settings.max_in_flight, memory // MEMORY_EACH)

    # -- connections

    async def accept(self, listening: socket.socket) -> None:
        """Take connections until cancelled. With no place left the others wait outside."""
        while True:
            await trio.lowlevel.wait_readable(listening)
            if not self.accept_rest(listening):
                await trio.sleep(FULL_LOOK)

    def accept_rest(self, listening: socket.socket) -> bool:
        """Take what has come; False where a limit is in the way."""
        if self.door is None:
            return self._accept_all(listening)
        began = thread_time()
        try:
            return self._accept_all(listening)
        finally:
            self.door.accepted(thread_time() - began)

    def _accept_all(self, listening: socket.socket) -> bool:
        while len(self.connections) < self.most + self.spare or self._make_room():
            if self.door is not None and not self.door.more():
                return False  # the others wait outside: each newcomer costs what several operations do
            try:
                raw, sender = listening.accept()
            except BlockingIOError:
                return True
            except OSError as bad:  # out of descriptors, or gone before it was taken
                logger.warning("accept failed: {}", bad)
                return False
            try:
                self._take(raw, sender[0])
            except OSError as bad:
                logger.warning("a connection was gone at once: {}", bad)
                raw.close()
        return False

    def _take(self, raw: socket.socket, source: str) -> None:
        raw.setblocking(False)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        now = self.clock()
        client = self.new_client(raw, now, source)
        client.crowding = len(self.connections) >= self.most and not self._make_room()
        client.slot = self.connections.add(client)
        client.name = b"%d" % client.slot
        if self.reader is None:
            self.nursery.start_soon(self._serve, client)
        else:
            self.reader.watch(client)

    def new_client(self, raw: socket.socket, now: float, source: str) -> ClientConnection:
        """A connection that was just accepted."""
        return ClientConnection(raw, now, quiet_since=now, source=source)

    def _make_room(self) -> bool:
        """Close a connection that stands between commands; its client opens a new one at need."""
        now = self.clock()
        if now < self.next_look:
            return False  # a look at all of them for each newcomer would be most of what a full door does
        if self.door is None:
            standing = iter(self.connections)
        else:
            if now >= self.next_order:
                self.yielding, self.next_order = iter(self.door.crowded(self.connections)), now + ORDER_KEEP
            standing = self.yielding  # what was looked at for one newcomer is not for the next
        if any(self._hang_up(client) for client in standing):
            return True
        self.next_look = now + LEAST_LOOK if self.door is None else self.next_order
        return False

    def _sweep(self) -> None:
        """End what overstays, also while there is room: silent and idle ones, commands that never come whole.

        Each holds a descriptor for as long as its client likes, and none of them has been taken.
        """
        now = self.clock()
        # While the loop stood still nobody was idle: what came then is not read yet, or was held up with it.
        # By the clock alone, one that had stood for 2 s ended all connections, with commands on their way.
        if now > self.swept_at + 2 * SWEEP_EVERY:
            self.awake_since = now
        self.swept_at = now
        leaving = self.lifecycle.phase is Phase.LEAVING  # then clients get no new one for one that ends
        for client in self.connections:
            if client.paused and hung_up(client.raw):
                self._stop(client)
            if client.pending_replies or client.last:
                continue
            if len(client.parser):
                if max(client.began if client.used else client.came, self.awake_since) < now - WHOLE_TIME:
                    client.last = True
                    self.put(client, b"-ERR protocol: command not whole in time\r\n")
            elif leaving and client.used:
                continue
            elif max(client.quiet_since, self.awake_since) < now - IDLE_TIME:
                self._hang_up(client)
        # A limit that was lowered in service binds those that are here already, as they come to rest.
        while not leaving and len(self.connections) > self.most + self.spare and self._make_room():
            pass
        self.dispatcher.timers.call_at(now + SWEEP_EVERY, self._sweep)

    def _hang_up(self, client: ClientConnection) -> bool:
        """Close an idle connection, if it is one.

        A client that has just been answered may write its next command at this moment: so not at once.
        And nothing may stand between the look and the end: a command that came there would be lost.
        """
        if client.pending_replies or client.last or client.ready_since or len(client.parser):
            return False
        if self.clock() - client.quiet_since < (self.quiet if client.used else FIRST_WORD):
            return False
        if not silent(client.raw) or unsent(client.raw):
            return False  # or the rest of a long answer would go with its next command, behind the end
        self._cut(client)
        return True

    def _cut(self, client: ClientConnection) -> None:
        _no_more(client)
        client.last = True
        client.scope.cancel()
        self.forget(client)

    def _stop(self, client: ClientConnection) -> None:
        """End a connection, though not from within what found that it has to end."""
        if self.reader is None:
            client.scope.cancel()  # its task forgets it
        else:
            self.dispatcher.timers.call_at(self.clock(), self.forget, client)

    async def _serve(self, client: ClientConnection) -> None:
        try:
            with client.scope:
                await self._read(client)
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:  # a defect fails this connection alone
            logger.exception("a client's connection failed")
        finally:
            self.forget(client)

    def forget(self, client: ClientConnection) -> None:
        """A connection has ended, and all that it asked for with it."""
        if self.connections.remove(client.slot) is None:
            return
        if self.reader is not None:
            self.reader.drop(client)
        for ticket in client.pending_replies:
            self.held -= ticket.held
            if ticket.handle is not None:
                self.close_ticket(ticket)
        client.pending_replies.clear()
        shut(client.raw)

    def close_ticket(self, ticket: PendingReply) -> None:
        """Its client has gone before the answer. Its id stays in use for as long as an attempt is out: sent
        again, an operation that may not be repeated ran a second time beside that."""
        (self.door or self.dispatcher).client_gone(ticket.handle, partial(self._close_ident, ticket.ident))

    # -- commands in

    async def _read(self, client: ClientConnection) -> None:
        """Until the client goes. What comes after the last command is read and thrown away: closed with
        bytes unread, the connection is reset and the last answer may be lost with it. But to read all of a
        value of many megabytes takes the time of hundreds of operations."""
        while data := await receive(client.raw):
            self.take(client, data)
            if client.drained > MOST_DRAINED:
                await trio.sleep_forever()  # until what is owed is written and has lingered
            while client.paused:
                client.room = trio.Event()
                await client.room.wait()
                self.resume(client)

    def take(self, client: ClientConnection, data: bytes, since: float = 0.0) -> None:
        """Bytes that came on a connection, and stood there since a time, where that is known."""
        if client.last:
            client.drained += len(data)
            return
        if not len(client.parser):
            client.began = since or self.clock()
        client.parser.feed(data)
        client.since = since
        self.resume(client)
        client.since = 0.0

    def resume(self, client: ClientConnection) -> None:
        """Take the commands that stand whole, until too many are in hand.

        Some send hundreds at once and go: their end stands behind bytes that are not read yet, and the rest
        was sent on for nobody, as fast as what went before it ended.
        """
        if client.paused and hung_up(client.raw):
            self._stop(client)
            return
        client.paused = False
        try:
            while not client.last:
                if client.asking or len(client.pending_replies) >= MOST_PIPELINED:
                    client.paused = True
                    return
                message = client.parser.next()
                if message is None:
                    return
                client.used = True
                self._command(client, message)
        except Malformed as bad:
            client.last = True
            self.put(client, b"-ERR protocol: %b\r\n" % str(bad).encode())

    def _command(self, client: ClientConnection, message: Message) -> None:
        parts = message.top.body
        if message.top.kind != ARRAY or not parts or any(p.kind != BULK or p.body is None for p in parts):
            raise Malformed("a command is an array of bulk strings")
        word = parts[0].body
        if word in (b"KV.GET", b"KV.SET"):  # in this form alone, since they go on as they came
            self._operation(client, message, word == b"KV.SET")
            return
        simple = self.commands.get(word.upper())
        reply = simple(client, message) if simple else b"-ERR unknown command\r\n"
        if reply is not None:  # else it follows
            self.put(client, reply)

    def _ping(self, client: ClientConnection, message: Message) -> bytes:
        phase = self.lifecycle.phase
        return PONG if phase is Phase.READY else b"-ERR %b\r\n" % phase.name.lower().encode()

    def _quit(self, client: ClientConnection, message: Message) -> bytes:
        client.last = True
        return OK

    def _operation(self, client: ClientConnection, message: Message, write: bool) -> None:
        try:
            operation, payload = self._read_operation(client, message, write, client.since or self.clock())
        except RequestError as bad:
            self.put(client, b"-ERR %b\r\n" % str(bad).encode())
            return
        client.tenant = operation.tenant
        held = len(message.raw) * (2 if write else 1)  # its value stands alone, too, for the origin
        client.crowding = client.crowding and len(self.connections) > self.most
        if client.crowding and self.door is not None:
            client.crowding = self.door.crowds(client.tenant, self.connections, self.most)
        full = (
            self.held + held > self.most_held or len(self.dispatcher.pending_operations) >= self.most_in_hand
        )
        if client.crowding or full or self.behind():
            self.put(client, BUSY_REPLY if self.door is None else self.door.full(operation))  # it never ran
            return
        ticket = PendingReply(held=held, ident=payload.ident)
        self.idents_open.add(payload.ident)
        self.held += held
        client.pending_replies.append(ticket)

        def answer(reply: bytes) -> None:
            self._close_ident(payload.ident)
            ticket.handle = None
            ticket.answer = reply
            self.held += len(reply) - ticket.held
            ticket.held = len(reply)
            self._flush(client)

        if self.door is None:
            handle = self.dispatcher.submit(operation, payload, answer)
        else:
            handle = self.door.submit(operation, payload, answer, client.name, held)
        if ticket.answer is None:
            ticket.handle = handle

    def behind(self) -> bool:
        """Whether the loop is. Short of CPU, more in hand makes all of it late: what comes then is answered
        while that is cheap."""
        return self.door is None and self.dispatcher.timers.current_lag > MOST_BEHIND

    def _close_ident(self, ident: bytes) -> None:
        self.idents_open.discard(ident)
        now = self.clock()
        if now >= self.next_idents:
            self.next_idents = now + IDENT_KEEP
            self.idents_before, self.idents = self.idents, set()
        self.idents.add(ident)

    def _read_operation(
        self,
        client: ClientConnection,
        message: Message,
        write: bool,
        now: float,
    ) -> tuple[Operation, RequestPayload]:
        parts = message.top.body
        if len(parts) != 4 + write:
            raise RequestError("wrong number of arguments")
        key, ident, told = parts[1].body, parts[2].body, parts[3].body
        if not PLAIN.fullmatch(ident) or not PLAIN.fullmatch(told):
            raise RequestError("id and labels must be plain text")
        labels, gap = read_labels(told)
        tenant = self.tenant_of(labels.get("t", ""))
        row = self.settings.traffic_type_rows.get(labels.get("c", ""))
        if row is None:
            raise RequestError("label c: no such class")
        wait = labels.get("d", "")
        if not wait.isdigit() or len(wait) > 12:
            raise RequestError("label d: not a number of milliseconds")
        traffic = self.settings.deployment.traffic_types[row]
        if traffic.effect is Effect.WITH_IDEMPOTENCY_KEY and write and not labels.get("k"):
            # With no mark its repeats could not be recognised, and it may be repeated here.
            raise RequestError("label k: missing")
        if ident in self.idents_open or ident in self.idents or ident in self.idents_before:
            # Two operations of one id: what a server answers the one, or has done for it, is taken for both.
            raise RequestError("id in use")
        left = min(int(wait) / 1000.0, MOST_WAIT)
        room = min(ROOM + self.dispatcher.timers.lag, ROOM_PART * left)
        operation = Operation(
            0,
            traffic,
            key,
            tenant,
            write,
            labels.get("r") == "1",
            now,
            now + left - room,
        )
        payload = RequestPayload(
            ident,
            key,
            gap,
            told,
            message.raw[: parts[3].start],
            message.raw[parts[3].end :],
            parts[4].body if write else None,
            client_is_waiting=partial(self.present, client),
        )
        return operation, payload

    def tenant_of(self, name: str) -> int:
        """A tenant's place; -1 with no label, or where the settings name none. Raises Refused on the name of
        another: it would be served beside all shares."""
        tenants = self.settings.tenant_indexes
        if name and tenants and name not in tenants:
            raise RequestError("label t: no such tenant")
        return tenants.get(name, -1)

    def present(self, client: ClientConnection) -> bool:
        """Whether a client is still there, asked before each attempt for it begins.

        Its end may stand unread: behind commands that are not taken yet, or since the loop is late. Found by
        the sweep alone, up to a quarter of a second later, what waited was still sent on for nobody.
        """
        if client.raw.fileno() < 0:
            return False
        if not hung_up(client.raw):
            return True
        self._stop(client)
        return False

    def answer_later(self, client: ClientConnection) -> Callable[[bytes], None]:
        """A place in the order of answers, filled by a call; until then the connection is not read on."""
        ticket = PendingReply()
        client.pending_replies.append(ticket)
        client.asking = client.paused = True

        def answer(reply: bytes) -> None:
            client.asking = False
            ticket.answer = reply
            if self.connections.get(client.slot) is client:
                self._flush(client)

        return answer

    # -- answers out

    def put(self, client: ClientConnection, answer: bytes) -> None:
        """Answer a command at once, behind those before it."""
        client.pending_replies.append(PendingReply(answer=answer))
        self._flush(client)

    def _flush(self, client: ClientConnection) -> None:
        """Write what is due, in the order of the commands; then the end where one is wanted."""
        while client.pending_replies and client.pending_replies[0].answer is not None and not client.stuck:
            try:
                sent = self._write(client, client.pending_replies[0].answer)
            except OSError:
                self._stop(client)  # the client has gone
                return
            if sent < len(client.pending_replies[0].answer):
                client.stuck = True
                self.nursery.start_soon(self._push, client, client.pending_replies[0].answer[sent:])
                return
            self._written(client)
        if client.pending_replies:
            return
        if client.parting and self.reader is None:
            self._cut(client)
        elif client.last:
            _no_more(client)
            self._linger(client, self.clock() + WRITE_TIME)
        else:
            self._look_again(client)

    def _linger(self, client: ClientConnection, latest: float) -> None:
        """Look again whether the last answer has been taken, and end the connection then."""
        self.dispatcher.timers.call_at(self.clock() + LINGER, self._end_linger, client, latest)

    def _end_linger(self, client: ClientConnection, latest: float) -> None:
        if self.connections.get(client.slot) is not client:
            return
        if unsent(client.raw) and self.clock() < latest:
            self._linger(client, latest)
        else:
            self._stop(client)

    def _write(self, client: ClientConnection, answer: bytes) -> int:
        """Write an answer at once, as far as it goes.

        While closing, one that is the last thing in its connection ends that in the same step: a busy client
        is never found idle, and all that it sends after that would be lost with the process. What crosses
        that end must not be read, not even to throw it away: a client may send again what nobody read.
        """
        parting = (
            self.lifecycle.phase is Phase.CLOSING and len(client.pending_replies) == 1 and not client.last
        )
        parting = parting and not len(client.parser) and silent(client.raw)
        sent = send_some(client.raw, answer)
        client.parting = parting and sent == len(answer) and not unsent(client.raw)
        client.last = client.last or client.parting
        return sent

    def _written(self, client: ClientConnection) -> None:
        self.held -= client.pending_replies.popleft().held
        client.quiet_since = self.clock()
        if client.paused and not client.asking:
            client.room.set()
            if self.reader is not None:
                self.reader.watch(client)

    async def _push(self, client: ClientConnection, rest: bytes) -> None:
        """Write the rest of an answer that did not go at once.

        The client may have gone before this begins, and its tickets with it. What failed here would end the
        router with all that it has in hand.
        """
        try:
            with self.dispatcher.timers.timeout_scope(WRITE_TIME) as limit:
                await send_all(client.raw, rest)
        except Exception as bad:
            if not isinstance(bad, (OSError, trio.ClosedResourceError)):
                logger.exception("an answer could not be written")
            self._stop(client)
            return
        if limit.cancelled_caught:
            self._stop(client)
            return
        client.stuck = False
        if client.pending_replies:
            self._written(client)
            self._flush(client)

    def _check(self, client: ClientConnection) -> None:
        """Close a connection over the limit once it has nothing to do."""
        client.check = None
        if self.connections.get(client.slot) is client and not self._hang_up(client):
            self._look_again(client)

    def _look_again(self, client: ClientConnection) -> None:
        if client.crowding and not client.last and not client.pending_replies and client.check is None:
            due = self.clock() + max(self.quiet, LEAST_LOOK)
            client.check = self.dispatcher.timers.call_at(due, self._check, client)

    # -- leaving

    def leave(self, quiet: float) -> None:
        """Close what stood between commands for so long; called again until all are gone."""
        self.quiet = quiet
        for client in self.connections:
            self._hang_up(client)

    def owe(self) -> bool:
        """Whether an answer is still to be given or written."""
        return any(client.pending_replies or client.paused for client in self.connections)


def _no_more(client: ClientConnection) -> None:
    """Tell the client that no answer follows."""
    with suppress(OSError):
        client.raw.shutdown(socket.SHUT_WR)


def read_labels(told: bytes) -> tuple[dict[str, str], tuple[bytes, bytes]]:
    """The list of names and values, and what stands before and behind the figure of `d`."""
    labels: dict[str, str] = {}
    gap = None
    place = 0
    for part in told.split(b","):
        name, mark, value = part.partition(b"=")
        if not mark or not name or name.decode() in labels:
            raise RequestError("labels are names and values")
        labels[name.decode()] = value.decode()
        end = place + len(part)
        if name == b"d":
            gap = told[: end - len(value)], told[end:]
        place = end + 1
    if gap is None:
        raise RequestError("label d: missing")
    return labels, gap
