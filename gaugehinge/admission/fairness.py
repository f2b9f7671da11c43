"""The fair queue: start-time fair queueing over tenants, and over clients within each. No I/O.

Tenants weigh by their share. Clients are hashed into a fixed number of buckets, and the hash changes from
time to time, so that two that collide do not do so for good. What an operation counts is what it will
use, not one. Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing" (1996), in two levels.

Memory is fixed at the start: one figure a bucket, one queue a tenant, and at most `most` waiting
operations. A flow exists only while something waits in it.
"""

from __future__ import annotations

from array import array
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from math import exp, inf
from typing import Any

from xxhash import xxh64_intdigest

BUCKETS = 1024  # for the clients of all tenants: any two collide once in a thousand
RESEED_EVERY = 10.0  # seconds; so long two that collide share one turn
LEAST_WEIGHT = 0.01  # of the mean: a tenant with no share still gets a turn now and then
LONG_SOJOURN = 0.1  # where the oldest of all flows of a tenant waited for so long,
LONG_TIME = 0.5  # through all of such a time, the overload is long: its newest go first
VICTIM_KEEP = 0.01  # seconds for which the tenant that yields is not looked for again
SEARCHED = 32  # operations looked at for the one of least payoff
RATE_KEEP = 0.8  # of the measured pace, a sample
PRESSURE_TIME = 1.0  # over which what was passed on and turned away is remembered
OUT_MOST = 256  # entries that left, kept in the heaps before these are cleaned


@dataclass(slots=True, eq=False)
class Waiting:
    """One operation in the queue."""

    thing: Any  # the door's own
    tenant: int
    bucket: int
    payoff: float
    cost: float  # seconds of CPU
    came: float
    leave: float  # from then on an answer could not come in time
    out: bool = False  # taken, or left


@dataclass(slots=True, eq=False)
class Flow:
    """Operations of one bucket of one tenant, oldest first; it leaves with the last one."""

    bucket: int
    start: float
    entries: deque[Waiting] = field(default_factory=deque)
    live: int = 0


@dataclass(slots=True, eq=False)
class Line:
    """One tenant."""

    number: int
    weight: float
    finish: float = 0.0  # virtual time up to which it has been served
    start: float = 0.0  # of what is next
    virtual: float = 0.0  # time within it, over its buckets
    flows: dict[int, Flow] = field(default_factory=dict)  # those with something in them
    order: list[tuple[float, int, Flow]] = field(default_factory=list)
    live: int = 0
    cost: float = 0.0  # of all that waits
    newest_first: bool = False
    least: float = inf  # that the oldest of a flow had waited, since it was last judged
    judged_at: float = 0.0
    taken: float = 0.0  # operations passed on and turned away, of late; both fade
    turned: float = 0.0
    faded_at: float = 0.0
    # figures since the last time they were told
    queued: int = 0
    sojourn: float = 0.0
    longest: float = 0.0
    refused: dict[str, int] = field(default_factory=dict)  # by cause, some four


