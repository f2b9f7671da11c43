"""The regions that the keys of a shard are pinned to. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

MAX_REGIONS = 8  # per pin, in order of preference

Zones = frozenset[str]
SearchOrder = tuple[Zones | None, ...]  # zones to try in order, as in `Operation.regions`; None: any zone
ANYWHERE: SearchOrder = (None,)


class RegionAffinity(msgspec.Struct, frozen=True, rename={"required": "only"}):
    """The regions and zones that may serve the keys of a shard."""

    required: bool  # operations are rejected rather than served in other regions
    regions: tuple[str, ...]  # in order of preference
    zones: tuple[tuple[str, ...], ...]  # of each region, by the control plane's settings at the time

    def all_zones(self) -> Zones:
        """Return the zones of all regions."""
        return frozenset(zone for region in self.zones for zone in region)

    def search_order(self) -> SearchOrder:
        """Return the zones to try, in the form that `Operation.regions` has."""
        regions = tuple(frozenset(zones) for zones in self.zones)
        return regions if self.required else (*regions, None)


NOWHERE = RegionAffinity(True, (), ())


def affinity_to(
    regions: Sequence[str], zones_of: Mapping[str, Sequence[str]], required: bool
) -> RegionAffinity:
    """Return the affinity to regions in order of preference, with their zones by `zones_of`."""
    return RegionAffinity(required, tuple(regions), tuple(tuple(zones_of[name]) for name in regions))
