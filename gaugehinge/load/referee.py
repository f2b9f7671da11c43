"""The referee: from the records of both sides, were the four rules kept? No I/O.

It is fed the rows of all records in any order, all times on one clock (`zero` turns the driver's
into it), and then
judges. It knows nothing of the router's insides, only what went in and out of it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from .driver import ANSWERED, BOUNCED, LOST, UNANSWERED, WRONG

ANSWER, TWICE, DRAIN, PUSHED = "one final answer", "no effect twice", "drains kept", "nothing pushed over"
RULES = (ANSWER, TWICE, DRAIN, PUSHED)


class Break(NamedTuple):
    """A rule that was broken, by which operation or server, with its times."""

    rule: str
    text: str
    at: float  # seconds from the start of the run


@dataclass(slots=True, frozen=True)
class Limits:
    """What the referee allows."""

    answer_grace: float = 0.1  # behind the abandon time: the driver's own lag and the way back
    drain_grace: float = 0.25  # behind the moment in which a router was told
    kill_grace: float = 0.1  # connections of a killed router end so long before or after
    memory: dict[str, float] = field(default_factory=dict)  # of marks, by traffic type
    effects: dict[str, str] = field(default_factory=dict)  # of traffic types
    fall_time: float = 3.0


class Op(NamedTuple):
    """One try as the driver saw it."""

    number: int
    first: int
    count: int
    tenant: int
    kind: int
    key: int
    write: bool
    planned: float
    sent: float
    ended: float
    outcome: str
    come_back: float
    wait: float
    mark: str
    port: int
    router: int
    lateness: float
    fresh: bool
    hang: float
    resent: float = -1.0  # when its client sent it once more, after the end of its connection; -1: not


class AttemptSeen(NamedTuple):
    """One attempt as its server saw it."""

    uid: str
    router: int
    ident: bytes
    began: float
    ended: float
    how: str
    ran: bool
    mark: str
    cold: bool
    kind: str


class Referee:
    """Gathers what both sides saw. It holds a whole run in memory."""

    def __init__(self, zero: float, limits: Limits) -> None:
        self.zero = zero
        self.limits = limits
        self.ops: dict[int, Op] = {}
        self.seconds: list[tuple[str, float, bytes]] = []
        self.attempts: list[AttemptSeen] = []
        self.deals: dict[int, list[tuple[float, int]]] = defaultdict(list)  # by client port
        self.refused: dict[int, list[tuple[float, int]]] = defaultdict(list)  # router not there
        self.changes: list[tuple[int, str, str]] = []  # rev, uid, state
        self.told: dict[int, list[tuple[float, int]]] = defaultdict(list)  # by router
        self.falls: list[tuple[str, float, bool]] = []
        self.ends: dict[int, list[float]] = defaultdict(list)  # routers killed or crashed

    def feed(self, row: list[Any]) -> None:
        """One row of any record; kinds that say nothing of rules pass by."""
        kind = row[0]
        if kind == "op":
            one = Op(*row[1:])
            self.ops[one.number] = one
        elif kind == "leg":
            seen = AttemptSeen(*row[1:])
            self.attempts.append(seen._replace(began=seen.began - self.zero, ended=seen.ended - self.zero))
        elif kind == "second":
            self.seconds.append((row[1], row[2], row[3]))
        elif kind == "deal":
            self.deals[row[1]].append((row[3] - self.zero, row[2]))
        elif kind == "refused":
            self.refused[row[1]].append((row[3] - self.zero, row[2]))
        elif kind == "change":
            self.changes.append((row[1], row[2], row[3]))
        elif kind == "told":
            self.told[row[1]].append((row[3] - self.zero, row[2]))
        elif kind == "fall":
            self.falls.append((row[1], row[2] - self.zero, row[3]))
        elif kind == "router" and row[2] in ("killed", "crashed"):
            self.ends[row[1]].append(row[3] - self.zero)

    def judge(self) -> list[Break]:
        """All breaks, in order of time."""
        for deals in self.deals.values():
            deals.sort()
        found = [
            *self._answers(),
            *self._after_the_answer(),
            *self._effects(),
            *self._drains(),
            *self._falls(),
        ]
        return sorted(found, key=lambda each: each.at)

    # -- one final answer before the abandon time, nothing sent after it

    def _router_of(self, one: Op) -> int:
        """Its router: as the front dealt the connection, or -1 where that is not known."""
        if one.router >= 0:
            return one.router
        deals = self.deals.get(one.port, [])
        place = bisect_right(deals, (one.ended, 1 << 30))
        return deals[place - 1][1] if place else -1

    def _nobody_there(self, one: Op) -> bool:
        """Whether its router was killed while it was in hand, or was never reached: then nobody took it."""
        router, grace = self._router_of(one), self.limits.kill_grace
        if any(one.sent - grace <= at <= one.ended + grace for at, _ in self.refused.get(one.port, [])):
            return True
        return self._killed_within(one, router)

    def _killed_within(self, one: Op, router: int = -1) -> bool:
        """Whether this router (or any) was killed while the operation was in hand."""
        grace = self.limits.kill_grace
        return any(
            one.sent - grace <= end <= one.ended + grace
            for number, ends in self.ends.items()
            if router in (-1, number)
            for end in ends
        )

    def _answers(self) -> list[Break]:
        found = []
        for ident, at, data in self.seconds:
            found.append(Break(ANSWER, f"operation {ident}: a second answer {data!r} at {at:.3f}", at))
        for one in self.ops.values():
            if one.outcome == WRONG:
                found.append(Break(ANSWER, f"{_name(one)}: an answer made for another operation", one.ended))
            elif one.outcome in (LOST, UNANSWERED):
                if not self._nobody_there(one):
                    found.append(Break(ANSWER, f"{_name(one)}: {one.outcome}", one.ended))
            elif one.outcome in ANSWERED and one.ended > one.sent + one.wait + self.limits.answer_grace:
                late = one.ended - one.sent - one.wait
                found.append(
                    Break(ANSWER, f"{_name(one)}: answered {late:.3f} s after its abandon time", one.ended)
                )
        return found

    def _after_the_answer(self) -> list[Break]:
        found = []
        for attempt in self.attempts:
            one = self.ops.get(_number(attempt.ident))
            if one is None:
                continue
            if 0 <= attempt.began < one.resent and not self._killed_within(one):
                text = f"{_name(one)}: {_attempt(attempt)}, and the connection ended unanswered"
                found.append(Break(ANSWER, text, one.resent))
            over = one.sent + one.wait
            if one.outcome in ANSWERED:
                over = min(over, one.ended)
            if attempt.began > over + self.limits.answer_grace:
                late = attempt.began - over
                text = f"{_name(one)}: {_attempt(attempt)} begun {late:.3f} s after it was over"
                found.append(Break(ANSWER, text, attempt.began))
        return found

    # -- no effect twice

    def _effects(self) -> list[Break]:
        by_ident: dict[bytes, list[AttemptSeen]] = defaultdict(list)
        by_mark: dict[str, list[AttemptSeen]] = defaultdict(list)
        for attempt in self.attempts:
            if attempt.ran and self.limits.effects.get(attempt.kind) != "idempotent":
                by_ident[attempt.ident].append(attempt)
                if attempt.mark:
                    by_mark[attempt.mark].append(attempt)
        found = []
        for ident, ran in by_ident.items():
            one = self.ops.get(_number(ident))
            name = _name(one) if one else f"operation {ident.decode()}"
            # Sent once more by its client when a killed router's connection ended: the client's doing.
            by_client = one is not None and one.resent >= 0 and self._killed_within(one)
            if len(ran) > 1 and not by_client:
                attempts = ", ".join(_attempt(attempt) for attempt in ran)
                found.append(Break(TWICE, f"{name}: ran {len(ran)} times: {attempts}", ran[-1].ended))
            # Where its mark is remembered a repeat does no harm, and a bounce may be given.
            harmful = self.limits.effects.get(ran[0].kind) != "deduplicated"
            if one is not None and one.outcome == BOUNCED and harmful:
                found.append(Break(TWICE, f"{name}: bounced, and ran: {_attempt(ran[0])}", ran[0].ended))
        for mark, ran in by_mark.items():
            ran.sort(key=lambda attempt: attempt.ended)
            memory = self.limits.memory.get(ran[0].kind, 0.0)
            for earlier, later in zip(ran, ran[1:], strict=False):
                if later.ident != earlier.ident and later.ended - earlier.ended < memory:
                    text = f"mark {mark}: ran twice: {_attempt(earlier)}, {_attempt(later)}"
                    found.append(Break(TWICE, text, later.ended))
        return found

    # -- drains

    def _drains(self) -> list[Break]:
        self.changes.sort()
        heard = {router: self._states_heard(told) for router, told in self.told.items()}
        found = []
        for attempt in self.attempts:
            states = heard.get(attempt.router, {}).get(attempt.uid, [])
            place = bisect_right(states, (attempt.began, "~"))
            if not place:
                continue
            since, state = states[place - 1]
            if state == "draining" and attempt.began > since + self.limits.drain_grace:
                found.append(
                    Break(
                        DRAIN,
                        f"operation {attempt.ident.decode()}: {_attempt(attempt)} begun "
                        f"{attempt.began - since:.3f} s after router "
                        f"{attempt.router} was told that {attempt.uid} drains",
                        attempt.began,
                    )
                )
        return found

    def _states_heard(self, told: list[tuple[float, int]]) -> dict[str, list[tuple[float, str]]]:
        """What a router was told of each server, with times."""
        states: dict[str, list[tuple[float, str]]] = defaultdict(list)
        seen = 0
        for at, rev in sorted(told):
            while seen < len(self.changes) and self.changes[seen][0] <= rev:
                _, uid, state = self.changes[seen]
                states[uid].append((at, state))
                seen += 1
        return states

    # -- nothing pushed over

    def _falls(self) -> list[Break]:
        found = []
        for uid, at, cold in self.falls:
            if not cold:
                continue
            sent: dict[int, int] = defaultdict(int)
            for attempt in self.attempts:
                if attempt.uid == uid and at - self.limits.fall_time <= attempt.began <= at:
                    sent[attempt.router] += 1
            parts = ", ".join(f"{count} from router {router}" for router, count in sorted(sent.items()))
            what = "the origin stopped" if uid == "origin" else f"cold server {uid} fell over"
            found.append(
                Break(PUSHED, f"{what}: in {self.limits.fall_time:g} s it was sent {parts or 'nothing'}", at)
            )
        return found


def count_by_rule(breaks: list[Break]) -> dict[str, int]:
    """How often each rule was broken."""
    return {rule: sum(each.rule == rule for each in breaks) for rule in RULES}


def _number(ident: bytes) -> int:
    try:
        return int(ident, 16)
    except ValueError:
        return -1


def _name(one: Op) -> str:
    return f"operation {one.number:016x} (sent {one.sent:.3f}, ended {one.ended:.3f}, {one.outcome})"


def _attempt(attempt: AttemptSeen) -> str:
    times = f"{attempt.began:.3f} to {attempt.ended:.3f}"
    return f"leg {attempt.how} at {attempt.uid} from router {attempt.router} ({times})"
