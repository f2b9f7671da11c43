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
from .discovery_watch import PATH, Watch
from .endpoint_list import EndpointListUpdate
from .timer_queue import TimerQueue

FIRST_WAIT = 0.5  # of a watch: soon known to be held, it need not be asked for again
FIRST_SILENCE = 2.0  # over that: a discovery with too many callers is slow, and asking again makes it slower
PACE = 0.05  # between calls that are answered at once; a watch goes on for 200 ms

# One clock for silence: what a watch misses counts as told 6 s after it fell silent, or 2 s after the wait of
# the call that stood open, if that is later. The worst is a watch that falls silent just when its call goes
# out, at T: that is noticed at T + WAIT + SILENCE = T + 3.75 and asked anew by T + 4.0 (SPREAD), where an
# answer is due at once; silent once more, it is asked a third time by T + 5.3 (AGAIN_WAIT + AGAIN_SILENCE +
# SPREAD), so that 0.7 s of the 6 are left for that answer. A call that stood open longer has later limits.
WAIT = 2.5  # of further calls, less up to WAIT_SPREAD: after a change all routers' calls go out together,
WAIT_SPREAD = 0.5  # and where those fall silent they must not all be begun anew in one instant
SILENCE = 1.25  # over the wait of such a call
SPREAD = 0.25  # at most, before a watch that fell silent is begun anew
AGAIN_WAIT = 0.05  # of its first call
AGAIN_SILENCE = 1.0  # over that
MOST_AGAIN = 2  # silences in a row; then the call has failed, and the module says when to make the next
WHOLE_FROM = 5.0  # behind a move that went on by versions, the whole list is asked for after this
WHOLE_SPREAD = 30.0  # and up to so much: those of a whole fleet at once took discovery half a minute
NEAR_PAUSE = 0.1  # after a failed call to an agent on this machine: what it holds counts as told at once


class End(Enum):
    """Why a watch ended."""

    FAILED = auto()  # refused, reset, or answered with an error
    SILENT = auto()
    BAD = auto()  # a list that cannot be read


