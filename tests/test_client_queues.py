"""Clients with many requests that wait for a turn keep nobody else out, and lose none of their answers."""

from functools import partial

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from gaugehinge.net import idle_reaper, recent_request_ids, request_reader
from gaugehinge.net.client_connection import ClientConnection
from gaugehinge.net.reason_log import RejectReason
from gaugehinge.net.request_reader import MAX_REQUESTS_PER_TURN
from gaugehinge.net.request_turns import LONG_STEP_TIME, RequestTurns
from gaugehinge.net.resp import Malformed, Parser
from tests.helper import fleet, run
from tests.overload import command, read
from tests.test_memory_limits import allow_many

COMMANDS = [
    command(b"PING"),
    command(b"KV.SET", b"k", b"i", b"c=once", b"v" * 70_000),  # too long
    command(b"KV.SET", b"", b"*1\r\n$4\r\nPING\r\n"),
    read(b"k", 1.0),
    b"*16\r\n" + b"$1\r\nx\r\n" * 16,
    b"*17\r\n" + b"$1\r\nx\r\n" * 17,
    b"*1\r\n$-1\r\n",
    b"*-1\r\n",
    b"*0\r\n",
    b"*01\r\n$1\r\nx\r\n",
    b"*1\r\n$01\r\nx\r\n",
    b"*1\r\n$1\r\nxy\r\n",
    b"*1\r\n:1\r\n",
    b"+OK\r\n",
    b"GET k\r\n",
]


def taken(parser: Parser, take) -> tuple[int, str, bytes]:
    """How many messages a parser gives, the error that ends them, and what is left."""
    count = 0
    try:
        while given := take(parser):
            count += given
    except Malformed as error:
        return count, str(error), b""
    return count, "", parser.unparsed()


@settings(derandomize=True, deadline=None)
@given(st.lists(st.sampled_from(COMMANDS), max_size=6), st.integers(0, 200), st.integers(1, 4))
def test_requests_that_are_discarded_are_told_apart_like_those_that_are_parsed(commands, cut, limit):
    """Guards against rejections that answer more or fewer requests than a client has sent."""
    data = b"".join(commands)
    data = data[: max(len(data) - cut, 0)]
    parsing, discarding = Parser(commands_only=True), Parser(commands_only=True)
    for start in range(0, len(data), 50_000):
        for parser in (parsing, discarding):
            parser.feed(data[start : start + 50_000])
        expected = taken(parsing, lambda parser: int(parser.next() is not None))
        assert taken(discarding, lambda parser: parser.discard(limit)) == expected
        if expected[1]:
            return


def test_a_request_left_unread_while_its_connection_waits_for_a_turn_is_not_timed_out(tmp_path, monkeypatch):
    """Guards against issue 65 (a): complete requests were told that they were not whole in time."""
    monkeypatch.setattr(idle_reaper, "REQUEST_READ_TIMEOUT", 0.2)
    monkeypatch.setattr(request_reader, "MAX_READ_BYTES", 2000)

    async def scenario():
        async with fleet(tmp_path) as made:
            allow_many(made)
            server, client = made.service.clients, await made.client()
            server.limits.buffer_budget.max_read_ahead = 100
            turns = server.request_reader.turns
            take_turn, give_turns = turns._take_turn, turns._give_turns

            def take_turn_before_a_sweep(connection, delay):
                take_turn(connection, delay)
                server.idle_reaper.sweep()

            turns._take_turn, turns._give_turns = take_turn_before_a_sweep, lambda: None
            await client.stream.send_all(b"".join(read(b"k%d" % number, 4.0) for number in range(40)))
            await trio.sleep(0.4)  # twice the time for a request to be whole
            turns._give_turns = give_turns
            answers = [await client.answer() for _ in range(40)]
            assert all(answer.startswith((b"$", b"-BUSY")) for answer in answers), answers

    run(scenario)


def test_a_client_that_waits_for_a_place_gets_that_of_one_with_a_queue_of_requests(tmp_path):
    """Guards against issue 65 (a): clients waited seconds for places of those with hundreds of requests."""

    async def scenario():
        async with fleet(tmp_path, sockets=64) as made:
            allow_many(made)
            server = made.service.clients
            # The turns of the others are far away.
            server.request_reader.turns.add = server.registry.on_reply_written = lambda client: None
            crowd = [await made.client() for _ in range(server.limits.max_accepted)]
            for count, client in enumerate(crowd, 20):
                await client.stream.send_all(b"".join(read(b"k%d" % each, 9.0) for each in range(count)))
                most = count
            await trio.sleep(0.2)
            with trio.fail_after(1.0):
                answer = await (await made.client()).get()
            assert answer.startswith((b"$", b"-BUSY"))
            rejected = server.registry.rejections.count_of(RejectReason.PLACE_NEEDED)
            assert rejected == most - MAX_REQUESTS_PER_TURN

    run(scenario)


def test_a_set_of_ids_that_is_full_takes_new_ones_once_the_old_have_had_their_time(tmp_path, monkeypatch):
    """Guards against issue 65 (b): with all ids at rest nothing made room, and each request was refused."""
    monkeypatch.setattr(recent_request_ids, "RETENTION", 0.2)

    async def scenario():
        async with fleet(tmp_path) as made:
            client, request_ids = await made.client(), made.service.clients.request_ids
            request_ids.max_ids = 4
            for _ in range(4):
                assert await client.get() == b"$5\r\nof k1\r\n"
            assert await client.get() == b"-BUSY\r\n"
            await trio.sleep(0.5)
            assert await client.get() == b"$5\r\nof k1\r\n"

    run(scenario)


def test_a_client_with_hundreds_of_requests_leaves_room_for_the_ids_of_others(tmp_path):
    """Guards against issue 65 (b): one client's new ids took all the room, and others were refused."""

    async def scenario():
        async with fleet(tmp_path) as made:
            allow_many(made)
            made.service.clients.request_ids.max_ids = 100
            flooding, usual = await made.client(), await made.client()
            await flooding.stream.send_all(b"".join(read(b"k%d" % number, 4.0) for number in range(300)))
            answers = [await flooding.answer() for _ in range(300)]
            assert answers.count(b"-BUSY\r\n") >= 200
            assert await usual.get() == b"$5\r\nof k1\r\n"

    run(scenario)


def test_a_hastened_connection_has_the_next_turn_and_only_one():
    """Guards against a queue in which a connection that gives up its place waits behind all others."""
    now, turns_taken = 0.0, []
    turns = RequestTurns(lambda: now, lambda client, delay: turns_taken.append(client), lambda client: None)
    first, second, hastened = (ClientConnection(None, 0.0) for _ in range(3))
    turns.add(first)
    assert not turns.is_behind
    now += LONG_STEP_TIME
    assert turns.is_behind  # what arrives now waits as well
    for client in (second, hastened):
        turns.add(client)
    turns.hasten(hastened)
    turns._give_turns()
    assert turns_taken == [hastened, first, second]
    assert not turns.is_behind


def test_an_idle_router_handles_what_arrives_at_once(tmp_path):
    """Guards against a queue of turns that delays clients with a few requests while nobody else has any."""

    async def scenario(count: int):
        async with fleet(tmp_path) as made:
            allow_many(made)
            client = await made.client()
            await client.stream.send_all(b"".join(read(b"k%d" % number, 4.0) for number in range(count)))
            assert [(await client.answer())[:1] for _ in range(count)] == [b"$"] * count

    run(partial(scenario, 16))
