"""Recovery, placement and drains in one small fleet of processes: a roll, moves, faults, a loss of all power
and the return, every rule of the histories held; rehearsal.plays plays the full ones."""

import trio

from gaugehinge.rehearsal.allplay import SMALL, play

CASES = {1: "plain", 2: "keeper older", 4: "disk lost"}


def test_a_roll_moves_faults_and_a_power_loss_at_once_break_no_rule(tmp_path):
    came = {}

    async def one(seed, case):
        came[seed] = await play(seed, tmp_path / str(seed), SMALL, case)

    async def main():
        with trio.fail_after(280):
            async with trio.open_nursery() as nursery:
                for seed, case in CASES.items():
                    nursery.start_soon(one, seed, case)

    trio.run(main)
    for seed, outcome in came.items():
        assert not outcome.breaks, "\n".join([CASES[seed], *(each.told() for each in outcome.breaks)])
        assert outcome.figures["after.sent"] > 50, outcome.figures
        assert outcome.figures["moves"] > 0 and "routers.done" in outcome.figures
        assert outcome.figures["origin.most"] <= outcome.figures["origin.limit"]
        seen = outcome.looked_at
        assert seen["answers"] > 100 and seen["connections"] > 0 and seen["registers"] > 0
    assert sum(outcome.looked_at["confined"] for outcome in came.values()) > 0
