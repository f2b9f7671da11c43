"""The adapter: framing, bad input, a mistake in the decisions."""

import io
import json

import pytest

from gaugehinge.routing.gossip import Gossip
from gaugehinge.routing.hash_ring import HashRing
from gaugehinge.routing.retry_safety import may_retry
from gaugehinge.routing.router import Router
from gaugehinge.routing.seeded_random import SeededRandom
from gaugehinge.settings import SettingsError, parse_json
from gaugehinge.simhost.host import Host, _is_from_decisions

INFO = json.dumps(
    {
        "allowed": {"mostLegs": 3, "mayCancel": True, "later": 1},
        "domain": {"mode": "aside", "originKind": 1},
        "shapes": ["std", "origin"],
        "granularityUs": 5000,
        "rules": {"coldUs": 1000000},
        "trafficTypes": [
            {"name": "page", "effect": "repeatable", "promisedTimeUs": 500000, "abandonTimeUs": 900000}
        ],
    }
)
START = (
    f"frame\tatTimeUs=1000000\nhello\ti=0\trandomSeed=5\tinfo={INFO}\nlist\tlist=0\tmembers=2\n"
    "row\tserver=1\tavailability=U\tclassOfHost=std\nrow\tserver=2\tavailability=U\tclassOfHost=origin\n"
    "fleet\ti=0\tform=disk\tlist=0\tserial=1\ngo\n"
)
SUBMIT = "submit\ti=0\tid=00aa\tprofile=page\tleftUs=900000\tnameKey=k:1\tnovel=x\n"


def play(text):
    sink = io.StringIO()
    code = Host(io.StringIO(text), sink).run()
    return code, sink.getvalue()


def test_an_operation_goes_to_its_cache_then_to_the_origin_and_ends():
    done = "completed\ti=0\tid=00aa\tserver={}\ttrial={}\ttookUs=9000\tterminal={}\tstateCode={}\n"
    code, out = play(
        START
        + "frame\tatTimeUs=1005000\n"
        + SUBMIT
        + "go\n"
        + "frame\tatTimeUs=1015000\n"
        + done.format(1, 0, 0, "empty")
        + "go\n"
        + "frame\tatTimeUs=1025000\n"
        + done.format(2, 1, 1, "delivered")
        + "go\n"
        + "frame\tatTimeUs=1035000\n"
        + done.format(2, 1, 1, "delivered")
        + "abandoned\ti=0\tid=00aa\ntimeout_fired\ti=0\tname=9\ngo\n"
    )
    replies = out.split("ok\n")
    assert code == 0 and len(replies) == 6
    assert replies[1].startswith("hand_off\ti=0\tid=00aa\tserver=1\t")
    assert replies[2].startswith("hand_off\ti=0\tid=00aa\tserver=2\t")
    assert replies[3] == replies[4] == ""


@pytest.mark.parametrize(
    "text, told",
    [
        ("go\n", "line 1"),
        ("frame\tatTimeUs=x\ngo\n", "line 1"),
        ("frame\tatTimeUs=1\nwonder\ti=0\ngo\n", "line 2: unknown message 'wonder'"),
        (START + "frame\tatTimeUs=1005000\nsubmit\ti=0\tprofile=page\tleftUs=1\ngo\n", "'id'"),
        (START + "frame\tatTimeUs=1005000\nsubmit\ti=0\tid=1\tprofile=page\tleftUs=soon\ngo\n", "soon"),
        (START + "frame\tatTimeUs=1005000\n", "ends within a batch"),
        ("frame\tatTimeUs=1\nlist\tlist=0\tmembers=2\nrow\tserver=1\n", "ends within a list"),
    ],
)
def test_bad_input_gets_one_plain_line_and_no_half_reply(text, told, capsys):
    code, out = play(text)
    said = capsys.readouterr().err
    assert code == 1 and told in said and said.count("\n") == 1
    assert out == "" or out.endswith("ok\n")


def test_the_end_between_batches_is_a_clean_exit():
    assert play(START) == (0, "ok\n")


@pytest.mark.parametrize(
    "mistake",
    [
        lambda: HashRing(None),
        lambda: Gossip(None, None),
        lambda: SeededRandom(None).fraction(),
        lambda: may_retry(None, 0.0),
        lambda: Router(None, 0.0),
    ],
)
def test_a_mistake_in_any_module_of_the_decisions_is_known_as_one(mistake):
    with pytest.raises((AttributeError, TypeError)) as caught:
        mistake()
    assert _is_from_decisions(caught.value)


def test_a_mistake_elsewhere_is_none_of_the_decisions():
    with pytest.raises(SettingsError) as caught:
        parse_json("{")
    assert not _is_from_decisions(caught.value)


def test_a_mistake_in_the_decisions_becomes_a_fault(monkeypatch, capsys):
    monkeypatch.setattr(Router, "_route", lambda self, operation, now: 1 / {}["x"])
    monkeypatch.setattr("gaugehinge.simhost.host._is_from_decisions", lambda bad: True)
    code, out = play(START + "frame\tatTimeUs=1005000\n" + SUBMIT + "go\n")
    assert code == 0 and "fault\ti=0\tmsg=KeyError" in out and "Traceback" in capsys.readouterr().err
