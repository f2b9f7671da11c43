"""The origin's adaptive concurrency limit: how many attempts this router may have in flight there.

Every read that missed the cache and every write goes to the origin. The limit grows while it is used, and is
cut when the latency shows a queue at the origin or when attempts fail.
"""

from __future__ import annotations

from .outcome_groups import CONNECTION_FAILURES, NO_QUEUE_EVIDENCE, RESPONSES
from .seeded_random import SeededRandom
from .types import Attempt, Deployment, Outcome

# Minimum limit, where it also starts. A slow origin still has its capacity: fewer attempts leave it idle.
MIN_ORIGIN_LIMIT = 4.0
# Minimum of all routers together: among many, each has only its part, below one attempt if need be.
SHARED_ORIGIN_LIMIT = 20.0
LIMIT_GROWTH = 2.0  # growth per attempt, divided by the limit
MAX_LIMIT_GROWTH = 0.25  # growth per attempt at most, as a fraction of the limit
LIMIT_CUT_FACTOR = 0.75
USED_SHARE = 0.5  # with this share of the limit in flight it counts as used, and may grow
RECOVERY_FACTOR = 2  # times the minimum limit: from this on a limit that was cut counts as recovered
# A smoothed latency over this multiple of its floor means a queue at the origin.
QUEUE_LATENCY_RATIO = 2.5
# It also has to exceed the floor by this share of the shortest latency objective: latencies vary even
# without a queue.
QUEUE_OBJECTIVE_SHARE = 0.3
ORIGIN_LATENCY_DECAY = 0.95  # weight of the smoothed latency when an attempt ends
LATENCY_FLOOR_EPOCH = 15.0  # seconds; the latency floor is the minimum over the last two epochs
# Mean seconds between reads sent to an origin that answers nothing and refuses connections.
UNREACHABLE_ORIGIN_PAUSE = 0.2
# Seconds for which the origin counts as under pressure after the limit rejected an operation. Meanwhile each
# key has only one start on the ring, since keys that are spread widely miss more.
PRESSURE_TIME = 5.0


