"""The operators' one clock for the list of servers: from when on a router counts as told. No I/O.

A router is held to what discovery has written to it, whether or not it read that, and beyond that to what it
could have known: by the clock of a watch that fell silent, by the time for asking where it has no watch, and
with pushed lists by what its agent has. What a router really knows plays no part.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from .breaks import Bounds, Break
from .events import AnyEvent, Attempt, Hushed, ListAsked, ListChanged, ListTold, OpBegan, Outage
from .reading import Reading

FAILED_MULTIPLE = 4.0  # times the time for asking, from a call that failed


@dataclass(slots=True)
class Call:
    """One call for the list."""

    asked: ListAsked
    over: float = math.inf  # when it was answered, or ended
    rev: int = 0
    status: int = -1  # 200: answered; -1: it stands open
    hushed: float = math.inf  # when its connection fell silent


@dataclass(slots=True)
class Watch:
    """Calls that follow on one another."""

    calls: list[Call]
    hushed: float = math.inf  # when it fell silent
    hushed_call: Call | None = None  # that stood open then

    def over(self, bounds: Bounds) -> float:
        """When it had ended, silent ones apart."""
        last = self.calls[-1]
        return last.over + (bounds.watch_gap if last.status == 200 else 0.0)


class Told:
    """What discovery had to do with one life of one router."""

    def __init__(self, reading: Reading, bounds: Bounds, router: str, began: float, until: float) -> None:
        self.bounds, self.began = bounds, began
        self.outages = [event for event in reading.of_kind(Outage) if event.at < until]
        self.moves = [
            event.at
            for event in reading.processes
            if event.name == router and event.state == "told_anew" and began <= event.at < until
        ]
        self.watches = self._watches(reading, router, began, until)
        self.answers = [
            (call.over, call.rev) for watch in self.watches for call in watch.calls if call.status == 200
        ]

    def _watches(self, reading: Reading, router: str, began: float, until: float) -> list[Watch]:
        found: list[Watch] = []
        calls: dict[int, Call] = {}
        for event in _of(reading, router):
            if not began <= event.at < until:
                continue
            if isinstance(event, ListAsked):
                call = calls[event.call] = Call(event)
                last = found[-1] if found else None
                goes_on = last is not None and last.hushed == math.inf and last.calls[-1].status == 200
                if goes_on and event.at <= last.over(self.bounds):
                    last.calls.append(call)
                else:
                    found.append(Watch([call]))
            elif isinstance(event, ListTold):
                if (call := calls.get(event.call)) is not None:
                    call.over, call.rev, call.status = event.at, event.rev, event.status
            elif found and found[-1].hushed == math.inf and event.at <= found[-1].over(self.bounds):
                found[-1].hushed = event.at
                found[-1].hushed_call = calls.get(event.call)
        return found

    def at(self, changed: float, rev: int) -> float:
        """From when on the router counts as told of a change that the list has since `changed`, as version
        `rev`; infinite: it does not."""
        since = max(changed, self.began)
        times = [over for over, told in self.answers if told >= rev and over >= changed]
        times += self._by_silence(since, rev)
        times += [self._pushed(since, rev)] if self.bounds.pushed else self._by_asking(since)
        return min(times, default=math.inf)

    def _next(self, number: int) -> float:
        """When the watch after that one began."""
        return self.watches[number + 1].calls[0].asked.at if number + 1 < len(self.watches) else math.inf

    def _by_silence(self, since: float, rev: int) -> Iterator[float]:
        """What a watch that fell silent missed."""
        for number, watch in enumerate(self.watches):
            if watch.hushed == math.inf or since >= self._next(number):
                continue
            if any(call.status == 200 and call.rev >= rev for call in watch.calls):
                continue  # it was told before
            due = watch.hushed + self.bounds.silence
            if (call := watch.hushed_call) is not None:
                due = max(due, call.asked.at + call.asked.wait + self.bounds.behind_wait)
            yield max(due, since)

    def _by_asking(self, since: float) -> Iterator[float]:
        """With no watch: the time for asking, from the last call."""
        ask = self.bounds.ask
        gaps = [(self.began, False, self.watches[0].calls[0].asked.at if self.watches else math.inf)]
        for number, watch in enumerate(self.watches):
            if watch.hushed == math.inf and watch.calls[-1].status >= 0:
                failed = watch.calls[-1].status != 200
                gaps.append((watch.over(self.bounds), failed, self._next(number)))
        for began, failed, until in gaps:
            hold = ask * (FAILED_MULTIPLE if failed else 1.0)
            limit = began + hold
            for outage in self.outages:
                if outage.at <= limit:
                    limit = max(limit, outage.until + hold)
            due = max(limit, since + ask)
            if due < until:
                yield due

    def _pushed(self, since: float, rev: int) -> float:
        """What the agent has: at once, but for what it does not learn while discovery is down, what a silent
        watch misses, and what is told elsewhere since SIGHUP."""
        due = since
        for outage in self.outages:
            if outage.at <= due < outage.until:
                due = outage.until
        for moved in self.moves:
            if due < moved + self.bounds.moved_after and moved <= due:
                due = moved + self.bounds.moved_after
        for number, watch in enumerate(self.watches):
            if watch.hushed <= due < self._next(number):
                return min(self._by_silence(since, rev), default=math.inf)
        return due


def _of(reading: Reading, router: str) -> list[ListAsked | ListTold | Hushed]:
    """All that discovery had to do with a router, in order."""
    by = reading.memo.get(("lists",))
    if by is None:
        by = reading.memo["lists",] = defaultdict(list)
        for event in reading:
            if isinstance(event, ListAsked | ListTold | Hushed):
                by[event.router].append(event)
    return by.get(router, [])


def _ready_again(changes: Sequence[ListChanged], attempt: Attempt) -> ListChanged | None:
    """The change since which the list has said that a server takes nothing new; None: it has not."""
    at = bisect_right(changes, attempt.at, key=lambda event: event.at) - 1
    if at < 0 or changes[at].state == "ready":
        return None
    while at > 0 and changes[at - 1].state != "ready":
        at -= 1
    return changes[at]


def judged(reading: Reading) -> Iterator[tuple[Attempt, OpBegan, ListChanged]]:
    """Attempts at servers that the list had said take nothing new, with that change."""
    changes: dict[str, list[ListChanged]] = defaultdict(list)
    for event in reading.of_kind(ListChanged):
        changes[event.server].append(event)
    if not changes:
        return
    for attempt in reading.attempts:
        change = _ready_again(changes.get(attempt.server, ()), attempt)
        op = reading.op_of(attempt.ident) if change is not None else None
        if op is not None and op.router:
            yield attempt, op, change


def clock(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """No new attempt at a server longer than `Bounds.drain` after its router counts as told, by the
    operators' clock, that it drains or is gone.

    Not judged where the router's link to server or discovery was faulty, or one of them stood still, from the
    change to the attempt: what a router sent before may come late, and no discovery is there behind such a
    link.
    """
    reading, found = Reading.of(history), []
    lives = _lives(reading)
    known: dict[tuple[str, float], Told] = {}
    for attempt, op, change in judged(reading):
        starts = lives.get(op.router, ())
        at = bisect_right(starts, attempt.at) - 1
        if at < 0:
            continue
        began = starts[at]
        until = starts[at + 1] if at + 1 < len(starts) else math.inf
        told = known.get((op.router, began))
        if told is None:
            told = known[op.router, began] = Told(reading, bounds, op.router, began, until)
        due = told.at(change.at, change.rev)
        late = attempt.at - due
        if late <= bounds.drain or late <= bounds.drain + reading.stalled(due, attempt.at):
            continue
        since = min(change.at, due)
        others = (attempt.server, "discovery")
        if any(reading.faulty(op.router, other, since, attempt.at) for other in others):
            continue
        if reading.stood(op.router, due, attempt.at) or reading.stood(attempt.server, due, attempt.at):
            continue
        why = f"a new leg {attempt.at - due:.3f} s after {op.router} counts as told that {attempt.server} is "
        why += f"{change.state}, and {attempt.at - change.at:.3f} s after the list had it"
        shown = _shown(reading, op.router, change.at, attempt.at)
        lines = tuple(sorted([change, op, attempt, *shown], key=lambda e: e.at))
        parties = (attempt.server, op.router)
        found.append(Break("clock", attempt.ident, parties, due, attempt.at, why, lines))
    return found


def _lives(reading: Reading) -> dict[str, list[float]]:
    """When each process was started."""
    found: dict[str, list[float]] = defaultdict(list)
    for event in reading.processes:
        if event.state == "started":
            found[event.name].append(event.at)
    return found


def _shown(reading: Reading, router: str, since: float, until: float) -> list[AnyEvent]:
    """What a person wants to see: silences and outages, and the router's last calls before the attempt."""
    own = [event for event in _of(reading, router) if event.at <= until]
    faults: list[AnyEvent] = [event for event in own if isinstance(event, Hushed)]
    faults += [event for event in reading.of_kind(Outage) if event.at <= until]
    calls = [event for event in own if not isinstance(event, Hushed)]
    return [*(event for event in faults if event.at >= since - 10.0), *calls[-4:]]
