"""Long values that hold one status line of HTTP after another, read through a miss."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import rig

SIZE = 64 * 1024 if rig.TROUBLE else 1024  # bytes of a long value; the protocol page allows 64 KiB
# What long values hold, a log of checks: first with lines of some other form, for comparison.
LINES = {b"other": b"HTTP-1.1 200 OK\r\n", b"log": b"HTTP/1.1 200 OK\r\n"}
LONG = 6  # keys with each kind of value, each of them read once
USUAL = 10  # clients of the usual kind, each with one request at a time on a connection that it keeps
SECONDS = 8.0
PAUSE = 0.2  # seconds between two requests of a usual client
WAIT = 0.48  # seconds that a client waits, its label d
SLACK = 0.5 + 0.05  # seconds after that in which an answer only earns nothing, with the slack on sockets
PATIENCE = 20.0  # seconds for which the record goes on


def kind_of(key: bytes) -> bytes | None:
    """Return the kind of a key's long value; None if it has a short one."""
    return next((kind for kind in LINES if key.startswith(kind)), None)


class Cache(rig.Cache):
    """A cache server that lacks the long values and holds all others."""

    async def serve(self, reader, writer) -> None:
        """Handle one connection."""
        while True:
            words = await rig.read_value(reader)
            if words[0].upper() != b"KV.GET":
                await self.send(writer, b"+OK\r\n")
            elif kind_of(words[1]) is not None:
                await self.send(writer, b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
            else:
                value = rig.bulk(self.value_of(words[1]))
                await self.send(writer, b"*3\r\n" + value + rig.bulk(b"hit") + b"$-1\r\n")


class LongOrigin(rig.Origin):
    """An origin that holds the long values."""

    async def serve(self, reader, writer) -> None:
        """Handle one connection."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            key = head[0].split(" ")[1][1:]
            await asyncio.sleep(self.delay)
            line = LINES[kind_of(key.encode())]
            body = (f"{key}\r\n".encode() + line * (SIZE // len(line)))[:SIZE]
            self.record(f"origin answers GET {key} with {len(body)} bytes")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()


class Client:
    """A client with one connection, which it opens again once it has ended."""

    def __init__(self, port: int, number: int, record: rig.Record) -> None:
        self.port, self.number, self.record = port, number, record
        self.reader = self.writer = None
        self.asked = 0

    async def ask(self, key: bytes) -> str:
        """Send one request; return what became of it."""
        self.asked += 1
        ident = b"%08x%08x" % (0xA000 + self.number, self.asked)
        if self.writer is None:
            connecting = asyncio.open_connection(rig.HOST, self.port)
            self.reader, self.writer = await asyncio.wait_for(connecting, PATIENCE)
        sent = time.monotonic()
        self.writer.write(rig.command(b"KV.GET", key, ident, rig.READ % (WAIT * 1000)))
        what = "nothing"
        try:
            answer = await asyncio.wait_for(rig.read_value(self.reader), PATIENCE)
            what = "served" if isinstance(answer, bytes) else answer[1].split()[0]
        except TimeoutError:
            pass
        except (EOFError, OSError):
            what = "closed"
        took = time.monotonic() - sent
        lost = took > WAIT + SLACK
        self.record(
            f"request {ident.decode()} for {key.decode()}: {what} after {took:.3f} s{', LOST' * lost}"
        )
        if what in ("nothing", "closed"):
            self.writer.close()
            self.writer = None
        return "lost" if lost else what


async def ask_often(client: Client, end: float) -> list[str]:
    """Play one usual client."""
    results = []
    while time.monotonic() < end:
        results.append(await client.ask(b"key%d" % client.number))
        await asyncio.sleep(PAUSE)
    return results


async def case(record: rig.Record, folder: Path) -> int:
    """Usual clients, and others that read long values; broken if a request of the usual ones is lost."""
    discovery, origin = rig.Discovery(record), LongOrigin(record)
    caches = [Cache(f"s-{n}", record) for n in range(3)]
    for server in (discovery, origin, *caches):
        await server.start()
    discovery.set("s-origin", origin.port, model="origin")
    for cache in caches:
        discovery.set(cache.name, cache.port)
    router = rig.Router(record, folder, rig.configuration(rig.free_port(), discovery.port, discovery.whole()))
    try:
        await router.start()
        end = time.monotonic() + SECONDS
        clients = [Client(router.port, number, record) for number in range(USUAL)]
        usual = [asyncio.create_task(ask_often(client, end)) for client in clients]
        for turn, kind in enumerate(LINES, 1):
            await asyncio.sleep(2.0)
            record(f"{LONG} clients read long values, kind {kind.decode()}")
            others = [Client(router.port, 100 * turn + n, record) for n in range(LONG)]
            await asyncio.gather(*(client.ask(b"%b%d" % (kind, n)) for n, client in enumerate(others)))
        results = [result for made in await asyncio.gather(*usual) for result in made]
        counts = ", ".join(f"{results.count(what)} {what}" for what in sorted(set(results)))
        record(f"of {len(results)} usual requests: {counts}")
        return rig.BROKEN if "lost" in results else rig.HELD
    finally:
        await router.end()


rig.play(case, str(Path(__file__).resolve().parent))
