"""Two events that cross on a connection to a server, or beside a retry, each crossing forced."""

import re
import socket
import struct
import time
from contextlib import suppress
from functools import partial

import pytest
import trio

from gaugehinge.net import connection_pool, sockets
from gaugehinge.net.codec import RequestPayload
from gaugehinge.net.connection import ServerPool
from gaugehinge.net.connection_pool import ConnectionPool
from gaugehinge.net.resp import bulk
from gaugehinge.net.resp_codec import RespCodec
from gaugehinge.net.timer_queue import Clock, TimerQueue
from gaugehinge.routing.types import EndpointState, Outcome
from tests.helper import MARKED, SETTINGS, Bench, Cache, fleet, run

FETCHED = b"$7\r\nfetched\r\n"
HARMLESS = b"-BUSY"
FAILED = b"-ERR failed\r\n"
MOST_STEPS = 20  # more than any request has attempts
READS, MARKS, ONCES = "c=read,t=acme,d=4000", "c=mark,t=acme,d=4000,k=m{}", "c=once,t=acme,d=4000"


async def until(holds) -> None:
    """Until something of the router's own holds; looked at in each pass, so it need not be told."""
    with trio.fail_after(20):
        while not holds():
            await trio.sleep(0.002)


def close(stream, how: str) -> None:
    """End a server's connection in this very step, by FIN or RST."""
    if how == "RST":
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    stream.socket.close()


def write(stream, data: bytes) -> None:
    stream.socket._sock.send(data)


def answer_of(value: bytes) -> bytes:
    return b"*3\r\n" + bulk(value) + b"$3\r\nhit\r\n$-1\r\n"


class Scripted(Cache):
    """A cache that keeps its connections at hand; `script` answers in its place."""

    def __init__(self, script=None) -> None:
        super().__init__()
        self.script = script
        self.streams: list = []

    async def answer(self, stream, command) -> None:
        self.streams.append(stream)
        if self.script is None:
            await stream.send_all(answer_of(b"of " + command[1]))
        else:
            await self.script(stream, command)


def settings(window: int = 9_000_000, wait: int = 4_000_000, **allowed):
    """With so many microseconds for which an idempotency key is remembered."""
    types = [
        {**each, "abandonTimeUs": wait, **({"windowUs": window} if each["name"] == "mark" else {})}
        for each in SETTINGS["trafficTypes"]
    ]
    return {**SETTINGS, "trafficTypes": types, "allowed": {**SETTINGS["allowed"], **allowed}}


def at_look(monkeypatch, act) -> list:
    """Do something once between the look that finds an idle connection good and the request's first byte."""
    silent, done = connection_pool.silent, []

    def look(raw):
        found = silent(raw)
        if found and not done:
            done.append(raw)
            act()
        return found

    monkeypatch.setattr(connection_pool, "silent", look)
    return done


async def rested(made, count: int = 1) -> list:
    """The idle connections, once there are so many and each has had its rest."""
    parts = made.service.dispatcher.pool

    def idle():
        return [line for place in parts.endpoints.values() for line in place.idle]

    await until(
        lambda: (
            len(idle()) >= count
            and all(line.idle_since <= parts.clock() - connection_pool.REUSE_DELAY for line in idle())
        )
    )
    return idle()


async def settled(made) -> None:
    """All attempts have ended, and nothing is left in hand."""
    await until(
        lambda: not made.service.pool.pending and len(made.service.dispatcher.pending_operations) == 0
    )


def txns(made) -> list[str]:
    return [headers["x-txn"] for _, _, headers, _ in made.origin.seen]


# -- an idle connection that ends just as a request is written


