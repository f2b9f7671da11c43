"""A model of grants in virtual time: nodes, a keeper and a store that counts, all by the real decisions.

Time goes in ticks. What may happen at each step is a list of moves; `search` tries all of them from every
state, up to a number of states. The store counts for itself: what a node opened counts until it closed it, or
until the store does, `CLOSING` ticks after the node last could use it.
"""

from __future__ import annotations

import gc
import random
import time
from collections import deque
from dataclasses import dataclass, field

from ..drains.connection_counts import DEFAULT_SERVER, ORIGIN
from ..drains.lease_holder import LeaseHolder
from ..drains.lease_manager import LeaseManager
from ..drains.lease_types import ConnectionLease, DurableState, NodeRecord, NodeReport
from ..drains.restart_order import NodeSelector, RestartOrder
from ..drains.restart_planner import RestartPlanner
from ..drains.restart_records import RestartStep, RollingRestart
from ..drains.restart_types import NodeStatus
from ..tenancy.lease import EXPIRY_MARGIN, MAX_CLOCK_DRIFT, HeldLease

LEASE, CLOSING = 1.0, 3.0


@dataclass(slots=True)
class Node:
    """One set of files, and the run on them."""

    name: str
    admitted: str = ""  # in its files
    floors: dict = field(default_factory=dict)
    run_number: int = 1
    turn: int = 0
    holding: LeaseHolder | None = None
    open: int = 0  # by this run
    paused: bool = False
    want: int = 0
    left: tuple = ()  # (count, when the store has closed them) of runs before
    used_at: float = 0.0  # when the connections it has could be used last
    rate: float = 1.0  # of its clock beside the keeper's

    def clock(self, now: float) -> float:
        return now * self.rate


def twin(thing):
    """A copy of a slotted dataclass; `dataclasses.replace` took a third of a search."""
    made = object.__new__(type(thing))
    for name in thing.__dataclass_fields__:
        setattr(made, name, getattr(thing, name))
    return made


