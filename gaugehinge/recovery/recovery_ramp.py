"""Restores service after a loss: the order of startup stages, and the load admitted at each step.

The control plane, the endpoint list, placement and grants come before clients; each is waited for up to a
timeout. Then two lanes admit operations at rising rates: one for what needs no cache, highest priority weight
first, within this router's share of the origin's capacity; one for reads, by what all cold servers together
can bear. Which server a read goes to is decided by routing as always, with its own budget per server. No I/O
and no clock; the only randomness comes from the seed.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from ..routing.types import Deployment, Effect
from .restart_scope import Verdict

STEP_INTERVAL = 0.25  # seconds
# Factor on a lane's rate after a step in which the rate was the limit and few admitted operations failed.
INCREASE_FACTOR = 1.5
# The same for reads above the rate of steady service, where the higher demand is caused by the loss itself.
INCREASE_FACTOR_ABOVE_STEADY = 1.1
DECREASE_FACTOR = 0.6  # factor on a lane's rate after a step with too many failures
HOLD_STEPS = 4  # steps after a decrease in which the rate does not rise
# Failed part of the operations that ended in a step: above this the rate falls,
FAILURE_RATIO_TO_DECREASE = 0.2
# and up to this it may rise.
MAX_FAILURE_RATIO_TO_INCREASE = 0.05
MIN_FAILURES_TO_DECREASE = 3  # with fewer failures in a step the rate never falls
# The lanes are no longer needed after this many steps in a row without a rejection,
QUIET_STEPS_TO_OPEN = 6
# and at this warmth: a quiet router does not prove that all clients can be served if they return at once.
MIN_WARMTH_TO_OPEN = 0.8
MIN_RATE = 2.0  # operations a second of a lane, whatever failed
# Operations a second of all routers together in the write lane, if nothing is known of the origin.
INITIAL_WRITE_RATE = 50.0
# Reads a second at one cold server, from all routers together, if nothing else is known.
DEFAULT_COLD_SERVER_READS = 2.5
READ_LANE_DELAY = 0.5  # seconds by which the read lane starts after the write lane
MIN_READ_SHARE_OF_ORIGIN = 0.5  # part of this router's share of the origin that read misses may use at least,
MAX_ORIGIN_UTILIZATION = 0.9  # and part that both lanes together may use
MIN_MISS_RATIO = 0.02
MIN_SHARE = 1e-9
MIN_LOW_PRIORITY_SHARE = 0.05  # part of a lane for lower priorities, however much of higher ones there is
# Without failures the ramp ends after this many warm-up times plus `MAX_RAMP_EXTRA` seconds.
MAX_RAMP_WARM_UPS = 3.0
MAX_RAMP_EXTRA = 10.0
MIN_RETRY_AFTER = 0.2  # seconds after which a rejected client may retry at the earliest


class Stage(Enum):
    """The stage that a starting router has reached. Values appear in the log."""

    CONTROL_PLANE = "keeper"
    ENDPOINT_LIST = "list"
    SUBSYSTEMS = "placement and grants"
    RESTART_SCOPE = "evidence"
    RAMPING = "clients, in steps"
    OPEN = "open"


@dataclass(slots=True, frozen=True)
class StageTimeouts:
    """Until when each stage is waited for at most, in seconds after the start."""

    control_plane: float
    endpoint_list: float
    subsystems: float
    restart_scope: float


@dataclass(slots=True)
class StartupProgress:
    """What has arrived so far."""

    control_plane: bool = False  # it answered, or none is followed
    endpoint_list: bool = False  # discovery answered
    subsystems: bool = False  # all enabled subsystems have what they need, or none is enabled
    verdict: Verdict = Verdict.DECIDING


class StartupSequence:
    """The stages before clients are admitted. Each has its own timeout, counted from the router's start."""

    def __init__(self, timeouts: StageTimeouts) -> None:
        self.timeouts = timeouts
        self.stage = Stage.CONTROL_PLANE
        self.timed_out: list[str] = []  # stages that ended by their timeout
        self.log_lines: list[str] = []  # written to the log and cleared by the driver

    def advance(self, progress: StartupProgress, uptime: float) -> Stage:
        """Advances as far as possible and returns the stage reached."""
        timeouts = self.timeouts
        conditions = (
            (Stage.CONTROL_PLANE, progress.control_plane, timeouts.control_plane),
            (Stage.ENDPOINT_LIST, progress.endpoint_list, timeouts.endpoint_list),
            (Stage.SUBSYSTEMS, progress.subsystems, timeouts.subsystems),
            (Stage.RESTART_SCOPE, progress.verdict is not Verdict.DECIDING, timeouts.restart_scope),
        )
        stages = [condition[0] for condition in conditions]
        while self.stage in stages:
            position = stages.index(self.stage)
            _, done, timeout = conditions[position]
            if not done and uptime < timeout:
                return self.stage
            if not done:
                self.timed_out.append(self.stage.value)
                self.log_lines.append(f"{self.stage.value} not waited for any longer, after {uptime:.1f} s")
            self.stage = stages[position + 1] if position + 1 < len(stages) else Stage.RAMPING
        return self.stage

    def remaining(self, uptime: float) -> float:
        """Seconds until clients are admitted, at most."""
        timeouts = self.timeouts
        return max(
            max(timeouts.control_plane, timeouts.endpoint_list, timeouts.subsystems, timeouts.restart_scope)
            - uptime,
            0.0,
        )


