"""Admission control for pins, by their regions' servers and capacity. No I/O, no clock of its own.

The capacity of a region is what its servers can take by weight, minus the share of its heaviest zone or
server: the remaining servers must be able to serve everything that is pinned there if that one fails. For a
region with a single zone only the loss of a server is provided for: the tenant that chose the region accepted
that its only zone may fail.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .messages import ReportedServer

RATE_TOLERANCE = 1e-9  # operations per second; rounding error allowed in a sum of rates


class AdmissionError(Exception):
    """A change that is not admitted. The detail says what would be accepted."""

    def __init__(self, status: int, what: str, detail: str, field: str) -> None:
        """`status`, `what` and `field` are those of the API's error response; `detail` is the reason."""
        super().__init__(detail)
        self.status = status
        self.what = what
        self.detail = detail
        self.field = field


@dataclass(slots=True, frozen=True)
class RegionCapacity:
    """The capacity that pins are checked against. Rates are in operations per second."""

    regions: Mapping[str, Sequence[str]]  # zones by name of the region
    servers: Sequence[ReportedServer]
    rate_per_weight: float  # rate that a server of weight 1 can take
    reserved: Mapping[str, float]  # rate by region, without that of the shard being checked
    servers_known: bool = True  # whether any router has reported its servers since the control plane started

    def capacity(self, region: str) -> float:
        """Return the rate that a region can take if its heaviest zone or server is lost."""
        weights: dict[str, list[float]] = defaultdict(list)
        for server in self.servers:
            if server.accepts_new and server.zone in self.regions[region]:
                weights[server.zone].append(server.weight or 1.0)
        if not weights:
            return 0.0
        lost = max(max(zone) for zone in weights.values())
        if len(weights) > 1:
            lost = max(lost, *(sum(zone) for zone in weights.values()))
        return self.rate_per_weight * (sum(sum(zone) for zone in weights.values()) - lost)

    def available(self, region: str) -> float:
        """Return the rate that may still be pinned to a region."""
        return max(self.capacity(region) - self.reserved.get(region, 0.0), 0.0)

    def has_servers(self, region: str) -> bool:
        """Whether any server of a region accepts new keys."""
        return any(server.accepts_new and server.zone in self.regions[region] for server in self.servers)

    def check(self, regions: Sequence[str], rate: float, already_reserved: float = 0.0) -> None:
        """Check a pin to regions in order of preference; its rate is reserved at the first one.

        `already_reserved`: the rate that this shard has reserved there already. Raises AdmissionError if the
        pin is not admitted.
        """
        self._check_names(regions)
        self._check_servers(regions)
        # If servers were lost after a shard was pinned, nothing may be available. Its tenant may still lower
        # the rate of the pin or change its other settings.
        limit = max(self.available(regions[0]), already_reserved)
        if rate > limit + RATE_TOLERANCE:
            raise AdmissionError(
                409, "region full", self._capacity_detail(regions[0], rate, limit), "regions[0]"
            )

    def _check_names(self, regions: Sequence[str]) -> None:
        for position, name in enumerate(regions):
            field = f"regions[{position}]"
            if name not in self.regions:
                detail = f"{name!r} is none; accepted: {', '.join(sorted(self.regions))}"
                raise AdmissionError(422, "unknown region", detail, field)
            if name in regions[:position]:
                raise AdmissionError(422, "invalid", f"{name!r} is named twice", field)

    def _check_servers(self, regions: Sequence[str]) -> None:
        if not self.servers_known:
            # Not reported as a region without servers: the caller would give up instead of retrying.
            detail = "no router has told of its servers since the keeper's start; ask again in a moment"
            raise AdmissionError(503, "servers not known yet", detail, "regions")
        for position, name in enumerate(regions):
            if not self.has_servers(name):
                accepted = [other for other in sorted(self.regions) if self.has_servers(other)]
                detail = f"no server stands in {name!r}; accepted: {', '.join(accepted) or 'none'}"
                raise AdmissionError(409, "no server there", detail, f"regions[{position}]")

    def _capacity_detail(self, region: str, rate: float, limit: float) -> str:
        others = [
            other for other in sorted(self.regions) if other != region and self.available(other) >= rate
        ]
        return (
            f"{region!r} bears {self.capacity(region):.1f} operations a second with a zone or server lost, "
            f"{self.reserved.get(region, 0.0):.1f} are pinned there; "
            f"accepted: an allowance up to {limit:.1f}, or first in {', '.join(others) or 'no other region'}"
        )
