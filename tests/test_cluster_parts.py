"""The cluster dialect's parts without sockets: RESP3, slots, maps."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaugehinge.cluster.resp3 import (
    CLIENT,
    Big,
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
    Range,
    SlotMap,
    even,
    read_redirection,
    read_slots,
    slot_of,
)


def read(data: bytes, limits: Limits = CLIENT) -> list[Message]:
    reader = Reader(limits)
    reader.feed(data)
    found = []
    while (message := reader.next()) is not None:
        found.append(message)
    return found


LINES = st.binary(max_size=12).map(lambda text: text.replace(b"\r", b"").replace(b"\n", b""))
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(1 << 63), (1 << 63) - 1),
    st.floats(allow_nan=False),
    st.binary(max_size=20),
    LINES.map(Status),
    LINES.map(Error),
    st.integers().map(Big),
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


def plain(value):
    """Lists of pairs may hold tuples or lists; types must be the same."""
    if isinstance(value, list | tuple) and not isinstance(value, Verbatim):
        return type(value).__name__ if isinstance(value, list) else "list", [plain(item) for item in value]
    return type(value).__name__, value


@settings(max_examples=200, deadline=None)
@given(st.lists(VALUES, min_size=1, max_size=3), st.randoms(use_true_random=False))
def test_what_is_written_is_read_again_wherever_it_is_cut(values, draw):
    deep = Limits(depth=30)
    data = b"".join(encode(value, 3) for value in values)
    reader, found, place = Reader(deep), [], 0
    while place < len(data):
        end = place + draw.randint(1, 7)
        reader.feed(data[place:end])
        place = end
        while (message := reader.next()) is not None:
            found.append(message)
    assert [plain(message.value) for message in found] == [plain(value) for value in values]
    assert b"".join(message.raw for message in found) == data and not len(reader)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=40), st.sampled_from([b"", b"*2\r\n", b"%1\r\n$1\r\na\r\n", b"|1\r\n+a\r\n+b\r\n"]))
def test_whatever_comes_it_is_read_or_refused(data, head):
    reader = Reader()
    try:
        for i in range(len(head + data)):
            reader.feed((head + data)[i : i + 1])
            while reader.next() is not None:
                pass
    except Malformed as bad:
        assert str(bad)


@settings(max_examples=100, deadline=None)
@given(VALUES)
def test_resp2_has_only_its_own_types(value):
    data = encode(value, 2)
    [message] = read(data, Limits(depth=30))
    kinds = set()

    def walk(each):
        kinds.add(type(each))
        if isinstance(each, list):
            for item in each:
                walk(item)

    walk(message.value)
    assert kinds <= {type(None), int, bytes, Status, Error, list}


def test_each_type_by_its_own_bytes():
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
        [message] = read(data)
        assert message.value == value and message.raw == data
    assert math.isnan(read(b",nan\r\n")[0].value)
    assert read(b"-ASK 1 h:2\r\n")[0].value.code == b"ASK"


@pytest.mark.parametrize(
    "data",
    [
        b"*?\r\n",
        b"$?\r\n",
        b";4\r\n",
        b".\r\n",
        b"%?\r\n",  # streamed
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
def test_what_is_malformed_or_past_a_limit_is_refused(data):
    with pytest.raises(Malformed):
        read(data)


def test_a_long_array_in_small_pieces_is_read_once():
    data = encode([b"%d" % i for i in range(4000)])
    reader, steps = Reader(), 0
    kept = reader._step

    def counted():
        nonlocal steps
        steps += 1
        return kept()

    reader._step = counted
    for i in range(0, len(data), 64):
        reader.feed(data[i : i + 64])
        message = reader.next()
    assert len(message.value) == 4000 and steps < 4001 + 2 * len(data) / 64


def test_what_never_ends_is_cut_off():
    reader = Reader(Limits(whole=1000, value=1 << 20))
    with pytest.raises(Malformed, match="message too long"):
        reader.feed(b"$1000000\r\n")
        reader.next()
    reader = Reader(Limits(items=10**6, whole=1000))
    reader.feed(b"*100000\r\n")
    with pytest.raises(Malformed, match="message too long"):
        for _ in range(100_000):
            reader.feed(b"+\r\n")
            reader.next()


# -- slots


def test_slots_are_those_of_the_specification():
    assert slot_of(b"123456789") == 0x31C3 % SLOTS  # the specification's own example
    assert slot_of(b"{user1000}.following") == slot_of(b"{user1000}.followers") == slot_of(b"user1000")
    assert slot_of(b"foo{}{bar}") not in (slot_of(b"bar"), slot_of(b"foo"), slot_of(b""))
    assert slot_of(b"foo{{bar}}zap") == slot_of(b"{bar")
    assert slot_of(b"foo{bar}{zap}") == slot_of(b"bar")
    assert slot_of(b"") == 0


A, B, C = (Node("127.0.0.1", port, name) for port, name in ((1, "a"), (2, "b"), (3, "c")))


def test_an_even_map_covers_each_slot_once():
    for count in (1, 2, 3, 7, 100):
        nodes = [(Node("h", i + 1),) for i in range(count)]
        told = even(nodes)
        assert told.covered() == SLOTS
        assert {told.nodes(slot) for slot in range(0, SLOTS, 13)} <= set(nodes)
        assert told.nodes(0) == nodes[0] and told.nodes(SLOTS - 1) == nodes[-1]


def test_a_redirection_moves_one_slot_and_no_other():
    told = even([(A, C), (B,)], epoch=4)
    moved = told.moved(100, B)
    assert moved.nodes(100) == (B,) and moved.nodes(99) == moved.nodes(101) == (A, C)
    assert moved.covered() == SLOTS and moved.epoch == 4 and told.nodes(100) == (A, C)
    assert moved.moved(100, A) == told  # its replicas are known again
    new = Node("10.0.0.9", 7)
    assert told.moved(SLOTS - 1, new).nodes(SLOTS - 1) == (new,)


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, SLOTS - 1), st.sampled_from([A, B, C])), max_size=30))
def test_any_redirections_leave_a_whole_map(moves):
    told, wanted = even([(A,), (B,)]), {}
    for slot, node in moves:
        told = told.moved(slot, node)
        wanted[slot] = node
    assert told.covered() == SLOTS
    assert all(told.nodes(slot)[0] == node for slot, node in wanted.items())
    assert len(told.ranges) <= 2 + 2 * len(wanted)


def test_maps_are_read_from_the_servers_answer():
    told = [[0, 99, [b"h1", 1, b"a"], [b"h2", 2, b"b", []]], [100, 200, [b"", 5]]]
    found = read_slots(told, ("asked", 9))
    assert found.nodes(50) == (Node("h1", 1, "a"), Node("h2", 2, "b"))
    assert found.nodes(150) == (Node("asked", 5, ""),) and found.nodes(201) == ()
    for bad in (
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
            read_slots(bad, ("asked", 9))
    with pytest.raises(ValueError):
        SlotMap([Range(0, 1, ())])


def test_redirections_are_read_or_are_none():
    assert read_redirection(b"MOVED 3999 127.0.0.1:6381", ("a", 1)) == (False, 3999, Node("127.0.0.1", 6381))
    assert read_redirection(b"ASK 1 [::1]:7", ("a", 1)) == (True, 1, Node("::1", 7))
    assert read_redirection(b"MOVED 1 :7", ("a", 1)).node == Node("a", 7)
    for bad in (
        b"MOVED",
        b"MOVED 1",
        b"MOVED 16384 h:1",
        b"MOVED x h:1",
        b"MOVED 1 h",
        b"MOVED 1 h:0",
        b"ERR a b c",
        b"MOVED 1 h:99999999",
    ):
        assert read_redirection(bad, ("a", 1)) is None


def test_commands_are_arrays_of_bulk_strings():
    assert command(b"GET", b"k") == b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n" == b"*2\r\n" + bulk(b"GET") + bulk(b"k")
    with pytest.raises(TypeError):
        encode(object())