def divide_by_shares(total: float, shares: Sequence[float], demands: Sequence[float]) -> list[float]:
    """Divides `total` by shares, up to each demand; what one does not need goes to the others.

    Those without a share get what is left, in equal parts.
    """
    granted = [0.0] * len(demands)
    for weights in (shares, [1.0] * len(demands)):
        unsatisfied = [
            i for i, demand in enumerate(demands) if demand > granted[i] and weights[i] > MIN_SHARE
        ]
        while unsatisfied and total > 1e-9:
            per_weight = total / sum(weights[i] for i in unsatisfied)
            satisfied = [i for i in unsatisfied if demands[i] - granted[i] <= per_weight * weights[i]]
            for i in satisfied or unsatisfied:
                amount = min(demands[i] - granted[i], per_weight * weights[i])
                granted[i] += amount
                total -= amount
            if not satisfied:
                return granted
            unsatisfied = [i for i in unsatisfied if i not in satisfied]
    return granted


@dataclass(slots=True)
class AdmissionLane:
    """Rate limiter for one kind of operation, by tenant and priority. Grows with the table of tenants."""

    rate: float  # operations a second
    priorities: int  # number of priority levels; 0 is the highest
    tenant_tokens: list[float] = field(default_factory=list)
    shared_tokens: float = 0.0  # what tenants left unused
    priority_tokens: list[float] = field(default_factory=list)  # by priority, what higher ones leave
    tenant_demand: list[float] = field(default_factory=list)  # operations asked for in this step, by tenant
    priority_demand: list[float] = field(default_factory=list)  # the same by priority
    rejected: int = 0  # in this step
    admitted: int = 0  # in this step
    succeeded: int = 0
    failed: int = 0
    hold_steps: int = 0  # steps for which the rate does not rise

    def resize(self, tenants: int) -> None:
        """Makes room for `tenants` tenants and one entry for operations without a tenant."""
        for per_tenant in (self.tenant_tokens, self.tenant_demand):
            per_tenant.extend([0.0] * (tenants + 1 - len(per_tenant)))
        if not self.priority_tokens:
            self.priority_tokens, self.priority_demand = [1.0] * self.priorities, [0.0] * self.priorities

    def try_admit(self, tenant: int, priority: int) -> bool:
        """Whether one more operation is admitted."""
        if tenant + 2 > len(self.tenant_tokens):
            self.resize(tenant + 1)
        self.tenant_demand[tenant] += 1.0
        self.priority_demand[priority] += 1.0
        if self.priority_tokens[priority] >= 1.0:
            if self.tenant_tokens[tenant] >= 1.0:
                self.tenant_tokens[tenant] -= 1.0
                self.priority_tokens[priority] -= 1.0
                self.admitted += 1
                return True
            if self.shared_tokens >= 1.0:
                self.shared_tokens -= 1.0
                self.priority_tokens[priority] -= 1.0
                self.admitted += 1
                return True
        self.rejected += 1
        return False

    def refill(self, shares: Sequence[float], span: float) -> None:
        """Adds the tokens of one step, by the shares of the tenants that asked in the last step."""
        total = self.rate * span
        weights = [*shares, *[0.0] * (len(self.tenant_demand) - len(shares))]
        granted = divide_by_shares(total, weights, self.tenant_demand)
        for i, amount in enumerate(granted):
            self.tenant_tokens[i] = min(self.tenant_tokens[i] + amount, max(2.0, 2.0 * amount))
        self.shared_tokens = min(self.shared_tokens + max(total - sum(granted), 0.0), max(2.0, 2.0 * total))
        remaining = total
        for priority, demand in enumerate(self.priority_demand):
            allowance = max(remaining, MIN_LOW_PRIORITY_SHARE * total)
            self.priority_tokens[priority] = min(
                self.priority_tokens[priority] + allowance, max(2.0, 2.0 * allowance)
            )
            remaining -= demand
        self.tenant_demand, self.priority_demand = [0.0] * len(self.tenant_demand), [0.0] * self.priorities

    def evaluate_step(self) -> int:
        """Ends a step and resets its counters: 1 if the rate may rise, -1 if it has to fall, else 0."""
        finished, failed, rejected = self.succeeded + self.failed, self.failed, self.rejected
        self.succeeded = self.failed = self.rejected = self.admitted = 0
        if failed >= MIN_FAILURES_TO_DECREASE and failed > FAILURE_RATIO_TO_DECREASE * finished:
            self.hold_steps = HOLD_STEPS
            return -1
        if self.hold_steps:
            self.hold_steps -= 1
            return 0
        return 1 if rejected and finished and failed <= MAX_FAILURE_RATIO_TO_INCREASE * finished else 0


