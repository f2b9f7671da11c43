"""When discovery is polled, how long a poll may take, and how long to pause after one that failed.

A poll is a long poll: it asks for changes since a version and states a wait. Discovery answers as soon as
there is a change, or without one at the end of the wait. A poll is overdue if the answer has not arrived a
further time, the grace, after the wait; another poll is then sent beside it. A full poll asks for the whole
list and is answered at once.

Worst case: a change that a silent watch misses counts as notified 6 s after the watch fell silent, or 2 s
after the wait of the open poll ended, whichever is later. The worst is a watch that falls silent just as a
poll is sent, at time T:

- The poll is overdue at T + LONG_POLL_WAIT + RESPONSE_GRACE = T + 3.75.
- A new connection polls by T + 4.0 (RECONNECT_JITTER). Its answer is due at once.
- If that connection is silent too, another one polls by T + 5.3 (RECONNECT_WAIT + RECONNECT_GRACE +
  RECONNECT_JITTER).

That leaves 0.7 s of the 6 s for the last answer. If the poll had been open for longer, the limits are later.

A service that answers late is given its usual answer time before a poll is overdue, since a further poll
makes it slower. Where that would be too late for a watch that has fallen silent, the waits are shorter, and
then the polls closer together, so that wait, grace and the next answer fit into the 6 s.

Each overdue poll doubles the time until the next one is, up to a limit, and the longer time stays until no
poll is in flight behind the one that is answered: otherwise the polls of all routers fill a service that
works through them in turn.
"""

from __future__ import annotations

import zlib
from collections import deque
from math import inf
from typing import NamedTuple

from .early_polls import EarlyPolls

# All times are in seconds.
INITIAL_WAIT = 0.5  # of a watch's first poll, which need not be repeated once it was held this long
# Overloaded discovery answers slowly, and polling it again makes it slower.
INITIAL_GRACE = 2.0
# Wait of later polls, minus a random fraction of LONG_POLL_JITTER: after a change all routers poll at the
# same time, and if those polls time out, the routers must not all reconnect at the same time.
LONG_POLL_WAIT = 2.5
LONG_POLL_JITTER = 0.5
RESPONSE_GRACE = 1.25
RECONNECT_JITTER = 0.25  # maximum delay before a watch that timed out reconnects
RECONNECT_WAIT = 0.05  # of the first poll after that
RECONNECT_GRACE = 1.0
MAX_RECONNECTS = 2  # after more timeouts in a row, the decision module sets the next poll
NOTIFICATION_TIME = 6.0  # after which a change counts as notified
NOTIFICATION_TIME_AFTER_MOVE = 4.0  # from the order to follow discovery at another address
HEADROOM = 0.5  # of the notification time, for connecting and for the list's transfer
HEADROOM_AFTER_MOVE = 1.0  # as above, and for the delay of the first poll
ANSWER_TIME_SAMPLES = 8
ANSWER_TIME_MARGIN = 0.25  # above the longest recent answer time
MAX_PATIENCE = 5.0  # after the wait of a poll, however late the service has answered
MAX_BACKOFF = 4.0  # a poll lost just before the service recovers has to be repeated within the 6 s
BACKOFF_FACTOR = 2.0  # for each overdue poll
MIN_PATIENCE = 0.5
REPLACEMENT_INTERVAL = 4.0  # between polls that each take the place of one that may still be answered
# If discovery at a new address continues from the known version, the whole list is polled after this delay
# plus a fraction of the jitter that differs by router: sending the whole list to a whole fleet at once took
# discovery half a minute.
FULL_POLL_DELAY = 5.0
FULL_POLL_JITTER = 30.0
# A lost connection may mean another process at discovery's address. The whole list is then polled after this
# delay plus a fraction of the time that discovery needs for the lists of all routers.
RESTART_CHECK_DELAY = 0.5
RESTART_CHECK_SPACING = 0.15  # for each router
AGENT_RETRY_DELAY = 0.1  # after a failed poll of an agent on this machine, whose list counts as notified
# A whole list without servers may be a fault of the service, so the whole list is polled again: first after
# MIN_POLL_INTERVAL, then after this delay, which doubles up to the maximum. A random fraction of
# RECONNECT_JITTER is added.
EMPTY_LIST_RECHECK_DELAY = 0.5
MAX_EMPTY_LIST_RECHECK_DELAY = 2.0
MAX_STALL = 0.2  # stall of the router that the drain grace has to cover as well
MIN_POLL_INTERVAL = 0.05  # after a poll that is answered at once; discovery keeps a watch for 0.2 s

CONFIRMATION_DELAY = 0.5  # before the second poll of a whole list that has to be sent twice
MAX_DOUBLINGS = 8  # bounds the exponent; the delay has reached its maximum by then
CRC32_RANGE = 1 << 32


class PollTiming(NamedTuple):
    """Wait and grace of one poll, in seconds."""

    wait: float  # for which discovery may hold the poll
    grace: float  # for the answer after the wait


