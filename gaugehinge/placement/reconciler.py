"""Advances shards through the stages of their lifecycle, as routers catch up and deadlines pass."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass

import msgspec
from loguru import logger

from ..admin.config import PlacementConfig
from ..store.async_store import AsyncStore
from ..store.records import Mutation, encode
from ..store.store import Store
from .lease_tracker import LeaseTracker
from .lifecycle import SETTLED_STAGES, Event, Stage, transition
from .messages import LostPin
from .quarantine import quarantine_changes
from .records import SHARD, ShardRecord, former_rates, lifecycle_of, with_lifecycle
from .server_availability import ServerAvailability
from .server_snapshots import add_present_servers
from .shard_index import ShardIndex
from .shard_table import ShardKey
from .zone_changes import relabelled_changes

RECONCILE_INTERVAL = 0.1  # seconds between passes while any shard is in progress
IDLE_INTERVAL = 2.0  # seconds between passes while no shard is in progress
MAX_PENDING_LOST_PINS = 1024
IN_PROGRESS_STAGES = (Stage.PREPARING, Stage.MIGRATING, Stage.REMOVING)
AUTHOR = "keeper"  # author of the control plane's own changes in the audit log


@dataclass(slots=True, frozen=True)
class PendingShard:
    """A shard that the control plane has to advance, with its record as of a store revision."""

    record_id: str
    record: ShardRecord
    revision: int


@dataclass(slots=True, frozen=True)
class DueEvent:
    """An event that is due for a shard record, which has to be unchanged since `revision`."""

    record_id: str
    revision: int
    event: Event


class ConditionTimer:
    """Tracks since when each condition has held without interruption."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock`: monotonic seconds."""
        self.clock = clock
        self._since: dict[Hashable, float] = {}

    def has_lasted(self, key: Hashable, holds: bool, seconds: float) -> bool:
        """Whether a condition holds and has held for `seconds`.

        Has to be called repeatedly: an interruption between two calls goes unnoticed.
        """
        if not holds:
            self._since.pop(key, None)
            return False
        return self.clock() - self._since.setdefault(key, self.clock()) >= seconds

    def keep_only(self, keys: set[Hashable]) -> None:
        """Forget all conditions except these."""
        self._since = {key: since for key, since in self._since.items() if key in keys}


