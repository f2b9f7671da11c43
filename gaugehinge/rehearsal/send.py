"""A script's load alone, at routers that serve already."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import trio

from ..forms import toml
from ..load.crew import Crew
from .script import Script, job_of


async def send(
    script: Script,
    folder: Path,
    targets: tuple[tuple[str, int], ...],
    replay: tuple[str, ...],
    speed: float,
    tell: Callable[[str], None],
) -> dict[str, int]:
    """Send it all; tries by outcome. Raises ChildFailed."""
    folder.mkdir(parents=True, exist_ok=True)
    toml.write(folder / "script.toml", script)
    job = job_of(script, targets, True, replay, speed)
    crew = Crew(job, folder)
    try:
        await crew.start()
        await crew.begin()
        tell(f"load begins: {crew.planned} operations in {float(script.lasts) / speed:g} s")
        await crew.wait()
    finally:
        with trio.CancelScope(shield=True):
            await crew.end()
    return crew.outcomes
