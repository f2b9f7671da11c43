"""The only caller of the routing decisions: reports events to them and carries out their decisions.

A request passes the interceptors, gets a handle and an entry in `pending_operations`, passes the routing
constraints, and is given to `Router.route`. Decisions made then and after each finished attempt are carried
out until the request has its one final reply.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from loguru import logger

from ..routing.router import Router
from ..routing.types import Action, Attempt, BackgroundTask, Decision, Deployment, Operation, Outcome, Step
from ..settings import read_reported_load
from .address_owners import AddressOwners
from .codec import Codec, RequestPayload
from .connection_pool import ConnectionPool
from .endpoint_list import EndpointListUpdate
from .extensions import EndpointListTransformer, Extensions, ReplyCallback
from .handle_table import HandleTable
from .origin_codec import OriginCodec
from .reason_log import ReasonLog, RejectReason
from .resp_codec import RespCodec
from .timer_queue import Timer, TimerQueue

FAILED_REPLY = b"-ERR failed\r\n"
BUSY_REPLY = b"-BUSY\r\n"
NO_HANDLE = -1  # for a request that an interceptor answered: nothing is pending for it
SUCCESSOR_START_TIME = 0.5  # seconds within which a router that shuts down has a successor
OVERDUE_GRACE = 0.005  # seconds after the deadline that the decisions keep; still before the client's own
FAILED_TASK_WAIT = 1.0  # seconds until a background task that raised an exception runs again
MIN_TASK_WAIT = 0.001  # seconds


def busy_reply(retry_after: float) -> bytes:
    """Return a rejection that names the time until a retry, given in seconds; 0 leaves it out."""
    return b"-BUSY %d\r\n" % max(retry_after * 1000, 1) if retry_after else BUSY_REPLY


@dataclass(slots=True, eq=False)
class PendingOperation:
    """An operation in flight: what the client sent and where its reply goes."""

    operation: Operation
    payload: RequestPayload
    reply_callback: ReplyCallback
    recheck_timer: Timer | None = None  # when the decisions have to be asked again
    overdue_timer: Timer | None = None
    answered: bool = False
    on_released: Callable[[], None] | None = None  # set if the client left before the reply


class Dispatcher:
    """Keeps the operations in flight by handle and makes all calls of the routing decisions."""

    def __init__(self, deployment: Deployment, timers: TimerQueue, reports_load: bool = False) -> None:
        """`reports_load`: replies of cache servers state how many operations the server has in flight."""
        self.reports_load = reports_load
        self.timers = timers
        self.clock = timers.clock
        self.router = Router(deployment, self.clock())
        # An entry stays until it is answered and all its attempts have ended. The handle is stored in
        # `Operation.ident`. The simulator stores text there, hence the ignored types below.
        self.pending_operations: HandleTable[PendingOperation] = HandleTable()
        self.server_codec: Codec = RespCodec()
        self.origin_codec = OriginCodec()
        self.address_owners = AddressOwners()
        self.failed_attempts = ReasonLog("attempts without a value")
        self.rejections = ReasonLog("operations rejected")
        self.pool: ConnectionPool
        self.watch_endpoints: Callable[[], None]
        self.send_gossip: Callable[[tuple[int, ...], bytes], None]
        self.install(Extensions())

    def connect(
        self,
        pool: ConnectionPool,
        watch_endpoints: Callable[[], None],
        send_gossip: Callable[[tuple[int, ...], bytes], None],
    ) -> None:
        """Set the components that carry out decisions. Called before the first event.

        They are created after this object because they report to it. `watch_endpoints` starts a watch of
        discovery; `send_gossip` sends a payload to the peers with the given numbers.
        """
        self.pool = pool
        self.watch_endpoints = watch_endpoints
        self.send_gossip = send_gossip

    def install(self, extensions: Extensions) -> None:
        """Install the extensions. Called once, before the first request."""
        self.request_interceptors = extensions.request_interceptors
        self.routing_constraints = extensions.routing_constraints
        self.redirect_observers = extensions.redirect_observers
        self.reply_observers = extensions.reply_observers
        self.endpoint_list_transformers = extensions.endpoint_list_transformers
        self.gossip_listeners = extensions.gossip_listeners
        self.poll_policies = extensions.poll_policies
        if extensions.server_codec is not None:
            self.server_codec = extensions.server_codec

    def start_background_tasks(self) -> None:
        """Run each background task of the decisions now, and from then on whenever it is due."""
        for task in self.router.background_tasks:
            self._run_background_task(task)

    # -- operations

    def submit(self, operation: Operation, payload: RequestPayload, reply_callback: ReplyCallback) -> int:
        """Start an operation. `reply_callback` gets its one final reply, possibly before this returns.

        Returns its handle, or NO_HANDLE if an interceptor answered it.
        """
        for interceptor in self.request_interceptors:
            intercepted = interceptor.intercept(operation, payload, reply_callback)
            if intercepted is None:
                return NO_HANDLE
            reply_callback = intercepted
        pending = PendingOperation(operation, payload, reply_callback)
        handle = operation.ident = self.pending_operations.add(pending)
        pending.overdue_timer = self.timers.call_at(
            operation.deadline + OVERDUE_GRACE, self._on_overdue, handle
        )
        for constraint in self.routing_constraints:
            reply = constraint.constrain(operation)
            if reply is not None:
                self.reject(operation, reply)
                return handle
        self._route(pending)
        return handle

    def reject(self, operation: Operation, reply: bytes) -> None:
        """Give a pending operation its final reply, bypassing the routing decisions."""
        pending = self.pending_operations.get(operation.ident)  # type: ignore[arg-type]
        if pending is not None and not pending.answered:
            self._reply(pending, reply)
            self._release(pending)

    def client_gone(self, handle: int, on_released: Callable[[], None] | None = None) -> None:
        """Cancel an operation whose client left; `on_released` is called once no attempt is in flight."""
        pending = self.pending_operations.get(handle)
        if pending is not None and not pending.answered:
            pending.answered, pending.on_released = True, on_released
            self._cancel(pending)
        elif on_released is not None:
            on_released()

    def on_attempt_finished(
        self,
        attempt: Attempt,
        outcome: Outcome,
        elapsed: float,
        value: bytes | None,
        load_report: bytes = b"",
        own_lag: float = 0.0,
    ) -> None:
        """Handle an attempt's outcome; the first value ends its operation.

        The attempt took `elapsed` seconds, without the `own_lag` seconds by which this router itself
        delayed it, for instance by leaving its reply unread.
        """
        pending = self.pending_operations.get(attempt.operation.ident)  # type: ignore[arg-type]
        if value is not None and outcome is not Outcome.SUCCEEDED:
            for observer in self.redirect_observers:
                observer.on_redirect(attempt, outcome, value)
        over = attempt.operation.finished or outcome is Outcome.SUCCEEDED
        succeeded = outcome is Outcome.SUCCEEDED and not attempt.operation.finished
        if not succeeded and outcome is not Outcome.CACHE_MISS:
            self.failed_attempts.record(outcome.label, b"" if pending is None else pending.payload.ident)
        if pending is not None and value is not None and succeeded:
            self._reply(pending, value)
        try:
            load = read_reported_load(load_report.decode("latin-1"), "=") if self.reports_load else None
            steps = self.router.on_attempt_finished(
                attempt, outcome, elapsed, over, self.clock(), load, own_lag
            )
        except Exception:
            logger.exception("failed to route an attempt's outcome")
            attempt.in_flight = False
            steps = [Step(attempt.operation, Decision(Action.FAIL))]
        for operation, decision in steps:
            self._carry_out(self.pending_operations.get(operation.ident), decision)  # type: ignore[arg-type]
        if pending is not None:
            self._release(pending)
        self._flush_log()

    def fail_rest(self) -> None:
        """Answer all pending operations when the router shuts down.

        Operations that may have run, such as those with an attempt in flight, are failed. Those that were
        never sent are rejected, as they may be retried elsewhere: a failure would tell the client neither
        that nor when to retry.
        """
        retry_after = min(SUCCESSOR_START_TIME, self.router.deployment.max_retry_after)
        for pending in self.pending_operations:
            if not pending.answered:
                operation = pending.operation
                ran = operation.may_have_run_on is not None or any(
                    attempt.in_flight for attempt in operation.attempts
                )
                self._reply(pending, FAILED_REPLY if ran else busy_reply(retry_after))
                self._cancel(pending)

    def _recheck(self, handle: int) -> None:
        pending = self.pending_operations.get(handle)
        if pending is not None and not pending.operation.finished:
            self._route(pending)

    def _route(self, pending: PendingOperation) -> None:
        try:
            decision = self.router.route(pending.operation, self.clock())
        except Exception:  # fails this operation only, not the router
            logger.exception("failed to route an operation")
            decision = Decision(Action.FAIL)
        self._carry_out(pending, decision)
        self._flush_log()

    def _on_overdue(self, handle: int) -> None:
        """Fail an operation without a reply after its deadline: a defect, but no operation may be lost."""
        pending = self.pending_operations.get(handle)
        if pending is None or pending.answered:
            return
        logger.error("operation {} was overdue", pending.payload.ident)
        self._reply(pending, FAILED_REPLY)
        self._cancel(pending)

    def _cancel(self, pending: PendingOperation) -> None:
        try:
            for attempt in self.router.cancel(pending.operation):
                self.pool.cancel(attempt)
        except Exception:
            logger.exception("failed to cancel an operation")
            pending.operation.finished = True
        self._release(pending)

    def _carry_out(self, pending: PendingOperation | None, decision: Decision) -> None:
        if pending is None:
            return
        action, attempt = decision.action, decision.attempt
        if action is Action.SEND and attempt is not None:
            codec = self.origin_codec if attempt.endpoint.origin else self.server_codec
            self.pool.send(attempt, pending.payload, decision.timeout, codec)
        elif action is Action.WAIT:
            self._schedule_recheck(pending)
        elif action is Action.REJECT:
            self.rejections.record(RejectReason.DECISION, pending.payload.ident)
            self._reply(pending, busy_reply(decision.retry_after))
        elif action is Action.FAIL:
            self._reply(pending, FAILED_REPLY)
        self._release(pending)

    def _schedule_recheck(self, pending: PendingOperation) -> None:
        now = self.clock()
        if pending.recheck_timer is not None:
            self.timers.cancel(pending.recheck_timer)
        wait = self.router.time_until_recheck(pending.operation, now)
        pending.recheck_timer = self.timers.call_at(now + wait, self._recheck, pending.operation.ident)

    def _reply(self, pending: PendingOperation, reply: bytes) -> None:
        if pending.answered:
            return
        pending.answered = True
        pending.operation.finished = True
        pending.reply_callback(reply)
        for observer in self.reply_observers:
            observer.on_reply(reply)

    def _release(self, pending: PendingOperation) -> None:
        """Remove an operation that is finished and has no attempt in flight."""
        operation = pending.operation
        if not operation.finished or any(attempt in self.pool.pending for attempt in operation.attempts):
            return
        if self.pending_operations.remove(operation.ident) is None:  # type: ignore[arg-type]
            return
        # Operation and attempts reference each other. Unless this cycle is broken, they stay in memory until
        # the garbage collector makes one of its rare full collections.
        operation.attempts.clear()
        for timer in (pending.recheck_timer, pending.overdue_timer):
            if timer is not None:
                self.timers.cancel(timer)
        if pending.on_released is not None:
            pending.on_released()

    # -- endpoint lists, gossip, background tasks

    def on_endpoints_changed(
        self,
        update: EndpointListUpdate,
        cached: bool = False,
        after: EndpointListTransformer | None = None,
    ) -> None:
        """Pass an endpoint list, or changes to it, through the transformers and apply the result.

        `cached`: the list was kept from an earlier time. `after`: only the transformers that come after this
        one are applied.
        """
        transformers = self.endpoint_list_transformers
        if after is not None:
            transformers = transformers[transformers.index(after) + 1 :]
        for transformer in transformers:
            transformed = transformer.transform(update, cached)
            if transformed is None:
                return
            update = transformed
        self.follow_endpoints(update, cached)

    def follow_endpoints(self, update: EndpointListUpdate, cached: bool = False) -> None:
        """Apply an endpoint list, bypassing all transformers."""
        update = self.address_owners.apply(update)
        self.pool.on_endpoints_changed(update)
        entries = [target.entry for target in update.targets]
        self.router.on_endpoints_changed(entries, update.complete, cached, self.clock())
        self._flush_log()

    def on_poll_failed(self) -> None:
        """Tell the decisions that the watch of discovery has failed."""
        self.router.on_poll_failed(self.clock())
        self._flush_log()

    def on_discovery_changed(self) -> None:
        """Tell the decisions that discovery has moved to another address."""
        self.router.on_discovery_changed(self.clock())
        self._flush_log()

    def on_gossip(self, peer: int, payload: bytes) -> None:
        """Pass a peer's message to the decisions, unless a listener handles it."""
        for listener in self.gossip_listeners:
            if listener.on_gossip(peer, payload):
                return
        self.router.on_gossip(peer, payload, self.clock())

    def _run_background_task(self, task: BackgroundTask) -> None:
        wait = FAILED_TASK_WAIT  # an exception must not end the task for good
        try:
            decision = self.router.route(task, self.clock())
            if decision.action is Action.POLL:
                self._poll_discovery()
            elif decision.action is Action.GOSSIP:
                self.send_gossip(decision.peers, decision.payload)
            wait = self.router.time_until_recheck(task, self.clock())
        except Exception:
            logger.exception("background task failed")
        self.timers.call_at(self.clock() + max(wait, MIN_TASK_WAIT), self._run_background_task, task)
        self._flush_log()

    def _poll_discovery(self) -> None:
        earliest = max((policy.earliest_poll() for policy in self.poll_policies), default=-inf)
        if self.clock() >= earliest:
            self.watch_endpoints()
        else:
            self.timers.call_at(earliest, self.watch_endpoints)

    def _flush_log(self) -> None:
        for text in self.router.log:
            logger.info(text)
        self.router.log.clear()
