"""The network's parts that do no I/O: parser, tables, deadlines, start values, lists, labels, answers."""

import json
import random
import re
import time
from pathlib import Path

import pytest
import trio

from gaugehinge.net import resp
from gaugehinge.net.codec import ConnectionLost, MalformedReply
from gaugehinge.net.configuration import read_configuration
from gaugehinge.net.endpoint_list import read_endpoint_list
from gaugehinge.net.handle_table import HandleTable
from gaugehinge.net.http_exchange import HttpExchange
from gaugehinge.net.request_errors import RequestError
from gaugehinge.net.request_parser import parse_labels
from gaugehinge.net.resp_codec import read_reply
from gaugehinge.net.timer_queue import MAX_LAG, Clock, TimerQueue
from gaugehinge.routing.router import Router
from gaugehinge.routing.types import EndpointState, Outcome
from gaugehinge.settings import SettingsError, read_reported_load, read_settings
from tests.helper import SETTINGS, free_port

MESSAGES = [
    b"*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$9\r\nc=x,d=480\r\n",
    b"+PONG\r\n",
    b"-BUSY 40\r\n",
    b":-7\r\n",
    b"$0\r\n\r\n",
    b"$-1\r\n",
    b"*-1\r\n",
    b"*0\r\n",
    b"*3\r\n$-1\r\n$4\r\nmiss\r\n*1\r\n:1\r\n",
    b"$5\r\na\r\nb\n\r\n",
    b"$65536\r\n" + b"v" * 65536 + b"\r\n",
]


def parse_all(parser):
    found = []
    while (message := parser.next()) is not None:
        found.append(message.raw)
    return found


def test_the_parser_fed_byte_by_byte_finds_each_message():
    for whole in MESSAGES[:-1]:
        parser = resp.Parser()
        for byte in whole[:-1]:
            parser.feed(bytes([byte]))
            assert parser.next() is None
        parser.feed(whole[-1:])
        assert parser.next().raw == whole
        assert len(parser) == 0


def test_the_parser_fed_in_chance_pieces_finds_the_same_messages():
    chance = random.Random(5)
    for _ in range(40):
        told = [chance.choice(MESSAGES) for _ in range(6)]
        data, parser, found = b"".join(told), resp.Parser(), []
        while data:
            size = chance.choice([1, 3, 50, 5000, 40000])
            parser.feed(data[:size])
            data = data[size:]
            found += parse_all(parser)
        assert found == told


@pytest.mark.parametrize(
    "bad",
    [
        b"GET / HTTP/1.1\r\n",
        b"$x\r\n",
        b"$-2\r\n",
        b"$+5\r\nhello\r\n",
        b"$005\r\nhello\r\n",
        b"*01\r\n$1\r\nv\r\n",
        b"$65537\r\n",
        b"$99999999999999\r\n",
        b"$3\r\nabcd\r\n",
        b"*17\r\n",
        b"*1\r\n*1\r\n*1\r\n:1\r\n",
        b":1_0\r\n",
        b"\x00",
        b"+" + b"x" * 2000,
        b"*9\r\n" + 8 * (b"$65000\r\n" + b"v" * 65000 + b"\r\n"),
    ],
)
def test_what_is_not_the_protocol_is_malformed(bad):
    parser = resp.Parser()
    with pytest.raises(resp.Malformed):
        for start in range(0, len(bad), 32768):
            parser.feed(bad[start : start + 32768])
            parse_all(parser)


