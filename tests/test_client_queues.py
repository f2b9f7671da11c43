"""Clients with many requests that wait for a turn keep nobody else out, and lose none of their answers."""

import trio

from gaugehinge.net import recent_request_ids
from tests.helper import fleet, run


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
