"""What a router knows of one endpoint (a cache server or the origin), and of one zone.

The figures of an endpoint stand together because choosing among endpoints reads most of them; each is written
by the one part named beside it. They are emptied when the server starts anew or leaves the endpoint list: the
table then makes a new `Endpoint`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .decayed_statistics import DecayedLatency, EventRate
from .time_buckets import BUCKET_COUNT
from .types import EndpointState, Operation

SILENCE_THRESHOLD = 0.5  # seconds without an answer after which failures are taken for those of a dead server


@dataclass(slots=True, eq=False)
class ZoneFigures:
    """What this router knows of the endpoints of one zone together."""

    latency: DecayedLatency
    failed: set[int] = field(default_factory=set)  # since one of them answered; emptied then
    in_flight: int = 0
    key_share: float = 1.0  # of the own zone: the share of the keys that start there


@dataclass(slots=True, eq=False)
class Endpoint:
    """One server as this router sees it."""

    # What the endpoint list says (endpoint table)
    ident: int
    zone: str
    zone_figures: ZoneFigures  # shared by all endpoints of the zone
    cell: int
    started: float
    state: EndpointState
    origin: bool
    # Latency and completions (load measurement)
    label_figures: DecayedLatency  # shared by the endpoints that the list gives one label
    latency: DecayedLatency
    completion_rate: EventRate  # of the attempts that it answered for this router
    last_answer_at: float  # (outlier ejection; for the origin, its concurrency limit)
    silent_since: float
    salt: int  # tells apart the stable draws of a key at different endpoints
    weight: float = 1.0  # as listed, over the usual one
    # Occupancy and load (load measurement)
    busy_buckets: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    newest_bucket: int = 0  # counted from the clock's zero
    busy_time: float = 0.0  # the sum of the buckets
    in_flight: int = 0
    connections: int = 0  # connections that this router has there, as far as attempts show
    load: float = 0.0
    latency_multiplier: float = 1.0
    lateness: float = 0.0  # smoothed share of the latency objective that attempts take (concurrency limits)
    reported_load: float = 0.0  # smoothed, what it holds for all routers, over its weight
    reported_at: float = 0.0
    # Health
    failure_score: float = 0.0  # (outlier ejection)
    ejected_until: float = 0.0  # 0 while it is not ejected (outlier ejection)
    full_until: float = 0.0  # nothing is sent there until then (concurrency limits)
    last_walk: int = 0  # number of the last walk that came past (endpoint selection)
    # Slow start
    warm_up_share: float = 1.0  # of its keys, below 1 while it warms up
    warm_up_budget: float = 1.0  # attempts that may be sent while it warms up
    queue: list[Operation] = field(default_factory=list)  # waiting for capacity there (endpoint queue)

    def advance_to(self, bucket: int) -> None:
        """Empty the buckets that left the occupancy window, however long ago the last look was."""
        for number in range(max(self.newest_bucket + 1, bucket - BUCKET_COUNT + 1), bucket + 1):
            self.busy_time -= self.busy_buckets[number % BUCKET_COUNT]
            self.busy_buckets[number % BUCKET_COUNT] = 0.0
        self.newest_bucket = bucket

    def is_silent(self, now: float) -> bool:
        """Whether it has answered nothing for so long that a failure is probably its own."""
        return now - self.last_answer_at > SILENCE_THRESHOLD

    def has_answered_lately(self, sent_at: float, now: float) -> bool:
        """Whether it answered anything since that moment, or else within the silence threshold."""
        return self.last_answer_at > min(sent_at, now - SILENCE_THRESHOLD)
