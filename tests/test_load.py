"""The schedule, the driver's reading of answers, and the referee's verdicts on rows made by hand."""

import numpy as np
import pytest

from gaugehinge.emulator.form import Traffic
from gaugehinge.forms.record import Recorder
from gaugehinge.forms.units import Rate, Seconds
from gaugehinge.load import referee
from gaugehinge.load.driver import BOUNCED, FORFEITED, SETTLED, WRONG, read_answer
from gaugehinge.load.form import Hot, Job, Load, Sender, Surge
from gaugehinge.load.plan import arrivals, draw_plan, recorded_plan
from gaugehinge.net.resp import MAX_REPLY_BYTES, Parser

READ = Traffic("read", "idempotent", Seconds(1.0))
BOOK = Traffic("book", "unrepeatable", Seconds(1.0), write=True)
ACME, BIRCH = Sender("acme", rate=Rate(100.0)), Sender("birch", rate=Rate(50.0), mix={"book": 1.0})


def job(load: Load, lasts=20.0, seed=1, surges=()) -> Job:
    return Job(load, (ACME, BIRCH), (READ, BOOK), surges, lasts, seed, (("127.0.0.1", 1),), True, 0, "")


def test_a_schedule_follows_its_seed_rates_mixes_and_surges():
    load = Load(keys=100, zipf=1.0, mix={"read": 1.0}, hot=(Hot(Seconds(5), Seconds(5), 1, 0.5),), fresh=0.2)
    surges = (Surge("acme", 10.0, 5.0, 3.0),)
    plan, again = draw_plan(job(load, surges=surges)), draw_plan(job(load, surges=surges))
    assert (plan.at == again.at).all() and (plan.key == again.key).all()
    assert not np.array_equal(plan.at, draw_plan(job(load, seed=2, surges=surges)).at)
    acme = plan.at[plan.tenant == 0]
    before, during = (acme < 10).sum() / 10.0, ((acme >= 10) & (acme < 15)).sum() / 5.0
    assert 85 < before < 115 and 260 < during < 340
    assert (plan.kind[plan.tenant == 1] == 1).all() and (plan.kind[plan.tenant == 0] == 0).all()
    hot = plan.key == 100
    assert plan.at[hot].min() >= 5.0 and plan.at[hot].max() < 10.0
    part = hot.sum() / ((plan.at >= 5) & (plan.at < 10)).sum()
    assert 0.4 < part < 0.6 and 0.15 < plan.fresh.mean() < 0.25
    assert (plan.key == 0).sum() > 5 * (plan.key == 50).sum()


def test_a_silent_tenant_and_a_surge_to_nothing():
    draw = np.random.default_rng(1)
    assert len(arrivals(Sender("none", rate=Rate(0.0)), (), 10.0, draw)) == 0
    quiet = arrivals(ACME, (Surge("acme", 2.0, 4.0, 0.001),), 10.0, draw)
    assert ((quiet >= 2) & (quiet < 6)).sum() < 10 < (quiet < 2).sum()


def test_a_recorded_run_is_planned_again_at_another_speed(tmp_path):
    record = Recorder(tmp_path / "load-0.rec")
    for number, (first, count, planned) in enumerate([(1, 0, 2.0), (2, 0, 1.0), (1, 1, 3.0)]):
        record.row(
            "op",
            number,
            first,
            count,
            0,
            1,
            7,
            True,
            planned,
            0.0,
            0.0,
            SETTLED,
            0.0,
            1.0,
            "",
            0,
            0,
            0.0,
            True,
            -1.0,
            False,
        )
    record.close()
    plan = recorded_plan([tmp_path / "load-0.rec"], 2.0)
    assert plan.at.tolist() == [0.5, 1.0] and plan.kind.tolist() == [1, 1] and plan.fresh.all()


@pytest.mark.parametrize(
    "data, found",
    [
        (b"$9\r\nk 0a 0 ..\r\n", (SETTLED, 0.0)),
        (b"$9\r\nk 0b 0 ..\r\n", (WRONG, 0.0)),
        (b"*2\r\n$9\r\nk 0a 0 ..\r\n$3\r\nhit\r\n", (SETTLED, 0.0)),
        (b"-BUSY 250\r\n", (BOUNCED, 0.25)),
        (b"-BUSY\r\n", (BOUNCED, 0.0)),
        (b"-ERR failed\r\n", (FORFEITED, 0.0)),
        (b"$-1\r\n", (FORFEITED, 0.0)),
    ],
)
def test_answers_are_read_by_the_protocol(data, found):
    parser = Parser(MAX_REPLY_BYTES)
    parser.feed(data)
    assert read_answer(parser.next(), b"k", b"0a", False) == found


# -- the referee

LIMITS = referee.Limits(
    memory={"move": 5.0}, effects={"read": "idempotent", "move": "deduplicated", "book": "unrepeatable"}
)
ZERO = 1000.0


def op(number, outcome=SETTLED, sent=1.0, ended=1.1, port=9, router=0, resent=-1.0):
    return [
        "op",
        number,
        number,
        0,
        0,
        0,
        5,
        True,
        sent,
        sent,
        ended,
        outcome,
        0.0,
        1.0,
        "",
        port,
        router,
        0.0,
        False,
        -1.0,
        resent,
    ]


def attempt(
    number,
    began=1.0,
    ended=1.05,
    ran=True,
    uid="origin",
    router=0,
    mark="",
    kind="book",
    how="write",
):
    return ["leg", uid, router, b"%016x" % number, ZERO + began, ZERO + ended, how, ran, mark, False, kind]


