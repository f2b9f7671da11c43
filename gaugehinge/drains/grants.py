"""Numbered grants of connections: who may have how many open to each limited store. No I/O, clock or chance.

A store takes `most` connections in all. The sum of what every node may have open, by the worst that the
keeper cannot rule out, is within it at every instant; docs/drains.md has the proof. In short:

- Each node that was ever admitted has a floor for ever, also cut off; floors of `most_nodes` fit each limit.
- What is over the floor is held under a number and a lease. It counts as held until the node said, under a
  later number, that it is below; or until lease, drift and the longest closing time are over.
- A kill proves nothing. A successor on the same files proves that the process ended, not that the store
  closed its connections: those count for the longest closing time from when the successor was first heard.
- All that a keeper may act by is in its store before it is told. One that starts anew raises nothing until
  the longest lease and closing time are over, whatever its store says; what nodes say they hold counts. It
  need not wait where it is proved that its store is the one that was told by last (`lastword.py`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import ceil

import msgspec

from ..tenancy.lease import EXPIRY_MARGIN, MAX_CLOCK_DRIFT, GrantedLease, HeldLease

ORIGIN, SERVERS = "origin", "servers"  # the one store, and each cache server that no limit names
HEADROOM = 1.25  # of the measured need that a grant is to cover
CALM = 10.0  # seconds between two rearrangements that nobody is in need of
STEP = 0.25  # of a value: a smaller change is not worth a number
NEED, OVER = 1.0, 2.0  # how pressing a rearrangement is

Figures = dict[str, int]  # connections by store: `origin`, `servers`, or a server's name in the list


class Slot(msgspec.Struct, frozen=True):
    """A node that may exist, as the store has it. `node` is its name and the mark of its files: on other
    files it is another node. It leaves by an operator's word alone."""

    node: str
    run: str = ""
    run_number: int = 0  # of its starts on its files; a lock on them lets one run at a time
    number: int = 0  # of the grant; rises with each change, never falls
    mark: str = ""  # of the keeper's run that made this grant: a store that goes back uses numbers again
    values: Figures = {}  # told under `number`
    ceilings: Figures = {}  # what this run may have open at most, by any number that it may follow
    remains: Figures = {}  # what runs before it may still have open
    floors: Figures = {}  # what it falls to where the keeper is not heard
    closed: bool = False  # this run said that all is closed and that it opens nothing more
    admission: int = 0  # the how manieth it was
    zone: str = ""  # that it said last


@dataclass(slots=True, frozen=True)
class Word:
    """A node's report. What is said of `servers` is the most at any one that no limit names."""

    node: str
    run: str
    run_number: int
    turn: int  # rises with each report of a run
    number: int  # of the grant that it follows; 0: none
    mark: str
    holds: Figures  # the values that it follows; empty once its lease is over
    counted: Figures  # open, those under way and those still closing among them
    need: Figures  # most in use and waited for of late
    floors: Figures  # by its files
    admitted: str = ""  # the store that admitted it, by its files
    closed: bool = False
    zone: str = ""


@dataclass(slots=True, frozen=True)
class Grant:
    """What a node is told. Its lease counts from when it asked."""

    number: int
    mark: str
    values: Figures
    floors: Figures
    lease: float  # seconds
    clear: bool = False  # nothing is open of runs before this one: its floor need not wait for them


class Ground(msgspec.Struct, frozen=True):
    """What a keeper has to know of the runs before it, as the store has it."""

    longest: float = 0.0  # seconds of the longest lease that may be out
    closing: float = 0.0  # and of the longest closing time that was stated
    admissions: int = 0
    doubt: str = ""  # why nodes may exist that this store does not know of; nobody new is admitted


def figure(figures: Mapping[str, int], store: str) -> int:
    """A server that has no figure of its own has that of all servers."""
    found = figures.get(store)
    if found is None:
        return figures.get(SERVERS, 0) if store != ORIGIN else 0
    return found


