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

from ..admin.app import answer, if_match, once, read
from ..admin.keep import KeepPlacement
from ..admin.service import SERVER, TENANT, TOMBSTONE, Administration, Caller, Wrong
from ..admin.types import Kept
from ..store.keeper import Overloaded
from ..store.store import Full, Store, Wanted, encode
from ..tenancy.feed import Report
from ..tenancy.lease import Ledger
from .admission import AdmissionError, ChangeBudget, RegionCapacity, Server, check_shard_count
from .lifecycle import SETTLED_STAGES, Event, InvalidTransitionError, Lifecycle, Stage, transition
from .messages import (
    ControlPlaneUpdate,
    Copy,
    LostPin,
    RouterReport,
    ShardPage,
    ShardRecord,
    ShardShown,
    ShardWanted,
    TermsShown,
)
from .server_inventory import ServerInventory
from .shard_index import SHARD, ShardIndex, lifecycle_of, with_lifecycle
from .shard_table import DEFAULT_SHARD, RegionAffinity

SHARD_NAME = re.compile("[a-z][a-z0-9-]{0,62}")
BUDGET, SERVER_SNAPSHOT, NOTE = "shard-budget", "shard-crowd", "shard-note"
RELABELLED = "unsure"
RECONCILE_INTERVAL = 0.1  # seconds between two looks while a shard is on its way
IDLE_INTERVAL = 2.0  # while none is
SWEEP_INTERVAL, SWEEP_LIMIT = 10.0, 10_000  # seconds; things of a kind looked at
MAX_PENDING_LOST_PINS = 1024
PREVIOUS_RUN = "a former run of the keeper"
IN_PROGRESS = (Stage.PREPARING.value, Stage.MIGRATING.value, Stage.REMOVING.value)


