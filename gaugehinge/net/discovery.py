"""Discovery over HTTP: a watch that follows the list of servers."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from enum import Enum, auto
from math import inf

import trio
from loguru import logger

from ..settings import SettingsError
from .configuration import Address
from .discovery_watch import ENDPOINTS_PATH, Watch
from .endpoint_list import EndpointListUpdate
from .timer_queue import TimerQueue

INITIAL_WAIT = 0.5  # of a watch: soon known to be held, it need not be asked for again
INITIAL_GRACE = 2.0  # over that: a discovery with too many callers is slow, and asking again makes it slower
MIN_POLL_INTERVAL = 0.05  # between calls that are answered at once; a watch goes on for 200 ms

# One clock for silence: what a watch misses counts as told 6 s after it fell silent, or 2 s after the wait of
# the call that stood open, if that is later. The worst is a watch that falls silent just when its call goes
# out, at T: that is noticed at T + LONG_POLL_WAIT + RESPONSE_GRACE = T + 3.75 and asked anew by T + 4.0 (RECONNECT_JITTER), where an
# answer is due at once; silent once more, it is asked a third time by T + 5.3 (RECONNECT_WAIT + RECONNECT_GRACE +
# RECONNECT_JITTER), so that 0.7 s of the 6 are left for that answer. A call that stood open longer has later limits.
LONG_POLL_WAIT = 2.5  # of further calls, less up to LONG_POLL_JITTER: after a change all routers' calls go out together,
LONG_POLL_JITTER = 0.5  # and where those fall silent they must not all be begun anew in one instant
RESPONSE_GRACE = 1.25  # over the wait of such a call
RECONNECT_JITTER = 0.25  # at most, before a watch that fell silent is begun anew
RECONNECT_WAIT = 0.05  # of its first call
RECONNECT_GRACE = 1.0  # over that
MAX_RECONNECTS = 2  # silences in a row; then the call has failed, and the module says when to make the next
FULL_POLL_DELAY = 5.0  # behind a move that went on by versions, the whole list is asked for after this
FULL_POLL_JITTER = 30.0  # and up to so much: those of a whole fleet at once took discovery half a minute
AGENT_RETRY_DELAY = 0.1  # after a failed call to an agent on this machine: what it holds counts as told at once


class WatchEnd(Enum):
    """Why a watch ended."""

    FAILED = auto()  # refused, reset, or answered with an error
    TIMED_OUT = auto()
    INVALID_LIST = auto()  # a list that cannot be read


class DiscoveryClient:
    """Holds one watch at a time."""

    def __init__(
        self,
        nursery: trio.Nursery,
        timers: TimerQueue,
        address: Address,
        version: int | None,
        on_update: Callable[[EndpointListUpdate], None],
        on_failure: Callable[[], None],
        seed: int = 0,
        local_agent: bool = False,
    ) -> None:
        """`local_agent`: lists are pushed to an agent here, which is asked again at once, whatever it answers."""
        self.nursery = nursery
        self.timers = timers
        self.address = address
        self.version = version
        self.on_update = on_update
        self.on_failure = on_failure
        self.seed = seed
        self.local_agent = local_agent
        self.agent_unreachable = False  # the agent
        self.moved = False  # and nothing heard there yet: versions may be others there
        self.newest_version = version  # the version of the last list taken
        self._older_full_list_seen = False  # an older whole list came since
        self.full_poll_at = inf  # when the whole list is asked for, to be sure of it
        self.initial_grace = RESPONSE_GRACE if local_agent else INITIAL_GRACE
        self._draws = 0
        self._watching: trio.CancelScope | None = None

    def move(self, address: Address) -> None:
        """Discovery is found elsewhere, and may count its versions anew.

        It is asked by the version had, and the whole list only once that shows another count, or later. Asked
        for by all at once, whole lists took longer to give than a change may take to be known, and calls were
        turned away: routers went on for 12 s by the list of before, and sent to servers that drained.
        The old watch ends with this. A list that it still brought would undo what the new one told.
        """
        self.address, self.moved = address, True
        if self.local_agent:
            self.version = None
        self.initial_grace = RESPONSE_GRACE  # what is found there counts as told 4 s after the order
        if self._watching is not None:
            self._watching.cancel()

    def start_watch(self) -> None:
        """Begin a watch, in place of one that has not answered."""
        if self._watching is not None:
            self._watching.cancel()
        self._watching = trio.CancelScope()
        self.nursery.start_soon(self._run_watch, self._watching)

    async def _run_watch(self, scope: trio.CancelScope) -> None:
        watch = Watch(self.address, self.timers)
        try:
            with scope:
                await self._watch_and_reconnect(watch, scope)
                if not scope.cancel_called:
                    self.on_failure()
        except Exception:
            logger.exception("a watch failed")
            self.on_failure()
        finally:
            watch.close()

    async def _watch_and_reconnect(self, watch: Watch, scope: trio.CancelScope) -> None:
        """One watch after the other, for as long as it is the connection that fails and not the service."""
        wait, grace, again = INITIAL_WAIT, self.initial_grace, 0
        while not scope.cancel_called:
            watch.answered = False
            end = await self._poll_until_failure(watch, scope, wait, grace)
            if scope.cancel_called:
                return
            again = 1 if watch.answered else again + 1
            if end is WatchEnd.TIMED_OUT and (again <= MAX_RECONNECTS or self.local_agent):
                # At once: all that the silent one missed counts as told soon, and a pause of the module's, as
                # after a refusal, took up to 1.5 s of the 6.
                if again == 1:
                    logger.info("a watch fell silent at version {}: begun anew", self.version)
                await trio.sleep(RECONNECT_JITTER * self._random())
            elif self.local_agent:
                if not self.agent_unreachable:
                    self.agent_unreachable = True
                    logger.warning("the agent is away at version {}: asked every {} s", self.version, AGENT_RETRY_DELAY)
                await trio.sleep(AGENT_RETRY_DELAY)
            else:
                return
            wait, grace = RECONNECT_WAIT, RECONNECT_GRACE

    async def _poll_until_failure(self, watch: Watch, scope: trio.CancelScope, wait: float, grace: float) -> WatchEnd:
        """Call after call, until one fails."""
        while True:
            asked = self.timers.clock()
            whole = self.version is None or asked >= self.full_poll_at
            target = ENDPOINTS_PATH if whole else f"{ENDPOINTS_PATH}?index={self.version}&wait={int(wait * 1000)}"
            open_for = 0.0 if whole else wait  # the whole list is not waited for
            if whole:
                self._schedule_full_poll()  # should this call fail
            try:
                update = await watch.poll(target, open_for + grace)
            except SettingsError as bad:
                if scope.cancel_called:
                    return WatchEnd.INVALID_LIST
                logger.warning("bad list: {}", bad)
                self.version = None  # changes on top of what was not understood would not add up
                return WatchEnd.INVALID_LIST
            if update is None or scope.cancel_called:  # it may have come just when the watch was ended
                if self.moved and watch.timed_out and not scope.cancel_called:
                    self.version = None  # one that counts otherwise may wait for a version far away
                return WatchEnd.TIMED_OUT if watch.timed_out else WatchEnd.FAILED
            watch.answered = True
            if self._is_stale(update):
                watch.close()
                await trio.sleep(RECONNECT_JITTER * self._random())
                continue
            if update.complete:
                self.full_poll_at = inf
            elif self.moved:
                self._schedule_full_poll()
            self.moved = False
            if self.agent_unreachable:
                self.agent_unreachable = False
                logger.info("the agent is back at version {}", update.rev)
            self.on_update(update)
            self.version = self.newest_version = update.rev  # only now: what could not be used must be told again
            if self.timers.clock() - asked < MIN_POLL_INTERVAL:
                await trio.sleep(MIN_POLL_INTERVAL)  # one that answers at once, whatever the wait, must not be run against
            wait, grace = LONG_POLL_WAIT - LONG_POLL_JITTER * self._random(), RESPONSE_GRACE

    def _is_stale(self, update: EndpointListUpdate) -> bool:
        """Whether a list is not to be taken, and the whole one to be asked for on a new connection.

        An older list, of a copy of the service that is behind, would undo what a newer one told: a server
        that drains came back by it. One that counts anew says the same once more, and is believed then.
        """
        if self.newest_version is None or update.rev >= self.newest_version or self.local_agent:
            self._older_full_list_seen = False
            return False
        self.version = None
        if not update.complete:
            return True
        self._older_full_list_seen = not self._older_full_list_seen
        return self._older_full_list_seen and not self.moved

    def _schedule_full_poll(self) -> None:
        part = zlib.crc32(b"%d whole" % self.seed) / 4294967296.0  # each its own, the same each time
        self.full_poll_at = self.timers.clock() + FULL_POLL_DELAY + FULL_POLL_JITTER * part

    def _random(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d watch %d" % (self.seed, self._draws)) / 4294967296.0
