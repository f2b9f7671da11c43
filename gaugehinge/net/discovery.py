"""Discovery over HTTP: a watch that follows the list of servers."""

from __future__ import annotations

import socket
from collections.abc import Callable

import h11
import trio
from loguru import logger

from ..charter import BadCharter, parse
from .berth import Address
from .bulletin import Bulletin, read_bulletin
from .deadlines import Deadlines
from .origin import Answer, Talk
from .pool import Broken
from .sockets import connect, receive, send_all, shut, tcp

PATH = "/discovery/hosts"
MOST_LIST = 4 << 20  # bytes of an answer
FIRST_WAIT = 0.5  # of a watch: soon known to be held, it need not be asked for again
WAIT = 5.0  # of its further calls: a discovery that fell silent is noticed after this and
PACE = 0.05  # between calls that are answered at once; a watch goes on for 200 ms
SILENCE = 3.0  # so much over the wait of a call


class Watch:
    """One watch and its connection."""

    def __init__(self, where: Address, deadlines: Deadlines) -> None:
        self.where = where
        self.deadlines = deadlines
        self._raw: socket.socket | None = None
        self._talk = Talk(MOST_LIST)

    async def call(self, target: str, most_time: float) -> Bulletin | None:
        """The list that a GET brings; None where the call fails. Raises BadCharter on a bad one."""
        body = None
        with self.deadlines.within(most_time) as limit:
            body = await self._fetch(target)
        if limit.cancelled_caught or body is None:
            self.hang_up()
            return None
        try:
            return read_bulletin(parse(body.decode()))
        except UnicodeDecodeError:
            raise BadCharter("the whole: not UTF-8") from None

    async def _fetch(self, target: str) -> bytes | None:
        while True:
            fresh = self._raw is None
            try:
                answer = await self._get(target)
            except (OSError, Broken, h11.LocalProtocolError):
                self.hang_up()
                if fresh:
                    return None
                continue  # it closed between two calls
            if not answer.keep:
                self.hang_up()
            return answer.body if answer.status == 200 else None

    async def _get(self, target: str) -> Answer:
        """A GET, on the connection of the last call if that is still there."""
        if self._raw is None:
            self._raw = tcp(self.where)
            self._talk = Talk(MOST_LIST)
            await connect(self._raw, self.where)
        host = f"{self.where[0]}:{self.where[1]}".encode()
        await send_all(self._raw, self._talk.request("GET", target, [("Host", host)]))
        answer = None
        while answer is None:
            answer = self._talk.answer(await receive(self._raw))
        return answer

    def hang_up(self) -> None:
        if self._raw is not None:
            shut(self._raw)
        self._raw = None


class Discovery:
    """Holds one watch at a time."""

    def __init__(
        self, nursery: trio.Nursery, deadlines: Deadlines, where: Address, rev: int | None,
        heard: Callable[[Bulletin], None], failed: Callable[[], None],
    ) -> None:
        self.nursery = nursery
        self.deadlines = deadlines
        self.where = where
        self.rev = rev
        self.heard = heard
        self.failed = failed
        self._watching: trio.CancelScope | None = None

    def move(self, where: Address) -> None:
        """Discovery is found elsewhere, and may count its versions anew: the whole list is asked for there.

        The old watch ends with this. A list that it still brought would undo what the new one told.
        """
        self.where, self.rev = where, None
        if self._watching is not None:
            self._watching.cancel()

    def follow(self) -> None:
        """Begin a watch, in place of one that has not answered."""
        if self._watching is not None:
            self._watching.cancel()
        self._watching = trio.CancelScope()
        self.nursery.start_soon(self._follow, self._watching)

    async def _follow(self, scope: trio.CancelScope) -> None:
        watch = Watch(self.where, self.deadlines)
        try:
            with scope:
                await self._watch(watch, scope)
                if not scope.cancel_called:
                    self.failed()
        except Exception:
            logger.exception("a watch failed")
            self.failed()
        finally:
            watch.hang_up()

    async def _watch(self, watch: Watch, scope: trio.CancelScope) -> None:
        """Call after call, until one fails."""
        wait = FIRST_WAIT
        while True:
            asked = self.deadlines.clock()
            target = PATH if self.rev is None else f"{PATH}?index={self.rev}&wait={int(wait * 1000)}"
            try:
                bulletin = await watch.call(target, wait + SILENCE)
            except BadCharter as bad:
                if scope.cancel_called:
                    return
                logger.warning("bad list: {}", bad)
                self.rev = None  # changes on top of what was not understood would not add up
                return
            if bulletin is None or scope.cancel_called:  # it may have come just when the watch was ended
                return
            self.heard(bulletin)
            self.rev = bulletin.rev  # only now: what could not be used must be told again
            if self.deadlines.clock() - asked < PACE:
                await trio.sleep(PACE)  # one that answers at once, whatever the wait, must not be run against
            wait = WAIT
