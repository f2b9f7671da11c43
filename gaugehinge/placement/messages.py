"""The messages that routers and the control plane exchange for placement. No I/O.

The encoded names of fields, and the order of fields that are encoded as arrays, are the wire format; `rename`
maps each field to its encoded name.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from ..admin.types import Name
from .shard_table import MAX_PREFIXES, ShardAssignment, ShardKey

MAX_CHUNK_SERVERS = 200  # in one report: a body of the API takes no more
MAX_SERVERS = 4096
MAX_LOST_PINS = 64  # in one report; the rest follows


class ReportedServer(NamedTuple):
    """A cache server as routers report it. Encoded as an array."""

    uid: str
    zone: str
    weight: float  # beside the others; 0: none is known, it counts as 1
    started_at: float  # as discovery says; a server that restarted has another one
    accepts_new: bool  # may be sent something new


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
    """A pin that a router acted by and that the store, an older copy, does not have."""

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

    table_revision: Annotated[int, Meta(ge=0)] = 0
    revision_digest: Annotated[str, Meta(max_length=32)] = ""  # of the table's revision, as it was told
    # The newest revision by which no attempt is in flight that a table of it would not send.
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
    """The control plane's part of the feed."""

    revision: int
    revision_digest: str
    is_complete: bool  # all shards, and not only those that changed
    assignments: list[ShardAssignment]
    removed: list[ShardKey]
    lease: float  # seconds, counted from when the router sent its call; 0: none
    isolation_limit: float  # seconds after which a router that is cut off serves no tenant at all
    relabelled: list[RelabelledServer]
    server_list_digest: str  # of the list that the control plane has; empty: none
    history_lost: bool = False  # this router's table is of a history that the store does not have
