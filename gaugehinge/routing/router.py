"""All routing decisions of gaugehinge. One `Router` serves one process and shares nothing with others.

Ask `route(thing, now)` for an operation that came in or whose wait is over, `on_attempt_finished(attempt, outcome, ...)`
when an attempt ended, `time_until_recheck(thing, now)` when the answer was "not yet". Tell it what happened with
`on_endpoints_changed`, `on_gossip` and `cancel`. `router.background_tasks` are its own standing tasks and go through the same
calls. The plain types of the interface live in types.py, the reasons in docs/design.md.
"""

from __future__ import annotations

import struct
import zlib
from bisect import bisect_left
from dataclasses import dataclass, field
from math import exp, inf

from xxhash import xxh64_intdigest

from .types import (
    Action,
    Attempt,
    BackgroundTask,
    Decision,
    DeduplicationScope,
    Deployment,
    Effect,
    EndpointEntry,
    EndpointState,
    Operation,
    Outcome,
    Step,
    TaskKind,
    Tenant,
)

# The ring walk (values of the source unless a reason is given)
POINTS = 100  # ring points of a cache, times its listed weight over the usual one
MOST_WEIGHT = 8.0  # a listed weight counts as at most this many times the usual one, or this part of it
FACTOR = 1.25  # the balance factor: a cache over this times the ready mean is walked past
LEAST_BOUND = 2.0  # below two in flight a bound would scatter the keys of a quiet router
HOPS = 10  # caches looked at before the least loaded one is taken
NEAR_PRICE = 0.05  # a crossing of zones at this price is dearer than the hits of one pool for all
NEAR_POWER = 3  # of the quickest other zone's latency over the own one's: the part of its keys it keeps
STARTS = 4  # where a new connection has a price, the walk may start at one of so many caches of a key
PRESSED = 5.0  # seconds after a refusal for want of a place at the origin: spread keys miss more
MOST_PASSED = 12  # caches passed in all, with those that cannot take it: a full fleet is not searched whole
BUCKET = 0.03  # the occupancy window is five of these
BUCKETS = 5
MOST_MULTIPLIER = 5.0  # of relative latency; also the mark of a stuck cache
LATENCY_KEEP = 0.98  # a bucket: some seconds of attempts make a mean,
ATTEMPTS_KEEP = 0.9  # but an attempt leaves at least this: a sparse router sees a cache once in many seconds,
ALIKE_KEEP = 0.95  # and its like somewhat more often
ALIKE_FADE = 0.997  # a bucket, of labels and zones: by a second's uneven attempts, kept shares fluttered
PRIOR = 2.0  # attempts at the mean of its like that each cache is credited with: few attempts say little
STUCK_MEANS = 4.0  # silent for so many mean latencies with attempts out: stuck, not quiet
STUCK_LEAST = 0.1  # and never judged stuck before this
FADE_CURVE = 2.5
FADE_WINDOW = 30.0  # where no warm-up time is stated; else that time: by then a cache bears its share

# Slow labels
KEEP_LEAST = 0.2  # they keep this part of their keys, or could never show that they recovered
KEEP_POWER = 2  # of the quickest label's latency over theirs: alone, few attempts' means draw it near one

# Load that caches tell with their answers
TOLD_ATTEMPTS = 0.8  # of what a cache told before, a report: one alone is late and noisy
TOLD_FADE = 10.0  # seconds without a further one: late reports steer nobody for long

# Cold caches
COLD_FLOOR = 2.5  # attempts a second that all routers together try at a cold cache, however little they see
COLD_PART = 0.5  # of the multiple of its capacity that is stated to push a cold cache over
RATE_MEMORY = 1.0  # seconds, for the rates of answered attempts

# Set-aside
FAULT_STEP = 0.25  # what one failure adds to the fault mark, of what is left to 1
LOST_STEP = 0.45  # the same for a connection that failed at a silent cache: two in a row set aside,
FLAKY_STEP = 0.1  # but at one that answers others it is most often the network's, or an old connection's
FAULT_EASE = 0.85  # what a settled attempt leaves of the mark
FAULT_LIMIT = 0.5
ASIDE_TIME, ASIDE_CHANCE = 2.0, 1.0  # a set-aside cache returns after this plus a random part
MOST_ASIDE = 0.34  # part of the fleet that may be aside at once: the rest would drown,
ZONE_LOST = 3  # caches of a zone that failed with none of it answering since: one attempt at a time goes
MOST_DEAD = 0.75  # but this part where the cache answered nothing lately: a lost zone bears no load anyway
DEAD_SILENCE = 0.5  # seconds without an answer, with failures, that make it so

FULL_PAUSE = 0.1  # a cache that turned an attempt away is passed for about this: some of its queue drains
MOST_TURNED = 2  # caches that may turn one operation away before it is refused
QUEUE_MOST = 64  # operations that wait for room at the only server of their key,
QUEUE_LOOK = 0.05  # and how often each looks whether that is still so
MOST_REDIRECTS = 5  # a slot that moves on while it is asked for takes two or three; a loop takes all

# The origin
GATE_LEAST = 4.0  # the start too; a slow origin still bears what it bore: fewer attempts out only starve it,
GATE_SHARED = 20.0  # but of this each of many routers has only its part, below one attempt if need be
GATE_RISE = 0.25  # of the limit at most, an attempt
GATE_CUT = 0.75
GATE_SLOW = 2.5  # smoothed latency over this times its floor means a queue at the origin,
GATE_QUEUE = 0.3  # but not before it took this part of the shortest promised time: latencies vary by nature
GATE_KEEP = 0.95  # of the smoothed latency, a finished attempt
ORIGIN_REST = 0.2  # about, between reads sent to an origin that answers nothing and refuses connections
FLOOR_EPOCH = 15.0  # the latency floor is the least of the last two epochs

# Overload
QUEUE_PART = 0.3  # of the promised time: a cache holds no more attempts than it answers in this,
SPARE_PART = 0.15  # and what is beyond a share only goes to a home cache that answers within this
SPARE_LATE = 0.25  # and whose attempts take less than this part of the promised time
LEAST_ROOM = 2  # attempts a cache may hold however few it answered: a sparse router learns by them,
SLOW_ROOM = 1  # but many sparse routers crowd a cache with two each: one where it is known to be slow
SLOW = 1.5  # this relative latency, or crowded:
CROWDED = 0.25  # its attempts take this part of the promised time
CROWD_KEEP = 0.8  # of that measure, an attempt
CROWD_REST = 1.0  # a crowded cache rests so many times its last attempt's time, or floors alone keep it full
BEAT = 0.1  # how often the valve moves, and budgets are refilled
USED_KEEP = 0.95  # a beat, of a tenant's measured rate
SHARE_DEPTH = 6.0  # operations of a tenant at once: few come through a sparse router, in runs of chance
CALM = 0.45  # mean share of the promised time that an attempt may take before the valve closes
VALVE_RISE = 0.06
VALVE_FALL = 0.06
LATE_KEEP = 0.8  # of the lateness measured, a beat with attempts,
IDLE_KEEP = 0.98  # and a beat without: a sparse router must remember from attempt to attempt
EXCUSED_EACH = 2.0  # time-outs at silent caches that a settled attempt excuses: dead caches are no load,
EXCUSED_MOST = 6.0  # but where most attempts time out they are what an overrun fleet looks like

