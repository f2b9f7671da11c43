"""A cache server as a process: stores, misses what it lacks, forgets with its process, is cold at first."""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..histories.events import Attempt, Recorder
from ..net.resp import Malformed, Parser, bulk
from ..net.sockets import receive, send_all, shut
from .doors import parse_labels
from .machine import Strain
from .party import Bench, Doorkeeper, MarkBook, ServerPart, own, say

COLD_PART = 0.3  # of its speed that a cold server has
FALL_MULTIPLE, FALL_TIME = 2.5, 1.0  # a cold one falls over, sent so many times what it can do for so long
DOWN_TIME = 0.5  # seconds until it is back from that
MOST_KEYS = 100_000  # the one written longest ago goes first
MISS_KEEP = 5.0  # seconds for which it stands for a value that it missed
FIRST_WORD = 2.0  # seconds that one connection too many has to ask, before it is closed unasked
MOST_VALUE = 1 << 20


class Filled(msgspec.Struct):
    """A value from the origin, for those that missed it by this id. No id: it was written, what is held is
    dropped."""

    key: str
    ident: str
    value: bytes


class CacheParty:
    """One cache server."""

    def __init__(self, part: ServerPart, recorder: Recorder, note: Callable[[str], None]) -> None:
        self.part, self.recorder, self.note = part, recorder, note
        now = recorder.now()
        self.doors = Doorkeeper(part, recorder, part.bears)
        self.bench = Bench(part.cores, part.queue)
        self.marks = MarkBook(Path(part.files) / "marks", part.memory, now, note)
        self.data: dict[bytes, bytes] = {}  # MOST_KEYS of them
        self.missed: dict[str, float] = {}  # ids, until when; swept each MISS_KEEP
        self.next_sweep = now + MISS_KEEP
        self.drained: dict[str, float] = {}  # routers that were told that it drains, and when
        self.warm_at = now + part.warm_up if part.starts_cold else now
        self.strain = Strain(FALL_TIME, now)
        self.fallen = trio.Event()

    def order(self, told: dict[str, Any]) -> None:
        """What the play says."""
        for router in told.get("drained", ()):
            self.drained[router] = told["at"]
        for router in told.get("undrained", ()):
            self.drained.pop(router, None)

    async def run(self, nursery: trio.Nursery) -> None:
        """Serve; fall over and come back cold where that is played."""
        nursery.start_soon(self._fills)
        nursery.start_soon(self._say_up)
        while True:
            async with trio.open_nursery() as lives:
                lives.start_soon(self.doors.run, lives, self.serve)
                await self.fallen.wait()
                self.doors.close()
                lives.cancel_scope.cancel()
            say(fell=True)
            self.note("fell over, pushed while cold")
            await trio.sleep(DOWN_TIME)
            now = self.recorder.now()
            self.data.clear()
            self.missed.clear()
            self.warm_at, self.strain = now + self.part.warm_up, Strain(FALL_TIME, now)
            self.bench = Bench(self.part.cores, self.part.queue)
            self.fallen = trio.Event()
            nursery.start_soon(self._say_up)

    async def _say_up(self) -> None:
        while self.doors.listening is None or self.doors.listening.fileno() < 0:
            await trio.sleep(0.001)
        say(up=True)

    # -- connections

    async def serve(self, raw: socket.socket, who: str, too_many: bool) -> None:
        """One connection."""
        if too_many:
            with trio.move_on_after(FIRST_WORD):
                if await receive(raw):
                    await send_all(raw, b"-BUSY\r\n")
            return
        parser = Parser(MOST_VALUE)
        while True:
            with trio.move_on_after(self.part.keep_idle) as limit:
                data = await receive(raw)
            if limit.cancelled_caught or not data:
                return
            parser.feed(data)
            try:
                while (message := parser.next()) is not None:
                    words = [part.body for part in message.top.body]
                    await send_all(raw, await self.answer(words, who))
            except (Malformed, TypeError):
                return

    async def answer(self, words: list[bytes], who: str) -> bytes:
        """One command's answer. What it does is done, and on record, before any time passes."""
        if words[0] == b"PING":
            return b"+PONG\r\n"
        if words[0] == b"SELECT":
            return b"+OK\r\n"
        write = words[0] == b"KV.SET"
        if words[0] not in (b"KV.GET", b"KV.SET") or len(words) != 4 + write:
            return b"-ERR unknown command\r\n"
        now, part = self.recorder.now(), self.part
        cold = now < self.warm_at
        work = part.work / (COLD_PART if cold else 1.0)
        if cold and part.falls:
            self.strain.add(work, now)
            if self.strain.over(part.cores, FALL_MULTIPLE, now):
                self.fallen.set()
                await trio.sleep_forever()
        if self.bench.cores.statistics().tasks_waiting >= part.queue:
            self._attempt(now, words, who, write, "", False, cold)
            return b"-BUSY\r\n"
        labels = parse_labels(words[3])
        reply = self._write(now, words, who, labels, cold) if write else self._read(now, words, who, cold)
        if not await self.bench.work(work):
            # It was taken before the queue filled: what ran has run, and that must not be denied.
            await trio.sleep(work)
        return reply

    def _read(self, now: float, words: list[bytes], who: str, cold: bool) -> bytes:
        self._attempt(now, words, who, False, "", False, cold)
        value = self.data.get(words[1])
        if value is not None:
            return b"*3\r\n" + bulk(value) + b"$3\r\nhit\r\n$-1\r\n"
        if self.part.asks_origin:
            if now >= self.next_sweep:
                self.next_sweep = now + MISS_KEEP
                self.missed = {ident: until for ident, until in self.missed.items() if until > now}
            self.missed[words[2].decode("latin-1")] = now + MISS_KEEP
            return b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
        return b"*3\r\n" + bulk(b"of " + words[1]) + b"$4\r\nmiss\r\n$-1\r\n"

    def _write(self, now: float, words: list[bytes], who: str, labels: dict[str, str], cold: bool) -> bytes:
        mark = labels.get("k", "")
        receipt = "done " + own(words[2].decode("latin-1"))
        before = self.marks.first(mark, receipt, now) if mark else None
        self._attempt(now, words, who, True, mark, before is None, cold)
        if before is None:
            self._store(words[1], words[4])
        return b"*3\r\n" + bulk((before or receipt).encode()) + b"$2\r\nok\r\n$-1\r\n"

    def _attempt(
        self, now: float, words: list[bytes], who: str, write: bool, mark: str, effect: bool, cold: bool
    ) -> None:
        told_at = self.drained.get(who, 0.0)
        key, ident = (word.decode("latin-1") for word in words[1:3])
        self.recorder.put(
            Attempt(
                now,
                self.part.name,
                self.part.name,
                self.part.zone,
                own(ident),
                key,
                write,
                own(mark),
                effect,
                cold,
                told_at > 0.0,
                told_at,
            )
        )

    def _store(self, key: bytes, value: bytes) -> None:
        self.data.pop(key, None)
        self.data[key] = value
        if len(self.data) > MOST_KEYS:
            del self.data[next(iter(self.data))]

    # -- values from the origin

    async def _fills(self) -> None:
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        raw.setblocking(False)
        raw.bind((self.part.host, self.part.port))
        try:
            while True:
                await trio.lowlevel.wait_readable(raw)
                try:
                    told = msgspec.msgpack.decode(raw.recv(65536), type=Filled)
                except (OSError, msgspec.MsgspecError):
                    continue
                key = told.key.encode("latin-1")
                if not told.ident:
                    self.data.pop(key, None)
                elif self.missed.pop(told.ident, 0.0) > self.recorder.now():
                    self._store(key, told.value)
        finally:
            shut(raw)
