"""A history with its indexes, which all checks share. No I/O.

Each index is made when it is first asked for. Names at servers may have a tenant's own space before them
(`3f.id`, `3f.mark`): they are found with and without it.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from functools import cached_property
from typing import Any, TypeVar

from .events import (
    AnyEvent,
    Attempt,
    Change,
    Connections,
    Gone,
    Hushed,
    Link,
    ListAsked,
    ListChanged,
    ListTold,
    Note,
    OpBegan,
    OpEnded,
    Outage,
    Placed,
    Process,
    Stall,
)

GONE = ("killed", "told_to_end", "ended")
E = TypeVar("E")
KINDS = (
    OpBegan,
    OpEnded,
    Gone,
    Attempt,
    Connections,
    Link,
    Process,
    Change,
    Placed,
    Stall,
    Note,
    ListChanged,
    ListAsked,
    ListTold,
    Hushed,
    Outage,
)
PASSES = ("up", "hangs")  # states of a link in which what is open passes as ever


class Reading(list[AnyEvent]):
    """Events in the order of their times."""

    @classmethod
    def of(cls, history: Sequence[AnyEvent]) -> Reading:
        """The same, indexed; one that is indexed already is given back."""
        return history if isinstance(history, Reading) else cls(sorted(history, key=lambda event: event.at))

    @cached_property
    def _kinds(self) -> dict[type, list]:
        found: dict[type, list] = {kind: [] for kind in KINDS}
        for event in self:
            found[type(event)].append(event)
        return found

    @cached_property
    def memo(self) -> dict[tuple, Any]:
        """What checks found out once, for other checks of the same history."""
        return {}

    @property
    def attempts(self) -> list[Attempt]:
        """All attempts."""
        return self._kinds[Attempt]

    @property
    def connections(self) -> list[Connections]:
        """All counts of connections."""
        return self._kinds[Connections]

    @cached_property
    def processes(self) -> list[Process]:
        """All changes of processes. The end of a former process that is noted only once the next one has
        started is left out: it was told of before."""
        told: set[str] = set()  # whose present process was killed or told to end
        before: Counter[str] = Counter()  # ends of former ones that are still to be noted
        found = []
        for event in self._kinds[Process]:
            if event.state == "started":
                before[event.name] += event.name in told
                told.discard(event.name)
            elif event.state in ("killed", "told_to_end"):
                told.add(event.name)
            elif event.state == "ended":
                if before[event.name]:
                    before[event.name] -= 1
                    continue
                told.discard(event.name)
            found.append(event)
        return found

    @property
    def changes(self) -> list[Change]:
        """All calls of the keeper's API, begins and ends."""
        return self._kinds[Change]

    @property
    def placed(self) -> list[Placed]:
        """All that the keeper said of shards."""
        return self._kinds[Placed]

    @property
    def over(self) -> float:
        """The time of the last event."""
        return self[-1].at if self else 0.0

    @property
    def left(self) -> list[Gone]:
        """All closes of clients with something still unanswered."""
        return self._kinds[Gone]

    @cached_property
    def left_at(self) -> dict[str, float]:
        """When the client of an operation closed under it, by ident."""
        return {ident: event.at for event in self.left for ident in event.idents}

    def of_kind(self, kind: type[E]) -> list[E]:
        """All events of a kind, in order."""
        return self._kinds[kind]

    @cached_property
    def ops(self) -> dict[str, OpBegan]:
        """Operations by ident."""
        return {event.ident: event for event in self._kinds[OpBegan]}

    @cached_property
    def ends(self) -> dict[str, list[OpEnded]]:
        """All ends by ident, in order."""
        found: dict[str, list[OpEnded]] = defaultdict(list)
        for event in self._kinds[OpEnded]:
            found[event.ident].append(event)
        return dict(found)

    def op_of(self, ident: str) -> OpBegan | None:
        """The operation that a server's ident stands for."""
        found = self.ops.get(ident)
        return found if found is not None else self.ops.get(ident.partition(".")[2])

    @cached_property
    def attempts_of(self) -> dict[str, list[Attempt]]:
        """Attempts by the ident of their operation, those of no known operation by what came."""
        found: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            op = self.op_of(attempt.ident)
            found[op.ident if op else attempt.ident].append(attempt)
        return dict(found)

    def root(self, op: OpBegan) -> OpBegan:
        """The first try of what an operation repeats; itself where it repeats nothing known."""
        seen = {op.ident}
        while op.repeat_of and op.repeat_of not in seen and (before := self.ops.get(op.repeat_of)):
            seen.add(before.ident)
            op = before
        return op

    def write_of(self, op: OpBegan) -> tuple[str, str]:
        """What names a write with all its tries: the tenant, and the mark or the first try's ident."""
        if op.effect == "deduplicated" and op.mark:
            return op.tenant, "mark " + op.mark
        return op.tenant, "id " + self.root(op).ident

    @cached_property
    def effects(self) -> dict[tuple[str, str], list[Attempt]]:
        """Effects of each write that a client asked for, in order, by `write_of`."""
        found: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
        for attempt in self.attempts:
            if attempt.effect and (op := self.op_of(attempt.ident)) is not None:
                found[self.write_of(op)].append(attempt)
        return dict(found)

    # -- what was wrong meanwhile

    @cached_property
    def _lives(self) -> dict[str, tuple[list[float], list[Process]]]:
        found: dict[str, list[Process]] = defaultdict(list)
        for event in self.processes:
            found[event.name].append(event)
        return {name: ([event.at for event in events], events) for name, events in found.items()}

    def life(self, name: str, since: float, until: float) -> tuple[str, list[Process]]:
        """A process's state at `since` (empty: nothing on record before), and its changes behind it, up to
        `until` seconds. One that was told to end and stood still goes on leaving."""
        times, events = self._lives.get(name, ([], []))
        first, last = bisect_right(times, since), bisect_right(times, until)
        state, at = (events[first - 1].state if first else ""), first - 1
        while at >= 0 and events[at].state in ("stopped", "continued"):
            at -= 1
        if state == "continued" and at >= 0 and events[at].state == "told_to_end":
            state = "told_to_end"
        return state, events[first:last]

    def stood(self, name: str, since: float, until: float) -> bool:
        """Whether a process stood still (SIGSTOP) in any part of that time."""
        state, changes = self.life(name, since, until)
        return state == "stopped" or any(event.state in ("stopped", "continued") for event in changes)

    def stalled(self, since: float, until: float) -> float:
        """Seconds of that time in which the machine was too busy for the play itself."""
        return sum(
            max(min(event.at, until) - max(event.at - event.lasted, since), 0.0)
            for event in self._kinds[Stall]
        )

    @cached_property
    def _faults(self) -> dict[tuple[str, str], list[tuple[float, float]]]:
        """Times in which a link was anything but up, by its parties as they were named. One on which new
        connections hang counts as up: what a router sends once they are there it sends then."""
        found: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
        began: dict[tuple[str, str], float] = {}
        for event in self._kinds[Link]:
            pair = min(event.one, event.other), max(event.one, event.other)
            if event.state not in PASSES:
                began.setdefault(pair, event.at)
            elif pair in began:
                found[pair].append((began.pop(pair), event.at))
        for pair, at in began.items():
            found[pair].append((at, math.inf))
        return dict(found)

    @cached_property
    def _faults_by(self) -> dict[tuple[str, str], list[tuple[float, float]]]:
        return {}

    def faulty(self, one: str, other: str, since: float, until: float) -> bool:
        """Whether the link between two parties was anything but up in any part of that time. A link that is
        named `clients` is that of each client."""
        if not self._faults:
            return False
        pair = min(one, other), max(one, other)
        times = self._faults_by.get(pair)
        if times is None:
            times = self._faults_by[pair] = [
                time
                for (first, second), found in self._faults.items()
                if (_is(one, first) and _is(other, second)) or (_is(one, second) and _is(other, first))
                for time in found
            ]
        return any(began <= until and ended >= since for began, ended in times)


class Spans:
    """Times from one moment to another, to ask whether one of them touches a third."""

    def __init__(self, times: Iterable[tuple[float, float]]) -> None:
        self.begins: list[float] = []
        self.last: list[float] = []  # the latest end of those up to here
        for began, ended in sorted(times):
            self.begins.append(began)
            self.last.append(max(ended, self.last[-1]) if self.last else ended)

    def any(self, since: float, until: float) -> bool:
        """Whether one of them has a part in that time."""
        at = bisect_right(self.begins, until)
        return at > 0 and self.last[at - 1] >= since


def between(times: Sequence[float], since: float, until: float) -> bool:
    """Whether any of the sorted times lies within."""
    at = bisect_left(times, since)
    return at < len(times) and times[at] <= until


def _is(party: str, named: str) -> bool:
    """Whether a link's end is that party: by its name, or by its kind (`clients` for `client-3`)."""
    return party == named or (named.endswith("s") and party.startswith(named[:-1] + "-"))