class FairQueue:
    """What waits, and who is next."""

    def __init__(self, shares: Sequence[float], most: int, seed: int, now: float) -> None:
        self.most = most
        self.seed = seed
        self.lines = [Line(i, 1.0) for i in range(len(shares) + 1)]  # the last one: of no known tenant
        self.share(shares)
        self.virtual = 0.0
        self.live = 0
        self.log: list[str] = []  # emptied by the door
        self.pace = 0.0  # cost served a second while something waited
        self._finish = array("d", bytes(8 * BUCKETS))
        self._order: list[tuple[float, int, Line]] = []
        self._leaving: list[tuple[float, int, Waiting]] = []
        self._count = 0
        self._next_seed = now + RESEED_EVERY
        self._salt = seed
        self._victim: Line | None = None
        self._victim_until = 0.0
        self._served = 0.0
        self._sampled = now

    def __len__(self) -> int:
        return self.live

    def share(self, shares: Sequence[float]) -> None:
        """The tenants' weights, at the start and when they change; what waits keeps its place."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        for line, share in zip(self.lines, [*shares, mean], strict=True):
            line.weight = max(share / mean, LEAST_WEIGHT)

    # -- in

    def bucket(self, tenant: int, client: bytes, now: float) -> int:
        """The bucket of a client, for as long as the hash stays."""
        if now >= self._next_seed:
            self._next_seed = now + RESEED_EVERY
            self._count += 1
            self._salt = xxh64_intdigest(b"%d" % self._count, self.seed)
        return xxh64_intdigest(b"%d " % tenant + client, self._salt) % BUCKETS

    def pass_by(self, tenant: int, bucket: int, cost: float) -> None:
        """An operation that needs not wait, since nothing does. It counts as much."""
        line = self.lines[tenant]
        line.virtual = start = max(line.virtual, self._finish[bucket])
        self._finish[bucket] = start + cost
        self.virtual = start = max(self.virtual, line.finish)
        line.finish = start + cost / line.weight

    def refund(self, tenant: int, bucket: int, cost: float) -> None:
        """Part of what an operation counted was not used."""
        line = self.lines[tenant]
        line.finish -= cost / line.weight
        self._finish[bucket] -= cost

    def put(self, entry: Waiting) -> None:
        """Let an operation wait. The caller keeps to `most`."""
        line = self.lines[entry.tenant]
        self._count += 1
        flow = line.flows.get(entry.bucket)
        if flow is None:
            flow = line.flows[entry.bucket] = Flow(
                entry.bucket, max(line.virtual, self._finish[entry.bucket])
            )
            heappush(line.order, (flow.start, self._count, flow))
        flow.entries.append(entry)
        flow.live += 1
        if not line.live:
            line.start = max(self.virtual, line.finish)
            heappush(self._order, (line.start, self._count, line))
        line.live += 1
        line.cost += entry.cost
        line.queued += 1
        self.live += 1
        heappush(self._leaving, (entry.leave, self._count, entry))
        # Those that were taken stay in this heap until their time: with long waits they would outnumber
        # the others.
        if len(self._leaving) > OUT_MOST + 2 * self.live:
            self._leaving = [each for each in self._leaving if not each[2].out]
            heapify(self._leaving)

    # -- out

    def take(self, now: float) -> Waiting | None:
        """The next one, by fair turns."""
        line = self._next_line()
        if line is None:
            return None
        flow = self._next_flow(line)
        entry = self._pick(line, flow, now)
        self.virtual = line.start
        line.virtual = flow.start
        line.finish = line.start + entry.cost / line.weight
        self._finish[flow.bucket] = flow.start + entry.cost
        self._served += entry.cost
        waited = now - entry.came
        line.sojourn += waited
        line.longest = max(line.longest, waited)
        self._drop(line, flow, entry)
        self._count += 1
        if flow.live:
            flow.start = self._finish[flow.bucket]
            heappush(line.order, (flow.start, self._count, flow))
        if line.live:
            line.start = line.finish
            heappush(self._order, (line.start, self._count, line))
        return entry

    def _next_line(self) -> Line | None:
        """The tenant whose turn it is. One that emptied meanwhile stands there no more, or anew."""
        while self._order:
            start, _, line = heappop(self._order)
            if line.live and start == line.start:
                return line
        return None

    @staticmethod
    def _next_flow(line: Line) -> Flow:
        while True:
            start, _, flow = heappop(line.order)
            if flow.live and line.flows.get(flow.bucket) is flow and start == flow.start:
                return flow

    def _pick(self, line: Line, flow: Flow, now: float) -> Waiting:
        while flow.entries[0].out:
            flow.entries.popleft()
        self._judge(line, now - flow.entries[0].came, now)
        if not line.newest_first:
            return flow.entries.popleft()
        while flow.entries[-1].out:
            flow.entries.pop()
        return flow.entries.pop()

    def _judge(self, line: Line, waited: float, now: float) -> None:
        """First come, first served holds all up alike in a long overload, until each answer is late."""
        line.least = min(line.least, waited)
        if now < line.judged_at:
            return
        newest = LONG_SOJOURN <= line.least < inf
        line.least, line.judged_at = inf, now + LONG_TIME
        if newest != line.newest_first:
            line.newest_first = newest
            first = "newest" if newest else "oldest"
            self.log.append(f"door line {line.number} {first} first: {line.live} waiting, {waited:.3f} s")

    def _drop(self, line: Line, flow: Flow, entry: Waiting) -> None:
        entry.out = True
        flow.live -= 1
        line.live -= 1
        line.cost = max(line.cost - entry.cost, 0.0) if line.live else 0.0
        self.live -= 1
        if not flow.live:
            del line.flows[flow.bucket]

    def leave(self, entry: Waiting, cause: str) -> None:
        """An operation leaves without having been taken; what it would have counted, it does not."""
        if entry.out:
            return
        line = self.lines[entry.tenant]
        line.refused[cause] = line.refused.get(cause, 0) + 1
        self._drop(line, line.flows[entry.bucket], entry)

    def due(self, now: float) -> Iterator[Waiting]:
        """Those whose time left does not cover an answer any more; each is to leave."""
        while self._leaving and (self._leaving[0][0] <= now or self._leaving[0][2].out):
            entry = heappop(self._leaving)[2]
            if not entry.out:
                yield entry

    def next_due(self) -> float | None:
        """When the next one leaves."""
        while self._leaving and self._leaving[0][2].out:
            heappop(self._leaving)
        return self._leaving[0][0] if self._leaving else None

    # -- who yields, how long it takes

    def victim(self, now: float) -> Waiting | None:
        """With the queue full: of the tenant that waits for most against its weight, the least payoff."""
        if self._victim is None or not self._victim.live or now >= self._victim_until:
            waiting = [line for line in self.lines if line.live]
            self._victim = max(waiting, key=lambda line: line.cost / line.weight, default=None)
            self._victim_until = now + VICTIM_KEEP
        if self._victim is None:
            return None
        flow = max(self._victim.flows.values(), key=lambda each: each.live)
        # Of equal payoff the last that came: the others have waited for their turn.
        live = [entry for entry in list(flow.entries)[-SEARCHED:] if not entry.out]
        live = live or [entry for entry in flow.entries if not entry.out]
        return min(reversed(live), key=lambda entry: entry.payoff)

    def wait_of(self, tenant: int) -> float:
        """How long what comes now would wait, at the pace of late; 0 where the newest go first."""
        line = self.lines[tenant]
        return 0.0 if line.newest_first else self.backlog(line)

    def backlog(self, line: Line) -> float:
        """Seconds of work that a tenant has waiting, at what it gets while all that wait take turns."""
        if not line.live or self.pace <= 0.0:
            return 0.0
        weights = sum(each.weight for each in self.lines if each.live)
        return line.cost / (self.pace * line.weight / weights)

    def count(self, tenant: int, now: float, taken: bool) -> None:
        """An operation was passed on, or turned away."""
        line = self.lines[tenant]
        keep = exp((line.faded_at - now) / PRESSURE_TIME)
        line.faded_at = now
        line.taken = line.taken * keep + taken
        line.turned = line.turned * keep + (not taken)

    def pressure(self, tenant: int) -> float:
        """How long a tenant would need, at what it gets, for what it was turned away of late.

        With only the queue's length to go by, those of a flood were sent away for a tenth of a second:
        sooner than they would have returned by themselves.
        """
        line = self.lines[tenant]
        return PRESSURE_TIME * line.turned / max(line.taken, 1.0)

    def sample(self, now: float) -> None:
        """Measure the pace."""
        span = now - self._sampled
        if span > 0 and (self.live or self._served):
            self.pace = RATE_KEEP * self.pace + (1 - RATE_KEEP) * self._served / span
        self._served, self._sampled = 0.0, now
