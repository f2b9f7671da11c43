"""Model checks of connection leases and rolling restarts in virtual time.

Breadth-first search over states, random walks and injected faults.
"""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test

from gaugehinge.drains.connection_counts import ORIGIN
from gaugehinge.rehearsal.drainsmodel import (
    BelievesAnyStore,
    BelievesForEver,
    BelievesWhoeverTold,
    ConfirmsByRun,
    FromArrival,
    KillIsProof,
    LeaseWithoutClosing,
    RaisesAtOnce,
    World,
    begun,
    kind,
    search,
    virtual_roll,
    walk,
)

MIN_STATES = 101_000


def test_every_order_of_events_of_three_nodes_stays_within_the_limit():
    states, transitions, violation = search(begun(World), MIN_STATES)
    assert violation is None, violation
    assert states >= MIN_STATES and transitions > 2 * MIN_STATES


def ask_moves(*nodes):
    return tuple(("ask", i) for i in nodes)


OPEN_MOVES, LATE_ANSWER = (("open", 0),), (("answer_late", 0), *[("tick",)] * 4)
# A grant moves to another node after a backup was made, and then a control plane starts: on that backup; on
# that backup, after a control plane that was waiting on it was killed; on its own store, after a control
# plane on another machine went on with a copy of it.
RESTORED_BACKUP = (("copy",), *ask_moves(1, 0, 0, 1, 1), ("open", 1), ("older",), *ask_moves(0))
RESTORED_THEN_KILLED = (*RESTORED_BACKUP, ("keeper",), *ask_moves(0))
MOVED_AND_BACK = (
    ("elsewhere",),
    *[("tick",)] * 6,
    *ask_moves(1, 1, 1),
    ("open", 1),
    ("back_home",),
    *ask_moves(0),
)


@pytest.mark.parametrize(
    "world_type, moves, max_states",
    [
        (kind(KillIsProof), OPEN_MOVES, 6_000),
        (kind(LeaseWithoutClosing), OPEN_MOVES, 6_000),
        (kind(RaisesAtOnce), OPEN_MOVES, 6_000),
        (kind(ConfirmsByRun), (("open", 2),), 40_000),
        (FromArrival, LATE_ANSWER, 25_000),
        (BelievesAnyStore, RESTORED_BACKUP, 6_000),
        (BelievesWhoeverTold, RESTORED_THEN_KILLED, 6_000),
        (BelievesForEver, MOVED_AND_BACK, 6_000),
    ],
    ids=lambda each: getattr(each, "__name__", None),
)
def test_the_search_finds_each_injected_fault(world_type, moves, max_states):
    _, _, path = search(begun(world_type, moves), max_states)
    assert path is not None
    world = begun(world_type, moves)
    for move in path:
        world.do(move)
    assert world.counted() > world.limit


@pytest.mark.parametrize("moves", [RESTORED_BACKUP, RESTORED_THEN_KILLED, MOVED_AND_BACK])
def test_a_returning_control_plane_trusts_only_a_current_store(moves):
    states, _, violation = search(begun(World, moves), 10_000)
    assert violation is None and states >= 10_000


def test_a_killed_control_plane_resumes_at_once():
    world = begun(World, (("keeper",), *ask_moves(1, 0, 0, 1, 1)))
    assert not world.now and world.nodes[1].holding.granted[ORIGIN] > 1


def test_random_walks_stay_within_the_limit():
    violations = [violation for seed in range(400) if (violation := walk(World, seed, 300))]
    assert not violations, violations[0]
    assert any(walk(kind(KillIsProof), seed, 300) for seed in range(100)), (
        "the same walks find an injected fault"
    )


class GeneratedWalk(RuleBasedStateMachine):
    """A world in which hypothesis chooses each move."""

    @initialize(limit=st.integers(4, 9), nodes=st.integers(2, 4))
    def begin(self, limit, nodes):
        self.world = World(max(limit, nodes), 1, nodes)

    @rule(choice=st.integers(0, 1000), want=st.integers(0, 6))
    def move(self, choice, want):
        moves = self.world.moves()
        move = moves[choice % len(moves)]
        if move[0] == "ask":
            self.world.nodes[move[1]].want = want
        self.world.do(move)

    @rule(count=st.integers(1, 9))
    def time_goes_by(self, count):
        for _ in range(count):
            self.world.do(("tick",))

    @rule(want=st.integers(0, 6))
    def all_ask_and_open(self, want):
        for i, node in enumerate(self.world.nodes):
            if not node.paused:
                node.want = want
                self.world.do(("ask", i))
                self.world.do(("open", i))

    @invariant()
    def within(self):
        world = getattr(self, "world", None)
        if world is not None:
            assert world.counted() <= world.allowed
            if world.keeper.former_leases_end <= world.now and not world.ground.suspension_reason:
                assert world.keeper.total_worst_case(world.slots.values(), ORIGIN) <= world.limit


def test_generated_walks_stay_within_the_limit():
    run_state_machine_as_test(
        GeneratedWalk,
        settings=settings(
            max_examples=60,
            stateful_step_count=60,
            deadline=None,
            derandomize=True,
            phases=[Phase.generate, Phase.shrink],
        ),
    )


@pytest.mark.parametrize("seed", range(30))
def test_restarts_under_faults_keep_within_the_unavailability_limits(seed):
    duration, violation, done = virtual_roll(24, 3, 3, seed, faults=True)
    assert not violation, violation
    assert done, f"restart not finished after {duration} s"


def test_the_duration_of_a_restart_is_independent_of_the_fleets_size():
    durations = [virtual_roll(12 * size, 3, 2 * size, 1)[0] for size in (1, 4, 16)]
    assert all(duration < 1.5 * durations[0] for duration in durations), (
        "the same fraction of the fleet restarts at a time, so the duration must not grow"
    )
