"""Sole caller of the routing decisions: reports events to them and carries out what they decide.

The way of a request: interceptors, then a handle and a place in `pending_operations`, then routing
constraints, then `Router.route` and whatever it decides then and on finished attempts, until one final reply.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from loguru import logger

from ..routing.router import Router
from ..routing.types import Action, Attempt, BackgroundTask, Decision, Deployment, Operation, Outcome, Step
from ..settings import read_reported_load
from .codec import Codec, RequestPayload
from .connection_pool import ConnectionPool
from .endpoint_list import EndpointListUpdate
from .extensions import EndpointListTransformer, Extensions, ReplyCallback
from .handle_table import HandleTable
from .origin_codec import OriginCodec
from .resp_codec import RespCodec
from .timer_queue import Timer, TimerQueue

FAILED_REPLY = b"-ERR failed\r\n"
BUSY_REPLY = b"-BUSY\r\n"
NO_HANDLE = -1  # of a request that an interceptor answered: nothing of it is pending
SUCCESSOR_START_TIME = 0.5  # seconds by which a router that ends has a successor
OVERDUE_GRACE = 0.005  # seconds behind the deadline that the decisions keep, still before the client's own
FAILED_TASK_WAIT = 1.0  # seconds until a background task that failed is run again
MIN_TASK_WAIT = 0.001


def busy_reply(retry_after: float) -> bytes:
    """A rejection; with the time to come back where that is told (seconds, 0: it is not)."""
    return b"-BUSY %d\r\n" % max(retry_after * 1000, 1) if retry_after else BUSY_REPLY


@dataclass(slots=True, eq=False)
class PendingOperation:
    """An operation in flight: what the client sent and where its reply goes."""

    operation: Operation
    payload: RequestPayload
    reply_callback: ReplyCallback
    recheck_timer: Timer | None = None  # when the decisions want to be asked again
    overdue_timer: Timer | None = None
    answered: bool = False
    on_released: Callable[[], None] | None = None  # where its client left before the reply


class Dispatcher:
    """Operations in flight by handle, and all calls of the routing decisions."""

    def __init__(self, deployment: Deployment, timers: TimerQueue, reports_load: bool = False) -> None:
        """`reports_load`: replies of cache servers carry how many operations they have in flight."""
        self.reports_load = reports_load
        self.timers = timers
        self.clock = timers.clock
        self.router = Router(deployment, self.clock())
        # An entry stays until it is answered and all its attempts have ended. The handle is written into
        # `Operation.ident`, which the simulator's operations have as text: hence the ignored types below.
        self.pending_operations: HandleTable[PendingOperation] = HandleTable()
        self.server_codec: Codec = RespCodec()
        self.origin_codec = OriginCodec()
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
        """Name what decisions are carried out by, before the first event.

        These parts report to this object, and are made after it for that reason. `watch_endpoints` begins a
        watch of discovery; `send_gossip` sends a payload to peers by their numbers.
        """
        self.pool = pool
        self.watch_endpoints = watch_endpoints
        self.send_gossip = send_gossip

    def install(self, extensions: Extensions) -> None:
        """Take the extensions, once, before the first request."""
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
        """Run each background task of the decisions, from now on whenever it is due."""
        for task in self.router.background_tasks:
            self._run_background_task(task)

    # -- operations

    def submit(self, operation: Operation, payload: RequestPayload, reply_callback: ReplyCallback) -> int:
        """Take an operation; `reply_callback` gets its one final reply, perhaps at once.

        Returns its handle, NO_HANDLE where an interceptor answered it.
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
        """Give a pending operation its final reply, past the routing decisions."""
        pending = self.pending_operations.get(operation.ident)  # type: ignore[arg-type]
        if pending is not None and not pending.answered:
            self._reply(pending, reply)
            self._release(pending)

    def client_gone(self, handle: int, on_released: Callable[[], None] | None = None) -> None:
        """Nobody waits for the reply any more; `on_released` is called once no attempt is out."""
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
        """Take an attempt's outcome; the first value ends its operation.

        It took `elapsed` seconds; its reply stood unread for `own_lag` seconds more.
        """
        pending = self.pending_operations.get(attempt.operation.ident)  # type: ignore[arg-type]
        if value is not None and outcome is not Outcome.SUCCEEDED:
            for observer in self.redirect_observers:
                observer.on_redirect(attempt, outcome, value)
        over = attempt.operation.finished or outcome is Outcome.SUCCEEDED
        succeeded = outcome is Outcome.SUCCEEDED and not attempt.operation.finished
        if pending is not None and value is not None and succeeded:
            self._reply(pending, value)
        try:
            load = read_reported_load(load_report.decode("latin-1"), "=") if self.reports_load else None
            steps = self.router.on_attempt_finished(
                attempt, outcome, elapsed, over, self.clock(), load, own_lag
            )
        except Exception:
            logger.exception("routing an attempt's outcome failed")
            attempt.in_flight = False
            steps = [Step(attempt.operation, Decision(Action.FAIL))]
        for operation, decision in steps:
            self._carry_out(self.pending_operations.get(operation.ident), decision)  # type: ignore[arg-type]
        if pending is not None:
            self._release(pending)
        self._flush_log()

    def fail_rest(self) -> None:
        """Answer all pending operations, as the router ends: those with an attempt out may have run.

        What never went out may be retried elsewhere: failed, its client would not know that, nor when.
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
        except Exception:  # it fails this operation, not the router
            logger.exception("routing an operation failed")
            decision = Decision(Action.FAIL)
        self._carry_out(pending, decision)
        self._flush_log()

    def _on_overdue(self, handle: int) -> None:
        """Its time is over with no reply given: a mistake, which must not also become a lost operation."""
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
            logger.exception("cancelling an operation failed")
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
        """Forget an operation that is finished and has no attempt out."""
        operation = pending.operation
        if not operation.finished or any(attempt in self.pool.pending for attempt in operation.attempts):
            return
        if self.pending_operations.remove(operation.ident) is None:  # type: ignore[arg-type]
            return
        # Operation and attempts know each other: left so, they stay until the collector's rare full pass.
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
        """Pass an endpoint list, or changes of it, through the transformers and follow what comes of it.

        `cached`: it was kept from before. `after`: only the transformers behind this one see it.
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
        """Follow an endpoint list as it is, past all transformers."""
        self.pool.on_endpoints_changed(update)
        entries = [target.entry for target in update.targets]
        self.router.on_endpoints_changed(entries, update.complete, cached, self.clock())
        self._flush_log()

    def on_poll_failed(self) -> None:
        """The watch of discovery has ended with a failure."""
        self.router.on_poll_failed(self.clock())
        self._flush_log()

    def on_discovery_changed(self) -> None:
        """Discovery is at another address from now on."""
        self.router.on_discovery_changed(self.clock())
        self._flush_log()

    def on_gossip(self, peer: int, payload: bytes) -> None:
        """Take a peer's message, unless it is a listener's own."""
        for listener in self.gossip_listeners:
            if listener.on_gossip(peer, payload):
                return
        self.router.on_gossip(peer, payload, self.clock())

    def _run_background_task(self, task: BackgroundTask) -> None:
        wait = FAILED_TASK_WAIT  # the task must not end with a mistake
        try:
            decision = self.router.route(task, self.clock())
            if decision.action is Action.POLL:
                self._poll_discovery()
            elif decision.action is Action.GOSSIP:
                self.send_gossip(decision.peers, decision.payload)
            wait = self.router.time_until_recheck(task, self.clock())
        except Exception:
            logger.exception("a background task failed")
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