class World:
    """Three nodes, one keeper, one store. Everything that a state is made of can be copied and compared."""

    grants_kind: type = LeaseManager

    def __init__(self, limit: int = 5, floor: int = 1, nodes: int = 3, spare: int = 0) -> None:
        self.now, self.limit, self.floor = 0.0, limit, floor
        self.most_nodes = nodes + spare  # nodes that lost their files are others from then on
        self.allowed = limit  # a limit that was lowered is kept from when the keeper says that it is reached
        self.runs = 0
        self.slots: dict[str, NodeRecord] = {}
        self.ground = DurableState()
        self.backup: tuple | None = None
        self.nodes = [Node(f"n{i}") for i in range(nodes)]
        for node in self.nodes:
            self.boot(node)
        self.late: list = []  # what the network still has: (node, word) and (node, run, grant, asked at)
        self.commits = 0
        self.chain: frozenset[int] = frozenset({0})  # commits that the store has
        self.told = (0, True, 0.0)  # in the machine's memory: up to which commit, whether by right, when
        self.home: tuple | None = None  # a store left behind, while a keeper elsewhere goes on with its copy
        self.keep(-100.0)

    def keep(self, began: float, sure: bool = False) -> None:
        self.runs += 1
        self.keeper = self.grants_kind(
            began,
            LEASE,
            CLOSING,
            self.most_nodes,
            {ORIGIN: self.floor},
            0.0,
            f"k{self.runs}",
            "life",
            self.ground,
        )
        self.keeper.recorded_admissions = self.ground.admissions
        self.keeper.store_is_current = sure

    def believed(self) -> bool:
        """Whether a keeper that starts now on this machine takes its store for the one told by last."""
        commit, right, at = self.told
        return right and commit in self.chain and self.now - at < self.keeper.startup_hold

    def boot(self, node: Node) -> None:
        now = node.clock(self.now)
        from_ = now + CLOSING * (1 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN
        node.holding = LeaseHolder(dict(node.floors), from_, node.admitted)
        node.open, node.paused, node.turn = 0, False, 0

    # -- moves

    def moves(self) -> list[tuple]:
        found: list[tuple] = [("tick",)]
        for i, node in enumerate(self.nodes):
            if node.paused:
                found.append(("wake", i))
                continue
            found += [("ask", i), ("crash", i), ("pause", i)]
            if node.open < node.holding.allowed(ORIGIN, node.clock(self.now)):
                found.append(("open", i))
            if not self.late:
                found += [("ask_late", i), ("answer_late", i)]
        found += [("deliver", j) for j in range(len(self.late))]
        if self.late:
            found.append(("repeat",))
        if self.backup is None:
            found.append(("copy",))
        if self.home is not None:
            found.append(("back_home",))
        return [*found, ("keeper",), ("older",)]

    def do(self, move: tuple) -> None:
        getattr(self, "_" + move[0])(*move[1:])

    def _tick(self) -> None:
        self.now += 1.0
        for node in self.nodes:
            node.left = tuple(each for each in node.left if each[1] > self.now)
            self._shed(node)
            if node.paused and node.open and self.now >= node.used_at + CLOSING:
                node.open = 0  # the store closes what nobody says anything on
        self._plan()

    def _shed(self, node: Node) -> None:
        """A node that runs closes at once what is over; one that stands still closes nothing."""
        if node.paused:
            return
        node.open = min(node.open, node.holding.allowed(ORIGIN, node.clock(self.now)))
        node.used_at = self.now

    def _plan(self) -> None:
        changed = self.keeper.plan(self.slots, {ORIGIN: self.limit}, self.now)
        if changed or self.ground != self.keeper.state:
            self.commits += 1
            self.chain |= {self.commits}
        self.slots = {**self.slots, **changed}
        self.ground = self.keeper.state
        self.keeper.recorded_admissions = self.ground.admissions
        if self.keeper.limit_enforced(self.slots.values(), ORIGIN, self.limit, self.now):
            self.allowed = self.limit

    def word(self, node: Node) -> NodeReport:
        node.turn += 1
        held = node.holding
        holds = held.granted_for_report(node.clock(self.now))
        return NodeReport(
            node.name,
            f"{node.name}.{node.run_number}",
            node.run_number,
            node.turn,
            held.number,
            held.issuer,
            holds,
            {ORIGIN: node.open},
            {ORIGIN: node.want or node.open + 1},
            dict(node.floors),
            node.admitted,
            held.closed,
        )

    def answer(self, word: NodeReport) -> ConnectionLease | None:
        if not self.keeper.on_report(word, self.now):
            return None
        self._plan()
        slot = self.slots.get(word.node)
        self.told = max(self.chain), self.keeper.may_raise(self.now), self.now
        return self.keeper.issue(slot, word, self.now) if slot is not None else None

    def take(self, node: Node, grant: ConnectionLease | None, asked_at: float) -> None:
        if grant is None or node.paused:
            return
        if node.holding.accept(grant, asked_at):
            node.admitted, node.floors = "life", dict(grant.floors)
            node.holding.admitted_by, node.holding.floors = "life", dict(grant.floors)
            self._shed(node)

    def _ask(self, i: int) -> None:
        node = self.nodes[i]
        self.take(node, self.answer(self.word(node)), node.clock(self.now))

    def _ask_late(self, i: int) -> None:
        self.late.append(("word", i, self.word(self.nodes[i]), 0.0))

    def _answer_late(self, i: int) -> None:
        node = self.nodes[i]
        word = self.word(node)
        grant = self.answer(word)
        if grant is not None:
            self.late.append(("grant", i, (word.run, grant), node.clock(self.now)))

    def _deliver(self, j: int) -> None:
        kind, i, what, asked_at = self.late.pop(j)
        node = self.nodes[i]
        if kind == "word":
            self.answer(what)
        elif what[0] == f"{node.name}.{node.run_number}":
            self.take(node, what[1], asked_at)

    def _repeat(self) -> None:
        if self.late[0][0] == "word":
            self.answer(self.late[0][2])

    def _open(self, i: int) -> None:
        node = self.nodes[i]
        node.open = node.holding.allowed(ORIGIN, node.clock(self.now))

    def _crash(self, i: int) -> None:
        node = self.nodes[i]
        if node.open:
            node.left = (*node.left, (node.open, self.now + CLOSING))
        node.run_number += 1
        self.boot(node)

    def _pause(self, i: int) -> None:
        self.nodes[i].paused = True

    def _wake(self, i: int) -> None:
        node = self.nodes[i]
        node.paused = False
        self._shed(node)

    def _end(self, i: int) -> None:
        """Told to end: all is closed, that is said, and a run after it starts at once."""
        node = self.nodes[i]
        node.open, node.holding.closed = 0, True
        self.answer(self.word(node))
        node.run_number += 1
        self.boot(node)

    def _end_unheard(self, i: int) -> None:
        node = self.nodes[i]
        node.open = 0
        node.run_number += 1
        self.boot(node)

    def _older_files(self, i: int) -> None:
        """It ends, and starts on a copy of its files from before."""
        node = self.nodes[i]
        self._crash(i)
        node.run_number = max(node.run_number - 3, 1)
        self.boot(node)
        slot = self.slots.get(node.name)
        if slot is not None and node.run_number <= slot.run_number:
            node.run_number = slot.run_number + 2  # as the keeper tells it

    def _lose_files(self, i: int) -> None:
        node = self.nodes[i]
        node.paused = True  # for ever: it may be on a machine that is cut off, or gone
        other = Node(f"n{len(self.nodes)}", rate=node.rate)
        self.boot(other)
        self.nodes.append(other)

    def _limit(self, most: int) -> None:
        self.limit = most
        self.allowed = max(self.allowed, most)

    def _keeper(self) -> None:
        self.keep(self.now, self.believed())

    def _copy(self) -> None:
        self.backup = self.slots, self.ground, self.chain

    def _older(self) -> None:
        if self.backup is not None:
            self.slots, self.ground, self.chain = self.backup
            self.keep(self.now, self.believed())

    def _elsewhere(self) -> None:
        """The keeper's machine is given up: one on another goes on with a copy of the store."""
        self.home = self.slots, self.ground, self.chain, self.told
        self.told = (-1, False, 0.0)  # of that machine, whose memory has none
        self.keep(self.now)

    def _back_home(self) -> None:
        """That one ends as well, and the first machine's goes on with the store that it was left with."""
        self.slots, self.ground, self.chain, self.told = self.home
        self.home = None
        self.keep(self.now, self.believed())

    # -- what must hold

    def counted(self) -> int:
        """What the store counts."""
        return sum(node.open + sum(count for count, _ in node.left) for node in self.nodes)

    # -- as a value

    def copy(self) -> World:
        other = object.__new__(type(self))
        other.now, other.limit, other.floor, other.runs = self.now, self.limit, self.floor, self.runs
        other.most_nodes, other.allowed = self.most_nodes, self.allowed
        other.slots, other.ground, other.backup = self.slots, self.ground, self.backup
        other.commits, other.chain, other.told, other.home = self.commits, self.chain, self.told, self.home
        other.late = list(self.late)
        other.nodes = []
        for node in self.nodes:
            copied = twin(node)
            copied.holding = twin(node.holding)
            copied.holding.validity = HeldLease(node.holding.validity.expires_at)
            other.nodes.append(copied)
        keeper = other.keeper = twin(self.keeper)
        for name in (
            "reports",
            "last_heard",
            "issued",
            "lingering_until",
            "misreporting",
            "rejected",
            "unprocessed",
        ):
            setattr(keeper, name, getattr(keeper, name).copy())
        return other

    def state(self) -> tuple:
        """What tells two states apart, with times as they stand to now."""
        now, keeper = self.now, self.keeper

        def ago(at: float) -> float:
            return max(now - at, -9.0) if now - at < 9.0 else 9.0

        nodes = tuple(
            (
                n.admitted,
                n.open,
                n.paused,
                n.holding.number - self._base(n),
                n.holding.issuer == self._mark(n),
                tuple(n.holding.granted.items()),
                ago(n.holding.validity.expires_at),
                ago(max(n.holding.floors_usable_at, -99.0)),
                tuple((c, ago(t)) for c, t in n.left),
                ago(n.used_at) if n.paused else 0.0,
            )
            for n in self.nodes
        )
        slots = tuple(
            (
                s.node,
                s.run == f"{s.node}.{self._node(s.node).run_number}",
                tuple(s.granted.items()),
                tuple(s.ceilings.items()),
                tuple(s.lingering.items()),
            )
            for s in self.slots.values()
        )
        words = tuple(
            (
                w.node,
                w.run_number - self._node(w.node).run_number,
                w.number - self.slots[w.node].number if w.node in self.slots else w.number,
                tuple(w.open_connections.items()),
                tuple(w.demand.items()),
                ago(keeper.last_heard[w.node]),
            )
            for w in keeper.reports.values()
        )
        given = tuple((node, ago(each.granted_at)) for node, each in keeper.issued.items())
        gone = tuple(
            (node, ago(at)) for node, at in keeper.lingering_until.items() if self.slots[node].lingering
        )
        late = tuple(
            (kind, i, ago(at), what.number if kind == "word" else what[1].number - self._base(self.nodes[i]))
            for kind, i, what, at in self.late
        )
        backup = self.backup and (self.backup[0] == self.slots, len(self.backup[0]))
        commit, right, at = self.told
        told = (
            keeper.store_is_current,
            right,
            commit in self.chain,
            ago(at),
            backup and commit in self.backup[2],
        )
        if self.home is not None:
            told += (self.home[0] == self.slots, self.home[3][1], ago(self.home[3][2]))
        return nodes, slots, words, given, gone, late, ago(keeper.started_at), backup, told

    def _node(self, name: str) -> Node:
        return self.nodes[int(name[1:])]

    def _base(self, node: Node) -> int:
        return self.slots[node.name].number if node.name in self.slots else 0

    def _mark(self, node: Node) -> str:
        return self.slots[node.name].issuer if node.name in self.slots else ""


def begun(kind: type[World], moves: tuple = (("open", 0),)) -> World:
    """All admitted; the first holds most of the limit, and the others want more than they have."""
    world = kind()
    for i in (0, 1, 2, 0, 0):
        world.nodes[i].want = 3 if i == 0 else 0
        world.do(("ask", i))
    for i, node in enumerate(world.nodes):
        node.want = 3 if i else 1
    for move in moves:
        world.do(move)
    return world


def search(first: World, most: int) -> tuple[int, int, list[tuple] | None]:
    """States and transitions looked at from a first one, breadth first, and the moves to the first state in
    which the store counts more than its limit (None: there is none). Nothing here is a cycle: the collector,
    which would look at all states again and again, is off meanwhile."""
    gc.disable()
    try:
        return _search(first, most)
    finally:
        gc.enable()


def _search(first: World, most: int) -> tuple[int, int, list[tuple] | None]:
    seen = {hash(first.state())}
    queue: deque[tuple[World, tuple | None]] = deque([(first, None)])
    transitions = expanded = 0
    while queue and len(seen) < most:
        world, path = queue.popleft()
        expanded += 1
        for move in world.moves():
            after = world.copy()
            after.do(move)
            transitions += 1
            if after.counted() > after.allowed:
                return len(seen), transitions, unwind((move, path))
            state = hash(after.state())
            if state not in seen:
                seen.add(state)
                if expanded + len(queue) < most // 2:  # those behind are looked at, not gone on from
                    queue.append((after, (move, path)))
    return len(seen), transitions, None


def unwind(path: tuple | None) -> list[tuple]:
    moves = []
    while path is not None:
        moves.append(path[0])
        path = path[1]
    return moves[::-1]


class KillIsProof(LeaseManager):
    """A fault: a successor's start counts as the end of all that its predecessor had open."""

    def _apply_new_run(self, slot: NodeRecord, word: NodeReport, now: float) -> NodeRecord:
        after = super()._apply_new_run(slot, word, now)
        return type(after)(**{f: getattr(after, f) for f in after.__struct_fields__} | {"lingering": {}})


class LeaseWithoutClosing(LeaseManager):
    """A fault: what a silent node had open counts as closed when its lease is over."""

    close_timeout_bound = 0.0


class RaisesAtOnce(LeaseManager):
    """A fault: one that starts anew takes what its store says for all there is."""

    former_leases_end = -100.0


class ConfirmsByRun(LeaseManager):
    """A fault: any word of the run counts as one that follows the last number."""

    def _apply_report(self, records, node, report, now):
        super()._apply_report(records, node, report, now)
        slot = records.get(node)
        if slot is not None and slot.run == report.run:
            records[node] = NodeRecord(
                **{f: getattr(slot, f) for f in slot.__struct_fields__}
                | {
                    "ceilings": {
                        s: max(v, report.open_connections.get(s, 0)) for s, v in slot.granted.items()
                    }
                }
            )


class BelievesAnyStore(World):
    """A fault: one that is back takes its store for the one that was told by last, also when it went back."""

    def believed(self) -> bool:
        return True


class BelievesWhoeverTold(World):
    """A fault: it does not ask whether the one that told last had waited itself."""

    def believed(self) -> bool:
        return self.told[0] in self.chain


class BelievesForEver(World):
    """A fault: a word counts however old it is; a keeper elsewhere may have raised what is told since."""

    def believed(self) -> bool:
        return self.told[1] and self.told[0] in self.chain


class FromArrival(World):
    """A fault: a node counts its lease from when the answer came."""

    def take(self, node: Node, grant: ConnectionLease | None, asked_at: float) -> None:
        super().take(node, grant, node.clock(self.now))


def kind(grants: type[LeaseManager]) -> type[World]:
    """A world whose keeper decides by these."""
    return type(grants.__name__, (World,), {"grants_kind": grants})


def walk(made: type[World], seed: int, steps: int) -> str:
    """A long way of chance through a wider world: clocks at odds, limits lowered, ends in order, files lost.
    Empty, or what broke."""
    draw = random.Random(seed)
    floor = draw.choice([1, 1, 2])
    world = made(draw.choice([6, 8, 12]) * floor, floor, 3, 3)
    first = world.limit
    for node in world.nodes:
        node.rate = draw.choice([1.0, 1.0 - MAX_CLOCK_DRIFT / 2, 1.0 + MAX_CLOCK_DRIFT / 2])
    rare = {"crash": 0.1, "keeper": 0.05, "older": 0.03, "copy": 0.3, "pause": 0.15}
    rare |= {"elsewhere": 0.02, "back_home": 0.1}
    if seed % 2:
        rare |= {"keeper": 0.1, "older": 0.2, "copy": 0.8, "elsewhere": 0.05, "back_home": 0.2, "crash": 0.02}
    path = []
    for _ in range(steps):
        for node in world.nodes:
            if draw.random() < 0.1:
                node.want = draw.randrange(9)
        moves = world.moves() + ([("elsewhere",)] if world.home is None else [])
        moves = [move for move in moves if draw.random() < rare.get(move[0], 1.0)]
        if draw.random() < 0.05:
            up = [i for i, node in enumerate(world.nodes) if not node.paused]
            more = [("limit", draw.randrange(world.most_nodes * floor, first + 1))]
            if up:
                more += [(what, draw.choice(up)) for what in ("end", "end_unheard", "older_files")]
                if len(world.nodes) < world.most_nodes:
                    more.append(("lose_files", draw.choice(up)))
            moves = more
        move = draw.choice(moves)
        world.do(move)
        path.append(move)
        if world.counted() > world.allowed:
            return f"seed {seed}, step {len(path)}: {world.counted()} of {world.allowed} after {path[-12:]}"
    return ""


# -- rolls


@dataclass(slots=True)
class Peer:
    """A router of a fleet that is rolled: it leaves for a while when it is told, and comes back."""

    name: str
    zone: str
    run: int = 1
    up_since: float = -1000.0
    back_at: float = 0.0  # 0: it is up
    told: set = field(default_factory=set)  # rolls, and the run that each told


LEAVES = 4.0  # seconds from the order until its successor is up


def virtual_roll(
    count: int, zones: int, most_out: int, seed: int, faults: bool = False, longest: float = 20_000.0
) -> tuple[float, str, bool]:
    """A fleet of routers rolled in virtual time, by the planner alone: seconds until it is done, what broke,
    and whether it was done. With `faults` nodes are killed, keepers end and begin anew, reports are lost."""
    draw = random.Random(f"{seed} roll")
    peers = [Peer(f"r{i}", f"z{i % zones}") for i in range(count)]
    order = RestartOrder(
        NodeSelector(all=True), max_unavailable=most_out, warm_up=3.0, deadline=60.0, on_timeout="skip"
    )
    roll = RollingRestart("roll-1", 1, order)
    steps = [
        RestartStep(peer.name, i) for i, peer in enumerate(sorted(peers, key=lambda p: (p.zone, p.name)))
    ]
    rolls = RestartPlanner()
    now = 0.0
    seen: dict[str, tuple[int, float]] = {}  # what the keeper knows: run, up since when; -1: it is away
    while now < longest:
        now += 1.0
        for peer in peers:
            if peer.back_at and now >= peer.back_at:
                peer.run, peer.up_since, peer.back_at = peer.run + 1, now, 0.0
            elif faults and draw.random() < 0.001:
                peer.back_at = now + draw.choice([3.0, 10.0, 90.0])
            if not (faults and draw.random() < 0.1):
                seen[peer.name] = peer.run, -1.0 if peer.back_at else peer.up_since
        if faults and draw.random() < 0.02:
            rolls = RestartPlanner()
        facts = {
            peer.name: NodeStatus(
                peer.name,
                str(seen[peer.name][0]),
                peer.zone,
                seen[peer.name][1] >= 0 or seen[peer.name][1] == -1000.0,
                ready_for=now - seen[peer.name][1],
                load=0.3,
                capacity=0.8,
            )
            for peer in peers
            if peer.name in seen
        }
        due = rolls.plan([roll], {roll.ident: steps}, {"routers": facts, "servers": {}}, now, now)
        if faults and due and draw.random() < 0.1:
            continue  # the store took nothing: it is planned again
        changed = {step.node: step for step in due.steps.get(roll.ident, [])}
        steps = [changed.get(step.node, step) for step in steps]
        roll = due.restarts.get(roll.ident, roll)
        by_name = {peer.name: peer for peer in peers}
        before = {peer.zone for peer in peers if peer.back_at}
        for step in changed.values():
            if step.stage != "told":
                continue
            peer = by_name[step.node]
            if (roll.ident, step.run) in peer.told:
                return now, f"{peer.name} told twice", False
            peer.told.add((roll.ident, step.run))
            known = {name for name, (_, up) in seen.items() if up == -1.0}
            out = [s for s in steps if s.stage in ("told", "gone", "warming")]
            if len(out) > most_out or len({by_name[s.node].zone for s in out}) > 1:
                return now, f"out at once: {[s.node for s in out]}", False
            if any(by_name[name].zone != peer.zone for name in known):
                return now, f"{peer.name} told while {known} were out in other zones than {before}", False
            if str(peer.run) == step.run and not peer.back_at:
                peer.back_at = now + LEAVES + draw.random()
        if roll.status == "done":
            return now, "", True
    return now, "", False


def plan_times(count: int, seconds: int = 60) -> tuple[float, float, float]:
    """Grants of so many routers whose need moves by one now and then: middle and longest time of a plan
    in ms, and slots written a second once all have something."""
    draw = random.Random(1)
    floors = {ORIGIN: 2, DEFAULT_SERVER: 1}
    keeper = LeaseManager(-1e9, 15.0, 15.0, count + count // 4, floors, 0.1, "k", "life", DurableState())
    limits = {ORIGIN: 10 * count, DEFAULT_SERVER: 6 * count}
    slots: dict[str, NodeRecord] = {}
    need, spent, written = [4] * count, [], 0
    for now in range(1, seconds):
        need = [min(max(each + draw.choice((-1, 0, 0, 0, 0, 0, 0, 1)), 1), 9) for each in need]
        for i in range(count):
            name = f"r{i}"
            slot = slots.get(name, NodeRecord(name))
            values = dict(slot.granted)
            keeper.on_report(
                NodeReport(
                    name,
                    name,
                    1,
                    now,
                    slot.number if values else 0,
                    slot.issuer if values else "",
                    values,
                    {ORIGIN: min(3, values.get(ORIGIN, 0))},
                    {ORIGIN: need[i], DEFAULT_SERVER: 2},
                    floors if values else {},
                    "life" if name in slots else "",
                ),
                float(now),
            )
        began = time.perf_counter()
        changed = keeper.plan(slots, limits, float(now))
        spent.append((time.perf_counter() - began) * 1000)
        written += len(changed) if now > 6 else 0
        slots |= changed
        keeper.recorded_admissions = keeper.state.admissions
        for name, slot in slots.items():
            keeper.issue(slot, keeper.reports[name], float(now))
    return sorted(spent)[len(spent) // 2], max(spent), written / (seconds - 7)


if __name__ == "__main__":
    for size in (1, 4, 16):
        few, _, _ = virtual_roll(12 * size, 3, 2, 1)
        began = time.perf_counter()
        part, _, _ = virtual_roll(12 * size, 3, 2 * size, 1)
        plan = (time.perf_counter() - began) / part * 1000
        middle, longest, written = plan_times(12 * size)
        print(
            f"{12 * size} routers: rolled in {few:.0f} s with 2 out, {part:.0f} s with {2 * size} out, "
            f"{plan:.2f} ms a look at the roll; {middle:.2f} ms a plan of grants, {longest:.2f} at most, "
            f"{written:.1f} slots written a second"
        )