@dataclass(slots=True, frozen=True)
class LoadLimits:
    """What bounds this router's load. Rates are operations a second of all routers unless said otherwise."""

    routers: int
    servers: int
    origin_rate: float  # what the origin can bear; 0: not configured
    cold_server_reads: float  # what one cold server can bear; 0: not configured
    # Of this router in steady service before the loss, times the confidence in that figure.
    steady_reads: float = 0.0
    steady_writes: float = 0.0


class RecoveryRamp:
    """Raises the admitted load in two lanes until all operations are admitted."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.traffic_types = deployment.traffic_types
        self.cache_aside = deployment.cache_aside
        self.max_retry_after = deployment.max_retry_after
        self.cold_capacity, self.warm_up_time = deployment.cold_capacity, deployment.warm_up_time
        weights_by_priority = sorted(
            {traffic_type.priority_weight for traffic_type in self.traffic_types}, reverse=True
        )
        self.row_priority = [
            weights_by_priority.index(traffic_type.priority_weight) for traffic_type in self.traffic_types
        ]
        self.seed, self.draw_count = seed, 0
        self.writes = AdmissionLane(MIN_RATE, len(weights_by_priority))
        self.reads = AdmissionLane(0.0, len(weights_by_priority))
        self.limits = LoadLimits(1, 0, 0.0, 0.0)
        self.miss_ratio = 1.0  # part of successful reads that went to the origin, smoothed
        self.read_rate_factor = 1.0  # on the rate of the read lane
        self.started_at = self.last_step_at = -1.0
        self.quiet_steps = 0
        self.fully_open = False
        self.shares: Sequence[float] = ()
        self.log_lines: list[str] = []  # written to the log and cleared by the driver

    def start(self, limits: LoadLimits, shares: Sequence[float], now: float) -> None:
        """Starts to admit clients."""
        self.limits, self.started_at, self.last_step_at = limits, now, now
        self.set_shares(shares)
        origin_share = limits.origin_rate / limits.routers
        initial_rate = 0.5 * (origin_share or limits.steady_writes) or INITIAL_WRITE_RATE / limits.routers
        self.writes.rate = max(initial_rate, MIN_RATE)
        self.writes.shared_tokens = self.writes.rate * STEP_INTERVAL
        self.writes.priority_tokens = [self.writes.shared_tokens] * self.writes.priorities

    def set_shares(self, shares: Sequence[float]) -> None:
        """Sets the tenants' shares, by tenant number."""
        self.shares = shares
        for lane in (self.writes, self.reads):
            lane.resize(len(shares))

    def lane_for(self, row: int, is_write: bool) -> AdmissionLane:
        """The lane of an operation: idempotent reads need caches, everything else goes to the write lane."""
        return (
            self.writes if is_write or self.traffic_types[row].effect is not Effect.IDEMPOTENT else self.reads
        )

    def admit(self, row: int, tenant: int, is_write: bool, now: float) -> float:
        """0 if the operation is admitted, else seconds after which its client may retry."""
        if self.fully_open:
            return 0.0
        if self.started_at < 0.0:
            return self.retry_after(MIN_RETRY_AFTER)
        lane = self.lane_for(row, is_write)
        if lane.try_admit(tenant, self.row_priority[row]):
            return 0.0
        # The time it takes to admit this step's demand; spread out, or clients would return together.
        return self.retry_after(sum(lane.tenant_demand) / max(lane.rate, MIN_RATE))

    def retry_after(self, minimum: float) -> float:
        """Seconds to wait before a retry: drawn between `minimum` and twice that, within the client limit."""
        self.draw_count += 1
        fraction = zlib.crc32(b"%d:%d" % (self.seed, self.draw_count)) / 0x100000000
        return min(max(minimum, MIN_RETRY_AFTER), max(self.max_retry_after, MIN_RETRY_AFTER) * 0.5) * (
            1.0 + fraction
        )

    def record_result(self, row: int, is_write: bool, succeeded: bool, from_origin: bool) -> None:
        """Records the final answer of an admitted operation."""
        lane = self.lane_for(row, is_write)
        if succeeded:
            lane.succeeded += 1
            if lane is self.reads:
                self.miss_ratio += 0.02 * (from_origin - self.miss_ratio)
        else:
            lane.failed += 1

    def step(self, warmth: float, now: float) -> None:
        """Adjusts the lanes every `STEP_INTERVAL`. `warmth`: mean of the servers, 0 just started, 1 warm."""
        if self.fully_open or self.started_at < 0.0 or now - self.last_step_at < STEP_INTERVAL:
            return
        span, self.last_step_at = now - self.last_step_at, now
        rejected, write_rate = self.writes.rejected + self.reads.rejected, self.writes.admitted / span
        write_result, read_result = self.writes.evaluate_step(), self.reads.evaluate_step()
        self._adjust_write_rate(write_result)
        self._adjust_read_rate(read_result, warmth, write_rate, now)
        for lane in (self.writes, self.reads):
            lane.refill(self.shares, span)
        self.quiet_steps = (
            0
            if rejected or write_result < 0 or read_result < 0 or self.reads.rate <= 0.0
            else self.quiet_steps + 1
        )
        max_duration = MAX_RAMP_WARM_UPS * self.warm_up_time + MAX_RAMP_EXTRA
        healthy = min(write_result, read_result) >= 0 and not (
            self.writes.hold_steps or self.reads.hold_steps
        )
        overdue = healthy and now - self.started_at > max_duration
        if (self.quiet_steps >= QUIET_STEPS_TO_OPEN and warmth >= MIN_WARMTH_TO_OPEN) or overdue:
            self.fully_open = True
            self.log_lines.append(f"open after {now - self.started_at:.1f} s: {self._describe(warmth)}")

    def _adjust_write_rate(self, result: int) -> None:
        lane, limits = self.writes, self.limits
        max_rate = limits.origin_rate / limits.routers or 1e9
        if result < 0:
            lane.rate = max(lane.rate * DECREASE_FACTOR, MIN_RATE)
            self.log_lines.append(f"step back of writes: {lane.rate:.1f} a second")
        elif result > 0:
            lane.rate = max(min(lane.rate * INCREASE_FACTOR, max_rate), MIN_RATE)

    def _adjust_read_rate(self, result: int, warmth: float, write_rate: float, now: float) -> None:
        if result < 0:
            self.read_rate_factor *= DECREASE_FACTOR
            self.log_lines.append(f"step back of reads: {self.reads.rate * DECREASE_FACTOR:.1f} a second")
        elif result > 0:
            above_steady = 0.0 < self.limits.steady_reads <= self.reads.rate
            self.read_rate_factor *= INCREASE_FACTOR_ABOVE_STEADY if above_steady else INCREASE_FACTOR
        if now - self.started_at < READ_LANE_DELAY:
            return
        limits = self.limits
        per_server = limits.cold_server_reads or DEFAULT_COLD_SERVER_READS
        min_rate = per_server * limits.servers / limits.routers
        capacity = self.cold_capacity + (1.0 - self.cold_capacity) * warmth
        base_rate = max(
            limits.steady_reads * capacity, min_rate * max(warmth / max(self.cold_capacity, 0.01), 1.0), 0.01
        )
        rate = base_rate * self.read_rate_factor
        if self.cache_aside and limits.origin_rate:
            origin_share = limits.origin_rate / limits.routers
            remaining = max(
                MIN_READ_SHARE_OF_ORIGIN * origin_share, MAX_ORIGIN_UTILIZATION * origin_share - write_rate
            )
            rate = min(rate, remaining / max(self.miss_ratio, MIN_MISS_RATIO))
            # Otherwise what the origin holds back would come all at once later.
            self.read_rate_factor = rate / base_rate
        self.reads.rate = max(rate, MIN_RATE)

    def _describe(self, warmth: float) -> str:
        return (
            f"writes {self.writes.rate:.1f}, reads {self.reads.rate:.1f} a second, "
            f"misses {self.miss_ratio:.2f}, warm {warmth:.2f}"
        )
