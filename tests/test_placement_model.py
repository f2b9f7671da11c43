"""A control plane and three routers in virtual time, under faults.

The faults are lost and delayed messages, pauses, restarts, drifting clocks and partitions. Both sides run the
real placement code, with a real store and the real calls between them; messages, clocks and processes are
simulated. After every step: no router may begin an attempt outside the zones that the control plane reports a
shard as confined to, no attempt that was begun earlier arrives outside them, and no write with an idempotency
key runs in two places. Mutants of both sides have to be found.
"""

import random
import tempfile
from contextlib import suppress
from itertools import count
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from gaugehinge.admin.config import PlacementConfig
from gaugehinge.admin.control_plane import ControlPlane
from gaugehinge.admin.errors import ApiError
from gaugehinge.admin.types import NewTenant
from gaugehinge.forms.units import Rate, Seconds
from gaugehinge.hosted.errors import FeedError
from gaugehinge.hosted.tenant_registry import TenantRegistry
from gaugehinge.net.endpoint_list import EndpointListUpdate, EndpointTarget
from gaugehinge.placement.api_types import ShardWanted
from gaugehinge.placement.control_plane import PlacementControlPlane
from gaugehinge.placement.lease_tracker import LeaseTracker
from gaugehinge.placement.lifecycle import Stage
from gaugehinge.placement.reconciler import ConditionTimer
from gaugehinge.placement.router import RouterPlacement
from gaugehinge.routing.types import (
    Attempt,
    DeduplicationScope,
    Effect,
    EndpointEntry,
    EndpointState,
    Operation,
    TrafficType,
)
from gaugehinge.store.errors import RevisionConflictError
from gaugehinge.store.store import Store
from gaugehinge.tenancy.feed import Report
from gaugehinge.tenancy.lease import HeldLease, LeaseTable
from gaugehinge.tenancy.lifecycle import TenantAction

LEASE, ISOLATION_LIMIT, FLIGHT_TIME, DEDUPLICATION_WINDOW = 2.0, 5.0, 0.5, 3.0
PLACEMENT_SETTINGS = PlacementConfig(
    True,
    {"eu": ("a",), "us": ("b",), "ap": ("c",)},
    Rate(1000.0),
    Seconds(ISOLATION_LIMIT),
    Seconds(FLIGHT_TIME),
    Seconds(DEDUPLICATION_WINDOW),
    Seconds(0.0),
    8,
    100_000,
)
DEDUPLICATED_WRITE = TrafficType(
    0, Effect.WITH_IDEMPOTENCY_KEY, DeduplicationScope.ALL, DEDUPLICATION_WINDOW, 1.0, 1.0, 0.0
)
SERVERS = [(10 + n, f"server-{n}", "abc"[n % 3]) for n in range(6)]
SHARDS = {"x": "x/", "part": "x/y/", "z": "z/"}
KEYS = [b"1/x/1", b"1/x/y/1", b"1/z/1"]
CLOCK_RATES = [0.996, 1.0, 1.004]  # clock rates of routers; they differ by less than lease.MAX_CLOCK_DRIFT


class Suspension:
    """Suspends an open call of the feed until the simulation resumes it."""

    def __await__(self):
        yield self


