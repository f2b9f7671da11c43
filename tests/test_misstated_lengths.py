"""A reply whose stated length does not fit is never served as a value: half of it, or with more behind it."""

import pytest
import trio

from gaugehinge.net.codec import ConnectionLost, RequestPayload
from gaugehinge.net.connection import Connection, ServerPool
from gaugehinge.net.origin_codec import OriginCodec
from gaugehinge.net.resp import bulk
from gaugehinge.net.resp_codec import RespCodec
from gaugehinge.routing.types import Outcome
from tests.helper import Cache, Web, fleet
from tests.test_late_replies import KINDS, ask

LONGEST = 70  # bytes that a reply states
VALUES = [b"value of k2", b"", b"x", b"lines\r\nof\r\n\r\nk2", b"ends with H", b"ends with HTTP/1"]
PAYLOAD = RequestPayload(b"i", b"k", (b"d=", b""), b"d=1", b"*3\r\n", b"", None)


def response(length: int, body: bytes, status: int = 200, extra: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, length, extra, body)


def chunks(first_length: int, last_length: int, body: bytes) -> bytes:
    first, last = body[:5], body[5:]
    sizes = (first_length, first, last_length, last)
    return b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n" % sizes


def reply(value_length: int, value: bytes, status_length=3, load_length=4, items=3) -> bytes:
    parts = (items, value_length, value, status_length, load_length)
    return b"*%d\r\n$%d\r\n%b\r\n$%d\r\nhit\r\n$%d\r\n0.25\r\n" % parts


EARLIER = {OriginCodec: response(11, b"value of k1"), RespCodec: reply(11, b"value of k1")}


def served_value(codec_class, is_reused: bool, data: bytes, piece: int) -> bytes | None:
    """The value that is served for the bytes after a request; None if the attempt fails or waits on."""
    codec = codec_class()
    connection = Connection(None, ServerPool(1, "s", ("127.0.0.1", 1), 0.0), codec.new_state(), None)
    codec.encode(connection, PAYLOAD, 1.0)
    if is_reused:
        assert codec.decode(connection, EARLIER[codec_class]).reusable
        codec.encode(connection, PAYLOAD, 1.0)
    try:
        for start in range(0, len(data), piece):
            found = codec.decode(connection, data[start : start + piece])
            if found is not None:
                return found.value if found.outcome is Outcome.SUCCEEDED else None
    except ConnectionLost:
        pass
    return None


def wrong_values(codec_class, is_reused: bool, value: bytes, replies: list[bytes]) -> list:
    """The replies, alone or with a second copy right behind, of which something else was served."""
    found = [
        (data, served_value(codec_class, is_reused, data, piece))
        for own in replies
        for data in (own, own + own)
        for piece in (len(own), 2 * len(own))
    ]
    return [(data, other) for data, other in found if other not in (None, bulk(value))]


@pytest.mark.parametrize("is_reused", [False, True], ids=["first", "reused"])
@pytest.mark.parametrize("value", VALUES)
def test_a_response_of_the_origin_with_any_stated_length_gives_no_other_value(value, is_reused):
    """Half a value, or receipt, was served where the first response on a connection stated a short length."""
    replies = [response(length, value) for length in range(LONGEST) if length != len(value)]
    assert not wrong_values(OriginCodec, is_reused, value, replies)


@pytest.mark.parametrize("is_reused", [False, True], ids=["first", "reused"])
def test_a_chunk_of_the_origin_that_is_shorter_than_stated_or_longer_gives_no_other_value(is_reused):
    """Left out is the first chunk that spans the whole second one: those bytes are a valid body."""
    value = VALUES[0]
    replies = [chunks(length, 6, value) for length in range(LONGEST) if length not in (5, 16)]
    replies += [chunks(5, length, value) for length in range(LONGEST) if length != 6]
    assert not wrong_values(OriginCodec, is_reused, value, replies)


