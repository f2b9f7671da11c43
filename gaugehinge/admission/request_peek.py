"""A first look at what came on a connection, without the parser. No I/O.

Taking a command in hand costs frames, labels, an operation and its cargo. One that is turned away anyway
needs four labels of it. What does not look exactly like one whole read is left to the parser, which alone
says what is malformed.
"""

from __future__ import annotations

import re
from typing import NamedTuple

HEAD = re.compile(rb"\*4\r\n\$6\r\nKV\.GET\r\n\$([1-9]\d{0,4})\r\n")
IDENT = re.compile(rb"\r\n\$([1-9]\d{0,2})\r\n([!-~]+)\r\n\$([1-9]\d{0,2})\r\n([!-~]+)\r\n")
LONGEST = 1024  # bytes; a longer command is the parser's
MOST_WAIT = 10  # digits of the wait


class Glimpse(NamedTuple):
    """What the door has to know of a read to turn it away."""

    traffic: str
    tenant: str
    wait: float  # seconds that its client waits
    repeat: bool


def glance(data: bytes) -> Glimpse | None:
    """The labels of exactly one whole read; None for whatever else."""
    if len(data) > LONGEST:
        return None
    head = HEAD.match(data)
    if head is None:
        return None
    rest = IDENT.match(data, head.end() + int(head[1]))
    if rest is None or rest.end() != len(data):
        return None
    ident, told = rest[2], rest[4]
    if len(ident) != int(rest[1]) or len(told) != int(rest[3]):
        return None
    labels: dict[bytes, bytes] = {}
    for part in told.split(b","):
        name, mark, value = part.partition(b"=")
        if not mark or not name or name in labels:
            return None
        labels[name] = value
    traffic, wait = labels.get(b"c"), labels.get(b"d", b"")
    if traffic is None or not wait.isdigit() or len(wait) > MOST_WAIT:
        return None
    tenant = labels.get(b"t", b"").decode()
    return Glimpse(traffic.decode(), tenant, int(wait) / 1000.0, labels.get(b"r") == b"1")
