"""Checks of servers, the origin, shards and processes: drains, pinned shards, connections, ends. No I/O."""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence

from .breaks import Bounds, Break
from .events import AnyEvent, Attempt, Connections, Placed, Process
from .reading import Reading, Spans, between
from .registers import KEEPER, calls_of, fields, segments

CONFINED = "confined"
GOOD_FILES = ("", "same", "older", "none")  # with which a process that ends by itself has crashed


def drains(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """No new attempt at a server that drains, longer after its router was told than `Bounds.drain`.

    What a router sent before may come late: not judged where its link to the server or to discovery was
    faulty, or one of them stood still, in the time between.
    """
    reading, found = Reading.of(history), []
    for attempt in reading.attempts:
        if not attempt.draining or attempt.at - attempt.told_at <= bounds.drain:
            continue
        op = reading.op_of(attempt.ident)
        router = op.router if op else ""
        if router and (
            reading.faulty(router, attempt.server, attempt.told_at, attempt.at)
            or reading.faulty(router, "discovery", attempt.told_at, attempt.at)
            or reading.stood(router, attempt.told_at, attempt.at)
            or reading.stood(attempt.server, attempt.told_at, attempt.at)
        ):
            continue
        if attempt.at - attempt.told_at <= bounds.drain + reading.stalled(attempt.told_at, attempt.at):
            continue
        late = attempt.at - attempt.told_at
        why = f"a new leg {late:.3f} s after its router was told that {attempt.server} drains"
        parties = (attempt.server, router) if router else (attempt.server,)
        lines = (op, attempt) if op else (attempt,)
        found.append(Break("drains", attempt.ident, parties, attempt.told_at, attempt.at, why, lines))
    return found


def confined_times(reading: Reading, bounds: Bounds) -> list[tuple[Placed, Placed]]:
    """Times in which a shard pinned with `only` was certainly confined: from one statement to the next like
    it, with no change under way that may have been made to the shard, to its tenant, or to another shard that
    may take some of its keys."""
    told: dict[tuple[str, str], list[Placed]] = defaultdict(list)
    for event in reading.placed:
        told[event.tenant, event.shard].append(event)
    changed = _changed(reading, bounds, told)
    anew = segments(reading)  # a keeper that was set back spreads anew what it had confined
    return [
        (one, other)
        for name, events in told.items()
        for one, other in zip(events, events[1:], strict=False)
        if one.only
        and one.stage == other.stage == CONFINED
        and other.only
        and set(one.zones) == set(other.zones)
        and set(one.prefixes) == set(other.prefixes)
        and not changed[name].any(one.at, other.at)
        and not between(anew, one.at, other.at)
    ]


def _changed(
    reading: Reading, bounds: Bounds, told: dict[tuple[str, str], list[Placed]]
) -> dict[tuple[str, str], Spans]:
    """By shard, when what becomes of its keys may have been changed. A change of unknown result counts as
    under way for `Bounds.unknown` seconds after its end, or until the keeper is killed."""
    killed = [event.at for event in reading.processes if event.name == KEEPER and event.state == "killed"]
    own: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)  # shard empty: the tenant
    taken: dict[str, list[tuple[str, str, tuple[float, float]]]] = defaultdict(list)  # prefixes, by tenant
    for call in calls_of(reading):
        parts = call.path.split("/")
        if call.method == "GET" or not (call.made or call.maybe) or len(parts) < 4 or parts[2] != "tenants":
            continue
        until = call.ended
        if call.maybe:
            last = call.lines[-1].at
            dead = next((at for at in killed if at > call.began), math.inf)
            until = min(last + bounds.unknown, max(dead, last))
        time = call.began, until
        if len(parts) > 5 and parts[4] == "shards":
            own[parts[3], parts[5]].append(time)
            prefixes = fields(call.body).get("prefixes")
            for prefix in prefixes if isinstance(prefixes, list) else ():
                taken[parts[3]].append((parts[5], str(prefix), time))
        elif call.method == "DELETE" and len(parts) == 4:
            own[parts[3], ""].append(time)
    found = {}
    for (tenant, shard), events in told.items():
        mine = {prefix.partition("/")[2] for event in events for prefix in event.prefixes}
        others = [
            time
            for other, prefix, time in taken[tenant]
            if other != shard and any(prefix.startswith(each) for each in mine)
        ]
        found[tenant, shard] = Spans([*own[tenant, shard], *own[tenant, ""], *others])
    return found


