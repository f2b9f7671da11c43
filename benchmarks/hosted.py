"""The hosted service: how soon changes reach routers, tenants kept apart, what tenants cost a router.

python benchmarks/hosted.py churn --seeds 3    # three tenants, one hostile, 200 changes, five routers
python benchmarks/hosted.py cut --times 20     # one of five routers cut off from the keeper, and back
python benchmarks/hosted.py cost               # CPU and memory of a router with 1, 100 and 1,000 tenants
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path

import click
import httpx
import msgspec
import trio
from loguru import logger

from gaugehinge.forms import toml
from gaugehinge.rehearsal.hostedplay import Client, Hosted, hosting
from gaugehinge.rehearsal.hostedrun import churn
from gaugehinge.rehearsal.results import histogram, quantile

TICKS = os.sysconf("SC_CLK_TCK")
CLIENTS = 8


def used(pid: int) -> tuple[float, int]:
    """CPU seconds and resident bytes of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS, int(fields[21]) * os.sysconf("SC_PAGE_SIZE")


@click.group()
def main() -> None:
    """Benchmarks of the hosted service."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR")


@main.command("churn")
@click.option("--seeds", default=3, show_default=True)
@click.option("--changes", default=200, show_default=True)
@click.option("--lasts", default=12.0, show_default=True)
def churns(seeds: int, changes: int, lasts: float) -> None:
    """Changes while three tenants with the same keys, ids and marks are served; exit 1 on a break."""
    click.echo("| seed | operations | settled | hostile refused | changes | p50, ms | p99, ms | broken |")
    click.echo("| --- " * 8 + "|")
    broken = 0
    for seed in range(1, seeds + 1):
        told = trio.run(churn, seed, lasts, changes, 5)
        spread = histogram(told.spread)
        half, most = ((quantile(spread, part) or 0.0) * 1000 for part in (0.5, 0.99))
        row = [seed, told.operations, told.settled, told.turned_away, told.changes]
        row += [f"{half:.0f}", f"{most:.0f}"]
        click.echo("| " + " | ".join(map(str, [*row, len(told.breaks)])) + " |")
        broken += len(told.breaks)
        for text in told.breaks[:5]:
            click.echo(f"  {text}", err=True)
    sys.exit(1 if broken else 0)


async def cut_and_back(times: int) -> list[float]:
    """How long a router that was cut off takes to know what it missed, from its return on."""
    took, draw = [], random.Random(1)
    async with hosting(routers=5) as made:
        await made.tenant("acme")
        await made.settle()
        for number in range(times):
            follower = made.followers[number % 5]
            kept, follower.client = follower.client, httpx.AsyncClient(base_url="http://127.0.0.1:9")
            await made.tenant(f"missed-{number}")
            # The call that stood open still ends with that news: it is cut off from the next one on.
            await trio.sleep(0.3 + draw.random())
            await made.tenant(f"missed-too-{number}")
            await trio.sleep(draw.random())
            assert follower.registry.revision < made.keeper.revision
            follower.client, began = kept, trio.current_time()
            while follower.registry.revision < made.keeper.revision:
                await trio.sleep(0.001)
            took.append(trio.current_time() - began)
    return took


@main.command()
@click.option("--times", default=20, show_default=True)
def cut(times: int) -> None:
    """One of five routers cut off, and back."""
    took = sorted(trio.run(cut_and_back, times))
    click.echo(f"{times} returns: p50 {took[len(took) // 2] * 1000:.0f} ms, most {took[-1] * 1000:.0f} ms")


async def reads(made: Hosted, secret: str, until: float, done: Counter[str], number: int) -> None:
    """One client that reads as fast as it is answered."""
    client: Client = await made.client(0, secret)
    draw, count = random.Random(number), 0
    while trio.current_time() < until:
        count += 1
        reply = await client.ask("KV.GET", f"k{draw.randrange(500)}", f"{number}-{count}", "c=read,d=2000")
        done["settled" if reply and reply.startswith(b"$") else "else"] += 1


async def measure(counts: list[int], lasts: float, turns: int) -> None:
    """CPU an operation of a router as a process of its own, with ever more tenants; five of them are busy."""
    async with hosting(inside=False) as made:
        made.shelves.recording = False
        toml.write(made.folder / "router.toml", msgspec.structs.replace(made.files[0]))
        words = [sys.executable, "-m", "gaugehinge.cli", "--log-level", "ERROR", "serve"]
        router = subprocess.Popen([*words, str(made.folder / "router.toml")])
        secrets: list[str] = []
        standing = 0
        click.echo("| tenants | operations | settled | CPU an operation, ms | idle CPU, % | resident, MiB |")
        click.echo("| --- " * 6 + "|")
        try:
            async with made.desk() as desk:
                for count in counts:
                    while standing < count:
                        if len(secrets) < 5:
                            secrets.append(await made.tenant(f"busy-{standing}", allowance=5000.0))
                        else:
                            body = {"name": f"quiet-{standing}", "allowance": 10.0}
                            made_one = await desk.post("/v1/tenants", json=body)
                            if made_one.status_code == 429:
                                await trio.sleep(0.2)
                                continue
                        standing += 1
                    await _heard(made)
                    await trio.sleep(1.0)
                    for turn in range(turns):
                        before = used(router.pid)[0]
                        await trio.sleep(2.0)
                        after = used(router.pid)[0]
                        idle = (after - before) / 2.0
                        done: Counter[str] = Counter()
                        before, until = after, trio.current_time() + lasts
                        async with trio.open_nursery() as nursery:
                            for number in range(CLIENTS):
                                secret = secrets[number % len(secrets)]
                                nursery.start_soon(reads, made, secret, until, done, number + 1000 * turn)
                        after, memory = used(router.pid)
                        total = sum(done.values())
                        each = (after - before) / total * 1000.0
                        row = [count, total, f"{done['settled'] / total:.3f}", f"{each:.3f}"]
                        row += [f"{idle * 100:.1f}", f"{memory / 1048576:.1f}"]
                        click.echo("| " + " | ".join(map(str, row)) + " |")
        finally:
            router.terminate()
            router.wait()


async def _heard(made: Hosted) -> None:
    with trio.fail_after(60):
        while not made.administration.routers.last_reports or any(
            heard.revision < made.keeper.revision
            for heard in made.administration.routers.last_reports.values()
        ):
            await trio.sleep(0.05)


@main.command()
@click.option("--counts", default="1,100,1000", show_default=True)
@click.option("--lasts", default=4.0, show_default=True)
@click.option("--turns", default=3, show_default=True)
def cost(counts: str, lasts: float, turns: int) -> None:
    """What tenants cost a router."""
    trio.run(measure, [int(count) for count in counts.split(",")], lasts, turns)


if __name__ == "__main__":
    main()
