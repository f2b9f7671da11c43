"""The cost of a long response grows with its length, whatever it holds and however it arrives."""

import random
import re

import pytest

from gaugehinge.net import http_exchange, resp, response_memory
from gaugehinge.net.codec import MalformedReply
from gaugehinge.net.http_exchange import HttpResponse
from gaugehinge.net.response_heads import shapes_within
from gaugehinge.net.response_memory import ResponseMemory
from tests.scanned_bytes import Scan, ScannedBytes, scan_patterns

SIZES = (64 * 1024, 4 << 20)  # bytes of a value: the usual limit, and the largest that a deployment has
MAX_SCANS = 12  # of each byte of a body
BODIES = 30_000  # made at random

LINES = {
    "status lines": b"HTTP/1.1 200 OK\r\n",
    "status lines with an empty line": b"HTTP/1.1 200 OK\r\n\r\n",
    "whole heads": b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
    "header lines": b"a: HTTP/1.1 200 OK\r\n",
    "one line": b"HTTP/1.1 200 OK ",
    "one line of starts": b"HTTP/1.",
    "a log of accesses": b'198.51.100.7 - - "GET / HTTP/1.1" 200 512\n',
    "bytes and starts": b"\xffHTTP/1.",
}
ENDS = {"cut": b"", "whole": b"\r\n\r\n", "other": b"\x00\n"}


def body_of(line: bytes, size: int, end: bytes = b"") -> bytes:
    return (line * (size // len(line) + 1))[: size - len(end)] + end


def scanned(monkeypatch, body: bytes) -> int:
    """How many bytes are examined to remember a response on a reused connection."""
    scan, memory = Scan(), ResponseMemory()
    memory.add(HttpResponse(200, {}, b"earlier", reusable=True))
    with monkeypatch.context() as patch:
        for module in (response_memory, getattr(response_memory, "response_heads", None)):
            if module is not None:
                scan_patterns(patch, module, scan)
        memory.add(HttpResponse(200, {}, ScannedBytes.of(body, scan), reusable=True))
    return scan.count


@pytest.mark.parametrize("end", list(ENDS))
@pytest.mark.parametrize("line", list(LINES))
def test_a_value_made_of_status_lines_is_examined_in_linear_time(monkeypatch, line, end):
    """Guards against review/1: a value of 64 KiB made of status lines stopped the router for seconds."""
    for size in SIZES:
        assert scanned(monkeypatch, body_of(LINES[line], size, ENDS[end])) <= MAX_SCANS * size


PARTS = [
    *(b"HTTP/1.1 200 OK", b"HTTP/1.1 404", b"HTTP/1.", b"X-A: b", b"X", b" ", b"\t", b":", b"\xff", b"\x00"),
    *(b"Content-Length: 5", b"content-length:x", b"Content-Length: 77", b"\r", b"\n", b"\n\n", b"\r\n\r\n"),
    *([b"\r\n"] * 3),
]


def shape_by_definition(body: bytes, start: int):
    """The shape of the head that begins at `start`; False if none begins there."""
    end = re.compile(rb"\n\r?\n").search(body, start)
    head = body[start : end.start() if end else len(body)]
    *lines, last = [line.removesuffix(b"\r") for line in head.split(b"\n")]
    name = rb"[!#$%&'*+.^`|~\w-]"
    if end is not None:
        lines.append(last)
    elif not re.fullmatch(rb"[\t -~]*", last):
        rest = name + rb"*(:[^\n]*)?|[ \t][^\n]*" if lines else rb"HTTP/1\.[01] \d{3} [\t -~\x80-\xff]*"
        if not re.fullmatch(rest, last):
            return False
    if lines and not re.fullmatch(rb"HTTP/1\.[01] \d{3}[^\r\n]*", lines[0]):
        return False
    if not all(re.fullmatch(rb"(" + name + rb"+:|[ \t])[^\n]*", line) for line in lines[1:]):
        return False
    length = re.search(rb"(?i)\r?\ncontent-length:[ \t]*(\d+)", head)
    return (int(head[9:12]), int(length[1])) if end and length else None


def test_the_heads_found_in_a_value_are_those_of_the_definition():
    """Guards against a faster search that accepts a mixed response which used to be refused."""
    choice, found = random.Random(61), 0
    for _ in range(BODIES):
        body = b"".join(choice.choices(PARTS, k=choice.randrange(1, 14)))
        shapes = {shape_by_definition(body, match.start()) for match in re.finditer(rb"HTTP/1\.", body)}
        shapes.discard(False)
        found += bool(shapes)
        if None in shapes:
            assert None in shapes_within(body), body
        else:
            assert shapes_within(body) == shapes, body
    assert found > BODIES / 4


class CountingBuffer(bytearray):
    """A buffer that counts the bytes that slices copy."""

    copied = 0

    def __getitem__(self, index):
        found = super().__getitem__(index)
        if isinstance(index, slice):
            CountingBuffer.copied += len(found)
        return found


@pytest.mark.parametrize("size", SIZES)
def test_a_long_value_is_not_copied_for_each_piece_behind_it(monkeypatch, size):
    """Guards against a reply whose last items come byte by byte, each of which copied the value before."""
    monkeypatch.setattr(resp, "bytearray", CountingBuffer, raising=False)
    monkeypatch.setattr(CountingBuffer, "copied", 0)
    parser = resp.Parser(SIZES[-1])
    parser.feed(b"*16\r\n" + resp.bulk(b"v" * size))
    for byte in (b"+" + b"x" * 900 + b"\r\n") * 15:
        assert parser.next() is None
        parser.feed(bytes([byte]))
    message = parser.next()
    assert len(message.top.body) == 16 and message.top.body[0].body == b"v" * size
    assert CountingBuffer.copied <= 2 * len(message.raw)


def test_a_head_in_pieces_is_searched_once(monkeypatch):
    """Guards against a search of the whole head for each byte of it."""
    scan, exchange = Scan(), http_exchange.HttpExchange(1000)
    scan_patterns(monkeypatch, http_exchange, scan)
    exchange.request("GET", "/k", [(b"Host", b"h")])
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-A: %b\r\n\r\n" % (b"x" * 20_000)
    for start in range(len(head)):
        assert exchange.receive(head[start : start + 1]) is None
    assert exchange.receive(b"v").body == b"v"
    assert scan.count <= 6 * len(head)


@pytest.mark.parametrize("piece", [1, 1000, 1 << 20])
def test_interim_responses_are_skipped_and_too_many_refused(piece):
    """Guards against responses that each copy what follows and take a further level of the stack."""
    interim, final = b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"
    exchange = http_exchange.HttpExchange(1000)
    exchange.request("GET", "/k", [(b"Host", b"h")])
    data = interim * http_exchange.MAX_INTERIM_RESPONSES + final
    pieces = [data[start : start + piece] for start in range(0, len(data), piece)]
    responses = [exchange.receive(each) for each in pieces]
    assert responses[-1].body == b"v" and not any(responses[:-1])
    exchange.request("GET", "/k", [(b"Host", b"h")])
    with pytest.raises(MalformedReply):
        exchange.receive(interim * 10_000)
