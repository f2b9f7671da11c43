"""The lifecycle of a shard's placement, by its table alone."""

import pytest

from gaugehinge.placement.affinity import RegionAffinity
from gaugehinge.placement.lifecycle import (
    TRANSITIONS,
    Event,
    InvalidTransitionError,
    Lifecycle,
    Stage,
    transition,
)

EU, US = RegionAffinity(True, ("eu",), (("a",),)), RegionAffinity(True, ("us",), (("b",),))
NEAR_EU = RegionAffinity(False, ("eu", "us"), (("a",), ("b",)))


def test_every_way_through_the_table_holds_repeats_while_keys_go_two_ways():
    """All events in all orders, 6 deep: what is told changes only on the way from spreading."""
    seen = set()
    front = {None}
    for _ in range(6):
        following = set()
        for life in front:
            for event in Event:
                terms = {Event.CHANGE_REQUESTED: US, Event.CHANGE_SCHEDULED: EU}.get(event)
                for wanted in [EU, US, NEAR_EU] if event is Event.CHANGE_REQUESTED else [terms]:
                    try:
                        after = transition(
                            life, event, wanted, 9.0 if event is Event.CHANGE_SCHEDULED else 0.0
                        )
                    except InvalidTransitionError:
                        assert life is not None or event not in (
                            Event.CHANGE_REQUESTED,
                            Event.CHANGE_SCHEDULED,
                            Event.PIN_LOST,
                        )
                        assert (
                            life is None
                            or (life.stage, event) not in TRANSITIONS
                            or not life.removal_acknowledged
                        )
                        continue
                    before = life.current if life else None
                    if after.current != before and event is not Event.PIN_LOST:
                        assert (
                            life.stage is Stage.PREPARING
                            and event is Event.ROUTERS_CAUGHT_UP
                            and life.retries_blocked
                        )
                        assert after.retries_blocked and after.stage in (Stage.MIGRATING, Stage.REMOVING)
                    if after.stage is Stage.CONFINED:
                        assert after.current.required and after.required_everywhere
                    if after.required_everywhere:
                        assert after.current is not None and after.current.required
                    if after.stage in (Stage.MIGRATING, Stage.REMOVING) and life.stage is Stage.PREPARING:
                        assert after.may_serve_without_lease is not life.required_everywhere
                    following.add(after)
        front = following - seen
        seen |= following
    assert len(seen) > 70


def test_a_pin_that_ends_is_gone_only_when_all_follow_and_marks_are_forgotten():
    life = transition(
        transition(transition(None, Event.CHANGE_REQUESTED, EU), Event.ROUTERS_CAUGHT_UP),
        Event.ROUTERS_CAUGHT_UP,
    )
    assert life == Lifecycle(Stage.CONFINED, EU, retries_blocked=True, required_everywhere=True)
    life = transition(transition(life, Event.REMOVAL_REQUESTED), Event.ROUTERS_CAUGHT_UP)
    assert life.stage is Stage.REMOVING and life.current is None and not life.may_serve_without_lease
    with pytest.raises(InvalidTransitionError):
        transition(life, Event.DEDUPLICATION_EXPIRED)
    assert (
        transition(transition(life, Event.ROUTERS_CAUGHT_UP), Event.DEDUPLICATION_EXPIRED).stage
        is Stage.REMOVED
    )
