"""Difficult cases of the control plane's decisions on connection leases."""

from drains_support import DEFAULT_LIMITS, FLOORS

from gaugehinge.drains.connection_counts import DEFAULT_SERVER, ORIGIN
from gaugehinge.drains.lease_manager import LeaseManager
from gaugehinge.drains.lease_types import DurableState, NodeRecord, NodeReport

LEASE_DURATION, CLOSE_TIMEOUT = 10.0, 5.0


class LeaseHarness:
    """A lease manager with its stored records, and nodes whose reports the test chooses."""

    def __init__(self, max_nodes=4, reserve=0.0, started_at=-100.0, issuer="k1"):
        self.records, self.now, self.sequence = {}, 0.0, 0
        self.manager = LeaseManager(
            started_at,
            LEASE_DURATION,
            CLOSE_TIMEOUT,
            max_nodes,
            FLOORS,
            reserve,
            issuer,
            "life",
            DurableState(),
        )
        self.limits = dict(DEFAULT_LIMITS)

    def plan(self, **options):
        self.records |= self.manager.plan(self.records, self.limits, self.now, **options)
        self.manager.recorded_admissions = self.manager.state.admissions
        return self

    def report(self, name, demand=1, open_connections=0, run=1, **overrides):
        """Send a report that follows the latest lease; return the lease in the reply, or None."""
        self.sequence += 1
        record = self.records.get(name, NodeRecord(name))
        follows_lease = record.run == f"{name}.{run}" and bool(record.granted)
        values = {
            "number": record.number if follows_lease else 0,
            "issuer": record.issuer if follows_lease else "",
            "granted": record.granted if follows_lease else {},
            "admitted_by": "life" if name in self.records else "",
        } | overrides
        report = NodeReport(
            name,
            f"{name}.{run}",
            run,
            self.sequence,
            values["number"],
            values["issuer"],
            values["granted"],
            {ORIGIN: open_connections, DEFAULT_SERVER: open_connections},
            {ORIGIN: demand, DEFAULT_SERVER: 1},
            FLOORS if values["admitted_by"] else {},
            values["admitted_by"],
            values.get("closed", False),
        )
        if not self.manager.on_report(report, self.now):
            return None
        self.plan()
        return self.manager.issue(self.records[name], report, self.now) if name in self.records else None

    def worst_cases(self):
        return {name: record.worst_case(ORIGIN) for name, record in self.records.items()}

    def total(self):
        return self.manager.total_worst_case(self.records.values(), ORIGIN)


def test_a_grant_is_lowered_before_another_is_raised():
    harness = LeaseHarness()
    harness.report("a", demand=8)
    harness.report("b", demand=1)
    assert harness.report("a", demand=8, open_connections=8).granted[ORIGIN] >= 8 and harness.total() <= 12
    before = harness.records["b"].granted[ORIGIN]
    harness.report("b", demand=9, open_connections=1)
    assert harness.records["a"].granted[ORIGIN] < 8, "the grant was lowered"
    assert harness.records["b"].granted[ORIGIN] == before and harness.worst_cases()["a"] >= 8, (
        "the lowered grant is not confirmed yet"
    )
    harness.report("a", demand=8, open_connections=7)
    assert harness.worst_cases()["a"] >= 7, "the node reported seven open connections"
    lowered = harness.records["a"].granted[ORIGIN]
    harness.report("a", demand=8, open_connections=lowered)
    assert (
        harness.report("b", demand=9, open_connections=1).granted[ORIGIN] > before and harness.total() <= 12
    )


def test_a_silent_nodes_grant_is_free_after_lease_drift_and_close_timeout():
    harness = LeaseHarness()
    lease = harness.report("a", demand=8)
    harness.report("a", demand=8, open_connections=8)
    held = lease.granted[ORIGIN]
    for harness.now in (5.0, 10.2, 15.0):
        harness.report("b", demand=9, open_connections=1)
        assert harness.worst_cases()["a"] == held
    harness.now = 15.7
    harness.report("b", demand=9, open_connections=1)
    assert (
        harness.worst_cases()["a"] == 1
        and harness.report("b", demand=9, open_connections=1).granted[ORIGIN] > 4
    )
    assert harness.total() <= 12


def test_connections_of_a_killed_run_count_until_the_close_timeout_after_its_successor():
    harness = LeaseHarness()
    harness.report("a", demand=9)
    old_lease = harness.report("a", demand=9, open_connections=9)
    harness.now = 1.0
    assert harness.report("a", run=2).granted[ORIGIN] < 3, "connections of the earlier run may still be open"
    assert harness.worst_cases()["a"] >= old_lease.granted[ORIGIN]
    assert harness.report("a", run=1, open_connections=9) is None, (
        "a late report of the earlier run is rejected"
    )
    harness.now = 6.5
    harness.report("a", run=2, demand=5)
    assert harness.records["a"].lingering == {} and harness.records["a"].number > old_lease.number


