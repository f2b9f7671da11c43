"""Endpoint selection: a walk round the hash ring from the key's place, past endpoints with too much load.

The mechanism is consistent hashing with bounded loads: a key goes to the first endpoint clockwise that
may serve it and whose load is under a bound, which is a factor over the mean. docs/design.md has the
departures from it.
"""

from __future__ import annotations

from bisect import bisect_left

from xxhash import xxh64_intdigest

from . import retry_safety
from .concurrency_limits import ConcurrencyLimits
from .endpoint import Endpoint
from .endpoint_table import EndpointTable
from .hash_ring import HashRing
from .load_measurement import LoadMeasurement
from .origin_limit import OriginConcurrencyLimit
from .outlier_ejection import OutlierEjection
from .seeded_random import stable_fraction, stable_number
from .types import Deployment, EndpointState, Operation

BALANCE_FACTOR = 1.25  # an endpoint over this times the ready endpoints' mean load is walked past
MIN_LOAD_BOUND = 2.0  # below two in flight a bound would scatter the keys of a quiet router
MAX_HOPS = 10  # endpoints looked at before the least loaded one is taken
# Endpoints passed in all, with those that may not serve the key: a full fleet is not searched whole.
MAX_VISITED = 12
# Where a new connection has a price, a walk may start at one of so many endpoints of a key.
START_CANDIDATES = 4


