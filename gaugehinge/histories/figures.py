"""What a play came to in figures: functions of its events that give back plain values. No I/O.

Operations count at the time at which they were begun, connections and attempts at the time of their event. A
`group` is made of an operation's traffic type and tenant: see `GROUPS`.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from .events import AnyEvent, Attempt, Connections, OpBegan, OpEnded

GROUPS: dict[str, Callable[[OpBegan], str]] = {
    "all": lambda began: "all",
    "traffic": lambda began: began.traffic,
    "tenant": lambda began: began.tenant,
    "traffic+tenant": lambda began: f"{began.traffic}+{began.tenant}",
    "router": lambda began: began.router,
}
PARTS = (0.5, 0.9, 0.99)  # of the steady service, which a recovery is measured by


@dataclass(slots=True, frozen=True)
class Window:
    """Operations of one group that were begun in `began <= time < ended`."""

    began: float
    ended: float
    group: str
    sent: int
    settled: int
    bounced: int
    forfeited: int
    lost: int  # or without any end on record

    @property
    def share(self) -> float:
        """Settled of those sent; 1.0 where none was sent."""
        return self.settled / self.sent if self.sent else 1.0


@dataclass(slots=True, frozen=True)
class Return:
    """How service came back after an event. Seconds from the event; infinite where it did not."""

    group: str
    steady: float  # operations settled a second before
    first: float  # to the first one settled that was also begun after the event
    to: dict[float, float]  # by part of the steady service: to when it was reached


@dataclass(slots=True, frozen=True)
class Peaks:
    """Of one window of time."""

    began: float
    ended: float
    connections: dict[str, int]  # the most that each store had, at the window's begin included
    attempts: dict[str, int]  # by server and origin
    cold: dict[str, int]  # attempts at servers that were cold, by server


@dataclass(slots=True, frozen=True)
class Took:
    """Seconds from begin to end of the operations of a group that settled."""

    group: str
    count: int
    p50: float
    p99: float
    p999: float
    most: float


def ends(events: Iterable[AnyEvent]) -> tuple[list[OpBegan], dict[str, OpEnded]]:
    """Operations in the order of their begin, and the first end of each, by ident."""
    began: list[OpBegan] = []
    ended: dict[str, OpEnded] = {}
    for event in events:
        if isinstance(event, OpBegan):
            began.append(event)
        elif isinstance(event, OpEnded):
            ended.setdefault(event.ident, event)
    began.sort(key=lambda each: each.at)
    return began, ended


def windows(
    events: Iterable[AnyEvent],
    width: float,
    by: str = "all",
    since: float = -math.inf,
    until: float = math.inf,
) -> list[Window]:
    """Operations in windows of `width` seconds from `since` on (or from the first one), group by group.

    Windows without an operation of a group are told too, between that group's first and last.
    """
    began, ended = ends(events)
    began = [each for each in began if since <= each.at < until]
    if not began:
        return []
    start = since if math.isfinite(since) else began[0].at
    told: dict[str, dict[int, list[int]]] = defaultdict(dict)
    place = {"settled": 1, "bounced": 2, "forfeited": 3}
    for each in began:
        number = int((each.at - start) / width)
        counts = told[GROUPS[by](each)].setdefault(number, [0, 0, 0, 0, 0])
        end = ended.get(each.ident)
        counts[0] += 1
        counts[place.get(end.outcome, 4) if end else 4] += 1
    return [
        Window(start + n * width, start + (n + 1) * width, group, *found.get(n, (0, 0, 0, 0, 0)))
        for group, found in sorted(told.items())
        for n in range(min(found), max(found) + 1)
    ]


def totals(
    events: Iterable[AnyEvent], by: str = "all", since: float = -math.inf, until: float = math.inf
) -> dict[str, Window]:
    """The whole time as one window, by group."""
    began, ended = ends(events)
    place = {"settled": 1, "bounced": 2, "forfeited": 3}
    told: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0, 0, 0])
    inside = [each for each in began if since <= each.at < until]
    for each in inside:
        counts = told[GROUPS[by](each)]
        end = ended.get(each.ident)
        counts[0] += 1
        counts[place.get(end.outcome, 4) if end else 4] += 1
    if not inside:
        return {}
    edges = inside[0].at, inside[-1].at
    return {group: Window(*edges, group, *counts) for group, counts in sorted(told.items())}


def returns(
    events: Iterable[AnyEvent],
    event_at: float,
    steady: tuple[float, float],
    by: str = "all",
    hold: float = 1.0,
    parts: Sequence[float] = PARTS,
) -> dict[str, Return]:
    """How each group's service came back after what happened at `event_at`.

    Service is operations settled a second, counted when their answers came. What it was in the time `steady`
    (from, to) is the measure; a part of it counts as reached at the first answer after `event_at` with which
    `hold` seconds begin that have that part of the steady service in all. The last `hold` seconds of a
    history can thus reach nothing: let a play go on for longer than that.
    """
    began, ended = ends(events)
    settled: dict[str, list[float]] = defaultdict(list)
    first: dict[str, float] = {}
    for each in began:
        end = ended.get(each.ident)
        group = GROUPS[by](each)
        settled[group]  # a group that settled nothing is told too
        if end is None or end.outcome != "settled":
            continue
        settled[group].append(end.at)
        if each.at >= event_at:
            first[group] = min(first.get(group, math.inf), end.at)
    told: dict[str, Return] = {}
    for group, times in sorted(settled.items()):
        times.sort()
        before = bisect_left(times, steady[1]) - bisect_left(times, steady[0])
        rate = before / (steady[1] - steady[0])
        to: dict[float, float] = {}
        for part in parts:
            wanted = part * rate * hold
            at = bisect_right(times, event_at)
            to[part] = math.inf
            if rate <= 0.0:
                continue
            while at < len(times):
                if bisect_left(times, times[at] + hold) - at >= wanted:
                    to[part] = times[at] - event_at
                    break
                at += 1
        told[group] = Return(group, rate, first.get(group, math.inf) - event_at, to)
    return told


def peaks(
    events: Iterable[AnyEvent], width: float, since: float = -math.inf, until: float = math.inf
) -> list[Peaks]:
    """Connections at limited stores and attempts at servers, window by window of `width` seconds."""
    told = [e for e in events if isinstance(e, Connections | Attempt)]
    told.sort(key=lambda event: event.at)
    standing: dict[str, int] = {}
    inside: list[Connections | Attempt] = []
    for event in told:
        if event.at < since:
            if isinstance(event, Connections):
                standing[event.store] = event.count
        elif event.at < until:
            inside.append(event)
    if not inside:
        return []
    start = since if math.isfinite(since) else inside[0].at
    found: list[Peaks] = []
    at = 0
    for number in range(int((inside[-1].at - start) / width) + 1):
        edge = start + (number + 1) * width
        window = Peaks(start + number * width, edge, dict(standing), defaultdict(int), defaultdict(int))
        while at < len(inside) and inside[at].at < edge:
            event = inside[at]
            at += 1
            if isinstance(event, Connections):
                standing[event.store] = event.count
                window.connections[event.store] = max(window.connections.get(event.store, 0), event.count)
                continue
            window.attempts[event.server] += 1
            if event.cold:
                window.cold[event.server] += 1
        found.append(
            Peaks(window.began, window.ended, window.connections, dict(window.attempts), dict(window.cold))
        )
    return found


def most_connections(events: Iterable[AnyEvent]) -> dict[str, int]:
    """The most that each store ever counted."""
    found: dict[str, int] = {}
    for event in events:
        if isinstance(event, Connections):
            found[event.store] = max(found.get(event.store, 0), event.count)
    return found


def took(
    events: Iterable[AnyEvent], by: str = "all", since: float = -math.inf, until: float = math.inf
) -> dict[str, Took]:
    """How long operations took that settled, by group."""
    began, ended = ends(events)
    times: dict[str, list[float]] = defaultdict(list)
    for each in began:
        end = ended.get(each.ident)
        if end is not None and end.outcome == "settled" and since <= each.at < until:
            times[GROUPS[by](each)].append(end.at - each.at)
    return {group: _took(group, sorted(found)) for group, found in sorted(times.items())}


def _took(group: str, times: list[float]) -> Took:
    def rank(part: float) -> float:
        return times[min(math.ceil(part * len(times)), len(times)) - 1]

    return Took(group, len(times), rank(0.5), rank(0.99), rank(0.999), times[-1])


def attempts_each(events: Iterable[AnyEvent]) -> float:
    """Attempts for each operation that was sent; 0.0 without operations."""
    sent = attempts = 0
    for event in events:
        sent += isinstance(event, OpBegan)
        attempts += isinstance(event, Attempt)
    return attempts / sent if sent else 0.0
