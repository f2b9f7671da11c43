"""Polling of discovery: when the endpoint list is asked for."""

from __future__ import annotations

from .seeded_random import SeededRandom
from .types import WAIT, Action, BackgroundTask, Decision, Deployment, TaskKind

POLL_BACKOFF = 0.4  # seconds after a failed poll, times how many failed in a row
MAX_POLL_BACKOFF = 1.25  # seconds; a change counts as known 6 s after it
MAX_DEADLINE_SHARE = 0.5  # of the time within which the list must be polled, as a bound of the backoff
MIN_BACKOFF_FRACTION = 0.5  # of the backoff at least, and a random part of it more
DISCOVERY_CHANGE_JITTER = 0.5  # seconds; all routers learn at once that discovery is elsewhere from now on
POLL_TIMEOUT = 4.0  # seconds; a poll with no answer for this long is made again


class DiscoveryPolling:
    """The standing task that asks for the endpoint list.

    State: whether the list is held, how many polls failed in a row (0 with the next list), and when the
    task is due.
    """

    def __init__(self, deployment: Deployment, random: SeededRandom, log: list[str], now: float) -> None:
        self._max_deadline_backoff = MAX_DEADLINE_SHARE * deployment.poll_deadline
        self._random = random
        self._log = log
        self.is_list_held = False
        self._failures = 0
        self.task = BackgroundTask(TaskKind.POLL_ENDPOINTS, now)

    def on_list_received(self) -> None:
        """Note that discovery sent the list, and will send its changes."""
        self.is_list_held, self._failures = True, 0

    def on_poll_failed(self, now: float) -> None:
        """Poll again later, after a growing pause."""
        self.is_list_held, self._failures = False, self._failures + 1
        backoff = min(POLL_BACKOFF * self._failures, MAX_POLL_BACKOFF, self._max_deadline_backoff)
        backoff *= MIN_BACKOFF_FRACTION + self._random.fraction()
        self.task.due = now + backoff
        if self._failures == 1:
            self._log.append(f"endpoint list poll failed, retry in {backoff:.1f} s")

    def on_discovery_changed(self, now: float) -> None:
        """Poll elsewhere soon, but not all routers at the same moment."""
        self.is_list_held, self._failures = False, 0
        self.task.due = now + DISCOVERY_CHANGE_JITTER * self._random.fraction()

    def poll(self, now: float) -> Decision:
        """Poll, where the list is not held."""
        self.task.due = now + POLL_TIMEOUT
        return WAIT if self.is_list_held else Decision(Action.POLL)
