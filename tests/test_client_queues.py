"""Clients with many requests that wait for a turn keep nobody else out, and lose none of their answers."""

import trio

from gaugehinge.net import idle_reaper, recent_request_ids, request_reader
from tests.helper import fleet, run
from tests.overload import read
from tests.test_memory_limits import allow_many


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
