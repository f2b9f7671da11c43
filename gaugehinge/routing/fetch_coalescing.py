"""Request coalescing: of the reads that miss on one key, one fetches from the origin and the others wait.

A second fetch of the same key would only load the origin. Behind the fetch, those that waited go to the cache
server that now holds the key.
"""

from __future__ import annotations

from .deadlines import end_of_waiting
from .types import Action, Decision, Operation, Route, Step


class FetchCoalescing:
    """The fetches in flight, by key, and the operations that wait for each.

    State: these. A key leaves when its fetch ends, an operation also when it is cancelled or its wait is
    over.
    """

    def __init__(self, clock_granularity: float) -> None:
        self._clock_granularity = clock_granularity
        self.waiting: dict[bytes, list[Operation]] = {}

    def begin(self, key: bytes) -> None:
        """Note that a fetch of a key is in flight."""
        self.waiting.setdefault(key, [])

    def try_join(self, operation: Operation) -> bool:
        """Let an operation wait for a fetch of its key, where one is in flight."""
        waiting = self.waiting.get(operation.key)
        if waiting is None or operation.is_write:
            return False
        waiting.append(operation)
        operation.waiting_for_fetch = True
        return True

    def leave(self, operation: Operation) -> None:
        """Let an operation wait no longer."""
        waiting = self.waiting.get(operation.key)
        if waiting is not None and operation in waiting:
            waiting.remove(operation)
        operation.waiting_for_fetch = False

    def time_until_recheck(self, operation: Operation, fetch_time: float, now: float) -> float:
        """Return how long an operation may wait and still fetch by itself in time."""
        return max(end_of_waiting(operation) - fetch_time - now, self._clock_granularity)

    def end(self, operation: Operation, succeeded: bool, steps: list[Step], now: float, route: Route) -> None:
        """End the fetch of an operation: route those that waited, and add the steps that follow.

        After a failed fetch one of them fetches in its place; all at once would pile up at the origin.
        """
        if steps and _is_in_progress(steps[0].decision) and not operation.finished:
            return  # the same operation fetches again
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
