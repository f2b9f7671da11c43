"""Two events that cross while a router ends, each crossing forced: requests, answers, QUIT, FIN, SIGTERM."""

import json
import os
import re
import signal
import socket
import subprocess
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path

import children
import pytest
import trio

from gaugehinge.admission.fair_reader import MAX_READ_BYTES
from gaugehinge.net import connection_registry, reply_writer, request_reader
from gaugehinge.net.extensions import Extensions
from gaugehinge.net.graceful_shutdown import KILL_SLACK
from gaugehinge.net.lifecycle import Phase
from gaugehinge.net.resp import bulk
from gaugehinge.net.sockets import unsent
from tests.helper import SETTINGS, Cache, Client, Web, both, fleet, free_port, run

LONG = 400_000  # bytes of a value that a client with a small window reads in many steps
SLACK = 1.5  # seconds on a busy machine, over the end that a router states


def request(*words) -> bytes:
    words = [word if isinstance(word, bytes) else word.encode() for word in words]
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


def put(ident: str, traffic: str = "once", more: str = "") -> bytes:
    return request("KV.SET", "k1", ident, f"c={traffic},t=acme,d=8000{more}", "new value")


def get(ident: str, key: str = "k1") -> bytes:
    return request("KV.GET", key, ident, "c=read,t=acme,d=8000")


def now(client: Client, data: bytes) -> None:
    """Send in this very step, with no other task in between. A connection that has ended takes nothing."""
    with suppress(OSError):
        client.stream.socket._sock.send(data)


def signalled() -> None:
    os.kill(os.getpid(), signal.SIGTERM)


async def until(holds) -> None:
    """Until something of the router's own holds; looked at in each pass, so it need not be told."""
    with trio.fail_after(20):
        while not holds():
            await trio.sleep(0.002)


async def rest_of(client: Client) -> list[bytes]:
    """All further answers up to the end of the connection."""
    answers = []
    while (answer := await client.answer()) is not None:
        answers.append(answer)
    return answers


async def narrow_client(made) -> Client:
    """One with a small window, which must read for the router's kernel to be rid of an answer."""
    raw = trio.socket.socket()
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await raw.connect(("127.0.0.1", made.port))
    return Client(trio.SocketStream(raw))


async def read_all(client: Client) -> bytes:
    """The bytes up to the end or the reset of the connection."""
    data = b""
    with trio.fail_after(20), suppress(trio.BrokenResourceError):
        while more := await client.stream.receive_some(16384):
            data += more
    return data


async def end_of_process(made) -> None:
    """Wait for the router's end and close what it left open, as the end of its process does.

    By a task each connections are closed before; the turnstile leaves them to the process: the test's."""
    await made.ended.wait()
    for one in made.service.clients.connections:
        one.sock.close()


class Holding(Cache):
    """A cache that reads requests and holds their answers until told."""

    def __init__(self, value: bytes = b"held") -> None:
        super().__init__()
        self.value = b"*3\r\n" + bulk(value) + b"$3\r\nhit\r\n$-1\r\n"
        self.release = trio.Event()
        self.streams: list = []

    async def answer(self, stream, command) -> None:
        self.streams.append(stream)
        await self.release.wait()
        await stream.send_all(self.value)


class HoldingWeb(Web):
    """An origin that reads requests and holds their answers until told."""

    def __init__(self) -> None:
        super().__init__(lambda *call: (200, "", b"fetched"))
        self.release = trio.Event()

    async def answer(self, stream, told) -> None:
        await self.release.wait()
        await super().answer(stream, told)


def sent_on(made) -> list[bytes]:
    """The ids of all requests that any server has read, in no order."""
    at_caches = [command[2] for cache in made.caches for command in cache.commands]
    return at_caches + [headers["x-txn"].encode() for _, _, headers, _ in made.origin.seen]


def nothing_left(made) -> bool:
    parts = made.service
    return (
        len(parts.clients.connections) == 0
        and len(parts.dispatcher.pending_operations) == 0
        and parts.clients.limits.reserved_bytes == 0
        and not parts.clients.request_ids.open
    )


