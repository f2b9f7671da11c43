"""Which shard of its tenant a key belongs to, and where it may be served. No I/O, no clock.

A shard is a set of prefixes of its tenant's keys; of several that fit a key the longest wins. The empty
prefix is the default shard, the rest. Looked up by the lengths that a tenant's prefixes have: a look takes as
many steps as there are lengths (65 at most), however many shards stand.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta

from .affinity import ANYWHERE, RegionAffinity, SearchOrder

MAX_PREFIXES = 16  # of one shard
MAX_PREFIX_LENGTH = 64  # bytes of a prefix
DEFAULT_SHARD = "default"  # the shard whose only prefix is empty

Prefix = Annotated[
    str, Meta(pattern=f"^[!-~]{{1,{MAX_PREFIX_LENGTH}}}$", description="what its keys begin with")
]


class ShardAssignment(
    msgspec.Struct,
    frozen=True,
    rename={"affinity": "terms", "retries_blocked": "held", "revision": "rev"},
):
    """One shard as routers are told of it."""

    incarnation: int
    shard: str
    prefixes: tuple[str, ...]
    affinity: RegionAffinity | None  # None: as its keys would go without it
    retries_blocked: bool  # repeats of deduplicated writes get a final answer
    revision: int  # of the store, at which this was decided

    @property
    def key(self) -> tuple[int, str]:
        """Its key in tables."""
        return self.incarnation, self.shard


@dataclass(slots=True, frozen=True)
class KeyPlacement:
    """What a key's shard means for an operation."""

    shard: str
    required: bool
    regions: SearchOrder  # as `Operation.regions`
    retries_blocked: bool

    def allows(self, zone: str) -> bool:
        """Whether a server of this zone may be sent one of its keys."""
        return any(region is None or zone in region for region in self.regions)


@dataclass(slots=True)
class PrefixRules:
    """One incarnation's prefixes."""

    pins: dict[bytes, KeyPlacement]
    lengths: tuple[int, ...]  # longest first

    def find(self, key: bytes) -> KeyPlacement | None:
        """Of a key without its tenant's space."""
        for length in self.lengths:
            pin = self.pins.get(key[:length])
            if pin is not None:
                return pin
        return None


def build_prefix_rules(rows: Iterable[ShardAssignment]) -> PrefixRules:
    """The rules of one incarnation. A shard with no terms of its own goes as the next shorter prefix does."""
    told = sorted((prefix.encode(), row) for row in rows for prefix in row.prefixes or ("",))
    pins: dict[bytes, KeyPlacement] = {}
    walks: dict[RegionAffinity, SearchOrder] = {}
    for prefix, row in sorted(told, key=lambda each: len(each[0])):
        if row.affinity is None:
            above = PrefixRules(pins, _lengths(pins)).find(prefix)
            only, search_order = (above.required, above.regions) if above else (False, ANYWHERE)
            held = row.retries_blocked or bool(above and above.retries_blocked)
        else:
            only, held = row.affinity.required, row.retries_blocked
            search_order = walks.setdefault(row.affinity, row.affinity.search_order())
        pins[prefix] = KeyPlacement(row.shard, only, search_order, held)
    return PrefixRules(pins, _lengths(pins))


def _lengths(pins: dict[bytes, KeyPlacement]) -> tuple[int, ...]:
    return tuple(sorted({len(prefix) for prefix in pins}, reverse=True))


@dataclass(slots=True)
class ShardTable:
    """All shards that a router was told of. As long as the keeper's list of them."""

    rows: dict[tuple[int, str], ShardAssignment] = field(default_factory=dict)
    by_tenant: dict[bytes, PrefixRules] = field(default_factory=dict)  # by the head of their keys

    def find(self, key: bytes) -> KeyPlacement | None:
        """The pin of a key as servers see it, None where it has none."""
        head, _, own = key.partition(b"/")
        told = self.by_tenant.get(head)
        return told.find(own) if told is not None else None

    def change(
        self, rows: Iterable[ShardAssignment], gone: Iterable[tuple[int, str]], whole: bool = False
    ) -> None:
        """Take over what changed, or the whole."""
        touched = {incarnation for incarnation, _ in self.rows} if whole else set()
        if whole:
            self.rows = {}
        for ident in gone:
            if self.rows.pop(ident, None) is not None:
                touched.add(ident[0])
        for row in rows:
            self.rows[row.key] = row
            touched.add(row.incarnation)
        mine: dict[int, list[ShardAssignment]] = {incarnation: [] for incarnation in touched}
        for row in self.rows.values():
            if row.incarnation in mine:
                mine[row.incarnation].append(row)
        for incarnation, theirs in mine.items():
            if theirs:
                self.by_tenant[b"%x" % incarnation] = build_prefix_rules(theirs)
            else:
                self.by_tenant.pop(b"%x" % incarnation, None)
