"""Interfaces between the client server and admission control, which `gaugehinge.admission` implements."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, Protocol

from ..routing.types import Operation
from .client_connection import ClientConnection
from .codec import RequestPayload

if TYPE_CHECKING:
    from .client_server import ClientServer


class AdmissionControl(Protocol):
    """Decides which operations and connections are admitted. Absent unless an installation switches it on."""

    def submit(
        self,
        operation: Operation,
        payload: RequestPayload,
        answer: Callable[[bytes], None],
        client: bytes,
        size: int,
    ) -> Any:
        """Take an operation of a client, `size` bytes long; returns the handle that `client_gone` takes.

        `answer` gets the one final reply, perhaps before this returns.
        """

    def client_gone(self, handle: Any, freed: Callable[[], None]) -> None:
        """Nobody waits for the reply any more; `freed` is called once no attempt is in flight."""

    def may_accept(self) -> bool:
        """Whether one more connection may be accepted now."""

    def on_accepted(self, cpu: float) -> None:
        """Connections were accepted, which took so many seconds of CPU."""

    def order_of_eviction(self, connections: Iterable[ClientConnection]) -> list[ClientConnection]:
        """Connections in the order in which they are closed to make room for new ones."""

    def exceeds_connection_quota(
        self, tenant: int, connections: Iterable[ClientConnection], most: int
    ) -> bool:
        """Whether a connection over the limit of `most` is one too many for its tenant."""

    def overload_reply(self, operation: Operation) -> bytes:
        """The reply to an operation for which there is no capacity or no memory."""

    def reject_queued(self) -> None:
        """The router ends: reject all that waits for admission."""

    def new_reader(self, clients: ClientServer) -> ConnectionReader:
        """What reads the connections, in place of a task each."""


class ConnectionReader(Protocol):
    """Reads all connections of one client server."""

    async def run(self) -> None:
        """Read until cancelled."""

    def watch(self, client: ClientConnection) -> None:
        """Read this connection from now on."""

    def unwatch(self, client: ClientConnection) -> None:
        """Read this connection no more, or not for now."""
