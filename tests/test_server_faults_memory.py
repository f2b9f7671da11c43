"""Servers that fail, answer at length or in very many parts take no router over its memory.

The limits are the least memory that the pages name with 1,024 descriptors.
"""

from functools import partial

import pytest

from gaugehinge.net.resp import bulk
from tests.helper import Cache, run
from tests.overload import overloaded

CLIENTS = 150
SECONDS = 3.0
MEMORY_MB = 32
SOCKETS = 1024
VERY_LONG_VALUE = b"v" * (1 << 20)


class Replying(Cache):
    """A cache server that sends the same bytes in reply to each command."""

    reply = b""

    async def answer(self, stream, command) -> None:
        await stream.send_all(self.reply)


def replying(reply: bytes) -> type[Cache]:
    """A class of cache servers with this reply."""
    return type("ReplyingSo", (Replying,), {"reply": reply})


CACHES = {
    "stall": partial(Cache, "stall"),
    "very long values": replying(b"*3\r\n" + bulk(VERY_LONG_VALUE) + b"$3\r\nhit\r\n$-1\r\n"),
    "nested values": replying(b"*16\r\n" + b"*16\r\n" * 2 + b":1\r\n" * 1000),
    "half a long value": replying(b"*3\r\n$65000\r\n" + b"v" * 60_000),
}
ORIGINS = {
    "stall": lambda *call: "stall",
    "very long values": lambda *call: (200, "", VERY_LONG_VALUE),
    "very many headers": lambda *call: (200, "".join(f"X-{n}: 1\r\n" for n in range(5000)), b"v"),
}


async def play(tmp_path, caches, origin) -> None:
    async with overloaded(tmp_path, MEMORY_MB, SOCKETS, [caches() for _ in range(6)]) as made:
        made.origin.reply = origin
        await made.usual_clients(SECONDS, CLIENTS, 0.05)
        assert made.peak_mb <= MEMORY_MB, f"{made.peak_mb:.1f} MB"
        assert made.lost() == 0, (made.answers, made.closes())


@pytest.mark.parametrize("kind", CACHES)
def test_cache_servers_that_misbehave_stay_within_the_least_memory(tmp_path, kind):
    """Guards against issue 65 (a): memory of replies and requests while cache servers fail."""
    run(partial(play, tmp_path, CACHES[kind], lambda *call: (200, "", b"fetched")))


@pytest.mark.parametrize("kind", ORIGINS)
def test_an_origin_that_misbehaves_stays_within_the_least_memory(tmp_path, kind):
    """Guards against issue 65 (a): memory of responses and requests while the origin fails."""
    run(partial(play, tmp_path, partial(Cache, "miss"), ORIGINS[kind]))
