"""Clients of a hosted router: each connection is one tenant's, by its secret, in a space of its own.

Two tenants' same key, mark or id never meet: the incarnation stands before each of them from here on, at
cache servers and origin alike. The label `t` is written here, whatever the client says.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, replace

from loguru import logger

from ..net.client_server import PRINTABLE_ASCII, ClientConnection, ClientServer, RequestError, parse_labels
from ..net.connection_pool import RequestPayload
from ..net.resp import BULK, Message, bulk
from ..routing.types import Operation
from .gate import Gate
from .roster import Bearer

MOST_LABELS = 4096  # bytes


@dataclass(slots=True, eq=False)
class HostedClient(ClientConnection):
    """One connection, and who comes there."""

    bearer: Bearer | None = None
    credential: str = ""


class HostedClients(ClientServer):
    """All connections of the platform's dialect, at a hosted router."""

    gate: Gate

    def require_authentication(self, gate: Gate, unix: Callable[[], float]) -> None:
        """From now on connections say whose they are. `unix`: the time by which credentials end."""
        self.gate, self.unix = gate, unix
        self.commands[b"AUTH"] = self._auth

    def new_connection(self, raw: socket.socket, now: float, source: str) -> ClientConnection:
        return HostedClient(raw, now, idle_since=now, source=source)

    # -- who is it

    def _auth(self, client: HostedClient, message: Message) -> bytes | None:
        words = [part.body for part in message.top.body[1:]]
        if len(words) not in (1, 2) or any(word is None for word in words):
            return b"-ERR wrong number of arguments for 'auth' command\r\n"
        told = [word.decode("utf-8", "surrogateescape") for word in words]
        name, secret = ("", told[0]) if len(told) == 1 else told
        self.nursery.start_soon(self._check, client, name, secret, self.defer_reply(client))
        return None

    async def _check(
        self, client: HostedClient, name: str, secret: str, answer: Callable[[bytes], None]
    ) -> None:
        reply = b"-ERR failed\r\n"
        try:
            bearer, credential, reply = await self.gate.check(client.source, name, secret)
            if bearer is not None:
                client.bearer, client.credential = bearer, credential
        except Exception:  # a defect fails this check alone
            logger.exception("a secret could not be checked")
        finally:
            answer(reply)  # one that is not answered holds up all behind it

    def _bearer(self, client: HostedClient) -> Bearer:
        """Whose operation it is, now. Raises Refused."""
        bearer = client.bearer
        if bearer is None:
            raise RequestError("authentication required")
        why = bearer.why_not(client.credential, self.unix())
        if why:
            if why == "authentication required":
                client.bearer = None
            raise RequestError(why)
        return bearer

    # -- their own space

    def tenant_index(self, name: str) -> int:
        """The connection says whose it is; the settings have places in place of names."""
        return -1

    def parse_request(
        self, client: HostedClient, message: Message, write: bool, now: float
    ) -> tuple[Operation, RequestPayload]:
        bearer = self._bearer(client)
        own = dressed(message, write, bearer)
        operation, payload = super().parse_request(client, own, write, now)
        operation.tenant = bearer.place
        return operation, payload


def dressed(message: Message, write: bool, bearer: Bearer) -> Message:
    """A command as it goes on: key, id, mark and tenant are the bearer's own. Raises Refused."""
    parts = message.top.body
    if len(parts) != 4 + write:
        raise RequestError("wrong number of arguments")
    if not PRINTABLE_ASCII.fullmatch(parts[3].body) or len(parts[3].body) > MOST_LABELS:
        raise RequestError("id and labels must be plain text")
    labels, _ = parse_labels(parts[3].body)
    if labels.get("t", bearer.name) != bearer.name:
        raise RequestError("label t: not the tenant of this connection")
    row = bearer.row
    kind = bearer.traffic_type(labels.get("c", ""))
    if kind is None:
        raise RequestError("label c: no such class")
    if "c" in labels:
        labels["c"] = kind
    if row.longest_wait and labels["d"].isdigit():
        # Shorter than its client waits is safe: it hears sooner that it comes to nothing.
        labels["d"] = str(min(int(labels["d"]), int(row.longest_wait * 1000)))
    if write and row.most_value and len(parts[4].body) > row.most_value:
        raise RequestError(f"value over {row.most_value} bytes")
    if "k" in labels and labels["k"]:
        labels["k"] = bearer.marks.decode() + labels["k"]
    labels["t"] = bearer.name
    told = ",".join(f"{name}={value}" for name, value in labels.items()).encode()
    bodies = [parts[0].body, bearer.keys + parts[1].body, bearer.marks + parts[2].body, told]
    if write:
        bodies.append(parts[4].body)
    raw, made = b"*%d\r\n" % len(bodies), []
    for body, part in zip(bodies, parts, strict=True):
        start = len(raw)
        raw += bulk(body)
        made.append(replace(part, kind=BULK, body=body, start=start, end=len(raw)))
    return Message(raw, replace(message.top, body=made, start=0, end=len(raw)))
