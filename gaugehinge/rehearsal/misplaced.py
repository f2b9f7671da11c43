"""The shipped command with one fault in its placement: what the hard cases claim is tried on processes.

`python -m gaugehinge.rehearsal.misplaced MODE serve FILE` is a router, `... MODE keep FILE` a keeper. `FINDS`
tells in which case it has to be found, and by which of its claims or checks.
"""

from __future__ import annotations

import runpy
import sys
from typing import Any

from ..placement import admission, affinity, server_list, shard_changes, shard_table
from ..tenancy.lease import HeldLease

FINDS = {
    "dozes": ("woken", {"woken", "confined"}),
    "believes": ("relabelled", {"relabelled", "confined"}),
    "inherits": ("again", {"nothing_left"}),
    "strays": ("emptied", {"nowhere"}),
    "revives": ("older", {"held"}),
    "shortens": ("split", {"split", "confined"}),
    "crams": ("full", {"case"}),
    "overruns": ("races", {"case", "registers"}),
}


def dozes() -> None:
    """Its lease is never over: it wakes, and goes on by what it knew."""
    HeldLease.is_valid = lambda self, now: self.expires_at > 0.0


def believes() -> None:
    """It takes a server to stand where it takes it to stand, whatever was told of it since."""

    def allows(self: server_list.ServerList, server: Any, regions: tuple) -> bool:
        return any(region is None or server.zone in region for region in regions)

    server_list.ServerList.allows = allows


def inherits() -> None:
    """A tenant that is made again has the pins of whoever was there before."""
    right = shard_table.ShardTable.find

    def find(self: shard_table.ShardTable, key: bytes) -> shard_table.KeyPlacement | None:
        head, _, own = key.partition(b"/")
        if head not in self.rules and self.rules:
            return self.rules[min(self.rules)].find(own)
        return right(self, key)

    shard_table.ShardTable.find = find


def strays() -> None:
    """It takes `only` for `prefer`, and goes on elsewhere where no server is left."""
    affinity.RegionAffinity.search_order = lambda self: (*(frozenset(zones) for zones in self.zones), None)


def revives() -> None:
    """It serves anywhere what the keeper holds."""
    right = affinity.RegionAffinity.search_order
    affinity.RegionAffinity.search_order = lambda self: right(self) or (None,)


def shortens() -> None:
    """Of several prefixes the shortest wins."""

    def find(self: shard_table.PrefixRules, key: bytes) -> shard_table.KeyPlacement | None:
        fits = (self.placements.get(key[:length]) for length in reversed(self.lengths))
        return next((pin for pin in fits if pin is not None), None)

    shard_table.PrefixRules.find = find


def crams() -> None:
    """A keeper for which a region is never full."""
    admission.RegionCapacity.available = lambda self, region: 1e9


def overruns() -> None:
    """A keeper that makes changes whatever revision they were made for."""
    shard_changes.check_version = lambda record, expected_version, shard: None


ROUTERS = {each.__name__: each for each in (dozes, believes, inherits, strays, revives, shortens)}
KEEPERS = {each.__name__: each for each in (crams, overruns)}


if __name__ == "__main__":
    {**ROUTERS, **KEEPERS}[sys.argv.pop(1)]()
    runpy.run_module("gaugehinge.cli", run_name="__main__", alter_sys=True)
