"""The types that the routing decisions take and return.

Times are seconds of one clock, durations seconds, both as floats. Objects reference each other directly; an
`ident` is only the caller's name for an object.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .endpoint import Endpoint

DEFAULT_LATENCY_OBJECTIVE = 1.0  # seconds; for a deployment without traffic types
# Seconds; longest wait before a background task is checked again: events may make it due sooner.
MAX_TASK_WAIT = 0.5


class Effect(Enum):
    """What happens when an operation is run again."""

    IDEMPOTENT = auto()  # has the same effect as the first run
    WITH_IDEMPOTENCY_KEY = auto()  # has no effect while the servers remember its idempotency key
    NON_IDEMPOTENT = auto()  # takes effect a second time


class DeduplicationScope(Enum):
    """The servers that recognise each other's idempotency keys, and so drop repeated operations."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Outcome(Enum):
    """How an attempt ended, as a label and whether the server may have run the operation."""

    SUCCEEDED = ("succeeded", True)
    SERVER_ERROR = ("server error", True)
    MALFORMED_RESPONSE = ("malformed response", True)
    TIMED_OUT = ("timed out", True)
    CONNECTION_LOST = ("connection lost", True)
    CANCELLED = ("cancelled", True)
    UNKNOWN = ("unknown", True)
    REJECTED = ("rejected", False)
    CONNECT_FAILED = ("connect failed", False)
    NOT_SENT = ("not sent", False)
    CACHE_MISS = ("cache miss", False)
    MOVED = ("moved", False)  # the key has moved to another server for good
    ASK_REDIRECT = ("ask redirect", False)  # another server serves this attempt only

    def __init__(self, label: str, may_have_run: bool) -> None:
        self.label = label
        self.may_have_run = may_have_run


class EndpointState(Enum):
    """State of a server in the endpoint list."""

    UP = auto()
    DRAINING = auto()
    GONE = auto()


class Action(Enum):
    """What to do with an operation or a background task."""

    SEND = auto()  # send the attempt of the decision
    WAIT = auto()  # ask for another decision later
    REJECT = auto()  # reject the operation; its client may retry
    FAIL = auto()  # fail the operation; its client must not retry
    NONE = auto()
    POLL = auto()  # request the endpoint list
    GOSSIP = auto()  # send the payload to the peers


class TaskKind(Enum):
    """Purpose of a background task."""

    POLL_ENDPOINTS = auto()
    GOSSIP = auto()


@dataclass(slots=True, frozen=True)
class TrafficType:
    """Properties of one traffic type."""

    row: int  # index in the table of traffic types
    effect: Effect
    deduplication_scope: DeduplicationScope
    deduplication_window: float  # seconds for which servers remember an idempotency key
    latency_objective: float  # seconds
    priority_weight: float
    late_weight: float  # fraction of the priority weight that an answer after the objective is worth

    @property
    def retry_window(self) -> float:
        """Seconds after the first attempt that may have run in which the operation may be sent again."""
        if self.effect is Effect.WITH_IDEMPOTENCY_KEY:
            return self.deduplication_window
        return inf if self.effect is Effect.IDEMPOTENT else 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """Limits of one tenant."""

    quota: float  # its fraction of all operations
    rate_limit: float  # operations per second, over all routers together


@dataclass(slots=True, frozen=True)
class Deployment:
    """Settings of the deployment that a router knows from its start."""

    seed: int
    router_number: int  # index of this router among all routers
    router_count: int
    traffic_types: tuple[TrafficType, ...]
    tenants: tuple[Tenant, ...]
    cache_aside: bool  # on a cache miss the router itself fetches from the origin
    origin_kind: str | None  # label of the origin in the endpoint list
    clock_granularity: float  # seconds
    max_attempts: int
    cold_capacity: float  # capacity of a server that just started, as a fraction of that of a warm one
    warm_up_time: float  # seconds; 0 where none is stated
    # A cold server fails when it is sent more than this multiple of its capacity for `overload_time` seconds.
    overload_multiple: float
    overload_time: float
    may_cancel: bool  # attempts in flight may be cancelled
    may_gossip: bool  # routers may send each other messages
    must_poll: bool  # the router only gets the endpoint list by polling
    max_retry_after: float  # seconds; 0 where clients ignore Retry-After
    over_quota_weight: float  # factor on the priority weight of operations that are over a quota
    weight_by_work: bool  # priority weights are per unit of work, not per operation
    has_endpoint_weights: bool = False  # the endpoint list gives the relative capacity of each server
    zone: str = ""  # the zone of this router
    cross_zone_price: float = 0.0  # of an attempt to another zone, in units of the priority weight
    one_attempt_per_connection: bool = False  # a connection carries one attempt at a time
    connection_price: float = 0.0  # price of opening a connection
    # Seconds; a router that has not polled for so long counts as notified of the changes that it missed.
    poll_deadline: float = 10.0

    @property
    def shortest_objective(self) -> float:
        """The shortest latency objective: a queue delays operations of all traffic types."""
        objectives = (traffic_type.latency_objective for traffic_type in self.traffic_types)
        return min(objectives, default=DEFAULT_LATENCY_OBJECTIVE)


