"""Further hard cases of `allplay`: what operators do meanwhile, and what breaks.

Tenants come and go, the origin's limit is lowered, servers are drained by order; two zones apart; a disk that
is full, or lost; snapshots of another installation. What is promised stands in `allchecks`.
"""

from __future__ import annotations

import random
import resource
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import httpx
import msgspec
import trio

from ..emulator.link import Fault, State
from ..histories.events import Note, OpBegan, OpEnded
from ..hosted.feed_snapshot import FeedSnapshot
from ..net.resp import Parser
from ..net.sockets import connect, shut, tcp
from ..recovery.snapshot import MAX_SNAPSHOT_BYTES, decode, encode, snapshot_identity
from . import recoveryplay
from .allchecks import APART, DRAINED, FROM, GONE, LOWERED, UNTIL, statement
from .company import MEMORY, Company
from .crowd import LATE, Crowd, Line, Shape, read_answer

GUEST = "dora"  # the tenant that comes and goes
LOOK = 0.25  # seconds between two calls of one operator
ASKS = 2.0  # seconds that one read of the play's own waits
REFUSED = "belonged to other tenants before: not served"
KEY = "free/k1"  # that it reads: of no shard
SERVES_BY = 60.0  # seconds in which every router serves each tenant again, on a machine with whatever load
SPARE_BYTES = 8192  # of the keeper's log that a full disk still takes
FULL_AT = 65536  # bytes: no file grows over that, or is written beyond it, while the disk is full


# -- calls until they are made


async def called(
    desk: httpx.AsyncClient, method: str, path: str, body: Any = None, tagged: str = ""
) -> httpx.Response:
    """One call, made until it has an answer that is no wish for another try. `tagged`: the path whose entity
    tag goes with it."""
    while True:
        with suppress(httpx.HTTPError):
            headers = {}
            if tagged:
                got = await desk.get(tagged)
                headers = {"If-Match": got.headers.get("etag", "")}
                if got.status_code == 404:
                    return got
            got = await desk.request(method, path, json=body, headers=headers)
            if got.status_code < 500 and got.status_code not in (401, 412, 428, 429):
                return got
        await trio.sleep(LOOK)


async def revision(desk: httpx.AsyncClient) -> int:
    """The keeper's, now."""
    while True:
        with suppress(httpx.HTTPError, KeyError, ValueError):
            return int((await desk.get("/healthz")).json()["revision"])
        await trio.sleep(LOOK)


async def followed(all_: Company, desk: httpx.AsyncClient, least: int, incarnation: int = 0) -> None:
    """Until the keeper says that all routers know a revision, and hold nothing of a tenant."""
    names = {name for name in all_.children if name.startswith("router-")}
    while True:
        with suppress(httpx.HTTPError, KeyError, ValueError):
            told = (await desk.get("/v1/routers")).json()["routers"]
            know = {
                each["name"]
                for each in told
                if each["revision"] >= least and not each["in_hand"].get(str(incarnation))
            }
            if names <= know:
                return
        await trio.sleep(LOOK)


def say(all_: Company, kind: str, what: str, edge: str) -> None:
    """Into the play's history."""
    all_.recorder.put(Note(all_.recorder.now(), "play", statement(kind, what, edge)))


# -- what operators do all the while


