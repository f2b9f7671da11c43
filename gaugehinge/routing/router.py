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
POINTS_PER_ENDPOINT = 100  # ring points of a cache, times its listed weight over the usual one
MAX_RELATIVE_WEIGHT = 8.0  # a listed weight counts as at most this many times the usual one, or this part of it
BALANCE_FACTOR = 1.25  # the balance factor: a cache over this times the ready mean is walked past
MIN_LOAD_BOUND = 2.0  # below two in flight a bound would scatter the keys of a quiet router
MAX_HOPS = 10  # caches looked at before the least loaded one is taken
MIN_CROSS_ZONE_PRICE = 0.05  # a crossing of zones at this price is dearer than the hits of one pool for all
ZONE_SHARE_EXPONENT = 3  # of the quickest other zone's latency over the own one's: the part of its keys it keeps
START_CANDIDATES = 4  # where a new connection has a price, the walk may start at one of so many caches of a key
ORIGIN_PRESSURE_TIME = 5.0  # seconds after a refusal for want of a place at the origin: spread keys miss more
MAX_PASSED = 12  # caches passed in all, with those that cannot take it: a full fleet is not searched whole
BUCKET_TIME = 0.03  # the occupancy window is five of these
BUCKET_COUNT = 5
MAX_LATENCY_MULTIPLIER = 5.0  # of relative latency; also the mark of a stuck cache
LATENCY_DECAY = 0.98  # a bucket: some seconds of attempts make a mean,
ATTEMPT_DECAY = 0.9  # but an attempt leaves at least this: a sparse router sees a cache once in many seconds,
GROUP_ATTEMPT_DECAY = 0.95  # and its like somewhat more often
GROUP_LATENCY_DECAY = 0.997  # a bucket, of labels and zones: by a second's uneven attempts, kept shares fluttered
PRIOR_ATTEMPTS = 2.0  # attempts at the mean of its like that each cache is credited with: few attempts say little
STUCK_AFTER_MEANS = 4.0  # silent for so many mean latencies with attempts out: stuck, not quiet
MIN_STUCK_TIME = 0.1  # and never judged stuck before this
WARM_UP_EXPONENT = 2.5
DEFAULT_WARM_UP_TIME = 30.0  # where no warm-up time is stated; else that time: by then a cache bears its share

# Slow labels
MIN_KEY_SHARE = 0.2  # they keep this part of their keys, or could never show that they recovered
LABEL_SHARE_EXPONENT = 2  # of the quickest label's latency over theirs: alone, few attempts' means draw it near one

# Load that caches tell with their answers
REPORT_DECAY = 0.8  # of what a cache told before, a report: one alone is late and noisy
REPORT_LIFETIME = 10.0  # seconds without a further one: late reports steer nobody for long

# Cold caches
MIN_WARM_UP_RATE = 2.5  # attempts a second that all routers together try at a cold cache, however little they see
OVERLOAD_SAFETY_FACTOR = 0.5  # of the multiple of its capacity that is stated to push a cold cache over
RATE_WINDOW = 1.0  # seconds, for the rates of answered attempts

# Set-aside
FAILURE_STEP = 0.25  # what one failure adds to the fault mark, of what is left to 1
CONNECTION_FAILURE_STEP = 0.45  # the same for a connection that failed at a silent cache: two in a row set aside,
SPORADIC_FAILURE_STEP = 0.1  # but at one that answers others it is most often the network's, or an old connection's
SUCCESS_DECAY = 0.85  # what a settled attempt leaves of the mark
EJECTION_THRESHOLD = 0.5
EJECTION_TIME, EJECTION_JITTER = 2.0, 1.0  # a set-aside cache returns after this plus a random part
MAX_EJECTED_SHARE = 0.34  # part of the fleet that may be aside at once: the rest would drown,
ZONE_FAILURE_THRESHOLD = 3  # caches of a zone that failed with none of it answering since: one attempt at a time goes
MAX_SILENT_EJECTED_SHARE = 0.75  # but this part where the cache answered nothing lately: a lost zone bears no load anyway
SILENCE_THRESHOLD = 0.5  # seconds without an answer, with failures, that make it so

REJECTION_PAUSE = 0.1  # a cache that turned an attempt away is passed for about this: some of its queue drains
MAX_REJECTIONS = 2  # caches that may turn one operation away before it is refused
MAX_QUEUE_LENGTH = 64  # operations that wait for room at the only server of their key,
QUEUE_RECHECK_INTERVAL = 0.05  # and how often each looks whether that is still so
MAX_REDIRECTS = 5  # a slot that moves on while it is asked for takes two or three; a loop takes all

# The origin
MIN_ORIGIN_LIMIT = 4.0  # the start too; a slow origin still bears what it bore: fewer attempts out only starve it,
SHARED_ORIGIN_LIMIT = 20.0  # but of this each of many routers has only its part, below one attempt if need be
MAX_LIMIT_GROWTH = 0.25  # of the limit at most, an attempt
LIMIT_CUT_FACTOR = 0.75
QUEUE_LATENCY_RATIO = 2.5  # smoothed latency over this times its floor means a queue at the origin,
QUEUE_OBJECTIVE_SHARE = 0.3  # but not before it took this part of the shortest promised time: latencies vary by nature
ORIGIN_LATENCY_DECAY = 0.95  # of the smoothed latency, a finished attempt
UNREACHABLE_ORIGIN_PAUSE = 0.2  # about, between reads sent to an origin that answers nothing and refuses connections
LATENCY_FLOOR_EPOCH = 15.0  # the latency floor is the least of the last two epochs

# Overload
IN_FLIGHT_OBJECTIVE_SHARE = 0.3  # of the promised time: a cache holds no more attempts than it answers in this,
OVER_QUOTA_OBJECTIVE_SHARE = 0.15  # and what is beyond a share only goes to a home cache that answers within this
OVER_QUOTA_MAX_LATENESS = 0.25  # and whose attempts take less than this part of the promised time
MIN_CONCURRENCY = 2  # attempts a cache may hold however few it answered: a sparse router learns by them,
MIN_SLOW_CONCURRENCY = 1  # but many sparse routers crowd a cache with two each: one where it is known to be slow
SLOW_MULTIPLIER = 1.5  # this relative latency, or crowded:
CROWDED_LATENESS = 0.25  # its attempts take this part of the promised time
CROWDING_DECAY = 0.8  # of that measure, an attempt
CROWDED_PAUSE_FACTOR = 1.0  # a crowded cache rests so many times its last attempt's time, or floors alone keep it full
CONTROL_INTERVAL = 0.1  # how often the valve moves, and budgets are refilled
USAGE_DECAY = 0.95  # a beat, of a tenant's measured rate
MIN_BURST = 6.0  # operations of a tenant at once: few come through a sparse router, in runs of chance
TARGET_LATENESS = 0.45  # mean share of the promised time that an attempt may take before the valve closes
SHED_RISE = 0.06
SHED_FALL = 0.06
LATENESS_DECAY = 0.8  # of the lateness measured, a beat with attempts,
IDLE_LATENESS_DECAY = 0.98  # and a beat without: a sparse router must remember from attempt to attempt
EXCUSED_PER_SUCCESS = 2.0  # time-outs at silent caches that a settled attempt excuses: dead caches are no load,
MAX_EXCUSED_TIMEOUTS = 6.0  # but where most attempts time out they are what an overrun fleet looks like

# Time
REPLY_RESERVE_TICKS = 3  # kept free before the deadline, for the answer's own way
FIRST_ATTEMPT_SHARE = 0.6  # part of the useful time left that one attempt may take while another is possible
RETRIES_PER_SUCCESS = 0.1  # of an allowance to repeat what timed out that a settled attempt earns: where most
MAX_RETRY_BUDGET = 3.0  # attempts time out, repeats are what keeps the fleet overrun
RETRY_TRANSIT_TIME = 0.5  # seconds that a repeat may take to its server

