"""Model test of redirections in virtual time: slot moves, drains, lost connections and replies in any order.

Checked after every step: no effect happens twice, an operation gets one final reply in time, a rejected
operation was not executed, and nothing is sent to a server that is known to be draining.
"""

from types import SimpleNamespace

import pytest
from hypothesis import Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from gaugehinge.cluster.build import cluster_extensions
from gaugehinge.cluster.resp3 import encode
from gaugehinge.cluster.server_codec import interpret_reply
from gaugehinge.cluster.slot_map_tracker import (
    FETCH_TIMEOUT,
    IDLE_FETCH_INTERVAL,
    LOWER_EPOCHS_BEFORE_ACCEPTED,
    MIN_FETCH_INTERVAL,
    SlotMapTracker,
)
from gaugehinge.cluster.slot_routing import SlotRouting
from gaugehinge.cluster.slots import (
    SLOTS,
    Node,
    Redirection,
    SlotMap,
    even_slot_map,
    parse_slots_reply,
    slot_of,
)
from gaugehinge.emulator.shards import Shards, Wire
from gaugehinge.emulator.virtual import VirtualTime
from gaugehinge.net.codec import RequestPayload
from gaugehinge.net.dispatcher import Dispatcher
from gaugehinge.net.endpoint_list import EndpointListUpdate, EndpointTarget
from gaugehinge.routing import retry_safety
from gaugehinge.routing.endpoint_selection import EndpointSelection
from gaugehinge.routing.retries import MAX_REDIRECTS
from gaugehinge.routing.router import Router
from gaugehinge.routing.types import (
    Action,
    Decision,
    DeduplicationScope,
    Deployment,
    Effect,
    EndpointEntry,
    EndpointState,
    Operation,
    Outcome,
    TrafficType,
)

SERVER_NAMES = ["a", "b", "c", "d"]
KEYS = [b"key-%d" % i for i in range(6)]
TRAFFIC_TYPES = tuple(
    TrafficType(row, effect, DeduplicationScope.ALL, 0.0, 0.5, 1.0, 0.2)
    for row, effect in enumerate((Effect.IDEMPOTENT, Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT))
)
DEPLOYMENT = Deployment(
    seed=5,
    router_number=0,
    router_count=1,
    traffic_types=TRAFFIC_TYPES,
    tenants=(),
    cache_aside=False,
    origin_kind=None,
    clock_granularity=0.001,
    max_attempts=4,
    cold_capacity=0.5,
    warm_up_time=1.0,
    overload_multiple=2.0,
    overload_time=1.0,
    may_cancel=True,
    may_gossip=False,
    must_poll=True,
    max_retry_after=2.0,
    over_quota_weight=1.0,
    weight_by_work=False,
)


class VirtualTimers(VirtualTime):
    """Virtual time with the interface of a timer queue."""

    current_lag = lag = 0.0

    def call_at(self, when, action, *arguments):
        due = SimpleNamespace(action=action)
        VirtualTime.call_at(self, when, lambda: due.action and due.action(*arguments))
        return due

    def cancel(self, due) -> None:
        due.action = None


class ManualConnections:
    """A connection pool whose attempts proceed only when the test says so."""

    def __init__(self) -> None:
        self.endpoints: dict = {}
        self.pending: dict = {}
        self.sent: list = []

    def on_endpoints_changed(self, update) -> None:
        for listing, uid, address in update.targets:
            if address is None:
                self.endpoints.pop(listing.ident, None)
            else:
                self.endpoints[listing.ident] = SimpleNamespace(address=address, uid=uid, ident=listing.ident)

    def send(self, attempt, payload, timeout, dialect) -> None:
        asking, attempt.operation.ask_redirect = attempt.operation.ask_redirect, False
        self.pending[attempt] = (payload, asking)
        self.sent.append(attempt)

    def cancel(self, attempt) -> None:
        self.pending.pop(attempt, None)


