"""What is received in part, or waits to be written, stays within the memory limit; the rest is refused."""

import gc
import itertools

import pytest
import trio

from gaugehinge.net import connection_pool, request_reader, sockets
from gaugehinge.net.buffer_budget import MAX_SHORT_REPLY_BYTES, BufferBudget
from gaugehinge.net.client_connection import ClientConnection, PendingReply
from gaugehinge.net.resp import MAX_REPLY_BYTES, bulk
from gaugehinge.net.resp_codec import RespConnectionState
from tests.helper import Cache, Client, fleet, run

MEGABYTE = 1 << 20
PROCESS_BYTES = 24 * MEGABYTE  # of a router with no long value in hand
VALUE_BYTES = 1_000_000
PIECE_BYTES = 32 * 1024
WAIT = 8.0  # seconds that a client waits
SLACK = 0.5  # seconds behind that in which an answer is late, but not lost
COUNT = itertools.count()


def value_of(key: bytes, size: int = VALUE_BYTES) -> bytes:
    return (key + b" ").ljust(size, b"v")


class LongCache(Cache):
    """A cache server with long values, which it writes in pieces; keys that begin with `short` are short."""

    size = VALUE_BYTES

    async def answer(self, stream, command) -> None:
        key = command[1]
        value = b"value" if key.startswith(b"short") else value_of(key, self.size)
        data = b"*3\r\n" + bulk(value) + b"$3\r\nhit\r\n$-1\r\n"
        for start in range(0, len(data), PIECE_BYTES):
            await stream.send_all(data[start : start + PIECE_BYTES])


