"""The decision core of one router: which server to use, whether to retry, and when to reject.

The caller invokes `route(item, now)` for an operation that has arrived or whose wait is over,
`on_attempt_finished(attempt, outcome, ...)` when an attempt has ended, and `time_until_recheck(item, now)`
when the decision was to wait. The other `on_...` methods and `cancel` report events. `background_tasks` lists
the router's own recurring tasks, which go through the same calls. The caller passes in the time and the
events, and gets plain values back: the router does no I/O and has no clock. It shares no state with other
routers in the same process.

Each component has a module of its own and owns its measurements; this module only calls them in the right
order. docs/design.md gives the reasons for their behaviour.
"""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence

from . import retry_safety
from .attempt_results import AttemptResults
from .concurrency_limits import ConcurrencyLimits
from .control_interval import ControlInterval
from .deadlines import Deadlines, time_left
from .discovery_polling import DiscoveryPolling
from .endpoint import Endpoint
from .endpoint_queue import EndpointQueues
from .endpoint_selection import EndpointSelection
from .endpoint_table import EndpointTable
from .fetch_coalescing import FetchCoalescing
from .gossip import Gossip
from .hash_ring import HashRing
from .key_shares import KeyShares
from .load_measurement import LoadMeasurement
from .load_shedding import LoadShedder
from .origin_limit import OriginConcurrencyLimit
from .outcome_groups import REDIRECTS
from .outlier_ejection import OutlierEjection
from .quotas import Quotas
from .retries import RetryPolicy, start_attempt
from .seeded_random import SeededRandom
from .slow_start import SlowStart
from .types import (
    NO_ACTION,
    WAIT,
    Attempt,
    BackgroundTask,
    Decision,
    Deployment,
    EndpointEntry,
    Operation,
    Outcome,
    Step,
    TaskKind,
    Tenant,
)