class DiscoveryClient:
    """Holds one watch at a time."""

    def __init__(
        self,
        nursery: trio.Nursery,
        timers: TimerQueue,
        where: Address,
        rev: int | None,
        heard: Callable[[EndpointListUpdate], None],
        failed: Callable[[], None],
        seed: int = 0,
        near: bool = False,
    ) -> None:
        """`near`: lists are pushed to an agent here, which is asked again at once, whatever it answers."""
        self.nursery = nursery
        self.timers = timers
        self.where = where
        self.rev = rev
        self.heard = heard
        self.failed = failed
        self.seed = seed
        self.near = near
        self.away = False  # the agent
        self.moved = False  # and nothing heard there yet: versions may be others there
        self.newest = rev  # the version of the last list taken
        self.doubted = False  # an older whole list came since
        self.whole_at = inf  # when the whole list is asked for, to be sure of it
        self.first_silence = SILENCE if near else FIRST_SILENCE
        self._draws = 0
        self._watching: trio.CancelScope | None = None

    def move(self, where: Address) -> None:
        """Discovery is found elsewhere, and may count its versions anew.

        It is asked by the version had, and the whole list only once that shows another count, or later. Asked
        for by all at once, whole lists took longer to give than a change may take to be known, and calls were
        turned away: routers went on for 12 s by the list of before, and sent to servers that drained.
        The old watch ends with this. A list that it still brought would undo what the new one told.
        """
        self.where, self.moved = where, True
        if self.near:
            self.rev = None
        self.first_silence = SILENCE  # what is found there counts as told 4 s after the order
        if self._watching is not None:
            self._watching.cancel()

    def follow(self) -> None:
        """Begin a watch, in place of one that has not answered."""
        if self._watching is not None:
            self._watching.cancel()
        self._watching = trio.CancelScope()
        self.nursery.start_soon(self._follow, self._watching)

    async def _follow(self, scope: trio.CancelScope) -> None:
        watch = Watch(self.where, self.timers)
        try:
            with scope:
                await self._keep(watch, scope)
                if not scope.cancel_called:
                    self.failed()
        except Exception:
            logger.exception("a watch failed")
            self.failed()
        finally:
            watch.hang_up()

    async def _keep(self, watch: Watch, scope: trio.CancelScope) -> None:
        """One watch after the other, for as long as it is the connection that fails and not the service."""
        wait, silence, again = FIRST_WAIT, self.first_silence, 0
        while not scope.cancel_called:
            watch.answered = False
            end = await self._watch(watch, scope, wait, silence)
            if scope.cancel_called:
                return
            again = 1 if watch.answered else again + 1
            if end is End.SILENT and (again <= MOST_AGAIN or self.near):
                # At once: all that the silent one missed counts as told soon, and a pause of the module's, as
                # after a refusal, took up to 1.5 s of the 6.
                if again == 1:
                    logger.info("a watch fell silent at version {}: begun anew", self.rev)
                await trio.sleep(SPREAD * self._chance())
            elif self.near:
                if not self.away:
                    self.away = True
                    logger.warning("the agent is away at version {}: asked every {} s", self.rev, NEAR_PAUSE)
                await trio.sleep(NEAR_PAUSE)
            else:
                return
            wait, silence = AGAIN_WAIT, AGAIN_SILENCE

    async def _watch(self, watch: Watch, scope: trio.CancelScope, wait: float, silence: float) -> End:
        """Call after call, until one fails."""
        while True:
            asked = self.timers.clock()
            whole = self.rev is None or asked >= self.whole_at
            target = PATH if whole else f"{PATH}?index={self.rev}&wait={int(wait * 1000)}"
            open_for = 0.0 if whole else wait  # the whole list is not waited for
            if whole:
                self._ask_whole_later()  # should this call fail
            try:
                update = await watch.call(target, open_for + silence)
            except SettingsError as bad:
                if scope.cancel_called:
                    return End.BAD
                logger.warning("bad list: {}", bad)
                self.rev = None  # changes on top of what was not understood would not add up
                return End.BAD
            if update is None or scope.cancel_called:  # it may have come just when the watch was ended
                if self.moved and watch.silent and not scope.cancel_called:
                    self.rev = None  # one that counts otherwise may wait for a version far away
                return End.SILENT if watch.silent else End.FAILED
            watch.answered = True
            if self._is_older(update):
                watch.hang_up()
                await trio.sleep(SPREAD * self._chance())
                continue
            if update.complete:
                self.whole_at = inf
            elif self.moved:
                self._ask_whole_later()
            self.moved = False
            if self.away:
                self.away = False
                logger.info("the agent is back at version {}", update.rev)
            self.heard(update)
            self.rev = self.newest = update.rev  # only now: what could not be used must be told again
            if self.timers.clock() - asked < PACE:
                await trio.sleep(PACE)  # one that answers at once, whatever the wait, must not be run against
            wait, silence = WAIT - WAIT_SPREAD * self._chance(), SILENCE

    def _is_older(self, update: EndpointListUpdate) -> bool:
        """Whether a list is not to be taken, and the whole one to be asked for on a new connection.

        An older list, of a copy of the service that is behind, would undo what a newer one told: a server
        that drains came back by it. One that counts anew says the same once more, and is believed then.
        """
        if self.newest is None or update.rev >= self.newest or self.near:
            self.doubted = False
            return False
        self.rev = None
        if not update.complete:
            return True
        self.doubted = not self.doubted
        return self.doubted and not self.moved

    def _ask_whole_later(self) -> None:
        part = zlib.crc32(b"%d whole" % self.seed) / 4294967296.0  # each its own, the same each time
        self.whole_at = self.timers.clock() + WHOLE_FROM + WHOLE_SPREAD * part

    def _chance(self) -> float:
        self._draws += 1
        return zlib.crc32(b"%d watch %d" % (self.seed, self._draws)) / 4294967296.0
