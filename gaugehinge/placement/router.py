"""Placement at a router: enforces the assignments on each new operation and before each attempt.

A router that is cut off from the control plane cannot know what has been pinned since. So once its lease has
expired it serves no required shard, and makes no attempt for a retry of a write with an idempotency key.
After the longer isolation limit it serves no tenant at all, as any key may have been pinned by then. The
clock is read before each attempt: a process that was suspended must not act on outdated knowledge.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Any
from zlib import crc32

import msgspec
import trio
from loguru import logger

from ..hosted.control_plane_watch import ControlPlaneWatch
from ..hosted.feed_parts import FeedPart
from ..net.dispatcher import FAILED_REPLY, busy_reply
from ..net.endpoint_list import EndpointListUpdate
from ..net.service import Service
from ..routing.types import Attempt, Operation
from ..tenancy.feed import POLL_WAIT, Feed
from ..tenancy.lease import HeldLease
from .affinity import ANYWHERE, SearchOrder
from .feed_errors import ForeignChangesError, PlacementMissingError, StaleAnswerError
from .lost_pins import LostPins
from .messages import ControlPlaneUpdate, RouterReport
from .retry_rules import blocks_retry, has_idempotency_key, may_have_run
from .server_list import ServerList
from .shard_table import KeyPlacement, ShardTable

MIN_POLL_WAIT = 0.2  # seconds; lower bound of how long a call to the control plane is kept open
MIN_POLL_SLACK = 0.5  # seconds; lower bound of the extra time until a call counts as failed
POLLS_PER_LEASE = 3.0
REJECT_RETRY_AFTER = 1.0  # seconds; average, sent to clients of a shard that is not served
NO_ZONE: SearchOrder = (frozenset(),)


class RouterPlacement(FeedPart):
    """Placement as a feed part, transformer of endpoint lists, routing constraint and attempt policy."""

    name = "placement"

    def __init__(
        self, service: Service, follower: ControlPlaneWatch, clock: Callable[[], float] = trio.current_time
    ) -> None:
        """`clock`: the clock by which the follower states when a call was sent."""
        self.service, self.follower, self.clock = service, follower, clock
        self.table = ShardTable()
        self.servers = ServerList(clock)
        self.lost_pins = LostPins()
        self.lease = HeldLease()
        self.isolation = HeldLease()  # limits how long tenants are served at all
        self.store = ""  # id of the store that the table is from
        self.revision = 0  # of the store that the table follows
        self.revision_digest = ""
        self.asked_at = 0.0  # when the call was sent whose answer was applied last
        self.effective_revision = 0  # the newest revision by which no attempt in flight is misplaced
        self.misplaced: set[Attempt] = set()  # in flight to servers that the current table does not allow
        self.cut_off = False  # no lease is valid, and an operation was checked since
        self.rejected = 0  # operations rejected for lack of a lease, since it was lost
        self._draws = count()

    def transform(self, update: EndpointListUpdate, cached: bool) -> EndpointListUpdate:
        """Record the update of discovery's list and return it unchanged."""
        origin_kind = self.service.configuration.settings.deployment.origin_kind
        self.servers.update(update, cached, origin_kind)
        return update

    # -- the control plane

    def report(self) -> bytes:
        """Return the `RouterReport` for the next call, as JSON."""
        pending = self.service.pool.pending
        self.misplaced = {attempt for attempt in self.misplaced if attempt in pending}
        if not self.misplaced:
            self.effective_revision = self.revision
        return msgspec.json.encode(
            RouterReport(
                self.revision,
                self.revision_digest,
                self.effective_revision,
                self.servers.next_chunk(),
                self.lost_pins.report(),
            )
        )

    def hear(self, feed: Feed, asked_at: float) -> None:
        """Apply an answer of the control plane to the call that was sent at `asked_at`.

        Raises FeedError if the answer cannot be used; nothing has changed then.
        """
        update = self._read_update(feed, asked_at)
        self._update_lost_pins(feed, update)
        self._update_table(feed, update)
        self.asked_at = asked_at
        self.servers.set_reported_relabelled(update.relabelled)
        if update.assignments or update.removed or update.is_complete:
            self._find_misplaced()
        self.lease.renew(asked_at, update.lease)
        self.isolation.renew(asked_at, update.isolation_limit)
        self._adjust_polling(update.lease)
        self._log_lease_renewed()
        self.servers.prepare_report(update.server_list_digest)

    def _read_update(self, feed: Feed, asked_at: float) -> ControlPlaneUpdate:
        body = feed.parts.get(self.name)
        if body is None:
            raise PlacementMissingError
        update = msgspec.json.decode(body, type=ControlPlaneUpdate)
        if asked_at < self.asked_at:
            raise StaleAnswerError
        continues = feed.store_id == self.store and update.revision >= self.revision
        if not update.is_complete and not continues:
            raise ForeignChangesError
        return update

    def _update_lost_pins(self, feed: Feed, update: ControlPlaneUpdate) -> None:
        incarnations = self.follower.registry.by_incarnation
        if feed.store_id != self.store:
            self.lost_pins.clear()
        elif update.history_lost:
            self.lost_pins.compare(self.table, update, incarnations)
        self.lost_pins.keep_only(incarnations)

    def _update_table(self, feed: Feed, update: ControlPlaneUpdate) -> None:
        accepted = [assignment for assignment in update.assignments if self.lost_pins.accepts(assignment)]
        lost = self.lost_pins.assignments.values()
        known_conflicts = set(self.table.conflicts())
        self.table.update([*accepted, *lost], update.removed, update.is_complete)
        for conflict in set(self.table.conflicts()) - known_conflicts:
            logger.warning(
                "placement: prefix {!r} of tenant #{} is claimed by shards {} and {}: the latter is ignored",
                conflict.prefix,
                conflict.incarnation,
                conflict.shard,
                conflict.ignored_shard,
            )
        self.store = feed.store_id
        self.revision = update.revision
        self.revision_digest = update.revision_digest

    def _find_misplaced(self) -> None:
        pending = self.service.pool.pending
        self.misplaced.update(attempt for attempt in pending if not self._is_allowed(attempt))

    def _is_allowed(self, attempt: Attempt) -> bool:
        placement = self.table.find(attempt.operation.key)
        return placement is None or self._endpoint_allowed(attempt, placement.regions or NO_ZONE)

    def _endpoint_allowed(self, attempt: Attempt, regions: SearchOrder) -> bool:
        """Whether an attempt's endpoint may get a key that is pinned to regions. The origin always may."""
        server: Any = attempt.endpoint
        return server.origin or self.servers.allows(server, regions)

    def ready(self) -> bool:
        """Whether a valid lease is held; without one, required shards are rejected. Used by `recovery`."""
        return self.lease.is_valid(self.clock())

    def _adjust_polling(self, lease: float) -> None:
        """Shorten calls to the control plane so that a short lease is renewed in time."""
        if lease:
            wait = max(min(POLL_WAIT, lease / POLLS_PER_LEASE), MIN_POLL_WAIT)
            slack = max(lease / POLLS_PER_LEASE, MIN_POLL_SLACK)
            self.follower.limit_wait(wait)
            self.follower.limit_slack(slack)

    def _log_lease_renewed(self) -> None:
        if self.cut_off and self.lease.is_valid(self.clock()):
            logger.info(
                "placement: lease renewed at revision {}; {} operations were rejected without one",
                self.revision,
                self.rejected,
            )
            self.cut_off, self.rejected = False, 0

    # -- operations

    def constrain(self, operation: Operation) -> bytes | None:
        """Set the regions of a new operation, or return its reply if it must not be routed."""
        placement = self.table.find(operation.key)
        if not self.lease.is_valid(self.clock()):
            reply = self._reply_without_lease(operation, placement, operation.is_client_retry)
            if reply is not None:
                return reply
        if placement is None:
            return None
        if blocks_retry(placement, operation):
            return FAILED_REPLY
        if not placement.regions:
            return self.busy()
        operation.regions = placement.regions
        return None

    def may_send(self, attempt: Attempt) -> bool:
        """Whether an attempt may be sent. Called before its bytes are written.

        If not, the operation is either answered here or has to be tried at another endpoint.
        """
        operation = attempt.operation
        placement = self.table.find(operation.key)
        if not self.lease.is_valid(self.clock()):
            is_retry = operation.is_client_retry or operation.may_have_run_on is not None
            reply = self._reply_without_lease(operation, placement, is_retry)
            if reply is not None:
                self._reject(operation, reply)
                return False
        if placement is None and operation.regions == ANYWHERE:
            return True
        reply = self._update_regions(operation, placement)
        if reply is not None:
            self._reject(operation, reply)
            return False
        return self._endpoint_allowed(attempt, operation.regions)

    def _update_regions(self, operation: Operation, placement: KeyPlacement | None) -> bytes | None:
        """Set the regions of an operation whose shard may have moved meanwhile, or return its reply."""
        regions = placement.regions if placement is not None else ANYWHERE
        if regions != operation.regions:
            # Servers of the new regions would not recognise a write that already ran in the old ones.
            if operation.may_have_run_on is not None and has_idempotency_key(operation):
                return FAILED_REPLY
            operation.regions = regions
        if placement is not None and blocks_retry(placement, operation):
            return FAILED_REPLY
        return None if regions else self.busy()

    def _reply_without_lease(
        self, operation: Operation, placement: KeyPlacement | None, is_retry: bool
    ) -> bytes | None:
        """Return the reply for an operation that cannot be served safely without a lease, else None."""
        if not self.cut_off:
            self.cut_off = True
            logger.warning(
                "placement: no valid lease at revision {}; operations on `only` shards are rejected",
                self.revision,
            )
        required = placement is not None and placement.required
        blocked = is_retry and has_idempotency_key(operation)
        if self.isolation.is_valid(self.clock()) and not required and not blocked:
            return None
        self.rejected += 1
        return FAILED_REPLY if may_have_run(operation) else self.busy()

    def _reject(self, operation: Operation, reply: bytes) -> None:
        self.service.dispatcher.reject(operation, FAILED_REPLY if may_have_run(operation) else reply)

    def busy(self) -> bytes:
        """Return a rejection whose Retry-After is spread so that clients do not all retry at once."""
        longest = self.service.configuration.settings.deployment.max_retry_after
        draw = crc32(b"%d" % next(self._draws)) / 0x100000000
        return busy_reply(min(REJECT_RETRY_AFTER * (0.5 + draw), longest) if longest else 0.0)
