"""A router that stalled neither blames its servers nor drops replies that they sent in time."""

import time

import pytest
import trio
from loguru import logger

from gaugehinge.net import connection_pool, sockets
from gaugehinge.net.codec import RequestPayload
from gaugehinge.net.connection import ServerPool
from gaugehinge.net.connection_pool import ConnectionPool
from gaugehinge.net.resp import bulk
from gaugehinge.net.resp_codec import RespCodec
from gaugehinge.net.timer_queue import Clock, TimerQueue
from gaugehinge.routing.types import Outcome
from tests.helper import SETTINGS, Bench, Cache, fleet

REPLY = b"*3\r\n$2\r\nk1\r\n$3\r\nhit\r\n$-1\r\n"
TIMEOUT = 0.2
THROUGH = {**SETTINGS, "domain": {"mode": "through", "originKind": 1}}


def run_with_pool(scene) -> None:
    """Run a scene with a pool, a function that sends an attempt, and the list of outcomes."""

    async def main():
        bench, ended = Bench(1), []
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                timers = TimerQueue(Clock())
                nursery.start_soon(timers.run)
                pool = ConnectionPool(
                    nursery, timers, 5, TIMEOUT, 10.0, lambda attempt, outcome, *rest: ended.append(outcome)
                )

                def send(listener, timeout: float) -> None:
                    operation, decision = bench.ask_for_pool(timers.clock)
                    operation.retry_deadline = operation.deadline
                    server = decision.attempt.endpoint.ident
                    if server not in pool.endpoints:
                        pool.endpoints[server] = ServerPool(server, "s", listener.socket.getsockname(), 0.0)
                    payload = RequestPayload(
                        b"i", b"k", (b"d=", b""), b"d=1", b"*2\r\n$3\r\nGET\r\n", b"", None
                    )
                    pool.send(decision.attempt, payload, timeout, RespCodec())

                await scene(nursery, pool, send, ended)
                nursery.cancel_scope.cancel()

    trio.run(main)


def stall(seconds: float) -> None:
    """Block the event loop for this time, like a machine that gives the process no CPU time."""
    time.sleep(seconds)


async def wait_until(holds) -> None:
    while not holds():
        await trio.sleep(0.002)


@pytest.mark.parametrize("late", [0.01, 0.3, 1.0])
def test_a_reply_received_in_time_is_accepted_after_a_stall(late):
    async def scene(nursery, pool, send, ended):
        async def serve(stream):
            await stream.receive_some()
            stream.socket._sock.send(REPLY)
            stall(TIMEOUT + late)  # also stalls the router: this process has one event loop
            await trio.sleep_forever()

        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        send(listeners[0], TIMEOUT)
        await wait_until(lambda: ended)
        assert ended == [Outcome.SUCCEEDED]

    run_with_pool(scene)


def test_a_reply_that_arrives_in_pieces_does_not_extend_the_timeout():
    async def scene(nursery, pool, send, ended):
        async def serve(stream):
            await stream.receive_some()
            for byte in REPLY[:-1]:
                await stream.send_all(bytes([byte]))
                await trio.sleep(0.05)

        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        began = trio.current_time()
        send(listeners[0], TIMEOUT)
        await wait_until(lambda: ended)
        assert ended == [Outcome.TIMED_OUT] and trio.current_time() - began < TIMEOUT + 0.2

    run_with_pool(scene)


def test_a_silent_server_causes_a_timeout():
    async def scene(nursery, pool, send, ended):
        listeners = await nursery.start(trio.serve_tcp, Cache("stall").serve, 0)
        send(listeners[0], TIMEOUT)
        await wait_until(lambda: ended)
        assert ended == [Outcome.TIMED_OUT]

    run_with_pool(scene)


@pytest.mark.parametrize("timeout", [TIMEOUT, 4 * TIMEOUT], ids=["the attempt's", "the connection's"])
def test_a_connection_established_before_its_task_ran_is_not_a_connect_failure(monkeypatch, timeout):
    """At the attempt's own timeout nothing was sent, and its server is not blamed.

    If only the connect timeout has passed, the attempt continues.
    """
    task_may_run = trio.Event()

    async def connect_unobserved(sock, address):
        await sockets.connect(sock, address)
        await task_may_run.wait()

    async def scene(nursery, pool, send, ended):
        monkeypatch.setattr(connection_pool, "connect", connect_unobserved)
        listeners = await nursery.start(trio.serve_tcp, Cache().serve, 0)
        send(listeners[0], timeout)
        await trio.sleep(1.5 * TIMEOUT)
        task_may_run.set()
        await wait_until(lambda: ended)
        assert ended == [Outcome.NOT_SENT if timeout == TIMEOUT else Outcome.SUCCEEDED]

    run_with_pool(scene)


def test_a_connect_that_was_never_started_is_not_a_connect_failure():
    """The event loop is blocked from the send until the attempt has timed out."""

    async def scene(nursery, pool, send, ended):
        listeners = await nursery.start(trio.serve_tcp, Cache().serve, 0)
        send(listeners[0], TIMEOUT)
        stall(2 * TIMEOUT)
        await wait_until(lambda: ended)
        assert ended in ([Outcome.NOT_SENT], [Outcome.SUCCEEDED])

    for _ in range(10):  # timers and tasks run in either order
        run_with_pool(scene)


def test_a_server_that_accepts_no_connections_causes_a_connect_failure(monkeypatch):
    async def never_connect(sock, address):
        await trio.sleep_forever()

    async def scene(nursery, pool, send, ended):
        monkeypatch.setattr(connection_pool, "connect", never_connect)
        listeners = await nursery.start(trio.serve_tcp, Cache().serve, 0)
        send(listeners[0], TIMEOUT)
        await wait_until(lambda: ended)
        assert ended == [Outcome.CONNECT_FAILED]

    run_with_pool(scene)