@pytest.mark.parametrize(
    ("answer", "outcome", "value"),
    [
        (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", Outcome.SUCCEEDED, b"$1\r\nv\r\n"),
        (b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", Outcome.SUCCEEDED, b"$0\r\n\r\n"),
        (b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", Outcome.CACHE_MISS, None),
        (b"-ERR failed\r\n", Outcome.SERVER_ERROR, None),
        (b"-ERR failed inflight=7\r\n", Outcome.SERVER_ERROR, None),
        (b"-BUSY\r\n", Outcome.REJECTED, None),
        (b"-BUSYNESS\r\n", Outcome.SERVER_ERROR, None),
        (b"-NOPERM\r\n", Outcome.SERVER_ERROR, None),
        (b"+OK\r\n", None, None),
        (b":1\r\n", None, None),
        (b"$1\r\nv\r\n", None, None),
        (b"*0\r\n", None, None),
        (b"*-1\r\n", None, None),
        (b"*1\r\n:1\r\n", None, None),
        (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n:8\r\n", Outcome.SUCCEEDED, b"$1\r\nv\r\n"),
        (b"*3\r\n$1\r\nv\r\n:1\r\n$-1\r\n", None, None),
        (b"*2\r\n$1\r\nv\r\n$3\r\nhit\r\n", None, None),
    ],
)
def test_a_cache_servers_answer_by_the_table(answer, outcome, value):
    parser = resp.Parser()
    parser.feed(answer)
    if outcome is None:
        with pytest.raises(MalformedReply):
            read_reply(parser.next())
        return
    reply = read_reply(parser.next())
    assert (reply.outcome, reply.value) == (outcome, value)


def test_an_http_answer_in_pieces_and_what_ends_its_connection():
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"
    talk = HttpExchange(100)
    for keep, behind in ((True, b""), (False, b"HTTP/1.1 200")):
        talk.request("GET", "/k", [(b"Host", b"h")])
        for byte in whole[:-1]:
            assert talk.receive(bytes([byte])) is None
        got = talk.receive(whole[-1:] + behind)
        assert (got.status, got.body, got.reusable) == (200, b"ab", keep)
    ends = HttpExchange(100)
    ends.request("GET", "/k", [(b"Host", b"h")])
    assert ends.receive(b"HTTP/1.1 200 OK\r\n\r\nab") is None
    got = ends.receive(b"")
    assert (got.body, got.reusable) == (b"ab", False)
    for bad in (b"nonsense\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + b"x" * 101):
        talk = HttpExchange(100)
        talk.request("GET", "/k", [(b"Host", b"h")])
        with pytest.raises(MalformedReply):
            talk.receive(bad)
    odd = b"HTTP/1.1 103 Wait\r\nx-pressure: \x01\r\n\r\n"
    odd += whole.replace(b"\r\n", b"\r\nX-Pressure:\x00=\xff\r\n", 1)
    for pieces in ([odd], [odd[i : i + 1] for i in range(len(odd))]):
        talk = HttpExchange(100)
        talk.request("GET", "/k", [(b"Host", b"h")])
        answers = [talk.receive(piece) for piece in pieces]
        assert answers[-1][2:] == (b"ab", True, False, False)
        assert not any(answers[:-1])
    empty = HttpExchange(100)
    empty.request("GET", "/k", [(b"Host", b"h")])
    assert not empty.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200").reusable
    talk = HttpExchange(100)
    talk.request("GET", "/k", [(b"Host", b"h")])
    talk.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
    with pytest.raises(ConnectionLost) as ended:
        talk.receive(b"")
    assert not isinstance(ended.value, MalformedReply)


def test_a_stale_handle_finds_nothing_and_slots_are_used_again():
    slots = HandleTable()
    first = slots.add("a")
    assert slots.remove(first) == "a"
    assert slots.remove(first) is None
    assert len(slots) == 0
    second = slots.add("b")
    assert second != first
    assert slots.get(first) is None
    assert slots.get(second) == "b"
    assert list(slots) == ["b"]
    for _ in range(1000):
        slots.remove(slots.add("c"))
    assert len(slots._items) == 2


def test_deadlines_come_in_order_and_a_failing_one_takes_no_other_with_it():
    done = []

    async def main():
        timers = TimerQueue(Clock())
        now = timers.clock()
        timers.call_at(now + 0.03, done.append, 3)
        timers.call_at(now + 0.02, lambda: 1 / 0)
        timers.call_at(now + 0.01, done.append, 1)
        timers.cancel(timers.call_at(now + 0.01, done.append, "dropped"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            with trio.fail_after(10):
                while len(done) < 2:
                    await trio.sleep(0.005)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert done == [1, 3]


def test_a_stall_of_the_loop_is_measured_and_remembered():
    async def main():
        timers = TimerQueue(Clock())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(timers.run)
            await trio.sleep(0.01)
            time.sleep(0.4)
            with trio.fail_after(10):
                while timers.lag < 0.2:
                    await trio.sleep(0.001)
            assert timers.lag <= MAX_LAG
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_dropped_deadlines_do_not_pile_up():
    timers = TimerQueue(Clock())
    kept = timers.call_at(0.0, print)
    for i in range(10_000):
        timers.cancel(timers.call_at(1e12 + i, print))
    assert len(timers) < 200
    assert kept.action is print


ENTRY = {
    "uid": "s-1",
    "endpoint": "127.0.0.1:6379",
    "az": "a",
    "model": "m",
    "pod_group": 3,
    "state": "ready",
    "boot_ms": 1500,
}


def test_a_server_is_the_same_in_the_ring_wherever_it_is_reached():
    here = read_endpoint_list({"rev": 4, "all": True, "targets": [ENTRY]}).targets[0]
    there = read_endpoint_list(
        {
            "rev": 9,
            "all": False,
            "targets": [{"uid": "s-0", "endpoint": "127.0.0.1:1"}, {**ENTRY, "endpoint": "127.9.9.9:7000"}],
        }
    ).targets[1]
    other = read_endpoint_list({"rev": 9, "all": False, "targets": [{**ENTRY, "uid": "s-2"}]}).targets[0]
    assert here.entry == there.entry
    assert here.address != there.address
    assert here.entry.started == 1.5
    assert other.entry.ident != here.entry.ident


def test_an_unknown_state_gets_nothing_new_and_a_server_gone_needs_no_endpoint():
    told = read_endpoint_list(
        {"rev": 4, "all": False, "targets": [{**ENTRY, "state": "resting"}, {"uid": "s-9", "state": "gone"}]}
    )
    assert [t.entry.state for t in told.targets] == [EndpointState.DRAINING, EndpointState.GONE]


@pytest.mark.parametrize(
    "bad",
    [
        [],
        None,
        {"rev": 1},
        {"all": True, "targets": []},
        {"rev": "x", "all": True, "targets": []},
        {"rev": 1, "all": "yes", "targets": []},
        {"rev": 1, "all": True, "targets": 5},
        {"rev": 1, "all": True, "targets": [7]},
        {"rev": 1, "all": True, "targets": [{**ENTRY, "endpoint": "x:1"}]},
        {"rev": 1, "all": True, "targets": [{**ENTRY, "uid": 5}]},
        {"rev": 1, "all": True, "targets": [{**ENTRY, "boot_ms": "late"}]},
        {"rev": 1, "all": True, "targets": [{**ENTRY, "endpoint": "127.0.0.1:99999"}]},
    ],
)
def test_a_bad_list_is_refused_whole(bad):
    with pytest.raises(SettingsError):
        read_endpoint_list(bad)


def test_labels_leave_a_gap_for_the_wait_and_nothing_else():
    labels, gap = parse_labels(b"c=read,d=480,t=acme,size=7")
    assert labels == {"c": "read", "d": "480", "t": "acme", "size": "7"}
    assert b"9".join(gap) == b"c=read,d=9,t=acme,size=7"
    assert parse_labels(b"id=480,d=480,x=d=480")[1] == (b"id=480,d=", b",x=d=480")
    for bad in (b"c=read", b"c", b"c=read,d=4,d=5", b",d=4", b"=x,d=4"):
        with pytest.raises(RequestError):
            parse_labels(bad)


CONFIG = {
    "listen": "127.0.0.1:7000",
    "discovery": "127.0.0.1:7001",
    "seed": "8c1f",
    "settings": SETTINGS,
    "peers": ["127.0.0.1:7002"],
    "limits": {"memory_mb": 192, "sockets": 1024},
}


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "here"}, "listen"),
        ({"listen": None}, "listen"),
        ({"discovery": "127.0.0.1:0"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": None}, "settings"),
        ({"settings": 7}, "settings"),
        ({"peers": ["127.0.0.1:7002", 5]}, "peers[1]"),
        ({"limits": {"sockets": 3}}, "limits.sockets"),
        ({"limits": {"memory_mb": "big"}}, "limits.memory_mb"),
        (
            {"settings": {**SETTINGS, "trafficTypes": [{"name": "x"}]}},
            "settings.trafficTypes[0].promisedTimeUs",
        ),
        ({"settings": {**SETTINGS, "allowed": {"mostLegs": -1}}}, "settings.allowed.mostLegs"),
    ],
)
def test_a_bad_configuration_names_its_field(tmp_path, change, field):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, **change}))
    with pytest.raises(SettingsError) as told:
        read_configuration({"LB_CONFIG": str(path)})
    assert str(told.value).startswith(field + ":")
    assert "\n" not in str(told.value)


def test_a_good_configuration_is_read_and_the_list_is_always_asked_for(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**CONFIG, "settings": {**SETTINGS, "discovery": "pushed", "novel": 1}}))
    configuration = read_configuration({"LB_CONFIG": str(path), "LB_NAME": "n7"})
    assert configuration.name == "n7"
    assert configuration.listen == ("127.0.0.1", 7000)
    assert configuration.memory == 192 << 20
    assert configuration.settings.deployment.must_poll
    assert configuration.settings.deployment.seed == 0x8C1F
    assert not read_settings(1, {**SETTINGS, "discovery": "pushed"}).deployment.must_poll
    for missing in ({}, {"LB_CONFIG": str(tmp_path / "none")}):
        with pytest.raises(SettingsError, match="LB_CONFIG"):
            read_configuration(missing)


