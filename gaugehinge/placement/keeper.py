"""Placement at the keeper: what tenants ask, what routers are told, and when a shard counts as confined.

A router counts as following once it reported, with the mark that this run of the keeper told it, a table of
the revision and no attempt out by an older one. One that does not report is waited for until its lease is
over (tenancy/lease.py), and where it may act without one, until `alone` is. Nothing is claimed before the
leases that a former run of the keeper gave are over.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import msgspec
import trio
from loguru import logger
from starlette.requests import Request
from starlette.responses import Response
from xxhash import xxh3_128_hexdigest

from ..admin.caller import Caller
from ..admin.config import PlacementConfig
from ..admin.control_plane import ControlPlane
from ..admin.errors import (
    ApiError,
    InvalidRequestError,
    NotFoundError,
    PreconditionFailedError,
    PreconditionRequiredError,
    ResourceConflictError,
)
from ..admin.http import if_match_revision, json_response, read_json
from ..admin.idempotency import run_once
from ..admin.records import SERVER_ORDER_KIND, TENANT_KIND, TOMBSTONE_KIND, TenantRecord
from ..admin.route import Route
from ..admin.transactions import IdempotencyKey
from ..store.errors import DiskFullError, StoreOverloadedError
from ..store.records import Mutation, encode
from ..store.store import Store
from ..tenancy.feed import Report
from ..tenancy.lease import LeaseTable
from .admission import Budget, Ground, Server, check_count
from .admission import Refused as NotTaken
from .desk import SHARD, Desk, life_of, living
from .forms import (
    Copy,
    Doubt,
    KeeperTold,
    Pinned,
    RouterTold,
    ShardPage,
    ShardShown,
    ShardWanted,
    TermsShown,
)
from .life import REST, Event, Life, Refused, Stage, step
from .servers import Servers
from .shards import DEFAULT, Terms

NAME = re.compile("[a-z][a-z0-9-]{0,62}")
BUDGET, CROWD, NOTE = "shard-budget", "shard-crowd", "shard-note"
UNSURE = "unsure"
TICK = 0.1  # seconds between two looks while a shard is on its way
REST_TICK = 2.0  # while none is
SWEEP_EVERY, SWEPT = 10.0, 10_000  # seconds; things of a kind looked at
DOUBTS_MOST = 1024
FORMER = "a former run of the keeper"
UNDER_WAY = (Stage.SPREADING.value, Stage.MOVING.value, Stage.LEAVING.value)


class Placement:
    """The part of the administration."""

    name = "placement"

    def __init__(
        self, administration: ControlPlane, told: PlacementConfig, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """`clock`: monotonic seconds, by which leases are counted."""
        self.administration = administration
        self.keeper = administration.store_writer
        self.told = told
        self.clock = clock
        self.desk = Desk()
        self.servers = Servers()
        now = clock()
        self.near = LeaseTable(now, administration.leases.duration, in_flight_grace=float(told.flight))
        self.far = LeaseTable(now, float(told.alone), in_flight_grace=float(told.flight))
        self.doubts: dict[tuple[int, str], Doubt] = {}  # until they are written; DOUBTS_MOST of them
        self.disturbed: set[str] = set()  # zones whose servers moved, until that is written
        self.back = False  # a router acts by a history that this copy of the store does not have
        self.since: dict[tuple[str, int], float] = {}  # when a condition was first seen; follows the work
        self.ordered: frozenset[str] = frozenset()  # servers that operators let drain; follows the store
        self.doubtful: dict[str, float] = {}  # servers whose zone changed without a start; likewise
        self.crammed: set[str] = set()  # regions where more is pinned than they bear now
        self._wake = trio.Event()
        self._note: tuple[int, list[tuple[str, float]]] = (0, [])

    # -- routers

    def on_report(self, report: Report, now: float) -> None:
        """A router called; its lease counts from here on, later than its question was sent."""
        now = self.clock()
        try:
            told = msgspec.json.decode(report.parts.get(self.name, b"{}"), type=RouterTold)
        except msgspec.MsgspecError as bad:
            raise InvalidRequestError(str(bad), "parts.placement") from None
        known = bool(told.mark) and self.administration.feed.digests.was_issued(told.have, told.mark)
        revision = min(told.clear, told.have) if known else 0
        # A reader without the part follows nothing and is given nothing.
        if self.name in report.parts:
            self.near.grant(report.router, report.run, revision, self.administration.leases.duration, now)
            self.far.grant(report.router, report.run, revision, float(self.told.alone), now)
        if told.servers is not None:
            self.disturbed |= self.servers.hear(report.router, told.servers)
        for doubt in told.doubts:
            if len(self.doubts) < DOUBTS_MOST:
                self.doubts[doubt.incarnation, doubt.shard] = doubt
        if self.desk.restless or self.doubts or self.disturbed:
            self._wake.set()

    def feed_section(self, store: Store, report: Report) -> bytes | None:
        """On the store's thread."""
        if self.name not in report.parts:
            return None
        told = msgspec.json.decode(report.parts[self.name], type=RouterTold)
        self.desk.refresh(store)
        held = store.revision_digest(told.have) if told.have else ""
        back = bool(told.have) and held != told.mark and (told.have > store.revision or bool(held))
        if back and not self.back:
            self.back = True
            logger.warning("placement: {} follows a history that this store does not have", report.router)
        since = told.have if held and held == told.mark else 0
        whole, rows, gone = self.desk.told(since)
        who = (report.router, report.run)
        noted = who in self.near.granted and who in self.far.granted
        return msgspec.json.encode(
            KeeperTold(
                self.desk.rev,
                self.administration.feed.digests.issue(self.desk.rev),
                whole,
                rows,
                gone,
                self.administration.leases.duration if noted else 0.0,
                float(self.told.alone) if noted else 0.0,
                self._unsure(store),
                self.servers.digest,
                back,
            )
        )

    def _unsure(self, store: Store) -> list[tuple[str, float]]:
        if self._note[0] != store.revision:
            item = store.get(NOTE, UNSURE)
            self._note = store.revision, _pairs(item.body) if item else []
        return self._note[1]

    def acting(self, revision: int, far: bool) -> list[str]:
        """Who may still act by a state older than a revision."""
        ledger, now = self.far if far else self.near, self.clock()
        former = [] if ledger.former_leases_expired(now) else [FORMER]
        return former + sorted({router for router, _ in ledger.active_before(revision, now)})

    def claims(self, row: Pinned) -> bool:
        """Whether a shard may be called confined now.

        After a start of the keeper its store may be an older copy: routers then act by terms that it does
        not know, for as long as the leases of the run before last. Where one was seen to, also those count
        that act without a lease.
        """
        ledger = self.far if self.back else self.near
        return row.stage == Stage.CONFINED.value and ledger.former_leases_expired(self.clock())

    def grounds(self) -> set[frozenset[str]]:
        """The zones of each `only` shard, now and after its move: whoever takes servers out leaves at least
        one that is up in each of these sets."""
        rows = [row for row, _ in list(self.desk.rows.values())]
        told = [terms for row in rows for terms in (row.now, row.then) if terms and terms.only]
        return {frozenset(zone for zones in terms.zones for zone in zones) for terms in told if terms.zones}

    # -- what it does by itself

    async def run(self) -> None:
        """Bring shards on their way, until cancelled."""
        rezoned, next_sweep = False, 0.0
        while True:
            tick = REST_TICK
            try:
                if not rezoned:
                    await self._change(self._rezone, "keeper")
                    rezoned = True
                if self.clock() >= next_sweep:
                    await self._change(self._sweep, "keeper")
                    self.near.remove_expired(self.clock())
                    self.far.remove_expired(self.clock())
                    next_sweep = self.clock() + SWEEP_EVERY
                tick = await self.look()
            except (StoreOverloadedError, DiskFullError) as bad:
                logger.warning("placement not looked at: {}", bad)
            self._wake = trio.Event()
            with trio.move_on_after(tick):
                await self._wake.wait()
                await trio.sleep(TICK / 4)  # several reports at once are one look

    async def look(self) -> float:
        """One look; seconds until the next one, if nothing comes before."""
        if self.doubts or self.disturbed:
            doubts, disturbed = dict(self.doubts), set(self.disturbed)
            await self._change(lambda store, now: self._alarms(store, now, doubts, disturbed), "keeper")
            for ident in doubts:
                self.doubts.pop(ident, None)
            self.disturbed -= disturbed
        work = await self.keeper.run_sync(self._work)
        known = {(ident, rev) for ident, _, rev in work}
        self.since = {each: at for each, at in self.since.items() if each in known}
        events = {}
        for ident, row, rev in work:
            event = self._event(ident, row, rev)
            if event is not None:
                events[ident] = event, rev
        if events:
            await self._change(lambda store, now: self._carry_out(store, now, events), "keeper")
        under_way = any(row.stage in UNDER_WAY for _, row, _ in work)
        due = min((row.at - self.keeper.clock() for _, row, _ in work if row.at), default=REST_TICK)
        return TICK if under_way else min(max(due, TICK), REST_TICK)

    async def _change(self, plan: Callable[[Store, float], list[Mutation]], who: str) -> None:
        """Conditional on what stands there: what changed meanwhile is left out, and seen at the next look."""
        await self.keeper.apply_planned(plan, who)

    def _work(self) -> list[tuple[str, Pinned, int]]:
        self.desk.refresh(self.keeper.store)
        self._hear_store(self.keeper.store)
        return [(ident, *self.desk.rows[ident]) for ident in sorted(self.desk.restless)]

    def _event(self, ident: str, row: Pinned, rev: int) -> Event | None:
        stage, wall = Stage(row.stage), self.keeper.clock()
        if row.at and wall >= row.at and stage in (Stage.ASKED, *REST):
            stands = {server.zone for server in self._standing_servers() if server.up}
            return Event.DUE if row.then and stands & {z for zones in row.then.zones for z in zones} else None
        if stage is Stage.SPREADING:
            return None if self.acting(rev, False) else Event.FOLLOW
        if stage is Stage.MOVING or (stage is Stage.LEAVING and not row.left):
            waits = self.acting(rev, row.far)
            return Event.FOLLOW if self._for(ident, rev, not waits, float(self.told.flight)) else None
        if row.held and stage in (*REST, Stage.LEAVING):
            return Event.FORGOTTEN if self._for(ident, rev, True, float(self.told.memory)) else None
        return None

    def _for(self, ident: str, rev: int, true: bool, span: float) -> bool:
        """Whether something has been true for so many seconds on end."""
        if not true:
            self.since.pop((ident, rev), None)
            return False
        return self.clock() - self.since.setdefault((ident, rev), self.clock()) >= span

    def _carry_out(self, store: Store, now: float, events: dict[str, tuple[Event, int]]) -> list[Mutation]:
        self.desk.refresh(store)
        wanted: list[Mutation] = []
        for ident, (event, rev) in events.items():
            row, stands = self.desk.rows.get(ident, (None, 0))
            if row is None or stands != rev:
                continue
            before = life_of(row)
            life = step(before, event)
            if life.stage is Stage.GONE:
                wanted.append(Mutation(SHARD, ident, None, rev))
                logger.info("shard {} of {} gone", row.shard, row.tenant)
                continue
            after = living(row, life, now)
            if life.stage in REST or life.left:
                after = msgspec.structs.replace(after, former=_former(row, life))
            if event is Event.FOLLOW and life.now is not None and life.now.only:
                after = self._note_copies(store, after, wanted, now)
            if life.stage is not before.stage:
                logger.info("shard {} of {} {}", row.shard, row.tenant, life.stage.value)
            wanted.append(Mutation(SHARD, ident, encode(after), rev))
        return wanted

    def _note_copies(self, store: Store, row: Pinned, wanted: list[Mutation], now: float) -> Pinned:
        """Who stands when a shard is told to move, and who when it is confined: copies may be left there."""
        crowd = {tuple(each) for each in self._crowd(store, row.crowd)} | set(self.servers.crowd())
        body = encode(sorted(crowd))
        name = xxh3_128_hexdigest(body)
        if store.get(CROWD, name) is None and all(each.item_id != name for each in wanted):
            wanted.append(Mutation(CROWD, name, body, 0))
        return msgspec.structs.replace(row, crowd=name, confined_at=now)

    @staticmethod
    def _crowd(store: Store, name: str) -> list[tuple[str, str, float]]:
        item = store.get(CROWD, name) if name else None
        return msgspec.json.decode(item.body, type=list[tuple[str, str, float]]) if item else []

    def _rezone(self, store: Store, now: float) -> list[Mutation]:
        """The keeper's file may name other zones for a region than when a shard was pinned to it."""
        self.desk.refresh(store)
        wanted = []
        for ident, (row, rev) in self.desk.rows.items():
            life = life_of(row)
            aim = life.then if life.then is not None else life.now
            if aim is None or life.end or not aim.regions or set(aim.regions) - set(self.told.regions):
                continue
            terms = self._terms(aim.regions, aim.only)
            if terms == aim:
                continue
            event = Event.LATER if life.at else Event.ASK
            life = step(life, event, terms, life.at)
            logger.info("shard {} of {}: its regions have other zones", row.shard, row.tenant)
            wanted.append(Mutation(SHARD, ident, encode(living(row, life, now)), rev))
        return wanted

    def _sweep(self, store: Store, now: float) -> list[Mutation]:
        """What belongs to tenants that are gone, and lists of servers that no shard names any more."""
        self.desk.refresh(store)
        self._look_at_room(store)
        stands = {number for number, _ in _tenants(store)}
        gone = [each for each in self.desk.rows.items() if each[1][0].incarnation not in stands]
        used = {row.crowd for row, _ in self.desk.rows.values()}
        wanted = [Mutation(SHARD, ident, None, rev) for ident, (_, rev) in gone]
        left = [item for item in store.items(BUDGET, "", SWEPT) if int(item.item_id) not in stands]
        wanted += [Mutation(BUDGET, item.item_id, None, item.revision) for item in left]
        left = [item for item in store.items(CROWD, "", SWEPT) if item.item_id not in used]
        return wanted + [Mutation(CROWD, item.item_id, None, item.revision) for item in left]

    def _look_at_room(self, store: Store) -> None:
        """Pins stay where servers are lost behind them: that there is too little for them is told once."""
        if not self.servers.digest:
            return
        ground = self._ground(store, "")
        for region in self.told.regions:
            bears, pinned = ground.bears(region), ground.pinned.get(region, 0.0)
            if (pinned > bears) is (region in self.crammed):
                continue
            told = "less than" if pinned > bears else "again"
            logger.log(
                "WARNING" if pinned > bears else "INFO",
                "region {} bears {} what is pinned: {:.1f}/s with a zone or server lost, {:.1f}/s pinned",
                region,
                told,
                bears,
                pinned,
            )
            self.crammed ^= {region}

    def _alarms(
        self, store: Store, now: float, doubts: dict[tuple[int, str], Doubt], disturbed: set[str]
    ) -> list[Mutation]:
        self.desk.refresh(store)
        wanted, names = [], dict(_tenants(store))
        for (incarnation, shard), doubt in doubts.items():
            ident = f"{incarnation}/{shard}"
            row, rev = self.desk.rows.get(ident, (None, 0))
            if incarnation not in names or (row and (rev > doubt.since or row.stage == Stage.HELD.value)):
                continue
            life = step(life_of(row) if row else None, Event.LOST)
            blank = Pinned(
                incarnation, names[incarnation], shard, doubt.prefixes, 0.0, store.revision + 1, "", now
            )
            after = living(row or blank, life, now)
            after = msgspec.structs.replace(after, version=store.revision + 1)
            logger.warning("shard {} of {} held: a newer pin of it was lost", shard, names[incarnation])
            wanted.append(Mutation(SHARD, ident, encode(after), rev))
        if disturbed:
            held = store.get(NOTE, UNSURE)
            stand = {each.uid: each.started for each in self.servers.known.values()}
            noted = dict(self._unsure(store)) | self.servers.unsure
            unsure = [(uid, at) for uid, at in sorted(noted.items()) if stand.get(uid, at) == at]
            wanted.append(Mutation(NOTE, UNSURE, encode(unsure), held.revision if held else 0))
            for ident, (row, rev) in self.desk.rows.items():
                zones = {zone for each in row.now.zones for zone in each} if row.now else set()
                if row.stage in (Stage.CONFINED.value, Stage.MOVING.value) and zones & disturbed:
                    after = living(row, step(life_of(row), Event.DISTURBED), now)
                    wanted.append(Mutation(SHARD, ident, encode(after), rev))
        return wanted

    # -- tenants

    def routes(self) -> list[Route]:
        """The routes of shards."""
        path = "/v1/tenants/{name}/shards"
        return [
            Route("GET", path, "a tenant's shards", None, ShardPage, self.shards),
            Route("GET", path + "/{shard}", "one shard", None, ShardShown, self.get),
            Route("PUT", path + "/{shard}", "pin it to regions", ShardWanted, ShardShown, self.put),
            Route("DELETE", path + "/{shard}", "let its pin end", None, None, self.delete),
        ]

    async def shards(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}/shards."""
        name = request.path_params["name"]
        caller.require_role("reader", name)

        def look() -> list[ShardShown]:
            kept, _ = self._standing(self.keeper.store, name)
            return [self._shown(self.keeper.store, row, rev) for row, rev in self.desk.of(kept.incarnation)]

        return json_response(ShardPage(await self.keeper.run_sync(look)))

    async def get(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}/shards/{shard}."""
        name, shard = request.path_params["name"], request.path_params["shard"]
        caller.require_role("reader", name)

        def look() -> ShardShown:
            kept, rows = self._standing(self.keeper.store, name)
            if shard not in rows or rows[shard][0].ends:
                raise NotFoundError(f"no shard {shard}")
            return self._shown(self.keeper.store, *rows[shard])

        found = await self.keeper.run_sync(look)
        return json_response(found, etag=found.revision)

    async def put(self, request: Request, caller: Caller) -> Response:
        """PUT /v1/tenants/{name}/shards/{shard}: If-Match with the tag of what stands, none for a new one."""
        name, shard = request.path_params["name"], request.path_params["shard"]
        caller.require_role("operator", name)
        wanted, body = await read_json(request, ShardWanted)
        match = if_match_revision(request) if request.headers.get("if-match") else None

        async def make(idempotency: IdempotencyKey | None) -> Response:
            made = await self.ask(name, shard, wanted, match, caller.name, idempotency)
            return json_response(made, 200, made.revision)

        return await run_once(self.administration.store_writer, request, caller, body, make)

    async def delete(self, request: Request, caller: Caller) -> Response:
        """DELETE /v1/tenants/{name}/shards/{shard}."""
        name, shard = request.path_params["name"], request.path_params["shard"]
        caller.require_role("operator", name)
        await self.remove(name, shard, if_match_revision(request), caller.name)
        return Response(status_code=204)

    async def ask(
        self,
        name: str,
        shard: str,
        wanted: ShardWanted,
        match: int | None,
        who: str,
        idempotency: IdempotencyKey | None = None,
    ) -> ShardShown:
        """Pin a shard, or change its pin. Raises ApiError."""

        def plan(store: Store, now: float) -> list[Mutation]:
            kept, rows = self._standing(store, name)
            row, rev = rows.get(shard, (None, 0))
            _match(row, match, shard)
            try:
                prefixes = _prefixes(shard, wanted, row, rows)
                if row is None:
                    check_count(len(rows), self.told.shards)
                allowance = _afford(kept, rows, shard, wanted.allowance)
                held = row.counted.get(wanted.regions[0], 0.0) if row else 0.0
                ground = self._ground(store, f"{kept.incarnation}/{shard}")
                ground.check(wanted.regions, allowance, held)
                budget = self._spend(store, kept.incarnation, now)
                terms = self._terms(wanted.regions, wanted.hold == "only")
                event = Event.LATER if wanted.at > now else Event.ASK
                life = step(life_of(row) if row else None, event, terms, wanted.at)
            except NotTaken as bad:
                raise ApiError(bad.status, bad.what, bad.detail, bad.field) from None
            except Refused as bad:
                raise ResourceConflictError(str(bad)) from None
            after = Pinned(
                kept.incarnation,
                name,
                shard,
                prefixes,
                allowance,
                store.revision + 1,
                life.stage.value,
                now,
                regions=wanted.regions,
                hold=wanted.hold,
                asked_allowance=wanted.allowance,
                asked_at=wanted.at,
                crowd=row.crowd if row else "",
                confined_at=row.confined_at if row else 0.0,
                former=_former(row, life),
            )
            ident = f"{kept.incarnation}/{shard}"
            return [Mutation(SHARD, ident, encode(living(after, life, now)), rev), budget]

        made = await self.administration.commit(plan, who, idempotency, self._answered)
        self._wake.set()
        return msgspec.json.decode(self._answered(made), type=ShardShown)

    async def remove(self, name: str, shard: str, match: int, who: str) -> None:
        """Let a pin end. Raises ApiError."""

        def plan(store: Store, now: float) -> list[Mutation]:
            kept, rows = self._standing(store, name)
            row, rev = rows.get(shard, (None, 0))
            if row is None or row.ends:
                raise NotFoundError(f"no shard {shard}")
            _match(row, match, shard)
            ident = f"{kept.incarnation}/{shard}"
            try:
                budget = self._spend(store, kept.incarnation, now)
                life = step(life_of(row), Event.REMOVE)
            except NotTaken as bad:
                raise ApiError(bad.status, bad.what, bad.detail, bad.field) from None
            after = living(row, life, now)
            after = msgspec.structs.replace(after, version=store.revision + 1, former=_former(row, life))
            return [Mutation(SHARD, ident, None if life.stage is Stage.GONE else encode(after), rev), budget]

        await self.administration.commit(plan, who)
        self._wake.set()

    def _answered(self, made: list[Any]) -> bytes:
        row = msgspec.json.decode(made[0].body, type=Pinned)
        return msgspec.json.encode(self._shown(None, row, made[0].revision))

    def _standing(self, store: Store, name: str) -> tuple[TenantRecord, dict[str, tuple[Pinned, int]]]:
        item = store.get(TENANT_KIND, name)
        if item is None:
            raise NotFoundError(f"no tenant {name}")
        kept = msgspec.json.decode(item.body, type=TenantRecord)
        self.desk.refresh(store)
        return kept, {row.shard: (row, rev) for row, rev in self.desk.of(kept.incarnation)}

    def _ground(self, store: Store, without: str) -> Ground:
        """What pins are checked against, on the store's thread."""
        # A tenant that was removed, and that no router has anything of in hand, takes no room any more.
        over = {stone.incarnation for stone in _all(store, TOMBSTONE_KIND, TenantRecord) if stone.clear}
        pinned: dict[str, float] = {}
        for ident, (row, _) in self.desk.rows.items():
            if ident != without and row.incarnation not in over:
                for region, counted in row.counted.items():
                    pinned[region] = pinned.get(region, 0.0) + counted
        self._hear_store(store)
        bears, heard = float(self.told.bears), bool(self.servers.digest)
        return Ground(self.told.regions, self._standing_servers(), bears, pinned, heard)

    def _hear_store(self, store: Store) -> None:
        self.ordered = frozenset(_idents(store, SERVER_ORDER_KIND))
        self.doubtful = {**dict(self._unsure(store)), **self.servers.unsure}

    def _standing_servers(self) -> list[Server]:
        """As routers told. What operators let drain takes nothing, and what changed zones without a start no
        key of an `only` shard: neither is room to pin to."""
        return [
            replace(each, up=False)
            if each.uid in self.ordered or self.doubtful.get(each.uid) == each.started
            else each
            for each in list(self.servers.known.values())
        ]

    def _spend(self, store: Store, incarnation: int, now: float) -> Mutation:
        held = store.get(BUDGET, str(incarnation))
        most = self.told.changes
        left, at = msgspec.json.decode(held.body, type=tuple[float, float]) if held else (most, now)
        budget = Budget(left, at).take(most, now)
        return Mutation(
            BUDGET, str(incarnation), encode((budget.left, budget.at)), held.revision if held else 0
        )

    def _terms(self, regions: tuple[str, ...], only: bool) -> Terms:
        return Terms(only, tuple(regions), tuple(tuple(self.told.regions[name]) for name in regions))

    def _shown(self, store: Store | None, row: Pinned, rev: int) -> ShardShown:
        life = life_of(row)
        stage, waits = row.stage, []
        if stage == Stage.CONFINED.value and not self.claims(row):
            stage, waits = Stage.MOVING.value, [FORMER]
        elif life.stage in (Stage.SPREADING, Stage.MOVING, Stage.LEAVING) and not life.left:
            waits = self.acting(rev, life.far and life.stage is not Stage.SPREADING)
        until = row.confined_at + float(self.told.retention) if self.told.retention else 0.0
        copies = self._copies(store, row, life) if store is not None and row.crowd else []
        if until and self.keeper.clock() >= until:
            copies = []
        return ShardShown(
            row.tenant,
            row.incarnation,
            row.shard,
            row.prefixes,
            row.regions,
            row.hold,
            row.asked_allowance,
            row.asked_at,
            row.allowance,
            stage,
            row.since,
            row.version,
            _terms_shown(life.now),
            _terms_shown(life.then),
            row.held,
            waits[:20],
            copies,
            until,
        )

    def _copies(self, store: Store, row: Pinned, life: Life) -> list[Copy]:
        if life.now is None or not life.now.only:
            return []
        inside = {zone for zones in life.now.zones for zone in zones}
        anew = {uid: server.started for uid, server in self.servers.known.items()}
        return [
            Copy(uid, zone, started)
            for uid, zone, started in self._crowd(store, row.crowd)
            if zone not in inside and anew.get(uid, started) == started
        ]