class OriginConcurrencyLimit:
    """The number of attempts in flight at the origin, and its limit.

    State: the count in flight; the limit; the smoothed latency and its floor, which is forgotten after two
    epochs; when the next read may be sent; until when the origin counts as under pressure.
    """

    def __init__(
        self, random: SeededRandom, log: list[str], queue_allowance: float, router_count: int = 1
    ) -> None:
        """Start at the minimum limit.

        `queue_allowance`: seconds by which the latency may exceed its floor without meaning a queue.
        """
        self._random = random
        self._log = log
        self._queue_allowance = queue_allowance
        # With four attempts each, fifty routers kept a slow origin busy with work that no client waited for.
        self._min_limit = min(MIN_ORIGIN_LIMIT, SHARED_ORIGIN_LIMIT / router_count)
        self.limit = max(self._min_limit, 1.0)
        self.in_flight = 0
        self.smoothed_latency = 0.0
        # No read is sent before this while the limit is below one attempt or the origin refuses connections.
        self._next_read_at = 0.0
        self._latency_floor = 0.0
        self._next_floor = 0.0
        self._floor_expires_at = 0.0
        self._next_cut_at = 0.0
        self.is_reduced = False
        self.pressed_until = 0.0

    @classmethod
    def of_deployment(
        cls, deployment: Deployment, random: SeededRandom, log: list[str]
    ) -> OriginConcurrencyLimit:
        """Return the limit of one of a deployment's routers.

        The queue allowance is a share of the shortest latency objective: a queue delays all operations.
        """
        allowance = QUEUE_OBJECTIVE_SHARE * deployment.shortest_objective
        return cls(random, log, allowance, deployment.router_count)

    # -- capacity

    def try_acquire(self, is_write: bool, now: float) -> bool:
        """Count an attempt as in flight and return True, or return False if the limit does not allow it.

        Operations do not queue for capacity: with a queue, fewer operations were served on days with overload
        (docs/standing.md; the cause was not measured).
        """
        has_capacity = self.in_flight < max(self.limit, 1.0) and (is_write or now >= self._next_read_at)
        if not has_capacity:
            self.pressed_until = now + PRESSURE_TIME
            return False
        self.in_flight += 1
        return True

    def is_under_pressure(self, now: float) -> bool:
        """Whether the limit has rejected an operation recently."""
        return now < self.pressed_until

    def expected_latency(self) -> float:
        """Return the expected seconds that an attempt at the origin takes."""
        return self.smoothed_latency

    # -- results of attempts

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, elapsed: float, now: float) -> None:
        """Count an attempt as ended, and adapt the limit to its outcome."""
        origin = attempt.endpoint
        self.in_flight -= 1
        if outcome in RESPONSES:
            origin.last_answer_at = now
        # The origin has answered others since: only this connection fell silent. Taken as a sign of a queue,
        # a few such time-outs reduced the limit to its minimum.
        is_lone_timeout = outcome is Outcome.TIMED_OUT and origin.last_answer_at > attempt.sent_at
        if is_lone_timeout or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        limit_before = self.limit
        if outcome in CONNECTION_FAILURES:
            # Attempts refused at once say nothing about the latency. Without a pause, an origin that was down
            # got thousands of attempts per second.
            elapsed = max(elapsed, self.smoothed_latency)
            if origin.is_silent(now):
                self._next_read_at = now + UNREACHABLE_ORIGIN_PAUSE * (0.5 + self._random.fraction())
        # Malformed answers and resets are no sign of a queue: when each cut the limit, it sank and reads
        # waited for nothing.
        has_failed = outcome not in NO_QUEUE_EVIDENCE
        is_used = self.in_flight + 1 >= USED_SHARE * self.limit
        self.adapt(elapsed, has_failed, is_used, now)
        self._log_change(limit_before)

    def adapt(self, elapsed: float, has_failed: bool, is_used: bool, now: float) -> None:
        """Raise or cut the limit by what an ended attempt shows about a queue at the origin."""
        self._smooth_latency(elapsed, now)
        if has_failed or self._has_queue():
            if now >= self._next_cut_at:
                self.limit = max(self._min_limit, self.limit * LIMIT_CUT_FACTOR)
                self._next_cut_at = now + self.smoothed_latency
        elif is_used:
            self.limit += min(LIMIT_GROWTH / self.limit, MAX_LIMIT_GROWTH * self.limit)
        if self.limit < 1.0:
            self._next_read_at = now + elapsed * (1.0 / self.limit - 1.0)

    def _smooth_latency(self, elapsed: float, now: float) -> None:
        if not self.smoothed_latency:
            self.smoothed_latency = elapsed
        else:
            kept = ORIGIN_LATENCY_DECAY * self.smoothed_latency
            self.smoothed_latency = kept + (1 - ORIGIN_LATENCY_DECAY) * elapsed
        if now >= self._floor_expires_at:
            self._latency_floor = self._next_floor or self.smoothed_latency
            self._next_floor = self.smoothed_latency
            self._floor_expires_at = now + LATENCY_FLOOR_EPOCH
        self._next_floor = min(self._next_floor, self.smoothed_latency)
        self._latency_floor = min(self._latency_floor, self.smoothed_latency)

    def _has_queue(self) -> bool:
        floor = self._latency_floor
        return self.smoothed_latency > max(QUEUE_LATENCY_RATIO * floor, floor + self._queue_allowance)

    def _log_change(self, limit_before: float) -> None:
        is_low = self.is_reduced and self.limit < RECOVERY_FACTOR * self._min_limit
        is_reduced = self.limit < limit_before or is_low
        if is_reduced == self.is_reduced:
            return
        self.is_reduced = is_reduced
        change = "reduced" if is_reduced else "recovered"
        latency = f"latency {self.smoothed_latency:.3f} s, floor {self._latency_floor:.3f} s"
        self._log.append(f"origin limit {change}: {self.limit:.1f}, {latency}")
