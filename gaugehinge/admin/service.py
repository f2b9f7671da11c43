"""What the API does, without HTTP: each call is one transaction of the store, its audit row included.

A change is made for the revision that the caller read (`if_match`), so that of two admins one is told. A
tenant that is removed leaves its name at once and stands on as a tombstone, another kind of thing, until its
marks are forgotten.
"""

from __future__ import annotations

import hashlib
import secrets
import sqlite3
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeVar

import msgspec
import trio

from ..store.async_store import AsyncStore
from ..store.errors import RevisionConflictError
from ..store.records import Change, IdempotencyRecord, Item, Mutation, encode
from ..store.store import Store
from ..tenancy.attempt_limiter import AttemptLimiter
from ..tenancy.credentials import Credential, SecretHasher, revoke, rotate
from ..tenancy.feed import MAX_TENANTS, Feed, Report, TenantRow
from ..tenancy.lease import LeaseTable
from ..tenancy.lifecycle import (
    ROUTER_TIMEOUT,
    LifecycleError,
    RouterReport,
    TenantAction,
    TenantStage,
    apply_action,
    create_incarnation,
)
from .types import (
    AuditEntry,
    Kept,
    NewTenant,
    RouterShown,
    Secret,
    ServerOrder,
    Tenant,
    TenantChange,
    shown,
    without_hashes,
)

TENANT, TOMBSTONE, COUNTER, OPERATOR = "tenant", "tombstone", "counter", "operator"
SERVER = "server"
INCARNATION, LIFE = "incarnation", "life"
ROUTERS_MOST = 1024  # that are remembered; the one heard of longest ago goes first
TOLD_MOST = 1024  # revisions whose marks are at hand
FEED_MOST = 500  # changes told one by one; a router further behind gets the whole
MOST_SERVER = 200  # characters of a server's name
KNOWN_MOST = 256  # secrets that were checked of late; the oldest goes first
KNOWN_TIME = 60.0  # seconds that a checked secret is not checked again
TRIES = 5  # of a change whose ground moved under it, where the caller named no revision

T = TypeVar("T")


class Wrong(Exception):
    """A call that cannot be done: status, what, and the field where there is one."""

    def __init__(self, status: int, what: str, detail: str = "", field: str = "", etag: int = 0) -> None:
        super().__init__(detail or what)
        self.status, self.what, self.detail, self.field, self.etag = status, what, detail, field, etag


class OperatorKept(msgspec.Struct, frozen=True):
    """Who may use the API, as the store has it."""

    name: str
    role: str  # as in NewOperator
    tenant: str = ""  # of role `tenant`: the only one it sees
    credentials: list[Credential] = []


@dataclass(slots=True, frozen=True)
class Caller:
    """Who calls."""

    name: str
    role: str
    tenant: str = ""

    def need(self, role: str, tenant: str = "") -> None:
        """Raises Wrong unless the caller has this role, or is the tenant itself where one is named."""
        if self.role == role or (self.role == "operator" and role != "router"):
            return
        if self.role == "tenant" and tenant and tenant == self.tenant:
            return
        raise Wrong(403, "forbidden", "this secret does not allow that")


@dataclass(slots=True, frozen=True)
class Heard:
    """A router's last report."""

    at: float  # by a clock that nobody sets back
    run: str
    revision: int
    in_hand: dict[int, int]  # by incarnation


class Part(Protocol):
    """A subsystem at the keeper: `placement`, `drains`. It keeps its state as kinds of its own in the store,
    changed by `Administration._change` or `keeper.apply_planned` alone."""

    name: str  # as in Report.parts and Feed.parts

    def hear(self, report: Report, now: float) -> None:
        """A router called, at `now` by the keeper's monotonic clock (before its lease is renewed)."""

    def feed(self, store: Store, report: Report) -> bytes | None:
        """On the store's thread: JSON of what a router is to know of it, as of the store's revision."""

    def routes(self) -> list[tuple[str, str, str, Any, Any, Any]]:
        """Rows for the table of `admin.app.Api`: method, path, what, form in, form out, handler."""

    async def run(self) -> None:
        """What it does by itself, until cancelled."""


