"""The lifecycle of a shard's placement, by its transition table alone."""

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


def test_every_event_sequence_blocks_retries_while_placement_changes():
    """All events in all orders, 6 deep: the current placement changes only when PREPARING is left."""
    seen = set()
    frontier = {None}
    for _ in range(6):
        reached = set()
        for lifecycle in frontier:
            for event in Event:
                scheduled = {Event.CHANGE_REQUESTED: US, Event.CHANGE_SCHEDULED: EU}.get(event)
                for affinity in [EU, US, NEAR_EU] if event is Event.CHANGE_REQUESTED else [scheduled]:
                    try:
                        after = transition(
                            lifecycle, event, affinity, 9.0 if event is Event.CHANGE_SCHEDULED else 0.0
                        )
                    except InvalidTransitionError:
                        assert lifecycle is not None or event not in (
                            Event.CHANGE_REQUESTED,
                            Event.CHANGE_SCHEDULED,
                            Event.PIN_LOST,
                        )
                        assert (
                            lifecycle is None
                            or (lifecycle.stage, event) not in TRANSITIONS
                            or not lifecycle.removal_acknowledged
                        )
                        continue
                    before = lifecycle.current if lifecycle else None
                    if after.current != before and event is not Event.PIN_LOST:
                        assert (
                            lifecycle.stage is Stage.PREPARING
                            and event is Event.ROUTERS_CAUGHT_UP
                            and lifecycle.retries_blocked
                        )
                        assert after.retries_blocked and after.stage in (Stage.MIGRATING, Stage.REMOVING)
                    if after.stage is Stage.CONFINED:
                        assert after.current.required and after.required_everywhere
                    if after.required_everywhere:
                        assert after.current is not None and after.current.required
                    if (
                        after.stage in (Stage.MIGRATING, Stage.REMOVING)
                        and lifecycle.stage is Stage.PREPARING
                    ):
                        assert after.may_serve_without_lease is not lifecycle.required_everywhere
                    reached.add(after)
        frontier = reached - seen
        seen |= reached
    assert len(seen) > 70


def test_removal_ends_only_after_routers_caught_up_and_deduplication_expired():
    lifecycle = transition(
        transition(transition(None, Event.CHANGE_REQUESTED, EU), Event.ROUTERS_CAUGHT_UP),
        Event.ROUTERS_CAUGHT_UP,
    )
    assert lifecycle == Lifecycle(Stage.CONFINED, EU, retries_blocked=True, required_everywhere=True)
    lifecycle = transition(transition(lifecycle, Event.REMOVAL_REQUESTED), Event.ROUTERS_CAUGHT_UP)
    assert (
        lifecycle.stage is Stage.REMOVING
        and lifecycle.current is None
        and not lifecycle.may_serve_without_lease
    )
    with pytest.raises(InvalidTransitionError):
        transition(lifecycle, Event.DEDUPLICATION_EXPIRED)
    assert (
        transition(transition(lifecycle, Event.ROUTERS_CAUGHT_UP), Event.DEDUPLICATION_EXPIRED).stage
        is Stage.REMOVED
    )