class DiscoverySchedule:
    """Timing of one router's polls. The jitter is derived from the seed, so that it is reproducible."""

    def __init__(self, seed: int, local_agent: bool, router_count: int = 1) -> None:
        """`local_agent`: discovery is an agent on this machine, which is never slow.

        `router_count`: number of routers that poll the same discovery.
        """
        self._router_count = router_count
        self._initial_grace = RESPONSE_GRACE if local_agent else INITIAL_GRACE
        self._answer_times: deque[float] = deque(maxlen=ANSWER_TIME_SAMPLES)
        self._early_polls = EarlyPolls()
        self.full_poll_at = inf  # clock time at which the whole list is polled as a check
        self._seed = seed
        self._empty_lists = 0  # in a row
        self._draws = 0

    def initial(self, moved: bool = False) -> PollTiming:
        """Return the timing of a watch's first poll. `moved`: it is the first at another address.

        There the answer may only show that the versions are others, and the whole list has to be in time.
        """
        if moved:
            return PollTiming(RECONNECT_WAIT, RESPONSE_GRACE)
        return PollTiming(self._shorten(INITIAL_WAIT), self._initial_grace)

    def subsequent(self) -> PollTiming:
        """Return the timing of a poll after one that was answered."""
        wait = LONG_POLL_WAIT - LONG_POLL_JITTER * self._random_fraction()
        return PollTiming(self._shorten(wait), RESPONSE_GRACE)

    def _shorten(self, wait: float) -> float:
        """Return a wait that leaves time for the answer to another poll if the one to this is missed."""
        longest = NOTIFICATION_TIME - HEADROOM - ANSWER_TIME_MARGIN - 2.0 * self.answer_time
        return min(wait, max(longest, RECONNECT_WAIT))

    @property
    def answer_time(self) -> float:
        """The longest of the service's recent answer times, in seconds, without the waits."""
        return max(self._answer_times, default=0.0)

    def on_answer(self, now: float, wait: float, elapsed: float) -> None:
        """Note that a poll with a wait of `wait` seconds was answered after `elapsed` seconds.

        An answer before the end of the wait shows no more than that the service is as fast as that.
        """
        if elapsed >= wait:
            self._answer_times.append(elapsed - wait)
        elif elapsed < self.answer_time:
            self._answer_times.append(elapsed)
        self._early_polls.on_answer(now, now - elapsed, self.answer_time)

    def on_early_poll(self, now: float) -> None:
        """Note that a poll is sent beside one that is not overdue by the service's answer time."""
        self._early_polls.on_sent(now)

    def longest_answer_time(self) -> float:
        """Return the seconds after which a poll without a wait counts as lost."""
        return self.answer_time + ANSWER_TIME_MARGIN

    def patience(self, timing: PollTiming, backoff: float) -> float:
        """Return for how many seconds after its wait a poll is not overdue, at least `backoff`."""
        return min(max(timing.grace, backoff, self.longest_answer_time()), MAX_PATIENCE)

    def next_backoff(self, backoff: float) -> float:
        """Return the least patience in seconds after another overdue poll; it was `backoff`, 0 if none."""
        if backoff:
            return min(BACKOFF_FACTOR * backoff, MAX_BACKOFF)
        return RECONNECT_GRACE if self._answer_times else self._initial_grace

    def early_patience(self, now: float, timing: PollTiming) -> float:
        """Return after how many seconds another poll is still in time if this one was lost."""
        if not self._early_polls.allowed(now, self.answer_time):
            return inf
        return max(NOTIFICATION_TIME - HEADROOM - timing.wait - self.answer_time, MIN_PATIENCE)

    def patience_after_move(self, timing: PollTiming) -> float:
        """Return after how many seconds the whole list has to be polled at another address."""
        limit = NOTIFICATION_TIME_AFTER_MOVE - HEADROOM_AFTER_MOVE
        return max(limit - timing.wait - self.answer_time, MIN_PATIENCE)

    def after_failure(self) -> PollTiming:
        """Return the timing of the first poll after one that failed."""
        return PollTiming(RECONNECT_WAIT, RECONNECT_GRACE)

    def reconnect_delay(self) -> float:
        """Return the delay in seconds before a watch that timed out reconnects."""
        return RECONNECT_JITTER * self._random_fraction()

    def agent_retry_delay(self) -> float:
        """Return the delay in seconds after a failed poll of an agent on this machine."""
        return AGENT_RETRY_DELAY

    def postpone_full_poll(self, now: float) -> None:
        """Schedule a poll of the whole list after FULL_POLL_DELAY and this router's part of the jitter."""
        self.full_poll_at = now + FULL_POLL_DELAY + FULL_POLL_JITTER * self._part()

    def schedule_restart_check(self, now: float) -> None:
        """Schedule a poll of the whole list, since discovery may have been restarted."""
        delay = RESTART_CHECK_DELAY + RESTART_CHECK_SPACING * self._router_count * self._part()
        self.full_poll_at = min(self.full_poll_at, now + delay)

    def _part(self) -> float:
        """Return this router's place among all that poll the whole list, at least 0 and below 1."""
        return zlib.crc32(b"%d whole" % self._seed) / CRC32_RANGE

    def empty_list_recheck_delay(self) -> float:
        """Return the delay in seconds between a whole list without servers and the next poll of it."""
        self._empty_lists += 1
        if self._empty_lists == 1:
            return MIN_POLL_INTERVAL
        delay = EMPTY_LIST_RECHECK_DELAY * 2.0 ** min(self._empty_lists - 2, MAX_DOUBLINGS)
        return min(delay, MAX_EMPTY_LIST_RECHECK_DELAY) + self.reconnect_delay()

    def schedule_empty_list_recheck(self, now: float) -> None:
        """Schedule another poll of the whole list, since the one just accepted has no servers."""
        self.full_poll_at = now + self.empty_list_recheck_delay()

    def empty_list_hold(self, drain_grace: float) -> float:
        """Return for how many seconds the former list may still be used after one without servers.

        A server that is not listed counts as gone, and sending to it after the drain grace breaks the rule on
        drains.
        """
        return max(drain_grace - MAX_STALL, 0.0)

    def cancel_full_poll(self) -> None:
        """Cancel the scheduled poll: the whole list has arrived and has servers."""
        self.full_poll_at = inf
        self._empty_lists = 0

    def _random_fraction(self) -> float:
        """Return the next number of the jitter sequence, at least 0 and below 1."""
        self._draws += 1
        return zlib.crc32(b"%d watch %d" % (self._seed, self._draws)) / CRC32_RANGE
