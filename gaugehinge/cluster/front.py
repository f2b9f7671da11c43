"""Clients of the cluster dialect: the routers of the tier are the nodes of their map.

Connections, limits and the order of answers are `net/client_server.py`'s; commands become operations of the
same dispatch. A router serves whatever slot it is asked for: all of them lead to the same servers. It names
another router of the tier (`MOVED`) only while it leaves: served here, its clients would stay until it ends.
"""

from __future__ import annotations

import secrets
import socket
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Protocol

import trio
from loguru import logger

from .. import __version__
from ..net.admission_control import AdmissionControl
from ..net.client_connection import ClientConnection, PendingReply
from ..net.client_server import ClientServer
from ..net.codec import RequestPayload
from ..net.dispatcher import BUSY_REPLY, Dispatcher
from ..net.lifecycle import Lifecycle, Phase
from ..net.request_parser import MAX_MARGIN_FRACTION, REPLY_MARGIN
from ..net.resp import Malformed
from ..routing.types import Operation
from ..settings import Settings
from .resp3 import CLIENT, Error, Message, Pairs, Reader, Status, encode
from .slots import SLOTS, SlotMap, slot_of
from .table import Entry, Piece, Refused, dressed, join, keys_of, split, table_answer

MOST_NAME = 128  # bytes of a connection's name
NULL2, NULL3 = b"$-1\r\n", b"_\r\n"
LATER = object()  # the answer follows
OK = b"+OK\r\n"


class Principal(Protocol):
    """A tenant, as far as its commands need it: `gaugehinge.hosted`, where a keeper is followed."""

    name: str
    tenant_index: int
    key_prefix: bytes
    id_prefix: bytes
    row: Any  # as the keeper told it

    def rejection_reason(self, credential: str, now: float) -> str:
        """Why its operations are not taken; empty where they are."""


class Authenticator(Protocol):
    """Who comes on a connection."""

    async def check(self, source: str, name: str, secret: str) -> tuple[Any, str, bytes]:
        """Whose a secret is, its credential, and the answer."""


@dataclass(slots=True, frozen=True)
class ClusterTerms:
    """What a router is told of its cluster front."""

    commands: dict[bytes, Entry]
    tier: SlotMap  # of the routers as clients reach them; the order is that of their numbers
    me: int  # this router's place among them
    tenant: int  # of all who come this way; -1: none


@dataclass(slots=True, eq=False)
class Whole:
    """A command of several keys until its last one is answered."""

    entry: Entry
    pieces: list[Piece]
    answers: list[bytes | None]
    left: int
    bearer: Principal | None = None


@dataclass(slots=True, eq=False)
class ClusterClient(ClientConnection):
    """A connection with what the dialect remembers of it."""

    version: int = 2
    title: bytes = b""
    parser: Any = field(default_factory=lambda: Reader(CLIENT))
    under_way: dict[bytes, int] = field(default_factory=dict)  # by key; left with its last answer
    backlog: deque[tuple[PendingReply, Whole]] = field(default_factory=deque)  # bounded with pending replies
    bearer: Principal | None = None  # who comes there, where that is asked
    credential: str = ""


