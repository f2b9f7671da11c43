"""Checks tried on processes: a company in which each router but the first, and the keeper, has one fault."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import trio

from ..histories.events import read_history
from .broken import FINDS, KEEPERS, ROUTERS
from .company import Company, Plan, company
from .outcome import Outcome, judged
from .placementplay import KEEP, LOOK, Moves, Size, Tenant

PLAN = Plan(
    routers=1 + len(ROUTERS),
    servers=6,
    server_bears=60,
    keep={"placement": {**KEEP, "alone": "2.25s"}},
    serve={"placement": {"on": True}},
)
MIX = (("read", 0.5), ("put", 0.15), ("move", 0.15), ("book", 0.2))
PINNED_BY = 30.0  # seconds: on a machine with whatever load
RATE = 150.0  # operations a second
LASTS = 5.0  # seconds of load
DRAINS_AT = 1.0  # seconds from its begin
DRAINED = "server-2"  # in the zone of the router that goes on with it
SLACK = 0.5  # seconds: less than that by which `late` is late


def mode_of(router: str) -> str:
    """Which fault a router has; empty: none."""
    return ["", *ROUTERS][int(router.removeprefix("router-"))]


def keeper_of(seed: int) -> str:
    """Which fault the keeper has."""
    return list(KEEPERS)[seed % len(KEEPERS)]


def missing(seed: int, outcome: Outcome) -> list[str]:
    """Faults that no check found at the party that has them, and breaks of the router that has none."""
    found = {(each.rule, party) for each in outcome.breaks for party in each.parties}
    parties = {mode: f"router-{number}" for number, mode in enumerate(ROUTERS, 1)}
    parties |= {keeper_of(seed): "keeper", "ghost": "origin"}  # whose write it is, only the origin knows
    missed = [mode for mode, party in parties.items() if (FINDS[mode], party) not in found]
    return missed + [each.rule for each in outcome.breaks if each.parties[1:2] == ("router-0",)]


async def pin(all_: Company, tenant: Tenant) -> None:
    """Its keys under `p/` to one region, until they are confined to that."""
    body = {"regions": ["ap"], "prefixes": ["p/"], "allowance": 1}
    async with all_.api() as desk:
        # Refused until routers have told the keeper which servers there are.
        while (await desk.put(f"{tenant.path}/p", json=body)).status_code != 200:
            await trio.sleep(LOOK)
    while tenant.shown.get("p", {}).get("stage") != "confined":
        await trio.sleep(LOOK)


async def change_twice(all_: Company) -> None:
    """Two changes for one revision, and a read of what came of them."""
    async with all_.api() as desk:
        path = "/v1/tenants/acme"
        first = (await desk.get(path)).headers["etag"]
        for share in (2.0, 3.0):
            await desk.patch(path, json={"share": share}, headers={"If-Match": first})
        await desk.get(path)


async def play(seed: int, folder: Path) -> Outcome:
    """One play. That it breaks is what it is for: `missing` tells what was not found."""
    async with company(folder, seed, PLAN) as all_:
        await all_.ready()
        names = {f"router-{number}": mode for number, mode in enumerate(ROUTERS, 1)}
        names["keeper"] = keeper_of(seed)
        all_.kill(*names)
        for name, mode in names.items():
            child = all_.children[name]
            child.words = ["gaugehinge.rehearsal.broken", mode, *child.words[1:]]
            all_.start(name)
        await all_.ready()
        tenant = Tenant(all_, "acme", 1, Size(), Moves(0), seed)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(tenant.watch)
            with trio.fail_after(PINNED_BY):
                await pin(all_, tenant)
            all_.load(RATE, LASTS, wait=1.0, mix=MIX, prefixes=("p/", ""))
            await trio.sleep(DRAINS_AT)
            all_.drain(DRAINED)
            await change_twice(all_)
            await all_.load_over()
            tenant.over = True
        bounds = replace(all_.bounds(), slack=SLACK)
    return judged(list(read_history(folder)), bounds)
