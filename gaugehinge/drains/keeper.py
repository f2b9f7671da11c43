"""Drains at the keeper: grants and rolls planned on its store, told with the feed, asked for by the API.

Grants are decided, written and told on the store's thread alone: no plan comes between the reading of a grant
and the note that its lease runs.
"""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Lock
from typing import Any

import msgspec
import trio
from loguru import logger

from ..admin.keep import KeepDrains, KeepFile
from ..admin.service import SERVER, TENANT, Administration, Wrong
from ..store.errors import DiskFullError, RevisionConflictError, StoreOverloadedError
from ..store.records import Mutation, encode
from ..store.store import Store
from ..tenancy.feed import Report
from .api import DrainsApi
from .forms import NAME, Said, ServerSaid, Told
from .grants import ORIGIN, SERVERS, Figures, Grants, Ground, Slot, figure
from .lastword import LastWord, sleepless
from .rolls import ENDED, MOST_NODES, Fact, Roll, Rolls, Stage, Status, Step, told_as

LIMIT, NODE, GROUND, ROLL, STEP = (
    "drains-limit",
    "drains-node",
    "drains-ground",
    "drains-roll",
    "drains-step",
)
TICK = 1.0  # seconds between two plans with no news
LEAST_GAP = 0.1  # and at least between two with
MOST_ITEMS = 100_000  # of a kind that are read: more than there are
LIST_OLD = 2.0  # seconds after which a router is asked for the list of servers again
TENANTS_OLD = 10.0  # after which allowances are read again
WITNESSES = 2  # routers asked for the list


class Limit(msgspec.Struct, frozen=True):
    """A limit, as the store has it."""

    most: int


@dataclass(slots=True, frozen=True)
class Last:
    """What one node said last."""

    said: Said
    router: str
    run: str
    since: int  # the store's revision that it follows
    at: float


@dataclass(slots=True)
class Seen:
    """A server as routers said it last."""

    said: ServerSaid
    since: float  # of this start of it, as this keeper saw it
    at: float


def step_ident(roll: str, node: str) -> str:
    """Under which a step stands in the store."""
    return f"{roll}/{node}"


