"""The router's process: its start, its signals, its end, and what the system says of it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path

SAMPLE_INTERVAL = 0.01  # seconds
RESOURCE_INTERVAL = 25  # samples
PAGE_KB = 4
# As `run` of the deploy file starts a router: a SIGHUP before its handler stands is ignored.
START = ("sh", "-c", "trap '' HUP; exec \"$@\"", "sh")


class StallSampler:
    """For how long processes stood ready to run and were given no processor, by the system's own count."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` gives the time, in any thread."""
        self._clock = clock
        self._watched: set[int] = {os.getpid()}
        self._waited: dict[int, int] = {}
        self._stalls: list[tuple[float, float]] = []  # when each was seen, and its seconds
        self._over = threading.Event()
        threading.Thread(target=self._sample, daemon=True).start()

    def watch(self, pid: int) -> None:
        self._watched.add(pid)

    def close(self) -> None:
        self._over.set()

    def _sample(self) -> None:
        while not self._over.wait(SAMPLE_INTERVAL):
            now = self._clock()
            for pid in list(self._watched):
                self._look(pid, now)

    def _look(self, pid: int, now: float) -> None:
        try:
            waited = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
        except (OSError, IndexError):
            self._watched.discard(pid)
            return
        stall = (waited - self._waited.get(pid, waited)) / 1e9
        self._waited[pid] = waited
        if stall > 0.0:
            self._stalls.append((now, stall))

    def stalled(self, began: float, end: float) -> float:
        """Seconds in which the processes waited for a processor between two times, or just about them."""
        margin = 5 * SAMPLE_INTERVAL
        return sum(stall for at, stall in self._stalls if began - margin <= at <= end + margin)


class RouterProcess:
    """One process of the router."""

    def __init__(self, folder: Path, number: int, config: dict, faulty: str) -> None:
        self.config, self.path = config, folder / f"router-{number}.json"
        self.write(config)
        self.log_path = folder / f"router-{number}.log"
        words = ["tests.soak.faulty", faulty] if faulty else ["gaugehinge"]
        environment = {**os.environ, "LB_CONFIG": str(self.path)}
        with self.log_path.open("wb") as log:
            self.child = subprocess.Popen(
                [*START, sys.executable, "-m", *words],
                env=environment,
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
            )
        self.memory_kb: list[int] = []
        self.descriptors: list[int] = []
        self.crowd: list[int] = []

    @property
    def runs(self) -> bool:
        return self.child.poll() is None

    def write(self, config: dict) -> None:
        """Put a configuration in place whole."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(config))
        fresh.replace(self.path)

    def signal(self, name: str) -> None:
        if self.runs:
            self.child.send_signal(getattr(signal, name))

    def look(self, crowd: int) -> None:
        """Note its memory and its descriptors, and how many idle connections a crowd holds at that time."""
        try:
            pages = int(Path(f"/proc/{self.child.pid}/statm").read_text().split()[1])
            descriptors = len(os.listdir(f"/proc/{self.child.pid}/fd"))
        except (OSError, IndexError):
            return
        if pages:
            self.memory_kb.append(pages * PAGE_KB)
            self.descriptors.append(descriptors)
            self.crowd.append(crowd)

    def log(self) -> str:
        return self.log_path.read_text(errors="replace")
