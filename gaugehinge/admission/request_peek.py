"""Peeks at received data for a whole read command, without the parser. No I/O.

Parsing a command in full creates frames, labels, an operation and its payload. One that is rejected anyway
needs only four of its labels. Whatever does not look exactly like one whole read is left to the parser, which
alone decides what is malformed.
"""

from __future__ import annotations

import re
from typing import NamedTuple

COMMAND_PATTERN = re.compile(rb"\*4\r\n\$6\r\nKV\.GET\r\n\$([1-9]\d{0,4})\r\n")
ARGUMENTS_PATTERN = re.compile(rb"\r\n\$([1-9]\d{0,2})\r\n([!-~]+)\r\n\$([1-9]\d{0,2})\r\n([!-~]+)\r\n")
MAX_PEEK_BYTES = 1024  # a longer command is left to the parser
MAX_TIMEOUT_DIGITS = 10  # of label `d`


class PeekedRead(NamedTuple):
    """What admission control needs to know about a read to reject it."""

    traffic_type: str
    tenant: str
    timeout: float  # seconds that its client waits
    is_retry: bool


def peek_read(data: bytes) -> PeekedRead | None:
    """The labels of exactly one whole read; None for anything else."""
    if len(data) > MAX_PEEK_BYTES:
        return None
    command = COMMAND_PATTERN.match(data)
    if command is None:
        return None
    arguments = ARGUMENTS_PATTERN.match(data, command.end() + int(command[1]))
    if arguments is None or arguments.end() != len(data):
        return None
    request_id, raw_labels = arguments[2], arguments[4]
    if len(request_id) != int(arguments[1]) or len(raw_labels) != int(arguments[3]):
        return None
    labels: dict[bytes, bytes] = {}
    for label in raw_labels.split(b","):
        name, separator, value = label.partition(b"=")
        if not separator or not name or name in labels:
            return None
        labels[name] = value
    traffic_type, timeout = labels.get(b"c"), labels.get(b"d", b"")
    if traffic_type is None or not timeout.isdigit() or len(timeout) > MAX_TIMEOUT_DIGITS:
        return None
    tenant = labels.get(b"t", b"").decode()
    return PeekedRead(traffic_type.decode(), tenant, int(timeout) / 1000.0, labels.get(b"r") == b"1")