# -- an answer in the instant in which all that is left is given up


@pytest.mark.parametrize("order", ["unread", "answer first", "given up first"])
@both
def test_an_answer_in_the_instant_in_which_the_rest_is_given_up_is_not_a_second_one(tmp_path, order):
    async def scene():
        cache = Holding()
        async with fleet(tmp_path, [cache]) as made:
            client, dispatcher = await made.client(), made.service.dispatcher
            await client.stream.send_all(get("i1"))
            await until(lambda: cache.streams)
            if order == "unread":  # the answer stands in the kernel; the router has not looked
                cache.streams[0].socket._sock.send(cache.value)
                dispatcher.fail_rest()
            else:
                ended, crossed = made.service.pool.on_attempt_ended, trio.Event()

                def cross(*told):
                    if order == "answer first":
                        ended(*told)
                        dispatcher.fail_rest()
                    else:
                        dispatcher.fail_rest()
                        ended(*told)
                    crossed.set()

                made.service.pool.on_attempt_ended = cross
                cache.release.set()
                await crossed.wait()
            wanted = b"$4\r\nheld\r\n" if order == "answer first" else b"-ERR failed\r\n"
            assert await client.answer() == wanted
            assert await client.ask("PING") == b"+PONG\r\n"  # nothing in between
            await until(lambda: len(dispatcher.pending_operations) == 0 and not made.service.pool.pending)
            assert sent_on(made) == [b"i1"]

    run(scene)


@both
def test_at_the_end_what_may_have_run_is_never_called_harmless_and_each_gets_one_answer(tmp_path):
    async def scene():
        async with fleet(tmp_path, [Holding()], origin=lambda *call: "stall") as made:
            made.service.dispatcher.router.origin_limit.limit = 99.0
            crowd = [await made.client() for _ in range(3)]
            for client, sent in zip(crowd, [get("r"), put("o"), put("m", "mark", ",k=m1")], strict=True):
                await client.stream.send_all(sent)
            await until(lambda: len(sent_on(made)) == 3)
            signalled()
            assert [await rest_of(client) for client in crowd] == [[b"-ERR failed\r\n"]] * 3
            await made.ended.wait()
            assert sorted(sent_on(made)) == [b"m", b"o", b"r"]

    run(scene)


# -- what is read after the write side is shut


@pytest.mark.parametrize("how", ["QUIT", "malformed"])
@both
def test_what_is_read_behind_the_end_of_answers_is_sent_on_to_no_server(tmp_path, how):
    async def scene():
        async with fleet(tmp_path) as made:
            client = await made.client()
            await client.stream.send_all(request("QUIT") if how == "QUIT" else b"*1\r\n:1\r\n")
            first = await client.answer()
            assert first == b"+OK\r\n" if how == "QUIT" else first.startswith(b"-ERR protocol")
            assert await client.answer() is None and len(made.service.clients.connections) == 1
            [one] = made.service.clients.connections
            for n in range(3):
                now(client, put(f"o{n}") + get(f"r{n}"))
            await until(lambda: one.discarded_bytes == 3 * len(put("o0") + get("r0")))
            await until(lambda: len(made.service.clients.connections) == 0)
            assert sent_on(made) == [] and nothing_left(made)

    run(scene)


@both
def test_what_stands_behind_quit_in_the_same_bytes_is_not_run(tmp_path):
    async def scene():
        async with fleet(tmp_path) as made:
            client = await made.client()
            await client.stream.send_all(get("r0") + request("QUIT") + put("o0") + get("r1"))
            assert await rest_of(client) == [b"$5\r\nof k1\r\n", b"+OK\r\n"]
            await until(lambda: nothing_left(made))
            assert sent_on(made) == [b"r0"]

    run(scene)


