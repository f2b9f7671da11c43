"""Checks of the keeper's API: what it acknowledged is there, and each thing that it keeps is a register.

No I/O. A *thing* is what one path names; calls at it are its register's. Two checks:

`acknowledged` reads in one pass: a later read never shows an older revision than one that was acknowledged or
read before, nor other figures at the same revision, nor nothing where nobody removed it, nor something that
was removed and not made again.

`registers` searches for one order of a register's calls that explains every answer and that keeps to real
time (Wing and Gong's search with Lowe's memory of configurations that failed). Changes of unknown result
(status 0, 5xx, or no end on record) may or may not have been made, at any time after they began. The search
looks at `Bounds.search` configurations at most; beyond that the register is undecided, which is no break.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

import msgspec

from .breaks import Bounds, Break
from .events import AnyEvent, Change
from .reading import Reading, Spans

VERBS = ("activate", "suspend", "drain", "restore", "pause", "resume", "cancel", "stop", "move", "go-on")
KEEPER = "keeper"
SAME_STORE = ("", "same", "unwritable")  # files with which a keeper that starts anew knows all that it knew
FEW = 200  # calls of a broken register up to which those that are not needed for the break are left out

Content = tuple[tuple[str, str], ...]  # figures that clients set, by name, as JSON


@dataclass(slots=True, frozen=True)
class Call:
    """A call of the API with both ends."""

    ident: str
    party: str
    method: str
    path: str  # without its query
    body: str
    if_match: int  # 0: none
    key: str
    began: float
    ended: float  # infinite: nobody saw an end
    status: int  # 0: nobody knows whether it was made
    answer: str
    revision: int  # 0: not told
    lines: tuple[Change, ...]

    @property
    def made(self) -> bool:
        """Certainly done."""
        return 200 <= self.status < 300

    @property
    def maybe(self) -> bool:
        """Nobody knows."""
        return self.status == 0 or self.status >= 500


def calls_of(reading: Reading) -> list[Call]:
    """All calls in the order of their begins."""
    begins: dict[str, Change] = {}
    ends: dict[str, Change] = {}
    for event in reading.changes:
        (begins if event.status < 0 else ends).setdefault(event.ident, event)
    found = []
    for ident in dict.fromkeys([*begins, *ends]):
        began, ended = begins.get(ident), ends.get(ident)
        told = began or ended
        tag = told.if_match.strip().removeprefix("W/").strip('"')
        found.append(
            Call(
                ident,
                told.party,
                told.method.upper(),
                told.path.partition("?")[0].rstrip("/"),
                told.body,
                int(tag) if tag.isascii() and tag.isdigit() else 0,
                told.key,
                began.at if began else -math.inf,
                ended.at if ended else math.inf,
                ended.status if ended else 0,
                ended.answer if ended else "",
                ended.revision if ended else 0,
                tuple(line for line in (began, ended) if line is not None),
            )
        )
    return sorted(found, key=lambda call: call.began)


def fields(text: str) -> dict[str, Any]:
    """The figures of a JSON object; none of anything else."""
    try:
        found = msgspec.json.decode(text) if text else None
    except msgspec.DecodeError:
        return {}
    return found if isinstance(found, dict) else {}


def thing_of(call: Call) -> str:
    """The path of what a call is about; empty: nothing that can be read by a path of its own."""
    head, _, last = call.path.rpartition("/")
    if call.method == "POST":
        if last in VERBS:
            return head
        name = fields(call.body).get("name") or fields(call.answer).get("name")
        return f"{call.path}/{name}" if isinstance(name, str) else ""
    return call.path


def segments(reading: Reading) -> list[float]:
    """Times from which the keeper's store may be another one: it was started on other files than its last."""
    return [
        event.at
        for event in reading.processes
        if event.name == KEEPER and event.state == "started" and event.files not in SAME_STORE
    ]


