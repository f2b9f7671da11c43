"""A machine that works: cores, a queue with a limit, pauses, and the strain of what it was sent. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import exp
from statistics import NormalDist

from xxhash import xxh64_intdigest

from .virtual import Schedule

BUCKETS = 20  # of the time over which strain is measured
NORMAL = NormalDist()


def drawn_work(mean: float, spread: float, seed: int, uid: str, ident: bytes) -> float:
    """Work of one operation at one server: lognormal, by a draw of their own.

    Drawn one after the other, two operations that come in another order would change all work after them,
    and two runs of one seed would lie further apart.
    """
    if spread <= 0.0:
        return mean
    part = (xxh64_intdigest(uid.encode() + ident, seed) + 0.5) / 2.0**64
    return mean * exp(spread * NORMAL.inv_cdf(min(max(part, 1e-12), 1.0 - 1e-12)) - spread * spread / 2.0)


@dataclass(slots=True, eq=False)
class Job:
    """One piece of work."""

    work: float  # seconds of one core at full speed
    done: Callable[[], None]
    waiting: bool = False
    dropped: bool = False


class Machine:
    """Works jobs off in the order in which they came. `pace` tells its speed at a time."""

    def __init__(self, schedule: Schedule, cores: int, queue: int, pace: Callable[[float], float]) -> None:
        self.schedule = schedule
        self.cores = cores
        self.most_waiting = queue
        self.pace = pace
        self.working: set[Job] = set()  # until done or cleared
        self.queue: deque[Job] = deque()  # at most most_waiting, besides jobs dropped there
        self.waiting = 0
        self.paused_until = 0.0

    def submit(self, job: Job) -> bool:
        """Take a job; False where the queue is full."""
        if len(self.working) < self.cores:
            self._start(job)
            return True
        if self.waiting >= self.most_waiting:
            return False
        job.waiting = True
        self.waiting += 1
        self.queue.append(job)
        return True

    def drop(self, job: Job) -> bool:
        """Nobody wants it any more; whether it had not begun."""
        if not job.waiting:
            return False
        job.waiting, job.dropped = False, True
        self.waiting -= 1
        return True

    def clear(self) -> None:
        """All work is lost."""
        for job in [*self.working, *self.queue]:
            job.dropped = True
        self.working.clear()
        self.queue.clear()
        self.waiting = 0
        self.paused_until = 0.0

    def pause(self, until: float) -> None:
        """Nothing goes on before then."""
        self.paused_until = max(self.paused_until, until)

    def _start(self, job: Job) -> None:
        now = self.schedule.clock()
        self.working.add(job)
        begin = max(now, self.paused_until)
        self.schedule.call_at(begin + job.work / max(self.pace(begin), 1e-6), self._end, job)

    def _end(self, job: Job) -> None:
        if job.dropped:
            return
        now = self.schedule.clock()
        if now < self.paused_until:  # the rest of it is done right after the pause
            self.schedule.call_at(self.paused_until, self._end, job)
            return
        self.working.discard(job)
        while self.queue and len(self.working) < self.cores:
            following = self.queue.popleft()
            if following.waiting:
                following.waiting = False
                self.waiting -= 1
                self._start(following)
        job.done()


class Strain:
    """Work sent in the last `span` seconds, in buckets: a fixed number of figures."""

    def __init__(self, span: float, now: float) -> None:
        self.span = span
        self._grain = span / BUCKETS
        self._sums = [0.0] * BUCKETS
        self._at = int(now / self._grain)
        self.since = now  # measured from here

    def add(self, work: float, now: float) -> None:
        self._move(now)
        self._sums[self._at % BUCKETS] += work

    def over(self, ability: float, multiple: float, now: float) -> bool:
        """Whether more than so many times what it can do (seconds of work a "
        "second) came, over the whole span."""
        self._move(now)
        return now - self.since >= self.span and sum(self._sums) > multiple * ability * self.span

    def _move(self, now: float) -> None:
        place = int(now / self._grain)
        for step in range(self._at + 1, min(place, self._at + BUCKETS) + 1):
            self._sums[step % BUCKETS] = 0.0
        self._at = max(self._at, place)
