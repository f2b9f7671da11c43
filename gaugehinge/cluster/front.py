"""The front for clients of the cluster protocol, which see the routers of the tier as the nodes of a cluster.

`net/client_server.py` handles connections, limits and the order of replies; commands become operations of
the same dispatcher. A router serves every slot, since all routers lead to the same servers. It redirects to
another router of the tier (`MOVED`) only while it is leaving, since its clients would otherwise stay
connected until it exits.
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
from ..net.client_limits import OPERATION_BYTES
from ..net.client_server import ClientServer
from ..net.codec import RequestPayload
from ..net.dispatcher import BUSY_REPLY, Dispatcher
from ..net.lifecycle import Lifecycle, Phase
from ..net.request_parser import MAX_MARGIN_FRACTION, REPLY_MARGIN
from ..net.resp import Malformed
from ..routing.types import Operation
from ..settings import Settings
from .command_table import (
    CommandError,
    CommandSpec,
    KeyCommand,
    add_key_prefix,
    command_info_reply,
    keys_of,
    merge_replies,
    split_by_key,
)
from .resp3 import CLIENT_LIMITS, Error, Message, Pairs, Reader, Status, encode
from .slots import SLOTS, SlotMap, slot_of

PAYLOAD_COPIES = 3  # of a command: as its client sent it, in the platform's dialect, and its key or value
MAX_CLIENT_NAME_BYTES = 128  # of the name that a client gives its connection
RESP2_NULL, RESP3_NULL = b"$-1\r\n", b"_\r\n"
DEFERRED = object()  # the reply is sent later
OK = b"+OK\r\n"


class Principal(Protocol):
    """What commands need to know of their tenant; from `gaugehinge.hosted`, if `follow.keeper` is set."""

    name: str
    tenant_index: int
    key_prefix: bytes
    id_prefix: bytes
    row: Any  # the tenant's record as the control plane (`follow.keeper`) sent it

    def rejection_reason(self, credential: str, now: float) -> str:
        """Why its operations are rejected; empty if they are accepted."""


class Authenticator(Protocol):
    """Checks the credentials that clients send."""

    async def check(self, source: str, name: str, secret: str) -> tuple[Any, str, bytes]:
        """The principal that a secret belongs to (None if wrong), its credential, and the reply."""


@dataclass(slots=True, frozen=True)
class ClusterFrontConfig:
    """The configuration of a router's cluster front."""

    commands: dict[bytes, CommandSpec]
    tier: SlotMap  # the routers at the addresses that clients use, ordered by router number
    router_index: int  # of this router within the tier
    tenant: int  # index of the tenant of all clients of this front; -1: none


@dataclass(slots=True, eq=False)
class PendingCommand:
    """A command, until the replies for all its keys have arrived."""

    spec: CommandSpec
    key_commands: list[KeyCommand]
    replies: list[bytes | None]
    remaining: int  # keys without a reply
    principal: Principal | None = None


@dataclass(slots=True, eq=False)
class ClusterClientConnection(ClientConnection):
    """A connection with the state that the cluster protocol keeps for it."""

    resp_version: int = 2
    client_name: bytes = b""
    parser: Any = field(default_factory=lambda: Reader(CLIENT_LIMITS))
    # By key: the number of reads in flight, or -1 for a write. An entry is removed with its last reply.
    keys_in_flight: dict[bytes, int] = field(default_factory=dict)
    # Commands that wait for earlier ones; bounded by the limit on pending replies.
    backlog: deque[tuple[PendingReply, PendingCommand]] = field(default_factory=deque)
    principal: Principal | None = None  # the authenticated tenant, if authentication is required
    credential: str = ""


