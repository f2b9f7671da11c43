"""Request coalescing: of the reads that miss on one key, one fetches from the origin and the others wait.

A second fetch of the same key would only load the origin. After the fetch, the waiting reads go to the cache
server that now holds the key.
"""

from __future__ import annotations

from .deadlines import end_of_waiting
from .types import Action, Decision, Operation, Route, Step


class FetchCoalescing:
    """Tracks the fetches in flight by key, and the operations waiting for each.

    State: both of these. A key is removed when its fetch ends; an operation is also removed when it is
    cancelled or its wait is over.
    """

    def __init__(self, clock_granularity: float) -> None:
        self._clock_granularity = clock_granularity
        self.waiting: dict[bytes, list[Operation]] = {}

    def begin(self, key: bytes) -> None:
        """Record that a fetch of a key is in flight."""
        self.waiting.setdefault(key, [])

    def try_join(self, operation: Operation) -> bool:
        """Let an operation wait for a fetch of its key if one is in flight; return whether it waits."""
        waiting = self.waiting.get(operation.key)
        if waiting is None or operation.is_write:
            return False
        waiting.append(operation)
        operation.waiting_for_fetch = True
        return True

    def leave(self, operation: Operation) -> None:
        """Remove an operation from those waiting for a fetch."""
        waiting = self.waiting.get(operation.key)
        if waiting is not None and operation in waiting:
            waiting.remove(operation)
        operation.waiting_for_fetch = False

    def time_until_recheck(self, operation: Operation, fetch_time: float, now: float) -> float:
        """Return for how many seconds an operation may wait and still complete a fetch of its own in time."""
        return max(end_of_waiting(operation) - fetch_time - now, self._clock_granularity)

    def end(self, operation: Operation, succeeded: bool, steps: list[Step], now: float, route: Route) -> None:
        """End an operation's fetch: route the operations that waited for it, and append the resulting steps.

        After a failed fetch, only one of them fetches again and the others keep waiting: all at once would
        overload the origin.
        """
        if steps and _is_in_progress(steps[0].decision) and not operation.finished:
            return  # the same operation retries the fetch
        waiting = self.waiting.pop(operation.key, [])
        while waiting:
            waiter = waiting.pop(0)
            waiter.waiting_for_fetch = False
            if waiter.finished:
                continue
            waiter.wants_origin = not succeeded
            waiter.tried_endpoints.clear()
            decision = route(waiter, now)
            steps.append(Step(waiter, decision))
            if not succeeded and _is_in_progress(decision):
                self.waiting.setdefault(operation.key, []).extend(waiting)
                return


def _is_in_progress(decision: Decision) -> bool:
    return decision.action in (Action.SEND, Action.WAIT)
