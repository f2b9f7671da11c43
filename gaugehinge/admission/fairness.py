"""Start-time fair queueing over tenants, and over clients within each tenant. No I/O.

Tenants are weighted by their share. Clients are hashed into a fixed number of buckets, and the hash is
reseeded from time to time, so that two clients that collide do not do so for good. An operation is charged
the cost that it is expected to use, not one unit. Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair
Queueing" (1996), applied in two levels.

Memory is bounded from the start: one number per bucket, one queue per tenant and at most `capacity` queued
operations. A flow exists only while something is queued in it.
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

# For the clients of all tenants; two given clients collide with a probability of one in a thousand.
CLIENT_BUCKETS = 1024
RESEED_INTERVAL = 10.0  # seconds; for so long two clients that collide share one turn
MIN_WEIGHT = 0.01  # fraction of the mean weight: a tenant with no share is still served now and then
# A tenant is in a long overload if the oldest operation of each of its flows waited at least OVERLOAD_SOJOURN
# seconds throughout OVERLOAD_INTERVAL seconds. Its newest operations are then served first.
OVERLOAD_SOJOURN = 0.1
OVERLOAD_INTERVAL = 0.5
VICTIM_TENANT_TTL = 0.01  # seconds for which the tenant chosen for evictions is kept
MAX_VICTIM_CANDIDATES = 32  # operations searched for the one of lowest priority
SERVICE_RATE_DECAY = 0.8  # weight of the previous service rate in each sample
REJECTION_WINDOW = 1.0  # seconds; decay time of the counts of forwarded and rejected operations
# Size of the expiry heap beyond twice the queue length, from which removed entries are dropped.
MAX_STALE_ENTRIES = 256


@dataclass(slots=True, eq=False)
class QueuedOperation:
    """One operation in the queue."""

    item: Any  # the caller's object
    tenant: int
    bucket: int
    priority_weight: float
    cost: float  # CPU seconds
    enqueued_at: float
    expires_at: float  # from this time on an answer could not come in time
    removed: bool = False  # dequeued, evicted, expired or abandoned


@dataclass(slots=True, eq=False)
class Flow:
    """The queued operations of one bucket of one tenant, oldest first; deleted when it is empty."""

    bucket: int
    virtual_start: float
    entries: deque[QueuedOperation] = field(default_factory=deque)
    length: int = 0


@dataclass(slots=True, eq=False)
class TenantQueue:
    """The queue and statistics of one tenant."""

    tenant: int
    weight: float
    virtual_finish: float = 0.0  # virtual time up to which the tenant has been served
    virtual_start: float = 0.0  # start tag of its next operation
    virtual_time: float = 0.0  # virtual time within the tenant, over its buckets
    flows: dict[int, Flow] = field(default_factory=dict)  # non-empty flows by bucket
    flow_heap: list[tuple[float, int, Flow]] = field(default_factory=list)
    length: int = 0
    queued_cost: float = 0.0  # of all queued operations, in CPU seconds
    newest_first: bool = False
    min_sojourn: float = inf  # lowest wait of a flow's oldest operation since the last overload check
    overload_checked_at: float = 0.0
    recently_forwarded: float = 0.0  # operations forwarded and rejected; both decay over REJECTION_WINDOW
    recently_rejected: float = 0.0
    decayed_at: float = 0.0
    # Statistics since they were last logged.
    queued: int = 0
    total_sojourn: float = 0.0
    max_sojourn: float = 0.0
    rejections: dict[str, int] = field(default_factory=dict)  # by cause, about four of them


class FairQueue:
    """The queued operations of all tenants, and the order in which they are served."""

    def __init__(self, shares: Sequence[float], capacity: int, seed: int, now: float) -> None:
        self.capacity = capacity
        self.seed = seed
        # The last queue is for operations of no known tenant.
        self.tenant_queues = [TenantQueue(i, 1.0) for i in range(len(shares) + 1)]
        self.set_shares(shares)
        self.virtual_time = 0.0
        self.length = 0
        self.log_messages: list[str] = []  # emptied by FairAdmissionControl
        self.service_rate = 0.0  # cost served per second while something was queued
        self._bucket_finish = array("d", bytes(8 * CLIENT_BUCKETS))
        self._tenant_heap: list[tuple[float, int, TenantQueue]] = []
        self._expiry_heap: list[tuple[float, int, QueuedOperation]] = []
        self._sequence = 0
        self._next_reseed = now + RESEED_INTERVAL
        self._salt = seed
        self._victim_tenant: TenantQueue | None = None
        self._victim_tenant_until = 0.0
        self._served_cost = 0.0
        self._sampled_at = now

    def __len__(self) -> int:
        return self.length

    def set_shares(self, shares: Sequence[float]) -> None:
        """Set the tenants' weights, at the start and after a change; queued operations keep their places."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        for queue, share in zip(self.tenant_queues, [*shares, mean], strict=True):
            queue.weight = max(share / mean, MIN_WEIGHT)

    # -- adding

    def bucket(self, tenant: int, client: bytes, now: float) -> int:
        """The bucket of a client, stable until the hash is reseeded."""
        if now >= self._next_reseed:
            self._next_reseed = now + RESEED_INTERVAL
            self._sequence += 1
            self._salt = xxh64_intdigest(b"%d" % self._sequence, self.seed)
        return xxh64_intdigest(b"%d " % tenant + client, self._salt) % CLIENT_BUCKETS

    def charge_unqueued(self, tenant: int, bucket: int, cost: float) -> None:
        """Charge an operation that bypasses the empty queue, as much as a queued one."""
        queue = self.tenant_queues[tenant]
        queue.virtual_time = virtual_start = max(queue.virtual_time, self._bucket_finish[bucket])
        self._bucket_finish[bucket] = virtual_start + cost
        self.virtual_time = virtual_start = max(self.virtual_time, queue.virtual_finish)
        queue.virtual_finish = virtual_start + cost / queue.weight

    def refund(self, tenant: int, bucket: int, cost: float) -> None:
        """Return the part of a charge that an operation did not use."""
        queue = self.tenant_queues[tenant]
        queue.virtual_finish -= cost / queue.weight
        self._bucket_finish[bucket] -= cost

    def enqueue(self, entry: QueuedOperation) -> None:
        """Queue an operation. The caller makes sure that `capacity` is not exceeded."""
        queue = self.tenant_queues[entry.tenant]
        self._sequence += 1
        flow = queue.flows.get(entry.bucket)
        if flow is None:
            flow = queue.flows[entry.bucket] = Flow(
                entry.bucket, max(queue.virtual_time, self._bucket_finish[entry.bucket])
            )
            heappush(queue.flow_heap, (flow.virtual_start, self._sequence, flow))
        flow.entries.append(entry)
        flow.length += 1
        if not queue.length:
            queue.virtual_start = max(self.virtual_time, queue.virtual_finish)
            heappush(self._tenant_heap, (queue.virtual_start, self._sequence, queue))
        queue.length += 1
        queue.queued_cost += entry.cost
        queue.queued += 1
        self.length += 1
        heappush(self._expiry_heap, (entry.expires_at, self._sequence, entry))
        # Dequeued operations stay in this heap until they expire; with long expiry times they would outnumber
        # the queued ones.
        if len(self._expiry_heap) > MAX_STALE_ENTRIES + 2 * self.length:
            self._expiry_heap = [each for each in self._expiry_heap if not each[2].removed]
            heapify(self._expiry_heap)

    # -- removing

    def dequeue(self, now: float) -> QueuedOperation | None:
        """Remove and return the next operation in fair order."""
        queue = self._next_tenant_queue()
        if queue is None:
            return None
        flow = self._next_flow(queue)
        entry = self._take_from_flow(queue, flow, now)
        self.virtual_time = queue.virtual_start
        queue.virtual_time = flow.virtual_start
        queue.virtual_finish = queue.virtual_start + entry.cost / queue.weight
        self._bucket_finish[flow.bucket] = flow.virtual_start + entry.cost
        self._served_cost += entry.cost
        waited = now - entry.enqueued_at
        queue.total_sojourn += waited
        queue.max_sojourn = max(queue.max_sojourn, waited)
        self._unlink(queue, flow, entry)
        self._sequence += 1
        if flow.length:
            flow.virtual_start = self._bucket_finish[flow.bucket]
            heappush(queue.flow_heap, (flow.virtual_start, self._sequence, flow))
        if queue.length:
            queue.virtual_start = queue.virtual_finish
            heappush(self._tenant_heap, (queue.virtual_start, self._sequence, queue))
        return entry

    def _next_tenant_queue(self) -> TenantQueue | None:
        """The queue to serve next.

        Skips stale heap entries, of queues that have emptied since or have a newer entry.
        """
        while self._tenant_heap:
            virtual_start, _, queue = heappop(self._tenant_heap)
            if queue.length and virtual_start == queue.virtual_start:
                return queue
        return None

    @staticmethod
    def _next_flow(queue: TenantQueue) -> Flow:
        while True:
            virtual_start, _, flow = heappop(queue.flow_heap)
            if flow.length and queue.flows.get(flow.bucket) is flow and virtual_start == flow.virtual_start:
                return flow

    def _take_from_flow(self, queue: TenantQueue, flow: Flow, now: float) -> QueuedOperation:
        while flow.entries[0].removed:
            flow.entries.popleft()
        self._update_order(queue, now - flow.entries[0].enqueued_at, now)
        if not queue.newest_first:
            return flow.entries.popleft()
        while flow.entries[-1].removed:
            flow.entries.pop()
        return flow.entries.pop()

    def _update_order(self, queue: TenantQueue, waited: float, now: float) -> None:
        """Switch between oldest first and newest first.

        In a long overload, first come, first served delays all operations alike until every answer is late.
        """
        queue.min_sojourn = min(queue.min_sojourn, waited)
        if now < queue.overload_checked_at:
            return
        newest_first = OVERLOAD_SOJOURN <= queue.min_sojourn < inf
        queue.min_sojourn, queue.overload_checked_at = inf, now + OVERLOAD_INTERVAL
        if newest_first != queue.newest_first:
            queue.newest_first = newest_first
            first = "newest" if newest_first else "oldest"
            self.log_messages.append(
                f"admission queue of tenant {queue.tenant} {first} first:"
                f" {queue.length} queued, {waited:.3f} s wait"
            )

    def _unlink(self, queue: TenantQueue, flow: Flow, entry: QueuedOperation) -> None:
        entry.removed = True
        flow.length -= 1
        queue.length -= 1
        queue.queued_cost = max(queue.queued_cost - entry.cost, 0.0) if queue.length else 0.0
        self.length -= 1
        if not flow.length:
            del queue.flows[flow.bucket]

    def remove(self, entry: QueuedOperation, cause: str) -> None:
        """Remove an operation that was not dequeued; it is not charged."""
        if entry.removed:
            return
        queue = self.tenant_queues[entry.tenant]
        queue.rejections[cause] = queue.rejections.get(cause, 0) + 1
        self._unlink(queue, queue.flows[entry.bucket], entry)

    def pop_expired(self, now: float) -> Iterator[QueuedOperation]:
        """Yield the operations whose remaining time no longer covers an answer; the caller removes each."""
        while self._expiry_heap and (self._expiry_heap[0][0] <= now or self._expiry_heap[0][2].removed):
            entry = heappop(self._expiry_heap)[2]
            if not entry.removed:
                yield entry

    def next_expiry(self) -> float | None:
        """When the next operation expires."""
        while self._expiry_heap and self._expiry_heap[0][2].removed:
            heappop(self._expiry_heap)
        return self._expiry_heap[0][0] if self._expiry_heap else None

    # -- eviction and expected waits

    def choose_victim(self, now: float) -> QueuedOperation | None:
        """The operation to evict from the full queue: of the lowest priority.

        It belongs to the tenant with the highest queued cost relative to its weight, and to the longest flow
        of that tenant.
        """
        if self._victim_tenant is None or not self._victim_tenant.length or now >= self._victim_tenant_until:
            non_empty = [queue for queue in self.tenant_queues if queue.length]
            self._victim_tenant = max(
                non_empty, key=lambda queue: queue.queued_cost / queue.weight, default=None
            )
            self._victim_tenant_until = now + VICTIM_TENANT_TTL
        if self._victim_tenant is None:
            return None
        flow = max(self._victim_tenant.flows.values(), key=lambda each: each.length)
        # Of equal priority the latest one, since the others have waited for their turn.
        candidates = [entry for entry in list(flow.entries)[-MAX_VICTIM_CANDIDATES:] if not entry.removed]
        candidates = candidates or [entry for entry in flow.entries if not entry.removed]
        return min(reversed(candidates), key=lambda entry: entry.priority_weight)

    def expected_wait(self, tenant: int) -> float:
        """Seconds that a new operation would wait at the recent service rate; 0 while the newest go first."""
        queue = self.tenant_queues[tenant]
        return 0.0 if queue.newest_first else self.backlog(queue)

    def backlog(self, queue: TenantQueue) -> float:
        """Seconds needed to serve a tenant's queue, while all tenants with queued operations take turns."""
        if not queue.length or self.service_rate <= 0.0:
            return 0.0
        weights = sum(each.weight for each in self.tenant_queues if each.length)
        return queue.queued_cost / (self.service_rate * queue.weight / weights)

    def record_outcome(self, tenant: int, now: float, forwarded: bool) -> None:
        """Count an operation that was forwarded or rejected."""
        queue = self.tenant_queues[tenant]
        decay = exp((queue.decayed_at - now) / REJECTION_WINDOW)
        queue.decayed_at = now
        queue.recently_forwarded = queue.recently_forwarded * decay + forwarded
        queue.recently_rejected = queue.recently_rejected * decay + (not forwarded)

    def rejected_backlog(self, tenant: int) -> float:
        """Seconds that a tenant would need, at its recent rate, for what was recently rejected.

        Without this term, by the length of the queue alone, clients of a flood were told to retry after a
        tenth of a second: sooner than they would have returned by themselves.
        """
        queue = self.tenant_queues[tenant]
        return REJECTION_WINDOW * queue.recently_rejected / max(queue.recently_forwarded, 1.0)

    def sample(self, now: float) -> None:
        """Update the service rate."""
        span = now - self._sampled_at
        if span > 0 and (self.length or self._served_cost):
            self.service_rate = (
                SERVICE_RATE_DECAY * self.service_rate + (1 - SERVICE_RATE_DECAY) * self._served_cost / span
            )
        self._served_cost, self._sampled_at = 0.0, now
