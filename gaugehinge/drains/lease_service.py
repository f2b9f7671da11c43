"""Plans connection leases in the control plane's store; advances the high-water mark before issuing them.

Leases are planned, written and issued only on the store's thread, so that no plan runs between the read of a
record and the recording of its lease as issued.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Lock

import msgspec
from loguru import logger

from ..admin.config import DrainsConfig
from ..admin.control_plane import ControlPlane
from ..admin.records import TENANT_KIND
from ..store.records import Mutation, encode
from ..store.store import Store
from .admission_record import AdmissionRecord
from .clock import boot_clock
from .connection_counts import DEFAULT_SERVER, ORIGIN, ConnectionCounts
from .fleet_view import FleetView
from .high_water_mark import HighWaterMarkFile
from .lease_log import LeaseLog
from .lease_manager import LeaseManager
from .lease_types import DurableState, NodeRecord
from .repository import (
    LIMIT,
    STATE,
    STATE_IDENT,
    LimitRecord,
    Stored,
    load_limits,
    load_nodes,
    load_state,
    node_changes,
    state_changes,
)

AUTHOR = "drains"  # author of store changes that no operator requested
TENANTS_MAX_AGE = 10.0  # seconds after which the tenants' rate limits are read again


@dataclass(slots=True, eq=False)
class LeaseService:
    """The lease manager of one control plane run, with its store and files."""

    control_plane: ControlPlane
    settings: DrainsConfig
    clock: Callable[[], float]
    manager: LeaseManager
    fleet: FleetView
    admission_record: AdmissionRecord
    mark_file: HighWaterMarkFile
    lock: Lock = field(default_factory=Lock)  # reports come on the event loop, plans on the store's thread
    log: LeaseLog = field(default_factory=LeaseLog)
    tenant_demand: float = 0.0  # connections to the origin that tenants would use at their rate limits
    tenant_demand_at: float = float("-inf")

    # -- start

    async def start(self) -> None:
        """Load the state of earlier runs from the store, and write configured limits that the store lacks.

        Raises RevisionConflictError, DiskFullError, StoreOverloadedError or OSError if the store or its disk
        does not accept the change now.
        """
        store_writer = self.control_plane.store_writer
        await store_writer.apply_planned(self._plan_start, AUTHOR)
        await store_writer.run_sync(self._record_admissions)
        self._log_start()
        manager = self.manager
        with self.lock:
            if manager.state.admissions == 0 and not manager.state.suspension_reason:
                manager.started_at = float("-inf")  # no lease was ever issued
            elif manager.store_is_current:
                logger.info("drains: store is current; leases may be raised without waiting")

    def _plan_start(self, store: Store, wall: float) -> list[Mutation]:
        stored_state = load_state(store)
        state = self._initial_state(stored_state)
        records = [stored.record for stored in load_nodes(store).values()]
        with self.lock:
            self.manager.state = state
            self.manager.adopt_floors(records)
            # After a kill on this machine, the store that it last issued from has all that nodes may hold.
            self.manager.store_is_current = not state.suspension_reason and self.mark_file.covers(
                self.control_plane.store_id, store.revision_digest, boot_clock(), self.manager.startup_hold
            )
        revision = stored_state.revision if stored_state is not None else 0
        return [Mutation(STATE, STATE_IDENT, encode(state), revision), *self._missing_limits(store)]

    def _initial_state(self, stored_state: Stored[DurableState] | None) -> DurableState:
        before = stored_state.record if stored_state is not None else DurableState()
        suspension_reason = before.suspension_reason or self.admission_record.suspension_reason(
            self.control_plane.store_id,
            before,
            store_is_empty=stored_state is None,
            new_installation=self.settings.new_installation,
        )
        return DurableState(
            max(before.longest_lease, self.manager.lease_duration),
            max(before.longest_close_timeout, float(self.settings.closing)),
            before.admissions,
            suspension_reason,
        )

    def _missing_limits(self, store: Store) -> list[Mutation]:
        configured = {
            ORIGIN: self.settings.origin,
            DEFAULT_SERVER: self.settings.servers,
            **self.settings.limits,
        }
        return [
            Mutation(LIMIT, upstream, encode(LimitRecord(limit)), 0)
            for upstream, limit in configured.items()
            if store.get(LIMIT, upstream) is None
        ]

    def _log_start(self) -> None:
        manager = self.manager
        if manager.floors != manager.configured_floors:
            logger.warning(
                "drains: floors stay at {} until the configured floors {} fit: lower the limits for a while",
                manager.floors,
                manager.configured_floors,
            )
        if manager.state.suspension_reason:
            logger.warning("drains: admission of new nodes is suspended: {}", manager.state.suspension_reason)

    def _record_admissions(self) -> None:
        """Record the number of admitted nodes before they are told. Runs on the store's thread."""
        admissions = self.manager.state.admissions
        if admissions == self.manager.recorded_admissions and admissions:
            return
        self.admission_record.write(self.control_plane.store_id, admissions)
        self.manager.recorded_admissions = admissions

    # -- plans

    async def plan(self) -> None:
        """Plan the changes due to reports, time and demand, and write them.

        Raises RevisionConflictError, DiskFullError or StoreOverloadedError.
        """
        changed: dict[str, NodeRecord] = {}

        def plan(store: Store, wall: float) -> list[Mutation]:
            stored_nodes, limits, now = load_nodes(store), load_limits(store), self.clock()
            changed.update(self._changed_records(store, stored_nodes, limits, now))
            return [*node_changes(stored_nodes, changed), *state_changes(store, self.manager.state)]

        store_writer = self.control_plane.store_writer
        await store_writer.apply_planned(plan, AUTHOR)
        if self.manager.state.admissions != self.manager.recorded_admissions:
            try:
                await store_writer.run_sync(self._record_admissions)
            except OSError as error:
                logger.error(
                    "drains: admission record not written; new nodes get no lease until it is: {}", error
                )
        self.log.log_changes(changed, self.manager)

    def _changed_records(
        self, store: Store, stored_nodes: dict[str, Stored[NodeRecord]], limits: ConnectionCounts, now: float
    ) -> dict[str, NodeRecord]:
        if now - self.tenant_demand_at > TENANTS_MAX_AGE:
            self.tenant_demand, self.tenant_demand_at = self._tenant_demand(store), now
        records = {node: stored.record for node, stored in stored_nodes.items()}
        with self.lock:
            draining = self.fleet.draining_nodes()
            changed = self.manager.plan(records, limits, now, draining, {ORIGIN: self.tenant_demand})
            self.fleet.forget_unknown()
        return changed

    def _tenant_demand(self, store: Store) -> float:
        """Estimate the connections to the origin that tenants would use if each used its full rate limit."""
        with self.lock:
            usage = self.fleet.origin_usage()
        if usage.operation_rate <= 0.0:
            return 0.0
        allowed = 0.0
        for item in store.items(TENANT_KIND):
            allowed += float(msgspec.json.decode(item.body).get("allowance", 0.0))
        return allowed * usage.connections / usage.operation_rate

    # -- replies

    def advance_mark(self, store: Store) -> bool:
        """Advance the high-water mark before anything is issued from the store. Runs on the store's thread.

        Returns False if nothing may be issued.
        """
        with self.lock:
            may_raise = self.manager.may_raise(self.clock())
        return self.mark_file.advance(
            self.control_plane.store_id, store.revision, store.revision_digest, may_raise, boot_clock()
        )
