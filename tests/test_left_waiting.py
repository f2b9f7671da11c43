"""A client sends more requests at once than a connection may have pending, and disconnects."""

import trio

from gaugehinge.net.request_reader import MAX_PIPELINED_REQUESTS
from gaugehinge.net.resp import bulk
from tests.helper import SETTINGS, Cache, fleet

WAIT_LIMIT = 5.0  # seconds; operations in this test wait for up to five minutes
LONG_TRAFFIC_TYPE = {**SETTINGS["trafficTypes"][0], "promisedTimeUs": 300_000_000}


def command(number):
    words = [b"KV.GET", b"k%d" % number, b"a%d" % number, b"c=read,d=300000"]
    return b"*4\r\n" + b"".join(map(bulk, words))


def test_a_client_that_disconnects_with_a_full_pipeline_leaves_nothing_pending(tmp_path):
    """A paused connection was not read, so its end was noticed only once an answer was due.

    The pending requests were sent on although no client waited for them, and so were the unread ones.
    """

    async def scene():
        settings = {**SETTINGS, "trafficTypes": [LONG_TRAFFIC_TYPE]}
        async with fleet(tmp_path, [Cache("stall")], settings=settings) as made:
            client = await made.client()
            pending_operations, connections = (
                made.service.dispatcher.pending_operations,
                made.service.clients.connections,
            )
            await client.stream.send_all(b"".join(map(command, range(MAX_PIPELINED_REQUESTS + 8))))
            with trio.fail_after(WAIT_LIMIT):
                while not any(each.paused for each in connections):
                    await trio.sleep(0.01)
            await client.stream.aclose()
            with trio.move_on_after(WAIT_LIMIT):
                while len(pending_operations) or len(connections):
                    await trio.sleep(0.01)
            assert not len(pending_operations) and not len(connections)

    trio.run(scene)