@pytest.mark.parametrize("how", ["FIN", "RST"])
def test_a_read_on_a_connection_that_ends_as_it_is_written_is_sent_again(tmp_path, monkeypatch, how):
    async def scene():
        async with fleet(tmp_path, [Scripted(), Scripted()]) as made:
            client = await made.client()
            assert await client.get("k1", "i1") == b"$5\r\nof k1\r\n"
            await rested(made)
            [first] = [cache for cache in made.caches if cache.streams]
            done = at_look(monkeypatch, lambda: close(first.streams[-1], how))
            assert await client.get("k1", "i2") == b"$5\r\nof k1\r\n"
            assert done
            got = [command[2] for cache in made.caches for command in cache.commands]
            assert got.count(b"i2") == 1
            assert await client.ask("PING") == b"+PONG\r\n"
            await settled(made)

    run(scene)


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("labels", [MARKS.format(2), ONCES])
def test_a_write_on_a_connection_that_ends_as_it_is_written(tmp_path, monkeypatch, labels, how):
    """By FIN it went out whole and may have run: with a key it is sent again, without one it never is, and
    its client is not told that a repeat is harmless. By RST it never went out."""

    async def scene():
        async with fleet(tmp_path) as made:
            streams, plain, client = [], made.origin.answer, await made.client()

            async def noted(stream, told):
                streams.append(stream)
                await plain(stream, told)

            made.origin.answer = noted
            assert await client.put("i1", MARKS.format(1)) == FETCHED
            await rested(made)
            done = at_look(monkeypatch, lambda: close(streams[-1], how))
            answer = await client.put("i2", labels)
            assert done
            if labels == ONCES and how == "FIN":
                assert answer == FAILED
                assert txns(made) == ["i1"]
            elif labels == ONCES:
                assert answer == FETCHED or answer.startswith(HARMLESS)
                assert txns(made).count("i2") == (answer == FETCHED)
            else:
                assert answer == FETCHED
                assert txns(made) == ["i1", "i2"]
            assert await client.ask("PING") == b"+PONG\r\n"
            await settled(made)

    run(scene)