def _pairs(body: bytes) -> list[tuple[str, float]]:
    return msgspec.json.decode(body, type=list[tuple[str, float]])


def _afford(kept: TenantRecord, rows: dict[str, tuple[Pinned, int]], shard: str, allowance: float) -> float:
    """What of its tenant's allowance a shard takes. Raises NotTaken."""
    # What its tenant let end is its own again at once; at its region it counts until routers follow.
    others = sum(row.allowance for name, (row, _) in rows.items() if name != shard and not row.ends)
    room = max(kept.allowance - others, 0.0)
    if allowance > room + 1e-9:
        detail = f"of {kept.allowance:.1f} the other shards have {others:.1f}; accepted: up to {room:.1f}"
        raise NotTaken(409, "beyond the tenant's allowance", detail, "allowance")
    return allowance or room


def _terms_shown(terms: Terms | None) -> TermsShown | None:
    if terms is None:
        return None
    zones = tuple(zone for each in terms.zones for zone in each)
    return TermsShown("only" if terms.only else "prefer", terms.regions, zones)


def _match(row: Pinned | None, match: int | None, shard: str) -> None:
    row = None if row is not None and row.ends else row
    if row is None and match is not None:
        raise PreconditionFailedError(f"no shard {shard}")
    if row is not None and match is None:
        raise PreconditionRequiredError("it stands: send its ETag as If-Match", etag=row.version)
    if row is not None and row.version != match:
        raise PreconditionFailedError(f"it is at revision {row.version}", etag=row.version)


