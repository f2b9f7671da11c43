"""Key shares: the share of their keys that endpoints of a slow label, and those of the own zone, keep.

A router with little traffic makes few attempts at each endpoint. By the time all endpoints of a slow label
are overloaded, it has measured few of them. So all endpoints of such a label give up keys, always the same
ones, before each of them was measured.
"""

from __future__ import annotations

from .endpoint_table import EndpointTable
from .hash_ring import HashRing
from .load_measurement import LoadMeasurement

MIN_KEY_SHARE = 0.2  # a slow label or zone keeps this share: without attempts it could not show a recovery
# Of the ratio of the fastest label's latency to the label's own. Means of few attempts pull the ratio towards
# one, which the square makes up for.
LABEL_SHARE_EXPONENT = 2
WEIGHTED_LABEL_SHARE_EXPONENT = 1  # the same with listed weights, which account for part of the slowness
ZONE_SHARE_EXPONENT = 3  # of the ratio of the fastest other zone's latency to that of the own zone


class KeyShares:
    """Sets the key shares of labels and of the own zone once per control interval.

    State: none of its own; the shares are kept with the statistics of the labels and of the zone.
    """

    def __init__(self, table: EndpointTable, ring: HashRing, load: LoadMeasurement) -> None:
        self._table = table
        self._ring = ring
        self._load = load

    def update(self) -> None:
        """Set the shares from the latencies measured so far."""
        mean = self._load.mean_latency()
        self._update_labels(mean)
        if self._ring.starts_in_own_zone():
            self._update_own_zone(mean)

    def _update_labels(self, mean: float) -> None:
        labels = self._table.label_latencies()
        fastest = min((label.with_prior(mean) for label in labels if label.count), default=mean)
        has_weights = self._table.has_weights()
        exponent = WEIGHTED_LABEL_SHARE_EXPONENT if has_weights else LABEL_SHARE_EXPONENT
        for label in labels:
            label.key_share = max((fastest / label.with_prior(mean)) ** exponent, MIN_KEY_SHARE)

    def _update_own_zone(self, mean: float) -> None:
        own_zone = self._table.own_zone_figures()
        others = [zone.latency.with_prior(mean) for zone in self._table.other_zones()]
        ratio = min(others, default=mean) / own_zone.latency.with_prior(mean)
        own_zone.key_share = max(min(ratio**ZONE_SHARE_EXPONENT, 1.0), MIN_KEY_SHARE)