@both
def test_while_closing_a_request_behind_the_last_answer_is_sent_on_to_no_server(tmp_path, monkeypatch):
    async def scene():
        cache = Holding()
        async with fleet(tmp_path, [cache]) as made:
            client = await made.client()
            await client.stream.send_all(get("r0"))
            await until(lambda: cache.streams)
            made.service.lifecycle.enter(Phase.CLOSING, 1)
            send = reply_writer.send_some

            def crossed(raw, data):
                sent = send(raw, data)
                now(client, put("o0"))  # between the write and the end
                return sent

            monkeypatch.setattr(reply_writer, "send_some", crossed)
            cache.release.set()
            assert await rest_of(client) == [b"$4\r\nheld\r\n"]
            await until(lambda: nothing_left(made))
            assert sent_on(made) == [b"r0"]

    run(scene)


# -- a request between the look that finds a connection idle and its end


@pytest.mark.parametrize("where", ["idle", "last answer"])
@both
def test_a_request_between_the_look_and_the_end_is_lost_to_no_server(tmp_path, monkeypatch, where):
    async def scene():
        cache = Holding()
        async with fleet(tmp_path, [cache]) as made:
            client, server = await made.client(), made.service.clients
            await client.stream.send_all(get("r0"))
            await until(lambda: cache.streams)
            silent, crossed = reply_writer.silent, []

            def look(raw):
                found = silent(raw)
                if found and not crossed:
                    crossed.append(raw)
                    now(client, put("o0"))
                return found

            if where == "idle":
                cache.release.set()
                assert await client.answer() == b"$4\r\nheld\r\n"
                await until(lambda: len(made.service.dispatcher.pending_operations) == 0)
                monkeypatch.setattr(connection_registry, "silent", look)
                server.close_idle(0.0)
                assert await client.answer() is None
            else:
                made.service.lifecycle.enter(Phase.CLOSING, 1)
                monkeypatch.setattr(reply_writer, "silent", look)
                cache.release.set()
                assert await rest_of(client) == [b"$4\r\nheld\r\n"]
            assert crossed
            await until(lambda: nothing_left(made))
            assert sent_on(made) == [b"r0"]  # a client that nobody read may send it again elsewhere

    run(scene)


# -- long answers


@pytest.mark.parametrize("crossing", ["nothing", "in hand", "idle", "crowded", "quit"])
@both
def test_a_long_answer_that_is_read_slowly_comes_whole_though_a_request_crosses_the_end(
    tmp_path,
    crossing,
):
    """`in hand`: the answer is the last thing in its connection when it is written while closing; `idle`: it
    was written before, and its connection is closed for being idle; `crowded`: the same with no end of
    the router, to make room; `quit`: it lingers behind QUIT. The next request comes while the answer stands
    in the kernel still: closed over that, or before, the connection would be reset and the rest be gone."""

    async def scene():
        cache = Holding(b"v" * LONG)
        async with fleet(tmp_path, [cache]) as made:
            client, server = await narrow_client(made), made.service.clients
            await client.stream.send_all(get("r0") + (request("QUIT") if crossing == "quit" else b""))
            await until(lambda: cache.streams)
            [one] = server.connections
            if crossing in ("nothing", "in hand"):
                made.service.lifecycle.enter(Phase.CLOSING, 1)
            cache.release.set()
            await until(lambda: not one.pending_replies)  # all of it is with the kernel
            assert not one.write_blocked and unsent(one.sock)
            if crossing == "idle":
                made.service.lifecycle.enter(Phase.CLOSING, 0)
            make_room = server.idle_reaper.close_one_idle
            look = make_room if crossing == "crowded" else partial(server.close_idle, 0.0)
            ends = trio.current_time() + (3 * reply_writer.LINGER_INTERVAL if crossing == "quit" else 0.3)
            while trio.current_time() < ends:
                look()
                await trio.sleep(0.01)
            assert len(server.connections) == 1  # nothing of it has been read yet
            if crossing != "nothing":
                now(client, put("o0"))
            async with trio.open_nursery() as nursery:

                async def looks():
                    while len(server.connections):
                        look()
                        await trio.sleep(0.01)

                nursery.start_soon(looks)
                got = await read_all(client)
            whole = bulk(b"v" * LONG)
            assert got[: len(whole)] == whole
            # What was read is answered, and what was not, or behind QUIT, is sent on to nobody.
            rest = {"quit": b"+OK\r\n", "nothing": b""}.get(crossing, b"$7\r\nfetched\r\n")
            assert got[len(whole) :] == rest
            assert sent_on(made) == ([b"r0"] if crossing in ("quit", "nothing") else [b"r0", b"o0"])

    run(scene)