def _prefixes(
    shard: str, wanted: ShardWanted, row: Pinned | None, rows: dict[str, tuple[Pinned, int]]
) -> tuple[str, ...]:
    """The prefixes of a shard, once and for all. Raises ApiError."""
    prefixes = tuple(wanted.prefixes)
    if len(set(prefixes)) < len(prefixes):
        raise InvalidRequestError("one is told twice", "prefixes")
    if row is not None:
        if (prefixes or row.ends) and set(prefixes) != set(row.prefixes):
            raise ResourceConflictError("prefixes stay as they were made until it is gone", "prefixes")
        return row.prefixes
    if not NAME.fullmatch(shard):
        raise InvalidRequestError("a shard's name is of lower case letters, digits and dashes", "shard")
    if (shard == DEFAULT) is bool(prefixes):
        raise InvalidRequestError("every shard but `default` has prefixes, and only these", "prefixes")
    for other, (held, _) in rows.items():
        taken = sorted(set(held.prefixes) & set(prefixes))
        if taken:
            raise ResourceConflictError(f"{taken[0]!r} is shard {other}'s", "prefixes")
    return prefixes


def _former(row: Pinned | None, life: Life) -> dict[str, float]:
    """What a shard counts for at regions that routers may still act by: from when it is asked for something
    else until all follow. Else another tenant is given room that is still used."""
    if row is None or life.left or (life.stage in REST and life.then is None):
        return {}
    first = row.now.regions[0] if row.now is not None and row.now.regions else ""
    return {**row.former, first: row.counted[first]} if first else row.former


def _all(store: Store, kind: str, form: type[Any]) -> Iterator[Any]:
    after = ""
    while items := store.items(kind, after):
        for item in items:
            yield msgspec.json.decode(item.body, type=form)
        after = items[-1].item_id


def _idents(store: Store, kind: str) -> Iterator[str]:
    after = ""
    while items := store.items(kind, after):
        yield from (item.item_id for item in items)
        after = items[-1].item_id


def _tenants(store: Store) -> list[tuple[int, str]]:
    return [
        (kept.incarnation, kept.name)
        for kind in (TENANT_KIND, TOMBSTONE_KIND)
        for kept in _all(store, kind, TenantRecord)
    ]