@pytest.mark.parametrize(
    ("field", "value", "told"),
    [
        ("weights", "heavy", "weights: none of off, nominal, rough, live"),
        ("weights", 2, "weights: none of"),
        ("report.source", "sometimes", "report.source: none of off, inline, on_probe"),
        ("report.names", "active", "report.names: not a list"),
        ("report.names", [7], "report.names[0]: not text"),
        ("prices.crossZone", -0.1, "prices.crossZone: -0.1 is under 0"),
        ("prices.handshake", "dear", "prices.handshake: not a number"),
        ("allowed.maxStreams", 0, "allowed.maxStreams: 0 is under 1"),
        ("az", 4, "az: not text"),
    ],
)
def test_a_wrong_setting_of_the_new_shape_is_named(field, value, told):
    page, _, name = field.rpartition(".")
    changed = {page: {**SETTINGS.get(page, {}), name: value}} if page else {name: value}
    settings = {**SETTINGS, **changed}
    with pytest.raises(SettingsError, match=re.escape(told)):
        read_settings(1, settings)


def test_without_the_settings_of_the_new_shape_nothing_of_it_acts():
    told = read_settings(1, SETTINGS)
    plain = told.deployment
    assert not told.reports_load
    assert not plain.has_endpoint_weights
    assert not plain.one_attempt_per_connection
    assert plain.cross_zone_price == plain.connection_price == 0.0
    many = {**SETTINGS, "prices": {"handshake": 0.1}, "allowed": {**SETTINGS["allowed"], "maxStreams": 128}}
    assert Router(read_settings(1, many).deployment, 0.0).selection.start_candidates == 1
    one = {**many, "allowed": {**SETTINGS["allowed"], "maxStreams": 1}, "weights": "live"}
    assert Router(read_settings(1, one).deployment, 0.0).selection.start_candidates > 1
    assert not read_settings(1, one).deployment.has_endpoint_weights
    for source, names, tells in (
        ("inline", ["rps", "active"], True),
        ("inline", ["rps"], False),
        ("on_probe", ["active"], False),
    ):
        assert (
            read_settings(1, {**SETTINGS, "report": {"source": source, "names": names}}).reports_load is tells
        )


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("active=7,rps=3.5", 7.0),
        ("rps=3,active=0", 0.0),
        ("active=7", 7.0),
        ("active=7,rps=x", 7.0),
        ("", None),
        ("rps=3", None),
        ("active=-1", None),
        ("active=nan", None),
        ("active=inf", None),
        ("active", None),
        ("active=", None),
        ("\x00\xff,=,=", None),
        ("active:7", None),
    ],
)
def test_a_load_report_counts_only_as_far_as_it_makes_sense(text, told):
    assert read_reported_load(text, "=") == told


