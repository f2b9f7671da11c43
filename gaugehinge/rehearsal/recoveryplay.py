"""Power fails for a whole fleet under load and returns in an order of chance: with recovery on, off, or, as a
measure, the same fleet restarted in turns. Hard cases are drawn by the seed.
"""

from __future__ import annotations

import math
import random
import re
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..emulator.link import Fault, State
from ..histories import figures
from ..histories.events import AnyEvent, OpBegan, read_history
from ..recovery.snapshot import MAX_SNAPSHOT_BYTES, Snapshot, decode, encode, snapshot_identity
from .company import Company, Plan, company
from .outcome import Outcome, judged

KEY = "0123456789abcdef0123456789abcdef"
OTHER_KEY = b"another installation's key"
SHAPE = {"wait": 4.5, "tries": 10, "mix": (("read", 0.5), ("put", 0.1), ("move", 0.3), ("book", 0.1))}
SETTLE = 2.5  # seconds in which a fleet that has just started with no load opens by itself
HELD = 0.3  # seconds for which the origin's answers are held just before the loss
MONTH = 30 * 86400.0
CASES = (
    "plain",
    "again",
    "snapshots",
    "keeper lost",
    "keeper older",
    "discovery last",
    "discovery older",
    "clock off",
    "surge",
    "zone",
    "zone first",
    "one stays away",
)


@dataclass(slots=True, frozen=True)
class Cast:
    """How large a play is, and how long."""

    routers: int = 10
    servers: int = 12
    rate: float = 150.0  # operations a second
    before: float = 6.0  # seconds of load before the loss
    after: float = 16.0
    gaps: float = 0.4  # seconds between two starts at most
    warm_up: float = 3.0
    origin_bears: int = 240  # connections


FULL = Cast()
SMALL = Cast(routers=3, servers=4, rate=60.0, before=3.0, after=8.0, gaps=0.25, warm_up=1.5, origin_bears=60)
ROLL = Cast(routers=6, servers=6, rate=60.0, before=3.0, after=5.0, warm_up=1.5, origin_bears=60)
TINY = Cast(routers=3, servers=3, rate=40.0, before=2.0, after=6.0, gaps=0.2, warm_up=1.0, origin_bears=60)


ZONE = "a"  # that is rolled
RETURN = 20.0  # seconds in which a router that started has decided
VERDICT = re.compile(r"recovery: (lone|zone|all|most|apart) after")


def case_of(seed: int) -> str:
    """The hard case of a seed."""
    return CASES[seed % len(CASES)]


def plan_of(cast: Cast, folder: Path, seed: int, case: str, on: bool, more: dict[str, Any]) -> Plan:
    """What plays. `more`: further fields of `[recovery]`."""
    recovery = {
        "on": on,
        "key_file": str(folder / "key"),
        "snapshot": "{files}/recovery",
        "every": "0.5s",
        "decide": "2s",
        "keeper_wait": "4s",
        "list_wait": "4s",
        "doubt": "3s",
        "repeats": "4s",
        "origin": "600/s",
        "cold_reads": "300/s",  # of 800 and 600 that they can do
        **more,
    }
    off = (("router-1", 3600.0),) if case == "clock off" else ()
    return Plan(
        routers=cast.routers,
        servers=cast.servers,
        tenants=("acme", "bolt", "coda"),
        origin_bears=cast.origin_bears,
        server_bears=cast.routers * 24,
        warm_up=cast.warm_up,
        falls=True,
        wall_off=off,
        serve={"recovery": recovery},
    )