# Time
SPARE_TICKS = 3  # kept free before the deadline, for the answer's own way
PATIENCE = 0.6  # part of the useful time left that one attempt may take while another is possible
REPEAT_PART = 0.1  # of an allowance to repeat what timed out that a settled attempt earns: where most
REPEAT_MOST = 3.0  # attempts time out, repeats are what keeps the fleet overrun
REPEAT_WAY = 0.5  # seconds that a repeat may take to its server

# Errands
ASK_AGAIN, ASK_MOST = 0.4, 1.25  # pauses after failed calls to the list grow, but a change is told after 6 s
MOVE_SPREAD = 0.5  # all routers are told at once where the list is asked for from now on
UNANSWERED = 4.0  # a call with no answer for this long is made again
MESSAGE_EVERY = 1.0
MESSAGE_PEERS = 6  # told each time: all of a few routers, of hundreds a sample that does not grow with them
PEER_STALE = 5.0  # a peer silent for this long no longer counts

SCALE = float(1 << 64)
MIX = 0x9E3779B97F4A7C15
MASK = (1 << 64) - 1

NOTHING = Decision(Action.NONE)
WAIT = Decision(Action.WAIT)
FAIL = Decision(Action.FAIL)
LOST = (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST)
FAULTS = (Outcome.SERVER_ERROR, Outcome.MALFORMED_RESPONSE, Outcome.TIMED_OUT, Outcome.UNKNOWN)
REDIRECTED = (Outcome.MOVED, Outcome.ASK_REDIRECT)
ANSWERED = (Outcome.SUCCEEDED, Outcome.CACHE_MISS, Outcome.MALFORMED_RESPONSE)
CUT = (
    *LOST,
    Outcome.MALFORMED_RESPONSE,
    Outcome.TIMED_OUT,
    Outcome.CANCELLED,
)  # they take their connection along
NO_QUEUE = (*ANSWERED, Outcome.CONNECTION_LOST)


@dataclass(slots=True)
class Latency:
    """A decayed mean of attempts' times over their types' means; fades by time, not faster than they come."""

    at: float
    attempts: float = ATTEMPTS_KEEP
    fade: float = LATENCY_KEEP
    delay: float = 0.0
    finished: float = 0.0
    keep: float = 1.0  # of a label in the list: the part of their keys that its caches keep

    def add(self, delay: float, now: float) -> None:
        keep = max(self.fade ** ((now - self.at) / BUCKET), self.attempts)
        self.delay = self.delay * keep + min(delay, MOST_MULTIPLIER)
        self.finished = self.finished * keep + 1.0
        self.at = now

    def beside(self, mean: float) -> float:
        """The mean, with a few attempts at another mean added: few attempts say little."""
        return (self.delay + PRIOR * mean) / (self.finished + PRIOR)


@dataclass(slots=True)
class Rate:
    """Events a second, remembered for about RATE_MEMORY."""

    at: float
    value: float = 0.0

    def add(self, now: float) -> None:
        self.value = self.read(now) + 1.0 / RATE_MEMORY
        self.at = now

    def read(self, now: float) -> float:
        return self.value * exp((self.at - now) / RATE_MEMORY)


@dataclass(slots=True, eq=False)
class Cache:
    """What this router knows of one server. Emptied when the server starts anew or leaves the list."""

    ident: int
    zone: str
    near: Zone  # shared by all caches of its zone
    cell: int
    started: float
    state: EndpointState
    origin: bool
    kind: Latency  # of the caches that the list calls alike
    latency: Latency
    pace: Rate  # of the attempts that it answered for this router
    answered_at: float
    quiet_since: float
    salt: int
    weight: float = 1.0  # listed, over the usual one
    buckets: list[float] = field(default_factory=lambda: [0.0] * BUCKETS)
    bucket: int = 0  # the newest, counted from the clock's zero
    busy: float = 0.0
    out: int = 0
    connections: int = 0  # connections that this router has there, as far as attempts show
    load: float = 0.0
    multiplier: float = 1.0
    late: float = 0.0  # smoothed part of the promised time that its attempts take
    told: float = 0.0  # smoothed, what it holds for all routers over its weight
    told_at: float = 0.0
    fault: float = 0.0
    aside_until: float = 0.0
    full_until: float = 0.0
    walk: int = 0  # the last walk that came past
    share: float = 1.0  # of its keys, while it fades in
    tokens: float = 1.0
    queue: list[Operation] = field(default_factory=list)  # left on release, give-up, or a look

    def slide(self, bucket: int) -> None:
        """Empty the buckets that left the window, however long ago the last look was."""
        for n in range(max(self.bucket + 1, bucket - BUCKETS + 1), bucket + 1):
            self.busy -= self.buckets[n % BUCKETS]
            self.buckets[n % BUCKETS] = 0.0
        self.bucket = bucket


@dataclass(slots=True, eq=False)
class Zone:
    """What this router knows of the caches of one zone together."""

    latency: Latency
    failed: set[int] = field(default_factory=set)  # since one of them answered; emptied then
    out: int = 0
    keep: float = 1.0  # of the own one: the part of the keys that start there


@dataclass(slots=True)
class Gate:
    """The limit of this router's attempts at the origin."""

    bearable: float
    least: float = GATE_LEAST
    limit: float = GATE_LEAST
    free_at: float = 0.0  # below one attempt, reads wait for this
    out: int = 0
    smooth: float = 0.0
    floor: float = 0.0
    next_floor: float = 0.0
    epoch: float = 0.0
    cut_after: float = 0.0
    tight: bool = False

    def learn(self, elapsed: float, failed: bool, used: bool, now: float) -> None:
        """An attempt at the origin ended: move the limit by what it shows of a queue there."""
        self.smooth = elapsed if not self.smooth else GATE_KEEP * self.smooth + (1 - GATE_KEEP) * elapsed
        if now >= self.epoch:
            self.floor, self.next_floor = self.next_floor or self.smooth, self.smooth
            self.epoch = now + FLOOR_EPOCH
        self.next_floor = min(self.next_floor, self.smooth)
        self.floor = min(self.floor, self.smooth)
        if failed or self.smooth > max(GATE_SLOW * self.floor, self.floor + self.bearable):
            if now >= self.cut_after:
                self.limit = max(self.least, self.limit * GATE_CUT)
                self.cut_after = now + self.smooth
        elif used:
            self.limit += min(2.0 / self.limit, GATE_RISE * self.limit)
        if self.limit < 1.0:
            self.free_at = now + elapsed * (1.0 / self.limit - 1.0)


