"""When discovery is polled, how long a poll may take, and how long to pause after one that failed.

A poll asks for changes since a version and names a wait: discovery answers as soon as there is a change, and
with no change at the end of the wait (a long poll). What has not come some time after that, the grace, counts
as timed out. A full poll asks for the whole list and is answered at once.

The worst case. What a silent watch misses counts as notified 6 s after it fell silent, or 2 s after the wait
of the poll that was open, if that is later. The worst is a watch that falls silent just as a poll goes out,
at time T:

- The poll times out at T + LONG_POLL_WAIT + RESPONSE_GRACE = T + 3.75.
- A new connection polls by T + 4.0 (RECONNECT_JITTER). An answer is due at once.
- Silent once more, it is followed by another one by T + 5.3 (RECONNECT_WAIT + RECONNECT_GRACE +
  RECONNECT_JITTER).

That leaves 0.7 s of the 6 for the last answer. A poll that was open for longer has later limits.
"""

from __future__ import annotations

import zlib
from math import inf
from typing import NamedTuple

# All times are in seconds.
INITIAL_WAIT = 0.5  # of a watch's first poll: once that was held this long, it need not be repeated
# A discovery with too many callers is slow, and polling it again makes it slower.
INITIAL_GRACE = 2.0
# Of further polls, less a random part of LONG_POLL_JITTER: after a change the polls of all routers go out
# together, and where those time out, the routers must not all reconnect in one instant.
LONG_POLL_WAIT = 2.5
LONG_POLL_JITTER = 0.5
RESPONSE_GRACE = 1.25
RECONNECT_JITTER = 0.25  # at most, before a watch that timed out reconnects
RECONNECT_WAIT = 0.05  # of the first poll after that
RECONNECT_GRACE = 1.0
MAX_RECONNECTS = 2  # after this many timeouts in a row the decision module says when to poll again
# Where a new discovery went on with the version that was known, the whole list is polled after this delay and
# a part of the jitter that is each router's own: whole lists for a whole fleet at once took discovery half a
# minute.
FULL_POLL_DELAY = 5.0
FULL_POLL_JITTER = 30.0
AGENT_RETRY_DELAY = 0.1  # after a failed poll of an agent on this machine: what it has counts as notified
# A whole list that names nobody may be a mistake of the service: the whole list is polled again, first at
# once, then after this delay, which doubles up to the longest one. A part of RECONNECT_JITTER comes on top.
EMPTY_LIST_RECHECK_DELAY = 0.5
MAX_EMPTY_LIST_RECHECK_DELAY = 2.0
MAX_STALL = 0.2  # seconds for which the router may be held up, within the grace that drains have
MIN_POLL_INTERVAL = 0.05  # between polls that are answered at once; discovery keeps a watch for 0.2 s

MAX_DOUBLINGS = 8  # more make no difference to a delay that has a limit
CRC32_RANGE = 1 << 32  # of crc32


class PollTiming(NamedTuple):
    """The times of one poll, in seconds."""

    wait: float  # for which discovery may hold it
    grace: float  # for the answer after that


class DiscoverySchedule:
    """The times of one router's polls. Its jitter is drawn from the seed, the same each time."""

    def __init__(self, seed: int, local_agent: bool) -> None:
        """`local_agent`: discovery is an agent on this machine, which is never slow."""
        self.initial_grace = RESPONSE_GRACE if local_agent else INITIAL_GRACE
        self.full_poll_at = inf  # by the clock; then the whole list is polled, to be sure of it
        self._seed = seed
        self._empty_lists = 0  # in a row
        self._draws = 0

    def initial(self) -> PollTiming:
        """The times of a watch's first poll."""
        return PollTiming(INITIAL_WAIT, self.initial_grace)

    def subsequent(self) -> PollTiming:
        """The times of the poll after one that was answered."""
        return PollTiming(LONG_POLL_WAIT - LONG_POLL_JITTER * self._random_fraction(), RESPONSE_GRACE)

    def after_failure(self) -> PollTiming:
        """The times of the first poll after one that failed."""
        return PollTiming(RECONNECT_WAIT, RECONNECT_GRACE)

    def reconnect_delay(self) -> float:
        """How long to pause before a watch that timed out reconnects."""
        return RECONNECT_JITTER * self._random_fraction()

    def agent_retry_delay(self) -> float:
        """How long to pause after a failed poll of an agent on this machine."""
        return AGENT_RETRY_DELAY

    def on_discovery_moved(self) -> None:
        """Discovery is at a new address: what it has there counts as notified 4 s after the order."""
        self.initial_grace = RESPONSE_GRACE

    def postpone_full_poll(self, now: float) -> None:
        """Poll the whole list some time from now."""
        fraction = zlib.crc32(b"%d whole" % self._seed) / CRC32_RANGE
        self.full_poll_at = now + FULL_POLL_DELAY + FULL_POLL_JITTER * fraction

    def empty_list_recheck_delay(self) -> float:
        """How long to pause after a whole list that named nobody before it is polled again."""
        self._empty_lists += 1
        if self._empty_lists == 1:
            return MIN_POLL_INTERVAL
        delay = EMPTY_LIST_RECHECK_DELAY * 2.0 ** min(self._empty_lists - 2, MAX_DOUBLINGS)
        return min(delay, MAX_EMPTY_LIST_RECHECK_DELAY) + self.reconnect_delay()

    def schedule_empty_list_recheck(self, now: float) -> None:
        """Poll the whole list again, since the last one, which is believed now, named nobody."""
        self.full_poll_at = now + self.empty_list_recheck_delay()

    def empty_list_hold(self, drain_grace: float) -> float:
        """How long the list before may be used past one that names nobody.

        A server that a list does not name counts as gone, and what is sent there past the grace breaks the
        rule on drains.
        """
        return max(drain_grace - MAX_STALL, 0.0)

    def cancel_full_poll(self) -> None:
        """The whole list has come, and names servers."""
        self.full_poll_at = inf
        self._empty_lists = 0

    def _random_fraction(self) -> float:
        """From 0 up to 1."""
        self._draws += 1
        return zlib.crc32(b"%d watch %d" % (self._seed, self._draws)) / CRC32_RANGE