@dataclass(slots=True, eq=False)
class KeeperDrains:
    """`admin.service.Part`. Nodes leave its tables as they leave those of `Grants`; servers with the list."""

    administration: Administration
    told: KeepDrains
    clock: Callable[[], float] = time.monotonic
    name: str = NAME
    grants: Grants = field(init=False)
    rolls: Rolls = field(default_factory=Rolls)
    lasts: dict[str, Last] = field(default_factory=dict)  # by node
    servers: dict[str, Seen] = field(default_factory=dict)
    servers_at: float = float("-inf")
    counts: dict[str, tuple[str, int, int]] = field(default_factory=dict)  # run, settled and lost, by node
    settled: int = 0  # since the last plan
    lost: int = 0
    ready: bool = False
    news: trio.Event = field(default_factory=trio.Event)
    lock: Lock = field(default_factory=Lock)  # words come on the event loop, plans on the store's thread
    regions: dict[str, str] = field(default_factory=dict)  # by zone, where regions are named
    worst: float = 0.0  # connections to the origin that tenants would use by their allowances
    worst_at: float = float("-inf")
    orders: dict[str, tuple[str, str, bool]] = field(default_factory=dict)  # by router: roll, run, at once
    sent_out: dict[str, str] = field(default_factory=dict)  # runs told to end, by node, until they say more
    moved: dict[str, str] = field(default_factory=dict)  # modes that the log told last
    last_word: LastWord = field(init=False)

    def __post_init__(self) -> None:
        told = self.told
        floors = {ORIGIN: told.floor_origin, SERVERS: told.floor_servers}
        desk = self.administration
        self.grants = Grants(
            self.clock(),
            desk.lease,
            float(told.closing),
            told.most_nodes,
            floors,
            told.reserve,
            desk.run_mark,
            desk.life,
            Ground(),
        )
        self.last_word = LastWord.beside(desk.keeper.path)

    # -- what routers say

    def hear(self, report: Report, now: float) -> None:
        """`admin.service.Part`. Raises Wrong where its part makes no sense."""
        raw = report.parts.get(NAME)
        if raw is None:
            return
        try:
            said = msgspec.json.decode(raw, type=Said)
        except msgspec.MsgspecError as bad:
            raise Wrong(422, "invalid", str(bad), f"parts.{NAME}") from None
        if said.node.rpartition("@")[0] != report.router:
            raise Wrong(422, "invalid", "not this router's", f"parts.{NAME}.node")
        with self.lock:
            known = self.grants.words.get(said.node)
            if not self.grants.hear(said.word(report.run), now):
                return
            self.sent_out.pop(said.node, None)
            self.lasts[said.node] = Last(said, report.router, report.run, report.known_revision, now)
            self._count(said, report.run)
            if said.servers:
                self._list(said.servers, now)
            values = figure(known.holds, ORIGIN) if known is not None else 0
            if (
                known is None
                or known.run != report.run
                or known.number != said.number
                or said.closed
                or said.counted.get(ORIGIN, 0) < known.counted.get(ORIGIN, 0)
                or figure(said.need, ORIGIN) > values
            ):
                self.news.set()

    def _count(self, said: Said, run: str) -> None:
        before = self.counts.get(said.node)
        if before is not None and before[0] == run:
            self.settled += max(said.settled - before[1], 0)
            self.lost += max(said.lost - before[2], 0)
        self.counts[said.node] = run, said.settled, said.lost

    def _list(self, servers: list[ServerSaid], now: float) -> None:
        for each in servers:
            seen = self.servers.get(each.uid)
            if seen is None or seen.said.started != each.started:
                self.servers[each.uid] = Seen(each, now, now)
            else:
                seen.said, seen.at = each, now
        self.servers_at = now
        for uid in [uid for uid, seen in self.servers.items() if now - seen.at > 60.0]:
            del self.servers[uid]  # gone from the list for good, as far as routers say

    # -- what they are told

    def feed(self, store: Store, report: Report) -> bytes | None:
        """`admin.service.Part`."""
        raw = report.parts.get(NAME)
        if raw is None or not self.ready:
            return None
        said = msgspec.json.decode(raw, type=Said)
        life = self.administration.life
        if not self.note(store):
            return None
        item = store.get(NODE, said.node)
        slot = msgspec.json.decode(item.body, type=Slot) if item is not None else None
        with self.lock:
            now = self.clock()
            word = self.grants.words.get(said.node)
            if slot is not None and slot.run != report.run and said.run_number <= slot.run_number:
                return msgspec.json.encode(Told(life, again=slot.run_number))
            if word is None or word.run != report.run:
                return msgspec.json.encode(Told(life))
            grant = self.grants.tell(slot, word, now) if slot is not None else None
            roll, run, hard = self.orders.get(report.router, ("", "", False))
            leave = roll if run == report.run else ""
            if leave:
                self.sent_out[said.node] = report.run
            told = Told(
                life,
                closing=self.grants.closing,
                leave=leave,
                hard=hard and bool(leave),
                servers=self._asks_list(said.node, now),
                refused=self.grants.refused.get(said.node, ""),
            )
        if grant is not None:
            told = msgspec.structs.replace(
                told,
                number=grant.number,
                mark=grant.mark,
                values=grant.values,
                floors=grant.floors,
                lease=grant.lease,
                clear=grant.clear,
            )
        return msgspec.json.encode(told)

    def note(self, store: Store) -> bool:
        """On the store's thread, before anything is told by it: up to where it is told by. False: that could
        not be said, and nothing may be told."""
        with self.lock:
            good = self.grants.raises(self.clock())
        return self.last_word.say(
            self.administration.life, store.revision, store.revision_digest, good, sleepless()
        )

    def _asks_list(self, node: str, now: float) -> bool:
        if now - self.servers_at < LIST_OLD:
            return False
        heard = sorted(each for each, last in self.lasts.items() if now - last.at < self.grants.lease)
        return node in heard[:WITNESSES]

    # -- by itself

    async def run(self) -> None:
        """Plan until cancelled."""
        while not self.ready:
            try:
                await self._begin()
            except (RevisionConflictError, DiskFullError, StoreOverloadedError, OSError) as bad:
                # Started on a full disk: its end would take the leases of all routers with it, and with
                # them service.
                logger.warning("drains not begun: {}", bad)
                await trio.sleep(TICK)
        while True:
            with trio.move_on_after(TICK):
                await self.news.wait()
            self.news = trio.Event()
            try:
                await self._plan_grants()
                await self._plan_rolls()
            except (RevisionConflictError, DiskFullError, StoreOverloadedError) as bad:
                logger.warning("drains not planned: {}", bad)
            await trio.sleep(LEAST_GAP)

    async def _begin(self) -> None:
        """What the store has of runs before this one, and limits of the file where it has none."""
        keeper = self.administration.keeper
        told = self.told

        def begin(store: Store, now: float) -> list[Mutation]:
            held = store.get(GROUND, "ground")
            ground = msgspec.json.decode(held.body, type=Ground) if held else Ground()
            doubt = ground.doubt or self._suspicion(held is None, ground)
            ground = Ground(
                max(ground.longest, self.grants.lease),
                max(ground.closing, float(told.closing)),
                ground.admissions,
                doubt,
            )
            slots = [slot for _, slot in self.slots(store).values()]
            with self.lock:
                self.grants.ground = ground
                self.grants.begin_with(slots)
                # Killed on this machine and back on the file that it told by: what is held is in there.
                self.grants.sure = not doubt and self.last_word.of(
                    self.administration.life, store.revision_digest, sleepless(), self.grants.unraised
                )
            wanted = [Mutation(GROUND, "ground", encode(ground), held.revision if held else 0)]
            first = {ORIGIN: told.origin, SERVERS: told.servers, **told.limits}
            for name, most in first.items():
                if store.get(LIMIT, name) is None:
                    wanted.append(Mutation(LIMIT, name, encode(Limit(most)), 0))
            return wanted

        await keeper.apply_planned(begin, "drains")
        await keeper.run_sync(self._attest)
        ground = self.grants.ground
        if self.grants.floors != self.grants.wanted:
            told = self.grants.floors, self.grants.wanted
            logger.warning("drains: floors stay at {} until {} fit: lower the limits for a while", *told)
        if ground.doubt:
            logger.warning("drains: nobody new is admitted: {}", ground.doubt)
        with self.lock:
            first_start = ground.admissions == 0 and not ground.doubt
            if first_start:
                self.grants.began = float("-inf")  # nobody was ever told anything
            elif self.grants.sure:
                logger.info("drains: this store has all that was told by it: grants go on at once")
        self.ready = True

    def _witness(self) -> str:
        return f"{self.administration.keeper.path}.drains"

    def _suspicion(self, empty: bool, ground: Ground) -> str:
        """Why this store may know less than was told, by what stands beside it."""
        try:
            with open(self._witness(), encoding="utf-8") as file:
                beside = json.load(file)
            life, admissions = str(beside["life"]), int(beside["admissions"])
        except FileNotFoundError:
            if empty:
                return "" if self.told.new_installation else "an empty store, not said to be a first start"
            return "no witness beside the store" if ground.admissions else ""
        except (OSError, ValueError, KeyError, TypeError) as bad:
            return f"the witness beside the store cannot be read: {type(bad).__name__}"
        if life != self.administration.life:
            return "another store stood here"
        if admissions > ground.admissions:
            return f"{admissions} nodes were admitted, this store knows of {ground.admissions}"
        return ""

    def _attest(self) -> None:
        """On the store's thread: say beside the store how many were admitted, before they are told."""
        admissions = self.grants.ground.admissions
        if admissions == self.grants.witnessed and admissions:
            return
        part = self._witness() + ".part"
        with open(part, "w", encoding="utf-8") as file:
            json.dump({"life": self.administration.life, "admissions": admissions}, file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, self._witness())
        self.grants.witnessed = admissions

    def slots(self, store: Store) -> dict[str, tuple[int, Slot]]:
        """All nodes that may exist, with their revisions."""
        return {
            item.item_id: (item.revision, msgspec.json.decode(item.body, type=Slot))
            for item in store.items(NODE, limit=MOST_ITEMS)
        }

    def limits(self, store: Store) -> Figures:
        """All limits."""
        return {
            item.item_id: msgspec.json.decode(item.body, type=Limit).most
            for item in store.items(LIMIT, limit=MOST_ITEMS)
        }

    async def _plan_grants(self) -> None:
        changed: dict[str, Slot] = {}

        def plan(store: Store, wall: float) -> list[Mutation]:
            held = self.slots(store)
            limits = self.limits(store)
            now = self.clock()
            if now - self.worst_at > TENANTS_OLD:
                self.worst, self.worst_at = self._worst(store), now
            with self.lock:
                leaving = frozenset(
                    node
                    for node, last in self.lasts.items()
                    if last.said.leaving or self.orders.get(last.router, ("", "", False))[1] == last.run
                )
                slots = {node: slot for node, (_, slot) in held.items()}
                changed.update(self.grants.plan(slots, limits, now, leaving, {ORIGIN: self.worst}))
                ground = self.grants.ground
                self._keep_within()
            wanted = [
                Mutation(NODE, node, encode(slot), held[node][0] if node in held else 0)
                for node, slot in changed.items()
            ]
            item = store.get(GROUND, "ground")
            if item is None or item.body != encode(ground):
                wanted.append(Mutation(GROUND, "ground", encode(ground), item.revision if item else 0))
            return wanted

        keeper = self.administration.keeper
        await keeper.apply_planned(plan, "drains")
        if self.grants.ground.admissions != self.grants.witnessed:
            try:
                await keeper.run_sync(self._attest)
            except OSError as bad:
                logger.error("drains: no witness written, new nodes wait: {}", bad)
        self._say_modes(changed)

    def _keep_within(self) -> None:
        """Nodes that grants forgot are forgotten here."""
        for node in [node for node in self.counts if node not in self.grants.words]:
            self.counts.pop(node)
            self.lasts.pop(node, None)
            self.sent_out.pop(node, None)

    def _worst(self, store: Store) -> float:
        """Lines to the origin that tenants would have in use if each used its allowance."""
        with self.lock:
            used = sum(last.said.used for last in self.lasts.values())
            rate = sum(last.said.rate for last in self.lasts.values())
        if rate <= 0.0:
            return 0.0
        allowed = 0.0
        for item in store.items(TENANT, limit=MOST_ITEMS):
            allowed += float(msgspec.json.decode(item.body).get("allowance", 0.0))
        return allowed * used / rate

    def _say_modes(self, changed: dict[str, Slot]) -> None:
        for node, slot in changed.items():
            mode = "closed" if slot.closed else "granted" if slot.values else "at its floor"
            if self.moved.get(node) != mode:
                self.moved[node] = mode
                logger.info("node {} {}: number {}, {}", node, mode, slot.number, slot.values or slot.floors)
        for node in self.grants.liars - set(self.moved.get("liars", "").split()):
            logger.warning("node {} said that all was closed, and it is not", node)
        self.moved["liars"] = " ".join(sorted(self.grants.liars))
        for node in [node for node in self.moved if node not in self.grants.words and node not in changed]:
            if node != "liars":
                del self.moved[node]

    # -- rolls

    def standing(
        self, store: Store, ended: bool = True
    ) -> tuple[dict[str, tuple[int, Roll]], dict[str, list[Step]], dict[str, int]]:
        """Rolls that are kept with their revisions, their steps, and the revisions of those. Not `ended`:
        only those that are not over."""
        rolls = {}
        for item in store.items(ROLL, limit=MOST_ITEMS):
            roll = msgspec.json.decode(item.body, type=Roll)
            if ended or Status(roll.status) not in ENDED:
                rolls[item.item_id] = item.revision, roll
        steps: dict[str, list[Step]] = {ident: [] for ident in rolls}
        revisions: dict[str, int] = {}
        for ident in rolls:
            for item in store.items(STEP, after=f"{ident}/", limit=MOST_NODES):
                if not item.item_id.startswith(f"{ident}/"):
                    break
                steps[ident].append(msgspec.json.decode(item.body, type=Step))
                revisions[item.item_id] = item.revision
        for ident, (_, roll) in rolls.items():
            steps[ident].sort(key=lambda step, sign=-1 if roll.back else 1: sign * step.place)
        return rolls, steps, revisions

    async def _plan_rolls(self) -> None:
        now = self.clock()
        self.rolls.burn.add(now, self.settled, self.lost)
        self.settled = self.lost = 0
        log: list[str] = []
        told: dict[str, tuple[str, str, bool]] = {}

        def plan(store: Store, wall: float) -> list[Mutation]:
            rolls, steps, revisions = self.standing(store, ended=False)
            if not rolls:
                return []
            with self.lock:
                facts = self.facts(store, now)
                slots = [slot for _, slot in self.slots(store).values()]
                limits = self.limits(store)
                free = {name: most - self.grants.spent(slots, name) for name, most in limits.items()}

            def overlaps(count: int) -> bool:
                floors = self.grants.floors
                return all(free[name] >= count * figure(floors, name) for name in limits)

            self.rolls.last_of_shard = self._last_of_shard(facts["servers"])
            due = self.rolls.plan([roll for _, roll in rolls.values()], steps, facts, now, wall, overlaps)
            log.extend(due.log)
            wanted = self.write(store, rolls, revisions, due.rolls, due.steps, due.drain, due.restore)
            after = {ident: {step.node: step for step in each} for ident, each in steps.items()}
            for ident, changed in due.steps.items():
                after[ident].update({step.node: step for step in changed})
            now_so = {ident: due.rolls.get(ident, roll) for ident, (_, roll) in rolls.items()}
            told.update(self._orders(now_so, after))
            # On this thread: an order that was taken back is told to nobody from here on.
            self.orders = {name: order for name, order in self.orders.items() if told.get(name) == order}
            return wanted

        await self.administration.keeper.apply_planned(plan, "drains")
        self.orders = told  # only now that it is in the store
        for text in log:
            logger.info(text)

    @staticmethod
    def _orders(
        rolls: dict[str, Roll], steps: dict[str, dict[str, Step]]
    ) -> dict[str, tuple[str, str, bool]]:
        """Which run of which router is told to end, by which roll, and whether at once."""
        return {
            step.node: (told_as(roll), step.run, step.hard)
            for ident, roll in rolls.items()
            if roll.order.kind == "routers" and roll.status != "cancelled"
            for step in steps[ident].values()
            if step.stage == Stage.TOLD.value
        }

    @staticmethod
    def write(
        store: Store,
        rolls: dict[str, tuple[int, Roll]],
        revisions: dict[str, int],
        changed: dict[str, Roll],
        steps: dict[str, list[Step]],
        drain: list[str],
        restore: list[str],
    ) -> list[Mutation]:
        """Rows for what is due, each for the revision that it was decided by."""
        wanted = [
            Mutation(ROLL, ident, encode(roll), rolls[ident][0] if ident in rolls else 0)
            for ident, roll in changed.items()
        ]
        for ident, each in steps.items():
            for step in each:
                name = step_ident(ident, step.node)
                wanted.append(Mutation(STEP, name, encode(step), revisions.get(name, 0)))
        for uid in drain:
            if store.get(SERVER, uid) is None:
                wanted.append(Mutation(SERVER, uid, encode("drain"), 0))
        for uid in restore:
            item = store.get(SERVER, uid)
            if item is not None:
                wanted.append(Mutation(SERVER, uid, None, item.revision))
        return wanted

    def facts(self, store: Store, now: float) -> dict[str, dict[str, Fact]]:
        """What is known of each node now."""
        return {"routers": self._routers(store, now), "servers": self._servers(store, now)}

    def _routers(self, store: Store, now: float) -> dict[str, Fact]:
        found: dict[str, tuple[float, Fact]] = {}
        for node, (_, slot) in self.slots(store).items():
            router = node.rpartition("@")[0]
            last = self.lasts.get(node)
            held = self.grants.charge(slot, ORIGIN)
            if last is None or last.run != slot.run:
                fact = Fact(router, slot.run, slot.zone, False, self._region(slot.zone), connections=held)
                at = float("-inf")
            else:
                said, at = last.said, last.at
                # Once told it ends, though its roll is cancelled or goes on without it meanwhile; whether it
                # heard that is known by its next word alone.
                leaving = said.leaving or self.sent_out.get(node) == last.run
                up = now - at < self.grants.lease and said.ready_for > 0.0 and bool(slot.values)
                fact = Fact(
                    router,
                    last.run,
                    said.zone,
                    up,
                    self._region(said.zone),
                    said.build,
                    frozenset(said.labels),
                    said.ready_for + now - at,
                    leaving,
                    said.closed,
                    said.busy if up else 0.0,
                    self.told.most_busy if up else 0.0,
                    held,
                    said.rolled,
                )
            if router not in found or found[router][0] < at:
                found[router] = at, fact
        return {router: fact for router, (_, fact) in found.items()}

    def _servers(self, store: Store, now: float) -> dict[str, Fact]:
        limits = self.limits(store)
        ordered = {item.item_id: item.revision for item in store.items(SERVER, limit=MOST_ITEMS)}
        up = [uid for uid, seen in self.servers.items() if self._listed(seen)]
        attempts = sum(last.said.legs for last in self.lasts.values() if now - last.at < self.grants.lease)
        ours = self._ours(store)
        found = {}
        for uid, seen in self.servers.items():
            listed = self._listed(seen)
            found[uid] = Fact(
                uid,
                f"{seen.said.started:.3f}",
                seen.said.zone,
                listed,
                self._region(seen.said.zone),
                seen.said.kind,
                frozenset(),
                now - seen.since,
                not seen.said.up or (uid in ordered and uid not in ours),
                uid in ordered and self._empty(uid, ordered[uid], store, now),
                attempts / len(up) if listed else 0.0,
                float(figure(limits, uid)) if listed else 0.0,
            )
        return found

    def _region(self, zone: str) -> str:
        return self.regions.get(zone, zone)

    def _last_of_shard(self, servers: dict[str, Fact]) -> Callable[[str, frozenset[str]], bool]:
        """Whether a server is the last that is up for some shard pinned with `only`, others being out."""
        placement = next((part for part in self.administration.parts if part.name == "placement"), None)
        rows = placement.desk.rows.values() if placement is not None else ()
        pinned = {
            frozenset(zone for region in terms.zones for zone in region)
            for row, _ in rows
            for terms in (row.now, row.then)
            if terms and terms.only
        }

        def last(name: str, out: frozenset[str]) -> bool:
            if name not in servers:
                return False  # a router
            return any(
                servers[name].zone in zones
                and not any(
                    fact.up and not fact.drains and fact.zone in zones and uid not in out
                    for uid, fact in servers.items()
                    if uid != name
                )
                for zones in pinned
            )

        return last

    def _listed(self, seen: Seen) -> bool:
        return seen.at >= self.servers_at

    def _ours(self, store: Store) -> set[str]:
        """Servers whose orders are rolls' own."""
        _, steps, _ = self.standing(store, ended=False)
        return {step.node for each in steps.values() for step in each if step.ordered}

    def _empty(self, uid: str, revision: int, store: Store, now: float) -> bool:
        """Whether no router has anything out to a server and none will: all that may act follow the order."""
        for node, (_, slot) in self.slots(store).items():
            last = self.lasts.get(node)
            if last is None or last.run != slot.run or not self.grants.live(node, now):
                if not self.grants.over(node, now):
                    return False
            elif not last.said.closed and (last.since < revision or last.said.out.get(uid, 1) > 0):
                return False
        return True

    def routes(self) -> list[tuple[str, str, str, Any, Any, Any]]:
        """`admin.service.Part`."""
        return DrainsApi(self).routes()


def keeping(told: KeepFile) -> Callable[[Administration], KeeperDrains]:
    """What makes the keeper's part, by its file."""
    named = getattr(told.placement, "regions", {})
    regions = {zone: name for name, zones in named.items() for zone in zones}
    return lambda administration: KeeperDrains(administration, told.drains, regions=regions)
