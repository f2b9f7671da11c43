"""Cache servers that answer many requests at a time with long values, in small pieces."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import rig

MEMORY_MB = 96  # half of 192
SOCKETS = 512  # half of 1,024
SIZE = 1_000_000 if rig.TROUBLE else 64 * 1024  # bytes of a value
CLIENTS = 150  # requests at a time: under a third of the descriptors
ROUNDS = 5
RATE, CALM = 600, 4.0  # requests a second for short values before that, and seconds of it
WAIT = 5.0  # seconds that a client waits, its label d
PIECE = 32 * 1024  # bytes that a cache server writes at once
TIME = 0.6  # seconds in which it writes a value


class SlowCache(rig.Cache):
    """Writes its answers in small pieces."""

    async def send(self, writer, data: bytes) -> None:
        """Write an answer, a piece at a time."""
        if len(data) < PIECE:
            await super().send(writer, data)
            return
        for start in range(0, len(data), PIECE):
            await super().send(writer, data[start : start + PIECE])
            await asyncio.sleep(TIME * PIECE / len(data))


async def ask(port: int, number: int) -> str:
    """One request; returns what became of it."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(rig.HOST, port, limit=1 << 22), 5.0)
        ident = b"%016x" % number
        writer.write(rig.command(b"KV.GET", b"key%d" % number, ident, rig.READ % (WAIT * 1000)))
        answer = await asyncio.wait_for(rig.read_value(reader), WAIT + 2.0)
        writer.close()
    except TimeoutError:
        return "unanswered"
    except (OSError, EOFError, asyncio.IncompleteReadError):
        return "lost with the router"
    if isinstance(answer, bytes):
        return "served" if answer == value_of(b"key%d" % number) else "served wrongly"
    return f"answered {answer[1].split()[0]}"


async def ask_often(port: int, first: int) -> int:
    """Short requests, one after the other on one connection; returns how many were served."""
    reader, writer = await asyncio.open_connection(rig.HOST, port)
    served, end = 0, time.monotonic() + CALM
    while time.monotonic() < end:
        first += 1
        writer.write(rig.command(b"KV.GET", b"short%d" % (first % 500), b"%016x" % first, rig.READ % 1500))
        served += isinstance(await rig.read_value(reader), bytes)
        await asyncio.sleep(40 / RATE)
    writer.close()
    return served


def value_of(key: bytes) -> bytes:
    """Return the value of a key."""
    return key if key.startswith(b"short") else (key + b" ").ljust(SIZE, b"v")


async def watch_memory(router: rig.Router, record: rig.Record, seen: list) -> None:
    """The platform: over its limit the router is killed."""
    while router.process.returncode is None:
        used = router.memory()
        seen.append(used)
        if used > MEMORY_MB << 20:
            record(f"the router has {used / 1048576:.1f} MiB of memory of its own, over {MEMORY_MB}: killed")
            rig.kill_now(router.process)
            return
        await asyncio.sleep(0.01)


async def case(record: rig.Record, folder: Path) -> int:
    """Short requests, then long ones many at a time; broken if the router goes over its memory."""
    discovery, origin = rig.Discovery(record), rig.Origin(record)
    caches = [SlowCache(f"s-{n}", record) for n in range(4)]
    for server in (discovery, origin, *caches):
        await server.start()
    discovery.set("s-origin", origin.port, model="origin")
    for cache in caches:
        cache.value_of = value_of
        discovery.set(cache.name, cache.port)
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    router = rig.Router(
        record, folder, rig.configuration(rig.free_port(), discovery.port, discovery.whole(), limits=limits)
    )
    seen: list = []
    try:
        await router.start()
        record(f"memory at rest: {router.memory() / 1048576:.1f} MiB")
        watching = asyncio.create_task(watch_memory(router, record, seen))
        for turn in range(ROUNDS):
            firsts = [(n + 1) << 32 | turn << 20 for n in range(40)]
            served = await asyncio.gather(*(ask_often(router.port, first) for first in firsts))
            used = router.memory() / 1048576
            record(f"{sum(served)} short requests served in {CALM:.0f} s; memory {used:.1f} MiB")
            began = time.monotonic()
            results = await asyncio.gather(*(ask(router.port, turn * CLIENTS + n) for n in range(CLIENTS)))
            counts = ", ".join(f"{results.count(w)} {w}" for w in sorted(set(results)))
            record(f"{CLIENTS} requests for {SIZE} bytes in {time.monotonic() - began:.2f} s: {counts}")
            record(f"most memory so far: {max(seen) / 1048576:.1f} MiB")
            if watching.done():
                return rig.BROKEN
        watching.cancel()
        return rig.HELD
    finally:
        await router.end()


rig.play(case, str(Path(__file__).resolve().parent))
