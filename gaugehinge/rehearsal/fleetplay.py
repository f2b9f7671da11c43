"""The fleet as it is shipped, without any part that is switched on by itself: faults of every kind between
its processes, clients and callers of the API all the while, and every check over what they wrote."""

from __future__ import annotations

import random
from pathlib import Path

import httpx
import trio

from ..histories import figures
from ..histories.events import read_history
from .company import Company, Plan, company
from .faultplan import Deed, carry_out, draw
from .outcome import Outcome, judged

PLAN = Plan(routers=4, servers=5, tenants=("acme", "bolt"), origin_bears=400, server_bears=400)
RATE = 60.0  # operations a second
LASTS = 8.0  # seconds of load
DEEDS = 5
CALLERS = 3  # of the API
PAUSE = 0.15  # seconds between two calls of one, at most twice that
THINGS = ("acme", "bolt", "extra")


def deeds(seed: int) -> list[Deed]:
    """The faults of a seed."""
    return draw(seed, PLAN, LASTS - 2.0, DEEDS)


async def play(seed: int, folder: Path, faults: list[Deed] | None = None) -> Outcome:
    """One play."""
    async with company(folder, seed, PLAN) as all_:
        await all_.ready()
        all_.load(RATE, LASTS, wait=1.0)
        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(call, all_, random.Random(f"{seed} caller {number}"), LASTS)
            await carry_out(all_, deeds(seed) if faults is None else faults)
        await all_.load_over()
        async with all_.api() as desk:
            for name in THINGS:
                await desk.get(f"/v1/tenants/{name}")
        bounds = all_.bounds()
    history = list(read_history(folder))
    whole = figures.totals(history).get("all")
    told = {"sent": float(whole.sent), "settled.share": whole.share} if whole else {}
    return judged(history, bounds, told)


async def call(all_: Company, chance: random.Random, lasts: float) -> None:
    """One who changes and reads tenants by the API until the time is over. Two of them meet at each."""
    end = trio.current_time() + lasts
    known: dict[str, str] = {}  # entity tags that it read last
    async with all_.api() as desk:
        while trio.current_time() < end:
            name = chance.choice(THINGS)
            path, tag = f"/v1/tenants/{name}", known.pop(name, "")
            share = 1.0 + chance.randrange(9)
            try:
                if not tag and name == "extra" and chance.random() < 0.5:
                    await desk.post("/v1/tenants", json={"name": name, "share": share})
                elif not tag or chance.random() < 0.4:
                    got = await desk.get(path)
                    known[name] = got.headers.get("etag", "")
                elif name == "extra" and chance.random() < 0.4:
                    await desk.delete(path, headers={"If-Match": tag})
                else:
                    made = await desk.patch(path, json={"share": share}, headers={"If-Match": tag})
                    known[name] = made.headers.get("etag", "")
            except httpx.HTTPError:
                pass  # on record as a call of which nobody knows
            await trio.sleep(PAUSE * (0.5 + chance.random()))
