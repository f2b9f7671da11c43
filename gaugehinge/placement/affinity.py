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
    zones: tuple[tuple[str, ...], ...]  # of each region, as the keeper's file had them

    def search_order(self) -> SearchOrder:
        """As an operation carries it."""
        told: SearchOrder = tuple(frozenset(zones) for zones in self.zones)
        return told if self.required else (*told, None)


NOWHERE = RegionAffinity(True, (), ())


def affinity_to(
    regions: Sequence[str], zones_of: Mapping[str, Sequence[str]], required: bool
) -> RegionAffinity:
    """The affinity to regions in order, with the zones that they have now."""
    return RegionAffinity(required, tuple(regions), tuple(tuple(zones_of[name]) for name in regions))