# Errands
POLL_BACKOFF, MAX_POLL_BACKOFF = 0.4, 1.25  # pauses after failed calls to the list grow, but a change is told after 6 s
DISCOVERY_CHANGE_JITTER = 0.5  # all routers are told at once where the list is asked for from now on
POLL_TIMEOUT = 4.0  # a call with no answer for this long is made again
GOSSIP_INTERVAL = 1.0
GOSSIP_FANOUT = 6  # told each time: all of a few routers, of hundreds a sample that does not grow with them
PEER_EXPIRY = 5.0  # a peer silent for this long no longer counts

HASH_RANGE = float(1 << 64)
MIX_MULTIPLIER = 0x9E3779B97F4A7C15
HASH_MASK = (1 << 64) - 1

NOTHING = Decision(Action.NONE)
WAIT = Decision(Action.WAIT)
FAIL = Decision(Action.FAIL)
CONNECTION_FAILURES = (Outcome.CONNECT_FAILED, Outcome.CONNECTION_LOST)
SERVER_FAILURES = (Outcome.SERVER_ERROR, Outcome.MALFORMED_RESPONSE, Outcome.TIMED_OUT, Outcome.UNKNOWN)
REDIRECTS = (Outcome.MOVED, Outcome.ASK_REDIRECT)
RESPONSES = (Outcome.SUCCEEDED, Outcome.CACHE_MISS, Outcome.MALFORMED_RESPONSE)
CONNECTION_ENDING = (
    *CONNECTION_FAILURES,
    Outcome.MALFORMED_RESPONSE,
    Outcome.TIMED_OUT,
    Outcome.CANCELLED,
)  # they take their connection along
NO_QUEUE_EVIDENCE = (*RESPONSES, Outcome.CONNECTION_LOST)


@dataclass(slots=True)
class DecayedLatency:
    """A decayed mean of attempts' times over their types' means; fades by time, not faster than they come."""

    updated_at: float
    attempt_decay: float = ATTEMPT_DECAY
    decay: float = LATENCY_DECAY
    total: float = 0.0
    count: float = 0.0
    key_share: float = 1.0  # of a label in the list: the part of their keys that its caches keep

    def add(self, delay: float, now: float) -> None:
        keep = max(self.decay ** ((now - self.updated_at) / BUCKET_TIME), self.attempt_decay)
        self.total = self.total * keep + min(delay, MAX_LATENCY_MULTIPLIER)
        self.count = self.count * keep + 1.0
        self.updated_at = now

    def with_prior(self, mean: float) -> float:
        """The mean, with a few attempts at another mean added: few attempts say little."""
        return (self.total + PRIOR_ATTEMPTS * mean) / (self.count + PRIOR_ATTEMPTS)


@dataclass(slots=True)
class EventRate:
    """Events a second, remembered for about RATE_WINDOW."""

    updated_at: float
    value: float = 0.0

    def add(self, now: float) -> None:
        self.value = self.value_at(now) + 1.0 / RATE_WINDOW
        self.updated_at = now

    def value_at(self, now: float) -> float:
        return self.value * exp((self.updated_at - now) / RATE_WINDOW)


@dataclass(slots=True, eq=False)
class Endpoint:
    """What this router knows of one server. Emptied when the server starts anew or leaves the list."""

    ident: int
    zone: str
    zone_figures: ZoneFigures  # shared by all caches of its zone
    cell: int
    started: float
    state: EndpointState
    origin: bool
    label_figures: DecayedLatency  # of the caches that the list calls alike
    latency: DecayedLatency
    completion_rate: EventRate  # of the attempts that it answered for this router
    last_answer_at: float
    silent_since: float
    salt: int
    weight: float = 1.0  # listed, over the usual one
    busy_buckets: list[float] = field(default_factory=lambda: [0.0] * BUCKET_COUNT)
    newest_bucket: int = 0  # the newest, counted from the clock's zero
    busy_time: float = 0.0
    in_flight: int = 0
    connections: int = 0  # connections that this router has there, as far as attempts show
    load: float = 0.0
    latency_multiplier: float = 1.0
    lateness: float = 0.0  # smoothed part of the promised time that its attempts take
    reported_load: float = 0.0  # smoothed, what it holds for all routers over its weight
    reported_at: float = 0.0
    failure_score: float = 0.0
    ejected_until: float = 0.0
    full_until: float = 0.0
    last_walk: int = 0  # the last walk that came past
    warm_up_share: float = 1.0  # of its keys, while it fades in
    warm_up_budget: float = 1.0
    queue: list[Operation] = field(default_factory=list)  # left on release, give-up, or a look

    def advance_to(self, bucket: int) -> None:
        """Empty the buckets that left the window, however long ago the last look was."""
        for n in range(max(self.newest_bucket + 1, bucket - BUCKET_COUNT + 1), bucket + 1):
            self.busy_time -= self.busy_buckets[n % BUCKET_COUNT]
            self.busy_buckets[n % BUCKET_COUNT] = 0.0
        self.newest_bucket = bucket


@dataclass(slots=True, eq=False)
class ZoneFigures:
    """What this router knows of the caches of one zone together."""

    latency: DecayedLatency
    failed: set[int] = field(default_factory=set)  # since one of them answered; emptied then
    in_flight: int = 0
    key_share: float = 1.0  # of the own one: the part of the keys that start there


@dataclass(slots=True)
class OriginConcurrencyLimit:
    """The limit of this router's attempts at the origin."""

    queue_allowance: float
    min_limit: float = MIN_ORIGIN_LIMIT
    limit: float = MIN_ORIGIN_LIMIT
    next_read_at: float = 0.0  # below one attempt, reads wait for this
    in_flight: int = 0
    smoothed_latency: float = 0.0
    latency_floor: float = 0.0
    next_floor: float = 0.0
    floor_expires_at: float = 0.0
    next_cut_at: float = 0.0
    is_tight: bool = False

    def adapt(self, elapsed: float, failed: bool, used: bool, now: float) -> None:
        """An attempt at the origin ended: move the limit by what it shows of a queue there."""
        self.smoothed_latency = elapsed if not self.smoothed_latency else ORIGIN_LATENCY_DECAY * self.smoothed_latency + (1 - ORIGIN_LATENCY_DECAY) * elapsed
        if now >= self.floor_expires_at:
            self.latency_floor, self.next_floor = self.next_floor or self.smoothed_latency, self.smoothed_latency
            self.floor_expires_at = now + LATENCY_FLOOR_EPOCH
        self.next_floor = min(self.next_floor, self.smoothed_latency)
        self.latency_floor = min(self.latency_floor, self.smoothed_latency)
        if failed or self.smoothed_latency > max(QUEUE_LATENCY_RATIO * self.latency_floor, self.latency_floor + self.queue_allowance):
            if now >= self.next_cut_at:
                self.limit = max(self.min_limit, self.limit * LIMIT_CUT_FACTOR)
                self.next_cut_at = now + self.smoothed_latency
        elif used:
            self.limit += min(2.0 / self.limit, MAX_LIMIT_GROWTH * self.limit)
        if self.limit < 1.0:
            self.next_read_at = now + elapsed * (1.0 / self.limit - 1.0)


