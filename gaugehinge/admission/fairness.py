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

CLIENT_BUCKETS = 1024  # for the clients of all tenants: any two collide once in a thousand
RESEED_INTERVAL = 10.0  # seconds; so long two that collide share one turn
MIN_WEIGHT = 0.01  # of the mean: a tenant with no share still gets a turn now and then
OVERLOAD_SOJOURN = 0.1  # where the oldest of all flows of a tenant waited for so long,
OVERLOAD_INTERVAL = 0.5  # through all of such a time, the overload is long: its newest go first
VICTIM_TENANT_TTL = 0.01  # seconds for which the tenant that yields is not looked for again
MAX_VICTIM_CANDIDATES = 32  # operations looked at for the one of least payoff
SERVICE_RATE_DECAY = 0.8  # of the measured pace, a sample
REJECTION_WINDOW = 1.0  # over which what was passed on and turned away is remembered
MAX_STALE_ENTRIES = 256  # entries that left, kept in the heaps before these are cleaned


@dataclass(slots=True, eq=False)
class QueuedOperation:
    """One operation in the queue."""

    item: Any  # the door's own
    tenant: int
    bucket: int
    priority_weight: float
    cost: float  # seconds of CPU
    enqueued_at: float
    expires_at: float  # from then on an answer could not come in time
    removed: bool = False  # taken, or left


@dataclass(slots=True, eq=False)
class Flow:
    """Operations of one bucket of one tenant, oldest first; it leaves with the last one."""

    bucket: int
    virtual_start: float
    entries: deque[QueuedOperation] = field(default_factory=deque)
    length: int = 0


@dataclass(slots=True, eq=False)
class TenantQueue:
    """One tenant."""

    tenant: int
    weight: float
    virtual_finish: float = 0.0  # virtual time up to which it has been served
    virtual_start: float = 0.0  # of what is next
    virtual_time: float = 0.0  # time within it, over its buckets
    flows: dict[int, Flow] = field(default_factory=dict)  # those with something in them
    flow_heap: list[tuple[float, int, Flow]] = field(default_factory=list)
    length: int = 0
    queued_cost: float = 0.0  # of all that waits
    newest_first: bool = False
    min_sojourn: float = inf  # that the oldest of a flow had waited, since it was last judged
    overload_checked_at: float = 0.0
    recently_forwarded: float = 0.0  # operations passed on and turned away, of late; both fade
    recently_rejected: float = 0.0
    decayed_at: float = 0.0
    # figures since the last time they were told
    queued: int = 0
    total_sojourn: float = 0.0
    max_sojourn: float = 0.0
    rejections: dict[str, int] = field(default_factory=dict)  # by cause, some four


