"""Retries: which operations may be sent again and how often, and redirects."""

import pytest
from helper import MARKED, ONCE, Action, Bench, EndpointState, Outcome, row
from routing_cases import ask_restricted

from gaugehinge.routing.concurrency_limits import REJECTION_PAUSE
from gaugehinge.routing.retries import MAX_EXCUSED_TIMEOUTS, MAX_REDIRECTS, MAX_RETRY_BUDGET
from gaugehinge.routing.types import Operation


def test_a_non_idempotent_operation_that_may_have_run_fails_for_good():
    bench = Bench()
    for outcome in (Outcome.SERVER_ERROR, Outcome.CONNECTION_LOST, Outcome.TIMED_OUT, Outcome.UNKNOWN):
        _, answer = bench.ask(traffic=ONCE)
        assert bench.end(answer.attempt, outcome)[0].decision.action is Action.FAIL


def test_a_non_idempotent_operation_proven_not_to_have_run_may_be_retried():
    bench = Bench()
    _, answer = bench.ask(traffic=ONCE)
    assert bench.end(answer.attempt, Outcome.CONNECT_FAILED)[0].decision.action in (
        Action.SEND,
        Action.REJECT,
    )


def test_a_retry_with_an_idempotency_key_stays_within_the_deduplication_window():
    bench = Bench()
    operation, answer = bench.ask(traffic=MARKED, left=30.0)
    assert bench.end(answer.attempt, Outcome.SERVER_ERROR)[0].decision.action is Action.SEND
    bench.now += MARKED.deduplication_window
    step = bench.end(operation.attempts[-1], Outcome.SERVER_ERROR)[0].decision
    assert step.action is Action.FAIL and operation.finished  # its client may not retry either


@pytest.mark.parametrize("by", ["a miss", "a joined fetch"])
def test_a_read_with_an_idempotency_key_that_may_have_run_fails_after_the_deduplication_window(by):
    bench = Bench()
    _, first = bench.ask("k")
    read = Operation("r", MARKED, b"k", -1, False, False, bench.now, bench.now + 30.0)
    attempt = bench.router.route(read, bench.now).attempt
    bench.end(attempt, Outcome.SERVER_ERROR)
    if by == "a miss":
        bench.now += MARKED.deduplication_window
        assert bench.end(read.attempts[-1], Outcome.CACHE_MISS)[0].decision.action is Action.FAIL
        return
    to_origin = bench.end(first.attempt, Outcome.CACHE_MISS)[0].decision
    assert bench.end(read.attempts[-1], Outcome.CACHE_MISS)[0].decision.action is Action.WAIT
    steps = bench.end(to_origin.attempt, Outcome.SUCCEEDED, MARKED.deduplication_window)
    assert [(o, a.action) for o, a in steps] == [(read, Action.FAIL)]


def test_an_operation_rejected_twice_is_rejected_and_full_endpoints_are_skipped_for_a_while():
    bench = Bench()
    operation, answer = bench.ask("k")
    home = answer.attempt.endpoint.ident
    second = bench.end(answer.attempt, Outcome.REJECTED, 0.001)[0].decision
    assert bench.end(second.attempt, Outcome.REJECTED, 0.001)[0].decision.action is Action.REJECT
    assert bench.settle("k", 0.001) not in (home, second.attempt.endpoint.ident)
    bench.now += 2 * REJECTION_PAUSE
    assert bench.settle("k") == home


def test_retries_stop_when_most_attempts_time_out():
    """Each early time-out sent a second attempt while the first was still running: these retries kept the
    fleet overloaded."""
    bench = Bench()
    for i in range(30):
        bench.settle(f"key-{i}")
    retries = 0
    for i in range(30):
        _, answer = bench.ask(f"key-{i}", left=2.0)
        bench.now += 0.5
        if answer.attempt:
            steps = bench.end(answer.attempt, Outcome.TIMED_OUT, 0.1)
            retries += steps[0].decision.action is Action.SEND
    # Earlier successes excuse a few more time-outs at silent endpoints, which do not run the attempts.
    assert 0 < retries <= MAX_RETRY_BUDGET + MAX_EXCUSED_TIMEOUTS


def test_a_write_with_a_malformed_response_is_retried_only_if_servers_deduplicate_it():
    bench = Bench()
    for traffic, expected in ((ONCE, Action.FAIL), (MARKED, Action.SEND)):
        _, answer = bench.ask("w", traffic)
        assert bench.end(answer.attempt, Outcome.MALFORMED_RESPONSE)[0].decision.action is expected


def test_redirects_are_followed_up_to_the_limit_and_never_to_a_draining_server():
    bench = Bench(cache_aside=False)
    operation, answer = ask_restricted(bench, (1,), traffic=ONCE)
    for turn in range(MAX_REDIRECTS + 1):
        assert answer.action is Action.SEND
        operation.allowed_endpoints = (1 + (turn + 1) % 2,)
        answer = bench.end(answer.attempt, Outcome.MOVED, 0.001)[0].decision
    assert answer.action is Action.REJECT
    bench.hear([row(4, EndpointState.DRAINING)], whole=False)
    operation, answer = ask_restricted(bench, (1,))
    operation.allowed_endpoints = (4,)
    assert bench.end(answer.attempt, Outcome.ASK_REDIRECT, 0.001)[0].decision.action is Action.REJECT


def test_redirects_use_no_attempts_and_raise_no_failure_score():
    bench = Bench(cache_aside=False, max_attempts=1)
    operation, answer = ask_restricted(bench, (1,))
    operation.allowed_endpoints = (2,)
    answer = bench.end(answer.attempt, Outcome.MOVED, 0.001)[0].decision
    assert answer.action is Action.SEND and answer.attempt.endpoint.ident == 2
    assert not bench.router.endpoints[1].failure_score and not bench.router.shedder.lateness_count


def test_a_redirected_attempt_that_loses_its_connection_may_have_run():
    bench = Bench(cache_aside=False)
    operation, answer = ask_restricted(bench, (1,), traffic=ONCE)
    operation.allowed_endpoints = (2, 3)
    answer = bench.end(answer.attempt, Outcome.MOVED, 0.001)[0].decision
    assert bench.end(answer.attempt, Outcome.CONNECTION_LOST, 0.001)[0].decision.action is Action.FAIL
