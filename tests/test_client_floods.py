"""One connection at full speed neither holds up other clients nor fills the memory."""

from contextlib import suppress
from functools import partial

import pytest
import trio

from tests.helper import run
from tests.overload import FLOODS, flooded, overloaded

SECONDS = 5.0
MEMORY_MB = 32
SERVED_SHARE = 0.9  # of the usual clients' requests: a busy machine may make a router refuse some
COMMANDS = b"".join(FLOODS["unknown command"](each) for each in range(900))
LIFE_ROOM_MB = 6  # the bound of the soak on growth over a life


async def play(tmp_path, kind: str) -> None:
    async with overloaded(tmp_path, MEMORY_MB, 1024) as made, flooded(made, kind, 2 * SECONDS):
        await made.usual_clients(SECONDS)
        total = made.answers.total()
        assert made.lost() == 0, made.answers
        assert made.answers["served"] >= SERVED_SHARE * total, made.answers
        assert made.peak_mb <= MEMORY_MB and made.peak_bytes <= made.rest_bytes + LIFE_ROOM_MB * 1024 * 1024


@pytest.mark.parametrize("kind", FLOODS)
def test_a_flood_on_one_connection_holds_up_nobody_and_fills_no_memory(tmp_path, kind):
    """Guards against issue 65 (b): beside one client at full speed the others were late or refused."""
    run(partial(play, tmp_path, kind))


def test_hundreds_of_commands_from_dozens_of_clients_hold_up_nobody(tmp_path):
    """Guards against issue 65 (b): all that one read brings was handled in one step of the loop."""

    async def scenario():
        async with overloaded(tmp_path, 64, 1024) as made:
            for _ in range(3):
                for _ in range(50):
                    made.nursery.start_soon(_send_900, made)
                await made.usual_clients(2.0, pause=0.05)
            assert made.lost() == 0, made.answers
            assert made.slowest <= 1.0

    run(scenario)


async def _send_900(made) -> None:
    with suppress(trio.BrokenResourceError):
        async with await made.connect() as stream:
            await stream.send_all(COMMANDS)
            with trio.move_on_after(5.0):
                while await stream.receive_some():
                    pass
