"""The regions that the keys of a shard are pinned to. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

MAX_REGIONS = 8  # that one pin names, in order

Zones = frozenset[str]
SearchOrder = tuple[Zones | None, ...]  # zones to try in order, as `Operation.regions`; None: any zone
ANYWHERE: SearchOrder = (None,)


class RegionAffinity(msgspec.Struct, frozen=True, rename={"required": "only"}):
    """Where the keys of a shard go."""

    required: bool  # rejected rather than served elsewhere
    regions: tuple[str, ...]  # in order
    zones: tuple[tuple[str, ...], ...]  # of each region, as the control plane's file had them

    def all_zones(self) -> Zones:
        """The zones of all its regions."""
        return frozenset(zone for region in self.zones for zone in region)

    def search_order(self) -> SearchOrder:
        """The zones to try, as an operation carries them."""
        regions = tuple(frozenset(zones) for zones in self.zones)
        return regions if self.required else (*regions, None)


NOWHERE = RegionAffinity(True, (), ())


def affinity_to(
    regions: Sequence[str], zones_of: Mapping[str, Sequence[str]], required: bool
) -> RegionAffinity:
    """The affinity to regions in order, with the zones that they have now."""
    return RegionAffinity(required, tuple(regions), tuple(tuple(zones_of[name]) for name in regions))
