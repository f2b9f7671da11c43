"""Follows the keeper: calls for news, carries changes out, keeps a snapshot, reports what is in hand.

With the keeper away the router serves on by what it heard last; so it does after a crash, by its snapshot.
What was changed meanwhile it does not know: a tenant that was removed is served for as long as the router is
cut off, in its own space, which nobody else is ever given.
"""

from __future__ import annotations

import os
import secrets
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Protocol
from zlib import crc32

import httpx
import msgspec
import trio
from loguru import logger
from xxhash import xxh3_128_hexdigest

from ..net.endpoint_list import EndpointListUpdate
from ..net.service import Service
from ..tenancy.feed import POLL_WAIT, Feed, Report
from .overlay import Overlay
from .roster import BadFeed, Change, Roster

FIRST_PAUSE, MOST_PAUSE = 0.2, 0.8  # seconds after a call that failed; doubled, a part of it by chance:
# one that was cut off is to know within a second what it missed
CONNECT_TIME = 2.0
SLACK = 5.0  # over the wait, for an answer
MOST_FEED = 16 << 20  # bytes
SAVE_REST = 0.1  # seconds between two snapshots: of many changes at once the last one counts


class Snapshot:
    """What was heard last, in a file: a digest, then the feed. Blocking; used from a thread."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        # A name of its own: the process before may be amid the same, and both would write into one file.
        self.part = self.path.with_name(f"{self.path.name}.{secrets.token_hex(4)}.part")

    def save(self, feed: Feed) -> None:
        """Whole or not at all. Raises OSError."""
        body = msgspec.json.encode(feed)
        number = os.open(self.part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)  # hashes are in it
        with os.fdopen(number, "wb") as file:
            file.write(xxh3_128_hexdigest(body).encode() + b"\n" + body)
            file.flush()
            os.fsync(file.fileno())
        self.part.replace(self.path)

    def load(self) -> Feed | None:
        """None where there is none. Raises BadFeed where it is not whole."""
        for left in self.path.parent.glob(f"{self.path.name}.*.part"):
            with suppress(OSError):
                left.unlink()  # of a process that was killed amid it
        try:
            told, _, body = self.path.read_bytes().partition(b"\n")
            if told.decode() != xxh3_128_hexdigest(body):
                raise BadFeed("snapshot: not whole")
            return msgspec.json.decode(body, type=Feed)
        except FileNotFoundError:
            return None
        except (OSError, ValueError, msgspec.MsgspecError) as bad:
            raise BadFeed(f"snapshot: {bad}") from None


class Part(Protocol):
    """A subsystem's side of the feed at a router: `placement`, `drains`, `recovery`."""

    name: str  # as in Report.parts and Feed.parts

    def report(self) -> bytes | None:
        """JSON that goes with the next call; None: nothing to say."""

    def hear(self, feed: Feed, asked_at: float) -> None:
        """An answer came to the call that was sent at `asked_at` (seconds, `trio.current_time`). All of the
        feed is at hand, its own part in `feed.parts`. Raises BadFeed, and then nothing has changed in it."""

    def away(self) -> None:
        """A call failed. Leases run out by the clock alone; this is for what wants to say so early."""


