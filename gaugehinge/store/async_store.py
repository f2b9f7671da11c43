"""The store for use on an event loop: calls run in order on a dedicated thread, watchers get every change.

A call that waits for the disk delays only the calls queued behind it, and the queue is bounded: if the disk
hangs, the control plane rejects calls while everything else on the event loop continues.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

import trio
from loguru import logger

from .errors import DiskFullError, StoreOverloadedError, StoreUnusableError
from .records import Change, IdempotencyRecord, Mutation
from .serial_executor import SerialExecutor
from .snapshots import remove_old_snapshots, snapshot_path
from .store import Store

T = TypeVar("T")
Planner = Callable[
    [Store, float], list[Mutation]
]  # returns the mutations to apply, given the store and the Unix time

SNAPSHOT_INTERVAL = 3600.0  # seconds; no snapshot is taken if nothing changed
MAX_SNAPSHOTS = 5
MAX_LOG_ROWS = (
    100_000  # older rows are removed after a snapshot; a watcher further behind reads the full state
)


class AsyncStore:
    """A store and the thread on which all its calls run."""

    def __init__(self, path: str | Path, clock: Callable[[], float] = time.time) -> None:
        """Open and verify the file; `clock` returns the Unix time for the timestamps of changes.

        Raises StoreUnusableError, so that data from a damaged file is never served.
        """
        self.path = Path(path)
        self.clock = clock
        self.store = Store(path)
        self.store.verify()
        self.revision = self.store.revision  # the newest one of which watchers were notified
        self._watchers: set[trio.Event] = set()
        self._executor = SerialExecutor("store")
        self._snapshot_revision = -1  # of the last snapshot taken by this object; -1: none yet

    @property
    def queue_length(self) -> int:
        """The number of calls that have not been started."""
        return self._executor.queue_length

    async def run_sync(self, function: Callable[..., T], *args: Any) -> T:
        """Run a blocking function on the store's thread.

        Raises StoreOverloadedError if too many calls are waiting, else what the function raises.
        """
        return await self._executor.run(partial(function, *args))

    async def apply(
        self,
        mutations: Iterable[Mutation],
        actor: str,
        idempotency: IdempotencyRecord | None = None,
    ) -> list[Change]:
        """Apply all mutations or none, and wake the watchers. Raises as `Store.apply` does."""
        planned = list(mutations)
        return await self.apply_planned(lambda store, now: planned, actor, idempotency=idempotency)

    async def apply_planned(
        self, plan: Planner, actor: str, idempotency: IdempotencyRecord | None = None
    ) -> list[Change]:
        """Apply the mutations that `plan` returns for the current state; both run on the store's thread.

        Raises as `Store.apply` and the planner do.
        """
        token = trio.lowlevel.current_trio_token()

        def apply() -> list[Change]:
            now = self.clock()
            changes = self.store.apply(plan(self.store, now), actor, now, idempotency)
            if changes:
                # Watchers are notified from here because the calling task may have been cancelled although
                # the change is committed.
                with suppress(trio.RunFinishedError):
                    token.run_sync_soon(self._notify_watchers, changes[-1].revision)
            return changes

        return await self.run_sync(apply)

    def _notify_watchers(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        for changed in self._watchers:
            changed.set()

    async def changes(self, after_revision: int, limit: int, wait: float) -> list[Change] | None:
        """Return the changes after a revision, waiting up to `wait` seconds if there are none yet.

        None means that the log cannot answer: the changes after that revision were compacted, or the store
        never had that revision.
        """
        if after_revision > self.revision:
            return None
        if after_revision == self.revision and wait > 0:
            await self._wait_for_change(wait)
        if after_revision == self.revision:
            return []
        changes, oldest_revision = await self.run_sync(
            lambda: (self.store.changes(after_revision, limit), self.store.oldest_revision)
        )
        return changes if after_revision + 1 >= oldest_revision else None

    async def _wait_for_change(self, wait: float) -> None:
        changed = trio.Event()
        self._watchers.add(changed)
        try:
            with trio.move_on_after(wait):
                await changed.wait()
        finally:
            self._watchers.discard(changed)

    async def run_maintenance(self) -> None:
        """Take snapshots and limit the length of the log until cancelled."""
        while True:
            await trio.sleep(SNAPSHOT_INTERVAL)
            try:
                await self.take_snapshot()
            except (OSError, StoreUnusableError, DiskFullError, StoreOverloadedError) as error:
                logger.error("store snapshot failed: {}", error)

    async def take_snapshot(self) -> Path | None:
        """Write a snapshot beside the file and remove old snapshots and log rows.

        Returns its path, None if nothing changed since the last one. Raises OSError, StoreUnusableError,
        DiskFullError or StoreOverloadedError.
        """
        if self.revision == self._snapshot_revision:
            return None
        target = snapshot_path(self.path, self.revision)
        revision = await self.run_sync(self.store.backup, target)
        self._snapshot_revision = revision
        remove_old_snapshots(self.path, keep=MAX_SNAPSHOTS)
        if revision > MAX_LOG_ROWS:
            await self.run_sync(self.store.compact, revision - MAX_LOG_ROWS)
        logger.info("wrote store snapshot at revision {}", revision)
        return target

    def close(self) -> None:
        """Finish the queued calls and close the file. Blocks."""
        self._executor.close()
        self.store.close()