class EndpointEntry(NamedTuple):
    """Entry of the endpoint list for one server."""

    ident: int
    zone: str
    kind: str  # the label of the server: servers of one kind are alike
    cell: int
    state: EndpointState
    started: float  # start time of the server process; 0: long ago
    weight: float = 0.0  # capacity relative to that of other servers; 0 where the list gives none


@dataclass(slots=True, eq=False)
class Operation:
    """One request of a client.

    The caller sets the fields without a default; the decisions keep their state in the others.
    """

    ident: str | int
    traffic_type: TrafficType
    key: bytes
    tenant: int  # index in the table of tenants, -1 for no tenant
    is_write: bool
    is_client_retry: bool
    arrived_at: float
    deadline: float
    finished: bool = False  # answered or given up; the caller may set it too
    attempts: list[Attempt] = field(default_factory=list)
    admitted: bool = False  # its deadlines are set and it was counted against its quota
    objective_at: float = 0.0  # the end of its latency objective
    give_up_at: float = 0.0  # no attempt starts after this
    tried_endpoints: list[Endpoint] = field(default_factory=list)
    over_quota: bool = False  # its tenant's quota was used up on arrival
    routed_at: float = 0.0  # when an endpoint was last chosen for it
    rejections: int = 0  # number of endpoints that rejected it
    wants_origin: bool = False  # its next attempt goes to the origin
    waiting_for_fetch: bool = False  # waits for another operation's fetch of its key
    regions: tuple[frozenset[str] | None, ...] = (None,)  # sets of zones to try in order; None: all zones
    allowed_endpoints: tuple[int, ...] | None = None  # the only ones that may serve its key, the owner first
    queued_at: Endpoint | None = None  # endpoint at which it waits for capacity
    redirect_count: int = 0  # attempts that were redirected to another server
    ask_redirect: bool = False  # its next attempt follows a redirect for that attempt only
    may_have_run_on: Endpoint | None = None  # endpoint of its first attempt that may have run
    # Servers remember the attempt that may have run until then; the last byte of a retry must arrive before.
    retry_deadline: float = inf


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have an operation served by one server."""

    operation: Operation
    endpoint: Endpoint
    number: int
    sent_at: float
    in_flight: bool = True


@dataclass(slots=True, eq=False)
class BackgroundTask:
    """A recurring task of the router itself, which gets decisions as operations do."""

    kind: TaskKind
    due: float = 0.0

    def time_until_due(self, now: float) -> float:
        """Return how many seconds to wait before asking for its next decision."""
        return min(max(self.due - now, 0.0), MAX_TASK_WAIT)


class Decision(NamedTuple):
    """What to do with an operation or a background task."""

    action: Action
    attempt: Attempt | None = None  # the attempt to send
    timeout: float = 0.0  # seconds; of the attempt to send
    retry_after: float = 0.0  # seconds; 0 where the client gets no Retry-After
    payload: bytes = b""
    peers: tuple[int, ...] = ()  # router numbers that the payload is sent to


WAIT = Decision(Action.WAIT)
FAIL = Decision(Action.FAIL)
NO_ACTION = Decision(Action.NONE)

Route = Callable[[Operation, float], Decision]  # routes an operation; takes the current time


class Step(NamedTuple):
    """An operation and what to do with it next."""

    operation: Operation
    decision: Decision
