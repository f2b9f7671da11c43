"""Extension points of the router: how a subsystem takes part in handling requests and endpoint lists.

A subsystem implements one or more of the protocols below. `Service` is given a function that builds the
subsystems and returns one `Extensions`; the members of each of its tuples are called in order. The set of
extensions never changes while the router runs: an extension with nothing to do says so by its return value.
Each program defines its order in one place: `gaugehinge.subsystems` for the installed command. The platform's
router runs without extensions: `Extensions()`.
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
    """Called for each request before the dispatcher handles it."""

    def intercept(
        self, operation: Operation, payload: RequestPayload, reply_callback: ReplyCallback
    ) -> ReplyCallback | None:
        """Return the callback for the reply: `reply_callback` itself, or a function that finally calls it.

        None: the interceptor has answered the request; it has set `operation.finished` and given the reply.
        """


class RoutingConstraint(Protocol):
    """Limits the servers that may serve an operation, once the dispatcher has accepted it."""

    def constrain(self, operation: Operation) -> bytes | None:
        """Write the limits into `operation`; return the final reply if no server may serve it now."""


class AttemptPolicy(Protocol):
    """Decides whether bytes of an attempt may be sent."""

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether the next bytes may be sent.

        Before it returns False, the policy may have rejected the operation.
        """


class RedirectObserver(Protocol):
    """Observes server replies that say where a key is served."""

    def on_redirect(self, attempt: Attempt, outcome: Outcome, message: bytes) -> None:
        """Called when an attempt ended without success; `message` is the text of the server's reply."""


class ReplyObserver(Protocol):
    """Observes each final reply."""

    def on_reply(self, reply: bytes) -> None:
        """Called when `reply` was sent to a client."""


class EndpointListTransformer(Protocol):
    """Sees, and may change, each endpoint list update before the routing decisions use it."""

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate | None:
        """Return the update to pass to the next transformer.

        None holds the update back; the transformer passes it on later by calling
        `Dispatcher.on_endpoints_changed` with `after=self`. `cached`: the list is one that was kept from
        before and does not come from discovery.
        """


class GossipListener(Protocol):
    """Receives each gossip message of a peer before the routing decisions do."""

    def on_gossip(self, peer: int, payload: bytes) -> bool:
        """Return whether the message is meant for this listener; if so, nothing else receives it."""


class PollPolicy(Protocol):
    """Limits when discovery is polled."""

    def earliest_poll(self) -> float:
        """Return the time before which discovery is not polled, in seconds of the router's clock."""


class ConnectionObserver(Protocol):
    """Observes the end of connections to servers."""

    def on_connection_lost(self, connection: Connection, pending: PendingAttempt | None) -> None:
        """Called when the server ended a connection, or connecting to it failed.

        `pending` is the attempt that the connection carried.
        """


class ShutdownHook(Protocol):
    """Runs once every request is answered, before the router exits."""

    async def before_exit(self) -> None:
        """Called once; the hooks run one after another."""


@dataclass(slots=True, frozen=True)
class Extensions:
    """All extensions of one router. The members of each tuple are called from first to last."""

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
    connection_budget: ConnectionBudget | None = None  # how many connections may be opened to each server
    server_codec: Codec | None = None  # protocol used with cache servers; None: the platform's protocol


class ExtensionBuilder(Protocol):
    """Builds the subsystems of a router while it starts."""

    def __call__(self, service: Service, nursery: trio.Nursery) -> Extensions:
        """Called once, when all parts of `service` exist and none has started."""