class PlacementControlPlane:
    """The part of the administration."""

    name = "placement"

    def __init__(
        self, administration: Administration, told: KeepPlacement, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """`clock`: monotonic seconds, by which leases are counted."""
        self.administration = administration
        self.keeper = administration.keeper
        self.told = told
        self.clock = clock
        self.index = ShardIndex()
        self.inventory = ServerInventory()
        now = clock()
        self.leases = Ledger(now, administration.lease, grace=float(told.flight))
        self.isolation_leases = Ledger(now, float(told.alone), grace=float(told.flight))
        self.lost_pins: dict[
            tuple[int, str], LostPin
        ] = {}  # until they are written; MAX_PENDING_LOST_PINS of them
        self.rezoned: set[str] = set()  # zones whose servers moved, until that is written
        self.history_lost = False  # a router acts by a history that this copy of the store does not have
        self.condition_since: dict[
            tuple[str, int], float
        ] = {}  # when a condition was first seen; follows the work
        self.drained: frozenset[str] = frozenset()  # servers that operators let drain; follows the store
        self.relabelled: dict[str, float] = {}  # servers whose zone changed without a start; likewise
        self.overcommitted: set[str] = set()  # regions where more is pinned than they bear now
        self._wake = trio.Event()
        self._relabelled_cache: tuple[int, list[tuple[str, float]]] = (0, [])

    # -- routers

    def hear(self, report: Report, now: float) -> None:
        """A router called; its lease counts from here on, later than its question was sent."""
        now = self.clock()
        try:
            told = msgspec.json.decode(report.parts.get(self.name, b"{}"), type=RouterReport)
        except msgspec.MsgspecError as bad:
            raise Wrong(422, "invalid", str(bad), "parts.placement") from None
        known = (
            bool(told.revision_digest)
            and self.administration.told.get(told.table_revision) == told.revision_digest
        )
        revision = min(told.effective_revision, told.table_revision) if known else 0
        # A reader without the part follows nothing and is given nothing.
        if self.name in report.parts:
            self.leases.give(report.router, report.run, revision, self.administration.lease, now)
            self.isolation_leases.give(report.router, report.run, revision, float(self.told.alone), now)
        if told.server_chunk is not None:
            self.rezoned |= self.inventory.add_chunk(report.router, told.server_chunk)
        for doubt in told.lost_pins:
            if len(self.lost_pins) < MAX_PENDING_LOST_PINS:
                self.lost_pins[doubt.incarnation, doubt.shard] = doubt
        if self.index.needs_work or self.lost_pins or self.rezoned:
            self._wake.set()

    def feed(self, store: Store, report: Report) -> bytes | None:
        """On the store's thread."""
        if self.name not in report.parts:
            return None
        told = msgspec.json.decode(report.parts[self.name], type=RouterReport)
        self.index.refresh(store)
        held = store.mark(told.table_revision) if told.table_revision else ""
        back = (
            bool(told.table_revision)
            and held != told.revision_digest
            and (told.table_revision > store.rev or bool(held))
        )
        if back and not self.history_lost:
            self.history_lost = True
            logger.warning("placement: {} follows a history that this store does not have", report.router)
        since = told.table_revision if held and held == told.revision_digest else 0
        whole, rows, gone = self.index.changes_since(since)
        who = (report.router, report.run)
        noted = who in self.leases.given and who in self.isolation_leases.given
        return msgspec.json.encode(
            ControlPlaneUpdate(
                self.index.revision,
                self.administration.mark_of(self.index.revision),
                whole,
                rows,
                gone,
                self.administration.lease if noted else 0.0,
                float(self.told.alone) if noted else 0.0,
                self._relabelled_servers(store),
                self.inventory.digest,
                back,
            )
        )

    def _relabelled_servers(self, store: Store) -> list[tuple[str, float]]:
        if self._relabelled_cache[0] != store.rev:
            item = store.get(NOTE, RELABELLED)
            self._relabelled_cache = store.rev, _pairs(item.body) if item else []
        return self._relabelled_cache[1]

    def routers_behind(self, revision: int, without_lease: bool) -> list[str]:
        """Who may still act by a state older than a revision."""
        ledger, now = self.isolation_leases if without_lease else self.leases, self.clock()
        former = [] if ledger.settled(now) else [PREVIOUS_RUN]
        return former + sorted({router for router, _ in ledger.acting_before(revision, now)})

    def is_confined(self, row: ShardRecord) -> bool:
        """Whether a shard may be called confined now.

        After a start of the keeper its store may be an older copy: routers then act by terms that it does
        not know, for as long as the leases of the run before last. Where one was seen to, also those count
        that act without a lease.
        """
        ledger = self.isolation_leases if self.history_lost else self.leases
        return row.stage == Stage.CONFINED.value and ledger.settled(self.clock())

    def required_zone_sets(self) -> set[frozenset[str]]:
        """The zones of each `only` shard, now and after its move: whoever takes servers out leaves at least
        one that is up in each of these sets."""
        rows = [row for row, _ in list(self.index.shards.values())]
        told = [terms for row in rows for terms in (row.current, row.target) if terms and terms.required]
        return {frozenset(zone for zones in terms.zones for zone in zones) for terms in told if terms.zones}

    # -- what it does by itself

    async def run(self) -> None:
        """Bring shards on their way, until cancelled."""
        rezoned, next_sweep = False, 0.0
        while True:
            tick = IDLE_INTERVAL
            try:
                if not rezoned:
                    await self._change(self._update_zones, "keeper")
                    rezoned = True
                if self.clock() >= next_sweep:
                    await self._change(self._sweep, "keeper")
                    self.leases.sweep(self.clock())
                    self.isolation_leases.sweep(self.clock())
                    next_sweep = self.clock() + SWEEP_INTERVAL
                tick = await self.reconcile()
            except (Overloaded, Full) as bad:
                logger.warning("placement not looked at: {}", bad)
            self._wake = trio.Event()
            with trio.move_on_after(tick):
                await self._wake.wait()
                await trio.sleep(RECONCILE_INTERVAL / 4)  # several reports at once are one look

    async def reconcile(self) -> float:
        """One look; seconds until the next one, if nothing comes before."""
        if self.lost_pins or self.rezoned:
            doubts, disturbed = dict(self.lost_pins), set(self.rezoned)
            await self._change(
                lambda store, now: self._record_alarms(store, now, doubts, disturbed), "keeper"
            )
            for ident in doubts:
                self.lost_pins.pop(ident, None)
            self.rezoned -= disturbed
        work = await self.keeper.call(self._pending_shards)
        known = {(ident, rev) for ident, _, rev in work}
        self.condition_since = {each: at for each, at in self.condition_since.items() if each in known}
        events = {}
        for ident, row, rev in work:
            event = self._next_event(ident, row, rev)
            if event is not None:
                events[ident] = event, rev
        if events:
            await self._change(lambda store, now: self._apply_events(store, now, events), "keeper")
        under_way = any(row.stage in IN_PROGRESS for _, row, _ in work)
        due = min(
            (row.scheduled_at - self.keeper.clock() for _, row, _ in work if row.scheduled_at),
            default=IDLE_INTERVAL,
        )
        return RECONCILE_INTERVAL if under_way else min(max(due, RECONCILE_INTERVAL), IDLE_INTERVAL)

    async def _change(self, plan: Callable[[Store, float], list[Wanted]], who: str) -> None:
        """Conditional on what stands there: what changed meanwhile is left out, and seen at the next look."""
        await self.keeper.apply_planned(plan, who)

    def _pending_shards(self) -> list[tuple[str, ShardRecord, int]]:
        self.index.refresh(self.keeper.store)
        self._refresh_servers(self.keeper.store)
        return [(ident, *self.index.shards[ident]) for ident in sorted(self.index.needs_work)]

    def _next_event(self, ident: str, row: ShardRecord, rev: int) -> Event | None:
        stage, wall = Stage(row.stage), self.keeper.clock()
        if row.scheduled_at and wall >= row.scheduled_at and stage in (Stage.SCHEDULED, *SETTLED_STAGES):
            stands = {server.zone for server in self._placeable_servers() if server.accepts_new}
            return (
                Event.SCHEDULE_DUE
                if row.target and stands & {z for zones in row.target.zones for z in zones}
                else None
            )
        if stage is Stage.PREPARING:
            return None if self.routers_behind(rev, False) else Event.ROUTERS_CAUGHT_UP
        if stage is Stage.MIGRATING or (stage is Stage.REMOVING and not row.removal_acknowledged):
            waits = self.routers_behind(rev, row.may_serve_without_lease)
            return (
                Event.ROUTERS_CAUGHT_UP
                if self._has_held_for(ident, rev, not waits, float(self.told.flight))
                else None
            )
        if row.retries_blocked and stage in (*SETTLED_STAGES, Stage.REMOVING):
            return (
                Event.DEDUPLICATION_EXPIRED
                if self._has_held_for(ident, rev, True, float(self.told.memory))
                else None
            )
        return None

    def _has_held_for(self, ident: str, rev: int, true: bool, span: float) -> bool:
        """Whether something has been true for so many seconds on end."""
        if not true:
            self.condition_since.pop((ident, rev), None)
            return False
        return self.clock() - self.condition_since.setdefault((ident, rev), self.clock()) >= span

    def _apply_events(self, store: Store, now: float, events: dict[str, tuple[Event, int]]) -> list[Wanted]:
        self.index.refresh(store)
        wanted: list[Wanted] = []
        for ident, (event, rev) in events.items():
            row, stands = self.index.shards.get(ident, (None, 0))
            if row is None or stands != rev:
                continue
            before = lifecycle_of(row)
            life = transition(before, event)
            if life.stage is Stage.REMOVED:
                wanted.append(Wanted(SHARD, ident, None, rev))
                logger.info("shard {} of {} gone", row.shard, row.tenant)
                continue
            after = with_lifecycle(row, life, now)
            if life.stage in SETTLED_STAGES or life.removal_acknowledged:
                after = msgspec.structs.replace(after, former_rates=_former_rates(row, life))
            if event is Event.ROUTERS_CAUGHT_UP and life.current is not None and life.current.required:
                after = self._record_servers(store, after, wanted, now)
            if life.stage is not before.stage:
                logger.info("shard {} of {} {}", row.shard, row.tenant, life.stage.value)
            wanted.append(Wanted(SHARD, ident, encode(after), rev))
        return wanted

    def _record_servers(
        self, store: Store, row: ShardRecord, wanted: list[Wanted], now: float
    ) -> ShardRecord:
        """Who stands when a shard is told to move, and who when it is confined: copies may be left there."""
        crowd = {tuple(each) for each in self._server_snapshot(store, row.server_snapshot)} | set(
            self.inventory.snapshot()
        )
        body = encode(sorted(crowd))
        name = xxh3_128_hexdigest(body)
        if store.get(SERVER_SNAPSHOT, name) is None and all(each.ident != name for each in wanted):
            wanted.append(Wanted(SERVER_SNAPSHOT, name, body, 0))
        return msgspec.structs.replace(row, server_snapshot=name, confined_at=now)

    @staticmethod
    def _server_snapshot(store: Store, name: str) -> list[tuple[str, str, float]]:
        item = store.get(SERVER_SNAPSHOT, name) if name else None
        return msgspec.json.decode(item.body, type=list[tuple[str, str, float]]) if item else []

    def _update_zones(self, store: Store, now: float) -> list[Wanted]:
        """The keeper's file may name other zones for a region than when a shard was pinned to it."""
        self.index.refresh(store)
        wanted = []
        for ident, (row, rev) in self.index.shards.items():
            life = lifecycle_of(row)
            aim = life.target if life.target is not None else life.current
            if (
                aim is None
                or life.removal_requested
                or not aim.regions
                or set(aim.regions) - set(self.told.regions)
            ):
                continue
            terms = self._affinity(aim.regions, aim.required)
            if terms == aim:
                continue
            event = Event.CHANGE_SCHEDULED if life.scheduled_at else Event.CHANGE_REQUESTED
            life = transition(life, event, terms, life.scheduled_at)
            logger.info("shard {} of {}: its regions have other zones", row.shard, row.tenant)
            wanted.append(Wanted(SHARD, ident, encode(with_lifecycle(row, life, now)), rev))
        return wanted

    def _sweep(self, store: Store, now: float) -> list[Wanted]:
        """What belongs to tenants that are gone, and lists of servers that no shard names any more."""
        self.index.refresh(store)
        self._check_capacity(store)
        stands = {number for number, _ in _tenants(store)}
        gone = [each for each in self.index.shards.items() if each[1][0].incarnation not in stands]
        used = {row.server_snapshot for row, _ in self.index.shards.values()}
        wanted = [Wanted(SHARD, ident, None, rev) for ident, (_, rev) in gone]
        left = [item for item in store.items(BUDGET, "", SWEEP_LIMIT) if int(item.ident) not in stands]
        wanted += [Wanted(BUDGET, item.ident, None, item.rev) for item in left]
        left = [item for item in store.items(SERVER_SNAPSHOT, "", SWEEP_LIMIT) if item.ident not in used]
        return wanted + [Wanted(SERVER_SNAPSHOT, item.ident, None, item.rev) for item in left]

    def _check_capacity(self, store: Store) -> None:
        """Pins stay where servers are lost behind them: that there is too little for them is told once."""
        if not self.inventory.digest:
            return
        ground = self._region_capacity(store, "")
        for region in self.told.regions:
            bears, pinned = ground.capacity(region), ground.reserved.get(region, 0.0)
            if (pinned > bears) is (region in self.overcommitted):
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
            self.overcommitted ^= {region}

    def _record_alarms(
        self, store: Store, now: float, doubts: dict[tuple[int, str], LostPin], disturbed: set[str]
    ) -> list[Wanted]:
        self.index.refresh(store)
        wanted, names = [], dict(_tenants(store))
        for (incarnation, shard), doubt in doubts.items():
            ident = f"{incarnation}/{shard}"
            row, rev = self.index.shards.get(ident, (None, 0))
            if incarnation not in names or (
                row and (rev > doubt.store_revision or row.stage == Stage.QUARANTINED.value)
            ):
                continue
            life = transition(lifecycle_of(row) if row else None, Event.PIN_LOST)
            blank = ShardRecord(
                incarnation, names[incarnation], shard, doubt.prefixes, 0.0, store.rev + 1, "", now
            )
            after = with_lifecycle(row or blank, life, now)
            after = msgspec.structs.replace(after, version=store.rev + 1)
            logger.warning("shard {} of {} held: a newer pin of it was lost", shard, names[incarnation])
            wanted.append(Wanted(SHARD, ident, encode(after), rev))
        if disturbed:
            held = store.get(NOTE, RELABELLED)
            stand = {each.uid: each.started_at for each in self.inventory.current.values()}
            noted = dict(self._relabelled_servers(store)) | self.inventory.relabelled
            unsure = [(uid, at) for uid, at in sorted(noted.items()) if stand.get(uid, at) == at]
            wanted.append(Wanted(NOTE, RELABELLED, encode(unsure), held.rev if held else 0))
            for ident, (row, rev) in self.index.shards.items():
                zones = {zone for each in row.current.zones for zone in each} if row.current else set()
                if row.stage in (Stage.CONFINED.value, Stage.MIGRATING.value) and zones & disturbed:
                    after = with_lifecycle(row, transition(lifecycle_of(row), Event.ZONES_CHANGED), now)
                    wanted.append(Wanted(SHARD, ident, encode(after), rev))
        return wanted

    # -- tenants

    def routes(self) -> list[tuple[str, str, str, Any, Any, Any]]:
        """Rows of the API's table."""
        path = "/v1/tenants/{name}/shards"
        return [
            ("GET", path, "a tenant's shards", None, ShardPage, self.shards),
            ("GET", path + "/{shard}", "one shard", None, ShardShown, self.get),
            ("PUT", path + "/{shard}", "pin it to regions", ShardWanted, ShardShown, self.put),
            ("DELETE", path + "/{shard}", "let its pin end", None, None, self.delete),
        ]

    async def shards(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}/shards."""
        name = request.path_params["name"]
        caller.need("reader", name)

        def look() -> list[ShardShown]:
            kept, _ = self._tenant_shards(self.keeper.store, name)
            return [
                self._view(self.keeper.store, row, rev)
                for row, rev in self.index.for_incarnation(kept.incarnation)
            ]

        return answer(ShardPage(await self.keeper.call(look)))

    async def get(self, request: Request, caller: Caller) -> Response:
        """GET /v1/tenants/{name}/shards/{shard}."""
        name, shard = request.path_params["name"], request.path_params["shard"]
        caller.need("reader", name)

        def look() -> ShardShown:
            kept, rows = self._tenant_shards(self.keeper.store, name)
            if shard not in rows or rows[shard][0].is_ending:
                raise Wrong(404, "not found", f"no shard {shard}")
            return self._view(self.keeper.store, *rows[shard])

        found = await self.keeper.call(look)
        return answer(found, etag=found.revision)

    async def put(self, request: Request, caller: Caller) -> Response:
        """PUT /v1/tenants/{name}/shards/{shard}: If-Match with the tag of what stands, none for a new one."""
        name, shard = request.path_params["name"], request.path_params["shard"]
        caller.need("operator", name)
        wanted, body = await read(request, ShardWanted)
        match = if_match(request) if request.headers.get("if-match") else None

        async def make(**key: Any) -> Response:
            made = await self.put_shard(name, shard, wanted, match, caller.name, **key)
            return answer(made, 200, made.revision)

        return await once(self.administration, request, caller, body, make)

    async def delete(self, request: Request, caller: Caller) -> Response:
        """DELETE /v1/tenants/{name}/shards/{shard}."""
        name, shard = request.path_params["name"], request.path_params["shard"]
        caller.need("operator", name)
        await self.remove_shard(name, shard, if_match(request), caller.name)
        return Response(status_code=204)

    async def put_shard(
        self, name: str, shard: str, wanted: ShardWanted, match: int | None, who: str, **key: Any
    ) -> ShardShown:
        """Pin a shard, or change its pin. Raises Wrong."""

        def plan(store: Store, now: float) -> list[Wanted]:
            kept, rows = self._tenant_shards(store, name)
            row, rev = rows.get(shard, (None, 0))
            _check_revision(row, match, shard)
            try:
                prefixes = _check_prefixes(shard, wanted, row, rows)
                if row is None:
                    check_shard_count(len(rows), self.told.shards)
                allowance = _allocate_rate(kept, rows, shard, wanted.allowance)
                held = row.rate_by_region.get(wanted.regions[0], 0.0) if row else 0.0
                ground = self._region_capacity(store, f"{kept.incarnation}/{shard}")
                ground.check(wanted.regions, allowance, held)
                budget = self._charge_budget(store, kept.incarnation, now)
                terms = self._affinity(wanted.regions, wanted.hold == "only")
                event = Event.CHANGE_SCHEDULED if wanted.at > now else Event.CHANGE_REQUESTED
                life = transition(lifecycle_of(row) if row else None, event, terms, wanted.at)
            except AdmissionError as bad:
                raise Wrong(bad.status, bad.what, bad.detail, bad.field) from None
            except InvalidTransitionError as bad:
                raise Wrong(409, "conflict", str(bad)) from None
            after = ShardRecord(
                kept.incarnation,
                name,
                shard,
                prefixes,
                allowance,
                store.rev + 1,
                life.stage.value,
                now,
                requested_regions=wanted.regions,
                requested_mode=wanted.hold,
                requested_rate=wanted.allowance,
                requested_start=wanted.at,
                server_snapshot=row.server_snapshot if row else "",
                confined_at=row.confined_at if row else 0.0,
                former_rates=_former_rates(row, life),
            )
            ident = f"{kept.incarnation}/{shard}"
            return [Wanted(SHARD, ident, encode(with_lifecycle(after, life, now)), rev), budget]

        made = await self.administration._change(plan, who, answer=self._response_body, **key)
        self._wake.set()
        return msgspec.json.decode(self._response_body(made), type=ShardShown)

    async def remove_shard(self, name: str, shard: str, match: int, who: str) -> None:
        """Let a pin end. Raises Wrong."""

        def plan(store: Store, now: float) -> list[Wanted]:
            kept, rows = self._tenant_shards(store, name)
            row, rev = rows.get(shard, (None, 0))
            if row is None or row.is_ending:
                raise Wrong(404, "not found", f"no shard {shard}")
            _check_revision(row, match, shard)
            ident = f"{kept.incarnation}/{shard}"
            try:
                budget = self._charge_budget(store, kept.incarnation, now)
                life = transition(lifecycle_of(row), Event.REMOVAL_REQUESTED)
            except AdmissionError as bad:
                raise Wrong(bad.status, bad.what, bad.detail, bad.field) from None
            after = with_lifecycle(row, life, now)
            after = msgspec.structs.replace(
                after, version=store.rev + 1, former_rates=_former_rates(row, life)
            )
            return [Wanted(SHARD, ident, None if life.stage is Stage.REMOVED else encode(after), rev), budget]

        await self.administration._change(plan, who)
        self._wake.set()

    def _response_body(self, made: list[Any]) -> bytes:
        row = msgspec.json.decode(made[0].body, type=ShardRecord)
        return msgspec.json.encode(self._view(None, row, made[0].rev))

    def _tenant_shards(self, store: Store, name: str) -> tuple[Kept, dict[str, tuple[ShardRecord, int]]]:
        item = store.get(TENANT, name)
        if item is None:
            raise Wrong(404, "not found", f"no tenant {name}")
        kept = msgspec.json.decode(item.body, type=Kept)
        self.index.refresh(store)
        return kept, {row.shard: (row, rev) for row, rev in self.index.for_incarnation(kept.incarnation)}

    def _region_capacity(self, store: Store, without: str) -> RegionCapacity:
        """What pins are checked against, on the store's thread."""
        # A tenant that was removed, and that no router has anything of in hand, takes no room any more.
        over = {stone.incarnation for stone in _all(store, TOMBSTONE, Kept) if stone.clear}
        pinned: dict[str, float] = {}
        for ident, (row, _) in self.index.shards.items():
            if ident != without and row.incarnation not in over:
                for region, counted in row.rate_by_region.items():
                    pinned[region] = pinned.get(region, 0.0) + counted
        self._refresh_servers(store)
        bears, heard = float(self.told.bears), bool(self.inventory.digest)
        return RegionCapacity(self.told.regions, self._placeable_servers(), bears, pinned, heard)

    def _refresh_servers(self, store: Store) -> None:
        self.drained = frozenset(_idents(store, SERVER))
        self.relabelled = {**dict(self._relabelled_servers(store)), **self.inventory.relabelled}

    def _placeable_servers(self) -> list[Server]:
        """As routers told. What operators let drain takes nothing, and what changed zones without a start no
        key of an `only` shard: neither is room to pin to."""
        return [
            replace(each, accepts_new=False)
            if each.uid in self.drained or self.relabelled.get(each.uid) == each.started_at
            else each
            for each in list(self.inventory.current.values())
        ]

    def _charge_budget(self, store: Store, incarnation: int, now: float) -> Wanted:
        held = store.get(BUDGET, str(incarnation))
        most = self.told.changes
        left, at = msgspec.json.decode(held.body, type=tuple[float, float]) if held else (most, now)
        budget = ChangeBudget(left, at).take(most, now)
        return Wanted(
            BUDGET, str(incarnation), encode((budget.remaining, budget.updated_at)), held.rev if held else 0
        )

    def _affinity(self, regions: tuple[str, ...], only: bool) -> RegionAffinity:
        return RegionAffinity(only, tuple(regions), tuple(tuple(self.told.regions[name]) for name in regions))

    def _view(self, store: Store | None, row: ShardRecord, rev: int) -> ShardShown:
        life = lifecycle_of(row)
        stage, waits = row.stage, []
        if stage == Stage.CONFINED.value and not self.is_confined(row):
            stage, waits = Stage.MIGRATING.value, [PREVIOUS_RUN]
        elif (
            life.stage in (Stage.PREPARING, Stage.MIGRATING, Stage.REMOVING) and not life.removal_acknowledged
        ):
            waits = self.routers_behind(
                rev, life.may_serve_without_lease and life.stage is not Stage.PREPARING
            )
        until = row.confined_at + float(self.told.retention) if self.told.retention else 0.0
        copies = self._copies(store, row, life) if store is not None and row.server_snapshot else []
        if until and self.keeper.clock() >= until:
            copies = []
        return ShardShown(
            row.tenant,
            row.incarnation,
            row.shard,
            row.prefixes,
            row.requested_regions,
            row.requested_mode,
            row.requested_rate,
            row.requested_start,
            row.reserved_rate,
            stage,
            row.stage_since,
            row.version,
            _terms_view(life.current),
            _terms_view(life.target),
            row.retries_blocked,
            waits[:20],
            copies,
            until,
        )

    def _copies(self, store: Store, row: ShardRecord, life: Lifecycle) -> list[Copy]:
        if life.current is None or not life.current.required:
            return []
        inside = {zone for zones in life.current.zones for zone in zones}
        anew = {uid: server.started_at for uid, server in self.inventory.current.items()}
        return [
            Copy(uid, zone, started)
            for uid, zone, started in self._server_snapshot(store, row.server_snapshot)
            if zone not in inside and anew.get(uid, started) == started
        ]


def _pairs(body: bytes) -> list[tuple[str, float]]:
    return msgspec.json.decode(body, type=list[tuple[str, float]])


def _allocate_rate(
    kept: Kept, rows: dict[str, tuple[ShardRecord, int]], shard: str, allowance: float
) -> float:
    """What of its tenant's allowance a shard takes. Raises AdmissionError."""
    # What its tenant let end is its own again at once; at its region it counts until routers follow.
    others = sum(row.reserved_rate for name, (row, _) in rows.items() if name != shard and not row.is_ending)
    room = max(kept.allowance - others, 0.0)
    if allowance > room + 1e-9:
        detail = f"of {kept.allowance:.1f} the other shards have {others:.1f}; accepted: up to {room:.1f}"
        raise AdmissionError(409, "beyond the tenant's allowance", detail, "allowance")
    return allowance or room


def _terms_view(terms: RegionAffinity | None) -> TermsShown | None:
    if terms is None:
        return None
    zones = tuple(zone for each in terms.zones for zone in each)
    return TermsShown("only" if terms.required else "prefer", terms.regions, zones)


def _check_revision(row: ShardRecord | None, match: int | None, shard: str) -> None:
    row = None if row is not None and row.is_ending else row
    if row is None and match is not None:
        raise Wrong(412, "precondition failed", f"no shard {shard}")
    if row is not None and match is None:
        raise Wrong(428, "precondition required", "it stands: send its ETag as If-Match", etag=row.version)
    if row is not None and row.version != match:
        raise Wrong(412, "precondition failed", f"it is at revision {row.version}", etag=row.version)


def _check_prefixes(
    shard: str, wanted: ShardWanted, row: ShardRecord | None, rows: dict[str, tuple[ShardRecord, int]]
) -> tuple[str, ...]:
    """The prefixes of a shard, once and for all. Raises Wrong."""
    prefixes = tuple(wanted.prefixes)
    if len(set(prefixes)) < len(prefixes):
        raise Wrong(422, "invalid", "one is told twice", "prefixes")
    if row is not None:
        if (prefixes or row.is_ending) and set(prefixes) != set(row.prefixes):
            raise Wrong(409, "conflict", "prefixes stay as they were made until it is gone", "prefixes")
        return row.prefixes
    if not SHARD_NAME.fullmatch(shard):
        raise Wrong(422, "invalid", "a shard's name is of lower case letters, digits and dashes", "shard")
    if (shard == DEFAULT_SHARD) is bool(prefixes):
        raise Wrong(422, "invalid", "every shard but `default` has prefixes, and only these", "prefixes")
    for other, (held, _) in rows.items():
        taken = sorted(set(held.prefixes) & set(prefixes))
        if taken:
            raise Wrong(409, "conflict", f"{taken[0]!r} is shard {other}'s", "prefixes")
    return prefixes


def _former_rates(row: ShardRecord | None, life: Lifecycle) -> dict[str, float]:
    """What a shard counts for at regions that routers may still act by: from when it is asked for something
    else until all follow. Else another tenant is given room that is still used."""
    if row is None or life.removal_acknowledged or (life.stage in SETTLED_STAGES and life.target is None):
        return {}
    first = row.current.regions[0] if row.current is not None and row.current.regions else ""
    return {**row.former_rates, first: row.rate_by_region[first]} if first else row.former_rates


def _all(store: Store, kind: str, form: type[Any]) -> Iterator[Any]:
    after = ""
    while items := store.items(kind, after):
        for item in items:
            yield msgspec.json.decode(item.body, type=form)
        after = items[-1].ident


def _idents(store: Store, kind: str) -> Iterator[str]:
    after = ""
    while items := store.items(kind, after):
        yield from (item.ident for item in items)
        after = items[-1].ident


def _tenants(store: Store) -> list[tuple[int, str]]:
    return [(kept.incarnation, kept.name) for kind in (TENANT, TOMBSTONE) for kept in _all(store, kind, Kept)]
