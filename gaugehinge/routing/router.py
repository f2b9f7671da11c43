"""The decisions of one router: which server, whether to retry, when to reject.

Ask `route(thing, now)` for an operation that came in or whose wait is over,
`on_attempt_finished(attempt, outcome, ...)` when an attempt ended, `time_until_recheck(thing, now)` when
the decision was to wait. Notify it of what happened with the other `on_...` calls and `cancel`.
`background_tasks` are its own standing tasks and go through the same calls. Time and events come in,
plain values go out: it does no I/O and has no clock. A router shares nothing with others in its process.

The parts, one module each, own what they measure; this module only asks them in the right order. The reasons
for what they do are in docs/design.md.
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
    """The decisions of one router.

    State: its parts, each of which says what empties it, and the log lines of the call, which the caller
    empties.
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

    # -- what is read of a router from outside

    @property
    def endpoints(self) -> Mapping[int, Endpoint]:
        """The listed endpoints by number, without the origin; the same mapping at all times."""
        return self.table.endpoints

    @property
    def origin(self) -> Endpoint | None:
        """The origin, where one is listed."""
        return self.table.origin

    @property
    def tenants(self) -> tuple[Tenant, ...]:
        """The tenants of the last change."""
        return self.quotas.tenants

    def responses_per_second(self, now: float) -> float:
        """Return the rate of attempts that endpoints answered."""
        return self.load.responses_per_second(now)

    def operations_per_second(self) -> float:
        """Return the rate of all tenants' operations."""
        return self.quotas.operations_per_second()

    # -- the three calls

    def route(self, item: Operation | BackgroundTask, now: float) -> Decision:
        """Say where to send this operation, or not yet, or never."""
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
            # Freed before its wait was over: its attempt is in flight, and asking again
            # would send a second one.
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
        """Say what to do after an outcome, for its operation and for those that it frees.

        `is_final` tells whether the operation got its answer, `reported_load` what the server reported that
        it holds, `own_lag` for how many seconds beyond `elapsed` the reply waited for this router.
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
        """Return how long to wait before asking again."""
        if isinstance(item, BackgroundTask):
            return item.time_until_due(now)
        if item.queued_at is not None:
            return self.queues.time_until_recheck(item, now)
        return self.fetches.time_until_recheck(item, self.origin_limit.expected_latency(), now)

    # -- notices

    def on_endpoints_changed(
        self, entries: Sequence[EndpointEntry], is_full_list: bool, is_restored: bool, now: float
    ) -> None:
        """Follow the endpoint list or its changes; `is_restored` is a list that was kept over a restart."""
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
        """Keep the last list after a failed poll, and poll again later."""
        self.polling.on_poll_failed(now)

    def on_discovery_changed(self, now: float) -> None:
        """Ask elsewhere for the endpoint list from now on."""
        self.polling.on_discovery_changed(now)

    def on_tenants_changed(self, tenants: tuple[Tenant, ...], reassigned: Container[int]) -> None:
        """Follow the tenants; what is known of the `reassigned` places, which changed hands, is emptied."""
        self.quotas.on_tenants_changed(tenants, reassigned)

    def on_gossip(self, number: int, payload: bytes, now: float) -> None:
        """Take over a peer's rates of operations for each tenant."""
        self.gossip.receive(number, payload, self.quotas.tenant_count(), now)

    def cancel(self, operation: Operation) -> list[Attempt]:
        """End an operation whose client left; return the attempts to cancel."""
        operation.finished = True
        self.fetches.leave(operation)
        self.queues.leave(operation)
        if not self.deployment.may_cancel:
            return []
        return [attempt for attempt in operation.attempts if attempt.in_flight]

    # -- what happens by time

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

    # -- the ways of an operation

    def _admit(self, operation: Operation, now: float) -> Decision:
        """Set a new operation's times, count it against its quota, and shed it or route it."""
        operation.admitted = True
        self.deadlines.assign(operation)
        operation.over_quota = self.quotas.is_over_quota(operation.tenant)
        # A write asks nothing of the endpoints: shedding it would lose it and relieve nobody.
        bypasses_endpoints = operation.is_write and self.deployment.cache_aside
        if not bypasses_endpoints and self.shedder.sheds(operation):
            return self._give_up(operation, now)
        return self._route(operation, now)

    def _route(self, operation: Operation, now: float) -> Decision:
        """Send an operation to an endpoint or the origin, let it queue, or give it up."""
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
        """Send an operation to the origin, where it has a place now, or give it up."""
        origin = self.table.available_origin()
        if origin is None or not retry_safety.may_be_sent_to(origin, operation):
            return self._give_up(operation, now)
        if not self.origin_limit.try_acquire(operation.is_write, now):
            return self._give_up(operation, now)
        if not operation.is_write:
            self.fetches.begin(operation.key)
        return start_attempt(operation, origin, time_left(operation, now), now)

    def _after_failed_attempt(self, attempt: Attempt, outcome: Outcome, now: float) -> Decision:
        """Say what follows an attempt that did not end its operation."""
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
        """End an operation at once."""
        operation.finished = True
        self.queues.leave(operation)
        return self.retries.final_decision(operation, now)
