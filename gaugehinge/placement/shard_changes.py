"""Changes that tenants make to their shards; each is checked and committed in one transaction."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from ..admin.config import PlacementConfig
from ..admin.control_plane import ControlPlane
from ..admin.errors import ApiError, NotFoundError, ResourceConflictError
from ..admin.records import TENANT_KIND, TenantRecord
from ..admin.transactions import IdempotencyKey
from ..store.records import Change, Mutation, encode
from ..store.store import Store
from .admission import AdmissionError
from .affinity import affinity_to
from .api_types import ShardShown, ShardWanted
from .capacity import CapacityPlanner
from .change_checks import check_prefixes, check_version
from .lifecycle import Event, InvalidTransitionError, Lifecycle, Stage, transition
from .quotas import ChangeBudget, allocate_rate, check_shard_count
from .records import (
    CHANGE_BUDGET,
    SHARD,
    ShardRecord,
    StoredShard,
    former_rates,
    lifecycle_of,
    record_id,
    with_lifecycle,
)
from .shard_index import ShardIndex
from .shard_view import ShardPresenter


@dataclass(slots=True, frozen=True)
class TenantShards:
    """A tenant and its shards by name, each with the revision of its record."""

    tenant: TenantRecord
    shards: Mapping[str, StoredShard]

    def rate_of_others(self, shard: str) -> float:
        """Operations per second that the tenant's other shards reserve.

        The rate of a shard that the tenant removed is available to the tenant again at once, although it
        counts against the region's capacity until all routers follow the removal.
        """
        return sum(
            record.reserved_rate
            for name, (record, _) in self.shards.items()
            if name != shard and not record.is_ending
        )


@dataclass(slots=True, frozen=True)
class AdmittedPin:
    """The outcome of the admission checks on a tenant's request."""

    prefixes: tuple[str, ...]
    rate: float  # operations per second
    version: int  # store revision that the change will get; serves as the entity tag