class ClusterMachine(RuleBasedStateMachine):
    """One router in front of an emulated cluster; an attempt proceeds only through a rule."""

    steps = 0

    @initialize()
    def begin(self) -> None:
        self.time = VirtualTimers(100.0)
        self.shards = Shards(self.time.clock)
        for number, name in enumerate(SERVER_NAMES):
            self.shards.add(name, ("h", number + 1))
        self.shards.deal(SERVER_NAMES)
        self.dispatcher = Dispatcher(DEPLOYMENT, self.time)
        self.connections = ManualConnections()
        self.dispatcher.connect(self.connections, lambda: None, lambda *_arguments: None)
        self.map_tracker = SlotMapTracker(3, self.time.now)
        endpoints = self.dispatcher.router.endpoints
        self.slot_routing = SlotRouting(
            self.map_tracker,
            self.connections,
            self.time,
            lambda ident: endpoints[ident].state if ident in endpoints else None,
            False,
        )
        self.dispatcher.install(cluster_extensions(self.slot_routing))
        self.states = dict.fromkeys(SERVER_NAMES, EndpointState.UP)
        self.started = dict.fromkeys(SERVER_NAMES, 0.0)
        self._publish_endpoint_list()
        self.replies_by_operation: dict[int, list] = {}
        self.operations: dict[int, Operation] = {}
        self.sent_at_drain: set[str] = set()
        self.count = 0

    def _publish_endpoint_list(self) -> None:
        targets = tuple(
            EndpointTarget(
                EndpointEntry(number + 1, "z", "std", 0, self.states[name], self.started[name]),
                name,
                None if self.states[name] is EndpointState.GONE else ("h", number + 1),
            )
            for number, name in enumerate(SERVER_NAMES)
        )
        self.dispatcher.on_endpoints_changed(EndpointListUpdate(1, False, targets))

    # -- clients

    @rule(key=st.sampled_from(KEYS), kind=st.integers(0, 2))
    def ask(self, key, kind):
        self.count += 1
        number = self.count
        words = [[b"GET", key], [b"SET", key, b"v"], [b"RPUSH", b"l" + key, b"t%d" % number]][kind]
        now = self.time.now
        operation = Operation(0, TRAFFIC_TYPES[kind], words[1], -1, kind > 0, False, now, now + 2.0)
        self.replies_by_operation[number], self.operations[number] = [], operation
        payload = RequestPayload(b"%d" % number, words[1], (b"", b""), b"", b"", b"", None, words)
        self.dispatcher.submit(
            operation, payload, lambda reply: self.replies_by_operation[number].append((reply, self.time.now))
        )

    # -- attempts

    def _attempt(self, index: int):
        attempt = list(self.connections.pending)[index % len(self.connections.pending)]
        return attempt, *self.connections.pending[attempt]

    def _execute(self, attempt, payload, asking) -> bytes:
        shard = self.shards.all[SERVER_NAMES[attempt.endpoint.ident - 1]]
        value = self.shards.answer(shard, Wire(asking=asking), payload.verbatim_command)
        return value, encode(value)

    def _finish(self, attempt, outcome, value=None) -> None:
        del self.connections.pending[attempt]
        self.dispatcher.on_attempt_finished(attempt, outcome, self.time.now - attempt.sent_at, value)

    @precondition(lambda self: self.connections.pending)
    @rule(index=st.integers(0, 50))
    def answer_attempt(self, index):
        attempt, payload, asking = self._attempt(index)
        if not self.shards.all[SERVER_NAMES[attempt.endpoint.ident - 1]].up:
            self._finish(attempt, Outcome.CONNECT_FAILED)
            return
        reply = interpret_reply(*self._execute(attempt, payload, asking))
        self._finish(attempt, reply.outcome, reply.value)

    @precondition(lambda self: self.connections.pending)
    @rule(index=st.integers(0, 50), ran=st.booleans())
    def lose_connection(self, index, ran):
        attempt, payload, asking = self._attempt(index)
        if ran and self.shards.all[SERVER_NAMES[attempt.endpoint.ident - 1]].up:
            self._execute(attempt, payload, asking)
        self._finish(attempt, Outcome.CONNECTION_LOST)

    @precondition(lambda self: self.connections.pending)
    @rule(index=st.integers(0, 50))
    def never_connect(self, index):
        self._finish(self._attempt(index)[0], Outcome.CONNECT_FAILED)

    # -- servers

    @rule(key=st.sampled_from(KEYS), to=st.sampled_from(SERVER_NAMES), list_key=st.booleans())
    def begin_move(self, key, to, list_key):
        slot = slot_of(b"l" + key if list_key else key)
        source = self.shards.all[self.shards.owner[slot]]
        if source.name != to and slot not in source.migrating:
            self.shards.begin_move(slot, to)

    @rule(key=st.sampled_from(KEYS), list_key=st.booleans())
    def end_move(self, key, list_key):
        slot = slot_of(b"l" + key if list_key else key)
        if slot in self.shards.all[self.shards.owner[slot]].migrating:
            self.shards.end_move(slot)

    @rule(
        name=st.sampled_from(SERVER_NAMES),
        state=st.sampled_from([EndpointState.DRAINING, EndpointState.UP, EndpointState.GONE]),
    )
    def list_changes(self, name, state):
        if (
            state is not EndpointState.UP
            and sum(each is EndpointState.UP for each in self.states.values()) <= 2
        ):
            return
        if self.states[name] is EndpointState.GONE and state is EndpointState.UP:
            self.started[name] = self.time.now
        self.states[name] = state
        self.connections.sent.clear()
        self._publish_endpoint_list()

    @rule(name=st.sampled_from(SERVER_NAMES), old=st.booleans())
    def stale_view(self, name, old):
        shard = self.shards.all[name]
        shard.deaf_to_news = old
        if not old:
            shard.view[:] = self.shards.owner

    @rule(
        slot_of_key=st.sampled_from(KEYS),
        first=st.sampled_from(SERVER_NAMES),
        second=st.sampled_from(SERVER_NAMES),
    )
    def loop_redirections(self, slot_of_key, first, second):
        for name, target in ((first, second), (second, first)):
            self.shards.all[name].deaf_to_news = True
            self.shards.all[name].view[slot_of(slot_of_key)] = target

    @rule(name=st.sampled_from(SERVER_NAMES))
    def fetch(self, name):
        if self.map_tracker.next_fetch_at(self.time.now) > self.time.now or not self.map_tracker.begin_fetch(
            [("h", 1)], self.time.now
        ):
            return
        shard = self.shards.all[name]
        slot_map = parse_slots_reply(self.shards.answer(shard, Wire(), [b"CLUSTER", b"SLOTS"]), shard.address)
        self.map_tracker.on_fetched(SlotMap(slot_map.ranges, shard.epoch), self.time.now)

    @rule(span=st.sampled_from([0.001, 0.02, 0.3, 1.0]))
    def time_passes(self, span):
        self.time.run(self.time.now + span)

    # -- the guarantees

    @invariant()
    def guarantees_hold(self):
        ClusterMachine.steps += 1
        if not hasattr(self, "replies_by_operation"):
            return
        executions: dict = {}
        for each in self.shards.ran:
            if each.words[0] == b"RPUSH":
                executions[each.words[2]] = executions.get(each.words[2], 0) + 1
        assert all(count == 1 for count in executions.values()), "an effect happened twice"
        for number, replies in self.replies_by_operation.items():
            operation = self.operations[number]
            assert len(replies) <= 1, "two final replies"
            assert replies or self.time.now <= operation.deadline + 0.01, "no final reply in time"
            if replies:
                reply, replied_at = replies[0]
                assert replied_at <= operation.deadline + 0.006
                assert not (reply.startswith(b"-BUSY") and b"t%d" % number in executions), (
                    "rejected, but executed"
                )
            assert operation.redirect_count <= MAX_REDIRECTS + 1
        for attempt in self.connections.sent:
            name = SERVER_NAMES[attempt.endpoint.ident - 1]
            assert self.states[name] is EndpointState.UP, "sent to a server known to be draining"
        self.connections.sent.clear()


