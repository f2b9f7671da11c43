"""The interface of the decision module as plain types.

Times are float seconds. Objects point to each other; an `ident` is only what the door calls a thing.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf
from typing import NamedTuple


class Effect(Enum):
    """What a repeat of an operation does."""

    IDEMPOTENT = auto()
    WITH_IDEMPOTENCY_KEY = auto()
    NON_IDEMPOTENT = auto()


class DeduplicationScope(Enum):
    """The cache servers that drop each other's repeats of a deduplicated operation."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Outcome(Enum):
    """How an attempt ended. The value tells whether it may have run."""

    SUCCEEDED = ("settled", True)
    SERVER_ERROR = ("errored", True)
    MALFORMED_RESPONSE = ("spoilt", True)  # answered with what cannot be read
    TIMED_OUT = ("timed out", True)
    CONNECTION_LOST = ("broken", True)
    CANCELLED = ("called off", True)
    UNKNOWN = ("unknown", True)
    REJECTED = ("turned away", False)
    CONNECT_FAILED = ("not connected", False)
    NOT_SENT = ("never sent", False)
    CACHE_MISS = ("missed", False)
    MOVED = ("moved", False)  # another server serves the key from now on
    ASK_REDIRECT = ("asked", False)  # another server serves it for this once

    def __init__(self, label: str, may_have_run: bool) -> None:
        self.label = label
        self.may_have_run = may_have_run


class EndpointState(Enum):
    """What the list says of a server."""

    UP = auto()
    DRAINING = auto()
    GONE = auto()


class Action(Enum):
    """What to do with an operation or an errand."""

    SEND = auto()
    WAIT = auto()
    REJECT = auto()
    FAIL = auto()
    NONE = auto()
    POLL = auto()
    GOSSIP = auto()


class TaskKind(Enum):
    """What an errand of the module's own is for."""

    POLL_ENDPOINTS = auto()
    GOSSIP = auto()


@dataclass(slots=True, frozen=True)
class TrafficType:
    """One row of the table of traffic types: what differs between them."""

    row: int
    effect: Effect
    deduplication_scope: DeduplicationScope
    deduplication_window: float  # how long repeats of a deduplicated operation are dropped
    latency_objective: float
    priority_weight: float
    late_weight: float  # portion of the payoff for an answer after the promised time

    @property
    def retry_window(self) -> float:
        """How long after its first attempt that may have run an operation may be sent again, in seconds."""
        if self.effect is Effect.WITH_IDEMPOTENCY_KEY:
            return self.deduplication_window
        return inf if self.effect is Effect.IDEMPOTENT else 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant and what it may use of the service."""

    quota: float
    rate_limit: float  # operations a second over all routers


@dataclass(slots=True, frozen=True)
class Deployment:
    """What a router is told once, at its start."""

    seed: int
    router_number: int  # this router's number among them
    router_count: int
    traffic_types: tuple[TrafficType, ...]
    tenants: tuple[Tenant, ...]
    cache_aside: bool  # a miss comes back to the router, which asks the origin itself
    origin_kind: str | None
    clock_granularity: float
    max_attempts: int
    cold_capacity: float
    warm_up_time: float
    overload_multiple: float  # sent more than this many times what it can do,
    overload_time: float  # for this long, a cold cache falls over
    may_cancel: bool
    may_gossip: bool
    must_poll: bool  # the list answers only when asked
    max_retry_after: float  # 0 where clients are not told when to come back
    over_quota_weight: float
    weight_by_work: bool
    has_endpoint_weights: bool = False  # the list tells how much each server bears beside the others
    zone: str = ""  # where this router stands
    cross_zone_price: float = 0.0  # of an attempt to another zone, in payoffs
    one_attempt_per_connection: bool = False  # a connection carries one attempt at a time
    connection_price: float = 0.0  # of a new connection
    poll_deadline: float = 10.0  # a router that did not ask for so long counts as told what it missed


class EndpointEntry(NamedTuple):
    """One server as the list has it."""

    ident: int
    zone: str
    kind: str
    cell: int
    state: EndpointState
    started: float  # 0: long ago
    weight: float = 0.0  # beside that of others; 0 where none is told


@dataclass(slots=True, eq=False)
class Operation:
    """One try of a client. The upper part is the door's, the lower the module's."""

    ident: str | int
    traffic_type: TrafficType
    key: bytes
    tenant: int  # place in the table of tenants, -1 without
    is_write: bool
    is_client_retry: bool
    arrived_at: float
    deadline: float
    finished: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    admitted: bool = False
    objective_at: float = 0.0  # after this an answer earns less or nothing
    give_up_at: float = 0.0  # after this the operation is given up
    tried_endpoints: list = field(default_factory=list)
    over_quota: bool = False  # its tenant's share was used up when it came
    routed_at: float = 0.0  # when the walk was last asked
    rejections: int = 0  # caches that turned it away
    wants_origin: bool = False
    waiting_for_fetch: bool = False
    regions: tuple[frozenset[str] | None, ...] = (None,)  # zones where it may be, in order; None: anywhere
    allowed_endpoints: tuple[int, ...] | None = (
        None  # the only servers that may serve its key, the owner first
    )
    queued_at: object = None  # the server at which it waits for room
    redirect_count: int = 0  # attempts that told it another server
    ask_redirect: bool = False  # its next attempt was sent there for this once
    may_have_run_on: object = None  # the server at which it may have run first
    retry_deadline: float = (
        inf  # for an attempt's last byte: after it what may have run before is not remembered
    )


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of an operation to one server."""

    operation: Operation
    endpoint: object
    number: int
    sent_at: float
    in_flight: bool = True


@dataclass(slots=True, eq=False)
class BackgroundTask:
    """A standing task of the module's own, asked about like an operation."""

    kind: TaskKind
    due: float = 0.0


class Decision(NamedTuple):
    """What the module says of an operation or an errand."""

    action: Action
    attempt: Attempt | None = None
    timeout: float = 0.0  # seconds, of the attempt to be sent
    retry_after: float = 0.0  # seconds; 0 where the client is not told when to come back
    payload: bytes = b""
    peers: tuple[int, ...] = ()  # whom to tell


class Step(NamedTuple):
    """What to do next for one operation."""

    operation: Operation
    decision: Decision