@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("labels", [MARKS.format(2), ONCES])
def test_a_server_that_reached_its_idle_time_while_a_request_is_half_written_never_ran_it(
    tmp_path,
    monkeypatch,
    labels,
    how,
):
    async def scene():
        async with fleet(tmp_path) as made:
            streams, plain, client = [], made.origin.answer, await made.client()

            async def noted(stream, told):
                streams.append(stream)
                await plain(stream, told)

            made.origin.answer = noted
            assert await client.put("i1", MARKS.format(1)) == FETCHED
            [line] = await rested(made)
            line.idle_since = made.service.clock() - made.service.pool.max_idle_time + 0.2  # nearly too old
            calls = []

            def half(raw, data):
                calls.append(raw)
                if len(calls) > 1:
                    return sockets.send_some(raw, data)
                sent = sockets.send_some(raw, data[: len(data) // 2])
                close(streams[-1], how)
                return sent

            monkeypatch.setattr(connection_pool, "send_some", half)
            answer = await client.put("i2", labels)
            assert calls[0] is line.sock
            assert answer == FETCHED or answer.startswith(HARMLESS)
            assert txns(made).count("i2") == (answer == FETCHED)
            await settled(made)

    run(scene)


# -- what comes unasked on an idle connection


@pytest.mark.parametrize("when", ["with the answer", "while it rests"])
@pytest.mark.parametrize("more", [answer_of(b"of k1"), answer_of(b"of k1")[:9], b"\r\n", b"*"])
def test_what_follows_an_answer_is_not_taken_for_the_next_one(tmp_path, more, when):
    async def scene():
        async def script(stream, command):
            data = answer_of(b"of " + command[1])
            await stream.send_all(data + more if when == "with the answer" else data)

        cache = Scripted(script)
        async with fleet(tmp_path, [cache]) as made:
            client = await made.client()
            assert await client.get("k1") == b"$5\r\nof k1\r\n"
            if when == "while it rests":
                await rested(made)
                write(cache.streams[0], more)  # it stands in the kernel when the next request comes
            assert await client.get("k2") == b"$5\r\nof k2\r\n"
            assert cache.connections == 2

    run(scene)


@pytest.mark.parametrize("behind", [5, 9, 11])
def test_a_second_copy_so_many_milliseconds_behind_an_answer_is_not_the_next_ones(
    tmp_path,
    monkeypatch,
    behind,
):
    """The next request comes half a millisecond before the copy does."""

    async def scene():
        async def script(stream, command):
            if command[1] == b"k2" and stream is cache.streams[0]:
                write(stream, answer_of(b"of k1"))
            await stream.send_all(answer_of(b"of " + command[1]))

        cache = Scripted(script)
        async with fleet(tmp_path, [cache]) as made:
            client = await made.client()
            monkeypatch.setattr(connection_pool, "REUSE_DELAY", 1e6)
            assert await client.get("k1") == b"$5\r\nof k1\r\n"
            [place] = [each for each in made.service.pool.endpoints.values() if each.idle]
            monkeypatch.undo()
            clock, age = made.service.pool.clock, (behind - 0.5) / 1000.0
            warm = made.service.pool.take_idle

            def in_time(place, attempt):
                for line in place.idle:
                    line.idle_since = clock() - age  # by the clock of this very look
                return warm(place, attempt)

            monkeypatch.setattr(made.service.pool, "take_idle", in_time)
            answer = await client.get("k2")
            if len(place.idle):
                with suppress(OSError):
                    write(cache.streams[0], answer_of(b"of k1"))
            assert answer == b"$5\r\nof k2\r\n" or answer.startswith(b"-")

    run(scene)


def test_an_answer_that_comes_before_the_last_byte_of_a_request_is_not_its_own(tmp_path, monkeypatch):
    """A second copy of the receipt before: what has not gone out whole has not run, nor is it called done."""

    async def scene():
        async with fleet(tmp_path) as made:
            streams, plain, client = [], made.origin.answer, await made.client()

            async def noted(stream, told):
                streams.append(stream)
                await plain(stream, told)

            made.origin.answer = noted
            assert await client.put("i1") == FETCHED
            [line] = await rested(made)

            def half(raw, data):
                if raw is not line.sock:
                    return sockets.send_some(raw, data)
                if len(data) < 30:
                    return 0
                sent = sockets.send_some(raw, data[:20])
                write(streams[0], b"HTTP/1.1 200 X\r\nContent-Length: 7\r\n\r\nfetched")
                return sent

            monkeypatch.setattr(connection_pool, "send_some", half)
            answer = await client.put("i2", "c=once,t=acme,d=1500")
            assert answer != FETCHED or txns(made) == ["i1", "i2"]
            assert answer == FETCHED or answer.startswith(b"-")

    run(scene)


def test_half_an_answer_that_comes_as_the_next_request_is_written_makes_no_wrong_one(tmp_path, monkeypatch):
    """Left over from the request before, cut at each place in turn: never a value that nobody stored."""
    whole, wrong = answer_of(b"of k1"), {}

    async def scene(cut):
        cache = Scripted()
        async with fleet(tmp_path, [cache, Scripted()]) as made:
            client = await made.client()
            assert await client.get("k1") == b"$5\r\nof k1\r\n"
            await rested(made)
            [first] = [each for each in made.caches if each.streams]
            done = at_look(monkeypatch, lambda: write(first.streams[0], whole[:cut]))
            answer = await client.get("k1", labels="c=read,t=acme,d=600")
            monkeypatch.undo()
            assert done
            if answer != b"$5\r\nof k1\r\n" and not answer.startswith(b"-"):
                wrong[cut] = answer

    for cut in range(1, len(whole)):
        run(scene, cut)
    assert wrong == {}


# -- the limit of connections


def scene_of_pool(scene, most: int):
    """A pool alone, one server that reads and holds, and what ended."""

    async def main():
        bench, ended, cache = Bench(8), [], Scripted(lambda stream, command: trio.sleep_forever())
        with trio.fail_after(30):
            async with trio.open_nursery() as nursery:
                [listener] = await nursery.start(partial(trio.serve_tcp, cache.serve, 0, host="127.0.0.1"))
                timers = TimerQueue(Clock())
                nursery.start_soon(timers.run)
                made = ConnectionPool(nursery, timers, most, 1.0, 10.0, lambda *told: ended.append(told))

                def send(key):
                    _operation, answer = bench.ask_for_pool(timers.clock, key)
                    ident = answer.attempt.endpoint.ident
                    if ident not in made.endpoints:
                        made.endpoints[ident] = ServerPool(ident, "s", listener.socket.getsockname(), 0.0)
                    payload = RequestPayload(
                        b"i",
                        b"k",
                        (b"d=", b""),
                        b"d=1",
                        b"*4\r\n" + bulk(b"KV.GET") + bulk(b"k") + bulk(key.encode()),
                        b"",
                        None,
                    )
                    made.send(answer.attempt, payload, 5.0, RespCodec())
                    return answer.attempt

                await scene(made, send, ended, cache, bench)
                nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("at", ["before the connect", "as it comes up"])
def test_an_attempt_called_off_while_its_connection_comes_up_frees_the_place_at_once(at):
    async def scene(made, send, ended, cache, bench):
        connecting, go = trio.Event(), trio.Event()
        connect = connection_pool.connect

        async def held(raw, address):
            connecting.set()
            if at == "as it comes up":
                await connect(raw, address)
                await go.wait()
            else:
                await go.wait()
                await connect(raw, address)

        connection_pool.connect = held
        try:
            first = send("k1")
            await connecting.wait()
            assert made.open_connections == 1
            connection_pool.connect = connect
            second = send("k2")  # no place: the one that there is comes up still
            go.set()
            made.cancel(first)  # in the same step
            assert made.open_connections == 0
            third = send("k3")
            await until(lambda: cache.commands)
        finally:
            connection_pool.connect = connect
        outcomes = {told[0]: told[1] for told in ended}
        assert outcomes == {first: Outcome.NOT_SENT, second: Outcome.NOT_SENT}
        assert len(ended) == 2
        assert third in made.pending
        assert made.open_connections == 1
        assert [command[2] for command in cache.commands] == [b"k3"]  # of the first not a byte
        made.cancel(third)
        await until(lambda: len(ended) == 3)
        assert ended[2][:2] == (third, Outcome.CANCELLED)
        assert made.open_connections == 0

    scene_of_pool(scene, 1)


def test_an_attempt_called_off_as_its_connection_is_put_to_rest_unused_leaves_no_closed_one_idle():
    async def scene(made, send, ended, cache, bench):
        start, done = made._start, []

        def crossed(line, pending):
            pending.attempt.endpoint.state = EndpointState.DRAINING  # told while the connection came up
            start(line, pending)
            made.cancel(pending.attempt)  # its client goes in the same step
            done.append([each for place in made.endpoints.values() for each in place.idle if each.closed])

        made._start = crossed
        attempt = send("k1")
        await until(lambda: ended)
        made._start = start
        assert [told[:2] for told in ended] == [(attempt, Outcome.NOT_SENT)]
        assert cache.commands == []
        assert done == [[]]
        assert made.open_connections in (0, 1)
        assert made.open_connections == sum(len(place.idle) for place in made.endpoints.values())

    scene_of_pool(scene, 1)


def test_an_attempt_called_off_after_its_unused_connection_was_given_to_the_next_leaves_that_alone():
    """The loop stands still for longer than a connection rests, between the steps of the first one's end."""

    async def scene(made, send, ended, cache, bench):
        start, attempts = made._start, []

        def crossed(line, pending):
            made._start = start
            pending.attempt.operation.retry_deadline = 0.0  # its key is forgotten by the time that it is up
            start(line, pending)
            for number in range(1, 9):
                made.endpoints[number] = line.endpoint
            time.sleep(2 * connection_pool.REUSE_DELAY)
            attempts.append(send("k2"))
            assert made.pending[attempts[0]].connection is line
            made.cancel(pending.attempt)  # its client goes in the same step

        made._start = crossed
        first = send("k1")
        await until(lambda: ended)
        assert [told[:2] for told in ended] == [(first, Outcome.NOT_SENT)]
        await until(lambda: cache.commands)
        [second] = attempts
        kept = made.pending[second].connection
        assert kept is not None
        assert not kept.closed

    scene_of_pool(scene, 1)


# -- an idempotency key and the time at which it is forgotten


class Remembering:
    """An origin that drops repeats of a key for so long after its effect, and goes wrong as told."""

    def __init__(self, window: float) -> None:
        self.window = window
        self.effects: list[str] = []
        self.came: list[tuple[float, str]] = []
        self._known: dict[str, float] = {}

    def hear(self, method, target, headers, body):
        labels = dict(part.split("=") for part in headers["x-labels"].split(","))
        at, key = trio.current_time(), labels["k"]
        self.came.append((at, key))
        if at - self._known.get(key, -1e9) > self.window:
            self.effects.append(key)
            self._known[key] = at
        return 200, "", b"fetched"


@pytest.mark.parametrize("hold", [0.0, 0.3, 0.75])
@pytest.mark.parametrize("window", [0.2, 0.8, 1.2])
def test_a_key_that_may_be_forgotten_is_not_sent_again_nor_its_client_told_that_this_is_harmless(
    tmp_path,
    window,
    hold,
):
    """Each answer of the origin is cut after a hold; its client does as it is told: -BUSY MS, and it comes
    again with the same key after MS. Whatever the window, the effect is there once."""

    async def scene():
        origin = Remembering(window)
        async with fleet(tmp_path, origin=origin.hear, settings=settings(int(window * 1e6))) as made:
            failing = True

            async def cut(stream, told):
                await trio.sleep(hold)
                if failing:
                    close(stream, "RST")
                else:
                    await plain(stream, told)

            plain, made.origin.answer = made.origin.answer, cut
            client = await made.client()
            answer = await client.put("i1", MARKS.format(1))
            first = [at for at, _ in origin.came]
            assert first[-1] - first[0] <= window - connection_pool.RETRY_DEADLINE_MARGIN or len(first) == 1
            failing = False
            if answer.startswith(HARMLESS):
                await trio.sleep(int(answer[6:].strip() or 0) / 1000.0)
                again = await client.put("i2", MARKS.format(1) + ",r=1")
                assert again == FETCHED
            else:
                assert answer in (FAILED, FETCHED)
            assert origin.effects == ["m1"], (answer, [at - first[0] for at, _ in origin.came])
            await settled(made)

    run(scene)


@pytest.mark.parametrize("how", ["comes up late", "is half written"])
def test_a_retry_held_up_until_the_key_is_forgotten_is_neither_sent_nor_called_harmless(
    tmp_path,
    monkeypatch,
    how,
):
    """The first attempt ran and its answer was cut; the retry is held between its start and its last byte."""
    window = 1.0

    async def scene():
        origin = Remembering(window)
        async with fleet(tmp_path, origin=origin.hear, settings=settings(int(window * 1e6))) as made:

            async def cut(stream, told):
                if len(origin.came) == 1:
                    close(stream, "RST")
                else:
                    await plain(stream, told)

            plain, made.origin.answer = made.origin.answer, cut
            connect, send = connection_pool.connect, connection_pool.send_some
            held = []

            async def late(raw, address):
                await connect(raw, address)
                if origin.came:
                    held.append(raw)
                    await trio.sleep_until(origin.came[0][0] + window)

            def half(raw, data):
                if not origin.came or (held and trio.current_time() > origin.came[0][0] + window):
                    return send(raw, data)
                if not held:
                    held.append(raw)
                    return send(raw, data[: len(data) // 2])
                return 0

            if how == "comes up late":
                monkeypatch.setattr(connection_pool, "connect", late)
            else:
                monkeypatch.setattr(connection_pool, "send_some", half)
            client = await made.client()
            answer = await client.put("i1", MARKS.format(1))
            assert held
            assert len(origin.came) == 1
            monkeypatch.undo()
            assert answer == FAILED, answer  # a repeat by the client would take effect a second time
            await settled(made)

    run(scene)


def test_a_first_attempt_that_comes_up_late_counts_for_no_longer_than_its_key(tmp_path, monkeypatch):
    """The time runs from the start of the attempt and not from its last byte: never longer than the key's."""

    async def scene():
        origin = Remembering(1.2)
        async with fleet(tmp_path, origin=origin.hear, settings=settings(1_200_000)) as made:
            connect, calls = connection_pool.connect, []

            async def late(raw, address):
                calls.append(raw)
                await connect(raw, address)
                if len(calls) == 1:
                    await trio.sleep(0.4)

            async def cut(stream, told):
                if len(origin.came) == 1:
                    close(stream, "RST")
                else:
                    await plain(stream, told)

            plain, made.origin.answer = made.origin.answer, cut
            monkeypatch.setattr(connection_pool, "connect", late)
            client = await made.client()
            answer = await client.put("i1", MARKS.format(1))
            assert answer == FETCHED
            assert len(origin.came) == 2
            assert origin.effects == ["m1"]

    run(scene)


def test_a_first_attempt_that_was_half_written_leaves_the_key_unused(tmp_path, monkeypatch):
    """The server ends the connection before the last byte: nothing ran, so no time runs for the retry."""

    async def scene():
        origin = Remembering(0.1)
        async with fleet(tmp_path, origin=origin.hear, settings=settings(100_000)) as made:
            streams, plain = [], made.origin.answer

            async def noted(stream, told):
                streams.append(stream)
                await plain(stream, told)

            made.origin.answer = noted
            client = await made.client()
            assert await client.put("i0", MARKS.format(0)) == FETCHED
            await rested(made)
            calls = []

            def half(raw, data):
                calls.append(raw)
                if len(calls) > 1:
                    return sockets.send_some(raw, data)
                sent = sockets.send_some(raw, data[:-1])
                close(streams[0], "FIN")
                return sent

            monkeypatch.setattr(connection_pool, "send_some", half)
            answer = await client.put("i1", MARKS.format(1))
            assert answer == FETCHED or answer.startswith(HARMLESS)
            assert origin.effects.count("m1") == (answer == FETCHED)

    run(scene)


# -- answers of the origin that are cut


HEAD = b"HTTP/1.1 200 OK\r\n"
CUT = {
    "no length": HEAD + b"\r\npart",
    "no length, no body": HEAD + b"\r\n",
    "length": HEAD + b"Content-Length: 9\r\n\r\npart",
    "chunked": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    "half a chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n9\r\npart",
    "half a head": HEAD + b"Content-Length: 0\r\n",
    "nothing": b"",
}


@pytest.mark.parametrize("read", [True, False], ids=["read first", "unread"])
@pytest.mark.parametrize("how", ["FIN", "RST"])
@pytest.mark.parametrize("form", CUT)
@pytest.mark.parametrize("kind", ["once", "read"])
def test_an_answer_of_the_origin_that_is_cut_does_not_count_as_served(tmp_path, kind, form, how, read):
    """With no length FIN is its end, RST is not; `read first`: the router has read what came before."""

    async def scene():
        async with fleet(tmp_path, [Cache("miss")]) as made:
            ends = []

            async def cut(stream, told):
                if CUT[form]:
                    await stream.send_all(CUT[form])
                if read:
                    await trio.testing.wait_all_tasks_blocked(0.01)
                ends.append(stream)
                close(stream, how)

            made.origin.answer = cut
            client = await made.client()
            labels = "c=once,t=acme,d=8000" if kind == "once" else "c=read,t=acme,d=8000"
            answer = await (client.put("i1", labels) if kind == "once" else client.get("k1", "i1", labels))
            if how == "FIN" and form.startswith("no length"):
                assert answer == (b"$4\r\npart\r\n" if form == "no length" else b"$0\r\n\r\n")
            elif kind == "once":
                assert answer == FAILED
            else:
                assert answer == FAILED or answer.startswith(HARMLESS)
            if kind == "once":
                assert txns(made) == ["i1"]
            assert ends
            assert await client.ask("PING") == b"+PONG\r\n"
            await settled(made)

    run(scene)


# -- ids and repeats of clients


def test_an_id_that_is_in_hand_is_not_sent_on_again_on_the_same_connection_either(tmp_path):
    async def scene():
        release = trio.Event()

        async def script(stream, command):
            await release.wait()
            await stream.send_all(answer_of(b"of " + command[1]))

        cache = Scripted(script)
        async with fleet(tmp_path, [cache]) as made:
            client = await made.client()
            await client.send("KV.GET", "k1", "same", READS)
            await until(lambda: cache.streams)
            await client.send("KV.SET", "k1", "same", ONCES, "new value")
            await client.send("PING")
            release.set()
            assert [await client.answer() for _ in range(3)] == [
                b"$5\r\nof k1\r\n",
                b"-ERR id in use\r\n",
                b"+PONG\r\n",
            ]
            assert txns(made) == []
            assert len(cache.commands) == 1

    run(scene)


def test_an_id_whose_attempt_is_still_out_is_not_sent_on_again_though_its_client_has_gone(tmp_path):
    """Attempts are not called off here: one goes on for longer than the id of a gone client is kept."""

    async def scene():
        allowed = settings(mayCancel=False)
        async with fleet(tmp_path, origin=lambda *call: "stall", settings=allowed) as made:
            made.service.dispatcher.router.origin_limit.limit = 99.0
            first, second, server = await made.client(), await made.client(), made.service.clients
            await first.send("KV.SET", "k1", "same", ONCES, "new value")
            await until(lambda: made.origin.seen)
            await first.stream.aclose()
            await until(lambda: len(server.connections) == 1)
            assert len(made.service.pool.pending) == 1
            for n in range(2):  # the time for which ids are kept, twice
                server.request_ids.next_rotation = 0.0
                server.request_ids.close(b"other-%d" % n)
            assert len(made.service.pool.pending) == 1
            await second.send("KV.SET", "k1", "same", "c=once,t=acme,d=300", "new value")
            answer = await second.answer()
            assert txns(made) == ["same"]
            assert answer == b"-ERR id in use\r\n"

    run(scene)


@pytest.mark.parametrize("traffic", ["mark", "read"])
def test_a_clients_repeat_beside_its_first_try_gives_each_its_answer_and_one_effect(tmp_path, traffic):
    async def scene():
        origin = Remembering(9.0)
        release = trio.Event()

        async def script(stream, command):
            await release.wait()
            await stream.send_all(answer_of(b"of " + command[1]))

        cache = Scripted(script)
        async with fleet(tmp_path, [cache], origin=origin.hear) as made:
            made.service.dispatcher.router.origin_limit.limit = 99.0
            plain = made.origin.answer

            async def held(stream, told):
                await release.wait()
                await plain(stream, told)

            made.origin.answer = held
            first, second = await made.client(), await made.client()
            labels = MARKS.format(1) if traffic == "mark" else READS

            async def send(client, ident, told):
                if traffic == "mark":
                    await client.send("KV.SET", "k1", ident, told, "new value")
                else:
                    await client.send("KV.GET", "k1", ident, told)

            await send(first, "i1", labels)
            await until(lambda: origin.came or cache.streams)
            await send(second, "i2", labels + ",r=1")
            await until(lambda: len(made.service.dispatcher.pending_operations) == 2)
            release.set()
            wanted = FETCHED if traffic == "mark" else b"$5\r\nof k1\r\n"
            assert [await first.answer(), await second.answer()] == [wanted, wanted]
            assert await first.ask("PING") == await second.ask("PING") == b"+PONG\r\n"
            if traffic == "mark":
                assert origin.effects == ["m1"]
                assert txns(made) == ["i1", "i2"]
                told = [headers["x-labels"] for _, _, headers, _ in made.origin.seen]
                left = re.compile(r"d=\d+")  # all but the time that is left
                told = [left.sub("", each) for each in told]
                assert told == [left.sub("", labels), left.sub("", labels + ",r=1")]
            else:
                assert sorted(command[2] for command in cache.commands) == [b"i1", b"i2"]

    run(scene)


def test_the_margin_of_a_retry_is_more_than_the_way_of_its_last_byte(tmp_path):
    """Of a keyed request each attempt begins within the key's time less the way, by the decisions alone."""
    bench = Bench(8)
    operation, answer = bench.ask(traffic=MARKED, left=5.0)
    attempt, began = answer.attempt, bench.now
    for _ in range(MOST_STEPS):
        steps = bench.end(attempt, Outcome.CONNECTION_LOST, 0.1)
        attempts = [step.attempt for _, step in steps if step.attempt is not None]
        if not attempts:
            break
        [attempt] = attempts
        assert attempt.sent_at <= began + MARKED.retry_window - connection_pool.RETRY_DEADLINE_MARGIN
    assert operation.retry_deadline == began + MARKED.retry_window
