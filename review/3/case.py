"""An origin some of whose answers state a length that does not fit: half of what they bring."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import rig

SPOILT_EVERY = 4  # one answer of the origin in so many is spoilt
REQUESTS = 60
WAIT = 1.5  # seconds that a client waits, its label d


class MissingCache(rig.Cache):
    """A cache server that lacks every key."""

    async def serve(self, reader, writer) -> None:
        """Answer each read with a miss."""
        while True:
            words = await rig.read_value(reader)
            if words[0].upper() == b"KV.GET":
                await self.send(writer, b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
            else:
                await self.send(writer, b"+OK\r\n")


def value_for(method: str, key: str, ident: str) -> bytes:
    """Return what the origin makes for one request."""
    return f"{method} of {key}: made for the request {ident}, whole to the last word".encode()


class SpoilingOrigin(rig.Origin):
    """Answers each request; some answers are spoilt."""

    async def serve(self, reader, writer) -> None:
        """Handle one connection. One on which an answer was spoilt stays open and is of no further use."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, target, _ = head[0].split(" ")
            headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
            await reader.readexactly(int(headers.get("content-length", 0)))
            await asyncio.sleep(self.delay)
            ident = headers["x-txn"]
            body = value_for(method, target[1:], ident)
            self.ran.append((method, ident))
            is_spoilt = rig.TROUBLE and len(self.ran) % SPOILT_EVERY == 0
            length = len(body) // 2 if is_spoilt else len(body)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (length, body))
            await writer.drain()
            self.record(f"origin ran {method} {ident}, stated {length} bytes of {len(body)}")
            if is_spoilt:
                await reader.read()


async def ask(router: rig.Router, number: int, record: rig.Record) -> str:
    """One request, every third one a write; returns what became of it."""
    key, ident = f"chair{number}", f"{0xA000 + number:016x}"
    reader, writer = await asyncio.open_connection(rig.HOST, router.port)
    method = "PUT" if number % 3 == 0 else "GET"
    words = [b"KV.GET", key.encode(), ident.encode(), rig.READ % (WAIT * 1000)]
    if method == "PUT":
        words = [
            b"KV.SET",
            *words[1:3],
            b"c=reservar-cita,t=odonto-austro,d=%d" % (WAIT * 1000),
            b"a booking",
        ]
    sent = time.monotonic()
    writer.write(rig.command(*words))
    try:
        answer = await asyncio.wait_for(rig.read_value(reader), WAIT + 2.0)
    except (TimeoutError, EOFError, OSError):
        answer = None
    writer.close()
    if isinstance(answer, bytes):
        what = "served" if answer == value_for(method, key, ident) else "served wrongly"
    else:
        what = "unanswered" if answer is None else answer[1].split()[0]
    record(f"{method} {ident}: {what} after {time.monotonic() - sent:.3f} s: {answer!r}")
    return what


async def case(record: rig.Record, folder: Path) -> int:
    """Reads that miss and writes; broken if a client gets another value than the one made for its request."""
    discovery, origin = rig.Discovery(record), SpoilingOrigin(record)
    origin.delay = 0.1
    caches = [MissingCache(f"s-{n}", record) for n in range(3)]
    for server in (discovery, origin, *caches):
        await server.start()
    discovery.set("s-origin", origin.port, model="origin")
    for cache in caches:
        discovery.set(cache.name, cache.port)
    router = rig.Router(record, folder, rig.configuration(rig.free_port(), discovery.port, discovery.whole()))
    try:
        await router.start()
        results = []
        for number in range(REQUESTS):
            results.append(asyncio.create_task(ask(router, number, record)))
            await asyncio.sleep(0.02)
        results = await asyncio.gather(*results)
        counts = ", ".join(f"{results.count(what)} {what}" for what in sorted(set(results)))
        record(f"of {REQUESTS} requests: {counts}")
        return rig.BROKEN if "served wrongly" in results else rig.HELD
    finally:
        await router.end()


rig.play(case, str(Path(__file__).resolve().parent))
