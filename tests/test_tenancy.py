"""The life of tenants in virtual time: tombstones, names used again, routers behind, clocks set back."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gaugehinge.tenancy.lifecycle import (
    MAX_CLOCK_SKEW,
    ROUTER_TIMEOUT,
    LifecycleError,
    RouterReport,
    TenantAction,
    TenantIncarnation,
    TenantStage,
    apply_action,
    client_key,
    create_incarnation,
    finish_removal,
    name_is_available,
    tenant_idempotency_key,
    tenant_key,
)

MEMORY = 10.0


def made(stage: TenantStage, now: float = 0.0) -> TenantIncarnation:
    return TenantIncarnation("acme", 7, stage, now)


@pytest.mark.parametrize("stage", TenantStage)
@pytest.mark.parametrize("wanted", TenantAction)
def test_each_order_in_each_stage_moves_on_changes_nothing_or_is_refused(stage, wanted):
    tenancy = made(stage)
    try:
        after = apply_action(tenancy, wanted, MEMORY, 5.0)
    except LifecycleError as bad:
        assert "acme is" in str(bad) and stage in (TenantStage.LEAVING, TenantStage.GONE, TenantStage.CREATED)
        return
    assert apply_action(after, wanted, MEMORY, 6.0) == after, "the same order again changes nothing"
    if stage in (TenantStage.LEAVING, TenantStage.GONE):
        assert after == tenancy, "nobody comes back from there"
    assert after.accepts_operations is (after.stage is TenantStage.ACTIVE)


def test_a_tombstone_stands_until_routers_heard_hold_nothing_and_marks_are_forgotten():
    leaving = apply_action(made(TenantStage.ACTIVE), TenantAction.REMOVE, MEMORY, 100.0)
    assert leaving.deduplication_until == 110.0 + MAX_CLOCK_SKEW
    behind = {"r1": RouterReport(103.0, 0, 4), "r2": RouterReport(103.0, 0, 5)}
    still = finish_removal(leaving, behind, 5, MEMORY, 103.0)
    assert still.stage is TenantStage.LEAVING and not still.drained, "r1 may still make marks"
    busy = {"r1": RouterReport(112.0, 2, 5), "r2": RouterReport(112.0, 0, 5)}
    still = finish_removal(still, busy, 5, MEMORY, 112.0)
    easy = {"r1": RouterReport(123.0, 0, 6), "r2": RouterReport(123.0, 0, 5)}
    still = finish_removal(still, easy, 5, MEMORY, 123.0)
    assert still.drained and still.deduplication_until == 133.0 + MAX_CLOCK_SKEW, (
        "a mark may be as young as this look"
    )
    assert finish_removal(still, easy, 5, MEMORY, 134.0).stage is TenantStage.LEAVING
    assert finish_removal(still, easy, 5, MEMORY, 136.0).stage is TenantStage.GONE


def test_a_router_that_died_holds_no_tombstone_for_ever():
    leaving = apply_action(made(TenantStage.ACTIVE), TenantAction.REMOVE, MEMORY, 0.0)
    reports = {"dead": RouterReport(1.0, 9, 0)}
    assert finish_removal(leaving, reports, 5, MEMORY, 1.0 + ROUTER_TIMEOUT).stage is TenantStage.LEAVING
    still = finish_removal(leaving, reports, 5, MEMORY, 100.0)
    assert finish_removal(still, reports, 5, MEMORY, 120.0).stage is TenantStage.GONE


def test_a_clock_set_back_shortens_nothing():
    leaving = apply_action(made(TenantStage.ACTIVE, 1000.0), TenantAction.REMOVE, MEMORY, 1000.0)
    assert apply_action(leaving, TenantAction.REMOVE, MEMORY, 10.0) == leaving
    after = finish_removal(leaving, {}, 1, MEMORY, 10.0)
    assert (
        after.deduplication_until == leaving.deduplication_until
        and finish_removal(after, {}, 1, MEMORY, 11.0) == after
    )
    suspended = apply_action(made(TenantStage.ACTIVE, 1000.0), TenantAction.SUSPEND, MEMORY, 10.0)
    assert suspended.stage_since == 1000.0


def test_a_name_is_used_again_by_another_one():
    old = apply_action(made(TenantStage.ACTIVE), TenantAction.REMOVE, MEMORY, 0.0)
    new = create_incarnation("acme", [old], 3, 1.0)
    assert new.incarnation > old.incarnation and not name_is_available("acme", [old, new])
    assert tenant_key(new, b"k") != tenant_key(old, b"k") and tenant_idempotency_key(
        new, b"m"
    ) != tenant_idempotency_key(old, b"m")
    with pytest.raises(LifecycleError):
        create_incarnation("acme", [old, new], 9, 1.0)


@settings(max_examples=200, deadline=None)
@given(st.integers(1, 1 << 40), st.integers(1, 1 << 40), st.binary(max_size=20), st.binary(max_size=20))
def test_two_tenants_keys_never_meet(one, other, key, also):
    first, second = (
        TenantIncarnation("a", one, TenantStage.ACTIVE, 0.0),
        TenantIncarnation("b", other, TenantStage.ACTIVE, 0.0),
    )
    assert client_key(tenant_key(first, key)) == key
    if one != other:
        assert tenant_key(first, key) != tenant_key(second, also) and tenant_idempotency_key(
            first, key
        ) != tenant_idempotency_key(second, also)


class Lives(RuleBasedStateMachine):
    """Tenants of two names, two routers that follow late, marks made while any router takes."""

    @initialize()
    def begin(self):
        self.now, self.revision, self.last = 0.0, 0, 0
        self.all: dict[int, TenantIncarnation] = {}
        self.changed: dict[int, int] = {}  # the revision at which each was last changed
        self.views = {"r1": {}, "r2": {}}  # incarnation -> (stage takes)
        self.heard = {"r1": 0, "r2": 0}
        self.in_hand: dict = {}
        self.marks: dict[int, float] = {}  # until when a mark of it is remembered

    def _put(self, tenancy):
        if self.all.get(tenancy.incarnation) != tenancy:
            if self.all.get(tenancy.incarnation, tenancy).stage is not tenancy.stage or (
                tenancy.incarnation not in self.all
            ):
                self.revision += 1
                self.changed[tenancy.incarnation] = self.revision
            self.all[tenancy.incarnation] = tenancy

    @rule(name=st.sampled_from(["acme", "birch"]))
    def make(self, name):
        try:
            tenancy = create_incarnation(name, list(self.all.values()), self.last, self.now)
        except LifecycleError:
            assert any(
                t.name == name and t.stage not in (TenantStage.LEAVING, TenantStage.GONE)
                for t in self.all.values()
            )
            return
        self.last = tenancy.incarnation
        self._put(tenancy)

    @rule(place=st.integers(0, 9), wanted=st.sampled_from(TenantAction))
    def tell(self, place, wanted):
        if self.all:
            tenancy = list(self.all.values())[place % len(self.all)]
            with suppress(LifecycleError):
                self._put(apply_action(tenancy, wanted, MEMORY, self.now))

    @rule(router=st.sampled_from(["r1", "r2"]))
    def follow(self, router):
        self.views[router] = {n: t.accepts_operations for n, t in self.all.items()}
        self.heard[router] = self.revision

    @rule(router=st.sampled_from(["r1", "r2"]), place=st.integers(0, 9))
    def take(self, router, place):
        taking = [n for n, takes in self.views[router].items() if takes]
        if taking:
            number = taking[place % len(taking)]
            self.in_hand[router, number] = self.in_hand.get((router, number), 0) + 1

    @rule(router=st.sampled_from(["r1", "r2"]))
    def settle(self, router):
        for (who, number), _ in list(self.in_hand.items()):
            if who == router:
                del self.in_hand[who, number]
                self.marks[number] = self.now + MEMORY

    @rule(span=st.sampled_from([0.5, 5.0, 20.0]))
    def time_passes(self, span):
        self.now += span

    @rule()
    def look(self):
        for number, tenancy in list(self.all.items()):
            reports = {
                router: RouterReport(self.now, self.in_hand.get((router, number), 0), self.heard[router])
                for router in self.views
            }
            self._put(finish_removal(tenancy, reports, self.changed[number], MEMORY, self.now))

    @invariant()
    def kept(self):
        for number, tenancy in getattr(self, "all", {}).items():
            if tenancy.stage is TenantStage.GONE:
                assert not any(n == number for _, n in self.in_hand), "gone with operations in hand"
                assert self.marks.get(number, 0.0) <= tenancy.stage_since, "gone with a mark remembered"
                assert not any(view.get(number) for view in self.views.values()), "gone and still taken"
        names = [
            t.name
            for t in getattr(self, "all", {}).values()
            if t.stage not in (TenantStage.LEAVING, TenantStage.GONE)
        ]
        assert len(names) == len(set(names))


Lives.TestCase.settings = settings(max_examples=100, stateful_step_count=50, deadline=None, derandomize=True)
TestLives = Lives.TestCase
