"""The shipped command with one fault in its placement: what the hard cases claim is tried on processes.

`python -m gaugehinge.rehearsal.misplaced MODE serve FILE` is a router, `... MODE keep FILE` a keeper. `FINDS`
tells in which case it has to be found, and by which of its claims or checks.
"""

from __future__ import annotations

import runpy
import sys
from typing import Any

from ..placement import admission, keeper, router, shards
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

    def inside(self: router.Placing, attempt: Any, regions: tuple) -> bool:
        return any(region is None or attempt.endpoint.zone in region for region in regions)

    router.Placing._inside = inside


def inherits() -> None:
    """A tenant that is made again has the pins of whoever was there before."""
    right = shards.Table.find

    def find(self: shards.Table, key: bytes) -> shards.Pin | None:
        head, _, own = key.partition(b"/")
        if head not in self.by_tenant and self.by_tenant:
            return self.by_tenant[min(self.by_tenant)].find(own)
        return right(self, key)

    shards.Table.find = find


def strays() -> None:
    """It takes `only` for `prefer`, and goes on elsewhere where no server is left."""
    shards.Terms.walked = lambda self: (*(frozenset(zones) for zones in self.zones), None)


def revives() -> None:
    """It serves anywhere what the keeper holds."""
    right = shards.Terms.walked
    shards.Terms.walked = lambda self: right(self) or (None,)


def shortens() -> None:
    """Of several prefixes the shortest wins."""

    def find(self: shards.Rules, key: bytes) -> shards.Pin | None:
        fits = (self.pins.get(key[:length]) for length in reversed(self.lengths))
        return next((pin for pin in fits if pin is not None), None)

    shards.Rules.find = find


def crams() -> None:
    """A keeper for which a region is never full."""
    admission.Ground.room = lambda self, region: 1e9


def overruns() -> None:
    """A keeper that makes changes whatever revision they were made for."""
    keeper._match = lambda row, match, shard: None


ROUTERS = {each.__name__: each for each in (dozes, believes, inherits, strays, revives, shortens)}
KEEPERS = {each.__name__: each for each in (crams, overruns)}


if __name__ == "__main__":
    {**ROUTERS, **KEEPERS}[sys.argv.pop(1)]()
    runpy.run_module("gaugehinge.cli", run_name="__main__", alter_sys=True)
