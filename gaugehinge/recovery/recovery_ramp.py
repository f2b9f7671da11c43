"""In which order service returns, and how much of it is let in at each step. No I/O, no clock and no chance
but the seed.

Keeper, list, placement and grants come before clients, each waited for up to a bound and no longer. Then two
lanes open: what needs no cache, highest payoff first, within the origin's part; and reads, by what the cold
servers of all bear together. Which server a read goes to is the decisions' matter as ever, with their own
budget at each.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from ..routing.types import Deployment, Effect
from .restart_scope import Verdict

STEP = 0.25  # seconds
RISE = 1.5  # of a lane's rate, a step in which it bound and what it let in went well
RISE_BEYOND = 1.1  # the same of reads beyond steady service: that more is asked is the loss's own doing
FALL = 0.6  # the same, a step back
REST_STEPS = 4  # steps after one back in which nothing rises
BAD_PART = 0.2  # of what ended in a step: this much not settled is a step back,
GOOD_PART = 0.05  # and under this a step on
BAD_LEAST = 3  # but never for fewer than this
CALM_STEPS = 6  # steps in a row in which nobody was turned away: the lanes are of no use any more
WARM_ENOUGH = 0.8  # and then: a quiet router is no proof for those that come back all at once
LEAST_RATE = 2.0  # operations a second of a lane, whatever went wrong
FIRST_RATE = 50.0  # of all routers together in the first lane, where nothing is known of the origin
COLD_READS = 2.5  # a second at a cold server, from all routers together, where nothing else is known
READS_AFTER = 0.5  # seconds after the other lane
READ_ORIGIN = 0.5  # of the origin's part that reads may take by their misses at least,
ORIGIN_FULL = 0.9  # and up to this, with what the other lane let in
LEAST_MISSES = 0.02
LEAST_SHARE = 1e-9
LOW_PART = 0.05  # of a lane that what earns less gets, however much of what earns more there is
LONGEST = 3.0  # times the warm-up, and LONGEST_MORE: with no failures the lanes end then
LONGEST_MORE = 10.0
AWAY_LEAST = 0.2  # seconds that a client is told to stay away


class Stage(Enum):
    """Where a start stands."""

    KEEPER = "keeper"
    LIST = "list"
    PARTS = "placement and grants"
    EVIDENCE = "evidence"
    CLIENTS = "clients, in steps"
    OPEN = "open"


@dataclass(slots=True, frozen=True)
class Waits:
    """How long each is waited for at most, in seconds after the start."""

    keeper: float
    list: float
    parts: float
    evidence: float


@dataclass(slots=True)
class Facts:
    """What has come by now."""

    keeper: bool = False  # answered, or none is followed
    list: bool = False  # of discovery
    parts: bool = False  # all that are on were heard, or none is
    verdict: Verdict = Verdict.DECIDING


class Order:
    """The stages before clients. Each waits for its own thing; the bounds of all count from the start."""

    def __init__(self, waits: Waits) -> None:
        self.waits = waits
        self.stage = Stage.KEEPER
        self.missing: list[str] = []  # what was not waited for any longer
        self.log: list[str] = []  # emptied by the driver

    def step(self, facts: Facts, uptime: float) -> Stage:
        """The stage now."""
        waits = self.waits
        gates = (
            (Stage.KEEPER, facts.keeper, waits.keeper),
            (Stage.LIST, facts.list, waits.list),
            (Stage.PARTS, facts.parts, waits.parts),
            (Stage.EVIDENCE, facts.verdict is not Verdict.DECIDING, waits.evidence),
        )
        order = [gate[0] for gate in gates]
        while self.stage in order:
            place = order.index(self.stage)
            _, come, bound = gates[place]
            if not come and uptime < bound:
                return self.stage
            if not come:
                self.missing.append(self.stage.value)
                self.log.append(f"{self.stage.value} not waited for any longer, after {uptime:.1f} s")
            self.stage = order[place + 1] if place + 1 < len(order) else Stage.CLIENTS
        return self.stage

    def left(self, uptime: float) -> float:
        """Seconds until clients are let in, at most."""
        waits = self.waits
        return max(max(waits.keeper, waits.list, waits.parts, waits.evidence) - uptime, 0.0)


def portion(total: float, shares: Sequence[float], wanted: Sequence[float]) -> list[float]:
    """Divide what there is by shares among those that want some; what one does not want goes to the others.
    Those without a share get what is left, in equal parts."""
    got = [0.0] * len(wanted)
    for weights in (shares, [1.0] * len(wanted)):
        hungry = [i for i, want in enumerate(wanted) if want > got[i] and weights[i] > LEAST_SHARE]
        while hungry and total > 1e-9:
            each = total / sum(weights[i] for i in hungry)
            full = [i for i in hungry if wanted[i] - got[i] <= each * weights[i]]
            for i in full or hungry:
                more = min(wanted[i] - got[i], each * weights[i])
                got[i] += more
                total -= more
            if not full:
                return got
            hungry = [i for i in hungry if i not in full]
    return got


@dataclass(slots=True)
class Lane:
    """What is let in of one kind, by tenant and payoff. As large as the table of tenants."""

    rate: float  # operations a second
    ranks: int  # of payoff; 0 is the highest
    tokens: list[float] = field(default_factory=list)
    pool: float = 0.0  # what tenants left of it
    rooms: list[float] = field(default_factory=list)  # by rank, what is left by those that earn more
    asked: list[float] = field(default_factory=list)  # in this step, by tenant,
    ranked: list[float] = field(default_factory=list)  # and by rank
    turned: int = 0  # away, in this step
    taken: int = 0  # in, in this step
    settled: int = 0
    failed: int = 0
    rest: int = 0  # steps in which it does not rise

    def size(self, tenants: int) -> None:
        """So many tenants, and one place for those that have none."""
        for figures in (self.tokens, self.asked):
            figures.extend([0.0] * (tenants + 1 - len(figures)))
        if not self.rooms:
            self.rooms, self.ranked = [1.0] * self.ranks, [0.0] * self.ranks

    def take(self, tenant: int, rank: int) -> bool:
        """Whether one more is let in."""
        if tenant + 2 > len(self.tokens):
            self.size(tenant + 1)
        self.asked[tenant] += 1.0
        self.ranked[rank] += 1.0
        if self.rooms[rank] >= 1.0:
            if self.tokens[tenant] >= 1.0:
                self.tokens[tenant] -= 1.0
                self.rooms[rank] -= 1.0
                self.taken += 1
                return True
            if self.pool >= 1.0:
                self.pool -= 1.0
                self.rooms[rank] -= 1.0
                self.taken += 1
                return True
        self.turned += 1
        return False

    def refill(self, shares: Sequence[float], span: float) -> None:
        """A step's worth, by the shares of those that asked in the last one."""
        total = self.rate * span
        weights = [*shares, *[0.0] * (len(self.asked) - len(shares))]
        got = portion(total, weights, self.asked)
        for i, more in enumerate(got):
            self.tokens[i] = min(self.tokens[i] + more, max(2.0, 2.0 * more))
        self.pool = min(self.pool + max(total - sum(got), 0.0), max(2.0, 2.0 * total))
        left = total
        for rank, asked in enumerate(self.ranked):
            room = max(left, LOW_PART * total)
            self.rooms[rank] = min(self.rooms[rank] + room, max(2.0, 2.0 * room))
            left -= asked
        self.asked, self.ranked = [0.0] * len(self.asked), [0.0] * self.ranks

    def judge(self) -> int:
        """What the step showed: 1 well, -1 badly, 0 neither. Begins the next one."""
        ended, failed, turned = self.settled + self.failed, self.failed, self.turned
        self.settled = self.failed = self.turned = self.taken = 0
        if failed >= BAD_LEAST and failed > BAD_PART * ended:
            self.rest = REST_STEPS
            return -1
        if self.rest:
            self.rest -= 1
            return 0
        return 1 if turned and ended and failed <= GOOD_PART * ended else 0


