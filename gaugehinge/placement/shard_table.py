"""Maps a key to the shard of its tenant that it belongs to, and so to its placement. No I/O, no clock.

A shard is a set of prefixes of its tenant's keys; the longest prefix that matches a key wins. The empty
prefix is that of the default shard, which has all remaining keys. A lookup takes one step for each distinct
length of the tenant's prefixes (65 at most), regardless of the number of shards.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from .affinity import ANYWHERE, RegionAffinity, SearchOrder

MAX_PREFIXES = 16  # per shard
MAX_PREFIX_LENGTH = 64  # bytes
DEFAULT_SHARD = "default"  # the shard whose only prefix is empty

Prefix = Annotated[
    str, Meta(pattern=f"^[!-~]{{1,{MAX_PREFIX_LENGTH}}}$", description="what its keys begin with")
]


class ShardKey(NamedTuple):
    """Identifies a shard in tables. Encoded as an array."""

    incarnation: int
    shard: str


class ShardAssignment(
    msgspec.Struct,
    frozen=True,
    rename={"affinity": "terms", "retries_blocked": "held", "revision": "rev"},
):
    """The placement of one shard, as routers are told of it."""

    incarnation: int
    shard: str
    prefixes: tuple[str, ...]
    affinity: RegionAffinity | None  # None: its keys are placed as if the shard did not exist
    retries_blocked: bool  # retries of writes with an idempotency key get a final answer
    revision: int  # of the store when this was decided

    @property
    def key(self) -> ShardKey:
        """The shard's key in tables."""
        return ShardKey(self.incarnation, self.shard)


@dataclass(slots=True, frozen=True)
class KeyPlacement:
    """The placement of a key, as it applies to an operation."""

    shard: str
    required: bool
    regions: SearchOrder
    retries_blocked: bool


class PrefixConflict(NamedTuple):
    """A prefix that two shards of one tenant claim."""

    incarnation: int
    prefix: str
    shard: str  # the shard that gets the prefix
    ignored_shard: str  # the shard whose claim is ignored


@dataclass(slots=True)
class PrefixRules:
    """The prefixes of one incarnation of a tenant."""

    placements: dict[bytes, KeyPlacement]
    lengths: tuple[int, ...]  # longest first
    conflicts: tuple[PrefixConflict, ...] = ()

    @classmethod
    def of(
        cls, placements: dict[bytes, KeyPlacement], conflicts: Iterable[PrefixConflict] = ()
    ) -> PrefixRules:
        """Build the rules from placements by prefix."""
        lengths = sorted({len(prefix) for prefix in placements}, reverse=True)
        return cls(placements, tuple(lengths), tuple(conflicts))

    def find(self, key: bytes) -> KeyPlacement | None:
        """Return the placement of a key without its tenant's key space; None if no prefix matches."""
        for length in self.lengths:
            placement = self.placements.get(key[:length])
            if placement is not None:
                return placement
        return None


def build_prefix_rules(assignments: Iterable[ShardAssignment]) -> PrefixRules:
    """Build the rules of one incarnation.

    A shard without an affinity is placed like the next shorter matching prefix. A prefix that two shards
    claim belongs to the one with the earlier revision: the later claim is taken as the mistake, and only that
    claim is ignored.
    """
    by_prefix = [
        (prefix.encode(), assignment) for assignment in assignments for prefix in assignment.prefixes or ("",)
    ]
    owners: dict[bytes, str] = {}
    conflicts: list[PrefixConflict] = []
    placements: dict[bytes, KeyPlacement] = {}
    search_orders: dict[RegionAffinity, SearchOrder] = {}  # shared by placements with the same affinity
    for prefix, assignment in sorted(by_prefix, key=_shorter_and_earlier_first):
        owner = owners.setdefault(prefix, assignment.shard)
        if owner != assignment.shard:
            incarnation, shard = assignment.key
            conflicts.append(PrefixConflict(incarnation, prefix.decode(), owner, shard))
            continue
        affinity = assignment.affinity
        if affinity is None:
            shorter = PrefixRules.of(placements).find(prefix)
            placements[prefix] = _inherited(assignment, shorter)
            continue
        order = search_orders.setdefault(affinity, affinity.search_order())
        placements[prefix] = KeyPlacement(
            assignment.shard, affinity.required, order, assignment.retries_blocked
        )
    return PrefixRules.of(placements, conflicts)


def _shorter_and_earlier_first(entry: tuple[bytes, ShardAssignment]) -> tuple[int, bytes, int, str]:
    prefix, assignment = entry
    return len(prefix), prefix, assignment.revision, assignment.shard


def _inherited(assignment: ShardAssignment, shorter: KeyPlacement | None) -> KeyPlacement:
    if shorter is None:
        return KeyPlacement(assignment.shard, False, ANYWHERE, assignment.retries_blocked)
    blocked = assignment.retries_blocked or shorter.retries_blocked
    return KeyPlacement(assignment.shard, shorter.required, shorter.regions, blocked)


@dataclass(slots=True)
class ShardTable:
    """All shards that a router was told of. It grows with the control plane's list of shards."""

    assignments: dict[ShardKey, ShardAssignment] = field(default_factory=dict)
    rules: dict[bytes, PrefixRules] = field(default_factory=dict)  # by key space of the incarnation

    def conflicts(self) -> list[PrefixConflict]:
        """Return all prefixes that two shards of one tenant claim."""
        return [conflict for rules in self.rules.values() for conflict in rules.conflicts]

    def find(self, key: bytes) -> KeyPlacement | None:
        """Return the placement of a key in the form that servers see; None if it has none."""
        key_space, _, own_key = key.partition(b"/")
        rules = self.rules.get(key_space)
        return rules.find(own_key) if rules is not None else None

    def update(
        self,
        assignments: Iterable[ShardAssignment],
        removed: Iterable[ShardKey],
        is_complete: bool = False,
    ) -> None:
        """Apply changes. `is_complete`: the assignments replace the whole table."""
        touched = {key.incarnation for key in self.assignments} if is_complete else set()
        if is_complete:
            self.assignments = {}
        for key in removed:
            if self.assignments.pop(key, None) is not None:
                touched.add(key.incarnation)
        for assignment in assignments:
            self.assignments[assignment.key] = assignment
            touched.add(assignment.incarnation)
        self._rebuild(touched)

    def _rebuild(self, incarnations: set[int]) -> None:
        by_incarnation: dict[int, list[ShardAssignment]] = {incarnation: [] for incarnation in incarnations}
        for assignment in self.assignments.values():
            if assignment.incarnation in by_incarnation:
                by_incarnation[assignment.incarnation].append(assignment)
        for incarnation, assignments in by_incarnation.items():
            key_space = b"%x" % incarnation
            if assignments:
                self.rules[key_space] = build_prefix_rules(assignments)
            else:
                self.rules.pop(key_space, None)
