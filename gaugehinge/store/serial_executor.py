"""Blocking calls from an event loop, run one after another on a single thread with a bounded queue."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Generic, TypeVar

import trio

from .errors import StoreOverloadedError

T = TypeVar("T")

MAX_QUEUED_CALLS = 64  # further calls are rejected at once


class _Call(Generic[T]):
    """A queued call, and its result once it has run."""

    def __init__(self, function: Callable[[], T]) -> None:
        self._function = function
        self._finished = trio.Event()
        self._token = trio.lowlevel.current_trio_token()
        self._value: T
        self._error: BaseException | None = None

    def run(self) -> None:
        """Run the function; called on the executor's thread."""
        try:
            self._value = self._function()
        except BaseException as error:  # every exception is re-raised in the calling task
            self._error = error
        # The event loop may have ended while the call was waiting.
        with suppress(trio.RunFinishedError):
            self._token.run_sync_soon(self._finished.set)

    async def result(self) -> T:
        """Wait on the event loop until the call has run; return its value or raise its exception."""
        await self._finished.wait()
        if self._error is not None:
            raise self._error
        return self._value


class SerialExecutor:
    """A single thread that runs calls in the order in which they were queued."""

    def __init__(self, name: str) -> None:
        """Start the thread, with a name for debuggers."""
        self._calls: queue.Queue[_Call[Any] | None] = queue.Queue(MAX_QUEUED_CALLS)
        self._thread = threading.Thread(target=self._run_calls, name=name, daemon=True)
        self._thread.start()

    @property
    def queue_length(self) -> int:
        """The number of calls that have not been started."""
        return self._calls.qsize()

    def _run_calls(self) -> None:
        while (call := self._calls.get()) is not None:
            call.run()

    async def run(self, function: Callable[[], T]) -> T:
        """Run a function on the thread and return its result.

        If the caller is cancelled while it waits, the function still runs. Raises
        StoreOverloadedError if the queue is full, else what the function raises.
        """
        call = _Call(function)
        try:
            self._calls.put_nowait(call)
        except queue.Full as error:
            raise StoreOverloadedError from error
        return await call.result()

    def close(self) -> None:
        """Run the calls that are queued, then end the thread. Blocks."""
        self._calls.put(None)
        self._thread.join()