@both
def test_a_long_answer_that_is_read_slowly_comes_whole_though_the_router_ends_meanwhile(tmp_path):
    async def scene():
        cache = Holding(b"v" * LONG)
        async with fleet(tmp_path, [cache]) as made:
            client = await narrow_client(made)
            await client.stream.send_all(get("r0"))
            await until(lambda: cache.streams)
            signalled()
            await until(lambda: made.service.lifecycle.phase is Phase.CLOSING)
            cache.release.set()
            await made.ended.wait()
            assert len(await read_all(client)) == len(bulk(b"v" * LONG))

    run(scene)


@both
def test_a_client_that_does_not_read_its_answer_does_not_hold_the_end_up(tmp_path):
    """A platform kills what has not ended by then: the stated end is the longest wait and KILL_SLACK."""

    async def scene():
        cache = Holding(b"v" * LONG)
        async with fleet(tmp_path, [cache]) as made:
            made.service.listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client = await narrow_client(made)
            await client.stream.send_all(get("r0"))
            await until(lambda: cache.streams)
            cache.release.set()
            [one] = made.service.clients.connections
            await until(lambda: one.write_blocked)
            began = trio.current_time()
            signalled()
            await made.ended.wait()
            stated = made.service.configuration.settings.max_client_wait + KILL_SLACK
            assert trio.current_time() - began < stated + SLACK

    run(scene)


@both
def test_an_answer_that_is_being_written_when_closing_begins_is_written_whole(tmp_path):
    async def scene():
        cache = Holding(b"v" * LONG)
        async with fleet(tmp_path, [cache]) as made:
            made.service.listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client = await narrow_client(made)
            await client.stream.send_all(get("r0"))
            await until(lambda: cache.streams)
            cache.release.set()
            [one] = made.service.clients.connections
            await until(lambda: one.write_blocked)
            signalled()
            await until(lambda: made.service.lifecycle.phase is Phase.CLOSING)
            assert len(await read_all(client)) == len(bulk(b"v" * LONG))
            await made.ended.wait()
            assert sent_on(made) == [b"r0"]

    run(scene)


# -- QUIT, FIN and SIGTERM


@pytest.mark.parametrize("in_hand", [True, False])
@pytest.mark.parametrize("awaited", [True, False])
@pytest.mark.parametrize("order", ["SQF", "QSF", "QFS", "SF", "FS", "SQ", "QS"])
@both
def test_quit_the_clients_end_and_sigterm_in_any_order_leave_nothing(tmp_path, order, awaited, in_hand):
    """Behind its FIN (F) a client counts as gone: what it still asked for may be given up, not sent again.

    With no FIN each request in hand and QUIT (Q) has its one answer."""

    async def scene():
        origin = HoldingWeb()
        async with fleet(tmp_path, [Cache()]) as made:
            made.origin.answer = origin.answer  # the stand-in's connections, held
            client, server = await made.client(), made.service.clients
            assert await client.get("k0", "first") == b"$5\r\nof k0\r\n"
            [one] = server.connections
            if in_hand:
                await client.stream.send_all(put("o0"))
                await until(lambda: b"o0" in sent_on(made))

            def gone():
                return server.connections.get(one.handle) is None

            noticed = {
                "S": lambda: made.service.lifecycle.phase is not Phase.READY,
                "Q": lambda: one.draining,
                "F": gone,
            }
            for step in order:
                if step == "S":
                    signalled()
                elif step == "Q":
                    now(client, request("QUIT"))
                else:
                    await client.stream.send_eof()
                if awaited:
                    await until(noticed[step])
            if "F" not in order:
                origin.release.set()
            answers = await rest_of(client)
            whole = ([b"$7\r\nfetched\r\n"] if in_hand else []) + ([b"+OK\r\n"] if "Q" in order else [])
            if "F" in order and in_hand:
                assert answers == whole[: len(answers)]
            else:
                assert answers == whole
            await made.ended.wait()
            assert nothing_left(made) and sent_on(made).count(b"o0") == in_hand
            origin.release.set()

    run(scene)


