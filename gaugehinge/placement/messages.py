"""The messages that routers and the control plane exchange for placement. No I/O.

The wire format consists of the encoded names of fields, and of the order of fields in structures that are
encoded as arrays; `rename` maps each field to its encoded name.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from ..admin.types import Name
from .shard_table import MAX_PREFIXES, ShardAssignment, ShardKey

MAX_CHUNK_SERVERS = 200  # in one report, since the API limits the size of a request body
MAX_SERVERS = 4096
MAX_LOST_PINS = 64  # in one report; the rest goes with later reports


class ReportedServer(NamedTuple):
    """A cache server as routers report it. Encoded as an array."""

    uid: str
    zone: str
    weight: float  # relative to the other servers; 0: unknown, counts as 1
    started_at: float  # as reported by discovery; changes when the server restarts
    accepts_new: bool  # may be sent new operations


class RelabelledServer(NamedTuple):
    """A server whose zone changed without a restart. Encoded as an array."""

    uid: str
    started_at: float


class ServerListChunk(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"offset": "first"},
):
    """A part of a router's list of servers."""

    digest: Annotated[str, Meta(max_length=32, description="of the whole list")]
    count: Annotated[int, Meta(ge=0, le=MAX_SERVERS)]
    offset: Annotated[int, Meta(ge=0)]
    servers: Annotated[list[ReportedServer], Meta(max_length=MAX_CHUNK_SERVERS)]


class LostPin(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"store_revision": "since"},
):
    """A pin that a router acted by and that the store, restored from an older copy, lacks."""

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
    """The placement section of a router's report."""

    table_revision: Annotated[int, Meta(ge=0)] = 0
    revision_digest: Annotated[str, Meta(max_length=32)] = ""  # of `table_revision`, as issued
    # The newest revision whose table allows the endpoints of all attempts in flight.
    effective_revision: Annotated[int, Meta(ge=0)] = 0
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
    """The placement section of the control plane's feed."""

    revision: int
    revision_digest: str
    is_complete: bool  # `assignments` has all shards, not only the changed ones
    assignments: list[ShardAssignment]
    removed: list[ShardKey]
    lease: float  # seconds from when the router sent its request; 0: no lease
    isolation_limit: float  # seconds; a router that is cut off for longer serves no tenant at all
    relabelled: list[RelabelledServer]
    server_list_digest: str  # of the server list that the control plane has; empty: it has none
    history_lost: bool = False  # the router's table comes from history that the store lacks
