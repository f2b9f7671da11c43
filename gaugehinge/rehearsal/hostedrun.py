"""A churn of the hosted service: tenants with the same keys, ids and marks, one hostile, under changes.

Judged from both sides: what each client was told, and what the servers' own record says of whose it was.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

import httpx
import trio

from ..net.dispatcher import FAILED_REPLY
from .hostedplay import Client, Hosted, hosting

NAMES = ("acme", "bolt", "cord")  # the last one is hostile
KEYS = 40
HOSTILE = "127.0.0.66"  # where its attempts come from; wrong ones are bounded by source
SPREAD_LOOK = 0.001  # between two looks whether a change has reached all routers
WAIT = 2.0
SLACK = 0.3
ENDED = b"-ERR authentication required\r\n"


@dataclass(slots=True)
class Told:
    """What a churn came to."""

    operations: int = 0
    settled: int = 0
    turned_away: int = 0  # of the hostile one: answers that it was refused
    changes: int = 0
    breaks: list[str] = field(default_factory=list)
    spread: list[float] = field(default_factory=list)  # seconds from a change's answer to the last router
    outcomes: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Churn:
    """One play."""

    made: Hosted
    draw: random.Random
    told: Told = field(default_factory=Told)
    secrets: dict[str, str] = field(default_factory=dict)
    own: dict[str, int] = field(default_factory=dict)  # incarnations of those that stay
    stopped: bool = False

    # -- clients

    async def client(self, name: str, router: int) -> None:
        """One client that reads and writes keys which all tenants use; ids and marks are theirs too."""
        draw, count = random.Random(self.draw.random()), 0
        client = await self.made.client(router, name, self.secrets[name])
        while not self.stopped:
            await trio.sleep(draw.random() * 0.01)
            count += 1
            key, ident = f"k{draw.randrange(KEYS)}", f"same-{router}-{count}"
            mark = f"m{draw.randrange(200)}"
            kind = draw.random()
            if kind < 0.6:
                words = ("KV.GET", key, ident, "c=read,d=2000")
            elif kind < 0.8:
                words = ("KV.SET", key, ident, "c=put,d=2000", f"{name}|{key}")
            elif kind < 0.9:
                words = ("KV.SET", key, ident, f"c=move,d=2000,k={mark}", f"{name}|{key}")
            else:
                words = ("KV.SET", f"b{count}", ident, "c=book,d=2000", f"{name}|b{count}")
            reply = await self._one(client, name, words)
            if reply is None:
                client = await self.made.client(router, name, self.secrets[name])

    async def _one(self, client: Client, name: str, words: tuple[str, ...]) -> bytes | None:
        began = trio.current_time()
        reply = await client.ask(*words, wait=WAIT + 1.0)
        took, told = trio.current_time() - began, self.told
        told.operations += 1
        if reply is None or took > WAIT + SLACK:
            told.breaks.append(f"one final answer: {name} {words[:3]} {took:.2f} s, {reply!r}")
            return reply
        outcome = {b"$": "settled"}.get(reply[:1]) or ("bounced" if reply.startswith(b"-BUSY") else "error")
        if reply == FAILED_REPLY:
            outcome = "forfeited"  # on a machine that stood still it may be
        if reply == ENDED:
            # Two credentials are valid at a time: a third one ended that of this connection.
            outcome = "let in anew"
            if await client.ask("AUTH", name, self.secrets[name]) != b"+OK\r\n":
                told.breaks.append(f"{name} is kept out with its newest secret")
        if outcome == "error":
            told.breaks.append(f"an error that {name} should not see: {reply!r} to {words[:4]}")
        told.outcomes[f"{name} {outcome}"] += 1
        told.settled += outcome == "settled"
        if words[0] == "KV.GET" and outcome == "settled":
            value = reply.split(b"\r\n", 1)[1].removesuffix(b"\r\n")
            # The hostile one may spoil what is its own; whose a value is, stands before the bar.
            if value and value.partition(b"|")[0] != name.encode():
                told.breaks.append(f"a value of another: {name} read {value!r} at {words[1]}")
        self._leaks(name, reply)
        return reply

    def _leaks(self, name: str, reply: bytes) -> None:
        for other in NAMES:
            if other != name and other.encode() in reply:
                self.told.breaks.append(f"{name} was told of {other}: {reply!r}")

    async def hostile(self, name: str, router: int) -> None:
        """It floods, labels what it sends as another's, tries others' names, parts of secrets, spaces."""
        draw, told, count = random.Random(self.draw.random()), self.told, 0
        while not self.stopped:
            client = await self.made.client(router, name, self.secrets[name])
            crook = await self.made.client(router, source=HOSTILE)
            for _ in range(40):
                if self.stopped:
                    return
                count += 1
                victim = draw.choice([each for each in NAMES if each != name])
                key = draw.choice([f"{self.own[victim]:x}/k1", "../k1", f"k{draw.randrange(KEYS)}", "1/k1"])
                words = draw.choice(
                    [
                        ("KV.GET", key, f"h{count}", f"c=read,d=2000,t={victim}"),
                        ("KV.GET", key, f"h{count}", "c=read,d=2000"),
                        ("KV.SET", key, f"h{count}", f"c=put,d=2000,t={victim}", f"{name}|spoilt"),
                        ("KV.SET", key, f"h{count}", "c=move,d=2000,k=m1", f"{name}|spoilt"),
                        ("AUTH", victim, "gh_" + self.secrets[victim].split("_")[1] + "_guessed"),
                        ("AUTH", victim, self.secrets[name]),
                        ("KV.GET", key, f"h{count}", "c=read,d=2000,t=,t=x"),
                    ]
                )
                reply = await (crook if words[0] == "AUTH" else client).ask(*words, wait=WAIT + 1.0)
                if reply is None:
                    told.breaks.append(f"one final answer: none to {words[:3]}")
                    break
                refused = reply.startswith((b"-ERR", b"-WRONGPASS", b"-BUSY"))
                told.turned_away += refused
                if (words[0] == "AUTH" or f"t={victim}" in words[3]) and not refused:
                    told.breaks.append(f"let in as {victim}: {words} {reply!r}")
                if words[0] == "KV.GET" and reply.startswith(b"$") and b"|" in reply:
                    whose = reply.split(b"\r\n")[1].partition(b"|")[0]
                    if whose != name.encode():
                        told.breaks.append(f"{name} read {reply!r}")
                self._leaks(name, reply)
            await client.stream.aclose()
            await crook.stream.aclose()

    # -- changes

    async def admin(self, changes: int, lasts: float) -> None:
        """Changes of all kinds, one behind the other; how long each takes to reach all routers."""
        born = 0
        async with self.made.desk() as desk:
            for _ in range(changes):
                began = trio.current_time()
                what = self.draw.random()
                if what < 0.4:
                    allowance = float(self.draw.randrange(900, 2000))
                    figures = {"share": self.draw.choice([0.5, 1.0, 2.0]), "allowance": allowance}
                    await self._alter(desk, self.draw.choice(NAMES), "PATCH", "", figures)
                elif what < 0.55:
                    name = self.draw.choice(NAMES)
                    got = await desk.post(f"/v1/tenants/{name}/credentials", json={"overlap": 30.0})
                    await self._spread()  # until then routers know the old one alone
                    self.secrets[name] = got.json()["secret"]
                elif what < 0.7:
                    server = f"c-{self.draw.randrange(3)}"
                    await desk.post(f"/v1/servers/{server}/{self.draw.choice(['drain', 'restore'])}")
                    await desk.post(f"/v1/servers/c-{(int(server[2:]) + 1) % 3}/restore")
                elif what < 0.85 or not born:
                    born += 1
                    await desk.post("/v1/tenants", json={"name": f"brief-{born}", "allowance": 10.0})
                else:
                    await self._alter(desk, f"brief-{born}", "DELETE")
                    born -= 1
                self.told.changes += 1
                await self._spread()
                await trio.sleep(max(lasts / changes - (trio.current_time() - began), 0.0))

    async def _alter(self, desk: httpx.AsyncClient, name: str, method: str, end: str = "", body=None) -> None:
        etag = (await desk.get(f"/v1/tenants/{name}")).headers.get("etag", '"0"')
        await desk.request(method, f"/v1/tenants/{name}{end}", json=body, headers={"If-Match": etag})

    async def _spread(self) -> None:
        began, revision = trio.current_time(), self.made.keeper.revision
        with trio.move_on_after(10.0) as limit:
            while any(follower.registry.revision < revision for follower in self.made.followers):
                await trio.sleep(SPREAD_LOOK)
        if limit.cancelled_caught:
            self.told.breaks.append(f"revision {revision} did not reach all routers in 10 s")
        self.told.spread.append(trio.current_time() - began)

    # -- judged

    def judge(self) -> None:
        """Whose key, id, mark and value met whose, by the servers' record."""
        for seen in self.made.shelves.seen:
            name = seen.labels.get("t", "")
            if name not in self.own:
                self.told.breaks.append(f"something of nobody: {seen}")
                continue
            number = f"{self.own[name]:x}"
            mark = seen.labels.get("k")
            spaces = {seen.key.partition(b"/")[0].decode(), seen.ident.partition(b".")[0].decode()}
            spaces |= {mark.partition(".")[0]} if mark else set()
            if spaces != {number}:
                self.told.breaks.append(f"not of one space: {seen}")
            if seen.value is not None and not seen.value.startswith(name.encode() + b"|"):
                self.told.breaks.append(f"a value of another: {seen}")
        effects = Counter(
            (seen.ident, seen.key)
            for seen in self.made.shelves.seen
            if seen.write and not seen.repeat and seen.labels.get("c") == "book"
        )
        self.told.breaks += [f"no effect twice: {what}" for what, count in effects.items() if count > 1]


async def churn(seed: int, lasts: float = 8.0, changes: int = 200, routers: int = 5) -> Told:
    """One churn by a seed."""
    async with hosting(routers=routers, seed=seed) as made:
        play = Churn(made, random.Random(seed))
        for name in NAMES:
            play.secrets[name] = await made.tenant(name, allowance=1500.0, memory=9.0)
        await made.settle()
        for number, bearer in made.followers[0].registry.by_incarnation.items():
            play.own[bearer.name] = number
        made.shelves.seen.clear()
        async with trio.open_nursery() as nursery:
            for router in range(routers):
                for name in NAMES:
                    nursery.start_soon(play.client, name, router)
                nursery.start_soon(play.hostile, NAMES[-1], router)
            await play.admin(changes, lasts)
            play.stopped = True
        play.judge()
        return play.told