class ShardChanges:
    """Pins, moves and removes shards for tenants."""

    def __init__(
        self,
        administration: ControlPlane,
        index: ShardIndex,
        capacity: CapacityPlanner,
        presenter: ShardPresenter,
        settings: PlacementConfig,
        on_change: Callable[[], None],
    ) -> None:
        """`on_change`: called after each committed change."""
        self.administration = administration
        self.index = index
        self.capacity = capacity
        self.presenter = presenter
        self.settings = settings
        self.on_change = on_change

    def tenant_shards(self, store: Store, name: str) -> TenantShards:
        """A tenant and its shards, read on the store's thread. Raises ApiError if it does not exist."""
        item = store.get(TENANT_KIND, name)
        if item is None:
            raise NotFoundError(f"no tenant {name}")
        tenant = msgspec.json.decode(item.body, type=TenantRecord)
        self.index.refresh(store)
        shards = self.index.for_incarnation(tenant.incarnation)
        return TenantShards(tenant, {stored.record.shard: stored for stored in shards})

    async def put(
        self,
        tenant: str,
        shard: str,
        wanted: ShardWanted,
        expected_version: int | None,
        caller: str,
        idempotency: IdempotencyKey | None = None,
    ) -> ShardShown:
        """Pin a shard, or change its pin. Raises ApiError if the change is refused.

        `expected_version`: the entity tag that the caller read, None for a new shard; `idempotency`: the
        call's idempotency key, if it has one.
        """

        def plan(store: Store, now: float) -> list[Mutation]:
            with _api_errors():
                return self._plan_put(store, now, tenant, shard, wanted, expected_version)

        committed = await self.administration.commit(plan, caller, idempotency, self._response_body)
        self.on_change()
        return msgspec.json.decode(self._response_body(committed), type=ShardShown)

    def _plan_put(
        self,
        store: Store,
        now: float,
        tenant_name: str,
        shard: str,
        wanted: ShardWanted,
        expected_version: int | None,
    ) -> list[Mutation]:
        tenant_shards = self.tenant_shards(store, tenant_name)
        incarnation = tenant_shards.tenant.incarnation
        record, revision = tenant_shards.shards.get(shard, (None, 0))
        check_version(record, expected_version, shard)
        pin = self._admit(store, tenant_shards, shard, wanted)
        budget = self._charge_budget(store, incarnation, now)
        lifecycle = self._requested_lifecycle(record, wanted, now)
        after = _pinned_record(tenant_shards, shard, wanted, pin, lifecycle, now)
        return [Mutation(SHARD, record_id(incarnation, shard), encode(after), revision), budget]

    def _admit(
        self, store: Store, tenant_shards: TenantShards, shard: str, wanted: ShardWanted
    ) -> AdmittedPin:
        """Check a pin against the tenant's quotas and regions' capacity. Raises ApiError, AdmissionError."""
        stored = tenant_shards.shards.get(shard)
        record = stored.record if stored is not None else None
        prefixes = check_prefixes(shard, wanted, record, tenant_shards.shards)
        if record is None:
            check_shard_count(len(tenant_shards.shards), self.settings.shards)
        rate = allocate_rate(
            tenant_shards.tenant.allowance, tenant_shards.rate_of_others(shard), wanted.allowance
        )
        already_reserved = record.rate_by_region.get(wanted.regions[0], 0.0) if record else 0.0
        capacity = self.capacity.regions(store, record_id(tenant_shards.tenant.incarnation, shard))
        capacity.check(wanted.regions, rate, already_reserved)
        return AdmittedPin(prefixes, rate, store.revision + 1)

    def _requested_lifecycle(self, record: ShardRecord | None, wanted: ShardWanted, now: float) -> Lifecycle:
        affinity = affinity_to(wanted.regions, self.settings.regions, required=wanted.hold == "only")
        event = Event.CHANGE_SCHEDULED if wanted.at > now else Event.CHANGE_REQUESTED
        return transition(lifecycle_of(record) if record else None, event, affinity, wanted.at)

    async def remove(self, tenant: str, shard: str, expected_version: int, caller: str) -> None:
        """Remove the pin of a shard. Raises ApiError if the removal is refused."""

        def plan(store: Store, now: float) -> list[Mutation]:
            with _api_errors():
                return self._plan_remove(store, now, tenant, shard, expected_version)

        await self.administration.commit(plan, caller)
        self.on_change()

    def _plan_remove(
        self, store: Store, now: float, tenant_name: str, shard: str, expected_version: int
    ) -> list[Mutation]:
        tenant_shards = self.tenant_shards(store, tenant_name)
        incarnation = tenant_shards.tenant.incarnation
        record, revision = tenant_shards.shards.get(shard, (None, 0))
        if record is None or record.is_ending:
            raise NotFoundError(f"no shard {shard}")
        check_version(record, expected_version, shard)
        budget = self._charge_budget(store, incarnation, now)
        lifecycle = transition(lifecycle_of(record), Event.REMOVAL_REQUESTED)
        after = msgspec.structs.replace(
            with_lifecycle(record, lifecycle, now),
            version=store.revision + 1,
            former_rates=former_rates(record, lifecycle),
        )
        body = None if lifecycle.stage is Stage.REMOVED else encode(after)
        return [Mutation(SHARD, record_id(incarnation, shard), body, revision), budget]

    def _charge_budget(self, store: Store, incarnation: int, now: float) -> Mutation:
        """The mutation that takes one change off a tenant's budget. Raises AdmissionError if none is left."""
        stored = store.get(CHANGE_BUDGET, str(incarnation))
        per_hour = self.settings.changes
        budget = ChangeBudget(per_hour, now)
        if stored is not None:
            budget = msgspec.json.decode(stored.body, type=ChangeBudget)
        body = encode(budget.take(per_hour, now))
        return Mutation(CHANGE_BUDGET, str(incarnation), body, stored.revision if stored else 0)

    def _response_body(self, committed: list[Change]) -> bytes:
        """The response body for a call, built from its changes; the first one is the shard record."""
        record = msgspec.json.decode(committed[0].body or b"", type=ShardRecord)
        return msgspec.json.encode(self.presenter.view(None, record, committed[0].revision))


def _pinned_record(
    tenant_shards: TenantShards,
    shard: str,
    wanted: ShardWanted,
    pin: AdmittedPin,
    lifecycle: Lifecycle,
    now: float,
) -> ShardRecord:
    """The record of a shard pinned as its tenant requested; `now` in Unix seconds."""
    stored = tenant_shards.shards.get(shard)
    before = stored.record if stored is not None else None
    record = ShardRecord(
        tenant_shards.tenant.incarnation,
        tenant_shards.tenant.name,
        shard,
        pin.prefixes,
        pin.rate,
        pin.version,
        lifecycle.stage,
        now,
        requested_regions=wanted.regions,
        requested_mode=wanted.hold,
        requested_rate=wanted.allowance,
        requested_start=wanted.at,
        server_snapshot=before.server_snapshot if before else "",
        confined_at=before.confined_at if before else 0.0,
        former_rates=former_rates(before, lifecycle),
    )
    return with_lifecycle(record, lifecycle, now)


@contextmanager
def _api_errors() -> Iterator[None]:
    """Turn admission and lifecycle errors into ApiError."""
    try:
        yield
    except AdmissionError as error:
        raise ApiError(error.status, error.what, error.detail, error.field) from error
    except InvalidTransitionError as error:
        raise ResourceConflictError(str(error)) from error
