"""The cluster dialect: CPU an operation beside the platform's, fetches at a full remap, many mornings.

python benchmarks/cluster.py cpu                 # one router as a process of its own, both dialects in turns
python benchmarks/cluster.py remap               # all slots move with a thousand operations waiting
python benchmarks/cluster.py mornings --seeds 20 # both dialects through rolling restarts while slots move
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import click
import trio
from loguru import logger

from gaugehinge.cluster.build import slot_routing_of
from gaugehinge.cluster.resp3 import CLIENT_LIMITS, Reader, command
from gaugehinge.cluster.slots import SLOTS
from gaugehinge.forms import toml
from gaugehinge.rehearsal.clusterplay import Play, playing
from gaugehinge.rehearsal.clusterrun import morning

TICKS = os.sysconf("SC_CLK_TCK")
CLIENTS = 8
KEYS = 500


def cpu_of(pid: int) -> float:
    """CPU seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def reads(where: tuple[str, int], platform: bool, until: float, done: Counter, number: int) -> None:
    """One client that reads as fast as it is answered."""
    stream, reader, count = await trio.open_tcp_stream(*where), Reader(CLIENT_LIMITS), 0
    draw = random.Random(number)
    async with stream:
        while trio.current_time() < until:
            count += 1
            key = b"k%d" % draw.randrange(KEYS)
            ident = b"%d-%d-%d" % (number, count, platform)
            words = [b"KV.GET", key, ident, b"c=read,d=2000"] if platform else [b"GET", key]
            await stream.send_all(command(*words))
            while (message := reader.next()) is None:
                reader.feed(await stream.receive_some())
            done["settled" if isinstance(message.value, bytes) and message.value[:1] == b"v" else "else"] += 1


async def ready(where: tuple[str, int]) -> None:
    """Until a router answers PING."""
    with trio.fail_after(20):
        while True:
            try:
                async with await trio.open_tcp_stream(*where) as stream:
                    await stream.send_all(command(b"PING"))
                    if (await stream.receive_some()).startswith(b"+PONG"):
                        return
            except OSError:
                pass
            await trio.sleep(0.05)


async def measure(turns: int, lasts: float) -> None:
    """CPU an operation of a router, the dialects in turns."""
    async with playing(inside=False) as made:
        for key in range(KEYS):
            for shard in made.shards.all.values():
                shard.data[b"k%d" % key] = b"v" * 200
        folder = Path(tempfile.mkdtemp(prefix="cluster-"))
        toml.write(folder / "router.toml", made.files[0])
        words = [
            sys.executable,
            "-m",
            "gaugehinge.cli",
            "--log-level",
            "ERROR",
            "serve",
            str(folder / "router.toml"),
        ]
        router = subprocess.Popen(words)
        try:
            await ready(made.plain[0])
            await trio.sleep(1.0)
            click.echo(
                "| turn | dialect | operations | settled | CPU an operation, ms |\n" + "| --- " * 5 + "|"
            )
            for turn in range(2 * turns):
                platform = turn % 2 == 0
                where = made.plain[0] if platform else made.clients[0]
                done: Counter = Counter()
                before, until = cpu_of(router.pid), trio.current_time() + lasts
                async with trio.open_nursery() as nursery:
                    for number in range(CLIENTS):
                        nursery.start_soon(reads, where, platform, until, done, number + 100 * turn)
                count = sum(done.values())
                each = (cpu_of(router.pid) - before) / count * 1000.0
                name = "platform" if platform else "cluster"
                click.echo(f"| {turn // 2} | {name} | {count} | {done['settled'] / count:.4f} | {each:.3f} |")
        finally:
            router.terminate()
            router.wait()


async def remapped(waiting: int) -> None:
    """All slots move at once while many operations are out."""
    async with playing(owners=4, replicas=0, work=0.002) as made:
        await _move_all(made, waiting)


async def _move_all(made: Play, waiting: int) -> None:
    map_tracker = slot_routing_of(made.services[0]).map_tracker
    stream, reader = await trio.open_tcp_stream(*made.clients[0]), Reader(CLIENT_LIMITS)
    keys = [b"k%d" % i for i in range(waiting)]
    for name in ("c-0", "c-1", "c-2", "c-3"):
        made.shards.all[name].data.update(dict.fromkeys(keys, b"v"))
    before, redirected = map_tracker.fetches, made.shards.redirections
    names = ["c-0", "c-1", "c-2", "c-3"]
    for slot in range(SLOTS):
        made.shards.owner[slot] = names[(names.index(made.shards.owner[slot]) + 1) % 4]
    made.shards.epoch += 1
    made.shards._spread()
    began = time.perf_counter()
    answers: Counter = Counter()

    async def send() -> None:
        for key in keys:
            await stream.send_all(command(b"GET", key))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send)
        for _ in keys:
            while (message := reader.next()) is None:
                reader.feed(await stream.receive_some())
            answers["settled" if message.value == b"v" else "bounced"] += 1
    span = time.perf_counter() - began
    click.echo(
        f"{waiting} operations behind a full remap: {dict(answers)} in {span:.2f} s, "
        f"{made.shards.redirections - redirected} redirections, {map_tracker.fetches - before} fetches"
    )


@click.group()
def main() -> None:
    """Benchmarks of the cluster dialect."""
    logger.remove()
    logger.add(sys.stderr, level="ERROR")


@main.command()
@click.option("--turns", default=3, show_default=True)
@click.option("--lasts", default=4.0, show_default=True)
def cpu(turns: int, lasts: float) -> None:
    """CPU an operation, both dialects in turns at one router."""
    trio.run(measure, turns, lasts)


@main.command()
@click.option("--waiting", default=1000, show_default=True)
def remap(waiting: int) -> None:
    """Fetches of the map while all slots move."""
    trio.run(remapped, waiting)


@main.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--first", default=1, show_default=True)
@click.option("--lasts", default=6.0, show_default=True)
def mornings(seeds: int, first: int, lasts: float) -> None:
    """Mornings by seed; exit 1 where a rule broke."""
    broken = 0
    click.echo(
        "| seed | operations | settled | bounced | forfeited | restarts | moves | redirections | broken |"
    )
    click.echo("| --- " * 9 + "|")
    for seed in range(first, first + seeds):
        told = trio.run(morning, seed, lasts)
        counts = Counter(told.outcomes)
        broken += len(told.breaks)
        row = [
            seed,
            told.operations,
            counts["settled"],
            counts["bounced"],
            counts["forfeited"],
            told.restarts,
        ]
        row += [told.moves, told.redirections, len(told.breaks)]
        click.echo("| " + " | ".join(map(str, row)) + " |")
        for text in told.breaks[:5]:
            click.echo(f"  {text}", err=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
