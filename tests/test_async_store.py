"""The store on an event loop: watchers, a hanging disk, cancelled callers."""

import threading

import trio
import trio.testing

from gaugehinge.store.async_store import AsyncStore
from gaugehinge.store.errors import StoreOverloadedError
from gaugehinge.store.records import Mutation
from gaugehinge.store.serial_executor import MAX_QUEUED_CALLS
from gaugehinge.store.snapshots import newest_snapshot


def test_watchers_get_every_change_in_order_and_learn_when_the_log_is_too_short(tmp_path):
    async def watch(store, last_revision, found, revision=0):
        while revision < last_revision:
            changes = await store.changes(revision, 7, 5.0)
            found += changes
            revision = changes[-1].revision if changes else revision

    async def scenario():
        store = AsyncStore(tmp_path / "s.db")
        found = [[], [], []]
        async with trio.open_nursery() as nursery:
            for changes in found:
                nursery.start_soon(watch, store, 60, changes)
            for number in range(30):
                mutations = [Mutation("t", f"{number}", b"1"), Mutation("t", f"{number % 3}", b"2")]
                await store.apply(mutations, "w")
        for changes in found:
            assert [change.revision for change in changes] == list(range(1, 61))
        assert await store.changes(60, 7, 0.0) == []
        assert await store.changes(99, 7, 0.0) is None  # a revision of another history
        await store.run_sync(store.store.compact, 50)
        assert await store.changes(10, 7, 0.0) is None and len(await store.changes(49, 70, 0.0)) == 11
        snapshot = await store.take_snapshot()
        assert newest_snapshot(store.path) == (snapshot, 60) and await store.take_snapshot() is None
        store.close()

    trio.run(scenario)


def test_stuck_disk_rejects_calls_and_blocks_nothing_else(tmp_path):
    async def scenario():
        store = AsyncStore(tmp_path / "s.db")
        disk_released = threading.Event()
        rejected = []

        async def apply():
            try:
                await store.apply([Mutation("t", "a", b"1")], "w")
            except StoreOverloadedError:
                rejected.append(1)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.run_sync, disk_released.wait)
            await trio.testing.wait_all_tasks_blocked()
            while store.queue_length:
                await trio.sleep(0.001)
            for _ in range(MAX_QUEUED_CALLS + 10):
                nursery.start_soon(apply)
            await trio.testing.wait_all_tasks_blocked()
            assert len(rejected) == 10
            with trio.fail_after(1.0):
                await trio.sleep(0.01)  # the event loop is not blocked
            disk_released.set()
        assert store.revision == MAX_QUEUED_CALLS
        store.close()

    trio.run(scenario)


def test_change_of_a_cancelled_caller_is_made_and_watchers_are_notified(tmp_path):
    async def scenario():
        store = AsyncStore(tmp_path / "s.db")
        with trio.CancelScope() as scope:
            scope.cancel()
            await store.apply([Mutation("t", "a", b"1")], "w")
        assert scope.cancelled_caught
        found = await store.changes(0, 10, 5.0)
        assert [change.item_id for change in found] == ["a"] and store.revision == 1
        store.close()

    trio.run(scenario)
