"""Starts the workers, gives them one beginning, and gathers what they say."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path

import msgspec
import trio

from ..emulator.fleet import Child, ChildFailed, plain
from .form import Job

LEAD = 0.5  # between the word and the first operation


class Crew:
    """The workers of one run."""

    def __init__(self, job: Job, folder: Path) -> None:
        self.job = job
        self.folder = folder
        self.workers: list[Child] = []
        self.planned = 0
        self.cpu = 0.0
        self.counts: dict[int, dict[str, int]] = {}  # by worker: outcomes so far
        self.heard: Callable[[], None] = lambda: None

    async def start(self) -> None:
        """Start all and wait until their schedules stand."""
        for number in range(self.job.load.workers):
            child = await Child.start("gaugehinge.load.worker", f"load {number}")
            self.workers.append(child)
            path = str(self.folder / f"load-{number}.rec")
            await child.tell(plain(msgspec.structs.replace(self.job, worker=number, record=path)))
        for child in self.workers:
            self.planned = (await child.hear())["planned"]

    async def begin(self) -> float:
        """Say when the run begins: a monotonic time, a little ahead."""
        zero = time.monotonic() + LEAD
        for child in self.workers:
            await child.tell({"zero": zero})
        return zero

    async def wait(self) -> None:
        """Until all are done. Raises ChildFailed where one ends before."""
        async with trio.open_nursery() as nursery:
            for number, child in enumerate(self.workers):
                nursery.start_soon(self._wait, number, child)

    async def _wait(self, number: int, child: Child) -> None:
        async for told in child.heard:
            self.counts[number] = told["outcomes"]
            if told["event"] == "done":
                self.cpu += told["cpu"]
                self.heard()
                return
            self.heard()
        raise ChildFailed(f"{child.name} ended")

    @property
    def outcomes(self) -> dict[str, int]:
        """Tries by outcome so far."""
        total: dict[str, int] = {}
        for counts in self.counts.values():
            for outcome, count in counts.items():
                total[outcome] = total.get(outcome, 0) + count
        return total

    async def end(self) -> None:
        for child in self.workers:
            await child.end()
