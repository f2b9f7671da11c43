"""What the further cases of `allplay` promise, looked for in their histories. No I/O.

The play notes what the keeper said and from when on (`statement`); each check looks at what servers, origin
and clients wrote in that time. What began before a statement may come after it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ..histories.checks import Break
from ..histories.events import AnyEvent, Attempt, Link, Note, OpBegan
from ..histories.reading import Reading

GONE, DRAINED, LOWERED, APART = "gone", "drained", "lowered", "apart"
FROM, UNTIL = "from", "until"
BOUND_SLACK = 0.5  # seconds: clocks that differ, and an answer that was on its way when its link was cut
CUT = ("silent", "silent there", "silent back", "refused")
CLAIMS_ALL = "|all after "  # what no router may say of a loss while others have lived on


def statement(kind: str, what: str, edge: str) -> str:
    """The text of a note: `from` when on, or `until` when, something is so."""
    return f"{kind}|{what}|{edge}"


@dataclass(slots=True, frozen=True)
class Told:
    """A time in which something was so."""

    kind: str
    what: str
    began: float
    ended: float  # infinite: to the end of the play


def told_times(reading: Reading) -> list[Told]:
    """All statements of a play."""
    open_: dict[tuple[str, str], float] = {}
    found = []
    for event in reading:
        if not isinstance(event, Note) or event.text.count("|") < 2:
            continue
        kind, _, rest = event.text.partition("|")
        what, _, edge = rest.rpartition("|")
        if edge == FROM:
            open_.setdefault((kind, what), event.at)
        elif (kind, what) in open_:
            found.append(Told(kind, what, open_.pop((kind, what)), event.at))
    found += [Told(*name, at, math.inf) for name, at in open_.items()]
    return sorted(found, key=lambda told: told.began)


def _begun(reading: Reading, told: Told) -> Iterator[OpBegan]:
    for op in reading.ops.values():
        if told.began < op.at < told.ended:
            yield op


def gone(reading: Reading, told: Told) -> list[Break]:
    """`SPACE TENANT`: a tenant that was removed, once all routers follow that: no operation of it settles,
    and nothing begun after that touches its keys at any store."""
    space, _, tenant = told.what.partition(" ")
    found = []
    for op in _begun(reading, told):
        ends = [end for end in reading.ends.get(op.ident, ()) if end.outcome == "settled"]
        if op.tenant == tenant and ends:
            why = f"settled {op.at - told.began:.3f} s after all routers knew that {tenant} is removed"
            found.append(Break(GONE, op.ident, (op.party, op.router), op.at, ends[0].at, why, (op, *ends)))
    found += [
        Break(
            GONE,
            attempt.ident,
            (attempt.server, op.router if op else ""),
            told.began,
            attempt.at,
            f"{attempt.key!r} of {tenant} {attempt.at - told.began:.3f} s after all routers knew "
            "that it is removed",
            (op, attempt) if op else (attempt,),
        )
        for attempt, op in _attempts(reading, told)
        if attempt.key.startswith(space)
    ]
    return found


def drained(reading: Reading, told: Told) -> list[Break]:
    """`SERVER`: by the keeper's order, once all routers follow it: nothing that begins then goes there."""
    return [
        Break(
            DRAINED,
            attempt.ident,
            (attempt.server, op.router),
            op.at,
            attempt.at,
            f"sent {op.at - told.began:.3f} s after all routers knew the order to drain {attempt.server}",
            (op, attempt),
        )
        for attempt, op in _attempts(reading, told)
        if op is not None and attempt.server == told.what
    ]


def _attempts(reading: Reading, told: Told) -> Iterator[tuple[Attempt, OpBegan | None]]:
    """Attempts of that time whose operation began in it; those that no client sent, too."""
    for attempt in reading.attempts:
        if told.began < attempt.at < told.ended:
            op = reading.op_of(attempt.ident)
            if op is None or op.at > told.began:
                yield attempt, op


def lowered(reading: Reading, told: Told) -> list[Break]:
    """`STORE MOST`: once the keeper says that a lowered limit is reached, the store itself counts no more."""
    store, _, most = told.what.partition(" ")
    limit, at_first, over = int(most), None, None
    for event in reading.connections:
        if event.store != store or event.at >= told.ended:
            continue
        if event.at <= told.began:
            at_first = event
        elif event.count > limit:
            over = over or event
    if at_first is not None and at_first.count > limit:
        over = at_first
    if over is None:
        return []
    why = f"{over.count} connections {over.at - told.began:.3f} s after {limit} were said to be reached"
    return [Break(LOWERED, store, (store, *over.by), told.began, over.at, why, (over,))]