class Administration:
    """The calls of the API on one store."""

    def __init__(self, keeper: AsyncStore, hasher: SecretHasher, attempts: AttemptLimiter) -> None:
        self.keeper = keeper
        self.hasher = hasher
        self.attempts = attempts
        self._known: dict[bytes, tuple[Caller, float, int]] = {}  # by digest; KNOWN_MOST of them
        self.routers: dict[str, Heard] = {}  # by name; ROUTERS_MOST of them
        self.life = ""  # of this store, once it is ready
        self.run_mark = secrets.token_hex(8)  # of this start of the keeper
        self.lease = 0.0  # seconds that each answer to a router gives it; 0: none, and no part is on
        self.leases = LeaseTable(time.monotonic(), 0.0)  # `give_leases` sets it
        self.parts: list[Part] = []  # fixed before the API is served
        self.numbers_above = 0  # of incarnations: a store made anew knows none that another one gave
        self.told: dict[int, str] = {}  # revisions that this run told, and their marks; TOLD_MOST of them

    def give_leases(self, lease: float) -> None:
        """From the start on, each answer to a router carries a lease of so many seconds."""
        self.lease, self.leases = lease, LeaseTable(time.monotonic(), lease)

    # -- who is it

    async def caller(self, secret: str, source: str) -> Caller:
        """Whose secret this is. Raises Wrong, in the same words whatever is wrong with it."""
        now = self.keeper.clock()
        print_ = hashlib.sha256(secret.encode()).digest()
        known = self._known.get(print_)
        if known is not None and now < known[1] and known[2] == self._operators_rev:
            return known[0]
        ident = secret.split("_")[1] if secret.count("_") >= 2 else ""
        wait = self.attempts.acquire(source, ident, now)
        if wait:
            raise Wrong(429, "too many tries", f"again in {wait:.0f} s")
        operators = await self.keeper.run_sync(lambda: self.keeper.store.items(OPERATOR))
        kept = [msgspec.json.decode(item.body, type=OperatorKept) for item in operators]
        mine = next((each for each in kept if any(c.credential_id == ident for c in each.credentials)), None)
        found = await trio.to_thread.run_sync(
            self.hasher.find_match, secret, mine.credentials if mine else (), now
        )
        if found is None:
            self.attempts.record_failure(source, ident, now)
            raise Wrong(401, "unauthorized", "no such secret")
        caller = Caller(mine.name, mine.role, mine.tenant)
        while len(self._known) >= KNOWN_MOST:
            del self._known[next(iter(self._known))]
        self._known[print_] = caller, now + KNOWN_TIME, self._operators_rev
        return caller

    _operators_rev = 0  # rises with each change of an operator: what was checked before is checked again

    async def first_operator(self) -> str | None:
        """On an empty store, make `root` and return its secret."""
        if await self.keeper.run_sync(lambda: self.keeper.store.items(OPERATOR, limit=1)):
            return None
        return (await self.new_operator("root", "operator", "", "start")).secret

    async def new_operator(self, name: str, role: str, tenant: str, who: str) -> Secret:
        """One more who may use the API."""
        secret, credential = await trio.to_thread.run_sync(self.hasher.issue, self.keeper.clock())
        kept = OperatorKept(name, role, tenant, [credential])
        try:
            await self.keeper.apply([Mutation(OPERATOR, name, encode(kept), 0)], who)
        except RevisionConflictError:
            raise Wrong(409, "conflict", f"operator {name} is there already", "name") from None
        self._operators_rev += 1
        return Secret(credential.credential_id, secret)

    async def ready(self) -> None:
        """Before routers are told anything: the store has a name, and every tenant a place."""

        def plan(store: Store, now: float) -> list[Mutation]:
            held = store.get(COUNTER, LIFE)
            wanted = [] if held else [Mutation(COUNTER, LIFE, encode(secrets.token_hex(8)), 0)]
            taken = _places(store)
            for kind in (TENANT, TOMBSTONE):
                for item in store.items(kind):
                    kept = _kept(item)
                    if kept.place < 0:
                        place = _free(taken)
                        taken.add(place)
                        kept = msgspec.structs.replace(kept, place=place)
                        wanted.append(Mutation(kind, item.item_id, encode(kept), item.revision))
            return wanted

        await self.keeper.apply_planned(plan, "start")
        held = await self.keeper.run_sync(lambda: self.keeper.store.get(COUNTER, LIFE))
        self.life = msgspec.json.decode(held.body, type=str)

    # -- tenants

    async def tenants(self, after: str, most: int) -> tuple[list[Tenant], str | None]:
        """A page of them."""
        items = await self.keeper.run_sync(lambda: self.keeper.store.items(TENANT, after, most + 1))
        found = [shown(_kept(item), item.revision) for item in items[:most]]
        return found, found[-1].name if len(items) > most else None

    async def tenant(self, name: str) -> Tenant:
        """One of them. Raises Wrong."""
        item = await self.keeper.run_sync(lambda: self.keeper.store.get(TENANT, name))
        if item is None:
            raise Wrong(404, "not found", f"no tenant {name}")
        return shown(_kept(item), item.revision)

    async def create(self, new: NewTenant, who: str, **key: Any) -> Tenant:
        """Make one. A name whose last bearer leaves may be used again: it is another tenant."""

        def plan(store: Store, now: float) -> list[Mutation]:
            held = store.get(TENANT, new.name)
            counter = store.get(COUNTER, INCARNATION)
            # A number that a lost store gave is a key space that still has values of the one that bore it.
            last = max(int(counter.body) if counter else 0, self.numbers_above)
            try:
                life = create_incarnation(new.name, [_kept(held).tenancy] if held else [], last, now)
            except LifecycleError as bad:
                raise Wrong(409, "conflict", str(bad), "name") from None
            taken = _places(store)
            if len(taken) >= MAX_TENANTS:
                raise Wrong(409, "conflict", f"{MAX_TENANTS} tenants stand, those that leave among them")
            kept = Kept(
                new.name,
                life.incarnation,
                life.stage.value,
                now,
                0.0,
                False,
                new.share,
                new.allowance,
                new.memory,
                [],
                _free(taken),
                new.traffic,
                new.longest_wait,
                new.most_value,
            )
            return [
                Mutation(TENANT, new.name, encode(kept), held.revision if held else 0),
                Mutation(COUNTER, INCARNATION, b"%d" % life.incarnation, counter.revision if counter else 0),
            ]

        made = await self._change(plan, who, answer=_tenant_of, **key)
        return msgspec.json.decode(_tenant_of(made), type=Tenant)

    async def change(self, name: str, told: TenantChange, if_match: int, who: str) -> Tenant:
        """Change figures of one, at the revision that the caller read."""
        figures = {
            field: value
            for field, value in msgspec.structs.asdict(told).items()
            if value is not msgspec.UNSET
        }
        return await self._alter(
            name, if_match, who, lambda kept, now: msgspec.structs.replace(kept, **figures)
        )

    async def tell(self, name: str, wanted: TenantAction, if_match: int, who: str) -> Tenant:
        """Activate or suspend one."""

        def alter(kept: Kept, now: float) -> Kept:
            try:
                return kept.living(apply_action(kept.tenancy, wanted, kept.memory, now))
            except LifecycleError as bad:
                raise Wrong(409, "conflict", str(bad)) from None

        return await self._alter(name, if_match, who, alter)

    async def remove(self, name: str, if_match: int, who: str) -> None:
        """Let one leave: its name is free, and it stands on as a tombstone."""

        def plan(store: Store, now: float) -> list[Mutation]:
            item = _expected(store, name, if_match)
            kept = _kept(item)
            gone = kept.living(apply_action(kept.tenancy, TenantAction.REMOVE, kept.memory, now))
            gone = msgspec.structs.replace(gone, credentials=[])  # nobody comes in with them any more
            stone = f"{name}#{kept.incarnation}"
            return [Mutation(TENANT, name, None, item.revision), Mutation(TOMBSTONE, stone, encode(gone), 0)]

        await self._change(plan, who)

    async def new_credential(self, name: str, overlap: float, who: str, **key: Any) -> Secret:
        """A further secret of a tenant; the one in use goes on for `overlap` seconds."""
        secret, credential = await trio.to_thread.run_sync(self.hasher.issue, self.keeper.clock())

        def plan(store: Store, now: float) -> list[Mutation]:
            item = _expected(store, name, None)
            kept = _kept(item)
            after = list(rotate(kept.credentials, credential, overlap, now))
            return [
                Mutation(
                    TENANT, name, encode(msgspec.structs.replace(kept, credentials=after)), item.revision
                )
            ]

        await self._change(plan, who, **key)
        return Secret(credential.credential_id, secret)

    async def drop_credential(self, name: str, ident: str, who: str) -> None:
        """Take a tenant's secret out at once."""

        def alter(kept: Kept, now: float) -> Kept:
            try:
                return msgspec.structs.replace(kept, credentials=list(revoke(kept.credentials, ident)))
            except KeyError:
                raise Wrong(404, "not found", f"no credential {ident}") from None

        await self._alter(name, None, who, alter)

    async def _alter(
        self, name: str, if_match: int | None, who: str, alter: Callable[[Kept, float], Kept]
    ) -> Tenant:
        def plan(store: Store, now: float) -> list[Mutation]:
            item = _expected(store, name, if_match)
            return [Mutation(TENANT, name, encode(alter(_kept(item), now)), item.revision)]

        made = await self._change(plan, who)
        return shown(msgspec.json.decode(made[0].body, type=Kept), made[0].revision)

    async def _change(
        self,
        plan: Callable[[Store, float], list[Mutation]],
        who: str,
        key: str = "",
        request: bytes = b"",
        answer: Callable[[list[Change]], bytes] = lambda made: b"",
    ) -> list[Change]:
        """Read, decide and write on the store's thread; tried again where another writer came between."""
        idempotency = IdempotencyRecord(key, request, answer) if key else None
        for _ in range(TRIES):
            try:
                return await self.keeper.apply_planned(plan, who, idempotency=idempotency)
            except RevisionConflictError:
                continue
            except sqlite3.IntegrityError:
                raise Wrong(409, "conflict", "a call with this key is under way") from None
        raise Wrong(503, "busy", "others change the same thing")

    # -- servers

    async def servers(self) -> list[ServerOrder]:
        """Orders that stand."""
        items = await self.keeper.run_sync(lambda: self.keeper.store.items(SERVER))
        return [ServerOrder(item.item_id, "drain", item.revision) for item in items]

    async def order_server(self, name: str, drain: bool, who: str) -> ServerOrder:
        """Let a server drain, or leave it to discovery again. The same order again changes nothing.

        It stands until it is taken back, also when the server ends and returns: what an operator took out
        for a reason is not put in by a restart.
        """
        if not 0 < len(name) <= MOST_SERVER:
            raise Wrong(422, "invalid", f"1 to {MOST_SERVER} characters", "server")

        def plan(store: Store, now: float) -> list[Mutation]:
            held = store.get(SERVER, name)
            if (held is not None) is drain:
                return []
            return [Mutation(SERVER, name, encode("drain") if drain else None, held.revision if held else 0)]

        await self._change(plan, who)
        held = await self.keeper.run_sync(lambda: self.keeper.store.get(SERVER, name))
        return ServerOrder(name, "drain" if held else "none", held.revision if held else self.keeper.revision)

    # -- routers

    async def feed(self, report: Report) -> Feed:
        """What a router has not heard yet, waited for as long as it asked."""
        self._hear(report)
        if await self._of_another_past(report):
            report = msgspec.structs.replace(report, known_revision=0)
        since = report.known_revision if report.store_id == self.life else 0
        for part in self.parts:
            part.hear(report, time.monotonic())
        changes = await self.keeper.changes(since, FEED_MOST + 1, report.max_wait if since else 0.0)
        if report.router in self.routers:
            self._hear(report)  # the call stood open: the router is there
        if since and changes is not None and len(changes) <= FEED_MOST:
            told = await self.keeper.run_sync(self._dressed, report, lambda: self._changed(since, changes))
        else:
            told = await self.keeper.run_sync(self._dressed, report, self._whole)
        # Counted from now on, when the answer goes: the router counts from its question, which was before.
        lease = self.leases.grant(report.router, report.run, since, self.lease, time.monotonic())
        return msgspec.structs.replace(told, lease_duration=lease)

    def _dressed(self, report: Report, feed: Callable[[], Feed]) -> Feed:
        """On the store's thread, so that what parts tell belongs to the revision that is told."""
        told = feed()
        self.mark_of(told.revision)
        told = msgspec.structs.replace(told, revision_digest=self.told[told.revision])
        said = {part.name: part.feed(self.keeper.store, report) for part in self.parts}
        parts = {name: msgspec.Raw(body) for name, body in said.items() if body is not None}
        return msgspec.structs.replace(told, control_plane_run=self.run_mark, parts=parts)

    def mark_of(self, revision: int) -> str:
        """On the store's thread: the mark of a revision that is about to be told, from now on known."""
        mark = self.told.pop(revision, None) or self.keeper.store.revision_digest(revision)
        self.told[revision] = mark
        while len(self.told) > TOLD_MOST:
            del self.told[next(iter(self.told))]
        return mark

    async def _of_another_past(self, report: Report) -> bool:
        """Whether a router follows a revision that this copy of the store never had: its number says nothing
        here, though the store has gone on past it since it was put back."""
        if not report.known_revision or not report.revision_digest or report.store_id != self.life:
            return False
        if self.told.get(report.known_revision) == report.revision_digest:
            return False
        return (
            await self.keeper.run_sync(lambda: self.keeper.store.revision_digest(report.known_revision))
            != report.revision_digest
        )

    def _hear(self, report: Report) -> None:
        if report.router not in self.routers and len(self.routers) >= ROUTERS_MOST:
            del self.routers[min(self.routers, key=lambda name: self.routers[name].at)]
        held = {int(number): count for number, count in report.in_flight.items() if number.isdigit()}
        revision = report.known_revision if report.store_id == self.life else 0
        self.routers[report.router] = Heard(time.monotonic(), report.run, revision, held)

    def _changed(self, since: int, changes: list[Change]) -> Feed:
        rows: dict[int, TenantRow] = {}
        gone: list[int] = []
        for change in changes:
            if change.kind in (TENANT, TOMBSTONE) and change.body is not None:
                row = _row(msgspec.json.decode(change.body, type=Kept))
                rows[row.incarnation] = row
            elif change.kind == TOMBSTONE:
                number = int(change.item_id.rpartition("#")[2])
                rows.pop(number, None)
                gone.append(number)
        revision = changes[-1].revision if changes else since
        return Feed(self.life, revision, False, list(rows.values()), gone, self._drained())

    def _whole(self) -> Feed:
        store = self.keeper.store
        rows = [_row(_kept(item)) for kind in (TENANT, TOMBSTONE) for item in store.items(kind)]
        return Feed(self.life, store.revision, True, rows, [], self._drained())

    def _drained(self) -> list[str]:
        return [item.item_id for item in self.keeper.store.items(SERVER)]

    def reports(self, incarnation: int, now: float) -> dict[str, RouterReport]:
        """What routers said of one incarnation last; `now` as the store's clock has it."""
        steady = time.monotonic()
        return {
            name: RouterReport(now - (steady - heard.at), heard.in_hand.get(incarnation, 0), heard.revision)
            for name, heard in self.routers.items()
        }

    async def shown_routers(self) -> list[RouterShown]:
        """Routers heard of lately, with what they have in hand by tenant."""
        whole = await self.keeper.run_sync(self._whole)
        names = {row.incarnation: row.name for row in whole.tenants}
        now, found = time.monotonic(), []
        for name, heard in sorted(self.routers.items()):
            if now - heard.at > ROUTER_TIMEOUT:
                continue
            held: dict[str, int] = {}
            for number, count in heard.in_hand.items():
                tenant = names.get(number, f"#{number}")
                held[tenant] = held.get(tenant, 0) + count
            behind = max(self.keeper.revision - heard.revision, 0)
            found.append(RouterShown(name, round(now - heard.at, 3), heard.revision, behind, held))
        return found

    # -- what happened

    async def audit(self, since: int, most: int, wait: float = 0.0) -> list[AuditEntry]:
        """Changes behind a revision, waited for some seconds. Raises Wrong where the log begins later."""
        changes = await self.keeper.changes(since, most, wait)
        if changes is None:
            raise Wrong(410, "gone", "the log no longer goes back so far: take the whole state")
        return [
            AuditEntry(
                c.revision, c.timestamp, c.actor, c.kind, c.item_id, c.body is None, without_hashes(c.body)
            )
            for c in changes
        ]