class Act(Enum):
    """What a call says of its register, or does to it."""

    READ = "read"
    ABSENT = "absent"  # it found nothing
    WRITE = "write"
    REMOVE = "remove"
    REFUSED = "refused"  # for its revision (412)


@dataclass(slots=True, frozen=True)
class Step:
    """One call at one register."""

    act: Act
    call: Call
    began: float
    ended: float  # of one that is not needed: after it, it can no longer be made; infinite where nobody knows
    needed: bool  # False: it may or may not have been made
    revision: int = 0  # 0: not told
    if_match: int = 0
    creates: bool = False  # it can be made where there is nothing
    aside: bool = False  # a change of something below: raises the revision at most
    content: Content | None = None  # None: not told

    @property
    def only_new(self) -> bool:
        """Whether it is only made where there is nothing."""
        return self.creates and self.call.method == "POST"

    @property
    def kind(self) -> tuple:
        """What makes two calls of unknown result alike for a register, once both have begun."""
        return self.act, self.if_match, self.creates, self.only_new, self.aside


@dataclass(slots=True)
class Register:
    """All calls at one thing, in a time in which the keeper's store was one."""

    thing: str
    moved: bool  # the keeper changes it by itself
    steps: list[Step] = field(default_factory=list)

    @property
    def told(self) -> frozenset[int]:
        """Revisions that are known to be a caller's change."""
        return frozenset(s.revision for s in self.steps if s.act is Act.WRITE and s.needed and s.revision)


def _content(answer: dict[str, Any], names: frozenset[str]) -> Content:
    return tuple(
        (name, msgspec.json.encode(_plain(answer[name]), order="sorted").decode())
        for name in sorted(names & answer.keys())
    )


def _plain(value: Any) -> Any:
    """Whole numbers alike, however they were written."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, list):
        return [_plain(each) for each in value]
    return {name: _plain(each) for name, each in value.items()} if isinstance(value, dict) else value


def registers_of(reading: Reading, bounds: Bounds) -> list[Register]:
    """Calls by register. What a call does to other things than its own is there as something that may have
    been done: a change below a thing may raise its revision, a thing's removal may take what is below."""
    held = reading.memo.get(("registers", bounds.moved))
    if held is None:
        held = reading.memo["registers", bounds.moved] = _registers_of(reading, bounds)
    return held


def _registers_of(reading: Reading, bounds: Bounds) -> list[Register]:
    edges = [-math.inf, *segments(reading), math.inf]
    calls = calls_of(reading)
    things = _Things(calls)
    held: dict[tuple[str, int], Register] = {}
    unknown: dict[tuple, Call] = {}  # changes of unknown result, by what makes a later one the same
    known: dict[tuple, Call] = {}  # changes that were answered
    for call in calls:
        began, place = call.began, _place(edges, call)
        if call.method != "GET" and (call.made or call.maybe):
            alike = place, call.method, call.path, call.body, call.if_match, call.key
            if call.maybe:
                unknown.setdefault(alike, call)
            elif alike in known and (call.key or call.revision == known[alike].revision != 0):
                continue  # the first one's answer, told again
            else:
                known[alike] = call
                # A repeat's answer may tell of the change that the first try made.
                began = unknown[alike].began if alike in unknown else began
        for thing, step in things.steps(call, began):
            parts = [place] if place >= 0 else _places(edges, call) if step.act in DOES else []
            for part in parts:
                register = held.get((thing, part))
                if register is None:
                    moved = any(each in thing + "/" for each in bounds.moved)
                    register = held[thing, part] = Register(thing, moved)
                register.steps.append(step if place >= 0 else _perhaps(step))
    return [register for register in held.values() if any(step.needed for step in register.steps)]


DOES = (Act.WRITE, Act.REMOVE)


def _place(edges: list[float], call: Call) -> int:
    """The one store that a call was at; -1: it may have been either."""
    first = bisect_right(edges, call.began) - 1
    return first if call.maybe or call.ended <= edges[first + 1] else -1


