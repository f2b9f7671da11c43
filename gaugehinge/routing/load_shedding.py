"""Load shedding: rejects operations on arrival while attempts take too much of their latency objective.

Operations with the least priority for the work that they take are shed first, and those over a tenant's quota
before all others, as far as the over-quota weight lowers their priority.
"""

from __future__ import annotations

from .control_interval import intervals_in
from .load_measurement import LoadMeasurement
from .seeded_random import SeededRandom
from .types import Attempt, Deployment, Operation, Outcome

TARGET_LATENESS = 0.45  # mean share of the latency objective that attempts take before anything is shed
SHED_RISE = 0.06  # of the shed level per control interval, at twice the target lateness or more
SHED_FALL = 0.06  # of the shed level per control interval, with no lateness at all
MAX_SHED_LEVEL = 0.95
MAX_LATENESS = 1.5  # one attempt counts as at most this
REJECTED_LATENESS = 1.0  # a rejected attempt counts as this
LATENESS_DECAY = 0.8  # weight of the smoothed lateness per control interval with attempts
# The same without attempts: a router with little traffic must not forget its lateness between two attempts.
IDLE_LATENESS_DECAY = 0.98
DEMAND_DECAY = 0.95  # weight of earlier arrivals per control interval


class LoadShedder:
    """The shed level, and the probability with which each class of operations is shed.

    Each traffic type n has two classes: 2n for operations within their tenant's quota, 2n + 1 for those over
    it.

    State: the smoothed lateness, and the sum and count measured since the last interval; the shed level,
    which is the fraction of all work to shed; the decayed arrivals and the shed probability of each class.
    """

    def __init__(
        self, deployment: Deployment, load: LoadMeasurement, random: SeededRandom, log: list[str]
    ) -> None:
        self._deployment = deployment
        self._load = load
        self._random = random
        self._log = log
        class_count = 2 * len(deployment.traffic_types)
        self.lateness = 0.0
        self.lateness_sum = 0.0
        self.lateness_count = 0
        self.shed_level = 0.0
        self.demand = [0.0] * class_count
        self.shed_probabilities = [0.0] * class_count

    # -- operations

    def sheds(self, operation: Operation) -> bool:
        """Count an operation that arrived; return whether to reject it."""
        class_index = 2 * operation.traffic_type.row + operation.over_quota
        self.demand[class_index] += 1.0
        probability = self.shed_probabilities[class_index]
        return bool(probability) and self._random.fraction() < probability

    def is_shedding(self) -> bool:
        """Whether any work is being shed."""
        return bool(self.shed_level)

    def current_lateness(self) -> float:
        """Return the smoothed share of the latency objective that attempts take."""
        return self.lateness

    def record_lateness(self, attempt: Attempt, outcome: Outcome, elapsed: float) -> None:
        """Record the share of its latency objective that an attempt took."""
        share = min(elapsed / attempt.operation.traffic_type.latency_objective, MAX_LATENESS)
        self.lateness_sum += REJECTED_LATENESS if outcome is Outcome.REJECTED else share
        self.lateness_count += 1

    # -- control intervals

    def update_lateness(self, span: float) -> None:
        """Update the smoothed lateness with what was measured since the last interval."""
        if self.lateness_count:
            latest = (1 - LATENESS_DECAY) * self.lateness_sum / self.lateness_count
            self.lateness = LATENESS_DECAY * self.lateness + latest
            self.lateness_sum, self.lateness_count = 0.0, 0
        else:
            self.lateness *= IDLE_LATENESS_DECAY ** intervals_in(span)

    def update(self, span: float) -> None:
        """Update the shed level: it rises once per call, when there is evidence, and falls with time."""
        intervals = intervals_in(span)
        was_shedding = self.is_shedding()
        excess = self.lateness / TARGET_LATENESS - 1.0
        self.shed_level += SHED_RISE * min(excess, 1.0) if excess > 0.0 else SHED_FALL * excess * intervals
        self.shed_level = min(max(self.shed_level, 0.0), MAX_SHED_LEVEL)
        if was_shedding != self.is_shedding():
            state = "on" if self.is_shedding() else "off"
            share = f"attempts take {self.lateness:.2f} of the latency objective"
            self._log.append(f"load shedding {state}: {share}")
        self._update_probabilities(intervals)

    def _update_probabilities(self, intervals: float) -> None:
        """Distribute the work to shed over the classes, lowest priority first."""
        self.demand = [arrivals * DEMAND_DECAY**intervals for arrivals in self.demand]
        if not self.shed_level:
            self.shed_probabilities = [0.0] * len(self.shed_probabilities)
            return
        work = [
            arrivals * self._load.mean_duration_of_row(class_index // 2)
            for class_index, arrivals in enumerate(self.demand)
        ]
        remaining_work = self.shed_level * sum(work)
        for class_index in sorted(range(len(work)), key=self._priority):
            probability = min(remaining_work / work[class_index], 1.0) if work[class_index] > 0.0 else 0.0
            self.shed_probabilities[class_index] = probability
            remaining_work -= probability * work[class_index]

    def _priority(self, class_index: int) -> tuple[float, int]:
        traffic_type = self._deployment.traffic_types[class_index // 2]
        is_over_quota = class_index % 2
        weight = self._deployment.over_quota_weight if is_over_quota else 1.0
        priority = traffic_type.priority_weight * weight
        if not self._deployment.weight_by_work:
            priority /= self._load.mean_duration_of_row(traffic_type.row)
        return priority, class_index
