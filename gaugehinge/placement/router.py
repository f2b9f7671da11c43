"""Placement at a router: what the keeper told, held to at the door and before each attempt.

Whoever is cut off from the keeper cannot know what was pinned since. So with its lease over a router serves
no `only` shard and answers no repeat of a deduplicated write with an attempt; and after the longer time
`alone` it serves no tenant at all, for any key may have been pinned by then. The clock is read before each
attempt: one that stood still must not act by what it knew before.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Any
from zlib import crc32

import msgspec
import trio
from loguru import logger

from ..hosted.follower import Follower
from ..hosted.roster import BadFeed
from ..net.dispatch import FAILED, busy
from ..net.list_update import ListUpdate
from ..net.service import Service
from ..tenancy.feed import WAIT, Feed
from ..tenancy.lease import Held
from ..terms import Attempt, Effect, Operation, Presence
from .affinity import ANYWHERE, NOWHERE
from .messages import (
    MAX_LOST_PINS,
    MAX_SERVERS,
    ControlPlaneUpdate,
    LostPin,
    ReportedServer,
    RouterReport,
    ServerListChunk,
)
from .server_inventory import server_list_digest, split_server_list
from .shard_table import KeyPlacement, ShardAssignment, ShardTable

MIN_POLL_WAIT = 0.2  # seconds that a call to the keeper stands open at least
MIN_POLL_SLACK = 0.5  # and so much longer until it counts as failed
POLLS_PER_LEASE = 3.0  # calls in the time of a lease
LIST_RESEND_INTERVAL = 10.0  # seconds after which a list that the keeper does not have is told again
REJECT_RETRY_AFTER = 1.0  # seconds that clients of a shard that is not served stay away, about


class RouterPlacement:
    """The part of the follower."""

    name = "placement"

    def __init__(
        self, service: Service, follower: Follower, clock: Callable[[], float] = trio.current_time
    ) -> None:
        """`clock`: the follower's, by which it says when a call was sent."""
        self.service, self.follower, self.clock = service, follower, clock
        self.table = ShardTable()
        self.lease, self.isolation = Held(), Held()
        self.store = ""
        self.revision, self.revision_digest = 0, ""
        self.asked_at = 0.0  # the question whose answer was heard last
        self.effective_revision = 0
        self.misplaced: set[Attempt] = set()  # out by an older table to where this one would not send them
        self.lost_pins: dict[
            tuple[int, str], ShardAssignment
        ] = {}  # acted by, and unknown to an older copy of the store
        self.lost_pins_revision = 0
        self.reported_relabelled: dict[str, float] = {}  # by the keeper's word
        self.relabelled: dict[str, float] = {}  # by what the list told here; follows the list
        self.servers: dict[str, ReportedServer] = {}  # follows the list
        self.departed: dict[str, ReportedServer] = {}  # as they were when they left it; MAX_SERVERS of them
        self.zones: dict[int, tuple[str, str, float]] = {}  # by the module's number: uid, zone, started
        self.pending_chunks: list[ServerListChunk] = []  # still to be told
        self.sent_digest, self.list_sent_at = "", 0.0
        self.listed = False  # discovery was heard; before that there is no list to tell, not an empty one
        self.cut_off = False
        self.rejected = 0  # operations for want of a lease, since it was lost
        self._draws = count()
        self._hear_list = service.dispatch.hear_list
        service.dispatch.hear_list = self.hear_list
        service.dispatch.place = self.place
        service.pool.guard = self.guard

    # -- the list of servers

    def hear_list(self, update: ListUpdate, held: bool = False) -> None:
        """Follow the list. A server that stands in another zone than before without a start is neither's."""
        origin = self.service.configuration.charter.deployment.origin_kind
        self.listed = self.listed or not held
        if update.whole:
            named = {target.uid for target in update.targets}
            for uid in [uid for uid in self.servers if uid not in named]:
                self._remember_departed(uid)
        for listing, uid, _ in update.targets:
            if listing.presence is Presence.GONE or listing.kind == origin:
                self._remember_departed(uid)
                continue
            before = self.servers.get(uid) or self.departed.pop(uid, None)
            # Nor one whose start goes back: that list is older than one that was told before, and where the
            # server started since, it stands elsewhere now.
            if before is not None and listing.started <= before[3] and before[1] != listing.zone:
                self.relabelled[uid] = listing.started
                logger.warning("server {} in zone {} and not {} with no start", uid, listing.zone, before[1])
            up = listing.presence is Presence.UP
            self.servers[uid] = (uid, listing.zone, listing.weight, listing.started, up)
            self.zones[listing.ident] = uid, listing.zone, listing.started
        self.zones = {i: each for i, each in self.zones.items() if each[0] in self.servers}
        started = {uid: told[3] for uid, told in self.servers.items()}
        self.relabelled = {uid: at for uid, at in self.relabelled.items() if started.get(uid) == at}
        self._hear_list(update, held)

    def _remember_departed(self, uid: str) -> None:
        """It left the list. Should it come back with no start, it must not pass for one of another zone."""
        told = self.servers.pop(uid, None)
        if told is not None:
            self.departed[uid] = told
            while len(self.departed) > MAX_SERVERS:
                del self.departed[next(iter(self.departed))]

    # -- the keeper

    def report(self) -> bytes:
        """What goes with the next call."""
        pending = self.service.pool.pending
        self.misplaced = {attempt for attempt in self.misplaced if attempt in pending}
        if not self.misplaced:
            self.effective_revision = self.revision
        doubts = tuple(
            LostPin(row.incarnation, row.shard, row.prefixes, self.lost_pins_revision)
            for row in list(self.lost_pins.values())[:MAX_LOST_PINS]
        )
        part = self.pending_chunks.pop(0) if self.pending_chunks else None
        return msgspec.json.encode(
            RouterReport(self.revision, self.revision_digest, self.effective_revision, part, doubts)
        )

    def hear(self, feed: Feed, asked_at: float) -> None:
        """The keeper told. Raises BadFeed."""
        body = feed.parts.get(self.name)
        if body is None:
            raise BadFeed("the keeper has no placement")
        told = msgspec.json.decode(body, type=ControlPlaneUpdate)
        if asked_at < self.asked_at:
            raise BadFeed("placement: the answer to an older question than one that was answered")
        if not told.is_complete and (feed.store != self.store or told.revision < self.revision):
            raise BadFeed("placement: changes of another store, or of the past")
        if told.history_lost and feed.store == self.store:
            self._mark_lost_pins(told)
        elif feed.store != self.store:
            self.lost_pins.clear()
        standing = self.follower.roster.by_incarnation
        self.lost_pins = {ident: row for ident, row in self.lost_pins.items() if ident[0] in standing}
        gone = [tuple(ident) for ident in told.removed]
        rows = [row for row in told.assignments if self._accepts(row)]
        self.table.change([*rows, *self.lost_pins.values()], gone, told.is_complete)
        self.store, self.revision, self.revision_digest = feed.store, told.revision, told.revision_digest
        self.asked_at = asked_at
        self.reported_relabelled = dict(told.relabelled)
        if told.assignments or told.removed or told.is_complete:
            self.misplaced.update(
                attempt for attempt in self.service.pool.pending if not self._is_allowed(attempt)
            )
        self.lease.renew(asked_at, told.lease)
        self.isolation.renew(asked_at, told.isolation_limit)
        self._adjust_polling(told.lease)
        if self.cut_off and self.lease.good(self.clock()):
            logger.info("placement: lease again, revision {}, {} bounced", self.revision, self.rejected)
            self.cut_off, self.rejected = False, 0
        self._queue_server_list(told.server_list_digest)

    def away(self) -> None:
        """A call failed: the lease runs out by itself."""

    def ready(self) -> bool:
        """Whether a lease is held: with none `only` shards are bounced. For `recovery`."""
        return self.lease.good(self.clock())

    def _adjust_polling(self, lease: float) -> None:
        if lease:
            self.follower.wait = min(
                self.follower.wait, max(min(WAIT, lease / POLLS_PER_LEASE), MIN_POLL_WAIT)
            )
            self.follower.slack = min(self.follower.slack, max(lease / POLLS_PER_LEASE, MIN_POLL_SLACK))

    def _queue_server_list(self, keepers: str) -> None:
        if not self.listed or self.pending_chunks or len(self.servers) > MAX_SERVERS:
            return
        servers = [told for _, told in sorted(self.servers.items())]
        digest = server_list_digest(servers)
        again = not keepers or self.clock() > self.list_sent_at + LIST_RESEND_INTERVAL
        if digest != keepers and (digest != self.sent_digest or again):
            self.pending_chunks, self.sent_digest = split_server_list(servers), digest
            self.list_sent_at = self.clock()

    def _mark_lost_pins(self, told: ControlPlaneUpdate) -> None:
        """The store is an older copy. What was pinned here by `only`, and differs there, is held by nobody's
        word: it is served nowhere until its tenant has spoken anew."""
        theirs = {row.key: row for row in told.assignments}
        standing = self.follower.roster.by_incarnation
        for ident, row in self.table.rows.items():
            other = theirs.get(ident)
            if row.affinity is None or not row.affinity.required or ident[0] not in standing:
                continue
            if other is None or other.affinity != row.affinity:
                self.lost_pins[ident] = msgspec.structs.replace(row, affinity=NOWHERE, retries_blocked=True)
        self.lost_pins_revision = told.revision
        logger.warning(
            "placement: the keeper's store is an older copy, {} pins in doubt", len(self.lost_pins)
        )

    def _accepts(self, row: ShardAssignment) -> bool:
        """Whether a row counts: one that is newer than the doubt of its shard ends that."""
        if row.key not in self.lost_pins:
            return True
        if row.revision <= self.lost_pins_revision:
            return False
        del self.lost_pins[row.key]
        return True

    # -- operations

    def place(self, operation: Operation) -> bytes | None:
        """At the door: the operation's regions, or its answer at once."""
        pin = self.table.find(operation.key)
        if not self.lease.good(self.clock()):
            reply = self._reject_without_lease(operation, pin, operation.repeat)
            if reply is not None:
                return reply
        if pin is None:
            return None
        if pin.retries_blocked and operation.repeat and _has_idempotency_key(operation):
            return FAILED
        if not pin.regions:
            return self.busy()
        operation.regions = pin.regions
        return None

    def guard(self, attempt: Attempt) -> bool:
        """Before each attempt's bytes: whether it may go. What may not is answered, or goes elsewhere."""
        operation = attempt.operation
        pin = self.table.find(operation.key)
        again = operation.repeat or operation.ran_at is not None
        if not self.lease.good(self.clock()):
            reply = self._reject_without_lease(operation, pin, again)
            if reply is not None:
                self._reject(operation, reply)
                return False
        if pin is None and operation.regions == ANYWHERE:
            return True
        regions = pin.regions if pin is not None else ANYWHERE
        if regions != operation.regions:
            # Its shard moved since it came. What ran in the old place is not dropped in the new one.
            if operation.ran_at is not None and _has_idempotency_key(operation):
                self._reject(operation, FAILED)
                return False
            operation.regions = regions
        if pin is not None and pin.retries_blocked and operation.repeat and _has_idempotency_key(operation):
            self._reject(operation, FAILED)
            return False
        if not regions:
            self._reject(operation, self.busy())
            return False
        return attempt.server.origin or self._inside(attempt, regions)

    def _inside(self, attempt: Attempt, regions: tuple) -> bool:
        if regions[-1] is None:
            return True
        uid, zone, started = self.zones.get(attempt.server.ident, ("", "", 0.0))
        if self.reported_relabelled.get(uid) == started or self.relabelled.get(uid) == started:
            return False
        return zone == attempt.server.zone and any(zone in region for region in regions)

    def _is_allowed(self, attempt: Attempt) -> bool:
        pin = self.table.find(attempt.operation.key)
        return pin is None or attempt.server.origin or self._inside(attempt, pin.regions or (frozenset(),))

    def _reject_without_lease(
        self, operation: Operation, pin: KeyPlacement | None, again: bool
    ) -> bytes | None:
        """Without a lease: the answer of what cannot be served safely, None for the rest."""
        if not self.cut_off:
            self.cut_off = True
            logger.warning("placement: no lease, revision {}: `only` shards are bounced", self.revision)
        safe = self.isolation.good(self.clock()) and not (pin is not None and pin.required)
        if safe and not (again and _has_idempotency_key(operation)):
            return None
        self.rejected += 1
        if operation.ran_at is not None and operation.traffic.effect is not Effect.IDEMPOTENT:
            return FAILED
        return self.busy()

    def _reject(self, operation: Operation, reply: bytes) -> None:
        ran = operation.ran_at is not None and operation.traffic.effect is not Effect.IDEMPOTENT
        self.service.dispatch.refuse(operation, FAILED if ran else reply)

    def busy(self) -> bytes:
        """A bounce with a time, spread: all that wait for one thing must not come back at once."""
        longest = self.service.configuration.charter.deployment.longest_come_back
        draw = crc32(b"%d" % next(self._draws)) / 0x100000000
        return busy(min(REJECT_RETRY_AFTER * (0.5 + draw), longest) if longest else 0.0)


def _has_idempotency_key(operation: Operation) -> bool:
    return operation.write and operation.traffic.effect is Effect.DEDUPLICATED


def attach_placement(service: Service, follower: Follower, **more: Any) -> RouterPlacement:
    """Switch placement on at a router that follows a keeper."""
    part = RouterPlacement(service, follower, **more)
    follower.parts.append(part)
    return part