class MissingCache(Cache):
    """A cache server that lacks all values."""

    async def answer(self, stream, command) -> None:
        await stream.send_all(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")


def response(body: bytes, framing: str) -> bytes:
    """A response of the origin with its length, in chunks, or with neither."""
    if framing == "length":
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
    if framing == "no length":
        return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body
    pieces = [body[start : start + 1000] for start in range(0, len(body), 1000)]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def buffered_bytes(service) -> int:
    """The bytes of replies received in part and of replies not yet written."""
    total = 0
    for pending in service.pool.pending.values():
        if pending.connection is not None:
            state = pending.connection.codec_state
            total += len(state.parser) if hasattr(state, "parser") else len(state.exchange._body)
    for client in service.clients.connections:
        total += len(client.parser) + sum(len(reply.data or b"") for reply in client.pending_replies)
    return total


def watch_buffers(monkeypatch, made) -> list[int]:
    """Record the buffered bytes after each step in which bytes come in."""
    seen: list[int] = []

    def recorded(function):
        def call(*arguments):
            result = function(*arguments)
            seen.append(buffered_bytes(made.service))
            return result

        return call

    pool, reader = connection_pool.ConnectionPool, request_reader.RequestReader
    monkeypatch.setattr(pool, "_on_data", recorded(pool._on_data))
    monkeypatch.setattr(reader, "data_received", recorded(reader.data_received))
    return seen


def allow_many(made) -> None:
    """Let the routing decisions admit everything, so that memory alone refuses."""
    router = made.service.dispatcher.router
    router.origin_limit.limit = 999.0
    router.shedder.sheds = lambda operation: False
    router.limits.is_full = lambda endpoint, now: False
    router.limits.record_duration = lambda endpoint, elapsed, now: None


def limits(memory_mb: int, sockets: int = 1024) -> dict:
    return {"limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}}


async def ask(client: Client, key: str, answers: list) -> None:
    began = trio.current_time()
    answer = await client.get(key, labels=f"c=read,t=acme,d={int(WAIT * 1000)}")
    answers.append((key, answer, trio.current_time() - began))


async def ask_all(made, keys: list[str]) -> list:
    """Read all keys at once, each on a connection of its own."""
    answers: list = []
    clients = [await made.client() for _ in keys]
    async with trio.open_nursery() as nursery:
        for client, key in zip(clients, keys, strict=True):
            nursery.start_soon(ask, client, key, answers)
    return answers


def served(answers: list, size: int = VALUE_BYTES) -> int:
    """How many were served; all others have to be told so, and all in their time."""
    assert all(took < WAIT + SLACK for *_, took in answers)
    count = 0
    for key, answer, _ in answers:
        if answer == bulk(value_of(key.encode(), size)):
            count += 1
        else:
            assert answer is not None and answer.startswith(b"-BUSY"), answer[:80]
    return count


@pytest.mark.parametrize("memory_mb", [40, 64, 96])
def test_long_replies_many_at_a_time_stay_within_the_memory_limit(tmp_path, monkeypatch, memory_mb):
    """Guards against review/3: 150 replies of 1 MB at a time took a router over its 96 MB."""

    async def scenario():
        caches = [LongCache() for _ in range(8)]
        async with fleet(tmp_path, caches, peers=limits(memory_mb)) as made:
            allow_many(made)
            seen = watch_buffers(monkeypatch, made)
            answers = await ask_all(made, [f"key{n}" for n in range(100)])
            assert max(seen) <= memory_mb * MEGABYTE - PROCESS_BYTES
            assert served(answers) == 100  # there is time for all, one after the other

    run(scenario)


@pytest.mark.parametrize("framing", ["length", "chunks", "no length"])
def test_long_responses_of_the_origin_stay_within_the_memory_limit(tmp_path, monkeypatch, framing):
    """Guards against the same at the origin, whose responses may state no length."""

    async def scenario():
        async with fleet(tmp_path, [MissingCache() for _ in range(8)], peers=limits(64)) as made:

            async def answer(stream, told):
                key = told[2]
                data = response(value_of(key), framing)
                await stream.send_all(data[:-PIECE_BYTES])
                await trio.sleep(0.3)  # until the others have come as far
                await stream.send_all(data[-PIECE_BYTES:])
                if framing == "no length":
                    await stream.aclose()

            made.origin.answer = answer
            made.origin.reply = lambda method, target, headers, body: (200, "", target[1:].encode())
            allow_many(made)
            seen = watch_buffers(monkeypatch, made)
            answers = await ask_all(made, [f"key{n}" for n in range(60)])
            assert max(seen) <= 64 * MEGABYTE - PROCESS_BYTES
            assert served(answers) == 60

    run(scenario)


def test_long_replies_that_no_client_reads_stay_within_the_memory_limit(tmp_path, monkeypatch):
    """Guards against replies that pile up behind clients that do not read; short ones are still served."""

    async def scenario():
        async with fleet(tmp_path, [LongCache() for _ in range(8)], peers=limits(48)) as made:
            allow_many(made)
            seen = watch_buffers(monkeypatch, made)
            crowd = [await made.client() for _ in range(12)]
            keys = [[f"key{n}-{m}" for m in range(8)] for n in range(len(crowd))]
            for client, client_keys in zip(crowd, keys, strict=True):
                for key in client_keys:
                    await client.send("KV.GET", key, f"c{key}", "c=read,t=acme,d=4000")
            budget = made.service.pool.buffer_budget
            while not budget.waiting_count:
                await trio.sleep(0.01)
            for n in range(20):
                assert await (await made.client()).get(f"short{n}") == bulk(b"value")
            assert budget.waiting_count  # they were served before the long ones
            late = await (await made.client()).get("key", labels="c=read,t=acme,d=500")
            assert late.startswith(b"-BUSY")
            while budget.waiting_count:
                await trio.sleep(0.01)  # until the others are given up; before their clients are closed
            assert max(seen) <= 48 * MEGABYTE - PROCESS_BYTES
            answers = [
                (key, await client.answer(), 0.0)
                for client, client_keys in zip(crowd, keys, strict=True)
                for key in client_keys
            ]
            assert 0 < served(answers) < len(answers)
            assert served(await ask_all(made, ["key1", "key2"])) == 2
            assert budget.held_bytes == 0

    run(scenario)


def test_incomplete_requests_stay_within_the_memory_limit(tmp_path, monkeypatch):
    """Guards against clients that each send most of a long value and wait: over the limit they get BUSY."""

    async def scenario():
        async with fleet(tmp_path, peers=limits(32)) as made:
            seen = watch_buffers(monkeypatch, made)
            crowd = [await made.client() for _ in range(200)]
            head = b"*5\r\n$6\r\nKV.SET\r\n$1\r\nk\r\n$2\r\ni1\r\n$6\r\nd=4000\r\n$65536\r\n"
            for client in crowd:
                await client.stream.send_all(head + b"v" * 65_000)
            answers = [await client.answer() for client in crowd[150:]]
            assert any(answer.startswith(b"-BUSY") for answer in answers)
            assert all(answer.startswith((b"-BUSY", b"-ERR protocol")) for answer in answers)
            assert max(seen) <= 8 * MEGABYTE
            assert await (await made.client()).get("k") == bulk(b"of k")
            for client in crowd:
                await client.stream.aclose()
            with trio.fail_after(5):
                while made.service.pool.buffer_budget.held_bytes:
                    await trio.sleep(0.05)

    run(scenario)


def test_a_reply_longer_than_the_memory_allows_is_refused_and_others_are_served(tmp_path):
    """Guards against one reply that alone takes more than a small router has."""

    class LongestCache(LongCache):
        size = MAX_REPLY_BYTES

    async def scenario():
        async with fleet(tmp_path, [LongestCache(), LongestCache()], peers=limits(32)) as made:
            began = trio.current_time()
            answer = await (await made.client()).get("key")
            assert answer.startswith((b"-ERR", b"-BUSY")) and trio.current_time() - began < WAIT
            assert await (await made.client()).get("short") == bulk(b"value")

    run(scenario)


def test_the_largest_replies_are_served(tmp_path, monkeypatch):
    """Guards against a bound that refuses what the memory has room for."""

    class LongestCache(LongCache):
        size = MAX_REPLY_BYTES

    async def scenario():
        async with fleet(tmp_path, [LongestCache() for _ in range(4)], peers=limits(96)) as made:
            allow_many(made)
            seen = watch_buffers(monkeypatch, made)
            answers = await ask_all(made, [f"key{n}" for n in range(30)])
            assert served(answers, MAX_REPLY_BYTES) == 30
            assert max(seen) <= 96 * MEGABYTE - PROCESS_BYTES

    run(scenario)


def test_an_idle_connection_keeps_no_reply(tmp_path):
    """Guards against memory held by connections whose last reply was settled by a fence."""

    async def scenario():
        async with fleet(tmp_path, [LongCache()]) as made:
            client = await made.client()
            for _ in range(3):
                assert await client.get("key") == bulk(value_of(b"key"))
                await trio.sleep(0.05)
            idle = [each for endpoint in made.service.pool.endpoints.values() for each in endpoint.idle]
            assert any(each.codec_state.replies.count > 1 for each in idle)
            assert all(each.codec_state.fence._reply is None for each in idle)

    run(scenario)


def test_a_reply_first_read_at_its_attempts_deadline_waits_for_memory_in_its_operations_time(
    tmp_path, monkeypatch
):
    """Guards against an attempt that is given up, and made again, although its reply is there."""
    reader_may_run = trio.Event()

    async def delayed_receive(sock, max_bytes):
        await reader_may_run.wait()
        return await sockets.receive(sock, max_bytes)

    async def scenario():
        monkeypatch.setattr(connection_pool, "receive", delayed_receive)
        caches = [LongCache(), LongCache()]
        async with fleet(tmp_path, caches, peers=limits(64)) as made:
            made.service.dispatcher.router.retries.attempt_timeout = lambda operation, now: 0.5
            budget = made.service.pool.buffer_budget
            taken = int(budget.capacity)
            budget.hold(taken)

            async def release() -> None:
                await trio.sleep(1.0)
                reader_may_run.set()
                budget.release(taken)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(release)
                answer = await (await made.client()).get("key", labels="c=read,t=acme,d=3000")
            assert answer == bulk(value_of(b"key"))
            assert sum(len(cache.commands) for cache in caches) == 1

    run(scenario)


def retained_bytes() -> int:
    """The bytes of all replies and of what was received of requests and replies, wherever they are kept."""
    total = 0
    for each in gc.get_objects():
        if isinstance(each, PendingReply):
            total += len(each.data or b"")
        elif isinstance(each, ClientConnection) and isinstance(each.unwritten, memoryview):
            total += len(each.unwritten.obj)
        elif isinstance(each, RespConnectionState | ClientConnection):
            total += len(each.parser)
    return total


def test_replies_that_are_written_or_given_up_are_not_kept(tmp_path):
    """Guards against replies kept by tasks and callbacks until the garbage collector runs."""

    async def scenario():
        async with fleet(tmp_path, [LongCache() for _ in range(4)]) as made:
            allow_many(made)
            readers = [await made.client() for _ in range(6)]
            leavers = [await made.client() for _ in range(6)]
            for n, client in enumerate([*readers, *leavers]):
                for m in range(6):
                    await client.send("KV.GET", f"key{n}", f"c{n}-{m}", "c=read,t=acme,d=8000")
            await trio.sleep(0.5)  # until their replies fill the buffers of the kernel
            for client in leavers:
                await client.stream.aclose()
            for n, client in enumerate(readers):
                for _ in range(6):
                    assert await client.answer() == bulk(value_of(b"key%d" % n))
            with trio.fail_after(5):
                while len(made.service.clients.connections) > len(readers) or made.service.pool.pending:
                    await trio.sleep(0.05)
            assert retained_bytes() < VALUE_BYTES

    gc.collect()
    gc.disable()
    try:
        run(scenario)
    finally:
        gc.enable()


# -- the budget


def test_reservations_are_granted_in_order_and_short_ones_do_not_wait_for_long_ones():
    budget, granted = BufferBudget(), []
    budget.update(32 * MEGABYTE)  # 4 MiB for buffers
    waiting = [
        budget.reserve(size * MEGABYTE, lambda name=name: granted.append(name))
        for name, size in (("a", 2), ("b", 2), ("c", 1))
    ]
    assert waiting[0] is None and all(waiting[1:])  # c waits behind b, although there is room for it
    assert budget.reserve(MAX_SHORT_REPLY_BYTES, lambda: granted.append("short")) is None
    budget.release(2 * MEGABYTE)
    assert granted == ["b", "c"]
    assert budget.held_bytes == 3 * MEGABYTE + MAX_SHORT_REPLY_BYTES


def test_a_reservation_that_is_withdrawn_gives_way_to_the_next():
    budget, granted = BufferBudget(), []
    budget.update(32 * MEGABYTE)
    assert budget.reserve(2 * MEGABYTE, lambda: None) is None
    first = budget.reserve(3 * MEGABYTE, lambda: granted.append("first"))
    budget.reserve(MEGABYTE, lambda: granted.append("second"))
    budget.withdraw(first)
    assert granted == ["second"] and not budget.waiting_count


@pytest.mark.parametrize("memory_mb", range(32, 193, 16))
def test_the_bounds_follow_the_memory_limit(memory_mb):
    budget = BufferBudget()
    budget.update(memory_mb * MEGABYTE)
    copies = 2 * budget.largest_reservation
    assert PROCESS_BYTES + budget.capacity + copies <= memory_mb * MEGABYTE
    assert budget.largest_reservation >= MEGABYTE  # at each limit of the platform