# -- who rests, and who has said half


@both
def test_who_rests_until_the_router_ends_it_and_then_sends_is_sent_on_to_no_server(tmp_path):
    async def scene():
        async with fleet(tmp_path) as made:
            client, never = await made.client(), await made.client()
            assert await client.get("k1", "first") == b"$5\r\nof k1\r\n"
            signalled()
            assert await client.answer() is None and await never.answer() is None
            now(client, put("o0"))
            now(never, put("o1"))
            await made.ended.wait()
            assert sent_on(made) == [b"first"]
            assert await client.answer() is None and await never.answer() is None

    run(scene)


@pytest.mark.parametrize("comes", [True, False])
@both
def test_half_a_request_when_closing_begins(tmp_path, comes):
    """Its rest still comes: it is answered. It does not: it is sent on to nobody and holds nothing up."""

    async def scene():
        async with fleet(tmp_path) as made:
            client, whole = await made.client(), put("o0")
            await client.stream.send_all(whole[:40])
            await until(lambda: any(len(one.parser) for one in made.service.clients.connections))
            began = trio.current_time()
            signalled()
            await until(lambda: made.service.lifecycle.phase is Phase.CLOSING)
            if comes:
                await client.stream.send_all(whole[40:])
            await end_of_process(made)
            stated = made.service.configuration.settings.max_client_wait + KILL_SLACK
            assert trio.current_time() - began < stated + SLACK
            answers = await rest_of(client)
            assert sent_on(made) == ([b"o0"] if comes else [])
            assert answers == [b"$7\r\nfetched\r\n"] if comes else not [a for a in answers if a[:1] != b"-"]

    run(scene)


@both
def test_more_requests_than_are_taken_at_once_are_all_answered_before_the_end(tmp_path):
    """They stand read in the parser behind those in hand: read, they must not be left with no answer."""
    count = 700  # all of them come with one reading

    async def scene():
        async with fleet(tmp_path, origin=lambda *call: "stall") as made:
            gate = made.service.dispatcher.router.origin_limit
            gate.limit = 1e6  # none is refused for what the others hold
            client = await made.client()
            sent = b"".join(put(f"i{n}") for n in range(count))
            assert len(sent) < MAX_READ_BYTES
            await client.stream.send_all(sent)
            [one] = made.service.clients.connections
            most = request_reader.MAX_PIPELINED_REQUESTS
            await until(lambda: one.paused and len(one.pending_replies) == most)
            signalled()
            await end_of_process(made)
            answers = await rest_of(client)
            assert all(answer.startswith((b"-ERR failed", b"-BUSY")) for answer in answers)
            assert len(answers) == count

    run(scene)


# -- the signal


@pytest.mark.parametrize("listed", [True, False])
@both
def test_sigterm_before_the_router_is_ready_with_discovery_silent(tmp_path, listed):
    """With no list (or one that names nobody who serves) and a client that has already connected."""

    async def scene():
        known = {"rev": 1, "all": True, "targets": []} if listed else None
        async with fleet(tmp_path, peers={"known": known}) as made:
            client, rests = await made.client(), await made.client()
            assert made.service.lifecycle.phase is Phase.STARTING
            assert await client.ask("PING") == b"-ERR starting\r\n"
            await client.stream.send_all(get("r0") + put("o0"))
            began = trio.current_time()
            signalled()
            answers = await rest_of(client)
            assert len(answers) == 2 and all(each.startswith(b"-BUSY") for each in answers)  # none ran
            assert await rests.answer() is None
            await made.ended.wait()
            stated = made.service.configuration.settings.max_client_wait + KILL_SLACK
            assert trio.current_time() - began < stated + SLACK
            assert sent_on(made) == [] and nothing_left(made)

    run(scene)


