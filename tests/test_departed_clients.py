"""What a client left unanswered is sent to no server later, and runs once if its id comes again."""

import pytest
import trio

from tests.helper import SETTINGS, Cache, both, fleet, run
from tests.overload import read
from tests.test_memory_limits import allow_many

CLOSE_GRACE = 0.1  # seconds behind a close in which an attempt may still begin
READS = 12_000  # more bytes than the kernel takes for a connection that is not read
FIRST_RUN = 0.2  # seconds until the first request with an id has reached its server


class TimedCache(Cache):
    """A cache server that notes when commands came, and answers none of them."""

    begun: list

    async def answer(self, stream, command) -> None:
        self.begun.append((trio.current_time(), command[2]))
        await trio.sleep_forever()


@both
def test_no_attempt_begins_for_a_client_that_closed_behind_much_unread(tmp_path):
    """Guards against issue 65 (c): the end of a stream lay behind requests that were not read yet."""

    async def scenario():
        caches = [TimedCache() for _ in range(4)]
        begun: list = []
        for cache in caches:
            cache.begun = begun
        async with fleet(tmp_path, caches, peers={"limits": {"memory_mb": 64, "sockets": 256}}) as made:
            allow_many(made)
            made.service.dispatcher.router.retries.attempt_timeout = lambda operation, now: 0.6
            client = await made.client()
            data = b"".join(read(b"k%d" % number, 4.0) for number in range(READS))
            with trio.move_on_after(0.2):
                await client.stream.send_all(data)
            client.stream.socket.close()
            closed_at = trio.current_time()
            await trio.sleep(1.5)
            assert begun
            late = [at - closed_at for at, _ in begun if at > closed_at + CLOSE_GRACE]
            assert not late, f"{len(late)} of {len(begun)}, up to {max(late):.2f} s"
            assert not made.service.dispatcher.pending_operations
            assert not made.service.clients.connections

    run(scenario)


@both
def test_a_client_that_sends_much_at_once_and_stays_has_all_answers(tmp_path):
    """Guards against a remedy that drops what a client that is still there has sent."""

    async def scenario():
        async with fleet(tmp_path, [Cache() for _ in range(4)]) as made:
            allow_many(made)
            client = await made.client()
            async with trio.open_nursery() as nursery:
                data = b"".join(read(b"k%d" % number, 15.0) for number in range(3000))
                nursery.start_soon(client.stream.send_all, data)
                answers = [await client.answer() for _ in range(3000)]
            assert all(answer.startswith((b"$", b"-BUSY")) for answer in answers)
            assert sum(answer.startswith(b"$") for answer in answers) >= 2700

    run(scenario)


@pytest.mark.parametrize("pause", [0.1, 2.5, 4.5])
@both
def test_an_id_that_comes_again_within_its_clients_wait_runs_once(tmp_path, pause):
    """Guards against issue 65 (c): an id was forgotten while the first client would still have waited."""
    settings = {
        **SETTINGS,
        "trafficTypes": [{**each, "abandonTimeUs": 8_000_000} for each in SETTINGS["trafficTypes"]],
    }

    async def scenario():
        async with fleet(tmp_path, settings=settings) as made:

            async def other_traffic() -> None:
                other = await made.client()
                while True:
                    await other.get()
                    await trio.sleep(0.05)

            made.origin.reply = lambda *call: "stall"
            async with trio.open_nursery() as nursery:
                nursery.start_soon(other_traffic)
                first = await made.client()
                await first.send("KV.SET", "k1", "the-id", "c=once,t=acme,d=8000", "value")
                await trio.sleep(FIRST_RUN)
                await first.stream.aclose()
                await trio.sleep(pause)
                second = await made.client()
                with trio.move_on_after(1.0):
                    await second.put("the-id", "c=once,t=acme,d=2000")
                ran = [seen for seen in made.origin.seen if seen[0] == "PUT"]
                assert len(ran) == 1
                nursery.cancel_scope.cancel()

    run(scenario)


@both
def test_requests_of_departed_clients_count_for_as_long_as_they_are_held(tmp_path):
    """Guards against memory beyond the bound: attempts that are not called off outlive their clients."""
    settings = {**SETTINGS, "allowed": {**SETTINGS["allowed"], "mayCancel": False}}

    async def scenario():
        async with fleet(tmp_path, origin=lambda *call: "stall", settings=settings) as made:
            allow_many(made)
            client, budget = await made.client(), made.service.pool.buffer_budget
            await client.send("KV.SET", "k1", "the-id", "c=once,t=acme,d=1500", b"v" * 65_000)
            while not made.origin.seen:
                await trio.sleep(0.01)
            await client.stream.aclose()
            while made.service.clients.connections:
                await trio.sleep(0.01)
            assert budget.held_bytes >= 65_000
            while made.service.pool.pending:
                await trio.sleep(0.01)
            assert budget.held_bytes == made.service.clients.limits.reserved_bytes == 0

    run(scenario)
