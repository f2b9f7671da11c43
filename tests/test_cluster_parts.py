"""Unit tests of the cluster package that need no sockets: RESP parsing, hash slots, slot maps."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaugehinge.cluster.resp3 import (
    CLIENT_LIMITS,
    BigNumber,
    Error,
    Limits,
    Malformed,
    Message,
    Pairs,
    Push,
    Reader,
    Set,
    Status,
    Verbatim,
    bulk,
    command,
    encode,
)
from gaugehinge.cluster.slots import (
    SLOTS,
    Node,
    SlotMap,
    SlotRange,
    even_slot_map,
    parse_redirection,
    parse_slots_reply,
    slot_of,
)


def parse_all(data: bytes, limits: Limits = CLIENT_LIMITS) -> list[Message]:
    reader = Reader(limits)
    reader.feed(data)
    messages = []
    while (message := reader.next()) is not None:
        messages.append(message)
    return messages


LINES = st.binary(max_size=12).map(lambda text: text.replace(b"\r", b"").replace(b"\n", b""))
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(1 << 63), (1 << 63) - 1),
    st.floats(allow_nan=False),
    st.binary(max_size=20),
    LINES.map(Status),
    LINES.map(Error),
    st.integers().map(BigNumber),
    st.builds(Verbatim, st.sampled_from([b"txt", b"mkd"]), st.binary(max_size=9)),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.lists(inner, max_size=4).map(Set),
        st.lists(inner, max_size=4).map(Push),
        st.lists(st.tuples(inner, inner), max_size=3).map(Pairs),
    ),
    max_leaves=12,
)


def comparable(value):
    """The value in a form that compares types as well; tuples and lists within pairs count as equal."""
    if isinstance(value, list | tuple) and not isinstance(value, Verbatim):
        return type(value).__name__ if isinstance(value, list) else "list", [
            comparable(item) for item in value
        ]
    return type(value).__name__, value


@settings(max_examples=200, deadline=None)
@given(st.lists(VALUES, min_size=1, max_size=3), st.randoms(use_true_random=False))
def test_encoded_values_are_parsed_back_however_they_are_split(values, random_source):
    deep = Limits(depth=30)
    data = b"".join(encode(value, 3) for value in values)
    reader, messages, position = Reader(deep), [], 0
    while position < len(data):
        end = position + random_source.randint(1, 7)
        reader.feed(data[position:end])
        position = end
        while (message := reader.next()) is not None:
            messages.append(message)
    assert [comparable(message.value) for message in messages] == [comparable(value) for value in values]
    assert b"".join(message.raw for message in messages) == data and not len(reader)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=40), st.sampled_from([b"", b"*2\r\n", b"%1\r\n$1\r\na\r\n", b"|1\r\n+a\r\n+b\r\n"]))
def test_arbitrary_bytes_are_parsed_or_raise_malformed(data, head):
    reader = Reader()
    try:
        for i in range(len(head + data)):
            reader.feed((head + data)[i : i + 1])
            while reader.next() is not None:
                pass
    except Malformed as malformed:
        assert str(malformed)


@settings(max_examples=100, deadline=None)
@given(VALUES)
def test_resp2_encoding_uses_only_resp2_types(value):
    data = encode(value, 2)
    [message] = parse_all(data, Limits(depth=30))
    types = set()

    def walk(node):
        types.add(type(node))
        if isinstance(node, list):
            for item in node:
                walk(item)

    walk(message.value)
    assert types <= {type(None), int, bytes, Status, Error, list}


def test_each_resp_type_is_parsed():
    for data, value in (
        (b"+OK\r\n", Status(b"OK")),
        (b"-MOVED 1 h:2\r\n", Error(b"MOVED 1 h:2")),
        (b":-7\r\n", -7),
        (b"$-1\r\n", None),
        (b"*-1\r\n", None),
        (b"_\r\n", None),
        (b",1.5e3\r\n", 1500.0),
        (b",-inf\r\n", -math.inf),
        (b"#f\r\n", False),
        (b"!5\r\nERR x\r\n", Error(b"ERR x")),
        (b"=6\r\ntxt:ab\r\n", Verbatim(b"txt", b"ab")),
        (b"(123456789012345678901234567890\r\n", 123456789012345678901234567890),
        (b"*0\r\n", []),
        (b"%1\r\n+a\r\n:1\r\n", [(b"a", 1)]),
        (b"~2\r\n:1\r\n:2\r\n", [1, 2]),
        (b">2\r\n+a\r\n:1\r\n", [b"a", 1]),
        (b"|1\r\n+ttl\r\n:3\r\n$1\r\nv\r\n", b"v"),
        (b"*2\r\n|1\r\n+a\r\n+b\r\n:1\r\n:2\r\n", [1, 2]),
    ):
        [message] = parse_all(data)
        assert message.value == value and message.raw == data
    assert math.isnan(parse_all(b",nan\r\n")[0].value)
    assert parse_all(b"-ASK 1 h:2\r\n")[0].value.code == b"ASK"


@pytest.mark.parametrize(
    "data",
    [
        b"*?\r\n",
        b"$?\r\n",
        b";4\r\n",
        b".\r\n",
        b"%?\r\n",  # streamed types
        b"$07\r\n",
        b"$+1\r\n",
        b"*1x\r\n",
        b"$-2\r\n",
        b"*\r\n",
        b":1.5\r\n",
        b":\r\n",
        b":99999999999999999999\r\n",
        b"#x\r\n",
        b"_x\r\n",
        b",1..2\r\n",
        b"(1e3\r\n",
        b"?x\r\n",
        b"=2\r\nab\r\n",
        b"=4\r\ntxt-\r\n",
        b"$3\r\nabcd\r\n",
        b"+" + b"x" * 2000,
        b"*5000\r\n",
        b"%3000\r\n",
        b"$70000\r\n",
        b"$9999999999\r\n",
        b"*1\r\n" * 9,
        b"*2\r\n*4000\r\n" + b":1\r\n" * 4000 + b"*200\r\n",
    ],
)
def test_malformed_or_oversized_input_is_rejected(data):
    with pytest.raises(Malformed):
        parse_all(data)


def test_a_long_array_in_small_pieces_is_parsed_only_once():
    data = encode([b"%d" % i for i in range(4000)])
    reader, frames = Reader(), 0
    read_frame = reader._read_frame

    def counting_read_frame():
        nonlocal frames
        frames += 1
        return read_frame()

    reader._read_frame = counting_read_frame
    for i in range(0, len(data), 64):
        reader.feed(data[i : i + 64])
        message = reader.next()
    assert len(message.value) == 4000 and frames < 4001 + 2 * len(data) / 64


def test_an_endless_message_is_rejected():
    reader = Reader(Limits(message_bytes=1000, string_bytes=1 << 20))
    with pytest.raises(Malformed, match="message too long"):
        reader.feed(b"$1000000\r\n")
        reader.next()
    reader = Reader(Limits(items=10**6, message_bytes=1000))
    reader.feed(b"*100000\r\n")
    with pytest.raises(Malformed, match="message too long"):
        for _ in range(100_000):
            reader.feed(b"+\r\n")
            reader.next()


# -- slots


def test_key_slots_match_the_specification():
    assert slot_of(b"123456789") == 0x31C3 % SLOTS  # the example in the specification
    assert slot_of(b"{user1000}.following") == slot_of(b"{user1000}.followers") == slot_of(b"user1000")
    assert slot_of(b"foo{}{bar}") not in (slot_of(b"bar"), slot_of(b"foo"), slot_of(b""))
    assert slot_of(b"foo{{bar}}zap") == slot_of(b"{bar")
    assert slot_of(b"foo{bar}{zap}") == slot_of(b"bar")
    assert slot_of(b"") == 0


A, B, C = (Node("127.0.0.1", port, name) for port, name in ((1, "a"), (2, "b"), (3, "c")))


def test_an_even_slot_map_covers_each_slot_once():
    for count in (1, 2, 3, 7, 100):
        nodes = [(Node("h", i + 1),) for i in range(count)]
        slot_map = even_slot_map(nodes)
        assert slot_map.covered_slot_count() == SLOTS
        assert {slot_map.nodes(slot) for slot in range(0, SLOTS, 13)} <= set(nodes)
        assert slot_map.nodes(0) == nodes[0] and slot_map.nodes(SLOTS - 1) == nodes[-1]


def test_a_redirection_moves_one_slot_and_no_other():
    slot_map = even_slot_map([(A, C), (B,)], epoch=4)
    moved = slot_map.with_slot_moved(100, B)
    assert moved.nodes(100) == (B,) and moved.nodes(99) == moved.nodes(101) == (A, C)
    assert moved.covered_slot_count() == SLOTS and moved.epoch == 4 and slot_map.nodes(100) == (A, C)
    assert moved.with_slot_moved(100, A) == slot_map  # its replicas are known again
    new = Node("10.0.0.9", 7)
    assert slot_map.with_slot_moved(SLOTS - 1, new).nodes(SLOTS - 1) == (new,)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, SLOTS - 1), st.sampled_from([A, B, C])), max_size=30))
def test_any_redirections_leave_a_complete_slot_map(moves):
    slot_map, expected = even_slot_map([(A,), (B,)]), {}
    for slot, node in moves:
        slot_map = slot_map.with_slot_moved(slot, node)
        expected[slot] = node
    assert slot_map.covered_slot_count() == SLOTS
    assert all(slot_map.nodes(slot)[0] == node for slot, node in expected.items())
    assert len(slot_map.ranges) <= 2 + 2 * len(expected)


def test_slot_maps_are_parsed_from_cluster_slots_replies():
    reply = [[0, 99, [b"h1", 1, b"a"], [b"h2", 2, b"b", []]], [100, 200, [b"", 5]]]
    messages = parse_slots_reply(reply, ("asked", 9))
    assert messages.nodes(50) == (Node("h1", 1, "a"), Node("h2", 2, "b"))
    assert messages.nodes(150) == (Node("asked", 5, ""),) and messages.nodes(201) == ()
    for malformed in (
        b"x",
        [b"x"],
        [[0, 1]],
        [[0, b"1", [b"h", 1]]],
        [[0, 1, [b"h", 0]]],
        [[0, 1, [b"h"]]],
        [[0, 1, [5, 5]]],
        [[5, 4, [b"h", 1]]],
        [[0, 5, [b"h", 1]], [5, 6, [b"h", 1]]],
        [[0, SLOTS, [b"h", 1]]],
    ):
        with pytest.raises(ValueError):
            parse_slots_reply(malformed, ("asked", 9))
    with pytest.raises(ValueError):
        SlotMap([SlotRange(0, 1, ())])


def test_redirections_are_parsed_or_ignored():
    assert parse_redirection(b"MOVED 3999 127.0.0.1:6381", ("a", 1)) == (False, 3999, Node("127.0.0.1", 6381))
    assert parse_redirection(b"ASK 1 [::1]:7", ("a", 1)) == (True, 1, Node("::1", 7))
    assert parse_redirection(b"MOVED 1 :7", ("a", 1)).node == Node("a", 7)
    for malformed in (
        b"MOVED",
        b"MOVED 1",
        b"MOVED 16384 h:1",
        b"MOVED x h:1",
        b"MOVED 1 h",
        b"MOVED 1 h:0",
        b"ERR a b c",
        b"MOVED 1 h:99999999",
    ):
        assert parse_redirection(malformed, ("a", 1)) is None


def test_commands_are_encoded_as_arrays_of_bulk_strings():
    assert command(b"GET", b"k") == b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n" == b"*2\r\n" + bulk(b"GET") + bulk(b"k")
    with pytest.raises(TypeError):
        encode(object())
