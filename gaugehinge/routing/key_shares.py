"""Which share of their keys slow endpoints keep: those of a slow label, and those of the own zone.

A sparse router sees few of its attempts at each endpoint. When all endpoints of a slow label are overrun, it
has seen few of them; so the label's endpoints give up keys, always the same ones, before each was seen.
"""

from __future__ import annotations

from .endpoint_table import EndpointTable
from .hash_ring import HashRing
from .load_measurement import LoadMeasurement

MIN_KEY_SHARE = 0.2  # a slow label or zone keeps this share, or could never show that it recovered
LABEL_SHARE_EXPONENT = 2  # of the quickest label's latency over its own: few attempts' means draw it near one
WEIGHTED_LABEL_SHARE_EXPONENT = 1  # where weights are listed: they hold part of the slowness already
ZONE_SHARE_EXPONENT = 3  # of the quickest other zone's latency over the own zone's


class KeyShares:
    """Sets the key shares of labels and of the own zone, once each control interval.

    State: none but these shares, which stand with the labels' and the zone's figures.
    """

    def __init__(self, table: EndpointTable, ring: HashRing, load: LoadMeasurement) -> None:
        self._table = table
        self._ring = ring
        self._load = load

    def update(self) -> None:
        """Set the shares by the latencies measured so far."""
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
