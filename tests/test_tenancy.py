"""The life of tenants in virtual time: tombstones, names used again, routers behind, clocks set back."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gaugehinge.tenancy.life import (
    CLOCKS_APART,
    UNHEARD,
    Order,
    Refused,
    Report,
    Stage,
    Tenancy,
    client_key,
    create,
    may_create,
    order,
    own_key,
    own_mark,
    pass_away,
)

MEMORY = 10.0


def made(stage: Stage, now: float = 0.0) -> Tenancy:
    return Tenancy("acme", 7, stage, now)


@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize("wanted", Order)
def test_each_order_in_each_stage_moves_on_changes_nothing_or_is_refused(stage, wanted):
    tenancy = made(stage)
    try:
        after = order(tenancy, wanted, MEMORY, 5.0)
    except Refused as bad:
        assert "acme is" in str(bad) and stage in (Stage.LEAVING, Stage.GONE, Stage.CREATED)
        return
    assert order(after, wanted, MEMORY, 6.0) == after, "the same order again changes nothing"
    if stage in (Stage.LEAVING, Stage.GONE):
        assert after == tenancy, "nobody comes back from there"
    assert after.takes is (after.stage is Stage.ACTIVE)


def test_a_tombstone_stands_until_routers_heard_hold_nothing_and_marks_are_forgotten():
    leaving = order(made(Stage.ACTIVE), Order.REMOVE, MEMORY, 100.0)
    assert leaving.marks_until == 110.0 + CLOCKS_APART
    behind = {"r1": Report(103.0, 0, 4), "r2": Report(103.0, 0, 5)}
    still = pass_away(leaving, behind, 5, MEMORY, 103.0)
    assert still.stage is Stage.LEAVING and not still.clear, "r1 may still make marks"
    busy = {"r1": Report(112.0, 2, 5), "r2": Report(112.0, 0, 5)}
    still = pass_away(still, busy, 5, MEMORY, 112.0)
    easy = {"r1": Report(123.0, 0, 6), "r2": Report(123.0, 0, 5)}
    still = pass_away(still, easy, 5, MEMORY, 123.0)
    assert still.clear and still.marks_until == 133.0 + CLOCKS_APART, "a mark may be as young as this look"
    assert pass_away(still, easy, 5, MEMORY, 134.0).stage is Stage.LEAVING
    assert pass_away(still, easy, 5, MEMORY, 136.0).stage is Stage.GONE


def test_a_router_that_died_holds_no_tombstone_for_ever():
    leaving = order(made(Stage.ACTIVE), Order.REMOVE, MEMORY, 0.0)
    reports = {"dead": Report(1.0, 9, 0)}
    assert pass_away(leaving, reports, 5, MEMORY, 1.0 + UNHEARD).stage is Stage.LEAVING
    still = pass_away(leaving, reports, 5, MEMORY, 100.0)
    assert pass_away(still, reports, 5, MEMORY, 120.0).stage is Stage.GONE


def test_a_clock_set_back_shortens_nothing():
    leaving = order(made(Stage.ACTIVE, 1000.0), Order.REMOVE, MEMORY, 1000.0)
    assert order(leaving, Order.REMOVE, MEMORY, 10.0) == leaving
    after = pass_away(leaving, {}, 1, MEMORY, 10.0)
    assert after.marks_until == leaving.marks_until and pass_away(after, {}, 1, MEMORY, 11.0) == after
    suspended = order(made(Stage.ACTIVE, 1000.0), Order.SUSPEND, MEMORY, 10.0)
    assert suspended.since == 1000.0


def test_a_name_is_used_again_by_another_one():
    old = order(made(Stage.ACTIVE), Order.REMOVE, MEMORY, 0.0)
    new = create("acme", [old], 3, 1.0)
    assert new.incarnation > old.incarnation and not may_create("acme", [old, new])
    assert own_key(new, b"k") != own_key(old, b"k") and own_mark(new, b"m") != own_mark(old, b"m")
    with pytest.raises(Refused):
        create("acme", [old, new], 9, 1.0)


@settings(max_examples=200, deadline=None)
@given(st.integers(1, 1 << 40), st.integers(1, 1 << 40), st.binary(max_size=20), st.binary(max_size=20))
def test_two_tenants_keys_never_meet(one, other, key, also):
    first, second = Tenancy("a", one, Stage.ACTIVE, 0.0), Tenancy("b", other, Stage.ACTIVE, 0.0)
    assert client_key(own_key(first, key)) == key
    if one != other:
        assert own_key(first, key) != own_key(second, also) and own_mark(first, key) != own_mark(second, also)


class Lives(RuleBasedStateMachine):
    """Tenants of two names, two routers that follow late, marks made while any router takes."""

    @initialize()
    def begin(self):
        self.now, self.revision, self.last = 0.0, 0, 0
        self.all: dict[int, Tenancy] = {}
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
            tenancy = create(name, list(self.all.values()), self.last, self.now)
        except Refused:
            assert any(
                t.name == name and t.stage not in (Stage.LEAVING, Stage.GONE) for t in self.all.values()
            )
            return
        self.last = tenancy.incarnation
        self._put(tenancy)

    @rule(place=st.integers(0, 9), wanted=st.sampled_from(Order))
    def tell(self, place, wanted):
        if self.all:
            tenancy = list(self.all.values())[place % len(self.all)]
            with suppress(Refused):
                self._put(order(tenancy, wanted, MEMORY, self.now))

    @rule(router=st.sampled_from(["r1", "r2"]))
    def follow(self, router):
        self.views[router] = {n: t.takes for n, t in self.all.items()}
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
                router: Report(self.now, self.in_hand.get((router, number), 0), self.heard[router])
                for router in self.views
            }
            self._put(pass_away(tenancy, reports, self.changed[number], MEMORY, self.now))

    @invariant()
    def kept(self):
        for number, tenancy in getattr(self, "all", {}).items():
            if tenancy.stage is Stage.GONE:
                assert not any(n == number for _, n in self.in_hand), "gone with operations in hand"
                assert self.marks.get(number, 0.0) <= tenancy.since, "gone with a mark remembered"
                assert not any(view.get(number) for view in self.views.values()), "gone and still taken"
        names = [
            t.name for t in getattr(self, "all", {}).values() if t.stage not in (Stage.LEAVING, Stage.GONE)
        ]
        assert len(names) == len(set(names))


Lives.TestCase.settings = settings(max_examples=100, stateful_step_count=50, deadline=None, derandomize=True)
TestLives = Lives.TestCase
