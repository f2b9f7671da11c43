"""Placement at a router: what the keeper told, held to at the door and before each attempt.

Whoever is cut off from the keeper cannot know what was pinned since. So with its lease over a router serves
no `only` shard and answers no repeat of a deduplicated write with an attempt; and after the longer time
`alone` it serves no tenant at all, for any key may have been pinned by then. The clock is read before each
attempt: one that stood still must not act by what it knew before.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from zlib import crc32

import msgspec
import trio
from loguru import logger

from ..hosted.control_plane_watch import ControlPlaneWatch
from ..hosted.errors import FeedError
from ..hosted.feed_parts import FeedPart
from ..net.dispatcher import FAILED_REPLY, busy_reply
from ..net.endpoint_list import EndpointListUpdate
from ..net.service import Service
from ..routing.types import Attempt, Effect, EndpointState, Operation
from ..tenancy.feed import POLL_WAIT, Feed
from ..tenancy.lease import HeldLease
from .forms import MOST_DOUBTS, MOST_SERVERS, Doubt, KeeperTold, RouterTold, Slice, Told
from .servers import digest_of, slices
from .shards import ANYWHERE, NOWHERE, Pin, Row, Table

LEAST_WAIT = 0.2  # seconds that a call to the keeper stands open at least
LEAST_SLACK = 0.5  # and so much longer until it counts as failed
WAITS = 3.0  # calls in the time of a lease
LIST_AGAIN = 10.0  # seconds after which a list that the keeper does not have is told again
AWAY = 1.0  # seconds that clients of a shard that is not served stay away, about


class Placing(FeedPart):
    """A part of the feed; a transformer of endpoint lists, a routing constraint and an attempt policy."""

    name = "placement"

    def __init__(
        self, service: Service, follower: ControlPlaneWatch, clock: Callable[[], float] = trio.current_time
    ) -> None:
        """`clock`: the follower's, by which it says when a call was sent."""
        self.service, self.follower, self.clock = service, follower, clock
        self.table = Table()
        self.lease, self.alone = HeldLease(), HeldLease()
        self.store = ""
        self.have, self.mark = 0, ""
        self.asked_at = 0.0  # the question whose answer was heard last
        self.clear = 0
        self.strays: set[Attempt] = set()  # out by an older table to where this one would not send them
        self.doubts: dict[tuple[int, str], Row] = {}  # acted by, and unknown to an older copy of the store
        self.doubts_since = 0
        self.unsure: dict[str, float] = {}  # by the keeper's word
        self.relabelled: dict[str, float] = {}  # by what the list told here; follows the list
        self.servers: dict[str, Told] = {}  # follows the list
        self.left: dict[str, Told] = {}  # as they were when they left it; MOST_SERVERS of them
        self.zones: dict[int, tuple[str, str, float]] = {}  # by the module's number: uid, zone, started
        self.slices: list[Slice] = []  # still to be told
        self.told_digest, self.told_list_at = "", 0.0
        self.listed = False  # discovery was heard; before that there is no list to tell, not an empty one
        self.cut_off = False
        self.bounced = 0  # operations for want of a lease, since it was lost
        self._draws = count()

    # -- the list of servers

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate:
        """Follow the list, and leave it as it is.

        A server that stands in another zone than before without a start is neither's.
        """
        origin = self.service.configuration.settings.deployment.origin_kind
        self.listed = self.listed or not cached
        if update.complete:
            named = {target.uid for target in update.targets}
            for uid in [uid for uid in self.servers if uid not in named]:
                self._leave(uid)
        for listing, uid, _ in update.targets:
            if listing.state is EndpointState.GONE or listing.kind == origin:
                self._leave(uid)
                continue
            before = self.servers.get(uid) or self.left.pop(uid, None)
            # Nor one whose start goes back: that list is older than one that was told before, and where the
            # server started since, it stands elsewhere now.
            if before is not None and listing.started <= before[3] and before[1] != listing.zone:
                self.relabelled[uid] = listing.started
                logger.warning("server {} in zone {} and not {} with no start", uid, listing.zone, before[1])
            up = listing.state is EndpointState.UP
            self.servers[uid] = (uid, listing.zone, listing.weight, listing.started, up)
            self.zones[listing.ident] = uid, listing.zone, listing.started
        self.zones = {i: each for i, each in self.zones.items() if each[0] in self.servers}
        started = {uid: told[3] for uid, told in self.servers.items()}
        self.relabelled = {uid: at for uid, at in self.relabelled.items() if started.get(uid) == at}
        return update

    def _leave(self, uid: str) -> None:
        """It left the list. Should it come back with no start, it must not pass for one of another zone."""
        told = self.servers.pop(uid, None)
        if told is not None:
            self.left[uid] = told
            while len(self.left) > MOST_SERVERS:
                del self.left[next(iter(self.left))]

    # -- the keeper

    def report(self) -> bytes:
        """What goes with the next call."""
        pending = self.service.pool.pending
        self.strays = {attempt for attempt in self.strays if attempt in pending}
        if not self.strays:
            self.clear = self.have
        doubts = tuple(
            Doubt(row.incarnation, row.shard, row.prefixes, self.doubts_since)
            for row in list(self.doubts.values())[:MOST_DOUBTS]
        )
        part = self.slices.pop(0) if self.slices else None
        return msgspec.json.encode(RouterTold(self.have, self.mark, self.clear, part, doubts))

    def hear(self, feed: Feed, asked_at: float) -> None:
        """The keeper told. Raises FeedError."""
        body = feed.parts.get(self.name)
        if body is None:
            raise FeedError("the keeper has no placement")
        told = msgspec.json.decode(body, type=KeeperTold)
        if asked_at < self.asked_at:
            raise FeedError("placement: the answer to an older question than one that was answered")
        if not told.whole and (feed.store_id != self.store or told.revision < self.have):
            raise FeedError("placement: changes of another store, or of the past")
        if told.back and feed.store_id == self.store:
            self._doubt(told)
        elif feed.store_id != self.store:
            self.doubts.clear()
        standing = self.follower.registry.by_incarnation
        self.doubts = {ident: row for ident, row in self.doubts.items() if ident[0] in standing}
        gone = [tuple(ident) for ident in told.gone]
        rows = [row for row in told.rows if self._settles(row)]
        self.table.change([*rows, *self.doubts.values()], gone, told.whole)
        self.store, self.have, self.mark = feed.store_id, told.revision, told.mark
        self.asked_at = asked_at
        self.unsure = dict(told.unsure)
        if told.rows or told.gone or told.whole:
            self.strays.update(attempt for attempt in self.service.pool.pending if not self._fits(attempt))
        self.lease.renew(asked_at, told.lease)
        self.alone.renew(asked_at, told.alone)
        self._keep_pace(told.lease)
        if self.cut_off and self.lease.is_valid(self.clock()):
            logger.info("placement: lease again, revision {}, {} bounced", self.have, self.bounced)
            self.cut_off, self.bounced = False, 0
        self._list_to_tell(told.servers)

    def away(self) -> None:
        """A call failed: the lease runs out by itself."""

    def ready(self) -> bool:
        """Whether a lease is held: with none `only` shards are bounced. For `recovery`."""
        return self.lease.is_valid(self.clock())

    def _keep_pace(self, lease: float) -> None:
        if lease:
            self.follower.limit_wait(max(min(POLL_WAIT, lease / WAITS), LEAST_WAIT))
            self.follower.limit_slack(max(lease / WAITS, LEAST_SLACK))

    def _list_to_tell(self, keepers: str) -> None:
        if not self.listed or self.slices or len(self.servers) > MOST_SERVERS:
            return
        servers = [told for _, told in sorted(self.servers.items())]
        digest = digest_of(servers)
        again = not keepers or self.clock() > self.told_list_at + LIST_AGAIN
        if digest != keepers and (digest != self.told_digest or again):
            self.slices, self.told_digest = slices(servers), digest
            self.told_list_at = self.clock()

    def _doubt(self, told: KeeperTold) -> None:
        """The store is an older copy. What was pinned here by `only`, and differs there, is held by nobody's
        word: it is served nowhere until its tenant has spoken anew."""
        theirs = {row.ident: row for row in told.rows}
        standing = self.follower.registry.by_incarnation
        for ident, row in self.table.rows.items():
            other = theirs.get(ident)
            if row.terms is None or not row.terms.only or ident[0] not in standing:
                continue
            if other is None or other.terms != row.terms:
                self.doubts[ident] = msgspec.structs.replace(row, terms=NOWHERE, held=True)
        self.doubts_since = told.revision
        logger.warning("placement: the keeper's store is an older copy, {} pins in doubt", len(self.doubts))

    def _settles(self, row: Row) -> bool:
        """Whether a row counts: one that is newer than the doubt of its shard ends that."""
        if row.ident not in self.doubts:
            return True
        if row.rev <= self.doubts_since:
            return False
        del self.doubts[row.ident]
        return True

    # -- operations

    def constrain(self, operation: Operation) -> bytes | None:
        """As the dispatcher takes it: the operation's regions, or its reply at once."""
        pin = self.table.find(operation.key)
        if not self.lease.is_valid(self.clock()):
            reply = self._cut_off(operation, pin, operation.is_client_retry)
            if reply is not None:
                return reply
        if pin is None:
            return None
        if pin.held and operation.is_client_retry and _marked(operation):
            return FAILED_REPLY
        if not pin.regions:
            return self.busy_reply()
        operation.regions = pin.regions
        return None

    def may_send(self, attempt: Attempt) -> bool:
        """Before each attempt's bytes: whether it may go. What may not is answered, or goes elsewhere."""
        operation = attempt.operation
        pin = self.table.find(operation.key)
        again = operation.is_client_retry or operation.may_have_run_on is not None
        if not self.lease.is_valid(self.clock()):
            reply = self._cut_off(operation, pin, again)
            if reply is not None:
                self._refuse(operation, reply)
                return False
        if pin is None and operation.regions == ANYWHERE:
            return True
        regions = pin.regions if pin is not None else ANYWHERE
        if regions != operation.regions:
            # Its shard moved since it came. What ran in the old place is not dropped in the new one.
            if operation.may_have_run_on is not None and _marked(operation):
                self._refuse(operation, FAILED_REPLY)
                return False
            operation.regions = regions
        if pin is not None and pin.held and operation.is_client_retry and _marked(operation):
            self._refuse(operation, FAILED_REPLY)
            return False
        if not regions:
            self._refuse(operation, self.busy_reply())
            return False
        return attempt.endpoint.origin or self._inside(attempt, regions)

    def _inside(self, attempt: Attempt, regions: tuple) -> bool:
        if regions[-1] is None:
            return True
        uid, zone, started = self.zones.get(attempt.endpoint.ident, ("", "", 0.0))
        if self.unsure.get(uid) == started or self.relabelled.get(uid) == started:
            return False
        return zone == attempt.endpoint.zone and any(zone in region for region in regions)

    def _fits(self, attempt: Attempt) -> bool:
        pin = self.table.find(attempt.operation.key)
        return pin is None or attempt.endpoint.origin or self._inside(attempt, pin.regions or (frozenset(),))

    def _cut_off(self, operation: Operation, pin: Pin | None, again: bool) -> bytes | None:
        """Without a lease: the answer of what cannot be served safely, None for the rest."""
        if not self.cut_off:
            self.cut_off = True
            logger.warning("placement: no lease, revision {}: `only` shards are bounced", self.have)
        safe = self.alone.is_valid(self.clock()) and not (pin is not None and pin.only)
        if safe and not (again and _marked(operation)):
            return None
        self.bounced += 1
        if operation.may_have_run_on is not None and operation.traffic_type.effect is not Effect.IDEMPOTENT:
            return FAILED_REPLY
        return self.busy_reply()

    def _refuse(self, operation: Operation, reply: bytes) -> None:
        ran = operation.may_have_run_on is not None and operation.traffic_type.effect is not Effect.IDEMPOTENT
        self.service.dispatcher.reject(operation, FAILED_REPLY if ran else reply)

    def busy_reply(self) -> bytes:
        """A bounce with a time, spread: all that wait for one thing must not come back at once."""
        longest = self.service.configuration.settings.deployment.max_retry_after
        draw = crc32(b"%d" % next(self._draws)) / 0x100000000
        return busy_reply(min(AWAY * (0.5 + draw), longest) if longest else 0.0)


def _marked(operation: Operation) -> bool:
    return operation.is_write and operation.traffic_type.effect is Effect.WITH_IDEMPOTENCY_KEY
