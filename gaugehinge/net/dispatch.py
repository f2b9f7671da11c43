"""Sole caller of the decision module: tells it what happened, carries out its answers. Decides nothing."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from ..charter import read_held
from ..policy import Router
from ..terms import Answer, Attempt, Deployment, Errand, Operation, Outcome, Verdict
from .deadlines import Deadlines, Due
from .discovery import ListUpdate
from .origin import OriginDialect
from .pool import Cargo, Dialect, Pool, RespDialect
from .slots import Slots

FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"
SUCCESSOR = 0.5  # by then a router that ends has a successor
GRACE = 0.005  # after the deadline, which the module keeps by itself, and still before the client's own


def busy(wait: float) -> bytes:
    """A refusal, with when to return if that is told: seconds, or 0."""
    return b"-BUSY %d\r\n" % max(wait * 1000, 1) if wait else BUSY


@dataclass(slots=True, eq=False)
class Exchange:
    """An operation in hand: what the client sent and where its answer goes."""

    operation: Operation
    cargo: Cargo
    answer: Callable[[bytes], None]
    wait: Due | None = None  # when the module wants to be asked again
    overdue: Due | None = None
    answered: bool = False
    freed: Callable[[], None] | None = None  # called when it leaves, where its client has gone before


class Dispatch:
    """Operations in hand, by slot, and the calls on the module."""

    def __init__(self, deployment: Deployment, deadlines: Deadlines, tells_held: bool = False) -> None:
        self.tells_held = tells_held  # whether answers tell what their server holds
        self.deadlines = deadlines
        self.clock = deadlines.clock
        self.router = Router(deployment, self.clock())
        self.exchanges: Slots[Exchange] = Slots()  # until answered and all attempts in
        self.resp: Dialect = RespDialect()  # of the cache servers
        self.http = OriginDialect()
        self.locate: Callable[[Operation], None] | None = None  # where servers say who serves a key
        self.redirected: Callable[[Attempt, Outcome, bytes], None] | None = None  # where servers redirect
        self.place: Callable[[Operation], bytes | None] | None = None  # its regions, or its answer at once
        self.noted: Callable[[bytes], None] | None = None  # hears each final answer
        self.pool: Pool
        self.follow: Callable[[], None]
        self.tell: Callable[[tuple[int, ...], bytes], None]

    def bind(
        self,
        pool: Pool,
        follow: Callable[[], None],
        tell: Callable[[tuple[int, ...], bytes], None],
    ) -> None:
        """The ways out."""
        self.pool, self.follow, self.tell = pool, follow, tell

    def begin(self) -> None:
        """The errands begin."""
        for errand in self.router.errands:
            self._errand(errand)

    # -- operations

    def submit(self, operation: Operation, cargo: Cargo, answer: Callable[[bytes], None]) -> int:
        """Take an operation; `answer` gets its one final answer, perhaps at once. Returns its handle."""
        exchange = Exchange(operation, cargo, answer)
        handle = operation.ident = self.exchanges.add(exchange)
        exchange.overdue = self.deadlines.at(operation.deadline + GRACE, self._overdue, handle)
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
        exchange = self.exchanges.get(operation.ident)
        if exchange is not None and not exchange.answered:
            self._answer(exchange, reply)
            self._drop(exchange)

    def client_gone(self, handle: int, freed: Callable[[], None] | None = None) -> None:
        """Nobody waits for the answer any more; `freed` is called once no attempt is out."""
        exchange = self.exchanges.get(handle)
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
        exchange = self.exchanges.get(attempt.operation.ident)
        if self.redirected is not None and value is not None and outcome is not Outcome.SETTLED:
            self.redirected(attempt, outcome, value)
        over = attempt.operation.over or outcome is Outcome.SETTLED
        if exchange is not None and outcome is Outcome.SETTLED and not attempt.operation.over:
            self._answer(exchange, value)
        try:
            held = read_held(told.decode("latin-1"), "=") if self.tells_held else None
            steps = self.router.after(attempt, outcome, elapsed, over, self.clock(), held)
        except Exception:
            logger.exception("an attempt's outcome failed in the decisions")
            attempt.out = False
            steps = [(attempt.operation, Answer(Verdict.FAIL))]
        for operation, answer in steps:
            self._do(self.exchanges.get(operation.ident), answer)
        if exchange is not None:
            self._drop(exchange)
        self._flush_log()

    def _wake(self, handle: int) -> None:
        exchange = self.exchanges.get(handle)
        if exchange is not None and not exchange.operation.over:
            self._ask(exchange)

    def _ask(self, exchange: Exchange) -> None:
        try:
            answer = self.router.where(exchange.operation, self.clock())
        except Exception:  # it fails this operation, not the router
            logger.exception("an operation failed in the decisions")
            answer = Answer(Verdict.FAIL)
        self._do(exchange, answer)
        self._flush_log()

    def _overdue(self, handle: int) -> None:
        """Its time is over with no answer given: a mistake, which must not also become a lost operation."""
        exchange = self.exchanges.get(handle)
        if exchange is not None and not exchange.answered:
            logger.error("operation {} was overdue", exchange.cargo.ident)
            self._answer(exchange, FAILED)
            self._give_up(exchange)

    def fail_rest(self) -> None:
        """The router ends, and all in hand is answered before: what is out may have run.

        What never went out may be tried again elsewhere: failed, its client would not know that, nor when.
        """
        away = min(SUCCESSOR, self.router.deployment.longest_come_back)
        for exchange in self.exchanges:
            if not exchange.answered:
                operation = exchange.operation
                ran = operation.ran_at is not None or any(attempt.out for attempt in operation.attempts)
                self._answer(exchange, FAILED if ran else busy(away))
                self._give_up(exchange)

    def _give_up(self, exchange: Exchange) -> None:
        try:
            for attempt in self.router.gone(exchange.operation):
                self.pool.call_off(attempt)
        except Exception:
            logger.exception("giving an operation up failed in the decisions")
            exchange.operation.over = True
        self._drop(exchange)

    # -- the module's answers

    def _do(self, exchange: Exchange | None, answer: Answer) -> None:
        if exchange is None:
            return
        verdict = answer.verdict
        if verdict is Verdict.SEND:
            dialect = self.http if answer.attempt.server.origin else self.resp
            self.pool.send(answer.attempt, exchange.cargo, answer.time, dialect)
        elif verdict is Verdict.WAIT:
            now = self.clock()
            handle = exchange.operation.ident
            if exchange.wait is not None:
                self.deadlines.drop(exchange.wait)
            wait = self.router.how_long(exchange.operation, now)
            exchange.wait = self.deadlines.at(now + wait, self._wake, handle)
        elif verdict is Verdict.REFUSE:
            self._answer(exchange, busy(answer.time))
        elif verdict is Verdict.FAIL:
            self._answer(exchange, FAILED)
        self._drop(exchange)

    def _answer(self, exchange: Exchange, reply: bytes) -> None:
        if exchange.answered:
            return
        exchange.answered = True
        exchange.operation.over = True
        exchange.answer(reply)
        if self.noted is not None:
            self.noted(reply)

    def _drop(self, exchange: Exchange) -> None:
        operation = exchange.operation
        if not operation.over or any(attempt in self.pool.pending for attempt in operation.attempts):
            return
        if self.exchanges.remove(operation.ident) is not None:
            # Operation and attempts know each other: left so, they stay until the collector's rare full pass.
            operation.attempts.clear()
            for due in (exchange.wait, exchange.overdue):
                if due is not None:
                    self.deadlines.drop(due)
            if exchange.freed is not None:
                exchange.freed()

    # -- the list, peers, errands

    def hear_list(self, update: ListUpdate, held: bool = False) -> None:
        self.pool.hear_list(update)
        listings = [target.listing for target in update.targets]
        self.router.hear_list(listings, update.whole, held, self.clock())
        self._flush_log()

    def list_failed(self) -> None:
        self.router.list_failed(self.clock())
        self._flush_log()

    def list_moved(self) -> None:
        self.router.list_moved(self.clock())
        self._flush_log()

    def hear_peer(self, number: int, payload: bytes) -> None:
        self.router.hear_peer(number, payload, self.clock())

    def _errand(self, errand: Errand) -> None:
        wait = 1.0  # after a mistake; the errand must not end with it
        try:
            answer = self.router.where(errand, self.clock())
            if answer.verdict is Verdict.FOLLOW:
                self.follow()
            elif answer.verdict is Verdict.TELL:
                self.tell(answer.peers, answer.payload)
            wait = self.router.how_long(errand, self.clock())
        except Exception:
            logger.exception("an errand failed")
        self.deadlines.at(self.clock() + max(wait, 0.001), self._errand, errand)
        self._flush_log()

    def _flush_log(self) -> None:
        for text in self.router.log:
            logger.info(text)
        self.router.log.clear()
