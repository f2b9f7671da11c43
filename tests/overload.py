"""A real router as a process of its own between stand-ins, and clients that misuse it.

python -m tests.overload flood 127.0.0.1:PORT KIND SECONDS     # one connection at full speed
"""

from __future__ import annotations

import itertools
import os
import select
import socket
import sys
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import trio

from gaugehinge.net.resp import bulk

from .helper import SETTINGS, Cache, Web, free_port
from .soak.process import RouterProcess

MEGABYTE = 1 << 20
START_TIMEOUT = 20.0  # seconds
SAMPLE_INTERVAL = 0.01  # seconds between two looks at the memory
OWED_WITHIN = 3.0  # seconds from connecting, in which a client that misbehaves is owed an error or a close
SLACK = 0.5  # seconds behind a client's wait in which its answer is late, but not lost
LABELS = b"c=read,t=acme,d=%d"
WRITE_LABELS = b"c=once,t=acme,d=%d"
VALUE_BYTES = 64 * 1024  # the protocol's limit
COUNT = itertools.count()


def command(*words: bytes) -> bytes:
    """A command as an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


def fresh_id() -> bytes:
    """A request id that was not used before."""
    return b"%08x%08x" % (os.getpid(), next(COUNT))


def read(key: bytes, wait: float, ident: bytes = b"", labels: bytes = b"") -> bytes:
    """A read whose client waits for so many seconds."""
    return command(b"KV.GET", key, ident or fresh_id(), LABELS % (wait * 1000) + labels)


def write(key: bytes, wait: float, value: bytes, ident: bytes = b"") -> bytes:
    """A write that must not be repeated."""
    return command(b"KV.SET", key, ident or fresh_id(), WRITE_LABELS % (wait * 1000), value)


def anonymous_bytes(pid: int) -> int:
    """The memory of a process of its own, without files and shared libraries; 0 once it has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024
    return 0


@dataclass(eq=False)
class Overloaded:
    """A router's process, what stands round it and what was seen of it."""

    port: int
    process: RouterProcess
    caches: list[Cache]
    origin: Web
    nursery: trio.Nursery
    rest_bytes: int = 0  # of memory, when it was ready
    peak_bytes: int = 0  # of memory
    answers: Counter[str] = field(default_factory=Counter)  # of usual clients, by kind
    slowest: float = 0.0  # seconds until a usual client's answer
    told_after: list[float] = field(
        default_factory=list
    )  # seconds after which offenders had an error or a close

    @property
    def peak_mb(self) -> float:
        return self.peak_bytes / MEGABYTE

    async def connect(self) -> trio.SocketStream:
        return await trio.open_tcp_stream("127.0.0.1", self.port)

    async def watch_memory(self) -> None:
        while True:
            self.peak_bytes = max(self.peak_bytes, anonymous_bytes(self.process.child.pid))
            await trio.sleep(SAMPLE_INTERVAL)

    async def ask(self, key: bytes, wait: float) -> None:
        """One request of a usual client on a new connection, and what became of it.

        A connection may be closed before its request was read: the client then sends it once more.
        """
        began, kind = trio.current_time(), "unanswered"
        with trio.move_on_after(wait + 5.0):
            kind = await self._ask_once(key, wait)
            if kind == "closed" and trio.current_time() < began + wait:
                kind = await self._ask_once(key, wait - (trio.current_time() - began))
        took = trio.current_time() - began
        self.slowest = max(self.slowest, took)
        self.answers[kind if took <= wait + SLACK else f"{kind} late"] += 1

    async def _ask_once(self, key: bytes, wait: float) -> str:
        answer = b""
        with suppress(OSError, trio.BrokenResourceError):
            async with await self.connect() as stream:
                await stream.send_all(read(key, wait))
                while not answer.endswith(b"\r\n") and (data := await stream.receive_some()):
                    answer += data
        return {b"$": "served", b"-": answer[1:5].decode().strip()}.get(answer[:1], "closed")

    async def usual_clients(self, seconds: float, count: int = 8, pause: float = 0.02) -> None:
        """Clients of the usual kind, each with one request after the other."""

        async def one(number: int) -> None:
            for turn in itertools.count():
                if trio.current_time() >= end:
                    return
                await self.ask(b"k%d" % ((number * 37 + turn) % 100), 1.0)
                await trio.sleep(pause)

        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(one, number)

    def lost(self) -> int:
        """Usual requests with no answer in their time."""
        return sum(count for kind, count in self.answers.items() if kind not in ("served", "BUSY", "ERR"))

    def closes(self) -> list[str]:
        """The router's lines on closed connections."""
        return [line for line in self.process.log().splitlines() if "connections closed" in line][-2:]