def run_to_completion(coroutine):
    """Run a coroutine that must not suspend, and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine suspended")


class StoreStub:
    """An AsyncStore without a thread."""

    def __init__(self, path, simulation) -> None:
        self.store, self.simulation = Store(path), simulation
        self.store.connection.execute("PRAGMA synchronous=OFF")

    @property
    def revision(self) -> int:
        return self.store.revision

    def clock(self) -> float:
        return 1e9 + self.simulation.now

    async def run_sync(self, work, *args):
        return work(*args)

    async def apply_planned(self, plan, who, **more):
        now = self.clock()
        return self.store.apply(plan(self.store, now), who, now, **more)

    async def changes(self, since, most, wait):
        if since > self.revision:
            return None
        if since and wait:
            await Suspension()
        return self.store.changes(since, most)


class RouterStub:
    """One router process: the real placement and tenant registry, with stubs for what they use."""

    def __init__(self, simulation, number: int, router_type) -> None:
        self.simulation, self.number = simulation, number
        self.run, self.rate = f"run-{next(simulation.runs)}", simulation.rates[number]
        self.paused = False
        self.operation = None  # accepted, but not sent yet
        self.registry = TenantRegistry()
        deployment = SimpleNamespace(origin_kind="origin", max_retry_after=2.0)
        dispatcher = SimpleNamespace(reject=self.reject)
        pool = SimpleNamespace(pending={})
        configuration = SimpleNamespace(settings=SimpleNamespace(deployment=deployment))
        service = SimpleNamespace(dispatcher=dispatcher, pool=pool, configuration=configuration)
        follower = SimpleNamespace(
            limit_wait=lambda seconds: None, limit_slack=lambda seconds: None, registry=self.registry
        )
        self.pool = pool
        self.placement = router_type(service, follower, clock=self.clock)
        entries = [EndpointEntry(n, zone, "std", 0, EndpointState.UP, 5.0, 1.0) for n, _, zone in SERVERS]
        names = [uid for _, uid, _ in SERVERS]
        targets = [EndpointTarget(each, uid, ("h", 1)) for each, uid in zip(entries, names, strict=True)]
        self.placement.transform(EndpointListUpdate(1, True, tuple(targets)), False)

    def clock(self) -> float:
        return 1000.0 * (self.number + 1) + self.rate * self.simulation.now

    def reject(self, operation, reply) -> None:
        operation.finished = True

    def report(self) -> Report:
        registry = self.registry
        parts = {"placement": msgspec.Raw(self.placement.report())}
        name = f"router-{self.number}"
        return Report(
            name, self.run, registry.store, registry.revision, 1.0, {}, 0, parts, registry.revision_digest
        )

    def hear(self, feed, asked_at) -> None:
        with suppress(FeedError):
            self.registry.follow(feed)
            self.placement.hear(feed, asked_at)

    def receive(self, key: bytes, is_retry: bool) -> Operation | None:
        operation = Operation(
            next(self.simulation.runs), DEDUPLICATED_WRITE, key, 0, True, is_retry, 0.0, 9.0
        )
        return operation if self.placement.constrain(operation) is None else None

    def begin_attempt(self, operation, zone: str) -> Attempt | None:
        """Begin an attempt at a server of a zone, if the router allows it."""
        ident = next(n for n, _, each in SERVERS if each == zone)
        attempt = Attempt(operation, SimpleNamespace(ident=ident, zone=zone, origin=False), 0, 0.0)
        return (
            attempt
            if not operation.finished and self.placement.may_send(attempt) and not operation.finished
            else None
        )


class Simulation:
    """The simulated processes and messages, and the rules that are checked."""

    def __init__(
        self,
        folder,
        router_type=RouterPlacement,
        control_plane_type=PlacementControlPlane,
        rates=(1.0, 1.0, 1.0),
    ) -> None:
        self.now, self.runs, self.rates = 0.0, count(1), rates
        self.router_type, self.control_plane_type, self.path = (
            router_type,
            control_plane_type,
            folder / "store.db",
        )
        self.calls = []  # on their way to the control plane: router, report, when it was sent
        self.open_calls = []  # being answered by the control plane
        self.answers = []  # on their way back to the routers
        self.in_flight = []  # attempts: time of arrival, key, zone
        self.completed_writes = []  # writes: key, regions, when servers forget them
        self.confined_checks = 0
        self.partitioned = set()  # routers whose calls are only delivered message by message
        self.store_stub = StoreStub(self.path, self)
        self.start_control_plane()
        run_to_completion(self.administration.tenants.create(NewTenant("acme", allowance=1000.0), "t"))
        run_to_completion(self.administration.tenants.transition("acme", TenantAction.ACTIVATE, None, "t"))
        self.routers = [RouterStub(self, number, router_type) for number in range(3)]

    def start_control_plane(self) -> None:
        self.administration = ControlPlane(self.store_stub, None, None)
        run_to_completion(self.administration.prepare())
        self.administration.leases.enable(LEASE)
        self.placement = self.control_plane_type(
            self.administration, PLACEMENT_SETTINGS, clock=lambda: self.now
        )
        self.administration.extensions.append(self.placement)
        for _, _, call in self.open_calls:
            call.close()
        self.open_calls.clear()

    # -- steps

    def advance(self, span: float) -> None:
        end = self.now + span
        for at, key, zone in sorted(self.in_flight):
            if at <= end:
                self.now = at
                self.check_attempt(key, zone, "an attempt that was sent arrived")
        self.in_flight = [each for each in self.in_flight if each[0] > end]
        self.now = end

    def send_call(self, number: int, again: bool) -> None:
        """Let a router call; `again`: even if its previous call, which it gave up, is still under way."""
        router = self.routers[number]
        under_way = any(each[0] is router for each in [*self.calls, *self.open_calls, *self.answers])
        if not router.paused and (again or not under_way):
            self.calls.append((router, router.report(), router.clock()))
            del self.calls[:-6]

    def deliver_call(self, position: int, lost: bool) -> None:
        if self.calls:
            router, report, asked_at = self.calls.pop(position % len(self.calls))
            if not lost:
                self.open_calls.append((router, asked_at, self.administration.feed.poll(report)))
                self.resume_call(len(self.open_calls) - 1)

    def resume_call(self, position: int) -> None:
        """Start an open call, or resume it. One that has to wait for changes suspends at its first step."""
        if not self.open_calls:
            return
        router, asked_at, call = self.open_calls[position % len(self.open_calls)]
        try:
            call.send(None)
        except StopIteration as end:
            self.answers.append((router, end.value, asked_at))
            self.open_calls.remove((router, asked_at, call))
            del self.answers[:-6]
        while len(self.open_calls) > 4:
            self.open_calls.pop(0)[2].close()

    def deliver_answer(self, position: int, lost: bool) -> None:
        if self.answers:
            position %= len(self.answers)
            router, feed, asked_at = self.answers[position]
            if not lost and router.paused:
                return  # the answer waits in the kernel's buffer
            del self.answers[position]
            if not lost and router in self.routers:
                router.hear(feed, asked_at)

    def complete_call(self, number: int) -> None:
        """Run a whole call without faults."""
        router = self.routers[number]
        if router.paused or number in self.partitioned:
            return
        asked_at, call = router.clock(), self.administration.feed.poll(router.report())
        while True:
            try:
                call.send(None)
            except StopIteration as end:
                router.hear(end.value, asked_at)
                return

    def pause(self, which: int | None) -> None:
        for router in self.routers:
            router.paused = router.number == which

    def restart(self, number: int) -> None:
        self.routers[number] = RouterStub(self, number, self.router_type)

    def restart_control_plane(self) -> None:
        self.start_control_plane()

    def reconcile(self) -> None:
        with suppress(RevisionConflictError):
            run_to_completion(self.placement.reconciler.reconcile())

    def put(self, shard: str, regions: tuple[str, ...], mode: str) -> None:
        with suppress(ApiError):
            stored = self.placement.index.shards.get(f"1/{shard}")
            match = stored[0].version if stored and not stored[0].is_ending else None
            wanted = ShardWanted(regions, (SHARDS[shard],), mode, 1.0)
            run_to_completion(self.placement.changes.put("acme", shard, wanted, match, "t"))

    def remove(self, shard: str) -> None:
        stored = self.placement.index.shards.get(f"1/{shard}")
        if stored:
            with suppress(ApiError):
                run_to_completion(self.placement.changes.remove("acme", shard, stored[0].version, "t"))

    def receive_operation(self, number: int, key: int) -> None:
        """Let an operation arrive at a router; it stays pending there."""
        router = self.routers[number]
        if not router.paused:
            router.operation = router.receive(KEYS[key], False) or router.operation

    def send_attempt(self, number: int, zone: str, delay_fraction: float) -> None:
        """Send an attempt of the pending operation; it arrives within FLIGHT_TIME."""
        router = self.routers[number]
        if router.paused or router.operation is None:
            return
        attempt = router.begin_attempt(router.operation, zone)
        if attempt is not None:
            operation, router.operation = router.operation, None
            self.in_flight.append((self.now + delay_fraction * FLIGHT_TIME, operation.key, zone))
            self.completed_writes.append((operation.key, operation.regions, self.now + DEDUPLICATION_WINDOW))

    def retry_write(self, number: int, write_index: int, zone: str) -> None:
        """Let a client retry an earlier write at any router."""
        self.completed_writes = [each for each in self.completed_writes if each[2] > self.now]
        router = self.routers[number]
        if router.paused or not self.completed_writes:
            return
        key, regions, _ = self.completed_writes[write_index % len(self.completed_writes)]
        operation = router.receive(key, True)
        if operation is not None and router.begin_attempt(operation, zone) is not None:
            message = f"a write of {key} ran in {regions}, and in {operation.regions}"
            assert operation.regions == regions, message

    # -- rules

    def confined_zones(self) -> dict[bytes, set[str]]:
        """Return the zones that keys are reported as confined to, by the current shard records."""
        found = {}
        self.placement.index.refresh(self.store_stub.store)
        rows = [row for row, _ in self.placement.index.shards.values() if row.stage is not Stage.SCHEDULED]
        for key in KEYS:
            fits = [r for r in rows if key[2:].decode().startswith(r.prefixes[0])]
            row = max(fits, key=lambda r: len(r.prefixes[0]), default=None)
            if row is not None and self.placement.is_confined(row):
                found[key] = {zone for zones in row.current.zones for zone in zones}
        self.confined_checks += len(found)
        return found

    def check_attempt(self, key: bytes, zone: str, event: str) -> None:
        confined = self.confined_zones()
        assert zone in confined.get(key, zone), f"{event}: {key} in {zone}, confined to {confined[key]}"

    def check_invariants(self) -> None:
        confined = self.confined_zones()
        if not confined:
            return
        for router in self.routers:
            if router.paused:
                continue
            for key, zones in confined.items():
                fresh = router.receive(key, False)
                pending = router.operation if router.operation and router.operation.key == key else None
                for zone in set("abc") - zones:
                    for operation in (fresh, pending):
                        if operation is None:
                            continue
                        before = operation.regions, operation.finished
                        message = f"{self.now:.2f}: router {router.number} may place {key} in {zone}"
                        assert router.begin_attempt(operation, zone) is None, (
                            f"{message}, confined to {zones}"
                        )
                        operation.regions, operation.finished = before

    def random_step(self, draw: random.Random) -> None:
        """Take one random step, mostly one that lets the simulation make progress."""
        number, zone = draw.randrange(3), draw.choice("abc")
        steps = [
            (12, lambda: self.advance(draw.choice((0.05, 0.2, 0.5, 1.0)))),
            (15, lambda: [self.complete_call(each) for each in range(3)]),
            (1.2, lambda: setattr(self, "partitioned", draw.choice([set(), set(), {0}, {1}, {2}, {0, 1}]))),
            (5, lambda: self.send_call(draw.choice([number, *self.partitioned]), draw.random() < 0.1)),
            (5, lambda: self.deliver_call(draw.randrange(6), draw.random() < 0.2)),
            (5, lambda: self.resume_call(draw.randrange(6))),
            (3, lambda: self.deliver_answer(draw.randrange(6), draw.random() < 0.2)),
            (2, lambda: self.pause(draw.choice([None, None, 0, 1, 2]))),
            (0.5, lambda: self.restart(number)),
            (0.3, self.restart_control_plane),
            (12, self.reconcile),
            (
                3,
                lambda: self.put(
                    draw.choice(sorted(SHARDS)),
                    tuple(draw.sample(("eu", "us", "ap"), draw.choice((1, 1, 2)))),
                    draw.choice(("only", "only", "only", "prefer")),
                ),
            ),
            (0.5, lambda: self.remove(draw.choice(sorted(SHARDS)))),
            (5, lambda: self.receive_operation(number, draw.randrange(3))),
            (6, lambda: self.send_attempt(number, zone, draw.random())),
            (5, lambda: self.retry_write(number, draw.randrange(9), zone)),
        ]
        weights = [weight for weight, _ in steps]
        draw.choices([each for _, each in steps], weights)[0]()
        self.check_invariants()


def warm_up(simulation: Simulation) -> None:
    """Run until the control plane knows the servers, the isolation limit of former runs is over, and a shard
    is confined."""
    for _ in range(3):
        for number in range(3):
            simulation.complete_call(number)
        simulation.advance(ISOLATION_LIMIT / 2)
    simulation.put("x", ("eu",), "only")
    for _ in range(12):
        for number in range(3):
            simulation.complete_call(number)
        simulation.reconcile()
        simulation.advance(0.4)
    assert Stage.CONFINED in {row.stage for row, _ in simulation.placement.index.shards.values()}


def run_simulation(folder, seed: int, steps: int, rates=(), **mutant) -> Simulation:
    draw = random.Random(seed)
    folder.mkdir()
    simulation = Simulation(
        folder, rates=rates or tuple(draw.choice(CLOCK_RATES) for _ in range(3)), **mutant
    )
    try:
        warm_up(simulation)
        for _ in range(steps):
            simulation.random_step(draw)
    finally:
        simulation.store_stub.store.close()
    return simulation


@pytest.fixture
def folder():
    """A folder in memory if the machine has /dev/shm, as no test here depends on a disk."""
    with tempfile.TemporaryDirectory(dir="/dev/shm" if Path("/dev/shm").is_dir() else None) as made:
        yield Path(made)


def test_no_attempt_leaves_the_confined_zones_under_faults(folder):
    checks = sum(run_simulation(folder / str(seed), seed, 250).confined_checks for seed in range(60))
    assert checks > 2000, "shards were confined too rarely to show anything"


class LeaseCountedFromAnswer(RouterPlacement):
    """Counts its lease from when the answer arrived, not from when the call was sent."""

    def hear(self, feed, asked_at) -> None:
        super().hear(feed, self.clock())


class LeaseUncheckedBeforeAttempt(RouterPlacement):
    """Checks its lease only for new operations, not before each attempt."""

    def may_send(self, attempt) -> bool:
        lease, self.lease = self.lease, HeldLease(1e12)
        try:
            return super().may_send(attempt)
        finally:
            self.lease = lease


class PlacementUncheckedBeforeAttempt(RouterPlacement):
    """Sends a pending operation by the placement at the time of its arrival."""

    def may_send(self, attempt) -> bool:
        return (
            attempt.operation.finished is False
            and any(zones is None or attempt.endpoint.zone in zones for zones in attempt.operation.regions)
            and self.lease.is_valid(self.clock())
        )


class RetriesNotBlocked(RouterPlacement):
    """Handles retries of deduplicated writes like any operation."""

    def constrain(self, operation):
        operation.is_client_retry = False
        return super().constrain(operation)


class SentRevisionCountedAsFollowed(PlacementControlPlane):
    """Counts a revision as followed by a router once it was sent to it."""

    def on_report(self, report, now) -> None:
        super().on_report(report, now)
        for granted in self.leases.leases.granted.values():
            granted.revision = self.index.revision


class FormerLeasesIgnored(PlacementControlPlane):
    """Ignores the leases that a former run granted."""

    def __init__(self, *args, **more) -> None:
        super().__init__(*args, **more)
        self.leases.leases.started_at = self.leases.isolation_leases.started_at = -1e9


class LeaseTrackerWithoutIsolation(LeaseTracker):
    """Does not count routers that continue to serve without a lease."""

    def routers_behind(self, revision, without_lease):
        return super().routers_behind(revision, False)


class IsolationLimitIgnored(PlacementControlPlane):
    """Waits only for leases, even if routers may act without one."""

    def __init__(self, *args, **more) -> None:
        super().__init__(*args, **more)
        self.leases = self.reconciler.leases = LeaseTrackerWithoutIsolation(LEASE, self.settings, self.clock)


class NoWaitTimer(ConditionTimer):
    """Takes a condition that holds as one that has lasted long enough."""

    def has_lasted(self, key, holds, seconds):
        return super().has_lasted(key, holds, 0.0)


class DeduplicationWaitSkipped(PlacementControlPlane):
    """Announces a new placement at once, and blocks retries no longer than that takes."""

    def __init__(self, *args, **more) -> None:
        super().__init__(*args, **more)
        self.reconciler.timer = NoWaitTimer(self.clock)


@pytest.mark.parametrize(
    "mutant",
    [
        LeaseCountedFromAnswer,
        LeaseUncheckedBeforeAttempt,
        PlacementUncheckedBeforeAttempt,
        RetriesNotBlocked,
        SentRevisionCountedAsFollowed,
        FormerLeasesIgnored,
        IsolationLimitIgnored,
        DeduplicationWaitSkipped,
    ],
)
def test_each_mutant_is_found(folder, mutant):
    more = {"router_type": mutant} if issubclass(mutant, RouterPlacement) else {"control_plane_type": mutant}
    for seed in range(150):
        try:
            run_simulation(folder / str(seed), seed, 250, **more)
        except AssertionError:
            return
    raise AssertionError(f"{mutant.__doc__} was not found")


def test_clock_drift_beyond_the_stated_bound_is_detected(folder):
    """The bound on clock drift is needed: a router whose clock runs at a third of the rate breaks rules."""
    with pytest.raises(AssertionError, match="may place|arrived|ran in"):
        for seed in range(60):
            run_simulation(folder / str(seed), seed, 250, rates=(0.33, 1.0, 1.0))


SHARD = st.sampled_from(sorted(SHARDS))


class Machine(RuleBasedStateMachine):
    """The same steps, chosen by hypothesis and shrunk if a rule is broken."""

    folders = None
    numbers = count()

    def __init__(self) -> None:
        super().__init__()
        folder = self.folders / str(next(self.numbers))
        folder.mkdir()
        self.simulation = Simulation(folder, rates=(0.996, 1.0, 1.004))
        warm_up(self.simulation)

    @rule(span=st.sampled_from([0.05, 0.3, 1.0, 2.5]))
    def advance(self, span):
        self.simulation.advance(span)

    @rule(partitioned=st.sets(st.integers(0, 2)))
    def talk(self, partitioned):
        self.simulation.partitioned = partitioned
        for number in range(3):
            self.simulation.complete_call(number)
        self.simulation.reconcile()

    @rule(number=st.integers(0, 2), position=st.integers(0, 5), lost=st.booleans())
    def call(self, number, position, lost):
        self.simulation.send_call(number, lost)
        self.simulation.deliver_call(position, lost)

    @rule(position=st.integers(0, 5), lost=st.booleans())
    def hear(self, position, lost):
        self.simulation.resume_call(position)
        self.simulation.deliver_answer(position, lost)

    @rule(which=st.sampled_from([None, 0, 1, 2]))
    def pause(self, which):
        self.simulation.pause(which)

    @rule(number=st.integers(0, 3))
    def restart(self, number):
        if number < 3:
            self.simulation.restart(number)
        else:
            self.simulation.restart_control_plane()

    @rule(shard=SHARD, region=st.sampled_from(["eu", "us", "ap"]), only=st.booleans())
    def put(self, shard, region, only):
        self.simulation.put(shard, (region,), "only" if only else "prefer")

    @rule(shard=SHARD)
    def remove(self, shard):
        self.simulation.remove(shard)

    @rule(
        number=st.integers(0, 2),
        key=st.integers(0, 2),
        zone=st.sampled_from("abc"),
        delay_fraction=st.floats(0, 1),
    )
    def operate(self, number, key, zone, delay_fraction):
        self.simulation.send_attempt(number, zone, delay_fraction)
        self.simulation.receive_operation(number, key)

    @rule(number=st.integers(0, 2), write_index=st.integers(0, 5), zone=st.sampled_from("abc"))
    def repeat(self, number, write_index, zone):
        self.simulation.retry_write(number, write_index, zone)

    @invariant()
    def holds(self):
        self.simulation.check_invariants()

    def teardown(self):
        self.simulation.store_stub.store.close()


def test_no_attempt_leaves_the_confined_zones_in_a_state_machine(folder):
    Machine.folders = folder
    run_state_machine_as_test(
        Machine,
        settings=settings(
            max_examples=25,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_control_plane_counts_a_lease_as_expired_only_after_its_router():
    """The lease arithmetic alone, for all clock rates and delays: request sent, granted, expired."""
    draw = random.Random(5)
    for _ in range(20_000):
        lease, request_delay, answer_delay = (
            draw.uniform(0.3, 30.0),
            draw.uniform(0.0, 9.0),
            draw.uniform(0.0, 9.0),
        )
        fast, slow = draw.choice([(1.0, 0.9905), (1.0095, 1.0), (1.0047, 0.9953), (1.0, 1.0)])
        held_lease, lease_table = HeldLease(), LeaseTable(-1e6, lease, in_flight_grace=0.5)
        held_lease.renew(0.0, lease)  # by the router's clock, when it sent its request
        lease_table.grant("r", "run", 1, lease, request_delay * fast)
        elapsed = 0.0
        while lease_table.active_before(2, elapsed * fast):
            elapsed += 0.01 + lease / 200.0
        assert not held_lease.is_valid(elapsed * slow), (lease, request_delay, answer_delay, fast, slow)
        assert not held_lease.is_valid((elapsed - 0.5) * slow), (
            "the router must have stopped the time of flight earlier"
        )
