"""The standing test's terms: the list's one clock on histories made by hand, and plays of many processes."""

import trio

from gaugehinge.histories.breaks import Bounds
from gaugehinge.histories.checks import check
from gaugehinge.histories.events import (
    Attempt,
    Gone,
    Hushed,
    ListAsked,
    ListChanged,
    ListTold,
    OpBegan,
    OpEnded,
    Outage,
    Process,
)
from gaugehinge.histories.lists import clock
from gaugehinge.rehearsal import plays, standingplay
from gaugehinge.rehearsal.brokenterms import FINDS

R, S = "router-0", "server-0"
ASKED = Bounds(drain=0.5, ask=3.0)
PUSHED = Bounds(drain=0.5, pushed=True)


def begun(*more, at=0.0):
    """A router, and a server that drains from `at` 10 on."""
    return [
        Process(0.0, "play", R, "started"),
        ListChanged(0.0, "discovery", 1, S, "ready"),
        ListChanged(10.0 + at, "discovery", 2, S, "draining"),
        *more,
    ]


def asked(call, at, wait=2.5, over=None, rev=1, status=200):
    told = [] if over is None else [ListTold(over, "discovery", R, call, rev, status)]
    return [ListAsked(at, "discovery", R, call, 1, wait), *told]


def sent(at):
    """An operation of this router that comes to that server."""
    name = f"c{at}"
    return [
        OpBegan(at - 0.01, "client-0", name, R, "acme", "read", "idempotent", "k", False, 1.0),
        Attempt(at, S, S, "a", name, "k", False),
        OpEnded(at + 0.01, "client-0", name, "settled", "of k"),
    ]


def told_from(history, bounds):
    """When the router counts as told, to a tenth of a second; 99: not by then."""
    for tenth in range(100, 990):
        at = tenth / 10.0 + 0.05
        if clock([*history, *sent(at)], bounds):
            return round(at - 0.05 - bounds.drain, 1)
    return 99.0


def test_what_is_written_counts_when_it_is_written_and_a_silent_watch_by_the_one_clock():
    assert told_from(begun(*asked(1, 9.0, over=10.1, rev=2)), ASKED) == 10.1
    silent = Hushed(9.5, "discovery", R, 1)
    assert told_from(begun(*asked(1, 9.0), silent), ASKED) == 15.5  # six seconds after the silence
    assert told_from(begun(*asked(1, 9.0, wait=9.0), silent), ASKED) == 20.0  # or two behind the wait
    # Begun anew before the change, it missed nothing; begun anew behind it, it is told by that.
    assert told_from(begun(*asked(1, 9.0), silent, *asked(2, 9.8)), ASKED) == 99.0
    assert told_from(begun(*asked(1, 9.0), silent, *asked(2, 13.0, over=13.1, rev=2)), ASKED) == 13.1
    # Silent once more, the first silence counts on; between two calls of a watch there is one, too.
    again = [*asked(2, 12.0), Hushed(12.5, "discovery", R, 2)]
    assert told_from(begun(*asked(1, 9.0), silent, *again), ASKED) == 15.5
    assert told_from(begun(*asked(1, 9.0, over=9.4), Hushed(9.5, "discovery", R)), ASKED) == 15.5


def test_with_no_watch_the_time_for_asking_counts_from_the_last_call():
    assert told_from(begun(*asked(1, 9.0, over=9.8)), ASKED) == 13.0  # three seconds after the change
    assert told_from(begun(*asked(1, 9.0, over=11.8)), ASKED) == 15.0  # and from the watch's end
    assert told_from(begun(*asked(1, 9.0, over=9.8, status=503)), ASKED) == 21.8  # four times
    down = Outage(10.2, "discovery", 15.2)
    reset = asked(1, 9.0, over=10.2, rev=0, status=0)
    assert told_from(begun(*reset, down), ASKED) == 27.2  # anew
    assert told_from(begun(*reset, down, *asked(2, 16.0, over=16.0, rev=2)), ASKED) == 16.0


def test_with_pushed_lists_what_the_agent_has_counts_at_once():
    watch = asked(1, 9.0)
    assert told_from(begun(*watch), PUSHED) == 10.0
    assert told_from(begun(), PUSHED) == 10.0  # whether or not a watch is open
    assert told_from(begun(*watch, Outage(9.5, "discovery", 14.0)), PUSHED) == 14.0  # at its return
    assert told_from(begun(*watch, Hushed(9.5, "discovery", R, 1)), PUSHED) == 15.5
    assert told_from(begun(*watch, Process(9.0, "play", R, "told_anew")), PUSHED) == 13.0
    assert told_from(begun(*watch, Process(12.0, "play", R, "told_anew")), PUSHED) == 10.0
    # From a new process's first moment: what the former one was told plays no part.
    anew = [Process(11.9, "play", R, "killed"), Process(12.0, "play", R, "started")]
    history = begun(*anew)
    assert not clock([*history, *sent(12.4)], PUSHED) and clock([*history, *sent(12.6)], PUSHED)


def test_a_quarter_of_what_waited_may_be_sent_on_late_and_four_at_least():
    def left(count, late):
        history = [Process(0.0, "play", R, "started"), Process(0.1, "play", R, "ready")]
        for number in range(count):
            name = f"c{number}"
            history += [
                OpBegan(1.0, "client-0", name, R, "acme", "read", "idempotent", "k", False, 3.0),
                Gone(1.1, "client-0", R, [name]),
                *([Attempt(2.0, S, S, "a", name, "k", False)] if number < late else ()),
            ]
        return [each.rule for each in check(history, Bounds())]

    assert left(10, 4) == [] and left(10, 5) == ["gone"]
    assert left(40, 10) == [] and left(40, 11) == ["gone"]


def test_plans_are_drawn_by_the_seed_and_every_case_meets_every_start():
    pairs = {(standingplay.case_of(seed), standingplay.start_of(seed)) for seed in range(24)}
    assert len(pairs) == len(standingplay.CASES) * len(standingplay.STARTS)
    for seed in range(24):
        assert standingplay.deeds(seed) == standingplay.deeds(seed) and standingplay.deeds(seed)


def test_a_seed_holds_and_routers_with_a_fault_are_found(tmp_path):
    summary = trio.run(plays.run_many, ["standing"], [13], 1, tmp_path)
    (held,) = summary.played
    assert held.held, (held.why, held.outcome and [each.told() for each in held.outcome.breaks])
    assert held.outcome.looked_at["crossed"] and held.outcome.looked_at["gone"]
    outcome = trio.run(standingplay.broken, 1, tmp_path / "broken")
    found = {(each.rule, party) for each in outcome.breaks for party in each.parties}
    missed = [mode for name, mode in standingplay.BROKEN.items() if (FINDS[mode], name) not in found]
    assert not missed, [each.told().splitlines()[0] for each in outcome.breaks]
