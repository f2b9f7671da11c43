"""The lifecycle of one shard's placement. No I/O, no clock of its own.

    scheduled -> preparing -> migrating -> confined (required) or applied (preferred) -> preparing -> ...
                           -> removing -> removed

Every change of placement takes two steps. Each step must have reached all routers that may act before the
change proceeds:

1. While `preparing`, keys are placed as before, but retries of writes with an idempotency key (`r=1`) get a
   final answer without an attempt.
2. While `migrating` (or `removing`), keys are placed by the new placement; retries are still blocked.

With a single step, one router could send the first attempt of a write to the new location while another one
that is not up to date sends its retry to the old location. Retries stay blocked until the servers'
deduplication records of writes from before the end of step 2 have expired.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from .affinity import NOWHERE, RegionAffinity


class Stage(Enum):
    """The stage of a placement in its lifecycle. The values are used in the store and the API."""

    SCHEDULED = "asked"  # starts at a later time; routers are not told yet
    PREPARING = "spreading"  # keys are placed as before, retries are blocked
    MIGRATING = "moving"  # routers are told the new placement; not all are known to follow it
    CONFINED = "confined"  # required: no router places its keys outside its regions
    APPLIED = "followed"  # preferred: every router follows the placement
    REMOVING = "leaving"  # routers are told that the placement ends
    # Its pin was lost when the store was restored from an older copy; not served until its tenant requests a
    # placement again.
    QUARANTINED = "held"
    REMOVED = "gone"


class Event(Enum):
    """An event in the lifecycle of a placement. The values are used in error messages of the API."""

    CHANGE_REQUESTED = "ask"  # by its tenant, effective now
    CHANGE_SCHEDULED = "later"  # by its tenant, effective at a stated time
    REMOVAL_REQUESTED = "remove"
    SCHEDULE_DUE = "due"  # the time of a scheduled change has come
    ROUTERS_CAUGHT_UP = "follow"  # every router that may act follows the revision of this stage
    DEDUPLICATION_EXPIRED = "forgotten"  # no server remembers writes from before the change
    ZONES_CHANGED = "disturbed"  # a server was relabelled from or to one of its zones
    PIN_LOST = "lost"  # a router acts on a pin that this store no longer has


SETTLED_STAGES = (Stage.CONFINED, Stage.APPLIED)
TRANSITIONS: dict[tuple[Stage | None, Event], Stage] = {
    (None, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (None, Event.CHANGE_SCHEDULED): Stage.SCHEDULED,
    (None, Event.PIN_LOST): Stage.QUARANTINED,
    (Stage.SCHEDULED, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.SCHEDULED, Event.CHANGE_SCHEDULED): Stage.SCHEDULED,
    (Stage.SCHEDULED, Event.SCHEDULE_DUE): Stage.PREPARING,
    (Stage.SCHEDULED, Event.REMOVAL_REQUESTED): Stage.REMOVED,
    (Stage.PREPARING, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.PREPARING, Event.REMOVAL_REQUESTED): Stage.PREPARING,
    (Stage.PREPARING, Event.ROUTERS_CAUGHT_UP): Stage.MIGRATING,  # or REMOVING, where removal is requested
    (Stage.MIGRATING, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.MIGRATING, Event.REMOVAL_REQUESTED): Stage.PREPARING,
    (Stage.MIGRATING, Event.ROUTERS_CAUGHT_UP): Stage.CONFINED,  # or APPLIED, where it is preferred
    (Stage.MIGRATING, Event.ZONES_CHANGED): Stage.MIGRATING,
    (Stage.CONFINED, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.CONFINED, Event.CHANGE_SCHEDULED): Stage.CONFINED,
    (Stage.CONFINED, Event.SCHEDULE_DUE): Stage.PREPARING,
    (Stage.CONFINED, Event.REMOVAL_REQUESTED): Stage.PREPARING,
    (Stage.CONFINED, Event.ZONES_CHANGED): Stage.MIGRATING,
    (Stage.CONFINED, Event.DEDUPLICATION_EXPIRED): Stage.CONFINED,
    (Stage.APPLIED, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.APPLIED, Event.CHANGE_SCHEDULED): Stage.APPLIED,
    (Stage.APPLIED, Event.SCHEDULE_DUE): Stage.PREPARING,
    (Stage.APPLIED, Event.REMOVAL_REQUESTED): Stage.PREPARING,
    (Stage.APPLIED, Event.DEDUPLICATION_EXPIRED): Stage.APPLIED,
    (Stage.REMOVING, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.REMOVING, Event.REMOVAL_REQUESTED): Stage.REMOVING,
    (Stage.REMOVING, Event.ROUTERS_CAUGHT_UP): Stage.REMOVING,
    (Stage.REMOVING, Event.DEDUPLICATION_EXPIRED): Stage.REMOVED,  # only after all routers caught up
    (Stage.QUARANTINED, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.QUARANTINED, Event.REMOVAL_REQUESTED): Stage.PREPARING,
    **{(stage, Event.PIN_LOST): Stage.QUARANTINED for stage in Stage if stage is not Stage.REMOVED},
}


class InvalidTransitionError(Exception):
    """The event is not allowed in this stage."""

    def __init__(self, stage: Stage | None, event: Event) -> None:
        """`stage`: None if there is no placement."""
        found = stage.value if stage else "not there"
        super().__init__(f"it is {found}: that cannot be asked for now ({event.value})")
        self.stage = stage
        self.event = event


class RoutersBehindError(InvalidTransitionError):
    """A removal cannot be completed because not every router follows it yet."""

    def __init__(self, stage: Stage, event: Event) -> None:
        """`stage`: the stage that cannot be left yet."""
        super().__init__(stage, event)
        self.args = ("not every router follows yet",)


@dataclass(slots=True, frozen=True)
class Lifecycle:
    """The state of one shard's placement."""

    stage: Stage
    current: RegionAffinity | None = None  # as routers are told; None: as if the shard did not exist
    target: RegionAffinity | None = None  # what it migrates to next, or will at `scheduled_at`
    scheduled_at: float = 0.0  # Unix seconds; 0: nothing is scheduled
    removal_requested: bool = False  # the shard is preparing for its removal
    retries_blocked: bool = False  # retries of writes with an idempotency key get a final answer
    # Every router that may act knows the placement as required, and so rejects its keys without a lease.
    required_everywhere: bool = False
    # Some router may still act on a placement that it continues to serve without a lease.
    may_serve_without_lease: bool = False
    removal_acknowledged: bool = False  # in stage REMOVING, and every router follows


