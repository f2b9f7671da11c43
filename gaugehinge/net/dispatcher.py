"""Sole caller of the decision module: tells it what happened, carries out its answers. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from ..routing.router import Router
from ..routing.types import Action, Attempt, BackgroundTask, Decision, Deployment, Operation, Outcome, Step
from ..settings import read_reported_load
from .codec import Codec, RequestPayload
from .connection_pool import ConnectionPool
from .endpoint_list import EndpointListUpdate
from .handle_table import HandleTable
from .origin_codec import OriginCodec
from .resp_codec import RespCodec
from .timer_queue import Timer, TimerQueue

FAILED_REPLY = b"-ERR failed\r\n"
BUSY_REPLY = b"-BUSY\r\n"
SUCCESSOR = 0.5  # by then a router that ends has a successor
GRACE = 0.005  # after the deadline, which the module keeps by itself, and still before the client's own


def busy_reply(wait: float) -> bytes:
    """A refusal, with when to return if that is told: seconds, or 0."""
    return b"-BUSY %d\r\n" % max(wait * 1000, 1) if wait else BUSY_REPLY


@dataclass(slots=True, eq=False)
class PendingOperation:
    """An operation in hand: what the client sent and where its answer goes."""

    operation: Operation
    payload: RequestPayload
    answer: Callable[[bytes], None]
    wait: Timer | None = None  # when the module wants to be asked again
    overdue: Timer | None = None
    answered: bool = False
    freed: Callable[[], None] | None = None  # called when it leaves, where its client has gone before


class Dispatcher:
    """Operations in hand, by slot, and the calls on the module."""

    def __init__(self, deployment: Deployment, timers: TimerQueue, tells_held: bool = False) -> None:
        self.tells_held = tells_held  # whether answers tell what their server holds
        self.timers = timers
        self.clock = timers.clock
        self.router = Router(deployment, self.clock())
        self.pending_operations: HandleTable[PendingOperation] = (
            HandleTable()
        )  # until answered and all attempts in
        self.resp: Codec = RespCodec()  # of the cache servers
        self.http = OriginCodec()
        self.locate: Callable[[Operation], None] | None = None  # where servers say who serves a key
        self.redirected: Callable[[Attempt, Outcome, bytes], None] | None = None  # where servers redirect
        self.place: Callable[[Operation], bytes | None] | None = None  # its regions, or its answer at once
        self.noted: Callable[[bytes], None] | None = None  # hears each final answer
        self.pool: ConnectionPool
        self.follow: Callable[[], None]
        self.tell: Callable[[tuple[int, ...], bytes], None]

    def bind(
        self,
        pool: ConnectionPool,
        follow: Callable[[], None],
        tell: Callable[[tuple[int, ...], bytes], None],
    ) -> None:
        """The ways out."""
        self.pool, self.follow, self.tell = pool, follow, tell

    def begin(self) -> None:
        """The errands begin."""
        for task in self.router.background_tasks:
            self._errand(task)

    # -- operations

    def submit(self, operation: Operation, payload: RequestPayload, answer: Callable[[bytes], None]) -> int:
        """Take an operation; `answer` gets its one final answer, perhaps at once. Returns its handle."""
        exchange = PendingOperation(operation, payload, answer)
        handle = operation.ident = self.pending_operations.add(exchange)
        exchange.overdue = self.timers.call_at(operation.deadline + GRACE, self._overdue, handle)
        if self.locate is not None:
            self.locate(operation)
        if self.place is not None:
            reply = self.place(operation)
            if reply is not None:
                self.refuse(operation, reply)
                return handle
        self._ask(exchange)
        return handle

    def refuse(self, operation: Operation, reply: bytes) -> None:
        """The final answer of an operation in hand, from outside of the decisions."""
        exchange = self.pending_operations.get(operation.ident)
        if exchange is not None and not exchange.answered:
            self._answer(exchange, reply)
            self._drop(exchange)

    def client_gone(self, handle: int, freed: Callable[[], None] | None = None) -> None:
        """Nobody waits for the answer any more; `freed` is called once no attempt is out."""
        exchange = self.pending_operations.get(handle)
        if exchange is not None and not exchange.answered:
            exchange.answered, exchange.freed = True, freed
            self._give_up(exchange)
        elif freed is not None:
            freed()

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: Outcome,
        elapsed: float,
        value: bytes | None,
        told: bytes = b"",
    ) -> None:
        """An attempt's outcome. The first value settles its operation."""
        exchange = self.pending_operations.get(attempt.operation.ident)
        if self.redirected is not None and value is not None and outcome is not Outcome.SUCCEEDED:
            self.redirected(attempt, outcome, value)
        over = attempt.operation.finished or outcome is Outcome.SUCCEEDED
        if exchange is not None and outcome is Outcome.SUCCEEDED and not attempt.operation.finished:
            self._answer(exchange, value)
        try:
            held = read_reported_load(told.decode("latin-1"), "=") if self.tells_held else None
            steps = self.router.on_attempt_finished(attempt, outcome, elapsed, over, self.clock(), held)
        except Exception:
            logger.exception("an attempt's outcome failed in the decisions")
            attempt.in_flight = False
            steps = [Step(attempt.operation, Decision(Action.FAIL))]
        for operation, answer in steps:
            self._do(self.pending_operations.get(operation.ident), answer)
        if exchange is not None:
            self._drop(exchange)
        self._flush_log()

    def _wake(self, handle: int) -> None:
        exchange = self.pending_operations.get(handle)
        if exchange is not None and not exchange.operation.finished:
            self._ask(exchange)

    def _ask(self, exchange: PendingOperation) -> None:
        try:
            answer = self.router.route(exchange.operation, self.clock())
        except Exception:  # it fails this operation, not the router
            logger.exception("an operation failed in the decisions")
            answer = Decision(Action.FAIL)
        self._do(exchange, answer)
        self._flush_log()

    def _overdue(self, handle: int) -> None:
        """Its time is over with no answer given: a mistake, which must not also become a lost operation."""
        exchange = self.pending_operations.get(handle)
        if exchange is not None and not exchange.answered:
            logger.error("operation {} was overdue", exchange.payload.ident)
            self._answer(exchange, FAILED_REPLY)
            self._give_up(exchange)

    def fail_rest(self) -> None:
        """The router ends, and all in hand is answered before: what is out may have run.

        What never went out may be tried again elsewhere: failed, its client would not know that, nor when.
        """
        away = min(SUCCESSOR, self.router.deployment.max_retry_after)
        for exchange in self.pending_operations:
            if not exchange.answered:
                operation = exchange.operation
                ran = operation.may_have_run_on is not None or any(
                    attempt.in_flight for attempt in operation.attempts
                )
                self._answer(exchange, FAILED_REPLY if ran else busy_reply(away))
                self._give_up(exchange)

    def _give_up(self, exchange: PendingOperation) -> None:
        try:
            for attempt in self.router.cancel(exchange.operation):
                self.pool.cancel(attempt)
        except Exception:
            logger.exception("giving an operation up failed in the decisions")
            exchange.operation.finished = True
        self._drop(exchange)

    # -- the module's answers

    def _do(self, exchange: PendingOperation | None, answer: Decision) -> None:
        if exchange is None:
            return
        verdict = answer.action
        if verdict is Action.SEND:
            dialect = self.http if answer.attempt.endpoint.origin else self.resp
            self.pool.send(answer.attempt, exchange.payload, answer.timeout, dialect)
        elif verdict is Action.WAIT:
            now = self.clock()
            handle = exchange.operation.ident
            if exchange.wait is not None:
                self.timers.cancel(exchange.wait)
            wait = self.router.time_until_recheck(exchange.operation, now)
            exchange.wait = self.timers.call_at(now + wait, self._wake, handle)
        elif verdict is Action.REJECT:
            self._answer(exchange, busy_reply(answer.retry_after))
        elif verdict is Action.FAIL:
            self._answer(exchange, FAILED_REPLY)
        self._drop(exchange)

    def _answer(self, exchange: PendingOperation, reply: bytes) -> None:
        if exchange.answered:
            return
        exchange.answered = True
        exchange.operation.finished = True
        exchange.answer(reply)
        if self.noted is not None:
            self.noted(reply)

    def _drop(self, exchange: PendingOperation) -> None:
        operation = exchange.operation
        if not operation.finished or any(attempt in self.pool.pending for attempt in operation.attempts):
            return
        if self.pending_operations.remove(operation.ident) is not None:
            # Operation and attempts know each other: left so, they stay until the collector's rare full pass.
            operation.attempts.clear()
            for due in (exchange.wait, exchange.overdue):
                if due is not None:
                    self.timers.cancel(due)
            if exchange.freed is not None:
                exchange.freed()

    # -- the list, peers, errands

    def on_endpoints_changed(self, update: EndpointListUpdate, held: bool = False) -> None:
        self.pool.on_endpoints_changed(update)
        entries = [target.entry for target in update.targets]
        self.router.on_endpoints_changed(entries, update.complete, held, self.clock())
        self._flush_log()

    def on_poll_failed(self) -> None:
        self.router.on_poll_failed(self.clock())
        self._flush_log()

    def on_discovery_changed(self) -> None:
        self.router.on_discovery_changed(self.clock())
        self._flush_log()

    def on_gossip(self, number: int, payload: bytes) -> None:
        self.router.on_gossip(number, payload, self.clock())

    def _errand(self, task: BackgroundTask) -> None:
        wait = 1.0  # after a mistake; the errand must not end with it
        try:
            answer = self.router.route(task, self.clock())
            if answer.action is Action.POLL:
                self.follow()
            elif answer.action is Action.GOSSIP:
                self.tell(answer.peers, answer.payload)
            wait = self.router.time_until_recheck(task, self.clock())
        except Exception:
            logger.exception("an errand failed")
        self.timers.call_at(self.clock() + max(wait, 0.001), self._errand, task)
        self._flush_log()

    def _flush_log(self) -> None:
        for text in self.router.log:
            logger.info(text)
        self.router.log.clear()
