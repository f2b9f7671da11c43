"""The simulator's host: framing, invalid input, and errors raised by the routing decisions."""

import io
import json

import pytest

from gaugehinge.routing.gossip import Gossip
from gaugehinge.routing.hash_ring import HashRing
from gaugehinge.routing.retry_safety import may_retry
from gaugehinge.routing.router import Router
from gaugehinge.routing.seeded_random import SeededRandom
from gaugehinge.settings import SettingsError, parse_json
from gaugehinge.simhost.host import Host, _is_raised_in_routing

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


def run_host(text):
    sink = io.StringIO()
    code = Host(io.StringIO(text), sink).run()
    return code, sink.getvalue()


def test_an_operation_goes_to_its_cache_then_to_the_origin_and_ends():
    completed = "completed\ti=0\tid=00aa\tserver={}\ttrial={}\ttookUs=9000\tterminal={}\tstateCode={}\n"
    code, out = run_host(
        START
        + "frame\tatTimeUs=1005000\n"
        + SUBMIT
        + "go\n"
        + "frame\tatTimeUs=1015000\n"
        + completed.format(1, 0, 0, "empty")
        + "go\n"
        + "frame\tatTimeUs=1025000\n"
        + completed.format(2, 1, 1, "delivered")
        + "go\n"
        + "frame\tatTimeUs=1035000\n"
        + completed.format(2, 1, 1, "delivered")
        + "abandoned\ti=0\tid=00aa\ntimeout_fired\ti=0\tname=9\ngo\n"
    )
    replies = out.split("ok\n")
    assert code == 0 and len(replies) == 6
    assert replies[1].startswith("hand_off\ti=0\tid=00aa\tserver=1\t")
    assert replies[2].startswith("hand_off\ti=0\tid=00aa\tserver=2\t")
    assert replies[3] == replies[4] == ""


@pytest.mark.parametrize(
    "text, expected_error",
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
def test_bad_input_prints_one_error_line_and_no_partial_reply(text, expected_error, capsys):
    code, out = run_host(text)
    stderr = capsys.readouterr().err
    assert code == 1 and expected_error in stderr and stderr.count("\n") == 1
    assert out == "" or out.endswith("ok\n")


def test_end_of_input_between_batches_exits_cleanly():
    assert run_host(START) == (0, "ok\n")


@pytest.mark.parametrize(
    "raise_error",
    [
        lambda: HashRing(None),
        lambda: Gossip(None, None),
        lambda: SeededRandom(None).fraction(),
        lambda: may_retry(None, 0.0),
        lambda: Router(None, 0.0),
    ],
)
def test_an_error_raised_in_any_routing_module_is_attributed_to_routing(raise_error):
    with pytest.raises((AttributeError, TypeError)) as caught:
        raise_error()
    assert _is_raised_in_routing(caught.value)


def test_an_error_raised_elsewhere_is_not_attributed_to_routing():
    with pytest.raises(SettingsError) as caught:
        parse_json("{")
    assert not _is_raised_in_routing(caught.value)


def test_an_error_raised_in_routing_is_reported_as_a_fault(monkeypatch, capsys):
    monkeypatch.setattr(Router, "_route", lambda self, operation, now: 1 / {}["x"])
    monkeypatch.setattr("gaugehinge.simhost.host._is_raised_in_routing", lambda error: True)
    code, out = run_host(START + "frame\tatTimeUs=1005000\n" + SUBMIT + "go\n")
    assert code == 0 and "fault\ti=0\tmsg=KeyError" in out and "Traceback" in capsys.readouterr().err
