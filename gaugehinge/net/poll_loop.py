"""Sends discovery's polls one after the other, and a further one each time the last is overdue."""

from __future__ import annotations

from math import inf
from typing import NamedTuple, Protocol

from loguru import logger

from ..settings import SettingsError
from .discovery_polls import PendingPoll, PollResult, PollsInFlight
from .discovery_schedule import (
    CONFIRMATION_DELAY,
    MAX_RECONNECTS,
    REPLACEMENT_INTERVAL,
    DiscoverySchedule,
    PollTiming,
)
from .discovery_watch import PollError, Watch
from .endpoint_list import EndpointListUpdate
from .timer_queue import TimerQueue


class PollRequest(NamedTuple):
    """What a poll asks for."""

    target: str  # path and query
    wait: float  # seconds for which discovery may hold it
    since: int | None  # version whose changes are asked for; None: the whole list is


class NextPoll(NamedTuple):
    """When the next poll is due after an answer, and its timing."""

    delay: float  # in seconds
    timing: PollTiming


class PollHandler(Protocol):
    """Decides what is polled and what an answer means."""

    local_agent: bool
    moved: bool

    def new_watch(self) -> Watch:
        """Return a watch without a connection."""

    def next_request(self, timing: PollTiming) -> PollRequest:
        """Return the next request."""

    def needs_full_poll(self) -> bool:
        """Whether only the whole list is of use."""

    def needs_confirmation(self) -> bool:
        """Whether a whole list may be of use only if it is sent twice."""

    def on_list(self, poll: PendingPoll, update: EndpointListUpdate) -> NextPoll:
        """Take a list; return when the next poll is due unless one is in flight."""

    def on_overdue(self) -> None:
        """Called before another poll is sent beside the newest one."""

    def on_poll_error(self, error: PollError | SettingsError) -> None:
        """Called when the newest poll has failed."""

    def on_failure(self) -> None:
        """Report that polls fail; `PollLoop.resume` is called when the next one is due."""

    def agent_retry_delay(self) -> float:
        """Return the delay in seconds after a failed poll of an agent on this machine."""