def _places(edges: list[float], call: Call) -> list[int]:
    return list(range(bisect_right(edges, call.began) - 1, bisect_left(edges, call.ended)))


def _perhaps(step: Step) -> Step:
    return replace(step, ended=math.inf, needed=False, revision=0, content=None)


class _Things:
    """All things that calls are about, those below them, and which of their figures clients set."""

    def __init__(self, calls: list[Call]) -> None:
        self.names: dict[str, set[str]] = defaultdict(set)
        found: set[str] = set()
        for call in calls:
            thing = thing_of(call)
            if not thing:
                continue
            if call.method != "GET" or call.revision:
                found.add(thing)
            if call.method != "GET":
                self.names[thing] |= fields(call.body).keys()
        self.all = found
        self.below: dict[str, list[str]] = defaultdict(list)
        for thing in sorted(found):
            for above in self.above(thing):
                self.below[above].append(thing)

    def above(self, path: str) -> list[str]:
        """Things that a path stands below."""
        parts = path.split("/")
        return [each for size in range(1, len(parts)) if (each := "/".join(parts[:size])) in self.all]

    def steps(self, call: Call, began: float) -> Iterator[tuple[str, Step]]:
        """What a call says of its own thing, and what it may have done to those above and below."""
        thing = thing_of(call)
        until = call.ended if call.made else math.inf
        if thing in self.all and (step := self._own(call, thing, began, until)) is not None:
            yield thing, step
        if call.method == "GET" or not (call.made or call.maybe):
            return
        for other in self.above(call.path):
            if other != thing:
                yield other, Step(Act.WRITE, call, began, until, False, aside=True)
        if call.method == "DELETE":
            for other in self.below.get(thing, ()):
                yield other, Step(Act.REMOVE, call, began, until, False)

    def _own(self, call: Call, thing: str, began: float, until: float) -> Step | None:
        answer = _content(fields(call.answer), frozenset(self.names[thing])) if call.made else None
        if call.method == "GET":
            if call.made:
                return Step(Act.READ, call, began, call.ended, True, call.revision, content=answer)
            return Step(Act.ABSENT, call, began, call.ended, True) if call.status == 404 else None
        if call.status == 404 and call.method in ("PATCH", "DELETE"):
            return Step(Act.ABSENT, call, began, call.ended, True)
        if call.status == 412 and call.if_match:
            return Step(Act.REFUSED, call, began, call.ended, True, call.revision, call.if_match)
        if not (call.made or call.maybe):
            return None
        if call.method == "DELETE":
            return Step(Act.REMOVE, call, began, until, call.made, if_match=call.if_match)
        creates = call.method == "PUT" or (call.method == "POST" and thing != call.path.rpartition("/")[0])
        revision = call.revision if call.made else 0
        return Step(
            Act.WRITE, call, began, until, call.made, revision, call.if_match, creates, content=answer or None
        )


# -- in one pass


