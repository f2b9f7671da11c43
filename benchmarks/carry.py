"""What emulator and load tool carry, and what an operation costs the router: the base line for later work.

    python benchmarks/carry.py                      # 250, 1,000 and 2,000 a second through one router,
                                                    # then 3,000 a second through four
    python benchmarks/carry.py --rates 500,4000 --routers 2 --lasts 5

Emulator and load run on the first four cores, routers on the others. Figures go to standard output as a table
and to `runs/carry-*/results.json`.
"""

from __future__ import annotations

import os
import tempfile
from pathlib import Path

import click
import msgspec
import trio

from gaugehinge.emulator.form import Caches, Emulator, Front, OriginForm, Traffic
from gaugehinge.forms.units import Rate, Seconds, Size
from gaugehinge.installation.form import DoorEntry
from gaugehinge.load.form import Load, Sender
from gaugehinge.rehearsal.results import write_results
from gaugehinge.rehearsal.run import Rehearsal
from gaugehinge.rehearsal.script import Routers, Script

CORES = sorted(os.sched_getaffinity(0))
PLAY = CORES[:4]  # emulator and load
REST = tuple(CORES[4:]) or tuple(CORES)  # routers


def script(rate: int, routers: int, lasts: float, seed: int, door: bool) -> Script:
    """Calm: no faults, caches far from full, one read in twenty a miss, one operation in fifty a write."""
    read = Traffic("read", "idempotent", Seconds(0.5), abandon_time=Seconds(1.5), service=Seconds(0.003))
    book = Traffic(
        "book", "unrepeatable", Seconds(0.8), abandon_time=Seconds(2.0), write=True, size=Size(256)
    )
    tenants = tuple(Sender(name, rate=Rate(rate / 2), allowance=Rate(rate)) for name in ("acme", "birch"))
    return Script(
        (read, book),
        tenants,
        lasts=Seconds(lasts),
        seed=seed,
        title=f"{rate} a second through {routers}",
        emulator=Emulator(
            (Caches(count=12, cores=8),), OriginForm(cores=64), front=Front(used=False), processes=3
        ),
        routers=Routers(routers, cpus=REST, door=DoorEntry(on=door)),
        load=Load(mix={"read": 0.98, "book": 0.02}),
    )


def measure(rate: int, routers: int, lasts: float, seed: int, door: bool, folder: Path) -> dict:
    """One run; its results."""
    trio.run(Rehearsal(script(rate, routers, lasts, seed, door), folder).run)
    return write_results(folder)


def row(rate: int, routers: int, found: dict) -> str:
    """One line of the table."""
    tries, latency = found["tries"], found["latency"]
    settled = found["totals"].get("settled", 0) / tries
    cost = sum(each["cpu_seconds"] for each in found["routers"]) * 1000.0 / max(found["first_tries"], 1)
    memory = max(each["memory_most"] for each in found["routers"]) / 1048576
    p50, p99 = (round((latency[name] or 0) * 1000, 1) for name in ("p50", "p99"))
    lateness, lag = found["driver"]["lateness_p99"] * 1000, found["emulator"]["lag_most"] * 1000
    cells = [rate, routers, found["first_tries"], f"{100 * settled:.2f}%", p50, p99, f"{cost:.3f}"]
    cells += [f"{memory:.0f}", f"{lateness:.2f}", f"{lag:.0f}", found["rules_broken"]]
    return " | ".join(["", *map(str, cells), ""]).strip()


@click.command()
@click.option("--rates", default="250,1000,2000,3000", show_default=True)
@click.option("--routers", type=int, help="For all rates; else one, and four from 3,000 on.")
@click.option("--lasts", type=float, default=10.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--door/--no-door", default=False, show_default=True, help="Routers with a door.")
@click.option(
    "--out", type=click.Path(file_okay=False), help="Folder for the records; a new one under runs/."
)
def main(rates: str, routers: int | None, lasts: float, seed: int, door: bool, out: str | None) -> None:
    """Measure and print a table."""
    os.sched_setaffinity(0, PLAY)
    Path("runs").mkdir(exist_ok=True)
    folder = Path(out) if out else Path(tempfile.mkdtemp(prefix="carry-", dir="runs"))
    print(
        "| a second | routers | operations | settled | p50, ms | p99, ms | CPU, ms | MiB | lateness p99, ms "
        "| emulator's lag, ms | broken |"
    )
    print("| --- " * 11 + "|")
    found = {}
    for rate in map(int, rates.split(",")):
        count = routers or (4 if rate >= 3000 else 1)
        found[rate] = measure(rate, count, lasts, seed, door, folder / f"{rate}-{count}")
        print(row(rate, count, found[rate]), flush=True)
    (folder / "results.json").write_bytes(msgspec.json.encode(found))


if __name__ == "__main__":
    main()
