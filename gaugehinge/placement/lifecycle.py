"""The life of one shard's placement. No I/O, no clock of its own.

    asked -> spreading -> moving -> confined (`only`) or followed (`prefer`) -> spreading -> ...
                       -> leaving -> gone

Every change of where keys go takes two steps, each of which has to be with all routers that may act:

1. `spreading`: keys go as before, and repeats of deduplicated writes (`r=1`) get a final answer with no
attempt. 2. `moving` (or `leaving`): keys go by the new terms, repeats are still held.

In one step a router that moved would run a first try in the new place, and one that did not yet know its
repeat in the old one. Repeats are held on until what was remembered before the end of step 2 is forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from .affinity import NOWHERE, RegionAffinity


class Stage(Enum):
    """Where a placement is in its life."""

    SCHEDULED = "asked"  # for a time that has not come; routers are not told
    PREPARING = "spreading"  # keys go as before, repeats are held
    MIGRATING = "moving"  # routers are told the new terms, and not all are known to follow
    CONFINED = "confined"  # `only`: no router places a key of it outside
    APPLIED = "followed"  # `prefer`: every router follows
    REMOVING = "leaving"  # routers are told that it ends
    QUARANTINED = "held"  # lost with an older copy of the store; served by nobody until its tenant speaks
    REMOVED = "gone"


class Event(Enum):
    """What happens to it."""

    CHANGE_REQUESTED = "ask"  # its tenant wants terms, now
    CHANGE_SCHEDULED = "later"  # its tenant wants terms, at a time
    REMOVAL_REQUESTED = "remove"
    SCHEDULE_DUE = "due"  # the time that was asked for has come
    ROUTERS_CAUGHT_UP = "follow"  # every router that may act follows the revision of this stage
    DEDUPLICATION_EXPIRED = "forgotten"  # marks from before are remembered nowhere
    ZONES_CHANGED = "disturbed"  # what zone a server stands in changed under it
    PIN_LOST = "lost"  # a router acts by terms that this store no longer has


SETTLED_STAGES = (Stage.CONFINED, Stage.APPLIED)
TRANSITIONS: dict[tuple[Stage | None, Event], Stage] = {
    (None, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (None, Event.CHANGE_SCHEDULED): Stage.SCHEDULED,
    (Stage.SCHEDULED, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.SCHEDULED, Event.CHANGE_SCHEDULED): Stage.SCHEDULED,
    (Stage.SCHEDULED, Event.SCHEDULE_DUE): Stage.PREPARING,
    (Stage.SCHEDULED, Event.REMOVAL_REQUESTED): Stage.REMOVED,
    (Stage.PREPARING, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.PREPARING, Event.REMOVAL_REQUESTED): Stage.PREPARING,
    (Stage.PREPARING, Event.ROUTERS_CAUGHT_UP): Stage.MIGRATING,  # or REMOVING, where it was told to end
    (Stage.MIGRATING, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.MIGRATING, Event.REMOVAL_REQUESTED): Stage.PREPARING,
    (Stage.MIGRATING, Event.ROUTERS_CAUGHT_UP): Stage.CONFINED,  # or APPLIED, by its terms
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
    (Stage.REMOVING, Event.DEDUPLICATION_EXPIRED): Stage.REMOVED,  # after all follow
    (Stage.REMOVING, Event.ROUTERS_CAUGHT_UP): Stage.REMOVING,
    (Stage.QUARANTINED, Event.CHANGE_REQUESTED): Stage.PREPARING,
    (Stage.QUARANTINED, Event.REMOVAL_REQUESTED): Stage.PREPARING,
    **{
        (stage, Event.PIN_LOST): Stage.QUARANTINED
        for stage in (
            Stage.PREPARING,
            Stage.MIGRATING,
            *SETTLED_STAGES,
            Stage.REMOVING,
            Stage.SCHEDULED,
            Stage.QUARANTINED,
        )
    },
    (None, Event.PIN_LOST): Stage.QUARANTINED,
}


class InvalidTransitionError(Exception):
    """The event makes no sense in this stage; the text says why."""


@dataclass(slots=True, frozen=True)
class Lifecycle:
    """Of one shard."""

    stage: Stage
    current: RegionAffinity | None = None  # that routers are told; None: as if there were no such shard
    target: RegionAffinity | None = None  # that it goes to, or will go to at `scheduled_at`
    scheduled_at: float = 0.0  # Unix seconds; 0: nothing is asked for a time
    removal_requested: bool = False  # spreading towards its end
    retries_blocked: bool = False  # repeats are held
    required_everywhere: bool = (
        False  # every router that may act knows its keys as `only`: cut off, it bounces them
    )
    may_serve_without_lease: bool = False  # some router may act by terms that let it serve on without a lease
    removal_acknowledged: bool = False  # leaving, and every router follows


def transition(
    life: Lifecycle | None, event: Event, terms: RegionAffinity | None = None, at: float = 0.0
) -> Lifecycle:
    """What becomes of it. Raises InvalidTransitionError where the table has no such row."""
    stage = TRANSITIONS.get((life.stage if life else None, event))
    if stage is None:
        stands = life.stage.value if life else "not there"
        raise InvalidTransitionError(f"it is {stands}: that cannot be asked for now ({event.value})")
    life = life or Lifecycle(stage)
    if event is Event.PIN_LOST:
        return Lifecycle(Stage.QUARANTINED, NOWHERE, retries_blocked=True)
    if event is Event.CHANGE_SCHEDULED:
        return replace(life, stage=stage, target=terms, scheduled_at=at)
    if event is Event.CHANGE_REQUESTED:
        if life.stage in SETTLED_STAGES and terms == life.current:
            return replace(life, target=None, scheduled_at=0.0)
        return replace(
            life,
            stage=stage,
            target=terms,
            scheduled_at=0.0,
            removal_requested=False,
            retries_blocked=True,
            removal_acknowledged=False,
        )
    if event is Event.SCHEDULE_DUE:
        return replace(life, stage=stage, scheduled_at=0.0, retries_blocked=True)
    if event is Event.REMOVAL_REQUESTED:
        if life.stage is Stage.REMOVING:
            return life
        return replace(
            life, stage=stage, target=None, scheduled_at=0.0, removal_requested=True, retries_blocked=True
        )
    if event is Event.ZONES_CHANGED:
        return replace(life, stage=stage)
    if event is Event.DEDUPLICATION_EXPIRED:
        if life.stage is Stage.REMOVING and not life.removal_acknowledged:
            raise InvalidTransitionError("not every router follows yet")
        return replace(life, stage=stage, retries_blocked=False)
    return _followed(life, stage)


def _followed(life: Lifecycle, stage: Stage) -> Lifecycle:
    if life.stage is Stage.PREPARING:
        only = life.target is not None and life.target.required
        told = replace(
            life,
            stage=Stage.REMOVING if life.removal_requested else stage,
            current=life.target,
            target=None,
            removal_requested=False,
        )
        return replace(
            told,
            may_serve_without_lease=not life.required_everywhere,
            required_everywhere=life.required_everywhere and only,
        )
    if life.stage is Stage.REMOVING:
        return replace(life, removal_acknowledged=True)
    only = life.current is not None and life.current.required
    return replace(
        life,
        stage=Stage.CONFINED if only else Stage.APPLIED,
        required_everywhere=only,
        may_serve_without_lease=False,
    )
