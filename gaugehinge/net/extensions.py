"""Extension points of the router: how a subsystem takes part in the way of a request or of an endpoint list.

A subsystem implements one or more of the protocols below. `Service` is given a function that builds the
subsystems and returns one `Extensions`; each of its tuples is called in the order in which it is written. An
extension that has nothing to do at the moment says so in its answer; extensions are never exchanged while
the router runs. The order of each program stands in one place: `gaugehinge.subsystems` for the installed
command. The platform's router runs with `Extensions()`: none.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import trio

    from ..routing.types import Attempt, Operation, Outcome
    from .codec import Codec, RequestPayload
    from .connection import Connection, PendingAttempt
    from .connection_pool import ConnectionBudget
    from .endpoint_list import EndpointListUpdate
    from .service import Service

ReplyCallback = Callable[[bytes], None]


class RequestInterceptor(Protocol):
    """Sees each request before the dispatcher takes it."""

    def intercept(
        self, operation: Operation, payload: RequestPayload, reply_callback: ReplyCallback
    ) -> ReplyCallback | None:
        """Return what takes the reply: `reply_callback` itself, or a function that calls it in the end.

        None says that the request has been answered here: `operation.finished` is set and the reply given.
        """


class RoutingConstraint(Protocol):
    """Limits the servers that may serve an operation, once the dispatcher has taken it."""

    def constrain(self, operation: Operation) -> bytes | None:
        """Write the limits into `operation`; return the final reply where nothing may serve it now."""


class AttemptPolicy(Protocol):
    """Has a say before any byte of an attempt goes out."""

    def may_send(self, attempt: Attempt) -> bool:
        """Whether the next bytes may go. The policy may have rejected the operation before it says no."""


class RedirectObserver(Protocol):
    """Is shown what servers say of where a key is served."""

    def on_redirect(self, attempt: Attempt, outcome: Outcome, message: bytes) -> None:
        """An attempt ended with `outcome`, no success, and the server's words `message`."""


class ReplyObserver(Protocol):
    """Is shown each final reply."""

    def on_reply(self, reply: bytes) -> None:
        """A client was sent `reply`."""


class EndpointListTransformer(Protocol):
    """Sees and may change each endpoint list, or changes of it, on its way to the routing decisions."""

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate | None:
        """Return the update as the next transformer is to see it.

        None holds it back; the transformer passes it on later by `Dispatcher.on_endpoints_changed` with
        `after=self`. `cached`: the list was kept from before, discovery has not said it.
        """


class GossipListener(Protocol):
    """Sees each gossip message of a peer before the routing decisions do."""

    def on_gossip(self, peer: int, payload: bytes) -> bool:
        """Whether the message is this listener's own; nobody else is shown it then."""


class PollPolicy(Protocol):
    """Has a say on when discovery is polled."""

    def earliest_poll(self) -> float:
        """The time, by the router's clock in seconds, before which discovery is not polled."""


class ConnectionObserver(Protocol):
    """Is shown connections to servers that end."""

    def on_connection_lost(self, connection: Connection, pending: PendingAttempt | None) -> None:
        """The server ended a connection, or it did not come up; `pending` is the attempt that it carried."""


class ShutdownHook(Protocol):
    """Has something to do once every request is answered, before the router exits."""

    async def before_exit(self) -> None:
        """Called once, hook after hook."""


@dataclass(slots=True, frozen=True)
class Extensions:
    """All extensions of one router. Each tuple is called from its first to its last element."""

    request_interceptors: tuple[RequestInterceptor, ...] = ()
    routing_constraints: tuple[RoutingConstraint, ...] = ()
    attempt_policies: tuple[AttemptPolicy, ...] = ()
    redirect_observers: tuple[RedirectObserver, ...] = ()
    reply_observers: tuple[ReplyObserver, ...] = ()
    endpoint_list_transformers: tuple[EndpointListTransformer, ...] = ()
    gossip_listeners: tuple[GossipListener, ...] = ()
    poll_policies: tuple[PollPolicy, ...] = ()
    connection_observers: tuple[ConnectionObserver, ...] = ()
    shutdown_hooks: tuple[ShutdownHook, ...] = ()
    connection_budget: ConnectionBudget | None = None  # how many connections each server may be sent
    server_codec: Codec | None = None  # spoken to cache servers; None: the platform's protocol


class ExtensionBuilder(Protocol):
    """Builds the subsystems of a router while it starts."""

    def __call__(self, service: Service, nursery: trio.Nursery) -> Extensions:
        """Called once, when all parts of `service` exist and none has begun to work."""
