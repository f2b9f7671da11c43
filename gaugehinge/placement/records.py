"""Placement's items in the store: shard records and the other kinds of items. No I/O.

The names of kinds and of encoded fields are an on-disk format; `rename` maps each field to its encoded name.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .affinity import RegionAffinity
from .lifecycle import SETTLED_STAGES, Lifecycle, Stage
from .shard_table import ShardKey

SHARD = "shard"  # a ShardRecord; id "<incarnation>/<shard>"
CHANGE_BUDGET = "shard-budget"  # a tenant's ChangeBudget; id: its incarnation
SERVER_SNAPSHOT = "shard-crowd"  # servers that may hold copies; id: the digest of the body
NOTE = "shard-note"
RELABELLED_NOTE = "unsure"  # id of the only note: servers whose zone changed without a restart


class ShardRecord(
    msgspec.Struct,
    frozen=True,
    rename={
        "reserved_rate": "allowance",
        "stage_since": "since",
        "current": "now",
        "target": "then",
        "scheduled_at": "at",
        "removal_requested": "end",
        "retries_blocked": "held",
        "required_everywhere": "known",
        "may_serve_without_lease": "far",
        "removal_acknowledged": "left",
        "requested_regions": "regions",
        "requested_mode": "hold",
        "requested_rate": "asked_allowance",
        "requested_start": "asked_at",
        "server_snapshot": "crowd",
        "former_rates": "former",
    },
):
    """A shard as it is stored.

    The fields from `current` to `removal_acknowledged`, and `stage`, are those of its `Lifecycle`.
    """

    incarnation: int
    tenant: str
    shard: str
    prefixes: tuple[str, ...]
    reserved_rate: float  # operations per second, reserved at its first region
    version: int  # store revision of the tenant's last change; serves as the entity tag
    stage: Stage
    stage_since: float  # Unix seconds
    current: RegionAffinity | None = None
    target: RegionAffinity | None = None
    scheduled_at: float = 0.0
    removal_requested: bool = False
    retries_blocked: bool = False
    required_everywhere: bool = False
    may_serve_without_lease: bool = False
    removal_acknowledged: bool = False
    requested_regions: tuple[str, ...] = ()  # this and the next three: the tenant's latest request
    requested_mode: str = ""  # "only" or "prefer"
    requested_rate: float = 0.0
    requested_start: float = 0.0  # Unix seconds; 0: immediately
    server_snapshot: str = ""  # id; servers that were present when it was confined: they may hold copies
    confined_at: float = 0.0  # Unix seconds
    # Operations per second, by region that routers may still serve the shard from.
    former_rates: dict[str, float] = {}

    @property
    def key(self) -> ShardKey:
        """The shard's key in the routers' tables."""
        return ShardKey(self.incarnation, self.shard)

    @property
    def rate_by_region(self) -> dict[str, float]:
        """Operations per second that it reserves, by region.

        These are the first regions of its current and target placement, and regions that routers may still
        serve it from.
        """
        rates = dict(self.former_rates)
        for affinity in (self.current, self.target):
            if affinity is not None and affinity.regions:
                first = affinity.regions[0]
                rates[first] = max(rates.get(first, 0.0), self.reserved_rate)
        return rates

    @property
    def is_ending(self) -> bool:
        """Whether its tenant has removed it; the API then treats it as nonexistent."""
        return self.removal_requested or self.stage is Stage.REMOVING


class StoredShard(NamedTuple):
    """A shard record and the store revision at which it was written."""

    record: ShardRecord
    revision: int


def record_id(incarnation: int, shard: str) -> str:
    """The id of a shard record in the store."""
    return f"{incarnation}/{shard}"


def shard_key(record_id: str) -> ShardKey:
    """The key of the shard that a record id names."""
    incarnation, _, shard = record_id.partition("/")
    return ShardKey(int(incarnation), shard)


def lifecycle_of(record: ShardRecord) -> Lifecycle:
    """The lifecycle fields of a record."""
    return Lifecycle(
        record.stage,
        record.current,
        record.target,
        record.scheduled_at,
        record.removal_requested,
        record.retries_blocked,
        record.required_everywhere,
        record.may_serve_without_lease,
        record.removal_acknowledged,
    )


def with_lifecycle(record: ShardRecord, lifecycle: Lifecycle, now: float) -> ShardRecord:
    """A copy of a record with another lifecycle state, entered at `now` (Unix seconds)."""
    stage = lifecycle.stage
    return msgspec.structs.replace(
        record,
        stage=stage,
        stage_since=now if stage is not record.stage else record.stage_since,
        current=lifecycle.current,
        target=lifecycle.target,
        scheduled_at=lifecycle.scheduled_at,
        removal_requested=lifecycle.removal_requested,
        retries_blocked=lifecycle.retries_blocked,
        required_everywhere=lifecycle.required_everywhere,
        may_serve_without_lease=lifecycle.may_serve_without_lease,
        removal_acknowledged=lifecycle.removal_acknowledged,
    )


def needs_work(record: ShardRecord) -> bool:
    """Whether the control plane still has to advance the shard by itself."""
    if record.stage is Stage.QUARANTINED:
        return bool(record.scheduled_at)
    return record.stage not in SETTLED_STAGES or bool(record.scheduled_at) or record.retries_blocked


def former_rates(record: ShardRecord | None, lifecycle: Lifecycle) -> dict[str, float]:
    """Operations per second that a shard entering `lifecycle` keeps reserved, by former region.

    They stay reserved from the tenant's change until all routers follow it, since routers may serve the shard
    from there until then; otherwise another tenant would be given capacity that is still in use.
    """
    settled = lifecycle.stage in SETTLED_STAGES and lifecycle.target is None
    if record is None or lifecycle.removal_acknowledged or settled:
        return {}
    if record.current is None or not record.current.regions:
        return record.former_rates
    first = record.current.regions[0]
    return {**record.former_rates, first: record.rate_by_region[first]}
