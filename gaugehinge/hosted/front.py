"""Client connections of a hosted router: each belongs to the tenant whose secret authenticated it.

Each tenant has its own key space. Equal keys, idempotency keys or request IDs of two tenants never collide:
from here on each is prefixed with the tenant's incarnation, at cache servers and the origin alike. The label
`t` is always set here, whatever the client sends.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from loguru import logger

from ..net.client_connection import ClientConnection
from ..net.client_server import ClientServer
from ..net.request_errors import (
    InvalidLabelError,
    RequestError,
    UnprintableTextError,
    WrongArgumentCountError,
)
from ..net.request_parser import (
    CLASS_LABEL,
    IDEMPOTENCY_KEY_LABEL,
    MILLISECONDS,
    PRINTABLE_ASCII,
    TENANT_LABEL,
    WAIT_LABEL,
    ParsedRequest,
    RequestParser,
    parse_labels,
)
from ..net.resp import Message, Parser, bulk
from .authenticator import Authenticator
from .principal import Principal

MAX_LABELS_BYTES = 4096
AUTHENTICATION_REQUIRED = "authentication required"
AUTH_ARGUMENTS_REPLY = b"-ERR wrong number of arguments for 'auth' command\r\n"
AUTH_FAILED_REPLY = b"-ERR failed\r\n"


class TenantRefusedError(RequestError):
    """The connection may not send operations: it is not authenticated, or its tenant is not active."""


class ValueTooLargeError(RequestError):
    """A value is larger than the tenant's limit."""

    def __init__(self, max_bytes: int) -> None:
        """`max_bytes`: the tenant's limit."""
        super().__init__(f"value over {max_bytes} bytes")


@dataclass(slots=True, eq=False)
class HostedConnection(ClientConnection):
    """A client connection and the tenant that authenticated on it."""

    bearer: Principal | None = None
    credential: str = ""


class HostedClientServer(ClientServer):
    """Serves all connections of the platform's own protocol at a hosted router."""

    authenticator: Authenticator
    wall_clock: Callable[[], float]

    def require_authentication(self, authenticator: Authenticator, wall_clock: Callable[[], float]) -> None:
        """Require authentication from now on. `wall_clock`: Unix time, by which credentials expire."""
        self.authenticator, self.wall_clock = authenticator, wall_clock
        self.commands[b"AUTH"] = self._authenticate

    def new_connection(self, sock: socket.socket, now: float, source: str) -> ClientConnection:
        """Return the state of a newly accepted connection, which is not authenticated yet."""
        return HostedConnection(sock, now, idle_since=now, source=source)

    def new_request_parser(self) -> RequestParser:
        """Return a parser that ignores tenants in labels: the connection determines an operation's tenant."""
        return RequestParser(self.settings, self.timers, self.request_ids, tenant_indexes={})

    def parse_request(
        self, client: ClientConnection, message: Message, is_write: bool, arrived_at: float
    ) -> ParsedRequest:
        """Parse an operation into the key space of the connection's tenant. Raises RequestError."""
        bearer = self._authenticated_bearer(cast(HostedConnection, client))
        rewritten = rewrite_request(message, is_write, bearer)
        request = super().parse_request(client, rewritten, is_write, arrived_at)
        request.operation.tenant = bearer.tenant_index
        return request

    def _authenticated_bearer(self, client: HostedConnection) -> Principal:
        bearer = client.bearer
        if bearer is None:
            raise TenantRefusedError(AUTHENTICATION_REQUIRED)
        problem = bearer.rejection_reason(client.credential, self.wall_clock())
        if problem:
            if problem == AUTHENTICATION_REQUIRED:
                client.bearer = None
            raise TenantRefusedError(problem)
        return bearer

    def _authenticate(self, client: ClientConnection, message: Message) -> bytes | None:
        parts: Any = message.top.body
        words = [part.body for part in parts[1:]]
        if len(words) not in (1, 2) or any(word is None for word in words):
            return AUTH_ARGUMENTS_REPLY
        texts = [word.decode("utf-8", "surrogateescape") for word in words]
        name, secret = ("", texts[0]) if len(texts) == 1 else texts
        answer = self.reply_writer.defer_reply(client)
        self.nursery.start_soon(self._check_secret, client, name, secret, answer)
        return None

    async def _check_secret(
        self, client: ClientConnection, name: str, secret: str, answer: Callable[[bytes], None]
    ) -> None:
        reply = AUTH_FAILED_REPLY
        try:
            bearer, credential, reply = await self.authenticator.check(client.source, name, secret)
            if bearer is not None:
                connection = cast(HostedConnection, client)
                connection.bearer, connection.credential = bearer, credential
        except Exception:  # an unexpected error fails only this check
            logger.exception("authentication check failed")
        finally:
            answer(reply)  # a missing reply would block all later replies on the connection


def rewrite_request(message: Message, is_write: bool, bearer: Principal) -> Message:
    """Return the command with key, request ID, idempotency key and tenant label set for the bearer.

    Raises RequestError.
    """
    parts: Any = message.top.body
    if len(parts) != 4 + is_write:
        raise WrongArgumentCountError
    labels_text = parts[3].body
    if not PRINTABLE_ASCII.fullmatch(labels_text) or len(labels_text) > MAX_LABELS_BYTES:
        raise UnprintableTextError
    labels = parse_labels(labels_text).values
    _rewrite_class_and_wait(labels, bearer)
    max_value_bytes = bearer.row.max_value_size
    if is_write and max_value_bytes and len(parts[4].body) > max_value_bytes:
        raise ValueTooLargeError(max_value_bytes)
    if labels.get(IDEMPOTENCY_KEY_LABEL):
        labels[IDEMPOTENCY_KEY_LABEL] = bearer.id_prefix.decode() + labels[IDEMPOTENCY_KEY_LABEL]
    labels[TENANT_LABEL] = bearer.name
    rewritten_labels = ",".join(f"{name}={value}" for name, value in labels.items()).encode()
    bodies = [
        parts[0].body,
        bearer.key_prefix + parts[1].body,
        bearer.id_prefix + parts[2].body,
        rewritten_labels,
    ]
    if is_write:
        bodies.append(parts[4].body)
    return _encode(bodies)


def _rewrite_class_and_wait(labels: dict[str, str], bearer: Principal) -> None:
    """Check the labels against the tenant's rules and replace them by the installation's values."""
    if labels.get(TENANT_LABEL, bearer.name) != bearer.name:
        raise InvalidLabelError(TENANT_LABEL, "not the tenant of this connection")
    traffic_type = bearer.traffic_type(labels.get(CLASS_LABEL, ""))
    if traffic_type is None:
        raise InvalidLabelError(CLASS_LABEL, "no such class")
    if CLASS_LABEL in labels:
        labels[CLASS_LABEL] = traffic_type
    max_wait = bearer.row.max_wait
    if max_wait and labels[WAIT_LABEL].isdigit():
        # A wait shorter than the client's own is safe: it only learns earlier that there is no result.
        labels[WAIT_LABEL] = str(min(int(labels[WAIT_LABEL]), int(max_wait * MILLISECONDS)))


def _encode(bodies: list[bytes]) -> Message:
    """Return the message that a parser reads from an array of bulk strings."""
    raw = b"*%d\r\n" % len(bodies) + b"".join(map(bulk, bodies))
    parser = Parser(len(raw))
    parser.feed(raw)
    message = parser.next()
    assert message is not None  # the message is complete
    return message