def alone_times(
    reading: Reading, bound: float, routers: Sequence[str]
) -> dict[str, list[tuple[float, float]]]:
    """By router, the times in which it has to know that it is without the keeper for over `bound` seconds."""
    cuts: dict[str, float] = {}
    times: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for event in reading:
        if not isinstance(event, Link) or event.other != "keeper" or event.one not in routers:
            continue
        if event.state in CUT:
            cuts.setdefault(event.one, event.at)
        elif (since := cuts.pop(event.one, None)) is not None:
            times[event.one].append((since + bound + BOUND_SLACK, event.at))
    for router, since in cuts.items():
        times[router].append((since + bound + BOUND_SLACK, math.inf))
    return {router: [time for time in found if time[0] < time[1]] for router, found in times.items()}


def alone(reading: Reading, bound: float, routers: Sequence[str]) -> list[Break]:
    """A router whose link to the keeper was cut for longer than `bound` seconds serves no tenant: no attempt
    of an operation that began after that."""
    times, found = alone_times(reading, bound, routers), []
    for attempt in reading.attempts:
        op = reading.op_of(attempt.ident)
        for since, until in times.get(op.router, ()) if op else ():
            if since < op.at and attempt.at < until:
                why = f"{op.router} was cut off from the keeper for {op.at - since + bound:.3f} s and over"
                parties, lines = (op.router, attempt.server), (op, attempt)
                found.append(Break("alone", attempt.ident, parties, op.at, attempt.at, why, lines))
    return found


def claims(reading: Reading) -> list[Break]:
    """While two zones are apart and all lived on, no router says that all began anew. `router|line`."""
    apart = [told for told in told_times(reading) if told.kind == APART]
    found = []
    for event in reading:
        if not isinstance(event, Note) or CLAIMS_ALL not in event.text:
            continue
        for told in apart:
            if told.began < event.at < told.ended:
                router = event.text.partition("|")[0]
                why = f"said {event.text!r} while {told.what} were apart"
                found.append(Break("claims", router, (router,), told.began, event.at, why, (event,)))
    return found


BY_KIND = {GONE: gone, DRAINED: drained, LOWERED: lowered}


def further(history: Sequence[AnyEvent], bound: float, routers: Sequence[str]) -> list[Break]:
    """All of these. `bound`: seconds that a router without the keeper serves tenants."""
    reading = Reading.of(history)
    found = [*alone(reading, bound, routers), *claims(reading)]
    for told in told_times(reading):
        if told.kind in BY_KIND:
            found += BY_KIND[told.kind](reading, told)
    return found


def without(
    history: Sequence[AnyEvent], breaks: Sequence[Break], rules: Sequence[str], routers: Sequence[str]
) -> list[Break]:
    """Breaks, but for those of some rules where the last effect came through one of these routers: a build
    that does not know of a loss runs repeats that followed one."""
    reading = Reading.of(history)
    found = []
    for each in breaks:
        attempts = [line for line in each.lines if isinstance(line, Attempt)]
        op = reading.op_of(attempts[-1].ident) if attempts else None
        if each.rule not in rules or op is None or op.router not in routers:
            found.append(each)
    return found


def looked(history: Sequence[AnyEvent], bound: float, routers: Sequence[str]) -> dict[str, float]:
    """How much there was to look at: statements by kind, and seconds of them; operations at routers that were
    without the keeper for too long."""
    reading = Reading.of(history)
    found: dict[str, float] = defaultdict(float)
    for router, times in alone_times(reading, bound, routers).items():
        for since, until in times:
            found["alone.s"] += min(until, reading.over) - since
            found["alone.asked"] += sum(
                op.router == router and since < op.at < until for op in reading.ops.values()
            )
    for told in told_times(reading):
        found[f"{told.kind}.times"] += 1
        found[f"{told.kind}.s"] += min(told.ended, reading.over) - told.began
        if told.kind == GONE:
            tenant = told.what.partition(" ")[2]
            found["gone.asked"] += sum(op.tenant == tenant for op in _begun(reading, told))
    return dict(found)
