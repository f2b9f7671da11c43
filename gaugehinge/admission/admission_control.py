"""Between reading a command and `Dispatch.submit`: carries out what the door's modules decide.

An operation is passed on at once while there is room; else it waits for its fair turn, or is refused at
once where its time does not cover its turn. Nothing that waits here has been sent anywhere: a refusal from
here never ran.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from math import exp

from loguru import logger

from ..net.client_connection import ClientConnection
from ..net.client_server import ClientServer
from ..net.codec import RequestPayload
from ..net.dispatcher import BUSY_REPLY, Dispatcher, busy_reply
from ..routing.types import Operation
from ..settings import Settings
from .retry_after import ComeBack
from .costs import Costs
from .fairness import FairQueue, Waiting
from .request_peek import Glimpse
from .heavy_hitters import Heavy
from .rate_level import FADE, Level
from .limiter import Limiter
from .connection_slots import NEVER_SPOKE, H, Holder, Pace, yielding
from .sampling import Tap
from .read_scheduler import Turns
from .fair_reader import Turnstile

SAMPLE_EVERY = 0.05
TELL_EVERY = 10.0  # figures by tenant, while anything was turned away
HEAVY_SIZE = 64  # clients of which the weight is known
HEAVY_HALVE = 5.0
LEARN = 0.1  # of the smoothed answer time and its deviation, each operation
DEVIATIONS = 2.0  # over the mean that an answer is expected to take at most
FIRST_PART = 0.25  # of the promised time: what an answer is expected to take before any was seen
WAITING_MEMORY = 4096  # bytes that one waiting operation takes beside its value
WAITING_PART = 0.05  # of the memory that waiting operations may take
WAITING_MOST = 4096
SPARE = 0.005  # kept before the deadline for the answer's own way
QUICK = 0.05  # an operation refused by the decisions used this part of what it counted


@dataclass(slots=True, eq=False)
class Entry:
    """One operation at the door, until its answer."""

    operation: Operation
    payload: RequestPayload
    answer: Callable[[bytes], None]
    size: int
    bucket: int
    cost: float
    waiting: Waiting | None = None  # while it waits
    handle: int = 0  # at the dispatch, once it is passed on
    passed: float = 0.0  # when
    gone: bool = False  # its client left


class FairAdmissionControl:
    """Operations that wait, and how many are in hand."""

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        memory: int,
        label: str = "",
        tenant_of: Callable[[ClientConnection, str], int | None] | None = None,
    ) -> None:
        """`label` names a client; without it each connection is one. `tenant_of`: whose a command is that
        names a tenant, None where it has to be read in full; without it the settings say."""
        deployment = settings.deployment
        self.label = b"%b=" % label.encode() if label else b""
        self.settings = settings
        self.dispatcher = dispatcher
        self.timers = dispatcher.timers
        self.clock = dispatcher.clock
        now = self.clock()
        tenants = len(deployment.tenants)
        most = max(min(int(memory * WAITING_PART) // WAITING_MEMORY, WAITING_MOST), 16)
        self.queue = FairQueue([t.quota for t in deployment.tenants], most, deployment.seed, now)
        self.limiter = Limiter(settings.max_in_flight, now)
        self.come_back = ComeBack(deployment.max_retry_after, tenants, deployment.seed)
        self.costs = Costs(len(deployment.traffic_types))
        self.heavy = Heavy(HEAVY_SIZE, HEAVY_HALVE, now)
        self.pace = Pace(now)
        shares = [t.quota for t in deployment.tenants]
        self.turns = Turns(shares, now)
        self.level = Level(shares, now)
        self.turnstile: Turnstile | None = None
        self.cost_each = [0.0] * (tenants + 1)  # of a tenant's operations, smoothed
        self.writes = [0.0] * (tenants + 1)  # seconds of CPU a second let in that no first look turns away
        self._written = [0.0] * (tenants + 1)
        self._sampled = now
        payoffs = [row.priority_weight for row in deployment.traffic_types]
        self.tap = Tap(tenants + 1, payoffs, deployment.seed, now)
        self.tenant_of = tenant_of or (lambda client, name: settings.tenant_indexes.get(name, -1))
        self.in_hand = 0
        self.lateness = 0.0  # answer times as a part of the promised, smoothed
        rows = deployment.traffic_types
        self.took = [FIRST_PART * row.latency_objective for row in rows]  # in hand, smoothed
        self.strays = [0.0] * len(rows)  # and how far times lie from that
        self._held: Counter[int] = Counter()  # connections by tenant, counted now and then
        self._next_count = now
        self._pulling = False
        self._looking = False
        self._cpu = time.process_time()
        self._next_tell = now + TELL_EVERY
        self._names = [*settings.tenant_indexes, "none"]
        self.timers.call_at(now + SAMPLE_EVERY, self._sample)

    # -- in

    def submit(
        self,
        operation: Operation,
        payload: RequestPayload,
        answer: Callable[[bytes], None],
        client: bytes,
        size: int,
    ) -> Entry:
        """Take an operation; `answer` gets its one final answer, perhaps at once."""
        now = self.clock()
        tenant = operation.tenant
        row = operation.traffic_type.row
        if not operation.is_write:
            self.tap.come(tenant, row)
        client = self._client(payload) or client
        bucket = self.queue.bucket(tenant, client, now)
        cost = self.costs.cost(row, size)
        self._let_in(tenant, cost, operation.is_write)
        entry = Entry(operation, payload, answer, size, bucket, cost)
        if not self.queue.live and self.in_hand < self.limiter.limit:
            if operation.is_client_retry is False:
                self.come_back.allow(tenant, False)
            self.queue.pass_by(tenant, bucket, cost)
            self._pass_on(entry, now)
            return entry
        self.heavy.add(client, cost, now)
        cause = self._refusal(entry, now)
        if cause:
            self._count(tenant, cause)
            self._turn_away(entry)
            return entry
        entry.waiting = Waiting(
            entry,
            tenant,
            bucket,
            operation.traffic_type.priority_weight,
            cost,
            now,
            self._leave_at(operation),
        )
        self.queue.put(entry.waiting)
        self._look_for_leavers()
        self._pull()
        return entry

    def _let_in(self, tenant: int, cost: float, write: bool) -> None:
        """Count an operation that is taken in."""
        self.level.spend(tenant, cost)
        self.cost_each[tenant] += LEARN * (cost - self.cost_each[tenant])
        if write:
            self._written[tenant] += cost

    def _rooms(self, span: float) -> list[float]:
        """Reads a second that each tenant may be let in, at the level."""
        keep = exp(-span / FADE)
        rooms = []
        for place, written in enumerate(self._written):
            self.writes[place] = keep * self.writes[place] + (1.0 - keep) * written / span
            self._written[place] = 0.0
            left = max(self.level.room(place) - self.writes[place], 0.0)
            rooms.append(left / (self.cost_each[place] or self.costs.each))
        return rooms

    def _client(self, payload: RequestPayload) -> bytes:
        """The name in the labels, where that tells clients apart; empty where there is none."""
        if not self.label:
            return b""
        for part in payload.labels.split(b","):
            if part.startswith(self.label):
                return part
        return b""

    def _refusal(self, entry: Entry, now: float) -> str:
        """Why an operation cannot wait; empty where it can."""
        operation = entry.operation
        # Repeats of a tenant that has nothing waiting take nobody's turn.
        waits = self.queue.lines[operation.tenant].live
        if waits and not self.come_back.allow(operation.tenant, operation.is_client_retry):
            return "repeats"
        left = self._leave_at(operation) - now
        if left <= 0.0 or self.queue.wait_of(operation.tenant) > left:
            return "late"
        if self.queue.live < self.queue.most:
            return ""
        victim = self.queue.victim(now)
        if victim is None or (
            victim.tenant == operation.tenant and victim.payoff >= operation.traffic_type.priority_weight
        ):
            return "full"
        self.queue.leave(victim, "full")
        self._turn_away(victim.thing)
        return ""

    def _leave_at(self, operation: Operation) -> float:
        """When the time left does not cover an answer any more."""
        traffic = operation.traffic_type
        row = traffic.row
        expected = self.took[row] + DEVIATIONS * self.strays[row]
        end = operation.deadline
        if not traffic.late_weight:
            end = min(end, operation.arrived_at + traffic.latency_objective)
        return end - SPARE - min(expected, 0.5 * (end - operation.arrived_at))

    def client_gone(self, entry: Entry, freed: Callable[[], None] = lambda: None) -> None:
        """Nobody waits for the answer any more."""
        entry.gone = True
        if entry.waiting is not None:
            self.queue.leave(entry.waiting, "gone")
            entry.waiting = None
            freed()
        elif entry.passed:
            self.dispatcher.client_gone(entry.handle, freed)
            self._ended(entry, b"", now=self.clock())
        else:
            freed()

    # -- out

    def _pull(self) -> None:
        """Pass on what has its turn, as far as there is room. What is refused at once makes room at once."""
        if self._pulling:
            return
        self._pulling = True
        try:
            while self.queue.live and self.in_hand < self.limiter.limit:
                now = self.clock()
                taken = self.queue.take(now)
                if taken is None:
                    return
                entry = taken.thing
                entry.waiting = None
                if taken.leave <= now:
                    self._count(taken.tenant, "late")
                    self._turn_away(entry)
                else:
                    self._pass_on(entry, now)
        finally:
            self._pulling = False

    def _pass_on(self, entry: Entry, now: float) -> None:
        entry.passed = now
        self.in_hand += 1
        self.queue.count(entry.operation.tenant, now, True)
        if not entry.operation.is_write:
            self.tap.pass_on(entry.operation.tenant)

        def answer(reply: bytes) -> None:
            self._ended(entry, reply, self.clock())
            entry.answer(reply)

        entry.handle = self.dispatcher.submit(entry.operation, entry.payload, answer)

    def _ended(self, entry: Entry, reply: bytes, now: float) -> None:
        """An operation is answered, or its client left: there is room for another."""
        if not entry.passed:
            return
        took, entry.passed = now - entry.passed, 0.0
        self.in_hand -= 1
        row = entry.operation.traffic_type.row
        self.costs.ended(row, entry.size + len(reply))
        if reply.startswith(BUSY_WORD):
            self.queue.refund(entry.operation.tenant, entry.bucket, entry.cost * (1.0 - QUICK))
        elif reply and not reply.startswith(b"-"):
            self.strays[row] += LEARN * (abs(took - self.took[row]) - self.strays[row])
            self.took[row] += LEARN * (took - self.took[row])
            self.lateness += LEARN * (took / entry.operation.traffic_type.latency_objective - self.lateness)
        if self.queue.live:
            self._pull()

    def _turn_away(self, entry: Entry) -> None:
        """Refused from here: it never ran."""
        entry.waiting = None
        operation = entry.operation
        operation.finished = True
        entry.answer(busy_reply(self._stay_away(operation)))

    def _stay_away(self, operation: Operation) -> float:
        """When one that is turned away may return."""
        self.queue.count(operation.tenant, self.clock(), False)
        wait = self.queue.wait_of(operation.tenant) + self.queue.pressure(operation.tenant)
        return self.come_back.time(wait, operation.is_client_retry)

    def _count(self, tenant: int, cause: str) -> None:
        refused = self.queue.lines[tenant].refused
        refused[cause] = refused.get(cause, 0) + 1

    def _look_for_leavers(self) -> None:
        """Turn away those whose time is up, each when it is, by one entry in the heap of deadlines."""
        due = self.queue.next_due()
        if due is not None and not self._looking:
            self._looking = True
            self.timers.call_at(due, self._leavers)

    def _leavers(self) -> None:
        self._looking = False
        for waiting in self.queue.due(self.clock()):
            self.queue.leave(waiting, "late")
            self._turn_away(waiting.thing)
        self._look_for_leavers()

    def waiting(self) -> list[Waiting]:
        """What waits."""
        flows = [flow for line in self.queue.lines for flow in line.flows.values()]
        return [waiting for flow in flows for waiting in flow.entries if not waiting.out]

    def reject_queued(self) -> None:
        """The router ends: what waits never ran."""
        for waiting in self.waiting():
            self.queue.leave(waiting, "end")
            self._turn_away(waiting.thing)

    # -- measuring

    def _sample(self) -> None:
        now = self.clock()
        cpu = time.process_time()
        span = max(now - self._sampled, 1e-6)
        self._sampled = now
        self.costs.sample(cpu - self._cpu)
        self.pace.sample(cpu - self._cpu, span)
        self._cpu = cpu
        if self.turnstile is not None:
            left, refusing = self.turnstile.looked()
            self.level.sample(left, refusing / span, now)
        self.queue.sample(now)
        lag = self.timers.current_lag
        self.limiter.sample(lag, self.in_hand, self.queue.live, self.lateness, now)
        backlogs = [self.queue.backlog(line) for line in self.queue.lines]
        self.tap.sample(backlogs, self._rooms(span), now)
        if self.queue.live:
            self._pull()
        self._tell(now)
        self.timers.call_at(now + SAMPLE_EVERY, self._sample)

    def _tell(self, now: float) -> None:
        for log in (self.limiter.log, self.queue.log, self.tap.log, self.level.log):
            for text in log:
                logger.info(text)
            log.clear()
        if now < self._next_tell:
            return
        self._next_tell = now + TELL_EVERY
        for line, name in zip(self.queue.lines, self._names, strict=True):
            if line.refused or line.queued:
                logger.info(describe(name, line.queued, line.sojourn, line.longest, line.refused))
                line.queued, line.sojourn, line.longest = 0, 0.0, 0.0
                line.refused.clear()

    # -- connections

    def new_reader(self, clients: ClientServer) -> Turnstile:
        """What reads the connections."""
        self.turnstile = Turnstile(clients, self.turns, self.tap, self._at_first_look)
        return self.turnstile

    def _at_first_look(self, client: ClientConnection, seen: Glimpse) -> bytes | None:
        """The answer to a read that is not let in; None where it is, or is to be read in full."""
        row = self.settings.traffic_type_rows.get(seen.traffic)
        if row is None:
            return None
        tenant = self.tenant_of(client, seen.tenant)
        if tenant is None:
            return None
        client.tenant = tenant
        if self.tap.let_in(tenant, row):
            return None
        self._count(tenant, "first look")
        self.queue.count(tenant, self.clock(), False)
        wait = self.queue.wait_of(tenant) + self.queue.pressure(tenant)
        return busy_reply(self.come_back.time(wait, seen.repeat))

    def may_accept(self) -> bool:
        """Whether one more connection may be accepted now."""
        return self.pace.accept(self.clock())

    def on_accepted(self, cpu: float) -> None:
        """Connections were accepted, in so many seconds of CPU."""
        self.pace.took(cpu)

    def order_of_eviction(self, connections: Iterable[H]) -> list[H]:
        """Connections in the order in which they should yield their places."""
        return yielding(connections)

    def exceeds_connection_quota(self, tenant: int, connections: Iterable[Holder], most: int) -> bool:
        """Whether a connection over the limit is one too many for its tenant: not while it holds less
        than its part.

        Turned away whatever tenant it was of, a crowd of one took the places of all others.
        """
        now = self.clock()
        if now >= self._next_count:
            self._next_count = now + SAMPLE_EVERY
            self._held = Counter(each.tenant for each in connections)
        spoke = sum(number != NEVER_SPOKE for number in self._held)
        return self._held[tenant] >= most / max(spoke, 1)

    def overload_reply(self, operation: Operation) -> bytes:
        """What an operation is told that finds no place, or no memory for it."""
        self._count(operation.tenant, "place")
        return busy_reply(self._stay_away(operation))

    def share(self, shares: Sequence[float]) -> None:
        """The tenants' shares have changed."""
        self.queue.share(shares)
        self.turns.share(shares)
        self.level.share(shares)


BUSY_WORD = BUSY_REPLY[:5]


def describe(name: str, queued: int, sojourn: float, longest: float, refused: dict[str, int]) -> str:
    """One line of figures of a tenant since the last one."""
    causes = ", ".join(f"{cause} {count}" for cause, count in sorted(refused.items())) or "none"
    mean = sojourn / queued if queued else 0.0
    return f"door tenant {name}: {queued} waited {mean:.3f} s, {longest:.3f} at most; bounced: {causes}"