class ClusterClients(ClientServer):
    """All connections of the cluster dialect."""

    def __init__(
        self,
        settings: Settings,
        lifecycle: Lifecycle,
        dispatcher: Dispatcher,
        most_clients: int,
        memory: int,
        nursery: trio.Nursery,
        terms: ClusterTerms,
        admission_control: AdmissionControl | None = None,
    ) -> None:
        super().__init__(settings, lifecycle, dispatcher, most_clients, memory, nursery, admission_control)
        self.terms = terms
        nodes = [each.nodes[0] for each in terms.tier]
        self.node = nodes[terms.me]
        self.others = [node for node in nodes if node is not self.node]
        self.redirected = 0  # commands told another router, while it leaves
        self._labels = [b"c=%b,d=" % name.encode() for name in settings.traffic_type_rows]  # by row
        self.gate: Authenticator | None = None
        self._unix: Callable[[], float] = time.time
        self._run = secrets.token_hex(4)  # ids made here begin with it: new with each start
        self._count = 0
        self._words: dict[bytes, Callable[[ClusterClient, list[bytes]], Any]] = {
            b"PING": lambda client, words: words[1] if len(words) > 1 else self._pong(),
            b"ECHO": lambda client, words: words[1],
            b"SELECT": self._select,
            b"QUIT": self._goodbye,
            b"RESET": self._reset,
            b"HELLO": self._hello,
            b"AUTH": self._auth,
            b"CLIENT": self._client,
            b"CLUSTER": self._cluster,
            b"COMMAND": self._command_table,
            b"READONLY": lambda client, words: Status(b"OK"),  # reads go where the decisions say
            b"READWRITE": lambda client, words: Status(b"OK"),
            b"ASKING": lambda client, words: Status(b"OK"),  # all slots are served here as they are
            b"INFO": self._info,
        }

    def new_connection(self, sock: socket.socket, now: float, source: str) -> ClientConnection:
        return ClusterClient(sock, now, idle_since=now, source=source)

    # -- commands in

    def _handle_command(self, client: ClusterClient, message: Message) -> None:
        words = message.value
        if not isinstance(words, list) or not words or not all(type(word) is bytes for word in words):
            raise Malformed("a command is an array of bulk strings")
        name = words[0].upper()
        entry = self.terms.commands.get(name)
        try:
            if entry is not None:
                self._keyed(client, entry, words)
                return
            plain = self._words.get(name)
            if plain is None:
                shown = words[0][:64].decode("latin-1").translate({13: " ", 10: " "})
                raise Refused(f"ERR unknown command '{shown}'")
            told = plain(client, words)
        except (Refused, IndexError) as bad:
            told = Error((str(bad) if isinstance(bad, Refused) else "ERR wrong number of arguments").encode())
        if told is LATER:
            return
        self.reply(client, encode(told, client.version))

    def _keyed(self, client: ClusterClient, entry: Entry, words: list[bytes]) -> None:
        pieces = split(entry, words)
        client.tenant = self.terms.tenant
        bearer = self._bearer(client)
        if bearer is not None:
            client.tenant = bearer.tenant_index
            most = bearer.row.max_value_size
            if most and any(len(piece.value or b"") > most for piece in pieces):
                raise Refused(f"ERR value over {most} bytes")
            pieces = dressed(entry, words, pieces, bearer.key_prefix)
        if self.lifecycle.phase is Phase.LEAVING and self.others:
            # Drained by redirections, its clients lose nothing when it ends.
            slot = slot_of(pieces[0].key)
            other = self.others[slot % len(self.others)]
            self.redirected += 1
            self.reply(client, b"-MOVED %d %b:%d\r\n" % (slot, other.host.encode(), other.port))
            return
        held = sum(len(piece.words) + len(piece.value or b"") for piece in pieces)
        full = self.limits.reserved_bytes + held > self.limits.max_reserved_bytes
        full = full or len(self.dispatcher.pending_operations) + len(pieces) > self.limits.max_in_flight
        if full or self.registry.is_over_limit(client) or self.is_overloaded():
            self.reply(client, BUSY_REPLY)  # it never ran
            return
        pending_reply = PendingReply(reserved_bytes=held)
        self.limits.reserved_bytes += held
        client.pending_replies.append(pending_reply)
        whole = Whole(entry, pieces, [None] * len(pieces), len(pieces), bearer)
        if client.backlog or self._conflicts(client, whole):
            client.backlog.append((pending_reply, whole))
        else:
            self._start(client, pending_reply, whole, client.data_arrived_at or self.clock())

    @staticmethod
    def _conflicts(client: ClusterClient, whole: Whole) -> bool:
        """Whether a command has to wait for one before it on its connection.

        Sent on side by side, a read behind a write of its key came back with the value from before.
        """
        under_way = client.under_way
        return any(
            under_way.get(piece.key, 0) < 0 or (whole.entry.write and under_way.get(piece.key, 0))
            for piece in whole.pieces
        )

    def _start(self, client: ClusterClient, pending_reply: PendingReply, whole: Whole, now: float) -> None:
        entry = whole.entry
        margin = min(REPLY_MARGIN + self.timers.lag, MAX_MARGIN_FRACTION * entry.abandon)
        traffic = self.settings.deployment.traffic_types[entry.row]
        for piece in whole.pieces:
            # Reads under way count up; the one write that may be is a negative one.
            client.under_way[piece.key] = -1 if entry.write else client.under_way.get(piece.key, 0) + 1
        pending_reply.operation_handle = handles = []
        for place, piece in enumerate(whole.pieces):
            self._count += 1
            operation = Operation(
                0,
                traffic,
                piece.key,
                client.tenant,
                entry.write,
                False,
                now,
                now + entry.abandon - margin,
            )
            answer = self._answerer(client, pending_reply, whole, place)
            payload = self._cargo(client, entry, piece, whole.bearer)
            if self.admission_control is None:
                handles.append(self.dispatcher.submit(operation, payload, answer))
            else:
                size = len(piece.words) + len(piece.value or b"")
                handles.append(
                    self.admission_control.submit(operation, payload, answer, client.client_id, size)
                )

    def _go_on(self, client: ClusterClient) -> None:
        """Start what waited for the commands before it. Its time begins with its turn."""
        while client.backlog and not self._conflicts(client, client.backlog[0][1]):
            pending_reply, whole = client.backlog.popleft()
            self._start(client, pending_reply, whole, self.clock())

    def _cargo(
        self, client: ClusterClient, entry: Entry, piece: Any, bearer: Principal | None
    ) -> RequestPayload:
        """What goes on to servers: as it came, or in the platform's dialect with an id made here."""
        ident = f"{self._run}{self._count:010x}".encode()
        before, after = self._labels[entry.row], b""
        if bearer is not None:
            ident, after = bearer.id_prefix + ident, b",t=" + bearer.name.encode()
        word = b"KV.SET" if entry.write else b"KV.GET"
        head = b"*%d\r\n$6\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
            4 + entry.write,
            word,
            len(piece.key),
            piece.key,
            len(ident),
            ident,
        )
        value = piece.value or b""
        behind = b"$%d\r\n%b\r\n" % (len(value), value) if entry.write else b""
        told = before + b"%d" % (entry.abandon * 1000) + after
        return RequestPayload(
            ident,
            piece.key,
            (before, after),
            told,
            head,
            behind,
            value if entry.write else None,
            piece.words,
            partial(self.is_client_present, client),
        )

    def _answerer(
        self, client: ClusterClient, pending_reply: PendingReply, whole: Whole, place: int
    ) -> Callable[[bytes], None]:
        def answer(reply: bytes) -> None:
            whole.answers[place] = NULL3 if reply == NULL2 and client.version >= 3 else reply
            whole.left -= 1
            key, under_way = whole.pieces[place].key, client.under_way
            if under_way.get(key, 0) > 1:
                under_way[key] -= 1
            else:
                under_way.pop(key, None)
            if whole.left:
                return
            pending_reply.operation_handle = None
            pending_reply.data = join(whole.entry, whole.answers)
            self.limits.reserved_bytes += len(pending_reply.data) - pending_reply.reserved_bytes
            pending_reply.reserved_bytes = len(pending_reply.data)
            if client.backlog and self.registry.is_open(client):
                self._go_on(client)
            self.reply_writer.flush(client)

        return answer

    def abandon_reply(self, pending_reply: PendingReply) -> None:
        for handle in list(pending_reply.operation_handle):
            (self.admission_control or self.dispatcher).client_gone(handle, lambda: None)

    # -- who is it

    def require_authentication(self, gate: Authenticator, unix: Callable[[], float]) -> None:
        """From now on connections say whose they are. `unix`: the time by which credentials end."""
        self.gate, self._unix = gate, unix

    def _bearer(self, client: ClusterClient) -> Principal | None:
        """Whose a command is; None where nobody is asked. Raises Refused."""
        if self.gate is None:
            return None
        bearer = client.bearer
        why = "authentication required"
        if bearer is not None:
            why = bearer.rejection_reason(client.credential, self._unix())
        if why == "authentication required":
            client.bearer = None
            raise Refused("NOAUTH Authentication required.")
        if why:
            raise Refused(f"ERR {why}")
        return bearer

    def _auth(self, client: ClusterClient, words: list[bytes]) -> Any:
        if self.gate is None:
            return Error(b"ERR AUTH called without any password configured for this front")
        if len(words) not in (2, 3):
            raise Refused("ERR wrong number of arguments for 'auth' command")
        name = words[1] if len(words) == 3 else b""
        return self._ask_who(client, name, words[-1], lambda: OK)

    def _ask_who(self, client: ClusterClient, name: bytes, secret: bytes, then: Callable[[], bytes]) -> Any:
        """Have a secret checked; `then` makes the answer to one that is right."""
        answer = self.reply_writer.defer_reply(client)

        async def check() -> None:
            reply = b"-ERR failed\r\n"
            try:
                told = [word.decode("utf-8", "surrogateescape") for word in (name, secret)]
                bearer, credential, reply = await self.gate.check(client.source, *told)
                if bearer is not None:
                    client.bearer, client.credential = bearer, credential
                    reply = then()
            except Exception:  # a defect fails this check alone
                logger.exception("authentication check failed")
            finally:
                answer(reply)  # one that is not answered holds up all behind it

        self.nursery.start_soon(check)
        return LATER

    # -- commands about the connection

    def _pong(self) -> Any:
        phase = self.lifecycle.phase
        if phase in (Phase.READY, Phase.LEAVING):
            return Status(b"PONG")
        return Error(b"LOADING the router is " + phase.name.lower().encode())

    def _select(self, client: ClusterClient, words: list[bytes]) -> Any:
        return Status(b"OK") if words[1] == b"0" else Error(b"ERR SELECT is not allowed in cluster mode")

    def _goodbye(self, client: ClusterClient, words: list[bytes]) -> Any:
        client.draining = True
        return Status(b"OK")

    def _reset(self, client: ClusterClient, words: list[bytes]) -> Any:
        client.version, client.title, client.bearer = 2, b"", None
        return Status(b"RESET")

    def _hello(self, client: ClusterClient, words: list[bytes]) -> Any:
        rest = words[1:]
        version = client.version
        if rest:
            if rest[0] not in (b"2", b"3"):
                return Error(b"NOPROTO unsupported protocol version")
            version, rest = int(rest[0]), rest[1:]
        title, who = client.title, None
        while rest:
            option = rest[0].upper()
            if option == b"SETNAME" and len(rest) > 1:
                title, rest = self._title(rest[1]), rest[2:]
            elif option == b"AUTH" and len(rest) > 2:
                if self.gate is None:
                    return Error(b"WRONGPASS invalid username-password pair or user is disabled.")
                who, rest = rest[1:3], rest[3:]
            else:
                return Error(b"ERR Syntax error in HELLO option")

        def done() -> Pairs:
            client.version, client.title = version, title
            return self._about(client, version)

        if who is None:
            return done()
        return self._ask_who(client, *who, lambda: encode(done(), version))

    @staticmethod
    def _about(client: ClusterClient, version: int) -> Pairs:
        return Pairs(
            [
                (b"server", b"gaugehinge"),
                (b"version", __version__.encode()),
                (b"proto", version),
                (b"id", client.handle),
                (b"mode", b"cluster"),
                (b"role", b"master"),
                (b"modules", []),
            ]
        )

    @staticmethod
    def _title(told: bytes) -> bytes:
        if len(told) > MOST_NAME or any(not 33 <= letter <= 126 for letter in told):
            raise Refused("ERR Client names cannot contain spaces, newlines or special characters.")
        return told

    def _client(self, client: ClusterClient, words: list[bytes]) -> Any:
        what = words[1].upper()
        if what == b"SETNAME":
            client.title = self._title(words[2])
        elif what == b"GETNAME":
            return client.title or None
        elif what == b"ID":
            return client.handle
        elif what == b"INFO":
            return b"id=%d name=%b resp=%d\n" % (client.handle, client.title, client.version)
        elif what not in (b"SETINFO", b"NO-EVICT", b"NO-TOUCH"):
            raise Refused(f"ERR unknown subcommand '{what[:64].decode('latin-1')}'")
        return Status(b"OK")

    def _info(self, client: ClusterClient, words: list[bytes]) -> Any:
        return (
            b"# Server\r\nredis_mode:cluster\r\nrouter_version:%b\r\n# Cluster\r\ncluster_enabled:1\r\n"
            % (__version__.encode())
        )

    # -- the map of the tier

    def _cluster(self, client: ClusterClient, words: list[bytes]) -> Any:
        what = words[1].upper()
        if what == b"SLOTS":
            return [
                [each.first, each.last, *(self._node(node) for node in each.nodes)]
                for each in self.terms.tier
            ]
        if what == b"SHARDS":
            return [self._shard(each) for each in self.terms.tier]
        if what == b"NODES":
            return b"".join(self._line(each) for each in self.terms.tier)
        if what == b"INFO":
            return self._cluster_info()
        if what == b"MYID":
            return self.node.ident.encode()
        if what == b"KEYSLOT":
            return slot_of(words[2])
        if what == b"COUNTKEYSINSLOT":
            if not words[2].isdigit() or int(words[2]) >= SLOTS:
                raise Refused("ERR Invalid slot")
            return 0  # a router holds no keys
        raise Refused(f"ERR unknown subcommand '{what[:64].decode('latin-1')}'")

    @staticmethod
    def _node(node: Any) -> list:
        return [node.host.encode(), node.port, node.ident.encode(), []]

    @staticmethod
    def _shard(each: Any) -> Pairs:
        nodes = [
            Pairs(
                [
                    (b"id", node.ident.encode()),
                    (b"port", node.port),
                    (b"ip", node.host.encode()),
                    (b"endpoint", node.host.encode()),
                    (b"role", b"master"),
                    (b"replication-offset", 0),
                    (b"health", b"online"),
                ]
            )
            for node in each.nodes
        ]
        return Pairs([(b"slots", [each.first, each.last]), (b"nodes", nodes)])

    def _line(self, each: Any) -> bytes:
        node = each.nodes[0]
        flags = b"myself,master" if node is self.node else b"master"
        host = node.host.encode()
        return b"%b %b:%d@%d %b - 0 0 %d connected %d-%d\n" % (
            node.ident.encode(),
            host,
            node.port,
            node.port,
            flags,
            self.terms.tier.epoch,
            each.first,
            each.last,
        )

    def _cluster_info(self) -> bytes:
        tier = self.terms.tier
        figures = {
            "cluster_state": "ok",
            "cluster_slots_assigned": tier.covered(),
            "cluster_slots_ok": tier.covered(),
            "cluster_slots_pfail": 0,
            "cluster_slots_fail": 0,
            "cluster_known_nodes": len(tier.ranges),
            "cluster_size": len(tier.ranges),
            "cluster_current_epoch": tier.epoch,
            "cluster_my_epoch": tier.epoch,
        }
        return "".join(f"{name}:{value}\r\n" for name, value in figures.items()).encode()

    def _command_table(self, client: ClusterClient, words: list[bytes]) -> Any:
        entries: Sequence[Entry] = list(self.terms.commands.values())
        if len(words) == 1:
            return table_answer(entries)
        what = words[1].upper()
        if what == b"COUNT":
            return len(entries)
        if what == b"LIST":
            return [entry.name.lower() for entry in entries]
        if what == b"INFO":
            return table_answer(entries, words[2:] or None)
        if what == b"DOCS":
            wanted = {word.upper() for word in words[2:]}
            return Pairs(
                [
                    (
                        entry.name.lower(),
                        Pairs([(b"summary", b"served by the tier"), (b"arity", entry.arity)]),
                    )
                    for entry in entries
                    if not wanted or entry.name in wanted
                ]
            )
        if what == b"GETKEYS":
            entry = self.terms.commands.get(words[2].upper())
            if entry is None:
                raise Refused("ERR Invalid command specified")
            return keys_of(entry, words[2:])
        raise Refused(f"ERR unknown subcommand '{what[:64].decode('latin-1')}'")


def log_start(terms: ClusterTerms, address: tuple[str, int]) -> None:
    """The front's first line."""
    logger.info(
        "cluster front at {}:{}: {} commands, node {} of {}",
        *address,
        len(terms.commands),
        terms.me + 1,
        len(terms.tier.ranges),
    )