class Router:
    """Makes all decisions of one router.

    State: the components, each of which documents when its state is cleared, and the log lines of the current
    call, which the caller clears.
    """

    def __init__(self, deployment: Deployment, now: float) -> None:
        self.deployment = deployment
        self.log: list[str] = []
        self.random = SeededRandom(deployment.seed)
        self.slow_start = SlowStart(deployment, self.random)
        self.table = EndpointTable(deployment, self.slow_start, now)
        self.ring = HashRing(deployment)
        self.load = LoadMeasurement(deployment, self.table, self.ring, now)
        self.key_shares = KeyShares(self.table, self.ring, self.load)
        self.gossip = Gossip(deployment, self.random)
        self.quotas = Quotas(deployment.tenants, self.gossip)
        self.shedder = LoadShedder(deployment, self.load, self.random, self.log)
        self.limits = ConcurrencyLimits(deployment, self.gossip, self.shedder, self.random)
        self.origin_limit = OriginConcurrencyLimit.of_deployment(deployment, self.random, self.log)
        self.ejection = OutlierEjection(self.table, self.load, self.limits, self.random, self.log)
        self.selection = EndpointSelection(
            deployment, self.table, self.ring, self.load, self.limits, self.ejection, self.origin_limit
        )
        self.retries = RetryPolicy(deployment, self.load, self.origin_limit, self.shedder, self.random)
        self.results = AttemptResults(self.load, self.limits, self.ejection, self.retries, self.shedder)
        self.fetches = FetchCoalescing(deployment.clock_granularity)
        self.queues = EndpointQueues(self.table, self.load, self.limits, deployment.clock_granularity)
        self.polling = DiscoveryPolling(deployment, self.random, self.log, now)
        self.deadlines = Deadlines(deployment)
        self.control_interval = ControlInterval(now)
        self.background_tasks: list[BackgroundTask] = []
        self._start_background_tasks(now)

    def _start_background_tasks(self, now: float) -> None:
        if self.deployment.must_poll:
            self.background_tasks.append(self.polling.task)
        gossip_task = self.gossip.begin(self.quotas.tenant_count() > 0, now)
        if gossip_task is not None:
            self.background_tasks.append(gossip_task)

    # -- read access for callers

    @property
    def endpoints(self) -> Mapping[int, Endpoint]:
        """The listed endpoints by number, without the origin; always the same mapping object."""
        return self.table.endpoints

    @property
    def origin(self) -> Endpoint | None:
        """The origin, or `None` if none is listed."""
        return self.table.origin

    @property
    def tenants(self) -> tuple[Tenant, ...]:
        """The current tenants, as set by the last change."""
        return self.quotas.tenants

    def responses_per_second(self, now: float) -> float:
        """Return the rate of attempts answered by endpoints."""
        return self.load.responses_per_second(now)

    def operations_per_second(self) -> float:
        """Return the rate of operations of all tenants together."""
        return self.quotas.operations_per_second()

    # -- routing

    def route(self, item: Operation | BackgroundTask, now: float) -> Decision:
        """Decide whether to send an operation and to which endpoint, to let it wait, or to end it."""
        if self.load.is_bucket_over(now):
            self._start_bucket(now)
        if isinstance(item, BackgroundTask):
            return self._run_background_task(item, now)
        if item.finished:
            return NO_ACTION
        if not item.admitted:
            return self._admit(item, now)
        if item.queued_at is not None:
            return self._recheck_queued(item, now)
        if not item.waiting_for_fetch:
            # It was released before its timer fired, and its attempt is already in flight: routing
            # it again would send a second one.
            return NO_ACTION
        self.fetches.leave(item)
        return self._route(item, now)

    def on_attempt_finished(
        self,
        attempt: Attempt,
        outcome: Outcome,
        elapsed: float,
        is_final: bool,
        now: float,
        reported_load: float | None = None,
        own_lag: float = 0.0,
    ) -> list[Step]:
        """Return the next steps after an attempt: for its operation and for the operations it releases.

        `elapsed` is in seconds. `is_final` tells whether the operation has its answer, `reported_load` is the
        load that the server reported, if it did. `own_lag` is the time in seconds, on top of `elapsed`, that
        the reply stood unread because this router was late.
        """
        if self.load.is_bucket_over(now):
            self._start_bucket(now)
        steps: list[Step] = []
        operation, endpoint = attempt.operation, attempt.endpoint
        attempt.in_flight = False
        if endpoint.origin:
            self.origin_limit.on_attempt_ended(attempt, outcome, elapsed, now)
        else:
            if reported_load is not None:
                self.load.record_load_report(endpoint, reported_load, now)
            self.results.record(attempt, outcome, elapsed, now, own_lag)
        operation.finished = operation.finished or is_final
        if not operation.finished:
            retry_safety.record_possible_run(attempt, outcome)
            steps.append(Step(operation, self._after_failed_attempt(attempt, outcome, now)))
        if endpoint.origin and not operation.is_write:
            self.fetches.end(operation, outcome is Outcome.SUCCEEDED, steps, now, self._route)
        elif endpoint.queue:
            self.queues.release(endpoint, steps, now, self._route)
        return steps

    def time_until_recheck(self, item: Operation | BackgroundTask, now: float) -> float:
        """Return the number of seconds to wait before calling `route` again."""
        if isinstance(item, BackgroundTask):
            return item.time_until_due(now)
        if item.queued_at is not None:
            return self.queues.time_until_recheck(item, now)
        return self.fetches.time_until_recheck(item, self.origin_limit.expected_latency(), now)

    # -- events

    def on_endpoints_changed(
        self, entries: Sequence[EndpointEntry], is_full_list: bool, is_restored: bool, now: float
    ) -> None:
        """Apply an endpoint list, or changes to it.

        `is_full_list` tells a full list from changes, `is_restored` a list kept over a restart from one that
        discovery sent.
        """
        if not is_restored:
            self.polling.on_list_received()
        self.table.apply(entries, is_full_list, now)
        changed = self.table.take_changed()
        if changed:
            self.load.forget_unlisted(changed)
            self.ring.update(changed, self.table.is_listed)
            self.table.refresh_ready()
            self._advance_slow_start(now, 0.0)

    def on_poll_failed(self, now: float) -> None:
        """Keep the last endpoint list after a failed poll, and schedule the next poll."""
        self.polling.on_poll_failed(now)

    def on_discovery_changed(self, now: float) -> None:
        """Poll for the endpoint list again, since discovery is at another address from now on."""
        self.polling.on_discovery_changed(now)

    def on_tenants_changed(self, tenants: tuple[Tenant, ...], reassigned: Container[int]) -> None:
        """Set the tenants; clear the state of the `reassigned` table indexes, which belong to new tenants."""
        self.quotas.on_tenants_changed(tenants, reassigned)

    def on_gossip(self, number: int, payload: bytes, now: float) -> None:
        """Store the rate of operations for each tenant that a peer sent."""
        self.gossip.receive(number, payload, self.quotas.tenant_count(), now)

    def cancel(self, operation: Operation) -> list[Attempt]:
        """End an operation whose client disconnected; return the attempts to cancel.

        No attempt is returned where the deployment does not allow cancelling.
        """
        operation.finished = True
        self.fetches.leave(operation)
        self.queues.leave(operation)
        if not self.deployment.may_cancel:
            return []
        return [attempt for attempt in operation.attempts if attempt.in_flight]

    # -- periodic work

    def _start_bucket(self, now: float) -> None:
        self.load.start_bucket(now)
        self.ejection.readmit_due(now)
        self.load.reassess_active(now)
        if self.control_interval.is_over(now):
            self._start_control_interval(now)

    def _start_control_interval(self, now: float) -> None:
        span = self.control_interval.start_next(now)
        self._advance_slow_start(now, span)
        self.quotas.refill(span)
        self.shedder.update_lateness(span)
        self.key_shares.update()
        self.shedder.update(span)

    def _advance_slow_start(self, now: float, span: float) -> None:
        self.table.advance_slow_start(self.load.responses_per_second(now), now, span)

    def _run_background_task(self, task: BackgroundTask, now: float) -> Decision:
        if now < task.due:
            return WAIT
        if task.kind is TaskKind.GOSSIP:
            return self.gossip.send(task, self.quotas.usage_by_tenant(), now)
        return self.polling.poll(now)

    # -- routing of one operation

    def _admit(self, operation: Operation, now: float) -> Decision:
        """Set a new operation's deadlines, count it against its tenant's quota, then shed or route it."""
        operation.admitted = True
        self.deadlines.assign(operation)
        operation.over_quota = self.quotas.is_over_quota(operation.tenant)
        # These writes cause no load at the endpoints: shedding one would lose it and relieve no endpoint.
        bypasses_endpoints = operation.is_write and self.deployment.cache_aside
        if not bypasses_endpoints and self.shedder.sheds(operation):
            return self._give_up(operation, now)
        return self._route(operation, now)

    def _route(self, operation: Operation, now: float) -> Decision:
        """Send an operation to an endpoint or the origin, queue it, or give it up."""
        if not self.retries.may_start_attempt(operation, now):
            return self._give_up(operation, now)
        if self.deployment.cache_aside and (operation.wants_origin or operation.is_write):
            return self._route_to_origin(operation, now)
        endpoint = self.selection.select(operation, now)
        if endpoint is None:
            is_queued = self.queues.try_enqueue(operation, now)
            return WAIT if is_queued else self._give_up(operation, now)
        self.slow_start.spend(endpoint)
        self.load.on_attempt_started(endpoint, now)
        return start_attempt(operation, endpoint, self.retries.attempt_timeout(operation, now), now)

    def _route_to_origin(self, operation: Operation, now: float) -> Decision:
        """Send an operation to the origin if its concurrency limit allows that now, or give it up."""
        origin = self.table.available_origin()
        if origin is None or not retry_safety.may_be_sent_to(origin, operation):
            return self._give_up(operation, now)
        if not self.origin_limit.try_acquire(operation.is_write, now):
            return self._give_up(operation, now)
        if not operation.is_write:
            self.fetches.begin(operation.key)
        return start_attempt(operation, origin, time_left(operation, now), now)

    def _after_failed_attempt(self, attempt: Attempt, outcome: Outcome, now: float) -> Decision:
        """Decide what follows an attempt that did not end its operation."""
        operation = attempt.operation
        if outcome is Outcome.CACHE_MISS and not attempt.endpoint.origin:
            return self._after_miss(operation, now)
        if outcome in REDIRECTS:
            may_continue = self.retries.follow_redirect(operation)
        else:
            may_continue = self.retries.may_retry(attempt, outcome, now)
        return self._route(operation, now) if may_continue else self._give_up(operation, now)

    def _after_miss(self, operation: Operation, now: float) -> Decision:
        operation.wants_origin = True
        if not self.retries.has_attempts_left(operation):
            return self._give_up(operation, now)
        return WAIT if self.fetches.try_join(operation) else self._route(operation, now)

    def _recheck_queued(self, operation: Operation, now: float) -> Decision:
        if self.queues.may_keep_waiting(operation, now):
            return WAIT
        self.queues.leave(operation)
        return self._route(operation, now)

    def _give_up(self, operation: Operation, now: float) -> Decision:
        """End an operation without an answer from a server, and return the decision for its client."""
        operation.finished = True
        self.queues.leave(operation)
        return self.retries.final_decision(operation, now)