# Hypothesis also draws constants found in the loaded modules, so a run of the whole suite takes other steps
# than this file alone: 9,574 against 10,079 with 220 examples. A third more examples leaves room for that.
ClusterMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=50, deadline=None, derandomize=True
)


SEARCHED_SEEDS = 3


class TestRedirections(ClusterMachine.TestCase):
    """Runs at least 10,000 steps."""

    def runTest(self):
        ClusterMachine.steps = 0
        super().runTest()
        assert ClusterMachine.steps >= 10_000


def select_draining_endpoint(selection, operation, key, bound):
    """A faulty selection that ignores the endpoints' states, so it may pick a draining one."""
    endpoints = map(selection._table.get, operation.allowed_endpoints)
    return next((endpoint for endpoint in endpoints if endpoint is not None), None)


def always_may_retry(operation, now):
    return True


def always_reject(router, operation, now):
    operation.finished = True
    return Decision(Action.REJECT, retry_after=0.1)


@pytest.mark.parametrize(
    "owner, name, fault",
    [
        (EndpointSelection, "_select_among", select_draining_endpoint),
        (retry_safety, "may_retry", always_may_retry),
        (Router, "_give_up", always_reject),
    ],
)
def test_a_planted_fault_is_found(owner, name, fault, monkeypatch):
    monkeypatch.setattr(owner, name, fault)
    if owner is retry_safety:
        monkeypatch.setattr(retry_safety, "is_retry_harmless", lambda endpoint, operation: True)
    # Only generation, no shrinking, which would take minutes. A seed's steps depend on the loaded modules,
    # and 6,000 examples of one seed once missed a fault, so three seeds are searched.
    search = settings(
        ClusterMachine.TestCase.settings,
        max_examples=6000,
        phases=[Phase.generate],
        derandomize=False,
        database=None,
        print_blob=False,
    )
    with pytest.raises(AssertionError):
        for number in range(SEARCHED_SEEDS):
            seeded = seed(number)(type("Seeded", (ClusterMachine,), {}))
            run_state_machine_as_test(seeded, settings=search)


