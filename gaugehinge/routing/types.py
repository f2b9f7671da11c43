"""The plain types that decisions take and give.

Times are float seconds of one clock, durations float seconds. Objects point to each other; an `ident` is only
what the caller calls a thing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .endpoint import Endpoint

DEFAULT_LATENCY_OBJECTIVE = 1.0  # seconds, of a deployment that states no traffic type
MAX_TASK_WAIT = 0.5  # seconds between two looks at a standing task: events may make it due sooner


class Effect(Enum):
    """What a repeat of an operation does."""

    IDEMPOTENT = auto()  # the same as the first
    WITH_IDEMPOTENCY_KEY = auto()  # nothing, while the servers remember its key
    NON_IDEMPOTENT = auto()  # takes effect a second time


class DeduplicationScope(Enum):
    """The servers that drop each other's repeats of an operation with an idempotency key."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Outcome(Enum):
    """How an attempt ended. The value tells whether it may have run."""

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
    MOVED = ("moved", False)  # another server serves the key from now on
    ASK_REDIRECT = ("ask redirect", False)  # another server serves it for this once

    def __init__(self, label: str, may_have_run: bool) -> None:
        self.label = label
        self.may_have_run = may_have_run


class EndpointState(Enum):
    """What the endpoint list says of a server."""

    UP = auto()
    DRAINING = auto()
    GONE = auto()


class Action(Enum):
    """What to do with an operation or a background task."""

    SEND = auto()  # send its attempt
    WAIT = auto()  # ask again after a while
    REJECT = auto()  # its client may retry
    FAIL = auto()  # its client may not
    NONE = auto()
    POLL = auto()  # ask for the endpoint list
    GOSSIP = auto()  # send the payload to the peers


class TaskKind(Enum):
    """What a background task is for."""

    POLL_ENDPOINTS = auto()
    GOSSIP = auto()


@dataclass(slots=True, frozen=True)
class TrafficType:
    """One row of the table of traffic types: what differs between them."""

    row: int
    effect: Effect
    deduplication_scope: DeduplicationScope
    deduplication_window: float  # how long servers remember an idempotency key
    latency_objective: float
    priority_weight: float
    late_weight: float  # part of the priority weight that an answer after the objective has

    @property
    def retry_window(self) -> float:
        """How long after its first attempt that may have run an operation may be sent again, in seconds."""
        if self.effect is Effect.WITH_IDEMPOTENCY_KEY:
            return self.deduplication_window
        return inf if self.effect is Effect.IDEMPOTENT else 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant and what it may use of the service."""

    quota: float  # its part of all operations
    rate_limit: float  # operations a second over all routers


@dataclass(slots=True, frozen=True)
class Deployment:
    """What a router knows of its deployment from its start on."""

    seed: int
    router_number: int  # this router's number among them
    router_count: int
    traffic_types: tuple[TrafficType, ...]
    tenants: tuple[Tenant, ...]
    cache_aside: bool  # a miss comes back to the router, which asks the origin itself
    origin_kind: str | None  # the label by which the endpoint list tells the origin
    clock_granularity: float
    max_attempts: int
    cold_capacity: float  # of a server that just started, over that of a warm one
    warm_up_time: float
    overload_multiple: float  # sent more than this many times what it can do,
    overload_time: float  # for this long, a cold server falls over
    may_cancel: bool
    may_gossip: bool
    must_poll: bool  # the endpoint list comes only when it is polled
    max_retry_after: float  # 0 where clients heed no Retry-After
    over_quota_weight: float  # of the priority weight, for what is over a quota
    weight_by_work: bool  # priority weights are for the work that an operation takes
    has_endpoint_weights: bool = False  # the list tells how much each server bears beside the others
    zone: str = ""  # where this router stands
    cross_zone_price: float = 0.0  # of an attempt to another zone, in priority weights
    one_attempt_per_connection: bool = False  # a connection carries one attempt at a time
    connection_price: float = 0.0  # of a new connection
    poll_deadline: float = 10.0  # a router that did not poll for so long counts as notified of what it missed

    @property
    def shortest_objective(self) -> float:
        """The shortest latency objective: a queue holds up all that pass through it."""
        objectives = (traffic_type.latency_objective for traffic_type in self.traffic_types)
        return min(objectives, default=DEFAULT_LATENCY_OBJECTIVE)


class EndpointEntry(NamedTuple):
    """One server as the endpoint list has it."""

    ident: int
    zone: str
    kind: str  # its label: servers of one kind are alike
    cell: int
    state: EndpointState
    started: float  # 0: long ago
    weight: float = 0.0  # beside that of others; 0 where the list has none


@dataclass(slots=True, eq=False)
class Operation:
    """One request of a client. The first fields are the caller's, those with a default the decisions' own."""

    ident: str | int
    traffic_type: TrafficType
    key: bytes
    tenant: int  # place in the table of tenants, -1 without
    is_write: bool
    is_client_retry: bool
    arrived_at: float
    deadline: float
    finished: bool = False  # answered or given up; the caller sets it too
    attempts: list[Attempt] = field(default_factory=list)
    admitted: bool = False  # its times are set, and it was counted against its quota
    objective_at: float = 0.0  # the end of its latency objective
    give_up_at: float = 0.0
    tried_endpoints: list[Endpoint] = field(default_factory=list)
    over_quota: bool = False  # its tenant's quota was used up when it came
    routed_at: float = 0.0  # when an endpoint was last chosen for it
    rejections: int = 0  # endpoints that rejected it
    wants_origin: bool = False
    waiting_for_fetch: bool = False
    regions: tuple[frozenset[str] | None, ...] = (None,)  # zones where it may be, in order; None: anywhere
    allowed_endpoints: tuple[int, ...] | None = None  # the only ones that may serve its key, the owner first
    queued_at: Endpoint | None = None  # where it waits for capacity
    redirect_count: int = 0  # attempts that named another server
    ask_redirect: bool = False  # its next attempt was redirected there for this once
    may_have_run_on: Endpoint | None = None  # where it may have run first
    retry_deadline: float = inf  # until then what may have run is remembered, by an attempt's last byte


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of an operation to one server."""

    operation: Operation
    endpoint: Endpoint
    number: int
    sent_at: float
    in_flight: bool = True


@dataclass(slots=True, eq=False)
class BackgroundTask:
    """A standing task of the router's own, asked about like an operation."""

    kind: TaskKind
    due: float = 0.0

    def time_until_due(self, now: float) -> float:
        """Return how long to wait before asking about it again."""
        return min(max(self.due - now, 0.0), MAX_TASK_WAIT)


class Decision(NamedTuple):
    """What to do with an operation or a background task."""

    action: Action
    attempt: Attempt | None = None  # to be sent
    timeout: float = 0.0  # seconds, of the attempt to be sent
    retry_after: float = 0.0  # seconds; 0 where the client gets no Retry-After
    payload: bytes = b""
    peers: tuple[int, ...] = ()  # whom to send the payload to


WAIT = Decision(Action.WAIT)
FAIL = Decision(Action.FAIL)
NO_ACTION = Decision(Action.NONE)

Route = Callable[[Operation, float], Decision]  # routes an operation at a moment


class Step(NamedTuple):
    """What to do next with one operation."""

    operation: Operation
    decision: Decision
