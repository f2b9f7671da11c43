"""Request and response bodies of the tenants' shard API, as msgspec structs.

The names of these classes are the names of the schemas in the API's OpenAPI description, and their docstrings
are the descriptions of the schemas there.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .affinity import MAX_REGIONS
from .shard_table import MAX_PREFIXES, Prefix


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
    """Terms as they are shown."""

    hold: str
    regions: tuple[str, ...]
    zones: tuple[str, ...]


class ShardShown(msgspec.Struct, frozen=True):
    """A shard as it is shown."""

    tenant: str
    incarnation: int
    shard: str
    prefixes: tuple[str, ...]
    regions: tuple[str, ...]  # this and the next three: as the tenant requested them
    hold: str
    allowance: float
    at: float
    counted: float  # operations per second that it reserves at its first region
    stage: str
    since: float  # Unix seconds
    revision: int  # its entity tag; transitions by the control plane itself do not change it
    now: TermsShown | None
    then: TermsShown | None
    repeats_held: bool
    waits_for: list[str]  # names of routers that may still act by an older placement
    copies: list[Copy]  # at servers outside its zones; until a server restarts or `copies_until`
    copies_until: float  # Unix seconds; 0: only a restart of the server removes a copy


class ShardPage(msgspec.Struct, frozen=True):
    """All shards of a tenant."""

    shards: list[ShardShown]
