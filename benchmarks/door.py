"""The door against the build without it, at a router short of CPU.

    python benchmarks/door.py fair       # one tenant at five times its share; 5, 20 and 80 tenants
    python benchmarks/door.py goodput    # all tenants at 1, 2, 4 and 8 times what the router carries
    python benchmarks/door.py clients    # memory of the queue for up to a million clients

The router gets a quarter of a core: three processes that only count share its core. Off, alone and on run
side by side on cores of their own, with one seed.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import trio

from gaugehinge.admission.fairness import FairQueue, QueuedOperation
from gaugehinge.emulator.form import Caches, Emulator, Front, OriginForm, Traffic
from gaugehinge.forms.units import Rate, Seconds
from gaugehinge.installation.form import DoorEntry, Limits
from gaugehinge.load.form import Load, Sender
from gaugehinge.rehearsal.results import Run, histogram, quantile, write_results
from gaugehinge.rehearsal.run import Rehearsal
from gaugehinge.rehearsal.script import Routers, Script

CORES = sorted(os.sched_getaffinity(0))
SPIN = 3  # processes that share the router's core
FLOOD = 5.0  # times its share that the first tenant sends
CALM = 0.9  # of its share that each other one sends
SOCKETS = 8192  # of the router: what is short here is CPU, not places
SKIP = 2.0  # first seconds, left out
PLAY = set(CORES[:5])


def script(
    tenants: int,
    capacity: float,
    lasts: float,
    door: bool,
    flood: bool,
    core: int,
    seed: int,
    all_at: float = 0.0,
) -> Script:
    """Reads that hit, shares alike, `capacity` shared out among the tenants; `all_at`: each sends so many
    times its share."""
    share = capacity / tenants
    read = Traffic("read", "idempotent", Seconds(0.5), abandon_time=Seconds(1.0), service=Seconds(0.003))
    senders = [Sender("flood", rate=Rate(share * FLOOD if flood else 0.0), allowance=Rate(share))]
    senders += [Sender(f"t{i}", rate=Rate(share * CALM), allowance=Rate(share)) for i in range(1, tenants)]
    if all_at:
        senders = [Sender(f"t{i}", rate=Rate(share * all_at), allowance=Rate(share)) for i in range(tenants)]
    return Script(
        (read,),
        tuple(senders),
        lasts=Seconds(lasts),
        seed=seed,
        title=f"{tenants} tenants, door {'on' if door else 'off'}, {'flood' if flood else 'alone'}",
        emulator=Emulator(
            (Caches(count=12, cores=16, filled=1.0),), OriginForm(cores=64), front=Front(used=False)
        ),
        routers=Routers(1, Limits(sockets=SOCKETS), cpus=(core,), door=DoorEntry(on=door)),
        load=Load(),
    )


def play(told: Script, folder: Path) -> Path:
    """One run, with processes that take the rest of the router's core."""
    core = told.routers.cpus[0]
    spin = [sys.executable, "-c", "while True: pass"]
    spinners = [subprocess.Popen(spin) for _ in range(SPIN)]
    try:
        for each in spinners:
            os.sched_setaffinity(each.pid, {core})
        trio.run(Rehearsal(told, folder).run)
    finally:
        for each in spinners:
            each.kill()
            each.wait()
    write_results(folder)
    return folder


def others(folder: Path) -> dict[str, float]:
    """What the tenants beside the first got: settled a second, worst part, p99; and the first one's."""
    run = Run(folder)
    span = run.lasts - SKIP
    settled: dict[int, set[int]] = {}
    offered: dict[int, int] = {}
    took = []
    for one in run.ops:
        if one.planned < SKIP:
            continue
        if one.count == 0:
            offered[one.tenant] = offered.get(one.tenant, 0) + 1
        if one.outcome == "settled":
            settled.setdefault(one.tenant, set()).add(one.first)
            if one.tenant:
                took.append(one.ended - one.sent)
    parts = {t: len(settled.get(t, ())) / n for t, n in offered.items() if t}
    return {
        "others": sum(len(v) for t, v in settled.items() if t) / span,
        "least": min(parts.values()),
        "each": parts,
        "p99": quantile(histogram(took), 0.99) or 0.0,
        "flood": len(settled.get(0, ())) / span,
        "broken": len(run.breaks),
        "lag": run.lag,
    }


@click.group()
def main() -> None:
    """Benchmarks of the door."""


