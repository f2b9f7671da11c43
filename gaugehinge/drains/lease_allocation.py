"""Distribution of each limit over the live nodes by their demand. Performs no I/O and reads no clock.

Grants are lowered first, and others are raised only by what is then free. Each node has at most one change
pending: the next is made once the node has reported that it follows the previous one.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from math import ceil

from .connection_counts import ConnectionCounts, count_for, maximum
from .lease_types import NodeRecord, NodeReport

DEMAND_HEADROOM = 1.25  # multiple of the measured demand that a grant should cover
MIN_CHANGE = 0.25  # fraction of a grant; a smaller change is not worth a new lease number


class Pressure(IntEnum):
    """How urgent a rebalancing is."""

    NONE = 0
    DEMAND = 1  # a node needs connections that are granted to others
    OVERCOMMITTED = 2  # grants exceed what the limit leaves for them


@dataclass(slots=True, eq=False)
class LeaseAllocator:
    """A single rebalancing. Updates `records`, which holds all nodes, in place."""

    records: dict[str, NodeRecord]
    live: list[str]  # nodes that currently report and may be granted connections
    reports: Mapping[str, NodeReport]
    limits: Mapping[str, int]
    draining: frozenset[str]  # nodes whose grants are not raised
    tenant_demand: Mapping[str, float]  # connections that tenants would use at their rate limits
    reserve: float
    floors: ConnectionCounts
    unadmitted: int  # number of nodes that may still be admitted
    issuer: str
    recently_rebalanced: bool  # if so, only urgent changes are made
    targets: dict[str, ConnectionCounts] = field(default_factory=dict)

    def rebalance(self) -> bool:
        """Move grants towards the demand. Return whether any grant changed."""
        self.targets = {node: {} for node in self.live}
        pressure = Pressure.NONE
        for upstream in self.limits:
            pressure = max(pressure, self._set_targets(upstream))
        lowered = self._lower(pressure)
        raised = self._raise()
        return lowered or raised

    # -- targets

    def _set_targets(self, upstream: str) -> Pressure:
        floors = self._live_counts(lambda record: record.floors, upstream)
        demand = {node: count_for(self.reports[node].demand, upstream) for node in self.live}
        wanted = self._wanted(upstream, demand, floors)
        room = self._room_for_live(upstream)
        if room >= sum(wanted.values()):
            self._share_spare(upstream, wanted, room - sum(wanted.values()))
        else:
            self._scale_down(upstream, wanted, floors, room)
        return self._pressure(upstream, demand, floors, room)

    def _live_counts(
        self, counts_of: Callable[[NodeRecord], ConnectionCounts], upstream: str
    ) -> dict[str, int]:
        return {node: count_for(counts_of(self.records[node]), upstream) for node in self.live}

    def _room_for_live(self, upstream: str) -> int:
        """What the limit leaves for live nodes after the reserve and all other possible connections."""
        limit = self.limits[upstream]
        others = sum(r.worst_case(upstream) for node, r in self.records.items() if node not in self.targets)
        lingering = sum(self._live_counts(lambda record: record.lingering, upstream).values())
        unadmitted = self.unadmitted * count_for(self.floors, upstream)
        return limit - ceil(self.reserve * limit) - others - lingering - unadmitted

    def _wanted(self, upstream: str, demand: dict[str, int], floors: dict[str, int]) -> dict[str, int]:
        total = sum(demand.values())
        tenant_demand = self.tenant_demand.get(upstream, 0.0)
        wanted = {}
        for node in self.live:
            want = demand[node]
            if node not in self.draining:
                share = demand[node] / total if total else 1.0 / len(self.live)
                want = max(ceil(want * DEMAND_HEADROOM), ceil(tenant_demand * share))
            wanted[node] = max(want, floors[node])
        return wanted

    def _share_spare(self, upstream: str, wanted: dict[str, int], spare: int) -> None:
        recipients = sum(node not in self.draining for node in self.live)
        for node in self.live:
            extra = 0 if node in self.draining else spare // recipients
            self.targets[node][upstream] = wanted[node] + extra

    def _scale_down(self, upstream: str, wanted: dict[str, int], floors: dict[str, int], room: int) -> None:
        room_above_floors = max(room - sum(floors.values()), 0)
        wanted_above_floors = sum(wanted.values()) - sum(floors.values())
        for node in self.live:
            above_floor = wanted[node] - floors[node]
            share = room_above_floors * above_floor // wanted_above_floors if wanted_above_floors else 0
            self.targets[node][upstream] = floors[node] + share

    def _pressure(self, upstream: str, demand: dict[str, int], floors: dict[str, int], room: int) -> Pressure:
        granted = self._live_counts(lambda record: record.granted, upstream)
        if sum(granted.values()) > max(room, sum(floors.values())):
            return Pressure.OVERCOMMITTED
        starved = any(
            demand[node] > granted[node] and self.targets[node][upstream] > granted[node]
            for node in self.live
        )
        return Pressure.DEMAND if starved and sum(granted.values()) >= room else Pressure.NONE

    # -- changes

    def _is_settled(self, record: NodeRecord) -> bool:
        """Whether the node has reported that it follows its latest lease."""
        report = self.reports[record.node]
        return not record.granted or (report.number, report.issuer) == (record.number, record.issuer)

    def _lower(self, pressure: Pressure) -> bool:
        changed = False
        for node in self.live:
            record = self.records[node]
            if not self._is_settled(record):
                continue
            before = {upstream: count_for(record.granted, upstream) for upstream in self.targets[node]}
            granted = {
                upstream: min(target, before[upstream])
                if self._worth_lowering(before[upstream], target, pressure)
                else before[upstream]
                for upstream, target in self.targets[node].items()
            }
            if any(granted[upstream] < before[upstream] for upstream in granted):
                ceilings = maximum(record.ceilings, granted)
                self.records[node] = record.reissued(self.issuer, granted, ceilings)
                changed = True
        return changed

    def _worth_lowering(self, granted: int, target: int, pressure: Pressure) -> bool:
        if target >= granted:
            return False
        if pressure is Pressure.OVERCOMMITTED:
            return True
        if pressure is Pressure.NONE and self.recently_rebalanced:
            return False
        least = max(2 if pressure is Pressure.NONE else 1, ceil(MIN_CHANGE * granted))
        return granted - target >= least

    def _raise(self) -> bool:
        free = {upstream: limit - self._total_worst_case(upstream) for upstream, limit in self.limits.items()}
        changed = False
        for node in sorted(self.live, key=lambda node: (-self._shortage(node), node)):
            record = self.records[node]
            if not self._is_settled(record) or (node in self.draining and record.granted):
                continue
            granted = {
                upstream: self._raised(record, upstream, target, free[upstream])
                for upstream, target in self.targets[node].items()
            }
            unchanged = granted == {upstream: count_for(record.granted, upstream) for upstream in granted}
            if unchanged and record.granted:
                continue
            raised = record.reissued(self.issuer, granted, maximum(record.ceilings, granted))
            for upstream in self.limits:
                free[upstream] -= raised.worst_case(upstream) - record.worst_case(upstream)
            self.records[node] = raised
            changed = True
        return changed

    def _total_worst_case(self, upstream: str) -> int:
        held = sum(record.worst_case(upstream) for record in self.records.values())
        return held + self.unadmitted * count_for(self.floors, upstream)

    def _shortage(self, node: str) -> int:
        demand, granted = self.reports[node].demand, self.records[node].granted
        return max(count_for(demand, upstream) - count_for(granted, upstream) for upstream in self.limits)

    def _raised(self, record: NodeRecord, upstream: str, target: int, free: int) -> int:
        """The new grant of a node for one upstream, at least its present grant."""
        granted, floor = count_for(record.granted, upstream), count_for(record.floors, upstream)
        starved = count_for(self.reports[record.node].demand, upstream) > granted or granted < floor
        if starved:
            worthwhile = target > granted
        else:
            worthwhile = not self.recently_rebalanced and target - granted >= max(
                1, ceil(MIN_CHANGE * granted)
            )
        if not worthwhile:
            return granted
        # The reserve is kept for returning nodes: a grant may draw on it only up to the node's floor.
        reserved = ceil(self.reserve * self.limits[upstream])
        highest = _highest_grant(record, upstream, free - reserved)
        highest = max(highest, min(floor, _highest_grant(record, upstream, free)))
        return max(granted, min(target, highest))


def _highest_grant(record: NodeRecord, upstream: str, free: int) -> int:
    """The highest grant that adds at most `free` connections to the node's worst case."""
    return record.worst_case(upstream) - count_for(record.lingering, upstream) + max(free, 0)
