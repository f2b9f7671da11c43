"""Rolling restarts of real processes under load and faults."""

import time

import pytest
import trio

from gaugehinge.rehearsal.drainsplay import woken, written_ago
from gaugehinge.rehearsal.plays import run_many

SEEDS, JOBS = range(1, 6), 5


def test_a_log_line_slightly_in_the_future_has_a_small_negative_age():
    wall = 1_700_000_000.25
    line = time.strftime("%H:%M:%S.500 INFO told to shut down", time.localtime(wall))
    assert written_ago(line, wall) == pytest.approx(-0.25)
    assert written_ago(line, wall + 86_399.5) == pytest.approx(-0.75), "also across midnight"
    assert written_ago(line, wall + 60.0) == pytest.approx(59.75)


def test_rolling_restarts_under_load_and_faults_stay_within_the_limits(tmp_path):
    """Also run a faulty router that uses its old grant after a suspension: the checks have to find it."""
    summary, faulty = [], []

    async def main():
        async def run_seeds():
            summary.append(await run_many(["drains"], list(SEEDS), JOBS, tmp_path, 280.0))

        async def run_faulty_router():
            with trio.fail_after(280):
                # On a busy machine the router may be suspended past the time in which it would exceed its
                # limit. Then the run is repeated.
                for seed in range(1, 5):
                    faulty.append(await woken(seed, tmp_path / f"faulty-{seed}", True))
                    if faulty[-1].breaks:
                        break

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_seeds)
            nursery.start_soon(run_faulty_router)

    trio.run(main)
    runs = summary[0].played
    assert all(run.held for run in runs), [run.line() for run in runs]
    outcomes = [run.outcome for run in runs]
    assert all(outcome.looked_at["connections"] > 100 for outcome in outcomes)
    # A node that does not restart in time on a busy machine is reported as skipped; most are not.
    restarted = sum(outcome.figures["routers.done"] + outcome.figures["servers.done"] for outcome in outcomes)
    assert restarted >= 4 * len(outcomes)
    assert {run.rule for run in faulty[-1].breaks} >= {"connections"}
