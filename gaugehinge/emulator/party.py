"""A played party as a process of its own: `python -m gaugehinge.emulator.party FILE`.

FILE is its part of a play as JSON (`ServerPart`, `OriginPart`, `DirectoryPart`). Orders come as JSON lines on
standard input, and the process ends with that; what it has to say goes out as JSON lines on standard output.
"""

from __future__ import annotations

import socket
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..histories.events import Connections, Note, Recorder
from ..net.sockets import listener, shut

BACKLOG = 512
AFTER_ERROR = 0.01  # seconds: a lasting one must not take the core
KEEP_IDLE = 60.0  # seconds after which a store closes a connection that nothing came on


class Part(msgspec.Struct, tag_field="role"):
    """What every party is told."""

    name: str
    folder: str  # of the histories
    files: str  # folder of its own files
    host: str
    port: int
    routers: dict[str, str]  # name by the address that it is seen at


class ServerPart(Part, tag="server"):
    """A cache server."""

    zone: str
    asks_origin: bool
    work: float  # seconds of a hit
    bears: int  # connections from all routers; 0: not limited
    warm_up: float  # seconds
    memory: float  # seconds for which marks are remembered
    starts_cold: bool
    falls: bool
    cores: int = 4
    queue: int = 200
    keep_idle: float = KEEP_IDLE


class OriginPart(Part, tag="origin"):
    """The origin, which tells servers what they missed."""

    work: float
    bears: int
    memory: float
    servers: list[tuple[str, int]]  # where they hear of values
    cores: int = 16
    queue: int = 400
    keep_idle: float = KEEP_IDLE


class Listed(msgspec.Struct):
    """One entry of discovery's list."""

    uid: str
    host: str  # with {router} for the router's number
    zone: str
    kind: str
    cell: int
    state: str = "ready"
    boot_ms: int = 0


class DirectoryPart(Part, tag="discovery"):
    """Discovery."""

    listen: list[tuple[str, int]]  # one for each router
    entries: list[Listed]
    lateness: float
    seed: int
    rev: int
    moves: bool = False  # `listen` has a second address of each router behind all first ones


AnyPart = ServerPart | OriginPart | DirectoryPart


def say(**what: Any) -> None:
    """One line to the play."""
    sys.stdout.buffer.write(msgspec.json.encode(what) + b"\n")
    sys.stdout.buffer.flush()


async def orders(heard: Callable[[dict[str, Any]], None]) -> None:
    """Orders of the play, until it ends."""
    stream, buffer = trio.lowlevel.FdStream(0), bytearray()
    while data := await stream.receive_some():
        buffer += data
        while (end := buffer.find(b"\n")) >= 0:
            line = bytes(buffer[:end])
            del buffer[: end + 1]
            heard(msgspec.json.decode(line))


class Doorkeeper:
    """A store's connections: accepted, counted by router, told to the history at each change."""

    def __init__(self, part: Part, recorder: Recorder, most: int) -> None:
        self.part, self.recorder, self.most = part, recorder, most
        self.by: Counter[str] = Counter()  # open ones, by router
        self.raws: set[socket.socket] = set()
        self.listening: socket.socket | None = None

    def _count(self, who: str, step: int) -> None:
        self.by[who] += step
        if not self.by[who]:
            del self.by[who]
        name, now = self.part.name, self.recorder.now()
        self.recorder.put(Connections(now, name, name, self.by.total(), dict(self.by)))

    async def run(
        self, nursery: trio.Nursery, serve: Callable[[socket.socket, str, bool], Awaitable[None]]
    ) -> None:
        """Accept until cancelled. `serve` gets a connection, whose it is, and whether it is one too many."""
        raw = self.listening = listener((self.part.host, self.part.port), BACKLOG)
        while raw.fileno() >= 0:
            try:
                await trio.lowlevel.wait_readable(raw)
                new, sender = raw.accept()
            except BlockingIOError:
                continue
            except trio.ClosedResourceError:
                return
            except OSError:
                await trio.sleep(AFTER_ERROR)
                continue
            new.setblocking(False)
            new.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            who = self.part.routers.get(sender[0], sender[0])
            self.raws.add(new)
            self._count(who, 1)
            nursery.start_soon(self._serve, new, who, serve)

    async def _serve(
        self, raw: socket.socket, who: str, serve: Callable[[socket.socket, str, bool], Awaitable[None]]
    ) -> None:
        try:
            await serve(raw, who, bool(self.most) and len(self.raws) > self.most)
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            self.raws.discard(raw)
            shut(raw)
            self._count(who, -1)

    def close(self) -> None:
        """No listener and no connection any more, as of a process that ended."""
        if self.listening is not None:
            shut(self.listening)
        for raw in list(self.raws):
            shut(raw)


class Bench:
    """So many pieces of work at a time, and a queue; what comes to a full one is turned away."""

    def __init__(self, cores: int, queue: int) -> None:
        self.queue = queue
        self.cores = trio.CapacityLimiter(cores)

    async def work(self, seconds: float) -> bool:
        """Whether it was done."""
        if self.cores.statistics().tasks_waiting >= self.queue:
            return False
        async with self.cores:
            await trio.sleep(seconds)
        return True


class MarkBook:
    """Marks of deduplicated writes and their receipts, for their time, in a file.

    The file is not synced: a process that is killed loses nothing of it, a machine without power does.
    """

    def __init__(self, path: Path, memory: float, now: float, note: Callable[[str], None]) -> None:
        self.memory = memory
        self.kept: dict[str, tuple[float, str]] = {}  # until when, and the receipt
        self._next = now + memory
        self._file = None
        bad = 0
        with suppress(OSError):
            for line in path.read_bytes().splitlines():
                try:
                    mark, until, receipt = msgspec.json.decode(line, type=tuple[str, float, str])
                except msgspec.MsgspecError:
                    bad += 1
                    continue
                if until > now:
                    self.kept[mark] = until, receipt
        if bad:
            note(f"{bad} marks not whole")
        try:
            self._file = path.open("ab", buffering=0)
        except OSError as what:
            note(f"marks are not kept: {what}")

    def first(self, mark: str, receipt: str, now: float) -> str | None:
        """None and remembered from here on, where the mark is new; else the receipt of the first."""
        if now >= self._next:
            self._next = now + self.memory
            self.kept = {each: told for each, told in self.kept.items() if told[0] > now}
        held = self.kept.get(mark)
        if held is not None and held[0] > now:
            return held[1]
        until = now + self.memory
        self.kept[mark] = until, receipt
        if self._file is not None:
            self._file.write(msgspec.json.encode((mark, until, receipt)) + b"\n")
        return None


def own(word: str) -> str:
    """An id or a mark as its client wrote it: a hosted router sets the tenant's own space before it."""
    return word.partition(".")[2] or word


async def _main(part: AnyPart) -> None:
    recorder = Recorder(Path(part.folder), part.name)

    def note(text: str) -> None:
        recorder.put(Note(recorder.now(), part.name, text))

    async with trio.open_nursery() as nursery:
        if isinstance(part, ServerPart):
            from .cacheparty import CacheParty

            party = CacheParty(part, recorder, note)
        elif isinstance(part, OriginPart):
            from .originparty import OriginParty

            party = OriginParty(part, recorder, note)
        else:
            from .listparty import ListParty

            party = ListParty(part, note)
        nursery.start_soon(party.run, nursery)
        await orders(party.order)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Until told to end, or the play has ended."""
    part = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=AnyPart)
    trio.run(_main, part)


if __name__ == "__main__":
    main()
