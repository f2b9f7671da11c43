"""Power losses of a small fleet of processes with seeded faults: no rule is broken, and service returns."""

from dataclasses import replace
from functools import partial

import trio

from gaugehinge.rehearsal import recoveryplay
from gaugehinge.rehearsal.recoveryplay import TINY

CASES = {1: "plain", 2: "again", 3: "snapshots", 4: "keeper older", 5: "zone"}
MAX_CONCURRENT_SCENARIOS = 3


def test_five_seeds_break_no_rule_and_service_returns(tmp_path):
    outcomes: dict[int, object] = {}

    async def run_one(seed: int, case: str, limit: trio.CapacityLimiter) -> None:
        async with limit:
            outcomes[seed] = await recoveryplay.play(seed, tmp_path / str(seed), TINY, "on", case)

    async def run_all() -> None:
        limit = trio.CapacityLimiter(MAX_CONCURRENT_SCENARIOS)
        with trio.fail_after(280.0):
            async with trio.open_nursery() as nursery:
                for seed, case in CASES.items():
                    nursery.start_soon(run_one, seed, case, limit)

    trio.run(partial(run_all))
    assert set(outcomes) == set(CASES)
    for seed, outcome in outcomes.items():
        assert not outcome.breaks, (CASES[seed], outcome.breaks[0].told())
        assert outcome.figures["settled"] > 20, (CASES[seed], outcome.figures)
        assert outcome.looked_at["answers"] > 100
        assert outcome.looked_at["crashes"] >= 10
    assert sum(outcome.looked_at["effects_by_mark"] for outcome in outcomes.values()) > 50
    assert outcomes[3].figures["set_aside"] == 2.0  # the truncated snapshot and that of another installation


def test_a_zone_restarted_cleanly_is_no_loss_and_one_without_power_is(tmp_path):
    scenario = replace(recoveryplay.ROLL, before=2.0, after=3.0)
    shutdown_kinds = ("order", "power")

    async def main():
        with trio.fail_after(200.0):
            return await recoveryplay.roll(7, tmp_path, scenario, shutdown_kinds)

    outcome, verdicts = trio.run(main)
    assert not outcome.breaks, outcome.breaks[0].told()
    assert len(verdicts) == 2
    for name, (after_roll, after_power_loss) in verdicts.items():
        assert after_roll[-1] == "lone", (name, after_roll)  # the first verdict may have been `zone`
        assert "lone" not in after_power_loss and after_power_loss, (name, after_power_loss)
