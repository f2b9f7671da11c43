"""The played systems alone, for routers and load that are started by hand."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import trio

from ..emulator.fleet import Fleet
from ..forms import toml
from .run import Rehearsal
from .script import ROUTER_STEPS, Script
from .timeline import deeds


async def emulate(script: Script, folder: Path, lasts: float | None, tell: Callable[[str], None]) -> None:
    """Until the time is over, or for good."""
    folder.mkdir(parents=True, exist_ok=True)
    toml.write(folder / "script.toml", script)
    fleet = Fleet(script.emulator, script.traffic, script.rules, script.routers.count, script.seed, folder)
    fleet.happened = tell
    try:
        await fleet.start()
        for number, (host, port) in enumerate(fleet.discovery):
            tell(f"discovery for router {number}: {host}:{port}")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.follow)
            nursery.start_soon(_steps, script, fleet, tell)
            await trio.sleep(lasts if lasts is not None else float("inf"))
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await fleet.end()


async def _steps(script: Script, fleet: Fleet, tell: Callable[[str], None]) -> None:
    zero = time.monotonic()
    for deed in deeds(script):
        if deed.what in ROUTER_STEPS:
            continue
        await trio.sleep(max(zero + deed.at - time.monotonic(), 0.0))
        tell(f"{deed.at:.1f} s: {deed.given.get('name', deed.what)} {deed.who}")
        await Rehearsal.do_to_fleet(fleet, deed)
