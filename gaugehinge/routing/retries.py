"""Retries: whether an operation gets another attempt, attempt time-outs, and the final decision.

Retries after time-outs draw on a budget that successes fill: where work in progress is not cancelled, such
retries keep an overloaded fleet overloaded.
"""

from __future__ import annotations

from . import retry_safety
from .deadlines import end_of_waiting, time_left
from .endpoint import Endpoint
from .load_measurement import LoadMeasurement
from .load_shedding import LoadShedder
from .origin_limit import OriginConcurrencyLimit
from .seeded_random import SeededRandom
from .types import FAIL, Action, Attempt, Decision, Deployment, Effect, Operation, Outcome

FIRST_ATTEMPT_SHARE = 0.6  # share of the time left that an attempt may take while another may follow
# Usual attempt durations; an attempt whose share would be shorter than this gets all the time left.
MIN_FIRST_ATTEMPT_DURATIONS = 3.0
MIN_ATTEMPT_TIMEOUT = 0.001  # seconds
# Part of a retry after a time-out that a successful attempt earns, up to the maximum budget. Where most
# attempts time out, retries would keep the fleet overloaded.
RETRIES_PER_SUCCESS = 0.1
MAX_RETRY_BUDGET = 3.0
# Time-outs at silent endpoints that a success excuses, up to the maximum. Dead endpoints are no load, but
# where most attempts time out, the fleet is assumed to be overloaded.
EXCUSED_TIMEOUTS_PER_SUCCESS = 2.0
MAX_EXCUSED_TIMEOUTS = 6.0
MAX_REJECTIONS = 2  # rejections by endpoints after which an operation is given up
MAX_REDIRECTS = 5  # a slot that migrates during the operation takes two or three; a loop uses all of them
# Retry-After in seconds while nothing is shed: the minimum, plus a random part of the jitter.
MIN_RETRY_AFTER = 0.1
RETRY_AFTER_JITTER = 0.2
# While operations are shed, Retry-After is at least this share of its maximum, and at most the maximum.
MIN_SHEDDING_RETRY_SHARE = 0.5


