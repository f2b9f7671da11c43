"""What keeper, routers and tenants tell each other of placement. No I/O."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..admin.types import Name
from .shard_table import MAX_PREFIXES, MAX_REGIONS, Prefix, RegionAffinity, ShardAssignment

MAX_CHUNK_SERVERS = 200  # servers told in one report: a body of the API takes no more
MAX_SERVERS = 4096
MAX_LOST_PINS = 64  # told in one report; the rest follows

ReportedServer = tuple[
    str, str, float, float, bool
]  # uid, zone, weight, started, whether it takes something new


class ServerListChunk(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"offset": "first"}):
    """A part of a router's list of servers."""

    digest: Annotated[str, Meta(max_length=32, description="of the whole list")]
    count: Annotated[int, Meta(ge=0, le=MAX_SERVERS)]
    offset: Annotated[int, Meta(ge=0)]
    servers: Annotated[list[ReportedServer], Meta(max_length=MAX_CHUNK_SERVERS)]


class LostPin(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"store_revision": "since"}):
    """A pin that a router acted by and that the keeper's store, an older copy, does not have."""

    incarnation: int
    shard: Name
    prefixes: Annotated[tuple[str, ...], Meta(max_length=MAX_PREFIXES)]
    store_revision: Annotated[int, Meta(description="revision of the copy when the router first heard it")]


class RouterReport(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "table_revision": "have",
        "revision_digest": "mark",
        "effective_revision": "clear",
        "server_chunk": "servers",
        "lost_pins": "doubts",
    },
):
    """A router's part of its report."""

    table_revision: Annotated[int, Meta(ge=0)] = 0  # revision of its table
    revision_digest: Annotated[str, Meta(max_length=32)] = ""  # of that revision
    effective_revision: Annotated[int, Meta(ge=0)] = (
        0  # no attempt is out that a table of this revision would not send
    )
    server_chunk: ServerListChunk | None = None
    lost_pins: Annotated[tuple[LostPin, ...], Meta(max_length=MAX_LOST_PINS)] = ()


class ControlPlaneUpdate(
    msgspec.Struct,
    frozen=True,
    rename={
        "revision_digest": "mark",
        "is_complete": "whole",
        "assignments": "rows",
        "removed": "gone",
        "isolation_limit": "alone",
        "relabelled": "unsure",
        "server_list_digest": "servers",
        "history_lost": "back",
    },
):
    """The keeper's part of the feed."""

    revision: int
    revision_digest: str
    is_complete: bool
    assignments: list[ShardAssignment]
    removed: list[tuple[int, str]]
    lease: float  # seconds, counted from when the router sent its call; 0: none
    isolation_limit: float  # seconds after which a router that is cut off serves no tenant at all
    relabelled: list[tuple[str, float]]  # servers whose zone changed without a start, and when they started
    server_list_digest: str  # digest of the list of servers that the keeper has; empty: none
    history_lost: bool = False  # this router's table is of a history that the store does not have


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
    """One shard as the store has it."""

    incarnation: int
    tenant: str
    shard: str
    prefixes: tuple[str, ...]
    reserved_rate: float  # operations a second that count at its region
    version: int  # of what its tenant asked: the entity tag
    stage: str
    stage_since: float  # Unix seconds
    current: RegionAffinity | None = None
    target: RegionAffinity | None = None
    scheduled_at: float = 0.0
    removal_requested: bool = False
    retries_blocked: bool = False
    required_everywhere: bool = False
    may_serve_without_lease: bool = False
    removal_acknowledged: bool = False
    requested_regions: tuple[str, ...] = ()  # these four as its tenant asked for them last
    requested_mode: str = ""
    requested_rate: float = 0.0
    requested_start: float = 0.0
    server_snapshot: str = ""  # servers that stood when it was confined: copies may be left there
    confined_at: float = 0.0
    former_rates: dict[
        str, float
    ] = {}  # on its way: operations a second at regions that routers may still act by

    @property
    def rate_by_region(self) -> dict[str, float]:
        """Operations a second that count at regions: where it is, goes to, and may still be."""
        found = dict(self.former_rates)
        for terms in (self.current, self.target):
            if terms is not None and terms.regions:
                first = terms.regions[0]
                found[first] = max(found.get(first, 0.0), self.reserved_rate)
        return found

    @property
    def is_ending(self) -> bool:
        """Whether its tenant has let it end: by its name it is not there any more."""
        return self.removal_requested or self.stage == "leaving"


class ShardWanted(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a tenant asks for one of its shards."""

    regions: Annotated[
        tuple[Annotated[str, Meta(min_length=1, max_length=64)], ...],
        Meta(min_length=1, max_length=MAX_REGIONS, description="in order: the next where one cannot"),
    ]
    prefixes: Annotated[
        tuple[Prefix, ...],
        Meta(max_length=MAX_PREFIXES, description="what its keys begin with; none for the shard `default`"),
    ] = ()
    hold: Annotated[
        Literal["only", "prefer"], Meta(description="only: bounced rather than served elsewhere")
    ] = "only"
    allowance: Annotated[
        float, Meta(ge=0, le=1e9, description="operations a second of these keys; 0: what other shards leave")
    ] = 0.0
    at: Annotated[float, Meta(ge=0, le=1e11, description="Unix seconds of the move; 0: now")] = 0.0


class Copy(msgspec.Struct, frozen=True):
    """A server outside that may still hold a copy of the shard's values."""

    server: str
    zone: str
    started: float


class TermsShown(msgspec.Struct, frozen=True):
    """RegionAffinity as they are shown."""

    hold: str
    regions: tuple[str, ...]
    zones: tuple[str, ...]


class ShardShown(msgspec.Struct, frozen=True):
    """A shard as it is shown."""

    tenant: str
    incarnation: int
    shard: str
    prefixes: tuple[str, ...]
    regions: tuple[str, ...]  # as asked, with the three that follow
    hold: str
    allowance: float
    at: float
    counted: float  # operations a second that count at its region
    stage: str
    since: float
    revision: int  # its entity tag; the keeper's own steps do not change it
    now: TermsShown | None
    then: TermsShown | None
    repeats_held: bool
    waits_for: list[str]  # routers that may still act by what was before
    copies: list[Copy]  # at servers outside; gone when such a server starts anew, or at `copies_until`
    copies_until: float  # Unix seconds; 0: only a start anew ends them


class ShardPage(msgspec.Struct, frozen=True):
    """All shards of a tenant."""

    shards: list[ShardShown]
