"""JSON objects line by line between a process and the one that started it."""

from __future__ import annotations

import gc
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import trio
from loguru import logger

MOST_LINE = 1 << 20
YOUNG = 50_000  # objects until the collector looks: its passes would show as lateness


class BadLine(ValueError):
    """The other side sent what is no JSON object in a line."""


async def objects(stream: trio.abc.ReceiveStream) -> AsyncIterator[dict[str, Any]]:
    """Objects until the stream ends. Raises BadLine."""
    buffer = bytearray()
    while data := await stream.receive_some(65536):
        buffer += data
        *lines, rest = buffer.split(b"\n")
        buffer = bytearray(rest)
        if len(buffer) > MOST_LINE:
            raise BadLine("line too long")
        for line in lines:
            try:
                told = json.loads(line)
            except ValueError:
                raise BadLine(repr(bytes(line[:80]))) from None
            if not isinstance(told, dict):
                raise BadLine(repr(bytes(line[:80])))
            yield told


def standard_input() -> trio.lowlevel.FdStream:
    """Our own standard input as a stream; it ends with the process that started us."""
    return trio.lowlevel.FdStream(os.dup(sys.stdin.fileno()))


def say(told: dict[str, Any]) -> None:
    """One object to the process that started us."""
    sys.stdout.write(json.dumps(told) + "\n")
    sys.stdout.flush()


def line(told: dict[str, Any]) -> bytes:
    """One object as a line."""
    return json.dumps(told).encode() + b"\n"


def run_child(serve: Callable[[], Awaitable[None]]) -> int:
    """A process that is steered over its standard input, which also ends it; its exit code."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # an interrupt is for the process that started us
    logger.remove()
    logger.add(sys.stderr, level="WARNING", diagnose=False)
    gc.freeze()
    gc.set_threshold(YOUNG, 20, 100)
    trio.run(serve)
    return 0
