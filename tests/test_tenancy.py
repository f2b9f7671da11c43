"""The tenant lifecycle in virtual time: tombstones, reused names, lagging routers, clocks set back."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gaugehinge.tenancy.keyspace import (
    InvalidTenantKeyError,
    client_key,
    tenant_idempotency_key,
    tenant_key,
)
from gaugehinge.tenancy.lifecycle import (
    MAX_CLOCK_SKEW,
    ROUTER_TIMEOUT,
    InvalidTransitionError,
    LifecycleError,
    RouterReport,
    TenantAction,
    TenantExistsError,
    TenantIncarnation,
    TenantStage,
    apply_action,
    create_incarnation,
    finish_removal,
    name_is_available,
)

DEDUPLICATION_WINDOW = 10.0
REMOVED = (TenantStage.LEAVING, TenantStage.GONE)
ROUTERS = ("r1", "r2")


def tenant_in(stage: TenantStage, now: float = 0.0) -> TenantIncarnation:
    return TenantIncarnation("acme", 7, stage, now)


def act(tenant: TenantIncarnation, action: TenantAction, now: float) -> TenantIncarnation:
    return apply_action(tenant, action, DEDUPLICATION_WINDOW, now)


def finish(tenant, reports, revision, now) -> TenantIncarnation:
    return finish_removal(tenant, reports, revision, DEDUPLICATION_WINDOW, now)


@pytest.mark.parametrize("stage", TenantStage)
@pytest.mark.parametrize("action", TenantAction)
def test_each_action_in_each_stage_is_applied_repeatable_or_rejected(stage, action):
    tenant = tenant_in(stage)
    try:
        after = act(tenant, action, 5.0)
    except InvalidTransitionError as error:
        assert "acme is" in str(error)
        assert stage in (*REMOVED, TenantStage.CREATED)
        return
    assert act(after, action, 6.0) == after, "repeating an action changes nothing"
    if stage in REMOVED:
        assert after == tenant, "a removed tenant is never reactivated"
    assert after.accepts_operations is (after.stage is TenantStage.ACTIVE)


def test_tombstone_stays_until_routers_follow_hold_nothing_and_idempotency_keys_are_forgotten():
    leaving = act(tenant_in(TenantStage.ACTIVE), TenantAction.REMOVE, 100.0)
    assert leaving.deduplication_until == 110.0 + MAX_CLOCK_SKEW
    behind = {"r1": RouterReport(103.0, 0, 4), "r2": RouterReport(103.0, 0, 5)}
    leaving = finish(leaving, behind, 5, 103.0)
    assert leaving.stage is TenantStage.LEAVING and not leaving.drained, "r1 may still accept operations"
    busy = {"r1": RouterReport(112.0, 2, 5), "r2": RouterReport(112.0, 0, 5)}
    leaving = finish(leaving, busy, 5, 112.0)
    idle = {"r1": RouterReport(123.0, 0, 6), "r2": RouterReport(123.0, 0, 5)}
    leaving = finish(leaving, idle, 5, 123.0)
    assert leaving.drained
    assert leaving.deduplication_until == 133.0 + MAX_CLOCK_SKEW, "a key may have been used just before"
    assert finish(leaving, idle, 5, 134.0).stage is TenantStage.LEAVING
    assert finish(leaving, idle, 5, 136.0).stage is TenantStage.GONE


def test_silent_router_does_not_keep_a_tombstone_forever():
    leaving = act(tenant_in(TenantStage.ACTIVE), TenantAction.REMOVE, 0.0)
    reports = {"dead": RouterReport(1.0, 9, 0)}
    assert finish(leaving, reports, 5, 1.0 + ROUTER_TIMEOUT).stage is TenantStage.LEAVING
    leaving = finish(leaving, reports, 5, 100.0)
    assert finish(leaving, reports, 5, 120.0).stage is TenantStage.GONE


def test_clock_set_back_shortens_nothing():
    leaving = act(tenant_in(TenantStage.ACTIVE, 1000.0), TenantAction.REMOVE, 1000.0)
    assert act(leaving, TenantAction.REMOVE, 10.0) == leaving
    after = finish(leaving, {}, 1, 10.0)
    assert after.deduplication_until == leaving.deduplication_until and finish(after, {}, 1, 11.0) == after
    suspended = act(tenant_in(TenantStage.ACTIVE, 1000.0), TenantAction.SUSPEND, 10.0)
    assert suspended.stage_since == 1000.0


def test_reused_name_is_another_incarnation():
    old = act(tenant_in(TenantStage.ACTIVE), TenantAction.REMOVE, 0.0)
    new = create_incarnation("acme", [old], 3, 1.0)
    assert new.incarnation > old.incarnation and not name_is_available("acme", [old, new])
    assert tenant_key(new, b"k") != tenant_key(old, b"k")
    assert tenant_idempotency_key(new, b"m") != tenant_idempotency_key(old, b"m")
    with pytest.raises(TenantExistsError):
        create_incarnation("acme", [old, new], 9, 1.0)


@settings(max_examples=200, deadline=None)
@given(st.integers(1, 1 << 40), st.integers(1, 1 << 40), st.binary(max_size=20), st.binary(max_size=20))
def test_keys_of_two_tenants_never_collide(incarnation, other_incarnation, key, other_key):
    tenant = TenantIncarnation("a", incarnation, TenantStage.ACTIVE, 0.0)
    other = TenantIncarnation("b", other_incarnation, TenantStage.ACTIVE, 0.0)
    assert client_key(tenant_key(tenant, key)) == key
    if incarnation != other_incarnation:
        assert tenant_key(tenant, key) != tenant_key(other, other_key)
        assert tenant_idempotency_key(tenant, key) != tenant_idempotency_key(other, other_key)


@pytest.mark.parametrize("key", [b"", b"plain", b"/k", b"no hex/k", b"-1/k"])
def test_key_in_no_tenants_space_is_rejected(key):
    with pytest.raises(InvalidTenantKeyError):
        client_key(key)


class TenantLifecycles(RuleBasedStateMachine):
    """Tenants of two names, two lagging routers, idempotency keys used while a router accepts operations."""

    @initialize()
    def start(self):
        self.now, self.revision, self.last_incarnation = 0.0, 0, 0
        self.tenants: dict[int, TenantIncarnation] = {}
        self.stage_revisions: dict[int, int] = {}  # revision of each tenant's last change of stage
        self.accepting = {router: {} for router in ROUTERS}  # whether each accepts, by incarnation
        self.followed = dict.fromkeys(ROUTERS, 0)  # revisions
        self.in_flight: dict = {}  # by router and incarnation
        self.remembered_until: dict[int, float] = {}  # by incarnation: end of its last idempotency key

    def _store(self, tenant):
        before = self.tenants.get(tenant.incarnation)
        if before is None or before.stage is not tenant.stage:
            self.revision += 1
            self.stage_revisions[tenant.incarnation] = self.revision
        self.tenants[tenant.incarnation] = tenant

    @rule(name=st.sampled_from(["acme", "birch"]))
    def create(self, name):
        try:
            tenant = create_incarnation(name, list(self.tenants.values()), self.last_incarnation, self.now)
        except TenantExistsError:
            assert any(t.name == name and t.stage not in REMOVED for t in self.tenants.values())
            return
        self.last_incarnation = tenant.incarnation
        self._store(tenant)

    @rule(index=st.integers(0, 9), action=st.sampled_from(TenantAction))
    def apply(self, index, action):
        if self.tenants:
            tenant = list(self.tenants.values())[index % len(self.tenants)]
            with suppress(LifecycleError):
                self._store(act(tenant, action, self.now))

    @rule(router=st.sampled_from(ROUTERS))
    def follow(self, router):
        self.accepting[router] = {number: t.accepts_operations for number, t in self.tenants.items()}
        self.followed[router] = self.revision

    @rule(router=st.sampled_from(ROUTERS), index=st.integers(0, 9))
    def accept_operation(self, router, index):
        accepting = [number for number, accepts in self.accepting[router].items() if accepts]
        if accepting:
            number = accepting[index % len(accepting)]
            self.in_flight[router, number] = self.in_flight.get((router, number), 0) + 1

    @rule(router=st.sampled_from(ROUTERS))
    def finish_operations(self, router):
        for other, number in list(self.in_flight):
            if other == router:
                del self.in_flight[router, number]
                self.remembered_until[number] = self.now + DEDUPLICATION_WINDOW

    @rule(span=st.sampled_from([0.5, 5.0, 20.0]))
    def time_passes(self, span):
        self.now += span

    @rule()
    def check_removals(self):
        for number, tenant in list(self.tenants.items()):
            reports = {
                router: RouterReport(self.now, self.in_flight.get((router, number), 0), self.followed[router])
                for router in ROUTERS
            }
            self._store(finish(tenant, reports, self.stage_revisions[number], self.now))

    @invariant()
    def gone_tenants_leave_nothing_behind(self):
        for number, tenant in getattr(self, "tenants", {}).items():
            if tenant.stage is TenantStage.GONE:
                assert not any(other == number for _, other in self.in_flight), "operations in flight"
                assert self.remembered_until.get(number, 0.0) <= tenant.stage_since, "a key is remembered"
                assert not any(known.get(number) for known in self.accepting.values()), "still accepted"

    @invariant()
    def names_are_unique(self):
        tenants = getattr(self, "tenants", {}).values()
        names = [tenant.name for tenant in tenants if tenant.stage not in REMOVED]
        assert len(names) == len(set(names))


TenantLifecycles.TestCase.settings = settings(
    max_examples=100, stateful_step_count=50, deadline=None, derandomize=True
)
TestTenantLifecycles = TenantLifecycles.TestCase
