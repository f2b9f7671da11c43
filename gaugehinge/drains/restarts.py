"""Rolls: nodes of a fleet taken out and back in turn, within what may be out. No I/O, no clock, no chance.

`plan` looks at all rolls, at what is known of each node now and at who is out for whatever reason, and says
which steps are due. Each is one conditional change in the store before anybody is told, so that a keeper that
starts anew goes on from what stands there. A step is told to one run of a node: the run after it is no longer
meant, however often it is told.

A router is told to end; whoever supervises it starts the next one. A server is ordered to drain; once nothing
is out to it, it shows as `empty` and waits for its supervisor. The roll goes on when the successor is warm.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

MOST_NODES = 4096  # of one order
MOST_ROLLS = 256  # kept, those that ended among them
FIRST_SPAN, LAST_SPAN = 5.0, 30.0  # seconds over which service lost is looked at: both have to burn
LEAST_OPERATIONS = 50  # in a span; fewer say nothing


class StepStage(Enum):
    """Where a node stands in a roll."""

    WAITING = "waiting"
    TOLD = "told"  # to end, or ordered to drain
    EMPTY = "empty"  # nothing is out to the server: it may be started anew
    GONE = "gone"  # its run is not heard any more
    WARMING = "warming"  # the next run is up
    DONE = "done"
    SKIPPED = "skipped"


OUT = (StepStage.TOLD, StepStage.EMPTY, StepStage.GONE, StepStage.WARMING)
OVER = (StepStage.DONE, StepStage.SKIPPED)


class RestartStatus(Enum):
    """How a roll goes."""

    QUEUED = "queued"
    RUNNING = "running"
    PAUSED = "paused"  # by an operator: who is out comes back, nobody else is told
    STOPPED = "stopped"  # the same, by itself
    CANCELLED = "cancelled"
    DONE = "done"


ENDED = (RestartStatus.CANCELLED, RestartStatus.DONE)

Names = Annotated[list[Annotated[str, Meta(min_length=1, max_length=200)]], Meta(max_length=MOST_NODES)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Time = Annotated[float, Meta(ge=0, le=7 * 86400)]


class NodeSelector(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which nodes an order is for: all that fit every list that is not empty."""

    all: bool = False  # needed where no list says anything
    names: Names = []
    zones: Names = []
    builds: Names = []
    labels: Names = []


class RestartOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A roll as it is asked for. Times in seconds."""

    who: NodeSelector
    kind: Literal["routers", "servers"] = "routers"
    most_out: Annotated[int, Meta(ge=1, le=MOST_NODES, description="nodes out at once, for any reason")] = 1
    most_out_zone: Annotated[Count, Meta(description="the same in one zone; 0: as `most_out`")] = 0
    most_out_region: Annotated[Count, Meta(description="the same in one region; 0: as `most_out`")] = 0
    most_out_connections: Annotated[
        Count, Meta(description="connections to the origin held by those that are out; 0: not bounded")
    ] = 0
    warm_up: Annotated[Time, Meta(description="up for so long, a node counts as back")] = 5.0
    deadline: Annotated[Time, Meta(description="from when a node was told until it is warm again")] = 120.0
    hangs: Annotated[
        Literal["skip", "stop", "end"],
        Meta(description="over its deadline: go on without it, stop, or order it to end at once"),
    ] = "stop"
    starts: Annotated[float, Meta(ge=0, description="Unix time from which nodes are told; 0: at once")] = 0.0
    ends: Annotated[float, Meta(ge=0, description="Unix time until which; 0: without end")] = 0.0
    headroom: Annotated[
        float, Meta(ge=0, le=10, description="part of the load measured now that must fit beside it")
    ] = 0.2
    objective: Annotated[
        float, Meta(ge=0.5, le=0.99999, description="part of the operations that is to be settled")
    ] = 0.99
    most_burn: Annotated[
        float, Meta(gt=0, le=1000, description="lost service over what the objective leaves: the roll stops")
    ] = 10.0
    build: Annotated[str, Meta(max_length=200, description="that nodes come back with; empty: any")] = ""


class RestartStep(msgspec.Struct, frozen=True):
    """One node of a roll, as the store has it."""

    node: str
    place: int = 0  # in the order's turn
    stage: str = StepStage.WAITING.value
    run: str = ""  # that was told
    hard: bool = False  # and told to end at once
    ordered: bool = False  # the order to drain is this roll's
    why: str = ""


class RollingRestart(msgspec.Struct, frozen=True):
    """A roll, as the store has it."""

    ident: str
    number: int  # in the order of the queue
    order: RestartOrder
    status: str = RestartStatus.QUEUED.value
    back: bool = False  # it takes back what it did
    why: str = ""
    who: str = ""  # asked for it
    at: float = 0.0  # Unix time


@dataclass(slots=True, frozen=True)
class NodeStatus:
    """A node as it is known now. Loads and capacities are in one unit for all of a kind."""

    name: str
    run: str
    zone: str
    up: bool  # heard, and serves
    region: str = ""
    build: str = ""
    labels: frozenset[str] = frozenset()
    ready_for: float = 0.0  # seconds
    drains: bool = False  # by whatever word: discovery's, an operator's, its own
    empty: bool = False  # a server: no router has anything out to it
    load: float = 0.0
    capacity: float = 0.0
    connections: int = 0  # to the origin
    rolled: str = ""  # by what it was told to end last, as `told_as`


@dataclass(slots=True)
class RestartPlan:
    """What is to be written, all in one transaction."""

    steps: dict[str, list[RestartStep]] = field(default_factory=dict)  # by roll
    rolls: dict[str, RollingRestart] = field(default_factory=dict)
    drain: list[str] = field(default_factory=list)  # orders to servers that are made
    restore: list[str] = field(default_factory=list)  # and taken back
    log: list[str] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self.steps or self.rolls)


def restart_token(roll: RollingRestart) -> str:
    """Under which name a roll tells nodes to end: taken back, it is another one."""
    return f"{roll.ident}.back" if roll.back else roll.ident


class InvalidOrderError(Exception):
    """An order that cannot be done; `field` names what of it."""

    def __init__(self, why: str, field: str) -> None:
        super().__init__(why)
        self.field = field


def select_nodes(order: RestartOrder, facts: Iterable[NodeStatus]) -> list[str]:
    """The nodes that an order names, in the order in which they are gone through.

    Raises InvalidOrderError.
    """
    who = order.who
    if not (who.all or who.names or who.zones or who.builds or who.labels):
        raise InvalidOrderError("say which nodes, or `all`", "who")
    if order.ends and order.ends <= order.starts:
        raise InvalidOrderError("ends before it starts", "ends")
    known = {fact.name: fact for fact in facts}
    for name in who.names:
        if name not in known:
            raise InvalidOrderError(f"no node {name} is known", "who.names")
    found = [
        fact
        for fact in known.values()
        if (not who.names or fact.name in who.names)
        and (not who.zones or fact.zone in who.zones)
        and (not who.builds or fact.build in who.builds)
        and (not who.labels or fact.labels & set(who.labels))
    ]
    if not found:
        raise InvalidOrderError("no node is meant", "who")
    if len(found) > MOST_NODES:
        raise InvalidOrderError(f"over {MOST_NODES} nodes", "who")
    return [fact.name for fact in sorted(found, key=lambda fact: (fact.zone, fact.name))]


@dataclass(slots=True)
class BurnRate:
    """Operations settled and lost over the last spans; looks of the last minute, one a second."""

    looks: deque[tuple[float, int, int]] = field(default_factory=deque)

    def add(self, now: float, settled: int, lost: int) -> None:
        """What was counted since the look before."""
        self.looks.append((now, settled, lost))
        while self.looks[0][0] < now - 2 * LAST_SPAN:
            self.looks.popleft()

    def share(self, now: float, begin: float, end: float = 0.0) -> float:
        """The part that was lost from `begin` to `end` seconds ago; 0 where too few ended."""
        settled = lost = 0
        for at, good, bad in self.looks:
            if now - begin < at <= now - end:
                settled, lost = settled + good, lost + bad
        return lost / (settled + lost) if settled + lost >= LEAST_OPERATIONS else 0.0

    def rate(self, now: float, objective: float, before: float = 0.0) -> float:
        """By how many times more is lost than the objective leaves, above what was lost before."""
        share = min(self.share(now, FIRST_SPAN), self.share(now, LAST_SPAN))
        return max(share - before, 0.0) / (1.0 - objective)


@dataclass(slots=True)
class RestartPlanner:
    """One run of a keeper. Beside the store it remembers since when it sees each step as it is: deadlines
    begin anew with a keeper, and end no earlier for a clock that was set."""

    last_of_shard: Callable[[str, frozenset[str]], bool] = lambda name, out: False
    since: dict[tuple[str, str], tuple[str, float]] = field(default_factory=dict)  # emptied with its roll
    before: dict[str, float] = field(default_factory=dict)  # share lost before each roll began; the same
    burn: BurnRate = field(default_factory=BurnRate)

    def plan(
        self,
        rolls: Iterable[RollingRestart],
        steps: Mapping[str, list[RestartStep]],
        facts: Mapping[str, Mapping[str, NodeStatus]],
        now: float,
        wall: float,
        overlaps: Callable[[int], bool] = lambda count: True,
    ) -> RestartPlan:
        """What is due. `facts` by kind and name; `now` monotonic, `wall` Unix; `overlaps`: whether so many
        routers may be told now, with their successors' floors beside what they have open still."""
        due = RestartPlan()
        standing = sorted(
            (r for r in rolls if RestartStatus(r.status) not in ENDED), key=lambda roll: roll.number
        )
        told = sum(
            StepStage(step.stage) in OUT
            for roll in standing
            if roll.order.kind == "routers"
            for step in steps.get(roll.ident, ())
        )
        head = next(
            (r for r in standing if r.status in (RestartStatus.QUEUED.value, RestartStatus.RUNNING.value)),
            None,
        )
        for roll in standing:
            known = facts[roll.order.kind]
            after = {
                step.node: self._advance(roll, step, known.get(step.node), now, due)
                for step in steps.get(roll.ident, ())
            }
            if roll is head:
                roll = self._head(roll, after, known, now, wall, due)
                if roll.status == RestartStatus.RUNNING.value:
                    others = [
                        step
                        for other in standing
                        if other is not head and other.order.kind == roll.order.kind
                        for step in steps.get(other.ident, ())
                        if StepStage(step.stage) in OUT
                    ]
                    told = self._tell(roll, after, known, now, wall, due, told, overlaps, others)
            self._close(roll, steps.get(roll.ident, []), after, due)
        self._forget({roll.ident for roll in standing})
        return due

    def _forget(self, standing: set[str]) -> None:
        self.since = {key: seen for key, seen in self.since.items() if key[0] in standing}
        self.before = {ident: share for ident, share in self.before.items() if ident in standing}

    # -- a node that is out

    def _advance(
        self, roll: RollingRestart, step: RestartStep, fact: NodeStatus | None, now: float, due: RestartPlan
    ) -> RestartStep:
        stage = StepStage(step.stage)
        key = roll.ident, step.node
        seen = self.since.get(key)
        if seen is None or (seen[0] == StepStage.WAITING.value) is not (stage is StepStage.WAITING):
            seen = self.since[key] = step.stage, now
        if stage not in OUT:
            return step
        after = self._moved(roll, step, stage, fact)
        if after.stage == StepStage.WARMING.value and after.ordered:
            due.restore.append(step.node)
            after = msgspec.structs.replace(after, ordered=False)
        if after.stage != step.stage or StepStage(after.stage) is StepStage.DONE:
            return after
        if now - seen[1] < roll.order.deadline:
            return after
        return self._hung(roll, after, now - seen[1], now, due)

    def _moved(
        self, roll: RollingRestart, step: RestartStep, stage: StepStage, fact: NodeStatus | None
    ) -> RestartStep:
        returned = fact is not None and fact.up and fact.run != step.run and self._meant(roll, fact)
        if returned:
            if stage is StepStage.WARMING and fact.ready_for >= roll.order.warm_up:
                return msgspec.structs.replace(step, stage=StepStage.DONE.value)
            return msgspec.structs.replace(step, stage=StepStage.WARMING.value)
        if stage is StepStage.WARMING or (stage is not StepStage.GONE and (fact is None or not fact.up)):
            return msgspec.structs.replace(step, stage=StepStage.GONE.value)
        if stage is StepStage.TOLD and roll.order.kind == "servers" and fact is not None and fact.empty:
            return msgspec.structs.replace(step, stage=StepStage.EMPTY.value)
        return step

    @staticmethod
    def _meant(roll: RollingRestart, fact: NodeStatus) -> bool:
        if not roll.order.build:
            return True
        return (fact.build == roll.order.build) is not roll.back

    def _hung(
        self, roll: RollingRestart, step: RestartStep, span: float, now: float, due: RestartPlan
    ) -> RestartStep:
        told = f"{step.node} is {step.stage} for {span:.0f} s"
        hangs = roll.order.hangs
        if hangs == "end" and not step.hard and step.stage == StepStage.TOLD.value:
            due.log.append(f"roll {roll.ident}: {told}: told to end at once")
            self.since[roll.ident, step.node] = step.stage, now
            return msgspec.structs.replace(step, hard=True, why=told)
        if hangs == "skip":
            due.log.append(f"roll {roll.ident}: {told}: skipped")
            return self._skip(step, told, due)
        if roll.status in (RestartStatus.RUNNING.value, RestartStatus.QUEUED.value):
            self._stop(roll, told, due)
        return step

    @staticmethod
    def _skip(step: RestartStep, why: str, due: RestartPlan) -> RestartStep:
        if step.ordered:
            due.restore.append(step.node)
        return msgspec.structs.replace(step, stage=StepStage.SKIPPED.value, ordered=False, why=why)

    def _stop(self, roll: RollingRestart, why: str, due: RestartPlan) -> RollingRestart:
        due.log.append(f"roll {roll.ident} stops: {why}")
        due.rolls[roll.ident] = after = msgspec.structs.replace(
            roll, status=RestartStatus.STOPPED.value, why=why
        )
        return after

    # -- the first of the queue

    def _head(
        self,
        roll: RollingRestart,
        after: dict[str, RestartStep],
        known: Mapping[str, NodeStatus],
        now: float,
        wall: float,
        due: RestartPlan,
    ) -> RollingRestart:
        if roll.ident in due.rolls:
            return due.rolls[roll.ident]
        if roll.status == RestartStatus.QUEUED.value:
            if wall < roll.order.starts:
                return roll
            self.before[roll.ident] = self.burn.share(now, 2 * LAST_SPAN)
            due.log.append(f"roll {roll.ident} begins: {len(after)} {roll.order.kind}")
            roll = due.rolls[roll.ident] = msgspec.structs.replace(roll, status=RestartStatus.RUNNING.value)
        before = self.before.setdefault(roll.ident, 0.0)
        burn = self.burn.rate(now, roll.order.objective, before)
        if burn > roll.order.most_burn:
            return self._stop(roll, f"service lost at {burn:.1f} times what the objective leaves", due)
        for node, step in after.items():
            # Of one that is not there nobody knows when it comes back; it is not waited for without end.
            fact = known.get(node)
            if StepStage(step.stage) is StepStage.WAITING and (fact is None or not fact.up):
                missing = self.since.setdefault((roll.ident, f"{node} missing"), ("", now))[1]
                if now - missing >= max(roll.order.deadline, 1.0):
                    after[node] = self._skip(step, "not there", due)
            else:
                self.since.pop((roll.ident, f"{node} missing"), None)
        return roll

    def _tell(
        self,
        roll: RollingRestart,
        after: dict[str, RestartStep],
        known: Mapping[str, NodeStatus],
        now: float,
        wall: float,
        due: RestartPlan,
        told: int,
        overlaps: Callable[[int], bool],
        others: list[RestartStep],
    ) -> int:
        order = roll.order
        if wall < order.starts or (order.ends and wall >= order.ends):
            return told
        out = {
            fact.name: fact
            for fact in known.values()
            if not fact.up or fact.drains or fact.ready_for < order.warm_up
        }
        out |= {
            node: known[node]
            for node, step in after.items()
            if StepStage(step.stage) in OUT and node in known
        }
        out |= {
            # Told by a roll that was paused or stopped since, it may not have heard that yet and seem up like
            # any. Another run of it shows by itself whether it is up, whatever that roll waits for.
            step.node: fact
            for step in others
            if (fact := known.get(step.node)) is not None and fact.run == step.run
        }
        for node, step in after.items():
            fact = known.get(node)
            if StepStage(step.stage) is not StepStage.WAITING or fact is None or node in out:
                continue
            if fact.rolled == restart_token(roll):  # the store went back to before that
                after[node] = msgspec.structs.replace(step, stage=StepStage.DONE.value, why="told before")
                continue
            if len(out) >= order.most_out:
                break
            if not self._may(order, fact, out, known):
                continue
            if order.kind == "routers" and not overlaps(told + 1):
                break
            after[node] = msgspec.structs.replace(
                step, stage=StepStage.TOLD.value, run=fact.run, ordered=order.kind == "servers", why=""
            )
            if order.kind == "servers":
                due.drain.append(node)
            else:
                told += 1
            self.since[roll.ident, node] = StepStage.TOLD.value, now
            out[node] = fact
        return told

    def _may(
        self,
        order: RestartOrder,
        fact: NodeStatus,
        out: Mapping[str, NodeStatus],
        known: Mapping[str, NodeStatus],
    ) -> bool:
        """Whether this one may be taken out beside those that are."""
        if any(other.zone != fact.zone for other in out.values()):
            return False  # never two zones
        in_zone = sum(other.zone == fact.zone for other in out.values()) + 1
        if order.most_out_zone and in_zone > order.most_out_zone:
            return False
        in_region = sum(other.region == fact.region for other in out.values()) + 1
        if order.most_out_region and in_region > order.most_out_region:
            return False
        held = sum(other.connections for other in out.values()) + fact.connections
        if order.most_out_connections and held > order.most_out_connections:
            return False
        left = [other for other in known.values() if other.name not in out and other is not fact]
        load = sum(other.load for other in known.values()) * (1.0 + order.headroom)
        if not left or load > sum(other.capacity for other in left):
            return False
        return not self.last_of_shard(fact.name, frozenset(out) | {fact.name})

    # -- what is written

    def _close(
        self, roll: RollingRestart, steps: list[RestartStep], after: dict[str, RestartStep], due: RestartPlan
    ) -> None:
        changed = [after[step.node] for step in steps if after[step.node] != step]
        for step in changed:
            if step.stage in (StepStage.TOLD.value, StepStage.DONE.value):
                due.log.append(f"roll {roll.ident}: {step.node} {step.stage}")
        if changed:
            due.steps[roll.ident] = changed
        ended = all(StepStage(step.stage) in OVER for step in after.values())
        if ended and roll.status == RestartStatus.RUNNING.value:
            skipped = sum(step.stage == StepStage.SKIPPED.value for step in after.values())
            due.log.append(f"roll {roll.ident} done: {len(after) - skipped} nodes, {skipped} skipped")
            due.rolls[roll.ident] = msgspec.structs.replace(roll, status=RestartStatus.DONE.value)


