"""One process of clients: `python -m gaugehinge.load.worker`, told its job and when to begin by
JSON lines."""

from __future__ import annotations

import resource
import sys
import time
from pathlib import Path

import msgspec
import trio

from ..emulator.lines import objects, run_child, say, standard_input
from ..forms.record import Recorder
from ..forms.units import UNITS
from ..net.timer_queue import TimerQueue
from .driver import Driver
from .form import Job
from .plan import draw_plan, recorded_plan

TELL_EVERY = 1.0


async def serve() -> None:
    """Until the schedule is over and the last operation has ended."""
    told = objects(standard_input())
    job = msgspec.convert(
        await anext(told), Job, dec_hook=lambda kind, value: kind(value) if kind in UNITS else value
    )
    plan = recorded_plan([Path(path) for path in job.replay], job.speed) if job.replay else draw_plan(job)
    record = Recorder(job.record)
    timers = TimerQueue(time.monotonic)
    async with trio.open_nursery() as nursery:
        driver = Driver(job, plan, timers, nursery, record.row)
        nursery.start_soon(timers.run)
        say({"event": "ready", "planned": len(plan)})
        zero = (await anext(told))["zero"]
        nursery.start_soon(watch, told, nursery.cancel_scope)
        for number in range(job.load.idle // job.load.workers):
            nursery.start_soon(driver.stand_idle, number % len(job.targets))
        nursery.start_soon(tell, driver)
        await driver.run(zero)
        record.close()
        used = resource.getrusage(resource.RUSAGE_SELF)
        say({"event": "done", "outcomes": driver.outcomes, "cpu": used.ru_utime + used.ru_stime})
        nursery.cancel_scope.cancel()


async def watch(told: object, scope: trio.CancelScope) -> None:
    """The process that started us ends us by the end of our input."""
    async for _ in told:
        pass
    scope.cancel()


async def tell(driver: Driver) -> None:
    while True:
        await trio.sleep(TELL_EVERY)
        say({"event": "second", "outcomes": driver.outcomes, "open": len(driver.open)})


if __name__ == "__main__":
    sys.exit(run_child(serve))
