"""Seeded orders of events against one real router keep the rules, and what breaks a rule is found."""

import time

import pytest
import trio

from gaugehinge.net import graceful_shutdown
from gaugehinge.net.client_server import ClientServer
from gaugehinge.net.connection_pool import ConnectionPool
from gaugehinge.net.connection_registry import ConnectionRegistry
from gaugehinge.net.dispatcher import Dispatcher
from gaugehinge.net.graceful_shutdown import GracefulShutdown
from gaugehinge.net.reply_writer import ReplyWriter
from gaugehinge.net.resp import bulk
from gaugehinge.net.resp_codec import RespConnectionState
from gaugehinge.routing import retry_safety
from gaugehinge.routing.endpoint_table import EndpointTable
from gaugehinge.routing.types import EndpointState
from tests import crossings
from tests.crossings import (
    ANSWER,
    CLOSE,
    CONNECTING,
    DEFECT,
    DRAIN,
    EFFECT,
    END,
    FAILS,
    GOES,
    JOINED,
    LISTS,
    ORIGIN,
    WRITTEN,
    draw,
    play,
)

SEEDS = 40
MOST_SEEDS = 60  # within which a mutant has to be found


@pytest.mark.parametrize("seed", range(SEEDS))
def test_generated_crossings_keep_the_rules(seed):
    made = play(seed)
    assert not made.breaks, str(made.plan)


def answer_twice(monkeypatch):
    """Each answer to a request goes out a second time."""
    write = ReplyWriter._write

    def twice(self, client, answer):
        if answer.startswith(b"$"):
            write(self, client, answer)
        return write(self, client, answer)

    monkeypatch.setattr(ReplyWriter, "_write", twice)


def no_forfeit(monkeypatch):
    """What is in hand at the end is left there."""
    monkeypatch.setattr(Dispatcher, "fail_rest", lambda self: None)


def lost_at_the_end(monkeypatch):
    """Connections are closed at the end whatever they are owed."""

    def cut(self, client):
        self.shut_down(client)
        return True

    monkeypatch.setattr(ConnectionRegistry, "close_if_idle", cut)


def copies_kept(monkeypatch):
    """Bytes that nobody asked for are taken for the next attempt's answer, and no copy is known as one."""
    incoming = ConnectionPool._on_data

    def keep(self, line, data):
        if line.pending is None and data and hasattr(line.codec_state, "parser"):
            line.codec_state.parser.feed(data)
        else:
            incoming(self, line, data)

    monkeypatch.setattr(ConnectionPool, "_on_data", keep)
    monkeypatch.setattr(RespConnectionState, "doubt", lambda self, message: None)


def written_forgotten(monkeypatch):
    """An attempt whose connection broke counts as never written."""
    lose = ConnectionPool._on_connection_ended

    def forget(self, line, failure):
        line.request_sent = False
        lose(self, line, failure)

    monkeypatch.setattr(ConnectionPool, "_on_connection_ended", forget)


def window_forgotten(monkeypatch):
    """Repeats go out however long ago the first attempt ran."""
    monkeypatch.setattr(retry_safety, "may_retry", lambda operation, now: True)
    monkeypatch.setattr(ConnectionPool, "_may_send", lambda self, attempt: True)


def always_dropped(monkeypatch):
    """Each server counts as one that drops repeats, of whatever effect."""
    window_forgotten(monkeypatch)
    monkeypatch.setattr(retry_safety, "is_retry_harmless", lambda endpoint, operation: True)


def presence_unread(monkeypatch):
    """A connection that came up late carries its attempt though its server drains."""
    start = ConnectionPool._start

    def blind(self, line, pending):
        server = pending.attempt.endpoint
        presence, server.state = server.state, EndpointState.UP
        try:
            start(self, line, pending)
        finally:
            server.state = presence

    monkeypatch.setattr(ConnectionPool, "_start", blind)


def drains_unheard(monkeypatch):
    """A server that drains stays among those to choose from."""
    hear = EndpointTable._apply_entry

    def deaf(self, listing, now):
        if listing.state is not EndpointState.DRAINING:
            hear(self, listing, now)

    monkeypatch.setattr(EndpointTable, "_apply_entry", deaf)


def close_untold(monkeypatch):
    """The dispatch is not told that a client has gone, nor finds that out before an attempt."""

    def abandon(self, pending_reply):
        self.request_ids.close(pending_reply.request_id)

    monkeypatch.setattr(ClientServer, "abandon_reply", abandon)
    monkeypatch.setattr(ClientServer, "is_client_present", lambda self, client: True)