# -- what operators tell


def pause(roll: RollingRestart) -> RollingRestart:
    """Tell nobody more. Raises InvalidOrderError."""
    if RestartStatus(roll.status) in ENDED:
        raise InvalidOrderError(f"the roll is {roll.status}", "status")
    return msgspec.structs.replace(roll, status=RestartStatus.PAUSED.value, why="")


def resume(roll: RollingRestart) -> RollingRestart:
    """Go on, from the queue. Raises InvalidOrderError."""
    if RestartStatus(roll.status) in ENDED:
        raise InvalidOrderError(f"the roll is {roll.status}", "status")
    if RestartStatus(roll.status) in (RestartStatus.QUEUED, RestartStatus.RUNNING):
        return roll
    return msgspec.structs.replace(roll, status=RestartStatus.QUEUED.value, why="")


def cancel(
    roll: RollingRestart, steps: list[RestartStep]
) -> tuple[RollingRestart, list[RestartStep], list[str]]:
    """End it: who is out comes back by itself; orders to servers that have not begun anew are taken back.
    Returns the roll, the steps that change and the servers whose orders go. Raises InvalidOrderError."""
    if roll.status == RestartStatus.DONE.value:
        raise InvalidOrderError("the roll is done", "status")
    changed, restore = [], []
    for step in steps:
        if StepStage(step.stage) in OVER:
            continue
        if step.ordered:
            restore.append(step.node)
        changed.append(
            msgspec.structs.replace(step, stage=StepStage.SKIPPED.value, ordered=False, why="cancelled")
        )
    return msgspec.structs.replace(roll, status=RestartStatus.CANCELLED.value), changed, restore


def roll_back(
    roll: RollingRestart, steps: list[RestartStep]
) -> tuple[RollingRestart, list[RestartStep], list[str]]:
    """Take back what was done: nodes that were done are rolled again, and those that wait are left as they
    are. Returns as `cancel` does. Raises InvalidOrderError."""
    if roll.back:
        return roll, [], []
    if roll.status == RestartStatus.CANCELLED.value:
        raise InvalidOrderError("the roll is cancelled", "status")
    changed, restore = [], []
    for step in steps:
        stage = StepStage(step.stage)
        if stage is StepStage.DONE:
            changed.append(msgspec.structs.replace(step, stage=StepStage.WAITING.value, run="", hard=False))
        elif stage is StepStage.WAITING or (step.ordered and stage is StepStage.TOLD):
            if step.ordered:
                restore.append(step.node)
            changed.append(
                msgspec.structs.replace(step, stage=StepStage.SKIPPED.value, ordered=False, why="not begun")
            )
    status = RestartStatus.QUEUED.value
    return msgspec.structs.replace(roll, status=status, back=True, why=""), changed, restore
