"""The further promises of the play of all parts: each check finds what is planted, and only that."""

import pytest

from gaugehinge.emulator.link import State
from gaugehinge.histories.events import Attempt, Connections, Link, Note, OpBegan, OpEnded
from gaugehinge.rehearsal.allchecks import (
    APART,
    DRAINED,
    FROM,
    GONE,
    LOWERED,
    UNTIL,
    further,
    looked,
    statement,
    without,
)
from gaugehinge.rehearsal.allplay import CASES, FURTHER, case_of

ROUTERS = ("router-0", "router-1")
BOUND = 4.5


def said(at, kind, what, edge):
    return Note(at, "play", statement(kind, what, edge))


def op(at, ident, router="router-0", tenant="acme"):
    return OpBegan(at, "c", ident, router, tenant, "read", "idempotent", "k", False, 1.0)


def attempt(at, ident, server="server-1", key="1/k"):
    return Attempt(at, server, server, "a", f"1.{ident}", key, False)


def cut(at, state):
    return Link(at, "play", "router-0", "keeper", state.value)


GUEST = [said(10.0, GONE, "4/ dora#1", FROM)]
ORDER = [said(10.0, DRAINED, "server-1", FROM), said(20.0, DRAINED, "server-1", UNTIL)]
LIMIT = [said(10.0, LOWERED, "origin 12", FROM), said(20.0, LOWERED, "origin 12", UNTIL)]
ALONE = [cut(10.0, State.SILENT_BACK), cut(30.0, State.UP)]
ZONES = [said(10.0, APART, "a b", FROM), said(30.0, APART, "a b", UNTIL)]
ALL_LOST = "all after 0.5 s: of 5 peers 0 lived on"


def count(at, number):
    return Connections(at, "origin", "origin", number)


@pytest.mark.parametrize(
    "history, rule",
    [
        ([*GUEST, op(11.0, "x", tenant="dora#1"), OpEnded(11.1, "c", "x", "settled", "v")], GONE),
        ([*GUEST, op(11.0, "x", tenant="dora#2"), attempt(11.1, "x", key="4/k")], GONE),
        ([*ORDER, op(11.0, "x"), attempt(11.1, "x")], DRAINED),
        ([*LIMIT, count(11.0, 13)], LOWERED),
        ([count(9.0, 13), *LIMIT, count(11.0, 12)], LOWERED),
        ([*ALONE, op(16.0, "x"), attempt(16.1, "x")], "alone"),
        ([*ZONES, Note(12.0, "play", f"router-1|{ALL_LOST}")], "claims"),
    ],
)
def test_what_is_planted_is_found(history, rule):
    history.sort(key=lambda event: event.at)
    assert [each.rule for each in further(history, BOUND, ROUTERS)] == [rule]


@pytest.mark.parametrize(
    "history",
    [
        [
            *GUEST,
            op(9.0, "x", tenant="dora#1"),
            attempt(11.1, "x", key="4/k"),
            OpEnded(11.2, "c", "x", "settled", "v"),
        ],  # begun before
        [*GUEST, op(11.0, "x", tenant="dora#1"), OpEnded(11.1, "c", "x", "forfeited", "-ERR")],
        [
            *GUEST,
            op(11.0, "x", tenant="dora#2"),
            attempt(11.1, "x", key="5/k"),
            OpEnded(11.1, "c", "x", "settled", "v"),
        ],  # its successor
        [
            *ORDER,
            op(9.9, "x"),
            attempt(10.5, "x"),
            op(11.0, "y"),
            attempt(11.1, "y", "server-2"),
            op(21.0, "z"),
            attempt(21.1, "z"),
        ],
        [count(9.0, 13), count(9.5, 12), *LIMIT, count(15.0, 12), count(21.0, 20)],
        [
            *ALONE,
            op(14.0, "x"),
            attempt(14.1, "x"),
            op(16.0, "y", "router-1"),
            attempt(16.1, "y"),
            op(30.5, "z"),
            attempt(30.6, "z"),
        ],
        [*ZONES, Note(9.0, "play", f"router-1|{ALL_LOST}"), Note(12.0, "play", "router-1|lone after 0.5 s")],
    ],
)
def test_what_is_as_promised_is_no_break(history):
    history.sort(key=lambda event: event.at)
    assert not further(history, BOUND, ROUTERS)


def test_a_statement_that_is_never_taken_back_holds_to_the_end_and_looks_are_counted():
    history = [*GUEST, op(11.0, "x", tenant="dora#1"), op(90.0, "y")]
    assert looked(history, BOUND, ROUTERS) == {"gone.times": 1.0, "gone.s": 80.0, "gone.asked": 1.0}
    assert looked([*ALONE, op(16.0, "x")], BOUND, ROUTERS) == {"alone.s": 15.0, "alone.asked": 1.0}


def test_an_effect_that_a_build_without_recovery_ran_again_is_told_apart_from_others():
    found = further([*ORDER, op(11.0, "x"), attempt(11.1, "x")], BOUND, ROUTERS)
    assert without([op(11.0, "x")], found, [DRAINED], ["router-0"]) == []
    assert without([op(11.0, "x")], found, [DRAINED], ["router-1"]) == found
    assert without([op(11.0, "x")], found, ["connections"], ["router-0"]) == found


def test_seeds_below_fifty_of_each_hundred_keep_their_cases():
    assert [case_of(seed) for seed in (1, 20, 49, 101)] == ["zone", "plain", "router last", "zone"]
    assert [case_of(seed) for seed in (50, 59, 96, 150)] == [
        "zones apart",
        "mixed",
        "disk lost",
        "zones apart",
    ]
    assert len(CASES) == len(FURTHER) == 10
