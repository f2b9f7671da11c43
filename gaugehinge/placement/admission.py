"""Whether a pin is taken: places, room and quotas. No I/O, no clock of its own.

A region bears what its servers bear by weight, less what the loss of its heaviest zone or server takes: what
is pinned there must go on being served by the rest. A region of one zone loses only a server; that its zone
goes is what the tenant chose.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Server:
    """A cache server as routers tell of it."""

    uid: str
    zone: str
    weight: float  # beside the others; 0: none is told, it counts as 1
    started_at: float  # as discovery says; a server started anew has another one
    accepts_new: bool  # takes something new


class AdmissionError(Exception):
    """A pin that is not taken: the field, why, and what would be."""

    def __init__(self, status: int, what: str, detail: str, field: str) -> None:
        super().__init__(detail)
        self.status, self.what, self.detail, self.field = status, what, detail, field


@dataclass(slots=True, frozen=True)
class RegionCapacity:
    """What pins are checked against."""

    regions: Mapping[str, Sequence[str]]  # name to zones
    servers: Sequence[Server]
    rate_per_weight: float  # operations a second that a server of weight 1 bears
    reserved: Mapping[str, float]  # operations a second, by region, without the shard that is asked for
    servers_known: bool = True  # whether any router has told of its list since the keeper's start

    def capacity(self, region: str) -> float:
        """Operations a second that a region bears with its heaviest zone or server lost."""
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
        """Operations a second that may still be pinned there."""
        return max(self.capacity(region) - self.reserved.get(region, 0.0), 0.0)

    def has_servers(self, region: str) -> bool:
        """Whether a server stands there."""
        return any(server.accepts_new and server.zone in self.regions[region] for server in self.servers)

    def check(self, regions: Sequence[str], allowance: float, already_reserved: float = 0.0) -> None:
        """A pin to regions in order; its load counts at the first one. `already_reserved`: operations a
        second for which this shard counts there already. Raises AdmissionError."""
        for place, name in enumerate(regions):
            if name not in self.regions:
                detail = f"{name!r} is none; accepted: {', '.join(sorted(self.regions))}"
                raise AdmissionError(422, "unknown region", detail, f"regions[{place}]")
            if name in regions[:place]:
                raise AdmissionError(422, "invalid", f"{name!r} is named twice", f"regions[{place}]")
        if not self.servers_known:
            # Not that there is no server: a caller who is told that would give up.
            detail = "no router has told of its servers since the keeper's start; ask again in a moment"
            raise AdmissionError(503, "servers not known yet", detail, "regions")
        for place, name in enumerate(regions):
            if not self.has_servers(name):
                others = ", ".join(each for each in sorted(self.regions) if self.has_servers(each)) or "none"
                detail = f"no server stands in {name!r}; accepted: {others}"
                raise AdmissionError(409, "no server there", detail, f"regions[{place}]")
        first = regions[0]
        room = self.available(first)
        # Where servers were lost behind a pin, no room is left: its own tenant may still take less of it, or
        # change its other terms.
        if allowance > max(room, already_reserved) + 1e-9:
            others = [
                each for each in sorted(self.regions) if each != first and self.available(each) >= allowance
            ]
            told = ", ".join(others) or "no other region"
            detail = (
                f"{first!r} bears {self.capacity(first):.1f} operations a second with a zone or server lost, "
                f"{self.reserved.get(first, 0.0):.1f} are pinned there; "
                f"accepted: an allowance up to {max(room, already_reserved):.1f}, or first in {told}"
            )
            raise AdmissionError(409, "region full", detail, "regions[0]")
