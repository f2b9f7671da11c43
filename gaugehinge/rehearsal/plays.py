"""Plays by the hundred: `python -m gaugehinge.rehearsal.plays --part fleet --seeds 1-50 --jobs 2 --folder F`.

A command of the tests' own. Each seed of each part is a process with a bounded life; histories of those that
broke stay in the folder. One line a seed, then a summary; exit 1 where anything broke or could not be played.
"""

from __future__ import annotations

import importlib
import os
import shutil
import signal
import statistics
import subprocess
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from types import ModuleType

import click
import msgspec
import trio

from ..histories.events import read_history
from . import outcome as outcomes
from .outcome import Outcome

PARTS = ("fleet", "recovery", "placement", "drains", "hard", "all", "standing")
LIFE = 300.0  # seconds of one play, on a machine with whatever load
LAST_WORDS = 300  # characters of what a play that could not be played wrote last
DEEDS = "deeds.json"


@dataclass(slots=True)
class Played:
    """One seed of one part."""

    part: str
    seed: int
    folder: Path
    took: float = 0.0  # seconds
    outcome: Outcome | None = None  # None: it could not be played
    why: str = ""  # in that case

    @property
    def held(self) -> bool:
        return self.outcome is not None and not self.outcome.breaks

    def line(self) -> str:
        """For a person."""
        head = f"{self.part} {self.seed}:"
        if self.outcome is None:
            return f"{head} not played ({self.why}), kept in {self.folder}"
        told = [f"{self.took:.1f} s"]
        if self.outcome.breaks:
            rules = Counter(each.rule for each in self.outcome.breaks)
            broken = ", ".join(f"{rule} {count}" for rule, count in rules.items())
            head += f" BROKEN {broken}, kept in {self.folder};"
        else:
            head += " held"
        if self.outcome.undecided:
            told.append(f"{len(self.outcome.undecided)} undecided")
        told += [f"{name}={value:.4g}" for name, value in self.outcome.figures.items()]
        return f"{head} {' '.join(told)}"


@dataclass(slots=True)
class Summary:
    """All that was played."""

    played: list[Played] = field(default_factory=list)

    def lines(self) -> list[str]:
        """By part: how many held, and least, middle and most of each figure."""
        told = []
        by_part: dict[str, list[Played]] = defaultdict(list)
        for each in self.played:
            by_part[each.part].append(each)
        for part, found in by_part.items():
            held = sum(each.held for each in found)
            failed = sum(each.outcome is None for each in found)
            broken = len(found) - held - failed
            seeds = [str(each.seed) for each in sorted(found, key=lambda e: e.seed) if not each.held]
            told.append(
                f"{part}: {held} of {len(found)} held, {broken} broken, {failed} not played"
                + (f" (seeds {', '.join(seeds)})" if seeds else "")
            )
            figures: dict[str, list[float]] = defaultdict(list)
            seen: Counter[str] = Counter()
            for each in found:
                if each.outcome is not None:
                    seen.update(each.outcome.looked_at)
                    for name, value in each.outcome.figures.items():
                        figures[name].append(value)
            for name, values in sorted(figures.items()):
                middle = statistics.median(values)
                told.append(f"  {name}: {min(values):.4g} / {middle:.4g} / {max(values):.4g}")
            if seen:
                told.append("  looked at: " + ", ".join(f"{rule} {n}" for rule, n in sorted(seen.items())))
        return told


def seeds_of(told: str) -> list[int]:
    """`1-5,9` as numbers. Raises ValueError."""
    found: list[int] = []
    for piece in told.split(","):
        first, _, last = piece.partition("-")
        found += range(int(first), int(last or first) + 1)
    if not found:
        raise ValueError("no seeds")
    return found


def module_of(part: str) -> ModuleType:
    """The part's play. Raises ModuleNotFoundError."""
    return importlib.import_module(f"{__package__}.{part}play")


# -- one play, in its own process


async def _one(part: str, seed: int, folder: Path, deeds: Path | None) -> Outcome:
    play = module_of(part).play
    if deeds is None:
        return await play(seed, folder)
    from .faultplan import Deed

    return await play(seed, folder, faults=msgspec.json.decode(deeds.read_bytes(), type=list[Deed]))


def run_one(part: str, seed: int, folder: Path, deeds: Path | None = None) -> Outcome:
    """Play one seed in this process, and write what it came to."""
    folder.mkdir(parents=True, exist_ok=True)
    told = trio.run(_one, part, seed, folder, deeds)
    zero = next((event.at for event in read_history(folder)), 0.0)
    outcomes.write(told, folder, zero)
    return told


