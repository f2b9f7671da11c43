"""Load measurement: the load of each endpoint, from this router's own attempts and the servers' reports.

The load of an endpoint is the larger of its attempts in flight and its occupancy (busy time in a short window
over the length of the window), times its latency relative to the fleet's, divided by its weight. Endpoints
with no attempt in flight and no busy time in the window have no load. Only the others are updated, so that
the cost of an event hardly depends on the size of the fleet.
"""

from __future__ import annotations

from math import exp

from .decayed_statistics import (
    GROUP_ATTEMPT_DECAY,
    LATENCY_DECAY,
    MAX_LATENCY_MULTIPLIER,
    DecayedLatency,
    EventRate,
)
from .endpoint import Endpoint
from .endpoint_table import EndpointTable
from .hash_ring import HashRing
from .outcome_groups import CONNECTION_ENDING
from .time_buckets import BUCKET_COUNT, WINDOW_TIME, bucket_at, bucket_end
from .types import Deployment, Outcome, TrafficType

STUCK_AFTER_MEANS = 4.0  # silent for so many mean durations with attempts in flight: stuck, not idle
MIN_STUCK_TIME = 0.1  # seconds; no endpoint counts as stuck sooner
MIN_BUSY_TIME = 1e-9  # seconds; less than this in the window is rounding error
DURATION_GAIN = 0.02  # weight of a new duration in the mean durations
MIN_FIRST_DURATION = 1e-4  # seconds; the means are divisors and must not be zero
REPORT_DECAY = 0.8  # weight of earlier reports when one comes in: a single one is late and noisy
REPORT_LIFETIME = 10.0  # seconds; time constant of the decay: an outdated report must not count for long
REPORT_GAIN = 1.0 - LATENCY_DECAY  # weight of a new report in the mean of the fleet