@pytest.mark.parametrize(
    ("hint", "weight"),
    [
        (2.5, 2.5),
        (1, 1.0),
        (0, 0.0),
        (-1, 0.0),
        (None, 0.0),
        ("2", 2.0),
        ("x", 0.0),
        (True, 0.0),
        ([], 0.0),
    ],
)
def test_a_servers_weight_counts_only_as_far_as_it_makes_sense(hint, weight):
    row = {"uid": "s", "endpoint": "127.0.0.1:1", "az": "a", "model": "m", "capacity_hint": hint}
    [target] = read_endpoint_list({"rev": 1, "all": True, "targets": [row]}).targets
    assert target.entry.weight == weight


def test_the_third_part_of_an_answer_is_handed_on_as_the_report():
    for answer, told in (
        (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$8\r\nactive=7\r\n", b"active=7"),
        (b"*3\r\n$-1\r\n$4\r\nmiss\r\n$8\r\nactive=7\r\n", b"active=7"),
        (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", b""),
        (b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n:8\r\n", b""),
        (b"-ERR failed active=7\r\n", b"active=7"),
    ):
        parser = resp.Parser()
        parser.feed(answer)
        assert read_reply(parser.next()).reported_load == told


def test_a_free_port_is_none_that_the_system_gives_to_connections():
    """One that it may give away was taken by another process before the router listened there."""
    least, most = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
    ports = [free_port() for _ in range(50)]
    assert len(set(ports)) == 50 and not any(least <= port <= most for port in ports)