@asynccontextmanager
async def overloaded(
    tmp_path, memory_mb: int, sockets: int, caches: list[Cache] | None = None, settings: dict | None = None
) -> AsyncIterator[Overloaded]:
    """Start stand-ins and a router as a process of its own; both end with the block."""
    caches = caches or [Cache() for _ in range(6)]
    origin = Web(lambda method, target, headers, body: (200, "", b"receipt"))
    discovery = Web(lambda *call: "stall")
    async with trio.open_nursery() as nursery:

        async def stand(handler) -> str:
            serve = partial(trio.serve_tcp, handler, 0, host="127.0.0.1")
            [listener] = await nursery.start(serve)
            return f"127.0.0.1:{listener.socket.getsockname()[1]}"

        targets = []
        for number, (server, kind) in enumerate(
            zip([*caches, origin], ["std"] * len(caches) + ["origin"], strict=True)
        ):
            entry = {"uid": f"s-{number}", "endpoint": await stand(server.serve), "az": "a", "model": kind}
            targets.append({**entry, "pod_group": 0, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0})
        port = free_port()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": await stand(discovery.serve),
            "seed": "0a",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "settings": {**(settings or SETTINGS), "replicasOfMe": 1},
            "known": {"rev": 1, "all": True, "targets": targets},
        }
        process = RouterProcess(tmp_path, next(COUNT), config, "")
        made = Overloaded(port, process, caches, origin, nursery)
        try:
            with trio.fail_after(START_TIMEOUT):
                while not await _answers_ping(made):
                    await trio.sleep(0.02)
            made.rest_bytes = anonymous_bytes(process.child.pid)
            nursery.start_soon(made.watch_memory)
            yield made
            assert process.runs, process.log()[-2000:]
        finally:
            process.signal("SIGKILL")
            process.child.wait()
            nursery.cancel_scope.cancel()


async def _answers_ping(made: Overloaded) -> bool:
    with suppress(OSError, trio.BrokenResourceError), trio.move_on_after(1.0):
        async with await made.connect() as stream:
            await stream.send_all(command(b"PING"))
            return (await stream.receive_some()).startswith(b"+PONG")
    return False


# -- one connection at full speed, in a process of its own

FLOODS: dict[str, Callable[[int], bytes]] = {
    "ping": lambda number: command(b"PING"),
    "unknown command": lambda number: command(b"FOO%d" % number),
    "too few words": lambda number: command(b"KV.GET", b"k"),
    "new classes": lambda number: command(b"KV.GET", b"k", fresh_id(), b"c=x%d,t=acme,d=500" % number),
    "new tenants": lambda number: command(b"KV.GET", b"k", fresh_id(), b"c=read,t=x%d,d=500" % number),
    "no time left": lambda number: read(b"k%d" % number, 0.001),
    "new keys": lambda number: read(b"new%d" % number, 0.5),
    "long new ids": lambda number: read(b"k%d" % number, 0.001, fresh_id() + b"x" * 30_000),
}
FLOOD_BLOCK_BYTES = 256 * 1024  # of commands, made at once


def flood(port: int, kind: str, seconds: float) -> None:
    """Write commands of a kind on one connection as fast as it takes them, and read what comes."""
    end, number = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        with suppress(OSError), socket.create_connection(("127.0.0.1", port), 1.0) as sock:
            sock.setblocking(False)
            is_open = True
            while is_open and time.monotonic() < end:
                block = bytearray()
                while len(block) < FLOOD_BLOCK_BYTES:
                    number += 1
                    block += FLOODS[kind](number)
                is_open = _write_all(sock, memoryview(block), end)


def _write_all(sock: socket.socket, unsent: memoryview, end: float) -> bool:
    """Write a block, and read what comes meanwhile; False once the connection has ended."""
    while unsent and time.monotonic() < end:
        select.select([sock], [sock], [], 0.1)
        with suppress(BlockingIOError):
            unsent = unsent[sock.send(unsent) :]
        with suppress(BlockingIOError):
            if not sock.recv(MEGABYTE):
                return False
    return True


@asynccontextmanager
async def flooded(made: Overloaded, kind: str, seconds: float) -> AsyncIterator[None]:
    """Flood a router from another process while the block runs."""
    words = [sys.executable, "-m", "tests.overload", "flood", str(made.port), kind, str(seconds)]
    process = await trio.lowlevel.open_process(words, cwd=Path(__file__).parent.parent)
    try:
        await trio.sleep(1.0)  # until it has begun
        yield
    finally:
        process.kill()
        await process.wait()


if __name__ == "__main__":
    flood(int(sys.argv[2]), sys.argv[3], float(sys.argv[4]))
