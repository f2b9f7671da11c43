"""Endpoint selection: consistent hashing with bounded loads.

A walk goes clockwise round the hash ring from the key's position. The key goes to the first endpoint that may
serve it and whose load is within a bound, a factor times the mean load. docs/design.md lists the differences
from the published algorithm.
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

BALANCE_FACTOR = 1.25  # load bound, as a multiple of the mean load of the ready endpoints
# A bound below two attempts in flight would scatter the keys of a router with little traffic.
MIN_LOAD_BOUND = 2.0
MAX_HOPS = 10  # eligible endpoints skipped for their load before the least loaded of them is selected
# Endpoints visited in total, including those that may not serve the key, so that a walk does not search an
# entire fleet that is full.
MAX_VISITED = 12
# Where a new connection has a price, the walk for a key starts at one of this many endpoints.
START_CANDIDATES = 4


class EndpointSelection:
    """Selects the endpoint for an operation's next attempt.

    State: the number of the last walk, which only grows. Each endpoint stores the number of the last walk
    that visited it, so that a walk visits no endpoint twice.
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
        """Select in the first of the operation's regions that has an endpoint for it, or return `None`."""
        for region in operation.regions:
            endpoint = self._select_in_region(operation, now, region)
            if endpoint is not None:
                return endpoint
            # An operation over its quota goes to its home endpoint only, which is in the first region that
            # has any endpoint.
            if operation.over_quota and region and self._ring.rings_within(region):
                return None
        return None

    def _select_in_region(
        self, operation: Operation, now: float, region: frozenset[str] | None
    ) -> Endpoint | None:
        """Select on the whole ring, or on the part of it in a region."""
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
        """Walk clockwise from the key's position to the first endpoint whose load is within the bound.

        Without one, the least loaded endpoint visited is selected, or else an endpoint in slow start that has
        budget left.
        """
        now = operation.routed_at
        owners, limits = self._ring.owner_by_point(), self._limits
        max_visited = min(self._table.count(), MAX_VISITED)
        self._walk_number = walk = self._walk_number + 1
        visited = hops = 0
        least_loaded = cold = None
        if len(rings) > 1 and stable_fraction(key) >= self._table.own_zone_figures().key_share:
            rings = rings[1:]  # a slow own zone gives up a stable subset of its keys
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
        return least_loaded or cold

    def _select_among(self, operation: Operation, key: int, bound: float) -> Endpoint | None:
        """Select among the endpoints that the servers name for a key: the owner, then its replicas.

        An endpoint over the bound is skipped while another one is within it.
        """
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
        """Return the index on a ring where the walk starts.

        While the origin has no capacity for cache misses, all walks for a key start at its home: keys spread
        over more endpoints miss more often.
        """
        home_index = bisect_left(points, key)
        if self.start_candidates == 1 or self._origin_limit.is_under_pressure(now):
            return home_index
        return self._candidate_start_index(points, key, home_index)

    def _candidate_start_index(self, points: list[int], key: int, home_index: int) -> int:
        """Return the index of the best of the key's candidates.

        A candidate with an idle connection comes first, then the one with the lowest reported load.
        A router with little traffic that always started at a key's home would open a connection for almost
        every attempt. Hundreds of such routers overload the home of a hot key before any of them sees it over
        the bound.
        """
        owners = self._ring.owner_by_point()
        candidates: dict[Endpoint, int] = {}
        for index in range(home_index - len(points), home_index):
            candidates.setdefault(owners[points[index]], index % len(points))
            if len(candidates) >= self.start_candidates:
                break
        draw = stable_number(key ^ self._salt)  # stable for this key at this router
        ranks = [(index - draw) % len(candidates) for index in range(len(candidates))]
        costs = [
            (endpoint.connections <= endpoint.in_flight, endpoint.reported_load) for endpoint in candidates
        ]
        return min(zip(costs, ranks, candidates.values(), strict=True))[-1]

    # -- which endpoints may serve an operation

    def _may_serve(self, endpoint: Endpoint, operation: Operation, key: int) -> bool:
        """Return whether an endpoint may serve the key, regardless of its load relative to the bound."""
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
        """Return whether a key is in the share that an endpoint keeps, and the endpoint has budget for it.

        The draw depends on the key, so that an endpoint warms up with the keys that it will keep. Without a
        budget, walks that overflow from other endpoints, or one hot key, would overload a cold endpoint.
        """
        has_budget = endpoint.warm_up_share >= 1.0 or endpoint.warm_up_budget >= 1.0
        return stable_fraction(key ^ endpoint.salt) < share and has_budget

    @staticmethod
    def _has_budget(endpoint: Endpoint, operation: Operation) -> bool:
        """Return whether an endpoint in slow start has budget for a key outside its current share."""
        is_available = endpoint.warm_up_budget >= 1.0 and not endpoint.ejected_until
        is_untried = endpoint not in operation.tried_endpoints
        return is_available and is_untried and retry_safety.may_be_sent_to(endpoint, operation)

    def _stays_despite_report(self, endpoint: Endpoint, key: int, now: float) -> bool:
        """Return whether this router uses an endpoint although it may report more load than the bound.

        All routers act on the same delayed report. If the report alone decided, they would all leave the
        endpoint and all return together. So each key has a stable draw at each router, and the fraction that
        stays is the bound over the reported load, which is what the endpoint can take.
        """
        if not endpoint.reported_load:
            return True
        bound = max(MIN_LOAD_BOUND, self._load.mean_report(BALANCE_FACTOR))
        reported = self._load.decayed_report(endpoint, now)
        return reported <= bound or stable_fraction(key ^ endpoint.salt ^ self._salt) < bound / reported
