"""A morning of the cluster dialect: clients of both, slots that move, every server restarted in turn.

Judged by the four rules from both sides: what each client was told and when, and what the servers' own record
says took effect and when an attempt came.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

import trio

from ..cluster.build import slot_routing_of
from ..cluster.resp3 import CLIENT_LIMITS, Error, Reader, command
from ..cluster.slots import slot_of
from .clusterplay import BOOK, Play, playing

SLACK = 0.1  # over the abandon time that an answer may take on this machine
ABANDON = float(BOOK.abandon_time)
KEYS = 300
TOKEN = b"token-"


@dataclass(slots=True)
class Told:
    """What a morning came to."""

    operations: int = 0
    settled: int = 0
    outcomes: list[str] = field(default_factory=list)
    breaks: list[str] = field(default_factory=list)
    restarts: int = 0
    moves: int = 0
    redirections: int = 0
    fetches: int = 0
    took: list[float] = field(default_factory=list)  # of what was settled, seconds


@dataclass(slots=True, eq=False)
class Morning:
    """One play with its clients."""

    made: Play
    draw: random.Random
    told: Told = field(default_factory=Told)
    answers: dict[bytes, str] = field(default_factory=dict)  # of unrepeatable writes, by token
    stopped: bool = False

    # -- clients

    async def client(self, number: int, platform: bool) -> None:
        """One client, one operation at a time."""
        draw = random.Random(self.draw.random())
        routers = self.made.plain if platform else self.made.clients
        where = routers[number % len(routers)]
        stream, reader, count = None, Reader(CLIENT_LIMITS), 0
        while not self.stopped:
            count += 1
            await trio.sleep(draw.random() * 0.02)
            token = TOKEN + b"%d-%d" % (number, count)
            if stream is None:
                stream, reader = await trio.open_tcp_stream(*where), Reader(CLIENT_LIMITS)
            words, kind = self._operation(draw, token, platform)
            await stream.send_all(command(*words))
            if draw.random() < 0.02:
                await stream.aclose()  # it gave up early: what becomes of it nobody asks
                stream = None
                continue
            moved = await self._one(stream, reader, kind, token, words[1])
            if moved is not None:
                await stream.aclose()
                stream, where = None, moved

    @staticmethod
    def _operation(draw: random.Random, token: bytes, platform: bool) -> tuple[list[bytes], str]:
        key = b"k%d" % draw.randrange(KEYS)
        what = draw.random()
        if platform:
            if what < 0.6:
                return [b"KV.GET", key, token, b"c=read,d=2000"], "read"
            kind = "put" if what < 0.8 else "book"
            value = key + b"|" + token if kind == "put" else token
            key = key if kind == "put" else b"b" + key
            return [b"KV.SET", key, token, b"c=%b,d=2000" % kind.encode(), value], kind
        if what < 0.6:
            return [b"GET", key], "read"
        if what < 0.8:
            return [b"SET", key, key + b"|" + token], "put"
        return [b"RPUSH", b"l" + key, token], "book"

    async def _one(
        self, stream: trio.SocketStream, reader: Reader, kind: str, token: bytes, key: bytes
    ) -> tuple[str, int] | None:
        """Wait for the one answer; where a router named another one, that."""
        began = trio.current_time()
        value = unanswered = object()
        with trio.move_on_after(ABANDON + 1.0):
            value = await _answer(stream, reader)
        took = trio.current_time() - began
        told = self.told
        told.operations += 1
        outcome = "settled"
        if value is unanswered:
            outcome = "unanswered"
            told.breaks.append(f"one final answer: none for {token!r}")
        elif isinstance(value, Error):
            outcome = {b"BUSY": "bounced", b"MOVED": "moved"}.get(value.code, "forfeited")
            if outcome == "forfeited" and value != b"ERR failed":
                told.breaks.append(f"an error that nobody should see: {value!r}")
        if took > ABANDON + SLACK:
            told.breaks.append(f"one final answer: {took:.2f} s for {token!r}")
        if outcome == "settled":
            told.settled += 1
            told.took.append(took)
            if kind == "read" and value is not None and not bytes(value).startswith(key + b"|"):
                told.breaks.append(f"an answer made for another key: {value!r} for {key!r}")
        if len(reader):
            told.breaks.append(f"one final answer: more behind it for {token!r}")
        told.outcomes.append(outcome)
        if kind == "book":
            self.answers[token] = outcome
        if outcome == "moved":
            host, _, port = bytes(value).split(b" ")[2].rpartition(b":")
            return host.decode(), int(port)
        return None

    # -- what happens

    async def mover(self) -> None:
        """Slots move all the time, some with their keys half on the way for a while."""
        shards = self.made.shards
        while not self.stopped:
            slot = slot_of(self.draw.choice([b"k", b"bk", b"lk"]) + b"%d" % self.draw.randrange(KEYS))
            source = shards.owner[slot]
            owners = [name for name in set(shards.owner) if shards.all[name].up and name not in self.leaving]
            targets = sorted(name for name in owners if name != source)
            if not targets or source in self.leaving or slot in shards.all[source].migrating:
                await trio.sleep(0.01)
                continue
            shards.begin_move(slot, self.draw.choice(targets))
            await trio.sleep(self.draw.random() * 0.1)
            shards.move_keys(slot, 1)
            await trio.sleep(self.draw.random() * 0.05)
            if slot in shards.all[shards.owner[slot]].migrating:
                shards.end_move(slot)
                self.told.moves += 1

    @property
    def leaving(self) -> set[str]:
        """Servers that drain or are gone."""
        return {name for name, entry in self.made.directory.entries.items() if entry.state != "ready"} | {
            name for name, shard in self.made.shards.all.items() if not shard.up
        }

    async def restarts(self, names: list[str], pause: float) -> None:
        """Each server in turn hands over, drains, ends, and is back cold as a replica."""
        for name in names:
            await self.made.leave(name)
            await trio.sleep(0.4 + 0.2 * self.draw.random())
            self.made.stop(name)
            await trio.sleep(0.2 + 0.2 * self.draw.random())
            self.made.start(name)
            self.told.restarts += 1
            await trio.sleep(pause)

    # -- judged

    def judge(self) -> None:
        """The rules that only the servers' record shows."""
        told, counts = self.told, Counter()
        for each in self.made.shards.ran:
            if each.words[-1].startswith(TOKEN):
                counts[each.words[-1]] += 1
        told.breaks += [f"no effect twice: {token!r} ran {n} times" for token, n in counts.items() if n > 1]
        for token, outcome in self.answers.items():
            if outcome in ("bounced", "moved") and counts[token]:
                told.breaks.append(f"no effect twice: {token!r} was {outcome} and ran")
            if outcome == "settled" and not counts[token]:
                told.breaks.append(f"{token!r} was settled and never ran")
        told.breaks += [
            f"drains kept: a leg to {name} {late:.3f} s late" for name, late in self.made.late_attempts()
        ]
        told.redirections = self.made.shards.redirections
        told.fetches = sum(slot_routing_of(service).map_tracker.fetches for service in self.made.services)


async def _answer(stream: trio.SocketStream, reader: Reader) -> object:
    while (message := reader.next()) is None:
        data = await stream.receive_some()
        if not data:
            return Error(b"ERR the connection ended")
        reader.feed(data)
    return message.value


async def morning(seed: int, lasts: float = 6.0, routers: int = 2, clients: int = 10) -> Told:
    """One morning by a seed."""
    draw = random.Random(seed)
    async with playing(owners=4, replicas=1, routers=routers, work=0.001, seed=seed) as made:
        play = Morning(made, draw)
        async with trio.open_nursery() as nursery:
            for number in range(clients):
                nursery.start_soon(play.client, number, number % 2 == 0)
            nursery.start_soon(play.mover)
            names = [f"c-{i}" for i in range(4)]
            draw.shuffle(names)
            await trio.sleep(0.3)
            began = trio.current_time()
            await play.restarts(names, max(lasts / 4.0 - 0.9, 0.1))
            await trio.sleep(max(lasts - (trio.current_time() - began), 0.2))
            play.stopped = True
        await trio.sleep(0.05)
        play.judge()
        return play.told