class EndpointSelection:
    """Chooses the endpoint for an operation's next attempt.

    State: the number of the last walk, by which endpoints know whether it came past; it only grows.
    """

    def __init__(
        self,
        deployment: Deployment,
        table: EndpointTable,
        ring: HashRing,
        load: LoadMeasurement,
        limits: ConcurrencyLimits,
        ejection: OutlierEjection,
        origin_limit: OriginConcurrencyLimit,
    ) -> None:
        self._table = table
        self._ring = ring
        self._load = load
        self._limits = limits
        self._ejection = ejection
        self._origin_limit = origin_limit
        connections_cost = deployment.one_attempt_per_connection and bool(deployment.connection_price)
        self.start_candidates = START_CANDIDATES if connections_cost else 1
        self._salt = xxh64_intdigest(b"%d" % deployment.seed)
        self._walk_number = 0

    def select(self, operation: Operation, now: float) -> Endpoint | None:
        """Choose within the first of the operation's regions where an endpoint may serve it."""
        for region in operation.regions:
            endpoint = self._select_in_region(operation, now, region)
            if endpoint is not None:
                return endpoint
            # What is over a quota goes to its home only, which is in the first region with any endpoint.
            if operation.over_quota and region and self._ring.rings_within(region):
                return None
        return None

    def _select_in_region(
        self, operation: Operation, now: float, region: frozenset[str] | None
    ) -> Endpoint | None:
        """Choose on the whole ring, or on the part of it in a region."""
        if self._ring.is_empty():
            return None
        operation.routed_at = now
        rings = self._ring.rings() if region is None else self._ring.rings_within(region)
        bound = max(MIN_LOAD_BOUND, self._table.mean_load(BALANCE_FACTOR, region))
        key = xxh64_intdigest(operation.key)
        if operation.allowed_endpoints is not None:
            return self._select_among(operation, key, bound)
        return self._walk(operation, key, rings, bound)

    def _walk(self, operation: Operation, key: int, rings: list[list[int]], bound: float) -> Endpoint | None:
        """Walk clockwise from the key's place, past each endpoint over the bound."""
        now = operation.routed_at
        owners, limits = self._ring.owner_by_point(), self._limits
        max_visited = min(self._table.count(), MAX_VISITED)
        self._walk_number = walk = self._walk_number + 1
        visited = hops = 0
        least_loaded = cold = None
        if len(rings) > 1 and stable_fraction(key) >= self._table.own_zone_figures().key_share:
            rings = rings[1:]  # a crowded zone gives up keys, always the same ones
        for points in rings:
            start = self._start_index(points, key, now)
            for index in range(start - len(points), start):
                endpoint = owners[points[index]]
                if endpoint.last_walk == walk:
                    continue
                endpoint.last_walk = walk
                visited += 1
                if visited == 1 and operation.over_quota and not limits.admits_over_quota(endpoint, now):
                    return None
                if self._may_serve(endpoint, operation, key):
                    load = endpoint.load
                    if load <= bound and self._stays_despite_report(endpoint, key, now):
                        return endpoint
                    hops += 1
                    if least_loaded is None or load < least_loaded.load:
                        least_loaded = endpoint
                elif cold is None and endpoint.warm_up_share < 1.0 and self._has_budget(endpoint, operation):
                    cold = endpoint
                if visited >= max_visited or hops >= MAX_HOPS:
                    break
            max_visited, hops = visited + max_visited, 0
        return least_loaded or cold  # one that warms up, within its budget, rather than none

    def _select_among(self, operation: Operation, key: int, bound: float) -> Endpoint | None:
        """Choose where servers say who serves a key: past its owner over the bound, on to its replicas."""
        now = operation.routed_at
        least_loaded = cold = None
        for index, ident in enumerate(operation.allowed_endpoints or ()):
            endpoint = self._table.get(ident)
            if endpoint is None or endpoint.state is not EndpointState.UP:
                continue
            is_owner = index == 0
            if is_owner and operation.over_quota and not self._limits.admits_over_quota(endpoint, now):
                return None
            if self._may_serve(endpoint, operation, key):
                if endpoint.load <= bound:
                    return endpoint
                if least_loaded is None or endpoint.load < least_loaded.load:
                    least_loaded = endpoint
            elif cold is None and endpoint.warm_up_share < 1.0 and self._has_budget(endpoint, operation):
                cold = endpoint
        return least_loaded or cold

    # -- where a walk starts

    def _start_index(self, points: list[int], key: int, now: float) -> int:
        """Return the place on a ring where the walk starts.

        While the origin has no place for what misses, each key has one start: keys spread wide miss more.
        """
        home_index = bisect_left(points, key)
        if self.start_candidates == 1 or self._origin_limit.is_under_pressure(now):
            return home_index
        return self._candidate_start_index(points, key, home_index)

    def _candidate_start_index(self, points: list[int], key: int, home_index: int) -> int:
        """Start at one of the key's few candidates: with an idle connection first, then that reports least.

        A sparse router that asks each key's one home opens a connection for nearly each attempt, and hundreds
        of them crowd the home of a hot key before any has seen it over its bound.
        """
        owners = self._ring.owner_by_point()
        candidates: dict[Endpoint, int] = {}
        for index in range(home_index - len(points), home_index):
            candidates.setdefault(owners[points[index]], index % len(points))
            if len(candidates) >= self.start_candidates:
                break
        draw = stable_number(key ^ self._salt)  # the same ones for this key at this router
        ranks = [(index - draw) % len(candidates) for index in range(len(candidates))]
        costs = [
            (endpoint.connections <= endpoint.in_flight, endpoint.reported_load) for endpoint in candidates
        ]
        return min(zip(costs, ranks, candidates.values(), strict=True))[-1]

    # -- which endpoints may serve an operation

    def _may_serve(self, endpoint: Endpoint, operation: Operation, key: int) -> bool:
        """Whether an endpoint is there for this key at all, whatever its load."""
        if endpoint.ejected_until or endpoint in operation.tried_endpoints:
            return False
        zone = endpoint.zone_figures
        if zone.in_flight and self._ejection.is_zone_suspected(zone):
            return False
        now = operation.routed_at
        if endpoint.full_until > now or self._limits.is_full(endpoint, now):
            return False
        share = endpoint.warm_up_share
        if operation.allowed_endpoints is None:
            share = share * endpoint.label_figures.key_share
        if share < 1.0 and not self._keeps_key(endpoint, key, share):
            return False
        return retry_safety.may_be_sent_to(endpoint, operation)

    @staticmethod
    def _keeps_key(endpoint: Endpoint, key: int, share: float) -> bool:
        """Whether a key is among the share of its keys that an endpoint keeps, and has budget left for it.

        The draw is tied to the key: an endpoint warms up with the keys that it will keep. Without a
        budget the overflow of others' walks, or one hot key, would overload a cold endpoint.
        """
        has_budget = endpoint.warm_up_share >= 1.0 or endpoint.warm_up_budget >= 1.0
        return stable_fraction(key ^ endpoint.salt) < share and has_budget

    @staticmethod
    def _has_budget(endpoint: Endpoint, operation: Operation) -> bool:
        """Whether an endpoint that warms up has budget left for a key that its draw does not give it yet."""
        is_available = endpoint.warm_up_budget >= 1.0 and not endpoint.ejected_until
        is_untried = endpoint not in operation.tried_endpoints
        return is_available and is_untried and retry_safety.may_be_sent_to(endpoint, operation)

    def _stays_despite_report(self, endpoint: Endpoint, key: int, now: float) -> bool:
        """Whether this router stays at an endpoint that reports more load than the bound.

        All routers hear the same late report: past the bound by that alone, they would all leave and all come
        back. So each key of each router has a draw, and as many stay as the endpoint would bear.
        """
        if not endpoint.reported_load:
            return True
        bound = max(MIN_LOAD_BOUND, self._load.mean_report(BALANCE_FACTOR))
        reported = self._load.decayed_report(endpoint, now)
        return reported <= bound or stable_fraction(key ^ endpoint.salt ^ self._salt) < bound / reported
