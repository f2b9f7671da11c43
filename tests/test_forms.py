"""Files and records: units, complaints with their field, schema and reference, fuzzing of what is read."""

import json
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaugehinge.forms import reference, toml, units
from gaugehinge.forms.record import BadRecord, Recorder, rows
from gaugehinge.installation.build import charter_of, configuration_of, read_installation
from gaugehinge.installation.form import REFERENCE, Installation
from gaugehinge.net.endpoint_list import EndpointListUpdate, read_endpoint_list
from gaugehinge.net.resp import Malformed, Parser
from gaugehinge.rehearsal import script
from gaugehinge.settings import SettingsError, parse_json, read_settings

ROOT = Path(__file__).parent.parent
LEAST = """
[listen]
clients = "127.0.0.1:6379"
[discovery]
address = "127.0.0.1:7300"
[[traffic]]
name = "read"
effect = "idempotent"
promised_time = "1s"
"""
SCRIPT = """
[[traffic]]
name = "read"
effect = "idempotent"
promised_time = "1s"
[[tenants]]
name = "acme"
"""


def complaint(text: str, form=Installation) -> str:
    with pytest.raises(toml.BadFile) as caught:
        toml.parse(text.encode(), form, "f.toml")
    told = str(caught.value)
    assert "\n" not in told
    return told


@pytest.mark.parametrize("told, seconds", [("1.5s", 1.5), ("20 ms", 0.02), ("3us", 3e-6), ("2min", 120.0)])
def test_times_carry_their_unit(told, seconds):
    assert units.seconds(told) == pytest.approx(seconds)


@pytest.mark.parametrize("told", ["", "1", "s", "1.5", "-1s", "1e3s", "1S", "9999h", 1.5, None, "1s\n"])
def test_no_time(told):
    with pytest.raises(ValueError):
        units.seconds(told)


def test_sizes_and_rates():
    assert units.size("64MiB") == 64 << 20
    assert units.rate("500/s") == 500.0
    for value in (units.Seconds(0.25), units.Size(4096), units.Rate(12.5)):
        assert units.UNITS[type(value)](value.text()) == value


@pytest.mark.parametrize(
    "change, field",
    [
        (("[listen]", "[listen]\nport = 1"), "listen.port: no such field"),
        (('"127.0.0.1:6379"', '"localhost:6379"'), "listen.clients: "),
        (('"127.0.0.1:6379"', "6379"), "listen.clients: "),
        (('"1s"', "1"), "traffic[0].promised_time: "),
        (('"1s"', '"0s"'), "traffic[0].promised_time: must be over 0"),
        (('"idempotent"', '"safe"'), "traffic[0].effect: "),
        (('"idempotent"', '"deduplicated"'), "traffic[0].memory: "),
        (('effect = "idempotent"\n', ""), "traffic[0].effect: missing"),
        (("[listen]", '[limits]\nmemory = "16MiB"\n[listen]'), "limits.memory: "),
        (("[listen]", "[limits]\nsockets = 3\n[listen]"), "limits.sockets: "),
        (("[listen]", "[tier]\nme = 2\n[listen]"), "tier.me: "),
        (("[listen]", '[[tenants]]\nname = "a"\n[[tenants]]\nname = "a"\n[listen]'), "tenants[1].name: "),
        (("[listen]", "[listen"), "the whole: not TOML"),
    ],
)
def test_a_complaint_names_file_and_field(change, field):
    told = complaint(LEAST.replace(*change))
    assert told.startswith(f"f.toml: {field}"), told


@pytest.mark.parametrize(
    "addition, field",
    [
        ('[[step]]\nat = "40s"\ndo = "crash"\nwho = "c-0"', "step[0].at: after the end"),
        ('[[step]]\nat = "1s"\ndo = "crash"\nwho = "d-0"', "step[0].who: no server"),
        ('[[step]]\nat = "1s"\ndo = "explode"\nwho = "c-0"', "step[0].do: "),
        ('[[step]]\nat = "1s"\ndo = "outage"\nwho = "origin"', "step[0].do: "),
        ('[[step]]\nat = "1s"\ndo = "sigkill"\nwho = "4"', "step[0].who: no router"),
        ('[[step]]\nat = "1s"\ndo = "surge"\nwho = "birch"', "step[0].who: no tenant"),
        ("[load]\nmix = { write = 1.0 }", "load.mix.write: no such traffic type"),
    ],
)
def test_a_script_that_cannot_be_played_says_where(addition, field):
    told = complaint(SCRIPT + addition, script.Script)
    assert told.startswith(f"f.toml: {field}"), told


