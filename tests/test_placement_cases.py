"""Two hard cases of placement on real processes, with sound routers and with one that handles it wrongly."""

from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import trio

from gaugehinge.rehearsal import misplaced, placementcases

FAULTS = ("dozes", "inherits")  # found in the cases `woken` and `again`
FAULTY_ROUTER = "router-1"
TIMEOUT = 150.0  # seconds


def seed_of(case: str) -> int:
    """The first seed of a case in which the woken router is cut off from the control plane."""
    names = [each.__name__ for each in placementcases.CASES]
    return next(
        seed
        for seed in range(placementcases.FIRST, placementcases.FIRST + 1000)
        if placementcases.case_of(seed).__name__ == case and seed // len(names) % 2
    )


def play(fault: str, planted: bool, folder):
    """Run one play, and return its outcome.

    Each play runs in its own process, so that none delays the event loop of another.
    """

    async def main():
        with trio.fail_after(TIMEOUT):
            seed = seed_of(misplaced.FINDS[fault][0])
            faults = {FAULTY_ROUTER: fault} if planted else None
            return await placementcases.play(seed, folder, faults, placementcases.SMALL)

    return trio.run(main)


def test_two_hard_cases_hold_and_a_faulty_router_is_detected(tmp_path):
    plays = [(fault, planted) for fault in FAULTS for planted in (False, True)]
    with ProcessPoolExecutor(len(plays), get_context("spawn")) as pool:
        running = {one: pool.submit(play, *one, tmp_path / "-".join(map(str, one))) for one in plays}
        outcomes = {one: outcome.result() for one, outcome in running.items()}
    for fault in FAULTS:
        case, rules = misplaced.FINDS[fault]
        violations = "\n".join(each.told() for each in outcomes[fault, False].breaks)
        assert not violations, f"{case}\n{violations}"
        assert any(outcomes[fault, False].looked_at.get(rule) for rule in rules), (
            f"{case}: the check was vacuous"
        )
        breaks = outcomes[fault, True].breaks
        assert {each.rule for each in breaks} & rules, f"{fault} was not detected in {case}"
        assert all(FAULTY_ROUTER in each.parties for each in breaks if each.parties), (
            f"{fault}: other routers were blamed"
        )