class RetryPolicy:
    """Decides whether operations get further attempts.

    State: the retry budget and the number of time-outs that may be excused; successes raise both, time-outs
    use them up.
    """

    def __init__(
        self,
        deployment: Deployment,
        load: LoadMeasurement,
        origin_limit: OriginConcurrencyLimit,
        shedder: LoadShedder,
        random: SeededRandom,
    ) -> None:
        self._max_attempts = deployment.max_attempts
        self._max_retry_after = deployment.max_retry_after
        self._load = load
        self._origin_limit = origin_limit
        self._shedder = shedder
        self._random = random
        self.retry_budget = 1.0
        self.excused_timeouts = 0.0

    # -- budgets

    def record_success(self) -> None:
        """Add to the retry budget and to the number of time-outs that may be excused."""
        self.retry_budget = min(self.retry_budget + RETRIES_PER_SUCCESS, MAX_RETRY_BUDGET)
        self.excused_timeouts = min(
            self.excused_timeouts + EXCUSED_TIMEOUTS_PER_SUCCESS, MAX_EXCUSED_TIMEOUTS
        )

    def try_excuse_timeout(self, attempt: Attempt, outcome: Outcome) -> bool:
        """Excuse a time-out at a silent endpoint if one may still be excused; return whether it was.

        An excused time-out does not count as lateness. The time-outs of a lost zone made all routers shed
        load, and kept them shedding long after the outage.
        """
        is_silent_timeout = (
            outcome is Outcome.TIMED_OUT and attempt.endpoint.last_answer_at <= attempt.sent_at
        )
        if not is_silent_timeout or self.excused_timeouts < 1.0:
            return False
        self.excused_timeouts -= 1.0
        return True

    # -- attempts

    def may_start_attempt(self, operation: Operation, now: float) -> bool:
        """Return whether an attempt may start now.

        A cache miss or the wait for another operation's fetch may have used up the time for it.
        """
        started = len(operation.attempts) - operation.redirect_count
        has_time = started < self._max_attempts and now < operation.give_up_at
        return has_time and retry_safety.may_retry(operation, now)

    def has_attempts_left(self, operation: Operation) -> bool:
        """Return whether an operation would have an attempt left after waiting for another's fetch."""
        return len(operation.attempts) < self._max_attempts

    def attempt_timeout(self, operation: Operation, now: float) -> float:
        """Return the time-out of an attempt in seconds, with time kept for another where one may follow."""
        remaining = time_left(operation, now)
        is_last = len(operation.attempts) + 2 > self._max_attempts
        is_last = is_last or max(self.retry_budget, self.excused_timeouts) < 1.0
        if is_last or operation.traffic_type.effect is not Effect.IDEMPOTENT:
            return remaining
        usual_duration = self._load.usual_duration(operation.traffic_type)
        first_timeout = FIRST_ATTEMPT_SHARE * (end_of_waiting(operation) - now)
        return (
            remaining
            if first_timeout < MIN_FIRST_ATTEMPT_DURATIONS * usual_duration
            or first_timeout + usual_duration > remaining
            else first_timeout
        )

    def follow_redirect(self, operation: Operation) -> bool:
        """Follow a redirect, if that is allowed; return whether it is. A redirected attempt did not run.

        Without a limit, two servers that redirect to each other would be tried until the deadline.
        """
        operation.redirect_count += 1
        if operation.redirect_count > MAX_REDIRECTS or not operation.allowed_endpoints:
            return False
        target = operation.allowed_endpoints[0]
        tried = [endpoint for endpoint in operation.tried_endpoints if endpoint.ident != target]
        operation.tried_endpoints = tried
        return True

    def may_retry(self, attempt: Attempt, outcome: Outcome, now: float) -> bool:
        """Return whether another attempt follows a failed one; a time-out may use up retry budget."""
        operation = attempt.operation
        involves_origin = outcome in (Outcome.CANCELLED, Outcome.NOT_SENT) or attempt.endpoint.origin
        if involves_origin and not self._may_retry_at_origin(operation, outcome, now):
            return False
        usual_duration = self._load.usual_duration(operation.traffic_type)
        would_be_late = now + usual_duration > operation.give_up_at
        if would_be_late or operation.rejections >= MAX_REJECTIONS:
            return False
        if not retry_safety.may_retry(operation, now):
            return False
        return outcome is not Outcome.TIMED_OUT or self._may_retry_timeout(attempt)

    def _may_retry_at_origin(self, operation: Operation, outcome: Outcome, now: float) -> bool:
        # A read is not retried at a full origin: retries would keep it full.
        is_full = outcome in (Outcome.REJECTED, Outcome.TIMED_OUT) and not operation.is_write
        return not is_full and now + self._origin_limit.expected_latency() <= operation.give_up_at

    def _may_retry_timeout(self, attempt: Attempt) -> bool:
        # An endpoint that is silent while others answer does not run the attempt: a retry elsewhere adds no
        # load.
        is_excused = attempt.endpoint.last_answer_at <= attempt.sent_at and self.excused_timeouts >= 1.0
        if is_excused:
            return True
        if self.retry_budget < 1.0:
            return False
        self.retry_budget -= 1.0
        return True

    # -- the end of an operation

    def final_decision(self, operation: Operation, now: float) -> Decision:
        """Return the final decision: a rejection where a retry by the client is safe, else a failure."""
        retry_after = self._retry_after()
        if not retry_safety.may_client_retry(operation, now + retry_after):
            return FAIL
        return Decision(Action.REJECT, retry_after=retry_after)

    def _retry_after(self) -> float:
        max_retry_after = self._max_retry_after
        if self._shedder.is_shedding():
            retry_after = max_retry_after * (
                MIN_SHEDDING_RETRY_SHARE + MIN_SHEDDING_RETRY_SHARE * self._random.fraction()
            )
        else:
            retry_after = MIN_RETRY_AFTER + RETRY_AFTER_JITTER * self._random.fraction()
        return min(retry_after, max_retry_after)


def start_attempt(operation: Operation, endpoint: Endpoint, timeout: float, now: float) -> Decision:
    """Record a new attempt of an operation at an endpoint, and return the decision to send it."""
    attempt = Attempt(operation, endpoint, len(operation.attempts), now)
    operation.attempts.append(attempt)
    operation.tried_endpoints.append(endpoint)
    return Decision(Action.SEND, attempt, max(timeout, MIN_ATTEMPT_TIMEOUT))
