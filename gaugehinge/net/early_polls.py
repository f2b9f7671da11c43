"""Whether discovery can bear early polls: those that are sent beside another one before that is overdue.

Early polls double the load. A service that works through polls in turn then answers in twice the time. So the
first early poll is a trial: there is no other one until a later poll has been answered, and none for a while
if the answers have become slower.
"""

from __future__ import annotations

MAX_ANSWER_TIME = 3.75  # seconds, above which the answer to an early poll is not in time either
MAX_SLOWDOWN = 0.5  # seconds by which answers may become slower before the service is short of capacity
PAUSE = 30.0  # seconds without early polls after that


class EarlyPolls:
    """The early polls of one router. All times are in seconds."""

    def __init__(self) -> None:
        """Early polls are allowed at first."""
        self._allowed_from = 0.0  # clock time
        self._trial_sent_at: float | None = None  # clock time of the first early poll since the last pause
        self._trial_passed = False
        self._unloaded_answer_time = 0.0  # of the service, without early polls

    def allowed(self, now: float, answer_time: float) -> bool:
        """Return whether an early poll may be sent to a service that answers in `answer_time`."""
        if self._trial_sent_at is not None and not self._trial_passed:
            return False
        return now >= self._allowed_from and answer_time <= MAX_ANSWER_TIME

    def on_sent(self, now: float) -> None:
        """Note that an early poll is sent."""
        if self._trial_sent_at is None:
            self._trial_sent_at = now

    def on_answer(self, now: float, sent_at: float, answer_time: float) -> None:
        """Note that a poll sent at `sent_at` was answered; the answer time is now `answer_time`."""
        if self._trial_sent_at is None:
            self._unloaded_answer_time = answer_time
            return
        self._unloaded_answer_time = min(self._unloaded_answer_time, answer_time)
        if answer_time > self._unloaded_answer_time + MAX_SLOWDOWN:
            self._allowed_from = now + PAUSE
            self._trial_sent_at, self._trial_passed = None, False
        elif sent_at > self._trial_sent_at:
            self._trial_passed = True
