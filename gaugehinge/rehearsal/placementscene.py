"""What a hard case of placement is played with: callers of tenants, reads, and claims on what is seen."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio

from ..histories.checks import Break
from ..histories.events import Note, Recorder
from . import placementclaims
from .company import Company
from .crowd import KINDS, Party, Shape
from .placementclaims import Claim
from .placementplay import LOOK, MIX, Size, Tenant

PREFIXES = ("s0/", "s1/", "s2/", "s3/", "free/")
KEYS = 50  # under each prefix
SETTLED_BY = 60.0  # seconds in which what was asked for stands, on a machine with whatever load
LONG = 2.5  # seconds for which claims are looked at
BURST, BURST_TIME = 200.0, 4.0  # operations a second, and seconds, of reads that show where keys go
READS_SHOWN = 2 * placementclaims.FEW  # served by each router for one claim
ONLY, PREFER = "only", "prefer"


class Owner(Tenant):
    """A tenant's caller whose keys go by the incarnation that the keeper names."""

    def put(self, shown: dict[str, Any]) -> None:
        """One shard as the keeper showed it."""
        self.head = f"{shown['incarnation']:x}/"
        super().put(shown)


@dataclass(slots=True)
class Scene:
    """One play while it runs."""

    all: Company
    seed: int
    owners: dict[str, Owner]
    draw: random.Random
    desk: httpx.AsyncClient
    size: Size
    claims: list[Claim] = field(default_factory=list)
    breaks: list[Break] = field(default_factory=list)
    told: dict[str, float] = field(default_factory=dict)
    over: bool = False
    probes: dict[int, Party] = field(default_factory=dict)
    reader: Recorder | None = None

    @property
    def acme(self) -> Owner:
        return self.owners["acme"]

    @property
    def bolt(self) -> Owner:
        return self.owners["bolt"]

    async def load(self) -> None:
        """Until told otherwise, a second at a time."""
        while not self.over:
            self.all.load(self.size.rate, 1.0, wait=1.0, mix=MIX, prefixes=PREFIXES, keys=KEYS)
            await trio.sleep(1.0)

    def reads(self, *prefixes: str, lasts: float = BURST_TIME) -> None:
        """Many more, which show where keys go."""
        self.all.load(BURST, lasts, wait=1.0, mix=(("read", 1.0),), prefixes=prefixes, keys=KEYS)

    def now(self) -> float:
        return self.all.recorder.now()

    def note(self, text: str) -> None:
        self.all.recorder.put(Note(self.now(), "play", text))

    def wrong(self, what: str, why: str, *parties: str) -> None:
        """Something that has to be so at once is not."""
        self.breaks.append(Break("case", what, parties or ("keeper",), self.now(), self.now(), why))

    # -- calls

    async def ask(
        self,
        owner: Owner,
        shard: str,
        regions: list[str],
        hold: str = ONLY,
        prefixes: list[str] | None = None,
        allowance: float = 1.0,
        tag: str | None = None,
    ) -> httpx.Response | None:
        """One change for the revision that stands, or `tag`; None: nobody knows what came of it."""
        path = f"{owner.path}/{shard}"
        body = {
            "regions": regions,
            "hold": hold,
            "allowance": allowance,
            "prefixes": [f"{shard}/"] if prefixes is None else prefixes,
        }
        with suppress(httpx.HTTPError):
            if tag is None:
                got = await self.desk.get(path)
                if got.status_code not in (200, 404):
                    return None
                tag = got.headers.get("etag", "")
            return await self.desk.put(path, json=body, headers={"If-Match": tag} if tag else {})
        return None

    async def pin(self, owner: Owner, shard: str, regions: list[str], hold: str = ONLY, **more: Any) -> int:
        """Asked until it is taken; the revision."""
        with trio.fail_after(SETTLED_BY):
            while True:
                got = await self.ask(owner, shard, regions, hold, **more)
                if got is not None and got.status_code == 200:
                    return got.json()["revision"]
                await trio.sleep(LOOK)

    async def stands(self, owner: Owner, shard: str, regions: list[str], *stages: str) -> bool:
        """Until a shard stands in regions; whether it came to that."""
        stages = stages or ("confined", "followed")
        with trio.move_on_after(SETTLED_BY):
            while True:
                shown = owner.shown.get(shard)
                if shown and shown["stage"] in stages and shown["now"]["regions"] == regions:
                    return True
                await trio.sleep(LOOK)
        self.wrong(shard, f"does not stand in {regions} as {stages}, shown {owner.shown.get(shard)}")
        return False

    async def pinned(self, *wanted: tuple[Owner, str, list[str], str]) -> None:
        """All of these, until they stand."""
        for owner, shard, regions, hold in wanted:
            await self.pin(owner, shard, regions, hold)
        for owner, shard, regions, _ in wanted:
            await self.stands(owner, shard, regions)

    async def refused(self, owner: Owner, shard: str, regions: list[str], what: str) -> None:
        """Asked until the keeper refuses it by that word: then it knows what the case is about."""
        with trio.move_on_after(SETTLED_BY):
            while True:
                got = await self.ask(owner, shard, regions, prefixes=["never/"])
                if got is not None and got.status_code >= 400 and what in got.text:
                    return
                await trio.sleep(LOOK)
        self.wrong(shard, f"{regions} is not refused ({what})")

    async def serves(self, owner: Owner, key: str, router: int) -> bool:
        """Until a read settles there; whether it came to that."""
        return await self._outcome(owner, key, router, ("settled",))

    async def answers(self, owner: Owner, key: str, router: int) -> bool:
        """Until a read is answered there, served or not; whether it came to that."""
        return await self._outcome(owner, key, router, ("settled", "bounced", "forfeited"))

    async def shown(self, owner: Owner, prefix: str) -> None:
        """Until each router has served enough reads of a prefix for the claims on them."""
        for router in range(self.size.routers):
            for number in range(READS_SHOWN):
                if not await self.serves(owner, f"{prefix}k{number % KEYS}", router):
                    return

    async def _outcome(self, owner: Owner, key: str, router: int, wanted: tuple[str, ...]) -> bool:
        """Until a read at a router ends in one of these ways; whether it came to that."""
        party = self.probes.get(router)
        if party is None:
            party = self.probes[router] = Party(
                f"probe-{router}", owner.name, router, self.all.record_of(f"probe-{router}")
            )
        if party.tenant != owner.name:
            party.tenant, party.lines = owner.name, {}
        with trio.move_on_after(SETTLED_BY):
            while True:
                shape = Shape(wait=1.0)
                _, outcome, _ = await self.all.crowd._try(party, KINDS[0], key, shape, "", "")
                if outcome in wanted:
                    return True
                await trio.sleep(LOOK)
        self.wrong(key, f"no read of {owner.name} is {' or '.join(wanted)}", f"router-{router}")
        return False

    async def ordered(self, server: str, order: str) -> None:
        """An operator's order, until it is taken."""
        while True:
            with suppress(httpx.HTTPError):
                if (await self.desk.post(f"/v1/servers/{server}/{order}")).status_code == 200:
                    return
            await trio.sleep(LOOK)

    async def start_anew(self, name: str) -> None:
        """Killed, and up again."""
        self.all.kill(name)
        self.all.start(name)
        await self.all.up(name)

    async def read(self, owner: Owner, key: str, router: int) -> None:
        """One, at this router while it is there."""
        self.reader = self.reader or self.all.record_of("reader")
        party = Party("reader", owner.name, router, self.reader)
        await self.all.crowd._try(party, KINDS[0], key, Shape(wait=1.0), "", "")

    # -- claims

    async def claim(
        self,
        rule: str,
        look: Callable[..., Any],
        owner: Owner,
        prefix: str,
        lasts: float = LONG,
        servers: tuple[str, ...] = (),
        zones: str = "",
        but: str = "",
        since: float | None = None,
        shown: Callable[[], Awaitable[object]] | None = None,
    ) -> None:
        """From now on for a time, and until what it looks at was `shown`. Several at once: in a nursery."""
        since = self.now() if since is None else since
        await trio.sleep(lasts)
        if shown is not None:
            await shown()
        self.claims.append(
            Claim(
                rule,
                owner.name,
                owner.head + prefix,
                since,
                self.now(),
                look,
                frozenset(servers),
                frozenset(zones),
                owner.head + but if but else "",
            )
        )

    async def together(self, *claims: Awaitable[None]) -> None:
        """Claims of the same time."""

        async def one(each: Awaitable[None]) -> None:
            await each

        async with trio.open_nursery() as nursery:
            for each in claims:
                nursery.start_soon(one, each)