def never_ends(monkeypatch):
    """It takes the time that it has for longer than it is, and no connection for idle."""
    monkeypatch.setattr(graceful_shutdown, "KILL_SLACK", 3.0)
    monkeypatch.setattr(ClientServer, "has_pending_replies", lambda self: True)
    monkeypatch.setattr(ClientServer, "close_idle", lambda self, idle_grace: None)


def raises(monkeypatch):
    """The end fails."""

    async def fail(self, accepting):
        raise RuntimeError("at the end")

    monkeypatch.setattr(GracefulShutdown, "run", fail)


def has(names, steps=crossings.STEPS, kinds=("read", "once", "mark")):
    """Plans with such an event at such a request: others cannot meet the mutant, and need not be played."""

    def fits(plan):
        return any(
            event.name in names and event.step in steps and plan.subjects[event.subject].kind in kinds
            for event in plan.events
        )

    return fits


def short_window(plan):
    return plan.window < crossings.LONGEST / 2 and has(FAILS, (WRITTEN,), ("mark",))(plan)


def long_wait(plan):
    return has(("sigterm",))(plan) and any(s.wait > 1000 for s in plan.subjects)


WRITES = ("once", "mark")


@pytest.mark.parametrize(
    "mutant, rule, fits",
    [
        (answer_twice, ANSWER, has(("repeat", *LISTS))),
        (no_forfeit, ANSWER, long_wait),
        (lost_at_the_end, ANSWER, long_wait),
        (copies_kept, ANSWER, has(("copy",))),
        (written_forgotten, EFFECT, has(FAILS, (WRITTEN,), WRITES)),
        (window_forgotten, EFFECT, short_window),
        (always_dropped, EFFECT, has(FAILS, (WRITTEN,), WRITES)),
        (presence_unread, DRAIN, has(LISTS, (CONNECTING,))),
        (drains_unheard, DRAIN, has(("drain", "mixed"))),
        (close_untold, CLOSE, has(GOES, (WRITTEN, ORIGIN, JOINED))),
        (never_ends, END, has(("sigterm",))),
        (raises, DEFECT, has(("sigterm",))),
    ],
    ids=lambda given: given.__name__ if callable(given) else str(given),
)
def test_a_mutant_is_found(mutant, rule, fits, monkeypatch):
    """At a seed where the program itself keeps the rule."""
    for seed in filter(lambda seed: fits(draw(seed)), range(MOST_SEEDS)):
        with monkeypatch.context() as changed:
            mutant(changed)
            broken = {each for each, _ in play(seed).breaks}
        if rule in broken and rule not in {each for each, _ in play(seed).breaks}:
            return
    pytest.fail(f"not found within {MOST_SEEDS} seeds")


@pytest.mark.parametrize("left", [0.02, 0.002, -0.5])
def test_a_client_that_begins_to_read_as_the_routers_time_ends_gets_a_whole_answer(monkeypatch, left):
    """Seconds before the end. Without that, half of a long answer and the end came."""
    finish = crossings.Play._finish

    async def late(self):
        await trio.sleep_until(self.term_at + crossings.LONGEST + crossings.KILL_SLACK - left)
        await finish(self)

    monkeypatch.setattr(crossings.Play, "_finish", late)
    made = play(4072)
    assert not made.breaks
    assert_long_answers(made)


def test_a_router_held_up_past_its_end_gives_a_client_a_whole_answer(monkeypatch):
    """Held up within an answer, with all that shares its loop."""
    shutdowns = []
    begin, write_rest = GracefulShutdown.__init__, ReplyWriter._write_rest

    def begun(shutdown, service):
        shutdowns.append(shutdown)
        begin(shutdown, service)

    async def held_up(self, *arguments):
        [shutdown] = shutdowns
        time.sleep(max(0.0, shutdown.deadline + 0.05 - shutdown.clock()))
        await write_rest(self, *arguments)

    monkeypatch.setattr(GracefulShutdown, "__init__", begun)
    monkeypatch.setattr(ReplyWriter, "_write_rest", held_up)
    made = play(4072)
    assert not made.breaks
    assert_long_answers(made)


def assert_long_answers(made):
    long = [request for request in made.requests.values() if request.big]
    assert long
    assert all(data == bulk(request.value()) for request in long for _, data in request.answers)


def test_a_router_that_stops_within_an_answer_is_found_though_its_connection_ends_last(monkeypatch):
    """The client of seed 4072 reads for more than a second, and nothing comes."""

    async def stop(self, client):
        await trio.sleep_forever()

    monkeypatch.setattr(ReplyWriter, "_write_rest", stop)
    monkeypatch.setattr(ReplyWriter, "write_before_exit", lambda self, client: None)
    made = play(4072)
    assert any(customer.stalled for customer in made.customers)
    assert any(rule == ANSWER and "half an answer" in text for rule, text in made.breaks)