# -- the slot map tracker


def node(number: int) -> Node:
    return Node("h", number)


def test_many_simultaneous_redirections_cause_a_bounded_number_of_fetches():
    map_tracker, now, fetches = SlotMapTracker(1, 0.0), 0.0, 0
    map_tracker.begin_fetch([("h", 1)], 0.0)
    map_tracker.on_fetched(even_slot_map([(node(1),), (node(2),)], 1), 0.0)
    for step in range(2000):  # two seconds of a full remap, a thousand operations waiting in each step
        now = step * 0.001
        for slot in range(0, SLOTS, 16)[step % 16 :: 16] if step % 10 == 0 else ():
            map_tracker.on_redirection(Redirection(False, slot, node(3)), now)
        if map_tracker.next_fetch_at(now) <= now:
            assert map_tracker.begin_fetch([("h", 1)], now)
            fetches += 1
    assert 1 <= fetches <= 2.0 / MIN_FETCH_INTERVAL + 1


def test_redirections_received_during_a_fetch_override_its_result():
    map_tracker = SlotMapTracker(1, 0.0)
    map_tracker.begin_fetch([("h", 1)], 0.0)
    map_tracker.on_fetched(even_slot_map([(node(1),), (node(2),)], 1), 0.0)
    map_tracker.mark_stale(1.0)
    map_tracker.begin_fetch([("h", 1)], 1.0)
    map_tracker.on_redirection(Redirection(False, 7, node(2)), 1.01)
    map_tracker.on_fetched(even_slot_map([(node(1),), (node(2),)], 1), 1.02)
    assert (
        map_tracker.map.nodes(7) == (node(2),) and map_tracker.next_fetch_at(1.02) <= 1.0 + MIN_FETCH_INTERVAL
    )
    map_tracker.on_redirection(Redirection(True, 8, node(2)), 1.03)
    assert map_tracker.map.nodes(8) == (node(1),), "ASK applies to one request: the slot has not moved"


def test_a_lower_epoch_is_rejected_until_it_is_repeated():
    map_tracker, now = SlotMapTracker(1, 0.0), 0.0
    map_tracker.begin_fetch([("h", 1)], 0.0)
    map_tracker.on_fetched(even_slot_map([(node(1),)], 9), 0.0)
    for _ in range(LOWER_EPOCHS_BEFORE_ACCEPTED):
        assert map_tracker.map.epoch == 9
        now = max(now + 3.0, map_tracker.next_fetch_at(now))
        map_tracker.begin_fetch([("h", 1)], now)
        map_tracker.on_fetched(even_slot_map([(node(2),)], 3), now)
    assert map_tracker.map.epoch == 3 and any("epoch 3" in text for text in map_tracker.log_messages)


def test_failed_fetches_are_retried_on_other_servers_with_growing_pauses():
    map_tracker, asked, now = SlotMapTracker(1, 0.0), set(), 0.0
    for _ in range(30):
        now = map_tracker.next_fetch_at(now)
        asked.add(map_tracker.begin_fetch([("h", 1), ("h", 2), ("h", 3)], now))
        assert map_tracker.next_fetch_at(now) == now + FETCH_TIMEOUT
        map_tracker.on_fetch_failed(now + 0.1)
    assert len(asked) == 3 and now > 30 and len(map_tracker.log_messages) == 1
    map_tracker.begin_fetch([("h", 1)], now)
    map_tracker.on_fetched(even_slot_map([(node(1),)], 1), now)
    assert IDLE_FETCH_INTERVAL <= map_tracker.next_fetch_at(now) - now <= 1.5 * IDLE_FETCH_INTERVAL
    assert map_tracker.begin_fetch([], now + 99) is None