async def comes_and_goes(all_: Company, draw: random.Random, told: dict[str, float], asker: Asker) -> None:
    """A tenant is made, serves, is removed, and is made again under the same name, until cancelled."""
    number = 0
    async with all_.api(party="guest") as desk:
        while True:
            number += 1
            label = f"{GUEST}#{number}"
            body = {"name": GUEST, "allowance": all_.plan.allowance, "memory": MEMORY}
            await called(desk, "POST", "/v1/tenants", body)
            await called(desk, "POST", f"/v1/tenants/{GUEST}/activate", tagged=f"/v1/tenants/{GUEST}")
            made = await called(desk, "POST", f"/v1/tenants/{GUEST}/credentials", {})
            shown = (await called(desk, "GET", f"/v1/tenants/{GUEST}")).json()
            if made.status_code != 201 or "incarnation" not in shown:
                await trio.sleep(LOOK)
                continue
            secrets = {label: made.json()["secret"]}
            crowd = Crowd(
                all_.nursery,
                draw.randrange(1 << 30),
                all_.crowd.doors,
                secrets,
                all_.record_of,
                all_.crowd.source,
                f"guest-{number}",
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(guests, crowd)
                await trio.sleep(draw.uniform(3.0, 7.0))
                await called(desk, "DELETE", f"/v1/tenants/{GUEST}", tagged=f"/v1/tenants/{GUEST}")
                await followed(all_, desk, await revision(desk), shown["incarnation"])
                say(all_, GONE, f"{shown['incarnation']:x}/ {label}", FROM)
                told["guests"] = told.get("guests", 0.0) + 1.0
                await trio.sleep(1.5)  # those that are still connected go on asking
                nursery.cancel_scope.cancel()
            for router in range(all_.plan.routers):
                let_in = await asker.ask(router, label, secrets[label])
                told["guests.turned_away"] = told.get("guests.turned_away", 0.0) + (not let_in)


async def guests(crowd: Crowd) -> None:
    """Load of one tenant, on lines that are hardly ever idle, until cancelled."""
    while True:
        crowd.load(12.0, 1.0, Shape(wait=1.5, tries=1, keys=10, prefixes=("free/",)))
        await trio.sleep(1.0)


async def lowers(all_: Company, draw: random.Random, told: dict[str, float]) -> None:
    """The origin's limit goes down, is reached, and goes up again, until cancelled."""
    most = all_.plan.origin_bears
    async with all_.api(party="limiter") as desk:
        while True:
            await trio.sleep(draw.uniform(0.5, 2.0))
            low = draw.choice((10, 12, 14, 16))
            path, what = "/v1/limits/origin", f"origin {low}"
            await called(desk, "PUT", path, {"most": low}, tagged=path)
            shown: dict[str, Any] = {}
            while not (shown.get("most") == low and shown.get("reached")):
                await trio.sleep(LOOK)
                shown = (await called(desk, "GET", path)).json()
            say(all_, LOWERED, what, FROM)
            told["lowered"] = told.get("lowered", 0.0) + 1.0
            await trio.sleep(draw.uniform(2.0, 6.0))
            say(all_, LOWERED, what, UNTIL)
            await called(desk, "PUT", path, {"most": most}, tagged=path)


async def orders(all_: Company, draw: random.Random, told: dict[str, float]) -> None:
    """A server is drained by order, and given back, one after the other, until cancelled."""
    async with all_.api(party="drainer") as desk:
        while True:
            await trio.sleep(draw.uniform(0.5, 1.5))
            server = f"server-{draw.randrange(all_.plan.servers)}"
            await called(desk, "POST", f"/v1/servers/{server}/drain")
            await followed(all_, desk, await revision(desk))
            say(all_, DRAINED, server, FROM)
            told["orders"] = told.get("orders", 0.0) + 1.0
            await trio.sleep(draw.uniform(2.0, 5.0))
            say(all_, DRAINED, server, UNTIL)
            await called(desk, "POST", f"/v1/servers/{server}/restore")


# -- what the play asks for itself


class Asker:
    """Reads of the play's own, one at a time on a connection of its own, on record."""

    def __init__(self, all_: Company) -> None:
        self.all = all_
        self.recorder = all_.record_of("asks")
        self.count = 0

    async def ask(self, router: int, label: str, secret: str) -> str:
        """One read of a tenant at a router: its outcome, empty where the router does not let it in."""
        crowd, put, now = self.all.crowd, self.recorder.put, self.recorder.now
        raw = tcp(crowd.doors[router])
        try:
            raw.bind((crowd.source, 0))
            line = Line(raw, Parser(1 << 20), 0.0)
            with trio.move_on_after(ASKS) as limit:
                await connect(raw, crowd.doors[router])
                words = ["AUTH", label.partition("#")[0], secret]
                good = await crowd._ask(line, words) == b"+OK\r\n"
            if limit.cancelled_caught or not good:
                return ""
            self.count += 1
            ident, labels = f"asks-{self.count}", f"c=read,d={int(ASKS * 1000)}"
            put(
                OpBegan(
                    now(),
                    "asks",
                    ident,
                    f"router-{router}",
                    label,
                    "read",
                    "idempotent",
                    KEY,
                    False,
                    ASKS,
                )
            )
            reply = None
            with trio.move_on_after(ASKS + LATE):
                reply = await crowd._ask(line, ["KV.GET", KEY, ident, labels])
            outcome, value, away = read_answer(reply)
            put(OpEnded(now(), "asks", ident, outcome, value, away))
            return outcome
        except OSError:
            return ""
        finally:
            shut(raw)

    async def serves(self) -> list[str]:
        """Routers and tenants of which no read settled in `SERVES_BY`: none, where service is back."""
        late: list[str] = []

        async def one(router: int, tenant: str) -> None:
            with trio.move_on_after(SERVES_BY):
                while await self.ask(router, tenant, self.all.secrets[tenant]) != "settled":
                    await trio.sleep(2 * LOOK)
                return
            late.append(f"router-{router} {tenant}")

        async with trio.open_nursery() as nursery:
            for router in range(self.all.plan.routers):
                for tenant in self.all.plan.tenants:
                    nursery.start_soon(one, router, tenant)
        return late


# -- what breaks


def part_zones(all_: Company, zones: Sequence[str], whole: bool) -> None:
    """The links between two zones are silent; with `whole` those of the second one's routers to keeper and
    discovery, too."""
    say(all_, APART, " ".join(zones), FROM)
    for one, other in list(all_.links.all):
        parties = [all_.children[name].zone for name in (one, other) if name in all_.children]
        off = whole and other in ("keeper", "discovery") and parties[:1] == [zones[1]]
        if off or sorted(parties) == sorted(zones):
            all_.link(one, other, Fault(State.SILENT))


def join_zones(all_: Company, zones: Sequence[str]) -> None:
    """As it was."""
    all_.heal()
    say(all_, APART, " ".join(zones), UNTIL)


def disk(all_: Company, full: bool) -> None:
    """The keeper's disk takes nothing more: the kernel refuses each write behind `FULL_AT` bytes of a file,
    where the store's pages are. Its own log has room still."""
    child = all_.children["keeper"]
    if not child.runs:
        return
    log = child.folder / "keeper.log"
    least = log.stat().st_size + SPARE_BYTES if log.exists() else 0
    soft = max(least, FULL_AT) if full else resource.RLIM_INFINITY
    with suppress(ProcessLookupError):
        resource.prlimit(child.process.pid, resource.RLIMIT_FSIZE, (soft, resource.RLIM_INFINITY))


def other_installation(all_: Company, router: str) -> None:
    """A router's snapshots are those of another installation, whose tenants have the same names and other
    numbers."""
    child = all_.children[router]
    path, number = child.files / "recovery", int(router.removeprefix("router-"))
    if path.exists():
        own = snapshot_identity(recoveryplay.KEY.encode(), router, number)
        kept = decode(path.read_bytes()[:MAX_SNAPSHOT_BYTES], own)
        other = snapshot_identity(recoveryplay.OTHER_KEY, router, number)
        path.write_bytes(encode(msgspec.structs.replace(kept, identity=other)))
    snapshot = FeedSnapshot(str(child.files / "snapshot"))
    feed = snapshot.load()
    if feed is not None:
        numbers = [row.incarnation for row in feed.tenants]
        rows = [
            msgspec.structs.replace(row, incarnation=number)
            for row, number in zip(feed.tenants, numbers[1:] + numbers[:1], strict=True)
        ]
        more = feed.revision + 500
        snapshot.save(msgspec.structs.replace(feed, store="another", tenants=rows, revision=more))


def for_new_disk(folder: Path, above: int) -> None:
    """The keeper's file before it is started on an empty disk: it is no first start any more, and with
    `above` tenants get numbers that none had before."""
    path = folder / "keeper.toml"
    told = path.read_text().replace("new_installation = true", "new_installation = false")
    path.write_text(f"numbers_above = {above}\n{told}" if above else told)


async def make_tenant(all_: Company, desk: httpx.AsyncClient, name: str) -> int:
    """Made, active, with a secret that clients know; its number."""
    body = {"name": name, "allowance": all_.plan.allowance, "memory": MEMORY}
    await called(desk, "POST", "/v1/tenants", body)
    await called(desk, "POST", f"/v1/tenants/{name}/activate", tagged=f"/v1/tenants/{name}")
    made = await called(desk, "POST", f"/v1/tenants/{name}/credentials", {})
    all_.secrets[name] = made.json()["secret"]
    return (await called(desk, "GET", f"/v1/tenants/{name}")).json()["incarnation"]


def refused_numbers(all_: Company) -> set[int]:
    """Numbers that some router says were another tenant's."""
    found: set[int] = set()
    for name in [name for name in all_.children if name.startswith("router-")]:
        for line in all_.log(name).splitlines():
            if REFUSED in line:
                found |= {int(one) for one in line.partition("[")[2].partition("]")[0].split(",")}
    return found


async def new_disk(all_: Company, draw: random.Random) -> int:
    """What an operator does after the keeper's disk was lost (docs/on-call.md): the routers' secret, tenants
    with their secrets, in an order of chance; those whose numbers routers refuse are made again. All nodes
    are confirmed by the supervisor. How many were made again."""
    waits = all_.crowd.told_to_wait
    if draw.random() < 0.7:  # else clients go on with secrets that nobody knows, and routers keep them out
        waits |= set(all_.plan.tenants)
    await all_.up("keeper")  # its new first operator stands in its log
    again = 0
    async with all_.api(party="restorer") as desk:
        who = {"name": f"tier-{draw.randrange(1 << 20)}", "role": "router"}
        made = await called(desk, "POST", "/v1/operators", who)
        (all_.folder / "secret").write_text(made.json()["secret"])
        names = list(all_.plan.tenants)
        draw.shuffle(names)
        while names:
            numbers = {name: await make_tenant(all_, desk, name) for name in names}
            await followed(all_, desk, await revision(desk))
            refused = refused_numbers(all_)
            names = [name for name in names if numbers[name] in refused]
            for name in names:
                again += 1
                await called(desk, "DELETE", f"/v1/tenants/{name}", tagged=f"/v1/tenants/{name}")
            waits &= set(names)
    return again
