"""The store from an event loop: one thread of its own, calls in order, watchers told in order.

A call that waits for the disk holds up nobody but those behind it in its queue, and that is bounded: with a
stuck disk the admin side is refused, and operations go on.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from pathlib import Path
from typing import Any, TypeVar

import trio
from loguru import logger

from .store import Change, Damaged, Full, Store, Wanted, snapshots

T = TypeVar("T")

MOST_WAITING = 64  # calls that wait for the disk; more are refused at once
SNAPSHOT_EVERY = 3600.0  # seconds, if anything changed
SNAPSHOTS_KEPT = 5
LOG_KEPT = 100_000  # rows of the log that watchers may be behind; older ones go after a snapshot


class Overloaded(Exception):
    """Too many calls wait for the disk; nothing was done."""


class Watcher:
    """Changes in order from a revision on, none left out."""

    def __init__(self, since: int) -> None:
        self.since = since
        self.news = trio.Event()


class StoreKeeper:
    """One store and its thread."""

    def __init__(self, path: str | Path, clock: Callable[[], float] = time.time) -> None:
        """Open and verify. Raises Damaged: a file that is not whole is never served from."""
        self.path = Path(path)
        self.clock = clock
        self.store = Store(path)
        self.store.verify()
        self.rev = self.store.rev
        self._watchers: set[Watcher] = set()
        self._calls: queue.Queue[Callable[[], None] | None] = queue.Queue(MOST_WAITING)
        self._thread = threading.Thread(target=self._work, name="store", daemon=True)
        self._thread.start()
        self._snapshot_rev = -1

    def _work(self) -> None:
        while (call := self._calls.get()) is not None:
            call()

    async def call(self, work: Callable[..., T], *given: Any) -> T:
        """Run something on the store's thread. Raises Overloaded where too many wait already."""
        done, token = trio.Event(), trio.lowlevel.current_trio_token()
        told: list[Any] = []

        def run() -> None:
            try:
                told.extend((True, work(*given)))
            except BaseException as bad:  # told to the caller, whatever it is
                told.extend((False, bad))
            with suppress(trio.RunFinishedError):
                token.run_sync_soon(done.set)

        try:
            self._calls.put_nowait(run)
        except queue.Full:
            raise Overloaded("the store is busy") from None
        await done.wait()  # a caller that is cancelled here leaves; the work is done all the same
        good, value = told
        if not good:
            raise value
        return value

    async def apply(self, wanted: Iterable[Wanted], who: str, **more: Any) -> list[Change]:
        """Make changes, all or none, and wake the watchers. Raises as Store.apply does."""
        wanted = list(wanted)
        return await self.apply_planned(lambda store, now: wanted, who, **more)

    async def apply_planned(
        self, plan: Callable[[Store, float], list[Wanted]], who: str, **more: Any
    ) -> list[Change]:
        """The same, where what to change is decided on the store's thread from what stands there."""
        token = trio.lowlevel.current_trio_token()

        def work() -> list[Change]:
            now = self.clock()
            made = self.store.apply(plan(self.store, now), who, now, **more)
            if made:
                # From here, not by the caller: that may have left, and the change is made all the same.
                with suppress(trio.RunFinishedError):
                    token.run_sync_soon(self._made, made[-1].rev)
            return made

        return await self.call(work)

    def _made(self, rev: int) -> None:
        self.rev = max(self.rev, rev)
        for watcher in self._watchers:
            watcher.news.set()

    async def changes(self, since: int, most: int, wait: float) -> list[Change] | None:
        """Changes behind a revision, waited for up to some seconds; None where the log no longer has them."""
        if since > self.rev:
            return None  # of another life of this store
        if since == self.rev and wait > 0:
            watcher = Watcher(since)
            self._watchers.add(watcher)
            try:
                with trio.move_on_after(wait):
                    await watcher.news.wait()
            finally:
                self._watchers.discard(watcher)
        if since == self.rev:
            return []
        found, oldest = await self.call(lambda: (self.store.changes(since, most), self.store.oldest))
        return found if since + 1 >= oldest else None

    # -- care

    async def care(self) -> None:
        """Snapshots and the log's length, until cancelled."""
        while True:
            await trio.sleep(SNAPSHOT_EVERY)
            try:
                await self.snapshot()
            except (OSError, Damaged, Full, Overloaded) as bad:
                logger.error("no snapshot: {}", bad)

    async def snapshot(self) -> Path | None:
        """A snapshot beside the file, if anything changed since the last one; old ones and old rows go."""
        if self.rev == self._snapshot_rev:
            return None
        target = self.path.with_name(f"{self.path.name}.snapshot-{self.rev:012d}")
        rev = await self.call(self.store.backup, target)
        self._snapshot_rev = rev
        for old in snapshots(self.path)[SNAPSHOTS_KEPT:]:
            old.unlink(missing_ok=True)
        if rev > LOG_KEPT:
            await self.call(self.store.compact, rev - LOG_KEPT)
        logger.info("store snapshot: revision {}", rev)
        return target

    def close(self) -> None:
        """After what waits has been done."""
        self._calls.put(None)
        self._thread.join()
        self.store.close()