class ClusterClientServer(ClientServer):
    """Serves all client connections of the cluster protocol."""

    def __init__(
        self,
        settings: Settings,
        lifecycle: Lifecycle,
        dispatcher: Dispatcher,
        max_connections: int,
        memory: int,
        nursery: trio.Nursery,
        config: ClusterFrontConfig,
        admission_control: AdmissionControl | None = None,
    ) -> None:
        super().__init__(settings, lifecycle, dispatcher, max_connections, memory, nursery, admission_control)
        self.config = config
        nodes = [slot_range.nodes[0] for slot_range in config.tier]
        self.own_node = nodes[config.router_index]
        self.other_nodes = [node for node in nodes if node is not self.own_node]
        self.redirected_commands = 0  # commands redirected to another router while leaving
        self._label_heads = [b"c=%b,d=" % name.encode() for name in settings.traffic_type_rows]  # by row
        self.authenticator: Authenticator | None = None
        self._wall_clock: Callable[[], float] = time.time
        self._id_prefix = secrets.token_hex(4)  # of the request ids generated here; new with each start
        self._operation_count = 0
        self._connection_commands: dict[bytes, Callable[[ClusterClientConnection, list[bytes]], Any]] = {
            b"PING": lambda client, words: words[1] if len(words) > 1 else self._ping_reply(),
            b"ECHO": lambda client, words: words[1],
            b"SELECT": self._select,
            b"QUIT": self._quit_command,
            b"RESET": self._reset,
            b"HELLO": self._hello,
            b"AUTH": self._auth,
            b"CLIENT": self._client,
            b"CLUSTER": self._cluster,
            b"COMMAND": self._command_table_reply,
            b"READONLY": lambda client, words: Status(b"OK"),  # routing decides where reads go
            b"READWRITE": lambda client, words: Status(b"OK"),
            b"ASKING": lambda client, words: Status(b"OK"),  # every slot is served here anyway
            b"INFO": self._info,
        }

    def new_connection(self, sock: socket.socket, now: float, source: str) -> ClientConnection:
        return ClusterClientConnection(sock, now, idle_since=now, source=source)

    # -- incoming commands

    def _handle_command(self, client: ClusterClientConnection, message: Message) -> None:
        words = message.value
        if not isinstance(words, list) or not words or not all(type(word) is bytes for word in words):
            raise Malformed("a command is an array of bulk strings")
        name = words[0].upper()
        spec = self.config.commands.get(name)
        try:
            if spec is not None:
                self._handle_keyed_command(client, spec, words)
                return
            handler = self._connection_commands.get(name)
            if handler is None:
                shown_name = words[0][:64].decode("latin-1").translate({13: " ", 10: " "})
                raise CommandError(f"ERR unknown command '{shown_name}'")
            result = handler(client, words)
        except (CommandError, IndexError) as error:
            result = Error(
                (str(error) if isinstance(error, CommandError) else "ERR wrong number of arguments").encode()
            )
        if result is DEFERRED:
            return
        self.reply(client, encode(result, client.resp_version))

    def _handle_keyed_command(
        self, client: ClusterClientConnection, spec: CommandSpec, words: list[bytes]
    ) -> None:
        key_commands = split_by_key(spec, words)
        client.tenant = self.config.tenant
        principal = self._require_principal(client)
        if principal is not None:
            client.tenant = principal.tenant_index
            max_size = principal.row.max_value_size
            if max_size and any(len(key_command.value or b"") > max_size for key_command in key_commands):
                raise CommandError(f"ERR value over {max_size} bytes")
            key_commands = add_key_prefix(spec, words, key_commands, principal.key_prefix)
        if self.lifecycle.phase is Phase.LEAVING and self.other_nodes:
            # Redirecting all its clients ensures that they lose nothing when the router exits.
            slot = slot_of(key_commands[0].key)
            target = self.other_nodes[slot % len(self.other_nodes)]
            self.redirected_commands += 1
            self.reply(client, b"-MOVED %d %b:%d\r\n" % (slot, target.host.encode(), target.port))
            return
        size = sum(
            OPERATION_BYTES + PAYLOAD_COPIES * len(key_command.encoded) for key_command in key_commands
        )
        over_limit = (
            not self.limits.has_room_for_request(size)
            or len(self.dispatcher.pending_operations) + len(key_commands) > self.limits.max_in_flight
        )
        if over_limit or self.registry.is_over_limit(client) or self.is_overloaded():
            self.reply(client, BUSY_REPLY)  # not executed
            return
        pending_reply = self.limits.reserve_request(size)
        client.pending_replies.append(pending_reply)
        pending_command = PendingCommand(
            spec, key_commands, [None] * len(key_commands), len(key_commands), principal
        )
        if client.backlog or self._must_wait(client, pending_command):
            client.backlog.append((pending_reply, pending_command))
        else:
            self._start_command(
                client, pending_reply, pending_command, client.data_arrived_at or self.clock()
            )

    @staticmethod
    def _must_wait(client: ClusterClientConnection, pending_command: PendingCommand) -> bool:
        """Whether a command has to wait for an earlier one on its connection.

        When both were sent on concurrently, a read after a write to the same key returned the old value.
        """
        keys_in_flight = client.keys_in_flight
        return any(
            keys_in_flight.get(key_command.key, 0) < 0
            or (pending_command.spec.write and keys_in_flight.get(key_command.key, 0))
            for key_command in pending_command.key_commands
        )

    def _start_command(
        self,
        client: ClusterClientConnection,
        pending_reply: PendingReply,
        pending_command: PendingCommand,
        now: float,
    ) -> None:
        spec = pending_command.spec
        margin = min(REPLY_MARGIN + self.timers.lag, MAX_MARGIN_FRACTION * spec.abandon_time)
        traffic_type = self.settings.deployment.traffic_types[spec.traffic_row]
        for key_command in pending_command.key_commands:
            # Several reads of a key may be in flight, or a single write, which is recorded as -1.
            client.keys_in_flight[key_command.key] = (
                -1 if spec.write else client.keys_in_flight.get(key_command.key, 0) + 1
            )
        pending_reply.operation_handle = handles = []
        for index, key_command in enumerate(pending_command.key_commands):
            self._operation_count += 1
            operation = Operation(
                0,
                traffic_type,
                key_command.key,
                client.tenant,
                spec.write,
                False,
                now,
                now + spec.abandon_time - margin,
            )
            send_reply = self._reply_callback(client, pending_reply, pending_command, index)
            payload = self._request_payload(client, spec, key_command, pending_command.principal)
            if self.admission_control is None:
                handles.append(self.dispatcher.submit(operation, payload, send_reply))
            else:
                size = len(key_command.encoded) + len(key_command.value or b"")
                handles.append(
                    self.admission_control.submit(operation, payload, send_reply, client.client_id, size)
                )

    def _start_backlog(self, client: ClusterClientConnection) -> None:
        """Start waiting commands that need not wait any longer. Their abandon time counts from now."""
        while client.backlog and not self._must_wait(client, client.backlog[0][1]):
            pending_reply, pending_command = client.backlog.popleft()
            self._start_command(client, pending_reply, pending_command, self.clock())

    def _request_payload(
        self,
        client: ClusterClientConnection,
        spec: CommandSpec,
        key_command: Any,
        principal: Principal | None,
    ) -> RequestPayload:
        """What servers are sent: the command itself, or the platform's dialect with an id generated here."""
        ident = f"{self._id_prefix}{self._operation_count:010x}".encode()
        label_head, label_tail = self._label_heads[spec.traffic_row], b""
        if principal is not None:
            ident, label_tail = principal.id_prefix + ident, b",t=" + principal.name.encode()
        verb = b"KV.SET" if spec.write else b"KV.GET"
        command_head = b"*%d\r\n$6\r\n%b\r\n$%d\r\n%b\r\n$%d\r\n%b\r\n" % (
            4 + spec.write,
            verb,
            len(key_command.key),
            key_command.key,
            len(ident),
            ident,
        )
        value = key_command.value or b""
        command_tail = b"$%d\r\n%b\r\n" % (len(value), value) if spec.write else b""
        labels = label_head + b"%d" % (spec.abandon_time * 1000) + label_tail
        return RequestPayload(
            ident,
            key_command.key,
            (label_head, label_tail),
            labels,
            command_head,
            command_tail,
            value if spec.write else None,
            key_command.encoded,
            partial(self.is_client_present, client),
        )

    def _reply_callback(
        self,
        client: ClusterClientConnection,
        pending_reply: PendingReply,
        pending_command: PendingCommand,
        index: int,
    ) -> Callable[[bytes], None]:
        def send_reply(reply: bytes) -> None:
            pending_command.replies[index] = (
                RESP3_NULL if reply == RESP2_NULL and client.resp_version >= 3 else reply
            )
            pending_command.remaining -= 1
            key, keys_in_flight = pending_command.key_commands[index].key, client.keys_in_flight
            if keys_in_flight.get(key, 0) > 1:
                keys_in_flight[key] -= 1
            else:
                keys_in_flight.pop(key, None)
            if pending_command.remaining:
                return
            pending_reply.operation_handle = None
            self.limits.set_reply(pending_reply, merge_replies(pending_command.spec, pending_command.replies))
            if client.backlog and self.registry.is_open(client):
                self._start_backlog(client)
            self.reply_writer.flush(client)

        return send_reply

    def abandon_reply(self, pending_reply: PendingReply) -> None:
        handles = list(pending_reply.operation_handle)
        remaining = len(handles)

        def released() -> None:
            nonlocal remaining
            remaining -= 1
            if not remaining:
                self.limits.release(pending_reply)

        for handle in handles:
            (self.admission_control or self.dispatcher).client_gone(handle, released)

    # -- authentication

    def require_authentication(self, authenticator: Authenticator, wall_clock: Callable[[], float]) -> None:
        """Require authentication from now on. `wall_clock`: Unix time, by which credentials expire."""
        self.authenticator, self._wall_clock = authenticator, wall_clock

    def _require_principal(self, client: ClusterClientConnection) -> Principal | None:
        """The connection's tenant; None if authentication is not required.

        Raises:
            CommandError: the client is not authenticated, or its tenant's operations are rejected.
        """
        if self.authenticator is None:
            return None
        principal = client.principal
        reason = "authentication required"
        if principal is not None:
            reason = principal.rejection_reason(client.credential, self._wall_clock())
        if reason == "authentication required":
            client.principal = None
            raise CommandError("NOAUTH Authentication required.")
        if reason:
            raise CommandError(f"ERR {reason}")
        return principal

    def _auth(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        if self.authenticator is None:
            return Error(b"ERR AUTH called without any password configured for this front")
        if len(words) not in (2, 3):
            raise CommandError("ERR wrong number of arguments for 'auth' command")
        name = words[1] if len(words) == 3 else b""
        return self._authenticate(client, name, words[-1], lambda: OK)

    def _authenticate(
        self, client: ClusterClientConnection, name: bytes, secret: bytes, make_reply: Callable[[], bytes]
    ) -> Any:
        """Check a secret in a task of its own; `make_reply` returns the reply if the secret is right."""
        send_reply = self.reply_writer.defer_reply(client)

        async def check() -> None:
            reply = b"-ERR failed\r\n"
            try:
                decoded = [word.decode("utf-8", "surrogateescape") for word in (name, secret)]
                principal, credential, reply = await self.authenticator.check(client.source, *decoded)
                if principal is not None:
                    client.principal, client.credential = principal, credential
                    reply = make_reply()
            except Exception:  # a defect must fail only this check
                logger.exception("authentication check failed")
            finally:
                send_reply(reply)  # a missing reply would block all later replies of the connection

        self.nursery.start_soon(check)
        return DEFERRED

    # -- connection commands

    def _ping_reply(self) -> Any:
        phase = self.lifecycle.phase
        if phase in (Phase.READY, Phase.LEAVING):
            return Status(b"PONG")
        return Error(b"LOADING the router is " + phase.name.lower().encode())

    def _select(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        return Status(b"OK") if words[1] == b"0" else Error(b"ERR SELECT is not allowed in cluster mode")

    def _quit_command(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        client.draining = True
        return Status(b"OK")

    def _reset(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        client.resp_version, client.client_name, client.principal = 2, b"", None
        return Status(b"RESET")

    def _hello(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        options = words[1:]
        resp_version = client.resp_version
        if options:
            if options[0] not in (b"2", b"3"):
                return Error(b"NOPROTO unsupported protocol version")
            resp_version, options = int(options[0]), options[1:]
        client_name, credentials = client.client_name, None
        while options:
            option = options[0].upper()
            if option == b"SETNAME" and len(options) > 1:
                client_name, options = self._valid_client_name(options[1]), options[2:]
            elif option == b"AUTH" and len(options) > 2:
                if self.authenticator is None:
                    return Error(b"WRONGPASS invalid username-password pair or user is disabled.")
                credentials, options = options[1:3], options[3:]
            else:
                return Error(b"ERR Syntax error in HELLO option")

        def apply() -> Pairs:
            client.resp_version, client.client_name = resp_version, client_name
            return self._hello_reply(client, resp_version)

        if credentials is None:
            return apply()
        return self._authenticate(client, *credentials, lambda: encode(apply(), resp_version))

    @staticmethod
    def _hello_reply(client: ClusterClientConnection, resp_version: int) -> Pairs:
        return Pairs(
            [
                (b"server", b"gaugehinge"),
                (b"version", __version__.encode()),
                (b"proto", resp_version),
                (b"id", client.handle),
                (b"mode", b"cluster"),
                (b"role", b"master"),
                (b"modules", []),
            ]
        )

    @staticmethod
    def _valid_client_name(name: bytes) -> bytes:
        if len(name) > MAX_CLIENT_NAME_BYTES or any(not 33 <= byte <= 126 for byte in name):
            raise CommandError("ERR Client names cannot contain spaces, newlines or special characters.")
        return name

    def _client(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        subcommand = words[1].upper()
        if subcommand == b"SETNAME":
            client.client_name = self._valid_client_name(words[2])
        elif subcommand == b"GETNAME":
            return client.client_name or None
        elif subcommand == b"ID":
            return client.handle
        elif subcommand == b"INFO":
            return b"id=%d name=%b resp=%d\n" % (client.handle, client.client_name, client.resp_version)
        elif subcommand not in (b"SETINFO", b"NO-EVICT", b"NO-TOUCH"):
            raise CommandError(f"ERR unknown subcommand '{subcommand[:64].decode('latin-1')}'")
        return Status(b"OK")

    def _info(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        return (
            b"# Server\r\nredis_mode:cluster\r\nrouter_version:%b\r\n# Cluster\r\ncluster_enabled:1\r\n"
            % (__version__.encode())
        )

    # -- slot map and command table

    def _cluster(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        subcommand = words[1].upper()
        if subcommand == b"SLOTS":
            return [
                [slot_range.first, slot_range.last, *(self._node_entry(node) for node in slot_range.nodes)]
                for slot_range in self.config.tier
            ]
        if subcommand == b"SHARDS":
            return [self._shard_entry(slot_range) for slot_range in self.config.tier]
        if subcommand == b"NODES":
            return b"".join(self._nodes_line(slot_range) for slot_range in self.config.tier)
        if subcommand == b"INFO":
            return self._cluster_info()
        if subcommand == b"MYID":
            return self.own_node.node_id.encode()
        if subcommand == b"KEYSLOT":
            return slot_of(words[2])
        if subcommand == b"COUNTKEYSINSLOT":
            if not words[2].isdigit() or int(words[2]) >= SLOTS:
                raise CommandError("ERR Invalid slot")
            return 0  # a router holds no keys
        raise CommandError(f"ERR unknown subcommand '{subcommand[:64].decode('latin-1')}'")

    @staticmethod
    def _node_entry(node: Any) -> list:
        return [node.host.encode(), node.port, node.node_id.encode(), []]

    @staticmethod
    def _shard_entry(slot_range: Any) -> Pairs:
        nodes = [
            Pairs(
                [
                    (b"id", node.node_id.encode()),
                    (b"port", node.port),
                    (b"ip", node.host.encode()),
                    (b"endpoint", node.host.encode()),
                    (b"role", b"master"),
                    (b"replication-offset", 0),
                    (b"health", b"online"),
                ]
            )
            for node in slot_range.nodes
        ]
        return Pairs([(b"slots", [slot_range.first, slot_range.last]), (b"nodes", nodes)])

    def _nodes_line(self, slot_range: Any) -> bytes:
        node = slot_range.nodes[0]
        flags = b"myself,master" if node is self.own_node else b"master"
        host = node.host.encode()
        return b"%b %b:%d@%d %b - 0 0 %d connected %d-%d\n" % (
            node.node_id.encode(),
            host,
            node.port,
            node.port,
            flags,
            self.config.tier.epoch,
            slot_range.first,
            slot_range.last,
        )

    def _cluster_info(self) -> bytes:
        tier = self.config.tier
        fields = {
            "cluster_state": "ok",
            "cluster_slots_assigned": tier.covered_slot_count(),
            "cluster_slots_ok": tier.covered_slot_count(),
            "cluster_slots_pfail": 0,
            "cluster_slots_fail": 0,
            "cluster_known_nodes": len(tier.ranges),
            "cluster_size": len(tier.ranges),
            "cluster_current_epoch": tier.epoch,
            "cluster_my_epoch": tier.epoch,
        }
        return "".join(f"{name}:{value}\r\n" for name, value in fields.items()).encode()

    def _command_table_reply(self, client: ClusterClientConnection, words: list[bytes]) -> Any:
        specs: Sequence[CommandSpec] = list(self.config.commands.values())
        if len(words) == 1:
            return command_info_reply(specs)
        subcommand = words[1].upper()
        if subcommand == b"COUNT":
            return len(specs)
        if subcommand == b"LIST":
            return [spec.name.lower() for spec in specs]
        if subcommand == b"INFO":
            return command_info_reply(specs, words[2:] or None)
        if subcommand == b"DOCS":
            wanted = {word.upper() for word in words[2:]}
            return Pairs(
                [
                    (
                        spec.name.lower(),
                        Pairs([(b"summary", b"served by the tier"), (b"arity", spec.arity)]),
                    )
                    for spec in specs
                    if not wanted or spec.name in wanted
                ]
            )
        if subcommand == b"GETKEYS":
            spec = self.config.commands.get(words[2].upper())
            if spec is None:
                raise CommandError("ERR Invalid command specified")
            return keys_of(spec, words[2:])
        raise CommandError(f"ERR unknown subcommand '{subcommand[:64].decode('latin-1')}'")


def log_start(config: ClusterFrontConfig, address: tuple[str, int]) -> None:
    """Log the address of the front, its number of commands and its place in the tier."""
    logger.info(
        "cluster front at {}:{}: {} commands, node {} of {}",
        *address,
        len(config.commands),
        config.router_index + 1,
        len(config.tier.ranges),
    )