async def spawn(part: str, seed: int, folder: Path, life: float, deeds: Path | None = None) -> Played:
    """Play one seed in a process with a bounded life; its whole session is killed when that is over."""
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    words = [sys.executable, "-m", f"{__package__}.plays", "--one", part, str(seed), str(folder)]
    if deeds is not None:
        words += ["--deeds", str(deeds)]
    played, began = Played(part, seed, folder), time.monotonic()
    with (folder / "play.log").open("wb") as log:
        process = await trio.lowlevel.open_process(
            words, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
        )
        try:
            with trio.move_on_after(life) as limit:
                await process.wait()
        finally:
            if process.returncode is None:
                os.killpg(process.pid, signal.SIGKILL)
                with trio.CancelScope(shield=True):
                    await process.wait()
    played.took = time.monotonic() - began
    played.outcome = outcomes.read(folder)
    if played.outcome is None:
        last = (folder / "play.log").read_text(errors="replace").strip()[-LAST_WORDS:]
        over = f"over its {life:.0f} s; " if limit.cancelled_caught else ""
        played.why = over + (last.splitlines()[-1] if last else f"exit {process.returncode}")
    return played


# -- many


async def run_many(
    parts: Sequence[str],
    seeds: Sequence[int],
    jobs: int,
    folder: Path,
    life: float = LIFE,
    keep: bool = False,
    shrinks: bool = False,
) -> Summary:
    """Play all, `jobs` at a time, each told when it is over."""
    summary = Summary()
    wanted = iter([(part, seed) for part in parts for seed in seeds])

    async def worker() -> None:
        for part, seed in wanted:
            await one(part, seed)

    async def one(part: str, seed: int) -> None:
        played = await spawn(part, seed, folder / f"{part}-{seed}", life)
        summary.played.append(played)
        click.echo(played.line())
        if played.outcome is not None and played.outcome.breaks:
            click.echo(f"  first: {played.outcome.breaks[0].told().splitlines()[0]}")
            if shrinks:
                await shrunk(played, life)
        elif played.held and not keep:
            shutil.rmtree(played.folder, ignore_errors=True)

    async with trio.open_nursery() as nursery:
        for _ in range(jobs):
            nursery.start_soon(worker)
    return summary


async def shrunk(played: Played, life: float) -> None:
    """Find and print the shortest plan of faults with which one of the same rules still breaks."""
    module = module_of(played.part)
    if not hasattr(module, "deeds"):
        click.echo(f"  {played.part} has no plan of faults that can be shrunk")
        return
    from .faultplan import printed, shrink

    rules = {each.rule for each in played.outcome.breaks}
    tries = 0

    async def breaks(deeds: list) -> bool:
        nonlocal tries
        tries += 1
        folder = played.folder / f"shrink-{tries}"
        told = played.folder / DEEDS
        told.write_bytes(msgspec.json.encode(deeds))
        again = await spawn(played.part, played.seed, folder, life, told)
        found = again.outcome is not None and any(each.rule in rules for each in again.outcome.breaks)
        shutil.rmtree(folder, ignore_errors=True)
        return found

    try:
        shortest = await shrink(module.deeds(played.seed), breaks)
    except ValueError as bad:
        click.echo(f"  not shrunk: {bad} when played again")
        return
    (played.folder / DEEDS).write_bytes(msgspec.json.encode(shortest))
    click.echo(f"  shortest plan after {tries} plays:")
    for line in printed(shortest).splitlines():
        click.echo(f"    {line}")


@click.command()
@click.option("--part", default="fleet", help=f"one of {', '.join(PARTS)}, or several with commas")
@click.option("--seeds", default="1-5", help="as 1-50 or 3,7,9-12")
@click.option("--jobs", default=1, type=click.IntRange(1, 64), help="plays at a time")
@click.option("--folder", default="plays", type=click.Path(path_type=Path), help="for histories")
@click.option("--life", default=LIFE, help="seconds of one play at most")
@click.option("--keep", is_flag=True, help="also the histories of those that held")
@click.option("--shrink", "shrinks", is_flag=True, help="print the shortest plan of faults that still breaks")
@click.option("--one", nargs=3, default=None, hidden=True)
@click.option("--deeds", default=None, type=click.Path(path_type=Path), hidden=True)
def main(
    part: str,
    seeds: str,
    jobs: int,
    folder: Path,
    life: float,
    keep: bool,
    shrinks: bool,
    one: tuple[str, str, str] | None,
    deeds: Path | None,
) -> None:
    """Play seeds of parts, check their histories, say what broke."""
    if one is not None:
        told = run_one(one[0], int(one[1]), Path(one[2]), deeds)
        sys.exit(1 if told.breaks else 0)
    parts = part.split(",")
    for each in parts:
        if each not in PARTS:
            raise click.BadParameter(f"{each}: one of {', '.join(PARTS)}", param_hint="--part")
    try:
        wanted = seeds_of(seeds)
    except ValueError:
        raise click.BadParameter(f"{seeds}: as 1-50 or 3,7,9-12", param_hint="--seeds") from None
    summary = trio.run(run_many, parts, wanted, jobs, folder.resolve(), life, keep, shrinks)
    for line in summary.lines():
        click.echo(line)
    sys.exit(0 if all(each.held for each in summary.played) else 1)


if __name__ == "__main__":
    main()
