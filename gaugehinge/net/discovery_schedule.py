"""When discovery is polled, how long a poll may take, and how long to pause after one that failed.

A poll is a long poll: it asks for changes since a version and states a wait. Discovery answers as soon as
there is a change, or without one at the end of the wait. A poll times out if the answer has not arrived a
further time, the grace, after the wait. A full poll asks for the whole list and is answered at once.

Worst case: a change that a silent watch misses counts as notified 6 s after the watch fell silent, or 2 s
after the wait of the open poll ended, whichever is later. The worst is a watch that falls silent just as a
poll is sent, at time T:

- The poll times out at T + LONG_POLL_WAIT + RESPONSE_GRACE = T + 3.75.
- A new connection polls by T + 4.0 (RECONNECT_JITTER). Its answer is due at once.
- If that connection is silent too, another one polls by T + 5.3 (RECONNECT_WAIT + RECONNECT_GRACE +
  RECONNECT_JITTER).

That leaves 0.7 s of the 6 s for the last answer. If the poll had been open for longer, the limits are later.
"""

from __future__ import annotations

import zlib
from math import inf
from typing import NamedTuple

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
        self.initial_grace = RESPONSE_GRACE if local_agent else INITIAL_GRACE
        self.full_poll_at = inf  # clock time at which the whole list is polled as a check
        self._seed = seed
        self._empty_lists = 0  # in a row
        self._draws = 0

    def initial(self) -> PollTiming:
        """Return the timing of a watch's first poll."""
        return PollTiming(INITIAL_WAIT, self.initial_grace)

    def subsequent(self) -> PollTiming:
        """Return the timing of a poll after one that was answered."""
        return PollTiming(LONG_POLL_WAIT - LONG_POLL_JITTER * self._random_fraction(), RESPONSE_GRACE)

    def after_failure(self) -> PollTiming:
        """Return the timing of the first poll after one that failed."""
        return PollTiming(RECONNECT_WAIT, RECONNECT_GRACE)

    def reconnect_delay(self) -> float:
        """Return the delay in seconds before a watch that timed out reconnects."""
        return RECONNECT_JITTER * self._random_fraction()

    def agent_retry_delay(self) -> float:
        """Return the delay in seconds after a failed poll of an agent on this machine."""
        return AGENT_RETRY_DELAY

    def on_discovery_moved(self) -> None:
        """Shorten the first grace: a new address's list counts as notified 4 s after the order to move."""
        self.initial_grace = RESPONSE_GRACE

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