def fits(limits: Mapping[str, int], floors: Mapping[str, int], most_nodes: int) -> tuple[str, int] | None:
    """None where the floors of all nodes fit every limit; else the store that is too small, and its least."""
    for store, most in limits.items():
        least = most_nodes * figure(floors, store)
        if least > most:
            return store, least
    return None


# -- a node's side


@dataclass(slots=True, eq=False)
class Holding:
    """What one run of a router may have open now. All times by its own monotonic clock, read at each use."""

    floors: Figures
    floor_from: float  # before this a run ahead of it may have connections open still
    admitted: str = ""
    number: int = 0
    mark: str = ""
    values: Figures = field(default_factory=dict)
    held: HeldLease = field(default_factory=HeldLease)
    closed: bool = False  # it opens nothing more
    since: float = float("-inf")  # answers to questions from before are too late

    def holds(self, now: float) -> Figures:
        """For a report that goes now: the values that it follows. Once it has said that it follows none, what
        was asked before does not bring them back."""
        if self.held.is_valid(now):
            return dict(self.values)
        self.since = now
        return {}

    def hear(self, grant: Grant, asked_at: float) -> bool:
        """An answer came; whether it is followed. One of a lower number is late, or its store went back."""
        if grant.number < self.number or self.closed or asked_at < self.since:
            return False
        if (grant.number, grant.mark) != (self.number, self.mark):
            self.number, self.mark, self.values = grant.number, grant.mark, dict(grant.values)
            # The lease of one number says nothing of the next: only this answer's does.
            self.held = HeldLease()
        if grant.clear:
            self.floor_from = float("-inf")
        self.held.renew(asked_at, grant.lease)
        return True

    def most(self, store: str, now: float) -> int:
        """Connections to a store that may be open and used now."""
        if self.closed:
            return 0
        if self.held.is_valid(now):
            return figure(self.values, store)
        return figure(self.floors, store) if self.admitted and now >= self.floor_from else 0


# -- the keeper's side


