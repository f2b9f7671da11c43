"""The durable store: changes a second, and a writer killed at random many times.

python benchmarks/store.py pace
python benchmarks/store.py kills --count 200
"""

from __future__ import annotations

import random
import tempfile
import time
from pathlib import Path

import click

from gaugehinge.store.crash_test import kill_writer_once
from gaugehinge.store.records import Mutation, encode
from gaugehinge.store.store import Store


@click.group()
def main() -> None:
    """Benchmarks of the store."""


@main.command()
@click.option("--changes", default=2000, show_default=True)
def pace(changes: int) -> None:
    """What a change costs, with the disk's own sync, and how the file grows."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "s.db"
        store = Store(path)
        took = []
        for i in range(changes):
            began = time.perf_counter()
            store.apply(
                [Mutation("tenant", f"t{i % 1000}", encode({"n": i, "text": "x" * 200}))], "w", float(i)
            )
            took.append(time.perf_counter() - began)
        took.sort()
        began = time.perf_counter()
        store.verify()
        verified = time.perf_counter() - began
        began = time.perf_counter()
        store.backup(Path(folder) / "copy.db")
        backed = time.perf_counter() - began
        p50, p99 = took[changes // 2] * 1e3, took[changes * 99 // 100] * 1e3
        click.echo(f"{changes} changes: p50 {p50:.2f} ms, p99 {p99:.2f} ms, {changes / sum(took):.0f}/s")
        click.echo(f"verify {verified:.2f} s, backup {backed:.2f} s, {path.stat().st_size / 1e6:.1f} MB")


@main.command()
@click.option("--count", default=200, show_default=True)
@click.option("--seed", default=1, show_default=True)
def kills(count: int, seed: int) -> None:
    """Kill a writer at random moments; fails at the first file that is not whole."""
    draw, behind = random.Random(seed), 0
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "s.db"
        for number in range(count):
            last, found = kill_writer_once(path, seed * 1000 + number, draw.randint(1, 30))
            behind += found > last
        click.echo(
            f"{count} kills, revision {found}: all acknowledged changes there, no half; {behind} found more"
        )


if __name__ == "__main__":
    main()