@pytest.mark.parametrize("is_reused", [False, True], ids=["first", "reused"])
@pytest.mark.parametrize("value", VALUES)
def test_a_reply_of_a_cache_server_with_any_stated_length_gives_no_other_value(value, is_reused):
    """A first reply whose value states its own end and a copy of its head as well was served with them."""
    replies = [reply(length, value) for length in range(-1, LONGEST)]
    replies += [reply(len(value), value, status_length=length) for length in range(-1, LONGEST)]
    replies += [reply(len(value), value, load_length=length) for length in range(-1, LONGEST)]
    replies += [reply(len(value), value, items=count) for count in range(-1, 16)]
    assert not wrong_values(RespCodec, is_reused, value, replies)


@pytest.mark.parametrize("is_reused", [False, True], ids=["first", "reused"])
def test_a_response_with_a_second_copy_right_behind_is_served(is_reused):
    own = response(11, b"value of k2")
    assert served_value(OriginCodec, is_reused, own + own, 1000) == bulk(b"value of k2")


def test_a_first_response_is_served_whatever_protocol_its_headers_name():
    """Only what follows a first response counts: a head like this one is the origin's own."""
    own = response(11, b"value of k2", extra=b"Via: HTTP/1.1 proxy\r\n")
    assert served_value(OriginCodec, False, own, 1000) == bulk(b"value of k2")


def test_a_rejection_with_noise_right_behind_is_still_a_rejection():
    """Its body is not used, so its length does not matter: the client may send the write again."""
    codec = OriginCodec()
    connection = Connection(None, ServerPool(1, "s", ("127.0.0.1", 1), 0.0), codec.new_state(), None)
    codec.encode(connection, PAYLOAD, 1.0)
    found = codec.decode(connection, response(0, b"noise", 503, b"X-Turned-Away: 1\r\n"))
    assert found.outcome is Outcome.REJECTED


class MisstatingOrigin(Web):
    """States half the length of its response's body, in the first response to each operation."""

    async def answer(self, stream, told) -> None:
        status, extra, body = told
        misstated = self.__dict__.setdefault("misstated", set())
        length = len(body) if body in misstated else len(body) // 2
        misstated.add(body)
        await stream.send_all(response(length, body, status, extra.encode()))


@pytest.mark.parametrize("kind", list(KINDS))
def test_no_client_gets_half_a_receipt_where_the_origin_states_a_short_length(tmp_path, kind):
    """Reads and keyed writes are repeated; a write that must not be repeated fails and runs once."""

    async def run():
        async with fleet(tmp_path, [Cache("miss")]) as made:
            made.origin.__class__ = MisstatingOrigin
            made.origin.reply = lambda method, target, headers, body: (
                200,
                "",
                b"receipt of " + headers["x-txn"].encode(),
            )
            client = await made.client()
            answers = [await ask(client, kind, f"i{number}") for number in range(4)]
            return answers, [headers["x-txn"] for _, _, headers, _ in made.origin.seen]

    answers, ids = trio.run(run)
    if kind == "once":
        assert answers == [b"-ERR failed\r\n"] * 4
        assert ids == ["i0", "i1", "i2", "i3"]
    else:
        assert answers == [bulk(b"receipt of i%d" % number) for number in range(4)]


FIRST_READ = 16 * 1024  # bytes that are read at once, while no longer response is known to come


@pytest.mark.parametrize("behind", ["rest", "nothing", "copy"])
def test_the_rest_of_a_body_that_was_received_but_not_read_yet_is_noticed(tmp_path, behind):
    """The stated length ends where the first read does, so that the rest is still in the socket."""
    head_bytes = len(response(FIRST_READ, b""))
    body = b"v" * (FIRST_READ - head_bytes)
    assert len(response(len(body), body)) == FIRST_READ
    own = response(len(body), body)

    class Origin(Web):
        async def answer(self, stream, told) -> None:
            await stream.send_all(own + {"rest": b"w" * 99, "nothing": b"", "copy": own}[behind])

    async def run():
        async with fleet(tmp_path, [Cache("miss")]) as made:
            made.origin.__class__ = Origin
            made.origin.reply = lambda *call: (200, "", b"")
            return await ask(await made.client(), "once", "i1")

    assert trio.run(run) == (b"-ERR failed\r\n" if behind == "rest" else bulk(body))