@pytest.mark.parametrize("second", ["leaving", "closing", "the last step"])
@both
def test_a_second_sigterm_neither_ends_the_process_by_the_signal_nor_cuts_answers_off(tmp_path, second):
    taken = []

    class LastStep:
        async def before_exit(self):
            if second == "the last step":
                signalled()  # and no pass of the loop follows before the receiver ends

    def build(service, nursery):
        return Extensions(shutdown_hooks=(LastStep(),))

    async def scene():
        cache = Holding()
        async with fleet(tmp_path, [cache], build_extensions=build) as made:
            client = await made.client()
            await client.stream.send_all(get("r0"))
            await until(lambda: cache.streams)
            signalled()
            if second == "leaving":
                await until(lambda: made.service.lifecycle.phase is Phase.LEAVING)
                signalled()
            elif second == "closing":
                await until(lambda: made.service.lifecycle.phase is Phase.CLOSING)
                signalled()
            await trio.testing.wait_all_tasks_blocked()
            cache.release.set()
            assert await rest_of(client) == [b"$4\r\nheld\r\n"]
            await made.ended.wait()

    before = signal.signal(signal.SIGTERM, lambda *told: taken.append(told))
    try:
        run(scene)
    finally:
        signal.signal(signal.SIGTERM, before)
    assert taken == []  # what would have ended the process in place of exit 0


# -- descriptors


READY_LINE = r"\bready: \d+ operations in flight"  # of gaugehinge.net.lifecycle
ROUTER = """
import os, resource, sys
from functools import partial
from gaugehinge.admission.admission_control import FairAdmissionControl
from gaugehinge.net.configuration import read_configuration
from gaugehinge.net.run import run
most = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
door = FairAdmissionControl if sys.argv[2] == "door" else None
sys.exit(run(read_configuration(os.environ), partial(read_configuration, os.environ), door))
"""


@contextmanager
def router_process(folder: Path, config: dict, door: str) -> Iterator[subprocess.Popen]:
    """A router that may use as many descriptors as its configuration says. It logs to `log` there."""
    path, most = folder / "config.json", config["limits"]["sockets"]
    path.write_text(json.dumps(config))
    environment = {**os.environ, "LB_CONFIG": str(path)}
    place = Path(__file__).parent.parent
    with (
        (folder / "log").open("w") as out,
        children.child("-c", ROUTER, str(most), door, env=environment, stderr=out, cwd=place) as process,
    ):
        yield process


async def until_ready(process: subprocess.Popen, log: Path) -> None:
    """Until the router says that it is ready. One that ends instead fails the test, with its log."""

    def is_ready() -> bool:
        ended = process.poll() is not None  # looked at first: what it says before its end is in the log then
        text = log.read_text()
        assert not ended, f"the router ended with {process.returncode}: {text}"
        return re.search(READY_LINE, text) is not None

    await until(is_ready)


def test_a_router_that_finds_its_port_taken_does_not_count_as_ready(tmp_path):
    """Its message, "Address already in use", has "ready" in it: the test went on with the other's router."""

    async def scene():
        with socket.create_server(("127.0.0.1", 0)) as other:
            config = {
                "listen": f"127.0.0.1:{other.getsockname()[1]}",
                "discovery": "127.0.0.1:9",
                "seed": "0a",
                "limits": {"sockets": 100},
                "settings": SETTINGS,
                "known": {"rev": 1, "all": True, "targets": []},
            }
            with (
                router_process(tmp_path, config, "door") as process,
                pytest.raises(AssertionError, match="ended with 1: .*Address already in use"),
            ):
                await until_ready(process, tmp_path / "log")

    run(scene)


