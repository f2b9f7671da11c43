"""Power losses of a small fleet of processes, with faults by seed: no rule broken, and service returns."""

from dataclasses import replace
from functools import partial

import trio

from gaugehinge.rehearsal import recoveryplay
from gaugehinge.rehearsal.recoveryplay import TINY

CASES = {1: "plain", 2: "again", 3: "snapshots", 4: "keeper older", 5: "zone"}
AT_ONCE = 3  # plays


def test_five_seeds_hold_every_rule_and_service_returns(tmp_path):
    came: dict[int, object] = {}

    async def one(seed: int, case: str, limit: trio.CapacityLimiter) -> None:
        async with limit:
            came[seed] = await recoveryplay.play(seed, tmp_path / str(seed), TINY, "on", case)

    async def all_() -> None:
        limit = trio.CapacityLimiter(AT_ONCE)
        with trio.fail_after(280.0):
            async with trio.open_nursery() as nursery:
                for seed, case in CASES.items():
                    nursery.start_soon(one, seed, case, limit)

    trio.run(partial(all_))
    assert set(came) == set(CASES)
    for seed, outcome in came.items():
        assert not outcome.breaks, (CASES[seed], outcome.breaks[0].told())
        assert outcome.figures["settled"] > 20, (CASES[seed], outcome.figures)
        assert outcome.looked_at["answers"] > 100
        assert outcome.looked_at["crashes"] >= 10
    assert sum(outcome.looked_at["effects_by_mark"] for outcome in came.values()) > 50
    assert came[3].figures["set_aside"] == 2.0  # the torn one and that of another installation


def test_a_rolled_zone_is_no_loss_and_a_zone_without_power_is_one(tmp_path):
    cast = replace(recoveryplay.ROLL, before=2.0, after=3.0)
    ways = ("order", "power")

    async def main():
        with trio.fail_after(200.0):
            return await recoveryplay.roll(7, tmp_path, cast, ways)

    outcome, taken_for = trio.run(main)
    assert not outcome.breaks, outcome.breaks[0].told()
    assert len(taken_for) == 2
    for name, (rolled, lost) in taken_for.items():
        assert rolled[-1] == "lone", (name, rolled)  # it may have begun with `zone`
        assert "lone" not in lost and lost, (name, lost)