class Router:
    """The decisions of one router."""

    def __init__(self, deployment: Deployment, now: float) -> None:
        self.deployment = deployment
        self.log: list[str] = []  # emptied by the door after each call
        self.endpoints: dict[int, Endpoint] = {}  # follows the list
        self.active: dict[int, Endpoint] = {}  # with an attempt out or in the window; the others have no load
        self.zones: dict[str, ZoneFigures] = {}  # as many as in the lists so far
        self.own_zone = ZoneFigures(DecayedLatency(now, GROUP_ATTEMPT_DECAY, GROUP_LATENCY_DECAY))
        self.labels: dict[str, DecayedLatency] = {}  # as many as labels in the list
        self.usual_weight = 0.0  # of the first list that told weights; only their ratios mean something
        self.origin: Endpoint | None = None
        # A queue holds up all that pass through it: the shortest promised time is what it is held to.
        self.shortest_objective = min((t.latency_objective for t in deployment.traffic_types), default=1.0)
        # Four attempts of each of fifty routers kept a slow origin full of work that nobody waited for.
        least = min(MIN_ORIGIN_LIMIT, SHARED_ORIGIN_LIMIT / deployment.router_count)
        self.origin_limit = OriginConcurrencyLimit(QUEUE_OBJECTIVE_SHARE * self.shortest_objective, least, max(least, 1.0))
        self.waiting_by_key: dict[bytes, list[Operation]] = {}  # a key leaves when its fetch ends
        self.points: list[int] = []
        self.rings: list[list[int]] = []  # walked one after the other: all, or the own zone before all
        self.owners: dict[int, Endpoint] = {}  # by point
        self.changed: list[Endpoint] = []  # emptied when the ring has followed the list
        self.region_cache: dict[frozenset[str], tuple] = {}  # emptied with each change of what is ready
        self.warming_up: list[Endpoint] = []
        self.next_readmission = inf
        self.ready: list[Endpoint] = []  # up and not aside
        self.total_load = self.mean_duration = 0.0
        self.effective_weight = self.ready_weight = 1.0  # sums of the ready shares, by weight, and of the ready weights
        self.mean_reported_load = 0.0  # mean of what caches tell that they hold
        self.fleet_latency = DecayedLatency(now, GROUP_ATTEMPT_DECAY)  # of all caches
        self.next_bucket, self.bucket = now, 0
        self.completion_rate = EventRate(now)  # of the attempts that caches answered
        self.counter = self.walk_number = self.lateness_count = 0
        # A second attempt opens a connection, and its time-out costs that: caches were crowded with them.
        self.min_concurrency = MIN_SLOW_CONCURRENCY if deployment.one_attempt_per_connection else MIN_CONCURRENCY
        self.start_candidates = START_CANDIDATES if deployment.one_attempt_per_connection and deployment.connection_price else 1
        self.salt = xxh64_intdigest(b"%d" % deployment.seed)
        self.retry_budget = 1.0  # further attempts that may follow a time-out
        self.reply_reserve = max(REPLY_RESERVE_TICKS * deployment.clock_granularity, 0.005)
        self.last_control_at = now
        self.shed_level = self.lateness = self.pressed_until = self.lateness_sum = 0.0
        self.excused_timeouts = 0.0  # time-outs that will not count as lateness
        self.mean_durations = [0.0] * (rows := len(deployment.traffic_types))  # mean time of a settled attempt
        self.demand = [0.0] * (2 * rows)  # decayed arrivals, in share and beyond
        self.shed_probabilities = [0.0] * (2 * rows)
        self.usage: list[float] = []  # own operations of each tenant a second, smoothed
        self.arrivals: list[int] = []
        self.tokens: list[float] = []
        self.peer_rates: dict[int, tuple[float, tuple[float, ...]]] = {}  # an entry leaves when stale
        self.rates_elsewhere: list[float] = []  # rates of each tenant at all other routers, by those heard
        self.on_tenants_changed(deployment.tenants, set())
        self.warm_up_time = deployment.warm_up_time or DEFAULT_WARM_UP_TIME
        self.list_received, self.poll_failures = False, 0
        self.poll_task = BackgroundTask(TaskKind.POLL_ENDPOINTS, now)
        self.background_tasks = [self.poll_task] if deployment.must_poll else []
        if deployment.may_gossip and self.usage and deployment.router_count > 1:
            self.background_tasks.append(
                BackgroundTask(TaskKind.GOSSIP, now + GOSSIP_INTERVAL * self._random())
            )

    # ---------------------------------------------------------------- the three calls

    def route(self, thing: Operation | BackgroundTask, now: float) -> Decision:
        """Where to send this operation, or not yet, or never."""
        if now >= self.next_bucket:
            self._advance_window(now)
        if isinstance(thing, BackgroundTask):
            return self._run_background_task(thing, now)
        if thing.finished:
            return NOTHING
        if not thing.admitted:
            return self._admit(thing, now)
        if thing.queued_at is not None:
            return self._recheck_queued(thing, now)
        if not thing.waiting_for_fetch:
            # Freed before its wait was over: its attempt is out, and asking again would send a second one.
            return NOTHING
        self._leave_fetch(thing)
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
            self._advance_window(now)
        steps: list[Step] = []
        operation = attempt.operation
        attempt.in_flight = False
        cache = attempt.endpoint
        if cache.origin:
            self._record_origin_attempt(attempt, outcome, elapsed, now)
        else:
            if held is not None:
                self._record_load_report(cache, held / cache.weight, now)
            self._record_attempt(attempt, outcome, elapsed, now)
        operation.finished = operation.finished or over
        if not operation.finished:
            if outcome.may_have_run and operation.may_have_run_on is None:
                operation.may_have_run_on, operation.retry_deadline = (
                    cache,
                    attempt.sent_at + operation.traffic_type.retry_window,
                )
            steps.append(Step(operation, self._after_failed_attempt(operation, attempt, outcome, now)))
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
            return max(min(QUEUE_RECHECK_INTERVAL, thing.objective_at - now), self.deployment.clock_granularity)
        return max(
            min(thing.objective_at, thing.give_up_at) - self.origin_limit.smoothed_latency - now,
            self.deployment.clock_granularity,
        )

    # ---------------------------------------------------------------- notices

    def on_endpoints_changed(self, entries: list[EndpointEntry], whole: bool, held: bool, now: float) -> None:
        """The list or its changes; `held` is the one that this router kept over its restart."""
        if not held:
            self.list_received, self.poll_failures = True, 0
        named = {listing.ident for listing in entries}
        if self.deployment.has_endpoint_weights and not self.usual_weight:
            told = sorted(each.weight for each in entries if each.weight > 0.0)
            self.usual_weight = told[len(told) // 2] if told else 0.0
        for listing in entries:
            self._apply_entry(listing, now)
        if whole:
            for ident in [i for i in self.endpoints if i not in named]:
                self._remove(self.endpoints[ident])
            if self.origin is not None and self.origin.ident not in named:
                self._remove(self.origin)
        self._update_ring(now)

    def on_poll_failed(self, now: float) -> None:
        """A call to the list failed: the last list stays, and the call is made again later."""
        self.list_received, self.poll_failures = False, self.poll_failures + 1
        pause = min(POLL_BACKOFF * self.poll_failures, MAX_POLL_BACKOFF, 0.5 * self.deployment.poll_deadline)
        pause *= 0.5 + self._random()
        self.poll_task.due = now + pause
        if self.poll_failures == 1:
            self.log.append(f"list call failed, again in {pause:.1f} s")

    def on_discovery_changed(self, now: float) -> None:
        """The list is asked for elsewhere: soon, but not by all routers at the same moment."""
        self.list_received, self.poll_failures = False, 0
        self.poll_task.due = now + DISCOVERY_CHANGE_JITTER * self._random()

    def on_tenants_changed(self, tenants: tuple[Tenant, ...], anew: set[int]) -> None:
        """The tenants from now on; what is known of the places in `anew`, which changed hands, is emptied."""
        self.tenants = tenants
        self.rates_elsewhere = []
        self.peer_rates.clear()
        for figures, first in ((self.usage, 0.0), (self.arrivals, 0), (self.tokens, 1.0)):
            known = len(figures)
            figures[:] = [figures[i] if i < known and i not in anew else first for i in range(len(tenants))]

    def on_gossip(self, number: int, payload: bytes, now: float) -> None:
        """A peer told its rate of operations for each tenant."""
        count = len(self.usage)
        rates = struct.unpack(f"<{count}f", payload) if len(payload) == 4 * count else (inf,)
        # One figure that is no number would stay in the tokens for good and end every tenant's share.
        if all(0.0 <= rate < inf for rate in rates):
            self.peer_rates[number] = (now, rates)

    def cancel(self, operation: Operation) -> list[Attempt]:
        """The client left. Returns the attempts to call off."""
        operation.finished = True
        self._leave_fetch(operation)
        self._leave_queue(operation)
        return [attempt for attempt in operation.attempts if attempt.in_flight and self.deployment.may_cancel]

    # ---------------------------------------------------------------- the ordinary path: the ring walk

    def _select(self, operation: Operation, now: float, region: frozenset[str] | None) -> Endpoint | None:
        """Clockwise from the key's place, past each cache over the bound; in a region, on its own rings."""
        if not self.points:
            return None
        operation.routed_at = now
        rings, total, width = self.rings, self.total_load, self.effective_weight
        if region is not None:
            rings, total, width = self._within_region(region)
        bound = max(MIN_LOAD_BOUND, BALANCE_FACTOR * total / width)
        key = xxh64_intdigest(operation.key)
        if operation.allowed_endpoints is not None:
            return self._select_among(operation, key, bound)
        owners = self.owners
        most = min(len(self.endpoints), MAX_PASSED)
        self.walk_number = walk = self.walk_number + 1
        passed = hops = 0
        least = spare = None
        if len(rings) > 1 and ((key * MIX_MULTIPLIER) & HASH_MASK) / HASH_RANGE >= self.own_zone.key_share:
            rings = rings[1:]  # a crowded zone gives up keys, always the same ones
        for points in rings:
            few = self.start_candidates > 1 and now >= self.pressed_until
            start = self._start_position(points, key) if few else bisect_left(points, key)
            for i in range(start - len(points), start):
                cache = owners[points[i]]
                if cache.last_walk == walk:
                    continue
                cache.last_walk = walk
                passed += 1
                if operation.over_quota and passed == 1 and not self._has_room_over_quota(cache, now):
                    return None
                if self._may_serve(cache, operation, key):
                    load = cache.load
                    if load <= bound and self._stays_despite_report(cache, key, now):
                        return cache
                    hops += 1
                    if least is None or load < least.load:
                        least = cache
                elif cache.warm_up_share < 1.0 and spare is None and self._may_spend_warm_up_budget(cache, operation):
                    spare = cache
                if passed >= most or hops >= MAX_HOPS:
                    break
            most, hops = passed + most, 0
        return least or spare  # a joining cache within its budget, rather than none

    def _within_region(self, region: frozenset[str]) -> tuple[list[list[int]], float, float]:
        """The rings as far as they lie in a region; the load and the width of what is ready there."""
        if region not in self.region_cache:
            parts = [[p for p in points if self.owners[p].zone in region] for points in self.rings]
            self.region_cache[region] = [p for p in parts if p], [c for c in self.ready if c.zone in region]
        rings, ready = self.region_cache[region]
        width = sum([c.warm_up_share * c.weight for c in ready])
        return rings, sum([c.load * c.weight for c in ready]), max(width, 0.01)

    def _start_position(self, points: list[int], key: int) -> int:
        """Where the walk starts: of the key's few starts one with an idle connection, that tells of least.

        A sparse router that asks each key's one home opens a connection for nearly each attempt, and hundreds
        of them crowd the home of a hot key before any has seen it over its bound.
        """
        place = bisect_left(points, key)
        found: dict[Endpoint, int] = {}
        for i in range(place - len(points), place):
            found.setdefault(self.owners[points[i]], i % len(points))
            if len(found) >= self.start_candidates:
                break
        draw = (((key ^ self.salt) * MIX_MULTIPLIER) & HASH_MASK) >> 32  # the same ones for this key at this router
        turns = [(n - draw) % len(found) for n in range(len(found))]
        told = [(cache.connections <= cache.in_flight, cache.reported_load) for cache in found]
        return min(zip(told, turns, found.values(), strict=True))[-1]

    def _stays_despite_report(self, cache: Endpoint, key: int, now: float) -> bool:
        """Whether this router stays at a cache that tells of more than the bound.

        All hear the same late report: past the bound by that alone, they would all leave and all come back.
        So each key of each router has a draw, and as many stay as the cache would bear.
        """
        if not cache.reported_load:
            return True
        bound = max(MIN_LOAD_BOUND, BALANCE_FACTOR * self.mean_reported_load)
        told = cache.reported_load * exp((cache.reported_at - now) / REPORT_LIFETIME)
        draw = (((key ^ cache.salt ^ self.salt) * MIX_MULTIPLIER) & HASH_MASK) / HASH_RANGE
        return told <= bound or draw < bound / told

    def _record_load_report(self, cache: Endpoint, held: float, now: float) -> None:
        keep = REPORT_DECAY * exp((cache.reported_at - now) / REPORT_LIFETIME) if cache.reported_at else 0.0
        cache.reported_load += (1.0 - keep) * (held - cache.reported_load)
        cache.reported_at = now
        self.mean_reported_load += (1.0 - LATENCY_DECAY) * (held - self.mean_reported_load)

    def _select_among(self, operation: Operation, key: int, bound: float) -> Endpoint | None:
        """The same walk where servers say who serves a key: past its owner over the bound, on to replicas."""
        least = spare = None
        for place, ident in enumerate(operation.allowed_endpoints):
            cache = self.endpoints.get(ident)
            if cache is None or cache.state is not EndpointState.UP:
                continue
            if operation.over_quota and not place and not self._has_room_over_quota(cache, operation.routed_at):
                return None
            if self._may_serve(cache, operation, key):
                if cache.load <= bound:
                    return cache
                if least is None or cache.load < least.load:
                    least = cache
            elif cache.warm_up_share < 1.0 and spare is None and self._may_spend_warm_up_budget(cache, operation):
                spare = cache
        return least or spare

    def _try_enqueue(self, operation: Operation, now: float) -> bool:
        """A place in the brief queue before the one server of a key, where that lacks nothing but room."""
        cache = self.endpoints.get(operation.allowed_endpoints[0])
        if cache is None or not self._may_wait(cache, operation) or not cache.in_flight:
            return False
        # Its pace of late says little of a quiet one: by the time of an attempt, and how many go at a time.
        wait = (2.0 + len(cache.queue) / cache.in_flight) * (
            self.mean_durations[operation.traffic_type.row] or self.mean_duration
        )
        if len(cache.queue) >= MAX_QUEUE_LENGTH or now + wait > min(operation.objective_at, operation.give_up_at):
            return False
        cache.queue.append(operation)
        operation.queued_at = cache
        return True

    @staticmethod
    def _may_wait(cache: Endpoint, operation: Operation) -> bool:
        sound = cache.state is EndpointState.UP and not cache.ejected_until
        budget = cache.warm_up_share >= 1.0 or cache.warm_up_budget >= 1.0  # a cold cache's is not waited for
        return sound and budget and not operation.over_quota and cache not in operation.tried_endpoints

    def _recheck_queued(self, operation: Operation, now: float) -> Decision:
        """Whether waiting still makes sense: the list or a failure may have taken the server away."""
        if now < min(operation.objective_at, operation.give_up_at) and self._may_wait(
            operation.queued_at, operation
        ):
            return WAIT
        self._leave_queue(operation)
        return self._route(operation, now)

    def _leave_queue(self, operation: Operation) -> None:
        if operation.queued_at is not None:
            operation.queued_at.queue.remove(operation)
            operation.queued_at = None

    def _release_queue(self, cache: Endpoint, steps: list[Step], now: float) -> None:
        for operation in list(cache.queue):  # once each: one that cannot go for another reason queues anew
            if cache.full_until > now or self._is_full(cache, now):
                return
            self._leave_queue(operation)
            steps.append(Step(operation, self._route(operation, now)))

    def _has_room_over_quota(self, cache: Endpoint, now: float) -> bool:
        """Whether what is beyond a share may go to its home cache."""
        if not self.rates_elsewhere and self.deployment.router_count > 1:
            return True  # untold by peers, a run of one tenant's at a sparse router is no proof of too much
        room = max(cache.completion_rate.value_at(now) * OVER_QUOTA_OBJECTIVE_SHARE * self.shortest_objective, MIN_SLOW_CONCURRENCY)
        return max(cache.lateness, self.lateness) <= OVER_QUOTA_MAX_LATENESS and cache.in_flight < room

    def _may_spend_warm_up_budget(self, cache: Endpoint, operation: Operation) -> bool:
        """Whether a joining cache has budget left for a key that its draw does not give it yet."""
        free = cache.warm_up_budget >= 1.0 and not cache.ejected_until and cache not in operation.tried_endpoints
        return free and (operation.may_have_run_on is None or self._is_repeat_harmless(cache, operation))

    def _may_serve(self, cache: Endpoint, operation: Operation, key: int) -> bool:
        """Whether this cache is there for this key at all, whatever its load."""
        if cache.ejected_until or cache in operation.tried_endpoints:
            return False
        # Learnt cache by cache, a lost zone costs a sparse router its time-outs as often as it has caches.
        if cache.zone_figures.in_flight and len(cache.zone_figures.failed) >= ZONE_FAILURE_THRESHOLD and len(self.zones) > 1:
            return False
        if cache.full_until > operation.routed_at or self._is_full(cache, operation.routed_at):
            return False
        part = cache.warm_up_share * (cache.label_figures.key_share if operation.allowed_endpoints is None else 1.0)
        if part < 1.0:
            # The draw is tied to the key: a joining cache warms with the keys that it will keep. Without
            # tokens the overflow of others' walks, or one hot key, would push a cold cache over.
            draw = (((key ^ cache.salt) * MIX_MULTIPLIER) & HASH_MASK) / HASH_RANGE
            if draw >= part or (cache.warm_up_share < 1.0 and cache.warm_up_budget < 1.0):
                return False
        return operation.may_have_run_on is None or self._is_repeat_harmless(cache, operation)

    def _is_full(self, cache: Endpoint, now: float) -> bool:
        # A queue shows in what is out against what comes back long before it shows in latencies.
        least = self.min_concurrency if cache.latency_multiplier < SLOW_MULTIPLIER and cache.lateness < CROWDED_LATENESS else MIN_SLOW_CONCURRENCY
        return cache.in_flight >= least and cache.in_flight >= cache.completion_rate.value_at(now) * IN_FLIGHT_OBJECTIVE_SHARE * self.shortest_objective

    def _is_repeat_harmless(self, cache: Endpoint, operation: Operation) -> bool:
        """Whether an attempt here cannot take effect a second time."""
        traffic = operation.traffic_type
        first = operation.may_have_run_on
        if traffic.effect is not Effect.WITH_IDEMPOTENCY_KEY:
            return traffic.effect is Effect.IDEMPOTENT
        if traffic.deduplication_scope is DeduplicationScope.ZONE:
            return cache.zone == first.zone
        return traffic.deduplication_scope is DeduplicationScope.ALL or cache.cell == first.cell

    def _update_load(self, cache: Endpoint) -> None:
        occupancy = cache.busy_time / (BUCKET_TIME * BUCKET_COUNT)
        load = (cache.in_flight if cache.in_flight > occupancy else occupancy) * cache.latency_multiplier / cache.weight
        if cache.state is EndpointState.UP and not cache.ejected_until:
            self.total_load += (load - cache.load) * cache.weight
        cache.load = load

    def _reassess(self, cache: Endpoint, now: float) -> None:
        """Slide the window of one cache and weigh its latency against that of all."""
        cache.advance_to(self.bucket)
        if cache.in_flight and now - cache.silent_since > max(MIN_STUCK_TIME, STUCK_AFTER_MEANS * self.mean_duration):
            cache.latency_multiplier = MAX_LATENCY_MULTIPLIER
        else:
            mean = self.fleet_latency.with_prior(1.0)
            alike = cache.label_figures.with_prior(mean)
            cache.latency_multiplier = min(cache.latency.with_prior(alike) / mean, MAX_LATENCY_MULTIPLIER)
        self._update_load(cache)

    def _advance_window(self, now: float) -> None:
        """Once a bucket: weigh the caches in use anew.

        What fades does so by the time that really passed: counted by events, a sparse router's rates
        and budgets came out many times too high.
        """
        self.bucket = int(now / BUCKET_TIME)
        self.next_bucket = (self.bucket + 1) * BUCKET_TIME
        if now >= self.next_readmission:
            self._readmit(now)
        for cache in list(self.active.values()):
            self._reassess(cache, now)
            if not cache.in_flight and cache.busy_time < 1e-9:
                cache.busy_time = cache.load = 0.0
                del self.active[cache.ident]
        in_use = self.active.values()
        self.total_load = sum(
            c.load * c.weight for c in in_use if c.state is EndpointState.UP and not c.ejected_until
        )
        if now - self.last_control_at >= CONTROL_INTERVAL:
            self._run_control_interval(now)

    # ---------------------------------------------------------------- joins and cold caches

    def _advance_warm_up(self, now: float, span: float) -> None:
        """The share of each joining cache, and its budget."""
        deployment = self.deployment
        if not self.warming_up:
            return
        width = self.ready_weight - sum(c.weight for c in self.warming_up)
        fair = self.completion_rate.value_at(now) / self.ready_weight
        for cache in self.warming_up:
            age = max(now - cache.started, 0.0)
            cache.warm_up_share = min(age / self.warm_up_time, 1.0) ** WARM_UP_EXPONENT
            width += cache.warm_up_share * cache.weight
            warm = min(age / deployment.warm_up_time, 1.0) if deployment.warm_up_time else 1.0
            capacity = deployment.cold_capacity + (1.0 - deployment.cold_capacity) * warm
            # A floor for each router, or a first token, pushes a cold cache over where there are hundreds.
            least = max(fair * cache.weight, MIN_WARM_UP_RATE / deployment.router_count) * capacity
            most = max(1.0, fair * cache.weight * capacity * deployment.overload_time * 0.5)
            cache.warm_up_budget = min(cache.warm_up_budget + least * OVERLOAD_SAFETY_FACTOR * deployment.overload_multiple * span, most)
            # What hundreds of routers saved up, a token each, pushes over a cold cache that all come to.
            if cache.warm_up_budget >= 1.0 and self._random() * (deployment.overload_time or 1.0) < span:
                cache.warm_up_budget -= 1.0
        self.warming_up = [c for c in self.warming_up if c.warm_up_share < 1.0]
        self.effective_weight = max(width, 0.01)

    # ---------------------------------------------------------------- set-aside

    def _record_attempt(self, attempt: Attempt, outcome: Outcome, elapsed: float, now: float) -> None:
        cache, operation = attempt.endpoint, attempt.operation
        cache.in_flight -= 1
        cache.zone_figures.in_flight -= 1
        cache.silent_since = now
        if outcome in CONNECTION_ENDING:
            cache.connections = max(cache.connections - 1, 0)
        cache.advance_to(self.bucket)
        cache.busy_buckets[self.bucket % BUCKET_COUNT] += elapsed
        cache.busy_time += elapsed
        if outcome in CONNECTION_FAILURES or (outcome is Outcome.TIMED_OUT and cache.last_answer_at <= attempt.sent_at):
            cache.zone_figures.failed.add(cache.ident)
        elif outcome in RESPONSES or outcome in REDIRECTS:
            cache.last_answer_at = now
            cache.zone_figures.failed.clear()
        if outcome in RESPONSES:
            # Only answered attempts measure what a cache can bear: turned-away ones and repeats swell with
            # an overload and would raise the budget of the cold caches just then.
            self.completion_rate.add(now)
            cache.completion_rate.add(now)
        if outcome is Outcome.SUCCEEDED:
            self._record_success(cache, operation, elapsed, now)
        elif outcome is Outcome.REJECTED:
            # Sent on from cache to cache, turned-away attempts were most of the work of a full fleet.
            cache.full_until = now + REJECTION_PAUSE * (0.5 + self._random())
            operation.rejections += 1
        elif outcome in CONNECTION_FAILURES:
            silent = now - cache.last_answer_at > SILENCE_THRESHOLD
            self._record_failure(cache, CONNECTION_FAILURE_STEP if silent else SPORADIC_FAILURE_STEP, elapsed, now)
        elif outcome is Outcome.TIMED_OUT and cache.last_answer_at > min(attempt.sent_at, now - SILENCE_THRESHOLD):
            # It answers others: it is loaded, not at fault. Set aside, it would only load the next one.
            self._record_latency(cache, elapsed / self.mean_duration if self.mean_duration else 1.0, now)
        elif outcome in SERVER_FAILURES:
            # A quick error would make its cache look light and draw more keys to it: it counts
            # against the cache and its time as at least the mean.
            self._record_failure(cache, FAILURE_STEP, elapsed, now)
        cache.lateness += (1.0 - CROWDING_DECAY) * (min(elapsed / self.shortest_objective, 1.5) - cache.lateness)
        if cache.lateness > CROWDED_LATENESS:
            # Held at even one attempt from each of many routers, a crowded cache that slows down stays so.
            cache.full_until = max(cache.full_until, now + CROWDED_PAUSE_FACTOR * elapsed * self._random())
        if outcome is Outcome.TIMED_OUT and cache.last_answer_at <= attempt.sent_at and self.excused_timeouts >= 1.0:
            # A lost zone's time-outs closed the valves of all routers, and kept them closed long after it.
            self.excused_timeouts -= 1.0
        elif outcome not in (Outcome.CACHE_MISS, Outcome.CANCELLED, *REDIRECTS):
            part = min(elapsed / operation.traffic_type.latency_objective, 1.5)
            self.lateness_sum += 1.0 if outcome is Outcome.REJECTED else part
            self.lateness_count += 1
        self._reassess(cache, now)

    def _record_latency(self, cache: Endpoint, relative: float, now: float) -> None:
        for each in (cache.latency, cache.label_figures, self.fleet_latency):
            each.add(relative, now)
        if len(self.rings) > 1:
            cache.zone_figures.latency.add(relative, now)

    def _record_success(self, cache: Endpoint, operation: Operation, elapsed: float, now: float) -> None:
        # Misses are left out of the mean: they come back at once, an empty cache would look the quickest.
        row = operation.traffic_type.row
        self.mean_durations[row] += 0.02 * (elapsed - self.mean_durations[row]) if self.mean_durations[row] else max(elapsed, 1e-4)
        # From nought it would take a sparse router minutes, and each time-out looks many means long.
        self.mean_duration += 0.02 * (elapsed - self.mean_duration) if self.mean_duration else elapsed
        self._record_latency(cache, elapsed / self.mean_durations[row], now)
        self.retry_budget = min(self.retry_budget + RETRIES_PER_SUCCESS, MAX_RETRY_BUDGET)
        self.excused_timeouts = min(self.excused_timeouts + EXCUSED_PER_SUCCESS, MAX_EXCUSED_TIMEOUTS)
        cache.failure_score *= SUCCESS_DECAY

    def _record_failure(self, cache: Endpoint, step: float, elapsed: float, now: float) -> None:
        self._record_latency(cache, max(elapsed / self.mean_duration, 1.0) if self.mean_duration else 1.0, now)
        cache.failure_score += step * (1.0 - cache.failure_score)
        if cache.ejected_until or cache.failure_score < EJECTION_THRESHOLD:
            return
        aside = sum(1 for c in self.endpoints.values() if c.ejected_until)
        # With a zone lost, attempts would go on to the dead ones above the cap and fail one by one.
        most = MAX_SILENT_EJECTED_SHARE if now - cache.last_answer_at > SILENCE_THRESHOLD else MAX_EJECTED_SHARE
        if cache.state is not EndpointState.UP or (aside + 1) > most * len(self.endpoints):
            return  # never the whole fleet: what fails everywhere is no fault of one cache
        cache.ejected_until = now + EJECTION_TIME + EJECTION_JITTER * self._random()
        self.next_readmission = min(self.next_readmission, cache.ejected_until)
        self.log.append(f"cache {cache.ident} aside: fault {cache.failure_score:.2f}, {aside + 1} aside")
        self._refresh_ready()

    def _readmit(self, now: float) -> None:
        back = [c for c in self.endpoints.values() if c.ejected_until and now >= c.ejected_until]
        for cache in back:
            cache.ejected_until = 0.0
            cache.failure_score = EJECTION_THRESHOLD / 2
            cache.lateness = CROWDED_LATENESS  # one attempt, and more as it answers in time
            cache.latency = DecayedLatency(now)
            self.log.append(f"cache {cache.ident} back")
        self.next_readmission = min((c.ejected_until for c in self.endpoints.values() if c.ejected_until), default=inf)
        if back:
            self._refresh_ready()

    # ---------------------------------------------------------------- the list

    def _apply_entry(self, listing: EndpointEntry, now: float) -> None:
        known = self.endpoints.get(listing.ident)
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
            kind = self.labels.setdefault(listing.kind, DecayedLatency(now, GROUP_ATTEMPT_DECAY, GROUP_LATENCY_DECAY))
            own = listing.zone == self.deployment.zone
            near = self.own_zone if own else ZoneFigures(DecayedLatency(now, GROUP_ATTEMPT_DECAY, GROUP_LATENCY_DECAY))
            near = near if origin else self.zones.setdefault(listing.zone, near)
            known = Endpoint(
                listing.ident,
                listing.zone,
                near,
                listing.cell,
                listing.started,
                listing.state,
                origin,
                kind,
                DecayedLatency(now),
                EventRate(now),
                now,
                now,
                xxh64_intdigest(b"fade-%d" % listing.ident),
            )
            if self.usual_weight and listing.weight > 0.0:
                known.weight = min(max(listing.weight / self.usual_weight, 1 / MAX_RELATIVE_WEIGHT), MAX_RELATIVE_WEIGHT)
            if listing.started and now - listing.started < self.warm_up_time:
                known.warm_up_share, known.warm_up_budget = 0.0, self._random()
            if origin:
                self.origin = known
            else:
                self.endpoints[listing.ident] = known
        known.state = listing.state
        self.changed.append(known)

    def _remove(self, cache: Endpoint) -> None:
        cache.state = EndpointState.GONE
        if cache is self.origin:
            self.origin = None
        elif self.endpoints.get(cache.ident) is cache:
            del self.endpoints[cache.ident]
            self.active.pop(cache.ident, None)
            self.changed.append(cache)

    def _update_ring(self, now: float) -> None:
        """Move the points of those that came or went; a full sort a list message is too dear."""
        if not self.changed:
            return
        gone, new = set(), []
        for cache in [c for c in self.changed if not c.origin]:
            count = max(int(POINTS_PER_ENDPOINT * cache.weight), 1)
            points = [xxh64_intdigest(b"%d-%d" % (cache.ident, i)) for i in range(count)]
            if self.endpoints.get(cache.ident) is not cache or cache.state is not EndpointState.UP:
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
        if self.deployment.cross_zone_price >= MIN_CROSS_ZONE_PRICE:
            own = [p for p in self.points if self.owners[p].zone == self.deployment.zone]
            self.rings = [own, self.points] if own else [self.points]
        self.changed.clear()
        self._refresh_ready()
        self._advance_warm_up(now, 0.0)

    def _refresh_ready(self) -> None:
        self.region_cache.clear()
        self.ready = [c for c in self.endpoints.values() if c.state is EndpointState.UP and not c.ejected_until]
        self.warming_up = [c for c in self.ready if c.warm_up_share < 1.0]
        self.total_load = sum(c.load * c.weight for c in self.ready)
        self.ready_weight = sum(c.weight for c in self.ready)
        self.effective_weight = max(sum(c.warm_up_share * c.weight for c in self.ready), 0.01)

    # ---------------------------------------------------------------- admission under overload

    def _admit(self, operation: Operation, now: float) -> Decision:
        """A new operation: its times, its place within the shares, and whether the valve lets it in."""
        operation.admitted = True
        traffic = operation.traffic_type
        operation.objective_at = operation.arrived_at + traffic.latency_objective
        last = operation.deadline - self.reply_reserve
        operation.give_up_at = last if traffic.late_weight else min(last, operation.objective_at - self.reply_reserve)
        operation.over_quota = self._is_over_quota(operation)
        place = 2 * traffic.row + operation.over_quota
        if operation.is_write and self.deployment.cache_aside:
            # It asks nothing of the caches: refusing it would lose its payoff and relieve nobody.
            return self._route(operation, now)
        self.demand[place] += 1.0
        if self.shed_probabilities[place] and self._random() < self.shed_probabilities[place]:
            return self._give_up(operation, now)
        return self._route(operation, now)

    def _is_over_quota(self, operation: Operation) -> bool:
        tenant = operation.tenant
        if tenant < 0:
            return False
        self.arrivals[tenant] += 1
        if self.tokens[tenant] >= 1.0:
            self.tokens[tenant] -= 1.0
            return False
        return True

    def _run_control_interval(self, now: float) -> None:
        """The valve: closes while attempts take too much of the promised time, lowest payoff first."""
        span, self.last_control_at = now - self.last_control_at, now
        beats = span / CONTROL_INTERVAL
        self._advance_warm_up(now, span)
        self._refill_quotas(now, span)
        if self.lateness_count:
            self.lateness = LATENESS_DECAY * self.lateness + (1 - LATENESS_DECAY) * self.lateness_sum / self.lateness_count
            self.lateness_sum, self.lateness_count = 0.0, 0
        else:
            self.lateness *= IDLE_LATENESS_DECAY**beats
        # A sparse router has seen few caches of a slow kind when all of them are already overrun.
        mean = self.fleet_latency.with_prior(1.0)
        quickest = min((kind.with_prior(mean) for kind in self.labels.values() if kind.count), default=mean)
        power = 1 if self.usual_weight else LABEL_SHARE_EXPONENT  # weights hold part of it already
        for kind in self.labels.values():
            kind.key_share = max((quickest / kind.with_prior(mean)) ** power, MIN_KEY_SHARE)
        if len(self.rings) > 1:
            others = [z.latency.with_prior(mean) for z in self.zones.values() if z is not self.own_zone]
            away = min(others, default=mean) / self.own_zone.latency.with_prior(mean)
            self.own_zone.key_share = max(min(away**ZONE_SHARE_EXPONENT, 1.0), MIN_KEY_SHARE)
        before, over = self.shed_level, self.lateness / TARGET_LATENESS - 1.0
        self.shed_level += SHED_RISE * min(over, 1.0) if over > 0.0 else SHED_FALL * over * beats
        self.shed_level = min(max(self.shed_level, 0.0), 0.95)
        if bool(before) != bool(self.shed_level):
            state = "closing" if self.shed_level else "open"
            self.log.append(f"valve {state}: legs take {self.lateness:.2f} of the promised time")
        self._set_shed_probabilities(beats)

    def _set_shed_probabilities(self, beats: float) -> None:
        self.demand = [a * 0.95**beats for a in self.demand]
        if not self.shed_level:
            self.shed_probabilities = [0.0] * len(self.shed_probabilities)
            return
        weight = [a * (self.mean_durations[i // 2] or 1.0) for i, a in enumerate(self.demand)]
        left = self.shed_level * sum(weight)
        for i in sorted(range(len(weight)), key=self._priority):
            part = min(left / weight[i], 1.0) if weight[i] > 0.0 else 0.0
            self.shed_probabilities[i] = part
            left -= part * weight[i]

    def _priority(self, place: int) -> tuple[float, int]:
        traffic = self.deployment.traffic_types[place // 2]
        worth = traffic.priority_weight * (self.deployment.over_quota_weight if place % 2 else 1.0)
        if not self.deployment.weight_by_work:
            worth /= self.mean_durations[traffic.row] or 1.0
        return worth, place

    def _refill_quotas(self, now: float, span: float) -> None:
        """Refill each tenant's tokens: its allowance, cut to the part that comes through this router."""
        for i, count in enumerate(self.arrivals):
            self.usage[i] += (1.0 - USAGE_DECAY ** (span / CONTROL_INTERVAL)) * (count / span - self.usage[i])
            self.arrivals[i] = 0
        for i, tenant in enumerate(self.tenants):
            if self.rates_elsewhere:
                everywhere = self.usage[i] + self.rates_elsewhere[i]
                refill = tenant.rate_limit * (self.usage[i] / everywhere if everywhere else 1.0)
            else:
                refill = 1.25 * tenant.quota * sum(self.usage)
            self.tokens[i] = min(self.tokens[i] + refill * span, max(MIN_BURST, refill))

    # ---------------------------------------------------------------- routing, retries, the origin

    def _route(self, operation: Operation, now: float) -> Decision:
        # Asked only behind a failed attempt, a miss or a joined fetch sent on what was no longer remembered.
        spent = len(operation.attempts) - operation.redirect_count >= self.deployment.max_attempts
        if spent or now >= operation.give_up_at or not self._may_retry(operation, now):
            return self._give_up(operation, now)
        if self.deployment.cache_aside and (operation.wants_origin or operation.is_write):
            return self._route_to_origin(operation, now)
        cache = None
        for region in operation.regions:
            cache = self._select(operation, now, region)
            if cache is not None or (operation.over_quota and region and self._within_region(region)[0]):
                break
        if cache is None:
            queued = operation.allowed_endpoints and self._try_enqueue(operation, now)
            return WAIT if queued else self._give_up(operation, now)
        if cache.warm_up_share < 1.0:
            cache.warm_up_budget -= 1.0
        if not cache.in_flight:
            cache.silent_since = now
        cache.in_flight += 1
        cache.connections = max(cache.connections, cache.in_flight)
        cache.zone_figures.in_flight += 1
        if cache.ident not in self.active:
            self.active[cache.ident] = cache
            self._reassess(cache, now)
        else:
            self._update_load(cache)
        return self._send(operation, cache, self._attempt_timeout(operation, now), now)

    def _attempt_timeout(self, operation: Operation, now: float) -> float:
        """The time-out of an attempt: room is left for another where one may follow."""
        left = operation.give_up_at - now
        last = len(operation.attempts) + 2 > self.deployment.max_attempts
        last = last or max(self.retry_budget, self.excused_timeouts) < 1.0
        if operation.traffic_type.effect is not Effect.IDEMPOTENT or last:
            return left
        usual = self.mean_durations[operation.traffic_type.row] or self.mean_duration
        first = FIRST_ATTEMPT_SHARE * (min(operation.objective_at, operation.give_up_at) - now)
        return left if first < 3.0 * usual or first + usual > left else first

    def _send(self, operation: Operation, cache: Endpoint, time_out: float, now: float) -> Decision:
        attempt = Attempt(operation, cache, len(operation.attempts), now)
        operation.attempts.append(attempt)
        operation.tried_endpoints.append(cache)
        return Decision(Action.SEND, attempt, max(time_out, 0.001))

    def _after_failed_attempt(self, operation: Operation, attempt: Attempt, outcome: Outcome, now: float) -> Decision:
        """After an attempt that did not settle its operation."""
        if outcome is Outcome.CACHE_MISS and not attempt.endpoint.origin:
            operation.wants_origin = True
            if len(operation.attempts) >= self.deployment.max_attempts:
                return self._give_up(operation, now)  # no attempt is left to end a wait with
            waiting = self.waiting_by_key.get(operation.key)
            if waiting is not None and not operation.is_write:
                # A fetch for this key is out: a second one would only load the origin.
                waiting.append(operation)
                operation.waiting_for_fetch = True
                return WAIT
            return self._route(operation, now)
        if outcome in REDIRECTS:
            # It never ran there. Servers that each name the other would be asked until the deadline.
            operation.redirect_count += 1
            if operation.redirect_count > MAX_REDIRECTS or not operation.allowed_endpoints:
                return self._give_up(operation, now)
            operation.tried_endpoints = [
                cache for cache in operation.tried_endpoints if cache.ident != operation.allowed_endpoints[0]
            ]
            return self._route(operation, now)
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT) or attempt.endpoint.origin:
            # A full origin is not asked again for a read: repeats are what keeps it full.
            full = outcome in (Outcome.REJECTED, Outcome.TIMED_OUT) and not operation.is_write
            if full or now + self.origin_limit.smoothed_latency > operation.give_up_at:
                return self._give_up(operation, now)
        usual = self.mean_durations[operation.traffic_type.row] or self.mean_duration
        late = now + usual > operation.give_up_at  # another attempt would not end in time
        if late or operation.rejections >= MAX_REJECTIONS or not self._may_retry(operation, now):
            return self._give_up(operation, now)
        # A silent cache that others do not share runs nothing of it: a repeat elsewhere adds no load.
        if outcome is Outcome.TIMED_OUT and (
            attempt.endpoint.last_answer_at > attempt.sent_at or self.excused_timeouts < 1.0
        ):
            if self.retry_budget < 1.0:
                return self._give_up(operation, now)
            self.retry_budget -= 1.0
        return self._route(operation, now)

    def _may_retry(self, operation: Operation, now: float) -> bool:
        return now + RETRY_TRANSIT_TIME < operation.retry_deadline  # it must arrive while the first is remembered

    def _route_to_origin(self, operation: Operation, now: float) -> Decision:
        """A place at the origin now, or none."""
        origin, gate = self.origin, self.origin_limit
        up = origin is not None and origin.state is EndpointState.UP
        if not up or (operation.may_have_run_on is not None and not self._is_repeat_harmless(origin, operation)):
            return self._give_up(operation, now)
        # No queue: with one, crowded days were served less (docs/standing.md; why was not measured).
        room = gate.in_flight < max(gate.limit, 1.0) and (operation.is_write or now >= gate.next_read_at)
        if not room:
            self.pressed_until = now + ORIGIN_PRESSURE_TIME
            return self._give_up(operation, now)
        gate.in_flight += 1
        if not operation.is_write:
            self.waiting_by_key.setdefault(operation.key, [])
        return self._send(operation, origin, operation.give_up_at - now, now)

    def _record_origin_attempt(self, attempt: Attempt, outcome: Outcome, elapsed: float, now: float) -> None:
        gate = self.origin_limit
        gate.in_flight -= 1
        if outcome in RESPONSES:
            attempt.endpoint.last_answer_at = now
        # It answers others: this one's connection fell silent. Taken for a queue, a few such closed the gate.
        lone = outcome is Outcome.TIMED_OUT and attempt.endpoint.last_answer_at > attempt.sent_at
        if lone or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        before = gate.limit
        if outcome in CONNECTION_FAILURES:
            # Refused at once, attempts tell nothing of its time; dead, it got thousands of them a second.
            elapsed = max(elapsed, gate.smoothed_latency)
            if now - attempt.endpoint.last_answer_at > SILENCE_THRESHOLD:
                gate.next_read_at = now + UNREACHABLE_ORIGIN_PAUSE * (0.5 + self._random())
        # Spoilt answers and resets show no queue: cut for each, the limit sank and reads waited in vain.
        gate.adapt(elapsed, outcome not in NO_QUEUE_EVIDENCE, gate.in_flight + 1 >= 0.5 * gate.limit, now)
        tight = gate.limit < before or (gate.is_tight and gate.limit < 2 * gate.min_limit)
        if tight != gate.is_tight:
            gate.is_tight = tight
            text = f"limit {gate.limit:.1f}, {gate.smoothed_latency:.3f}/{gate.latency_floor:.3f} s"
            self.log.append(f"origin {'tight' if tight else 'easy'}: {text}")

    def _end_fetch(self, operation: Operation, stored: bool, steps: list[Step], now: float) -> None:
        """The fetch for a key ended: those that waited go to the cache that now holds it.

        After a failed fetch one of them fetches in its place; all at once would pile up at the origin.
        """
        if steps and steps[0].decision.action in (Action.SEND, Action.WAIT) and not operation.finished:
            return  # the same operation fetches again
        waiting = self.waiting_by_key.pop(operation.key, [])
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
                self.waiting_by_key.setdefault(operation.key, []).extend(waiting)
                return

    def _leave_fetch(self, operation: Operation) -> None:
        waiting = self.waiting_by_key.get(operation.key)
        if waiting is not None and operation in waiting:
            waiting.remove(operation)
        operation.waiting_for_fetch = False

    # ---------------------------------------------------------------- giving up

    def _give_up(self, operation: Operation, now: float) -> Decision:
        """The final answer at once: a refusal where a repeat by the client does no harm, else a failure."""
        operation.finished = True
        self._leave_queue(operation)
        longest = self.deployment.max_retry_after
        away = longest * (0.5 + 0.5 * self._random()) if self.shed_level else 0.1 + 0.2 * self._random()
        away, traffic = min(away, longest), operation.traffic_type
        apart = (
            traffic.effect is Effect.WITH_IDEMPOTENCY_KEY
            and traffic.deduplication_scope is not DeduplicationScope.ALL
        )
        # Its client comes back behind that: with the key forgotten by then, it would take effect once more.
        if operation.may_have_run_on is not None and (
            apart or now + away + RETRY_TRANSIT_TIME > operation.retry_deadline
        ):
            return FAIL
        return Decision(Action.REJECT, retry_after=away)

    # ---------------------------------------------------------------- errands and chance

    def _run_background_task(self, task: BackgroundTask, now: float) -> Decision:
        if now < task.due:
            return WAIT
        if task.kind is TaskKind.GOSSIP:
            task.due = now + GOSSIP_INTERVAL * (0.9 + 0.2 * self._random())
            self._summarize_peers(now)
            told = struct.pack(f"<{len(self.usage)}f", *self.usage)
            return Decision(Action.GOSSIP, payload=told, peers=self._choose_peers())
        task.due = now + POLL_TIMEOUT
        return WAIT if self.list_received else Decision(Action.POLL)

    def _summarize_peers(self, now: float) -> None:
        self.peer_rates = {n: told for n, told in self.peer_rates.items() if now - told[0] < PEER_EXPIRY}
        scale = (self.deployment.router_count - 1) / max(len(self.peer_rates), 1)
        self.rates_elsewhere = [scale * sum(rs) for rs in zip(*[r for _, r in self.peer_rates.values()], strict=True)]

    def _choose_peers(self) -> tuple[int, ...]:
        """The peers to tell this time, in turn from a place of chance."""
        others = self.deployment.router_count - 1
        first = int(self._random() * others)
        places = [(first + i) % others for i in range(min(GOSSIP_FANOUT, others))]
        return tuple((self.deployment.router_number + 1 + place) % (others + 1) for place in places)

    def _random(self) -> float:
        self.counter += 1
        return zlib.crc32(b"%d:%d" % (self.deployment.seed, self.counter)) / 4294967296.0