class Follower:
    """One router's following."""

    def __init__(
        self,
        service: Service,
        roster: Roster,
        overlay: Overlay,
        client: httpx.AsyncClient,
        snapshot: Snapshot | None,
        places: int,
    ) -> None:
        """`client`: with the keeper's address and the secret; `places`: of the door's tables."""
        self.service = service
        self.roster = roster
        self.overlay = overlay
        self.client = client
        self.snapshot = snapshot
        self.places = places
        self.on_endpoints_changed: Callable[..., None] = (
            service.dispatcher.on_endpoints_changed
        )  # below the overlay
        self.run_mark = os.urandom(8).hex()
        self.away_since = 0.0  # 0: the keeper answers
        self.heard_at = 0.0
        self.calls = 0
        self._failures = 0
        self._dirty = trio.Event()
        self.run_number = 0  # told with each report; `recovery` counts it on the router's files
        self.parts: list[Part] = []  # as switched on by the installation file; fixed before `run`
        self.first_wait = 0.0  # seconds before the first call
        self.weigh: Callable[[Feed], Feed] | None = None  # what of a feed is followed; may raise BadFeed
        self.wait = POLL_WAIT  # seconds that a call may stand open; less where leases are short
        self.first_at_once = False  # no call stands open until one was heard: it asks who is there
        self.slack = SLACK  # over that, until a call counts as failed; less where leases are short
        self.read_secret: Callable[[], str] | None = None  # again, where the keeper knows it no more

    # -- the start

    def begin(self) -> None:
        """Take the snapshot, if there is a good one; lay orders over the list from now on."""
        self.service.dispatcher.on_endpoints_changed = self._hear_list
        if self.snapshot is None:
            return
        try:
            feed = self.snapshot.load()
            if feed is not None:
                self._carry_out(self.roster.hear(feed))
                told = f"revision {feed.revision}, {len(feed.tenants)} tenants"
                logger.info("tenants as in the snapshot: {}", told)
        except BadFeed as bad:
            logger.warning("snapshot not used: {}", bad)

    def _hear_list(self, update: EndpointListUpdate, held: bool = False) -> None:
        self.on_endpoints_changed(self.overlay.on_endpoints_changed(update), held)

    # -- news

    async def run(self) -> None:
        """Call for news until cancelled."""
        async with trio.open_nursery() as nursery:
            if self.snapshot is not None:
                nursery.start_soon(self._save)
            await trio.sleep(self.first_wait)
            while True:
                try:
                    asked_at = trio.current_time()
                    feed = await self._call()
                    if self.weigh is not None:
                        feed = self.weigh(feed)
                    before = self.roster.revision
                    self._carry_out(self.roster.hear(feed))
                    for part in self.parts:
                        part.hear(feed, asked_at)
                except (httpx.HTTPError, msgspec.MsgspecError, BadFeed, BadSecret, Refused) as bad:
                    await trio.sleep(self._failed(bad))
                    continue
                self._heard(before)

    async def _call(self) -> Feed:
        roster = self.roster
        said = {part.name: part.report() for part in self.parts}
        wait = 0.0 if self.first_at_once and not self.heard_at else self.wait
        report = Report(
            self.service.configuration.name,
            self.run_mark,
            roster.store,
            roster.revision,
            wait,
            self.in_hand(),
            self.run_number,
            {name: msgspec.Raw(body) for name, body in said.items() if body is not None},
            roster.mark,
        )
        self.calls += 1
        with trio.move_on_after(CONNECT_TIME + wait + self.slack):
            answer = await self.client.post("/v1/feed", content=msgspec.json.encode(report))
            if answer.status_code == 401 and self.read_secret is not None:
                # A keeper whose disk was lost has none of the secrets. Routers that read theirs at the start
                # alone would all have to be restarted for a new one, and none would be let leave in turn.
                self.client.headers["Authorization"] = f"Bearer {self.read_secret()}"
            if answer.status_code != 200:
                raise Refused(f"status {answer.status_code}")
            if len(answer.content) > MOST_FEED:
                raise BadFeed("too long")
            return msgspec.json.decode(answer.content, type=Feed)
        raise Refused("no answer in time")

    def in_hand(self) -> dict[str, int]:
        """Operations by incarnation, those that wait at the door among them."""
        counts: Counter[bytes] = Counter()
        for exchange in self.service.dispatcher.pending_operations:
            counts[exchange.payload.key.partition(b"/")[0]] += 1
        door = self.service.clients.admission_control
        if door is not None:
            for waiting in door.waiting():
                counts[waiting.thing.payload.key.partition(b"/")[0]] += 1
        return {str(int(number, 16)): count for number, count in counts.items()}

    def _failed(self, bad: Exception) -> float:
        """The keeper is away, or says nonsense; how long until the next call."""
        now = trio.current_time()
        for part in self.parts:
            part.away()
        if not self.away_since:
            self.away_since = now
            what = str(bad) or type(bad).__name__
            state = f"revision {self.roster.revision}, {len(self.roster.by_incarnation)} tenants"
            logger.warning("keeper away: {}; serving on by {}", what, state)
        self._failures += 1
        chance = crc32(f"{self.run_mark} {self._failures}".encode()) / 0x100000000
        return min(FIRST_PAUSE * 2.0 ** min(self._failures - 1, 8), MOST_PAUSE) * (0.5 + 0.5 * chance)

    def _heard(self, before: int) -> None:
        now = trio.current_time()
        if self.away_since:
            span, after = now - self.away_since, self.roster.revision
            logger.info("keeper back after {:.1f} s: revision {} to {}", span, before, after)
        self.away_since, self._failures, self.heard_at = 0.0, 0, now
        if self.roster.revision != before:
            self._dirty.set()

    def _carry_out(self, change: Change | None) -> None:
        for log in (self.roster.log, self.overlay.log):
            for text in log:
                logger.info(text)
            log.clear()
        if change is None:
            return
        self.service.dispatcher.router.on_tenants_changed(change.tenants, change.anew)
        door = self.service.clients.admission_control
        if door is not None:
            shares = [tenant.quota for tenant in change.tenants[: self.places]]
            door.share([*shares, *[0.0] * (self.places - len(shares))])
        if change.drained is not None:
            update = self.overlay.order(change.drained)
            if update is not None:
                self.on_endpoints_changed(update)
            self._carry_out(None)

    # -- the snapshot

    async def _save(self) -> None:
        while True:
            await self._dirty.wait()
            self._dirty = trio.Event()
            try:
                await trio.to_thread.run_sync(self.snapshot.save, self.roster.snapshot())
            except OSError as bad:  # the disk is the snapshot's matter alone
                logger.warning("snapshot not written: {}", bad)
            await trio.sleep(SAVE_REST)


class BadSecret(ValueError):
    """The file with the secret cannot be used."""


class Refused(Exception):
    """The keeper did not tell."""