@pytest.mark.parametrize(
    "text",
    [
        "settled",
        "settled > 1 between 5s and 2s",
        "shed >= 1",
        "settled >= 0.9 of birch",
        "settled >= 0.9 for write",
    ],
)
def test_an_expectation_that_cannot_be_read(text):
    assert complaint(f'expect = ["{text}"]' + SCRIPT, script.Script).startswith("f.toml: expect[0]: ")


def test_an_expectation_in_words():
    wanted = script.read_expectation("p99 <= 250ms of acme for read between 2s and 4.5s")
    assert wanted[1:] == ("p99", "<=", 0.25, "acme", "read", 2.0, 4.5)


def test_the_installation_brings_the_same_values_as_the_platforms_json():
    text = LEAST.replace(
        "[listen]",
        """
        [[tenants]]\nname = "acme"\nshare = 2.0\nallowance = "100/s"
        [rules]\ncold_from = 0.4\ncold_time = "5s"\n[listen]
    """,
    ).replace('"1s"', '"1s"\nabandon_time = "2s"\nlate_payoff = 0.25')
    told = toml.parse(text.encode(), Installation)
    platform = read_settings(
        0,
        {
            "allowed": {
                "mostLegs": 4,
                "mayCancel": True,
                "retryAfter": True,
                "maxRetryAfterUs": 2e6,
                "openCap": 20_000,
            },
            "domain": {"mode": "aside", "originKind": 0},
            "shapes": ["origin"],
            "granularityUs": 5000,
            "rules": {"coldFrom": 0.4, "coldUs": 5e6, "fallMultiple": 2.5, "fallUs": 3e6},
            "parties": [{"name": "acme", "share": 2.0, "allowancePerS": 100.0}],
            "discovery": "on_request",
            "trafficTypes": [
                {
                    "name": "read",
                    "effect": "repeatable",
                    "promisedTimeUs": 1e6,
                    "abandonTimeUs": 2e6,
                    "overduePayoff": 0.25,
                }
            ],
        },
    )
    made = charter_of(told)
    assert replace(made, deployment=replace(made.deployment, seed=0)) == platform
    assert made.deployment.seed  # a new one with every start
    assert configuration_of(told).listen == ("127.0.0.1", 6379)


def test_what_is_written_is_read_again(tmp_path):
    told = toml.parse(LEAST.encode(), Installation)
    toml.write(tmp_path / "f.toml", told)
    assert toml.read(tmp_path / "f.toml", Installation) == told


def test_files_that_cannot_be_read(tmp_path):
    with pytest.raises(toml.BadFile, match="cannot be read"):
        toml.read(tmp_path / "none.toml", Installation)
    (tmp_path / "long.toml").write_bytes(b"#" * (toml.MOST_FILE + 1))
    with pytest.raises(toml.BadFile, match="over a megabyte"):
        toml.read(tmp_path / "long.toml", Installation)


@pytest.mark.parametrize(
    "page, head, form",
    [("installation-file.md", REFERENCE, Installation), ("script-file.md", script.REFERENCE, script.Script)],
)
def test_the_reference_pages_are_those_of_the_structs(page, head, form):
    made = reference.page(*head, form)
    assert (ROOT / "docs" / page).read_text().rstrip() == made.rstrip()
    json.dumps(reference.schema(form))


@pytest.mark.parametrize("path", sorted((ROOT / "rehearsals").glob("*.toml")), ids=lambda path: path.stem)
def test_the_rehearsals_make_sense(path):
    script.read_script(path)


# -- records


def test_a_record_is_read_up_to_where_it_was_cut_off(tmp_path):
    path = tmp_path / "a.rec"
    record = Recorder(path)
    for i in range(10):
        record.row("op", i, b"k", 0.5)
    record.close()
    whole = list(rows(path))
    assert whole == [["op", i, b"k", 0.5] for i in range(10)]
    path.write_bytes(path.read_bytes()[:-3])
    assert list(rows(path)) == whole[:-1]


def test_no_record(tmp_path):
    path = tmp_path / "a.rec"
    path.write_bytes(b"something else")
    with pytest.raises(BadRecord):
        list(rows(path))
    record = Recorder(path)
    record.close()
    path.write_bytes(path.read_bytes() + b"\x01\0\0\0\xc1")
    with pytest.raises(BadRecord):
        list(rows(path))


