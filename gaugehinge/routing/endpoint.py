"""The state that a router keeps of one endpoint (a cache server or the origin), and of one zone.

The state of an endpoint is in one class because endpoint selection reads most of it. Each field is written by
one part of the router only, which a comment names. When a server restarts or leaves the endpoint list, its
state is dropped: a restarted server gets a new `Endpoint` from the table.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .decayed_statistics import DecayedLatency, EventRate
from .time_buckets import BUCKET_COUNT
from .types import EndpointState, Operation

SILENCE_THRESHOLD = 0.5  # seconds; an endpoint that fails with no answer for so long is taken to be down


@dataclass(slots=True, eq=False)
class ZoneFigures:
    """Statistics of all endpoints of one zone, as measured by this router."""

    latency: DecayedLatency
    failed: set[int] = field(default_factory=set)  # endpoints that failed since one of the zone last answered
    in_flight: int = 0
    key_share: float = 1.0  # own zone only: share of the keys whose walk starts there


@dataclass(slots=True, eq=False)
class Endpoint:
    """One server as this router sees it."""

    # From the endpoint list (endpoint table)
    ident: int
    zone: str
    zone_figures: ZoneFigures  # shared by all endpoints of the zone
    cell: int
    started: float
    state: EndpointState
    origin: bool
    # Latency and completions (load measurement)
    label_figures: DecayedLatency  # shared by all endpoints with the same label in the list
    latency: DecayedLatency
    completion_rate: EventRate  # of attempts of this router that it answered
    last_answer_at: float  # (outlier ejection; for the origin, its concurrency limit)
    silent_since: float
    salt: int  # makes the stable draws for one key differ between endpoints
    weight: float = 1.0  # as listed, relative to the median weight
    # Occupancy and load (load measurement)
    busy_buckets: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    newest_bucket: int = 0  # its number, counted from the clock's zero
    busy_time: float = 0.0  # seconds; the sum of the buckets
    in_flight: int = 0
    connections: int = 0  # connections of this router, as far as its attempts show them
    load: float = 0.0
    latency_multiplier: float = 1.0
    lateness: float = 0.0  # smoothed share of the latency objective that attempts take (concurrency limits)
    reported_load: float = 0.0  # smoothed; operations in flight for all routers, over its weight
    reported_at: float = 0.0
    # Health
    failure_score: float = 0.0  # (outlier ejection)
    ejected_until: float = 0.0  # 0: not ejected (outlier ejection)
    full_until: float = 0.0  # no attempt is sent there until then (concurrency limits)
    last_walk: int = 0  # number of the last ring walk that visited it (endpoint selection)
    # Slow start
    warm_up_share: float = 1.0  # share of its keys that it serves; below 1 while it warms up
    warm_up_budget: float = 1.0  # attempts that may be sent while it warms up
    queue: list[Operation] = field(default_factory=list)  # operations that wait for capacity (endpoint queue)

    def advance_to(self, bucket: int) -> None:
        """Clear the buckets that left the occupancy window; the last call may be any time ago."""
        for number in range(max(self.newest_bucket + 1, bucket - BUCKET_COUNT + 1), bucket + 1):
            self.busy_time -= self.busy_buckets[number % BUCKET_COUNT]
            self.busy_buckets[number % BUCKET_COUNT] = 0.0
        self.newest_bucket = bucket

    def is_silent(self, now: float) -> bool:
        """Whether it has answered nothing for so long that a failure is probably its own fault."""
        return now - self.last_answer_at > SILENCE_THRESHOLD

    def has_answered_lately(self, sent_at: float, now: float) -> bool:
        """Whether it answered anything since `sent_at` or within the silence threshold."""
        return self.last_answer_at > min(sent_at, now - SILENCE_THRESHOLD)