def confined(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """No key of a pinned `only` shard at a server outside its region's zones while the keeper said that it is
    confined. The origin stands in no region.

    An operation that was sent before it was confined may come late: not judged where its router's link to the
    server was faulty, or the server stood still, since then. A router that stood still is no excuse.
    """
    reading = Reading.of(history)
    return [
        _outside(reading, attempt, one, other)
        for attempt, one, other in _judged(reading, bounds)
        if attempt.zone not in one.zones and not _late_attempt(reading, attempt, one.at)
    ]


def confined_attempts(history: Sequence[AnyEvent], bounds: Bounds) -> int:
    """How many attempts `confined` had to look at: those of a key that was confined when they came."""
    return sum(1 for _ in _judged(Reading.of(history), bounds))


def _judged(reading: Reading, bounds: Bounds) -> Iterator[tuple[Attempt, Placed, Placed]]:
    """Attempts at servers whose key was confined, with the statements before and after."""
    times: dict[str, list[tuple[Placed, Placed]]] = defaultdict(list)
    for pair in confined_times(reading, bounds):
        for prefix in pair[0].prefixes:
            times[prefix].append(pair)
    if not times:
        return
    for pairs in times.values():
        pairs.sort(key=lambda pair: pair[0].at)
    first: dict[str, float] = {}  # when the keeper first spoke of a prefix
    for event in reading.placed:
        for prefix in event.prefixes:
            first.setdefault(prefix, event.at)
    for attempt in reading.attempts:
        if attempt.server.startswith(bounds.origin) or not attempt.zone:
            continue
        spoken = (
            prefix
            for size in range(len(attempt.key), -1, -1)
            if first.get(prefix := attempt.key[:size], math.inf) <= attempt.at
        )
        prefix = next(spoken, None)  # the longest: of which shard the key is
        pairs = times.get(prefix, ()) if prefix is not None else ()
        at = bisect_right(pairs, attempt.at, key=lambda pair: pair[0].at) - 1
        if at >= 0 and attempt.at <= pairs[at][1].at:
            yield attempt, *pairs[at]


def _late_attempt(reading: Reading, attempt: Attempt, since: float) -> bool:
    op = reading.op_of(attempt.ident)
    if op is None or op.at >= since:
        return False
    server, at = attempt.server, attempt.at
    return reading.faulty(op.router, server, op.at, at) or reading.stood(server, op.at, at)


def _outside(reading: Reading, attempt: Attempt, one: Placed, other: Placed) -> Break:
    op = reading.op_of(attempt.ident)
    why = f"{attempt.key!r} at {attempt.server} in zone {attempt.zone}, "
    why += f"{attempt.at - one.at:.3f} s after the keeper said "
    why += f"that {one.tenant}/{one.shard} is confined to {', '.join(one.zones)}"
    if op is not None:
        why += f"; sent {abs(op.at - one.at):.3f} s {'before' if op.at < one.at else 'after'} that"
    parties = (attempt.server, op.router, op.party) if op else (attempt.server,)
    lines = [event for event in (one, op, attempt, other) if event is not None]
    lines.sort(key=lambda event: event.at)
    return Break("confined", f"{one.tenant}/{one.shard}", parties, one.at, attempt.at, why, tuple(lines))


def connections(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """No limited store has more connections than it bears, at no moment, by its own count."""
    reading, found = Reading.of(history), []
    limits = bounds.limits or {}
    over: dict[str, list[Connections]] = {}
    for event in reading.connections:
        limit = limits.get(event.store, math.inf)
        if event.count > limit:
            over.setdefault(event.store, []).append(event)
        elif event.store in over:
            found.append(_over(over.pop(event.store), event.at, int(limit)))
    found += [_over(events, reading.over, limits[store]) for store, events in over.items()]
    return found


def _over(events: list[Connections], until: float, limit: int) -> Break:
    worst = max(events, key=lambda event: event.count)
    most = ", ".join(f"{name} {count}" for name, count in sorted(worst.by.items(), key=lambda e: -e[1]))
    why = f"{worst.count} connections where {limit} are the limit, over it for {until - events[0].at:.3f} s"
    why += f" ({most})" if most else ""
    lines = (events[0], worst) if worst is not events[0] else (worst,)
    return Break("connections", worst.store, (worst.store, *worst.by), events[0].at, until, why, lines)


def crashes(history: Sequence[AnyEvent], bounds: Bounds) -> list[Break]:
    """No process ends that nobody told to, unless it was started on files that it cannot use."""
    reading, found = Reading.of(history), []
    started: dict[str, Process] = {}
    told: set[str] = set()
    for event in reading.processes:
        if event.state == "started":
            started[event.name] = event
            told.discard(event.name)
        elif event.state in ("killed", "told_to_end"):
            told.add(event.name)
        elif event.state == "ended" and event.name not in told:
            told.add(event.name)
            start = started.get(event.name, event)
            if start.files in GOOD_FILES or start is event:
                why = f"ended by itself {event.at - start.at:.3f} s after its start"
                why += f", exit {event.files}" if event.files else ""
                lines = (event,) if start is event else (start, event)
                found.append(Break("crashes", event.name, (event.name,), start.at, event.at, why, lines))
    return found
