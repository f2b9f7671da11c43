"""Interfaces between the client server and admission control, implemented by `gaugehinge.admission`."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

from ..routing.types import Operation
from .client_connection import ClientConnection
from .codec import RequestPayload

if TYPE_CHECKING:
    from .client_server import ClientServer


class AdmissionControl(Protocol):
    """Decides which operations and connections are admitted. Absent unless the installation enables it."""

    def submit(
        self,
        operation: Operation,
        payload: RequestPayload,
        answer: Callable[[bytes], None],
        client: bytes,
        size: int,
    ) -> Any:
        """Submit an operation of a client, of `size` bytes; returns the handle to pass to `client_gone`.

        `answer` is called once with the final reply, possibly before this returns.
        """

    def client_gone(self, handle: Any, freed: Callable[[], None]) -> None:
        """The client has disconnected before the reply; `freed` is called once no attempt is in flight."""

    def may_accept(self) -> bool:
        """Whether another connection may be accepted now."""

    def on_accepted(self, cpu: float) -> None:
        """Record that accepting connections took `cpu` seconds of CPU time."""

    def order_of_eviction(self, connections: Iterable[ClientConnection]) -> list[ClientConnection]:
        """Return the connections in the order in which they are to be closed to make room for new ones."""

    def exceeds_connection_quota(
        self, tenant: int, connections: Iterable[ClientConnection], most: int
    ) -> bool:
        """Whether a connection over the limit of `most` is beyond its tenant's share of the limit."""

    def overload_reply(self, operation: Operation) -> bytes:
        """Return the reply to an operation for which there is no capacity or no memory."""

    def reject_queued(self) -> None:
        """Reject all operations that wait for admission, since the router is shutting down."""

    def new_reader(self, clients: ClientServer) -> ConnectionReader:
        """Create the shared reader of all connections, which replaces a task for each."""


class ConnectionReader(Protocol):
    """Reads all connections of one client server."""

    async def run(self) -> None:
        """Read until cancelled."""

    def watch(self, client: ClientConnection) -> None:
        """Start to read this connection."""

    def unwatch(self, client: ClientConnection) -> None:
        """Stop reading this connection, for good or until `watch` is called again."""
