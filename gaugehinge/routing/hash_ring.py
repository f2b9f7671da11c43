"""The consistent-hash ring, which assigns keys to endpoints.

Each endpoint that is up owns a number of points on the ring in proportion to its weight. A key belongs to the
owner of the next point clockwise. When an endpoint joins or is removed, only its own keys move.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from xxhash import xxh64_intdigest

from .endpoint import Endpoint
from .types import Deployment, EndpointState

POINTS_PER_ENDPOINT = 100  # at weight 1
# From this price on, attempts to other zones cost more than the additional cache hits of one pool for all
# zones are worth.
MIN_CROSS_ZONE_PRICE = 0.05


class HashRing:
    """Points on the ring and their owners, and the rings of the router's own zone and of regions.

    State: follows the endpoints that are up, with one `update` for each change of the endpoint list. Each
    `update` clears the cached rings of regions.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._zone = deployment.zone
        self._prefers_own_zone = deployment.cross_zone_price >= MIN_CROSS_ZONE_PRICE
        self.points: list[int] = []
        self.owners: dict[int, Endpoint] = {}  # by point
        self._rings: list[list[int]] = []  # in walk order: all zones, or the own zone and then all zones
        self._rings_by_region: dict[frozenset[str], list[list[int]]] = {}

    def update(self, changed: Iterable[Endpoint], is_listed: Callable[[Endpoint], bool]) -> None:
        """Update the points of endpoints that were added, changed or removed.

        Incremental: sorting all points from scratch for each list is too expensive.
        """
        removed_points: set[int] = set()
        added_points: list[int] = []
        for endpoint in changed:
            if endpoint.origin:
                continue
            points = _points_of(endpoint)
            if not is_listed(endpoint) or endpoint.state is not EndpointState.UP:
                removed_points.update(points)
                continue
            removed_points.difference_update(points)  # its previous process may have had more points
            added_points += [point for point in points if point not in self.owners]
            self.owners.update(dict.fromkeys(points, endpoint))
        for point in removed_points:
            self.owners.pop(point, None)
        if removed_points or added_points:
            self.points = sorted(
                [point for point in self.points if point not in removed_points] + added_points
            )
        self._rings = self._walk_order()
        self._rings_by_region.clear()

    def _walk_order(self) -> list[list[int]]:
        if self._prefers_own_zone:
            own_zone_points = [point for point in self.points if self.owners[point].zone == self._zone]
            if own_zone_points:
                return [own_zone_points, self.points]
        return [self.points]

    def is_empty(self) -> bool:
        """Whether no endpoint is up."""
        return not self.points

    def owner_by_point(self) -> dict[int, Endpoint]:
        """Return the owners of all points."""
        return self.owners

    def starts_in_own_zone(self) -> bool:
        """Whether walks visit the endpoints of the own zone before those of all zones."""
        return len(self._rings) > 1

    def rings(self) -> list[list[int]]:
        """Return the sorted points of each ring, in the order in which the rings are walked."""
        return self._rings

    def rings_within(self, region: frozenset[str]) -> list[list[int]]:
        """Return `rings` limited to the zones of a region; no ring if none of its endpoints is up."""
        rings = self._rings_by_region.get(region)
        if rings is None:
            parts = [[point for point in ring if self.owners[point].zone in region] for ring in self._rings]
            rings = self._rings_by_region[region] = [part for part in parts if part]
        return rings


def _points_of(endpoint: Endpoint) -> list[int]:
    count = max(int(POINTS_PER_ENDPOINT * endpoint.weight), 1)
    return [xxh64_intdigest(b"%d-%d" % (endpoint.ident, number)) for number in range(count)]