@main.command()
@click.option("--tenants", default="5,20,80", show_default=True)
@click.option("--capacity", default=800.0, show_default=True, help="Operations a second that are shared out.")
@click.option("--lasts", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
def fair(tenants: str, capacity: float, lasts: float, seed: int) -> None:
    """One tenant at five times its share."""
    os.sched_setaffinity(0, PLAY)
    folder = Path(tempfile.mkdtemp(prefix="door-", dir="/tmp"))
    print(
        "| tenants | door | others settled, /s | of alone | worst tenant of alone | p99, ms | of alone "
        "| first one, /s | broken |"
    )
    print("| --- " * 9 + "|")
    for count in map(int, tenants.split(",")):
        cases = {"alone": (False, False), "off": (False, True), "on": (True, True)}
        with ThreadPoolExecutor(len(cases)) as pool:
            jobs = {
                name: pool.submit(
                    _apart,
                    count,
                    capacity,
                    lasts,
                    door,
                    flood,
                    CORES[-1 - place],
                    seed,
                    folder / f"{count}-{name}",
                )
                for place, (name, (door, flood)) in enumerate(cases.items())
            }
            for job in jobs.values():
                job.result()
        found = {name: others(folder / f"{count}-{name}") for name in cases}
        alone = found["alone"]
        for name, got in found.items():
            worst = min(got["each"][t] / max(alone["each"][t], 1e-9) for t in alone["each"])
            part, longer = got["others"] / alone["others"], got["p99"] / alone["p99"]
            cells = [count, name, f"{got['others']:.0f}", f"{part:.3f}", f"{worst:.3f}"]
            cells += [f"{got['p99'] * 1000:.0f}", f"{longer:.2f}", f"{got['flood']:.0f}", got["broken"]]
            print("| " + " | ".join(map(str, cells)) + " |", flush=True)


@main.command()
@click.option("--capacity", default=1600.0, show_default=True, help="Operations a second that are 1x.")
@click.option("--lasts", default=8.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--factors", default="1,2,4,8", show_default=True)
def goodput(capacity: float, lasts: float, seed: int, factors: str) -> None:
    """What is settled a second while all tenants send more and more."""
    os.sched_setaffinity(0, PLAY)
    folder = Path(tempfile.mkdtemp(prefix="door-", dir="/tmp"))
    print(
        "| times | offered, /s | door | settled, /s | of the peak | p99, ms | broken |\n" + "| --- " * 7 + "|"
    )
    peaks: dict[bool, float] = {}
    for factor in map(float, factors.split(",")):
        with ThreadPoolExecutor(2) as pool:
            jobs = [
                pool.submit(
                    _apart,
                    5,
                    capacity,
                    lasts,
                    door,
                    False,
                    CORES[-1 - door],
                    seed,
                    folder / f"{factor}-{door}",
                    factor,
                )
                for door in (False, True)
            ]
            for job in jobs:
                job.result()
        for door in (False, True):
            run = Run(folder / f"{factor}-{door}")
            rows = [op for op in run.ops if op.planned >= SKIP]
            span = run.lasts - SKIP
            settled = len({op.first for op in rows if op.outcome == "settled"}) / span
            offered = sum(op.count == 0 for op in rows) / span
            took = [op.ended - op.sent for op in rows if op.outcome == "settled"]
            peaks[door] = max(peaks.get(door, 0.0), settled)
            cells = [f"{factor:g}", f"{offered:.0f}", "on" if door else "off", f"{settled:.0f}"]
            cells += [
                f"{settled / peaks[door]:.3f}",
                f"{(quantile(histogram(took), 0.99) or 0) * 1000:.0f}",
            ]
            print("| " + " | ".join([*cells, str(len(run.breaks))]) + " |", flush=True)


def _apart(
    count: int,
    capacity: float,
    lasts: float,
    door: bool,
    flood: bool,
    core: int,
    seed: int,
    out: Path,
    all_at: float = 0.0,
) -> None:
    """One case, in a process of its own."""
    given = [count, capacity, lasts, int(door), int(flood), core, seed, out, all_at]
    subprocess.run([sys.executable, __file__, "one", *map(str, given)], check=True)


@main.command(hidden=True)
@click.argument("given", nargs=-1)
def one(given: tuple[str, ...]) -> None:
    """One case."""
    count, capacity, lasts, door, flood, core, seed, out, all_at = given
    told = script(
        int(count),
        float(capacity),
        float(lasts),
        door == "1",
        flood == "1",
        int(core),
        int(seed),
        float(all_at),
    )
    play(told, Path(out))


@main.command()
@click.option("--most", default=4096, show_default=True, help="Operations that wait at most.")
def clients(most: int) -> None:
    """Memory and time of the queue with ever more distinct clients."""
    print("| clients | MiB at most | microseconds an operation |")
    print("| --- " * 3 + "|")
    for count in (10, 1000, 10_000, 1_000_000):
        tracemalloc.start()
        queue = FairQueue([1.0] * 20, most, 7, 0.0)
        began = time.perf_counter()
        for i in range(max(count, 20_000)):
            now = i * 1e-4
            name = b"%d" % (i % count)
            if len(queue) >= most:
                queue.dequeue(now)
            queue.enqueue(
                QueuedOperation(None, i % 20, queue.bucket(i % 20, name, now), 1.0, 1.0, now, now + 1.0)
            )
        took = (time.perf_counter() - began) / max(count, 20_000)
        print(
            f"| {count} | {tracemalloc.get_traced_memory()[1] / 1048576:.2f} | {took * 1e6:.1f} (traced) |",
            flush=True,
        )
        tracemalloc.stop()


if __name__ == "__main__":
    main()