# -- fuzzing: no exception but the stated one

RESP_BITS = st.sampled_from(
    [
        b"*",
        b"$",
        b"+",
        b"-",
        b":",
        b"\r\n",
        b"1",
        b"3",
        b"-1",
        b"65537",
        b"007",
        b"PING",
        b"\0",
        b"*1\r\n$4\r\nPING\r\n",
    ]
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(RESP_BITS | st.binary(max_size=20), max_size=30), st.integers(1, 7))
def test_fuzzed_resp_is_malformed_or_messages_whatever_the_pieces(bits, piece):
    data = b"".join(bits)

    def read(step: int) -> list[bytes]:
        parser, found = Parser(), []
        try:
            for i in range(0, len(data), step):
                parser.feed(data[i : i + step])
                while (message := parser.next()) is not None:
                    found.append(message.raw)
        except Malformed:
            found.append(b"malformed")
        return found

    assert read(piece) == read(max(len(data), 1))


JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["rev", "all", "targets", "uid", "endpoint", "state", "boot_ms", "pod_group", "x"]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=20,
)
ENTRY = st.fixed_dictionaries(
    {},
    optional={
        "uid": st.text(max_size=5) | st.none(),
        "endpoint": st.sampled_from(["1.2.3.4:5", "x", "1.2.3.4:99999", 7]),
        "state": st.sampled_from(["ready", "draining", "gone", "odd", 3]),
        "boot_ms": JSON,
        "pod_group": JSON,
    },
)
LIST = st.fixed_dictionaries(
    {
        "rev": JSON | st.integers(0, 9),
        "all": JSON | st.booleans(),
        "targets": JSON | st.lists(ENTRY, max_size=3),
    }
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(JSON | LIST)
def test_a_fuzzed_list_is_read_or_bad(told):
    try:
        assert isinstance(read_endpoint_list(parse_json(json.dumps(told))), EndpointListUpdate)
    except SettingsError as bad:
        assert str(bad)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.data())
def test_a_fuzzed_file_is_read_or_one_line_says_why(data):
    text, form = data.draw(st.sampled_from([(LEAST, Installation), (SCRIPT, script.Script)]))
    lines = text.splitlines()
    for _ in range(data.draw(st.integers(1, 3))):
        place = data.draw(st.integers(0, len(lines) - 1))
        odd = data.draw(
            st.sampled_from(
                [
                    "",
                    "x = 1",
                    "[limits]",
                    "[[step]]",
                    "[[tenants]]",
                    'who = "["',
                    'at = "-1s"',
                    "seed = -1",
                    "seed = 1e400",
                    'lasts = "1s"',
                    "count = true",
                    "[emulator]\nprocesses = 0",
                    'do = "deploy"',
                    'who = "150%"',
                ]
            )
            | st.text(max_size=10)
        )
        lines[place] = data.draw(st.sampled_from([odd, lines[place] + odd, lines[place][:5]]))
    try:
        toml.parse("\n".join(lines).encode("utf-8", "replace"), form, "f")
    except toml.BadFile as bad:
        assert "\n" not in str(bad)


def test_an_installation_tells_of_the_new_shape_and_says_nothing_of_it_by_itself(tmp_path):
    path = tmp_path / "one.toml"
    before, after = (ROOT / "example" / "installation.toml").read_text().split("[rules]\n")
    path.write_text(f"{before}[rules]\n{after}")
    plain = charter_of(read_installation(path)).deployment
    assert not plain.has_endpoint_weights and not plain.one_attempt_per_connection
    assert plain.connection_price == plain.cross_zone_price == 0.0
    told = "weights = true\nreports = true\nconnection_price = 0.1\ncrossing_price = 0.2\n"
    path.write_text(f"{before}[rules]\n{told}one_leg_a_connection = true\n{after}")
    made = charter_of(read_installation(path))
    assert (
        made.deployment.has_endpoint_weights
        and made.deployment.one_attempt_per_connection
        and made.reports_load
    )
    assert (made.deployment.connection_price, made.deployment.cross_zone_price) == (0.1, 0.2)
    path.write_text(f"{before}[rules]\nconnection_price = -1.0\n{after}")
    with pytest.raises(toml.BadFile, match="rules.connection_price"):
        read_installation(path)