def test_a_closed_node_frees_its_grant_and_one_that_misreports_is_detected():
    harness = LeaseHarness()
    harness.report("a", demand=9)
    harness.report("a", demand=9, open_connections=9)
    harness.report("a", closed=True)
    assert harness.worst_cases()["a"] == 1 and not harness.manager.misreporting
    harness.report("a", closed=True, open_connections=4, admitted_by="life")
    assert harness.manager.misreporting == {"a"} and harness.worst_cases()["a"] == 4, (
        "its connections count again"
    )


def test_no_more_than_max_nodes_are_admitted_until_one_is_forgotten():
    harness = LeaseHarness(max_nodes=2)
    assert harness.report("a") and harness.report("b") and harness.report("c") is None
    assert "2 nodes may exist" in harness.manager.rejected["c"]
    harness.now = 30.0
    harness.plan()
    assert harness.manager.has_expired("b", harness.now)
    harness.manager.forget_node("b")
    del harness.records["b"]
    assert harness.report("c") is not None


def test_a_restored_store_adopts_reported_leases_and_suspends_admissions():
    harness = LeaseHarness()
    harness.report("a", demand=1)
    backup = dict(harness.records)
    harness.report("b", demand=9)
    for _ in range(3):
        harness.report("a", demand=1, open_connections=1)
        harness.report("b", demand=9)
    held = harness.records["a"]
    assert held.number > backup["a"].number and held.granted[ORIGIN] < backup["a"].granted[ORIGIN]
    restored = LeaseHarness(started_at=0.0, issuer="k2")
    restored.records = dict(backup)
    reported = {"number": held.number, "issuer": held.issuer, "granted": held.granted, "admitted_by": "life"}
    restored.report("a", demand=11, open_connections=1, **reported)
    assert restored.worst_cases()["a"] == backup["a"].granted[ORIGIN], "the higher grant of the two"
    assert restored.records["a"].number > held.number and restored.records["a"].granted == held.granted
    assert "which this store does not know" in restored.manager.state.suspension_reason
    restored.report("b", demand=5, admitted_by="life")
    assert "b" in restored.records, "an admitted node uses its floors whatever is decided"
    assert restored.report("c", demand=5) is None
    restored.now = 40.0
    restored.report("a", demand=11, open_connections=1)
    assert restored.report("c", demand=5) is None and restored.total() <= 12


def test_a_lowered_limit_is_enforced_by_lowering_grants_and_keeps_the_reserve():
    harness = LeaseHarness(reserve=0.25)
    for name in "ab":
        harness.report(name, demand=9)
    for name in "ab":
        harness.report(name, demand=9, open_connections=1)
    assert harness.total() <= 9, "a quarter of the limit is kept in reserve"
    harness.limits[ORIGIN] = 6
    harness.plan()
    assert not harness.manager.limit_enforced(harness.records.values(), ORIGIN, 6, harness.now)
    for _ in range(2):
        for name in "ab":
            harness.report(name, demand=9, open_connections=1)
    assert harness.manager.limit_enforced(harness.records.values(), ORIGIN, 6, harness.now)


def test_raised_floors_take_effect_once_they_fit():
    harness = LeaseHarness(max_nodes=2)
    for _ in range(4):
        harness.report("a", demand=11)
        harness.report("b")
    assert harness.records["a"].granted[ORIGIN] == 11

    def restart_control_plane():
        manager = LeaseManager(
            -1e9,
            LEASE_DURATION,
            CLOSE_TIMEOUT,
            2,
            {ORIGIN: 3, DEFAULT_SERVER: 1},
            0.0,
            "k2",
            "life",
            harness.manager.state,
        )
        manager.recorded_admissions = 2
        manager.adopt_floors(harness.records.values())
        harness.manager = manager

    restart_control_plane()
    harness.report("b")
    assert harness.manager.floors[ORIGIN] == 1 and harness.records["b"].floors[ORIGIN] == 1
    assert harness.manager.total_worst_case(harness.records.values(), ORIGIN) <= DEFAULT_LIMITS[ORIGIN]
    for _ in range(6):
        harness.now += 11.0
        harness.report("a", demand=1)
        harness.report("b", demand=1)
    assert harness.records["b"].floors[ORIGIN] == 3 == harness.manager.floors[ORIGIN]
    assert harness.manager.total_worst_case(harness.records.values(), ORIGIN) <= DEFAULT_LIMITS[ORIGIN]


def test_tenant_demand_counts_beside_measured_demand():
    harness = LeaseHarness()
    harness.report("a", demand=1)
    harness.report("b", demand=1)
    harness.now = 20.0
    for _ in range(2):
        harness.report("a", demand=2)
        harness.report("b", demand=1)
        harness.plan(tenant_demand={ORIGIN: 9.0})
    assert harness.records["a"].granted[ORIGIN] > harness.records["b"].granted[ORIGIN]
