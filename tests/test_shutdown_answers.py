"""Every request that was read is answered, even if the router is past its shutdown deadline.

Guards against a failure on a machine under load: of 700 pipelined requests 448 were answered, and the log
had "client connection failed" with `ValueError: file descriptor cannot be a negative integer (-1)` from
`sockets.hung_up`. The last part of the shutdown gave up, and so answered, 32 requests of a connection at a
time, with a pass of the event loop in between. A router without CPU time for a while was past its deadline
after the first 32 and closed the connection with the rest unanswered. The task that was to resume the
connection ran after that and called `hung_up` on the closed socket.
"""

import os
import signal
import socket

import pytest
import trio
from loguru import logger

from gaugehinge.admission.admission_control import FairAdmissionControl
from gaugehinge.net import sockets
from gaugehinge.net.graceful_shutdown import GracefulShutdown
from gaugehinge.net.request_reader import MAX_PIPELINED_REQUESTS
from gaugehinge.net.resp import bulk
from tests.helper import Cache, Client, fleet

ANSWERS = (b"-ERR failed", b"-BUSY")
SMALL_BUFFER_BYTES = 4096
LONG_VALUE_BYTES = 60_000  # most of such a value does not fit into the buffers


def pipelined_writes(count: int) -> bytes:
    bodies = [[b"KV.SET", b"k", b"i%d" % n, b"c=once,t=acme,d=4000", b"v"] for n in range(count)]
    return b"".join(b"*5\r\n" + b"".join(map(bulk, words)) for words in bodies)


async def read_replies_until_eof(client) -> list[bytes]:
    found = []
    while (answer := await client.answer()) is not None:
        found.append(answer)
    return found


@pytest.fixture
def errors():
    """The messages that are logged as errors."""
    found = []
    handler = logger.add(lambda message: found.append(str(message)), level="ERROR")
    yield found
    logger.remove(handler)


@pytest.fixture
def stall_past_shutdown_deadline(monkeypatch):
    """Stall the loop between the last check of the clock and the router's shutdown deadline."""
    stop = GracefulShutdown._stop_accepting

    async def stalled(shutdown, accepting):
        await stop(shutdown, accepting)
        shutdown.deadline = shutdown.clock() - 0.001

    monkeypatch.setattr(GracefulShutdown, "_stop_accepting", stalled)


@pytest.mark.parametrize("new_door", [None, FairAdmissionControl])
def test_router_past_its_shutdown_deadline_answers_every_request_it_has_read(
    tmp_path, stall_past_shutdown_deadline, errors, new_door
):
    count = 700

    async def scene():
        async with fleet(tmp_path, origin=lambda *call: "stall", new_door=new_door) as made:
            made.service.dispatcher.router.origin_limit.limit = 1e6
            client = await made.client()
            await client.stream.send_all(pipelined_writes(count))
            with trio.fail_after(20):
                while not (found := list(made.service.clients.connections)) or not found[0].paused:
                    await trio.sleep(0.002)
            os.kill(os.getpid(), signal.SIGTERM)
            answers = await read_replies_until_eof(client)
            assert all(answer.startswith(ANSWERS) for answer in answers)
            assert len(answers) == count

    trio.run(scene)
    assert not errors


@pytest.mark.parametrize("count", [MAX_PIPELINED_REQUESTS, 2 * MAX_PIPELINED_REQUESTS])
def test_last_reply_of_a_full_pipeline_closes_the_connection_without_an_error(tmp_path, errors, count):
    """The last reply closes the connection in the same step in which it wakes the task that reads it."""

    async def scene():
        async with fleet(tmp_path, origin=lambda *call: "stall") as made:
            made.service.dispatcher.router.origin_limit.limit = 1e6
            client = await made.client()
            await client.stream.send_all(pipelined_writes(count))
            with trio.fail_after(20):
                while not (found := list(made.service.clients.connections)) or not found[0].pending_replies:
                    await trio.sleep(0.002)
            os.kill(os.getpid(), signal.SIGTERM)
            assert len(await read_replies_until_eof(client)) == count
            await made.ended.wait()

    trio.run(scene)
    assert not errors


@pytest.fixture
def killed_before_last_shutdown_step(monkeypatch):
    """The platform kills the router at the earliest permitted time, before its last shutdown step."""
    monkeypatch.setattr(GracefulShutdown, "_close_remaining", lambda shutdown: None)


async def connect_with_small_buffer(port: int) -> Client:
    raw = trio.socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    await raw.connect(("127.0.0.1", port))
    return Client(trio.SocketStream(raw))


@pytest.mark.parametrize("end", ["stall_past_shutdown_deadline", "killed_before_last_shutdown_step"])
def test_client_that_reads_after_the_router_has_exited_gets_complete_replies(tmp_path, errors, request, end):
    request.getfixturevalue(end)
    count, key = 2, b"k" * LONG_VALUE_BYTES

    async def scene():
        async with fleet(tmp_path, [Cache() for _ in range(3)]) as made:
            made.service.listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
            client = await connect_with_small_buffer(made.port)
            for n in range(count):
                await client.send(b"KV.GET", key, b"i%d" % n, b"c=read,t=acme,d=4000")
            with trio.fail_after(20):
                while sum(len(cache.commands) for cache in made.caches) < count:
                    await trio.sleep(0.002)
                os.kill(os.getpid(), signal.SIGTERM)
                await made.ended.wait()
                answers = [await client.answer() for _ in range(count)]
            assert answers == [bulk(b"of " + key)] * count

    trio.run(scene)
    assert not errors


def test_calls_on_a_locally_closed_socket():
    """A task or timer that was scheduled before the close may make any of these calls after it."""

    async def scene():
        sock = sockets.tcp(("127.0.0.1", 1))
        sock.close()
        assert sockets.hung_up(sock) and sockets.unsent(sock) == 0 and not sockets.silent(sock)
        assert not sockets.is_connected(sock)
        sockets.shut(sock)
        for call in (sockets.receive(sock), sockets.wait_writable(sock)):
            with pytest.raises(trio.ClosedResourceError):
                await call
        with pytest.raises(OSError):
            await sockets.send_all(sock, b"x")
        with pytest.raises(OSError):
            sockets.send_some(sock, b"x")

    trio.run(scene)