def acknowledged(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """What the keeper acknowledged is there afterwards."""
    reading, found = Reading.of(history), []
    for register in registers_of(reading, bounds):
        found += _acknowledged(register)
    return found


def _acknowledged(register: Register) -> Iterator[Break]:
    steps = register.steps
    reads = sorted((s for s in steps if s.act in (Act.READ, Act.ABSENT)), key=lambda s: s.began)
    sure = sorted(
        (s for s in steps if s.needed and s.act in (Act.READ, Act.WRITE, Act.REMOVE)), key=lambda s: s.ended
    )
    makers = Spans((s.began, s.ended) for s in steps if s.act is Act.WRITE and s.creates)
    removes = Spans((s.began, s.ended) for s in steps if s.act is Act.REMOVE)
    highest: Step | None = None  # by revision, of those acknowledged or read before
    there: Step | None = None  # the change that began last, of those acknowledged before
    gone: Step | None = None  # the removal that began last, of those acknowledged before
    at = 0
    known: dict[int, Step] = {s.revision: s for s in steps if s.act is Act.WRITE and s.needed and s.revision}
    for read in reads:
        while at < len(sure) and sure[at].ended < read.began:
            step = sure[at]
            at += 1
            if step.revision and (highest is None or step.revision > highest.revision):
                highest = step
            if step.act is Act.WRITE and (there is None or step.call.began > there.call.began):
                there = step
            if step.act is Act.REMOVE and (gone is None or step.call.began > gone.call.began):
                gone = step
        if read.act is Act.ABSENT:
            if there is not None and not removes.any(there.call.began, read.ended):
                why = f"acknowledged at revision {there.revision}, not there {_later(there, read)}, and "
                why += "nobody removed it"
                yield _broken(register, "acknowledged", why, [there, read])
            continue
        if gone is not None and not register.moved and not makers.any(gone.call.began, read.ended):
            why = f"removed, there {_later(gone, read)} at revision {read.revision}, and nobody made it again"
            yield _broken(register, "acknowledged", why, [gone, read])
        elif highest is not None and 0 < read.revision < highest.revision:
            what = "read" if highest.act is Act.READ else "acknowledged"
            why = f"revision {highest.revision} was {what}, {_later(highest, read)} it is {read.revision}"
            yield _broken(register, "acknowledged", why, [highest, read])
        elif (write := known.get(read.revision)) is not None and not _alike(write.content, read.content):
            why = f"at revision {read.revision} {_differs(write.content, read.content)}"
            yield _broken(register, "acknowledged", why, [write, read])


def _later(one: Step, other: Step) -> str:
    return f"{other.call.ended - one.call.ended:.3f} s later"


def _alike(one: Content | None, other: Content | None) -> bool:
    told = dict(one or ())
    return all(told.get(name, value) == value for name, value in other or ())


def _differs(one: Content, other: Content) -> str:
    told = dict(one)
    name, value = next((name, value) for name, value in other if told.get(name, value) != value)
    return f"{name} was acknowledged as {told[name]} and is read as {value}"


def _broken(register: Register, rule: str, why: str, steps: Iterable[Step]) -> Break:
    lines = sorted((line for step in steps for line in step.call.lines), key=lambda line: line.at)
    parties = dict.fromkeys([KEEPER, *(line.party for line in lines)])
    return Break(rule, register.thing, tuple(parties), lines[0].at, lines[-1].at, why, tuple(lines))


# -- by search


class Kind(Enum):
    """What is known of a register."""

    ANY = 0  # nothing
    ABSENT = 1
    AT = 2  # there, at a known revision
    OVER = 3  # there, at an unknown revision above the known one
    LEAVING = 4  # removed, but still to be seen until the keeper is done with it


State = tuple[Kind, int, Content | None]  # None: the figures are not known
START: State = (Kind.ANY, 0, None)


def _nexts(state: State, step: Step, register: Register, told: frozenset[int]) -> list[State]:
    """What a register may be after one call; nothing where the call's answer cannot be explained."""
    if step.act is Act.READ:
        return _read(state, step, register, told)
    if step.act is Act.ABSENT:
        kind, low, _ = state
        return [(Kind.ABSENT, low, None)] if kind in (Kind.ANY, Kind.ABSENT, Kind.LEAVING) else []
    if step.act is Act.REFUSED:
        return _refused(state, step, register, told)
    kind, low, content = state
    if step.if_match:
        if not _may_be(state, step.if_match, register, told):
            return []
        low = max(low, step.if_match)
    if step.act is Act.REMOVE:
        gone: list[State] = [(Kind.ABSENT, low, None)]
        if register.moved and kind is not Kind.ABSENT:
            gone.append((Kind.LEAVING, low, None))
        return gone
    return _write(state, step, low)


def _write(state: State, step: Step, low: int) -> list[State]:
    kind, at, content = state
    if step.aside:
        return [(Kind.OVER, low, content)] if kind in (Kind.AT, Kind.OVER) else []
    if kind is Kind.ABSENT and not step.creates:
        return []
    if step.only_new and kind in (Kind.AT, Kind.OVER):
        return []
    if not step.revision:
        return [(Kind.OVER, low, step.content)]
    if step.revision == at and kind is Kind.AT and _alike(content, step.content):
        return [state]  # nothing was to be changed
    return [(Kind.AT, step.revision, step.content)] if step.revision > low else []


def _may_be(state: State, revision: int, register: Register, told: frozenset[int]) -> bool:
    """Whether a register in this state may be at that revision, by itself."""
    kind, low, _ = state
    if kind is Kind.ABSENT:
        return False
    if kind is Kind.AT:
        return low == revision or (register.moved and revision > low and revision not in told)
    return revision > low and revision not in told


def _read(state: State, step: Step, register: Register, told: frozenset[int]) -> list[State]:
    kind, low, content = state
    if kind is Kind.ABSENT:
        return []
    if not step.revision:
        return [state] if kind is not Kind.ANY else [(Kind.OVER, 0, None)]
    if kind is Kind.AT and step.revision == low:
        if not _alike(content, step.content):
            return []
        return [state] if content else [(Kind.AT, low, step.content)]
    if not _may_be(state, step.revision, register, told):
        return []
    if kind is Kind.LEAVING:
        return [(Kind.LEAVING, step.revision - 1, None)]
    if kind is Kind.OVER and not register.moved and not _alike(content, step.content):
        return []
    return [(Kind.AT, step.revision, step.content)]


def _refused(state: State, step: Step, register: Register, told: frozenset[int]) -> list[State]:
    kind, low, _ = state
    if kind is Kind.AT and low == step.if_match:
        return [(Kind.OVER, low, None)] if register.moved else []
    if kind is Kind.AT and step.revision and not _may_be(state, step.revision, register, told):
        return []
    return [state]


@dataclass(slots=True, frozen=True)
class Found:
    """What the search of one register came to."""

    decided: bool
    good: bool
    looked_at: int  # configurations
    best: int = 0  # calls that the longest order explains
    stuck: tuple[Step, ...] = ()  # that could come next and cannot be explained
    last: tuple[Step, ...] = ()  # that came last before those


def search(register: Register, most: int) -> Found:
    """One order of the calls that explains every answer, if there is one among `most` configurations."""
    told = register.told
    needed = sorted((s for s in register.steps if s.needed), key=lambda s: (s.began, s.ended))
    maybe = sorted((s for s in register.steps if not s.needed), key=lambda s: s.began)
    # A configuration: all needed ones before `low` are placed, and those of `mask` behind it; of the others
    # those of `made`. Failed ones are remembered, so that each is looked at once.
    path: list[Step] = []
    best: list[Step] = []
    placed = 0  # needed ones in `best`
    seen: set[tuple[int, int, int, State]] = set()
    stack: list[tuple[int, int, int, State, Iterator]] = []

    def ready(low: int, mask: int, made: int, state: State) -> list[tuple[int, int, int, State, Step]]:
        """What can come next. A call that only looks and is explained comes at once, alone."""
        horizon = math.inf
        open_: list[tuple[int, Step]] = []
        for at in range(low, len(needed)):
            step = needed[at]
            if step.began > horizon:
                break
            if not mask >> (at - low) & 1:
                open_.append((at, step))
                horizon = min(horizon, step.ended)
        found = []
        for at, step in open_:
            if step.began > horizon:
                continue
            low_after, mask_after = low, mask | 1 << (at - low)
            while mask_after & 1:
                low_after, mask_after = low_after + 1, mask_after >> 1
            for after in _nexts(state, step, register, told):
                if after == state:
                    return [(low_after, mask_after, made, state, step)]
                found.append((low_after, mask_after, made, after, step))
        last = low + mask.bit_length() - 1  # of those placed the one that began last
        newest = needed[last].began if last >= 0 else -math.inf
        kinds = set()
        for at, step in enumerate(maybe):
            if step.began > horizon:
                break
            if made >> at & 1 or step.ended < newest:
                continue
            if step.ended == math.inf:
                if step.kind in kinds:
                    continue  # the earlier one of its kind does as well
                kinds.add(step.kind)
            for after in _nexts(state, step, register, told):
                if after != state:
                    found.append((low, mask, made | 1 << at, after, step))
        return found

    start = (0, 0, 0, START)
    seen.add(start)
    stack.append((*start, iter(ready(*start))))
    while stack:
        low, mask, made, state, nexts = stack[-1]
        if low == len(needed):
            return Found(True, True, len(seen), len(needed))
        follow = next(nexts, None)
        if follow is None:
            stack.pop()
            if path:
                path.pop()
            continue
        *key, step = follow
        config = tuple(key)
        if config in seen:
            continue
        if len(seen) >= most:
            return Found(False, False, len(seen))
        seen.add(config)
        path.append(step)
        stack.append((*config, iter(ready(*config))))
        if low + mask.bit_count() + step.needed > placed:
            placed, best = low + mask.bit_count() + step.needed, list(path)
    known = {id(step) for step in best}
    rest = [s for s in needed if id(s) not in known]
    edge = min((s.ended for s in rest), default=math.inf)
    stuck = [s for s in rest if s.began <= edge]
    return Found(True, False, len(seen), placed, tuple(stuck), tuple(best[-2:]))


def _least(register: Register, most: int) -> Register:
    """The same break with as few calls that only look as will do, within as many configurations again."""
    steps, left = list(register.steps), most
    for step in register.steps:
        if step.act in DOES:
            continue
        if left <= 0:
            break
        without = Register(register.thing, register.moved, [s for s in steps if s is not step])
        found = search(without, left)
        left -= found.looked_at
        if found.decided and not found.good:
            steps = without.steps
    return Register(register.thing, register.moved, steps)


def _searched(reading: Reading, bounds: Bounds) -> list[tuple[Register, Found]]:
    """Each register with what its search came to; searched once for a history."""
    name = "searched", bounds.moved, bounds.search
    found = reading.memo.get(name)
    if found is None:
        found = reading.memo[name] = [
            (register, search(register, bounds.search)) for register in registers_of(reading, bounds)
        ]
    return found


def registers(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """Each answer of the API is explained by one order of the changes."""
    reading, found = Reading.of(history), []
    for register, result in _searched(reading, bounds):
        if not result.decided or result.good:
            continue
        if len(register.steps) <= FEW:
            least = _least(register, bounds.search)
            result = search(least, bounds.search)
        why = f"no order of its calls explains {_names(result.stuck)}"
        if result.last:
            why += f" after {_names(result.last)}"
        found.append(_broken(register, "registers", why, [*result.last, *result.stuck]))
    return found


def _names(steps: Iterable[Step]) -> str:
    told = []
    for step in steps:
        word = f"{step.call.method} -> {step.call.status or 'unknown'}"
        if step.revision:
            word += f" at revision {step.revision}"
        if step.if_match:
            word += f" for {step.if_match}"
        told.append(word)
    return "; ".join(told[:4]) + (f" and {len(told) - 4} more" if len(told) > 4 else "")


def undecided(history: Sequence[AnyEvent], bounds: Bounds) -> list[str]:
    """Registers that the search could not decide within its bound, one line each. They are no breaks."""
    return [
        f"register {register.thing}: undecided after {result.looked_at} configurations of "
        f"{len(register.steps)} calls"
        for register, result in _searched(Reading.of(history), bounds)
        if not result.decided
    ]