class LoadMeasurement:
    """Loads of the endpoints and means over the fleet.

    State: the newest bucket of the occupancy window; the active endpoints (one is removed when it has no
    attempt in flight and no busy time in the window, or when it leaves the endpoint list); the fleet's
    decayed latency and completion rate; the mean duration of successful attempts, overall and by traffic
    type; the mean reported load.
    """

    def __init__(self, deployment: Deployment, table: EndpointTable, ring: HashRing, now: float) -> None:
        self._table = table
        self._ring = ring
        self.next_bucket_at = now
        self._bucket = 0
        self.active: dict[int, Endpoint] = {}
        self.fleet_latency = DecayedLatency(now, GROUP_ATTEMPT_DECAY)
        self.completion_rate = EventRate(now)
        self.mean_duration = 0.0
        self.mean_durations = [0.0] * len(deployment.traffic_types)
        self.mean_reported_load = 0.0

    # -- the occupancy window

    def is_bucket_over(self, now: float) -> bool:
        """Whether the time of the newest bucket is over."""
        return now >= self.next_bucket_at

    def start_bucket(self, now: float) -> None:
        """Start a new bucket."""
        self._bucket = bucket_at(now)
        self.next_bucket_at = bucket_end(self._bucket)

    def reassess_active(self, now: float) -> None:
        """Recompute the loads of the active endpoints and deactivate those that have none left."""
        for endpoint in list(self.active.values()):
            self.reassess(endpoint, now)
            if not endpoint.in_flight and endpoint.busy_time < MIN_BUSY_TIME:
                endpoint.busy_time = endpoint.load = 0.0
                del self.active[endpoint.ident]
        self._table.recount_load(self.active.values())

    def reassess(self, endpoint: Endpoint, now: float) -> None:
        """Advance the window of one endpoint; recompute its relative latency and its load."""
        endpoint.advance_to(self._bucket)
        if endpoint.in_flight and self._is_stuck(endpoint, now):
            endpoint.latency_multiplier = MAX_LATENCY_MULTIPLIER
        else:
            mean = self.fleet_latency.with_prior(1.0)
            label_mean = endpoint.label_figures.with_prior(mean)
            relative_latency = endpoint.latency.with_prior(label_mean) / mean
            endpoint.latency_multiplier = min(relative_latency, MAX_LATENCY_MULTIPLIER)
        self._update_load(endpoint)

    def _is_stuck(self, endpoint: Endpoint, now: float) -> bool:
        return now - endpoint.silent_since > max(MIN_STUCK_TIME, STUCK_AFTER_MEANS * self.mean_duration)

    def _update_load(self, endpoint: Endpoint) -> None:
        occupancy = endpoint.busy_time / WINDOW_TIME
        in_flight = endpoint.in_flight
        concurrency = in_flight if in_flight > occupancy else occupancy
        self._table.set_load(endpoint, concurrency * endpoint.latency_multiplier / endpoint.weight)

    def forget_unlisted(self, endpoints: list[Endpoint]) -> None:
        """Deactivate those of the given endpoints that have left the endpoint list."""
        for endpoint in endpoints:
            if not endpoint.origin and not self._table.is_listed(endpoint):
                self.active.pop(endpoint.ident, None)

    # -- attempts

    def on_attempt_started(self, endpoint: Endpoint, now: float) -> None:
        """Count an attempt as in flight."""
        if not endpoint.in_flight:
            endpoint.silent_since = now
        endpoint.in_flight += 1
        endpoint.connections = max(endpoint.connections, endpoint.in_flight)
        endpoint.zone_figures.in_flight += 1
        if endpoint.ident not in self.active:
            self.active[endpoint.ident] = endpoint
            self.reassess(endpoint, now)
        else:
            self._update_load(endpoint)

    def on_attempt_ended(self, endpoint: Endpoint, outcome: Outcome, elapsed: float, now: float) -> None:
        """Count an attempt as no longer in flight, and add its duration to the busy time."""
        endpoint.in_flight -= 1
        endpoint.zone_figures.in_flight -= 1
        endpoint.silent_since = now
        if outcome in CONNECTION_ENDING:
            endpoint.connections = max(endpoint.connections - 1, 0)
        endpoint.advance_to(self._bucket)
        endpoint.busy_buckets[self._bucket % BUCKET_COUNT] += elapsed
        endpoint.busy_time += elapsed

    def record_response(self, endpoint: Endpoint, now: float) -> None:
        """Count an answered attempt.

        Only answered attempts show an endpoint's capacity. Rejected attempts and retries grow in number
        during an overload, and would raise the budgets of cold endpoints just then.
        """
        self.completion_rate.add(now)
        endpoint.completion_rate.add(now)

    def record_success(self, endpoint: Endpoint, row: int, elapsed: float, now: float) -> None:
        """Update the mean durations and the relative latencies from a successful attempt.

        Cache misses do not count: they are answered at once, so an empty endpoint would look the fastest.
        """
        durations = self.mean_durations
        if durations[row]:
            durations[row] += DURATION_GAIN * (elapsed - durations[row])
        else:
            durations[row] = max(elapsed, MIN_FIRST_DURATION)
        # Starting from 0, the mean of a router with little traffic would take minutes to rise, and each
        # time-out would look many means long until then.
        if self.mean_duration:
            self.mean_duration += DURATION_GAIN * (elapsed - self.mean_duration)
        else:
            self.mean_duration = elapsed
        self.record_latency(endpoint, elapsed / durations[row], now)

    def record_latency(self, endpoint: Endpoint, relative_latency: float, now: float) -> None:
        """Add a latency, relative to the mean, for the endpoint, its label, its zone and the fleet."""
        endpoint.latency.add(relative_latency, now)
        endpoint.label_figures.add(relative_latency, now)
        self.fleet_latency.add(relative_latency, now)
        if self._ring.starts_in_own_zone():
            endpoint.zone_figures.latency.add(relative_latency, now)

    # -- load reports

    def record_load_report(self, endpoint: Endpoint, reported_load: float, now: float) -> None:
        """Record how many operations an endpoint reports in flight for all routers."""
        reported_load = reported_load / endpoint.weight
        decay = 0.0
        if endpoint.reported_at:
            decay = REPORT_DECAY * exp((endpoint.reported_at - now) / REPORT_LIFETIME)
        endpoint.reported_load += (1.0 - decay) * (reported_load - endpoint.reported_load)
        endpoint.reported_at = now
        self.mean_reported_load += REPORT_GAIN * (reported_load - self.mean_reported_load)

    @staticmethod
    def decayed_report(endpoint: Endpoint, now: float) -> float:
        """Return an endpoint's reported load, decayed by its age."""
        return endpoint.reported_load * exp((endpoint.reported_at - now) / REPORT_LIFETIME)

    def mean_report(self, factor: float) -> float:
        """Return `factor` times the mean reported load."""
        return factor * self.mean_reported_load

    # -- queries

    def usual_duration(self, traffic_type: TrafficType) -> float:
        """Return the mean duration of this type, or of all types while none of its attempts has succeeded."""
        return self.mean_durations[traffic_type.row] or self.mean_duration

    def mean_duration_of_row(self, row: int) -> float:
        """Return the mean duration of a traffic type, 1 while none of its attempts has succeeded."""
        return self.mean_durations[row] or 1.0

    def relative_duration(self, elapsed: float) -> float:
        """Return a duration relative to the mean, 1 while no attempt has succeeded."""
        return elapsed / self.mean_duration if self.mean_duration else 1.0

    def mean_latency(self) -> float:
        """Return the fleet's mean relative latency."""
        return self.fleet_latency.with_prior(1.0)

    def responses_per_second(self, now: float) -> float:
        """Return the rate of answered attempts, in attempts per second."""
        return self.completion_rate.value_at(now)
