"""The connection pool, where the end of one attempt and the beginning of another cross."""

from __future__ import annotations

from functools import partial

import trio

from gaugehinge.net import connection_pool as module
from gaugehinge.net.codec import RequestPayload
from gaugehinge.net.connection import ServerPool
from gaugehinge.net.connection_pool import ConnectionPool
from gaugehinge.net.resp_codec import RespCodec
from gaugehinge.net.timer_queue import Clock, TimerQueue
from gaugehinge.routing.types import Outcome
from tests.helper import Bench, Cache

COMMAND = b"*4\r\n$6\r\nKV.GET\r\n$1\r\nk\r\n$1\r\ni\r\n"


def test_one_called_off_behind_its_refusal_leaves_the_connection_to_the_next_attempt(monkeypatch):
    """Its client is found gone as its connection comes up. That rests, the next attempt takes it, and only
    then the first is called off: it may not close what is no longer its own."""
    monkeypatch.setattr(module, "REUSE_DELAY", 0.0)

    async def scene():
        bench, ended, cache, there = Bench(1), [], Cache(), [True, False]  # asked at first, and once it is up
        async with trio.open_nursery() as nursery:
            [listener] = await nursery.start(partial(trio.serve_tcp, cache.serve, 0, host="127.0.0.1"))
            timers = TimerQueue(Clock())  # held: nothing of it falls due until it is run
            made = ConnectionPool(nursery, timers, 5, 1.0, 10.0, lambda *told: ended.append(told))
            (_, first), (_, second) = (bench.ask_for_pool(timers.clock, key) for key in "ab")
            server = first.attempt.endpoint.ident
            made.endpoints[server] = ServerPool(server, "s", listener.socket.getsockname(), 0.0)
            payload = partial(RequestPayload, b"i", b"k", (b"d=", b""), b"d=1", COMMAND, b"", None)
            made.send(first.attempt, payload(client_is_waiting=lambda: there.pop(0)), 5.0, RespCodec())
            while not made.endpoints[server].idle:
                await trio.sleep(0.001)
            made.send(second.attempt, payload(), 5.0, RespCodec())
            assert made.open_connections == 1
            assert not made.endpoints[server].idle
            made.cancel(first.attempt)
            nursery.start_soon(timers.run)
            with trio.fail_after(4.0):  # the second's own time-out would end it after 5 s
                while len(ended) < 2:
                    await trio.sleep(0.001)
            outcomes = {told[0]: told[1] for told in ended}
            assert outcomes == {first.attempt: Outcome.NOT_SENT, second.attempt: Outcome.SUCCEEDED}
            nursery.cancel_scope.cancel()

    trio.run(scene)
