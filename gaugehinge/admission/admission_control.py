"""Admission control of operations and connections, between request parsing and `Dispatcher.submit`.

This module carries out what the other modules of the package decide. An operation is forwarded at once while
there is capacity. Otherwise it waits for its fair turn, or is rejected at once if its remaining time does not
cover the wait. Nothing that waits here has been sent anywhere, so an operation that is rejected here never
ran.
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
from .connection_slots import NO_REQUEST_YET, AcceptLimiter, SlotHolder, SlotHolderT, eviction_order
from .costs import CostEstimator
from .fair_reader import FairReader
from .fairness import FairQueue, QueuedOperation
from .heavy_hitters import HeavyHitters
from .limiter import ConcurrencyLimiter
from .rate_level import USAGE_DECAY_TIME, RateLevel
from .read_scheduler import ReadScheduler
from .request_peek import PeekedRead
from .retry_after import RetryAfter
from .sampling import ReadSampler

SAMPLE_INTERVAL = 0.05
LOG_INTERVAL = 10.0  # seconds between statistics by tenant, while operations are queued or rejected
HEAVY_HITTERS_SIZE = 64  # clients whose share of the cost is tracked
HEAVY_HITTERS_HALVING_INTERVAL = 5.0
SMOOTHING_FACTOR = 0.1  # weight of an operation in smoothed latencies, their deviations and mean costs
LATENCY_DEVIATIONS = 2.0  # deviations above the mean latency that an answer is expected to take at most
# Expected latency before any answer was seen, as a fraction of the latency objective.
INITIAL_LATENCY_FRACTION = 0.25
QUEUED_OPERATION_BYTES = 4096  # memory of one queued operation, beside its value
QUEUE_MEMORY_FRACTION = 0.05  # fraction of the memory that queued operations may take
MAX_QUEUED_OPERATIONS = 4096
REPLY_MARGIN = 0.005  # seconds reserved before the deadline for sending the answer
# Fraction of the charged cost that an operation has used if the decision module rejected it.
REJECTED_COST_FRACTION = 0.05


@dataclass(slots=True, eq=False)
class PendingOperation:
    """An operation in admission control, from its arrival to its answer."""

    operation: Operation
    payload: RequestPayload
    answer: Callable[[bytes], None]
    size: int
    bucket: int
    cost: float
    queue_entry: QueuedOperation | None = None  # while it waits
    handle: int = 0  # of the dispatcher, once the operation is forwarded
    forwarded_at: float = 0.0  # time of forwarding; 0 if not forwarded, or finished
    client_left: bool = False


class FairAdmissionControl:
    """Queues operations by fair shares and limits how many are in flight."""

    def __init__(
        self,
        settings: Settings,
        dispatcher: Dispatcher,
        memory: int,
        label: str = "",
        tenant_of: Callable[[ClientConnection, str], int | None] | None = None,
    ) -> None:
        """Set up the queue and the limits from the settings, and start sampling.

        `label` is the label whose value identifies a client; if empty, each connection counts as a client.
        `tenant_of` returns the tenant index of a request that names a tenant, or None if the request has to
        be parsed in full first; by default the settings map names to indexes.
        """
        deployment = settings.deployment
        self.label = b"%b=" % label.encode() if label else b""
        self.settings = settings
        self.dispatcher = dispatcher
        self.timers = dispatcher.timers
        self.clock = dispatcher.clock
        now = self.clock()
        tenants = len(deployment.tenants)
        capacity = max(
            min(int(memory * QUEUE_MEMORY_FRACTION) // QUEUED_OPERATION_BYTES, MAX_QUEUED_OPERATIONS), 16
        )
        self.queue = FairQueue([t.quota for t in deployment.tenants], capacity, deployment.seed, now)
        self.limiter = ConcurrencyLimiter(settings.max_in_flight, now)
        self.retry_after = RetryAfter(deployment.max_retry_after, tenants, deployment.seed)
        self.costs = CostEstimator(len(deployment.traffic_types))
        self.heavy_hitters = HeavyHitters(HEAVY_HITTERS_SIZE, HEAVY_HITTERS_HALVING_INTERVAL, now)
        self.accept_limiter = AcceptLimiter(now)
        shares = [t.quota for t in deployment.tenants]
        self.read_scheduler = ReadScheduler(shares, now)
        self.rate_level = RateLevel(shares, now)
        self.fair_reader: FairReader | None = None
        self.mean_costs = [0.0] * (tenants + 1)  # CPU seconds of one operation by tenant, smoothed
        # CPU seconds per second of admitted writes, which peeking never rejects, by tenant.
        self.write_rates = [0.0] * (tenants + 1)
        self._write_costs = [0.0] * (tenants + 1)
        self._sampled_at = now
        priority_weights = [row.priority_weight for row in deployment.traffic_types]
        self.sampler = ReadSampler(tenants + 1, priority_weights, deployment.seed, now)
        self.tenant_of = tenant_of or (lambda client, name: settings.tenant_indexes.get(name, -1))
        self.in_flight = 0
        self.latency_ratio = 0.0  # latency as a fraction of the objective, smoothed
        rows = deployment.traffic_types
        # Seconds from forwarding to the answer by traffic type, smoothed.
        self.expected_latencies = [INITIAL_LATENCY_FRACTION * row.latency_objective for row in rows]
        self.latency_deviations = [0.0] * len(rows)  # mean absolute deviation from them, smoothed
        self._connections_by_tenant: Counter[int] = Counter()  # refreshed at most every SAMPLE_INTERVAL
        self._next_connection_count = now
        self._dequeuing = False
        self._expiry_scheduled = False
        self._cpu_time = time.process_time()
        self._next_log_at = now + LOG_INTERVAL
        self._tenant_names = [*settings.tenant_indexes, "none"]
        self.timers.call_at(now + SAMPLE_INTERVAL, self._sample)

    # -- arrival

    def submit(
        self,
        operation: Operation,
        payload: RequestPayload,
        answer: Callable[[bytes], None],
        client: bytes,
        size: int,
    ) -> PendingOperation:
        """Accept an operation; `answer` gets its single final reply, possibly before this returns."""
        now = self.clock()
        tenant = operation.tenant
        row = operation.traffic_type.row
        if not operation.is_write:
            self.sampler.record_arrival(tenant, row)
        client = self._client_label(payload) or client
        bucket = self.queue.bucket(tenant, client, now)
        cost = self.costs.cost(row, size)
        self._record_admission(tenant, cost, operation.is_write)
        entry = PendingOperation(operation, payload, answer, size, bucket, cost)
        if not self.queue.length and self.in_flight < self.limiter.limit:
            if operation.is_client_retry is False:
                self.retry_after.allow(tenant, False)
            self.queue.charge_unqueued(tenant, bucket, cost)
            self._forward(entry, now)
            return entry
        self.heavy_hitters.add(client, cost, now)
        cause = self._rejection_cause(entry, now)
        if cause:
            self._count_rejection(tenant, cause)
            self._reject(entry)
            return entry
        entry.queue_entry = QueuedOperation(
            entry,
            tenant,
            bucket,
            operation.traffic_type.priority_weight,
            cost,
            now,
            self._latest_start(operation),
        )
        self.queue.enqueue(entry.queue_entry)
        self._schedule_expiry()
        self._dequeue()
        return entry

    def _record_admission(self, tenant: int, cost: float, write: bool) -> None:
        """Account for an operation that was parsed in full."""
        self.rate_level.record(tenant, cost)
        self.mean_costs[tenant] += SMOOTHING_FACTOR * (cost - self.mean_costs[tenant])
        if write:
            self._write_costs[tenant] += cost

    def _max_read_rates(self, span: float) -> list[float]:
        """Reads per second that each tenant may have admitted under the rate level."""
        decay = exp(-span / USAGE_DECAY_TIME)
        max_rates = []
        for tenant, written in enumerate(self._write_costs):
            self.write_rates[tenant] = decay * self.write_rates[tenant] + (1.0 - decay) * written / span
            self._write_costs[tenant] = 0.0
            left = max(self.rate_level.allowance(tenant) - self.write_rates[tenant], 0.0)
            max_rates.append(left / (self.mean_costs[tenant] or self.costs.per_operation))
        return max_rates

    def _client_label(self, payload: RequestPayload) -> bytes:
        """The label that identifies the client; empty if none is configured or the request has none."""
        if not self.label:
            return b""
        for part in payload.labels.split(b","):
            if part.startswith(self.label):
                return part
        return b""

    def _rejection_cause(self, entry: PendingOperation, now: float) -> str:
        """Why an operation cannot be queued; empty if it can be, for which another one may be evicted."""
        operation = entry.operation
        # Retries of a tenant with an empty queue delay no other operation, so they need no budget.
        waits = self.queue.tenant_queues[operation.tenant].length
        if waits and not self.retry_after.allow(operation.tenant, operation.is_client_retry):
            return "repeats"
        left = self._latest_start(operation) - now
        if left <= 0.0 or self.queue.expected_wait(operation.tenant) > left:
            return "late"
        if self.queue.length < self.queue.capacity:
            return ""
        victim = self.queue.choose_victim(now)
        if victim is None or (
            victim.tenant == operation.tenant
            and victim.priority_weight >= operation.traffic_type.priority_weight
        ):
            return "full"
        self.queue.remove(victim, "full")
        self._reject(victim.item)
        return ""

    def _latest_start(self, operation: Operation) -> float:
        """The time from which the remaining time no longer covers an answer."""
        traffic_type = operation.traffic_type
        row = traffic_type.row
        expected = self.expected_latencies[row] + LATENCY_DEVIATIONS * self.latency_deviations[row]
        end = operation.deadline
        if not traffic_type.late_weight:
            end = min(end, operation.arrived_at + traffic_type.latency_objective)
        return end - REPLY_MARGIN - min(expected, 0.5 * (end - operation.arrived_at))

    def client_gone(self, entry: PendingOperation, freed: Callable[[], None] = lambda: None) -> None:
        """Handle the client's departure: nobody waits for the answer any more."""
        entry.client_left = True
        if entry.queue_entry is not None:
            self.queue.remove(entry.queue_entry, "gone")
            entry.queue_entry = None
            freed()
        elif entry.forwarded_at:
            self.dispatcher.client_gone(entry.handle, freed)
            self._on_finished(entry, b"", now=self.clock())
        else:
            freed()

    # -- forwarding and rejection

    def _dequeue(self) -> None:
        """Forward operations in fair order while there is capacity.

        An operation that is rejected at once frees its capacity for the next one within the loop.
        """
        if self._dequeuing:
            return
        self._dequeuing = True
        try:
            while self.queue.length and self.in_flight < self.limiter.limit:
                now = self.clock()
                queued = self.queue.dequeue(now)
                if queued is None:
                    return
                entry = queued.item
                entry.queue_entry = None
                if queued.expires_at <= now:
                    self._count_rejection(queued.tenant, "late")
                    self._reject(entry)
                else:
                    self._forward(entry, now)
        finally:
            self._dequeuing = False

    def _forward(self, entry: PendingOperation, now: float) -> None:
        entry.forwarded_at = now
        self.in_flight += 1
        self.queue.record_outcome(entry.operation.tenant, now, True)
        if not entry.operation.is_write:
            self.sampler.record_forwarded(entry.operation.tenant)

        def answer(reply: bytes) -> None:
            self._on_finished(entry, reply, self.clock())
            entry.answer(reply)

        entry.handle = self.dispatcher.submit(entry.operation, entry.payload, answer)

    def _on_finished(self, entry: PendingOperation, reply: bytes, now: float) -> None:
        """Release the capacity of an operation that was answered or whose client has left."""
        if not entry.forwarded_at:
            return
        elapsed, entry.forwarded_at = now - entry.forwarded_at, 0.0
        self.in_flight -= 1
        row = entry.operation.traffic_type.row
        self.costs.record(row, entry.size + len(reply))
        if reply.startswith(BUSY_PREFIX):
            self.queue.refund(
                entry.operation.tenant, entry.bucket, entry.cost * (1.0 - REJECTED_COST_FRACTION)
            )
        elif reply and not reply.startswith(b"-"):
            self.latency_deviations[row] += SMOOTHING_FACTOR * (
                abs(elapsed - self.expected_latencies[row]) - self.latency_deviations[row]
            )
            self.expected_latencies[row] += SMOOTHING_FACTOR * (elapsed - self.expected_latencies[row])
            self.latency_ratio += SMOOTHING_FACTOR * (
                elapsed / entry.operation.traffic_type.latency_objective - self.latency_ratio
            )
        if self.queue.length:
            self._dequeue()

    def _reject(self, entry: PendingOperation) -> None:
        """Reject an operation that was not forwarded, so it never ran."""
        entry.queue_entry = None
        operation = entry.operation
        operation.finished = True
        entry.answer(busy_reply(self._retry_delay(operation)))

    def _retry_delay(self, operation: Operation) -> float:
        """Seconds after which the client of a rejected operation may retry."""
        self.queue.record_outcome(operation.tenant, self.clock(), False)
        wait = self.queue.expected_wait(operation.tenant) + self.queue.rejected_backlog(operation.tenant)
        return self.retry_after.delay(wait, operation.is_client_retry)

    def _count_rejection(self, tenant: int, cause: str) -> None:
        rejections = self.queue.tenant_queues[tenant].rejections
        rejections[cause] = rejections.get(cause, 0) + 1

    def _schedule_expiry(self) -> None:
        """Schedule the next expiry of queued operations, each at its own time, with a single timer."""
        due = self.queue.next_expiry()
        if due is not None and not self._expiry_scheduled:
            self._expiry_scheduled = True
            self.timers.call_at(due, self._expire_queued)

    def _expire_queued(self) -> None:
        self._expiry_scheduled = False
        for queued in self.queue.pop_expired(self.clock()):
            self.queue.remove(queued, "late")
            self._reject(queued.item)
        self._schedule_expiry()

    def queued_operations(self) -> list[QueuedOperation]:
        """All operations that wait for admission."""
        flows = [flow for tenant_queue in self.queue.tenant_queues for flow in tenant_queue.flows.values()]
        return [queued for flow in flows for queued in flow.entries if not queued.removed]

    def reject_queued(self) -> None:
        """Reject all queued operations, which never ran, because the router is shutting down."""
        for queued in self.queued_operations():
            self.queue.remove(queued, "end")
            self._reject(queued.item)

    # -- sampling

    def _sample(self) -> None:
        now = self.clock()
        cpu = time.process_time()
        span = max(now - self._sampled_at, 1e-6)
        self._sampled_at = now
        self.costs.sample(cpu - self._cpu_time)
        self.accept_limiter.sample(cpu - self._cpu_time, span)
        self._cpu_time = cpu
        if self.fair_reader is not None:
            unfinished, reject_time = self.fair_reader.take_statistics()
            self.rate_level.sample(unfinished, reject_time / span, now)
        self.queue.sample(now)
        lag = self.timers.current_lag
        self.limiter.sample(lag, self.in_flight, self.queue.length, self.latency_ratio, now)
        backlogs = [self.queue.backlog(tenant_queue) for tenant_queue in self.queue.tenant_queues]
        self.sampler.sample(backlogs, self._max_read_rates(span), now)
        if self.queue.length:
            self._dequeue()
        self._log_statistics(now)
        self.timers.call_at(now + SAMPLE_INTERVAL, self._sample)

    def _log_statistics(self, now: float) -> None:
        for log in (
            self.limiter.log_messages,
            self.queue.log_messages,
            self.sampler.log_messages,
            self.rate_level.log_messages,
        ):
            for text in log:
                logger.info(text)
            log.clear()
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL
        for tenant_queue, name in zip(self.queue.tenant_queues, self._tenant_names, strict=True):
            if tenant_queue.rejections or tenant_queue.queued:
                logger.info(
                    format_statistics(
                        name,
                        tenant_queue.queued,
                        tenant_queue.total_sojourn,
                        tenant_queue.max_sojourn,
                        tenant_queue.rejections,
                    )
                )
                tenant_queue.queued, tenant_queue.total_sojourn, tenant_queue.max_sojourn = 0, 0.0, 0.0
                tenant_queue.rejections.clear()

    # -- connections

    def new_reader(self, clients: ClientServer) -> FairReader:
        """Create the reader of all connections."""
        self.fair_reader = FairReader(clients, self.read_scheduler, self.sampler, self._reject_peeked)
        return self.fair_reader

    def _reject_peeked(self, client: ClientConnection, peeked: PeekedRead) -> bytes | None:
        """The rejection of a peeked read; None if the read is admitted or has to be parsed in full."""
        row = self.settings.traffic_type_rows.get(peeked.traffic_type)
        if row is None:
            return None
        tenant = self.tenant_of(client, peeked.tenant)
        if tenant is None:
            return None
        client.tenant = tenant
        if self.sampler.should_parse(tenant, row):
            return None
        self._count_rejection(tenant, "first look")
        self.queue.record_outcome(tenant, self.clock(), False)
        wait = self.queue.expected_wait(tenant) + self.queue.rejected_backlog(tenant)
        return busy_reply(self.retry_after.delay(wait, peeked.is_retry))

    def may_accept(self) -> bool:
        """Whether one more connection may be accepted now."""
        return self.accept_limiter.may_accept(self.clock())

    def on_accepted(self, cpu: float) -> None:
        """Account for the CPU seconds that accepting connections took."""
        self.accept_limiter.charge(cpu)

    def order_of_eviction(self, connections: Iterable[SlotHolderT]) -> list[SlotHolderT]:
        """Connections in the order in which they are closed to make room for new ones."""
        return eviction_order(connections)

    def exceeds_connection_quota(self, tenant: int, connections: Iterable[SlotHolder], most: int) -> bool:
        """Whether a connection over the limit of `most` is one too many for its tenant.

        It is not while the tenant holds less than its part of the limit. Closing excess connections
        regardless of their tenant let the many connections of one tenant take the slots of all others.
        """
        now = self.clock()
        if now >= self._next_connection_count:
            self._next_connection_count = now + SAMPLE_INTERVAL
            self._connections_by_tenant = Counter(each.tenant for each in connections)
        spoke = sum(number != NO_REQUEST_YET for number in self._connections_by_tenant)
        return self._connections_by_tenant[tenant] >= most / max(spoke, 1)

    def overload_reply(self, operation: Operation) -> bytes:
        """The reply to an operation for which there is no capacity or no memory."""
        self._count_rejection(operation.tenant, "place")
        return busy_reply(self._retry_delay(operation))

    def set_shares(self, shares: Sequence[float]) -> None:
        """Set the tenants' shares after a change."""
        self.queue.set_shares(shares)
        self.read_scheduler.set_shares(shares)
        self.rate_level.set_shares(shares)


BUSY_PREFIX = BUSY_REPLY[:5]


def format_statistics(
    name: str, queued: int, total_sojourn: float, max_sojourn: float, rejections: dict[str, int]
) -> str:
    """One log line with the statistics of a tenant since the previous one."""
    causes = ", ".join(f"{cause} {count}" for cause, count in sorted(rejections.items())) or "none"
    mean = total_sojourn / queued if queued else 0.0
    return (
        f"admission of tenant {name}: {queued} queued, mean wait {mean:.3f} s, longest {max_sojourn:.3f} s;"
        f" rejected: {causes}"
    )