async def play(
    seed: int, folder: Path, cast: Cast = FULL, mode: str = "on", case: str | None = None, **more: Any
) -> Outcome:
    """One play. `mode`: `on`, `off` (a loss with recovery off) or `turns` (no loss, each restarted)."""
    case = case_of(seed) if case is None else case
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "key").write_text(KEY)
    chance = random.Random(f"{seed} recovery")
    plan = plan_of(cast, folder, seed, case, mode != "off", more)
    async with company(folder, seed, plan) as all_:
        await all_.ready()
        await trio.sleep(SETTLE)
        all_.load(cast.rate, cast.before + cast.after, **SHAPE)
        await trio.sleep(cast.before * 0.5)
        await _prepare(all_, case)
        await trio.sleep(cast.before * 0.5 - HELD)
        for number in range(cast.routers):  # what ran and was not answered yet is what a loss is about
            all_.link(f"router-{number}", "origin", Fault(State.SILENT_BACK))
        await trio.sleep(HELD)
        began = all_.recorder.now()
        if mode == "turns":
            all_.heal()
            await _in_turns(all_, cast)
        else:
            await _lose(all_, cast, case, chance, folder)
        await all_.load_over()
        bounds = all_.bounds()
    history = list(read_history(folder))
    told = _figures(history, began, cast)
    told["set_aside"] = float(len(list(folder.glob("files/router-*/recovery.aside-*"))))
    return judged(history, bounds, told)


async def roll(
    seed: int, folder: Path, cast: Cast = ROLL, ways: tuple[str, ...] = ("order", "cut short", "power")
) -> tuple[Outcome, dict[str, list[list[str]]]]:
    """All routers of a zone told to end side by side, under load, and started again; then one of them killed
    while it leaves; then the zone loses power. Also: by router, what it took each of these starts for."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "key").write_text(KEY)
    plan = plan_of(cast, folder, seed, "plain", True, {})
    async with company(folder, seed, plan) as all_:
        await all_.ready()
        await trio.sleep(SETTLE)
        names = [n for n, each in all_.children.items() if n.startswith("router") and each.zone == ZONE]
        all_.load(cast.rate, len(ways) * (cast.before + cast.after), **SHAPE)
        for way in ways:
            await trio.sleep(cast.before)
            if way == "power":
                all_.power_loss(ZONE)
                await all_.power_back(cast.gaps)
            else:
                for name in names:
                    all_.end(name)
                if way == "cut short":
                    await trio.sleep(0.1)
                    all_.kill(names[-1])
                await all_.over(*names)
                for name in names:
                    all_.start(name)
            await all_.up(*names)
            with trio.move_on_after(RETURN):
                while not all(_taken_for(all_.log(name))[-1:] not in ([], [[]]) for name in names):
                    await trio.sleep(0.1)
            await trio.sleep(cast.after)
        await all_.load_over()
        bounds = all_.bounds()
        told = {name: _taken_for(all_.log(name))[1:] for name in names}
    return judged(list(read_history(folder)), bounds), told


def _taken_for(log: str) -> list[list[str]]:
    """The verdicts of each run."""
    return [VERDICT.findall(run) for run in log.split("recovery: run ") if ", epoch" in run[:40]]


async def _prepare(all_: Company, case: str) -> None:
    """What has to be so before the loss."""
    if case == "keeper older":
        all_.keep_copy("keeper")
        async with all_.api() as desk:
            await desk.post("/v1/tenants", json={"name": "late"})
    elif case == "discovery older":
        all_.keep_copy("discovery")
        all_.kill("server-0")  # what it told since then is not in the copy
        all_.start("server-0")
        await all_.up("server-0")


async def _in_turns(all_: Company, cast: Cast) -> None:
    """Routers and servers started anew, one of each at a time."""
    for number in range(max(cast.routers, cast.servers)):
        names = [f"{kind}-{number}" for kind in ("router", "server") if f"{kind}-{number}" in all_.children]
        for name in names:
            all_.end(name) if name.startswith("router") else all_.kill(name)
        await all_.over(*names)
        for name in names:
            all_.start(name)
        with trio.move_on_after(3.0):
            await all_.up(*names)


async def _lose(all_: Company, cast: Cast, case: str, chance: random.Random, folder: Path) -> None:
    """The loss, and the return of power."""
    if case == "zone":
        all_.power_loss("a")
        all_.heal()
        await trio.sleep(0.3)
        await all_.power_back(cast.gaps)
        return
    all_.power_loss()
    all_.heal()
    await trio.sleep(0.3)
    _spoil(all_, case, chance, folder, cast)
    if case == "surge":
        all_.load(2.0 * cast.rate, cast.after * 0.3, **SHAPE)
    if case == "zone first":
        names = [n for n, child in all_.children.items() if child.zone == "a" or not child.zone]
        await _start(all_, names, cast.gaps, chance)
        await trio.sleep(2.0)
    elif case == "again":
        names = chance.sample(sorted(all_.children), len(all_.children) * 2 // 3)
        await _start(all_, names, cast.gaps, chance)
        await trio.sleep(0.5 + 2.0 * chance.random())
        all_.power_loss()
        await trio.sleep(0.3)
    elif case.startswith("keeper"):
        all_.start("keeper", files="none" if case == "keeper lost" else "older")
    elif case == "discovery older":
        all_.start("discovery", files="older")
    names = [name for name, child in all_.children.items() if not child.runs]
    if case == "one stays away":
        names.remove(f"router-{cast.routers - 1}")
    if case == "discovery last":
        names.remove("discovery")
        await _start(all_, names, cast.gaps, chance)
        await trio.sleep(2.0)
        names = ["discovery"]
    await _start(all_, names, cast.gaps, chance)


async def _start(all_: Company, names: list[str], gaps: float, chance: random.Random) -> None:
    """In an order of chance, with gaps of chance."""
    names = sorted(names)
    chance.shuffle(names)
    for name in names:
        if not all_.children[name].runs:
            all_.start(name)
            await trio.sleep(gaps * chance.random())


def _spoil(all_: Company, case: str, chance: random.Random, folder: Path, cast: Cast) -> None:
    """Snapshots of last month, of another installation, and torn."""
    if case != "snapshots":
        return
    numbers = list(range(cast.routers))
    chance.shuffle(numbers)
    for place, number in enumerate(numbers):
        name = f"router-{number}"
        path = all_.children[name].files / "recovery"
        if not path.exists():
            continue
        if place == 0:
            path.write_bytes(path.read_bytes()[:-40])
        elif place == 1:
            path.write_bytes(encode(_kept(path, name, number, snapshot_identity(OTHER_KEY, name, number))))
        elif place < 2 + cast.routers // 2:
            old = _kept(path, name, number)
            run = max(old.run - 1, 1)
            old = msgspec.structs.replace(old, run=run, wall_clock=old.wall_clock - MONTH, boot_id="")
            path.write_bytes(encode(old))


def _kept(path: Path, name: str, number: int, identity: str = "") -> Snapshot:
    """A router's snapshot. Raises SnapshotError."""
    own = snapshot_identity(KEY.encode(), name, number)
    kept = decode(path.read_bytes()[:MAX_SNAPSHOT_BYTES], own)
    return msgspec.structs.replace(kept, identity=identity or own)