class Reconciler:
    """Decides which shards advance, and commits that to the store before routers are told."""

    def __init__(
        self,
        store_writer: AsyncStore,
        index: ShardIndex,
        servers: ServerAvailability,
        leases: LeaseTracker,
        settings: PlacementConfig,
        clock: Callable[[], float],
    ) -> None:
        """`settings`: gives the in-flight limit and the deduplication window; `clock`: monotonic seconds."""
        self.store_writer = store_writer
        self.index = index
        self.servers = servers
        self.leases = leases
        self.flight_time = float(settings.flight)  # seconds; an attempt has arrived by then, or never will
        self.deduplication_window = float(settings.memory)
        self.timer = ConditionTimer(clock)
        self.lost_pins: dict[ShardKey, LostPin] = {}  # not yet stored; at most MAX_PENDING_LOST_PINS
        self.relabelled_zones: set[str] = set()  # zones that a server changed from or to; not yet stored

    @property
    def has_work(self) -> bool:
        """Whether a reconcile pass has anything to do."""
        return bool(self.index.needs_work or self.lost_pins or self.relabelled_zones)

    def report_lost_pin(self, lost: LostPin) -> None:
        """Queue a pin that a router acted by and that the store does not have, for the next pass."""
        if len(self.lost_pins) < MAX_PENDING_LOST_PINS:
            self.lost_pins[ShardKey(lost.incarnation, lost.shard)] = lost

    async def reconcile(self) -> float:
        """Run one pass, and return the seconds until the next one.

        Raises RevisionConflictError if a shard was changed during the pass, and other errors of the store.
        """
        await self._record_reports()
        pending = await self.store_writer.run_sync(self._pending_shards)
        self.timer.keep_only({(shard.record_id, shard.revision) for shard in pending})
        events = self._due_events(pending)
        if events:
            await self.store_writer.apply_planned(lambda store, now: self._apply(store, now, events), AUTHOR)
        return self._time_to_next(pending)

    async def _record_reports(self) -> None:
        """Store the lost pins and relabelled servers that routers reported."""
        if not (self.lost_pins or self.relabelled_zones):
            return
        lost_pins, zones = dict(self.lost_pins), set(self.relabelled_zones)
        await self.store_writer.apply_planned(
            lambda store, now: self._report_changes(store, now, lost_pins, zones), AUTHOR
        )
        for key in lost_pins:
            self.lost_pins.pop(key, None)
        self.relabelled_zones -= zones

    def _report_changes(
        self, store: Store, now: float, lost_pins: Mapping[ShardKey, LostPin], zones: set[str]
    ) -> list[Mutation]:
        self.index.refresh(store)
        changes = quarantine_changes(store, self.index, lost_pins, now)
        if zones:
            changes.append(self.servers.relabelled_change(store))
            changes += relabelled_changes(self.index, zones, now)
        return changes

    def _pending_shards(self) -> list[PendingShard]:
        """The shards to advance, sorted by record id. Called on the store's thread."""
        self.index.refresh(self.store_writer.store)
        self.servers.refresh(self.store_writer.store)
        return [
            PendingShard(record_id, *self.index.shards[record_id])
            for record_id in sorted(self.index.needs_work)
        ]

    def _time_to_next(self, pending: list[PendingShard]) -> float:
        if any(shard.record.stage in IN_PROGRESS_STAGES for shard in pending):
            return RECONCILE_INTERVAL
        scheduled = [shard.record.scheduled_at for shard in pending if shard.record.scheduled_at]
        due = min((at - self.store_writer.clock() for at in scheduled), default=IDLE_INTERVAL)
        return min(max(due, RECONCILE_INTERVAL), IDLE_INTERVAL)

    # -- due events

    def _due_events(self, pending: list[PendingShard]) -> list[DueEvent]:
        events = []
        for shard in pending:
            event = self._due_event(shard)
            if event is not None:
                events.append(DueEvent(shard.record_id, shard.revision, event))
        return events

    def _due_event(self, shard: PendingShard) -> Event | None:
        record, stage = shard.record, shard.record.stage
        if self._is_schedule_due(record):
            return Event.SCHEDULE_DUE if self._target_has_servers(record) else None
        if stage is Stage.PREPARING:
            behind = self.leases.routers_behind(shard.revision, without_lease=False)
            return None if behind else Event.ROUTERS_CAUGHT_UP
        if stage is Stage.MIGRATING or (stage is Stage.REMOVING and not record.removal_acknowledged):
            return Event.ROUTERS_CAUGHT_UP if self._have_caught_up(shard) else None
        if record.retries_blocked and stage in (*SETTLED_STAGES, Stage.REMOVING):
            key = shard.record_id, shard.revision
            expired = self.timer.has_lasted(key, True, self.deduplication_window)
            return Event.DEDUPLICATION_EXPIRED if expired else None
        return None

    def _is_schedule_due(self, record: ShardRecord) -> bool:
        due = bool(record.scheduled_at) and self.store_writer.clock() >= record.scheduled_at
        return due and record.stage in (Stage.SCHEDULED, *SETTLED_STAGES)

    def _target_has_servers(self, record: ShardRecord) -> bool:
        if record.target is None:
            return False
        return not self.servers.zones().isdisjoint(record.target.all_zones())

    def _have_caught_up(self, shard: PendingShard) -> bool:
        """Whether all routers follow the shard's revision, and attempts sent before that have arrived."""
        behind = self.leases.routers_behind(shard.revision, shard.record.may_serve_without_lease)
        return self.timer.has_lasted((shard.record_id, shard.revision), not behind, self.flight_time)

    # -- applying events

    def _apply(self, store: Store, now: float, events: list[DueEvent]) -> list[Mutation]:
        """The changes that apply events; a shard that has changed since is left for the next pass."""
        self.index.refresh(store)
        changes: list[Mutation] = []
        for due in events:
            stored = self.index.shards.get(due.record_id)
            if stored is None or stored.revision != due.revision:
                continue
            after = self._advance(store, now, stored.record, due.event, changes)
            body = encode(after) if after is not None else None
            changes.append(Mutation(SHARD, due.record_id, body, due.revision))
        return changes

    def _advance(
        self, store: Store, now: float, record: ShardRecord, event: Event, changes: list[Mutation]
    ) -> ShardRecord | None:
        """The record after an event, None if the shard is removed; may append a snapshot to `changes`."""
        lifecycle = transition(lifecycle_of(record), event)
        if lifecycle.stage is Stage.REMOVED:
            logger.info("shard {} of tenant {} removed", record.shard, record.tenant)
            return None
        after = with_lifecycle(record, lifecycle, now)
        if lifecycle.stage in SETTLED_STAGES or lifecycle.removal_acknowledged:
            after = msgspec.structs.replace(after, former_rates=former_rates(record, lifecycle))
        required = lifecycle.current is not None and lifecycle.current.required
        if event is Event.ROUTERS_CAUGHT_UP and required:
            after = add_present_servers(store, after, self.servers.inventory, changes, now)
        if after.stage is not record.stage:
            logger.info("shard {} of tenant {} is now {}", record.shard, record.tenant, after.stage.value)
        return after