@dataclass(slots=True, frozen=True)
class Bearing:
    """What this router's part of the load may be, in operations a second of all routers where not said."""

    routers: int
    servers: int
    origin: float  # that the origin bears; 0: not told
    cold_reads: float  # that one cold server bears; 0: not told
    reads: float = 0.0  # of this router, in steady service before, times how far that is believed
    writes: float = 0.0


class Opening:
    """The two lanes."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.types = deployment.traffic_types
        self.aside = deployment.cache_aside
        self.longest_away = deployment.max_retry_after
        self.cold_from, self.cold_time = deployment.cold_capacity, deployment.warm_up_time
        payoffs = sorted({kind.priority_weight for kind in self.types}, reverse=True)
        self.rank = [payoffs.index(kind.priority_weight) for kind in self.types]
        self.seed, self.draws = seed, 0
        self.writes = Lane(LEAST_RATE, len(payoffs))
        self.reads = Lane(0.0, len(payoffs))
        self.bearing = Bearing(1, 0, 0.0, 0.0)
        self.misses = 1.0  # part of settled reads that went to the origin, smoothed
        self.factor = 1.0  # of the reads' rate
        self.began = self.stepped = -1.0
        self.calm = 0
        self.open = False
        self.shares: Sequence[float] = ()
        self.log: list[str] = []  # emptied by the driver

    def begin(self, bearing: Bearing, shares: Sequence[float], now: float) -> None:
        """Clients are let in from now on."""
        self.bearing, self.began, self.stepped = bearing, now, now
        self.share(shares)
        part = bearing.origin / bearing.routers
        start = 0.5 * (part or bearing.writes) or FIRST_RATE / bearing.routers
        self.writes.rate = max(start, LEAST_RATE)
        self.writes.pool = self.writes.rate * STEP
        self.writes.rooms = [self.writes.pool] * self.writes.ranks

    def share(self, shares: Sequence[float]) -> None:
        """The tenants' shares, by place."""
        self.shares = shares
        for lane in (self.writes, self.reads):
            lane.size(len(shares))

    def lane(self, row: int, write: bool) -> Lane:
        """The lane of an operation: reads that may be repeated need caches, all else does not."""
        return self.writes if write or self.types[row].effect is not Effect.IDEMPOTENT else self.reads

    def admit(self, row: int, tenant: int, write: bool, now: float) -> float:
        """0: it is let in; else seconds for its client to stay away."""
        if self.open:
            return 0.0
        if self.began < 0.0:
            return self.away(AWAY_LEAST)
        lane = self.lane(row, write)
        if lane.take(tenant, self.rank[row]):
            return 0.0
        # As long as those that asked in this step take to be let in; spread, or they come back as one.
        return self.away(sum(lane.asked) / max(lane.rate, LEAST_RATE))

    def away(self, least: float) -> float:
        """Seconds to stay away: from that to twice as long, and within what clients may be told."""
        self.draws += 1
        chance = zlib.crc32(b"%d:%d" % (self.seed, self.draws)) / 0x100000000
        return min(max(least, AWAY_LEAST), max(self.longest_away, AWAY_LEAST) * 0.5) * (1.0 + chance)

    def ended(self, row: int, write: bool, settled: bool, at_origin: bool) -> None:
        """Something that was let in has its final answer."""
        lane = self.lane(row, write)
        if settled:
            lane.settled += 1
            if lane is self.reads:
                self.misses += 0.02 * (at_origin - self.misses)
        else:
            lane.failed += 1

    def step(self, warmth: float, now: float) -> None:
        """Once each STEP. `warmth`: mean over the servers, 0 just started, 1 warm."""
        if self.open or self.began < 0.0 or now - self.stepped < STEP:
            return
        span, self.stepped = now - self.stepped, now
        turned, writes = self.writes.turned + self.reads.turned, self.writes.taken / span
        one, other = self.writes.judge(), self.reads.judge()
        self._step_writes(one)
        self._step_reads(other, warmth, writes, now)
        for lane in (self.writes, self.reads):
            lane.refill(self.shares, span)
        self.calm = 0 if turned or one < 0 or other < 0 or self.reads.rate <= 0.0 else self.calm + 1
        longest = LONGEST * self.cold_time + LONGEST_MORE
        sound = min(one, other) >= 0 and not (self.writes.rest or self.reads.rest)
        late = sound and now - self.began > longest
        if (self.calm >= CALM_STEPS and warmth >= WARM_ENOUGH) or late:
            self.open = True
            self.log.append(f"open after {now - self.began:.1f} s: {self._figures(warmth)}")

    def _step_writes(self, shown: int) -> None:
        lane, bearing = self.writes, self.bearing
        most = bearing.origin / bearing.routers or 1e9
        if shown < 0:
            lane.rate = max(lane.rate * FALL, LEAST_RATE)
            self.log.append(f"step back of writes: {lane.rate:.1f} a second")
        elif shown > 0:
            lane.rate = max(min(lane.rate * RISE, most), LEAST_RATE)

    def _step_reads(self, shown: int, warmth: float, writes: float, now: float) -> None:
        if shown < 0:
            self.factor *= FALL
            self.log.append(f"step back of reads: {self.reads.rate * FALL:.1f} a second")
        elif shown > 0:
            beyond = 0.0 < self.bearing.reads <= self.reads.rate
            self.factor *= RISE_BEYOND if beyond else RISE
        if now - self.began < READS_AFTER:
            return
        bearing = self.bearing
        each = bearing.cold_reads or COLD_READS
        floor = each * bearing.servers / bearing.routers
        speed = self.cold_from + (1.0 - self.cold_from) * warmth
        base = max(bearing.reads * speed, floor * max(warmth / max(self.cold_from, 0.01), 1.0), 0.01)
        rate = base * self.factor
        if self.aside and bearing.origin:
            part = bearing.origin / bearing.routers
            left = max(READ_ORIGIN * part, ORIGIN_FULL * part - writes)
            rate = min(rate, left / max(self.misses, LEAST_MISSES))
            self.factor = rate / base  # what the origin holds back must not come all at once later
        self.reads.rate = max(rate, LEAST_RATE)

    def _figures(self, warmth: float) -> str:
        return (
            f"writes {self.writes.rate:.1f}, reads {self.reads.rate:.1f} a second, "
            f"misses {self.misses:.2f}, warm {warmth:.2f}"
        )
