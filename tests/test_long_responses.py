"""The cost of a long response grows with its length, whatever it holds and however it arrives."""

import random
import re

import pytest

from gaugehinge.net import response_memory
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
