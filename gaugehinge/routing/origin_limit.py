"""The origin's adaptive concurrency limit: how many attempts this router may have in flight there.

Every read that missed and every write goes to the origin. The limit grows while it is used, and is cut
when the latency shows a queue there, or attempts fail.
"""

from __future__ import annotations

from .outcome_groups import CONNECTION_FAILURES, NO_QUEUE_EVIDENCE, RESPONSES
from .seeded_random import SeededRandom
from .types import Attempt, Deployment, Outcome

# The least limit, and the first. A slow origin still bears what it bore: fewer attempts only starve it.
MIN_ORIGIN_LIMIT = 4.0
# Of many routers each has only its part of this, below one attempt if need be.
SHARED_ORIGIN_LIMIT = 20.0
LIMIT_GROWTH = 2.0  # over the limit, an attempt,
MAX_LIMIT_GROWTH = 0.25  # and at most this part of the limit
LIMIT_CUT_FACTOR = 0.75
USED_SHARE = 0.5  # of the limit in flight: it is used, and may grow
RECOVERY_FACTOR = 2  # times the least limit: past this a limit that was cut counts as recovered
# A smoothed latency over this times its floor means a queue at the origin,
QUEUE_LATENCY_RATIO = 2.5
# but not before it took this share of the shortest latency objective: latencies vary by nature.
QUEUE_OBJECTIVE_SHARE = 0.3
ORIGIN_LATENCY_DECAY = 0.95  # kept of the smoothed latency, an attempt
LATENCY_FLOOR_EPOCH = 15.0  # seconds; the latency floor is the least of the last two epochs
# Seconds, about, between reads sent to an origin that answers nothing and refuses connections.
UNREACHABLE_ORIGIN_PAUSE = 0.2
# Seconds after the origin lacked a place for an operation: keys that are spread wide miss more.
PRESSURE_TIME = 5.0


class OriginConcurrencyLimit:
    """Attempts in flight at the origin, and how many there may be.

    State: the count in flight; the limit; the smoothed latency and its floor, which is forgotten after
    two epochs; when the next read may go and until when the origin counts as under pressure.
    """

    def __init__(
        self, random: SeededRandom, log: list[str], queue_allowance: float, router_count: int = 1
    ) -> None:
        """Begin at the least limit; `queue_allowance` is the latency over the floor that is no queue yet."""
        self._random = random
        self._log = log
        self._queue_allowance = queue_allowance
        # Four attempts of each of fifty routers kept a slow origin full of work that nobody waited for.
        self._min_limit = min(MIN_ORIGIN_LIMIT, SHARED_ORIGIN_LIMIT / router_count)
        self.limit = max(self._min_limit, 1.0)
        self.in_flight = 0
        self.smoothed_latency = 0.0
        self._next_read_at = 0.0  # below one attempt, reads wait for this
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

        A queue holds up all that pass through it: the shortest latency objective is what it is held to.
        """
        allowance = QUEUE_OBJECTIVE_SHARE * deployment.shortest_objective
        return cls(random, log, allowance, deployment.router_count)

    # -- capacity

    def try_acquire(self, is_write: bool, now: float) -> bool:
        """Take a place for an attempt, where there is one now.

        There is no queue for places: with one, crowded days were served less (docs/standing.md; why was not
        measured).
        """
        has_capacity = self.in_flight < max(self.limit, 1.0) and (is_write or now >= self._next_read_at)
        if not has_capacity:
            self.pressed_until = now + PRESSURE_TIME
            return False
        self.in_flight += 1
        return True

    def is_under_pressure(self, now: float) -> bool:
        """Whether an operation was rejected lately because the origin had no place for it."""
        return now < self.pressed_until

    def expected_latency(self) -> float:
        """Return about how long an attempt at the origin takes."""
        return self.smoothed_latency

    # -- what ended attempts show

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, elapsed: float, now: float) -> None:
        """Give back an attempt's place, and learn from its outcome."""
        origin = attempt.endpoint
        self.in_flight -= 1
        if outcome in RESPONSES:
            origin.last_answer_at = now
        # It answers others: this one's connection fell silent. Taken for a queue, a few such
        # closed the limit.
        is_lone_timeout = outcome is Outcome.TIMED_OUT and origin.last_answer_at > attempt.sent_at
        if is_lone_timeout or outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        limit_before = self.limit
        if outcome in CONNECTION_FAILURES:
            # Refused at once, attempts tell nothing of its time; dead, it got thousands of them a second.
            elapsed = max(elapsed, self.smoothed_latency)
            if origin.is_silent(now):
                self._next_read_at = now + UNREACHABLE_ORIGIN_PAUSE * (0.5 + self._random.fraction())
        # Malformed answers and resets show no queue: cut for each, the limit sank and reads waited in vain.
        has_failed = outcome not in NO_QUEUE_EVIDENCE
        is_used = self.in_flight + 1 >= USED_SHARE * self.limit
        self.adapt(elapsed, has_failed, is_used, now)
        self._log_change(limit_before)

    def adapt(self, elapsed: float, has_failed: bool, is_used: bool, now: float) -> None:
        """Move the limit by what an ended attempt shows of a queue at the origin."""
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