def _figures(history: list[AnyEvent], began: float, cast: Cast) -> dict[str, float]:
    """How service came back, by what clients saw."""
    steady = (began - cast.before * 0.6, began)
    told: dict[str, float] = {}
    for by in ("all", "traffic", "tenant"):
        for group, back in figures.returns(history, began, steady, by).items():
            name = "" if by == "all" else f"{group}."
            told[f"{name}first.s"] = back.first
            for part, at in back.to.items():
                told[f"{name}to_{part * 100:.0f}.s"] = at
    whole = figures.totals(history, since=began).get("all")
    told["share"] = whole.share if whole else math.nan
    for what in ("settled", "bounced", "forfeited", "lost"):
        told[what] = float(getattr(whole, what)) if whole else 0.0
    peaks = figures.peaks(history, 0.5, since=began)
    told["origin.legs_per_s"] = max((2.0 * peak.attempts.get("origin", 0) for peak in peaks), default=0.0)
    told["origin.connections"] = float(max((p.connections.get("origin", 0) for p in peaks), default=0))
    told["cold.legs_per_s"] = max((2.0 * n for p in peaks for n in p.cold.values()), default=0.0)
    told["operations.per_client_op"] = _tries(history, began)
    return {name: value for name, value in told.items() if math.isfinite(value)}


def _tries(history: list[AnyEvent], began: float) -> float:
    """Operations sent for each first one, after the loss."""
    sent = [event for event in history if isinstance(event, OpBegan) and event.at >= began]
    return len(sent) / max(sum(not event.repeat_of for event in sent), 1)
