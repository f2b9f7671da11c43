"""Limits, grants and rolls over HTTP: rows for the table of `admin.app.Api`."""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta
from starlette.requests import Request
from starlette.responses import Response

from ..admin.app import MOST_KEY, answer, if_match, read
from ..admin.service import Caller, Wrong
from ..store.records import Mutation, encode
from ..store.store import Store
from .grants import Figures, figure, fits
from .rolls import (
    ENDED,
    MOST_ROLLS,
    OUT,
    Refused,
    Roll,
    RollOrder,
    Stage,
    Status,
    Step,
    cancel,
    chosen,
    go_back,
    pause,
    resume,
)

if TYPE_CHECKING:
    from .keeper import KeeperDrains

LIMIT, NODE, ROLL, STEP = "drains-limit", "drains-node", "drains-roll", "drains-step"
MOST_NAME = 200


class LimitOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many connections a store bears."""

    most: Annotated[int, Meta(ge=1, le=10**6)]


class LimitShown(msgspec.Struct, frozen=True):
    """A limit and what of it is held at worst."""

    store: str  # `origin`, `servers` (each that is not named), or a server's name
    most: int
    held: int  # connections that nodes may have open at worst, those that are not known among them
    least: int  # that it can be lowered to
    reached: bool  # `held` is certainly within `most`
    revision: int


class LimitPage(msgspec.Struct, frozen=True):
    """All limits."""

    limits: list[LimitShown]


class NodeShown(msgspec.Struct, frozen=True):
    """A node that may exist, and its grant."""

    node: str
    run: str
    number: int
    values: dict[str, int]  # granted; empty: it is at its floor
    held: dict[str, int]  # that it may have open at worst
    counted: dict[str, int]  # open, as it said last
    need: dict[str, int]
    heard: float  # seconds ago; -1: not by this run of the keeper
    stage: str  # `granted`, `silent`, `lost` (at its floor for certain), `closed`, `leaving`


class GrantPage(msgspec.Struct, frozen=True):
    """All grants."""

    nodes: list[NodeShown]
    most_nodes: int
    refused: dict[str, str]  # nodes that are not admitted, and why
    doubt: str  # why nobody new is admitted; empty: no reason
    settled_in: float  # seconds until grants may be raised after this keeper's start


class StepShown(msgspec.Struct, frozen=True):
    """A node of a roll."""

    node: str
    stage: str
    why: str = ""


class RollShown(msgspec.Struct, frozen=True):
    """A roll as it stands."""

    id: str
    status: str
    order: RollOrder
    nodes: int
    waiting: int
    out: int
    done: int
    skipped: int
    back: bool
    why: str
    by: str
    at: float
    revision: int
    steps: list[StepShown] = []  # of one roll alone


class RollPage(msgspec.Struct, frozen=True):
    """Rolls, newest last."""

    rolls: list[RollShown]


class Done(msgspec.Struct, frozen=True):
    """What was changed."""

    detail: str


class DrainsApi:
    """The calls."""

    def __init__(self, part: KeeperDrains) -> None:
        self.part = part
        self.administration = part.administration

    def routes(self) -> list[tuple[str, str, str, Any, Any, Any]]:
        """method, path, what, form in, form out, handler."""
        return [
            ("GET", "/v1/limits", "limits on connections", None, LimitPage, self.limits),
            ("GET", "/v1/limits/{store}", "one limit", None, LimitShown, self.limit),
            ("PUT", "/v1/limits/{store}", "change a limit", LimitOrder, LimitShown, self.put_limit),
            ("GET", "/v1/grants", "who may have how many open", None, GrantPage, self.grants),
            ("POST", "/v1/nodes/{node}/gone", "a node that is no more", None, Done, self.gone),
            ("POST", "/v1/nodes/confirm", "all nodes there are, are known", None, Done, self.confirm),
            ("GET", "/v1/rolls", "rolls that stand or stood", None, RollPage, self.rolls),
            ("POST", "/v1/rolls", "roll nodes", RollOrder, RollShown, self.new_roll),
            ("GET", "/v1/rolls/{id}", "one roll", None, RollShown, self.roll),
            ("POST", "/v1/rolls/{id}/pause", "tell nobody more", None, RollShown, self.pause),
            ("POST", "/v1/rolls/{id}/resume", "go on", None, RollShown, self.resume),
            ("POST", "/v1/rolls/{id}/cancel", "end it as it stands", None, RollShown, self.cancel),
            ("POST", "/v1/rolls/{id}/back", "take back what was done", None, RollShown, self.back),
        ]

    # -- limits

    def _limits(self, store: Store) -> list[LimitShown]:
        part = self.part
        part.note(store)
        with part.lock:
            grants, now = part.grants, part.clock()
            slots = [slot for _, slot in part.slots(store).values()]
            found = []
            for item in store.items(LIMIT, limit=100_000):
                most = msgspec.json.decode(item.body, type=LimitOrder).most
                found.append(
                    LimitShown(
                        item.item_id,
                        most,
                        grants.spent(slots, item.item_id),
                        max(grants.most_nodes * figure(grants.floors, item.item_id), 1),
                        grants.reached(slots, item.item_id, most, now),
                        item.revision,
                    )
                )
            return found

    async def limits(self, request: Request, caller: Caller) -> Response:
        """GET /v1/limits."""
        caller.need("reader")
        return answer(LimitPage(await self.administration.keeper.run_sync(self._limits, self._store)))

    @property
    def _store(self) -> Store:
        return self.administration.keeper.store

    async def limit(self, request: Request, caller: Caller) -> Response:
        """GET /v1/limits/{store}."""
        caller.need("reader")
        return await self._limit(request.path_params["store"])

    async def _limit(self, name: str) -> Response:
        found = await self.administration.keeper.run_sync(self._limits, self._store)
        shown = next((each for each in found if each.store == name), None)
        if shown is None:
            raise Wrong(404, "not found", f"no limit for {name}")
        return answer(shown, etag=shown.revision)

    async def put_limit(self, request: Request, caller: Caller) -> Response:
        """PUT /v1/limits/{store}: for the revision that was read; 0 names a server for the first time."""
        caller.need("operator")
        name = request.path_params["store"]
        told, _ = await read(request, LimitOrder)
        expect = if_match(request)
        if not 0 < len(name) <= MOST_NAME:
            raise Wrong(422, "invalid", f"1 to {MOST_NAME} characters", "store")
        grants = self.part.grants
        small = fits({name: told.most}, grants.floors, grants.most_nodes)
        if small is not None:
            why = f"{told.most} is under {small[1]}, the floors of {grants.most_nodes} nodes"
            raise Wrong(422, "invalid", why, "most")

        def plan(store: Store, now: float) -> list[Mutation]:
            held = store.get(LIMIT, name)
            at = held.revision if held else 0
            if at != expect:
                raise Wrong(412, "precondition failed", f"it is at revision {at}", etag=at)
            if held is None and len(store.items(LIMIT)) >= 64:
                raise Wrong(409, "conflict", "64 limits are named", "store")
            return [Mutation(LIMIT, name, encode(told), at)]

        await self.administration._change(plan, caller.name)
        self.part.news.set()
        return await self._limit(name)

    # -- grants and nodes

    async def grants(self, request: Request, caller: Caller) -> Response:
        """GET /v1/grants."""
        caller.need("reader")
        return answer(await self.administration.keeper.run_sync(self._grants, self._store))

    def _grants(self, store: Store) -> GrantPage:
        part = self.part
        with part.lock:
            grants, now = part.grants, part.clock()
            limits = part.limits(store)
            nodes = []
            for node, (_, slot) in sorted(part.slots(store).items()):
                word, heard = grants.words.get(node), grants.heard.get(node)
                last = part.lasts.get(node)
                stage = "granted"
                if slot.closed:
                    stage = "closed"
                elif grants.over(node, now):
                    stage = "lost"
                elif not grants.live(node, now):
                    stage = "silent"
                elif last is not None and last.said.leaving:
                    stage = "leaving"
                held: Figures = {store: grants.charge(slot, store) for store in limits}
                nodes.append(
                    NodeShown(
                        node,
                        slot.run,
                        slot.number,
                        slot.values,
                        held,
                        word.counted if word else {},
                        word.need if word else {},
                        round(now - heard, 3) if heard is not None else -1.0,
                        stage,
                    )
                )
            settled = max(grants.settled_at - now, 0.0)
            if grants.raises(now) and not grants.ground.doubt:
                settled = 0.0
            return GrantPage(
                nodes, grants.most_nodes, dict(grants.refused), grants.ground.doubt, round(settled, 3)
            )

    async def gone(self, request: Request, caller: Caller) -> Response:
        """POST /v1/nodes/{node}/gone: its machine and its files are no more. It has to be lost already."""
        caller.need("operator")
        node = request.path_params["node"]
        part = self.part

        def plan(store: Store, now: float) -> list[Mutation]:
            item = store.get(NODE, node)
            if item is None:
                raise Wrong(404, "not found", f"no node {node}")
            with part.lock:
                if not part.grants.over(node, part.clock()):
                    why = "it was heard of too lately: its connections may be open"
                    raise Wrong(409, "conflict", why, "node")
            return [Mutation(NODE, node, None, item.revision)]

        await self.administration._change(plan, caller.name)
        with part.lock:
            part.grants.drop(node)
            part.lasts.pop(node, None)
        part.news.set()
        return answer(Done(f"{node} is no more: its floor is free"))

    async def confirm(self, request: Request, caller: Caller) -> Response:
        """POST /v1/nodes/confirm: every node that exists is known, so new ones may be admitted again."""
        caller.need("operator")
        part = self.part

        def plan(store: Store, now: float) -> list[Mutation]:
            with part.lock:
                grants = part.grants
                if part.clock() < grants.settled_at:
                    why = "this keeper has just started: nodes may come that it does not know"
                    raise Wrong(409, "conflict", why)
                grants.ground = msgspec.structs.replace(grants.ground, doubt="")
                item = store.get("drains-ground", "ground")
                body = encode(grants.ground)
                return (
                    []
                    if item and item.body == body
                    else [Mutation("drains-ground", "ground", body, item.revision if item else 0)]
                )

        await self.administration._change(plan, caller.name)
        part.news.set()
        return answer(Done("new nodes are admitted"))

    # -- rolls

    async def rolls(self, request: Request, caller: Caller) -> Response:
        """GET /v1/rolls."""
        caller.need("reader")
        rolls, steps, _ = await self.administration.keeper.run_sync(self.part.standing, self._store)
        rows = sorted(rolls.values(), key=lambda row: row[1].number)
        return answer(RollPage([shown(roll, steps[roll.ident], rev) for rev, roll in rows]))

    async def roll(self, request: Request, caller: Caller) -> Response:
        """GET /v1/rolls/{id}."""
        caller.need("reader")
        return await self._roll(request.path_params["id"])

    async def _roll(self, ident: str) -> Response:
        found = await self.administration.keeper.run_sync(self._one, self._store, ident)
        return answer(found, etag=found.revision)

    def _one(self, store: Store, ident: str) -> RollShown:
        rolls, steps, _ = self.part.standing(store)
        if ident not in rolls:
            raise Wrong(404, "not found", f"no roll {ident}")
        rev, roll = rolls[ident]
        return shown(roll, steps[ident], rev, True)

    async def new_roll(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls."""
        caller.need("operator")
        order, body = await read(request, RollOrder)
        part = self.part
        made: list[str] = []

        def plan(store: Store, now: float) -> list[Mutation]:
            with part.lock:
                facts = part.facts(store, part.clock())[order.kind]
            try:
                names = chosen(order, facts.values())
            except Refused as bad:
                raise Wrong(422, "invalid", str(bad), bad.field) from None
            rolls, steps, revisions = part.standing(store)
            number = max((roll.number for _, roll in rolls.values()), default=0) + 1
            ident = f"roll-{number:06d}-{self.administration.run_mark[:4]}"  # of a lost store's no name again
            roll = Roll(ident, number, order, who=caller.name, at=now)
            made[:] = [roll.ident]
            wanted = [Mutation(ROLL, roll.ident, encode(roll), 0)]
            for place, name in enumerate(names):
                wanted.append(Mutation(STEP, f"{roll.ident}/{name}", encode(Step(name, place)), 0))
            return wanted + _room(rolls, steps, revisions)

        async def make(**key: Any) -> Response:
            await self.administration._change(plan, caller.name, **key)
            part.news.set()
            found = await self.administration.keeper.run_sync(self._one, self._store, made[0])
            return answer(found, 201, found.revision, Location=f"/v1/rolls/{found.id}")

        return await self._once(request, caller, body, make, made)

    async def _once(
        self,
        request: Request,
        caller: Caller,
        body: bytes,
        make: Callable[..., Awaitable[Response]],
        made: list[str],
    ) -> Response:
        """A call with an idempotency key is made once; its repeat is shown what it made."""
        key = request.headers.get("idempotency-key", "")
        if len(key) > MOST_KEY:
            raise Wrong(422, "invalid", f"over {MOST_KEY} characters", "Idempotency-Key")
        if not key:
            return await make()
        print_ = hashlib.sha256(f"POST {request.url.path}\n".encode() + body).digest()
        keeper = self.administration.keeper
        held = await keeper.run_sync(keeper.store.recorded_response, caller.name, key)
        if held is None:
            return await make(key=key, request=print_, answer=lambda rows: made[0].encode())
        if held[0] != print_:
            raise Wrong(422, "invalid", "another call had this key", "Idempotency-Key")
        return await self._roll(held[1].decode())

    async def pause(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls/{id}/pause."""
        return await self._tell(request, caller, lambda roll, steps: (pause(roll), [], []))

    async def resume(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls/{id}/resume."""
        return await self._tell(request, caller, lambda roll, steps: (resume(roll), [], []))

    async def cancel(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls/{id}/cancel."""
        return await self._tell(request, caller, cancel)

    async def back(self, request: Request, caller: Caller) -> Response:
        """POST /v1/rolls/{id}/back."""
        return await self._tell(request, caller, go_back)

    async def _tell(
        self,
        request: Request,
        caller: Caller,
        alter: Callable[[Roll, list[Step]], tuple[Roll, list[Step], list[str]]],
    ) -> Response:
        caller.need("operator")
        ident = request.path_params["id"]
        part = self.part

        def plan(store: Store, now: float) -> list[Mutation]:
            rolls, steps, revisions = part.standing(store)
            if ident not in rolls:
                raise Wrong(404, "not found", f"no roll {ident}")
            before = rolls[ident][1]
            try:
                after, changed, restore = alter(before, steps[ident])
            except Refused as bad:
                raise Wrong(409, "conflict", str(bad), bad.field) from None
            altered = {ident: after} if after != before else {}
            return part.write(store, rolls, revisions, altered, {ident: changed}, [], restore)

        await self.administration._change(plan, caller.name)
        part.news.set()
        return await self._roll(ident)


def _room(
    rolls: dict[str, tuple[int, Roll]], steps: dict[str, list[Step]], revisions: dict[str, int]
) -> list[Mutation]:
    """Room for one more: the oldest that ended go. Raises Wrong where none has."""
    ended = sorted(
        (roll.number, ident, rev) for ident, (rev, roll) in rolls.items() if Status(roll.status) in ENDED
    )
    over = len(rolls) + 1 - MOST_ROLLS
    if over > len(ended):
        raise Wrong(409, "conflict", f"{MOST_ROLLS} rolls stand")
    gone: list[Mutation] = []
    for _, ident, rev in ended[: max(over, 0)]:
        gone.append(Mutation(ROLL, ident, None, rev))
        gone += [
            Mutation(STEP, f"{ident}/{step.node}", None, revisions[f"{ident}/{step.node}"])
            for step in steps[ident]
        ]
    return gone


def shown(roll: Roll, steps: list[Step], revision: int, whole: bool = False) -> RollShown:
    """A roll as the API shows it."""
    stages = [Stage(step.stage) for step in steps]
    return RollShown(
        roll.ident,
        roll.status,
        roll.order,
        len(steps),
        stages.count(Stage.WAITING),
        sum(stage in OUT for stage in stages),
        stages.count(Stage.DONE),
        stages.count(Stage.SKIPPED),
        roll.back,
        roll.why,
        roll.who,
        roll.at,
        revision,
        [StepShown(step.node, step.stage, step.why) for step in steps] if whole else [],
    )
