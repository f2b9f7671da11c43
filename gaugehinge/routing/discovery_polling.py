"""Decides when the router polls discovery for the endpoint list."""

from __future__ import annotations

from .seeded_random import SeededRandom
from .types import WAIT, Action, BackgroundTask, Decision, Deployment, TaskKind

POLL_BACKOFF = 0.4  # seconds after a failed poll, multiplied by the number of consecutive failures
MAX_POLL_BACKOFF = 1.25  # seconds; a router counts as notified of a change 6 s after it
MAX_DEADLINE_SHARE = 0.5  # upper bound of the backoff, as a fraction of the poll deadline
MIN_BACKOFF_FRACTION = 0.5  # of the backoff; a random fraction from 0 to 1 is added to it
DISCOVERY_CHANGE_JITTER = 0.5  # seconds; all routers learn of a new discovery address at the same time
POLL_TIMEOUT = 4.0  # seconds without a reply after which the poll is repeated


class DiscoveryPolling:
    """The background task that polls for the endpoint list.

    State: whether the list is held and kept up to date, the number of consecutive failed polls (reset by the
    next list), and when the task is due.
    """

    def __init__(self, deployment: Deployment, random: SeededRandom, log: list[str], now: float) -> None:
        self._max_deadline_backoff = MAX_DEADLINE_SHARE * deployment.poll_deadline
        self._random = random
        self._log = log
        self.is_list_held = False
        self._failures = 0
        self.task = BackgroundTask(TaskKind.POLL_ENDPOINTS, now)

    def on_list_received(self) -> None:
        """Stop polling: discovery sent the list, and will send its changes."""
        self.is_list_held, self._failures = True, 0

    def on_poll_failed(self, now: float) -> None:
        """Schedule the next poll after a randomized backoff that grows with each failure."""
        self.is_list_held, self._failures = False, self._failures + 1
        backoff = min(POLL_BACKOFF * self._failures, MAX_POLL_BACKOFF, self._max_deadline_backoff)
        backoff *= MIN_BACKOFF_FRACTION + self._random.fraction()
        self.task.due = now + backoff
        if self._failures == 1:
            self._log.append(f"endpoint list poll failed, retry in {backoff:.1f} s")

    def on_discovery_changed(self, now: float) -> None:
        """Poll the new discovery soon, with jitter so that not all routers do so at the same time."""
        self.is_list_held, self._failures = False, 0
        self.task.due = now + DISCOVERY_CHANGE_JITTER * self._random.fraction()

    def poll(self, now: float) -> Decision:
        """Return the decision to poll, or to wait if the list is held; schedule the next check."""
        self.task.due = now + POLL_TIMEOUT
        return WAIT if self.is_list_held else Decision(Action.POLL)