def transition(
    lifecycle: Lifecycle | None,
    event: Event,
    affinity: RegionAffinity | None = None,
    scheduled_at: float = 0.0,
) -> Lifecycle:
    """Return the state after an event; `lifecycle` None: there is no placement yet.

    `affinity` is given for a requested or scheduled change, `scheduled_at` (Unix seconds) for the latter.
    Raises InvalidTransitionError if TRANSITIONS has no entry for the stage and event.
    """
    before = lifecycle.stage if lifecycle else None
    stage = TRANSITIONS.get((before, event))
    if stage is None:
        raise InvalidTransitionError(before, event)
    if event is Event.PIN_LOST:
        return Lifecycle(stage, NOWHERE, retries_blocked=True)
    lifecycle = lifecycle or Lifecycle(stage)
    match event:
        case Event.CHANGE_REQUESTED:
            return _change_requested(lifecycle, stage, affinity)
        case Event.CHANGE_SCHEDULED:
            return replace(lifecycle, stage=stage, target=affinity, scheduled_at=scheduled_at)
        case Event.REMOVAL_REQUESTED:
            return _removal_requested(lifecycle, stage)
        case Event.SCHEDULE_DUE:
            return replace(lifecycle, stage=stage, scheduled_at=0.0, retries_blocked=True)
        case Event.ROUTERS_CAUGHT_UP:
            return _routers_caught_up(lifecycle, stage)
        case Event.DEDUPLICATION_EXPIRED:
            return _deduplication_expired(lifecycle, stage)
        case _:
            return replace(lifecycle, stage=stage)


def _change_requested(lifecycle: Lifecycle, stage: Stage, affinity: RegionAffinity | None) -> Lifecycle:
    if lifecycle.stage in SETTLED_STAGES and affinity == lifecycle.current:
        return replace(lifecycle, target=None, scheduled_at=0.0)
    return replace(
        lifecycle,
        stage=stage,
        target=affinity,
        scheduled_at=0.0,
        removal_requested=False,
        retries_blocked=True,
        removal_acknowledged=False,
    )


def _removal_requested(lifecycle: Lifecycle, stage: Stage) -> Lifecycle:
    if lifecycle.stage is Stage.REMOVING:
        return lifecycle
    return replace(
        lifecycle, stage=stage, target=None, scheduled_at=0.0, removal_requested=True, retries_blocked=True
    )


def _deduplication_expired(lifecycle: Lifecycle, stage: Stage) -> Lifecycle:
    if lifecycle.stage is Stage.REMOVING and not lifecycle.removal_acknowledged:
        raise RoutersBehindError(lifecycle.stage, Event.DEDUPLICATION_EXPIRED)
    return replace(lifecycle, stage=stage, retries_blocked=False)


def _routers_caught_up(lifecycle: Lifecycle, stage: Stage) -> Lifecycle:
    if lifecycle.stage is Stage.PREPARING:
        return _begin_migration(lifecycle, stage)
    if lifecycle.stage is Stage.REMOVING:
        return replace(lifecycle, removal_acknowledged=True)
    required = lifecycle.current is not None and lifecycle.current.required
    return replace(
        lifecycle,
        stage=Stage.CONFINED if required else Stage.APPLIED,
        required_everywhere=required,
        may_serve_without_lease=False,
    )


def _begin_migration(lifecycle: Lifecycle, stage: Stage) -> Lifecycle:
    required = lifecycle.target is not None and lifecycle.target.required
    return replace(
        lifecycle,
        stage=Stage.REMOVING if lifecycle.removal_requested else stage,
        current=lifecycle.target,
        target=None,
        removal_requested=False,
        required_everywhere=lifecycle.required_everywhere and required,
        may_serve_without_lease=not lifecycle.required_everywhere,
    )