@pytest.mark.parametrize("door", ["door", "none"])
@pytest.mark.parametrize("most", [64, 100, 256])
@pytest.mark.parametrize(
    "first, comes",
    [("servers", True), ("servers", False), ("clients", True)],
    ids=["servers first", "servers first and discovery stays down", "clients first"],
)
def test_with_all_places_of_clients_and_servers_taken_discovery_and_the_end_are_still_had(
    tmp_path,
    most,
    door,
    first,
    comes,
):
    """The process has just as many descriptors as its configuration tells it. Discovery is down until all
    places are taken: clients that rest, more of them than are let in, and requests whose answers are held."""

    async def scene():
        caches = [Holding() for _ in range(int(0.4 * most) + 6)]
        async with trio.open_nursery() as nursery:

            async def stand(each, port=0) -> str:
                serve = partial(trio.serve_tcp, each.serve, port, host="127.0.0.1")
                [listener] = await nursery.start(serve)
                return f"127.0.0.1:{listener.socket.getsockname()[1]}"

            targets = [
                {
                    "uid": f"s-{i}",
                    "endpoint": await stand(each),
                    "az": "a",
                    "model": "std",
                    "pod_group": 0,
                    "state": "ready",
                    "capacity_hint": 1.0,
                    "boot_ms": 0,
                }
                for i, each in enumerate(caches)
            ]
            port, listed = free_port(), free_port()
            config = {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{listed}",
                "seed": "0a",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": most},
                "settings": SETTINGS,
                "known": {"rev": 1, "all": True, "targets": targets},
                "peer_listen": (own := f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}"),
                "peers": [own],
            }
            log = tmp_path / "log"
            with router_process(tmp_path, config, door) as process:
                await until_ready(process, log)
                seen: list[int] = []

                def count() -> int:
                    seen.append(len(os.listdir(f"/proc/{process.pid}/fd")))
                    return seen[-1]

                async def connect() -> Client:
                    return Client(await trio.open_tcp_stream("127.0.0.1", port))

                holders = [await connect() for _ in range(4)]
                crowd = []

                def held() -> int:
                    return sum(len(each.streams) for each in caches)

                async def ask(n: int) -> None:
                    words = ("KV.GET", f"k{n}", f"h{n}", "c=read,t=acme,d=30000")
                    try:
                        await holders[n % 4].send(*words)
                    except trio.BrokenResourceError:  # closed to make room, once nothing was in hand there
                        holders[n % 4] = await connect()
                        await holders[n % 4].send(*words)

                async def hold(start: int, wanted: int) -> None:
                    for n in range(start, start + 8 * most):
                        await ask(n)
                        if held() >= wanted:
                            break
                        if n % 16 == 0:
                            await trio.sleep(0.01)
                        count()

                async def come() -> None:
                    for n in range(2 * most):
                        crowd.append(await connect())
                        now(crowd[-1], request("PING"))
                        if n % 8 == 0:
                            await trio.sleep(0.01)
                        count()

                if first == "clients":
                    await hold(0, 4)  # each of the holders has something in hand
                    await come()
                    await hold(9 * most, int(0.4 * most))
                else:
                    await hold(0, int(0.4 * most))
                    await come()
                for _ in range(20):
                    count()
                    await trio.sleep(0.02)
                text = log.read_text()
                print(
                    f"{held()} at servers, failed: accept {text.count('accept failed')}, to a server "
                    f"{text.count('cannot create a socket')}"
                )
                calls: list[str] = []

                def discovery(method, target, headers, body):
                    calls.append(target)
                    return 200, "", json.dumps({"rev": 2, "all": False, "targets": []}).encode()

                if comes:
                    await stand(Web(discovery), listed)
                    await until(lambda: count() and calls)
                for each in caches:
                    each.release.set()
                fresh = await connect()
                answer = await fresh.get("fresh")
                count()
                process.send_signal(signal.SIGTERM)
                with trio.fail_after(20):
                    while process.poll() is None:
                        with suppress(OSError):
                            count()
                        await trio.sleep(0.01)
                text = log.read_text()
                print(f"descriptors {max(seen)} of {most}")
                assert process.returncode == 0 and answer is not None
                assert text.count("Too many open files") == 0 and max(seen) <= most
            nursery.cancel_scope.cancel()

    run(scene)
