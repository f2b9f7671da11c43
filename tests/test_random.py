"""Seeded random runs: after every step the four rules hold, whatever the fleet does."""

import random

import pytest
from helper import MARKED, ONCE, ORIGIN, READ, Action, Bench, EndpointState, Outcome, Tenant, origin_row, row

ENDS = [o for o in Outcome if o not in (Outcome.SUCCEEDED, Outcome.CACHE_MISS)]


class Rules:
    """A fleet that fails at random, and a check of each answer."""

    def __init__(self, seed: int, routers: int = 2) -> None:
        self.dice = random.Random(seed)
        self.sparse = routers > 100
        self.bench = Bench(
            caches=6,
            seed=seed,
            router_count=routers,
            cache_aside=self.dice.random() < 0.8,
            must_poll=self.dice.random() < 0.5,
            tenants=(Tenant(0.5, 20.0), Tenant(0.5, 20.0)) if seed % 2 else (),
            over_quota_weight=0.1,
        )
        self.presence = {i: EndpointState.UP for i in range(1, 7)}
        self.started = {}
        self.open = []
        self.waiting = {}
        self.attempts = []
        self.failing = 0.1
        self.pace = 30.0  # attempts a second that a server ends
        self.sent_cold = {}
        self.sent_all = 0

    def check(self, operation, answer) -> None:
        now = self.bench.now
        assert operation.ident not in self.finals, "an answer after the final one"
        if answer.action is Action.SEND:
            self.check_attempt(operation, answer.attempt, now)
            ends = now + min(self.dice.expovariate(self.pace), answer.timeout)
            self.attempts.append((ends, answer.attempt, ends - now >= answer.timeout))
        elif answer.action is Action.WAIT:
            wait = self.bench.router.time_until_recheck(operation, now)
            assert wait > 0.0
            self.waiting[operation] = now + wait
        elif answer.action in (Action.REJECT, Action.FAIL):
            assert now <= operation.deadline, "answered after the abandon time"
            ran = [attempt for attempt in operation.attempts if attempt in self.may_have_run]
            if answer.action is Action.REJECT:
                assert operation.traffic_type is not ONCE or not ran, "rejected though it may have run"
            self.finals.add(operation.ident)

    def check_attempt(self, operation, attempt, now) -> None:
        assert len(operation.attempts) <= 5
        others = [each for each in operation.attempts if each is not attempt]
        assert not [each for each in others if each.in_flight], "two attempts at once"
        server = attempt.endpoint.ident
        if server != ORIGIN:
            assert self.presence.get(server) is EndpointState.UP, "an attempt at a draining or gone endpoint"
            self.count_cold(server, now)
        ran = [each for each in operation.attempts if each in self.may_have_run]
        if ran:
            assert operation.traffic_type is not ONCE, "an effect twice"
            if operation.traffic_type is MARKED:
                assert now < ran[0].sent_at + MARKED.deduplication_window, "a repeat no longer remembered"

    def count_cold(self, server, now) -> None:
        """A cold cache gets no more than its capacity's part of what a fair share would be."""
        self.sent_all += 1
        age = now - self.started.get(server, -1e9)
        if age < 5.0:
            self.sent_cold[server] = self.sent_cold.get(server, 0) + 1
            fair = (0.5 if self.sparse else 25.0) * age / max(len(self.bench.router.table.ready), 1)
            most = (2 if self.sparse else 4) + 1.2 * fair
            assert self.sent_cold[server] <= most, "a cold cache pushed over"

    def run(self, steps: int) -> None:
        self.finals = set()
        self.may_have_run = set()
        for step in range(steps):
            self.bench.now += self.dice.uniform(0.0, 0.012)
            if self.sparse and not self.open and not self.attempts:
                self.bench.now += self.dice.uniform(0.0, 5.0)
            if step % 150 == 0:
                self.failing = self.dice.choice([0.0, 0.1, 0.9])
                self.pace = self.dice.choice([30.0, 30.0, 4.0])
            if self.dice.random() < 0.02:
                self.change_list()
            self.move_on()
            if self.dice.random() < 0.03 and self.open:
                self.leave(self.dice.choice(self.open))
            if self.dice.random() < (0.05 if self.sparse else 0.3):
                traffic = self.dice.choice([READ] * 4 + [MARKED, ONCE])
                operation, answer = self.bench.ask(
                    f"key-{int(self.dice.paretovariate(0.7)) % 200}",
                    traffic,
                    self.dice.uniform(0.3, 4.0),
                    tenant=self.dice.choice([0, 0, 0, 1]) if self.bench.router.deployment.tenants else -1,
                )
                self.open.append(operation)
                self.check(operation, answer)
            self.overdue()
        self.drain_out()

    def drain_out(self) -> None:
        for _ in range(1200):
            self.bench.now += 0.005
            self.move_on()
            self.overdue()
        assert not self.open and not self.attempts
        router = self.bench.router
        assert not router.fetches.waiting and not router.origin_limit.in_flight
        assert all(c.in_flight == 0 for c in router.endpoints.values())

    def move_on(self) -> None:
        now = self.bench.now
        for operation in [o for o, at in self.waiting.items() if at <= now or o.finished]:
            del self.waiting[operation]
            if not operation.finished:
                self.check(operation, self.bench.router.route(operation, now))
        due = [each for each in self.attempts if each[0] <= now]
        due.sort(key=lambda each: (each[0], each[1].sent_at))
        self.attempts = [each for each in self.attempts if each[0] > now]
        for _, attempt, timed_out in due:
            self.finish(attempt, timed_out, now)
        self.open = [o for o in self.open if not o.finished]

    def finish(self, attempt, timed_out, now) -> None:
        outcome = self.dice.choice(ENDS) if self.dice.random() < self.failing else Outcome.SUCCEEDED
        if (
            attempt.endpoint.ident != ORIGIN
            and self.bench.router.deployment.cache_aside
            and self.dice.random() < 0.3
        ):
            outcome = Outcome.CACHE_MISS
        if timed_out:
            outcome = Outcome.TIMED_OUT
        if outcome.may_have_run:
            self.may_have_run.add(attempt)
        over = attempt.operation.finished or outcome is Outcome.SUCCEEDED
        if over:
            self.finals.add(attempt.operation.ident)
        for operation, answer in self.bench.router.on_attempt_finished(
            attempt, outcome, now - attempt.sent_at, over, now
        ):
            self.check(operation, answer)

    def leave(self, operation) -> None:
        self.finals.add(operation.ident)
        for attempt in self.bench.router.cancel(operation):
            self.attempts = [
                (self.bench.now, each, False) if each is attempt else (at, each, late)
                for at, each, late in self.attempts
            ]

    def overdue(self) -> None:
        for operation in self.open:
            assert operation.finished or self.bench.now <= operation.deadline + 0.03, (
                "no final answer in time"
            )

    def change_list(self) -> None:
        ident = self.dice.randint(1, 12)
        presence = self.dice.choice(
            [EndpointState.UP, EndpointState.UP, EndpointState.DRAINING, EndpointState.GONE]
        )
        if self.dice.random() < 0.1 and self.bench.router.deployment.must_poll:
            self.bench.router.on_poll_failed(self.bench.now)
            return
        if presence is EndpointState.UP and self.presence.get(ident) is not EndpointState.UP:
            self.started[ident] = self.bench.now
            self.sent_cold.pop(ident, None)
        self.presence[ident] = presence
        self.bench.hear([row(ident, presence, self.started.get(ident, 0.0)), origin_row()], whole=False)


@pytest.mark.parametrize("seed", range(12))
def test_the_rules_hold_whatever_fails(seed):
    Rules(seed).run(2500)


@pytest.mark.parametrize("seed", range(12))
def test_the_rules_hold_at_one_of_hundreds_of_mostly_idle_routers(seed):
    rules = Rules(seed, routers=400)
    rules.run(2500)
    router = rules.bench.router
    assert rules.bench.now > 150.0 and not router.load.active.keys() - router.endpoints.keys()
    assert router.load.completion_rate.value_at(rules.bench.now) < 5.0 and all(
        used < 20.0 for used in router.quotas.usage
    )