class PollLoop:
    """The polls of one watch, from its start to its cancellation."""

    def __init__(self, handler: PollHandler, schedule: DiscoverySchedule, timers: TimerQueue) -> None:
        """Create the loop; `run` sends the first poll at once."""
        self._handler = handler
        self._schedule = schedule
        self._clock = timers.clock
        self._watch: Watch | None = None  # whose connection the next poll uses; None: a new one
        self._timing = schedule.initial(handler.moved)  # of the next poll
        self._next_poll_at = self._clock()  # inf while none is due
        self._timeouts = 0  # overdue polls since the last answer
        self._backoff = 0.0  # least patience in seconds, since a poll was overdue
        self._failure_reported = False  # since the last answer and the last resumption
        self._polls: PollsInFlight | None = None

    def resume(self) -> None:
        """Poll again now if a failure was reported."""
        if not self._failure_reported:
            return
        self._failure_reported = False
        self._schedule_poll(0.0, self._schedule.initial(self._handler.moved))
        self._timeouts = 0
        if self._polls is not None:
            self._polls.wake()

    async def run(self, polls: PollsInFlight) -> None:
        """Poll until cancelled."""
        self._polls = polls
        try:
            while True:
                await self._step(polls)
        finally:
            polls.close_results()
            if self._watch is not None:
                self._watch.close()

    async def _step(self, polls: PollsInFlight) -> None:
        """Send a poll if one is due, and wait until a poll ends, is overdue or is due."""
        self._send_if_due(polls)
        due_at = min(self._next_poll_at, self._overdue_at(polls))
        result = await polls.next_result(max(due_at - self._clock(), 0.0))
        if result is not None:
            self._on_result(polls, result)
        elif self._clock() >= self._overdue_at(polls):
            self._on_overdue(polls.newest)

    def _schedule_poll(self, delay: float, timing: PollTiming) -> None:
        self._next_poll_at, self._timing = self._clock() + delay, timing

    def _send_if_due(self, polls: PollsInFlight) -> None:
        """Send the next poll if it is due and, where it takes another one's place, that has had its time."""
        now = self._clock()
        if polls.is_full and polls.newest is not None and not self._handler.local_agent:
            earliest = polls.newest.sent_at + REPLACEMENT_INTERVAL
            self._next_poll_at = max(self._next_poll_at, earliest)
        if now < self._next_poll_at:
            return
        watch, self._watch = self._watch or self._handler.new_watch(), None
        request = self._handler.next_request(self._timing)
        timing = self._timing._replace(wait=request.wait)
        polls.send(PendingPoll(watch, request.target, timing, request.since, now))
        self._next_poll_at = inf

    def _overdue_at(self, polls: PollsInFlight) -> float:
        """Return when the newest poll is overdue; inf if it is, or there is none.

        A service that is known to be slow is asked early for the second time, so that the answer is in time
        if the first poll was lost; but not while yet another poll may be answered.
        """
        poll, schedule = polls.newest, self._schedule
        if poll is None or poll.is_overdue:
            return inf
        wait_ends_at = poll.sent_at + poll.timing.wait
        overdue_at = wait_ends_at + schedule.patience(poll.timing, self._backoff)
        if self._handler.moved and not poll.is_full:
            return min(overdue_at, wait_ends_at + schedule.patience_after_move(poll.timing))
        if self._handler.needs_confirmation() and poll.is_full and polls.second_newest is None:
            return min(overdue_at, wait_ends_at + CONFIRMATION_DELAY)
        if self._backoff:
            return overdue_at
        early_at = wait_ends_at + schedule.early_patience(self._clock(), poll.timing)
        return min(overdue_at, max(early_at, self._lost_at(polls.second_newest)))

    def _lost_at(self, poll: PendingPoll | None) -> float:
        """Return when a poll counts as lost by the service's answer time; -inf if there is none."""
        if poll is None:
            return -inf
        return poll.sent_at + poll.timing.wait + self._schedule.longest_answer_time()

    def _on_overdue(self, poll: PendingPoll | None) -> None:
        """Poll on a new connection at once: what a silent one misses soon counts as notified.

        The backoff of the decision module, used after a refusal, took up to 1.5 s of the 6 s allowed.
        """
        assert poll is not None  # a poll that is not in flight is not overdue
        poll.is_overdue = True
        self._timeouts += 1
        is_early = self._clock() - poll.sent_at < poll.timing.wait + self._schedule.answer_time
        if is_early:
            self._schedule.on_early_poll(self._clock())
        else:
            self._backoff = self._schedule.next_backoff(self._backoff)
            if self._timeouts == 1:
                logger.info("discovery poll overdue: polling on a new connection as well")
        self._handler.on_overdue()
        if self._timeouts > MAX_RECONNECTS and not self._handler.local_agent:
            self._report_failure()
            return
        delay = 0.0 if is_early or self._handler.moved else self._schedule.reconnect_delay()
        self._schedule_poll(delay, self._schedule.after_failure())

    def _report_failure(self) -> None:
        self._failure_reported = True
        self._handler.on_failure()

    def _on_result(self, polls: PollsInFlight, result: PollResult) -> None:
        if result.update is not None:
            self._on_answer(polls, result.poll, result.update)
        elif result.error is not None:
            self._on_error(polls, result.poll, result.error)

    def _on_answer(self, polls: PollsInFlight, poll: PendingPoll, update: EndpointListUpdate) -> None:
        """Take an answer. Later polls stay in flight and take the place of the next one."""
        now = self._clock()
        self._schedule.on_answer(now, poll.timing.wait, now - poll.sent_at)
        polls.close_older(poll)
        next_poll = self._handler.on_list(poll, update)
        self._timeouts, self._failure_reported, self._next_poll_at = 0, False, inf
        newest = polls.newest
        if newest is None:
            self._watch, self._backoff = poll.watch, 0.0
        else:
            poll.watch.close()
            newest.is_overdue = False  # by the answer time that is known now
        if newest is None or (self._handler.needs_full_poll() and not newest.is_full):
            self._schedule_poll(*next_poll)

    def _on_error(self, polls: PollsInFlight, poll: PendingPoll, error: PollError | SettingsError) -> None:
        """Leave the next poll to the decision module, or poll again where an agent is polled.

        While a later poll is in flight, the failure of an earlier one says nothing new.
        """
        newest = polls.newest
        if newest is not None and newest.sent_at > poll.sent_at:
            return
        self._handler.on_poll_error(error)
        self._timeouts = 0
        if self._handler.local_agent:
            self._schedule_poll(self._handler.agent_retry_delay(), self._schedule.after_failure())
        else:
            self._next_poll_at = inf
            self._report_failure()