def _row(kept: Kept) -> TenantRow:
    return TenantRow(
        kept.name,
        kept.incarnation,
        kept.place,
        kept.stage,
        kept.share,
        kept.allowance,
        kept.credentials,
        kept.traffic,
        kept.longest_wait,
        kept.most_value,
    )


def _places(store: Store) -> set[int]:
    """Places that are taken: also those of tenants that leave, of which a router may hold something."""
    return {_kept(item).place for kind in (TENANT, TOMBSTONE) for item in store.items(kind)} - {-1}


def _free(taken: set[int]) -> int:
    return next(place for place in range(len(taken) + 1) if place not in taken)


def _tenant_of(made: list[Change]) -> bytes:
    return msgspec.json.encode(shown(msgspec.json.decode(made[0].body, type=Kept), made[0].revision))


def _kept(item: Item) -> Kept:
    return msgspec.json.decode(item.body, type=Kept)


def _expected(store: Store, name: str, if_match: int | None) -> Item:
    """A tenant at the revision that the caller read. Raises Wrong."""
    item = store.get(TENANT, name)
    if item is None:
        raise Wrong(404, "not found", f"no tenant {name}")
    if if_match is not None and item.revision != if_match:
        raise Wrong(412, "precondition failed", f"it is at revision {item.revision}", etag=item.revision)
    return item


__all__ = ["Administration", "Caller", "OperatorKept", "TenantAction", "TenantStage", "Wrong"]