class Router:
    """The decisions of one router."""

    def __init__(self, deployment: Deployment, now: float) -> None:
        self.deployment = deployment
        self.log: list[str] = []  # emptied by the door after each call
        self.caches: dict[int, Cache] = {}  # follows the list
        self.active: dict[int, Cache] = {}  # with an attempt out or in the window; the others have no load
        self.zones: dict[str, Zone] = {}  # as many as in the lists so far
        self.own = Zone(Latency(now, ALIKE_KEEP, ALIKE_FADE))
        self.kinds: dict[str, Latency] = {}  # as many as labels in the list
        self.usual_weight = 0.0  # of the first list that told weights; only their ratios mean something
        self.origin: Cache | None = None
        # A queue holds up all that pass through it: the shortest promised time is what it is held to.
        self.shortest = min((t.latency_objective for t in deployment.traffic_types), default=1.0)
        # Four attempts of each of fifty routers kept a slow origin full of work that nobody waited for.
        least = min(GATE_LEAST, GATE_SHARED / deployment.router_count)
        self.gate = Gate(GATE_QUEUE * self.shortest, least, max(least, 1.0))
        self.fetches: dict[bytes, list[Operation]] = {}  # a key leaves when its fetch ends
        self.points: list[int] = []
        self.rings: list[list[int]] = []  # walked one after the other: all, or the own zone before all
        self.owners: dict[int, Cache] = {}  # by point
        self.moved: list[Cache] = []  # emptied when the ring has followed the list
        self.regions: dict[frozenset[str], tuple] = {}  # emptied with each change of what is ready
        self.fading: list[Cache] = []
        self.next_return = inf
        self.ready: list[Cache] = []  # up and not aside
        self.total = self.mean_delay = 0.0
        self.width = self.size = 1.0  # sums of the ready shares, by weight, and of the ready weights
        self.told = 0.0  # mean of what caches tell that they hold
        self.latency = Latency(now, ALIKE_KEEP)  # of all caches
        self.next_bucket, self.bucket = now, 0
        self.rate = Rate(now)  # of the attempts that caches answered
        self.counter = self.walks = self.late_count = 0
        # A second attempt opens a connection, and its time-out costs that: caches were crowded with them.
        self.least_room = SLOW_ROOM if deployment.one_attempt_per_connection else LEAST_ROOM
        self.starts = STARTS if deployment.one_attempt_per_connection and deployment.connection_price else 1
        self.salt = xxh64_intdigest(b"%d" % deployment.seed)
        self.repeats = 1.0  # further attempts that may follow a time-out
        self.spare = max(SPARE_TICKS * deployment.clock_granularity, 0.005)
        self.last_beat = now
        self.valve = self.lateness = self.pressed_until = self.late_sum = 0.0
        self.excused = 0.0  # time-outs that will not count as lateness
        self.work = [0.0] * (rows := len(deployment.traffic_types))  # mean time of a settled attempt
        self.asked = [0.0] * (2 * rows)  # decayed arrivals, in share and beyond
        self.drop = [0.0] * (2 * rows)
        self.used: list[float] = []  # own operations of each tenant a second, smoothed
        self.came: list[int] = []
        self.tokens: list[float] = []
        self.peers: dict[int, tuple[float, tuple[float, ...]]] = {}  # an entry leaves when stale
        self.elsewhere: list[float] = []  # rates of each tenant at all other routers, by those heard
        self.on_tenants_changed(deployment.tenants, set())
        self.fade = deployment.warm_up_time or FADE_WINDOW
        self.list_heard, self.list_failures = False, 0
        self.asking = BackgroundTask(TaskKind.POLL_ENDPOINTS, now)
        self.background_tasks = [self.asking] if deployment.must_poll else []
        if deployment.may_gossip and self.used and deployment.router_count > 1:
            self.background_tasks.append(
                BackgroundTask(TaskKind.GOSSIP, now + MESSAGE_EVERY * self._chance())
            )

    # ---------------------------------------------------------------- the three calls

    def route(self, thing: Operation | BackgroundTask, now: float) -> Decision:
        """Where to send this operation, or not yet, or never."""
        if now >= self.next_bucket:
            self._turn(now)
        if isinstance(thing, BackgroundTask):
            return self._run_errand(thing, now)
        if thing.finished:
            return NOTHING
        if not thing.admitted:
            return self._admit(thing, now)
        if thing.queued_at is not None:
            return self._look_in_queue(thing, now)
        if not thing.waiting_for_fetch:
            # Freed before its wait was over: its attempt is out, and asking again would send a second one.
            return NOTHING
        self._unjoin(thing)
        return self._route(thing, now)

    def on_attempt_finished(
        self,
        attempt: Attempt,
        outcome: Outcome,
        elapsed: float,
        over: bool,
        now: float,
        held: float | None = None,
    ) -> list[Step]:
        """What to do after this outcome, for its operation and for those that it frees."""
        if now >= self.next_bucket:
            self._turn(now)
        steps: list[Step] = []
        operation = attempt.operation
        attempt.in_flight = False
        cache = attempt.endpoint
        if cache.origin:
            self._learn_origin(attempt, outcome, elapsed, now)
        else:
            if held is not None:
                self._hear_load(cache, held / cache.weight, now)
            self._learn_cache(attempt, outcome, elapsed, now)
        operation.finished = operation.finished or over
        if not operation.finished:
            if outcome.may_have_run and operation.may_have_run_on is None:
                operation.may_have_run_on, operation.retry_deadline = (
                    cache,
                    attempt.sent_at + operation.traffic_type.retry_window,
                )
            steps.append(Step(operation, self._next(operation, attempt, outcome, now)))
        if cache.origin and not operation.is_write:
            self._end_fetch(operation, outcome is Outcome.SUCCEEDED, steps, now)
        elif cache.queue:
            self._release_queue(cache, steps, now)
        return steps

    def time_until_recheck(self, thing: Operation | BackgroundTask, now: float) -> float:
        """How long to wait before asking again."""
        if isinstance(thing, BackgroundTask):
            return min(max(thing.due - now, 0.0), 0.5)
        if thing.queued_at is not None:
            return max(min(QUEUE_LOOK, thing.objective_at - now), self.deployment.clock_granularity)
        return max(
            min(thing.objective_at, thing.give_up_at) - self.gate.smooth - now,
            self.deployment.clock_granularity,
        )

    # ---------------------------------------------------------------- notices

    def on_endpoints_changed(self, entries: list[EndpointEntry], whole: bool, held: bool, now: float) -> None:
        """The list or its changes; `held` is the one that this router kept over its restart."""
        if not held:
            self.list_heard, self.list_failures = True, 0
        named = {listing.ident for listing in entries}
        if self.deployment.has_endpoint_weights and not self.usual_weight:
            told = sorted(each.weight for each in entries if each.weight > 0.0)
            self.usual_weight = told[len(told) // 2] if told else 0.0
        for listing in entries:
            self._hear_server(listing, now)
        if whole:
            for ident in [i for i in self.caches if i not in named]:
                self._remove(self.caches[ident])
            if self.origin is not None and self.origin.ident not in named:
                self._remove(self.origin)
        self._rebuild(now)

    def on_poll_failed(self, now: float) -> None:
        """A call to the list failed: the last list stays, and the call is made again later."""
        self.list_heard, self.list_failures = False, self.list_failures + 1
        pause = min(ASK_AGAIN * self.list_failures, ASK_MOST, 0.5 * self.deployment.poll_deadline)
        pause *= 0.5 + self._chance()
        self.asking.due = now + pause
        if self.list_failures == 1:
            self.log.append(f"list call failed, again in {pause:.1f} s")

    def on_discovery_changed(self, now: float) -> None:
        """The list is asked for elsewhere: soon, but not by all routers at the same moment."""
        self.list_heard, self.list_failures = False, 0
        self.asking.due = now + MOVE_SPREAD * self._chance()

    def on_tenants_changed(self, tenants: tuple[Tenant, ...], anew: set[int]) -> None:
        """The tenants from now on; what is known of the places in `anew`, which changed hands, is emptied."""
        self.tenants = tenants
        self.elsewhere = []
        self.peers.clear()
        for figures, first in ((self.used, 0.0), (self.came, 0), (self.tokens, 1.0)):
            known = len(figures)
            figures[:] = [figures[i] if i < known and i not in anew else first for i in range(len(tenants))]

    def on_gossip(self, number: int, payload: bytes, now: float) -> None:
        """A peer told its rate of operations for each tenant."""
        count = len(self.used)
        rates = struct.unpack(f"<{count}f", payload) if len(payload) == 4 * count else (inf,)
        # One figure that is no number would stay in the tokens for good and end every tenant's share.
        if all(0.0 <= rate < inf for rate in rates):
            self.peers[number] = (now, rates)

    def cancel(self, operation: Operation) -> list[Attempt]:
        """The client left. Returns the attempts to call off."""
        operation.finished = True
        self._unjoin(operation)
        self._leave_queue(operation)
        return [attempt for attempt in operation.attempts if attempt.in_flight and self.deployment.may_cancel]

    # ---------------------------------------------------------------- the ordinary path: the ring walk

    def _walk(self, operation: Operation, now: float, region: frozenset[str] | None) -> Cache | None:
        """Clockwise from the key's place, past each cache over the bound; in a region, on its own rings."""
        if not self.points:
            return None
        operation.routed_at = now
        rings, total, width = self.rings, self.total, self.width
        if region is not None:
            rings, total, width = self._within(region)
        bound = max(LEAST_BOUND, FACTOR * total / width)
        key = xxh64_intdigest(operation.key)
        if operation.allowed_endpoints is not None:
            return self._walk_among(operation, key, bound)
        owners = self.owners
        most = min(len(self.caches), MOST_PASSED)
        self.walks = walk = self.walks + 1
        passed = hops = 0
        least = spare = None
        if len(rings) > 1 and ((key * MIX) & MASK) / SCALE >= self.own.keep:
            rings = rings[1:]  # a crowded zone gives up keys, always the same ones
        for points in rings:
            few = self.starts > 1 and now >= self.pressed_until
            start = self._start(points, key) if few else bisect_left(points, key)
            for i in range(start - len(points), start):
                cache = owners[points[i]]
                if cache.walk == walk:
                    continue
                cache.walk = walk
                passed += 1
                if operation.over_quota and passed == 1 and not self._has_spare_room(cache, now):
                    return None
                if self._may_take(cache, operation, key):
                    load = cache.load
                    if load <= bound and self._stays(cache, key, now):
                        return cache
                    hops += 1
                    if least is None or load < least.load:
                        least = cache
                elif cache.share < 1.0 and spare is None and self._may_join(cache, operation):
                    spare = cache
                if passed >= most or hops >= HOPS:
                    break
            most, hops = passed + most, 0
        return least or spare  # a joining cache within its budget, rather than none

    def _within(self, region: frozenset[str]) -> tuple[list[list[int]], float, float]:
        """The rings as far as they lie in a region; the load and the width of what is ready there."""
        if region not in self.regions:
            parts = [[p for p in points if self.owners[p].zone in region] for points in self.rings]
            self.regions[region] = [p for p in parts if p], [c for c in self.ready if c.zone in region]
        rings, ready = self.regions[region]
        width = sum([c.share * c.weight for c in ready])
        return rings, sum([c.load * c.weight for c in ready]), max(width, 0.01)

    def _start(self, points: list[int], key: int) -> int:
        """Where the walk starts: of the key's few starts one with an idle connection, that tells of least.

        A sparse router that asks each key's one home opens a connection for nearly each attempt, and hundreds
        of them crowd the home of a hot key before any has seen it over its bound.
        """
        place = bisect_left(points, key)
        found: dict[Cache, int] = {}
        for i in range(place - len(points), place):
            found.setdefault(self.owners[points[i]], i % len(points))
            if len(found) >= self.starts:
                break
        draw = (((key ^ self.salt) * MIX) & MASK) >> 32  # the same ones for this key at this router
        turns = [(n - draw) % len(found) for n in range(len(found))]
        told = [(cache.connections <= cache.out, cache.told) for cache in found]
        return min(zip(told, turns, found.values(), strict=True))[-1]

    def _stays(self, cache: Cache, key: int, now: float) -> bool:
        """Whether this router stays at a cache that tells of more than the bound.

        All hear the same late report: past the bound by that alone, they would all leave and all come back.
        So each key of each router has a draw, and as many stay as the cache would bear.
        """
        if not cache.told:
            return True
        bound = max(LEAST_BOUND, FACTOR * self.told)
        told = cache.told * exp((cache.told_at - now) / TOLD_FADE)
        draw = (((key ^ cache.salt ^ self.salt) * MIX) & MASK) / SCALE
        return told <= bound or draw < bound / told

    def _hear_load(self, cache: Cache, held: float, now: float) -> None:
        keep = TOLD_ATTEMPTS * exp((cache.told_at - now) / TOLD_FADE) if cache.told_at else 0.0
        cache.told += (1.0 - keep) * (held - cache.told)
        cache.told_at = now
        self.told += (1.0 - LATENCY_KEEP) * (held - self.told)

    def _walk_among(self, operation: Operation, key: int, bound: float) -> Cache | None:
        """The same walk where servers say who serves a key: past its owner over the bound, on to replicas."""
        least = spare = None
        for place, ident in enumerate(operation.allowed_endpoints):
            cache = self.caches.get(ident)
            if cache is None or cache.state is not EndpointState.UP:
                continue
            if operation.over_quota and not place and not self._has_spare_room(cache, operation.routed_at):
                return None
            if self._may_take(cache, operation, key):
                if cache.load <= bound:
                    return cache
                if least is None or cache.load < least.load:
                    least = cache
            elif cache.share < 1.0 and spare is None and self._may_join(cache, operation):
                spare = cache
        return least or spare

    def _enqueue(self, operation: Operation, now: float) -> bool:
        """A place in the brief queue before the one server of a key, where that lacks nothing but room."""
        cache = self.caches.get(operation.allowed_endpoints[0])
        if cache is None or not self._may_enqueue(cache, operation) or not cache.out:
            return False
        # Its pace of late says little of a quiet one: by the time of an attempt, and how many go at a time.
        wait = (2.0 + len(cache.queue) / cache.out) * (
            self.work[operation.traffic_type.row] or self.mean_delay
        )
        if len(cache.queue) >= QUEUE_MOST or now + wait > min(operation.objective_at, operation.give_up_at):
            return False
        cache.queue.append(operation)
        operation.queued_at = cache
        return True

    @staticmethod
    def _may_enqueue(cache: Cache, operation: Operation) -> bool:
        sound = cache.state is EndpointState.UP and not cache.aside_until
        budget = cache.share >= 1.0 or cache.tokens >= 1.0  # a cold cache's is not waited for
        return sound and budget and not operation.over_quota and cache not in operation.tried_endpoints

    def _look_in_queue(self, operation: Operation, now: float) -> Decision:
        """Whether waiting still makes sense: the list or a failure may have taken the server away."""
        if now < min(operation.objective_at, operation.give_up_at) and self._may_enqueue(
            operation.queued_at, operation
        ):
            return WAIT
        self._leave_queue(operation)
        return self._route(operation, now)

    def _leave_queue(self, operation: Operation) -> None:
        if operation.queued_at is not None:
            operation.queued_at.queue.remove(operation)
            operation.queued_at = None

    def _release_queue(self, cache: Cache, steps: list[Step], now: float) -> None:
        for operation in list(cache.queue):  # once each: one that cannot go for another reason queues anew
            if cache.full_until > now or self._is_full(cache, now):
                return
            self._leave_queue(operation)
            steps.append(Step(operation, self._route(operation, now)))

    def _has_spare_room(self, cache: Cache, now: float) -> bool:
        """Whether what is beyond a share may go to its home cache."""
        if not self.elsewhere and self.deployment.router_count > 1:
            return True  # untold by peers, a run of one tenant's at a sparse router is no proof of too much
        room = max(cache.pace.read(now) * SPARE_PART * self.shortest, SLOW_ROOM)
        return max(cache.late, self.lateness) <= SPARE_LATE and cache.out < room

    def _may_join(self, cache: Cache, operation: Operation) -> bool:
        """Whether a joining cache has budget left for a key that its draw does not give it yet."""
        free = cache.tokens >= 1.0 and not cache.aside_until and cache not in operation.tried_endpoints
        return free and (operation.may_have_run_on is None or self._drops_repeats(cache, operation))

    def _may_take(self, cache: Cache, operation: Operation, key: int) -> bool:
        """Whether this cache is there for this key at all, whatever its load."""
        if cache.aside_until or cache in operation.tried_endpoints:
            return False
        # Learnt cache by cache, a lost zone costs a sparse router its time-outs as often as it has caches.
        if cache.near.out and len(cache.near.failed) >= ZONE_LOST and len(self.zones) > 1:
            return False
        if cache.full_until > operation.routed_at or self._is_full(cache, operation.routed_at):
            return False
        part = cache.share * (cache.kind.keep if operation.allowed_endpoints is None else 1.0)
        if part < 1.0:
            # The draw is tied to the key: a joining cache warms with the keys that it will keep. Without
            # tokens the overflow of others' walks, or one hot key, would push a cold cache over.
            draw = (((key ^ cache.salt) * MIX) & MASK) / SCALE
            if draw >= part or (cache.share < 1.0 and cache.tokens < 1.0):
                return False
        return operation.may_have_run_on is None or self._drops_repeats(cache, operation)

    def _is_full(self, cache: Cache, now: float) -> bool:
        # A queue shows in what is out against what comes back long before it shows in latencies.
        least = self.least_room if cache.multiplier < SLOW and cache.late < CROWDED else SLOW_ROOM
        return cache.out >= least and cache.out >= cache.pace.read(now) * QUEUE_PART * self.shortest

    def _drops_repeats(self, cache: Cache, operation: Operation) -> bool:
        """Whether an attempt here cannot take effect a second time."""
        traffic = operation.traffic_type
        first = operation.may_have_run_on
        if traffic.effect is not Effect.WITH_IDEMPOTENCY_KEY:
            return traffic.effect is Effect.IDEMPOTENT
        if traffic.deduplication_scope is DeduplicationScope.ZONE:
            return cache.zone == first.zone
        return traffic.deduplication_scope is DeduplicationScope.ALL or cache.cell == first.cell

    def _weigh(self, cache: Cache) -> None:
        occupancy = cache.busy / (BUCKET * BUCKETS)
        load = (cache.out if cache.out > occupancy else occupancy) * cache.multiplier / cache.weight
        if cache.state is EndpointState.UP and not cache.aside_until:
            self.total += (load - cache.load) * cache.weight
        cache.load = load

    def _judge(self, cache: Cache, now: float) -> None:
        """Slide the window of one cache and weigh its latency against that of all."""
        cache.slide(self.bucket)
        if cache.out and now - cache.quiet_since > max(STUCK_LEAST, STUCK_MEANS * self.mean_delay):
            cache.multiplier = MOST_MULTIPLIER
        else:
            mean = self.latency.beside(1.0)
            alike = cache.kind.beside(mean)
            cache.multiplier = min(cache.latency.beside(alike) / mean, MOST_MULTIPLIER)
        self._weigh(cache)

    def _turn(self, now: float) -> None:
        """Once a bucket: weigh the caches in use anew.

        What fades does so by the time that really passed: counted by events, a sparse router's rates
        and budgets came out many times too high.
        """
        self.bucket = int(now / BUCKET)
        self.next_bucket = (self.bucket + 1) * BUCKET
        if now >= self.next_return:
            self._return(now)
        for cache in list(self.active.values()):
            self._judge(cache, now)
            if not cache.out and cache.busy < 1e-9:
                cache.busy = cache.load = 0.0
                del self.active[cache.ident]
        in_use = self.active.values()
        self.total = sum(
            c.load * c.weight for c in in_use if c.state is EndpointState.UP and not c.aside_until
        )
        if now - self.last_beat >= BEAT:
            self._beat(now)

    # ---------------------------------------------------------------- joins and cold caches

    def _fade(self, now: float, span: float) -> None:
        """The share of each joining cache, and its budget."""
        deployment = self.deployment
        if not self.fading:
            return
        width = self.size - sum(c.weight for c in self.fading)
        fair = self.rate.read(now) / self.size
        for cache in self.fading:
            age = max(now - cache.started, 0.0)
            cache.share = min(age / self.fade, 1.0) ** FADE_CURVE
            width += cache.share * cache.weight
            warm = min(age / deployment.warm_up_time, 1.0) if deployment.warm_up_time else 1.0
            capacity = deployment.cold_capacity + (1.0 - deployment.cold_capacity) * warm
            # A floor for each router, or a first token, pushes a cold cache over where there are hundreds.
            least = max(fair * cache.weight, COLD_FLOOR / deployment.router_count) * capacity
            most = max(1.0, fair * cache.weight * capacity * deployment.overload_time * 0.5)
            cache.tokens = min(cache.tokens + least * COLD_PART * deployment.overload_multiple * span, most)
            # What hundreds of routers saved up, a token each, pushes over a cold cache that all come to.
            if cache.tokens >= 1.0 and self._chance() * (deployment.overload_time or 1.0) < span:
                cache.tokens -= 1.0
        self.fading = [c for c in self.fading if c.share < 1.0]
        self.width = max(width, 0.01)

    # ---------------------------------------------------------------- set-aside

    def _learn_cache(self, attempt: Attempt, outcome: Outcome, elapsed: float, now: float) -> None:
        cache, operation = attempt.endpoint, attempt.operation
        cache.out -= 1
        cache.near.out -= 1
        cache.quiet_since = now
        if outcome in CUT:
            cache.connections = max(cache.connections - 1, 0)
        cache.slide(self.bucket)
        cache.buckets[self.bucket % BUCKETS] += elapsed
        cache.busy += elapsed
        if outcome in LOST or (outcome is Outcome.TIMED_OUT and cache.answered_at <= attempt.sent_at):
            cache.near.failed.add(cache.ident)
        elif outcome in ANSWERED or outcome in REDIRECTED:
            cache.answered_at = now
            cache.near.failed.clear()
        if outcome in ANSWERED:
            # Only answered attempts measure what a cache can bear: turned-away ones and repeats swell with
            # an overload and would raise the budget of the cold caches just then.
            self.rate.add(now)
            cache.pace.add(now)
        if outcome is Outcome.SUCCEEDED:
            self._learn_settled(cache, operation, elapsed, now)
        elif outcome is Outcome.REJECTED:
            # Sent on from cache to cache, turned-away attempts were most of the work of a full fleet.
            cache.full_until = now + FULL_PAUSE * (0.5 + self._chance())
            operation.rejections += 1
        elif outcome in LOST:
            silent = now - cache.answered_at > DEAD_SILENCE
            self._blame(cache, LOST_STEP if silent else FLAKY_STEP, elapsed, now)
        elif outcome is Outcome.TIMED_OUT and cache.answered_at > min(attempt.sent_at, now - DEAD_SILENCE):
            # It answers others: it is loaded, not at fault. Set aside, it would only load the next one.
            self._learn_latency(cache, elapsed / self.mean_delay if self.mean_delay else 1.0, now)
        elif outcome in FAULTS:
            # A quick error would make its cache look light and draw more keys to it: it counts
            # against the cache and its time as at least the mean.
            self._blame(cache, FAULT_STEP, elapsed, now)
        cache.late += (1.0 - CROWD_KEEP) * (min(elapsed / self.shortest, 1.5) - cache.late)
        if cache.late > CROWDED:
            # Held at even one attempt from each of many routers, a crowded cache that slows down stays so.
            cache.full_until = max(cache.full_until, now + CROWD_REST * elapsed * self._chance())
        if outcome is Outcome.TIMED_OUT and cache.answered_at <= attempt.sent_at and self.excused >= 1.0:
            # A lost zone's time-outs closed the valves of all routers, and kept them closed long after it.
            self.excused -= 1.0
        elif outcome not in (Outcome.CACHE_MISS, Outcome.CANCELLED, *REDIRECTED):
            part = min(elapsed / operation.traffic_type.latency_objective, 1.5)
            self.late_sum += 1.0 if outcome is Outcome.REJECTED else part
            self.late_count += 1
        self._judge(cache, now)

    def _learn_latency(self, cache: Cache, relative: float, now: float) -> None:
        for each in (cache.latency, cache.kind, self.latency):
            each.add(relative, now)
        if len(self.rings) > 1:
            cache.near.latency.add(relative, now)

    def _learn_settled(self, cache: Cache, operation: Operation, elapsed: float, now: float) -> None:
        # Misses are left out of the mean: they come back at once, an empty cache would look the quickest.
        row = operation.traffic_type.row
        self.work[row] += 0.02 * (elapsed - self.work[row]) if self.work[row] else max(elapsed, 1e-4)
        # From nought it would take a sparse router minutes, and each time-out looks many means long.
        self.mean_delay += 0.02 * (elapsed - self.mean_delay) if self.mean_delay else elapsed
        self._learn_latency(cache, elapsed / self.work[row], now)
        self.repeats = min(self.repeats + REPEAT_PART, REPEAT_MOST)
        self.excused = min(self.excused + EXCUSED_EACH, EXCUSED_MOST)
        cache.fault *= FAULT_EASE

    def _blame(self, cache: Cache, step: float, elapsed: float, now: float) -> None:
        self._learn_latency(cache, max(elapsed / self.mean_delay, 1.0) if self.mean_delay else 1.0, now)
        cache.fault += step * (1.0 - cache.fault)
        if cache.aside_until or cache.fault < FAULT_LIMIT:
            return
        aside = sum(1 for c in self.caches.values() if c.aside_until)
        # With a zone lost, attempts would go on to the dead ones above the cap and fail one by one.
        most = MOST_DEAD if now - cache.answered_at > DEAD_SILENCE else MOST_ASIDE
        if cache.state is not EndpointState.UP or (aside + 1) > most * len(self.caches):
            return  # never the whole fleet: what fails everywhere is no fault of one cache
        cache.aside_until = now + ASIDE_TIME + ASIDE_CHANCE * self._chance()
        self.next_return = min(self.next_return, cache.aside_until)
        self.log.append(f"cache {cache.ident} aside: fault {cache.fault:.2f}, {aside + 1} aside")
        self._choose_ready()

    def _return(self, now: float) -> None:
        back = [c for c in self.caches.values() if c.aside_until and now >= c.aside_until]
        for cache in back:
            cache.aside_until = 0.0
            cache.fault = FAULT_LIMIT / 2
            cache.late = CROWDED  # one attempt, and more as it answers in time
            cache.latency = Latency(now)
            self.log.append(f"cache {cache.ident} back")
        self.next_return = min((c.aside_until for c in self.caches.values() if c.aside_until), default=inf)
        if back:
            self._choose_ready()

    # ---------------------------------------------------------------- the list

    def _hear_server(self, listing: EndpointEntry, now: float) -> None:
        known = self.caches.get(listing.ident)
        origin = listing.kind == self.deployment.origin_kind
        if origin and self.origin is not None and self.origin.ident == listing.ident:
            known = self.origin
        if listing.state is EndpointState.GONE:
            if known is not None:
                self._remove(known)
            return
        if known is not None and listing.started <= known.started:  # of the process before: undoes no drain
            stale = listing.started < known.started and listing.state is EndpointState.UP
            if stale or listing.state is known.state:
                return
        if known is None or listing.started > known.started:
            if known is not None:
                self._remove(known)
            kind = self.kinds.setdefault(listing.kind, Latency(now, ALIKE_KEEP, ALIKE_FADE))
            own = listing.zone == self.deployment.zone
            near = self.own if own else Zone(Latency(now, ALIKE_KEEP, ALIKE_FADE))
            near = near if origin else self.zones.setdefault(listing.zone, near)
            known = Cache(
                listing.ident,
                listing.zone,
                near,
                listing.cell,
                listing.started,
                listing.state,
                origin,
                kind,
                Latency(now),
                Rate(now),
                now,
                now,
                xxh64_intdigest(b"fade-%d" % listing.ident),
            )
            if self.usual_weight and listing.weight > 0.0:
                known.weight = min(max(listing.weight / self.usual_weight, 1 / MOST_WEIGHT), MOST_WEIGHT)
            if listing.started and now - listing.started < self.fade:
                known.share, known.tokens = 0.0, self._chance()
            if origin:
                self.origin = known
            else:
                self.caches[listing.ident] = known
        known.state = listing.state
        self.moved.append(known)

    def _remove(self, cache: Cache) -> None:
        cache.state = EndpointState.GONE
        if cache is self.origin:
            self.origin = None
        elif self.caches.get(cache.ident) is cache:
            del self.caches[cache.ident]
            self.active.pop(cache.ident, None)
            self.moved.append(cache)

    def _rebuild(self, now: float) -> None:
        """Move the points of those that came or went; a full sort a list message is too dear."""
        if not self.moved:
            return
        gone, new = set(), []
        for cache in [c for c in self.moved if not c.origin]:
            count = max(int(POINTS * cache.weight), 1)
            points = [xxh64_intdigest(b"%d-%d" % (cache.ident, i)) for i in range(count)]
            if self.caches.get(cache.ident) is not cache or cache.state is not EndpointState.UP:
                gone.update(points)
                continue
            gone.difference_update(points)  # of its process before; that may have had more points
            new += [point for point in points if point not in self.owners]
            self.owners.update(dict.fromkeys(points, cache))
        for point in gone:
            self.owners.pop(point, None)
        if gone or new:
            self.points = sorted([p for p in self.points if p not in gone] + new)
        self.rings = [self.points]
        if self.deployment.cross_zone_price >= NEAR_PRICE:
            own = [p for p in self.points if self.owners[p].zone == self.deployment.zone]
            self.rings = [own, self.points] if own else [self.points]
        self.moved.clear()
        self._choose_ready()
        self._fade(now, 0.0)

    def _choose_ready(self) -> None:
        self.regions.clear()
        self.ready = [c for c in self.caches.values() if c.state is EndpointState.UP and not c.aside_until]
        self.fading = [c for c in self.ready if c.share < 1.0]
        self.total = sum(c.load * c.weight for c in self.ready)
        self.size = sum(c.weight for c in self.ready)
        self.width = max(sum(c.share * c.weight for c in self.ready), 0.01)

    # ---------------------------------------------------------------- admission under overload

    def _admit(self, operation: Operation, now: float) -> Decision:
        """A new operation: its times, its place within the shares, and whether the valve lets it in."""
        operation.admitted = True
        traffic = operation.traffic_type
        operation.objective_at = operation.arrived_at + traffic.latency_objective
        last = operation.deadline - self.spare
        operation.give_up_at = last if traffic.late_weight else min(last, operation.objective_at - self.spare)
        operation.over_quota = self._beyond_share(operation)
        place = 2 * traffic.row + operation.over_quota
        if operation.is_write and self.deployment.cache_aside:
            # It asks nothing of the caches: refusing it would lose its payoff and relieve nobody.
            return self._route(operation, now)
        self.asked[place] += 1.0
        if self.drop[place] and self._chance() < self.drop[place]:
            return self._give_up(operation, now)
        return self._route(operation, now)

    def _beyond_share(self, operation: Operation) -> bool:
        tenant = operation.tenant
        if tenant < 0:
            return False
        self.came[tenant] += 1
        if self.tokens[tenant] >= 1.0:
            self.tokens[tenant] -= 1.0
            return False
        return True

    def _beat(self, now: float) -> None:
        """The valve: closes while attempts take too much of the promised time, lowest payoff first."""
        span, self.last_beat = now - self.last_beat, now
        beats = span / BEAT
        self._fade(now, span)
        self._share_out(now, span)
        if self.late_count:
            self.lateness = LATE_KEEP * self.lateness + (1 - LATE_KEEP) * self.late_sum / self.late_count
            self.late_sum, self.late_count = 0.0, 0
        else:
            self.lateness *= IDLE_KEEP**beats
        # A sparse router has seen few caches of a slow kind when all of them are already overrun.
        mean = self.latency.beside(1.0)
        quickest = min((kind.beside(mean) for kind in self.kinds.values() if kind.finished), default=mean)
        power = 1 if self.usual_weight else KEEP_POWER  # weights hold part of it already
        for kind in self.kinds.values():
            kind.keep = max((quickest / kind.beside(mean)) ** power, KEEP_LEAST)
        if len(self.rings) > 1:
            others = [z.latency.beside(mean) for z in self.zones.values() if z is not self.own]
            away = min(others, default=mean) / self.own.latency.beside(mean)
            self.own.keep = max(min(away**NEAR_POWER, 1.0), KEEP_LEAST)
        before, over = self.valve, self.lateness / CALM - 1.0
        self.valve += VALVE_RISE * min(over, 1.0) if over > 0.0 else VALVE_FALL * over * beats
        self.valve = min(max(self.valve, 0.0), 0.95)
        if bool(before) != bool(self.valve):
            state = "closing" if self.valve else "open"
            self.log.append(f"valve {state}: legs take {self.lateness:.2f} of the promised time")
        self._set_drops(beats)

    def _set_drops(self, beats: float) -> None:
        self.asked = [a * 0.95**beats for a in self.asked]
        if not self.valve:
            self.drop = [0.0] * len(self.drop)
            return
        weight = [a * (self.work[i // 2] or 1.0) for i, a in enumerate(self.asked)]
        left = self.valve * sum(weight)
        for i in sorted(range(len(weight)), key=self._worth):
            part = min(left / weight[i], 1.0) if weight[i] > 0.0 else 0.0
            self.drop[i] = part
            left -= part * weight[i]

    def _worth(self, place: int) -> tuple[float, int]:
        traffic = self.deployment.traffic_types[place // 2]
        worth = traffic.priority_weight * (self.deployment.over_quota_weight if place % 2 else 1.0)
        if not self.deployment.weight_by_work:
            worth /= self.work[traffic.row] or 1.0
        return worth, place

    def _share_out(self, now: float, span: float) -> None:
        """Refill each tenant's tokens: its allowance, cut to the part that comes through this router."""
        for i, count in enumerate(self.came):
            self.used[i] += (1.0 - USED_KEEP ** (span / BEAT)) * (count / span - self.used[i])
            self.came[i] = 0
        for i, tenant in enumerate(self.tenants):
            if self.elsewhere:
                everywhere = self.used[i] + self.elsewhere[i]
                refill = tenant.rate_limit * (self.used[i] / everywhere if everywhere else 1.0)
            else:
                refill = 1.25 * tenant.quota * sum(self.used)
            self.tokens[i] = min(self.tokens[i] + refill * span, max(SHARE_DEPTH, refill))

    # ---------------------------------------------------------------- routing, retries, the origin

    def _route(self, operation: Operation, now: float) -> Decision:
        # Asked only behind a failed attempt, a miss or a joined fetch sent on what was no longer remembered.
        spent = len(operation.attempts) - operation.redirect_count >= self.deployment.max_attempts
        if spent or now >= operation.give_up_at or not self._may_repeat(operation, now):
            return self._give_up(operation, now)
        if self.deployment.cache_aside and (operation.wants_origin or operation.is_write):
            return self._ask_origin(operation, now)
        cache = None
        for region in operation.regions:
            cache = self._walk(operation, now, region)
            if cache is not None or (operation.over_quota and region and self._within(region)[0]):
                break
        if cache is None:
            queued = operation.allowed_endpoints and self._enqueue(operation, now)
            return WAIT if queued else self._give_up(operation, now)
        if cache.share < 1.0:
            cache.tokens -= 1.0
        if not cache.out:
            cache.quiet_since = now
        cache.out += 1
        cache.connections = max(cache.connections, cache.out)
        cache.near.out += 1
        if cache.ident not in self.active:
            self.active[cache.ident] = cache
            self._judge(cache, now)
        else:
            self._weigh(cache)
        return self._send(operation, cache, self._patience(operation, now), now)

    def _patience(self, operation: Operation, now: float) -> float:
        """The time-out of an attempt: room is left for another where one may follow."""
        left = operation.give_up_at - now
        last = len(operation.attempts) + 2 > self.deployment.max_attempts
        last = last or max(self.repeats, self.excused) < 1.0
        if operation.traffic_type.effect is not Effect.IDEMPOTENT or last:
            return left
        usual = self.work[operation.traffic_type.row] or self.mean_delay
        first = PATIENCE * (min(operation.objective_at, operation.give_up_at) - now)
        return left if first < 3.0 * usual or first + usual > left else first

    def _send(self, operation: Operation, cache: Cache, time_out: float, now: float) -> Decision:
        attempt = Attempt(operation, cache, len(operation.attempts), now)
        operation.attempts.append(attempt)
        operation.tried_endpoints.append(cache)
        return Decision(Action.SEND, attempt, max(time_out, 0.001))

    def _next(self, operation: Operation, attempt: Attempt, outcome: Outcome, now: float) -> Decision:
        """After an attempt that did not settle its operation."""
        if outcome is Outcome.CACHE_MISS and not attempt.endpoint.origin:
            operation.wants_origin = True
            if len(operation.attempts) >= self.deployment.max_attempts:
                return self._give_up(operation, now)  # no attempt is left to end a wait with
            waiting = self.fetches.get(operation.key)
            if waiting is not None and not operation.is_write:
                # A fetch for this key is out: a second one would only load the origin.
                waiting.append(operation)
                operation.waiting_for_fetch = True
                return WAIT
            return self._route(operation, now)
        if outcome in REDIRECTED:
            # It never ran there. Servers that each name the other would be asked until the deadline.
            operation.redirect_count += 1
            if operation.redirect_count > MOST_REDIRECTS or not operation.allowed_endpoints:
                return self._give_up(operation, now)
            operation.tried_endpoints = [
                cache for cache in operation.tried_endpoints if cache.ident != operation.allowed_endpoints[0]
            ]
            return self._route(operation, now)
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT) or attempt.endpoint.origin:
            # A full origin is not asked again for a read: repeats are what keeps it full.
            full = outcome in (Outcome.REJECTED, Outcome.TIMED_OUT) and not operation.is_write
            if full or now + self.gate.smooth > operation.give_up_at:
                return self._give_up(operation, now)
        usual = self.work[operation.traffic_type.row] or self.mean_delay
        late = now + usual > operation.give_up_at  # another attempt would not end in time
        if late or operation.rejections >= MOST_TURNED or not self._may_repeat(operation, now):
            return self._give_up(operation, now)
        # A silent cache that others do not share runs nothing of it: a repeat elsewhere adds no load.
        if outcome is Outcome.TIMED_OUT and (
            attempt.endpoint.answered_at > attempt.sent_at or self.excused < 1.0
        ):
            if self.repeats < 1.0:
                return self._give_up(operation, now)
            self.repeats -= 1.0
        return self._route(operation, now)

    def _may_repeat(self, operation: Operation, now: float) -> bool:
        return now + REPEAT_WAY < operation.retry_deadline  # it must arrive while the first is remembered

    def _ask_origin(self, operation: Operation, now: float) -> Decision:
        """A place at the origin now, or none."""
        origin, gate = self.origin, self.gate
        up = origin is not None and origin.state is EndpointState.UP
        if not up or (operation.may_have_run_on is not None and not self._drops_repeats(origin, operation)):
            return self._give_up(operation, now)
        # No queue: with one, crowded days were served less (docs/standing.md; why was not measured).
        room = gate.out < max(gate.limit, 1.0) and (operation.is_write or now >= gate.free_at)
        if not room:
            self.pressed_until = now + PRESSED
            return self._give_up(operation, now)
        gate.out += 1
        if not operation.is_write:
            self.fetches.setdefault(operation.key, [])
        return self._send(operation, origin, operation.give_up_at - now, now)

    def _learn_origin(self, attempt: Attempt, outcome: Outcome, elapsed: float, now: float) -> None:
        gate = self.gate
        gate.out -= 1
        if outcome in ANSWERED:
            attempt.endpoint.answered_at = now
        # It answers others: this one's connection fell silent. Taken for a queue, a few such closed the gate.
        lone = outcome is Outcome.TIMED_OUT and attempt.endpoint.answered_at > attempt.sent_at
        if lone or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        before = gate.limit
        if outcome in LOST:
            # Refused at once, attempts tell nothing of its time; dead, it got thousands of them a second.
            elapsed = max(elapsed, gate.smooth)
            if now - attempt.endpoint.answered_at > DEAD_SILENCE:
                gate.free_at = now + ORIGIN_REST * (0.5 + self._chance())
        # Spoilt answers and resets show no queue: cut for each, the limit sank and reads waited in vain.
        gate.learn(elapsed, outcome not in NO_QUEUE, gate.out + 1 >= 0.5 * gate.limit, now)
        tight = gate.limit < before or (gate.tight and gate.limit < 2 * gate.least)
        if tight != gate.tight:
            gate.tight = tight
            text = f"limit {gate.limit:.1f}, {gate.smooth:.3f}/{gate.floor:.3f} s"
            self.log.append(f"origin {'tight' if tight else 'easy'}: {text}")

    def _end_fetch(self, operation: Operation, stored: bool, steps: list[Step], now: float) -> None:
        """The fetch for a key ended: those that waited go to the cache that now holds it.

        After a failed fetch one of them fetches in its place; all at once would pile up at the origin.
        """
        if steps and steps[0].decision.action in (Action.SEND, Action.WAIT) and not operation.finished:
            return  # the same operation fetches again
        waiting = self.fetches.pop(operation.key, [])
        while waiting:
            waiter = waiting.pop(0)
            waiter.waiting_for_fetch = False
            if waiter.finished:
                continue
            waiter.wants_origin = not stored
            waiter.tried_endpoints.clear()
            answer = self._route(waiter, now)
            steps.append(Step(waiter, answer))
            if not stored and answer.action in (Action.SEND, Action.WAIT):
                self.fetches.setdefault(operation.key, []).extend(waiting)
                return

    def _unjoin(self, operation: Operation) -> None:
        waiting = self.fetches.get(operation.key)
        if waiting is not None and operation in waiting:
            waiting.remove(operation)
        operation.waiting_for_fetch = False

    # ---------------------------------------------------------------- giving up

    def _give_up(self, operation: Operation, now: float) -> Decision:
        """The final answer at once: a refusal where a repeat by the client does no harm, else a failure."""
        operation.finished = True
        self._leave_queue(operation)
        longest = self.deployment.max_retry_after
        away = longest * (0.5 + 0.5 * self._chance()) if self.valve else 0.1 + 0.2 * self._chance()
        away, traffic = min(away, longest), operation.traffic_type
        apart = (
            traffic.effect is Effect.WITH_IDEMPOTENCY_KEY
            and traffic.deduplication_scope is not DeduplicationScope.ALL
        )
        # Its client comes back behind that: with the key forgotten by then, it would take effect once more.
        if operation.may_have_run_on is not None and (
            apart or now + away + REPEAT_WAY > operation.retry_deadline
        ):
            return FAIL
        return Decision(Action.REJECT, retry_after=away)

    # ---------------------------------------------------------------- errands and chance

    def _run_errand(self, task: BackgroundTask, now: float) -> Decision:
        if now < task.due:
            return WAIT
        if task.kind is TaskKind.GOSSIP:
            task.due = now + MESSAGE_EVERY * (0.9 + 0.2 * self._chance())
            self._sum_peers(now)
            told = struct.pack(f"<{len(self.used)}f", *self.used)
            return Decision(Action.GOSSIP, payload=told, peers=self._some())
        task.due = now + UNANSWERED
        return WAIT if self.list_heard else Decision(Action.POLL)

    def _sum_peers(self, now: float) -> None:
        self.peers = {n: told for n, told in self.peers.items() if now - told[0] < PEER_STALE}
        scale = (self.deployment.router_count - 1) / max(len(self.peers), 1)
        self.elsewhere = [scale * sum(rs) for rs in zip(*[r for _, r in self.peers.values()], strict=True)]

    def _some(self) -> tuple[int, ...]:
        """The peers to tell this time, in turn from a place of chance."""
        others = self.deployment.router_count - 1
        first = int(self._chance() * others)
        places = [(first + i) % others for i in range(min(MESSAGE_PEERS, others))]
        return tuple((self.deployment.router_number + 1 + place) % (others + 1) for place in places)

    def _chance(self) -> float:
        self.counter += 1
        return zlib.crc32(b"%d:%d" % (self.deployment.seed, self.counter)) / 4294967296.0