class FairQueue:
    """What waits, and who is next."""

    def __init__(self, shares: Sequence[float], capacity: int, seed: int, now: float) -> None:
        self.capacity = capacity
        self.seed = seed
        self.tenant_queues = [
            TenantQueue(i, 1.0) for i in range(len(shares) + 1)
        ]  # the last one: of no known tenant
        self.set_shares(shares)
        self.virtual_time = 0.0
        self.length = 0
        self.log_messages: list[str] = []  # emptied by the door
        self.service_rate = 0.0  # cost served a second while something waited
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
        """The tenants' weights, at the start and when they change; what waits keeps its place."""
        mean = sum(shares) / len(shares) if shares and sum(shares) else 1.0
        for queue, share in zip(self.tenant_queues, [*shares, mean], strict=True):
            queue.weight = max(share / mean, MIN_WEIGHT)

    # -- in

    def bucket(self, tenant: int, client: bytes, now: float) -> int:
        """The bucket of a client, for as long as the hash stays."""
        if now >= self._next_reseed:
            self._next_reseed = now + RESEED_INTERVAL
            self._sequence += 1
            self._salt = xxh64_intdigest(b"%d" % self._sequence, self.seed)
        return xxh64_intdigest(b"%d " % tenant + client, self._salt) % CLIENT_BUCKETS

    def charge_unqueued(self, tenant: int, bucket: int, cost: float) -> None:
        """An operation that needs not wait, since nothing does. It counts as much."""
        queue = self.tenant_queues[tenant]
        queue.virtual_time = virtual_start = max(queue.virtual_time, self._bucket_finish[bucket])
        self._bucket_finish[bucket] = virtual_start + cost
        self.virtual_time = virtual_start = max(self.virtual_time, queue.virtual_finish)
        queue.virtual_finish = virtual_start + cost / queue.weight

    def refund(self, tenant: int, bucket: int, cost: float) -> None:
        """Part of what an operation counted was not used."""
        queue = self.tenant_queues[tenant]
        queue.virtual_finish -= cost / queue.weight
        self._bucket_finish[bucket] -= cost

    def enqueue(self, entry: QueuedOperation) -> None:
        """Let an operation wait. The caller keeps to `most`."""
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
        # Those that were taken stay in this heap until their time: with long waits they would outnumber
        # the others.
        if len(self._expiry_heap) > MAX_STALE_ENTRIES + 2 * self.length:
            self._expiry_heap = [each for each in self._expiry_heap if not each[2].removed]
            heapify(self._expiry_heap)

    # -- out

    def dequeue(self, now: float) -> QueuedOperation | None:
        """The next one, by fair turns."""
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
        """The tenant whose turn it is. One that emptied meanwhile stands there no more, or anew."""
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
        """First come, first served holds all up alike in a long overload, until each answer is late."""
        queue.min_sojourn = min(queue.min_sojourn, waited)
        if now < queue.overload_checked_at:
            return
        newest_first = OVERLOAD_SOJOURN <= queue.min_sojourn < inf
        queue.min_sojourn, queue.overload_checked_at = inf, now + OVERLOAD_INTERVAL
        if newest_first != queue.newest_first:
            queue.newest_first = newest_first
            first = "newest" if newest_first else "oldest"
            self.log_messages.append(
                f"door line {queue.tenant} {first} first: {queue.length} waiting, {waited:.3f} s"
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
        """An operation leaves without having been taken; what it would have counted, it does not."""
        if entry.removed:
            return
        queue = self.tenant_queues[entry.tenant]
        queue.rejections[cause] = queue.rejections.get(cause, 0) + 1
        self._unlink(queue, queue.flows[entry.bucket], entry)

    def pop_expired(self, now: float) -> Iterator[QueuedOperation]:
        """Those whose time left does not cover an answer any more; each is to leave."""
        while self._expiry_heap and (self._expiry_heap[0][0] <= now or self._expiry_heap[0][2].removed):
            entry = heappop(self._expiry_heap)[2]
            if not entry.removed:
                yield entry

    def next_expiry(self) -> float | None:
        """When the next one leaves."""
        while self._expiry_heap and self._expiry_heap[0][2].removed:
            heappop(self._expiry_heap)
        return self._expiry_heap[0][0] if self._expiry_heap else None

    # -- who yields, how long it takes

    def choose_victim(self, now: float) -> QueuedOperation | None:
        """With the queue full: of the tenant that waits for most against its weight, the least payoff."""
        if self._victim_tenant is None or not self._victim_tenant.length or now >= self._victim_tenant_until:
            non_empty = [queue for queue in self.tenant_queues if queue.length]
            self._victim_tenant = max(
                non_empty, key=lambda queue: queue.queued_cost / queue.weight, default=None
            )
            self._victim_tenant_until = now + VICTIM_TENANT_TTL
        if self._victim_tenant is None:
            return None
        flow = max(self._victim_tenant.flows.values(), key=lambda each: each.length)
        # Of equal payoff the last that came: the others have waited for their turn.
        candidates = [entry for entry in list(flow.entries)[-MAX_VICTIM_CANDIDATES:] if not entry.removed]
        candidates = candidates or [entry for entry in flow.entries if not entry.removed]
        return min(reversed(candidates), key=lambda entry: entry.priority_weight)

    def expected_wait(self, tenant: int) -> float:
        """How long what comes now would wait, at the pace of late; 0 where the newest go first."""
        queue = self.tenant_queues[tenant]
        return 0.0 if queue.newest_first else self.backlog(queue)

    def backlog(self, queue: TenantQueue) -> float:
        """Seconds of work that a tenant has waiting, at what it gets while all that wait take turns."""
        if not queue.length or self.service_rate <= 0.0:
            return 0.0
        weights = sum(each.weight for each in self.tenant_queues if each.length)
        return queue.queued_cost / (self.service_rate * queue.weight / weights)

    def record_outcome(self, tenant: int, now: float, forwarded: bool) -> None:
        """An operation was passed on, or turned away."""
        queue = self.tenant_queues[tenant]
        decay = exp((queue.decayed_at - now) / REJECTION_WINDOW)
        queue.decayed_at = now
        queue.recently_forwarded = queue.recently_forwarded * decay + forwarded
        queue.recently_rejected = queue.recently_rejected * decay + (not forwarded)

    def rejected_backlog(self, tenant: int) -> float:
        """How long a tenant would need, at what it gets, for what it was turned away of late.

        With only the queue's length to go by, those of a flood were sent away for a tenth of a second:
        sooner than they would have returned by themselves.
        """
        queue = self.tenant_queues[tenant]
        return REJECTION_WINDOW * queue.recently_rejected / max(queue.recently_forwarded, 1.0)

    def sample(self, now: float) -> None:
        """Measure the pace."""
        span = now - self._sampled_at
        if span > 0 and (self.length or self._served_cost):
            self.service_rate = (
                SERVICE_RATE_DECAY * self.service_rate + (1 - SERVICE_RATE_DECAY) * self._served_cost / span
            )
        self._served_cost, self._sampled_at = 0.0, now
