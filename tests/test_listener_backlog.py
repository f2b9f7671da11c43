"""Requests that waited in the listener's backlog while the connection limit was reached."""

import socket
import threading
import time

import pytest
import trio

from gaugehinge.net import connection_registry, idle_reaper
from gaugehinge.net.resp import bulk
from tests.helper import Cache, both, fleet, run

BUSY = b"-BUSY\r\n"
ANSWER_GRACE = 0.05  # seconds; the value in the documentation


@pytest.fixture(autouse=True)
def idle_connections_stay(monkeypatch):
    monkeypatch.setattr(connection_registry, "NEW_CONNECTION_GRACE", 60.0)
    monkeypatch.setattr(idle_reaper, "IDLE_TIMEOUT", 60.0)


async def fill_all_connections(made) -> list:
    """Connect idle clients until no further connection is accepted."""
    return [await made.client() for _ in range(made.service.clients.limits.max_accepted)]


async def get_from_backlog(made, wait_ms: int, seconds: float, key: str = "k1") -> tuple[bytes | None, float]:
    """Send a read that waits in the backlog for `seconds`; returns the reply and seconds since sending."""
    idle_clients = await fill_all_connections(made)
    client = await made.client()
    sent = trio.current_time()
    await client.send("KV.GET", key, "from-backlog", f"c=read,t=acme,d={wait_ms}")
    await trio.sleep(seconds)
    assert len(made.service.clients.connections) == len(idle_clients)
    for idle_client in idle_clients:
        await idle_client.stream.aclose()
    answer = await client.answer()
    return answer, trio.current_time() - sent


@both
@pytest.mark.parametrize("wait_ms", [100, 300])
def test_request_whose_client_gave_up_while_in_the_backlog_gets_no_late_reply(tmp_path, wait_ms):
    async def scene():
        async with fleet(tmp_path, sockets=64) as made:
            answer, _ = await get_from_backlog(made, wait_ms, wait_ms / 1000 + 0.2)
            assert answer is None
            assert not made.caches[0].commands

    run(scene)


@both
def test_time_in_the_backlog_counts_towards_the_deadline(tmp_path):
    async def scene():
        async with fleet(tmp_path, [Cache("stall")], sockets=64) as made:
            answer, seconds = await get_from_backlog(made, wait_ms=1000, seconds=0.6)
            assert answer is not None
            assert seconds < 1.0 + ANSWER_GRACE

    run(scene)


@both
def test_a_request_from_the_backlog_is_served_while_its_client_waits(tmp_path):
    async def scene():
        async with fleet(tmp_path, sockets=64) as made:
            answer, _ = await get_from_backlog(made, wait_ms=4000, seconds=0.3)
            assert answer in (b"$5\r\nof k1\r\n", BUSY)  # BUSY on connections over the limit

    run(scene)


@both
def test_request_sent_after_leaving_the_backlog_has_its_full_deadline(tmp_path):
    async def scene():
        async with fleet(tmp_path, sockets=64) as made:
            idle_clients = await fill_all_connections(made)
            client = await made.client()
            await trio.sleep(0.4)
            for idle_client in idle_clients:
                await idle_client.stream.aclose()
            while len(made.service.clients.connections) != 1:
                await trio.sleep(0.005)
            assert await client.get(labels="c=read,t=acme,d=300") == b"$5\r\nof k1\r\n"

    run(scene)


@both
@pytest.mark.parametrize("in_pieces", [False, True], ids=["two requests", "a request in pieces"])
@pytest.mark.parametrize("wait_ms", [100, 1100])
def test_first_request_of_a_connection_in_the_backlog_is_not_answered_late(tmp_path, wait_ms, in_pieces):
    """The kernel reports only when the last bytes arrived, here a second after the first ones."""

    async def scene():
        async with fleet(tmp_path, [Cache("stall")], sockets=64) as made:
            idle_clients = await fill_all_connections(made)
            await trio.sleep(0.3)
            client = await made.client()
            sent = trio.current_time()
            labels = f"c=read,t=acme,d={wait_ms}"
            request = b"*4\r\n" + b"".join(map(bulk, [b"KV.GET", b"k1", b"first", labels.encode()]))
            cut = 20 if in_pieces else len(request)
            await client.stream.send_all(request[:cut])
            await trio.sleep(1.0)
            await client.stream.send_all(request[cut:] or request.replace(b"first", b"other"))
            await trio.sleep(0.05)
            for idle_client in idle_clients:
                await idle_client.stream.aclose()
            answer = await client.answer()
            assert answer is None or trio.current_time() - sent < wait_ms / 1000 + ANSWER_GRACE

    run(scene)


@both
def test_several_requests_from_the_backlog_are_served_while_their_client_waits(tmp_path):
    async def scene():
        async with fleet(tmp_path, sockets=64) as made:
            idle_clients = await fill_all_connections(made)
            await trio.sleep(1.0)
            client = await made.client()
            for ident in ("first", "other"):
                await client.send("KV.GET", "k1", ident, "c=read,t=acme,d=900")
                await trio.sleep(0.1)
            for idle_client in idle_clients:
                await idle_client.stream.aclose()
            for _ in range(2):
                assert await client.answer() in (b"$5\r\nof k1\r\n", BUSY)

    run(scene)


@pytest.mark.parametrize("in_pieces", [False, True], ids=["two requests", "a request in pieces"])
def test_first_request_received_during_a_loop_stall_is_not_started_after_its_deadline(tmp_path, in_pieces):
    """No limit is reached here: the connections wait only for the stalled event loop."""

    def send_slowly(port: int) -> None:
        labels = b"c=once,t=acme,d=300"
        request = b"*5\r\n" + b"".join(map(bulk, [b"KV.SET", b"k1", b"first", labels, b"new"]))
        cut = 20 if in_pieces else len(request)
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(request[:cut])
            time.sleep(0.4)
            sock.sendall(request[cut:] or request.replace(b"first", b"other"))
            sock.recv(4096)

    async def scene():
        async with fleet(tmp_path) as made:
            await trio.sleep(0.2)
            client = threading.Thread(target=send_slowly, args=(made.port,))
            client.start()
            time.sleep(0.5)  # stalls the router, which runs in this test's event loop
            await trio.to_thread.run_sync(client.join)
            ran = [command[2] for cache in made.caches for command in cache.commands]
            assert b"first" not in ran

    run(scene)
