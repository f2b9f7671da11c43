"""The endpoints of the endpoint list, the subset that is ready, and totals over the ready ones."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

from xxhash import xxh64_intdigest

from .decayed_statistics import DecayedLatency, EventRate, group_latency
from .endpoint import Endpoint, ZoneFigures
from .slow_start import SlowStart
from .types import Deployment, EndpointEntry, EndpointState

# A listed weight relative to the median weight is limited to this, and to its reciprocal from below.
MAX_RELATIVE_WEIGHT = 8.0
# The effective weight divides the total load: the mean load stays defined when every server is cold.
MIN_EFFECTIVE_WEIGHT = 0.01


class EndpointTable:
    """Endpoints by `ident`, the origin, zones and labels.

    State: follows the endpoint list. An endpoint is removed when the list reports it as gone, or when a full
    list does not contain it. It is replaced by one without statistics when its server restarted. Zones and
    labels are never removed: there are as many as all lists so far have named. The ready endpoints (up and
    not ejected) and the totals over them are recomputed by `refresh_ready`.
    """

    def __init__(self, deployment: Deployment, slow_start: SlowStart, now: float) -> None:
        self._deployment = deployment
        self._slow_start = slow_start
        self.endpoints: dict[int, Endpoint] = {}
        self.origin: Endpoint | None = None
        self.zones: dict[str, ZoneFigures] = {}
        self.own_zone = ZoneFigures(group_latency(now))
        self.labels: dict[str, DecayedLatency] = {}
        # Of the first list with weights, 0 before: only the ratios of listed weights mean something.
        self._median_weight = 0.0
        self._changed: list[Endpoint] = []  # since the last `take_changed`
        self.ready: list[Endpoint] = []
        self._ready_by_region: dict[frozenset[str], list[Endpoint]] = {}  # cache, cleared by `refresh_ready`
        self.total_load = 0.0  # of the ready endpoints, by weight
        self._ready_weight = 1.0  # the sum of the weights of the ready endpoints
        self.effective_weight = 1.0  # the same sum, each weight times its warm-up share

    # -- the endpoint list

    def apply(self, entries: Sequence[EndpointEntry], whole: bool, now: float) -> None:
        """Apply a full endpoint list, or changes to it."""
        if self._deployment.has_endpoint_weights and not self._median_weight:
            weights = sorted(entry.weight for entry in entries if entry.weight > 0.0)
            self._median_weight = weights[len(weights) // 2] if weights else 0.0
        for entry in entries:
            self._apply_entry(entry, now)
        if whole:
            self._remove_unlisted({entry.ident for entry in entries})

    def take_changed(self) -> list[Endpoint]:
        """Return the endpoints that were added, changed or removed since the last call."""
        changed, self._changed = self._changed, []
        return changed

    def _apply_entry(self, entry: EndpointEntry, now: float) -> None:
        known = self._find(entry)
        if entry.state is EndpointState.GONE:
            if known is not None:
                self._remove(known)
            return
        if known is not None and entry.started <= known.started:
            # A late entry for the previous server process must not undo a drain of the current one.
            is_stale = entry.started < known.started and entry.state is EndpointState.UP
            if is_stale or entry.state is known.state:
                return
        if known is None or entry.started > known.started:
            if known is not None:
                self._remove(known)
            known = self._add(entry, now)
        known.state = entry.state
        self._changed.append(known)

    def _find(self, entry: EndpointEntry) -> Endpoint | None:
        if self._is_origin(entry) and self.origin is not None and self.origin.ident == entry.ident:
            return self.origin
        return self.endpoints.get(entry.ident)

    def _is_origin(self, entry: EndpointEntry) -> bool:
        return entry.kind == self._deployment.origin_kind

    def _add(self, entry: EndpointEntry, now: float) -> Endpoint:
        is_origin = self._is_origin(entry)
        added = Endpoint(
            ident=entry.ident,
            zone=entry.zone,
            zone_figures=self._zone_figures(entry, is_origin, now),
            cell=entry.cell,
            started=entry.started,
            state=entry.state,
            origin=is_origin,
            label_figures=self.labels.setdefault(entry.kind, group_latency(now)),
            latency=DecayedLatency(now),
            completion_rate=EventRate(now),
            last_answer_at=now,
            silent_since=now,
            salt=xxh64_intdigest(b"fade-%d" % entry.ident),
        )
        if self._median_weight and entry.weight > 0.0:
            relative = max(entry.weight / self._median_weight, 1 / MAX_RELATIVE_WEIGHT)
            added.weight = min(relative, MAX_RELATIVE_WEIGHT)
        self._slow_start.begin(added, now)
        if is_origin:
            self.origin = added
        else:
            self.endpoints[entry.ident] = added
        return added

    def _zone_figures(self, entry: EndpointEntry, is_origin: bool, now: float) -> ZoneFigures:
        is_own = entry.zone == self._deployment.zone
        figures = self.own_zone if is_own else ZoneFigures(group_latency(now))
        return figures if is_origin else self.zones.setdefault(entry.zone, figures)

    def _remove_unlisted(self, listed: set[int]) -> None:
        for ident in [ident for ident in self.endpoints if ident not in listed]:
            self._remove(self.endpoints[ident])
        if self.origin is not None and self.origin.ident not in listed:
            self._remove(self.origin)

    def _remove(self, endpoint: Endpoint) -> None:
        endpoint.state = EndpointState.GONE
        if endpoint is self.origin:
            self.origin = None
        elif self.is_listed(endpoint):
            del self.endpoints[endpoint.ident]
            self._changed.append(endpoint)

    # -- queries

    def get(self, ident: int) -> Endpoint | None:
        """Return the endpoint with this `ident`, or None if it is not listed."""
        return self.endpoints.get(ident)

    def count(self) -> int:
        """Return the number of listed endpoints, not counting the origin."""
        return len(self.endpoints)

    def is_listed(self, endpoint: Endpoint) -> bool:
        """Whether the list still contains this endpoint and its server has not restarted."""
        return self.endpoints.get(endpoint.ident) is endpoint

    def available_origin(self) -> Endpoint | None:
        """Return the origin if it is up, otherwise None."""
        if self.origin is None or self.origin.state is not EndpointState.UP:
            return None
        return self.origin

    def has_several_zones(self) -> bool:
        """Whether endpoints of more than one zone have been listed so far."""
        return len(self.zones) > 1

    def own_zone_figures(self) -> ZoneFigures:
        """Return the statistics of this router's zone."""
        return self.own_zone

    def other_zones(self) -> list[ZoneFigures]:
        """Return the statistics of all other zones that have been listed so far."""
        return [zone for zone in self.zones.values() if zone is not self.own_zone]

    def label_latencies(self) -> Collection[DecayedLatency]:
        """Return the mean latencies of all labels that have been listed so far."""
        return self.labels.values()

    def has_weights(self) -> bool:
        """Whether the list has given weights, and the deployment uses them."""
        return bool(self._median_weight)

    def ejected(self) -> list[Endpoint]:
        """Return the listed endpoints that are ejected."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint.ejected_until]

    # -- the ready endpoints

    def refresh_ready(self) -> None:
        """Recompute the ready endpoints and their totals.

        Called after a change of the list, an ejection or a readmission.
        """
        self._ready_by_region.clear()
        self.ready = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.state is EndpointState.UP and not endpoint.ejected_until
        ]
        self._slow_start.set_ready(self.ready)
        self.total_load = sum(endpoint.load * endpoint.weight for endpoint in self.ready)
        self._ready_weight = sum(endpoint.weight for endpoint in self.ready)
        self._set_effective_weight(sum(endpoint.warm_up_share * endpoint.weight for endpoint in self.ready))

    def advance_slow_start(self, fleet_rate: float, now: float, span: float) -> None:
        """Advance the warm-up of the ready endpoints and recompute their effective weight."""
        if self._slow_start.is_active():
            self._set_effective_weight(self._slow_start.advance(fleet_rate, self._ready_weight, now, span))

    def _set_effective_weight(self, weight: float) -> None:
        self.effective_weight = max(weight, MIN_EFFECTIVE_WEIGHT)

    def set_load(self, endpoint: Endpoint, load: float) -> None:
        """Set the load of an endpoint and adjust the total load."""
        if endpoint.state is EndpointState.UP and not endpoint.ejected_until:
            self.total_load += (load - endpoint.load) * endpoint.weight
        endpoint.load = load

    def recount_load(self, loaded: Iterable[Endpoint]) -> None:
        """Recompute the total load from the endpoints that have any load."""
        self.total_load = sum(
            endpoint.load * endpoint.weight
            for endpoint in loaded
            if endpoint.state is EndpointState.UP and not endpoint.ejected_until
        )

    def mean_load(self, factor: float, region: frozenset[str] | None = None) -> float:
        """Return `factor` times the weighted mean load of the ready endpoints, or of those in `region`."""
        if region is None:
            return factor * self.total_load / self.effective_weight
        ready = self._ready_in(region)
        weight = sum([endpoint.warm_up_share * endpoint.weight for endpoint in ready])
        total = sum([endpoint.load * endpoint.weight for endpoint in ready])
        return factor * total / max(weight, MIN_EFFECTIVE_WEIGHT)

    def _ready_in(self, region: frozenset[str]) -> list[Endpoint]:
        ready = self._ready_by_region.get(region)
        if ready is None:
            ready = [endpoint for endpoint in self.ready if endpoint.zone in region]
            self._ready_by_region[region] = ready
        return ready
