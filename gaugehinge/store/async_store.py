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

from .store import Change, DiskFullError, Mutation, Store, StoreUnusableError, snapshots

T = TypeVar("T")

MAX_QUEUED_CALLS = 64  # calls that wait for the disk; more are refused at once
SNAPSHOT_INTERVAL = 3600.0  # seconds, if anything changed
MAX_SNAPSHOTS = 5
MAX_LOG_ROWS = 100_000  # rows of the log that watchers may be behind; older ones go after a snapshot


class StoreOverloadedError(Exception):
    """Too many calls wait for the disk; nothing was done."""


class Watcher:
    """Changes in order from a revision on, none left out."""

    def __init__(self, since: int) -> None:
        self.since = since
        self.changed = trio.Event()


class AsyncStore:
    """One store and its thread."""

    def __init__(self, path: str | Path, clock: Callable[[], float] = time.time) -> None:
        """Open and verify. Raises StoreUnusableError: a file that is not whole is never served from."""
        self.path = Path(path)
        self.clock = clock
        self.store = Store(path)
        self.store.verify()
        self.revision = self.store.revision
        self._watchers: set[Watcher] = set()
        self._calls: queue.Queue[Callable[[], None] | None] = queue.Queue(MAX_QUEUED_CALLS)
        self._thread = threading.Thread(target=self._run_calls, name="store", daemon=True)
        self._thread.start()
        self._snapshot_revision = -1

    def _run_calls(self) -> None:
        while (call := self._calls.get()) is not None:
            call()

    async def run_sync(self, work: Callable[..., T], *given: Any) -> T:
        """Run something on the store's thread. Raises StoreOverloadedError where too many wait already."""
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
            raise StoreOverloadedError("the store is busy") from None
        await done.wait()  # a caller that is cancelled here leaves; the work is done all the same
        good, value = told
        if not good:
            raise value
        return value

    async def apply(self, wanted: Iterable[Mutation], actor: str, **more: Any) -> list[Change]:
        """Make changes, all or none, and wake the watchers. Raises as Store.apply does."""
        wanted = list(wanted)
        return await self.apply_planned(lambda store, now: wanted, actor, **more)

    async def apply_planned(
        self, plan: Callable[[Store, float], list[Mutation]], actor: str, **more: Any
    ) -> list[Change]:
        """The same, where what to change is decided on the store's thread from what stands there."""
        token = trio.lowlevel.current_trio_token()

        def work() -> list[Change]:
            now = self.clock()
            made = self.store.apply(plan(self.store, now), actor, now, **more)
            if made:
                # From here, not by the caller: that may have left, and the change is made all the same.
                with suppress(trio.RunFinishedError):
                    token.run_sync_soon(self._notify_watchers, made[-1].revision)
            return made

        return await self.run_sync(work)

    def _notify_watchers(self, rev: int) -> None:
        self.revision = max(self.revision, rev)
        for watcher in self._watchers:
            watcher.changed.set()

    async def changes(self, since: int, limit: int, wait: float) -> list[Change] | None:
        """Changes behind a revision, waited for up to some seconds; None where the log no longer has them."""
        if since > self.revision:
            return None  # of another life of this store
        if since == self.revision and wait > 0:
            watcher = Watcher(since)
            self._watchers.add(watcher)
            try:
                with trio.move_on_after(wait):
                    await watcher.changed.wait()
            finally:
                self._watchers.discard(watcher)
        if since == self.revision:
            return []
        found, oldest = await self.run_sync(
            lambda: (self.store.changes(since, limit), self.store.oldest_revision)
        )
        return found if since + 1 >= oldest else None

    # -- care

    async def run_maintenance(self) -> None:
        """Snapshots and the log's length, until cancelled."""
        while True:
            await trio.sleep(SNAPSHOT_INTERVAL)
            try:
                await self.take_snapshot()
            except (OSError, StoreUnusableError, DiskFullError, StoreOverloadedError) as bad:
                logger.error("no snapshot: {}", bad)

    async def take_snapshot(self) -> Path | None:
        """A snapshot beside the file, if anything changed since the last one; old ones and old rows go."""
        if self.revision == self._snapshot_revision:
            return None
        target = self.path.with_name(f"{self.path.name}.snapshot-{self.revision:012d}")
        rev = await self.run_sync(self.store.backup, target)
        self._snapshot_revision = rev
        for old in snapshots(self.path)[MAX_SNAPSHOTS:]:
            old.unlink(missing_ok=True)
        if rev > MAX_LOG_ROWS:
            await self.run_sync(self.store.compact, rev - MAX_LOG_ROWS)
        logger.info("store snapshot: revision {}", rev)
        return target

    def close(self) -> None:
        """After what waits has been done."""
        self._calls.put(None)
        self._thread.join()
        self.store.close()