@dataclass(slots=True, eq=False)
class Grants:
    """One run of a keeper. What it remembers beside the store: last words and leases, one a node."""

    began: float  # by its monotonic clock, as every `now` here
    lease: float  # seconds
    closing: float  # seconds within which a store closes what a silent node left open
    most_nodes: int
    floors: Figures
    reserve: float  # part of each limit that need alone does not get
    mark: str  # of this run
    life: str  # of the store
    ground: Ground
    words: dict[str, Word] = field(default_factory=dict)
    heard: dict[str, float] = field(default_factory=dict)
    given: dict[str, GrantedLease] = field(default_factory=dict)
    gone_by: dict[str, float] = field(default_factory=dict)  # when `remains` of a node are closed
    liars: set[str] = field(default_factory=set)  # nodes that had something open after they were closed
    refused: dict[str, str] = field(default_factory=dict)  # nodes not admitted, and why; emptied with words
    fresh: set[str] = field(default_factory=set)  # heard since the last plan
    arranged: float = float("-inf")
    witnessed: int = 0  # admissions that are on record beside the store, too
    wanted: Figures = field(default_factory=dict)  # floors that the file states and that do not fit yet
    sure: bool = False  # the store has all that the run before this one told, which raised by right itself

    @property
    def closed_after(self) -> float:
        """Seconds, by this clock, in which any clock counts the longest closing time."""
        return max(self.closing, self.ground.closing) * (1.0 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN

    @property
    def settled_at(self) -> float:
        """From then on nothing that a former run gave is held by a node that this one has not heard."""
        longest = max(self.lease, self.ground.longest)
        return self.began + longest * (1.0 + MAX_CLOCK_DRIFT) + EXPIRY_MARGIN + self.closed_after

    @property
    def unraised(self) -> float:
        """Seconds, by any clock, in which a keeper of the same file that started on a copy of this store, of
        whatever age, raises nothing."""
        return (self.lease + self.closing) * (1.0 - MAX_CLOCK_DRIFT)

    def begin_with(self, slots: Iterable[Slot]) -> None:
        """Nodes have floors of before: higher ones are told once they fit beside all that is held, or a node
        that is cut off would fall to more than it was charged."""
        self.wanted = dict(self.floors)
        self.floors = {
            store: min([floor, *(figure(slot.floors, store) for slot in slots)])
            for store, floor in self.wanted.items()
        }

    def _raise_floors(self, table: Mapping[str, Slot], limits: Mapping[str, int]) -> None:
        before, self.floors = self.floors, self.wanted
        raised = [
            msgspec.structs.replace(slot, floors=_most(slot.floors, self.wanted)) for slot in table.values()
        ]
        if any(self.spent(raised, store) > most for store, most in limits.items()):
            self.floors = before

    def raises(self, now: float) -> bool:
        """Whether what is free by the store may be given: what it charges is all that nodes may hold."""
        return self.sure or now >= self.settled_at

    def hear(self, word: Word, now: float) -> bool:
        """A report; False for one that is late: of a run before the last, or said before another was."""
        known = self.words.get(word.node)
        if known is not None:
            if known.run != word.run and word.run_number <= known.run_number:
                return False
            if known.run == word.run and word.turn <= known.turn:
                return False
        elif len(self.words) >= 4 * self.most_nodes:
            self._forget(now)
            if len(self.words) >= 4 * self.most_nodes:
                return False
        if known is None or known.run != word.run:
            self.given.pop(word.node, None)  # of its last run, whose end `_succeed` counts
        self.words[word.node], self.heard[word.node] = word, now
        self.fresh.add(word.node)
        return True

    def _forget(self, now: float) -> None:
        """Words of nodes that were refused and fell silent."""
        for node in [node for node in self.refused if now - self.heard.get(node, now) > self.lease]:
            self._unhear(node)
            del self.refused[node]

    def _unhear(self, node: str) -> None:
        for table in (self.words, self.heard, self.given):
            table.pop(node, None)
        self.fresh.discard(node)

    def drop(self, node: str) -> None:
        """An operator's word: it is no more."""
        self._unhear(node)
        self.gone_by.pop(node, None)
        self.refused.pop(node, None)
        self.liars.discard(node)

    def live(self, node: str, now: float) -> bool:
        """Whether it was heard within a lease."""
        return now - self.heard.get(node, float("-inf")) < self.lease

    def over(self, node: str, now: float) -> bool:
        """Whether it certainly has no more open than its floor."""
        if self.live(node, now):
            return False
        held = self.given.get(node)
        if held is None:
            return now >= self.settled_at
        return held.has_expired(now - self.closed_after)

    # -- what each may have open at worst

    def charge(self, slot: Slot, store: str) -> int:
        """Connections that a node may have open at worst, its runs before among them."""
        held = figure(slot.ceilings, store) + figure(slot.remains, store)
        return max(figure(slot.floors, store), held)

    def spent(self, slots: Iterable[Slot], store: str) -> int:
        """The same over all nodes that may exist, known or not."""
        total, count = 0, 0
        for slot in slots:
            total += self.charge(slot, store)
            count += 1
        return total + max(self.most_nodes - count, 0) * figure(self.floors, store)

    def reached(self, slots: Iterable[Slot], store: str, most: int, now: float) -> bool:
        """Whether a limit is certainly kept; one that was lowered is not at once."""
        return self.raises(now) and self.spent(slots, store) <= most

    # -- the plan

    def plan(
        self,
        slots: Mapping[str, Slot],
        limits: Mapping[str, int],
        now: float,
        leaving: frozenset[str] = frozenset(),
        worst: Mapping[str, float] | None = None,
    ) -> dict[str, Slot]:
        """Slots to be changed, all in one transaction. `leaving`: nodes told to end, which get nothing more;
        `worst`: connections that tenants would use in all by their allowances."""
        table = dict(slots)
        if self.wanted and self.floors != self.wanted and self.raises(now):
            self._raise_floors(table, limits)
        for node, word in self.words.items():
            self._learn(table, node, word, now)
        self.fresh.clear()
        for node, slot in table.items():
            if slot.remains and now >= self.gone_by.setdefault(node, self.began + self.closed_after):
                slot = table[node] = msgspec.structs.replace(slot, remains={})
            if self.over(node, now) and (slot.values or slot.ceilings):
                table[node] = self._renumber(slot, {}, {})
                self._unhear(node)  # what it said of open connections is of before
        if self.raises(now):
            self._arrange(table, limits, now, leaving, worst or {})
        return {node: slot for node, slot in table.items() if slots.get(node) != slot}

    def _renumber(self, slot: Slot, values: Figures, ceilings: Figures) -> Slot:
        return msgspec.structs.replace(
            slot, number=slot.number + 1, mark=self.mark, values=values, ceilings=ceilings
        )

    def _learn(self, table: dict[str, Slot], node: str, word: Word, now: float) -> None:
        """What a node's last word changes."""
        slot = table.get(node)
        if slot is None:
            slot = self._admit(table, word, now)
            if slot is None:
                return
        elif slot.run != word.run:
            if word.run_number <= slot.run_number:
                return  # it is told which number it has to be over
            slot = self._succeed(slot, word, now)
        if word.number > slot.number or (word.number == slot.number and word.mark != slot.mark):
            # Of a store that went back: the numbers of the one that was lost go on from the later one.
            if not self.ground.doubt:
                told = f"{node} follows number {word.number}, which this store does not know"
                self.ground = msgspec.structs.replace(self.ground, doubt=told)
            ceilings = _most(slot.ceilings, word.holds, word.counted)
            slot = msgspec.structs.replace(slot, number=word.number)
            slot = self._renumber(slot, dict(word.holds), ceilings)
        elif node in self.fresh and not word.holds and slot.values:
            # Its lease ran out: this grant may long have been others' in a store that was lost.
            slot = self._renumber(slot, {}, {})
        floors = self._floors(slot, word)
        if floors != slot.floors:
            slot = msgspec.structs.replace(slot, floors=floors)
        was_closed = slot.closed
        if word.closed and not slot.closed:
            slot = msgspec.structs.replace(self._renumber(slot, {}, {}), closed=True)
        counted = {s: n for s, n in word.counted.items() if n > 0}
        if was_closed and any(n > figure(slot.ceilings, s) for s, n in counted.items()):
            self.liars.add(node)
        if (word.number, word.mark) == (slot.number, slot.mark) or slot.closed:
            ceilings = _most(slot.values, counted)
        else:
            ceilings = _most(slot.ceilings, counted, word.holds)
        if ceilings != slot.ceilings:
            slot = msgspec.structs.replace(slot, ceilings=ceilings)
        table[node] = slot

    def _floors(self, slot: Slot, word: Word) -> Figures:
        """What it may fall to: by the store, until its own word says that its files have less."""
        if slot.run == word.run and word.admitted == self.life:
            return _most(word.floors, self.floors)  # these are told with every grant
        return _most(slot.floors, word.floors)

    def _admit(self, table: dict[str, Slot], word: Word, now: float) -> Slot | None:
        if word.admitted:
            # It falls to its floor whatever is said here: this store lost it, or it was taken for gone.
            if not self.ground.doubt:
                told = f"{word.node} was admitted, which this store does not know"
                self.ground = msgspec.structs.replace(self.ground, doubt=told)
        elif self.ground.doubt or not self.raises(now):
            self.refused[word.node] = self.ground.doubt or "the keeper has just started"
            return None
        elif len(table) >= self.most_nodes:
            self.refused[word.node] = f"{len(table)} nodes may exist already"
            return None
        self.refused.pop(word.node, None)
        number = self.ground.admissions + 1
        self.ground = msgspec.structs.replace(self.ground, admissions=number)
        floors, remains = _most(self.floors, word.floors), {}
        if word.admitted:
            remains = floors  # of runs before it that this store does not know of either
            self.gone_by[word.node] = now + self.closed_after
        return Slot(
            word.node,
            word.run,
            word.run_number,
            word.number + 1,
            self.mark,
            dict(word.holds),
            _most(word.holds, word.counted),
            remains,
            floors,
            False,
            number,
            word.zone,
        )

    def _succeed(self, slot: Slot, word: Word, now: float) -> Slot:
        """A later run on the same files: the one before it has ended, its connections may have not.

        A run uses its floor unasked only once those of the run before are closed, so what they may have open
        together is what they were charged, and no more with each run of many.
        """
        left = _sum(slot.remains, slot.ceilings)
        if not slot.closed or word.run_number != slot.run_number + 1:
            left = _most(left, slot.floors)  # of a run between them that was never heard, too
        if any(left.values()):
            self.gone_by[slot.node] = now + self.closed_after
        else:
            left = {}
        self.liars.discard(slot.node)
        after = msgspec.structs.replace(
            slot, run=word.run, run_number=word.run_number, remains=left, closed=False, zone=word.zone
        )
        # Nothing is left of before, whatever else this store does not know: the floor is this run's at once.
        floors = {} if left or self.raises(now) else dict(slot.floors)
        return self._renumber(after, floors, floors)

    # -- who is to have how many

    def _arrange(
        self,
        table: dict[str, Slot],
        limits: Mapping[str, int],
        now: float,
        leaving: frozenset[str],
        worst: Mapping[str, float],
    ) -> None:
        """Bring values nearer to need: first what is lowered, then what room there is to raise."""
        live = [
            node
            for node, slot in table.items()
            if self.live(node, now) and not slot.closed and self._same_run(slot)
        ]
        if not live:
            return
        goals: dict[str, Figures] = {node: {} for node in live}
        press = 0.0
        for store, most in limits.items():
            press = max(press, self._goals(goals, table, live, store, most, leaving, worst.get(store, 0.0)))
        calm = now - self.arranged < CALM
        moved = False
        for node in live:
            slot = table[node]
            if not self._steady(slot):
                continue  # one change at a time: the next is made once this one is known to be followed
            values = {
                store: min(goal, figure(slot.values, store))
                if self._worth_lowering(figure(slot.values, store), goal, press, calm)
                else figure(slot.values, store)
                for store, goal in goals[node].items()
            }
            if any(values[store] < figure(slot.values, store) for store in values):
                table[node] = self._renumber(slot, values, _most(slot.ceilings, values))
                moved = True
        moved |= self._raise(table, goals, live, limits, leaving, calm)
        if moved and not calm:
            self.arranged = now

    def _same_run(self, slot: Slot) -> bool:
        word = self.words.get(slot.node)
        return word is not None and word.run == slot.run

    def _steady(self, slot: Slot) -> bool:
        word = self.words[slot.node]
        return not slot.values or (word.number, word.mark) == (slot.number, slot.mark)

    @staticmethod
    def _worth_lowering(value: int, goal: int, press: float, calm: bool) -> bool:
        least = max(1 if press else 2, ceil(STEP * value))
        return goal < value and (press == OVER or ((press > 0.0 or not calm) and value - goal >= least))

    def _goals(
        self,
        goals: dict[str, Figures],
        table: dict[str, Slot],
        live: list[str],
        store: str,
        most: int,
        leaving: frozenset[str],
        worst: float,
    ) -> float:
        """What each that is heard is to have of one store. Returns how pressing it is: NEED where somebody
        waits for what others have, OVER where all have more than there is."""
        words = self.words
        away = sum(self.charge(slot, store) for node, slot in table.items() if node not in goals)
        remains = sum(figure(table[node].remains, store) for node in live)
        unknown = max(self.most_nodes - len(table), 0) * figure(self.floors, store)
        room = most - ceil(self.reserve * most) - away - remains - unknown
        floors = {node: figure(table[node].floors, store) for node in live}
        needs = {node: figure(words[node].need, store) for node in live}
        total = sum(needs.values())
        wants: Figures = {}
        for node in live:
            want = needs[node]
            if node not in leaving:
                part = needs[node] / total if total else 1.0 / len(live)
                want = max(ceil(want * HEADROOM), ceil(worst * part))
            wants[node] = max(want, floors[node])
        spare = room - sum(wants.values())
        if spare >= 0:
            takers = [node for node in live if node not in leaving]
            for node in live:
                goals[node][store] = wants[node] + (spare // len(takers) if node not in leaving else 0)
        else:
            above = room - sum(floors.values())
            asked = sum(wants.values()) - sum(floors.values())
            for node in live:
                over = wants[node] - floors[node]
                goals[node][store] = floors[node] + (max(above, 0) * over // asked if asked else 0)
        values = {node: figure(table[node].values, store) for node in live}
        starved = any(needs[node] > values[node] and goals[node][store] > values[node] for node in live)
        if sum(values.values()) > max(room, sum(floors.values())):
            return OVER
        return NEED if starved and sum(values.values()) >= room else 0.0

    def _raise(
        self,
        table: dict[str, Slot],
        goals: dict[str, Figures],
        live: list[str],
        limits: Mapping[str, int],
        leaving: frozenset[str],
        calm: bool,
    ) -> bool:
        free = {store: most - self.spent(table.values(), store) for store, most in limits.items()}
        moved = False

        def lack(node: str) -> int:
            return max(figure(self.words[node].need, s) - figure(table[node].values, s) for s in limits)

        for node in sorted(live, key=lambda node: (-lack(node), node)):
            slot = table[node]
            if not self._steady(slot) or (node in leaving and slot.values):
                continue
            values: Figures = {}
            for store, goal in goals[node].items():
                value, floor = figure(slot.values, store), figure(slot.floors, store)
                # The reserve is for those that return: up to their floor they may have it.
                top = self._room(slot, store, free[store], ceil(self.reserve * limits[store]))
                top = max(top, min(floor, self._room(slot, store, free[store], 0)))
                starved = figure(self.words[node].need, store) > value or value < floor
                worth = goal > value if starved else not calm and goal - value >= max(1, ceil(STEP * value))
                values[store] = max(value, min(goal, top)) if worth else value
            if values == {store: figure(slot.values, store) for store in values} and slot.values:
                continue
            after = self._renumber(slot, values, _most(slot.ceilings, values))
            for store in limits:
                free[store] -= self.charge(after, store) - self.charge(slot, store)
            table[node] = after
            moved = True
        return moved

    def _room(self, slot: Slot, store: str, free: int, kept: int) -> int:
        """The highest value that what is free lets it have, with some of that kept."""
        return self.charge(slot, store) - figure(slot.remains, store) + max(free - kept, 0)

    # -- what is told

    def tell(self, slot: Slot, word: Word, now: float) -> Grant | None:
        """The grant for an answer that goes now, its lease noted. To be called where no plan can come between
        the read of the slot and this. None: nothing is told, and what the node holds runs out."""
        if slot.run != word.run or slot.admission > self.witnessed or slot.closed or not slot.values:
            return None
        if slot.number < word.number or (slot.number == word.number and slot.mark != word.mark):
            return None  # the next plan takes its number over
        self.given[slot.node] = GrantedLease(now, self.lease, slot.number)
        return Grant(
            slot.number,
            slot.mark,
            slot.values,
            {store: min(floor, figure(slot.floors, store)) for store, floor in self.floors.items()},
            self.lease,
            not slot.remains,
        )


def _most(*each: Mapping[str, int]) -> Figures:
    """The larger of each figure; a server with none of its own counts by that of all servers."""
    stores = {store for figures in each for store in figures}
    return {store: max(figure(figures, store) for figures in each) for store in sorted(stores)}


def _sum(one: Mapping[str, int], other: Mapping[str, int]) -> Figures:
    stores = {*one, *other}
    return {store: figure(one, store) + figure(other, store) for store in sorted(stores)}