@pytest.mark.parametrize("labels", ["c=read,t=acme,d=200", "c=mark,t=acme,d=200,k=m1"])
def test_an_unread_reply_is_forwarded_when_its_operation_is_due(tmp_path, labels):
    """The loop stalls past the client's deadline, so no other answer would be in time either."""

    class Stalling(Cache):
        async def answer(self, stream, command):
            stream.socket._sock.send(REPLY.replace(b"k1", command[2]))
            stall(0.3)

    async def scene():
        async with fleet(tmp_path, [Stalling()], settings=THROUGH) as made:
            client = await made.client()
            words = ("KV.GET", "k1") if "read" in labels else ("KV.SET", "k1")
            value = () if "read" in labels else ("new",)
            for number in range(10):  # timers and tasks run in either order
                assert await client.ask(*words, f"i{number}", labels, *value) == bulk(b"i%d" % number)

    logged = []
    sink = logger.add(logged.append, level="ERROR")
    trio.run(scene)
    logger.remove(sink)
    assert not logged


@pytest.mark.parametrize("held_up", [0.02, 0.05, 0.4])
@pytest.mark.parametrize("server", ["cache", "origin"])
@pytest.mark.parametrize("labels", ["c=read,t=acme,d=300", "c=mark,t=acme,d=300,k=m1", "c=once,t=acme,d=300"])
def test_a_stall_between_decision_and_send_leaves_no_operation_overdue(
    tmp_path, monkeypatch, labels, server, held_up
):
    """No server replies, so the end of the attempt is what gets the operation answered."""
    send = ConnectionPool.send

    def send_late(pool, attempt, payload, timeout, codec):
        stall(held_up)
        send(pool, attempt, payload, timeout, codec)

    async def scene():
        caches = [Cache("stall" if server == "cache" else "miss")]
        async with fleet(tmp_path, caches, lambda *call: "stall", settings=THROUGH) as made:
            client = await made.client()
            words = ("KV.GET", "k1") if "read" in labels else ("KV.SET", "k1")
            value = () if "read" in labels else ("new",)
            for number in range(3):
                await client.ask(*words, f"i{number}", labels, *value)
            assert held_up < 0.3 or not (made.caches[0].commands or made.origin.seen)

    logged = []
    sink = logger.add(logged.append, level="ERROR")
    monkeypatch.setattr(ConnectionPool, "send", send_late)
    trio.run(scene)
    logger.remove(sink)
    assert not logged


@pytest.mark.parametrize("stalled", ["mark", "read"])
def test_a_stall_within_one_attempt_does_not_make_the_next_one_wait_for_a_silent_server(tmp_path, stalled):
    """Counted as server latency, the time for which a reply was unread left no time for a retry."""

    class Server(Cache):
        silent = ()  # commands that get no reply

        async def answer(self, stream, command):
            if command[2] in self.silent:
                await trio.sleep_forever()
            stream.socket._sock.send(REPLY.replace(b"k1", command[2]))
            if command[2] == b"i0":
                stall(0.2)

    async def scene():
        servers = [Server(), Server(), Server()]
        async with fleet(tmp_path, servers, settings=THROUGH) as made:
            client = await made.client()
            if stalled == "mark":
                await client.ask("KV.SET", "k1", "i0", "c=mark,t=acme,d=2000,k=m1", "new")
            else:
                await client.ask("KV.GET", "k1", "i0", "c=read,t=acme,d=2000")
            [first] = [server for server in servers if server.commands]
            first.silent = (b"i1",)
            assert await client.ask("KV.GET", "k1", "i1", "c=read,t=acme,d=1000") == bulk(b"i1")
            assert first.commands[-1][2] == b"i1"

    trio.run(scene)


@pytest.mark.parametrize("step", ["the decision", "the connection"])
def test_a_stall_before_the_request_is_written_is_not_counted_as_server_latency(tmp_path, monkeypatch, step):
    """The loop stalls after the decision, or when the connection is established."""
    durations = []

    async def scene():
        async with fleet(tmp_path, settings=THROUGH) as made:
            client, pool = await made.client(), made.service.pool
            ended, send = pool.on_attempt_ended, pool.send

            def record_elapsed(attempt, outcome, elapsed, *rest):
                durations.append(elapsed)
                ended(attempt, outcome, elapsed, *rest)

            def send_late(*arguments):
                stall(0.3)
                send(*arguments)

            async def connect_late(sock, address):
                await sockets.connect(sock, address)
                stall(0.3)

            monkeypatch.setattr(pool, "on_attempt_ended", record_elapsed)
            if step == "the decision":
                monkeypatch.setattr(pool, "send", send_late)
            else:
                monkeypatch.setattr(connection_pool, "connect", connect_late)
            assert await client.get() == bulk(b"of k1")

    trio.run(scene)
    assert max(durations) < 0.3


@pytest.mark.parametrize("rest", [REPLY, REPLY[:-4]], ids=["whole", "a part"])
def test_an_unread_reply_is_accepted_at_the_deadline_although_its_task_has_not_run(monkeypatch, rest):
    sent, task_may_run = trio.Event(), trio.Event()

    async def delayed_receive(sock, max_bytes):
        await sent.wait()
        await task_may_run.wait()
        return await sockets.receive(sock, max_bytes)

    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(rest)
        sent.set()
        await trio.sleep_forever()

    async def scene(nursery, pool, send, ended):
        monkeypatch.setattr(connection_pool, "receive", delayed_receive)
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        send(listeners[0], TIMEOUT)
        await wait_until(lambda: ended)
        assert ended == [Outcome.SUCCEEDED if rest == REPLY else Outcome.TIMED_OUT]
        task_may_run.set()

    run_with_pool(scene)