def verdict(*rows) -> dict[str, int]:
    judge = referee.Referee(ZERO, LIMITS)
    for row in rows:
        judge.feed(list(row))
    breaks = judge.judge()
    assert all(each.text and each.at >= 0 for each in breaks)
    return {rule: n for rule, n in referee.count_by_rule(breaks).items() if n}


def test_a_sound_run_breaks_nothing():
    assert (
        verdict(
            op(1), attempt(1), op(2, BOUNCED), op(3, "hung up"), op(4, "unreached"), ["gauge", "c-0", 1.0]
        )
        == {}
    )


@pytest.mark.parametrize(
    "rows",
    [
        [["second", "01", 1.2, b"x"]],
        [op(1, WRONG)],
        [op(1, ended=2.2)],
        [op(1, "unanswered", ended=2.3)],
        [op(1, "lost")],
        [op(1), attempt(1, began=1.3, ran=False)],
        [op(1, "hung up"), attempt(1, began=2.2, ran=False)],
    ],
)
def test_one_final_answer_in_time(rows):
    assert verdict(*rows) == {referee.ANSWER: 1}


def test_what_was_taken_and_then_left_unanswered_is_a_break_though_the_client_sent_it_again():
    rows = [op(1, resent=1.04), attempt(1, ran=False), attempt(1, began=1.05, ran=False, router=1)]
    assert verdict(*rows) == {referee.ANSWER: 1}
    assert verdict(*rows[:1], rows[2]) == {}
    assert verdict(*rows, ["router", 0, "killed", ZERO + 1.03]) == {}


def test_what_a_killed_router_had_in_hand_is_excused_and_nothing_else():
    killed = ["router", 0, "killed", ZERO + 1.05]
    assert verdict(op(1, "lost"), killed) == {}
    assert verdict(op(1, "lost", router=1), killed) == {referee.ANSWER: 1}
    assert verdict(op(1, "lost", sent=3.0, ended=3.1), killed) == {referee.ANSWER: 1}
    assert verdict(op(1, "lost"), ["router", 0, "told to end", ZERO + 1.05]) == {referee.ANSWER: 1}


def test_the_front_says_which_router_a_connection_was_dealt_to():
    killed = ["router", 1, "killed", ZERO + 1.05]
    dealt = ["deal", 9, 1, ZERO + 0.5]
    assert verdict(op(1, "lost", router=-1), killed, dealt) == {}
    assert verdict(op(1, "lost", router=-1), killed, ["deal", 9, 0, ZERO + 0.5]) == {referee.ANSWER: 1}
    assert verdict(op(1, "lost", router=-1), dealt, ["refused", 9, 1, ZERO + 1.0]) == {}


@pytest.mark.parametrize(
    "rows, broken",
    [
        ([op(1), attempt(1), attempt(1, began=1.01)], 1),
        ([op(1), attempt(1), attempt(1, began=1.01, ran=False, how="repeat")], 0),
        ([op(1), attempt(1, kind="read"), attempt(1, kind="read")], 0),
        ([op(1, BOUNCED), attempt(1)], 1),
        ([op(1, BOUNCED), attempt(1, kind="move", mark="m")], 0),
        ([op(1), attempt(1, kind="move", mark="m"), op(2), attempt(2, kind="move", mark="m")], 1),
        (
            [
                op(1),
                attempt(1, kind="move", mark="m"),
                op(2, sent=9.0, ended=9.1),
                attempt(2, 9.0, 9.05, kind="move", mark="m"),
            ],
            0,
        ),
        ([op(1, resent=1.04), attempt(1), attempt(1, router=1), ["router", 0, "killed", ZERO + 1.05]], 0),
        ([op(1, resent=1.04), attempt(1, began=1.05), attempt(1, began=1.06, router=1)], 1),
    ],
)
def test_no_effect_twice(rows, broken):
    assert verdict(*rows) == ({referee.TWICE: broken} if broken else {})


def test_drains_are_kept_from_when_this_router_was_told():
    drains, ready = ["change", 5, "c-0", "draining"], ["change", 7, "c-0", "ready"]
    told = ["told", 0, 5, ZERO + 2.0]
    late = [op(1, sent=2.5, ended=2.6), attempt(1, 2.5, 2.55, uid="c-0", kind="read")]
    assert verdict(drains, told, *late) == {referee.DRAIN: 1}
    assert verdict(drains, ["told", 1, 5, ZERO + 2.0], *late) == {}  # another router was told, not this one
    assert verdict(drains, ["told", 0, 4, ZERO + 2.0], *late) == {}  # an older version
    assert verdict(drains, ["told", 0, 5, ZERO + 2.3], *late) == {}  # within the grace
    assert verdict(drains, told, ready, ["told", 0, 7, ZERO + 2.4], *late) == {}  # and ready again


def test_a_cold_server_pushed_over_is_told_with_who_sent():
    judge = referee.Referee(ZERO, LIMITS)
    for row in (
        attempt(1, uid="c-0"),
        attempt(2, uid="c-0", router=1),
        ["fall", "c-0", ZERO + 2.0, True],
        ["fall", "c-1", ZERO + 2.0, False],
    ):
        judge.feed(list(row))
    broken = judge.judge()
    assert [each.rule for each in broken] == [referee.PUSHED]
    assert "c-0 fell over" in broken[0].text and "1 from router 0, 1 from router 1" in broken[0].text
