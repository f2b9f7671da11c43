"""Crowds of clients that misbehave, in a process of their own so that they hold up no other client.

    python -m tests.client_crowds PORT KIND COUNT SECONDS     # or KIND "all", by turns

Prints after how many seconds each had an error or a close, as JSON.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from contextlib import suppress

import trio

from tests.overload import VALUE_BYTES, read, write

MANY_LABELS = b"".join(b",%x=" % each for each in range(10_000))
HALF_WRITE = write(b"k", 4.0, b"v" * VALUE_BYTES)[:60_000]


async def idle(stream, number) -> None:
    await trio.sleep_forever()


async def half_a_command(stream, number) -> None:
    await stream.send_all(b"*4\r\n$6\r\nKV.GET\r\n$16\r\n7f3a9c21")
    await trio.sleep_forever()


async def half_a_large_write(stream, number) -> None:
    await stream.send_all(HALF_WRITE)
    await trio.sleep_forever()


async def nested_short_fields(stream, number) -> None:
    await stream.send_all(b"*16\r\n" + (b"*16\r\n" + b":1\r\n" * 16) * 15 + b"*16\r\n:1\r\n")
    await trio.sleep_forever()


async def very_many_labels(stream, number) -> None:
    await stream.send_all(read(b"k%d" % number, 4.0, labels=MANY_LABELS))
    await trio.sleep_forever()


async def long_keys(stream, number) -> None:
    await stream.send_all(read(b"%d" % number * 15_000, 4.0))
    await trio.sleep_forever()


async def large_writes_in_a_row(stream, number) -> None:
    for _ in range(10):
        await stream.send_all(write(b"k%d" % number, 2.5, b"v" * (VALUE_BYTES - 1)))
    await trio.sleep_forever()


async def slowly(stream, number) -> None:
    data = write(b"k%d" % number, 2.5, b"v" * (VALUE_BYTES - 1))
    for start in range(0, len(data), 1600):
        await stream.send_all(data[start : start + 1600])
        await trio.sleep(0.04)


async def hundreds_at_once(stream, number) -> None:
    await stream.send_all(b"".join(read(b"k%d" % (each % 50), 4.0) for each in range(300)))
    await trio.sleep_forever()


CROWDS = {
    each.__name__: each
    for each in (
        idle,
        half_a_command,
        half_a_large_write,
        nested_short_fields,
        very_many_labels,
        long_keys,
        large_writes_in_a_row,
        slowly,
        hundreds_at_once,
    )
}


async def leaving(stream, number) -> None:
    await stream.send_all(HALF_WRITE)
    await trio.sleep(1.0)


CROWDS["leaving"] = leaving


async def _misbehave(port: int, behave: Callable, number: int, told_after: list[float]) -> None:
    began, told = trio.current_time(), False

    async def note_what_comes() -> None:
        nonlocal told
        while await stream.receive_some(1 << 20):
            if not told:
                told = True
                told_after.append(trio.current_time() - began)
        nursery.cancel_scope.cancel()

    with suppress(OSError, trio.BrokenResourceError, trio.ClosedResourceError, ExceptionGroup):
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(note_what_comes)
            await behave(stream, number)
    if not told:
        told_after.append(trio.current_time() - began)


async def play(port: int, kind: str, count: int, seconds: float) -> list[float]:
    """Play a crowd for so many seconds."""
    told_after: list[float] = []
    kinds = list(CROWDS) if kind == "all" else [kind]
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for number in range(count):
                behave = CROWDS[kinds[number % len(kinds)]]
                nursery.start_soon(_misbehave, port, behave, number, told_after)
    return told_after


if __name__ == "__main__":
    arguments = (int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), float(sys.argv[4]))
    print(json.dumps(trio.run(play, *arguments)))
